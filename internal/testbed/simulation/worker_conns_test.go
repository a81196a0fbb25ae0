package simulation

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// harness is a scheduler with a scripted policy, and the other side of its connections.
type harness struct {
	s         *Scheduler
	script    *modeltest.ScriptedPolicy
	now       time.Duration
	outs      []simapi.Output // of the last step
	conns     map[simapi.Conn]*farConn
	openConns []*farConn // those that are open
	resting   map[int][]simapi.Conn
	wrong     string // the first thing that a scheduler may not do
}

// farConn is a connection as a worker sees it.
type farConn struct {
	conn        simapi.Conn
	node        int
	up          bool
	pending     simapi.OutputMessage // to be answered; nil: nothing is
	lastAttempt bool                 // what was written last was an attempt
	since       time.Duration        // when that was answered
}

// settling reports whether an idle connection has just carried a request: it may still get a second response, so it must not
// carry another one yet.
func (b *harness) settling(id simapi.Conn) bool {
	c := b.conns[id]
	return c.lastAttempt && b.now-c.since < reuseDelay
}

func endpointNumber(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

const harnessWorkers = 3

func newHarness(t *testing.T, change func(*scenario.Scenario)) *harness {
	t.Helper()
	spec := scenario.Default()
	spec.Fleet.Workers = harnessWorkers
	if change != nil {
		change(spec)
	}
	b := &harness{script: &modeltest.ScriptedPolicy{}, conns: map[simapi.Conn]*farConn{}, resting: map[int][]simapi.Conn{}}
	var err error
	b.s, err = NewScheduler(spec, 0, StartTime, Model{Module: func(dispatch.Settings, uint64, baseline.Oracle) requests.Policy {
		return b.script
	}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *harness) start() []simapi.Output {
	known := requests.EndpointList{Revision: 7}
	for n := range harnessWorkers {
		known.Endpoints = append(known.Endpoints, requests.Endpoint{ID: "w-" + strconv.Itoa(n), Addr: "a:" + strconv.Itoa(n), Lifecycle: "up"})
	}
	return b.step(simapi.Input{Message: simapi.Start{Name: "n0", KnownEndpoints: known}})
}

// step passes inputs to the scheduler, and runs its iterations until none is due at this instant.
func (b *harness) step(ins ...simapi.Input) []simapi.Output {
	b.outs = b.s.Step(b.now, ins, b.outs[:0])
	for range 100 {
		if at, ok := b.s.Next(); !ok || at > b.now {
			break
		}
		b.outs = b.s.Step(b.now, nil, b.outs)
	}
	for i := range b.outs {
		b.meet(b.outs[i].Message)
	}
	return b.outs
}

// act makes the policy return the actions.
func (b *harness) act(actions ...dispatch.Action) []simapi.Output {
	b.script.Next = actions
	b.s.process.requests.DiscoveryFailed() // something to step for
	return b.step()
}

func (b *harness) fail(format string, args ...any) {
	if b.wrong == "" {
		b.wrong = fmt.Sprintf(format, args...)
	}
}

// meet processes an output of the scheduler, and checks that its connection allows it.
func (b *harness) meet(message simapi.OutputMessage) {
	switch m := message.(type) {
	case simapi.WorkerDialed:
		b.dialed(m.Conn, m.Worker)
	case simapi.AttemptWritten:
		b.written(message, m.Conn, m.Worker)
	case simapi.HealthCheckWritten:
		b.written(message, m.Conn, m.Worker)
	case simapi.CancellationWritten:
		b.written(message, m.Conn, m.Worker)
	case simapi.WorkerConnClosed:
		c := b.conns[m.Conn]
		if c == nil {
			b.fail("connection %x is closed, and is not open", m.Conn)
			return
		}
		b.forget(c)
	}
}

func (b *harness) dialed(conn simapi.Conn, worker int) {
	if b.conns[conn] != nil {
		b.fail("connection %x is dialled twice", conn)
	}
	if slices.ContainsFunc(b.resting[worker], func(id simapi.Conn) bool { return !b.settling(id) }) {
		b.fail("node %d is dialled though an idle link is there", worker)
	}
	c := &farConn{conn: conn, node: worker}
	b.conns[conn] = c
	b.openConns = append(b.openConns, c)
}

func (b *harness) written(message simapi.OutputMessage, conn simapi.Conn, worker int) {
	c := b.conns[conn]
	if c == nil || !c.up || c.pending != nil || c.node != worker {
		b.fail("%T is written to connection %x to node %d, which is not free: %+v", message, conn, worker, c)
		return
	}
	_, isAttempt := message.(simapi.AttemptWritten)
	b.checkReuse(isAttempt, conn, worker)
	c.pending, c.lastAttempt = message, isAttempt
}

// checkReuse checks that what is written goes to a connection that has just come up, or to the idle one that was used last.
func (b *harness) checkReuse(isAttempt bool, conn simapi.Conn, worker int) {
	idle := b.resting[worker]
	at := slices.Index(idle, conn)
	if at < 0 {
		return
	}
	for _, newer := range idle[at+1:] {
		if !isAttempt || !b.settling(newer) {
			b.fail("an older idle link than the last one is used")
		}
	}
	if isAttempt && b.settling(conn) {
		b.fail("a link carries again that has just done so")
	}
	b.resting[worker] = slices.Delete(idle, at, at+1)
}

func (b *harness) forget(c *farConn) {
	delete(b.conns, c.conn)
	b.openConns = slices.DeleteFunc(b.openConns, func(o *farConn) bool { return o == c })
	b.resting[c.node] = slices.DeleteFunc(b.resting[c.node], func(id simapi.Conn) bool { return id == c.conn })
}

// sending is an attempt as the model knows it.
type sending struct {
	call    string
	node    int
	until   time.Duration
	written bool
	may     map[dispatch.Result]bool // how it may end, by what has happened to it
	ended   bool
}

// FuzzWorkerConns checks that each attempt ends exactly once, with a result that fits its stage and what happened to it, and
// that a connection carries one request at a time, is up, and is the most recently used idle one.
func FuzzWorkerConns(f *testing.F) { modeltest.Fuzz(f, runWorkerConns) }

// connsRun is one run of random steps, and the attempts of it as the model knows them.
type connsRun struct {
	*modeltest.Steps
	harness   *harness
	attempts  []*sending // in the order in which they were started
	byNumber  map[attemptNumber]*sending
	counts    map[uint64]int           // attempts by job
	deadlines map[uint64]time.Duration // by job
	calls     int                      // requests sent so far
	received  int                      // events of the policy that were checked
}

// attemptNumber names an attempt as the policy does.
type attemptNumber struct{ job, attempt uint64 }

func runWorkerConns(steps *modeltest.Steps) {
	run := &connsRun{
		Steps: steps, byNumber: map[attemptNumber]*sending{}, counts: map[uint64]int{}, deadlines: map[uint64]time.Duration{},
		harness: newHarness(steps.T, func(spec *scenario.Scenario) {
			spec.Schedulers.Sockets = 24 + 48 // eight of them for connections to workers
			spec.Schedulers.ConnIdleTimeout = scenario.Duration(4 * time.Second)
			spec.Schedulers.AttemptLimit = 1000
		}),
	}
	run.harness.start()
	for steps.More() {
		run.randomStep()
	}
	for range 8 { // past every deadline, and every timeout of a connection
		run.harness.now += time.Second
		run.step()
	}
	run.checkEnd()
}

// randomStep draws one input or action, and runs it.
func (r *connsRun) randomStep() {
	conn := r.pickConn()
	node := r.Pick(harnessWorkers)
	worker := endpointNumber("w-" + strconv.Itoa(node))
	switch what := r.Pick(12); {
	case what == 0:
		r.sendRequest()
	case what <= 3 && r.calls > 0:
		r.startAttempt(node, worker)
	case what == 4:
		r.act(dispatch.HealthCheck{Worker: worker})
		r.Record("probe")
	case what == 5 && r.calls > 0:
		id := 1 + r.Pick(r.calls)
		r.act(dispatch.Cancel{Job: uint64(id), Attempt: r.Pick(3)}, dispatch.CloseIdleConnections{Worker: worker})
		r.Record("cancel")
	case what == 6 && r.calls > 0:
		r.callback(node)
	case what <= 8 && conn.isConnecting():
		r.finishDial(conn)
	case what <= 9 && conn.isUp():
		r.useConn(conn)
	default:
		r.harness.now += time.Duration(1+r.Pick(200)) * 10 * time.Millisecond
		r.step()
		r.Record("wait")
	}
}

// pickConn draws an open connection; nil: there is none.
func (r *connsRun) pickConn() *farConn {
	if len(r.harness.openConns) == 0 {
		return nil
	}
	return r.harness.openConns[r.Pick(len(r.harness.openConns))]
}

func (c *farConn) isConnecting() bool { return c != nil && !c.up }

func (c *farConn) isUp() bool { return c != nil && c.up }

// step has inputs reach the scheduler, and checks what it does.
func (r *connsRun) step(ins ...simapi.Input) {
	b := r.harness
	b.step(ins...)
	for _, o := range b.outs {
		if m, ok := o.Message.(simapi.AttemptWritten); ok {
			r.find(m.RequestID, m.Worker).written = true
		}
	}
	for ; r.received < len(b.script.Received); r.received++ {
		if outcome, ok := b.script.Received[r.received].(dispatch.Outcome); ok {
			r.checkOutcome(outcome)
		}
	}
	r.Check(b.wrong == "", "%s", b.wrong)
	r.Check(len(b.conns) <= 8, "%d links are open", len(b.conns))
}

// act makes the policy return the actions.
func (r *connsRun) act(actions ...dispatch.Action) {
	r.harness.script.Next = actions
	r.harness.s.process.requests.DiscoveryFailed()
	r.step()
}

// checkOutcome checks an outcome that the policy has been told of.
func (r *connsRun) checkOutcome(o dispatch.Outcome) {
	a := r.byNumber[attemptNumber{o.Job, uint64(o.Attempt)}]
	if last := r.byNumber[attemptNumber{o.Job, uint64(r.counts[o.Job] - 1)}]; a.ended && o.Result == dispatch.NotSent && o.Closed {
		a = last // of a request that has ended and been dropped: that attempt has no number of its own
	}
	r.Check(a != nil && !a.ended, "job %d attempt %d: an outcome %v for none that is out", o.Job, o.Attempt, o.Result)
	a.ended = true
	switch o.Result {
	case dispatch.ConnectFailed:
		r.Check(!a.written, "could not connect, though it was written")
	case dispatch.TimedOut:
		r.Check(r.harness.now >= a.until, "timed out at %v, before %v", r.harness.now, a.until)
	case dispatch.Cancelled:
	default:
		r.Check(a.may[o.Result], "ended with %v; written %v, may %v", o.Result, a.written, a.may)
	}
}

// find returns the attempt of a request that is in flight at a worker. Of several it is the first: no other is sent.
func (r *connsRun) find(call string, node int) *sending {
	for _, a := range r.attempts {
		if a.call == call && a.node == node && !a.ended {
			return a
		}
	}
	return &sending{may: map[dispatch.Result]bool{}}
}

func (r *connsRun) sendRequest() {
	r.calls++
	budget := time.Duration(1+r.Pick(20)) * 100 * time.Millisecond
	r.deadlines[uint64(r.calls)] = r.harness.now + budget
	r.step(simapi.Input{Message: simapi.RequestReceived{
		Conn: simapi.Conn(r.calls), Request: &simapi.ClientRequest{RequestID: strconv.Itoa(r.calls), Budget: budget},
	}})
	r.Record("ask")
}

func (r *connsRun) startAttempt(node int, worker uint64) {
	id := uint64(1 + r.Pick(r.calls))
	timeout := time.Duration(r.Pick(3)) * 150 * time.Millisecond
	a := &sending{call: strconv.Itoa(int(id)), node: node, may: map[dispatch.Result]bool{dispatch.NotSent: true}}
	if a.until = r.deadlines[id]; timeout > 0 {
		a.until = min(a.until, r.harness.now+timeout)
	}
	r.attempts = append(r.attempts, a)
	r.byNumber[attemptNumber{id, uint64(r.counts[id])}] = a
	r.counts[id]++
	r.act(dispatch.Send{Job: id, Worker: worker, AttemptTimeout: timeout})
	r.Record("send")
}

// callback has a worker report the state of an attempt that was written to it.
func (r *connsRun) callback(node int) {
	states := []string{"started", "done", "failed", "returned", "lost"}
	state, call, result := states[r.Pick(5)], strconv.Itoa(1+r.Pick(r.calls)), "r"
	about := r.find(call, node)
	if !about.written {
		return // a worker reports nothing of what has not reached it
	}
	about.may[map[string]dispatch.Result{
		"started": dispatch.OK, "done": dispatch.OK, "failed": dispatch.Failed,
		"returned": dispatch.WorkerFull, "lost": dispatch.ConnectionReset,
	}[state]] = true
	r.step(simapi.Input{Message: simapi.CallbackReceived{Worker: node, CallbackID: 5, Callback: &requests.Callback{
		CallID: call, EndpointID: "w-" + strconv.Itoa(node), State: state, Result: &result,
	}}})
	outs := r.harness.outs
	answers := messages[simapi.CallbackAnswered](outs)
	r.Check(len(answers) > 0 && answers[0].Status == 204 && answers[0].CallbackID == 5, "a callback was answered by %+v", outs)
	r.Record(state)
}

// finishDial has a dialed worker accept or refuse.
func (r *connsRun) finishDial(conn *farConn) {
	if r.Pick(4) == 0 {
		r.harness.forget(conn)
		r.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn.conn, Worker: conn.node}})
		r.Record("refuse")
		return
	}
	conn.up = true
	r.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn.conn, Worker: conn.node}})
	r.Record("up")
}

