package environment

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// workerModel is a minimal model of one worker: the events that an attempt may have, and their order.
type workerModel struct {
	s             *modeltest.Steps
	kind          *scenario.WorkerKind
	slots         map[string]float64
	unended       []string        // attempts that were received and have not ended, in order of arrival
	started       map[string]bool // those of unended that have started
	duplicate     string          // unended attempt that was received again: the second must be rejected
	justStarted   string          // attempt that the previous event started
	justCancelled string          // attempt that the previous event cancelled: the next event must end it
	usedSlots     float64
	hasHung       bool // the process has hung at some time since its start
}

func (n *workerModel) observe(event *trace.Event) {
	n.checkRun(event)
	n.check(n.justCancelled == "" || event.Kind == trace.AttemptDied && event.RequestID == n.justCancelled && event.Text == "cancelled", event, "attempt not ended by its cancellation")
	n.justStarted, n.justCancelled = "", ""
	index := slices.Index(n.unended, event.RequestID)
	switch event.Kind {
	case trace.AttemptCancelled:
		if n.kind.CancellationStops && index >= 0 {
			n.justCancelled = event.RequestID
		}
	case trace.AttemptReceived:
		if index >= 0 {
			n.duplicate = event.RequestID
			return
		}
		n.unended = append(n.unended, event.RequestID)
	case trace.AttemptStarted:
		n.check(index >= 0 && !n.started[event.RequestID], event, "second run")
		n.started[event.RequestID], n.justStarted = true, event.RequestID
		n.usedSlots += n.slots[event.RequestID]
	case trace.AttemptRejected, trace.AttemptReturned, trace.AttemptDied, trace.AttemptFinished:
		if n.duplicate == event.RequestID {
			n.check(event.Kind == trace.AttemptRejected && event.Status == 503, event, "repeated attempt accepted")
			n.duplicate = ""
			return
		}
		n.attemptEnded(event, index)
	case trace.WorkerHung, trace.WorkerStarted:
		n.hasHung = event.Kind == trace.WorkerHung
	}
	n.checkRoom(event)
}

func (n *workerModel) check(ok bool, event *trace.Event, what string) {
	n.s.Check(ok, "%v: %s (event of %q)", event.At, what, event.RequestID)
}

// checkRun checks that the attempt that was started last has its slots, and with a FIFO queue that it did not overtake another.
func (n *workerModel) checkRun(event *trace.Event) {
	// An attempt that fails before its 202 takes no slot: this event already ends it.
	if failedBeforeAccept := event.Kind == trace.AttemptFinished && event.RequestID == n.justStarted; n.justStarted == "" || failedBeforeAccept {
		return
	}
	n.check(n.usedSlots <= float64(n.kind.Slots), event, "more slots in use than there are, after the start of "+n.justStarted)
	for i := 0; n.kind.QueueOrder == "fifo" && n.unended[i] != n.justStarted; i++ {
		n.check(n.started[n.unended[i]], event, "queue overtaken by "+n.justStarted)
	}
}

// attemptEnded checks and records the end of the attempt at an index of unended.
func (n *workerModel) attemptEnded(event *trace.Event, index int) {
	n.check(index >= 0 && (event.Text != "cancelled" || n.kind.CancellationStops), event, "second end, or end by a cancellation that should have no effect")
	n.check(event.Kind == trace.AttemptDied || n.started[event.RequestID] == (event.Kind == trace.AttemptFinished), event, "end that doesn't fit the state")
	if n.started[event.RequestID] {
		n.usedSlots -= n.slots[event.RequestID]
	}
	n.unended = slices.Delete(n.unended, index, index+1)
	delete(n.started, event.RequestID)
}

// checkRoom checks that no more attempts wait than fit in the queue.
func (n *workerModel) checkRoom(event *trace.Event) {
	limit := n.kind.Queue + 1 // one attempt may have been received and not yet admitted or rejected
	if n.hasHung {
		limit += n.kind.Slots
	}
	n.check(len(n.unended)-len(n.started) <= limit, event, "queue over its limit")
}

// FuzzWorker compares a worker with the model under random requests and faults.
func FuzzWorker(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		m := newWorkerFuzzer(s)
		for i := 0; s.More(); i++ {
			m.step(i)
		}
		m.checkEnd()
	})
}

