package address

import (
	"bytes"
	"errors"
	"net/netip"
)

// Errors of ParseHeader. After ErrUndecided and ErrIncomplete it is called again with more data.
var (
	ErrNoHeader   = errors.New("no PROXY header")
	ErrUndecided  = errors.New("too few bytes to recognize a PROXY header")
	ErrIncomplete = errors.New("incomplete PROXY header")
	ErrMalformed  = errors.New("malformed PROXY header")
)

// ParseHeader parses a PROXY header of version 1 or 2 from the start of data. size is its length in bytes. client is the
// address of the proxy's client; it is not valid if the header has none, as on the proxy's own connections. With an error both
// are zero.
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
