package membership

import "time"

const (
	maxOwnTimerLag      = 20 * time.Millisecond // a process whose timers run later than this is late itself
	maxLateness         = 8
	latenessDecayPeriod = time.Second // one sign of lateness counts for this long
)

// selfHealth counts how often this process's timers ran late recently; its timeouts are extended by that.
type selfHealth struct {
	lateness  int // signs that count still, at most maxLateness
	changedAt time.Duration
}

// recordLateness records a sign of lateness.
func (s *selfHealth) recordLateness(now time.Duration) {
	s.lateness = min(s.lateness+1, maxLateness)
	s.changedAt = now
}

// decay discards signs of lateness that are older than latenessDecayPeriod.
func (s *selfHealth) decay(now time.Duration) {
	for s.lateness > 0 && now-s.changedAt >= latenessDecayPeriod {
		s.lateness--
		s.changedAt += latenessDecayPeriod
	}
}

// scale returns a timeout extended by the signs of lateness.
func (s *selfHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+s.lateness)
}