// workerFuzzer acts as a scheduler of one worker, and checks the worker with the model.
type workerFuzzer struct {
	*workerHarness
	*workerModel
	worker     *worker
	conns      []simapi.Conn
	requestIDs []string
}

// newWorkerFuzzer draws the properties of the worker.
func newWorkerFuzzer(s *modeltest.Steps) *workerFuzzer {
	spec, k := uniformFleet(1)
	k.Cores, k.Slots, k.Queue = float64(1+s.Pick(4)), 2+s.Pick(5), s.Pick(6)
	k.QueueOrder = []string{"fifo", "backfill"}[s.Pick(2)]
	k.ExpiredJobs = []string{"run", "drop"}[s.Pick(2)]
	k.CancellationStops, k.ReturnsQueued, k.OmitsStartNotifications = s.Pick(2) == 0, s.Pick(2) == 0, s.Pick(4) == 0
	k.WarmUpBy = []string{"time", "work"}[s.Pick(2)]
	k.Accept, k.Handshake = scenario.Duration(s.Pick(3))*scenario.Duration(ms), scenario.Duration(s.Pick(3))*scenario.Duration(ms)
	k.ErrorRate, k.CallbackEarlyShare, k.CallbackLossShare, k.CallbackTwiceShare = 0.1, 0.2, 0.1, 0.1
	k.CallbackDelay, k.ProgressInterval = scenario.Duration(ms), scenario.Duration(50*ms)
	spec.Network = scenario.Network{Delay: scenario.Duration(ms), Jitter: 0.5}
	spec.Classes[unsafeClass].Noise = 0.5
	r := newWorkerHarness(s.T, spec, uint64(s.Pick(256)))
	m := &workerModel{s: s, kind: k, slots: map[string]float64{}, started: map[string]bool{}}
	r.onEvent = m.observe
	r.answerCallback = func(_ *simapi.CallbackReceived) (int, bool) { return []int{204, 200, 503, 0}[s.Pick(4)], s.Pick(8) > 0 }
	return &workerFuzzer{workerHarness: r, workerModel: m, worker: r.env.workers[0], conns: []simapi.Conn{r.dial(0, 0)}, requestIDs: []string{"unknown"}}
}

// step draws and performs the next action.
func (n *workerFuzzer) step(i int) {
	s := n.s
	pick, conn, requestID := s.Pick(32), n.conns[s.Pick(len(n.conns))], n.requestIDs[s.Pick(len(n.requestIDs))]
	s.Record(fmt.Sprintf("%v:%d", n.env.now, pick))
	switch {
	case pick < 3:
		n.conns = append(n.conns, n.dial(0, 0))
	case pick < 15:
		requestID = fmt.Sprint("call-", i)
		n.slots[requestID] = float64(int(1) << s.Pick(3))
		n.addRequest(requestID, unsafeClass, float64(1+s.Pick(100))/1000, n.slots[requestID])
		n.requestIDs = append(n.requestIDs, requestID)
		n.writeAttempt(conn, requestID)
	case pick < 19:
		n.useConn(pick, conn, requestID)
	case pick < 25:
		n.changeFault(pick)
	default:
		n.runFor(time.Duration(s.Pick(40)) * ms)
	}
}

// useConn writes to a connection or closes it.
func (n *workerFuzzer) useConn(pick int, conn simapi.Conn, requestID string) {
	switch pick {
	case 15:
		n.writeAttempt(conn, requestID)
	case 16:
		n.closeConn(conn)
	case 17:
		n.writeCancellation(conn, requestID)
	case 18:
		n.writeHealthCheck(conn)
	}
}

// changeFault starts or ends a fault of the worker.
func (n *workerFuzzer) changeFault(pick int) {
	worker, s := n.worker, n.s
	switch pick {
	case 19:
		worker.setHang(s.Pick(2) == 0)
	case 20:
		worker.pause(time.Duration(s.Pick(50)) * ms)
	case 21:
		worker.setSlowFactor(float64(1 + s.Pick(3)))
	case 22:
		ends := []func(time.Duration){worker.crash, worker.vanish, worker.restart, worker.replace, worker.dieAtAccept}
		ends[s.Pick(len(ends))](time.Duration(1+s.Pick(50)) * ms)
	case 23:
		[]func(){worker.drain, worker.returnQueued}[s.Pick(2)]()
	case 24:
		[]func(bool){worker.setRejectAll, worker.setDropCallbacks, worker.setSlowRead}[s.Pick(3)](s.Pick(2) == 0)
	}
}

