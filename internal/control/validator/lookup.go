package validator

import (
	"time"

	"valvecove/internal/control/message"
)

// CanReject reports whether a request may be rejected. Whoever gives it up rejects it then, and else fails it.
func (v *Validator) CanReject(id uint64) bool {
	req := v.requests[id]
	return req != nil && req.canReject()
}

// InFlight returns the number of a request's attempts that are in flight.
func (v *Validator) InFlight(id uint64) int {
	if req := v.requests[id]; req != nil {
		return req.inFlight
	}
	return 0
}

// AppendAttempts appends the attempts of a request to dst, as a request summary has them.
func (v *Validator) AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt {
	v.advance(now)
	req := v.requests[id]
	if req == nil {
		return dst
	}
	for i := range req.attempts {
		a := &req.attempts[i]
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
