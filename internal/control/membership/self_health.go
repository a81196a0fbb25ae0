package membership

import "time"

const (
	maxOwnTimerLag      = 20 * time.Millisecond // a step delayed by more than this counts as late
	maxLateSteps        = 8                     // upper bound of selfHealth.lateSteps
	lateStepDecayPeriod = time.Second           // lateSteps decreases by one per period without a late step
)

// selfHealth counts this process's recent late steps and extends its timeouts accordingly.
type selfHealth struct {
	lateSteps int // number of recent late steps, at most maxLateSteps
	changedAt time.Duration
}

// recordLateStep records a late step.
func (s *selfHealth) recordLateStep(now time.Duration) {
	s.lateSteps = min(s.lateSteps+1, maxLateSteps)
	s.changedAt = now
}

// decay reduces lateSteps by one for each lateStepDecayPeriod since its last change.
func (s *selfHealth) decay(now time.Duration) {
	for s.lateSteps > 0 && now-s.changedAt >= lateStepDecayPeriod {
		s.lateSteps--
		s.changedAt += lateStepDecayPeriod
	}
}

// scale multiplies a timeout by one plus lateSteps.
func (s *selfHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+s.lateSteps)
}