// checkEnd runs until all attempts have ended, and checks that no state is left over.
func (n *workerFuzzer) checkEnd() {
	worker, s := n.worker, n.s
	worker.setHang(false)
	n.runFor(5 * time.Minute)
	s.Check(len(n.unended) == 0 && n.usedSlots == 0, "%v have not ended, %v slots are in use", n.unended, n.usedSlots)
	s.Check(len(worker.jobs.all)+len(worker.jobs.byRequest)+len(worker.jobs.queue)+len(worker.jobs.running)+worker.callbacks.outstanding+len(worker.callbacks.callbacks) == 0 && worker.jobs.usedSlots == 0,
		"left over: %+v", worker)
	t := n.env.WorkerState(0)
	s.Check(worker.process.state != workerUp || t.Free == t.Slots && t.BacklogSeconds < 1e-6 && t.Speed > 0, "state of the idle worker: %+v", t)
}

func TestCoresAreShared(t *testing.T) {
	spec, k := uniformFleet(1)
	k.Cores, k.Slots = 2, 4
	r := newWorkerHarness(t, spec, 1)
	r.sendRequest(0, "a", safeClass, 1, 2)
	r.runFor(500 * ms)
	r.sendRequest(0, "b", safeClass, 0.5, 2) // 4 slots on 2 cores: half speed each, until a is done
	r.sendRequest(0, "c", safeClass, 0.25, 4)
	r.sendRequest(0, "d", safeClass, 0.25, 1) // would fit once a is done, but c is ahead of it in the queue
	if state := r.env.WorkerState(0); state.Free != 0 || state.Queued != 2 || state.BacklogSeconds != 0.5*2+0.5*2+0.25*4+0.25 {
		t.Fatalf("worker state: %+v", state)
	}
	r.runFor(10 * time.Second)
	r.requireEvent(trace.AttemptStarted, "b", 500*ms)
	r.requireEvent(trace.AttemptFinished, "b", r.requireEvent(trace.AttemptFinished, "a", 1500*ms).At)
	r.requireEvent(trace.AttemptFinished, "c", r.requireEvent(trace.AttemptStarted, "c", 1500*ms).At+500*ms)
	if s := r.requireEvent(trace.AttemptFinished, "d", 2250*ms); s.Text != "d w-0/1#4" || s.Status != 200 {
		t.Fatalf("result of d: %q, status %d", s.Text, s.Status)
	}
	r.requireCallbacks("a", "started", "done")
	received, _ := r.inputs[len(r.inputs)-1].Message.(simapi.CallbackReceived)
	if received.Callback == nil || received.Callback.EndpointID != "w-0" || *received.Callback.Result != "d w-0/1#4" {
		t.Fatalf("received %+v", received)
	}
}

func TestWarmUp(t *testing.T) {
	for _, by := range []string{"time", "work"} {
		spec, k := uniformFleet(1)
		k.WarmUpBy, k.WarmUpCapacity, k.WarmUp, k.Queue = by, 0.25, scenario.Duration(8*time.Second), 100
		r := newWorkerHarness(t, spec, 1)
		n := r.env.workers[0]
		n.crash(time.Second)
		r.runUntil(time.Second)
		for i := range 10 {
			r.sendRequest(0, fmt.Sprint(i), safeClass, 10, 4)
		}
		for at := time.Duration(0); at <= 8*time.Second; at += 250 * ms {
			r.runUntil(time.Second + at)
			linear, got := 0.25+0.75*at.Seconds()/8, r.env.WorkerState(0).Speed
			if got < linear-1e-9 || at == 0 && got > 0.28 {
				t.Fatalf("warm-up by %s: speed %v after %v, want at least %v", by, got, at, linear)
			}
		}
		// The work done is the integral of the speed: 5 s for a linear rise from 0.25 to 1 over 8 s, and slightly more because
		// the speed rises in steps.
		if done := n.jobs.progressPerSlot; by == "time" && (done < 5 || done > 5.06) || by == "work" && (done < 6 || done > 8) {
			t.Fatalf("warm-up by %s: %v s of work done in 8 s", by, done)
		}
	}
}

