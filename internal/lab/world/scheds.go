package world

import (
	"math/rand/v2"
	"strconv"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
)

// sched is a scheduler: one process after another, as the world deals with them. What is done to one that does not run
// means nothing, but for the address of discovery, which its next process reads from its configuration. Planners are
// dealt with alike, and numbered after the schedulers; they are never ready, so no client comes to them, and nothing is
// told of them: what counts is what is seen of schedulers.
type sched struct {
	w        *World
	n        int
	planner  bool
	alive    bool
	ready    bool // /up answered 200 the last time
	frozen   bool
	draining bool // the front was told to bring nothing new
	sprout   int  // counts processes

	rng     *rand.Rand
	disco   int // index of the discovery address that its process goes by
	since   time.Duration
	termed  bool // SIGTERM was sent
	thawAt  time.Duration
	back    time.Duration // after its end, if that was asked for; 0: never
	reloads bool          // a SIGHUP waits until it may be sent
	onStart []func()      // who waits for the next process
}

const (
	crashedFor = time.Second // a process that ended by itself, unasked, is started again after this
	firstHup   = time.Second // no SIGHUP within this of its start

	// At a planned restart the front goes on for a moment, and SIGKILL comes once the longest deadline has passed,
	// which counts as 3 s at most, and a grace.
	frontLeast    = 200 * time.Millisecond
	frontSpread   = 200 * time.Millisecond
	longestCounts = 3 * time.Second
	killGrace     = 700 * time.Millisecond
)

func newScheds(w *World) []*sched {
	list := make([]*sched, w.Spec.Schedulers.Count+w.Spec.Planners.Count)
	for i := range list {
		list[i] = &sched{w: w, n: i, planner: i >= w.Spec.Schedulers.Count, rng: w.rng("sched", i)}
	}
	return list
}

// tell reports a sight of it.
func (s *sched) tell(what seen.What, status int) {
	if !s.planner {
		s.w.tell(seen.Sight{What: what, Sched: s.n, Status: status})
	}
}

func (s *sched) name() string {
	if s.planner {
		return "p" + strconv.Itoa(s.n-s.w.Spec.Schedulers.Count+1)
	}
	return "s" + strconv.Itoa(s.n+1)
}

// begin starts its first process, at a drawn moment of the spread of starts.
func (s *sched) begin() {
	if s.n >= len(s.w.scheds)-s.w.Spec.Planners.Idle {
		return
	}
	s.w.at(time.Duration(s.rng.Float64()*float64(s.w.Spec.Schedulers.StartOver)), s.start)
}

// start begins a process.
func (s *sched) start() {
	if s.alive {
		return
	}
	v := s.w.disco.views[s.n]
	s.sprout++
	s.alive, s.ready, s.frozen, s.draining, s.termed, s.reloads = true, false, false, false, false, false
	s.since, s.thawAt, s.disco = s.w.now, 0, s.w.disco.index
	s.tell(seen.SchedUp, 0)
	s.w.in(edge.In{Kind: edge.Start, Sched: s.n, Boot: &edge.Boot{
		Name:  s.name(),
		Seed:  s.w.rng("boot", s.n<<20|s.sprout).Uint64(), // whatever else was drawn
		Known: v.known(), Disco: s.disco,
	}})
	v.begins()
	waits := s.onStart
	s.onStart = nil
	for _, do := range waits {
		do()
	}
}

// did takes what is seen of its process from outside.
func (s *sched) did(o *edge.Out) {
	if !s.alive {
		return
	}
	switch o.Kind {
	case edge.Ready:
		s.ready = true
		s.tell(seen.SchedReady, 0)
		s.w.front.changed(s)
		s.reloadWhenDue()
	case edge.Unready:
		s.ready = false
		s.w.front.changed(s)
	case edge.Exited:
		s.tell(seen.SchedExit, o.Status)
		back := s.back
		if !s.termed {
			back = crashedFor
		}
		s.dead(back)
	}
}

