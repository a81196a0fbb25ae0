package address

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"
)

// binaryHeader writes a version 2 header.
func binaryHeader(command, family byte, body string) string {
	return binarySignature + string([]byte{command, family, byte(len(body) >> 8), byte(len(body))}) + body
}

const (
	four = "\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28" // 203.0.113.7:51514 to 10.20.0.1:9000
	six  = "\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
	// mapped is ::ffff:203.0.113.7, which a proxy that listens on both families sends.
	mapped = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff\xff\xcb\x00\x71\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
)

// headers and what each says: a client, "own", or what is wrong with it.
var headers = map[string][]string{
	"203.0.113.7:51514": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", "PROXY TCP6 ::ffff:203.0.113.7 ::1 51514 9000\r\n",
		binaryHeader(0x21, 0x11, four), binaryHeader(0x21, 0x11, four+"\x03\x00\x04abcd"), binaryHeader(0x21, 0x21, mapped+"\x04\x00\x00"),
	},
	"[2001:db8::7]:51514": {"PROXY TCP6 2001:db8::7 2001:db8::1 51514 9000\r\n", binaryHeader(0x21, 0x21, six)},
	"own": {
		"PROXY UNKNOWN\r\n", "PROXY UNKNOWN ffff::1 whatever 1 2\r\n", "PROXY UNKNOWN " + strings.Repeat("x", maxTextBytes-16) + "\r\n",
		binaryHeader(0x20, 0x00, ""), binaryHeader(0x20, 0x11, four), binaryHeader(0x20, 0x77, "whatever"), binaryHeader(0x21, 0x00, ""), binaryHeader(0x20, 0x00, strings.Repeat("x", maxBinaryBytes)),
	},
	"bad": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514\r\n",
		"PROXY TCP4 203.0.113.7  10.20.0.1 51514 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000 \r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 65536 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 +1 9000\r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 01 9000\r\n", "PROXY TCP4 203.0.113.256 10.20.0.1 1 9000\r\n",
		"PROXY TCP4 203.0.113.7 x 1 9000\r\n", "PROXY TCP4 ::1 ::1 1 9000\r\n", "PROXY TCP6 203.0.113.7 10.20.0.1 1 9000\r\n",
		"PROXY TCP6 fe80::1%eth0 ::1 1 9000\r\n", "PROXY UDP4 203.0.113.7 10.20.0.1 1 9000\r\n", "PROXY \r\n",
		"PROXY UNKNOWN " + strings.Repeat("x", maxTextBytes), "PROXY UNKNOWN " + strings.Repeat("x", maxTextBytes-15) + "\r\n",
		binaryHeader(0x21, 0x11, four[:11]), binaryHeader(0x21, 0x21, four), binaryHeader(0x21, 0x12, four), binaryHeader(0x21, 0x31, strings.Repeat("x", 216)),
		binaryHeader(0x11, 0x11, four), binaryHeader(0x22, 0x11, four), binaryHeader(0x21, 0x11, four+strings.Repeat("x", maxBinaryBytes)),
	},
	"none": {"POST /a HTTP/1.1\r\n\r\n", "\r\n\r\nGET /up HTTP/1.1\r\n", "PROXYX", "proxy TCP4", "X"},
}

// describe names a result of ParseHeader as the keys of headers do.
func describe(client netip.AddrPort, err error) string {
	switch {
	case errors.Is(err, ErrNoHeader):
		return "none"
	case errors.Is(err, ErrMalformed):
		return "bad"
	case err != nil:
		return "short"
	case client.IsValid():
		return client.String()
	}
	return "own"
}

func TestParseHeader(t *testing.T) {
	for want, texts := range headers {
		for _, text := range texts {
			client, size, err := ParseHeader([]byte(text + "GET /up"))
			if got := describe(client, err); got != want || err == nil && size != len(text) {
				t.Errorf("%.60q: %s, took %d of %d, expected %s", text, got, size, len(text), want)
			}
		}
	}
}

// A header takes no more bytes than there are, and never names a client beside an error. One of version 1 ends with its
// first line.
func FuzzParseHeader(f *testing.F) {
	for _, texts := range headers {
		for _, text := range texts {
			f.Add([]byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client, size, err := ParseHeader(data)
		if size > len(data) || (err == nil) != (size > 0) || err != nil && client.IsValid() || client.Addr().Is4In6() || client.Addr().Zone() != "" {
			t.Fatalf("%v, took %d of %d, %v", client, size, len(data), err)
		}
		for length := range data {
			checkPart(t, data, length)
		}
		if err == nil && data[0] == 'P' && bytes.IndexByte(data[:size], '\n') != size-1 {
			t.Fatal("a header of two lines")
		}
	})
}

// checkPart expects that the first bytes of a header are incomplete, or already malformed, and that a complete header reads
// the same whatever follows it.
func checkPart(t *testing.T, data []byte, length int) {
	t.Helper()
	client, size, err := ParseHeader(data)
	part, partSize, partErr := ParseHeader(data[:length])
	switch {
	case err == nil && length < size && !errors.Is(partErr, ErrIncomplete) && !errors.Is(partErr, ErrUndecided):
		t.Fatalf("%d of %d bytes: %v", length, size, partErr)
	case err == nil && length >= size && (partSize != size || part != client):
		t.Fatalf("more bytes changed the header: %v, %v", part, client)
	case errors.Is(err, ErrNoHeader) && partErr == nil,
		errors.Is(err, ErrIncomplete) && (partErr == nil || errors.Is(partErr, ErrMalformed)):
		t.Fatalf("%v in whole, %v in part", err, partErr)
	}
}
