package filesystem

import (
	"errors"
	"io"
	"syscall"
)

// maxInterruptions is the maximum number of times that a call is repeated because signals have interrupted it.
const maxInterruptions = 100

// IsTemporary reports whether an error may be temporary: the disk fails or is full, or a signal has interrupted the call. Errors
// of a wrong path or a missing permission are not temporary.
func IsTemporary(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EINTR)
}

// RetryInterrupted makes a call, and repeats it up to maxInterruptions times while signals interrupt it.
func RetryInterrupted(call func() error) error {
	err := call()
	for range maxInterruptions {
		if !errors.Is(err, syscall.EINTR) {
			break
		}
		err = call()
	}
	return err
}

// WriteAll writes all data, in several calls if one is interrupted by a signal or writes only a part. It returns the number of
// written bytes, and an error if not all were written.
func WriteAll(destination io.Writer, data []byte) (written int, err error) {
	for interruptions := 0; written < len(data); {
		size, err := destination.Write(data[written:])
		written += size
		switch {
		case written >= len(data):
			return written, nil
		case size > 0 && (err == nil || errors.Is(err, io.ErrShortWrite)):
		case errors.Is(err, syscall.EINTR) && interruptions < maxInterruptions:
			interruptions++
		case err != nil:
			return written, err
		default:
			return written, io.ErrShortWrite
		}
	}
	return written, nil
}
