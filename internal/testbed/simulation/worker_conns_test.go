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

// harness is a scheduler with a scripted policy, and the workers' side of its connections.
type harness struct {
	scheduler *Scheduler
	script    *modeltest.ScriptedPolicy
	now       time.Duration
	outs      []simapi.Output // of the last step
	conns     map[simapi.Conn]*workerSideConn
	openConns []*workerSideConn     // in the order in which they were dialed
	idleConns map[int][]simapi.Conn // idle connections by worker, the most recently used one last
	violation string                // the first violation by the scheduler; empty: none
}

// workerSideConn is a connection as a worker sees it.
type workerSideConn struct {
	conn        simapi.Conn
	worker      int
	up          bool
	pending     simapi.OutputMessage // awaits a response; nil: nothing does
	lastAttempt bool                 // the last message was an attempt
	respondedAt time.Duration        // when the last message got its response
}

// settling reports whether an idle connection has just carried an attempt. A second response may still arrive on it, so it must
// not carry another attempt yet.
func (h *harness) settling(id simapi.Conn) bool {
	c := h.conns[id]
	return c.lastAttempt && h.now-c.respondedAt < reuseDelay
}

func endpointNumber(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

const harnessWorkers = 3

func newHarness(tb testing.TB, change func(*scenario.Scenario)) *harness {
	tb.Helper()
	spec := scenario.Default()
	spec.Fleet.Workers = harnessWorkers
	if change != nil {
		change(spec)
	}
	b := &harness{script: &modeltest.ScriptedPolicy{}, conns: map[simapi.Conn]*workerSideConn{}, idleConns: map[int][]simapi.Conn{}}
	var err error
	b.scheduler, err = NewScheduler(spec, 0, StartTime, Model{NewPolicy: func(dispatch.Settings, uint64, baseline.Oracle) requests.Policy {
		return b.script
	}}, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

func (h *harness) start() []simapi.Output {
	known := requests.EndpointList{Revision: 7}
	for n := range harnessWorkers {
		known.Endpoints = append(known.Endpoints, requests.Endpoint{ID: "w-" + strconv.Itoa(n), Addr: "a:" + strconv.Itoa(n), Lifecycle: "up"})
	}
	return h.step(simapi.Input{Message: simapi.Start{Name: "n0", KnownEndpoints: known}})
}

// step passes inputs to the scheduler, and runs its iterations until none is due at this instant.
func (h *harness) step(ins ...simapi.Input) []simapi.Output {
	h.outs = h.scheduler.Step(h.now, ins, h.outs[:0])
	for range 100 {
		if at, ok := h.scheduler.Next(); !ok || at > h.now {
			break
		}
		h.outs = h.scheduler.Step(h.now, nil, h.outs)
	}
	for i := range h.outs {
		h.receive(h.outs[i].Message)
	}
	return h.outs
}

// act makes the policy return the actions.
func (h *harness) act(actions ...dispatch.Action) []simapi.Output {
	h.script.Next = actions
	h.scheduler.process.requests.DiscoveryFailed() // an event that makes the table step
	return h.step()
}

func (h *harness) fail(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf(format, args...)
	}
}

// receive processes an output of the scheduler, and checks that the state of its connection allows it.
func (h *harness) receive(message simapi.OutputMessage) {
	switch m := message.(type) {
	case simapi.WorkerDialed:
		h.dialed(m.Conn, m.Worker)
	case simapi.AttemptWritten:
		h.written(message, m.Conn, m.Worker)
	case simapi.HealthCheckWritten:
		h.written(message, m.Conn, m.Worker)
	case simapi.CancellationWritten:
		h.written(message, m.Conn, m.Worker)
	case simapi.WorkerConnClosed:
		c := h.conns[m.Conn]
		if c == nil {
			h.fail("connection %x is closed although it is not open", m.Conn)
			return
		}
		h.remove(c)
	}
}

func (h *harness) dialed(conn simapi.Conn, worker int) {
	if h.conns[conn] != nil {
		h.fail("connection %x is dialed twice", conn)
	}
	if slices.ContainsFunc(h.idleConns[worker], func(id simapi.Conn) bool { return !h.settling(id) }) {
		h.fail("worker %d is dialed although there is an idle connection", worker)
	}
	c := &workerSideConn{conn: conn, worker: worker}
	h.conns[conn] = c
	h.openConns = append(h.openConns, c)
}

func (h *harness) written(message simapi.OutputMessage, conn simapi.Conn, worker int) {
	c := h.conns[conn]
	if c == nil || !c.up || c.pending != nil || c.worker != worker {
		h.fail("%T is written to connection %x to worker %d, which is not free: %+v", message, conn, worker, c)
		return
	}
	_, isAttempt := message.(simapi.AttemptWritten)
	h.checkReuse(isAttempt, conn, worker)
	c.pending, c.lastAttempt = message, isAttempt
}

// checkReuse checks that a message is written to a new connection, or to the most recently used idle one that may carry it.
func (h *harness) checkReuse(isAttempt bool, conn simapi.Conn, worker int) {
	idle := h.idleConns[worker]
	at := slices.Index(idle, conn)
	if at < 0 {
		return
	}
	for _, newer := range idle[at+1:] {
		if !isAttempt || !h.settling(newer) {
			h.fail("a less recently used idle connection is used")
		}
	}
	if isAttempt && h.settling(conn) {
		h.fail("an attempt is written to a connection that has just carried one")
	}
	h.idleConns[worker] = slices.Delete(idle, at, at+1)
}

func (h *harness) remove(c *workerSideConn) {
	delete(h.conns, c.conn)
	h.openConns = slices.DeleteFunc(h.openConns, func(o *workerSideConn) bool { return o == c })
	h.idleConns[c.worker] = slices.DeleteFunc(h.idleConns[c.worker], func(id simapi.Conn) bool { return id == c.conn })
}

// modelAttempt is an attempt as the model knows it.
type modelAttempt struct {
	requestID string
	worker    int
	timeoutAt time.Duration // when it times out
	written   bool
	allowed   map[dispatch.Result]bool // the results that are allowed after what has happened to it
	ended     bool
}

// FuzzWorkerConns checks that each attempt ends exactly once, with a result that fits its stage and what has happened to it.
// It also checks that a message is written only to an established connection without another one in flight, and to the most
// recently used idle one.
func FuzzWorkerConns(f *testing.F) { modeltest.Fuzz(f, runWorkerConns) }

// connsRun is one run of random steps, with its attempts as the model knows them.
type connsRun struct {
	*modeltest.Steps
	harness      *harness
	attempts     []*modelAttempt // in the order in which they were started
	byNumber     map[attemptNumber]*modelAttempt
	counts       map[uint64]int           // attempts by job
	deadlines    map[uint64]time.Duration // by job
	requestCount int                      // requests sent so far
	received     int                      // the policy's events that were checked
}

// attemptNumber names an attempt as the policy does.
type attemptNumber struct{ job, attempt uint64 }

func runWorkerConns(steps *modeltest.Steps) {
	run := &connsRun{
		Steps: steps, byNumber: map[attemptNumber]*modelAttempt{}, counts: map[uint64]int{}, deadlines: map[uint64]time.Duration{},
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
	for range 8 { // seconds, after which all deadlines and connection timeouts have passed
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
	case what <= 3 && r.requestCount > 0:
		r.startAttempt(node, worker)
	case what == 4:
		r.act(dispatch.HealthCheck{Worker: worker})
		r.Record("health check")
	case what == 5 && r.requestCount > 0:
		id := 1 + r.Pick(r.requestCount)
		r.act(dispatch.Cancel{Job: uint64(id), Attempt: r.Pick(3)}, dispatch.CloseIdleConnections{Worker: worker})
		r.Record("cancel")
	case what == 6 && r.requestCount > 0:
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
func (r *connsRun) pickConn() *workerSideConn {
	if len(r.harness.openConns) == 0 {
		return nil
	}
	return r.harness.openConns[r.Pick(len(r.harness.openConns))]
}

func (c *workerSideConn) isConnecting() bool { return c != nil && !c.up }

func (c *workerSideConn) isUp() bool { return c != nil && c.up }

// step passes inputs to the scheduler, and checks its outputs and the outcomes that its policy receives.
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
	r.Check(b.violation == "", "%s", b.violation)
	r.Check(len(b.conns) <= 8, "%d connections are open", len(b.conns))
}

// act makes the policy return the actions.
func (r *connsRun) act(actions ...dispatch.Action) {
	r.harness.script.Next = actions
	r.harness.scheduler.process.requests.DiscoveryFailed()
	r.step()
}

// checkOutcome checks an outcome that the policy received.
func (r *connsRun) checkOutcome(o dispatch.Outcome) {
	a := r.byNumber[attemptNumber{o.Job, uint64(o.Attempt)}]
	if last := r.byNumber[attemptNumber{o.Job, uint64(r.counts[o.Job] - 1)}]; a.ended && o.Result == dispatch.NotSent && o.Closed {
		a = last // an attempt of a request that has ended and been dropped has no number of its own
	}
	r.Check(a != nil && !a.ended, "job %d attempt %d: outcome %v without an attempt in flight", o.Job, o.Attempt, o.Result)
	a.ended = true
	switch o.Result {
	case dispatch.ConnectFailed:
		r.Check(!a.written, "could not connect, although it was written")
	case dispatch.TimedOut:
		r.Check(r.harness.now >= a.timeoutAt, "timed out at %v, before %v", r.harness.now, a.timeoutAt)
	case dispatch.Cancelled:
	default:
		r.Check(a.allowed[o.Result], "ended with %v; written %v, allowed %v", o.Result, a.written, a.allowed)
	}
}

// find returns the attempt of a request that is in flight at a worker. Of several it is the first, as the others are not sent.
func (r *connsRun) find(call string, node int) *modelAttempt {
	for _, a := range r.attempts {
		if a.requestID == call && a.worker == node && !a.ended {
			return a
		}
	}
	return &modelAttempt{allowed: map[dispatch.Result]bool{}}
}

func (r *connsRun) sendRequest() {
	r.requestCount++
	budget := time.Duration(1+r.Pick(20)) * 100 * time.Millisecond
	r.deadlines[uint64(r.requestCount)] = r.harness.now + budget
	r.step(simapi.Input{Message: simapi.RequestReceived{
		Conn: simapi.Conn(r.requestCount), Request: &simapi.ClientRequest{RequestID: strconv.Itoa(r.requestCount), Budget: budget},
	}})
	r.Record("request")
}

func (r *connsRun) startAttempt(node int, worker uint64) {
	id := uint64(1 + r.Pick(r.requestCount))
	timeout := time.Duration(r.Pick(3)) * 150 * time.Millisecond
	a := &modelAttempt{requestID: strconv.Itoa(int(id)), worker: node, allowed: map[dispatch.Result]bool{dispatch.NotSent: true}}
	if a.timeoutAt = r.deadlines[id]; timeout > 0 {
		a.timeoutAt = min(a.timeoutAt, r.harness.now+timeout)
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
	state, call, result := states[r.Pick(5)], strconv.Itoa(1+r.Pick(r.requestCount)), "r"
	attempt := r.find(call, node)
	if !attempt.written {
		return // a worker sends no callback of a request that has not reached it
	}
	attempt.allowed[map[string]dispatch.Result{
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

// finishDial makes a dialed worker accept or refuse.
func (r *connsRun) finishDial(conn *workerSideConn) {
	if r.Pick(4) == 0 {
		r.harness.remove(conn)
		r.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn.conn, Worker: conn.worker}})
		r.Record("refuse")
		return
	}
	conn.up = true
	r.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn.conn, Worker: conn.worker}})
	r.Record("up")
}

// useConn makes a worker respond to the pending message, or close or reset the connection.
func (r *connsRun) useConn(conn *workerSideConn) {
	if conn.pending != nil && r.Pick(4) != 0 {
		r.respond(conn)
		return
	}
	r.allow(conn, dispatch.ConnectionReset)
	r.harness.remove(conn)
	r.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn.conn, Worker: conn.worker, Reset: r.Pick(2) == 0}})
	r.Record("down")
}

