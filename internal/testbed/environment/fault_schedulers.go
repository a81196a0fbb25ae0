package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file applies faults to single schedulers and planners.

func (a *activeFault) applyToScheduler(i int) {
	scheduler := a.timeline.env.schedulers[i]
	whenBack := func() {
		if a.Duration > 0 {
			scheduler.startWaiters = append(scheduler.startWaiters, a.end)
		}
	}
	switch a.Kind {
	case "sched_kill", "planner_kill":
		scheduler.kill(a.Duration.Std())
		whenBack()
	case "sched_term", "planner_term":
		scheduler.terminate(a.Duration.Std())
		whenBack()
	case "sched_freeze", "planner_freeze":
		scheduler.freeze(a.Duration.Std())
		a.endLater(func() {})
	case "sched_reload":
		scheduler.reload()
		a.end()
	case "sched_replace":
		scheduler.replace()
		a.end()
	case "planner_start":
		scheduler.start()
		a.end()
	case "planner_drop":
		scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.BreakConnections{}})
		a.end()
	case "planner_slow": // of two active at once the later one counts, until either ends
		scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.SlowDown{Delay: time.Duration(a.Size * float64(time.Millisecond))}})
		a.endLater(func() { scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.SlowDown{}}) })
	default:
		panic("environment: unknown kind of scheduler fault: " + a.Kind)
	}
}
