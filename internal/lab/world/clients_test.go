package world

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
	"valvecove/internal/modeltest"
)

// Whatever schedulers do, every job is settled once and in time, each of its tries ends once, and a try that may
// have run is only repeated where that is allowed.
func FuzzClients(f *testing.F) { modeltest.Fuzz(f, runClients) }

func runClients(s *modeltest.Steps) {
	spec := calm(2, 4*time.Second)
	spec.Load.Of, spec.Load.Rate = 0, 40
	spec.Classes[3].Group, spec.Classes[3].Window = "all", scenario.Span(2*time.Second)
	spec.Clients = scenario.Clients{Retries: 3, Backoff: spec.Clients.Backoff, Honour: 0.5, Impatient: 0.2}
	spec.Rules.Slack = scenario.Span(20 * time.Millisecond)
	spec.Front.Notice = scenario.Span(300 * time.Millisecond)
	if s.Pick(2) == 0 {
		spec.Clients.TryShare = 0.2
	}
	if s.Pick(3) == 0 {
		spec.Load.Closed = 20
	}
	if s.Pick(4) == 0 {
		spec.Schedulers.Sockets = 12 // clients must wait for each other's connections
	}
	t := newStage(spec, uint64(s.Pick(16)))
	m := newWitness(spec, s)
	t.check = m.see
	t.begin()
	var asked []edge.In
	open, heard := map[edge.Conn]bool{}, map[string]bool{}
	act := func(in *edge.In) {
		load := t.w.front.load
		s.Check(t.w.scheds[in.Sched].alive, "a dead scheduler hears something")
		s.Check(max(load[0], load[1]) <= t.w.front.most, "%v connections of %d", load, t.w.front.most)
		if open[in.Conn] = in.Kind == edge.Asked; !open[in.Conn] {
			return
		}
		s.Check(len(in.Ask.Call) == 16 && len(in.Ask.Key)%32 == 0, "id %q, key %q", in.Ask.Call, in.Ask.Key)
		q := t.w.clients.find(in.Ask.Call)
		s.Check(q != nil && q.call == in.Ask.Call && q.job == m.calls[q.call], "an asked query is not found")
		s.Check(!heard[q.call], "a query that was read comes again")
		heard[q.call] = true
		asked = append(asked, *in)
	}
	heal := func() {}
	for s.More() {
		var q *edge.In
		if len(asked) > 0 {
			q = &asked[s.Pick(len(asked))]
		}
		switch what := s.Pick(24); {
		case what < 8 || q == nil:
			t.run(t.w.now+time.Duration(s.Pick(200))*time.Millisecond, act)
		case what < 16: // perhaps twice, or long after
			t.reply(q, []int{200, 200, 503, 429, 500}[s.Pick(5)], time.Duration(s.Pick(3))*400*time.Millisecond)
			if s.Pick(8) == 0 {
				t.outs = append(t.outs, edge.Out{Kind: edge.Cut, Sched: q.Sched, Conn: q.Conn})
			}
		case what < 18:
			t.outs = append(t.outs, edge.Out{Kind: edge.Cut, Sched: q.Sched, Conn: edge.Conn(1 + s.Pick(20))})
		case what == 18:
			t.outs = append(t.outs, edge.Out{Kind: edge.Replied, Sched: q.Sched, Conn: q.Conn, Call: "nobody's"})
		case what == 19:
			t.kill(s.Pick(2))
		case what == 20:
			t.up(s.Pick(2))
		case what == 21:
			heal()
			heal = t.w.net.cut(crowd{kind: aClient}, crowd{kind: aSched}, s.Pick(2) == 0)
		case what == 22:
			heal()
			heal = t.w.clients.storm(4)
		default:
			heal()
			heal = t.w.clients.burst(s.Pick(3), -1, []float64{0.5, 3}[s.Pick(2)])
		}
	}
	t.end(act)
	for n, j := range m.jobs {
		s.Check(j.settled && t.w.clients.book.open(n) == nil, "job %d is not settled", n)
	}
	s.Check(t.w.Asking() == 0, "%d open tries at the end", t.w.Asking())
	heal()
	t.run(t.w.now+2*time.Second, act)
	idle, load := len(t.w.clients.pools[0].idle), t.w.front.load[0]+t.w.front.load[1]
	s.Check(idle == load, "%d connections counted, %d idle ones at the end", load, idle)
}

