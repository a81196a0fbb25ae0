package starvation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// model finds starvation by the words of the package doc alone: at each look it plays the whole history again, as far
// as the trace events go that it knows, and keeps nothing but which tries it has told.
type model struct {
	spec     *scenario.Scenario
	past     []trace.Event
	tick     time.Duration
	reported map[string]bool
	counts   [3]int // held, refused, excused
}

type modelRequest struct {
	job   trace.Event // its Due
	since time.Duration
	open  bool
	tries []modelAttempt
}

type modelAttempt struct {
	node                         int
	sent                         time.Duration
	inFlight, there, ended, seen bool
	unrun                        bool
}

type modelWorker struct {
	up    bool
	kind  string
	boot  int
	ill   time.Duration
	used  float64
	slots float64
}

type modelState struct {
	nodes []modelWorker
	tries map[string]*modelRequest
	calls []string
	known []knowledge
}

func (t *modelRequest) hasInFlight() bool {
	return slices.ContainsFunc(t.tries, func(a modelAttempt) bool { return a.inFlight })
}

func (t *modelRequest) held() bool { return t.open && !t.hasInFlight() }

// state is how things stand after the first n trace events.
func (m *model) state(n int) *modelState {
	n0 := m.spec.Fleet.Workers
	s := &modelState{nodes: make([]modelWorker, n0), known: make([]knowledge, n0), tries: map[string]*modelRequest{}}
	dueAt := map[uint64]trace.Event{}
	for _, x := range m.past[:n] {
		t := s.tries[x.RequestID]
		held := t != nil && t.held()
		var a *modelAttempt
		if t != nil {
			for i := range t.tries {
				if b := &t.tries[i]; a == nil && b.node == x.Worker && (b.inFlight || b.there) {
					a = b
				}
			}
		}
		ill := func() { s.nodes[x.Worker].ill = max(s.nodes[x.Worker].ill, x.At+healthyAfter) }
		switch x.Kind {
		case trace.JobDue:
			dueAt[x.JobID] = x
		case trace.RequestSent:
			s.tries[x.RequestID] = &modelRequest{job: dueAt[x.JobID], since: x.At, open: true}
			s.calls = append(s.calls, x.RequestID)
		case trace.ResponseReceived:
			t.open = false
		case trace.AttemptSent:
			t.tries = append(t.tries, modelAttempt{node: x.Worker, sent: x.At, inFlight: true, there: true})
		case trace.AttemptReceived:
			a.seen = true
		case trace.AttemptRejected:
			ill()
			a.inFlight, a.there, a.unrun = false, false, true
		case trace.AttemptFinished:
			a.ended, a.there = true, a.inFlight
		case trace.CallbackAnswered:
			a.inFlight, a.there = false, false
		case trace.WorkerPresent, trace.WorkerStarted:
			s.nodes[x.Worker] = modelWorker{up: true, kind: x.Text, boot: x.Incarnation, slots: x.Slots, ill: s.nodes[x.Worker].ill}
			if x.Kind == trace.WorkerStarted {
				s.nodes[x.Worker].ill = x.At + max(healthyAfter, m.spec.Fleet.Kinds[0].WarmUp.Std())
			}
		case trace.WorkerStopped:
			s.nodes[x.Worker].up = false
		case trace.WorkerRecovered:
			ill()
		case trace.StartNotified, trace.DrainNotified:
			k := &s.known[x.Worker]
			k.knownAt, k.drained = x.At, x.Kind == trace.DrainNotified
			if !k.drained {
				k.incarnation = x.Incarnation
			}
		}
		if t != nil && !held && t.held() {
			t.since = x.At
		}
	}
	for _, t := range s.tries {
		for _, a := range t.tries {
			if a.there {
				s.nodes[a.node].used += t.job.Slots
			}
		}
	}
	return s
}

// idle tells whether a worker was idle for so many slots throughout the second before now.
func (m *model) idle(node int, slots float64, now time.Duration) bool {
	for n := 0; n <= len(m.past); n++ {
		if n < len(m.past) && m.past[n].At <= now-idleWindow {
			continue // the state that held a second ago is after all of these
		}
		at := now - idleWindow
		if n > 0 {
			at = max(at, m.past[n-1].At)
		}
		x := m.state(n).nodes[node]
		if !x.up || x.ill > at || x.slots-x.used < slots {
			return false
		}
	}
	return true
}

