package ledger

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/internal/steps"
	"valvecove/logic"
)

// ends is an Asker that counts its answers.
type ends struct{ served, throttled, failed int }

func (e *ends) Serve([]byte)           { e.served++ }
func (e *ends) Throttle(time.Duration) { e.throttled++ }
func (e *ends) Fail()                  { e.failed++ }
func (e *ends) all() int               { return e.served + e.throttled + e.failed }

// carrier is a Carrier that only remembers.
type carrier struct {
	out   []*Attempt
	given map[*Attempt]bool
	twice bool       // a worker node had two attempts of a query at once
	due   []*Attempt // whose worker nodes are to be told
	told  map[*Attempt]bool
}

// tell ends the oldest withdrawal that is due.
func (c *carrier) tell(l *Ledger, told bool) {
	a := c.due[0]
	if c.due = c.due[1:]; told && !a.ended {
		c.told[a] = true
	}
	l.Withdrawn(a, told)
}

func (c *carrier) Carry(a *Attempt) {
	for _, o := range c.out {
		c.twice = c.twice || !o.ended && o.Query == a.Query && o.Worker == a.Worker
	}
	c.out = append(c.out, a)
}

func (c *carrier) GiveUp(a *Attempt)   { c.given[a] = true }
func (c *carrier) Withdraw(a *Attempt) { c.due = append(c.due, a) }
func (c *carrier) Probe(uint64)        {}
func (c *carrier) FreeLinks(uint64)    {}
func (c *carrier) Watch(int64)         {}

// modelQuery is what the model knows of a query.
type modelQuery struct {
	q     *Query
	asker *ends
	gone  bool
	sends int
}

// A query gets one answer or has lost its client, every Send one outcome, and whatever comes late, twice or for
// nobody changes nothing.
func FuzzLedger(f *testing.F) { steps.Fuzz(f, runLedger) }

