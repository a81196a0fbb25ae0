package requests

import (
	"slices"
	"time"
)

// What another process hands over has instants of its own clock. Here they become those of a clock that is ahead of it, or
// behind if ahead is negative; 0 stands for no instant, and stays.

// MoveInstant returns an instant as a clock has it that is ahead of the one that it is of.
func MoveInstant(at, ahead time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at + ahead
}

// OnClock returns the state with its instants moved.
func (s State) OnClock(ahead time.Duration) State {
	s.PolicyTimer = MoveInstant(s.PolicyTimer, ahead)
	s.LeastAge = MoveInstant(s.LeastAge, ahead)
	if ahead != 0 {
		s.Starts = s.allStarts()
		for i := range s.Starts {
			s.Starts[i].At = MoveInstant(s.Starts[i].At, ahead)
		}
	}
	return s
}

// OnClock returns the request with its instants moved.
func (o OpenRequest) OnClock(ahead time.Duration) OpenRequest {
	o.Deadline = MoveInstant(o.Deadline, ahead)
	o.ArrivedAt = MoveInstant(o.ArrivedAt, ahead)
	o.FirstSentAt = MoveInstant(o.FirstSentAt, ahead)
	o.Attempts = slices.Clone(o.Attempts)
	for i := range o.Attempts {
		o.Attempts[i].ExpiresAt = MoveInstant(o.Attempts[i].ExpiresAt, ahead)
	}
	return o
}
