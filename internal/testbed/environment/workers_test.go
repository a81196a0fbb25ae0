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

// nodeModel keeps the simplest books there are of one worker: what may happen to an attempt, and in which order.
type nodeModel struct {
	s     *modeltest.Steps
	kind  *scenario.WorkerKind
	slots map[string]float64
	in    []string        // reached, and not at an end, in order
	begun map[string]bool // of those
	again string          // reached a second time: it can but be rejected
	last  string          // that began just now
	stops string          // that was given up just now, and is to end by that
	used  float64
	hung  bool // since its start
}

func (n *nodeModel) saw(x *trace.Event) {
	n.checkRun(x)
	n.check(n.stops == "" || x.Kind == trace.AttemptDied && x.RequestID == n.stops && x.Text == "cancelled", x, "run of what is cancelled")
	n.last, n.stops = "", ""
	at := slices.Index(n.in, x.RequestID)
	switch x.Kind {
	case trace.AttemptCancelled:
		if n.kind.CancellationStops && at >= 0 {
			n.stops = x.RequestID
		}
	case trace.AttemptReceived:
		if at >= 0 {
			n.again = x.RequestID
			return
		}
		n.in = append(n.in, x.RequestID)
	case trace.AttemptStarted:
		n.check(at >= 0 && !n.begun[x.RequestID], x, "second run")
		n.begun[x.RequestID], n.last = true, x.RequestID
		n.used += n.slots[x.RequestID]
	case trace.AttemptRejected, trace.AttemptReturned, trace.AttemptDied, trace.AttemptFinished:
		if n.again == x.RequestID {
			n.check(x.Kind == trace.AttemptRejected && x.Status == 503, x, "second attempt taken")
			n.again = ""
			return
		}
		n.ended(x, at)
	case trace.WorkerHung, trace.WorkerStarted:
		n.hung = x.Kind == trace.WorkerHung
	}
	n.checkRoom(x)
}

func (n *nodeModel) check(ok bool, x *trace.Event, what string) {
	n.s.Check(ok, "%v: %s of %q", x.At, what, x.RequestID)
}

// checkRun checks that what began just now has a slot, and its turn.
func (n *nodeModel) checkRun(x *trace.Event) {
	// An error at the door takes no slot: there it has ended by now.
	if atDoor := x.Kind == trace.AttemptFinished && x.RequestID == n.last; n.last == "" || atDoor {
		return
	}
	n.check(n.used <= float64(n.kind.Slots), x, "run in a slot that there is not, by "+n.last)
	for i := 0; n.kind.QueueOrder == "fifo" && n.in[i] != n.last; i++ {
		n.check(n.begun[n.in[i]], x, "run out of turn, by "+n.last)
	}
}

// ended takes the end of an attempt, the at-th of those that have none.
func (n *nodeModel) ended(x *trace.Event, at int) {
	n.check(at >= 0 && (x.Text != "cancelled" || n.kind.CancellationStops), x, "second end, or one by a cancel that stops nothing")
	n.check(x.Kind == trace.AttemptDied || n.begun[x.RequestID] == (x.Kind == trace.AttemptFinished), x, "wrong end")
	if n.begun[x.RequestID] {
		n.used -= n.slots[x.RequestID]
	}
	n.in = slices.Delete(n.in, at, at+1)
	delete(n.begun, x.RequestID)
}

// checkRoom checks that no more wait than there is room for.
func (n *nodeModel) checkRoom(x *trace.Event) {
	space := n.kind.Queue + 1 // that one is on its way from reached to its fate
	if n.hung {
		space += n.kind.Slots
	}
	n.check(len(n.in)-len(n.begun) <= space, x, "room that there is not")
}

// FuzzNode puts a worker and the model through random requests and faults.
func FuzzNode(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		m := newNodeSteps(s)
		for i := 0; s.More(); i++ {
			m.step(i)
		}
		m.checkEnd()
	})
}

// nodeSteps plays a scheduler to one worker, with a model of it.
type nodeSteps struct {
	*workerHarness
	*nodeModel
	worker *worker
	conns  []simapi.Conn
	calls  []string
}