func TestOverloadKillsColdWorker(t *testing.T) {
	// The capacity of a cold worker is 4 x 0.25, its budget 3 x 1 x 2 s, and the slack 1.25 mean jobs.
	spec, k := uniformFleet(1)
	k.WarmUpCapacity, k.WarmUp, k.Queue, spec.Rules.OverloadFactor = 0.25, scenario.Duration(time.Hour), 1, 3
	budget := 6 + 1.25*spec.MeanCost()
	var r *workerHarness
	run := func(interval time.Duration, work float64, notified bool) time.Duration {
		r = newWorkerHarness(t, spec, 1)
		r.knowsStart = notified
		r.env.workers[0].crash(time.Second)
		r.runUntil(time.Second)
		for i := range 200 {
			r.sendRequest(0, fmt.Sprint(i), safeClass, work, 1)
			r.runFor(interval)
		}
		s, ok := r.firstEvent(trace.WorkerOverloaded, "")
		if ok && s.Share != map[bool]float64{true: 1}[notified] {
			t.Fatalf("share of work from notified schedulers is %v, notified: %v", s.Share, notified)
		}
		return s.At - time.Second
	}
	if diedAfter := run(100*ms, 0.29, true); diedAfter > 0 {
		t.Fatalf("died after %v at 2.9 times its capacity", diedAfter)
	}
	diedAfter := run(100*ms, 0.5, false) // most of it is rejected, and counts nevertheless
	if want := time.Duration(budget/0.5) * 100 * ms; diedAfter != want {
		t.Fatalf("died after %v at 5 times its capacity, want %v", diedAfter, want)
	}
	requireLastMessage[simapi.WorkerDisconnected](r, r.sendRequest(0, "later", safeClass, 1, 1))
	r.env.workers[0].crash(time.Second)
	if r.runFor(time.Hour); r.env.workers[0].process.state == workerUp {
		t.Fatal("overloaded worker was restarted")
	}
	if diedAfter = run(10*ms, 1, true); diedAfter != time.Duration(budget)*10*ms {
		t.Fatalf("died after %v in a burst, want %v", diedAfter, time.Duration(budget)*10*ms)
	}
}

func TestCallbacks(t *testing.T) {
	spec, k := uniformFleet(1)
	r := newWorkerHarness(t, spec, 1)
	var answers []int // statuses for callbacks "done", -1 for no answer; 204 once they are used up
	r.answerCallback = func(in *simapi.CallbackReceived) (int, bool) {
		if in.Callback.State != "done" || len(answers) == 0 {
			return 204, true
		}
		x := answers[0]
		answers = answers[1:]
		return x, x >= 0
	}
	request := func(requestID string, work float64, d time.Duration) {
		r.sendRequest(0, requestID, safeClass, work, 1)
		r.runFor(d)
	}
	answers = []int{500, 0, -1, 200}
	request("a", 0.1, time.Minute)
	r.requireCallbacks("a", "started", "done", "done", "done", "done")
	answers = slices.Repeat([]int{503, -1}, 9)
	request("b", 0.1, time.Minute)
	if s, _ := r.firstEvent(trace.CallbackLost, "b"); s.Text != "done" || len(answers) != 8 {
		t.Fatalf("callback %q given up with %d answers left, want \"done\" with 8", s.Text, len(answers))
	}
	answers = nil
	// A scheduler that does not run gives no answer. Its next process receives the callback.
	r.env.schedulers[0].alive = false
	request("c", 0.1, 5*time.Second)
	r.env.schedulers[0].alive = true
	r.runFor(5 * time.Second)
	r.requireCallbacks("c", "started", "done")
	// Callbacks that are dropped are never sent; those that a hang holds up are sent after it.
	n := r.env.workers[0]
	n.setDropCallbacks(true)
	request("d", 0.1, time.Second)
	n.setDropCallbacks(false)
	request("e", 1, 500*ms)
	n.setHang(true)
	r.runFor(time.Minute)
	r.requireCallbacks("d")
	r.requireCallbacks("e", "started")
	if in := requireLastMessage[simapi.ResponseReceived](r, r.sendRequest(0, "f", safeClass, 1, 1)); in.Status != 202 {
		t.Fatalf("response of a hung worker: %+v", in)
	}
	n.setHang(false)
	r.runFor(time.Minute)
	r.requireCallbacks("e", "started", "done")
	r.requireCallbacks("f", "started", "done")
	// Callbacks wait for the 202, except for the share that is sent early.
	early := 0
	k.Accept, k.CallbackEarlyShare, k.CallbackTwiceShare = scenario.Duration(50*ms), 0.5, 1
	for i := range 40 {
		requestID, at := fmt.Sprint(i), r.env.now
		request(requestID, 0.01, time.Second)
		r.requireEvent(trace.AttemptAccepted, requestID, at+50*ms)
		r.requireCallbacks(requestID, "started", "done", "started", "done")
		if s, _ := r.firstEvent(trace.CallbackAnswered, requestID); s.At < at+50*ms {
			early++
		}
	}
	if early < 10 || early > 30 {
		t.Fatalf("%d of 40 callbacks were sent before the 202", early)
	}
}

