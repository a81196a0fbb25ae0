package address

import (
	"bytes"
	"errors"
	"net/netip"
)

// Errors of ParseHeader.
var (
	ErrNoHeader   = errors.New("no PROXY header")
	ErrUndecided  = errors.New("the start of a PROXY header, or of something else") // more bytes will tell
	ErrIncomplete = errors.New("a PROXY header that is not whole yet")
	ErrMalformed  = errors.New("malformed PROXY header")
)

// ParseHeader reads a PROXY header of version 1 or 2 from the start of data. size is its length in bytes; client is whom
// the proxy speaks for, and is not valid where the header names nobody, as for the proxy's own connections. With an error
// both are zero.
func ParseHeader(data []byte) (client netip.AddrPort, size int, err error) {
	for _, version := range []struct {
		signature string
		parse     func(data []byte) (client netip.AddrPort, size int, err error)
	}{
		{textSignature, parseText},
		{binarySignature, parseBinary},
	} {
		signature := []byte(version.signature)
		if len(data) < len(signature) && bytes.HasPrefix(signature, data) {
			return netip.AddrPort{}, 0, ErrUndecided
		}
		if bytes.HasPrefix(data, signature) {
			return version.parse(data)
		}
	}
	return netip.AddrPort{}, 0, ErrNoHeader
}
