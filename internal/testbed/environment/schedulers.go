package environment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// scheduler is a scheduler: one process after another, as the environment deals with them. What is done to one that does not run
// means nothing, but for the address of discovery, which its next process reads from its configuration. Planners are
// dealt with alike, and numbered after the schedulers; they are never ready, so no client comes to them, and nothing is
// told of them: what counts is what is seen of schedulers.
type scheduler struct {
	env         *Environment
	number      int
	planner     bool
	alive       bool
	ready       bool // /up answered 200 the last time
	frozen      bool
	draining    bool // the load balancer was told to bring nothing new
	incarnation int  // counts processes

	rng           *rand.Rand
	discovery     int // index of the discovery address that its process goes by
	startedAt     time.Duration
	terminated    bool // SIGTERM was sent
	thawsAt       time.Duration
	restartAfter  time.Duration // after its end, if that was asked for; 0: never
	reloadPending bool          // a SIGHUP waits until it may be sent
	startWaiters  []func()      // who waits for the next process
}

const (
	crashRestartDelay = time.Second // a process that ended by itself, unasked, is started again after this
	minReloadAge      = time.Second // no SIGHUP within this of its start

	// At a planned restart the load balancer goes on for a moment, and SIGKILL comes once the longest deadline has passed,
	// which counts as 3 s at most, and a grace.
	balancerMinDelay    = 200 * time.Millisecond
	balancerDelaySpread = 200 * time.Millisecond
	maxDeadlineWait     = 3 * time.Second
	killGrace           = 700 * time.Millisecond
)

func newSchedulers(w *Environment) []*scheduler {
	list := make([]*scheduler, w.Spec.Schedulers.Count+w.Spec.Planners.Count)
	for i := range list {
		list[i] = &scheduler{env: w, number: i, planner: i >= w.Spec.Schedulers.Count, rng: w.rng("sched", i)}
	}
	return list
}

// record reports a trace event of it.
func (s *scheduler) record(what trace.Kind, status int) {
	if !s.planner {
		s.env.record(trace.Event{Kind: what, Scheduler: s.number, Status: status})
	}
}

func (s *scheduler) name() string {
	if s.planner {
		return "p" + strconv.Itoa(s.number-s.env.Spec.Schedulers.Count+1)
	}
	return "s" + strconv.Itoa(s.number+1)
}

// scheduleStart starts its first process, at a drawn moment of the spread of starts.
func (s *scheduler) scheduleStart() {
	if s.number >= len(s.env.schedulers)-s.env.Spec.Planners.Idle {
		return
	}
	s.env.schedule(time.Duration(s.rng.Float64()*float64(s.env.Spec.Schedulers.StartSpread)), s.start)
}

// start begins a process.
func (s *scheduler) start() {
	if s.alive {
		return
	}
	v := s.env.discovery.views[s.number]
	s.incarnation++
	s.alive, s.ready, s.frozen, s.draining, s.terminated, s.reloadPending = true, false, false, false, false, false
	s.startedAt, s.thawsAt, s.discovery = s.env.now, 0, s.env.discovery.address
	s.record(trace.SchedulerStarted, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Start{
		Name:           s.name(),
		Seed:           s.env.rng("boot", s.number<<20|s.incarnation).Uint64(), // whatever else was drawn
		KnownEndpoints: v.endpointList(), Discovery: s.discovery,
	}})
	v.processStarted()
	waits := s.startWaiters
	s.startWaiters = nil
	for _, do := range waits {
		do()
	}
}

// apply takes what is seen of its process from outside.
func (s *scheduler) apply(message simapi.OutputMessage) {
	if !s.alive {
		return
	}
	switch message := message.(type) {
	case simapi.Ready:
		s.ready = true
		s.record(trace.SchedulerReady, 0)
		s.env.balancer.schedulerChanged(s)
		s.reloadWhenDue()
	case simapi.Unready:
		s.ready = false
		s.env.balancer.schedulerChanged(s)
	case simapi.Exited:
		s.record(trace.SchedulerExited, message.Status)
		back := s.restartAfter
		if !s.terminated {
			back = crashRestartDelay
		}
		s.processEnded(back)
	}
}

