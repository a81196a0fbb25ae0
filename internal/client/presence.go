package client

import (
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/requests"
)

// A client that has closed its connection must not have an attempt begin later than 0.1 s after that. Its close is known from
// the iteration's events, unless these are old, as the process was held up since, or the client had ended its side before.
const (
	maxEventAge       = 20 * time.Millisecond // older events say nothing of who has left since
	probeInterval     = 50 * time.Millisecond // an earlier answer to a probe says nothing of who has left since
	probeResponseTime = 10 * time.Millisecond // a closed connection answers a probe with a reset within it
)

const endEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// AttemptHold returns how long an attempt that is to be written is held, until it is known whether its client still waits.
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
		return probeResponseTime // the next iteration takes the end in
	}
	return 0
}
