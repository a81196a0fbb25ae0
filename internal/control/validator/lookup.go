package validator

import (
	"time"

	"valvecove/internal/control/message"
)

// CanReject reports whether a request can safely be rejected when it is given up. Otherwise it must be failed.
func (v *Validator) CanReject(id uint64) bool {
	request := v.requests[id]
	return request != nil && request.canReject()
}

// InFlight returns the number of attempts of a request that are in flight.
func (v *Validator) InFlight(id uint64) int {
	if request := v.requests[id]; request != nil {
		return request.inFlight
	}
	return 0
}

// AppendAttempts appends the attempts of a request to dst, in the order in which they were sent.
func (v *Validator) AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt {
	v.advance(now)
	request := v.requests[id]
	if request == nil {
		return dst
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		past := message.PastAttempt{
			WorkerID:         attempt.workerID,
			SentAgo:          v.now - attempt.sentAt,
			Ended:            attempt.ended,
			Result:           attempt.result,
			PossiblyExecuted: attempt.possiblyExecuted(),
		}
		if attempt.startedAt > 0 {
			past.StartedAgo = max(v.now-attempt.startedAt, 1)
		}
		dst = append(dst, past)
	}
	return dst
}

// RequestCount returns the number of known requests, including closed ones with attempts in flight.
func (v *Validator) RequestCount() int { return len(v.requests) }
