package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// This file applies faults to single schedulers and planners.

func (x *activeFault) applyToScheduler(i int) {
	scheduler := x.timeline.env.schedulers[i]
	whenBack := func() {
		if x.Duration > 0 {
			scheduler.startWaiters = append(scheduler.startWaiters, x.end)
		}
	}
	switch x.Kind {
	case "sched_kill", "planner_kill":
		scheduler.kill(x.Duration.Std())
		whenBack()
	case "sched_term", "planner_term":
		scheduler.terminate(x.Duration.Std())
		whenBack()
	case "sched_freeze", "planner_freeze":
		scheduler.freeze(x.Duration.Std())
		x.endLater(func() {})
	case "sched_reload":
		scheduler.reload()
		x.end()
	case "sched_replace":
		scheduler.replace()
		x.end()
	case "planner_start":
		scheduler.start()
		x.end()
	case "planner_drop":
		scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.BreakConnections{}})
		x.end()
	case "planner_slow": // of two that hold at once the later one counts, until either ends
		scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.SlowDown{Delay: time.Duration(x.Size * float64(time.Millisecond))}})
		x.endLater(func() { scheduler.env.deliver(simapi.Input{Scheduler: i, Message: simapi.SlowDown{}}) })
	default:
		panic("environment: no such fault of a scheduler: " + x.Kind)
	}
}
