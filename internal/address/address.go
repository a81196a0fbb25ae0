// Package address says who may connect, and reads the PROXY headers by which trusted fronts tell whom they speak for.
package address

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"
	"strings"

	"valvecove/internal/config"
)

// AccessLists are those of the configuration.
type AccessLists struct{ conf config.Addresses }

// New returns the lists.
func New(conf config.Addresses) *AccessLists { return &AccessLists{conf} }

// RejectionReason names the list by which an address may not connect; none: it may.
func (l *AccessLists) RejectionReason(a netip.Addr) string {
	switch {
	case within(l.conf.Deny, a):
		return "in addresses.deny"
	case len(l.conf.Allow) > 0 && !within(l.conf.Allow, a):
		return "not in addresses.allow"
	}
	return ""
}

// TrustsProxy tells whether a PROXY header is taken from an address.
func (l *AccessLists) TrustsProxy(a netip.Addr) bool { return within(l.conf.TrustedProxies, a) }

func within(ranges []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap().WithZone("") // a zone names an interface of ours and is no part of the address
	for _, r := range ranges {
		if r.Contains(a) {
			return true
		}
	}
	return false
}

// What Header says of bytes that are no header, or not a whole one yet.
var (
	ErrNoHeader   = errors.New("no PROXY header")
	ErrUndecided  = errors.New("the start of a PROXY header, or of something else")
	ErrIncomplete = errors.New("a PROXY header that is not whole yet")
	ErrMalformed  = errors.New("malformed PROXY header")
)

const (
	textStart   = "PROXY "
	binaryStart = "\r\n\r\n\x00\r\nQUIT\n"
	textMost    = 107  // bytes of a version 1 header, its line end included
	binaryMost  = 4096 // bytes behind the fixed part of a version 2 header
)

// ParseHeader reads a PROXY header from the start of b, of which it took n bytes. Where it names no client, as for a
// front's own connections, that is the one of the socket, and client is not valid.
func ParseHeader(b []byte) (client netip.AddrPort, n int, err error) {
	for _, start := range []string{textStart, binaryStart} {
		switch {
		case len(b) < len(start) && strings.HasPrefix(start, string(b)):
			return client, 0, ErrUndecided
		case !bytes.HasPrefix(b, []byte(start)):
		case start == textStart:
			return text(b)
		default:
			return binaryForm(b)
		}
	}
	return client, 0, ErrNoHeader
}

// text reads version 1: one line.
func text(b []byte) (client netip.AddrPort, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), textMost)], '\n')
	switch {
	case end < 0 && len(b) < textMost:
		return client, 0, ErrIncomplete
	case end < 0 || b[end-1] != '\r':
		return client, 0, ErrMalformed
	}
	n = end + 1
	words := strings.Split(string(b[len(textStart):end-1]), " ")
	if words[0] == "UNKNOWN" {
		return client, n, nil
	}
	if len(words) != 5 || words[0] != "TCP4" && words[0] != "TCP6" {
		return client, 0, ErrMalformed
	}
	for i := range 2 { // the source is the client; the destination has to make sense too
		a, err := netip.ParseAddr(words[1+i])
		port, err2 := strconv.ParseUint(words[3+i], 10, 16)
		if err != nil || err2 != nil || a.Is4() != (words[0] == "TCP4") || a.Zone() != "" || words[3+i] != strconv.FormatUint(port, 10) {
			return netip.AddrPort{}, 0, ErrMalformed
		}
		if i == 0 {
			client = netip.AddrPortFrom(a.Unmap(), uint16(port))
		}
	}
	return client, n, nil
}

// binaryForm reads version 2. What follows the addresses is skipped.
func binaryForm(b []byte) (client netip.AddrPort, n int, err error) {
	const fixed = 16
	if len(b) > 12 && b[12] != 0x20 && b[12] != 0x21 {
		return client, 0, ErrMalformed
	}
	if len(b) < fixed {
		return client, 0, ErrIncomplete
	}
	length := int(binary.BigEndian.Uint16(b[14:]))
	own := b[12] == 0x20 || b[13] == 0 // a front's own connection, or of no family that is known
	size := map[byte]int{0x11: 4, 0x21: 16}[b[13]]
	switch {
	case length > binaryMost, !own && (size == 0 || length < 2*size+4):
		return client, 0, ErrMalformed
	case len(b) < fixed+length:
		return client, 0, ErrIncomplete
	}
	n = fixed + length
	if !own {
		a, _ := netip.AddrFromSlice(b[fixed : fixed+size])
		client = netip.AddrPortFrom(a.Unmap(), binary.BigEndian.Uint16(b[fixed+2*size:]))
	}
	return client, n, nil
}
