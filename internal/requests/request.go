package requests

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// Responder is the side that a query came from. Of the three answers it gets exactly one, unless it is gone.
type Responder interface {
	RespondResult(result []byte)
	RespondRejected(after time.Duration) // refused: trying again is harmless
	RespondFailed()
}

// Payload is what the worker node is handed for a query, as it came.
type Payload struct {
	Method         string `json:"Verb"`
	Path           string `json:"Path"`
	IdempotencyKey string `json:"Key"`
	Body           []byte `json:"Body"`
}

// Request is owed exactly one final answer, or has attempts that are still out.
type Request struct {
	ID              uint64
	CallID          string
	Payload         Payload
	Job             dispatch.Job
	Deadline        time.Duration
	ArrivedAt       time.Duration
	FirstSentAt     time.Duration // first; 0: not yet
	responder       Responder
	attempts        []*Attempt
	inFlight        int
	endedByCallback []string // hosts whose note ended an attempt of it
	closed          bool
	clientLeft      bool     // closed by its client
	reported        bool     // and the observers have been told
	response        Response // which of the three it got
	outcome         Outcome  // what its attempts have come to so far
}

// IsClosed tells whether a query has its answer, or has lost its client.
func (q *Request) IsClosed() bool { return q.closed }

// hasAmbiguousCallbacks tells whether what its host tells of an attempt may be meant for one before it.
func (q *Request) hasAmbiguousCallbacks(a *Attempt) bool {
	return slices.ContainsFunc(q.attempts[:a.Number], func(o *Attempt) bool { return o.EndpointID == a.EndpointID && o.mayStillCallBack() })
}

// mergeOutcome takes in how an attempt ended. What may have run counts for more than a later attempt that never did.
func (q *Request) mergeOutcome(o Outcome) {
	if q.outcome != OutcomeServed && (q.outcome.isNotExecuted() || !o.isNotExecuted()) {
		q.outcome = o
	}
}

// Outcome is how a query ended that is over. One that was answered while an attempt was still out timed out:
// nobody waits for that any more. One of which nothing was ever sent was turned away.
func (q *Request) Outcome() Outcome {
	switch {
	case q.outcome == OutcomeServed:
		return OutcomeServed
	case q.inFlight > 0:
		return OutcomeTimedOut
	case q.outcome == "":
		return OutcomeRejected
	}
	return q.outcome
}

// Response is which of the three final answers a query got.
type Response int

// The answers. A query that its client has left stays unanswered.
const (
	ResponseNone Response = iota
	ResponseResult
	ResponseRejected
	ResponseFailed
)

// Response tells which answer a query got.
func (q *Request) Response() Response { return q.response }