// useConn has a worker respond to what was written, or break the connection.
func (r *connsRun) useConn(conn *farConn) {
	if conn.pending != nil && r.Pick(4) != 0 {
		r.respond(conn)
		return
	}
	r.allow(conn, dispatch.ConnectionReset)
	r.harness.forget(conn)
	r.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn.conn, Worker: conn.node, Reset: r.Pick(2) == 0}})
	r.Record("down")
}

// allow notes that the attempt written to a connection may end so.
func (r *connsRun) allow(conn *farConn, result dispatch.Result) {
	if m, ok := conn.pending.(simapi.AttemptWritten); ok {
		r.find(m.RequestID, conn.node).may[result] = true
	}
}

// workerResponse is a way in which a worker responds, and the outcome that it may lead to.
type workerResponse struct {
	status   int
	rejected bool
	bytes    int
	result   dispatch.Result
}

var workerResponses = []workerResponse{
	{202, false, 0, dispatch.OK},
	{503, true, 0, dispatch.WorkerFull},
	{503, false, 0, dispatch.Failed},
	{500, false, 0, dispatch.Failed},
	{404, false, 0, dispatch.NotSent},
	{202, false, 9, dispatch.ConnectionReset},
}

func (r *connsRun) respond(conn *farConn) {
	response := workerResponses[r.Pick(len(workerResponses))]
	r.allow(conn, response.result)
	if conn.pending = nil; response.bytes > 0 {
		r.harness.forget(conn)
	} else {
		r.harness.resting[conn.node], conn.since = append(r.harness.resting[conn.node], conn.conn), r.harness.now
	}
	r.step(simapi.Input{Message: simapi.ResponseReceived{
		Conn: conn.conn, Worker: conn.node, Status: response.status, Rejected: response.rejected, Bytes: response.bytes,
	}})
	r.Record("answer " + strconv.Itoa(response.status))
}

