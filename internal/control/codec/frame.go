// Package frame turns what forwarders and planners say to each other (package tier) into bytes and back. It has no
// sockets: a Writer gathers the messages of a turn into one write, a Reader is fed what came, in any pieces.
//
// A frame is a header of 12 bytes and a payload of whole messages:
//
//	2  magic "vC"
//	1  major version of the sender
//	1  minor version
//	3  length of the payload, little-endian
//	1  check of the seven bytes before: a wrong length is found at once, and not by waiting for what it asks for
//	4  CRC-32C of the eight bytes before and of the payload, little-endian
//
// A message is its length as a varint, its kind, the distance of its epoch from that of the message before it in the
// frame, and the fields of its kind in a fixed order. Zero fields at its end are left out. So
//
//   - a later minor version may put fields at the end of a kind, and add kinds: an older reader skips both, and a newer
//     one takes what an older writer left out for zero;
//   - a later major version may change all but the header, and the form of Hello, Welcome and Greet up to Version:
//     these can be read by any version, and whatever else comes from another major version is refused with a
//     VersionError.
//
// What a Reader gives is what a Writer was given, or nothing: bytes that were changed on the way end the stream. It
// holds one frame's length at most, which it believes only as bytes come.
package codec

import (
	"errors"
	"fmt"
	"hash/crc32"
)

// The version that this package writes. Version is how Hello, Welcome and Greet tell it.
const (
	Major   = 1
	Minor   = 0
	Version = Major<<8 | Minor
)

const (
	headerSize = 12
	magic0     = 'v'
	magic1     = 'C'

	// MaxPayloadSize is the longest payload: a snapshot of a large fleet has room in it.
	MaxPayloadSize    = 8 << 20
	batchSize         = 64 << 10 // a frame is closed before it grows longer: what is read is checked only once it is whole
	maxReusedCapacity = 1 << 20  // buffers that have grown longer are not kept

	maxTextLength    = 255
	maxAttempts      = 255
	maxInternedNames = 64
)

// What ends a stream.
var (
	ErrBadMagic  = errors.New("frame: the peer does not speak in frames")
	ErrTooLarge  = errors.New("frame: longer than is allowed")
	ErrCorrupt   = errors.New("frame: changed on its way")
	ErrMalformed = errors.New("frame: a message that makes no sense")
)

// VersionError refuses a peer whose major version is another one.
type VersionError struct{ Peer, Local int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("frame: the peer speaks version %d.%d, this is %d.%d: one of the two must be updated",
		e.Peer>>8, e.Peer&0xff, e.Local>>8, e.Local&0xff)
}

// What ends Add alone: nothing of such a message is written.
var (
	ErrUnknownKind  = errors.New("frame: no such kind of message")
	ErrInvalidField = errors.New("frame: a field is missing or out of range")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sealFrame fills in the header of a frame whose payload is in place.
func sealFrame(f []byte, major, minor byte) {
	n := len(f) - headerSize
	f[0], f[1], f[2], f[3] = magic0, magic1, major, minor
	f[4], f[5], f[6] = byte(n), byte(n>>8), byte(n>>16)
	f[7] = headerChecksum(f)
	sum := frameChecksum(f)
	f[8], f[9], f[10], f[11] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
}

func headerChecksum(header []byte) byte { return byte(crc32.Checksum(header[:7], castagnoli)) }

func frameChecksum(f []byte) uint32 {
	return crc32.Update(crc32.Checksum(f[:8], castagnoli), castagnoli, f[headerSize:])
}
