package world

import (
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
	"valvecove/internal/modeltest"
)

// stage is clients, their front and a network, with schedulers that do as a test says.
type stage struct {
	w     *World
	told  []seen.Sight
	outs  []edge.Out        // for the next step
	check func(*seen.Sight) // instead of told
}

// calm is the co-operative's deployment with one zone and so many schedulers.
func calm(scheds int, length time.Duration) *scenario.Scenario {
	s := scenario.Default()
	s.Schedulers.Count, s.Length = scheds, scenario.Span(length)
	return s
}

func newStage(spec *scenario.Scenario, seed uint64) *stage {
	t := &stage{}
	w := &World{Spec: spec, seed: seed, conns: map[edge.Conn]*conn{}}
	w.watch = func(s *seen.Sight) {
		if t.check != nil {
			t.check(s)
		} else {
			t.told = append(t.told, *s)
		}
	}
	w.net = newNetwork(w)
	for i := range spec.Schedulers.Count {
		w.scheds = append(w.scheds, &sched{w: w, n: i})
	}
	w.front, w.clients = newFront(w), newClients(w)
	t.w = w
	return t
}

// begin has all schedulers run, and the clients begin.
func (t *stage) begin() *stage {
	for i := range t.w.scheds {
		t.up(i)
	}
	t.w.clients.begin()
	return t
}

func (t *stage) up(i int) {
	if s := t.w.scheds[i]; !s.alive {
		s.alive, s.ready, s.sprout = true, true, s.sprout+1
		t.w.front.changed(s)
	}
}

func (t *stage) kill(i int) {
	if s := t.w.scheds[i]; s.alive {
		s.alive, s.ready = false, false
		t.w.drop(i)
		t.w.front.changed(s)
	}
}

// run plays to an instant; act is told what reaches schedulers, and what it appends to outs happens at once.
func (t *stage) run(to time.Duration, act func(in *edge.In)) {
	for {
		at, ok := t.w.Next()
		if len(t.outs) > 0 {
			at = t.w.now
		} else if !ok || at > to {
			t.w.now = to
			return
		}
		outs := t.outs
		t.outs = nil
		for _, in := range t.w.Step(at, outs, nil) {
			act(&in)
		}
	}
}

// end plays until all jobs are settled.
func (t *stage) end(act func(in *edge.In)) {
	for !t.w.Over() {
		t.run(t.w.now+time.Second, act)
	}
}

// reply has a query answered.
func (t *stage) reply(in *edge.In, status int, after time.Duration) {
	t.outs = append(t.outs, edge.Out{
		Kind: edge.Replied, Sched: in.Sched, Conn: in.Conn, Call: in.Ask.Call,
		Status: status, After: after, Result: "r",
	})
}

// serve answers everything at once.
func (t *stage) serve(in *edge.In) {
	if in.Kind == edge.Asked {
		t.reply(in, 200, 0)
	}
}

// of is what was seen of a kind.
func (t *stage) of(what seen.What) (list []seen.Sight) {
	for _, s := range t.told {
		if s.What == what {
			list = append(list, s)
		}
	}
	return list
}

// witness knows what clients may do, and holds them to it sight by sight.
type witness struct {
	spec  *scenario.Scenario
	check func(ok bool, format string, args ...any)
	jobs  map[uint64]*witnessed
	calls map[string]uint64
}

type witnessed struct {
	due     seen.Sight
	open    *seen.Sight // the try that was asked and has not ended
	tries   int
	status  int
	risked  time.Duration
	settled bool
}

func newWitness(spec *scenario.Scenario, s *modeltest.Steps) *witness {
	return &witness{spec: spec, check: s.Check, jobs: map[uint64]*witnessed{}, calls: map[string]uint64{}}
}

func (m *witness) see(s *seen.Sight) {
	j := m.jobs[s.Job]
	if s.What == seen.Answered && (j == nil || j.open == nil || j.open.Call != s.Call || j.open.Conn != s.Conn) {
		return // nobody waited for it
	}
	m.check(s.What == seen.Due == (j == nil), "sight %d of job %d, known: %v", s.What, s.Job, j != nil)
	if s.What == seen.Due {
		m.jobs[s.Job] = &witnessed{due: *s, risked: -1}
		m.check(s.Aim <= s.Deadline && s.Work > 0 && s.Slots >= 1, "a job of no sense: %+v", *s)
		return
	}
	m.check(!j.settled, "sight %d of a settled job", s.What)
	class := &m.spec.Classes[j.due.Class]
	deadline, slack := j.due.At+j.due.Deadline, m.spec.Rules.Slack.D()
	switch s.What {
	case seen.Asked:
		m.check(j.open == nil || j.open.Call == s.Call && j.open.Conn != s.Conn, "two open tries of a job")
		if j.open == nil {
			m.check(m.calls[s.Call] == 0, "id %s comes twice", s.Call)
			m.check(s.Try >= j.tries && s.Try <= m.spec.Clients.Retries, "try %d after %d", s.Try, j.tries)
			j.tries = s.Try + 1
		}
		m.calls[s.Call] = s.Job
		m.check(s.Budget >= time.Millisecond && s.Budget%time.Millisecond == 0 && s.At+s.Budget <= deadline,
			"a budget of %v with %v left", s.Budget, deadline-s.At)
		m.check(s.Key == j.due.Key && (s.Key != "") == (class.Effect == "keyed"), "key %q", s.Key)
		if j.risked >= 0 {
			within := class.Effect == "keyed" && class.Group == "all" && s.At < j.risked+class.Window.D()
			m.check(class.Effect == "safe" || within, "%s tried again %v after one that may have run", class.Name,
				s.At-j.risked)
		}
		open := *s
		j.open = &open
		return
	case seen.Settled:
		m.check(j.open == nil, "settled with an open try")
		m.check(s.Status == j.status && s.At <= deadline+slack, "settled with %d at %v", s.Status, s.At-deadline)
		j.settled = true
		return
	case seen.Unreached: // perhaps of one that nobody had read
		m.check(s.Try+1 >= j.tries, "an old try ends again")
		j.tries, j.status = s.Try+1, 0
	case seen.Answered, seen.Lost, seen.GaveUp, seen.Left:
		m.check(j.open != nil && j.open.Call == s.Call && j.open.Conn == s.Conn, "sight %d of no open try", s.What)
		if j.status = s.Status; s.Status != 200 && s.Status != 429 && s.Status != 503 && j.risked < 0 {
			j.risked = j.open.At
		}
		waited := s.At - j.open.At
		m.check(waited <= j.open.Budget+slack+time.Millisecond, "waited %v of %v", waited, j.open.Budget)
		m.check(s.What != seen.GaveUp || waited >= j.open.Budget+slack, "gave up after %v", waited)
	default:
		m.check(false, "sight %d", s.What)
	}
	j.open = nil
}