// allow records that the attempt written to a connection may end with a result.
func (r *connsRun) allow(conn *workerSideConn, result dispatch.Result) {
	if m, ok := conn.pending.(simapi.AttemptWritten); ok {
		r.find(m.RequestID, conn.worker).allowed[result] = true
	}
}

// workerResponse is a response of a worker, and the outcome that it may lead to.
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

func (r *connsRun) respond(conn *workerSideConn) {
	response := workerResponses[r.Pick(len(workerResponses))]
	r.allow(conn, response.result)
	if conn.pending = nil; response.bytes > 0 {
		r.harness.remove(conn)
	} else {
		r.harness.idleConns[conn.worker], conn.respondedAt = append(r.harness.idleConns[conn.worker], conn.conn), r.harness.now
	}
	r.step(simapi.Input{Message: simapi.ResponseReceived{
		Conn: conn.conn, Worker: conn.worker, Status: response.status, Rejected: response.rejected, Bytes: response.bytes,
	}})
	r.Record("response " + strconv.Itoa(response.status))
}

// checkEnd checks that every attempt has ended, and that no connection is left.
func (r *connsRun) checkEnd() {
	for _, a := range r.attempts {
		r.Check(a.ended, "an attempt of %s at worker %d has no outcome", a.requestID, a.worker)
	}
	p := r.harness.scheduler.process
	r.Check(len(p.workerConns.conns)+len(p.workerConns.attemptConns)+p.workerConns.idleCount+len(r.harness.conns) == 0,
		"%d connections, %d with attempts, %d idle; the workers have %d", len(p.workerConns.conns), len(p.workerConns.attemptConns),
		p.workerConns.idleCount, len(r.harness.conns))
	r.Check(p.timers.Len() == 1, "%d timers are left besides the one that closes idle connections", p.timers.Len()-1)
}

