package scheduler

import (
	"net/netip"
	"testing"

	"valvecove/internal/config"
	"valvecove/internal/modeltest"
)

// After a reload with another discovery address that server is watched, also if the connection to the previous one is open. A
// reload with the same address does not change the watch.
func TestReloadChangesDiscoveryServer(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	h.scheduler.Requests.WatchEndpoints()
	h.runIterations()
	conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:100"), Limits: harnessLimits}
	for range 2 {
		h.scheduler.Reload(conf)
		h.runIterations()
		if len(h.dialed) != 2 || h.dialed[1].dialedAddress != conf.Discovery || !h.scheduler.watch.IsOpen() {
			t.Fatalf("%d connections, watching %v", len(h.dialed), h.scheduler.watch.Server())
		}
	}
	if h.dialed[0].Read(1 << 12); !h.dialed[0].Ended {
		t.Error("the connection to the previous server is still open")
	}
}
