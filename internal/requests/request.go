package requests

import (
	"fmt"
	"slices"
	"time"

	"valvecove/dispatch"
)

// Payload is the part of a client's request that is sent to workers unchanged. The body is shared, not copied, and must not be
// changed.
type Payload struct {
	Method         string `json:"Verb"`
	Path           string `json:"Path"`
	IdempotencyKey string `json:"Key"`
	Body           []byte `json:"Body"`
}

// Responder sends the response to a request to its client. The table calls exactly one of its methods, once, or none if the
// client disconnects first.
type Responder interface {
	// RespondResult sends a worker's result.
	RespondResult(result []byte)
	// RespondRejected responds that the request was not executed, and may be retried after the given time.
	RespondRejected(retryAfter time.Duration)
	// RespondFailed responds that the request has failed. It is possibly executed.
	RespondFailed()
}

// Response is the kind of final response to a request.
type Response int

// Kinds of response. A request that is open, or whose client disconnected, has ResponseNone.
const (
	ResponseNone Response = iota
	ResponseResult
	ResponseRejected
	ResponseFailed
)

// requestState is the state of a request from its admission until it is forgotten.
type requestState uint8

const (
	requestOpen         requestState = iota // its client waits for the response
	requestResponded                        // its response was given, and the observers are not notified yet
	requestDisconnected                     // its client has disconnected, and an attempt may still be in flight
	requestEnded                            // the observers were notified; an attempt may still be in flight
)

// String returns the name of the state.
func (r requestState) String() string {
	switch r {
	case requestOpen:
		return "open"
	case requestResponded:
		return "responded"
	case requestDisconnected:
		return "disconnected"
	case requestEnded:
		return "ended"
	}
	return fmt.Sprintf("requestState(%d)", uint8(r))
}

// canTransitionTo reports whether the transition from this state to the next one is valid.
func (r requestState) canTransitionTo(next requestState) bool {
	switch r {
	case requestOpen:
		return next == requestResponded || next == requestDisconnected
	case requestResponded, requestDisconnected:
		return next == requestEnded
	}
	return false
}

// Request is a client's request. Its exported fields are set at admission, except FirstSentAt.
type Request struct {
	ID          uint64 // unique in this table and across hot restarts
	CallID      string // the client's ID for it
	Payload     Payload
	Job         dispatch.Job
	Deadline    time.Duration
	ArrivedAt   time.Duration
	FirstSentAt time.Duration // 0: no attempt was passed to the transport

	state           requestState
	responder       Responder
	response        Response
	attempts        []*Attempt // indexed by Attempt.Number
	inFlight        int        // attempts that have not ended
	endedByCallback []string   // IDs of endpoints whose callback ended an attempt without a result
	outcome         Outcome    // of the attempts so far; see mergeOutcome
}

// IsClosed reports whether the response was given or the client has disconnected.
func (r *Request) IsClosed() bool { return r.state != requestOpen }

// Response returns the kind of response that was given.
func (r *Request) Response() Response { return r.response }

// Outcome returns how a closed request ended. A request that was closed while an attempt was in flight has timed out; a request
// without any started attempt counts as rejected.
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

// Responder returns the responder that was given at admission.
func (r *Request) Responder() Responder { return r.responder }

// transitionTo changes the state, and reports whether the transition is valid. An invalid transition changes nothing.
func (r *Request) transitionTo(next requestState) bool {
	if !r.state.canTransitionTo(next) {
		return false
	}
	r.state = next
	return true
}

// mergeOutcome updates the outcome of the request by the outcome of an attempt that has ended. An outcome of an attempt that is
// possibly executed is not replaced by one of a later attempt that is not executed, and OutcomeServed is never replaced.
func (r *Request) mergeOutcome(outcome Outcome) {
	if r.outcome != OutcomeServed && (r.outcome.isNotExecuted() || !outcome.isNotExecuted()) {
		r.outcome = outcome
	}
}

// inFlightAttempt returns the attempt with a number, or nil if there is none or it has ended.
func (r *Request) inFlightAttempt(number int) *Attempt {
	if number < 0 || number >= len(r.attempts) || r.attempts[number].HasEnded() {
		return nil
	}
	return r.attempts[number]
}

// hasAmbiguousCallbacks reports whether a callback of the endpoint of an attempt may be about an earlier attempt there.
func (r *Request) hasAmbiguousCallbacks(attempt *Attempt) bool {
	return slices.ContainsFunc(r.attempts[:attempt.Number], func(earlier *Attempt) bool {
		return earlier.EndpointID == attempt.EndpointID && earlier.mayStillCallBack()
	})
}
