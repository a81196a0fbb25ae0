package validator

import (
	"time"

	"valvecove/internal/control/message"
)

// CanReject reports whether a request may be rejected. Whoever gives it up rejects it then, and else fails it.
func (v *Validator) CanReject(id uint64) bool {
	r := v.requests[id]
	return r != nil && r.canReject()
}

// InFlight returns the number of a request's attempts that are in flight.
func (v *Validator) InFlight(id uint64) int {
	if r := v.requests[id]; r != nil {
		return r.inFlight
	}
	return 0
}

// AppendAttempts appends the attempts of a request to dst, as a request summary has them.
func (v *Validator) AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt {
	v.advance(now)
	r := v.requests[id]
	if r == nil {
		return dst
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		past := message.PastAttempt{
			WorkerID:         a.workerID,
			SentAgo:          v.now - a.sentAt,
			Ended:            a.ended,
			Result:           a.result,
			PossiblyExecuted: a.possiblyExecuted(),
		}
		if a.startedAt > 0 {
			past.StartedAgo = max(v.now-a.startedAt, 1)
		}
		dst = append(dst, past)
	}
	return dst
}

// RequestCount returns the number of known requests, including closed ones with attempts in flight.
func (v *Validator) RequestCount() int { return len(v.requests) }
