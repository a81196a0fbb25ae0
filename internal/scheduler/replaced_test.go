package scheduler

import (
	"net/netip"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
)

// A replaced process keeps no connection that its successor owns. It becomes idle, without waiting for idle connections to
// workers or of clients, or closing them a second time.
func TestReplacedProcessKeepsNoConnection(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	predecessor.sendRequest(address)
	predecessor.policy.Next = []dispatch.Action{dispatch.HealthCheck{Worker: predecessor.workerNumber()}}
	predecessor.scheduler.Requests.Wake()
	predecessor.runIterations()
	predecessor.dialed[0].Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	predecessor.runIterations()
	if count := len(predecessor.scheduler.workers.Snapshot()); count != 1 {
		t.Fatalf("%d connections to workers before the hot restart", count)
	}
	if err := predecessor.handOverTo(predecessor.startSuccessor(dir, address)); err != nil {
		t.Fatal(err)
	}
	process := predecessor.scheduler
	if workers, clients := len(process.workers.Snapshot()), process.clients.ConnectionCount(); workers+clients > 0 || process.watch.IsOpen() {
		t.Fatalf("%d connections to workers, %d of clients, watch open %v", workers, clients, process.watch.IsOpen())
	}
	for range 100 {
		predecessor.now += time.Second
		predecessor.runIterations()
	}
	if !process.IsIdle() || process.watch.IsOpen() {
		t.Errorf("scheduler idle %v, watch open %v", process.IsIdle(), process.watch.IsOpen())
	}
}

// A reload of a replaced process opens no watch: that would load discovery for a list that is not used.
func TestReloadOfReplacedProcessOpensNoWatch(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	if err := predecessor.handOverTo(predecessor.startSuccessor(dir, address)); err != nil {
		t.Fatal(err)
	}
	opened := len(predecessor.dialed)
	conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:8"), Limits: config.Limits{Sockets: 512, MemoryMB: 64}}
	predecessor.scheduler.Reload(conf)
	predecessor.runIterations()
	if watch := predecessor.scheduler.watch; watch.IsOpen() || len(predecessor.dialed) != opened {
		t.Errorf("watch open %v, %d connections opened", watch.IsOpen(), len(predecessor.dialed)-opened)
	}
}
