package requests

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// countingResponder is an Asker that counts its answers.
type countingResponder struct{ served, throttled, failed int }

func (e *countingResponder) RespondResult([]byte)          { e.served++ }
func (e *countingResponder) RespondRejected(time.Duration) { e.throttled++ }
func (e *countingResponder) RespondFailed()                { e.failed++ }
func (e *countingResponder) all() int                      { return e.served + e.throttled + e.failed }

// recordingTransport is a Carrier that only remembers.
type recordingTransport struct {
	out   []*Attempt
	given map[*Attempt]bool
	twice bool       // a worker node had two attempts of a query at once
	due   []*Attempt // whose worker nodes are to be told
	told  map[*Attempt]bool
}

// tell ends the oldest withdrawal that is due.
func (c *recordingTransport) tell(l *Table, told bool) {
	a := c.due[0]
	if c.due = c.due[1:]; told && !a.ended {
		c.told[a] = true
	}
	l.CancelCompleted(a, told)
}

func (c *recordingTransport) Start(a *Attempt) {
	for _, o := range c.out {
		c.twice = c.twice || !o.ended && o.Request == a.Request && o.Worker == a.Worker
	}
	c.out = append(c.out, a)
}

func (c *recordingTransport) Abandon(a *Attempt)          { c.given[a] = true }
func (c *recordingTransport) Cancel(a *Attempt)           { c.due = append(c.due, a) }
func (c *recordingTransport) CheckHealth(uint64)          {}
func (c *recordingTransport) CloseIdleConnections(uint64) {}
func (c *recordingTransport) Watch(int64)                 {}

// modelRequest is what the model knows of a query.
type modelRequest struct {
	q     *Request
	asker *countingResponder
	gone  bool
	sends int
}

// A query gets one answer or has lost its client, every Send one outcome, and whatever comes late, twice or for
// nobody changes nothing.
func FuzzTable(f *testing.F) { steps.Fuzz(f, runLedger) }

