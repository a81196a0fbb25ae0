package client

import (
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/requests"
)

// No attempt may begin later than 0.1 s after its client has closed the connection. Events of the present iteration show the
// close, unless the process was delayed since, or the client had closed its sending side before.
const (
	maxEventAge       = 20 * time.Millisecond // older events are not relied upon
	probeInterval     = 50 * time.Millisecond // after this a client is probed again
	probeResponseTime = 10 * time.Millisecond // within which a closed connection responds to a probe with a reset
)

const endEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// AttemptHold returns for how long an attempt that is about to be written is held, until it is known whether its client still
// waits. It may find that the client has disconnected, which ends the attempt.
func AttemptHold(attempt *requests.Attempt) time.Duration {
	slot, ok := attempt.Request.Responder().(*responseSlot)
	if !ok || !slot.connection.IsOpen() {
		return 0
	}
	return slot.connection.attemptHold()
}

func (c *connection) attemptHold() time.Duration {
	loop := c.loop()
	now := loop.Clock()
	switch {
	case c.halfClosed && now-c.probedAt > probeInterval:
		c.probe()
		return probeResponseTime
	case !c.halfClosed && now-loop.Now() > maxEventAge && loop.PendingEvents(c.FD(), maxEventAge)&endEvents != 0:
		return probeResponseTime // the next iteration handles the end
	}
	return 0
}