// checkEnd checks that every attempt has ended, and that nothing is left of any connection.
func (r *connsRun) checkEnd() {
	for _, a := range r.attempts {
		r.Check(a.ended, "an attempt of %s at node %d has no outcome", a.call, a.node)
	}
	p := r.harness.s.process
	r.Check(len(p.workerConns.conns)+len(p.workerConns.attemptConns)+p.workerConns.idleCount+len(r.harness.conns) == 0,
		"%d links, %d carried, %d idle; the far side has %d", len(p.workerConns.conns), len(p.workerConns.attemptConns),
		p.workerConns.idleCount, len(r.harness.conns))
	r.Check(p.timers.Len() == 1, "%d timers are left besides the one that retires links", p.timers.Len()-1)
}

// TestResultByStage checks that the result of an attempt that fails follows from the stage that it had reached.
func TestResultByStage(t *testing.T) {
	for _, c := range []struct {
		name string
		far  func(b *harness, conn simapi.Conn) // after the dial
		want dispatch.Result
	}{
		{"refused", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn}})
		}, dispatch.ConnectFailed},
		{"never up", func(b *harness, _ simapi.Conn) { b.now += 250 * time.Millisecond; b.step() }, dispatch.ConnectFailed},
		{"reset once written", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn, Reset: true}})
		}, dispatch.ConnectionReset},
		{"reset in the answer", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202, Bytes: 3}})
		}, dispatch.ConnectionReset},
		{"lost once accepted", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202}})
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn, Reset: true}}) // means nothing any more
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "lost"}}})
		}, dispatch.ConnectionReset},
		{"told late of an attempt before", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "returned"}}})
			if b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}}); len(b.openConns) > 0 || len(messages[simapi.WorkerConnClosed](b.outs[:1])) == 0 {
				b.fail("it is sent all the same: %+v", b.outs)
			}
		}, dispatch.WorkerFull},
		{"silent", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.now += time.Second
			b.step()
		}, dispatch.TimedOut},
	} {
		b := newHarness(t, nil)
		b.start()
		b.step(simapi.Input{Message: simapi.RequestReceived{Conn: 1, Request: &simapi.ClientRequest{RequestID: "c", Budget: time.Second}}})
		b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-1")})
		b.openConns[0].up = true // where the story says so
		c.far(b, b.openConns[0].conn)
		o, _ := b.script.Received[len(b.script.Received)-1].(dispatch.Outcome)
		if o.Result != c.want || b.wrong != "" {
			t.Errorf("%s: %v, expected %v; %s", c.name, o.Result, c.want, b.wrong)
		}
	}
}

