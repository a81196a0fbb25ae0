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

func (s *fixedOrder) AppendOrder(_ time.Duration, dst []string) []string {
	return append(dst, s.planners...)
}

func (*fixedOrder) Next() time.Duration { return 0 }

// simplePolicy is a policy that is easy to foresee: it sends each job to the first worker that is ready and has not had it,
// one at a time, and rejects it if there is none. While no worker is ready at all it queues the jobs.
type simplePolicy struct {
	ready    []uint64
	jobs     map[uint64]*simpleJob
	onEvent  func(event dispatch.Event)
	panicsOn func(event dispatch.Event) bool // may be nil
}

type simpleJob struct {
	workers  []uint64 // of its attempts
	inFlight int
}

func (p *simplePolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		p.onEvent(event)
		if p.panicsOn != nil && p.panicsOn(event) {
			panic("scripted")
		}
		dst = p.process(event, dst)
	}
	return dst
}

func (p *simplePolicy) process(event dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	switch event := event.(type) {
	case dispatch.WorkerList:
		p.updateWorkers(event)
		for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
			dst = p.place(id, dst)
		}
	case dispatch.Job:
		p.jobs[event.ID] = &simpleJob{}
		return p.place(event.ID, dst)
	case dispatch.JobResumed:
		job := &simpleJob{}
		for _, attempt := range event.Attempts {
			job.workers = append(job.workers, attempt.Worker)
			if !attempt.Ended {
				job.inFlight++
			}
		}
		p.jobs[event.Job.ID] = job
		return p.place(event.Job.ID, dst)
	case dispatch.Outcome:
		return p.attemptEnded(event, dst)
	case dispatch.ClientDisconnected:
		delete(p.jobs, event.Job)
	}
	return dst
}

func (p *simplePolicy) updateWorkers(update dispatch.WorkerList) {
	switch update.Kind {
	case dispatch.ListUnavailable:
	case dispatch.ListDelta:
		for _, worker := range update.Workers {
			p.ready = slices.DeleteFunc(p.ready, func(id uint64) bool { return id == worker.ID })
		}
	default:
		p.ready = p.ready[:0]
	}
	for _, worker := range update.Workers {
		if worker.Ready && !worker.Removed {
			p.ready = append(p.ready, worker.ID)
		}
	}
}

func (p *simplePolicy) attemptEnded(event dispatch.Outcome, dst []dispatch.Action) []dispatch.Action {
	job := p.jobs[event.Job]
	if job == nil || event.Attempt >= len(job.workers) {
		return dst
	}
	job.inFlight--
	if event.Closed {
		delete(p.jobs, event.Job)
		return dst
	}
	return p.place(event.Job, dst)
}

// place sends a job to a worker, unless an attempt is in flight.
func (p *simplePolicy) place(id uint64, dst []dispatch.Action) []dispatch.Action {
	job := p.jobs[id]
	if job.inFlight > 0 || len(p.ready) == 0 {
		return dst
	}
	for _, worker := range p.ready {
		if !slices.Contains(job.workers, worker) {
			job.workers = append(job.workers, worker)
			job.inFlight++
			return append(dst, dispatch.Send{Job: id, Worker: worker})
		}
	}
	delete(p.jobs, id)
	return append(dst, dispatch.Reject{Job: id})
}
