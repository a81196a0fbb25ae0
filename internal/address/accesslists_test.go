package address

import (
	"net/netip"
	"testing"

	"valvecove/internal/config"
)

// parsePrefixes parses address ranges. It panics if one is not valid.
func parsePrefixes(texts ...string) []netip.Prefix {
	var prefixes []netip.Prefix
	for _, text := range texts {
		prefixes = append(prefixes, netip.MustParsePrefix(text))
	}
	return prefixes
}

func TestAccessLists(t *testing.T) {
	lists := NewAccessLists(config.Addresses{
		Allow: parsePrefixes("10.20.0.0/16", "fd00:5a::/48"), Deny: parsePrefixes("10.20.9.0/24"),
		TrustedProxies: parsePrefixes("10.20.0.9/32"),
	})
	open := NewAccessLists(config.Addresses{Deny: parsePrefixes("10.0.0.0/8", "::/0")})
	for text, want := range map[string][2]string{
		"10.20.0.1":        {"", "in addresses.deny"},
		"::ffff:10.20.0.1": {"", "in addresses.deny"},
		"10.20.9.1":        {"in addresses.deny", "in addresses.deny"},
		"10.21.0.1":        {"not in addresses.allow", "in addresses.deny"},
		"192.0.2.1":        {"not in addresses.allow", ""},
		"fd00:5a::1":       {"", "in addresses.deny"},
		"fd00:5a::1%eth0":  {"", "in addresses.deny"},
		"fd00:5b::1":       {"not in addresses.allow", "in addresses.deny"},
	} {
		addr := netip.MustParseAddr(text)
		if got := [2]string{lists.RejectionReason(addr), open.RejectionReason(addr)}; got != want {
			t.Errorf("%s: %q, expected %q", text, got, want)
		}
		if lists.TrustsProxy(addr) {
			t.Errorf("%s is a trusted proxy", text)
		}
	}
	if !lists.TrustsProxy(netip.MustParseAddr("::ffff:10.20.0.9")) {
		t.Error("the IPv4-mapped address of a trusted proxy is not trusted")
	}
}
