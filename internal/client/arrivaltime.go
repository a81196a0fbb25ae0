package client

import "time"

// arrivalResolution is how far apart arrivals are told apart: a client may send a byte at a time.
const arrivalResolution = 100 * time.Millisecond

// arrival is when some bytes of a connection's input came.
type arrival struct {
	bytes int
	at    time.Duration
}

// recordArrival remembers when the end of the input came; what came shortly after other bytes counts as come with them.
func (c *connection) recordArrival() {
	added := len(c.Input())
	for _, known := range c.arrivals {
		added -= known.bytes
	}
	if added <= 0 {
		return
	}
	last := len(c.arrivals) - 1
	if last >= 0 && c.loop().Now()-c.arrivals[last].at < arrivalResolution {
		c.arrivals[last].bytes += added
		return
	}
	c.arrivals = append(c.arrivals, arrival{bytes: added, at: c.lastInputTime()})
}

// arrivalTime returns when the last of the input's first n bytes came.
func (c *connection) arrivalTime(n int) time.Duration {
	for _, known := range c.arrivals {
		n -= known.bytes
		if n <= 0 {
			return known.at
		}
	}
	return c.lastInputTime()
}

// lastInputTime returns when the end of the input came.
func (c *connection) lastInputTime() time.Duration {
	if cameAt := c.InputCameAt(); cameAt > 0 {
		return cameAt
	}
	return c.loop().Now() // by another process, or one that was restored
}

// Consume drops the first n bytes of the input, and their arrivals.
func (c *connection) Consume(n int) {
	c.Stream.Consume(n)
	for len(c.arrivals) > 0 && c.arrivals[0].bytes <= n {
		n -= c.arrivals[0].bytes
		c.arrivals = c.arrivals[1:]
	}
	if len(c.arrivals) == 0 {
		c.arrivals = nil
		return
	}
	c.arrivals[0].bytes -= n
}