// newNodeSteps draws a kind of worker.
func newNodeSteps(s *modeltest.Steps) *nodeSteps {
	spec, k := plain(1)
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
	m := &nodeModel{s: s, kind: k, slots: map[string]float64{}, begun: map[string]bool{}}
	r.see = m.saw
	r.ack = func(_ *simapi.CallbackReceived) (int, bool) { return []int{204, 200, 503, 0}[s.Pick(4)], s.Pick(8) > 0 }
	return &nodeSteps{workerHarness: r, nodeModel: m, worker: r.w.workers[0], conns: []simapi.Conn{r.dial(0, 0)}, calls: []string{"unknown"}}
}

// step draws what happens next.
func (n *nodeSteps) step(i int) {
	s := n.s
	pick, c, call := s.Pick(32), n.conns[s.Pick(len(n.conns))], n.calls[s.Pick(len(n.calls))]
	s.Record(fmt.Sprintf("%v:%d", n.w.now, pick))
	switch {
	case pick < 3:
		n.conns = append(n.conns, n.dial(0, 0))
	case pick < 15:
		call = fmt.Sprint("call-", i)
		n.slots[call] = float64(int(1) << s.Pick(3))
		n.addRequest(call, unsafeClass, float64(1+s.Pick(100))/1000, n.slots[call])
		n.calls = append(n.calls, call)
		n.writeAttempt(c, call)
	case pick < 19:
		n.useConn(pick, c, call)
	case pick < 25:
		n.disturb(pick)
	default:
		n.pass(time.Duration(s.Pick(40)) * ms)
	}
}

// useConn has a scheduler do something over a connection.
func (n *nodeSteps) useConn(pick int, c simapi.Conn, call string) {
	switch pick {
	case 15:
		n.writeAttempt(c, call)
	case 16:
		n.closeConn(c)
	case 17:
		n.writeCancellation(c, call)
	case 18:
		n.writeHealthCheck(c)
	}
}

// disturb begins or ends a fault of the worker.
func (n *nodeSteps) disturb(pick int) {
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
		[]func(bool){worker.setFull, worker.setMute, worker.setSlowRead}[s.Pick(3)](s.Pick(2) == 0)
	}
}

// checkEnd plays until all that was taken has ended: nothing is left over.
func (n *nodeSteps) checkEnd() {
	worker, s := n.worker, n.s
	worker.setHang(false)
	n.pass(5 * time.Minute)
	s.Check(len(n.in) == 0 && n.used == 0, "%v has no end, %v slots are in use", n.in, n.used)
	s.Check(len(worker.jobs.all)+len(worker.jobs.byRequest)+len(worker.jobs.queue)+len(worker.jobs.running)+worker.callbacks.outstanding+len(worker.callbacks.callbacks) == 0 && worker.jobs.usedSlots == 0,
		"left over: %+v", worker)
	t := n.w.WorkerState(0)
	s.Check(worker.process.state != workerUp || t.Free == t.Slots && t.BacklogSeconds < 1e-6 && t.Speed > 0, "at rest it is %+v", t)
}

func TestCoresAreShared(t *testing.T) {
	spec, k := plain(1)
	k.Cores, k.Slots = 2, 4
	r := newWorkerHarness(t, spec, 1)
	r.sendRequest(0, "a", safeClass, 1, 2)
	r.pass(500 * ms)
	r.sendRequest(0, "b", safeClass, 0.5, 2) // 4 slots on 2 cores: half speed each, until a is done
	r.sendRequest(0, "c", safeClass, 0.25, 4)
	r.sendRequest(0, "d", safeClass, 0.25, 1) // would fit once a is done, but c is before it
	if truth := r.w.WorkerState(0); truth.Free != 0 || truth.Queued != 2 || truth.BacklogSeconds != 0.5*2+0.5*2+0.25*4+0.25 {
		t.Fatalf("the truth is %+v", truth)
	}
	r.pass(10 * time.Second)
	r.must(trace.AttemptStarted, "b", 500*ms)
	r.must(trace.AttemptFinished, "b", r.must(trace.AttemptFinished, "a", 1500*ms).At)
	r.must(trace.AttemptFinished, "c", r.must(trace.AttemptStarted, "c", 1500*ms).At+500*ms)
	if s := r.must(trace.AttemptFinished, "d", 2250*ms); s.Text != "d w-0/1#4" || s.Status != 200 {
		t.Fatalf("its result is %q", s.Text)
	}
	r.expectCallbacks("a", "started", "done")
	received, _ := r.inputs[len(r.inputs)-1].Message.(simapi.CallbackReceived)
	if received.Callback == nil || received.Callback.EndpointID != "w-0" || *received.Callback.Result != "d w-0/1#4" {
		t.Fatalf("received %+v", received)
	}
}

