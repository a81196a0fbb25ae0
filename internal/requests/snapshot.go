package requests

import (
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// The types of this file, Payload and Endpoint are handed to processes of other builds: the names in their tags and the
// order of their fields are part of that form.

// State is a table's serialisable state, without its requests.
type State struct {
	LastID      uint64        `json:"LastID"` // of the requests
	PolicyTimer time.Duration `json:"Timer"`  // 0: none
	Revision    int64         `json:"Generation"`
	Endpoints   []Endpoint    `json:"Hosts"`  // all that are remembered
	ListedIDs   []string      `json:"Listed"` // those that are in the endpoint list
	CordonedIDs []string      `json:"Out"`

	// What follows is missing from builds that take start times as they are told, and is ignored by them.

	Starts   []WorkerStart `json:"Starts,omitempty"`   // that are not as they were told
	LeastAge time.Duration `json:"LeastAge,omitempty"` // at which a start was told, by the process's clock; 0: not known
}

// WorkerStart is when a worker started.
type WorkerStart struct {
	EndpointID string        `json:"Host"`
	ListedMs   int64         `json:"Listed"` // by discovery, as Unix time in milliseconds
	At         time.Duration `json:"At"`     // by the process's clock
}

// OpenRequest is the serialisable state of a request that is owed a response or has attempts in flight. Its booleans
// and Response stand for the state of the request.
type OpenRequest struct {
	ID              uint64        `json:"ID"`
	CallID          string        `json:"Call"`
	Payload         Payload       `json:"Parcel"`
	Job             dispatch.Job  `json:"Job"`
	Deadline        time.Duration `json:"Deadline"`
	ArrivedAt       time.Duration `json:"Came"`
	FirstSentAt     time.Duration `json:"Sent"` // 0: none of its attempts was started
	Attempts        []OpenAttempt `json:"Attempts"`
	EndedByCallback []string      `json:"Noted"`
	Closed          bool          `json:"Closed"` // it is owed no response
	ClientLeft      bool          `json:"Left"`
	Reported        bool          `json:"Over"` // the observers know that it has ended
	Outcome         Outcome       `json:"Outcome"`
	Response        Response      `json:"Answer"`
}

// OpenAttempt is the serialisable state of an attempt of an open request. Its number is its place.
type OpenAttempt struct {
	Worker     uint64          `json:"Worker"`
	EndpointID string          `json:"From"`
	ExpiresAt  time.Duration   `json:"Until"`
	Stage      Stage           `json:"Stage"`
	Started    bool            `json:"Sent"`
	Ended      bool            `json:"Ended"`
	Cancelling bool            `json:"Withdrawing"` // its worker has not confirmed yet
	Result     dispatch.Result `json:"Outcome"`     // if it has ended
}

// Snapshot returns the state with which another process goes on, by TakeOver. Pending events are no part of it:
// FlushEvents must have returned true. The payloads are shared with the table.
func (t *Table) Snapshot() (State, []OpenRequest) {
	state := State{
		LastID:      t.lastID,
		PolicyTimer: t.policyTimer,
		Revision:    t.revision,
		CordonedIDs: t.Cordoned(),
		Starts:      t.endpoints.starts.snapshot(t.endpoints.byNumber),
		LeastAge:    t.endpoints.starts.leastAge,
	}
	for _, worker := range slices.Sorted(maps.Keys(t.endpoints.byNumber)) {
		endpoint := t.endpoints.byNumber[worker]
		state.Endpoints = append(state.Endpoints, endpoint)
		if _, isListed := t.listed[worker]; isListed {
			state.ListedIDs = append(state.ListedIDs, endpoint.ID)
		}
	}
	var open []OpenRequest
	for _, request := range t.inAdmissionOrder() {
		open = append(open, request.snapshot())
	}
	return state, open
}

func (r *Request) snapshot() OpenRequest {
	open := OpenRequest{
		ID:              r.ID,
		CallID:          r.CallID,
		Payload:         r.Payload,
		Job:             r.Job,
		Deadline:        r.Deadline,
		ArrivedAt:       r.ArrivedAt,
		FirstSentAt:     r.FirstSentAt,
		EndedByCallback: r.endedByCallback,
		Closed:          r.IsClosed(),
		ClientLeft:      r.state == requestDisconnected,
		Reported:        r.state == requestEnded,
		Outcome:         r.outcome,
		Response:        r.response,
	}
	for _, attempt := range r.attempts {
		open.Attempts = append(open.Attempts, attempt.snapshot())
	}
	return open
}

func (a *Attempt) snapshot() OpenAttempt {
	return OpenAttempt{
		Worker:     a.Worker,
		EndpointID: a.EndpointID,
		ExpiresAt:  a.At,
		Stage:      a.Stage,
		Started:    a.state != attemptCreated && a.state != attemptNotStarted,
		Ended:      a.HasEnded(),
		Cancelling: a.state == attemptCancelling,
		Result:     a.result,
	}
}

// state is the state that the booleans of an open request stand for.
func (o *OpenRequest) state() requestState {
	switch {
	case !o.Closed:
		return requestOpen
	case o.Reported:
		return requestEnded
	case o.ClientLeft:
		return requestDisconnected
	}
	return requestResponded
}

// state is the state that the booleans of an open attempt stand for.
func (o *OpenAttempt) state() attemptState {
	switch {
	case o.Ended && o.Started:
		return attemptEnded
	case o.Ended:
		return attemptNotStarted
	case o.Cancelling:
		return attemptCancelling
	case o.Started:
		return attemptInFlight
	}
	return attemptCreated
}
