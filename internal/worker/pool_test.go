package worker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// poolFixture has several workers, each with an address of its own. All answer health checks at once.
type poolFixture struct {
	*fixture
	workers []uint64
	opened  map[uint64]int // connections, by worker
}

func newPoolFixture(t *testing.T, count, maxConnections int) *poolFixture {
	t.Helper()
	w := &poolFixture{fixture: newFixture(&modeltest.Steps{T: t}), opened: map[uint64]int{}}
	list := requests.EndpointList{Reset: true}
	for n := range count {
		list.Endpoints = append(list.Endpoints, requests.Endpoint{
			ID: fmt.Sprintf("w-%d", n), Addr: fmt.Sprintf("127.0.1.%d:1", n), Lifecycle: "up",
		})
	}
	w.policy.Received = nil
	w.table.UpdateEndpoints(list)
	w.runIterations()
	for _, event := range w.policy.Received {
		if list, ok := event.(dispatch.WorkerList); ok {
			for _, worker := range list.Workers {
				if worker.Ready {
					w.workers = append(w.workers, worker.ID)
				}
			}
		}
	}
	if len(w.workers) != count {
		t.Fatalf("%d workers are known, expected %d", len(w.workers), count)
	}
	w.pool.maxConnections = maxConnections
	return w
}

// use has an exchange with a worker, and time pass.
func (w *poolFixture) use(worker int) {
	id := w.workers[worker]
	before := len(w.dialed)
	w.pool.CheckHealth(id)
	w.runIterations()
	w.opened[id] += len(w.dialed) - before
	address := w.pool.endpoints[id].address
	for _, p := range w.dialed {
		if p.dialedAddress == address {
			p.read(1 << 20)
			p.write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	w.now += 100 * time.Millisecond
	w.runIterations()
}

// openTo counts the idle connections to a worker.
func (w *poolFixture) openTo(worker int) int {
	return len(w.pool.endpoints[w.workers[worker]].idle)
}

// Where no more connections may be open, the one that has been idle longest is closed for another: workers that are in use keep theirs.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	const workers, inUse, capacity = 40, 3, 5
	w := newPoolFixture(t, workers, capacity)
	for round := range workers - inUse {
		for worker := range inUse {
			w.use(worker)
		}
		w.use(inUse + round) // another one each time
	}
	for worker := range inUse {
		if opened := w.opened[w.workers[worker]]; opened != 1 || w.openTo(worker) != 1 {
			t.Errorf("worker %d, in use all the time: %d connections opened, %d open", worker, opened, w.openTo(worker))
		}
	}
	if pool := w.pool; pool.openCount != capacity || pool.idle.Len() != capacity {
		t.Errorf("%d connections open, %d idle, expected %d", pool.openCount, pool.idle.Len(), capacity)
	}
}

// Connections that come in another order than that in which they became idle are evicted in the latter.
func TestRestoredConnectionsAreEvictedByTheirIdleTimes(t *testing.T) {
	w := newFixture(&modeltest.Steps{T: t})
	pool := w.pool
	for _, idleSince := range []time.Duration{3, 1, 4, 2} {
		endpoint := &endpointConnections{address: netip.AddrPort{}}
		pool.addIdle(&connection{pool: pool, endpoint: endpoint, state: stateIdle, idleSince: idleSince})
	}
	for want := time.Duration(1); want <= 4; want++ {
		if got := pool.idle.Front().Value.(*connection).idleSince; got != want {
			t.Errorf("evicted the one that is idle since %d, expected %d", got, want)
		}
		pool.evictIdle()
	}
}