func runLedger(s *steps.Steps) {
	module, carried := &steps.Script{}, &recordingTransport{given: map[*Attempt]bool{}, told: map[*Attempt]bool{}}
	l := New(4, NameTable{Classes: []string{"a"}}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}, {ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"}}}, carried,
		slog.New(slog.DiscardHandler))
	now := time.Hour
	var qs []*modelRequest
	result := "r"
	for s.More() {
		now += time.Duration(s.Pick(200)) * time.Millisecond
		var m *modelRequest
		if len(qs) > 0 {
			m = qs[s.Pick(len(qs))]
		}
		act := func(a dispatch.Action) { module.Next = append(module.Next, a) }
		switch what := s.Pick(14); {
		case what == 0 || m == nil:
			e := &countingResponder{}
			q, err := l.Admit(now, Arrival{CallID: strconv.Itoa(len(qs)), Job: dispatch.Job{Remaining: time.Second}, Responder: e})
			s.Check(err == nil, "a new id was refused: %v", err)
			_, again := l.Admit(now, Arrival{CallID: q.CallID, Responder: e})
			s.Check(again == ErrDuplicateCallID, "an open query's id was taken again")
			qs = append(qs, &modelRequest{q: q, asker: e})
			s.Did("take")
		case what <= 3:
			m.sends++
			patience := time.Duration(s.Pick(3)) * 300 * time.Millisecond
			act(dispatch.Send{Job: m.q.ID, Worker: hashID("s-" + strconv.Itoa(s.Pick(2))), AttemptTimeout: patience})
			l.DiscoveryFailed() // something to step for
			before := len(carried.out)
			l.Step(now)
			if len(carried.out) > before {
				until := m.q.Deadline
				if patience > 0 {
					until = min(until, now+patience)
				}
				s.Check(carried.out[before].At == until, "patience not kept or not trimmed")
			}
			s.Did("send")
		case what == 4:
			act([]dispatch.Action{dispatch.Reject{Job: m.q.ID}, dispatch.Fail{Job: m.q.ID}}[s.Pick(2)])
			s.Did("refuse or fail")
		case what == 5:
			act(dispatch.Cancel{Job: m.q.ID, Attempt: s.Pick(5)})
			s.Did("cancel")
		case what == 6:
			m.gone = m.gone || m.asker.all() == 0
			l.ClientDisconnected(m.q)
			s.Did("gone")
		case what == 7:
			states := []string{"started", "running", "done", "failed", "returned", "lost"}
			n := Callback{CallID: m.q.CallID, EndpointID: "s-" + strconv.Itoa(s.Pick(3)), State: states[s.Pick(6)], Result: &result}
			_, err := l.HandleCallback(n)
			s.Check(err == nil, "a sound note was refused")
			s.Did(n.State)
		case what == 8 && len(carried.out) > 0:
			a := carried.out[s.Pick(len(carried.out))]
			if stage := Stage(s.Pick(3)); !a.ended && a.Stage < StageAccepted {
				a.Stage = stage
			}
			why := []Reason{ReasonConnectionLost, ReasonInvalidRequest}[s.Pick(2)]
			open := !a.ended && !a.Request.closed
			l.EndAttempt(a, nil, &AttemptError{Stage: a.Stage, Reason: why})
			if why == ReasonInvalidRequest && open {
				s.Check(a.Request.closed == (a.Request.inFlight == 0), "unusable at its last worker node, and not answered")
			}
			s.Did("end " + a.Stage.String())
		case what == 9 && s.Pick(8) == 0:
			// A new module knows no query: each must have its answer by the end of the step.
			module.Panic, module.Next = true, nil
			l.Step(now)
			if !module.Panic {
				s.Check(l.OpenCount() == 0, "%d queries without an answer after a panic", l.OpenCount())
				for _, m := range qs {
					s.Check(m.gone || m.asker.all() == 1, "%d answers after a panic", m.asker.all())
				}
				return
			}
			module.Panic = false
		case what <= 11 && what > 9 && len(carried.out) > 0:
			if a := carried.out[s.Pick(len(carried.out))]; !a.ended {
				a.Stage = StageAccepted
				if what == 11 {
					act(dispatch.Cancel{Job: a.Request.ID, Attempt: a.Number})
				}
			}
			s.Did("accept")
		case what > 11 && len(carried.due) > 0:
			carried.tell(l, what == 12)
			s.Did("tell of a withdrawal")
		}
		l.Step(now)
		for _, a := range carried.due {
			s.Check(a.Stage == StageAccepted, "an attempt that is %v is withdrawn by name", a.Stage)
		}
		for _, a := range carried.out {
			s.Check(!a.ended || a.Stage < StageAccepted || a.result != dispatch.Cancelled && a.result != dispatch.TimedOut ||
				carried.told[a] || a.Request.closed || now >= a.Request.Deadline,
				"query %d: an accepted attempt is given up, and its worker node does not know", a.Request.ID)
			s.Check(a.ended || !a.Request.closed || a.Stage >= StageWritten, "query %d is over, and may still be sent", a.Request.ID)
		}
	}
	for range 3 { // past every deadline: attempts expire, the module fails what is left
		now += 2 * time.Second
		for _, m := range qs {
			module.Next = append(module.Next, dispatch.Fail{Job: m.q.ID})
		}
		l.UpdateEndpoints(EndpointList{})
		l.Step(now)
	}
	checkOutcomes(s, qs, module.Heard, carried)
	s.Check(!carried.twice, "a worker node had two attempts of a query at once")
	s.Check(len(l.requests)+len(l.openByCallID)+len(l.inFlight)+l.timeouts.Len() == 0, "the ledger still holds something")
}

