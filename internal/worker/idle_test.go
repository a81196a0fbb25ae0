package worker

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// A health check that is lost with a reused connection is not reported as a failure of its worker. From then on, connections that
// were idle for about as long are not reused, until the reuse limit has been raised again.
func TestReuseLimitAfterLostConnection(t *testing.T) {
	f := newFixture(t)
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	check := func(idle time.Duration, response string, wantOpened int, want dispatch.Result) {
		t.Helper()
		f.now += idle
		f.policy.Next = append(f.policy.Next, dispatch.HealthCheck{Worker: f.workerNumber()})
		f.table.DiscoveryFailed()
		f.runIterations()
		if len(f.dialed) != wantOpened {
			t.Errorf("%d connections opened, expected %d", len(f.dialed), wantOpened)
		}
		p := f.dialed[len(f.dialed)-1]
		if p.Read(1 << 10); response == "" {
			p.Close()
		} else {
			p.Write([]byte(response))
		}
		f.runIterations()
		if got, _ := f.policy.Received[len(f.policy.Received)-1].(dispatch.HealthChecked); got.Result != want {
			t.Errorf("health check ended as %v, expected %v", got.Result, want)
		}
	}
	check(0, ok, 1, dispatch.OK)
	check(4*minReuseLimit, ok, 1, dispatch.OK)
	check(4*minReuseLimit, "", 1, dispatch.NotSent)
	check(0, ok, 2, dispatch.OK)
	check(minReuseLimit, ok, 2, dispatch.OK)
	check(3*minReuseLimit, ok, 3, dispatch.OK)
	check(0, ok, 3, dispatch.OK)
	for range 3 {
		f.now += reuseLimitRaiseInterval
		f.runIterations()
	}
	check(0, ok, 4, dispatch.OK)
	check(3*minReuseLimit, ok, 4, dispatch.OK)
	check(reuseLimitRaiseInterval*100, "", 5, dispatch.ConnectionReset) // on a new connection the loss is a failure of the worker
}

// A connection is not reused if its worker's process has been replaced, if it was idle for too long, or if the worker has closed
// it. The DELETE of an accepted attempt, with its call ID, then uses a new connection.
func TestIdleConnectionsExpire(t *testing.T) {
	f := newFixture(t)
	endpoint := requests.Endpoint{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up", StartedAtMs: 5}
	sent := 0
	send := func() *peer {
		sent++
		request, err := f.table.Admit(f.now, requests.Arrival{
			CallID: fmt.Sprint("q", sent), Job: dispatch.Job{Remaining: 5 * time.Second},
			Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: noResponder{},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: request.ID, Worker: f.workerNumber()})
		f.runIterations()
		p := f.dialed[len(f.dialed)-1]
		p.Read(1 << 12)
		p.Received = nil
		p.Write([]byte(workerResponses[0].text))
		f.runIterations()
		return p
	}
	first := send()
	f.now += reuseDelay
	if second := send(); second != first {
		t.Fatal("an idle connection was not reused")
	}
	f.policy.Next = append(f.policy.Next, dispatch.Cancel{Job: 2})
	f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{endpoint}})
	f.runIterations()
	last := f.dialed[len(f.dialed)-1]
	if last.Read(1 << 12); last == first || !strings.HasPrefix(string(last.Received), "DELETE /jobs/q2 ") {
		t.Errorf("cancelled by %q, on the old connection %v", last.Received, last == first)
	}
	last.Write([]byte(workerResponses[0].text))
	f.runIterations()
	f.now += 50 * time.Second
	f.runIterations()
	if last.Read(1); !last.Ended {
		t.Error("a connection was kept beyond the idle limit")
	}
	// The worker closes the connection after the events of the iteration were gathered: nothing may be written to it.
	idle, opened := send(), len(f.dialed)
	idle.Close()
	f.policy.Next = append(f.policy.Next, dispatch.HealthCheck{Worker: f.workerNumber()})
	f.table.DiscoveryFailed()
	if f.table.Step(f.now); len(f.dialed) != opened+1 {
		t.Error("a connection that had just been closed was reused")
	}
}

// poolFixture is a fixture with several workers at different addresses, which respond to health checks at once.
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
			remote.Read(1 << 20)
			remote.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	p.now += 100 * time.Millisecond
	p.runIterations()
}

// idleCount returns the number of idle connections to a worker.
func (p *poolFixture) idleCount(worker int) int {
	return len(p.pool.endpoints[p.workers[worker]].idle)
}

// At the limit of connections, the one that has been idle longest is closed for a new one: workers in regular use keep theirs.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	const workers, inUse, capacity = 40, 3, 5
	p := newPoolFixture(t, workers, capacity)
	for round := range workers - inUse {
		for worker := range inUse {
			p.use(worker)
		}
		p.use(inUse + round) // another worker each time
	}
	for worker := range inUse {
		if opened := p.opened[p.workers[worker]]; opened != 1 || p.idleCount(worker) != 1 {
			t.Errorf("worker %d, in regular use: %d connections opened, %d open", worker, opened, p.idleCount(worker))
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
