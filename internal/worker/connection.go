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

// connectionState is the state of a connection to a worker.
type connectionState int

const (
	stateConnecting       connectionState = iota // not established or not dialed yet
	stateIdle                                    // kept for another exchange
	stateDelayed                                 // established; the write of its attempt is delayed
	stateAwaitingResponse                        // a request is written, or partly written
	stateClosed
)

func (c connectionState) String() string {
	switch c {
	case stateConnecting:
		return "connecting"
	case stateIdle:
		return "idle"
	case stateDelayed:
		return "delayed"
	case stateAwaitingResponse:
		return "awaiting response"
	case stateClosed:
		return "closed"
	}
	return fmt.Sprintf("connectionState(%d)", int(c))
}

// Reasons why a connection ended or could not be opened. Errors of system calls and of the HTTP parser are passed on unchanged.
var (
	errNoDescriptor     = errors.New("no descriptor left for a worker connection")
	errNoAddress        = errors.New("endpoint has no valid address")
	errClosedByWorker   = errors.New("closed by the worker")
	errTimeout          = errors.New("timed out")
	errResponseTooLarge = errors.New("response too large")
	errStrayResponse    = errors.New("response to an earlier request")
	errEarlyResponse    = errors.New("response before the last byte of the request was written")
	errPanicked         = errors.New("panic")
)

// minDialBackoff is the delay before a dial that failed for lack of local resources is first retried. It doubles with each retry.
const minDialBackoff = time.Millisecond

// connection is a connection to a worker. It carries one exchange at a time.
type connection struct {
	eventloop.Stream
	pool        *Pool
	endpoint    *endpointConnections
	incarnation int // of the endpoint when the connection was opened
	state       connectionState
	timer       *eventloop.Timer // of the current state: a dial retry, a timeout, or the end of a delay

	// The current exchange, or none.
	exchange       exchange
	stage          requests.Stage
	writeDeadline  time.Duration // the rest of the request is not written after it
	idleBefore     time.Duration // how long the connection was idle before the exchange; 0: it was new
	delayedLocally bool          // the dial or the write was delayed for lack of local resources

	lastKind    exchangeKind  // of the current exchange or, if there is none, of the last one
	idleSince   time.Duration // the end of the last exchange
	idleElement *list.Element // in Pool.idle, while the connection is idle
}

// connect dials the worker.
func (c *connection) connect() { c.dialWithBackoff(minDialBackoff) }

// dialWithBackoff dials the worker. If local resources are lacking it retries after the backoff, as that is no failure of the
// worker. Retries use at most half of the connect timeout; the other half is left for establishing the connection.
func (c *connection) dialWithBackoff(backoff time.Duration) {
	if c.isObsolete() {
		c.terminate(nil)
		return
	}
	err := c.dial()
	if err == nil {
		return
	}
	lastRetryAt := c.connectDeadline() - c.pool.connectTimeout/2
	if !isLocalShortage(err) || c.pool.loop.Now()+backoff > lastRetryAt {
		c.terminate(err)
		return
	}
	c.delayedLocally = true
	c.timer = c.pool.loop.StartTimer(backoff, c, func() { c.dialWithBackoff(2 * backoff) })
}

// connectDeadline returns the time by which the first byte of the exchange must be written.
func (c *connection) connectDeadline() time.Duration {
	return c.exchange.startedAt + c.pool.connectTimeout
}

// isWaitingToDial reports whether the connection could not be dialed yet for lack of local resources.
func (c *connection) isWaitingToDial() bool { return c.state == stateConnecting && !c.IsOpen() }

// isLocalShortage reports whether a connection could not be opened for lack of local resources. Nothing was sent then.
func isLocalShortage(err error) bool {
	return errors.Is(err, errNoDescriptor) || eventloop.ClassOf(err).IsMomentary()
}

// isDelayConsequence reports whether the end of a connection may result from the late write of its request.
func isDelayConsequence(cause error) bool {
	return errors.Is(cause, errTimeout) || errors.Is(cause, errClosedByWorker)
}

