package worker

import (
	"container/list"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/requests"
)

// connectionState says what a connection to a worker is doing.
type connectionState int

const (
	stateConnecting connectionState = iota
	stateIdle
	stateHolding          // it is up, and its attempt is held for a moment
	stateAwaitingResponse // a request is written, or being written
	stateClosed
)

func (s connectionState) String() string {
	switch s {
	case stateConnecting:
		return "connecting"
	case stateIdle:
		return "idle"
	case stateHolding:
		return "holding"
	case stateAwaitingResponse:
		return "awaiting response"
	case stateClosed:
		return "closed"
	}
	return fmt.Sprintf("connectionState(%d)", int(s))
}

// Why a connection to a worker ends, or is not opened. Errors of the network and of the parser are passed on as they are.
var (
	errNoDescriptor     = errors.New("no descriptor left for a worker connection")
	errClosedByWorker   = errors.New("closed by the worker")
	errResponseTimeout  = errors.New("no answer in time")
	errResponseTooLarge = errors.New("an answer without end")
	errStrayResponse    = errors.New("a response to an earlier request")
	errEarlyResponse    = errors.New("an answer before the last byte was written")
	errWorkerPanicked   = errors.New("panic")
)

// minDialBackoff is how long a connection waits that this machine lacked something to open; each time that it does it waits for
// twice as long.
const minDialBackoff = time.Millisecond

// connection is a connection to a worker. It has one exchange at a time.
type connection struct {
	eventloop.Stream
	pool        *Pool
	endpoint    *endpointConnections
	incarnation int // of the worker's process when the connection was opened
	state       connectionState
	exchange    exchange
	lastKind    exchangeKind   // of the present exchange, or the last one
	stage       requests.Stage // of the present exchange
	timer       *eventloop.Timer
	writeUntil  time.Duration // of the present exchange: what is not written by then never is
	idleSince   time.Duration
	idleElement *list.Element // of the pool's list, while it is idle
	idleBefore  time.Duration // how long it had been idle before the present exchange; 0: it was new
	dialDelayed bool          // this machine has lacked something for the connection, or for the first byte on it
}

// connect opens the connection. Where this machine lacks something for it, the worker has no part in that, and the lack may be
// over in a moment: the exchange waits, for half of the time that a connection has to come up. What is left is for that.
func (c *connection) connect() {
	c.tryConnect(minDialBackoff)
}

func (c *connection) tryConnect(backoff time.Duration) {
	if c.isObsolete() {
		c.terminate(nil)
		return
	}
	err := c.dial()
	if err == nil {
		return
	}
	if !isLocalShortage(err) || c.pool.loop.Now()+backoff > c.connectDeadline()-c.pool.connectTimeout/2 {
		c.terminate(err)
		return
	}
	c.dialDelayed = true
	c.timer = c.pool.loop.StartTimer(backoff, c, func() { c.tryConnect(2 * backoff) })
}

// connectDeadline is when the connection is to be up, and the first byte of its exchange taken.
func (c *connection) connectDeadline() time.Duration {
	return c.exchange.begunAt + c.pool.connectTimeout
}

// isWaitingToDial reports whether there is an exchange, and nothing yet to open a connection for it with.
func (c *connection) isWaitingToDial() bool { return c.state == stateConnecting && !c.IsOpen() }

// isLocalShortage reports whether a connection could not be opened for what this machine lacks: nothing was sent.
func isLocalShortage(err error) bool {
	return errors.Is(err, errNoDescriptor) || eventloop.ClassOf(err).IsMomentary()
}

// isOwnDelay reports whether a connection may have ended for having been held back by this machine.
func isOwnDelay(cause error) bool {
	return errors.Is(cause, errResponseTimeout) || errors.Is(cause, errClosedByWorker)
}

func (c *connection) dial() error {
	pool := c.pool
	if pool.openCount >= pool.maxConnections && !pool.evictIdle() {
		return errNoDescriptor
	}
	if !c.endpoint.address.IsValid() {
		return fmt.Errorf("host %q has no address", c.endpoint.id)
	}
	socket, err := pool.dial(c.endpoint.address)
	if err != nil {
		return err
	}
	if c.Stream, err = pool.loop.OpenStream(socket, eventloop.StreamEvents|unix.EPOLLOUT, c); err != nil {
		c.Stream = eventloop.Stream{}
		_ = pool.loop.Syscalls().Close(socket)
		return err
	}
	pool.openCount++
	c.setTimeout(c.connectDeadline() - pool.loop.Now())
	return nil
}

