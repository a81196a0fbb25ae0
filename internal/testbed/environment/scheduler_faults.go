package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// This file holds the faults and operations of a scheduler. restartDelay is the time from the end of its process to the
// next start; 0: never.

// kill sends SIGKILL.
func (s *scheduler) kill(restartDelay time.Duration) {
	if !s.alive {
		return
	}
	s.record(trace.SchedulerKilled, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Kill{}})
	s.processEnded(restartDelay)
}

// terminate sends SIGTERM, as at a planned restart. A little later the load balancer opens no new connections to the process, and
// SIGKILL follows if it has not exited by then; see balancerMinDelay.
func (s *scheduler) terminate(restartDelay time.Duration) {
	if !s.alive || s.terminated {
		return
	}
	s.terminated = true
	s.restartDelay = restartDelay
	s.reloadPending = false
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
	s.afterInProcess(min(longest, maxDeadlineWait)+killGrace, func() { s.kill(restartDelay) })
}

// freeze sends SIGSTOP, and SIGCONT after duration. Data that arrives meanwhile stays in its sockets. Freezes that overlap
// end with the last.
func (s *scheduler) freeze(duration time.Duration) {
	if !s.alive || duration <= 0 {
		return
	}
	s.resumesAt = max(s.resumesAt, s.env.now+duration)
	if !s.frozen {
		s.frozen = true
		s.record(trace.SchedulerFrozen, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Freeze{}})
		s.env.balancer.schedulerChanged(s)
	}
	s.afterInProcess(duration, func() {
		if !s.frozen || s.resumesAt > s.env.now {
			return
		}
		s.frozen = false
		s.record(trace.SchedulerResumed, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Resume{}})
		s.env.balancer.schedulerChanged(s)
	})
}

// reload sets the configuration to the present address of discovery and sends SIGHUP, once the process is ready (a planner
// needn't be) and at least minReloadAge old. SIGHUP is not sent after SIGTERM.
func (s *scheduler) reload() {
	if !s.alive || s.terminated || s.reloadPending {
		return
	}
	s.reloadPending = true
	s.reloadWhenDue()
	s.afterInProcess(s.startedAt+minReloadAge-s.env.now, s.reloadWhenDue)
}

// reloadWhenDue sends a pending SIGHUP if the process is ready for it.
func (s *scheduler) reloadWhenDue() {
	if !s.reloadPending || !s.ready && !s.planner || s.env.now < s.startedAt+minReloadAge {
		return
	}
	s.reloadPending = false
	s.discovery = s.env.discovery.address
	s.record(trace.SchedulerReloaded, 0)
	s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Reload{Discovery: s.discovery}})
	s.env.discovery.views[s.number].reloaded()
}

// replace starts a hot restart: a successor takes over from the process. To the environment both are the same process.
func (s *scheduler) replace() {
	if s.alive && !s.terminated && s.ready {
		s.record(trace.SchedulerReplaced, 0)
		s.env.deliver(simapi.Input{Scheduler: s.number, Message: simapi.Replace{}})
	}
}
