// Package gossip carries what dispatchers tell each other in datagrams of at most 256 bytes: a codec, and per peer what
// keeps lost, late, repeated, torn and outdated datagrams apart from good ones.
//
// It does no I/O and reads no clock. A Node is given datagrams that came from a peer's address, and returns the messages in
// them; it is given messages, and returns the datagrams to send, with several messages to one peer in one of them. What the
// messages mean is the business of package dispatch: nothing here depends on their content but their length.
//
// A datagram is a header and messages without padding, integers as in encoding/binary, the first byte the lowest:
//
//	version      1 byte, 1
//	checksum     4 bytes, CRC-32C of all that follows
//	incarnation  4 bytes, of the sender's process
//	sequence     2 bytes, counts the datagrams of that process to this peer
//	messages     each a byte for its kind, and its fields
package gossip