// TestIdleTrust checks that a connection that breaks after being idle halves the idle time allowed, and that it recovers.
func TestIdleTrust(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	probe := func() simapi.HealthCheckWritten {
		b.act(dispatch.HealthCheck{Worker: endpointNumber("w-0")})
		for _, m := range messages[simapi.WorkerDialed](b.outs) {
			b.conns[m.Conn].up = true
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: m.Conn}})
		}
		written := messages[simapi.HealthCheckWritten](b.outs)
		return written[len(written)-1]
	}
	first := probe()
	b.resting[0] = []simapi.Conn{first.Conn}
	b.conns[first.Conn].pending = nil
	b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: first.Conn, Status: 200}})
	b.now += 2 * time.Second
	if again := probe(); again.Conn != first.Conn {
		t.Fatalf("an idle link is not used again: %+v", again)
	}
	b.forget(b.conns[first.Conn])
	b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: first.Conn, Reset: true}})
	if got := b.s.process.workerConns.idleTrust; got != time.Second {
		t.Errorf("trusted for %v after 2 s went wrong", got)
	}
	if p, _ := b.script.Received[len(b.script.Received)-1].(dispatch.HealthChecked); p.Result != dispatch.NotSent {
		t.Errorf("a probe on a dropped link ended with %v", p.Result)
	}
	for range 11 {
		b.now += time.Second
		b.step()
	}
	if got := b.s.process.workerConns.idleTrust; got != 2*time.Second {
		t.Errorf("trusted for %v ten seconds later", got)
	}
}