func TestWarmsUp(t *testing.T) {
	for _, by := range []string{"time", "work"} {
		spec, k := plain(1)
		k.WarmUpBy, k.WarmUpCapacity, k.WarmUp, k.Queue = by, 0.25, scenario.Duration(8*time.Second), 100
		r := newWorkerHarness(t, spec, 1)
		n := r.w.workers[0]
		n.crash(time.Second)
		r.run(time.Second)
		for i := range 10 {
			r.sendRequest(0, fmt.Sprint(i), safeClass, 10, 4)
		}
		for at := time.Duration(0); at <= 8*time.Second; at += 250 * ms {
			r.run(time.Second + at)
			even, got := 0.25+0.75*at.Seconds()/8, r.w.WorkerState(0).Speed
			if got < even-1e-9 || at == 0 && got > 0.28 {
				t.Fatalf("by %s it is at %v after %v, %v would be even", by, got, at, even)
			}
		}
		// The work done is the integral of the speed: from 0.25 to 1 evenly over 8 s is 5 s, and each step gives a little.
		if done := n.jobs.progressPerSlot; by == "time" && (done < 5 || done > 5.06) || by == "work" && (done < 6 || done > 8) {
			t.Fatalf("by %s it did %v s in 8 s", by, done)
		}
	}
}

func TestFallsOver(t *testing.T) {
	// Capacity 4 x 0.25 when cold, budget 3 x 1 x 2 s, slack 1.25 mean jobs.
	spec, k := plain(1)
	k.WarmUpCapacity, k.WarmUp, k.Queue, spec.Rules.OverloadFactor = 0.25, scenario.Duration(time.Hour), 1, 3
	budget := 6 + 1.25*spec.MeanCost()
	var r *workerHarness
	play := func(each time.Duration, work float64, notified bool) time.Duration {
		r = newWorkerHarness(t, spec, 1)
		r.notified = notified
		r.w.workers[0].crash(time.Second)
		r.run(time.Second)
		for i := range 200 {
			r.sendRequest(0, fmt.Sprint(i), safeClass, work, 1)
			r.pass(each)
		}
		s, ok := r.first(trace.WorkerOverloaded, "")
		if ok && s.Share != map[bool]float64{true: 1}[notified] {
			t.Fatalf("share of those told is %v, told %v", s.Share, notified)
		}
		return s.At - time.Second
	}
	if fell := play(100*ms, 0.29, true); fell > 0 {
		t.Fatalf("fell after %v at 2.9 times its capacity", fell)
	}
	fell := play(100*ms, 0.5, false) // most of it is rejected, and presses all the same
	if least := time.Duration(budget/0.5) * 100 * ms; fell != least {
		t.Fatalf("fell after %v at 5 times its capacity, want %v", fell, least)
	}
	last[simapi.WorkerDisconnected](r, r.sendRequest(0, "later", safeClass, 1, 1))
	r.w.workers[0].crash(time.Second)
	if r.pass(time.Hour); r.w.workers[0].process.state == workerUp {
		t.Fatal("it is back after its fall")
	}
	if fell = play(10*ms, 1, true); fell != time.Duration(budget)*10*ms {
		t.Fatalf("fell after %v in a burst", fell)
	}
}