// checkOutcomes checks what was heard against what was done.
func checkOutcomes(s *steps.Steps, qs []*modelRequest, heard []dispatch.Event, carried *recordingTransport) {
	outcomes := map[[2]uint64]dispatch.Outcome{}
	for _, e := range heard {
		if o, ok := e.(dispatch.Outcome); ok {
			key := [2]uint64{o.Job, uint64(o.Attempt)}
			_, twice := outcomes[key]
			s.Check(!twice || o.Result == dispatch.NotSent, "two outcomes for query %d attempt %d", o.Job, o.Attempt)
			if !twice { // a Send for a query that has ended has no number of its own
				outcomes[key] = o
			}
		}
	}
	for _, m := range qs {
		s.Check(m.gone && m.asker.all() == 0 || !m.gone && m.asker.all() == 1, "%d answers, gone %v", m.asker.all(), m.gone)
		for n := range m.q.attempts {
			o, ok := outcomes[[2]uint64{m.q.ID, uint64(n)}]
			s.Check(ok, "no outcome for query %d attempt %d", m.q.ID, n)
			s.Check(o.Result != dispatch.OK || o.Closed, "served, and not closed")
		}
	}
	for _, a := range carried.out {
		o := outcomes[[2]uint64{a.Request.ID, uint64(a.Number)}]
		timedOut := o.Result == dispatch.TimedOut || o.Result == dispatch.Cancelled
		recalled := o.Result == dispatch.NotSent && o.Closed && a.Stage < StageWritten
		given := carried.given[a] || carried.told[a]
		s.Check(!timedOut || given, "result %v, and the worker node was not told", o.Result)
		s.Check(!given || timedOut || recalled, "result %v, stage %v, and the worker node was told", o.Result, a.Stage)
		if o.Result == dispatch.ConnectFailed {
			s.Check(a.Stage < StageWritten, "could not connect, though %v", a.Stage)
		}
	}
}

// 'Has it run?' follows from how far the attempt came.
func TestResult_FollowsFromStage(t *testing.T) {
	for stage, want := range map[Stage]dispatch.Result{StageNotConnected: dispatch.ConnectFailed, StagePartlyWritten: dispatch.ConnectFailed,
		StageWritten: dispatch.ConnectionReset, StageAccepted: dispatch.ConnectionReset} {
		if got := resultOf(&AttemptError{Stage: stage, Reason: ReasonConnectionLost}); got != want {
			t.Errorf("cut when %v: %v, expected %v", stage, got, want)
		}
	}
}

// Schedulers that meet the hosts in different orders must give them the same numbers, and two hosts two.
func TestEndpointNumbers_AgreeBetweenSchedulers(t *testing.T) {
	number := func(ids ...string) map[string]uint64 {
		table := endpointTable{map[string]uint64{}, map[uint64]Endpoint{}}
		var g EndpointList
		for _, id := range ids {
			g.Endpoints = append(g.Endpoints, Endpoint{ID: id})
		}
		table.apply(g, NameTable{})
		return table.numbers
	}
	a, b := number("s-1", "s-2"), number("s-2", "s-3", "s-1")
	if a["s-1"] != b["s-1"] || a["s-2"] != b["s-2"] {
		t.Errorf("numbers depend on the order: %v, %v", a, b)
	}
	real := hashID
	defer func() { hashID = real }()
	hashID = func(id string) uint64 { return uint64(len(id)) }
	if c := number("s-1", "s-2"); c["s-1"] == c["s-2"] {
		t.Errorf("two hosts share number %d", c["s-1"])
	}
}

// Of two copies that are both done only the first is the client's; the other ends as served and closed.
func TestHedgedRequest_FirstResultIsSent(t *testing.T) {
	module, asker := &steps.Script{}, &countingResponder{}
	carried := &recordingTransport{given: map[*Attempt]bool{}}
	l := New(4, NameTable{}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {ID: "s-1", Lifecycle: "up"}}},
		carried, slog.New(slog.DiscardHandler))
	q, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: asker})
	if err != nil {
		t.Fatal(err)
	}
	module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: hashID("s-0")}, dispatch.Send{Job: q.ID, Worker: hashID("s-1")}}
	l.Step(1)
	for _, a := range carried.out {
		a.Stage = StageWritten // else it would not run on
	}
	for _, from := range []string{"s-1", "s-0", "s-0"} {
		if _, err := l.HandleCallback(Callback{CallID: "c", EndpointID: from, State: "done", Result: new(string)}); err != nil {
			t.Error(err)
		}
	}
	l.Step(2)
	o, ok := module.Heard[len(module.Heard)-1].(dispatch.Outcome)
	if asker.served != 1 || asker.all() != 1 || !ok || o.Attempt != 0 || o.Result != dispatch.OK || !o.Closed {
		t.Errorf("%d answers, last heard %+v", asker.all(), o)
	}
}

// orderedResponder is an Asker that notes whom it answered.
type orderedResponder struct {
	to   *[]int
	name int
}

func (o orderedResponder) RespondResult([]byte)          { *o.to = append(*o.to, o.name) }
func (o orderedResponder) RespondRejected(time.Duration) { o.RespondResult(nil) }
func (o orderedResponder) RespondFailed()                { o.RespondResult(nil) }

