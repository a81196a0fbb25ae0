package requests

import (
	"slices"
	"time"
)

// ShiftInstant converts an instant of one process's clock to the clock of another process, which is ahead by the given difference,
// or behind if that is negative. 0 means no instant, and is returned unchanged.
func ShiftInstant(at, ahead time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at + ahead
}

// OnClock returns the state with all instants converted by ShiftInstant.
func (s State) OnClock(ahead time.Duration) State {
	s.PolicyTimer = ShiftInstant(s.PolicyTimer, ahead)
	s.LeastAge = ShiftInstant(s.LeastAge, ahead)
	s.ExecutedIDs = slices.Clone(s.ExecutedIDs)
	for i := range s.ExecutedIDs {
		s.ExecutedIDs[i].Until = ShiftInstant(s.ExecutedIDs[i].Until, ahead)
	}
	if ahead != 0 {
		s.Starts = s.allStarts()
		for i := range s.Starts {
			s.Starts[i].At = ShiftInstant(s.Starts[i].At, ahead)
		}
	}
	return s
}

// OnClock returns the request with all instants converted by ShiftInstant.
func (o OpenRequest) OnClock(ahead time.Duration) OpenRequest {
	o.Deadline = ShiftInstant(o.Deadline, ahead)
	o.ArrivedAt = ShiftInstant(o.ArrivedAt, ahead)
	o.FirstSentAt = ShiftInstant(o.FirstSentAt, ahead)
	o.Attempts = slices.Clone(o.Attempts)
	for i := range o.Attempts {
		o.Attempts[i].ExpiresAt = ShiftInstant(o.Attempts[i].ExpiresAt, ahead)
	}
	return o
}