// What falls due is the same whatever schedulers answer, and so are the ids of tries.
func TestArrivalsDoNotDependOnAnswers(t *testing.T) {
	play := func(act func(t *stage, in *edge.In)) (due []seen.Sight, ids map[string]uint64) {
		spec := calm(2, 20*time.Second)
		spec.Load.Shape, spec.Load.Swing, spec.Clients.Impatient = "bursty", 0.6, 0.1
		s := newStage(spec, 7).begin()
		s.w.at(5*time.Second, func() { s.w.after(4*time.Second, s.w.clients.burst(1, -1, 4)) })
		s.end(func(in *edge.In) { act(s, in) })
		ids = map[string]uint64{}
		for _, o := range s.of(seen.Asked) {
			ids[o.Call] = o.Job<<8 + uint64(o.Try)
		}
		return s.of(seen.Due), ids
	}
	want, ids := play((*stage).serve)
	n := 0
	got, others := play(func(s *stage, in *edge.In) {
		if n++; in.Kind == edge.Asked && n%3 > 0 {
			s.reply(in, 300+100*(n%5), time.Second)
		}
		if n%200 == 0 {
			s.kill(n / 200 % 2)
			s.up(n / 400 % 2)
		}
	})
	if len(want) < 600 || len(others) < 800 || !slices.Equal(got, want) {
		t.Fatalf("%d jobs and %d tries, not the %d jobs that there are when all is served", len(got), len(others), len(want))
	}
	for call, of := range ids {
		if others[call] != of && others[call] != 0 {
			t.Fatalf("id %s is of another try", call)
		}
	}
}

// answers gives each query, in the order of their coming, one of these statuses.
func answers(s *stage, after time.Duration, status ...int) func(in *edge.In) {
	return func(in *edge.In) {
		if in.Kind == edge.Asked && len(status) > 0 {
			s.reply(in, status[0], after)
			status = status[1:]
		}
	}
}

// one is a stage with a single job of a class, due at 100 ms.
func one(class int, change func(*scenario.Scenario)) *stage {
	spec := calm(1, time.Second)
	spec.Load.Of, spec.Net.Jitter, spec.Net.Client = 0, 0, scenario.Span(time.Millisecond)
	spec.Rules.Slack = scenario.Span(20 * time.Millisecond)
	spec.Clients.Honour = 1
	if change != nil {
		change(spec)
	}
	s := newStage(spec, 1).begin()
	s.w.at(100*time.Millisecond, func() {
		a := s.w.clients.arrivals
		s.w.clients.due(a.draw(s.w.rng("one", 0), &cell{class: class}), s.w.now)
	})
	return s
}

// Retries wait as long as they should: by the scheduler's advice, by their own back-off, and in a storm by less.
func TestWaitBeforeRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		honour float64
		storm  bool
		least  time.Duration
		most   time.Duration
		grows  time.Duration
	}{
		{"advice", 1, false, 800 * time.Millisecond, 800 * time.Millisecond, 1},
		{"no advice heeded", 0, false, 250 * time.Millisecond, 750 * time.Millisecond, 2},
		{"storm", 1, true, 62 * time.Millisecond, 188 * time.Millisecond, 2},
	} {
		s := one(2, func(spec *scenario.Scenario) { spec.Clients.Honour = c.honour })
		if c.storm {
			defer s.w.clients.storm(4)()
		}
		s.end(answers(s, 800*time.Millisecond, 503, 429, 200))
		asked, settled := s.of(seen.Asked), s.of(seen.Settled)
		if len(asked) != 3 || asked[0].Call == asked[1].Call || settled[0].Status != 200 {
			t.Fatalf("%s: asked %d times, settled with %d", c.name, len(asked), settled[0].Status)
		}
		for i, grown := range []time.Duration{1, c.grows} {
			if wait := asked[i+1].At - s.of(seen.Answered)[i].At; wait < c.least*grown || wait > c.most*grown {
				t.Errorf("%s: came back after %v", c.name, wait)
			}
		}
	}
}

