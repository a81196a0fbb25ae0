package requests

import (
	"time"

	"valvecove/dispatch"
)

// The types of this file, Payload and Endpoint are transferred to processes of other builds: the names in their tags and the
// order of their fields are part of the stored form.

// State is a table's serialisable state, without its requests.
type State struct {
	LastID      uint64        `json:"LastID"` // of the requests
	PolicyTimer time.Duration `json:"Timer"`  // 0: none
	Revision    int64         `json:"Generation"`
	Endpoints   []Endpoint    `json:"Hosts"`  // all remembered endpoints
	ListedIDs   []string      `json:"Listed"` // IDs of the endpoints in the endpoint list
	CordonedIDs []string      `json:"Out"`

	// Builds that use start times as they are listed neither write nor read the following fields.

	Starts   []WorkerStart `json:"Starts,omitempty"`   // start times that differ from the listed ones
	LeastAge time.Duration `json:"LeastAge,omitempty"` // see startTimes.leastAge; 0: not known

	// ExecutedIDs are the remembered call IDs of requests that are possibly executed. Earlier builds neither write nor read them.
	ExecutedIDs []ExecutedID `json:"Executed,omitempty"`
}

// WorkerStart is when a worker started.
type WorkerStart struct {
	EndpointID string        `json:"Host"`
	ListedMs   int64         `json:"Listed"` // as listed by discovery, Unix time in milliseconds
	At         time.Duration `json:"At"`     // by the process's clock
}

// OpenRequest is the serialisable form of a request that is open or has attempts in flight. The requestState is encoded by its
// booleans.
type OpenRequest struct {
	ID                 uint64        `json:"ID"`
	CallID             string        `json:"Call"`
	Payload            Payload       `json:"Parcel"`
	Job                dispatch.Job  `json:"Job"`
	Deadline           time.Duration `json:"Deadline"`
	ArrivedAt          time.Duration `json:"Came"`
	FirstSentAt        time.Duration `json:"Sent"` // 0: none of its attempts was started
	Attempts           []OpenAttempt `json:"Attempts"`
	EndedByCallback    []string      `json:"Noted"`
	Closed             bool          `json:"Closed"` // not open
	ClientDisconnected bool          `json:"Left"`
	Reported           bool          `json:"Over"` // the observers were notified that it has ended
	Outcome            Outcome       `json:"Outcome"`
	Response           Response      `json:"Answer"`
}

// OpenAttempt is the serialisable state of an attempt of an OpenRequest. Its number is its index there.
type OpenAttempt struct {
	Worker     uint64          `json:"Worker"`
	EndpointID string          `json:"From"`
	ExpiresAt  time.Duration   `json:"Until"`
	Stage      Stage           `json:"Stage"`
	Started    bool            `json:"Sent"`
	Ended      bool            `json:"Ended"`
	Cancelling bool            `json:"Withdrawing"` // its worker has not confirmed yet
	Result     dispatch.Result `json:"Outcome"`     // if it has ended

	// Expired is set if it is being cancelled because it expired. Earlier builds neither write nor read it.
	Expired bool `json:"Expired,omitempty"`
}

// Snapshot returns the state that another process restores by TakeOver, and the requests in order of admission. FlushEvents must
// have returned true, as pending events are not included. The payloads are shared with the table.
func (t *Table) Snapshot() (State, []OpenRequest) {
	state := State{
		LastID:      t.requests.lastID,
		PolicyTimer: t.policy.timer,
		CordonedIDs: t.Cordoned(),
		ExecutedIDs: t.executed.entries,
	}
	t.endpoints.addToState(&state)
	var open []OpenRequest
	for _, request := range t.requests.inAdmissionOrder() {
		open = append(open, request.snapshot())
	}
	return state, open
}

// snapshot returns the serialisable state of the request.
func (r *Request) snapshot() OpenRequest {
	open := OpenRequest{
		ID:                 r.ID,
		CallID:             r.CallID,
		Payload:            r.Payload,
		Job:                r.Job,
		Deadline:           r.Deadline,
		ArrivedAt:          r.ArrivedAt,
		FirstSentAt:        r.FirstSentAt,
		EndedByCallback:    r.endedByCallback,
		Closed:             r.IsClosed(),
		ClientDisconnected: r.state == requestDisconnected,
		Reported:           r.state == requestEnded,
		Outcome:            r.outcome,
		Response:           r.response,
	}
	for _, attempt := range r.attempts {
		open.Attempts = append(open.Attempts, attempt.snapshot())
	}
	return open
}

// snapshot returns the serialisable state of the attempt.
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
		Expired:    a.state == attemptCancelling && a.cancelReason == ReasonTimeout,
	}
}

// state returns the state of the request that is encoded by the booleans.
func (o *OpenRequest) state() requestState {
	switch {
	case !o.Closed:
		return requestOpen
	case o.Reported:
		return requestEnded
	case o.ClientDisconnected:
		return requestDisconnected
	}
	return requestResponded
}

// cancelReason returns why the attempt is being cancelled, if it is.
func (o *OpenAttempt) cancelReason() Reason {
	if o.Expired {
		return ReasonTimeout
	}
	return ReasonCancelled
}

// state returns the state of the attempt that is encoded by the booleans.
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
