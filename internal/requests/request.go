package requests

import (
	"fmt"
	"slices"
	"time"

	"valvecove/dispatch"
)

// Payload is what a worker is sent for a request, as the client sent it. Its body is not copied and must not be
// changed.
type Payload struct {
	Method         string `json:"Verb"`
	Path           string `json:"Path"`
	IdempotencyKey string `json:"Key"`
	Body           []byte `json:"Body"`
}

// Responder is the frontend's side of a request. Exactly one of its methods is called, once, unless the client
// disconnects first; then none is.
type Responder interface {
	// RespondResult passes on a worker's result.
	RespondResult(result []byte)
	// RespondRejected tells the client that the request was not executed, and may be retried after that time.
	RespondRejected(retryAfter time.Duration)
	// RespondFailed tells the client that the request failed; it is possibly executed.
	RespondFailed()
}

// Response is the kind of final response that a request got.
type Response int

// The kinds of response. A request that is open, or whose client disconnected, has none.
const (
	ResponseNone Response = iota
	ResponseResult
	ResponseRejected
	ResponseFailed
)

// requestState is the state of a request from its admission until it is forgotten.
type requestState uint8

const (
	requestOpen         requestState = iota // it is owed a response
	requestResponded                        // it has its response, and the observers do not know yet
	requestDisconnected                     // its client has disconnected, and an attempt may still be in flight
	requestEnded                            // the observers know; an attempt may still be in flight
)

// String names the state.
func (s requestState) String() string {
	switch s {
	case requestOpen:
		return "open"
	case requestResponded:
		return "responded"
	case requestDisconnected:
		return "disconnected"
	case requestEnded:
		return "ended"
	}
	return fmt.Sprintf("requestState(%d)", uint8(s))
}

// canBecome reports whether a request may go from this state to the next one.
func (s requestState) canBecome(next requestState) bool {
	switch s {
	case requestOpen:
		return next == requestResponded || next == requestDisconnected
	case requestResponded, requestDisconnected:
		return next == requestEnded
	}
	return false
}

// Request is a client's request. Its exported fields are set at admission, except FirstSentAt.
type Request struct {
	ID          uint64 // in this table; never used twice, also not after a hot restart
	CallID      string // the client's id for it
	Payload     Payload
	Job         dispatch.Job
	Deadline    time.Duration
	ArrivedAt   time.Duration
	FirstSentAt time.Duration // 0: no attempt was handed to the transport

	state           requestState
	responder       Responder
	response        Response
	attempts        []*Attempt // by Attempt.Number
	inFlight        int        // attempts that have not ended
	endedByCallback []string   // endpoints whose callback ended an attempt without a result
	outcome         Outcome    // of its attempts so far
}

// IsClosed reports whether nobody waits for the response: it was given, or the client has disconnected.
func (r *Request) IsClosed() bool { return r.state != requestOpen }

// Response is the kind of response that the request got.
func (r *Request) Response() Response { return r.response }

// Outcome returns how a closed request ended. One that was closed while an attempt was in flight has timed out, as
// nobody waits for that attempt any more; one of which nothing was ever sent counts as rejected.
func (r *Request) Outcome() Outcome {
	switch {
	case r.outcome == OutcomeServed:
		return OutcomeServed
	case r.inFlight > 0:
		return OutcomeTimedOut
	case r.outcome == "":
		return OutcomeRejected
	}
	return r.outcome
}

// Responder is the frontend's side of the request, as it was given at admission.
func (r *Request) Responder() Responder { return r.responder }

// become makes the transition to a state, and reports whether it is one that may follow. If not, nothing changes.
func (r *Request) become(next requestState) bool {
	if !r.state.canBecome(next) {
		return false
	}
	r.state = next
	return true
}

// mergeOutcome takes in how an attempt ended. An attempt that is possibly executed outweighs a later one that is not.
func (r *Request) mergeOutcome(outcome Outcome) {
	if r.outcome != OutcomeServed && (r.outcome.isNotExecuted() || !outcome.isNotExecuted()) {
		r.outcome = outcome
	}
}

// inFlightAttempt returns the attempt of a number, or nil if there is none or it has ended.
func (r *Request) inFlightAttempt(number int) *Attempt {
	if number < 0 || number >= len(r.attempts) || r.attempts[number].HasEnded() {
		return nil
	}
	return r.attempts[number]
}

// hasAmbiguousCallbacks reports whether a callback from the endpoint of an attempt may be about an earlier one there.
func (r *Request) hasAmbiguousCallbacks(attempt *Attempt) bool {
	return slices.ContainsFunc(r.attempts[:attempt.Number], func(earlier *Attempt) bool {
		return earlier.EndpointID == attempt.EndpointID && earlier.mayStillCallBack()
	})
}
