package client

import "valvecove/internal/http1"

// Results of pipelined requests wait in their slots for the responses before them, and responses in the output for the client to
// read them. Their memory is reserved before a request is handled: the first request of a connection is always handled, and one behind
// it only while the largest result that it may get is within the limit of the listener. Otherwise it waits in the input.
//
// Payloads of open requests may also use what responses leave of their limit. Buffers have a limit of their own, as callbacks, which
// end requests, must be received also while payloads have used up theirs.

// updateHeldBytes updates the listener's count of the memory that is held or reserved for responses. Connections that wait for memory
// are resumed if there is some.
func (c *connection) updateHeldBytes() {
	size := c.responseBytes()
	freed := c.heldBytes - size
	c.heldBytes = size
	c.listener.heldBytes -= freed
	if freed > 0 {
		c.listener.resumeWhenMemoryIsFree()
	}
}

// responseBytes returns the memory that the connection holds or has reserved for responses, in bytes. The next response needs none:
// it is sent as soon as it is complete.
func (c *connection) responseBytes() int {
	size := cap(c.Output())
	for i, slot := range c.slots {
		switch {
		case i == 0:
		case slot.isComplete:
			size += len(slot.body)
		default:
			size += http1.MaxBodySize
		}
	}
	return size
}

// hasMemoryForResponse reports whether a further request of the connection may be handled.
func (c *connection) hasMemoryForResponse() bool {
	return len(c.slots) == 0 || c.listener.hasMemoryForResponse()
}

// hasMemoryForResponse reports whether the memory for a response may be reserved.
func (l *Listener) hasMemoryForResponse() bool {
	size := l.heldBytes + http1.MaxBodySize
	return size <= l.maxBufferedBytes && size+l.table.PayloadBytes() <= 2*l.maxBufferedBytes
}

// hasMemoryForPayload reports whether a payload of a size fits beside those of the open requests and the responses that wait.
func (l *Listener) hasMemoryForPayload(size int) bool {
	payloads := l.table.PayloadBytes() + size
	return payloads <= l.maxBufferedBytes || payloads+l.heldBytes <= 2*l.maxBufferedBytes
}

// awaitMemory puts the connection at the end of those that wait for memory, unless it waits already.
func (c *connection) awaitMemory() {
	if c.memoryElement == nil {
		c.memoryElement = c.listener.awaitingMemory.PushBack(c)
	}
}

// stopAwaitingMemory removes the connection from those that wait for memory.
func (c *connection) stopAwaitingMemory() {
	if c.memoryElement != nil {
		c.listener.awaitingMemory.Remove(c.memoryElement)
		c.memoryElement = nil
	}
}

// resumeWhenMemoryIsFree has the connections that wait for memory handle their input in the order in which they began to wait, as
// far as there is memory. A timer does it, as it may be called within a step.
func (l *Listener) resumeWhenMemoryIsFree() {
	if l.awaitingMemory.Len() == 0 || l.isResuming || !l.hasMemoryForResponse() {
		return
	}
	l.isResuming = true
	l.loop.StartTimer(0, l, l.resumeAwaiting)
}

// resumeAwaiting handles the input of connections that wait for memory until there is none left.
func (l *Listener) resumeAwaiting() {
	l.isResuming = false
	for range l.awaitingMemory.Len() {
		first := l.awaitingMemory.Front()
		if first == nil || !l.hasMemoryForResponse() {
			return
		}
		c := first.Value.(*connection)
		c.stopAwaitingMemory()
		l.loop.Protect(c, c.readRequests)
	}
}