// isAlive looks whether an idle connection still is: there is no event yet for a close that came after this iteration's were
// gathered, and a request written to it would end as a reset, and be possibly executed.
func (c *connection) isAlive() bool {
	var b [1]byte
	for {
		_, err := c.pool.loop.Syscalls().Recvfrom(c.FD(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
}

// setTimeout ends the connection after a while, in place of an earlier timeout.
func (c *connection) setTimeout(timeout time.Duration) {
	c.pool.loop.StopTimer(c.timer)
	c.timer = c.pool.loop.StartTimer(timeout, c, func() { c.terminate(errResponseTimeout) })
}

// HandleEvents goes on with the exchange.
func (c *connection) HandleEvents(events uint32) {
	if c.state != stateClosed && c.isObsolete() {
		c.terminate(nil)
		return
	}
	switch c.state {
	case stateConnecting:
		c.completeConnect(events)
	case stateIdle, stateHolding: // it was closed, or something comes that nobody asked for
		c.terminate(nil)
	case stateClosed, stateAwaitingResponse:
	}
	if c.state == stateAwaitingResponse {
		c.continueExchange(events)
	}
}

// completeConnect sends the request once the connection is up.
func (c *connection) completeConnect(events uint32) {
	if err := c.ConnectError(); err != nil {
		c.terminate(err)
		return
	}
	switch {
	case c.dialDelayed && events&(unix.EPOLLRDHUP|unix.EPOLLHUP) != 0: // it was up, and has ended while its request was held back
		c.terminate(errClosedByWorker)
	case events&unix.EPOLLOUT != 0:
		c.writeRequestLate()
	}
}

// continueExchange sends what waits of the request, and reads what has come of the response.
func (c *connection) continueExchange(events uint32) {
	if events&unix.EPOLLOUT != 0 && len(c.Output()) > 0 {
		if c.pool.loop.Clock() > c.writeUntil { // an event comes before the timer that is due with it
			c.terminate(errResponseTimeout)
			return
		}
		if err := c.Flush(); err != nil {
			c.terminate(err)
			return
		}
		c.reportIfWritten()
	}
	if events&^unix.EPOLLOUT != 0 {
		c.readResponse()
	}
}

// becomeIdle keeps the connection for the next exchange.
func (c *connection) becomeIdle() {
	c.pool.loop.StopTimer(c.timer)
	c.state = stateIdle
	c.idleSince = c.pool.loop.Now()
	c.pool.addIdle(c)
}

// terminate closes the connection, whatever its state. Its exchange ends with the stage that it had reached.
func (c *connection) terminate(cause error) {
	if c.state == stateClosed {
		return
	}
	if c.state == stateIdle {
		c.pool.removeIdle(c)
	}
	wasDropped := c.wasDroppedWhileIdle(cause)
	c.state = stateClosed
	c.pool.loop.StopTimer(c.timer)
	if c.IsOpen() {
		c.Close()
		c.pool.openCount--
	}
	if wasDropped {
		c.pool.reduceIdleTrust(c.idleBefore)
	}
	c.finishExchange(&requests.AttemptError{Stage: c.stage, Reason: c.failureReason(cause, wasDropped), Cause: cause})
}

// wasDroppedWhileIdle reports whether a connection that ends now, and was idle before its exchange, got no byte of a response.
func (c *connection) wasDroppedWhileIdle(cause error) bool {
	return c.state == stateAwaitingResponse && c.idleBefore > 0 && len(c.Input()) == 0 &&
		cause != nil && !errors.Is(cause, errResponseTimeout)
}

// failureReason returns what the end of the connection says of the exchange. Of a health check that was lost with an idle
// connection, or got a stray response, it says nothing about the worker. Nor does a connection that this machine could not open,
// or opened so late that it had not all its time to come up. One that was begun and then could not reach the worker is the
// worker's, whatever errno says so: that is what a worker looks like that has been cut off.
func (c *connection) failureReason(cause error, wasDropped bool) requests.Reason {
	isHealthCheck := c.exchange.kind == exchangeHealthCheck
	switch {
	case c.stage >= requests.StageWritten && errors.Is(cause, errResponseTimeout):
		return requests.ReasonTimeout
	case c.stage < requests.StageWritten && (isLocalShortage(cause) || c.dialDelayed && isOwnDelay(cause)):
		return requests.ReasonNotSent
	case isHealthCheck && (wasDropped || errors.Is(cause, errStrayResponse)):
		return requests.ReasonNotSent
	default:
		return requests.ReasonConnectionLost
	}
}

// HandlePanic ends the connection.
func (c *connection) HandlePanic() { c.terminate(errWorkerPanicked) }