func TestIdempotencyKeys(t *testing.T) {
	spec, _ := uniformFleet(8)
	spec.Fleet.CellSize = 4
	r := newWorkerHarness(t, spec, 1)
	request := func(worker int, requestID string) {
		r.addRequest(requestID, keyedClass, 1, 1)
		r.requests[requestID].key = "key"
		r.sendRequest(worker, requestID, keyedClass, 1, 1)
	}
	// checkEnd checks when an attempt ended, and whether it ran itself or got the result of first.
	checkEnd := func(requestID string, at time.Duration, first string) {
		t.Helper()
		s := r.requireEvent(trace.AttemptFinished, requestID, at)
		began, _ := r.firstEvent(trace.AttemptStarted, requestID)
		if !strings.HasPrefix(s.Text, first+" w-") || (began.Text == "repeat") != (first != requestID) {
			t.Fatalf("%q ended with result %q, want that of %q", requestID, s.Text, first)
		}
	}
	request(0, "a")
	r.runFor(500 * ms)
	request(1, "b")
	request(4, "c") // in the other cell
	r.runUntil(19 * time.Second)
	request(2, "d")
	r.runUntil(21 * time.Second)
	request(2, "e") // after the deduplication window
	request(3, "f")
	request(1, "g")
	r.runFor(500 * ms)
	r.env.workers[2].crash(0) // its first duplicate runs instead, and the other waits for that
	r.runFor(5 * time.Second)
	checkEnd("a", time.Second, "a")
	checkEnd("b", time.Second, "a")
	checkEnd("c", 1500*ms, "c")
	checkEnd("d", 19*time.Second, "a")
	r.requireEvent(trace.AttemptDied, "e", 21500*ms)
	if s := r.requireEvent(trace.AttemptFinished, "f", 22500*ms); s.Text != r.requireEvent(trace.AttemptFinished, "g", 22500*ms).Text {
		t.Fatal("the second duplicate has another result than the one that ran")
	}
	r.requireCallbacks("b", "done")
	r.requireCallbacks("f", "started", "done")
	// An attempt with another key than the client's is answered 400.
	c := r.dial(0, 0)
	r.step(r.env.now)
	r.outputs = append(r.outputs, simapi.Output{Message: simapi.AttemptWritten{Conn: c, RequestID: "a", IdempotencyKey: "other"}})
	r.step(r.env.now)
	if s := r.requireEvent(trace.AttemptRejected, "a", r.env.now); s.Status != 400 || requireLastMessage[simapi.ResponseReceived](r, c).Status != 400 {
		t.Fatalf("attempt with another key answered %d, want 400", s.Status)
	}
}