func TestCallbacks(t *testing.T) {
	spec, k := plain(1)
	r := newWorkerHarness(t, spec, 1)
	var answers []int // to what is told of ends, -1 being none; 204 once they are used up
	r.ack = func(in *simapi.CallbackReceived) (int, bool) {
		if in.Callback.State != "done" || len(answers) == 0 {
			return 204, true
		}
		x := answers[0]
		answers = answers[1:]
		return x, x >= 0
	}
	request := func(call string, work float64, d time.Duration) {
		r.sendRequest(0, call, safeClass, work, 1)
		r.pass(d)
	}
	answers = []int{500, 0, -1, 200}
	request("a", 0.1, time.Minute)
	r.expectCallbacks("a", "started", "done", "done", "done", "done")
	answers = slices.Repeat([]int{503, -1}, 9)
	request("b", 0.1, time.Minute)
	if s, _ := r.first(trace.CallbackLost, "b"); s.Text != "done" || len(answers) != 8 {
		t.Fatalf("%q was given up with %d answers left", s.Text, len(answers))
	}
	answers = nil
	// To a scheduler that is gone there is no answer; the one that runs there later gets the callback.
	r.w.schedulers[0].alive = false
	request("c", 0.1, 5*time.Second)
	r.w.schedulers[0].alive = true
	r.pass(5 * time.Second)
	r.expectCallbacks("c", "started", "done")
	// What is not told while it is mute stays untold; what a hang holds up is told after that.
	n := r.w.workers[0]
	n.setMute(true)
	request("d", 0.1, time.Second)
	n.setMute(false)
	request("e", 1, 500*ms)
	n.setHang(true)
	r.pass(time.Minute)
	r.expectCallbacks("d")
	r.expectCallbacks("e", "started")
	if in := last[simapi.ResponseReceived](r, r.sendRequest(0, "f", safeClass, 1, 1)); in.Status != 202 {
		t.Fatalf("a hung one answers %+v", in)
	}
	n.setHang(false)
	r.pass(time.Minute)
	r.expectCallbacks("e", "started", "done")
	r.expectCallbacks("f", "started", "done")
	// They wait for the 202, but for some.
	early := 0
	k.Accept, k.CallbackEarlyShare, k.CallbackTwiceShare = scenario.Duration(50*ms), 0.5, 1
	for i := range 40 {
		call, at := fmt.Sprint(i), r.w.now
		request(call, 0.01, time.Second)
		r.must(trace.AttemptAccepted, call, at+50*ms)
		r.expectCallbacks(call, "started", "done", "started", "done")
		if s, _ := r.first(trace.CallbackAnswered, call); s.At < at+50*ms {
			early++
		}
	}
	if early < 10 || early > 30 {
		t.Fatalf("%d of 40 were told before their 202", early)
	}
}

func TestKeysAreRemembered(t *testing.T) {
	spec, _ := plain(8)
	spec.Fleet.CellSize = 4
	r := newWorkerHarness(t, spec, 1)
	request := func(node int, call string) {
		r.addRequest(call, keyedClass, 1, 1)
		r.tries[call].key = "key"
		r.sendRequest(node, call, keyedClass, 1, 1)
	}
	// ends checks when a call's run ended, and whether it was a run of its own.
	ends := func(call string, at time.Duration, first string) {
		t.Helper()
		s := r.must(trace.AttemptFinished, call, at)
		began, _ := r.first(trace.AttemptStarted, call)
		if !strings.HasPrefix(s.Text, first+" w-") || (began.Text == "repeat") != (first != call) {
			t.Fatalf("%q ended with %q, want the result of %q", call, s.Text, first)
		}
	}
	request(0, "a")
	r.pass(500 * ms)
	request(1, "b")
	request(4, "c") // in the other cell
	r.run(19 * time.Second)
	request(2, "d")
	r.run(21 * time.Second)
	request(2, "e") // after its window
	request(3, "f")
	request(1, "g")
	r.pass(500 * ms)
	r.w.workers[2].crash(0) // the repeat that waits for it takes its place; the next one waits for that
	r.pass(5 * time.Second)
	ends("a", time.Second, "a")
	ends("b", time.Second, "a")
	ends("c", 1500*ms, "c")
	ends("d", 19*time.Second, "a")
	r.must(trace.AttemptDied, "e", 21500*ms)
	if s := r.must(trace.AttemptFinished, "f", 22500*ms); s.Text != r.must(trace.AttemptFinished, "g", 22500*ms).Text {
		t.Fatal("the repeat has another result than what ran in the place of the first")
	}
	r.expectCallbacks("b", "done")
	r.expectCallbacks("f", "started", "done")
	// Under another key than the client's it is no request of that client.
	c := r.dial(0, 0)
	r.step(r.w.now)
	r.outputs = append(r.outputs, simapi.Output{Message: simapi.AttemptWritten{Conn: c, RequestID: "a", IdempotencyKey: "other"}})
	r.step(r.w.now)
	if s := r.must(trace.AttemptRejected, "a", r.w.now); s.Status != 400 || last[simapi.ResponseReceived](r, c).Status != 400 {
		t.Fatalf("answered %d", s.Status)
	}
}

