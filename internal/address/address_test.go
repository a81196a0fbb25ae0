package address

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"

	"valvecove/internal/config"
)

func TestLists(t *testing.T) {
	prefixes := func(texts ...string) (list []netip.Prefix) {
		for _, text := range texts {
			list = append(list, netip.MustParsePrefix(text))
		}
		return list
	}
	lists := New(config.Addresses{
		Allow: prefixes("10.20.0.0/16", "fd00:5a::/48"), Deny: prefixes("10.20.9.0/24"),
		TrustedProxies: prefixes("10.20.0.9/32"),
	})
	open := New(config.Addresses{Deny: prefixes("10.0.0.0/8", "::/0")})
	for a, want := range map[string][2]string{
		"10.20.0.1":        {"", "in addresses.deny"},
		"::ffff:10.20.0.1": {"", "in addresses.deny"},
		"10.20.9.1":        {"in addresses.deny", "in addresses.deny"},
		"10.21.0.1":        {"not in addresses.allow", "in addresses.deny"},
		"192.0.2.1":        {"not in addresses.allow", ""},
		"fd00:5a::1":       {"", "in addresses.deny"},
		"fd00:5a::1%eth0":  {"", "in addresses.deny"},
		"fd00:5b::1":       {"not in addresses.allow", "in addresses.deny"},
	} {
		addr := netip.MustParseAddr(a)
		if got := [2]string{lists.RejectionReason(addr), open.RejectionReason(addr)}; got != want {
			t.Errorf("%s: %q, expected %q", a, got, want)
		}
		if lists.TrustsProxy(addr) {
			t.Errorf("%s is trusted", a)
		}
	}
	if !lists.TrustsProxy(netip.MustParseAddr("::ffff:10.20.0.9")) {
		t.Error("a front is not trusted")
	}
}

func v2(command, family byte, body string) string {
	return binaryStart + string([]byte{command, family, byte(len(body) >> 8), byte(len(body))}) + body
}

const (
	four = "\xcb\x00\x71\x07\x0a\x14\x00\x01\xc9\x3a\x23\x28" // 203.0.113.7:51514 to 10.20.0.1:9000
	six  = "\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
	// ::ffff:203.0.113.7, as a front that listens on both families has it
	mapped = "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\xff\xff\xcb\x00\x71\x07\x20\x01\x0d\xb8\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\xc9\x3a\x23\x28"
)

// headers and what each says: a client, "own", or what is wrong with it.
var headers = map[string][]string{
	"203.0.113.7:51514": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\r\n", "PROXY TCP6 ::ffff:203.0.113.7 ::1 51514 9000\r\n",
		v2(0x21, 0x11, four), v2(0x21, 0x11, four+"\x03\x00\x04abcd"), v2(0x21, 0x21, mapped+"\x04\x00\x00"),
	},
	"[2001:db8::7]:51514": {"PROXY TCP6 2001:db8::7 2001:db8::1 51514 9000\r\n", v2(0x21, 0x21, six)},
	"own": {
		"PROXY UNKNOWN\r\n", "PROXY UNKNOWN ffff::1 whatever 1 2\r\n", "PROXY UNKNOWN " + strings.Repeat("x", textMost-16) + "\r\n",
		v2(0x20, 0x00, ""), v2(0x20, 0x11, four), v2(0x20, 0x77, "whatever"), v2(0x21, 0x00, ""), v2(0x20, 0x00, strings.Repeat("x", binaryMost)),
	},
	"bad": {
		"PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514\r\n",
		"PROXY TCP4 203.0.113.7  10.20.0.1 51514 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 51514 9000 \r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 65536 9000\r\n", "PROXY TCP4 203.0.113.7 10.20.0.1 +1 9000\r\n",
		"PROXY TCP4 203.0.113.7 10.20.0.1 01 9000\r\n", "PROXY TCP4 203.0.113.256 10.20.0.1 1 9000\r\n",
		"PROXY TCP4 203.0.113.7 x 1 9000\r\n", "PROXY TCP4 ::1 ::1 1 9000\r\n", "PROXY TCP6 203.0.113.7 10.20.0.1 1 9000\r\n",
		"PROXY TCP6 fe80::1%eth0 ::1 1 9000\r\n", "PROXY UDP4 203.0.113.7 10.20.0.1 1 9000\r\n", "PROXY \r\n",
		"PROXY UNKNOWN " + strings.Repeat("x", textMost), "PROXY UNKNOWN " + strings.Repeat("x", textMost-15) + "\r\n",
		v2(0x21, 0x11, four[:11]), v2(0x21, 0x21, four), v2(0x21, 0x12, four), v2(0x21, 0x31, strings.Repeat("x", 216)),
		v2(0x11, 0x11, four), v2(0x22, 0x11, four), v2(0x21, 0x11, four+strings.Repeat("x", binaryMost)),
	},
	"none": {"POST /a HTTP/1.1\r\n\r\n", "\r\n\r\nGET /up HTTP/1.1\r\n", "PROXYX", "proxy TCP4", "X"},
}

func said(client netip.AddrPort, err error) string {
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

func TestHeaders(t *testing.T) {
	for want, texts := range headers {
		for _, text := range texts {
			client, n, err := ParseHeader([]byte(text + "GET /up"))
			if got := said(client, err); got != want || err == nil && n != len(text) {
				t.Errorf("%.60q: %s, took %d of %d, expected %s", text, got, n, len(text), want)
			}
		}
	}
}

// Cut anywhere a header is short, or already bad, and in one piece what it is; no bytes make more of a header than
// there are, or the words of its line end up in the address.
func FuzzHeader(f *testing.F) {
	for _, texts := range headers {
		for _, text := range texts {
			f.Add([]byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		client, n, err := ParseHeader(b)
		if n > len(b) || (err == nil) != (n > 0) || err != nil && client.IsValid() || client.Addr().Is4In6() || client.Addr().Zone() != "" {
			t.Fatalf("%v, took %d of %d, %v", client, n, len(b), err)
		}
		for i := range b {
			part, k, short := ParseHeader(b[:i])
			switch {
			case err == nil && i < n && !errors.Is(short, ErrIncomplete) && !errors.Is(short, ErrUndecided):
				t.Fatalf("%d of %d bytes: %v", i, n, short)
			case err == nil && i >= n && (k != n || part != client):
				t.Fatalf("more bytes changed the header: %v, %v", part, client)
			case errors.Is(err, ErrNoHeader) && short == nil, errors.Is(err, ErrIncomplete) && (short == nil || errors.Is(short, ErrMalformed)):
				t.Fatalf("%v in whole, %v in part", err, short)
			}
		}
		if err == nil && b[0] == 'P' && bytes.IndexByte(b[:n], '\n') != n-1 {
			t.Fatal("a header of two lines")
		}
	})
}
