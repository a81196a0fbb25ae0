package dispatch

import "time"

// minStall is the least delay of the caller's timer that counts as a stall of this process. Measurements
// taken during a stall say nothing about workers.
const minStall = 20 * time.Millisecond

// stallDetector detects stalls of this process by how late the caller's timer fires.
type stallDetector struct {
	endedAt time.Duration // when the latest stall was noticed; 0: none was
	length  time.Duration
}

// handleTimer checks for a stall when the caller's timer fires. dueAt is when the timer was due; 0: none was
// set.
func (s *stallDetector) handleTimer(dueAt, now time.Duration) {
	if late := now - dueAt; dueAt > 0 && late > minStall {
		s.endedAt = now
		s.length = late
	}
}

// justEnded reports whether the latest stall was noticed in this step: events that occurred during the stall
// may not have been read yet.
func (s *stallDetector) justEnded(now time.Duration) bool { return s.endedAt == now }

// spans reports whether this process was stalled while an attempt was in flight.
func (s *stallDetector) spans(attempt *attemptInfo) bool {
	return attempt.sentAt < s.endedAt && s.endedAt > 0
}
