package starve

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// model finds starvation by the words of the package doc alone: at each look it plays the whole history again, as far
// as the sights go that it knows, and keeps nothing but which tries it has told.
type model struct {
	spec   *scenario.Scenario
	past   []seen.Sight
	tick   time.Duration
	told   map[string]bool
	counts [3]int // held, refused, excused
}

type modelTry struct {
	job   seen.Sight // its Due
	since time.Duration
	open  bool
	tries []modelAttempt
}

type modelAttempt struct {
	node                    int
	sent                    time.Duration
	out, there, ended, seen bool
	unrun                   bool
}

type modelNode struct {
	up    bool
	kind  string
	boot  int
	ill   time.Duration
	used  float64
	slots float64
}

type modelState struct {
	nodes []modelNode
	tries map[string]*modelTry
	calls []string
	known []knowledge
}

func (t *modelTry) out() bool {
	return slices.ContainsFunc(t.tries, func(a modelAttempt) bool { return a.out })
}

func (t *modelTry) held() bool { return t.open && !t.out() }

// state is how things stand after the first n sights.
func (m *model) state(n int) *modelState {
	n0 := m.spec.Fleet.Nodes
	s := &modelState{nodes: make([]modelNode, n0), known: make([]knowledge, n0), tries: map[string]*modelTry{}}
	due := map[uint64]seen.Sight{}
	for _, x := range m.past[:n] {
		t := s.tries[x.Call]
		held := t != nil && t.held()
		var a *modelAttempt
		if t != nil {
			for i := range t.tries {
				if b := &t.tries[i]; a == nil && b.node == x.Node && (b.out || b.there) {
					a = b
				}
			}
		}
		ill := func() { s.nodes[x.Node].ill = max(s.nodes[x.Node].ill, x.At+wellAfter) }
		switch x.What {
		case seen.Due:
			due[x.Job] = x
		case seen.Asked:
			s.tries[x.Call] = &modelTry{job: due[x.Job], since: x.At, open: true}
			s.calls = append(s.calls, x.Call)
		case seen.Answered:
			t.open = false
		case seen.Sent:
			t.tries = append(t.tries, modelAttempt{node: x.Node, sent: x.At, out: true, there: true})
		case seen.Reached:
			a.seen = true
		case seen.Rejected:
			ill()
			a.out, a.there, a.unrun = false, false, true
		case seen.Finished:
			a.ended, a.there = true, a.out
		case seen.Noted:
			a.out, a.there = false, false
		case seen.Stands, seen.NodeUp:
			s.nodes[x.Node] = modelNode{up: true, kind: x.Text, boot: x.Boot, slots: x.Slots, ill: s.nodes[x.Node].ill}
			if x.What == seen.NodeUp {
				s.nodes[x.Node].ill = x.At + max(wellAfter, m.spec.Fleet.Kinds[0].Cold.D())
			}
		case seen.NodeDown:
			s.nodes[x.Node].up = false
		case seen.NodeWell:
			ill()
		case seen.Started, seen.Drained:
			k := &s.known[x.Node]
			k.at, k.drained = x.At, x.What == seen.Drained
			if !k.drained {
				k.boot = x.Boot
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

// idle tells whether a worker node was idle for so many slots throughout the second before now.
func (m *model) idle(node int, slots float64, now time.Duration) bool {
	for n := 0; n <= len(m.past); n++ {
		if n < len(m.past) && m.past[n].At <= now-span {
			continue // the state that held a second ago is after all of these
		}
		at := now - span
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

// witness tells whether a worker node was idle for a try, begun at from.
func (m *model) witness(s *modelState, t *modelTry, from, now time.Duration, refused bool) bool {
	class := &m.spec.Classes[t.job.Class]
	need := float64(int(1) << bucketOf(t.job.Slots))
	wanted := 1
	for _, o := range s.tries {
		if o != t && o.held() && bucketOf(o.job.Slots) > bucketOf(t.job.Slots) {
			wanted = 2
		}
	}
	for i, n := range s.nodes {
		k := s.known[i]
		late := func(speed float64) bool { return from+seconds(t.job.Work/speed) > t.job.At+t.job.Aim }
		w := New(m.spec)
		is := slices.IndexFunc(m.spec.Fleet.Kinds, func(k scenario.Kind) bool { return k.Name == n.kind })
		least, fast := w.kinds[is].least, w.fastest
		may := len(t.tries) < m.spec.Schedulers.TryLimit && (class.Kind == "" || class.Kind == n.kind) &&
			!k.drained && max(k.boot, 1) >= n.boot && (k.at == 0 || now-k.at >= firstSpan) &&
			!(late(least) && (refused || !late(fast))) && from+seconds(t.job.Work/least) <= t.job.At+t.job.Deadline
		for _, a := range t.tries {
			if !a.unrun && (class.Effect == "unsafe" || class.Effect == "keyed" && (a.node/2 != i/2 ||
				float64(now-a.sent) >= windowUse*float64(class.Window))) {
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

// watch takes in a sight.
func (m *model) watch(x seen.Sight) {
	for ; m.tick <= x.At; m.tick += tickEvery {
		s := m.state(len(m.past))
		for _, call := range s.calls {
			t := s.tries[call]
			if t.held() && !m.told[call] && m.tick-max(t.since, firstSpan) >= span && m.witness(s, t, t.since, m.tick, false) {
				m.told[call] = true
				m.counts[0]++
			}
		}
	}
	if x.What == seen.Answered && x.Status == 503 {
		s := m.state(len(m.past))
		t := s.tries[x.Call]
		if t.held() && !m.told[x.Call] && m.witness(s, t, max(t.since, x.At-span), x.At, true) {
			m.told[x.Call] = true
			if x.At < firstSpan {
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
		spec.Fleet.Nodes = 3
		w, m := New(spec), &model{spec: spec, told: map[string]bool{}}
		now := time.Duration(0)
		tell := func(x seen.Sight) {
			x.At = now
			m.watch(x)
			w.Watch(&x)
		}
		for i := range 3 {
			tell(seen.Sight{What: seen.Stands, Node: i, Boot: 1, Slots: 4, Text: spec.Fleet.Kinds[i%2].Name})
		}
		tell(seen.Sight{What: seen.SchedUp})
		boots := []int{1, 1, 1}
		jobs := uint64(0)
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]time.Duration{
				0, 7 * ms, 250 * ms, 800 * ms,
				2 * time.Second,
			}).Draw(t, "passes")
			s := m.state(len(m.past))
			node := rapid.IntRange(0, 2).Draw(t, "node")
			about := seen.Sight{Node: node, Boot: boots[node], Slots: 4, Text: spec.Fleet.Kinds[node%2].Name, Status: 200}
			var open, out []string // tries, and "call node" of attempts
			for _, call := range s.calls {
				y := s.tries[call]
				if y.open {
					open = append(open, call)
				}
				for _, a := range y.tries {
					if a.there {
						out = append(out, fmt.Sprint(call, " ", a.node))
					}
				}
			}
			of := func(what seen.What) {
				if len(out) == 0 {
					return
				}
				x := about
				x.What = what
				if _, err := fmt.Sscan(rapid.SampledFrom(out).Draw(t, "attempt"), &x.Call, &x.Node); err != nil {
					t.Fatal(err)
				}
				y := s.tries[x.Call]
				x.Try, x.Text = 1, "done"
				i := slices.IndexFunc(y.tries, func(a modelAttempt) bool { return a.node == x.Node && a.there })
				if a := y.tries[i]; what == seen.Reached && a.seen || what == seen.Finished && (a.ended || !a.seen) ||
					what == seen.Rejected && a.ended || what == seen.Noted && (!a.ended || !a.out) {
					return
				}
				tell(x)
			}
			due := func() seen.Sight {
				jobs++
				x := seen.Sight{
					What: seen.Due, Job: jobs, Class: rapid.IntRange(0, 3).Draw(t, "class"),
					Slots: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "slots"), Call: fmt.Sprint("c", jobs),
					Work: rapid.SampledFrom([]float64{0.1, 2, 5}).Draw(t, "work"), Aim: 3 * time.Second, Deadline: 9 * time.Second,
				}
				tell(x)
				x.What = seen.Asked
				tell(x)
				return x
			}
			soon := func() {
				now += rapid.SampledFrom([]time.Duration{0, ms, 120 * ms, 450 * ms}).Draw(t, "soon")
			}
			switch rapid.IntRange(0, 14).Draw(t, "what") {
			case 0, 1, 2:
				due()
			case 11, 12: // refused before it has waited for long
				x := due()
				soon()
				x.What, x.Status = seen.Answered, 503
				tell(x)
			case 13, 14: // run, or failed and held on
				x := due()
				soon()
				x.Node, x.Boot, x.Try, x.Text, x.Status = node, boots[node], 1, "done", 200
				for _, x.What = range []seen.What{seen.Sent, seen.Reached, seen.Finished, seen.Noted} {
					tell(x)
					soon()
				}
				if x.What = seen.Answered; rapid.Bool().Draw(t, "answers") {
					tell(x)
				}
			case 3, 4:
				if i := slices.IndexFunc(open, func(c string) bool {
					y := s.tries[c]
					return !slices.ContainsFunc(y.tries, func(a modelAttempt) bool { return a.node == node })
				}); i >= 0 {
					about.What, about.Call = seen.Sent, open[i]
					tell(about)
				}
			case 5:
				if len(open) > 0 {
					about.What, about.Call = seen.Answered, rapid.SampledFrom(open).Draw(t, "answered")
					about.Status = rapid.SampledFrom([]int{200, 503, 503}).Draw(t, "status")
					tell(about)
				}
			case 6:
				of(seen.Reached)
			case 7:
				of(seen.Finished)
			case 8:
				of(rapid.SampledFrom([]seen.What{seen.Noted, seen.Noted, seen.Rejected}).Draw(t, "end"))
			case 9:
				if used := s.nodes[node].used; used == 0 {
					about.What = seen.NodeDown
					tell(about)
					boots[node]++
					about.What, about.Boot = seen.NodeUp, boots[node]
					tell(about)
				}
			case 10:
				about.What = rapid.SampledFrom([]seen.What{seen.Started, seen.Started, seen.Drained, seen.NodeWell}).Draw(t, "told")
				tell(about)
			}
			v := w.Verdict()
			if got := [3]int{v.Held, v.Refused, v.Excused}; got != m.counts {
				t.Fatalf("at %v: held, refused, excused %v, the model has %v\n%+v", now, got, m.counts, v.Cases)
			}
		}
	})
}
