package client

import (
	"time"

	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
)

// inputArrivalResolution is the minimum time between two recorded arrivals. It limits their number for a client that sends its
// input byte by byte.
const inputArrivalResolution = 100 * time.Millisecond

// inputArrival is the arrival of some bytes of a connection's input.
type inputArrival struct {
	bytes int
	at    time.Duration
}

// recordInputArrival records the arrival of the input that was added since the last call. Bytes that arrive within
// inputArrivalResolution of the last recorded ones count as arrived with those.
func (c *connection) recordInputArrival() {
	added := len(c.Input())
	for _, arrival := range c.inputArrivals {
		added -= arrival.bytes
	}
	if added <= 0 {
		return
	}
	last := len(c.inputArrivals) - 1
	if last >= 0 && c.loop().Now()-c.inputArrivals[last].at < inputArrivalResolution {
		c.inputArrivals[last].bytes += added
		return
	}
	c.inputArrivals = append(c.inputArrivals, inputArrival{bytes: added, at: c.lastInputTime()})
}

// inputArrivalTime returns when the last of the input's first n bytes arrived.
func (c *connection) inputArrivalTime(n int) time.Duration {
	for _, arrival := range c.inputArrivals {
		n -= arrival.bytes
		if n <= 0 {
			return arrival.at
		}
	}
	return c.lastInputTime()
}

// lastInputTime returns when the last byte of the input arrived.
func (c *connection) lastInputTime() time.Duration {
	if arrivedAt := c.InputArrivedAt(); arrivedAt > 0 {
		return arrivedAt
	}
	return c.loop().Now() // the input was read by a predecessor of a build that does not transfer when
}

// Consume drops the first n bytes of the input, a whole request, and their arrivals.
func (c *connection) Consume(n int) {
	c.Stream.Consume(n)
	c.parsed = http1.Progress{}
	for len(c.inputArrivals) > 0 && c.inputArrivals[0].bytes <= n {
		n -= c.inputArrivals[0].bytes
		c.inputArrivals = c.inputArrivals[1:]
	}
	if len(c.inputArrivals) == 0 {
		c.inputArrivals = nil
		return
	}
	c.inputArrivals[0].bytes -= n
}

// transferredArrivals returns when the first size bytes of the input arrived, in the form in which it is transferred.
func (c *connection) transferredArrivals(size int) (arrivals []hotrestart.InputArrival) {
	for _, arrival := range c.inputArrivals {
		count := min(arrival.bytes, size)
		if count <= 0 {
			break
		}
		arrivals = append(arrivals, hotrestart.InputArrival{Bytes: count, At: arrival.at})
		size -= count
	}
	return arrivals
}

// restoreInputArrivals records when the input that a predecessor has read arrived there.
func (c *connection) restoreInputArrivals(arrivals []hotrestart.InputArrival) {
	for _, arrival := range arrivals {
		c.inputArrivals = append(c.inputArrivals, inputArrival{bytes: arrival.Bytes, at: arrival.At})
	}
}