// A query that crosses the close of its idle connection is sent once more, with its id; one that was read is lost.
func TestCloseCrossesQuery(t *testing.T) {
	s := one(2, nil)
	var first *edge.In
	s.run(2*time.Second, func(in *edge.In) {
		if in.Kind == edge.Asked && first == nil {
			first = &edge.In{Sched: in.Sched, Conn: in.Conn, Ask: in.Ask}
			s.reply(in, 200, 0)
		}
	})
	// The scheduler closes at 2 s, the client asks half a network's delay later.
	s.outs = append(s.outs, edge.Out{Kind: edge.Cut, Sched: first.Sched, Conn: first.Conn})
	s.w.at(2*time.Second+500*time.Microsecond, func() {
		s.w.clients.due(s.w.clients.arrivals.draw(s.w.rng("one", 1), &cell{class: 2}), s.w.now)
	})
	s.run(3*time.Second, func(in *edge.In) {
		if in.Kind == edge.Asked {
			s.outs = append(s.outs, edge.Out{Kind: edge.Cut, Sched: in.Sched, Conn: in.Conn})
		}
	})
	asked, lost := s.of(seen.Asked), s.of(seen.Lost)
	if len(asked) != 3 || asked[1].Call != asked[2].Call || asked[1].Conn == asked[2].Conn {
		t.Fatalf("asked %+v", asked)
	}
	if len(lost) != 1 || lost[0].Conn != asked[2].Conn || len(s.of(seen.Settled)) != 2 {
		t.Errorf("lost %+v, settled %d", lost, len(s.of(seen.Settled)))
	}
}

// Where a scheduler has as many connections as it may, a query waits; one that is closed behind an answer makes room.
func TestQueryWaitsForConnection(t *testing.T) {
	s := one(2, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = clientPart })
	s.w.at(100*time.Millisecond, func() {
		s.w.clients.due(s.w.clients.arrivals.draw(s.w.rng("one", 1), &cell{class: 2}), s.w.now)
	})
	s.run(time.Second, func(in *edge.In) {
		if in.Kind == edge.Asked {
			s.reply(in, 200, 0)
			s.outs = append(s.outs, edge.Out{Kind: edge.Cut, Conn: in.Conn})
		}
	})
	asked, got := s.of(seen.Asked), s.of(seen.Answered)
	if len(asked) != 2 || len(got) != 2 || asked[1].At < got[0].At || asked[0].Conn == asked[1].Conn {
		t.Errorf("asked %+v, answered %+v", asked, got)
	}
}

// An answer that nobody waits for any more, or that is for no query, is seen all the same.
func TestSecondAnswerIsSeen(t *testing.T) {
	s := one(0, nil)
	s.run(2*time.Second, func(in *edge.In) {
		if in.Kind == edge.Asked {
			s.reply(in, 503, 0)
			s.reply(in, 200, 0)
		}
	})
	if got := s.of(seen.Answered); len(got) < 2 || got[0].Call != got[1].Call || got[1].Status != 200 {
		t.Errorf("seen %+v", got)
	}
}

// A query is known for keep after its job was settled, one of a keyed class for its window longer, then forgotten.
func TestQueriesAreForgotten(t *testing.T) {
	for class, known := range map[int]time.Duration{0: keep, 3: keep + 20*time.Second} {
		s := one(class, nil)
		s.end(answers(s, 0, 503, 503, 503))
		c, last := s.w.clients, s.of(seen.Settled)[0].At
		s.run(last+known-time.Millisecond, s.serve)
		for _, a := range s.of(seen.Asked) {
			if q := c.find(a.Call); q == nil || q.n != a.Try || q.call != a.Call {
				t.Fatalf("class %d: try %d is %+v", class, a.Try, q)
			}
		}
		s.run(last+known+2*time.Second, s.serve)
		if a := s.of(seen.Asked)[0]; c.find(a.Call) != nil || c.book.first != c.book.next || c.find("x") != nil {
			t.Errorf("class %d: still known", class)
		}
	}
}

// A client of a closed load asks again once it has its answer, and no two of its queries are open.
func TestClosedLoad(t *testing.T) {
	spec := calm(1, 10*time.Second)
	spec.Load.Of, spec.Load.Closed = 0, 5
	s, most := newStage(spec, 3).begin(), 0
	s.end(func(in *edge.In) {
		most = max(most, s.w.Asking())
		o := edge.Out{Kind: edge.Replied, Conn: in.Conn, Call: in.Ask.Call, Status: 200}
		s.w.after(100*time.Millisecond, func() { s.w.out(&o) })
	})
	// Each turn takes 100 ms and the way there and back.
	if n := len(s.of(seen.Settled)); most > 5 || n < 470 || n > 500 {
		t.Errorf("%d jobs, %d at once", n, most)
	}
}