func TestLinks(t *testing.T) {
	spec, k := plain(1)
	k.ConnLimit, k.ConnIdleTimeout, k.Handshake = 2, scenario.Duration(time.Second), scenario.Duration(20*ms)
	r := newWorkerHarness(t, spec, 1)
	n, request := r.w.workers[0], func(call string) simapi.Conn { return r.sendRequest(0, call, safeClass, 0.01, 1) }
	a, b, c := request("a"), request("b"), request("above the cap")
	if last[simapi.WorkerConnected](r, b); last[simapi.WorkerDisconnected](r, c).Reset {
		t.Fatal("one that did not come up looks like one that was reset")
	}
	r.pass(1010 * ms)
	r.must(trace.AttemptReceived, "a", 20*ms)
	last[simapi.ResponseReceived](r, a)
	if r.pass(10 * ms); !last[simapi.WorkerDisconnected](r, b).Reset {
		t.Fatal("the idle one does not look like one that was reset")
	}
	r.do(func() { n.setRefusing(true) })
	last[simapi.WorkerDisconnected](r, request("refused"))
	r.do(func() { n.setRefusing(false) })
	r.do(func() { n.setSilent(true) })
	r.nothing(request("silent"))
	r.do(func() { n.setSilent(false) })
	n.setResetBytes(8)
	if in := last[simapi.WorkerConnected](r, request("reset while it is read")); in.ResetAfter != 8 {
		t.Fatalf("%+v", in)
	}
	n.setResetBytes(-9)
	c = request("reset in its answer")
	r.pass(100 * ms)
	last[simapi.WorkerDisconnected](r, c)
	if !slices.ContainsFunc(r.inputs, func(in simapi.Input) bool {
		response, ok := in.Message.(simapi.ResponseReceived)
		return ok && response.Bytes == 9
	}) {
		t.Fatalf("no response of 9 bytes: %+v", r.inputs)
	}
	if slices.ContainsFunc(r.inputs, func(in simapi.Input) bool {
		connected, ok := in.Message.(simapi.WorkerConnected)
		return ok && connected.ResetAfter == 9
	}) {
		t.Fatalf("a connection was to be reset while it was read: %+v", r.inputs)
	}
	n.setSlowRead(true)
	r.pass(2 * time.Second)
	at := r.w.now
	request("slow")
	r.pass(2 * time.Second)
	r.must(trace.AttemptReceived, "slow", at+1020*ms)
	var modes []int
	for _, in := range r.inputs {
		if changed, ok := in.Message.(simapi.AcceptModeChanged); ok {
			modes = append(modes, changed.Mode)
		}
	}
	if len(modes) != 4 || modes[0] != simapi.AcceptNone || modes[1] != simapi.AcceptAll || modes[2] != simapi.AcceptSilently {
		t.Fatalf("modes of accepting were %v", modes)
	}
}