// TestResultByStage checks that the result of a failed attempt follows from the stage that it had reached.
func TestResultByStage(t *testing.T) {
	for _, c := range []struct {
		name string
		far  func(b *harness, conn simapi.Conn) // after the dial
		want dispatch.Result
	}{
		{"refused", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn}})
		}, dispatch.ConnectFailed},
		{"never connected", func(b *harness, _ simapi.Conn) { b.now += 250 * time.Millisecond; b.step() }, dispatch.ConnectFailed},
		{"reset once written", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn, Reset: true}})
		}, dispatch.ConnectionReset},
		{"reset within the response", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202, Bytes: 3}})
		}, dispatch.ConnectionReset},
		{"lost once accepted", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: conn, Status: 202}})
			b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: conn, Reset: true}}) // has no effect any more
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "lost"}}})
		}, dispatch.ConnectionReset},
		{"late callback of an earlier attempt", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "returned"}}})
			if b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}}); len(b.openConns) > 0 || len(messages[simapi.WorkerConnClosed](b.outs[:1])) == 0 {
				b.fail("the attempt is sent nevertheless: %+v", b.outs)
			}
		}, dispatch.WorkerFull},
		{"no response", func(b *harness, conn simapi.Conn) {
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: conn}})
			b.now += time.Second
			b.step()
		}, dispatch.TimedOut},
	} {
		b := newHarness(t, nil)
		b.start()
		b.step(simapi.Input{Message: simapi.RequestReceived{Conn: 1, Request: &simapi.ClientRequest{RequestID: "c", Budget: time.Second}}})
		b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-1")})
		b.openConns[0].up = true // if the case connects it
		c.far(b, b.openConns[0].conn)
		o, _ := b.script.Received[len(b.script.Received)-1].(dispatch.Outcome)
		if o.Result != c.want || b.violation != "" {
			t.Errorf("%s: result %v, want %v; violation: %s", c.name, o.Result, c.want, b.violation)
		}
	}
}

