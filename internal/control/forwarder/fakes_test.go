package forwarder

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/control/membership"
)

var (
	_ subsetPolicy    = (*aperture.Aperture)(nil)
	_ PlannerSelector = (*membership.ForwarderMembership)(nil)
)

// fixedOrder is a planner selector with a fixed order of planners.
type fixedOrder struct {
	planners []string
}

func (*fixedOrder) PlannersKnown(time.Duration, []string) {}

func (*fixedOrder) SessionChanged(time.Duration, string, bool) {}

func (*fixedOrder) ReplyReceived(time.Duration, string, time.Duration, time.Duration) {}

func (f *fixedOrder) AppendOrder(_ time.Duration, dst []string) []string {
	return append(dst, f.planners...)
}

func (*fixedOrder) Next() time.Duration { return 0 }

// simplePolicy is a predictable policy. It sends each job to the first ready worker that has had no attempt of it, one attempt at
// a time, and rejects the job if there is no such worker. While no worker at all is ready, it queues the jobs.
type simplePolicy struct {
	ready    []uint64
	jobs     map[uint64]*simpleJob
	onEvent  func(event dispatch.Event)
	panicsOn func(event dispatch.Event) bool // may be nil
}

type simpleJob struct {
	workers  []uint64 // workers of its attempts
	inFlight int
}

func (s *simplePolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		s.onEvent(event)
		if s.panicsOn != nil && s.panicsOn(event) {
			panic("scripted")
		}
		dst = s.process(event, dst)
	}
	return dst
}

func (s *simplePolicy) process(event dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	switch event := event.(type) {
	case dispatch.WorkerList:
		s.updateWorkers(event)
		for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
			dst = s.place(id, dst)
		}
	case dispatch.Job:
		s.jobs[event.ID] = &simpleJob{}
		return s.place(event.ID, dst)
	case dispatch.JobResumed:
		job := &simpleJob{}
		for _, attempt := range event.Attempts {
			job.workers = append(job.workers, attempt.Worker)
			if !attempt.Ended {
				job.inFlight++
			}
		}
		s.jobs[event.Job.ID] = job
		return s.place(event.Job.ID, dst)
	case dispatch.Outcome:
		return s.attemptEnded(event, dst)
	case dispatch.ClientDisconnected:
		delete(s.jobs, event.Job)
	}
	return dst
}

func (s *simplePolicy) updateWorkers(update dispatch.WorkerList) {
	switch update.Kind {
	case dispatch.ListUnavailable:
	case dispatch.ListDelta:
		for _, worker := range update.Workers {
			s.ready = slices.DeleteFunc(s.ready, func(id uint64) bool { return id == worker.ID })
		}
	default:
		s.ready = s.ready[:0]
	}
	for _, worker := range update.Workers {
		if worker.Ready && !worker.Removed {
			s.ready = append(s.ready, worker.ID)
		}
	}
}

func (s *simplePolicy) attemptEnded(event dispatch.Outcome, dst []dispatch.Action) []dispatch.Action {
	job := s.jobs[event.Job]
	if job == nil || event.Attempt >= len(job.workers) {
		return dst
	}
	job.inFlight--
	if event.Closed {
		delete(s.jobs, event.Job)
		return dst
	}
	return s.place(event.Job, dst)
}

// place sends a job to a worker, unless an attempt is in flight.
func (s *simplePolicy) place(id uint64, dst []dispatch.Action) []dispatch.Action {
	job := s.jobs[id]
	if job.inFlight > 0 || len(s.ready) == 0 {
		return dst
	}
	for _, worker := range s.ready {
		if !slices.Contains(job.workers, worker) {
			job.workers = append(job.workers, worker)
			job.inFlight++
			return append(dst, dispatch.Send{Job: id, Worker: worker})
		}
	}
	delete(s.jobs, id)
	return append(dst, dispatch.Reject{Job: id})
}
