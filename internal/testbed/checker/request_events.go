package checker

import (
	"maps"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds what becomes of jobs, their requests and attempts, event by event.

// misbehavingClientConnected remembers a misbehaving client, which is owed a response or a close.
func (j *Checker) misbehavingClientConnected(event *trace.Event) {
	j.counts.Misbehaving++
	if len(j.misbehaving) > maxMisbehaving {
		maps.DeleteFunc(j.misbehaving, func(_ uint64, b misbehavingClient) bool { return b.answered })
	}
	j.misbehaving[event.Conn] = misbehavingClient{connectedAt: event.At, kind: event.Text}
}

// requestEvent handles an event of one request.
func (j *Checker) requestEvent(event *trace.Event) {
	b := j.jobsByRequest[event.RequestID]
	if b == nil {
		j.unknownRequest(event)
		return
	}
	t, n := b.findRequest(event.RequestID)
	j.recordJobEvent(b, event, n)
	switch event.Kind {
	case trace.ResponseReceived:
		j.responseReceived(b, t, event)
	case trace.ConnectionLost:
		j.counts.ConnectionsLost++
		j.requestEnded(b, t, requestConnLost, event.At)
	case trace.ClientLeft:
		j.counts.ClientsLeft++
		j.requestEnded(b, t, requestClientLeft, event.At)
	case trace.ClientTimedOut:
		j.counts.TimedOut++
		j.requestEnded(b, t, requestTimedOut, event.At)
	case trace.SchedulerUnreachable: // it was asked once, crossed a close, and found no other connection
		j.requestEnded(b, t, requestClientLeft, event.At)
	case trace.AttemptReceived:
		j.attemptReceived(b, t, n, event)
	case trace.AttemptUnread:
		t.unreadUntil = event.At
	default:
		if a := b.findAttempt(n, event.Worker, event.Kind == trace.AttemptRejected); a != nil {
			j.attemptEvent(b, t, a, event)
		}
	}
}

// jobDue begins a job.
func (j *Checker) jobDue(event *trace.Event) {
	if event.JobID > j.highestJobID {
		j.highestJobID = event.JobID
	} else if old := j.jobs[event.JobID]; old != nil { // its number is used again
		j.forgetJob(old)
	}
	if event.Class < 0 || event.Class >= len(j.classes) {
		j.counts.Unknown++
		return
	}
	if len(j.freeJobs) == 0 {
		j.freeJobs = newJobBatch()
	}
	b := j.freeJobs[len(j.freeJobs)-1]
	j.freeJobs = j.freeJobs[:len(j.freeJobs)-1]
	*b = job{requests: b.requests[:0], attempts: b.attempts[:0], log: b.log[:0]}
	b.id, b.class, b.tenant, b.dueAt = event.JobID, &j.classes[event.Class], event.Tenant, event.At
	b.slots, b.work, b.deadline = event.Slots, time.Duration(event.Work*float64(time.Second)), event.Deadline
	j.jobs[b.id] = b
	j.counts.Jobs++
	j.recordJobEvent(b, event, noRequest)
}

// requestSent begins a try, or has it on another connection once more.
func (j *Checker) requestSent(event *trace.Event) {
	b := j.jobs[event.JobID]
	if b == nil {
		j.counts.Unknown++
		return
	}
	scheduler := j.scheduler(event.Scheduler)
	t, n := b.findRequest(event.RequestID)
	if t == nil {
		n = len(b.requests)
		b.requests = append(b.requests, request{id: event.RequestID, key: event.IdempotencyKey})
		t = &b.requests[n]
		j.jobsByRequest[event.RequestID] = b
		j.counts.Requests++
		j.checkCounts[ruleOneAnswer]++
	} else {
		t.state, t.resent = requestOpen, true
	}
	t.sentAt, t.deadline = event.At, event.At+event.Budget
	t.scheduler, t.incarnation = event.Scheduler, scheduler.incarnation
	j.recordJobEvent(b, event, n)
}

// jobSettled is the end of a job for its client. A try that is open has crossed a close, and was still waiting for another
// connection.
func (j *Checker) jobSettled(event *trace.Event) {
	b := j.jobs[event.JobID]
	if b == nil || b.settled {
		return
	}
	j.recordJobEvent(b, event, noRequest)
	b.settled = true
	if b.class.idempotent { // nothing of it is forbidden but to go on
		j.retained[0].add(retainedJob{b, b.id, event.At + min(j.retention, 2*j.dialDelay+idempotentRetention)})
	} else {
		j.retained[1].add(retainedJob{b, b.id, event.At + j.retention})
	}
	for i := range b.requests {
		j.requestEnded(b, &b.requests[i], requestClientLeft, event.At)
	}
}

// unknownRequest takes a trace event of a request that nobody knows.
func (j *Checker) unknownRequest(event *trace.Event) {
	if b := j.jobs[event.JobID]; b != nil && event.Kind == trace.SchedulerUnreachable {
		j.recordJobEvent(b, event, noRequest)
		return
	}
	j.counts.Unknown++
	switch event.Kind {
	case trace.ResponseReceived:
		j.recordFleetEvent(event)
		j.report(ruleOneAnswer, nil, event.RequestID, "a client had an answer to a request that it had not sent, or had long had one to")
	case trace.AttemptReceived:
		j.counts.Attempts++
		j.recordFleetEvent(event)
	case trace.AttemptRejected:
		j.recordFleetEvent(event)
		j.attemptRejected(nil, event)
	}
}