// Bad clients come at their rate, carry an open query's id where their kind does, and each is seen to end once.
func TestBadClients(t *testing.T) {
	spec := calm(1, 20*time.Second)
	spec.Bad = []scenario.Bad{{Kind: "stolen_id", Rate: 10, At: scenario.Span(2 * time.Second)}}
	s, open := newStage(spec, 1).begin(), 0
	s.end(func(in *edge.In) {
		if in.Kind != edge.Odd {
			return
		}
		if s.w.clients.find(in.Odd.Call) != nil {
			open++
		}
		for range in.Odd.N % 3 { // some have no answer, some two
			s.outs = append(s.outs, edge.Out{Kind: edge.Replied, Conn: in.Conn, Status: 400})
		}
		s.outs = append(s.outs, edge.Out{Kind: edge.Cut, Conn: in.Conn})
	})
	if began, ended := len(s.of(seen.OddBegan)), len(s.of(seen.OddEnded)); began < 140 || began > 220 ||
		ended != began || open != began {
		t.Errorf("%d came, %d had an end, %d an open query's id", began, ended, open)
	}
}

// The front notices a death late: until then connections are led there and refused.
func TestFrontNoticesLate(t *testing.T) {
	spec := calm(2, 10*time.Second)
	spec.Clients.Retries, spec.Load.Of, spec.Load.Rate = 0, 0, 100
	s := newStage(spec, 1).begin()
	s.w.at(3*time.Second, func() { s.kill(0) })
	s.w.at(8*time.Second, func() { s.up(0) })
	s.end(func(in *edge.In) {
		if in.Kind == edge.Asked {
			s.reply(in, 200, 0)
			s.outs = append(s.outs, edge.Out{Kind: edge.Cut, Sched: in.Sched, Conn: in.Conn})
		}
	})
	counts := map[seen.What]*[10][2]int{seen.Unreached: {}, seen.Asked: {}}
	for _, o := range s.told {
		if n := counts[o.What]; n != nil && o.At < 10*time.Second {
			n[o.At/time.Second][o.Sched]++
		}
	}
	for second := range 10 {
		refused, asked := counts[seen.Unreached][second], counts[seen.Asked][second]
		dead, unseen := second >= 3 && second < 8, second == 3 || second == 4
		if (refused[0] > 30) != unseen || refused[1] > 0 || (asked[0] > 30) == dead || asked[1] < 30 {
			t.Errorf("second %d: refused %v, asked %v", second, refused, asked)
		}
	}
	// A death that is over before it is noticed never is.
	s.kill(1)
	s.run(s.w.now+time.Second, s.serve)
	s.up(1)
	s.run(s.w.now+2*time.Second, s.serve)
	if !s.w.front.admitted[1] {
		t.Error("dropped though it is well again")
	}
	// One that says itself that it is not ready is dropped in half the time, one that is frozen after all of it.
	f, o := s.w.front, s.w.scheds[1]
	for _, c := range []struct {
		is   *bool
		late time.Duration
	}{{&o.draining, time.Second}, {&o.frozen, 2 * time.Second}} {
		*c.is = true
		f.changed(o)
		s.run(s.w.now+c.late-1, s.serve)
		before := f.admitted[1]
		s.run(s.w.now+1, s.serve)
		after := f.admitted[1]
		*c.is = false
		f.changed(o)
		if !before || after || !f.admitted[1] {
			t.Errorf("admitted before %v: %v, then: %v, when it is well again: %v", c.late, before, after, f.admitted[1])
		}
	}
}

func BenchmarkClients(b *testing.B) {
	spec := calm(2, time.Duration(b.N)*10*time.Microsecond)
	spec.Load.Of, spec.Load.Rate, spec.Schedulers.Sockets = 0, 1e5, 0
	s := newStage(spec, 1)
	s.check = func(*seen.Sight) {}
	s.begin()
	var ins []edge.In
	b.ReportAllocs()
	for b.ResetTimer(); !s.w.Over(); { // each query is answered at the next event
		at, _ := s.w.Next()
		ins = s.w.Step(at, s.outs, ins[:0])
		s.outs = s.outs[:0]
		for i := range ins {
			s.serve(&ins[i])
		}
	}
}
