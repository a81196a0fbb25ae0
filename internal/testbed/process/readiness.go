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

func (p *readinessPoll) stop() {
	p.stopped = true
	p.scheduler.driver.stop(p.timer)
	p.reset()
}

func (p *readinessPoll) pollAfter(after time.Duration) {
	p.scheduler.driver.stop(p.timer)
	p.waiting = false
	p.timer = p.scheduler.driver.after(after, p.poll)
}

func (p *readinessPoll) poll() {
	loop := p.scheduler.driver
	if p.closed || p.poller == nil {
		if err := loop.dial(&p.socketConn, loop.addresses.client(0), p.scheduler.listen, p); err != nil {
			if p.closed = true; !loop.failIfLocal(err) {
				p.pollAfter(readyPollFirst)
			}
			return
		}
	}
	p.waiting = true
	p.timer = loop.after(readyPollTimeout, func() {
		p.reset()
		p.pollAfter(readyPollFirst)
	})
	loop.writeBuffer = append(http1.AppendRequestStart(loop.writeBuffer[:0], "GET", "/up", p.scheduler.listen.String()), "\r\n"...)
	p.write(loop.writeBuffer)
}

func (p *readinessPoll) dataReceived(int) {
	response, _, n, err := p.scheduler.driver.reader.response(p.received, false)
	if err != nil || n > 0 && !p.waiting {
		p.reset()
		p.connClosed(err)
		return
	}
	if n == 0 {
		return
	}
	p.consume(n)
	if response.Close {
		p.reset()
	}
	if p.responseReceived(response.StatusCode == 200); !p.stopped {
		p.pollAfter(readyPollInterval)
	}
}

func (p *readinessPoll) connClosed(error) {
	if !p.stopped && p.waiting {
		p.pollAfter(readyPollFirst)
	}
}

// responseReceived reports the readiness to the environment if it has changed.
func (p *readinessPoll) responseReceived(up bool) {
	if s := p.scheduler; up != s.ready {
		s.ready, s.everReady = up, s.everReady || up
		if up {
			s.driver.addOutput(s.number, simapi.Ready{})
		} else {
			s.driver.addOutput(s.number, simapi.Unready{})
		}
	}
}