func TestDeaths(t *testing.T) {
	spec, k := plain(4)
	k.Accept, k.ReturnsQueued = scenario.Duration(ms), true
	r := newWorkerHarness(t, spec, 1)
	// A machine that vanishes says nothing. Once it is back it resets what is said to a process that it has forgotten.
	v, idle, busy := r.w.workers[0], r.dial(0, 0), r.sendRequest(0, "v", safeClass, 10, 1)
	r.pass(10 * ms)
	v.vanish(time.Second)
	r.addRequest("v2", safeClass, 1, 1)
	r.writeAttempt(busy, "v2")
	r.pass(900 * ms)
	last[simapi.ResponseReceived](r, busy)
	r.must(trace.AttemptDied, "v", 10*ms)
	r.expectCallbacks("v", "started")
	r.pass(200 * ms)
	last[simapi.WorkerDisconnected](r, busy)
	if last[simapi.WorkerConnected](r, idle); v.startedMs() != 1010 {
		t.Fatalf("back at %v", v.startedMs())
	}
	r.writeAttempt(idle, "v2")
	r.pass(ms)
	if last[simapi.WorkerDisconnected](r, idle); v.jobs.admittedCount != 1 {
		t.Fatal("it took what came over a connection of before")
	}
	// It answers 202 and dies at that instant.
	r.w.workers[1].dieAtAccept(0)
	c := r.sendRequest(1, "d", safeClass, 1, 1)
	r.pass(time.Second)
	last[simapi.WorkerDisconnected](r, c)
	r.must(trace.AttemptAccepted, "d", r.must(trace.AttemptDied, "d", 1112*ms).At)
	// A planned restart finishes what runs and hands back what waits.
	p, at := r.w.workers[2], r.w.now
	r.sendRequest(2, "p0", safeClass, 1.9, 4)
	r.sendRequest(2, "p1", safeClass, 2, 1)
	r.pass(100 * ms)
	p.restart(time.Second)
	r.pass(10 * ms)
	r.must(trace.AttemptReturned, "p1", at+100*ms)
	r.expectCallbacks("p1", "returned")
	if in := last[simapi.ResponseReceived](r, r.sendRequest(2, "p2", safeClass, 1, 1)); in.Status != 503 || !in.Rejected {
		t.Fatalf("while it drains it said %+v", in)
	}
	r.pass(2 * time.Second)
	r.must(trace.AttemptFinished, "p0", at+1900*ms)
	if r.expectCallbacks("p0", "started", "done"); p.process.state != workerDead {
		t.Fatal("it runs on with nothing left")
	}
	if r.pass(time.Second); p.process.state != workerUp || p.process.incarnation != 2 || p.id != "w-2" {
		t.Fatalf("%+v", p)
	}
	// Another machine takes its place. Where the first was there is silence, whoever has been told of what.
	x := r.w.workers[3]
	r.notified, r.life = true, nil
	x.replace(time.Second)
	r.pass(2 * time.Second)
	old, fresh := r.dial(0, 3), r.dialMachine(0, 3, 1)
	r.pass(time.Second)
	r.nothing(old)
	last[simapi.WorkerConnected](r, fresh)
	if x.placeIndex() != len(r.w.workers)+3 || r.w.View(0, 3).Reachable || !r.w.View(0, x.placeIndex()).Connectable {
		t.Fatalf("it is at %d, and is seen as %+v and %+v", x.placeIndex(), r.w.View(0, 3), r.w.View(0, x.placeIndex()))
	}
	x.remove()
	x.crash(time.Second)
	r.pass(time.Minute)
	want := []lifeEvent{lifeSilent, lifeRemoved, lifeStarted, lifeDraining, lifeRemoved, lifeStopped}
	if x.id != "w-3.1" || x.process.state == workerUp || !slices.Equal(r.life, want) {
		t.Fatalf("%s is in state %d, and discovery was told %v", x.id, x.process.state, r.life)
	}
}

// What is written and not read by the time its connection ends for its scheduler is told as that, whatever became of it;
// and who gives an attempt up, the scheduler or the network, is told apart.
func TestUnread(t *testing.T) {
	spec, k := plain(4)
	k.Accept = scenario.Duration(2 * time.Second)
	r := newWorkerHarness(t, spec, 1)
	up := func(node int) simapi.Conn {
		c := r.dial(0, node)
		r.pass(10 * ms)
		last[simapi.WorkerConnected](r, c)
		return c
	}
	send := func(c simapi.Conn, call string) {
		r.addRequest(call, safeClass, 1, 1)
		r.writeAttempt(c, call)
		r.pass(10 * ms)
	}
	silent, reset, paused, read := up(0), up(1), up(2), up(3)
	r.w.workers[0].vanish(0)
	send(silent, "silent")
	r.w.workers[2].pause(time.Second)
	send(paused, "paused")
	r.addRequest("reset", safeClass, 1, 1)
	r.writeAttempt(reset, "reset")
	r.w.workers[1].crash(0)
	r.pass(10 * ms)
	send(read, "read")
	for _, c := range []simapi.Conn{silent, paused, read} {
		r.closeConn(c)
	}
	r.pass(2 * time.Second)
	r.must(trace.AttemptUnread, "silent", 80*ms)
	r.must(trace.AttemptUnread, "paused", 80*ms)
	r.must(trace.AttemptUnread, "reset", 60*ms)
	if s, ok := r.first(trace.AttemptUnread, "read"); ok {
		t.Errorf("what was read: %+v", s)
	}
	if s := r.must(trace.AttemptCancelled, "paused", 1050*ms); s.Text != "" { // read after its pause, and given up by then
		t.Errorf("given up by its scheduler: %+v", s)
	}
	// The network forgets a connection before the 202 comes over it.
	undo := r.w.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, time.Second)
	at := r.w.now
	send(up(3), "forgotten")
	r.pass(3 * time.Second)
	if s := r.must(trace.AttemptCancelled, "forgotten", at+2010*ms); s.Text != "forgotten" {
		t.Errorf("given up by the network: %+v", s)
	}
	undo()
}

