package client

import (
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/requests"
)

// No attempt may be written more than 0.1 s after its client has closed the connection. The events of the current iteration
// report the close, unless the process was delayed since they were gathered, or the client had closed its sending side before.
const (
	maxEventAge       = 20 * time.Millisecond // older events are gathered again
	probeInterval     = 50 * time.Millisecond // minimum time between two probes of a client
	probeResponseTime = 10 * time.Millisecond // time for the reset by which a closed connection responds to a probe
)

const endEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// WriteDelay returns how long to delay the write of an attempt until it is known whether its client is still connected; 0: write
// it now. If it finds that the client has disconnected, the attempt ends.
func WriteDelay(attempt *requests.Attempt) time.Duration {
	slot, ok := attempt.Request.Responder().(*responseSlot)
	if !ok || !slot.connection.IsOpen() {
		return 0
	}
	return slot.connection.writeDelay()
}

func (c *connection) writeDelay() time.Duration {
	loop := c.loop()
	now := loop.Clock()
	switch {
	case c.halfClosed && now-c.probedAt > probeInterval:
		c.probe()
		return probeResponseTime
	case !c.halfClosed && now-loop.Now() > maxEventAge && loop.PendingEvents(c.FD(), maxEventAge)&endEvents != 0:
		return probeResponseTime // the next iteration handles the disconnect
	}
	return 0
}