// dead is the end of a process; another starts after back, unless that is 0.
func (s *sched) dead(back time.Duration) {
	s.alive, s.ready, s.frozen, s.termed = false, false, false, false
	s.w.disco.leave(s.w.disco.views[s.n])
	s.w.drop(s.n)
	s.w.front.changed(s)
	if back > 0 {
		s.w.after(back, s.start)
	}
}

// later does something after a while, if its process is the one of now still.
func (s *sched) later(after time.Duration, do func()) {
	sprout := s.sprout
	s.w.after(after, func() {
		if s.alive && s.sprout == sprout {
			do()
		}
	})
}

// ---- What may be done to a scheduler. back is when after its end its process starts again; 0: never ----

// kill: SIGKILL.
func (s *sched) kill(back time.Duration) {
	if !s.alive {
		return
	}
	s.tell(seen.SchedKill, 0)
	s.w.in(edge.In{Kind: edge.Kill, Sched: s.n})
	s.dead(back)
}

// term: SIGTERM, as at a planned restart. New connections are led there for 0.2 to 0.4 s more. SIGKILL follows when it
// is due, unless the process has ended by itself.
func (s *sched) term(back time.Duration) {
	if !s.alive || s.termed {
		return
	}
	s.termed, s.back, s.reloads = true, back, false
	s.tell(seen.SchedTerm, 0)
	s.w.in(edge.In{Kind: edge.Terminate, Sched: s.n})
	s.later(frontLeast+time.Duration(s.rng.Float64()*float64(frontSpread)), func() {
		s.draining = true
		s.w.front.drop(s)
	})
	longest := time.Duration(0)
	for i := range s.w.Spec.Classes {
		longest = max(longest, s.w.Spec.Classes[i].Deadline.D())
	}
	s.later(min(longest, longestCounts)+killGrace, func() { s.kill(back) })
}

// freeze: SIGSTOP, and SIGCONT after d. What reaches it meanwhile waits at its sockets. Freezes that overlap end with
// the last.
func (s *sched) freeze(d time.Duration) {
	if !s.alive || d <= 0 {
		return
	}
	s.thawAt = max(s.thawAt, s.w.now+d)
	if !s.frozen {
		s.frozen = true
		s.tell(seen.SchedFroze, 0)
		s.w.in(edge.In{Kind: edge.Freeze, Sched: s.n})
		s.w.front.changed(s)
	}
	s.later(d, func() {
		if !s.frozen || s.thawAt > s.w.now {
			return
		}
		s.frozen = false
		s.tell(seen.SchedWoke, 0)
		s.w.in(edge.In{Kind: edge.Resume, Sched: s.n})
		s.w.front.changed(s)
	})
}

// reload: its configuration names the address at which discovery is now, and SIGHUP. That is never sent before it is
// ready or in its first second, but as soon as it may be; nor to one that was told to end.
func (s *sched) reload() {
	if !s.alive || s.termed || s.reloads {
		return
	}
	s.reloads = true
	s.reloadWhenDue()
	s.later(s.since+firstHup-s.w.now, s.reloadWhenDue)
}

func (s *sched) reloadWhenDue() {
	if !s.reloads || !s.ready && !s.planner || s.w.now < s.since+firstHup {
		return
	}
	s.reloads, s.disco = false, s.w.disco.index
	s.tell(seen.SchedHup, 0)
	s.w.in(edge.In{Kind: edge.Reload, Sched: s.n, Disco: s.disco})
	s.w.disco.views[s.n].hup()
}

// replace: a second process starts beside it and takes over. To the world it is the same scheduler all the time.
func (s *sched) replace() {
	if s.alive && !s.termed && s.ready {
		s.tell(seen.SchedReplace, 0)
		s.w.in(edge.In{Kind: edge.Replace, Sched: s.n})
	}
}