// TestCancelAfterWrite checks that an accepted attempt that is cancelled ends once its DELETE is written: a DELETE whose
// connection does not come up in time is retried, and callbacks of the worker count until then.
func TestCancelAfterWrite(t *testing.T) {
	for name, c := range map[string]struct {
		far  func(b *harness)
		want []dispatch.Result
	}{
		"comes up": {func(b *harness) { b.up() }, nil},
		"answered": {func(b *harness) { b.answered() }, []dispatch.Result{dispatch.Cancelled}},
		"late": {func(b *harness) {
			b.now += 250*ms + cancelRetryDelay
			b.step()
		}, nil},
		"late, then on another": {func(b *harness) {
			b.until(b.now + 250*ms + cancelRetryDelay)
			b.answered()
		}, []dispatch.Result{dispatch.Cancelled}},
		"never":        {func(b *harness) { b.until(b.now + 4*sec) }, nil},
		"till its end": {func(b *harness) { b.until(b.now + 10*sec) }, []dispatch.Result{dispatch.TimedOut}},
		"handed back": {func(b *harness) {
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "returned"}}})
			if b.up(); len(messages[simapi.CancellationWritten](b.outs)) > 0 {
				b.fail("a DELETE for what has ended")
			}
		}, []dispatch.Result{dispatch.WorkerFull}},
	} {
		b := newHarness(t, nil)
		b.start()
		b.step(simapi.Input{Message: simapi.RequestReceived{Conn: 1, Request: &simapi.ClientRequest{RequestID: "c", Budget: 9 * sec}}})
		b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-1")})
		conn := b.openConns[0].conn
		b.up()
		b.conns[conn].pending = nil
		b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202}})
		b.forget(b.conns[conn])
		b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn, Reset: true}})
		b.script.Received = nil
		b.act(dispatch.Cancel{Job: 1})
		c.far(b)
		var got []dispatch.Result
		for _, e := range b.script.Received {
			if o, ok := e.(dispatch.Outcome); ok {
				got = append(got, o.Result)
			}
		}
		if !slices.Equal(got, c.want) || b.wrong != "" {
			t.Errorf("%s: outcomes %v, expected %v; %s", name, got, c.want, b.wrong)
		}
	}
}

// up accepts the newest connection, if it is still connecting.
func (b *harness) up() {
	if c := b.openConns[len(b.openConns)-1]; !c.up {
		c.up = true
		b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: c.conn, Worker: c.node}})
	}
}

// answered expects a DELETE on the newest connection, and responds to it.
func (b *harness) answered() {
	b.up()
	c := b.openConns[len(b.openConns)-1]
	c.pending, c.since = nil, b.now
	b.resting[c.node] = append(b.resting[c.node], c.conn)
	b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: c.conn, Worker: c.node, Status: 204}})
}

// messages are the outputs of a type.
func messages[T simapi.OutputMessage](outs []simapi.Output) (list []T) {
	for _, o := range outs {
		if m, ok := o.Message.(T); ok {
			list = append(list, m)
		}
	}
	return list
}
