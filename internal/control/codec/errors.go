package codec

import (
	"errors"
	"fmt"
)

// Errors with which a Reader ends a stream.
var (
	ErrBadMagic  = errors.New("codec: not a frame of the control protocol")
	ErrTooLarge  = errors.New("codec: frame exceeds the size limit")
	ErrCorrupt   = errors.New("codec: checksum mismatch")
	ErrMalformed = errors.New("codec: malformed message")
)

// Errors of Writer.Add, besides ErrTooLarge. The message was not written, and the writer may still be used.
var (
	ErrUnknownKind  = errors.New("codec: unknown kind of message")
	ErrInvalidField = errors.New("codec: field missing or out of range")
)

// VersionError ends the stream of a peer whose major version differs. Versions are major << 8 | minor.
type VersionError struct {
	Peer  int // version of the frame's sender
	Local int // version of this process
}

// Error returns both versions.
func (v *VersionError) Error() string {
	return fmt.Sprintf("codec: the peer has protocol version %d.%d, this process %d.%d: one of the two must be updated",
		v.Peer>>8, v.Peer&0xff, v.Local>>8, v.Local&0xff)
}