// TestIdleTrust checks that a connection that breaks after it was idle reduces the allowed idle time to half its own, and that
// the allowed time grows again.
func TestIdleTrust(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	checkHealth := func() simapi.HealthCheckWritten {
		b.act(dispatch.HealthCheck{Worker: endpointNumber("w-0")})
		for _, m := range messages[simapi.WorkerDialed](b.outs) {
			b.conns[m.Conn].up = true
			b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: m.Conn}})
		}
		written := messages[simapi.HealthCheckWritten](b.outs)
		return written[len(written)-1]
	}
	first := checkHealth()
	b.idleConns[0] = []simapi.Conn{first.Conn}
	b.conns[first.Conn].pending = nil
	b.step(simapi.Input{Message: simapi.ResponseReceived{Conn: first.Conn, Status: 200}})
	b.now += 2 * time.Second
	if again := checkHealth(); again.Conn != first.Conn {
		t.Fatalf("an idle connection is not reused: %+v", again)
	}
	b.remove(b.conns[first.Conn])
	b.step(simapi.Input{Message: simapi.WorkerDisconnected{Conn: first.Conn, Reset: true}})
	if got := b.scheduler.process.workerConns.idleTrust; got != time.Second {
		t.Errorf("trusted for %v after a connection broke that was idle for 2 s", got)
	}
	if p, _ := b.script.Received[len(b.script.Received)-1].(dispatch.HealthChecked); p.Result != dispatch.NotSent {
		t.Errorf("a health check on a dropped connection ended with %v", p.Result)
	}
	for range 11 {
		b.now += time.Second
		b.step()
	}
	if got := b.scheduler.process.workerConns.idleTrust; got != 2*time.Second {
		t.Errorf("trusted for %v ten seconds later", got)
	}
}