// witness tells whether a worker was idle for a try, begun at from.
func (m *model) witness(s *modelState, t *modelRequest, from, now time.Duration, refused bool) bool {
	class := &m.spec.Classes[t.job.Class]
	need := float64(int(1) << slotBucket(t.job.Slots))
	wanted := 1
	for _, o := range s.tries {
		if o != t && o.held() && slotBucket(o.job.Slots) > slotBucket(t.job.Slots) {
			wanted = 2
		}
	}
	for i, n := range s.nodes {
		k := s.known[i]
		late := func(speed float64) bool { return from+durationOf(t.job.Work/speed) > t.job.At+t.job.LatencyObjective }
		w := New(m.spec)
		is := slices.IndexFunc(m.spec.Fleet.Kinds, func(k scenario.WorkerKind) bool { return k.Name == n.kind })
		least, fast := w.kinds[is].minSpeed, w.maxSpeed
		may := len(t.tries) < m.spec.Schedulers.AttemptLimit && (class.Kind == "" || class.Kind == n.kind) &&
			!k.drained && max(k.incarnation, 1) >= n.boot && (k.knownAt == 0 || now-k.knownAt >= startupWindow) &&
			!(late(least) && (refused || !late(fast))) && from+durationOf(t.job.Work/least) <= t.job.At+t.job.Deadline
		for _, a := range t.tries {
			if !a.unrun && (class.Idempotency == "unsafe" || class.Idempotency == "keyed" && (a.node/2 != i/2 ||
				float64(now-a.sent) >= windowShare*float64(class.DeduplicationWindow))) {
				may = false
			}
		}
		if may && m.idle(i, need, now) {
			if wanted--; wanted == 0 {
				return true
			}
		}
	}
	return false
}

// watch takes in a trace event.
func (m *model) watch(x trace.Event) {
	for ; m.tick <= x.At; m.tick += scanInterval {
		s := m.state(len(m.past))
		for _, call := range s.calls {
			t := s.tries[call]
			if t.held() && !m.reported[call] && m.tick-max(t.since, startupWindow) >= idleWindow && m.witness(s, t, t.since, m.tick, false) {
				m.reported[call] = true
				m.counts[0]++
			}
		}
	}
	if x.Kind == trace.ResponseReceived && x.Status == 503 {
		s := m.state(len(m.past))
		t := s.tries[x.RequestID]
		if t.held() && !m.reported[x.RequestID] && m.witness(s, t, max(t.since, x.At-idleWindow), x.At, true) {
			m.reported[x.RequestID] = true
			if x.At < startupWindow {
				m.counts[2]++
			} else {
				m.counts[1]++
			}
		}
	}
	m.past = append(m.past, x)
}

const ms = time.Millisecond

