package scheduler

import (
	"net/netip"
	"testing"

	"valvecove/internal/config"
	"valvecove/internal/modeltest"
)

// A reloaded configuration with another discovery address has that server watched, also when the connection to the previous one is
// open. One with the same address leaves the watch as it is.
func TestReloadChangesDiscoveryServer(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.scheduler.Requests.WatchEndpoints()
	w.runIterations()
	conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:100"), Limits: harnessLimits}
	for range 2 {
		w.scheduler.Reload(conf)
		w.runIterations()
		if len(w.dialed) != 2 || w.dialed[1].dialedAddress != conf.Discovery || !w.scheduler.watch.IsOpen() {
			t.Fatalf("%d connections, watched %v", len(w.dialed), w.scheduler.watch.Server())
		}
	}
	if w.dialed[0].read(1 << 12); !w.dialed[0].ended {
		t.Error("the connection to the previous server is left open")
	}
}
