package checker

import (
	"maps"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file updates the history of jobs and their requests, event by event.

// misbehavingClientConnected records a misbehaving client, which the scheduler has to answer or disconnect.
func (c *Checker) misbehavingClientConnected(event *trace.Event) {
	c.counts.Misbehaving++
	if len(c.misbehaving) > maxMisbehaving {
		maps.DeleteFunc(c.misbehaving, func(_ uint64, client misbehavingClient) bool { return client.answered })
	}
	c.misbehaving[event.Conn] = misbehavingClient{connectedAt: event.At, kind: event.Text}
}

// requestEvent handles an event of one request.
func (c *Checker) requestEvent(event *trace.Event) {
	job := c.jobsByRequest[event.RequestID]
	if job == nil {
		c.unknownRequest(event)
		return
	}
	request, requestIndex := job.findRequest(event.RequestID)
	c.recordJobEvent(job, event, requestIndex)
	switch event.Kind {
	case trace.ResponseReceived:
		c.responseReceived(job, request, event)
	case trace.ConnectionLost:
		c.counts.ConnectionsLost++
		c.requestEnded(job, request, requestConnLost, event.At)
	case trace.ClientLeft:
		c.counts.ClientsLeft++
		c.requestEnded(job, request, requestClientLeft, event.At)
	case trace.ClientTimedOut:
		c.counts.TimedOut++
		c.requestEnded(job, request, requestTimedOut, event.At)
	case trace.SchedulerUnreachable: // its connection was closed before it was read, and no other one was established
		c.requestEnded(job, request, requestClientLeft, event.At)
	case trace.AttemptReceived:
		c.attemptReceived(job, request, requestIndex, event)
	case trace.AttemptUnread:
		request.unreadUntil = event.At
	default:
		if attempt := job.findAttempt(requestIndex, event.Worker, event.Kind == trace.AttemptRejected); attempt != nil {
			c.attemptEvent(job, request, attempt, event)
		}
	}
}

// jobDue begins the history of a job.
func (c *Checker) jobDue(event *trace.Event) {
	if event.JobID > c.highestJobID {
		c.highestJobID = event.JobID
	} else if old := c.jobs[event.JobID]; old != nil { // its ID is reused
		c.releaseJob(old)
	}
	if event.Class < 0 || event.Class >= len(c.classes) {
		c.counts.Unknown++
		return
	}
	if len(c.freeJobs) == 0 {
		c.freeJobs = newJobBatch()
	}
	newJob := c.freeJobs[len(c.freeJobs)-1]
	c.freeJobs = c.freeJobs[:len(c.freeJobs)-1]
	*newJob = job{requests: newJob.requests[:0], attempts: newJob.attempts[:0], log: newJob.log[:0]}
	newJob.id = event.JobID
	newJob.class = &c.classes[event.Class]
	newJob.tenant = event.Tenant
	newJob.dueAt = event.At
	newJob.slots = event.Slots
	newJob.work = time.Duration(event.Work * float64(time.Second))
	newJob.deadline = event.Deadline
	c.jobs[newJob.id] = newJob
	c.counts.Jobs++
	c.recordJobEvent(newJob, event, noRequest)
}

// requestSent begins the history of a request, or records that it was sent again on another connection.
func (c *Checker) requestSent(event *trace.Event) {
	job := c.jobs[event.JobID]
	if job == nil {
		c.counts.Unknown++
		return
	}
	scheduler := c.scheduler(event.Scheduler)
	sent, n := job.findRequest(event.RequestID)
	if sent == nil {
		n = len(job.requests)
		job.requests = append(job.requests, request{id: event.RequestID, key: event.IdempotencyKey})
		sent = &job.requests[n]
		c.jobsByRequest[event.RequestID] = job
		c.counts.Requests++
		c.checkCounts[ruleOneAnswer]++
	} else {
		sent.state = requestOpen
		sent.resent = true
	}
	sent.sentAt = event.At
	sent.deadline = event.At + event.Budget
	sent.scheduler = event.Scheduler
	sent.incarnation = scheduler.incarnation
	c.recordJobEvent(job, event, n)
}

// jobSettled handles the end of a job for its client. The connection of a request that is still open was closed before the
// request was read, and the client was waiting for another one.
func (c *Checker) jobSettled(event *trace.Event) {
	job := c.jobs[event.JobID]
	if job == nil || job.settled {
		return
	}
	c.recordJobEvent(job, event, noRequest)
	job.settled = true
	if job.class.idempotent { // only attempts after its end would violate a rule
		retention := min(c.retention, 2*c.dialDelay+idempotentRetention)
		c.retained[0].add(retainedJob{job, job.id, event.At + retention})
	} else {
		c.retained[1].add(retainedJob{job, job.id, event.At + c.retention})
	}
	for i := range job.requests {
		c.requestEnded(job, &job.requests[i], requestClientLeft, event.At)
	}
}

// unknownRequest handles a trace event of a request that no client sent, or that was evicted.
func (c *Checker) unknownRequest(event *trace.Event) {
	if job := c.jobs[event.JobID]; job != nil && event.Kind == trace.SchedulerUnreachable {
		c.recordJobEvent(job, event, noRequest)
		return
	}
	c.counts.Unknown++
	switch event.Kind {
	case trace.ResponseReceived:
		c.recordFleetEvent(event)
		c.report(ruleOneAnswer, nil, event.RequestID,
			"a client had an answer to a request that it had not sent, or had long had one to")
	case trace.AttemptReceived:
		c.counts.Attempts++
		c.recordFleetEvent(event)
	case trace.AttemptRejected:
		c.recordFleetEvent(event)
		c.attemptRejected(nil, event)
	}
}
