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

func TestDelays(t *testing.T) {
	spec, _ := plain(4)
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
			r.w.now = time.Duration(i) * time.Microsecond
			at, _ := r.w.network.arrival(from, to)
			d := (at - r.w.now).Seconds() * 1000
			sum, squares = sum+d, squares+d*d
		}
		mean := sum / n
		got := math.Sqrt(squares/n-mean*mean) / mean
		if math.Abs(mean-want) > 0.05*want || math.Abs(got-cv) > 0.05*cv {
			t.Errorf("%v to %v takes %v ms, give or take %v; want %v and %v", from, to, mean, got, want, cv)
		}
	}
	sched, near, far := endpoint{schedulerEndpoint, 0}, endpoint{workerEndpoint, 2}, endpoint{workerEndpoint, 3}
	check(sched, near, 1, 0.5)
	check(far, sched, 10, 0.5)
	check(endpoint{clientEndpoint, 7}, sched, 2, 0.5)
	check(endpoint{discoveryEndpoint, 0}, far, 1, 0.5)
	undo := r.w.network.addDelay(endpointGroup{kind: workerEndpoint, members: map[int]bool{2: true}}, endpointGroup{kind: schedulerEndpoint}, 20*ms)
	check(sched, near, 21, math.Sqrt(400./3+0.25)/21)
	check(sched, far, 10, 0.5)
	undo()
	undo()
	check(near, sched, 1, 0.5)
}

// testEndpoint is a far end that remembers.
type testEndpoint struct{ closed bool }

func (t *testEndpoint) endpoint() endpoint { return endpoint{workerEndpoint, 0} }
func (t *testEndpoint) connClosed(_ *conn) { t.closed = true }

// FuzzConn puts a connection through random sendings and cuts: what arrives is what was sent, in order, and once all
// cuts have healed nothing is missing.
func FuzzConn(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		spec, _ := plain(1)
		spec.Network = scenario.Network{Delay: scenario.Duration(5 * ms), Jitter: 1}
		m := &connModel{workerHarness: newWorkerHarness(s.T, spec, uint64(s.Pick(256))), steps: s, far: &testEndpoint{}, closed: -1}
		m.conn = m.w.openConn(&conn{id: simapi.WorkerConn(0, 1), far: m.far, up: true})
		for i := 0; s.More(); i++ {
			m.step(i)
			m.check()
		}
		m.checkEnd()
	})
}

// connModel knows what is to arrive over a connection.
type connModel struct {
	*workerHarness
	steps     *modeltest.Steps
	far       *testEndpoint
	conn      *conn
	sent, got [2][]int // by the side that it is sent to
	closed    int      // by which side; -1: by none
	undo      []func() // of the cuts in force
	cuts      []bool   // which of these are one way
}

// step draws what happens next.
func (c *connModel) step(i int) {
	pick := c.steps.Pick(16)
	c.steps.Record(fmt.Sprint(pick))
	switch side := pick % 2; {
	case pick < 8 && c.closed != 1-side:
		c.sent[side] = append(c.sent[side], i)
		send := []func(*conn, func()){c.w.toSched, c.w.toFarEnd}[side]
		send(c.conn, func() { c.got[side] = append(c.got[side], i) })
	case pick >= 8 && pick < 10:
		c.undo = append(c.undo, c.w.network.partition(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, side == 1))
		c.cuts = append(c.cuts, side == 1)
	case pick < 12 && len(c.undo) > 0:
		k := c.steps.Pick(len(c.undo))
		c.undo[k]()
		c.undo, c.cuts = slices.Delete(c.undo, k, k+1), slices.Delete(c.cuts, k, k+1)
	case pick == 12 && c.closed < 0 && i > 20:
		c.closed = c.steps.Pick(2)
		c.w.closeSide(c.conn, c.closed)
	default:
		c.pass(time.Duration(c.steps.Pick(20)) * ms)
	}
}

// check compares what has arrived with what was sent, and what the network says with the cuts in force.
func (c *connModel) check() {
	for side := range c.got {
		sent, got := c.sent[side], c.got[side]
		c.steps.Check(len(got) <= len(sent) && slices.Equal(got, sent[:len(got)]), "side %d: sent %v, got %v", side, sent, got)
	}
	_, back := c.w.network.arrival(endpoint{workerEndpoint, 0}, endpoint{schedulerEndpoint, 0})
	_, _, up := c.w.network.connectDelays(endpoint{schedulerEndpoint, 0}, endpoint{workerEndpoint, 0})
	c.steps.Check(back == !slices.Contains(c.cuts, false) && up == (len(c.cuts) == 0), "cuts %v: back %v, up %v", c.cuts, back, up)
}

// checkEnd heals all cuts: nothing is missing then.
func (c *connModel) checkEnd() {
	for _, heal := range c.undo {
		heal()
	}
	c.pass(time.Minute)
	for side := range c.got { // what comes after a close is for nobody
		c.steps.Check(c.closed == side || len(c.got[side]) == len(c.sent[side]), "side %d: sent %v, got %v", side, c.sent[side], c.got[side])
	}
	c.steps.Check(len(c.w.conns) == 1 == (c.closed < 0) && c.far.closed == (c.closed == schedulerSide),
		"closed by %d, %d connections are left, the far end knows of it %v", c.closed, len(c.w.conns), c.far.closed)
}

func TestIdleConnectionsAreForgotten(t *testing.T) {
	spec, k := plain(1)
	k.ConnIdleTimeout, spec.Network.DropsIdleAfter = 0, scenario.Duration(time.Second)
	r := newWorkerHarness(t, spec, 1)
	n, a, b := r.w.workers[0], r.sendRequest(0, "a", safeClass, 0.1, 1), r.dial(0, 0)
	r.pass(900 * ms)
	r.writeAttempt(a, "a")
	r.pass(300 * ms)
	last[simapi.ResponseReceived](r, a)
	r.writeAttempt(b, "a")
	r.pass(ms)
	if in := last[simapi.WorkerDisconnected](r, b); !in.Reset || n.jobs.admittedCount != 2 || len(n.conns.open) != 2 {
		t.Fatalf("too late it was answered by %+v, and %d came", in, n.jobs.admittedCount)
	}
	// The worker still has it; what it says there finds nobody.
	n.closeConn(r.w.conns[b].state.(*workerConn))
	if r.pass(ms); r.w.conns[b] != nil {
		t.Fatal("closed at both ends, it is still there")
	}
}

func TestSendWaitsForACut(t *testing.T) {
	spec, _ := plain(1)
	r, arrived := newWorkerHarness(t, spec, 1), time.Duration(-1)
	scheds, disco := endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: discoveryEndpoint}
	back, there := r.w.network.partition(disco, scheds, true), r.w.network.partition(scheds, disco, true)
	r.w.network.send(endpoint{schedulerEndpoint, 0}, endpoint{discoveryEndpoint, 0}, func() { arrived = r.w.now })
	r.pass(time.Second)
	back()
	r.pass(time.Second)
	there()
	if r.pass(time.Second); arrived != 2*time.Second {
		t.Fatalf("arrived at %v", arrived)
	}
}