func TestWorkerConnections(t *testing.T) {
	spec, k := uniformFleet(1)
	k.ConnLimit, k.ConnIdleTimeout, k.Handshake = 2, scenario.Duration(time.Second), scenario.Duration(20*ms)
	r := newWorkerHarness(t, spec, 1)
	n, request := r.env.workers[0], func(requestID string) simapi.Conn { return r.sendRequest(0, requestID, safeClass, 0.01, 1) }
	a, b, c := request("a"), request("b"), request("over the limit")
	if requireLastMessage[simapi.WorkerConnected](r, b); requireLastMessage[simapi.WorkerDisconnected](r, c).Reset {
		t.Fatal("connection over the limit is reported as reset, want refused")
	}
	r.runFor(1010 * ms)
	r.requireEvent(trace.AttemptReceived, "a", 20*ms)
	requireLastMessage[simapi.ResponseReceived](r, a)
	if r.runFor(10 * ms); !requireLastMessage[simapi.WorkerDisconnected](r, b).Reset {
		t.Fatal("idle connection is not reported as reset")
	}
	r.doNow(func() { n.setRefusing(true) })
	requireLastMessage[simapi.WorkerDisconnected](r, request("refused"))
	r.doNow(func() { n.setRefusing(false) })
	r.doNow(func() { n.setSilent(true) })
	r.requireNoMessage(request("silent"))
	r.doNow(func() { n.setSilent(false) })
	n.setResetBytes(8)
	if in := requireLastMessage[simapi.WorkerConnected](r, request("reset while it is read")); in.ResetAfter != 8 {
		t.Fatalf("connection message with a reset after 8 bytes read: %+v, want ResetAfter 8", in)
	}
	n.setResetBytes(-9)
	c = request("reset in its answer")
	r.runFor(100 * ms)
	requireLastMessage[simapi.WorkerDisconnected](r, c)
	if !slices.ContainsFunc(r.inputs, func(in simapi.Input) bool {
		response, ok := in.Message.(simapi.ResponseReceived)
		return ok && response.Bytes == 9
	}) {
		t.Fatalf("no response is cut off after 9 bytes: %+v", r.inputs)
	}
	if slices.ContainsFunc(r.inputs, func(in simapi.Input) bool {
		connected, ok := in.Message.(simapi.WorkerConnected)
		return ok && connected.ResetAfter == 9
	}) {
		t.Fatalf("connection is to be reset while the request is read: %+v", r.inputs)
	}
	n.setSlowRead(true)
	r.runFor(2 * time.Second)
	at := r.env.now
	request("slow")
	r.runFor(2 * time.Second)
	r.requireEvent(trace.AttemptReceived, "slow", at+1020*ms)
	var modes []int
	for _, in := range r.inputs {
		if changed, ok := in.Message.(simapi.AcceptModeChanged); ok {
			modes = append(modes, changed.Mode)
		}
	}
	if len(modes) != 4 || modes[0] != simapi.AcceptNone || modes[1] != simapi.AcceptAll || modes[2] != simapi.AcceptSilently {
		t.Fatalf("accept modes were %v", modes)
	}
}

