package codec

import (
	"errors"
	"fmt"
)

// Errors that end the stream of a Reader.
var (
	ErrBadMagic  = errors.New("codec: not a frame of the control protocol")
	ErrTooLarge  = errors.New("codec: frame exceeds the size limit")
	ErrCorrupt   = errors.New("codec: checksum mismatch")
	ErrMalformed = errors.New("codec: malformed message")
)

// Errors of Writer.Add, besides ErrTooLarge. The message is not written, and the writer remains usable.
var (
	ErrUnknownKind  = errors.New("codec: unknown kind of message")
	ErrInvalidField = errors.New("codec: field missing or out of range")
)

// VersionError ends the stream of a peer with a different major version. Versions are major << 8 | minor.
type VersionError struct {
	Peer  int // version of the frame's sender
	Local int // version of this process
}

// Error states the protocol versions of both processes.
func (v *VersionError) Error() string {
	return fmt.Sprintf("codec: the peer has protocol version %d.%d, this process %d.%d: one of the two must be updated",
		v.Peer>>8, v.Peer&0xff, v.Local>>8, v.Local&0xff)
}
