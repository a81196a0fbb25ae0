package scheduler

import (
	"errors"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart/transport"
)

const (
	startTimeout        = 9 * time.Second // a scheduler must be ready within 10 s
	addressInUseTimeout = 3 * time.Second // the address of a process that has just ended may still be in use
	minStartBackoff     = 5 * time.Millisecond
	maxStartBackoff     = 200 * time.Millisecond
)

// ErrStopped is returned by Open if a signal ends the process while a failed step of its start is retried.
var ErrStopped = errors.New("ended by a signal during the start")

// startup retries steps that may fail temporarily while a process starts.
type startup struct {
	clock     func() time.Duration // monotonic
	startedAt time.Duration
	stop      <-chan struct{} // closed when a signal to end the process is received; nil: none is expected
}

func newStartup(clock func() time.Duration, stop <-chan struct{}) startup {
	return startup{clock: clock, startedAt: clock(), stop: stop}
}

// retry calls open until it succeeds, or until the timeout for its kind of error has passed since the start. It blocks between
// the calls, as no client is served yet. If a signal to end the process is received meanwhile, it returns ErrStopped.
func (s startup) retry(open func() error) error {
	for backoff := minStartBackoff; ; backoff = min(2*backoff, maxStartBackoff) {
		err := open()
		if err == nil || s.clock()-s.startedAt+backoff > retryTimeout(err) {
			return err
		}
		select {
		case <-s.stop:
			return ErrStopped
		case <-time.After(backoff):
		}
	}
}

// retryTimeout returns the time after the start until which a call that failed with err is retried.
func retryTimeout(err error) time.Duration {
	class := eventloop.ClassOf(err)
	switch {
	case errors.Is(err, transport.ErrOwned): // it can be replaced soon, if it has just taken over itself
		return startTimeout
	case class.IsMomentary():
		return startTimeout
	case class == eventloop.ErrorAddressInUse:
		return addressInUseTimeout
	default:
		return 0
	}
}
