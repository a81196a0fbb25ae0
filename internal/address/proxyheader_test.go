package address

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"
)

// binaryHeader returns a version 2 header with a variable part.
func binaryHeader(command, family byte, body string) string {
	return binarySignature + string([]byte{command, family, byte(len(body) >> 8), byte(len(body))}) + body
}

const (
	ipv4Addresses = "\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28" // 203.0.113.7:51514 to 10.20.0.1:9000
	ipv6Addresses = "\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
	// mappedAddresses has the source ::ffff:203.0.113.7, as sent by a proxy that listens on both families.
	mappedAddresses = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff\xff\xcb\x00\x71\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
)

// headersByResult contains headers by the result of ParseHeader; see resultName.
var headersByResult = map[string][]string{
	"203.0.113.7:51514": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", "PROXY TCP6 ::ffff:203.0.113.7 ::1 51514 9000\r\n",
		binaryHeader(0x21, 0x11, ipv4Addresses), binaryHeader(0x21, 0x11, ipv4Addresses+"\x03\x00\x04abcd"), binaryHeader(0x21, 0x21, mappedAddresses+"\x04\x00\x00"),
	},
	"[2001:db8::7]:51514": {"PROXY TCP6 2001:db8::7 2001:db8::1 51514 9000\r\n", binaryHeader(0x21, 0x21, ipv6Addresses)},
	"no client": {
		"PROXY UNKNOWN\r\n", "PROXY UNKNOWN ffff::1 whatever 1 2\r\n", "PROXY UNKNOWN " + strings.Repeat("x", maxTextHeaderBytes-16) + "\r\n",
		binaryHeader(0x20, 0x00, ""), binaryHeader(0x20, 0x11, ipv4Addresses), binaryHeader(0x20, 0x77, "whatever"), binaryHeader(0x21, 0x00, ""), binaryHeader(0x20, 0x00, strings.Repeat("x", maxBinaryVariableBytes)),
	},
	"malformed": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514\r\n",
		"PROXY TCP4 203.0.113.7  10.20.0.1 51514 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000 \r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 65536 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 +1 9000\r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 01 9000\r\n", "PROXY TCP4 203.0.113.256 10.20.0.1 1 9000\r\n",
		"PROXY TCP4 203.0.113.7 x 1 9000\r\n", "PROXY TCP4 ::1 ::1 1 9000\r\n", "PROXY TCP6 203.0.113.7 10.20.0.1 1 9000\r\n",
		"PROXY TCP6 fe80::1%eth0 ::1 1 9000\r\n", "PROXY UDP4 203.0.113.7 10.20.0.1 1 9000\r\n", "PROXY \r\n",
		"PROXY UNKNOWN " + strings.Repeat("x", maxTextHeaderBytes), "PROXY UNKNOWN " + strings.Repeat("x", maxTextHeaderBytes-15) + "\r\n",
		binaryHeader(0x21, 0x11, ipv4Addresses[:11]), binaryHeader(0x21, 0x21, ipv4Addresses), binaryHeader(0x21, 0x12, ipv4Addresses), binaryHeader(0x21, 0x31, strings.Repeat("x", 216)),
		binaryHeader(0x11, 0x11, ipv4Addresses), binaryHeader(0x22, 0x11, ipv4Addresses), binaryHeader(0x21, 0x11, ipv4Addresses+strings.Repeat("x", maxBinaryVariableBytes)),
	},
	"no header": {"POST /a HTTP/1.1\r\n\r\n", "\r\n\r\nGET /up HTTP/1.1\r\n", "PROXYX", "proxy TCP4", "X"},
}

// resultName returns the key of headersByResult for a result of ParseHeader: the client address or one of the texts below.
func resultName(client netip.AddrPort, err error) string {
	switch {
	case errors.Is(err, ErrNoHeader):
		return "no header"
	case errors.Is(err, ErrMalformed):
		return "malformed"
	case err != nil:
		return "incomplete"
	case client.IsValid():
		return client.String()
	}
	return "no client"
}

func TestParseHeader(t *testing.T) {
	for want, texts := range headersByResult {
		for _, text := range texts {
			client, size, err := ParseHeader([]byte(text + "GET /up"))
			if got := resultName(client, err); got != want || err == nil && size != len(text) {
				t.Errorf("%.60q: %s, size %d of %d, expected %s", text, got, size, len(text), want)
			}
		}
	}
}

// A header is not longer than its input, and has no client if there is an error. A header of version 1 ends with the first
// line.
func FuzzParseHeader(f *testing.F) {
	for _, texts := range headersByResult {
		for _, text := range texts {
			f.Add([]byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client, size, err := ParseHeader(data)
		if size > len(data) || (err == nil) != (size > 0) || err != nil && client.IsValid() || client.Addr().Is4In6() || client.Addr().Zone() != "" {
			t.Fatalf("%v, size %d of %d, %v", client, size, len(data), err)
		}
		for length := range data {
			checkPrefix(t, data, length)
		}
		if err == nil && data[0] == 'P' && bytes.IndexByte(data[:size], '\n') != size-1 {
			t.Fatal("a version 1 header does not end with its first line")
		}
	})
}

// checkPrefix checks that a proper prefix of a valid header is incomplete, that input after the header does not change the
// result, and that no prefix is accepted if the whole input has no header or an incomplete one.
func checkPrefix(t *testing.T, data []byte, length int) {
	t.Helper()
	client, size, err := ParseHeader(data)
	part, partSize, partErr := ParseHeader(data[:length])
	switch {
	case err == nil && length < size && !errors.Is(partErr, ErrIncomplete) && !errors.Is(partErr, ErrUndecided):
		t.Fatalf("%d of %d bytes: %v", length, size, partErr)
	case err == nil && length >= size && (partSize != size || part != client):
		t.Fatalf("more input changed the header: %v, %v", part, client)
	case errors.Is(err, ErrNoHeader) && partErr == nil,
		errors.Is(err, ErrIncomplete) && (partErr == nil || errors.Is(partErr, ErrMalformed)):
		t.Fatalf("complete input: %v, prefix: %v", err, partErr)
	}
}
