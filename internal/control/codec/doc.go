// Package codec encodes the messages of the control protocol (package message) into bytes and decodes them. A Writer
// batches messages into one write; a Reader decodes received bytes, which are passed to it in pieces of any size. The
// package opens no connection and starts no goroutine.
//
// A frame is a header of 12 bytes and a payload of whole messages:
//
//	2  magic "vC"
//	1  major version of the sender
//	1  minor version
//	3  length of the payload, little-endian
//	1  checksum of the seven bytes before, so that a corrupt length is detected before the reader waits for the payload
//	4  CRC-32C of the eight bytes before and of the payload, little-endian
//
// A message is its length as a varint, its kind, the difference of its epoch from that of the previous message in the
// frame, and the fields of its kind in a fixed order. Zero fields at the end are omitted. Therefore
//
//   - a later minor version may append fields to a kind and add kinds: an older reader skips both, and a newer reader
//     decodes fields that an older writer does not have as zero;
//   - a later major version may change everything but the header and the handshake messages up to their version field:
//     these can be decoded by any version. Any other message of another major version ends the stream with a VersionError.
//
// A Reader returns exactly the messages that were added to a Writer, or an error: corrupt bytes end the stream. It buffers
// one frame at most, and allocates memory for a frame only as its bytes arrive.
package codec
