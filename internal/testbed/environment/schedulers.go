package environment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// scheduler is a scheduler: one process after another. Faults have no effect on a scheduler that doesn't run, except a change
// of the discovery address, which its next process reads from its configuration. Planners have the same type, and are
// numbered after the schedulers; they are never ready, so that no client connects to them, and their events are not recorded.
type scheduler struct {
	env         *Environment
	number      int
	planner     bool
	alive       bool
	ready       bool // its last readiness check was answered 200
	frozen      bool
	draining    bool // the load balancer opens no new connections to it
	incarnation int  // counts its processes, from 1

	rng           *rand.Rand
	discovery     int // index of the discovery address that its process uses
	startedAt     time.Duration
	terminated    bool // SIGTERM was sent
	resumesAt     time.Duration
	restartDelay  time.Duration // from its planned exit to the next start; 0: never
	reloadPending bool          // a SIGHUP is sent as soon as it may be
	startWaiters  []func()      // called once when the next process starts
}

const (
	crashRestartDelay = time.Second // from an unplanned exit to the next start
	minReloadAge      = time.Second // age of a process before which no SIGHUP is sent

	// After SIGTERM the load balancer opens new connections for balancerMinDelay plus up to balancerDelaySpread. SIGKILL is
	// sent after the longest deadline, or maxDeadlineWait if that is shorter, plus killGrace.
	balancerMinDelay    = 200 * time.Millisecond
	balancerDelaySpread = 200 * time.Millisecond
	maxDeadlineWait     = 3 * time.Second
	killGrace           = 700 * time.Millisecond
)

func newSchedulers(environment *Environment) []*scheduler {
	list := make([]*scheduler, environment.Spec.Schedulers.Count+environment.Spec.Planners.Count)
	for i := range list {
		list[i] = &scheduler{
			env: environment, number: i, planner: i >= environment.Spec.Schedulers.Count, rng: environment.rng("sched", i),
		}
	}
	return list
}

// record records a trace event of a scheduler, not of a planner.
func (s *scheduler) record(kind trace.Kind, status int) {
	if !s.planner {
		s.env.record(trace.Event{Kind: kind, Scheduler: s.number, Status: status})
	}
}

// name returns the name of the scheduler or planner, s1 or p1 and so on.
func (s *scheduler) name() string {
	if s.planner {
		return "p" + strconv.Itoa(s.number-s.env.Spec.Schedulers.Count+1)
	}
	return "s" + strconv.Itoa(s.number+1)
}

// scheduleStart plans the start of the first process, at a time drawn within StartSpread. Idle planners don't start.
func (s *scheduler) scheduleStart() {
	if s.number >= len(s.env.schedulers)-s.env.Spec.Planners.Idle {
		return
	}
	s.env.schedule(time.Duration(s.rng.Float64()*float64(s.env.Spec.Schedulers.StartSpread)), s.start)
}

// start starts a process, unless one runs.
func (s *scheduler) start() {
	if s.alive {
		return
	}
	view := s.env.discovery.views[s.number]
	s.incarnation++
	s.alive = true
	s.ready = false
	s.frozen = false
	s.draining = false
	s.terminated = false
	s.reloadPending = false
	s.startedAt = s.env.now
	s.resumesAt = 0
	s.discovery = s.env.discovery.address
	s.record(trace.SchedulerStarted, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Start{
		Name:           s.name(),
		Seed:           s.env.rng("boot", s.number<<20|s.incarnation).Uint64(), // independent of other draws
		KnownEndpoints: view.endpointList(), Discovery: s.discovery,
	}})
	view.processStarted()
	waiters := s.startWaiters
	s.startWaiters = nil
	for _, notify := range waiters {
		notify()
	}
}

// apply handles a change of the process that the driver observed.
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
		restartDelay := s.restartDelay
		if !s.terminated {
			restartDelay = crashRestartDelay
		}
		s.processEnded(restartDelay)
	}
}

// processEnded handles the end of the process. The next starts after restartDelay; 0: never.
func (s *scheduler) processEnded(restartDelay time.Duration) {
	s.alive = false
	s.ready = false
	s.frozen = false
	s.terminated = false
	s.env.discovery.abandonWatch(s.env.discovery.views[s.number])
	s.env.dropConns(s.number)
	s.env.balancer.schedulerChanged(s)
	if restartDelay > 0 {
		s.env.after(restartDelay, s.start)
	}
}

// afterInProcess calls do after delay, if the present process still runs.
func (s *scheduler) afterInProcess(delay time.Duration, do func()) {
	incarnation := s.incarnation
	s.env.after(delay, func() {
		if s.alive && s.incarnation == incarnation {
			do()
		}
	})
}