func runLedger(s *steps.Steps) {
	module, carried := &steps.Script{}, &carrier{given: map[*Attempt]bool{}, told: map[*Attempt]bool{}}
	l := New(4, Names{Classes: []string{"a"}}, func() Module { return module }, HostGroup{Hosts: []Host{
		{ID: "s-0", Addr: "127.0.0.1:1", State: "up"}, {ID: "s-1", Addr: "127.0.0.1:2", State: "up"}}}, carried,
		slog.New(slog.DiscardHandler))
	now := time.Hour
	var qs []*modelQuery
	result := "r"
	for s.More() {
		now += time.Duration(s.Pick(200)) * time.Millisecond
		var m *modelQuery
		if len(qs) > 0 {
			m = qs[s.Pick(len(qs))]
		}
		act := func(a logic.Action) { module.Next = append(module.Next, a) }
		switch what := s.Pick(14); {
		case what == 0 || m == nil:
			e := &ends{}
			q, err := l.Take(now, Arrival{Call: strconv.Itoa(len(qs)), Job: logic.Job{Left: time.Second}, Asker: e})
			s.Check(err == nil, "a new id was refused: %v", err)
			_, again := l.Take(now, Arrival{Call: q.Call, Asker: e})
			s.Check(again == ErrRepeated, "an open query's id was taken again")
			qs = append(qs, &modelQuery{q: q, asker: e})
			s.Did("take")
		case what <= 3:
			m.sends++
			patience := time.Duration(s.Pick(3)) * 300 * time.Millisecond
			act(logic.Send{Job: m.q.ID, Worker: hashID("s-" + strconv.Itoa(s.Pick(2))), Patience: patience})
			l.HostsLost() // something to step for
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
			act([]logic.Action{logic.Refuse{Job: m.q.ID}, logic.Fail{Job: m.q.ID}}[s.Pick(2)])
			s.Did("refuse or fail")
		case what == 5:
			act(logic.Cancel{Job: m.q.ID, Attempt: s.Pick(5)})
			s.Did("cancel")
		case what == 6:
			m.gone = m.gone || m.asker.all() == 0
			l.Gone(m.q)
			s.Did("gone")
		case what == 7:
			states := []string{"started", "running", "done", "failed", "returned", "lost"}
			n := Note{ID: m.q.Call, From: "s-" + strconv.Itoa(s.Pick(3)), State: states[s.Pick(6)], Result: &result}
			_, err := l.Tell(n)
			s.Check(err == nil, "a sound note was refused")
			s.Did(n.State)
		case what == 8 && len(carried.out) > 0:
			a := carried.out[s.Pick(len(carried.out))]
			if stage := Stage(s.Pick(3)); !a.ended && a.Stage < Accepted {
				a.Stage = stage
			}
			why := []Reason{Cut, Unusable}[s.Pick(2)]
			open := !a.ended && !a.Query.closed
			l.End(a, nil, &Fault{Stage: a.Stage, Reason: why})
			if why == Unusable && open {
				s.Check(a.Query.closed == (a.Query.out == 0), "unusable at its last worker node, and not answered")
			}
			s.Did("end " + a.Stage.String())
		case what == 9 && s.Pick(8) == 0:
			// A new module knows no query: each must have its answer by the end of the step.
			module.Panic, module.Next = true, nil
			l.Step(now)
			if !module.Panic {
				s.Check(l.Open() == 0, "%d queries without an answer after a panic", l.Open())
				for _, m := range qs {
					s.Check(m.gone || m.asker.all() == 1, "%d answers after a panic", m.asker.all())
				}
				return
			}
			module.Panic = false
		case what <= 11 && what > 9 && len(carried.out) > 0:
			if a := carried.out[s.Pick(len(carried.out))]; !a.ended {
				a.Stage = Accepted
				if what == 11 {
					act(logic.Cancel{Job: a.Query.ID, Attempt: a.Number})
				}
			}
			s.Did("accept")
		case what > 11 && len(carried.due) > 0:
			carried.tell(l, what == 12)
			s.Did("tell of a withdrawal")
		}
		l.Step(now)
		for _, a := range carried.due {
			s.Check(a.Stage == Accepted, "an attempt that is %v is withdrawn by name", a.Stage)
		}
		for _, a := range carried.out {
			s.Check(!a.ended || a.Stage < Accepted || a.result != logic.Cancelled && a.result != logic.TimedOut ||
				carried.told[a] || a.Query.closed || now >= a.Query.Deadline,
				"query %d: an accepted attempt is given up, and its worker node does not know", a.Query.ID)
			s.Check(a.ended || !a.Query.closed || a.Stage >= AllWritten, "query %d is over, and may still be sent", a.Query.ID)
		}
	}
	for range 3 { // past every deadline: attempts expire, the module fails what is left
		now += 2 * time.Second
		for _, m := range qs {
			module.Next = append(module.Next, logic.Fail{Job: m.q.ID})
		}
		l.Hosts(HostGroup{})
		l.Step(now)
	}
	judge(s, qs, module.Heard, carried)
	s.Check(!carried.twice, "a worker node had two attempts of a query at once")
	s.Check(len(l.queries)+len(l.calls)+len(l.live)+l.expiries.Len() == 0, "the ledger still holds something")
}

// judge checks what was heard against what was done.
func judge(s *steps.Steps, qs []*modelQuery, heard []logic.Event, carried *carrier) {
	outcomes := map[[2]uint64]logic.Outcome{}
	for _, e := range heard {
		if o, ok := e.(logic.Outcome); ok {
			key := [2]uint64{o.Job, uint64(o.Attempt)}
			_, twice := outcomes[key]
			s.Check(!twice || o.Result == logic.NotSent, "two outcomes for query %d attempt %d", o.Job, o.Attempt)
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
			s.Check(o.Result != logic.OK || o.Closed, "served, and not closed")
		}
	}
	for _, a := range carried.out {
		o := outcomes[[2]uint64{a.Query.ID, uint64(a.Number)}]
		timedOut := o.Result == logic.TimedOut || o.Result == logic.Cancelled
		recalled := o.Result == logic.NotSent && o.Closed && a.Stage < AllWritten
		given := carried.given[a] || carried.told[a]
		s.Check(!timedOut || given, "result %v, and the worker node was not told", o.Result)
		s.Check(!given || timedOut || recalled, "result %v, stage %v, and the worker node was told", o.Result, a.Stage)
		if o.Result == logic.NoConnect {
			s.Check(a.Stage < AllWritten, "could not connect, though %v", a.Stage)
		}
	}
}

