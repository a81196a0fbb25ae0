package filesystem

import (
	"errors"
	"io"
	"syscall"
)

// maxInterruptions bounds how often a call that a signal has interrupted is made anew.
const maxInterruptions = 100

// MayPass reports whether an error is one of a disk that fails or is full, which may pass, and not of a wrong path or right.
func MayPass(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, syscall.EINTR)
}

// RetryInterrupted makes a call, and makes it anew as long as it is interrupted.
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

// WriteAll writes all of data, in several calls if one is interrupted or writes less than it was given. It returns how much
// was written, and an error if that is not all.
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