// Where many queries are answered at once, it is as they came, at every run.
func TestResponses_KeepOrderOfArrival(t *testing.T) {
	for _, end := range []func(l *Table, m *steps.Script){
		func(l *Table, _ *steps.Script) { l.CloseSince(0) },
		func(l *Table, m *steps.Script) { m.Panic = true; l.Step(2) },
	} {
		module, got := &steps.Script{}, []int{}
		l := New(4, NameTable{}, func() Policy { return module }, EndpointList{}, &recordingTransport{}, slog.New(slog.DiscardHandler))
		for i := range 50 {
			if _, err := l.Admit(1, Arrival{CallID: strconv.Itoa(i), Responder: orderedResponder{&got, i}}); err != nil {
				t.Fatal(err)
			}
		}
		if end(l, module); len(got) != 50 || !slices.IsSorted(got) {
			t.Errorf("answered in the order %v", got)
		}
	}
}

// A note that is told again must not end the next attempt at the same host: handed back twice, a query that may not run
// twice would be sent elsewhere while it runs there. So that host gets no further one.
func TestCallback_RepeatedEndsNoLaterAttempt(t *testing.T) {
	for _, state := range []string{"returned", "failed", "lost"} {
		module, carried := &steps.Script{}, &recordingTransport{given: map[*Attempt]bool{}}
		l := New(4, NameTable{}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {ID: "s-1",
			Lifecycle: "up"}}}, carried, slog.New(slog.DiscardHandler))
		q, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: &countingResponder{}})
		if err != nil {
			t.Fatal(err)
		}
		send := func(host string) {
			module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: hashID(host)}}
			l.DiscoveryFailed() // something to step for
			l.Step(1)
		}
		note := func() {
			if _, err := l.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state}); err != nil {
				t.Fatal(err)
			}
		}
		send("s-0")
		note()
		send("s-0")
		send("s-1")
		note()
		l.Step(2)
		if len(carried.out) != 2 || carried.out[1].EndpointID != "s-1" || carried.out[1].ended {
			t.Errorf("%s: %d attempts went, the last to %s", state, len(carried.out), carried.out[len(carried.out)-1].EndpointID)
		}
	}
}

// Bans are of an id, not of a count; they hold for what the list does not name now, and for a module that starts anew.
// Nothing is sent against one, even if the module wants it.
func FuzzCordons(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		module := &steps.Script{}
		carried := &recordingTransport{given: map[*Attempt]bool{}}
		l := New(6, NameTable{Classes: []string{"a"}}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"},
			{ID: "s-1", Lifecycle: "up"}, {ID: "s-2", Lifecycle: "up"}}}, carried, slog.New(slog.DiscardHandler))
		out, n := map[string]bool{}, 0
		for s.More() {
			id := "s-" + strconv.Itoa(s.Pick(4))
			switch what := s.Pick(6); what {
			case 0, 1:
				known, full := l.Cordon(id)
				s.Check(known == (id != "s-3") && !full, "suspend %s: known %v, full %v", id, known, full)
				if known {
					out[id] = true
				}
			case 2:
				s.Check(l.Uncordon(id) == (id != "s-3"), "restore %s", id)
				delete(out, id)
			case 3:
				l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "s-1", Lifecycle: "up", StartedAtMs: int64(s.Pick(9))}}})
			case 4:
				module.Panic = true
				module.Heard = nil
				l.Wake()
				l.Step(time.Second)
				l.Step(time.Second)
				told := 0
				for _, e := range module.Heard {
					if _, is := e.(dispatch.Cordoned); is {
						told++
					}
				}
				s.Check(told == len(out), "a module that starts anew hears of %d bans of %d", told, len(out))
			case 5:
				n++
				q, err := l.Admit(time.Second, Arrival{CallID: strconv.Itoa(n), Job: dispatch.Job{Remaining: time.Hour}, Responder: &countingResponder{}})
				if err != nil || l.endpoints.numbers[id] == 0 {
					continue
				}
				module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: l.endpoints.numbers[id]}}
				carried.out = nil
				l.Step(time.Second)
				s.Check((len(carried.out) == 1) == !out[id], "%d sent to %s, out %v", len(carried.out), id, out)
			}
			s.Did(id)
			var want []string
			for id := range out {
				want = append(want, id)
			}
			slices.Sort(want)
			s.Check(slices.Equal(l.Cordoned(), want), "bans %v, expected %v", l.Cordoned(), want)
		}
	})
}

