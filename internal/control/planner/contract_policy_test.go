package planner

import (
	"fmt"
	"slices"
	"time"

	"valvecove/dispatch"
)

// contractPolicy is a dispatcher that also checks that the planner's events satisfy the contract of package dispatch for its
// callers.
type contractPolicy struct {
	*dispatch.Dispatcher
	jobs       map[uint64]*contractJob
	workers    map[uint64]bool // workers in the notified lists
	violations []string
}

type contractJob struct {
	closed   bool
	attempts []contractAttempt
}

type contractAttempt struct {
	worker uint64
	ended  bool
}

func newContractPolicy(settings dispatch.Settings) *contractPolicy {
	return &contractPolicy{
		Dispatcher: dispatch.New(settings, 1), jobs: map[uint64]*contractJob{}, workers: map[uint64]bool{},
	}
}

func (c *contractPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		c.check(event)
	}
	known := len(dst)
	dst = c.Dispatcher.Step(now, events, dst)
	for _, action := range dst[known:] {
		c.record(action)
	}
	return dst
}

func (c *contractPolicy) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *contractPolicy) check(event dispatch.Event) {
	switch e := event.(type) {
	case dispatch.Job:
		c.recordJob(e, nil)
	case dispatch.JobResumed:
		c.recordJob(e.Job, e.Attempts)
	case dispatch.Outcome:
		if attempt := c.checkInFlight("outcome", e.Job, e.Attempt, e.Worker); attempt != nil {
			attempt.ended = true
			c.jobs[e.Job].closed = c.jobs[e.Job].closed || e.Closed
			c.removeIfEnded(e.Job)
		}
	case dispatch.Started:
		c.checkInFlight("start", e.Job, e.Attempt, e.Worker)
	case dispatch.Progressed:
		c.checkInFlight("progress", e.Job, e.Attempt, e.Worker)
	case dispatch.ClientDisconnected:
		if job := c.jobs[e.Job]; job == nil || job.closed {
			c.addViolation("job %d is closed twice", e.Job)
		} else {
			c.close(e.Job)
		}
	case dispatch.WorkerList:
		c.recordList(e)
	}
}

func (c *contractPolicy) recordJob(job dispatch.Job, past []dispatch.PastAttempt) {
	if job.Tenant == poisonTenant {
		panic("poison")
	}
	if c.jobs[job.ID] != nil {
		c.addViolation("job %d arrives twice", job.ID)
	}
	added := &contractJob{}
	for _, p := range past {
		added.attempts = append(added.attempts, contractAttempt{p.Worker, p.Ended})
		if !c.workers[p.Worker] {
			c.addViolation("job %d arrives with an attempt at worker %d, which is in no worker list", job.ID, p.Worker)
		}
	}
	c.jobs[job.ID] = added
}

// checkInFlight returns an attempt in flight. If it is not in flight, it records a violation and returns nil.
func (c *contractPolicy) checkInFlight(what string, id uint64, number int, worker uint64) *contractAttempt {
	job := c.jobs[id]
	if job == nil || number < 0 || number >= len(job.attempts) || job.attempts[number].ended ||
		job.attempts[number].worker != worker {
		c.addViolation("%s of job %d, attempt %d at worker %d, which is not in flight", what, id, number, worker)
		return nil
	}
	return &job.attempts[number]
}

func (c *contractPolicy) recordList(list dispatch.WorkerList) {
	switch list.Kind {
	case dispatch.ListUnavailable:
		return // a dispatcher ignores the entries of this kind of list
	case dispatch.ListFull, dispatch.ListCached:
		clear(c.workers)
	}
	for _, worker := range list.Workers {
		delete(c.workers, worker.ID)
		if !worker.Removed {
			c.workers[worker.ID] = true
		}
	}
}

func (c *contractPolicy) record(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		if job := c.jobs[a.Job]; job == nil || job.closed {
			c.addViolation("send of job %d, which is closed", a.Job)
		} else {
			job.attempts = append(job.attempts, contractAttempt{worker: a.Worker})
		}
	case dispatch.Reject:
		c.close(a.Job)
	case dispatch.Fail:
		c.close(a.Job)
	}
}

func (c *contractPolicy) close(id uint64) {
	c.jobs[id].closed = true
	c.removeIfEnded(id)
}

func (c *contractPolicy) removeIfEnded(id uint64) {
	job := c.jobs[id]
	if job.closed && !slices.ContainsFunc(job.attempts, func(a contractAttempt) bool { return !a.ended }) {
		delete(c.jobs, id)
	}
}
