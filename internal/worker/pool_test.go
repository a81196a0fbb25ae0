package worker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// poolFixture is a fixture with several workers, each with an address of its own, that respond to health checks at once.
type poolFixture struct {
	*fixture
	workers []uint64
	opened  map[uint64]int // connections opened so far, by worker
}

func newPoolFixture(t *testing.T, count, maxConnections int) *poolFixture {
	t.Helper()
	p := &poolFixture{fixture: newFixture(t), opened: map[uint64]int{}}
	list := requests.EndpointList{Reset: true}
	for n := range count {
		list.Endpoints = append(list.Endpoints, requests.Endpoint{
			ID: fmt.Sprintf("w-%d", n), Addr: fmt.Sprintf("127.0.1.%d:1", n), Lifecycle: "up",
		})
	}
	p.policy.Received = nil
	p.table.UpdateEndpoints(list)
	p.runIterations()
	for _, event := range p.policy.Received {
		if list, ok := event.(dispatch.WorkerList); ok {
			for _, worker := range list.Workers {
				if worker.Ready {
					p.workers = append(p.workers, worker.ID)
				}
			}
		}
	}
	if len(p.workers) != count {
		t.Fatalf("%d workers are known, expected %d", len(p.workers), count)
	}
	p.pool.SetMaxConnections(maxConnections)
	return p
}

// use checks the health of a worker, and advances the clock.
func (p *poolFixture) use(worker int) {
	id := p.workers[worker]
	before := len(p.dialed)
	p.pool.CheckHealth(id)
	p.runIterations()
	p.opened[id] += len(p.dialed) - before
	address := p.pool.endpoints[id].address
	for _, remote := range p.dialed {
		if remote.dialedAddress == address {
			remote.read(1 << 20)
			remote.write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	p.now += 100 * time.Millisecond
	p.runIterations()
}

// idleCount returns the number of idle connections to a worker.
func (p *poolFixture) idleCount(worker int) int {
	return len(p.pool.endpoints[p.workers[worker]].idle)
}

// At the limit of connections, the one that has been idle longest is closed for a new one: workers that are in use keep theirs.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	const workers, inUse, capacity = 40, 3, 5
	p := newPoolFixture(t, workers, capacity)
	for round := range workers - inUse {
		for worker := range inUse {
			p.use(worker)
		}
		p.use(inUse + round) // another one each time
	}
	for worker := range inUse {
		if opened := p.opened[p.workers[worker]]; opened != 1 || p.idleCount(worker) != 1 {
			t.Errorf("worker %d, in use all the time: %d connections opened, %d open", worker, opened, p.idleCount(worker))
		}
	}
	if pool := p.pool; pool.openCount != capacity || pool.idle.Len() != capacity {
		t.Errorf("%d connections open, %d idle, expected %d", pool.openCount, pool.idle.Len(), capacity)
	}
}

// Restored connections are evicted in the order in which they became idle, whatever the order in which they are restored.
func TestRestoredConnectionsAreEvictedByTheirIdleTimes(t *testing.T) {
	f := newFixture(t)
	pool := f.pool
	for _, idleSince := range []time.Duration{3, 1, 4, 2} {
		endpoint := &endpointConnections{address: netip.AddrPort{}}
		pool.addIdle(&connection{pool: pool, endpoint: endpoint, state: stateIdle, idleSince: idleSince})
	}
	for want := time.Duration(1); want <= 4; want++ {
		if got := pool.idle.Front().Value.(*connection).idleSince; got != want {
			t.Errorf("evicted the connection that is idle since %d, expected %d", got, want)
		}
		pool.evictIdle()
	}
}