// processEnded is the end of a process; another starts after back, unless that is 0.
func (s *scheduler) processEnded(back time.Duration) {
	s.alive, s.ready, s.frozen, s.terminated = false, false, false, false
	s.env.discovery.abandonWatch(s.env.discovery.views[s.number])
	s.env.dropConns(s.number)
	s.env.balancer.schedulerChanged(s)
	if back > 0 {
		s.env.after(back, s.start)
	}
}

// afterInProcess does something after a while, if its process is the one of now still.
func (s *scheduler) afterInProcess(after time.Duration, do func()) {
	sprout := s.incarnation
	s.env.after(after, func() {
		if s.alive && s.incarnation == sprout {
			do()
		}
	})
}

// ---- What may be done to a scheduler. back is when after its end its process starts again; 0: never ----

// kill: SIGKILL.
func (s *scheduler) kill(back time.Duration) {
	if !s.alive {
		return
	}
	s.record(trace.SchedulerKilled, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Kill{}})
	s.processEnded(back)
}

// terminate: SIGTERM, as at a planned restart. New connections are led there for 0.2 to 0.4 s more. SIGKILL follows when it
// is due, unless the process has ended by itself.
func (s *scheduler) terminate(back time.Duration) {
	if !s.alive || s.terminated {
		return
	}
	s.terminated, s.restartAfter, s.reloadPending = true, back, false
	s.record(trace.SchedulerTerminated, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Terminate{}})
	s.afterInProcess(balancerMinDelay+time.Duration(s.rng.Float64()*float64(balancerDelaySpread)), func() {
		s.draining = true
		s.env.balancer.drop(s)
	})
	longest := time.Duration(0)
	for i := range s.env.Spec.Classes {
		longest = max(longest, s.env.Spec.Classes[i].Deadline.Std())
	}
	s.afterInProcess(min(longest, maxDeadlineWait)+killGrace, func() { s.kill(back) })
}

// freeze: SIGSTOP, and SIGCONT after d. What reaches it meanwhile waits at its sockets. Freezes that overlap end with
// the last.
func (s *scheduler) freeze(duration time.Duration) {
	if !s.alive || duration <= 0 {
		return
	}
	s.thawsAt = max(s.thawsAt, s.env.now+duration)
	if !s.frozen {
		s.frozen = true
		s.record(trace.SchedulerFrozen, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Freeze{}})
		s.env.balancer.schedulerChanged(s)
	}
	s.afterInProcess(duration, func() {
		if !s.frozen || s.thawsAt > s.env.now {
			return
		}
		s.frozen = false
		s.record(trace.SchedulerResumed, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Resume{}})
		s.env.balancer.schedulerChanged(s)
	})
}

// reload: its configuration names the address at which discovery is now, and SIGHUP. That is never sent before it is
// ready or in its first second, but as soon as it may be; nor to one that was told to end.
func (s *scheduler) reload() {
	if !s.alive || s.terminated || s.reloadPending {
		return
	}
	s.reloadPending = true
	s.reloadWhenDue()
	s.afterInProcess(s.startedAt+minReloadAge-s.env.now, s.reloadWhenDue)
}

func (s *scheduler) reloadWhenDue() {
	if !s.reloadPending || !s.ready && !s.planner || s.env.now < s.startedAt+minReloadAge {
		return
	}
	s.reloadPending, s.discovery = false, s.env.discovery.address
	s.record(trace.SchedulerReloaded, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Reload{Discovery: s.discovery}})
	s.env.discovery.views[s.number].reloaded()
}

// replace: a second process starts beside it and takes over. To the environment it is the same scheduler all the time.
func (s *scheduler) replace() {
	if s.alive && !s.terminated && s.ready {
		s.record(trace.SchedulerReplaced, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Replace{}})
	}
}
