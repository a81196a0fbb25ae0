package requests

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// What is here hands a ledger's memory to that of another process, and takes it over. Instants are Unix time in both. The
// other process may be of another build: the names in the tags, and the order of the fields, are part of the form.

// State is what a ledger has besides queries.
type State struct {
	LastID      uint64        `json:"LastID"`
	PolicyTimer time.Duration `json:"Timer"` // the module's; 0: none
	Revision    int64         `json:"Generation"`
	Endpoints   []Endpoint    `json:"Hosts"`  // all that were ever listed
	ListedIDs   []string      `json:"Listed"` // those that are listed now
	CordonedIDs []string      `json:"Out"`    // those that are out by hand
}

// OpenRequest is a query that is owed an answer, or has attempts out.
type OpenRequest struct {
	ID              uint64        `json:"ID"`
	CallID          string        `json:"Call"`
	Payload         Payload       `json:"Parcel"`
	Job             dispatch.Job  `json:"Job"`
	Deadline        time.Duration `json:"Deadline"`
	ArrivedAt       time.Duration `json:"Came"`
	FirstSentAt     time.Duration `json:"Sent"`
	Attempts        []OpenAttempt `json:"Attempts"`
	EndedByCallback []string      `json:"Noted"`
	Closed          bool          `json:"Closed"`
	ClientLeft      bool          `json:"Left"`
	Reported        bool          `json:"Over"`
	Outcome         Outcome       `json:"Outcome"`
	Response        Response      `json:"Answer"`
}

// OpenAttempt is one of its attempts, by number.
type OpenAttempt struct {
	Worker     uint64          `json:"Worker"`
	EndpointID string          `json:"From"`
	ExpiresAt  time.Duration   `json:"Until"` // it is waited for until then
	Stage      Stage           `json:"Stage"`
	Started    bool            `json:"Sent"`
	Ended      bool            `json:"Ended"`
	Cancelling bool            `json:"Withdrawing"` // its worker node has not been told yet
	Result     dispatch.Result `json:"Outcome"`     // if it has ended
}

// FlushEvents has the module hear all that has come in, and tells whether nothing is left: what the module had not heard would
// be lost with a hand-over.
func (l *Table) FlushEvents(now time.Duration) bool {
	for range 16 {
		if len(l.pendingEvents) == 0 {
			return true
		}
		l.Step(now)
	}
	return len(l.pendingEvents) == 0
}

// Snapshot gives all that another process needs to go on.
func (l *Table) Snapshot() (e State, open []OpenRequest) {
	e = State{LastID: l.lastID, PolicyTimer: l.policyTimer, Revision: l.revision, CordonedIDs: l.Cordoned()}
	for _, n := range slices.Sorted(maps.Keys(l.endpoints.byNumber)) {
		h := l.endpoints.byNumber[n]
		e.Endpoints = append(e.Endpoints, h)
		if _, listed := l.listed[n]; listed {
			e.ListedIDs = append(e.ListedIDs, h.ID)
		}
	}
	for _, q := range l.inAdmissionOrder() {
		o := OpenRequest{ID: q.ID, CallID: q.CallID, Payload: q.Payload, Job: q.Job, Deadline: q.Deadline, ArrivedAt: q.ArrivedAt, FirstSentAt: q.FirstSentAt,
			EndedByCallback: q.endedByCallback, Closed: q.closed, ClientLeft: q.clientLeft, Reported: q.reported, Outcome: q.outcome, Response: q.response}
		for _, a := range q.attempts {
			o.Attempts = append(o.Attempts, OpenAttempt{Worker: a.Worker, EndpointID: a.EndpointID, ExpiresAt: a.At, Stage: a.Stage, Started: a.started,
				Ended: a.ended, Cancelling: a.cancelling, Result: a.result})
		}
		open = append(open, o)
	}
	return e, open
}

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
	q := &Request{ID: o.ID, CallID: o.CallID, Payload: o.Payload, Job: o.Job, Deadline: o.Deadline, ArrivedAt: o.ArrivedAt, FirstSentAt: o.FirstSentAt,
		responder: asker, endedByCallback: o.EndedByCallback, closed: o.Closed, clientLeft: o.ClientLeft, reported: o.Reported, outcome: o.Outcome, response: o.Response}
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
		a := &Attempt{Request: q, Number: i, Worker: x.Worker, EndpointID: x.EndpointID, Stage: x.Stage, started: x.Started, ended: x.Ended,
			result: x.Result, cancelling: x.Cancelling, cancelReason: ReasonCancelled}
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

// InFlightAttempt finds an attempt that is out.
func (l *Table) InFlightAttempt(query uint64, number int) *Attempt {
	if q := l.requests[query]; q != nil && number >= 0 && number < len(q.attempts) && !q.attempts[number].ended {
		return q.attempts[number]
	}
	return nil
}

// Request finds a query that is not forgotten.
func (l *Table) Request(id uint64) *Request { return l.requests[id] }

// absentClient stands for a client that nobody can answer.
type absentClient struct{}

func (absentClient) RespondResult([]byte)          {}
func (absentClient) RespondRejected(time.Duration) {}
func (absentClient) RespondFailed()                {}

// knownState is what a module is told that knows nothing, or goes on elsewhere: the bans, and the host group as it is held.
func (l *Table) knownState() (events []dispatch.Event) {
	for _, id := range slices.Sorted(maps.Keys(l.cordoned)) {
		events = append(events, dispatch.Cordoned{Worker: id})
	}
	list := dispatch.WorkerList{Kind: dispatch.ListCached, Revision: l.revision}
	for _, w := range l.listed {
		list.Workers = append(list.Workers, w)
	}
	slices.SortFunc(list.Workers, func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, list)
}