// Hosts that have left are not remembered for ever, but for those that are out by hand.
func TestEndpoints_RemovedAreForgotten(t *testing.T) {
	l := New(6, NameTable{Classes: []string{"a"}}, func() Policy { return &steps.Script{} }, EndpointList{}, &recordingTransport{}, slog.New(slog.DiscardHandler))
	l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "out", Lifecycle: "up"}}})
	l.Cordon("out")
	for n := range 3 * maxRemovedEndpoints {
		l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "s-" + strconv.Itoa(n), Lifecycle: "up"}}})
	}
	if n := len(l.endpoints.byNumber); n > 2*maxRemovedEndpoints || n != len(l.endpoints.numbers) {
		t.Errorf("%d hosts are remembered, %d numbers", n, len(l.endpoints.numbers))
	}
	if known, _ := l.Cordon("out"); !known || len(l.Cordoned()) != 1 || l.Cordoned()[0] != "out" {
		t.Errorf("of the one that is out: %v", l.Cordoned())
	}
}

// cancelFixture is a ledger with one query that has an accepted attempt at s-0.
type cancelFixture struct {
	l       *Table
	module  *steps.Script
	carried *recordingTransport
	asker   *countingResponder
	q       *Request
	first   *Attempt
}

func newCancelFixture(t *testing.T, patience time.Duration) *cancelFixture {
	t.Helper()
	c := &cancelFixture{module: &steps.Script{}, carried: &recordingTransport{given: map[*Attempt]bool{}, told: map[*Attempt]bool{}}, asker: &countingResponder{}}
	c.l = New(4, NameTable{}, func() Policy { return c.module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {ID: "s-1", Lifecycle: "up"}}},
		c.carried, slog.New(slog.DiscardHandler))
	var err error
	if c.q, err = c.l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: c.asker}); err != nil {
		t.Fatal(err)
	}
	c.act(1, dispatch.Send{Job: c.q.ID, Worker: hashID("s-0"), AttemptTimeout: patience})
	c.first = c.carried.out[0]
	c.first.Stage = StageAccepted
	return c
}

// act has the module do something, and hear what comes of it.
func (c *cancelFixture) act(now time.Duration, actions ...dispatch.Action) {
	c.module.Next = actions
	c.l.Wake()
	c.l.Step(now)
	c.l.Step(now)
}

func (c *cancelFixture) outcomes() (results []dispatch.Result) {
	for _, e := range c.module.Heard {
		if o, ok := e.(dispatch.Outcome); ok {
			results = append(results, o.Result)
		}
	}
	return results
}

// An accepted attempt that is withdrawn is out until its worker node is told: the module hears of no end that would have it
// send another copy, and the worker node's own word counts.
func TestCancel_EndsOnceWorkerConfirms(t *testing.T) {
	result := "r"
	note := func(state string) func(c *cancelFixture) {
		return func(c *cancelFixture) {
			_, _ = c.l.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state, Result: &result})
		}
	}
	for name, x := range map[string]struct {
		then func(c *cancelFixture)
		want []dispatch.Result // once that has happened
		last dispatch.Result   // at the end of the query
	}{
		"told":                  {func(c *cancelFixture) { c.carried.tell(c.l, true) }, []dispatch.Result{dispatch.Cancelled}, dispatch.Cancelled},
		"not to be reached":     {func(c *cancelFixture) { c.carried.tell(c.l, false) }, nil, dispatch.TimedOut},
		"nothing yet":           {func(*cancelFixture) {}, nil, dispatch.TimedOut},
		"withdrawn twice":       {func(c *cancelFixture) { c.act(3, dispatch.Cancel{Job: c.q.ID}) }, nil, dispatch.TimedOut},
		"done":                  {note("done"), []dispatch.Result{dispatch.OK}, dispatch.OK},
		"handed back unstarted": {note("returned"), []dispatch.Result{dispatch.WorkerFull}, dispatch.WorkerFull},
		"lost":                  {note("lost"), []dispatch.Result{dispatch.ConnectionReset}, dispatch.ConnectionReset},
		"its client leaves":     {func(c *cancelFixture) { c.l.ClientDisconnected(c.q) }, nil, dispatch.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCancelFixture(t, 0)
			c.act(2, dispatch.Cancel{Job: c.q.ID})
			if got := c.outcomes(); len(got) != 0 || len(c.carried.due) != 1 || c.carried.due[0] != c.first {
				t.Fatalf("withdrawn: outcomes %v, %d worker nodes to be told", got, len(c.carried.due))
			}
			x.then(c)
			c.act(4)
			if got := c.outcomes(); !slices.Equal(got, x.want) || len(c.carried.due) > 1 {
				t.Errorf("outcomes %v, expected %v, %d withdrawals", got, x.want, len(c.carried.due))
			}
			c.act(time.Second)
			if len(c.carried.due) > 0 {
				c.carried.tell(c.l, true) // too late to mean anything
			}
			if c.act(time.Second); !slices.Equal(c.outcomes(), []dispatch.Result{x.last}) {
				t.Errorf("outcomes %v at the end, expected %v", c.outcomes(), x.last)
			}
			if x.last == dispatch.OK && c.asker.served != 1 {
				t.Error("what was done while it was withdrawn did not serve")
			}
		})
	}
}

