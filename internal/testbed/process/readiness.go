package process

import (
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/testbed/simapi"
)

// readinessPoll polls GET /up of a scheduler's process, and reports changes of its readiness to the environment.
type readinessPoll struct {
	socketConn
	scheduler *scheduler
	timer     *timer // for the next poll, or the timeout of the current one
	waiting   bool   // a poll is in flight
	stopped   bool
}

func (s *scheduler) pollReady() {
	s.readiness = &readinessPoll{scheduler: s}
	s.readiness.poll()
}

func (u *readinessPoll) stop() {
	u.stopped = true
	u.scheduler.driver.stop(u.timer)
	u.reset()
}

func (u *readinessPoll) pollAfter(after time.Duration) {
	u.scheduler.driver.stop(u.timer)
	u.waiting = false
	u.timer = u.scheduler.driver.after(after, u.poll)
}

func (u *readinessPoll) poll() {
	loop := u.scheduler.driver
	if u.closed || u.poller == nil {
		if err := loop.dial(&u.socketConn, loop.addresses.client(0), u.scheduler.listen, u); err != nil {
			if u.closed = true; !loop.failIfLocal(err) {
				u.pollAfter(readyPollFirst)
			}
			return
		}
	}
	u.waiting = true
	u.timer = loop.after(readyPollTimeout, func() {
		u.reset()
		u.pollAfter(readyPollFirst)
	})
	loop.writeBuffer = append(http1.AppendRequestStart(loop.writeBuffer[:0], "GET", "/up", u.scheduler.listen.String()), "\r\n"...)
	u.write(loop.writeBuffer)
}

func (u *readinessPoll) dataReceived(int) {
	response, _, n, err := u.scheduler.driver.reader.response(u.received, false)
	if err != nil || n > 0 && !u.waiting {
		u.reset()
		u.connClosed(err)
		return
	}
	if n == 0 {
		return
	}
	u.consume(n)
	if response.Close {
		u.reset()
	}
	if u.responseReceived(response.StatusCode == 200); !u.stopped {
		u.pollAfter(readyPollInterval)
	}
}

func (u *readinessPoll) connClosed(error) {
	if !u.stopped && u.waiting {
		u.pollAfter(readyPollFirst)
	}
}

// responseReceived reports the readiness to the environment if it has changed.
func (u *readinessPoll) responseReceived(up bool) {
	if s := u.scheduler; up != s.ready {
		s.ready, s.everReady = up, s.everReady || up
		if up {
			s.driver.addOutput(s.number, simapi.Ready{})
		} else {
			s.driver.addOutput(s.number, simapi.Unready{})
		}
	}
}
