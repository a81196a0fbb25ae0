package scheduler

import (
	"net/netip"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
)

// A process that is replaced keeps nothing of what its successor owns, and ends: no idle connection to a worker or of a client is
// waited for or closed again.
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
		t.Fatalf("%d connections to workers before", count)
	}
	if err := predecessor.handOverTo(predecessor.startSuccessor(dir, address)); err != nil {
		t.Fatal(err)
	}
	process := predecessor.scheduler
	if workers, clients := len(process.workers.Snapshot()), process.clients.ConnectionCount(); workers+clients > 0 || process.watch.IsOpen() {
		t.Fatalf("%d connections to workers, %d of clients, watched %v", workers, clients, process.watch.IsOpen())
	}
	for range 100 {
		predecessor.now += time.Second
		predecessor.runIterations()
	}
	if !process.IsQuiet() || process.watch.IsOpen() {
		t.Errorf("quiet %v, watched %v", process.IsQuiet(), process.watch.IsOpen())
	}
}

// A reload of a process that is replaced opens no watch: discovery would have one caller more, for a list that nobody uses.
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
		t.Errorf("watched %v, %d connections opened", watch.IsOpen(), len(predecessor.dialed)-opened)
	}
}
