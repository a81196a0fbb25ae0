package environment

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

func TestNetworkDelays(t *testing.T) {
	spec, _ := uniformFleet(4)
	spec.Fleet.Zones = []string{"a", "b"}
	spec.Network = scenario.Network{
		Delay: scenario.Duration(ms), CrossZone: scenario.Duration(10 * ms), ClientDelay: scenario.Duration(2 * ms),
		Jitter: 0.5,
	}
	r := newWorkerHarness(t, spec, 1)
	check := func(from, to endpoint, want, cv float64) {
		t.Helper()
		const n = 20_000
		sum, squares := 0.0, 0.0
		for i := range n {
			r.env.now = time.Duration(i) * time.Microsecond
			at, _ := r.env.network.arrival(from, to)
			d := (at - r.env.now).Seconds() * 1000
			sum, squares = sum+d, squares+d*d
		}
		mean := sum / n
		got := math.Sqrt(squares/n-mean*mean) / mean
		if math.Abs(mean-want) > 0.05*want || math.Abs(got-cv) > 0.05*cv {
			t.Errorf("delay from %v to %v: mean %v ms, coefficient of variation %v; want %v and %v", from, to, mean, got, want, cv)
		}
	}
	sched, near, far := endpoint{schedulerEndpoint, 0}, endpoint{workerEndpoint, 2}, endpoint{workerEndpoint, 3}
	check(sched, near, 1, 0.5)
	check(far, sched, 10, 0.5)
	check(endpoint{clientEndpoint, 7}, sched, 2, 0.5)
	check(endpoint{discoveryEndpoint, 0}, far, 1, 0.5)
	undo := r.env.network.addDelay(endpointGroup{kind: workerEndpoint, members: map[int]bool{2: true}}, endpointGroup{kind: schedulerEndpoint}, 20*ms)
	check(sched, near, 21, math.Sqrt(400./3+0.25)/21)
	check(sched, far, 10, 0.5)
	undo()
	undo()
	check(near, sched, 1, 0.5)
}

// testFarEnd is a far end that records that its connection was closed.
type testFarEnd struct{ closed bool }

func (t *testFarEnd) endpoint() endpoint { return endpoint{workerEndpoint, 0} }
func (t *testFarEnd) connClosed(_ *conn) { t.closed = true }

// FuzzConn sends data over a connection under random partitions: data arrives in the order in which it was sent, and all of it
// has arrived once the partitions have ended.
func FuzzConn(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		spec, _ := uniformFleet(1)
		spec.Network = scenario.Network{Delay: scenario.Duration(5 * ms), Jitter: 1}
		m := &connModel{workerHarness: newWorkerHarness(s.T, spec, uint64(s.Pick(256))), steps: s, farEnd: &testFarEnd{}, closedBy: -1}
		m.conn = m.env.openConn(&conn{id: simapi.WorkerConn(0, 1), far: m.farEnd, up: true})
		for i := 0; s.More(); i++ {
			m.step(i)
			m.check()
		}
		m.checkEnd()
	})
}

// connModel records the data sent over a connection and the data that has arrived.
type connModel struct {
	*workerHarness
	steps        *modeltest.Steps
	farEnd       *testFarEnd
	conn         *conn
	sent, got    [2][]int // by the side to which it is sent
	closedBy     int      // side that closed it; -1: it is open
	healers      []func() // end the active partitions
	activeOneWay []bool   // whether each active partition is one-way
}

// step draws and performs the next action.
func (c *connModel) step(i int) {
	pick := c.steps.Pick(16)
	c.steps.Record(fmt.Sprint(pick))
	switch side := pick % 2; {
	case pick < 8 && c.closedBy != 1-side:
		c.sent[side] = append(c.sent[side], i)
		send := []func(*conn, func()){c.env.toSched, c.env.toFarEnd}[side]
		send(c.conn, func() { c.got[side] = append(c.got[side], i) })
	case pick >= 8 && pick < 10:
		c.healers = append(c.healers, c.env.network.partition(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, side == 1))
		c.activeOneWay = append(c.activeOneWay, side == 1)
	case pick < 12 && len(c.healers) > 0:
		k := c.steps.Pick(len(c.healers))
		c.healers[k]()
		c.healers, c.activeOneWay = slices.Delete(c.healers, k, k+1), slices.Delete(c.activeOneWay, k, k+1)
	case pick == 12 && c.closedBy < 0 && i > 20:
		c.closedBy = c.steps.Pick(2)
		c.env.closeSide(c.conn, c.closedBy)
	default:
		c.runFor(time.Duration(c.steps.Pick(20)) * ms)
	}
}

