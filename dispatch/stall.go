package dispatch

import "time"

// minStall is the least delay of the caller's timer that shows that this process was stalled. What was measured
// meanwhile says nothing of workers.
const minStall = 20 * time.Millisecond

// stallDetector detects stalls of this process by how late the caller's timer fires.
type stallDetector struct {
	endedAt time.Duration // when the latest stall was noticed; 0: none was
	length  time.Duration
}

// handleTimer measures a stall when the caller's timer fires that was due at an instant; 0: none was set.
func (s *stallDetector) handleTimer(dueAt, now time.Duration) {
	if late := now - dueAt; dueAt > 0 && late > minStall {
		s.endedAt = now
		s.length = late
	}
}

// justEnded reports whether the latest stall was noticed at this instant: events that occurred meanwhile may not
// have been read yet.
func (s *stallDetector) justEnded(now time.Duration) bool { return s.endedAt == now }

// spans reports whether this process was stalled while an attempt was in flight.
func (s *stallDetector) spans(attempt *attemptInfo) bool {
	return attempt.sentAt < s.endedAt && s.endedAt > 0
}
