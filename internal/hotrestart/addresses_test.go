package hotrestart

import (
	"net/netip"
	"slices"
	"testing"
)

// The addresses are where processes of all builds look for each other.
func TestSocketAddresses(t *testing.T) {
	listen := netip.MustParseAddrPort("10.0.0.4:9000")
	if got := SocketAddresses("", listen); !slices.Equal(got, []string{"@valvecove/10.0.0.4:9000"}) {
		t.Errorf("without a directory: %q", got)
	}
	got := SocketAddresses("/var/tmp", listen)
	if !slices.Equal(got, []string{"/var/tmp/successor.sock", "@valvecove/10.0.0.4:9000"}) {
		t.Errorf("with a directory: %q", got)
	}
	if IsAbstract(got[0]) || !IsAbstract(got[1]) {
		t.Error("the abstract name is not told from the file")
	}
}
