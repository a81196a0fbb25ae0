// Package codec encodes and decodes the messages of the control protocol (package message). A Writer batches messages into one
// write. A Reader decodes received bytes, which can be passed to it in pieces of any size. The package opens no connections and
// starts no goroutines.
//
// A frame is a header of 12 bytes and a payload of whole messages:
//
//	2  magic "vC"
//	1  major version of the sender
//	1  minor version
//	3  length of the payload, little-endian
//	1  checksum of the seven bytes before; it detects a corrupt length before the reader waits for the payload
//	4  CRC-32C of the eight bytes before and of the payload, little-endian
//
// A message consists of the length of the rest as a varint, its kind in one byte, the difference between its epoch and that of
// the previous message in the frame as a varint, and the fields of its kind in a fixed order. Trailing zero fields are omitted.
// This gives the following compatibility:
//
//   - A later minor version may append fields to a kind and add kinds. An older reader skips both. A newer reader decodes fields
//     that an older writer does not know as zero.
//   - A later major version may change everything except the header, and the handshake messages up to their version field. Those
//     can be decoded by every version. Any other message of a different major version ends the stream with a VersionError.
//
// A Reader returns exactly the messages that were added to a Writer, or an error: corrupt bytes end the stream. It buffers
// at most one frame, and allocates memory for a frame only as its bytes arrive.
package codec
