package scheduler

import (
	"time"

	"valvecove/internal/eventloop"
)

const (
	startTimeout        = 9 * time.Second // a scheduler must be ready after 10 s
	addressInUseTimeout = 3 * time.Second // the previous process may just have closed its socket
	minStartBackoff     = 5 * time.Millisecond
	maxStartBackoff     = 200 * time.Millisecond
)

// startup retries what may fail for a moment while a process starts.
type startup struct {
	clock     func() time.Duration // monotonic
	startedAt time.Duration
}

func newStartup(clock func() time.Duration) startup { return startup{clock: clock, startedAt: clock()} }

// retry calls open until it succeeds, or until the time that an error of its kind may last has passed since the start. It sleeps
// between the calls: nobody is served yet.
func (s startup) retry(open func() error) error {
	for backoff := minStartBackoff; ; backoff = min(2*backoff, maxStartBackoff) {
		err := open()
		if err == nil || s.clock()-s.startedAt+backoff > timeoutAfter(err) {
			return err
		}
		time.Sleep(backoff)
	}
}

// timeoutAfter returns how long after the start a call is retried that has failed with an error.
func timeoutAfter(err error) time.Duration {
	class := eventloop.ClassOf(err)
	switch {
	case class.IsMomentary():
		return startTimeout
	case class == eventloop.ErrorAddressInUse:
		return addressInUseTimeout
	default:
		return 0
	}
}
