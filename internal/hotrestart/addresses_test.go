package hotrestart

import (
	"net/netip"
	"slices"
	"testing"
)

// The addresses must not change: processes of all builds find each other there.
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
		t.Error("IsAbstract does not distinguish the abstract name from the file")
	}
}
