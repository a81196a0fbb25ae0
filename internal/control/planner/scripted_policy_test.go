package planner

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

// scriptedPolicy returns the actions given by a transcript, and records its events.
type scriptedPolicy struct {
	next   []dispatch.Action
	lines  *[]string
	panics *int // number of steps that will panic, also of replacement policies
}

func (s *scriptedPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	if *s.panics > 0 {
		*s.panics--
		panic("scripted")
	}
	for _, event := range events {
		*s.lines = append(*s.lines, "policy: "+eventText(event))
	}
	dst = append(dst, s.next...)
	s.next = nil
	return dst
}

// TimeUntilOverdue returns 500 ms for every attempt.
func (s *scriptedPolicy) TimeUntilOverdue(uint64, int) (time.Duration, bool) { return 500 * ms, true }

// ModelSnapshot returns a fixed text as the snapshot.
func (s *scriptedPolicy) ModelSnapshot(int, []byte) []byte { return []byte("snapshot") }

// eventText formats an event for transcripts. It panics if the event is a poison request.
func eventText(event dispatch.Event) string {
	switch e := event.(type) {
	case dispatch.WorkerList:
		return listText(e)
	case dispatch.Job:
		if e.Tenant == poisonTenant {
			panic("poison")
		}
		return fmt.Sprintf("job %d, remaining %v", e.ID, e.Remaining)
	case dispatch.JobResumed:
		return resumedText(e)
	case dispatch.Outcome:
		text := fmt.Sprintf("job %d, attempt %d at w%d: %s", e.Job, e.Attempt, e.Worker, resultNames[e.Result])
		if e.Closed {
			text += ", closed"
		}
		return text
	case dispatch.ClientDisconnected:
		return fmt.Sprintf("job %d is closed", e.Job)
	case dispatch.Started:
		return fmt.Sprintf("job %d, attempt %d at w%d started", e.Job, e.Attempt, e.Worker)
	case dispatch.HealthChecked:
		return fmt.Sprintf("health check of w%d: %s", e.Worker, resultNames[e.Result])
	}
	return fmt.Sprintf("%T %+v", event, event)
}

func listText(list dispatch.WorkerList) string {
	text := "list " + listKindNames[list.Kind]
	for _, worker := range list.Workers {
		state := "not ready"
		if worker.Ready {
			state = "ready"
		}
		if worker.Removed {
			state = "gone"
		} else if worker.AssigneeRank > 0 {
			state += ", no work while it warms up"
		}
		text += fmt.Sprintf(" [w%d %s]", worker.ID, state)
	}
	return text
}

func resumedText(resumed dispatch.JobResumed) string {
	if resumed.Job.Tenant == poisonTenant {
		panic("poison")
	}
	text := fmt.Sprintf("resumed job %d, remaining %v, waited %v", resumed.Job.ID, resumed.Job.Remaining, resumed.Age)
	for _, past := range resumed.Attempts {
		state := "in flight"
		if past.Ended {
			state = resultNames[past.Result]
		}
		text += fmt.Sprintf(" [w%d sent %v ago, started %v ago, %s]", past.Worker, past.SentAgo, past.StartedAgo, state)
	}
	return text
}