// One that could not be withdrawn may be later.
func TestCancel_RetriedAfterFailure(t *testing.T) {
	c := newCancelFixture(t, 0)
	c.act(2, dispatch.Cancel{Job: c.q.ID})
	c.carried.tell(c.l, false)
	c.act(3, dispatch.Cancel{Job: c.q.ID})
	if len(c.carried.due) != 1 {
		t.Fatal("it is not withdrawn again")
	}
	c.carried.tell(c.l, true)
	if c.act(4); !slices.Equal(c.outcomes(), []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// A patience that is over before the query's time withdraws too: another copy may be sent.
func TestCancel_ByAttemptTimeout(t *testing.T) {
	c := newCancelFixture(t, time.Millisecond)
	c.act(2 * time.Millisecond)
	if got := c.outcomes(); len(got) != 0 || len(c.carried.due) != 1 {
		t.Fatalf("outcomes %v, %d worker nodes to be told", got, len(c.carried.due))
	}
	c.carried.tell(c.l, true)
	if c.act(3 * time.Millisecond); !slices.Equal(c.outcomes(), []dispatch.Result{dispatch.TimedOut}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// Notes name no attempt. Where one before it at the same host may still run, only what is done ends the later one.
func TestCallback_OfEarlierAttemptEndsLaterOnlyIfDone(t *testing.T) {
	result := "r"
	for _, handed := range []bool{false, true} {
		c := newCancelFixture(t, 0)
		c.l.EndAttempt(c.first, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonConnectionLost})
		c.act(2, dispatch.Send{Job: c.q.ID, Worker: hashID("s-0")})
		if len(c.carried.out) != 2 {
			t.Fatal("not sent again")
		}
		c.carried.out[1].Stage = StageWritten
		if handed {
			c.handOver(t)
		}
		for _, state := range []string{"started", "returned", "lost", "failed"} {
			if known, err := c.l.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state}); !known || err != nil {
				t.Errorf("%s: known %v, %v", state, known, err)
			}
		}
		if c.act(3); slices.Contains(c.outcomes(), dispatch.WorkerFull) || c.l.InFlightAttempt(c.q.ID, 1) == nil {
			t.Errorf("handed over %v: ended by a note that may be of the attempt before, outcomes %v", handed, c.outcomes())
		}
		if _, err := c.l.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: "done", Result: &result}); err != nil || c.l.InFlightAttempt(c.q.ID, 1) != nil ||
			c.l.OpenCount() != 0 {
			t.Errorf("handed over %v: what is done is not taken, %v", handed, err)
		}
	}
}

// handOver goes on in another process.
func (c *cancelFixture) handOver(t *testing.T) {
	t.Helper()
	if !c.l.FlushEvents(5) {
		t.Fatal("not settled")
	}
	book, open := c.l.Snapshot()
	next := newCancelFixture(t, 0)
	next.l = New(4, NameTable{}, func() Policy { return next.module }, EndpointList{}, next.carried, slog.New(slog.DiscardHandler))
	next.module.Heard, next.carried.out = nil, nil
	next.l.TakeOver(5, book, open, map[uint64]Responder{c.q.ID: c.asker}, func() Policy { return next.module })
	c.l, c.module, c.carried, c.q = next.l, next.module, next.carried, next.l.Request(c.q.ID)
}