// TestCancelAfterWrite checks that an accepted attempt that is cancelled ends only once its DELETE is answered. A DELETE whose
// connection is not established in time is retried, and callbacks of the worker are accepted until then.
func TestCancelAfterWrite(t *testing.T) {
	for name, c := range map[string]struct {
		far  func(b *harness)
		want []dispatch.Result
	}{
		"connected": {func(b *harness) { b.up() }, nil},
		"answered":  {func(b *harness) { b.answered() }, []dispatch.Result{dispatch.Cancelled}},
		"dial timed out": {func(b *harness) {
			b.now += 250*ms + cancelRetryDelay
			b.step()
		}, nil},
		"answered on the second connection": {func(b *harness) {
			b.runUntil(b.now + 250*ms + cancelRetryDelay)
			b.answered()
		}, []dispatch.Result{dispatch.Cancelled}},
		"never connected":    {func(b *harness) { b.runUntil(b.now + 4*sec) }, nil},
		"until the deadline": {func(b *harness) { b.runUntil(b.now + 10*sec) }, []dispatch.Result{dispatch.TimedOut}},
		"returned by the worker": {func(b *harness) {
			b.step(simapi.Input{Message: simapi.CallbackReceived{Callback: &requests.Callback{CallID: "c", EndpointID: "w-1", State: "returned"}}})
			if b.up(); len(messages[simapi.CancellationWritten](b.outs)) > 0 {
				b.fail("a DELETE for an attempt that has ended")
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
		b.remove(b.conns[conn])
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
		if !slices.Equal(got, c.want) || b.violation != "" {
			t.Errorf("%s: outcomes %v, expected %v; %s", name, got, c.want, b.violation)
		}
	}
}

// up establishes the newest connection, if it is still connecting.
func (h *harness) up() {
	if c := h.openConns[len(h.openConns)-1]; !c.up {
		c.up = true
		h.step(simapi.Input{Message: simapi.WorkerConnected{Conn: c.conn, Worker: c.worker}})
	}
}

// answered expects a DELETE on the newest connection, and responds to it.
func (h *harness) answered() {
	h.up()
	c := h.openConns[len(h.openConns)-1]
	c.pending, c.respondedAt = nil, h.now
	h.idleConns[c.worker] = append(h.idleConns[c.worker], c.conn)
	h.step(simapi.Input{Message: simapi.ResponseReceived{Conn: c.conn, Worker: c.worker, Status: 204}})
}

// messages returns the outputs of one type.
func messages[T simapi.OutputMessage](outs []simapi.Output) (list []T) {
	for _, o := range outs {
		if m, ok := o.Message.(T); ok {
			list = append(list, m)
		}
	}
	return list
}
