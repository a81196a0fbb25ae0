package scheduler

import (
	"errors"
	"time"

	"valvecove/internal/eventloop"
)

const (
	startTimeout        = 9 * time.Second // a scheduler must be ready after 10 s
	addressInUseTimeout = 3 * time.Second // the previous process may just have closed its socket
	minStartBackoff     = 5 * time.Millisecond
	maxStartBackoff     = 200 * time.Millisecond
)

// ErrStopped is returned by Open if a signal ends the process while what is needed for its start fails.
var ErrStopped = errors.New("ended by a signal during the start")

// startup retries what may fail for a moment while a process starts.
type startup struct {
	clock     func() time.Duration // monotonic
	startedAt time.Duration
	stop      <-chan struct{} // closed by a signal to end the process; nil: none is expected
}

func newStartup(clock func() time.Duration, stop <-chan struct{}) startup {
	return startup{clock: clock, startedAt: clock(), stop: stop}
}

// retry calls open until it succeeds, or until the time that an error of its kind may last has passed since the start. It blocks
// between the calls: nobody is served yet. If a signal ends the process meanwhile, it returns ErrStopped.
func (s startup) retry(open func() error) error {
	for backoff := minStartBackoff; ; backoff = min(2*backoff, maxStartBackoff) {
		err := open()
		if err == nil || s.clock()-s.startedAt+backoff > timeoutAfter(err) {
			return err
		}
		select {
		case <-s.stop:
			return ErrStopped
		case <-time.After(backoff):
		}
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