func TestWorkerProcessEnds(t *testing.T) {
	spec, k := uniformFleet(4)
	k.Accept, k.ReturnsQueued = scenario.Duration(ms), true
	r := newWorkerHarness(t, spec, 1)
	// A machine that vanishes sends nothing. Once the machine is back, it resets connections of the earlier process that were
	// written to meanwhile, and others when they are written to.
	vanishing, idle, busy := r.env.workers[0], r.dial(0, 0), r.sendRequest(0, "v", safeClass, 10, 1)
	r.runFor(10 * ms)
	vanishing.vanish(time.Second)
	r.addRequest("v2", safeClass, 1, 1)
	r.writeAttempt(busy, "v2")
	r.runFor(900 * ms)
	requireLastMessage[simapi.ResponseReceived](r, busy)
	r.requireEvent(trace.AttemptDied, "v", 10*ms)
	r.requireCallbacks("v", "started")
	r.runFor(200 * ms)
	requireLastMessage[simapi.WorkerDisconnected](r, busy)
	if requireLastMessage[simapi.WorkerConnected](r, idle); vanishing.startedMs() != 1010 {
		t.Fatalf("restarted at %v ms, want 1010", vanishing.startedMs())
	}
	r.writeAttempt(idle, "v2")
	r.runFor(ms)
	if requireLastMessage[simapi.WorkerDisconnected](r, idle); vanishing.jobs.admittedCount != 1 {
		t.Fatal("attempt accepted over a connection of the earlier process")
	}
	// dieAtAccept: the process crashes at the same time as it answers 202.
	r.env.workers[1].dieAtAccept(0)
	c := r.sendRequest(1, "d", safeClass, 1, 1)
	r.runFor(time.Second)
	requireLastMessage[simapi.WorkerDisconnected](r, c)
	r.requireEvent(trace.AttemptAccepted, "d", r.requireEvent(trace.AttemptDied, "d", 1112*ms).At)
	// A planned restart finishes the running attempts and returns the queued ones.
	restarting, at := r.env.workers[2], r.env.now
	r.sendRequest(2, "p0", safeClass, 1.9, 4)
	r.sendRequest(2, "p1", safeClass, 2, 1)
	r.runFor(100 * ms)
	restarting.restart(time.Second)
	r.runFor(10 * ms)
	r.requireEvent(trace.AttemptReturned, "p1", at+100*ms)
	r.requireCallbacks("p1", "returned")
	if in := requireLastMessage[simapi.ResponseReceived](r, r.sendRequest(2, "p2", safeClass, 1, 1)); in.Status != 503 || !in.Rejected {
		t.Fatalf("response while draining: %+v", in)
	}
	r.runFor(2 * time.Second)
	r.requireEvent(trace.AttemptFinished, "p0", at+1900*ms)
	if r.requireCallbacks("p0", "started", "done"); restarting.process.state != workerDead {
		t.Fatal("process still runs after its last attempt ended")
	}
	if r.runFor(time.Second); restarting.process.state != workerUp || restarting.process.incarnation != 2 || restarting.id != "w-2" {
		t.Fatalf("worker after the restart: %+v", restarting)
	}
	// replace: another machine replaces the first, whose address stays silent.
	replaced := r.env.workers[3]
	r.knowsStart, r.lifeEvents = true, nil
	replaced.replace(time.Second)
	r.runFor(2 * time.Second)
	old, fresh := r.dial(0, 3), r.dialMachine(0, 3, 1)
	r.runFor(time.Second)
	r.requireNoMessage(old)
	requireLastMessage[simapi.WorkerConnected](r, fresh)
	if replaced.placeIndex() != len(r.env.workers)+3 || r.env.View(0, 3).Reachable || !r.env.View(0, replaced.placeIndex()).Connectable {
		t.Fatalf("place %d; views of the old and the new machine: %+v and %+v", replaced.placeIndex(), r.env.View(0, 3), r.env.View(0, replaced.placeIndex()))
	}
	replaced.remove()
	replaced.crash(time.Second)
	r.runFor(time.Minute)
	want := []lifeEvent{lifeSilent, lifeRemoved, lifeStarted, lifeDraining, lifeRemoved, lifeStopped}
	if replaced.id != "w-3.1" || replaced.process.state == workerUp || !slices.Equal(r.lifeEvents, want) {
		t.Fatalf("%s is in state %d, and discovery was notified of %v", replaced.id, replaced.process.state, r.lifeEvents)
	}
}

// An attempt that was not read by the time its connection ends at the scheduler's side is recorded as unread, for whatever
// reason. The cancellation of an attempt records whether the scheduler closed the connection or the network forgot it.
func TestUnreadAttempts(t *testing.T) {
	spec, k := uniformFleet(4)
	k.Accept = scenario.Duration(2 * time.Second)
	r := newWorkerHarness(t, spec, 1)
	connect := func(worker int) simapi.Conn {
		c := r.dial(0, worker)
		r.runFor(10 * ms)
		requireLastMessage[simapi.WorkerConnected](r, c)
		return c
	}
	send := func(c simapi.Conn, requestID string) {
		r.addRequest(requestID, safeClass, 1, 1)
		r.writeAttempt(c, requestID)
		r.runFor(10 * ms)
	}
	silent, reset, paused, read := connect(0), connect(1), connect(2), connect(3)
	r.env.workers[0].vanish(0)
	send(silent, "silent")
	r.env.workers[2].pause(time.Second)
	send(paused, "paused")
	r.addRequest("reset", safeClass, 1, 1)
	r.writeAttempt(reset, "reset")
	r.env.workers[1].crash(0)
	r.runFor(10 * ms)
	send(read, "read")
	for _, c := range []simapi.Conn{silent, paused, read} {
		r.closeConn(c)
	}
	r.runFor(2 * time.Second)
	r.requireEvent(trace.AttemptUnread, "silent", 80*ms)
	r.requireEvent(trace.AttemptUnread, "paused", 80*ms)
	r.requireEvent(trace.AttemptUnread, "reset", 60*ms)
	if s, ok := r.firstEvent(trace.AttemptUnread, "read"); ok {
		t.Errorf("an attempt that was read is recorded as unread: %+v", s)
	}
	if s := r.requireEvent(trace.AttemptCancelled, "paused", 1050*ms); s.Text != "" { // read after the pause
		t.Errorf("cancelled by its scheduler: %+v", s)
	}
	// The network forgets a connection before the 202 comes over it.
	undo := r.env.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, time.Second)
	at := r.env.now
	send(connect(3), "forgotten")
	r.runFor(3 * time.Second)
	if s := r.requireEvent(trace.AttemptCancelled, "forgotten", at+2010*ms); s.Text != "forgotten" {
		t.Errorf("cancelled by the network: %+v", s)
	}
	undo()
}

