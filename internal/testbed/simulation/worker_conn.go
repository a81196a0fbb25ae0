package simulation

import (
	"errors"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// This file holds one connection to a worker, and the exchange that it carries.

type connState uint8

const (
	connConnecting connState = iota
	connIdle
	connAwaiting // a task is written and its response is awaited
	connClosed
)

type taskKind uint8

const (
	taskNone taskKind = iota
	taskAttempt
	taskHealthCheck
	taskCancel
)

// connTask is what a connection is used for, one at a time.
type connTask struct {
	kind    taskKind
	attempt *requests.Attempt // nil for a health check
}

// workerConn is a connection to a worker.
type workerConn struct {
	timer         timer
	timerSet      bool          // the timer is set, perhaps earlier than deadline
	deadline      time.Duration // for a response; 0: none is awaited
	conns         *workerConns
	endpoint      *endpointConns
	conn          simapi.Conn // 0: never dialed
	incarnation   int
	state         connState
	stage         requests.Stage
	responseBegun bool // part of a response was received
	peerClosed    bool // the worker has closed the connection
	task          connTask
	lastTask      taskKind // kind of the current or last task
	idleSince     time.Duration
	idleFor       time.Duration // how long it was idle before its task; 0: it is new and was never idle
}

func (c *workerConn) dial() {
	conns := c.conns
	switch {
	case len(conns.conns) >= conns.maxConns && !conns.evictIdle():
		c.closeWith(errNoDescriptor)
		return
	case c.endpoint.workerIndex < 0:
		c.closeWith(errNoAddress)
		return
	}
	c.conn = conns.process.newConn()
	conns.conns[c.conn] = c
	conns.process.emit(simapi.WorkerDialed{Conn: c.conn, Worker: c.endpoint.workerIndex, Machine: c.endpoint.machine})
	c.awaitWithin(conns.dialTimeout)
}

// assign sets the task of the connection.
func (c *workerConn) assign(task connTask) {
	c.task, c.lastTask, c.stage, c.responseBegun = task, task.kind, requests.StageNotConnected, false
	if task.kind == taskAttempt {
		c.conns.attemptConns[task.attempt] = c
	}
}

// awaitWithin sets the deadline of a response. A timer that fires earlier stays, and timedOut sets it again: most responses
// arrive well before their deadline, so this saves changes of the timer queue.
func (c *workerConn) awaitWithin(span time.Duration) {
	p := c.conns.process
	if c.deadline = p.now + span; c.timerSet {
		if c.timer.At <= c.deadline {
			return
		}
		p.stop(&c.timer)
	}
	c.timerSet = true
	p.start(&c.timer, span)
}

// timedOut is called by the timer: it closes the connection if its deadline has passed.
func (c *workerConn) timedOut() {
	c.timerSet = false
	switch remaining := c.deadline - c.conns.process.now; {
	case c.deadline == 0:
	case remaining > 0:
		c.awaitWithin(remaining)
	default:
		c.closeWith(errTimeout)
	}
}

// write writes the request of the task.
func (c *workerConn) write() {
	process, attempt := c.conns.process, c.task.attempt
	if c.task.kind == taskAttempt && attempt.At-process.now < time.Millisecond {
		c.deadline = 0 // the request table is about to abandon the attempt, which closes the connection
		return
	}
	c.state = connAwaiting
	c.setStage(requests.StageWritten)
	worker, firstByteAt := c.endpoint.workerIndex, process.now-process.scheduler.epoch
	switch c.task.kind {
	case taskAttempt:
		remaining := attempt.At - process.now
		c.awaitWithin(remaining + connGrace)
		process.emit(simapi.AttemptWritten{
			Worker: worker, Conn: c.conn, RequestID: attempt.Request.CallID, IdempotencyKey: attempt.Request.Payload.IdempotencyKey,
			Budget: max(time.Millisecond, remaining.Truncate(time.Millisecond)), FirstByteAt: firstByteAt,
		})
	case taskHealthCheck:
		c.awaitWithin(healthCheckTimeout)
		process.emit(simapi.HealthCheckWritten{Worker: worker, Conn: c.conn, FirstByteAt: firstByteAt})
	case taskCancel:
		c.awaitWithin(cancelTimeout)
		process.emit(simapi.CancellationWritten{Worker: worker, Conn: c.conn, RequestID: attempt.Request.CallID, FirstByteAt: firstByteAt})
	}
}

func (c *workerConn) setStage(stage requests.Stage) {
	if c.stage = stage; c.task.kind == taskAttempt {
		c.task.attempt.Stage = stage
	}
}

// connected writes the task to a connection that is now established, unless the task is no longer wanted.
func (c *workerConn) connected() {
	switch {
	case c.state != connConnecting:
	case c.task.kind == taskAttempt && c.task.attempt.HasEnded(), // by a late callback of an earlier attempt
		c.task.kind == taskCancel && c.task.attempt.EndedByWorker():
		c.closeWith(nil)
	default:
		c.write()
	}
}

func (c *workerConn) disconnected(reset bool) {
	c.peerClosed = true
	switch {
	case c.state == connIdle:
		c.closeWith(nil)
	case c.state == connConnecting:
		c.closeWith(errRefused)
	case reset:
		c.closeWith(errReset)
	default:
		c.closeWith(errEnded)
	}
}

// responseReceived ends the task by the response's status. If in.Bytes > 0, the response is incomplete.
func (c *workerConn) responseReceived(in *simapi.ResponseReceived) {
	switch {
	case c.state != connAwaiting: // an unexpected response
		c.closeWith(nil)
		return
	case in.Bytes > 0:
		c.responseBegun, c.peerClosed = true, true
		c.closeWith(errReset)
		return
	}
	c.finishByStatus(in)
	if c.state != connAwaiting { // ending the task has closed the connection
		return
	}
	if c.incarnation == c.conns.endpoint(c.endpoint.worker).incarnation {
		c.makeIdle()
	} else {
		c.closeWith(nil)
	}
}

// finishByStatus ends the task, or accepts the attempt, by the response's status.
func (c *workerConn) finishByStatus(in *simapi.ResponseReceived) {
	task, success := c.task, in.Status/100 == 2
	reason := c.failureReason(in)
	if task.kind == taskAttempt {
		c.conns.process.requests.ReportResponse(task.attempt, in.Status)
	}
	switch {
	case !success:
		c.finishTask(&requests.AttemptError{Stage: c.stage, Reason: reason, Cause: errStatus})
	case task.kind == taskAttempt:
		c.setStage(requests.StageAccepted)
		delete(c.conns.attemptConns, task.attempt)
		c.task = connTask{}
	default:
		c.finishTask(nil)
	}
}

// failureReason returns why the task failed, by a response other than 2xx.
func (c *workerConn) failureReason(in *simapi.ResponseReceived) requests.Reason {
	unavailable := in.Status == 503 || in.Status == 504
	switch {
	case unavailable && (c.task.kind == taskHealthCheck || in.Rejected):
		return requests.ReasonRejected
	case in.Status/100 == 4 && c.task.kind == taskAttempt:
		return requests.ReasonInvalidRequest
	}
	return requests.ReasonWorkerError
}

// finishTask ends the task and reports its result. If fault is nil, the task succeeded.
func (c *workerConn) finishTask(fault *requests.AttemptError) {
	task := c.task
	c.task = connTask{}
	switch task.kind {
	case taskAttempt:
		delete(c.conns.attemptConns, task.attempt)
		c.conns.process.requests.EndAttempt(task.attempt, nil, fault)
	case taskHealthCheck:
		c.conns.process.requests.HealthChecked(c.endpoint.worker, fault)
	case taskCancel:
		c.conns.cancelEnded(task.attempt, fault)
	}
}

// makeIdle makes the connection available for the next task.
func (c *workerConn) makeIdle() {
	c.deadline = 0
	c.state, c.idleSince = connIdle, c.conns.process.now
	c.endpoint.idle = append(c.endpoint.idle, c)
	c.conns.idleCount++
}

// closeWith closes the connection in any state. Its task, if any, fails with the cause, at the stage that it has reached.
func (c *workerConn) closeWith(cause error) {
	if c.state == connClosed {
		return
	}
	if c.state == connIdle {
		c.removeIdle()
	}
	dropped := c.state == connAwaiting && c.idleFor > 0 && !c.responseBegun && cause != nil && !errors.Is(cause, errTimeout)
	c.state = connClosed
	c.conns.process.stop(&c.timer)
	c.release()
	if dropped {
		c.conns.reduceTrust(c.idleFor)
	}
	if c.task.kind != taskNone {
		c.finishTask(&requests.AttemptError{Stage: c.stage, Reason: c.closeReason(cause, dropped), Cause: cause})
	}
}

// removeIdle removes the connection from the endpoint's idle ones.
func (c *workerConn) removeIdle() {
	for i, other := range c.endpoint.idle {
		if other == c {
			c.endpoint.idle = append(c.endpoint.idle[:i], c.endpoint.idle[i+1:]...)
			c.conns.idleCount--
			return
		}
	}
}

// release removes the connection from the open ones, if it was dialed, and closes it unless the worker has closed it.
func (c *workerConn) release() {
	if c.conn == 0 {
		return
	}
	delete(c.conns.conns, c.conn)
	if !c.peerClosed {
		c.conns.process.emit(simapi.WorkerConnClosed{Conn: c.conn, Worker: c.endpoint.workerIndex})
	}
}

// closeReason returns why a task failed whose connection was closed. With dropped set, the connection had been idle before the
// task and broke without a response.
func (c *workerConn) closeReason(cause error, dropped bool) requests.Reason {
	switch {
	case c.stage >= requests.StageWritten && errors.Is(cause, errTimeout):
		return requests.ReasonTimeout
	case dropped && c.task.kind == taskHealthCheck:
		return requests.ReasonNotSent // a dropped connection is no evidence about the worker's health
	}
	return requests.ReasonConnectionLost
}

// timer is an entry of a process's timer queue; act is called when it is due.
type timer struct {
	deadline.Item
	act func()
}