// load sends so many requests to random workers, and has some of these crash.
func (w *workerHarness) load(requests int, each, crashes time.Duration) {
	rng, conns := w.w.rng("load", 0), make([]simapi.Conn, len(w.w.workers))
	calls := make([]string, 1<<16)
	for i := range calls {
		calls[i] = fmt.Sprintf("%016x", i)
		w.addRequest(calls[i], i%4, 0.1*rng.ExpFloat64(), float64(1+i%2))
	}
	down := crashes
	for i := range requests {
		n := rng.IntN(len(conns))
		if w.w.conns[conns[n]] == nil {
			conns[n] = w.dial(n%len(w.w.schedulers), n)
		}
		if w.pass(each); crashes > 0 && w.w.now > down {
			w.w.workers[n].crash(time.Second)
			down += crashes
		}
		if w.writeAttempt(conns[n], calls[i%len(calls)]); len(w.inputs) > 1<<16 {
			w.inputs = w.inputs[:0]
		}
	}
}

func TestSameSeedSamePlay(t *testing.T) {
	play := func(seed uint64) []trace.Event {
		spec := scenario.Default()
		spec.Fleet.Zones, spec.Schedulers.Count = []string{"a", "b"}, 2
		spec.Fleet.Kinds[0].PauseEvery, spec.Fleet.Kinds[0].Pause = scenario.Duration(time.Second), scenario.Duration(10*ms)
		r := newWorkerHarness(t, spec, seed)
		r.load(1000, 3*ms, 150*ms)
		r.pass(time.Minute)
		return r.events
	}
	a, b, c := play(1), play(1), play(2)
	if !slices.Equal(a, b) || slices.Equal(a, c) || len(a) < 2500 {
		t.Fatalf("%d and %d sights with the same seed, %d with another", len(a), len(b), len(c))
	}
}

func TestFleet(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Workers, spec.Fleet.Zones = 1000, []string{"a", "b", "c"}
	r := newWorkerHarness(t, spec, 1)
	kinds, cells, addrs, size := map[string]int{}, map[[2]int]bool{}, map[string]bool{}, 0.0
	for i, n := range r.w.workers {
		kinds[n.kind.Name]++
		cells[[2]int{n.cell, n.zone}], addrs[r.w.WorkerAddr(i)] = true, true
		size += n.capacity() / spec.Capacity()
	}
	// 250 cells, of which two lie where one zone ends and the next begins.
	if kinds["std-4c"] != 510 || len(cells) != 252 || len(addrs) != 1000 || size < 0.99 || size > 1.01 {
		t.Fatalf("kinds %v, %d cells, %d addresses, %v of its capacity", kinds, len(cells), len(addrs), size)
	}
}

func BenchmarkNodes(b *testing.B) {
	for _, nodes := range []int{100, 10_000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			spec := scenario.Default()
			spec.Fleet.Workers = nodes
			r := newWorkerHarness(b, spec, 1)
			r.w.observer = func(*trace.Event) {}
			b.ReportAllocs()
			r.load(b.N, 50*ms/time.Duration(nodes), 0) // 20 jobs a second for each
		})
	}
}