// 'Has it run?' follows from how far the attempt came.
func TestResultFollowsFromStage(t *testing.T) {
	for stage, want := range map[Stage]logic.Result{NotConnected: logic.NoConnect, PartWritten: logic.NoConnect,
		AllWritten: logic.Reset, Accepted: logic.Reset} {
		if got := result(&Fault{Stage: stage, Reason: Cut}); got != want {
			t.Errorf("cut when %v: %v, expected %v", stage, got, want)
		}
	}
}

// Schedulers that meet the hosts in different orders must give them the same numbers, and two hosts two.
func TestHostNumbers(t *testing.T) {
	number := func(ids ...string) map[string]uint64 {
		table := hostTable{map[string]uint64{}, map[uint64]Host{}}
		var g HostGroup
		for _, id := range ids {
			g.Hosts = append(g.Hosts, Host{ID: id})
		}
		table.take(g, Names{})
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
func TestFirstCopyServes(t *testing.T) {
	module, asker := &steps.Script{}, &ends{}
	carried := &carrier{given: map[*Attempt]bool{}}
	l := New(4, Names{}, func() Module { return module }, HostGroup{Hosts: []Host{{ID: "s-0", State: "up"}, {ID: "s-1", State: "up"}}},
		carried, slog.New(slog.DiscardHandler))
	q, err := l.Take(0, Arrival{Call: "c", Job: logic.Job{Left: time.Second}, Asker: asker})
	if err != nil {
		t.Fatal(err)
	}
	module.Next = []logic.Action{logic.Send{Job: q.ID, Worker: hashID("s-0")}, logic.Send{Job: q.ID, Worker: hashID("s-1")}}
	l.Step(1)
	for _, a := range carried.out {
		a.Stage = AllWritten // else it would not run on
	}
	for _, from := range []string{"s-1", "s-0", "s-0"} {
		if _, err := l.Tell(Note{ID: "c", From: from, State: "done", Result: new(string)}); err != nil {
			t.Error(err)
		}
	}
	l.Step(2)
	o, ok := module.Heard[len(module.Heard)-1].(logic.Outcome)
	if asker.served != 1 || asker.all() != 1 || !ok || o.Attempt != 0 || o.Result != logic.OK || !o.Closed {
		t.Errorf("%d answers, last heard %+v", asker.all(), o)
	}
}

// order is an Asker that notes whom it answered.
type order struct {
	to   *[]int
	name int
}

func (o order) Serve([]byte)           { *o.to = append(*o.to, o.name) }
func (o order) Throttle(time.Duration) { o.Serve(nil) }
func (o order) Fail()                  { o.Serve(nil) }

// Where many queries are answered at once, it is as they came, at every run.
func TestAnswersKeepTheOrderOfArrival(t *testing.T) {
	for _, end := range []func(l *Ledger, m *steps.Script){
		func(l *Ledger, _ *steps.Script) { l.Finish(0) },
		func(l *Ledger, m *steps.Script) { m.Panic = true; l.Step(2) },
	} {
		module, got := &steps.Script{}, []int{}
		l := New(4, Names{}, func() Module { return module }, HostGroup{}, &carrier{}, slog.New(slog.DiscardHandler))
		for i := range 50 {
			if _, err := l.Take(1, Arrival{Call: strconv.Itoa(i), Asker: order{&got, i}}); err != nil {
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
func TestNoteToldTwiceEndsNoLaterAttempt(t *testing.T) {
	for _, state := range []string{"returned", "failed", "lost"} {
		module, carried := &steps.Script{}, &carrier{given: map[*Attempt]bool{}}
		l := New(4, Names{}, func() Module { return module }, HostGroup{Hosts: []Host{{ID: "s-0", State: "up"}, {ID: "s-1",
			State: "up"}}}, carried, slog.New(slog.DiscardHandler))
		q, err := l.Take(0, Arrival{Call: "c", Job: logic.Job{Left: time.Second}, Asker: &ends{}})
		if err != nil {
			t.Fatal(err)
		}
		send := func(host string) {
			module.Next = []logic.Action{logic.Send{Job: q.ID, Worker: hashID(host)}}
			l.HostsLost() // something to step for
			l.Step(1)
		}
		note := func() {
			if _, err := l.Tell(Note{ID: "c", From: "s-0", State: state}); err != nil {
				t.Fatal(err)
			}
		}
		send("s-0")
		note()
		send("s-0")
		send("s-1")
		note()
		l.Step(2)
		if len(carried.out) != 2 || carried.out[1].From != "s-1" || carried.out[1].ended {
			t.Errorf("%s: %d attempts went, the last to %s", state, len(carried.out), carried.out[len(carried.out)-1].From)
		}
	}
}

// Bans are of an id, not of a count; they hold for what the list does not name now, and for a module that starts anew.
// Nothing is sent against one, even if the module wants it.
func FuzzBans(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		module := &steps.Script{}
		carried := &carrier{given: map[*Attempt]bool{}}
		l := New(6, Names{Classes: []string{"a"}}, func() Module { return module }, HostGroup{Hosts: []Host{{ID: "s-0", State: "up"},
			{ID: "s-1", State: "up"}, {ID: "s-2", State: "up"}}}, carried, slog.New(slog.DiscardHandler))
		out, n := map[string]bool{}, 0
		for s.More() {
			id := "s-" + strconv.Itoa(s.Pick(4))
			switch what := s.Pick(6); what {
			case 0, 1:
				known, full := l.Suspend(id)
				s.Check(known == (id != "s-3") && !full, "suspend %s: known %v, full %v", id, known, full)
				if known {
					out[id] = true
				}
			case 2:
				s.Check(l.Restore(id) == (id != "s-3"), "restore %s", id)
				delete(out, id)
			case 3:
				l.Hosts(HostGroup{Reset: true, Hosts: []Host{{ID: "s-1", State: "up", StartedMs: int64(s.Pick(9))}}})
			case 4:
				module.Panic = true
				module.Heard = nil
				l.Wake()
				l.Step(time.Second)
				l.Step(time.Second)
				told := 0
				for _, e := range module.Heard {
					if _, is := e.(logic.Suspended); is {
						told++
					}
				}
				s.Check(told == len(out), "a module that starts anew hears of %d bans of %d", told, len(out))
			case 5:
				n++
				q, err := l.Take(time.Second, Arrival{Call: strconv.Itoa(n), Job: logic.Job{Left: time.Hour}, Asker: &ends{}})
				if err != nil || l.table.numbers[id] == 0 {
					continue
				}
				module.Next = []logic.Action{logic.Send{Job: q.ID, Worker: l.table.numbers[id]}}
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
			s.Check(slices.Equal(l.Bans(), want), "bans %v, expected %v", l.Bans(), want)
		}
	})
}

// Hosts that have left are not remembered for ever, but for those that are out by hand.
func TestHostsForgotten(t *testing.T) {
	l := New(6, Names{Classes: []string{"a"}}, func() Module { return &steps.Script{} }, HostGroup{}, &carrier{}, slog.New(slog.DiscardHandler))
	l.Hosts(HostGroup{Reset: true, Hosts: []Host{{ID: "out", State: "up"}}})
	l.Suspend("out")
	for n := range 3 * mostGone {
		l.Hosts(HostGroup{Reset: true, Hosts: []Host{{ID: "s-" + strconv.Itoa(n), State: "up"}}})
	}
	if n := len(l.table.hosts); n > 2*mostGone || n != len(l.table.numbers) {
		t.Errorf("%d hosts are remembered, %d numbers", n, len(l.table.numbers))
	}
	if known, _ := l.Suspend("out"); !known || len(l.Bans()) != 1 || l.Bans()[0] != "out" {
		t.Errorf("of the one that is out: %v", l.Bans())
	}
}

// copies is a ledger with one query that has an accepted attempt at s-0.
type copies struct {
	l       *Ledger
	module  *steps.Script
	carried *carrier
	asker   *ends
	q       *Query
	first   *Attempt
}

func newCopies(t *testing.T, patience time.Duration) *copies {
	t.Helper()
	c := &copies{module: &steps.Script{}, carried: &carrier{given: map[*Attempt]bool{}, told: map[*Attempt]bool{}}, asker: &ends{}}
	c.l = New(4, Names{}, func() Module { return c.module }, HostGroup{Hosts: []Host{{ID: "s-0", State: "up"}, {ID: "s-1", State: "up"}}},
		c.carried, slog.New(slog.DiscardHandler))
	var err error
	if c.q, err = c.l.Take(0, Arrival{Call: "c", Job: logic.Job{Left: time.Second}, Asker: c.asker}); err != nil {
		t.Fatal(err)
	}
	c.act(1, logic.Send{Job: c.q.ID, Worker: hashID("s-0"), Patience: patience})
	c.first = c.carried.out[0]
	c.first.Stage = Accepted
	return c
}

// act has the module do something, and hear what comes of it.
func (c *copies) act(now time.Duration, actions ...logic.Action) {
	c.module.Next = actions
	c.l.Wake()
	c.l.Step(now)
	c.l.Step(now)
}

func (c *copies) outcomes() (results []logic.Result) {
	for _, e := range c.module.Heard {
		if o, ok := e.(logic.Outcome); ok {
			results = append(results, o.Result)
		}
	}
	return results
}

// An accepted attempt that is withdrawn is out until its worker node is told: the module hears of no end that would have it
// send another copy, and the worker node's own word counts.
func TestWithdrawnOnceTold(t *testing.T) {
	result := "r"
	note := func(state string) func(c *copies) {
		return func(c *copies) { _, _ = c.l.Tell(Note{ID: "c", From: "s-0", State: state, Result: &result}) }
	}
	for name, x := range map[string]struct {
		then func(c *copies)
		want []logic.Result // once that has happened
		last logic.Result   // at the end of the query
	}{
		"told":                  {func(c *copies) { c.carried.tell(c.l, true) }, []logic.Result{logic.Cancelled}, logic.Cancelled},
		"not to be reached":     {func(c *copies) { c.carried.tell(c.l, false) }, nil, logic.TimedOut},
		"nothing yet":           {func(*copies) {}, nil, logic.TimedOut},
		"withdrawn twice":       {func(c *copies) { c.act(3, logic.Cancel{Job: c.q.ID}) }, nil, logic.TimedOut},
		"done":                  {note("done"), []logic.Result{logic.OK}, logic.OK},
		"handed back unstarted": {note("returned"), []logic.Result{logic.Full}, logic.Full},
		"lost":                  {note("lost"), []logic.Result{logic.Reset}, logic.Reset},
		"its client leaves":     {func(c *copies) { c.l.Gone(c.q) }, nil, logic.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCopies(t, 0)
			c.act(2, logic.Cancel{Job: c.q.ID})
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
			if c.act(time.Second); !slices.Equal(c.outcomes(), []logic.Result{x.last}) {
				t.Errorf("outcomes %v at the end, expected %v", c.outcomes(), x.last)
			}
			if x.last == logic.OK && c.asker.served != 1 {
				t.Error("what was done while it was withdrawn did not serve")
			}
		})
	}
}

// One that could not be withdrawn may be later.
func TestWithdrawnAgain(t *testing.T) {
	c := newCopies(t, 0)
	c.act(2, logic.Cancel{Job: c.q.ID})
	c.carried.tell(c.l, false)
	c.act(3, logic.Cancel{Job: c.q.ID})
	if len(c.carried.due) != 1 {
		t.Fatal("it is not withdrawn again")
	}
	c.carried.tell(c.l, true)
	if c.act(4); !slices.Equal(c.outcomes(), []logic.Result{logic.Cancelled}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// A patience that is over before the query's time withdraws too: another copy may be sent.
func TestPatienceWithdraws(t *testing.T) {
	c := newCopies(t, time.Millisecond)
	c.act(2 * time.Millisecond)
	if got := c.outcomes(); len(got) != 0 || len(c.carried.due) != 1 {
		t.Fatalf("outcomes %v, %d worker nodes to be told", got, len(c.carried.due))
	}
	c.carried.tell(c.l, true)
	if c.act(3 * time.Millisecond); !slices.Equal(c.outcomes(), []logic.Result{logic.TimedOut}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// Notes name no attempt. Where one before it at the same host may still run, only what is done ends the later one.
func TestNotesOfAnEarlierAttempt(t *testing.T) {
	result := "r"
	for _, handed := range []bool{false, true} {
		c := newCopies(t, 0)
		c.l.End(c.first, nil, &Fault{Stage: Accepted, Reason: Cut})
		c.act(2, logic.Send{Job: c.q.ID, Worker: hashID("s-0")})
		if len(c.carried.out) != 2 {
			t.Fatal("not sent again")
		}
		c.carried.out[1].Stage = AllWritten
		if handed {
			c.handOver(t)
		}
		for _, state := range []string{"started", "returned", "lost", "failed"} {
			if known, err := c.l.Tell(Note{ID: "c", From: "s-0", State: state}); !known || err != nil {
				t.Errorf("%s: known %v, %v", state, known, err)
			}
		}
		if c.act(3); slices.Contains(c.outcomes(), logic.Full) || c.l.Attempt(c.q.ID, 1) == nil {
			t.Errorf("handed over %v: ended by a note that may be of the attempt before, outcomes %v", handed, c.outcomes())
		}
		if _, err := c.l.Tell(Note{ID: "c", From: "s-0", State: "done", Result: &result}); err != nil || c.l.Attempt(c.q.ID, 1) != nil ||
			c.l.Open() != 0 {
			t.Errorf("handed over %v: what is done is not taken, %v", handed, err)
		}
	}
}

// handOver goes on in another process.
func (c *copies) handOver(t *testing.T) {
	t.Helper()
	if !c.l.Settle(5) {
		t.Fatal("not settled")
	}
	book, open := c.l.Estate()
	next := newCopies(t, 0)
	next.l = New(4, Names{}, func() Module { return next.module }, HostGroup{}, next.carried, slog.New(slog.DiscardHandler))
	next.module.Heard, next.carried.out = nil, nil
	next.l.TakeOver(5, book, open, map[uint64]Asker{c.q.ID: c.asker}, func() Module { return next.module })
	c.l, c.module, c.carried, c.q = next.l, next.module, next.carried, next.l.Query(c.q.ID)
}

// What a process was about to tell a worker node, the one that takes over tells; until then the attempt is out there too.
func TestWithdrawalHandedOver(t *testing.T) {
	c := newCopies(t, 0)
	c.act(2, logic.Cancel{Job: c.q.ID})
	c.handOver(t)
	if len(c.outcomes()) != 0 || len(c.carried.due) != 1 || c.l.Attempt(c.q.ID, 0) == nil {
		t.Fatalf("outcomes %v, %d worker nodes to be told", c.outcomes(), len(c.carried.due))
	}
	c.carried.tell(c.l, true)
	if c.act(6); !slices.Equal(c.outcomes(), []logic.Result{logic.Cancelled}) {
		t.Errorf("outcomes %v", c.outcomes())
	}
}

// Queries wait for the first news of the host group, and the module hears of all of them in one step then, with the time that
// each has left; it hears of them in time for their deadlines, once the news can't be had, and once it has been waited for long
// enough. Nothing is sent by a list that may be old until then.
func TestQueriesAwaitTheFirstList(t *testing.T) {
	group := HostGroup{Reset: true, Generation: 2, Hosts: []Host{{ID: "s-0", Addr: "127.0.0.1:1", State: "up"}}}
	for name, c := range map[string]struct {
		left time.Duration
		news func(l *Ledger)
		at   time.Duration // the module hears of it
	}{
		"a list":        {5 * time.Second, func(l *Ledger) { l.Hosts(group) }, 300 * time.Millisecond},
		"no list":       {5 * time.Second, func(l *Ledger) { l.HostsLost() }, 300 * time.Millisecond},
		"nothing":       {5 * time.Second, func(*Ledger) {}, time.Second},
		"deadline":      {800 * time.Millisecond, func(*Ledger) {}, 700 * time.Millisecond},
		"hardly a time": {50 * time.Millisecond, func(*Ledger) {}, 1},
	} {
		module := &steps.Script{}
		l := New(4, Names{}, func() Module { return module }, group, &carrier{given: map[*Attempt]bool{}}, slog.New(slog.DiscardHandler))
		l.Await(time.Second)
		if _, err := l.Take(0, Arrival{Call: "c", Job: logic.Job{Left: c.left}, Asker: &ends{}}); err != nil {
			t.Fatal(err)
		}
		heard := time.Duration(0)
		for tick := time.Duration(0); tick <= 10 && heard == 0; tick++ {
			now := max(1, tick*100*time.Millisecond)
			if tick == 3 {
				c.news(l)
			}
			if at, ok := l.Next(); ok && at <= now {
				l.Step(now)
			}
			for _, e := range module.Heard {
				if j, ok := e.(logic.Job); ok {
					if heard = now; j.Left != c.left-now {
						t.Errorf("%s: %v left at %v, of %v", name, j.Left, now, c.left)
					}
				}
			}
		}
		if heard != c.at {
			t.Errorf("%s: heard at %v, expected %v", name, heard, c.at)
		}
	}
}