// dial opens the socket and starts to connect. If all connections are in use it first evicts an idle one.
func (c *connection) dial() error {
	pool := c.pool
	if pool.openCount >= pool.maxConnections && !pool.evictIdle() {
		return errNoDescriptor
	}
	if !c.endpoint.address.IsValid() {
		return fmt.Errorf("%w: %q", errNoAddress, c.endpoint.id)
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

// isAlive reports whether an idle connection is still open and has received nothing. It is checked before each reuse: the loop
// has no event yet for a close after the events of this iteration were gathered, and an attempt that is written to a closed
// connection ends as possibly executed.
func (c *connection) isAlive() bool {
	var b [1]byte
	for {
		_, err := c.pool.loop.Syscalls().Recvfrom(c.FD(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
}

// setTimeout replaces the timer by one that ends the connection.
func (c *connection) setTimeout(timeout time.Duration) {
	c.pool.loop.StopTimer(c.timer)
	c.timer = c.pool.loop.StartTimer(timeout, c, func() { c.terminate(errTimeout) })
}

// HandleEvents continues the exchange. Any event ends a connection that is idle or whose write is delayed: the worker has closed
// it, or has sent data that no exchange waits for.
func (c *connection) HandleEvents(events uint32) {
	if c.state != stateClosed && c.isObsolete() {
		c.terminate(nil)
		return
	}
	switch c.state {
	case stateConnecting:
		c.completeConnect(events)
	case stateIdle, stateDelayed:
		c.terminate(nil)
	case stateClosed, stateAwaitingResponse:
	}
	if c.state == stateAwaitingResponse {
		c.continueExchange(events)
	}
}

// completeConnect writes the request once the connection is established.
func (c *connection) completeConnect(events uint32) {
	if err := c.ConnectError(); err != nil {
		c.terminate(err)
		return
	}
	hasEnded := events&(unix.EPOLLRDHUP|unix.EPOLLHUP) != 0
	switch {
	case c.delayedLocally && hasEnded: // the worker did not wait for the late request
		c.terminate(errClosedByWorker)
	case events&unix.EPOLLOUT != 0:
		c.writeDelayedRequest()
	}
}

// continueExchange writes what is left of the request and reads what was received of the response.
func (c *connection) continueExchange(events uint32) {
	if events&unix.EPOLLOUT != 0 && len(c.Output()) > 0 {
		if c.pool.loop.Clock() > c.writeDeadline { // the timer of the same iteration runs after its events
			c.terminate(errTimeout)
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

// becomeIdle keeps the connection for another exchange.
func (c *connection) becomeIdle() {
	c.pool.loop.StopTimer(c.timer)
	c.state = stateIdle
	c.idleSince = c.pool.loop.Now()
	c.pool.addIdle(c)
}

// terminate closes the connection, unless it is closed already. The exchange, if there is one, fails with the stage that it has
// reached. cause is nil if the connection is no longer needed.
func (c *connection) terminate(cause error) {
	if c.state == stateClosed {
		return
	}
	c.leaveIdle()
	wasDropped := c.wasDroppedWhileIdle(cause)
	c.state = stateClosed
	c.closeDescriptor()
	if wasDropped {
		c.pool.lowerReuseLimit(c.idleBefore)
	}
	c.finishExchange(&requests.AttemptError{Stage: c.stage, Reason: c.failureReason(cause, wasDropped), Cause: cause})
}

// leaveIdle removes the connection from the idle ones, if it is one of them.
func (c *connection) leaveIdle() {
	if c.state == stateIdle {
		c.pool.removeIdle(c)
	}
}

// closeDescriptor closes the descriptor, if the connection has one, and stops the timer.
func (c *connection) closeDescriptor() {
	c.pool.loop.StopTimer(c.timer)
	if c.IsOpen() {
		c.Close()
		c.pool.openCount--
	}
}

// wasDroppedWhileIdle reports whether a connection that ends by cause may have been dropped while it was idle: it was reused, and
// received no byte of a response.
func (c *connection) wasDroppedWhileIdle(cause error) bool {
	isReused := c.state == stateAwaitingResponse && c.idleBefore > 0
	isLost := cause != nil && !errors.Is(cause, errTimeout)
	return isReused && isLost && len(c.Input()) == 0
}

// failureReason returns why the exchange of a connection that ends by cause has failed. ReasonNotSent is no failure of the
// worker: the exchange was not completely written for lack of local resources, or is a health check on a connection that had been
// dropped or received a stray response. Any other failure before the last byte is attributed to the worker, whatever the errno:
// it may be partitioned.
func (c *connection) failureReason(cause error, wasDropped bool) requests.Reason {
	isWritten := c.stage >= requests.StageWritten
	isHealthCheck := c.exchange.kind == exchangeHealthCheck
	switch {
	case isWritten && errors.Is(cause, errTimeout):
		return requests.ReasonTimeout
	case !isWritten && (isLocalShortage(cause) || c.delayedLocally && isDelayConsequence(cause)):
		return requests.ReasonNotSent
	case isHealthCheck && (wasDropped || errors.Is(cause, errStrayResponse)):
		return requests.ReasonNotSent
	default:
		return requests.ReasonConnectionLost
	}
}

// HandlePanic closes the connection.
func (c *connection) HandlePanic() { c.terminate(errPanicked) }
