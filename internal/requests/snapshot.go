package requests

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

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
		o := OpenRequest{
			ID: q.ID, CallID: q.CallID, Payload: q.Payload, Job: q.Job, Deadline: q.Deadline, ArrivedAt: q.ArrivedAt, FirstSentAt: q.FirstSentAt,
			EndedByCallback: q.endedByCallback, Closed: q.closed, ClientLeft: q.clientLeft, Reported: q.reported, Outcome: q.outcome, Response: q.response,
		}
		for _, a := range q.attempts {
			o.Attempts = append(o.Attempts, OpenAttempt{
				Worker: a.Worker, EndpointID: a.EndpointID, ExpiresAt: a.At, Stage: a.Stage, Started: a.started,
				Ended: a.ended, Cancelling: a.cancelling, Result: a.result,
			})
		}
		open = append(open, o)
	}
	return e, open
}
