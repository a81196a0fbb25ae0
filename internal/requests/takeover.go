package requests

import (
	"time"

	"valvecove/dispatch"
)

// TakeOver goes on with what another process had. It has none of its own yet. askers are those that wait for answers, by
// query; module makes the module that goes on, and is called once the observers have heard of the queries. Where it gives
// nil, the one that is there is told of the queries and what became of their attempts so far.
func (l *Table) TakeOver(now time.Duration, e State, open []OpenRequest, askers map[uint64]Responder, module func() Policy) {
	l.awaitUntil = 0
	listed := map[string]bool{}
	for _, id := range e.ListedIDs {
		listed[id] = true
	}
	group := EndpointList{Revision: e.Revision, Reset: true}
	for _, h := range e.Endpoints {
		if h.ID == "" {
			continue
		}
		if _, known := l.endpoints.numbers[h.ID]; !known {
			l.endpoints.byNumber[l.endpoints.assignNumber(h.ID)] = h
		}
		if listed[h.ID] {
			group.Endpoints = append(group.Endpoints, h)
		}
	}
	if e.Revision > l.revision { // drains that only the other has heard of hold here too
		l.applyEndpoints(group, dispatch.ListFull)
	}
	l.SetCordoned(e.CordonedIDs)
	l.lastID = max(l.lastID, e.LastID)
	for _, o := range open {
		l.restoreRequest(o, askers[o.ID])
	}
	defer l.resumeCancellations()
	l.policyTimer, l.pendingEvents = e.PolicyTimer, l.pendingEvents[:0]
	if m := module(); m != nil {
		l.policy = m
		l.pendingEvents = append(l.pendingEvents, l.knownState()...)
		return
	}
	l.policyTimer = max(1, now) // the module that is there has asked for its own, and is woken too early rather than never
	l.pendingEvents = append(l.pendingEvents, l.knownState()...)
	for _, q := range l.inAdmissionOrder() {
		if q.closed {
			continue
		}
		job := q.Job
		job.Remaining = max(0, q.Deadline-now)
		r := dispatch.JobResumed{Job: job, Age: now - q.ArrivedAt, QuotaCharged: true}
		for _, a := range q.attempts {
			r.Attempts = append(r.Attempts, dispatch.PastAttempt{Worker: a.Worker, SentAgo: now - max(q.ArrivedAt, q.FirstSentAt), Ended: a.ended, Result: a.result})
		}
		l.pendingEvents = append(l.pendingEvents, r)
	}
}

// restoreRequest enters one query.
func (l *Table) restoreRequest(o OpenRequest, asker Responder) {
	q := &Request{
		ID: o.ID, CallID: o.CallID, Payload: o.Payload, Job: o.Job, Deadline: o.Deadline, ArrivedAt: o.ArrivedAt, FirstSentAt: o.FirstSentAt,
		responder: asker, endedByCallback: o.EndedByCallback, closed: o.Closed, clientLeft: o.ClientLeft, reported: o.Reported, outcome: o.Outcome, response: o.Response,
	}
	if asker == nil && !q.closed { // its link did not come along, so nobody waits for it
		q.responder = absentClient{}
	}
	l.requests[q.ID] = q
	l.payloadBytes += len(q.Payload.Body)
	if !q.closed {
		l.openByCallID[q.CallID] = q
		l.notify(Notification{Kind: RequestAdmitted, Request: q})
	}
	for i, x := range o.Attempts {
		a := &Attempt{
			Request: q, Number: i, Worker: x.Worker, EndpointID: x.EndpointID, Stage: x.Stage, started: x.Started, ended: x.Ended,
			result: x.Result, cancelling: x.Cancelling, cancelReason: ReasonCancelled,
		}
		a.At = x.ExpiresAt
		a.ambiguousCallbacks = q.hasAmbiguousCallbacks(a)
		q.attempts = append(q.attempts, a)
		if a.ended {
			continue
		}
		q.inFlight++
		l.inFlight[attemptKey{q.CallID, a.EndpointID}] = a
		l.timeouts.Add(a)
		if a.started {
			l.notify(Notification{Kind: AttemptStarted, Request: q, Attempt: a})
		}
	}
}

// resumeCancellations goes on with what the other process was about to tell worker nodes.
func (l *Table) resumeCancellations() {
	for _, q := range l.inAdmissionOrder() {
		for _, a := range q.attempts {
			if a.cancelling {
				l.transport.Cancel(a)
			}
		}
	}
}

// absentClient stands for a client that nobody can answer.
type absentClient struct{}

func (absentClient) RespondResult([]byte) {}

func (absentClient) RespondRejected(time.Duration) {}

func (absentClient) RespondFailed() {}