// check compares the data that has arrived with the data that was sent, and the state of the network with the active
// partitions.
func (c *connModel) check() {
	for side := range c.got {
		sent, got := c.sent[side], c.got[side]
		c.steps.Check(len(got) <= len(sent) && slices.Equal(got, sent[:len(got)]), "side %d: sent %v, got %v", side, sent, got)
	}
	_, arrives := c.env.network.arrival(endpoint{workerEndpoint, 0}, endpoint{schedulerEndpoint, 0})
	_, _, connects := c.env.network.connectDelays(endpoint{schedulerEndpoint, 0}, endpoint{workerEndpoint, 0})
	c.steps.Check(arrives == !slices.Contains(c.activeOneWay, false) && connects == (len(c.activeOneWay) == 0), "partitions (one-way: %v): arrives %v, can connect %v", c.activeOneWay, arrives, connects)
}

// checkEnd ends all partitions and checks that all data arrives.
func (c *connModel) checkEnd() {
	for _, heal := range c.healers {
		heal()
	}
	c.runFor(time.Minute)
	for side := range c.got { // data that arrives after a side has closed is dropped
		c.steps.Check(c.closedBy == side || len(c.got[side]) == len(c.sent[side]), "side %d: sent %v, got %v", side, c.sent[side], c.got[side])
	}
	c.steps.Check(len(c.env.conns) == 1 == (c.closedBy < 0) && c.farEnd.closed == (c.closedBy == schedulerSide),
		"closed by side %d: %d connections left, far end notified: %v", c.closedBy, len(c.env.conns), c.farEnd.closed)
}

func TestIdleConnectionsAreForgotten(t *testing.T) {
	spec, k := uniformFleet(1)
	k.ConnIdleTimeout, spec.Network.DropsIdleAfter = 0, scenario.Duration(time.Second)
	r := newWorkerHarness(t, spec, 1)
	worker, a, b := r.env.workers[0], r.sendRequest(0, "a", safeClass, 0.1, 1), r.dial(0, 0)
	r.runFor(900 * ms)
	r.writeAttempt(a, "a")
	r.runFor(300 * ms)
	requireLastMessage[simapi.ResponseReceived](r, a)
	r.writeAttempt(b, "a")
	r.runFor(ms)
	if in := requireLastMessage[simapi.WorkerDisconnected](r, b); !in.Reset || worker.jobs.admittedCount != 2 || len(worker.conns.open) != 2 {
		t.Fatalf("after the idle timeout: got %+v, %d attempts admitted, %d connections open at the worker", in, worker.jobs.admittedCount, len(worker.conns.open))
	}
	// The worker's side is still open. Its close notifies nobody.
	worker.closeConn(r.env.conns[b].state.(*workerConn))
	if r.runFor(ms); r.env.conns[b] != nil {
		t.Fatal("connection still exists after both sides closed it")
	}
}

func TestSendWaitsForEndOfPartition(t *testing.T) {
	spec, _ := uniformFleet(1)
	r, arrived := newWorkerHarness(t, spec, 1), time.Duration(-1)
	scheds, disco := endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: discoveryEndpoint}
	healBackward, healForward := r.env.network.partition(disco, scheds, true), r.env.network.partition(scheds, disco, true)
	r.env.network.send(endpoint{schedulerEndpoint, 0}, endpoint{discoveryEndpoint, 0}, func() { arrived = r.env.now })
	r.runFor(time.Second)
	healBackward()
	r.runFor(time.Second)
	healForward()
	if r.runFor(time.Second); arrived != 2*time.Second {
		t.Fatalf("arrived at %v, want 2s", arrived)
	}
}