// Against the model, in whatever order things happen.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := spec()
		spec.Fleet.Workers = 3
		w, m := New(spec), &model{spec: spec, reported: map[string]bool{}}
		now := time.Duration(0)
		tell := func(x trace.Event) {
			x.At = now
			m.watch(x)
			w.Observe(&x)
		}
		for i := range 3 {
			tell(trace.Event{Kind: trace.WorkerPresent, Worker: i, Incarnation: 1, Slots: 4, Text: spec.Fleet.Kinds[i%2].Name})
		}
		tell(trace.Event{Kind: trace.SchedulerStarted})
		boots := []int{1, 1, 1}
		jobs := uint64(0)
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]time.Duration{
				0, 7 * ms, 250 * ms, 800 * ms,
				2 * time.Second,
			}).Draw(t, "passes")
			s := m.state(len(m.past))
			node := rapid.IntRange(0, 2).Draw(t, "node")
			about := trace.Event{Worker: node, Incarnation: boots[node], Slots: 4, Text: spec.Fleet.Kinds[node%2].Name, Status: 200}
			var open, outputs []string // tries, and "call node" of attempts
			for _, call := range s.calls {
				y := s.tries[call]
				if y.open {
					open = append(open, call)
				}
				for _, a := range y.tries {
					if a.there {
						outputs = append(outputs, fmt.Sprint(call, " ", a.node))
					}
				}
			}
			of := func(what trace.Kind) {
				if len(outputs) == 0 {
					return
				}
				x := about
				x.Kind = what
				if _, err := fmt.Sscan(rapid.SampledFrom(outputs).Draw(t, "attempt"), &x.RequestID, &x.Worker); err != nil {
					t.Fatal(err)
				}
				y := s.tries[x.RequestID]
				x.Number, x.Text = 1, "done"
				i := slices.IndexFunc(y.tries, func(a modelAttempt) bool { return a.node == x.Worker && a.there })
				if a := y.tries[i]; what == trace.AttemptReceived && a.seen || what == trace.AttemptFinished && (a.ended || !a.seen) ||
					what == trace.AttemptRejected && a.ended || what == trace.CallbackAnswered && (!a.ended || !a.inFlight) {
					return
				}
				tell(x)
			}
			dueAt := func() trace.Event {
				jobs++
				x := trace.Event{
					Kind: trace.JobDue, JobID: jobs, Class: rapid.IntRange(0, 3).Draw(t, "class"),
					Slots: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "slots"), RequestID: fmt.Sprint("c", jobs),
					Work: rapid.SampledFrom([]float64{0.1, 2, 5}).Draw(t, "work"), LatencyObjective: 3 * time.Second, Deadline: 9 * time.Second,
				}
				tell(x)
				x.Kind = trace.RequestSent
				tell(x)
				return x
			}
			soon := func() {
				now += rapid.SampledFrom([]time.Duration{0, ms, 120 * ms, 450 * ms}).Draw(t, "soon")
			}
			switch rapid.IntRange(0, 14).Draw(t, "what") {
			case 0, 1, 2:
				dueAt()
			case 11, 12: // refused before it has waited for long
				x := dueAt()
				soon()
				x.Kind, x.Status = trace.ResponseReceived, 503
				tell(x)
			case 13, 14: // run, or failed and held on
				x := dueAt()
				soon()
				x.Worker, x.Incarnation, x.Number, x.Text, x.Status = node, boots[node], 1, "done", 200
				for _, x.Kind = range []trace.Kind{trace.AttemptSent, trace.AttemptReceived, trace.AttemptFinished, trace.CallbackAnswered} {
					tell(x)
					soon()
				}
				if x.Kind = trace.ResponseReceived; rapid.Bool().Draw(t, "answers") {
					tell(x)
				}
			case 3, 4:
				if i := slices.IndexFunc(open, func(c string) bool {
					y := s.tries[c]
					return !slices.ContainsFunc(y.tries, func(a modelAttempt) bool { return a.node == node })
				}); i >= 0 {
					about.Kind, about.RequestID = trace.AttemptSent, open[i]
					tell(about)
				}
			case 5:
				if len(open) > 0 {
					about.Kind, about.RequestID = trace.ResponseReceived, rapid.SampledFrom(open).Draw(t, "answered")
					about.Status = rapid.SampledFrom([]int{200, 503, 503}).Draw(t, "status")
					tell(about)
				}
			case 6:
				of(trace.AttemptReceived)
			case 7:
				of(trace.AttemptFinished)
			case 8:
				of(rapid.SampledFrom([]trace.Kind{trace.CallbackAnswered, trace.CallbackAnswered, trace.AttemptRejected}).Draw(t, "end"))
			case 9:
				if used := s.nodes[node].used; used == 0 {
					about.Kind = trace.WorkerStopped
					tell(about)
					boots[node]++
					about.Kind, about.Incarnation = trace.WorkerStarted, boots[node]
					tell(about)
				}
			case 10:
				about.Kind = rapid.SampledFrom([]trace.Kind{trace.StartNotified, trace.StartNotified, trace.DrainNotified, trace.WorkerRecovered}).Draw(t, "told")
				tell(about)
			}
			v := w.Verdict()
			if got := [3]int{v.Queued, v.Rejected, v.Excused}; got != m.counts {
				t.Fatalf("at %v: held, refused, excused %v, the model has %v\n%+v", now, got, m.counts, v.Findings)
			}
		}
	})
}
