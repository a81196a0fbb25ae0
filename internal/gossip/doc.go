// Package gossip encodes and decodes the messages between schedulers, in datagrams of at most 256 bytes. It contains the codec,
// and the state per peer by which duplicate, late and outdated datagrams are dropped. Datagrams may be lost.
//
// It does no I/O and reads no clock. A Node decodes received datagrams into messages, and encodes queued messages into datagrams
// to send, with several messages to the same peer in one datagram. The messages are those of package dispatch: nothing here
// depends on their content, except for the encoding.
//
// A datagram consists of a header and messages, without padding. Integers are little endian, or varints of encoding/binary:
//
//	version      1 byte, always 1
//	checksum     4 bytes, CRC-32C of all bytes that follow
//	incarnation  4 bytes, identifies the sender's process
//	sequence     2 bytes, counts the datagrams of that process to this peer
//	messages     each a byte for its kind, then its fields
package gossip
