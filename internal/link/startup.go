package link

import (
	"time"

	"valvecove/internal/eventloop"
)

const (
	startTimeout        = 9 * time.Second // for what a start opens; a scheduler is to be ready after 10 s
	addressInUseTimeout = 3 * time.Second // for an address to become free that an earlier process has just let go of
	minStartBackoff     = 5 * time.Millisecond
	maxStartBackoff     = 200 * time.Millisecond
)

// isMomentary reports whether what failed may succeed in a moment.
func isMomentary(err error) bool { return eventloop.ClassOf(err).IsMomentary() }

// startup opens what a process needs before it serves, in the face of failures of a moment.
type startup struct {
	clock     func() time.Duration // monotonic
	startedAt time.Duration
}

func newStartup(clock func() time.Duration) startup { return startup{clock: clock, startedAt: clock()} }

// retry calls open again while it fails for a moment, in the time that a start has. Nobody is served yet: it sleeps meanwhile.
func (s startup) retry(open func() error) error {
	for backoff := minStartBackoff; ; backoff = min(2*backoff, maxStartBackoff) {
		err := open()
		if err == nil || s.clock()-s.startedAt+backoff > timeoutAfter(err) {
			return err
		}
		time.Sleep(backoff)
	}
}

// timeoutAfter returns for how long after the start it is of use to try again after an error.
func timeoutAfter(err error) time.Duration {
	switch {
	case isMomentary(err):
		return startTimeout
	case eventloop.ClassOf(err) == eventloop.ErrorAddressInUse:
		return addressInUseTimeout
	default:
		return 0
	}
}