// generateLoad sends requests to random workers, one after each interval, and crashes a random worker once per crashInterval;
// 0: never.
func (w *workerHarness) generateLoad(requests int, interval, crashInterval time.Duration) {
	rng, conns := w.env.rng("load", 0), make([]simapi.Conn, len(w.env.workers))
	requestIDs := make([]string, 1<<16)
	for i := range requestIDs {
		requestIDs[i] = fmt.Sprintf("%016x", i)
		w.addRequest(requestIDs[i], i%4, 0.1*rng.ExpFloat64(), float64(1+i%2))
	}
	nextCrash := crashInterval
	for i := range requests {
		n := rng.IntN(len(conns))
		if w.env.conns[conns[n]] == nil {
			conns[n] = w.dial(n%len(w.env.schedulers), n)
		}
		if w.runFor(interval); crashInterval > 0 && w.env.now > nextCrash {
			w.env.workers[n].crash(time.Second)
			nextCrash += crashInterval
		}
		if w.writeAttempt(conns[n], requestIDs[i%len(requestIDs)]); len(w.inputs) > 1<<16 {
			w.inputs = w.inputs[:0]
		}
	}
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	run := func(seed uint64) []trace.Event {
		spec := scenario.Default()
		spec.Fleet.Zones, spec.Schedulers.Count = []string{"a", "b"}, 2
		spec.Fleet.Kinds[0].PauseEvery, spec.Fleet.Kinds[0].Pause = scenario.Duration(time.Second), scenario.Duration(10*ms)
		r := newWorkerHarness(t, spec, seed)
		r.generateLoad(1000, 3*ms, 150*ms)
		r.runFor(time.Minute)
		return r.events
	}
	a, b, c := run(1), run(1), run(2)
	if !slices.Equal(a, b) || slices.Equal(a, c) || len(a) < 2500 {
		t.Fatalf("%d and %d events with the same seed, %d with another", len(a), len(b), len(c))
	}
}

func TestFleetComposition(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Workers, spec.Fleet.Zones = 1000, []string{"a", "b", "c"}
	r := newWorkerHarness(t, spec, 1)
	kinds, cells, addrs, size := map[string]int{}, map[[2]int]bool{}, map[string]bool{}, 0.0
	for i, n := range r.env.workers {
		kinds[n.kind.Name]++
		cells[[2]int{n.cell, n.zone}], addrs[r.env.WorkerAddr(i)] = true, true
		size += n.capacity() / spec.Capacity()
	}
	// There are 250 cells, of which two contain workers of two zones.
	if kinds["std-4c"] != 510 || len(cells) != 252 || len(addrs) != 1000 || size < 0.99 || size > 1.01 {
		t.Fatalf("kinds %v, %d pairs of cell and zone, %d addresses, %v of the nominal capacity", kinds, len(cells), len(addrs), size)
	}
}

func BenchmarkWorkers(b *testing.B) {
	for _, workers := range []int{100, 10_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			spec := scenario.Default()
			spec.Fleet.Workers = workers
			r := newWorkerHarness(b, spec, 1)
			r.env.observer = func(*trace.Event) {}
			b.ReportAllocs()
			r.generateLoad(b.N, 50*ms/time.Duration(workers), 0) // 20 jobs per second and worker
		})
	}
}