// What a process was about to tell a worker node, the one that takes over tells; until then the attempt is out there too.
func TestTakeOver_ResumesCancellation(t *testing.T) {
	c := newCancelFixture(t, 0)
	c.act(2, dispatch.Cancel{Job: c.q.ID})
	c.handOver(t)
	if len(c.outcomes()) != 0 || len(c.carried.due) != 1 || c.l.InFlightAttempt(c.q.ID, 0) == nil {
		t.Fatalf("outcomes %v, %d worker nodes to be told", c.outcomes(), len(c.carried.due))
	}
	c.carried.tell(c.l, true)
	if c.act(6); !slices.Equal(c.outcomes(), []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// Queries wait for the first news of the host group, and the module hears of all of them in one step then, with the time that
// each has left; it hears of them in time for their deadlines, once the news can't be had, and once it has been waited for long
// enough. Nothing is sent by a list that may be old until then.
func TestAdmit_WaitsForFirstEndpointList(t *testing.T) {
	group := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, c := range map[string]struct {
		left time.Duration
		news func(l *Table)
		at   time.Duration // the module hears of it
	}{
		"a list":        {5 * time.Second, func(l *Table) { l.UpdateEndpoints(group) }, 300 * time.Millisecond},
		"no list":       {5 * time.Second, func(l *Table) { l.DiscoveryFailed() }, 300 * time.Millisecond},
		"nothing":       {5 * time.Second, func(*Table) {}, time.Second},
		"deadline":      {800 * time.Millisecond, func(*Table) {}, 700 * time.Millisecond},
		"hardly a time": {50 * time.Millisecond, func(*Table) {}, 1},
	} {
		module := &steps.Script{}
		l := New(4, NameTable{}, func() Policy { return module }, group, &recordingTransport{given: map[*Attempt]bool{}}, slog.New(slog.DiscardHandler))
		l.AwaitEndpoints(time.Second)
		if _, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: c.left}, Responder: &countingResponder{}}); err != nil {
			t.Fatal(err)
		}
		heard := time.Duration(0)
		for tick := time.Duration(0); tick <= 10 && heard == 0; tick++ {
			now := max(1, tick*100*time.Millisecond)
			if tick == 3 {
				c.news(l)
			}
			if at, ok := l.NextStep(); ok && at <= now {
				l.Step(now)
			}
			for _, e := range module.Heard {
				if j, ok := e.(dispatch.Job); ok {
					if heard = now; j.Remaining != c.left-now {
						t.Errorf("%s: %v left at %v, of %v", name, j.Remaining, now, c.left)
					}
				}
			}
		}
		if heard != c.at {
			t.Errorf("%s: heard at %v, expected %v", name, heard, c.at)
		}
	}
}

// A process whose requests would wait for the first list is not ready yet: clients that go to another are served at once.
func TestReady_OnlyOnceNothingAwaitsTheFirstEndpointList(t *testing.T) {
	group := EndpointList{Reset: true, Revision: 2, Endpoints: []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	for name, news := range map[string]func(l *Table){
		"a list":    func(l *Table) { l.UpdateEndpoints(group) },
		"no change": func(l *Table) { l.UpdateEndpoints(EndpointList{Revision: 2}) },
		"no list":   func(l *Table) { l.DiscoveryFailed() },
		"nothing":   func(l *Table) { l.Step(time.Second) },
		"handover":  func(l *Table) { l.AwaitEndpoints(0) },
	} {
		l := New(4, NameTable{}, func() Policy { return &steps.Script{} }, group, &recordingTransport{given: map[*Attempt]bool{}}, slog.New(slog.DiscardHandler))
		l.Step(0)
		if !l.Ready() {
			t.Errorf("%s: not ready with a worker node up", name)
		}
		l.AwaitEndpoints(time.Second)
		if l.Step(time.Second - 1); l.Ready() {
			t.Errorf("%s: ready while requests wait", name)
		}
		if news(l); !l.Ready() {
			t.Errorf("%s: not ready though requests wait no more", name)
		}
	}
}
