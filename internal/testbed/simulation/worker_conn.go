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
	connAwaiting // a task is written and its response awaited
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
	attempt *requests.Attempt // nil for a probe
}

// workerConn is a connection to a worker.
type workerConn struct {
	timer         timer
	timerSet      bool          // the timer is set, perhaps earlier than deadline
	deadline      time.Duration // for a response; 0: none is awaited
	conns         *workerConns
	endpoint      *endpointConns
	conn          simapi.Conn // 0: never dialled
	incarnation   int
	state         connState
	stage         requests.Stage
	responseBegun bool // part of a response was received
	peerClosed    bool // the worker has closed it
	task          connTask
	lastTask      taskKind // kind of the task before
	idleSince     time.Duration
	idleFor       time.Duration // how long it had been idle before its task; 0: it is new
}

func (k *workerConn) dial() {
	conns := k.conns
	switch {
	case len(conns.conns) >= conns.maxConns && !conns.evictIdle():
		k.closeWith(errNoDescriptor)
		return
	case k.endpoint.workerIndex < 0:
		k.closeWith(errNoAddress)
		return
	}
	k.conn = conns.process.newConn()
	conns.conns[k.conn] = k
	conns.process.emit(simapi.WorkerDialed{Conn: k.conn, Worker: k.endpoint.workerIndex, Machine: k.endpoint.machine})
	k.awaitWithin(conns.dialTimeout)
}

// assign sets the task of the connection.
func (k *workerConn) assign(e connTask) {
	k.task, k.lastTask, k.stage, k.responseBegun = e, e.kind, requests.StageNotConnected, false
	if e.kind == taskAttempt {
		k.conns.attemptConns[e.attempt] = k
	}
}

// awaitWithin sets the deadline of a response. A timer that is set for earlier stays, and is set anew when it fires: most
// responses come well before, so that this saves changes of the timer queue.
func (k *workerConn) awaitWithin(span time.Duration) {
	p := k.conns.process
	if k.deadline = p.now + span; k.timerSet {
		if k.timer.At <= k.deadline {
			return
		}
		p.stop(&k.timer)
	}
	k.timerSet = true
	p.start(&k.timer, span)
}

// timedOut is called by the timer: it closes the connection if its deadline has passed.
func (k *workerConn) timedOut() {
	k.timerSet = false
	switch remaining := k.deadline - k.conns.process.now; {
	case k.deadline == 0:
	case remaining > 0:
		k.awaitWithin(remaining)
	default:
		k.closeWith(errTimeout)
	}
}

// write writes the request of the task.
func (k *workerConn) write() {
	process, attempt := k.conns.process, k.task.attempt
	if k.task.kind == taskAttempt && attempt.At-process.now < time.Millisecond {
		k.deadline = 0 // the request table is about to abandon it, which closes the connection
		return
	}
	k.state = connAwaiting
	k.setStage(requests.StageWritten)
	worker, firstByteAt := k.endpoint.workerIndex, process.now-process.scheduler.epoch
	switch k.task.kind {
	case taskAttempt:
		remaining := attempt.At - process.now
		k.awaitWithin(remaining + connGrace)
		process.emit(simapi.AttemptWritten{
			Worker: worker, Conn: k.conn, RequestID: attempt.Request.CallID, IdempotencyKey: attempt.Request.Payload.IdempotencyKey,
			Budget: max(time.Millisecond, remaining.Truncate(time.Millisecond)), FirstByteAt: firstByteAt,
		})
	case taskHealthCheck:
		k.awaitWithin(healthCheckTimeout)
		process.emit(simapi.HealthCheckWritten{Worker: worker, Conn: k.conn, FirstByteAt: firstByteAt})
	case taskCancel:
		k.awaitWithin(cancelTimeout)
		process.emit(simapi.CancellationWritten{Worker: worker, Conn: k.conn, RequestID: attempt.Request.CallID, FirstByteAt: firstByteAt})
	}
}

func (k *workerConn) setStage(stage requests.Stage) {
	if k.stage = stage; k.task.kind == taskAttempt {
		k.task.attempt.Stage = stage
	}
}

// connected writes the task to a connection that has come up, unless it is no longer wanted.
func (k *workerConn) connected() {
	switch {
	case k.state != connConnecting:
	case k.task.kind == taskAttempt && k.task.attempt.HasEnded(), // by a late callback of an earlier attempt
		k.task.kind == taskCancel && k.task.attempt.EndedByWorker():
		k.closeWith(nil)
	default:
		k.write()
	}
}

func (k *workerConn) disconnected(reset bool) {
	k.peerClosed = true
	switch {
	case k.state == connIdle:
		k.closeWith(nil)
	case k.state == connConnecting:
		k.closeWith(errRefused)
	case reset:
		k.closeWith(errReset)
	default:
		k.closeWith(errEnded)
	}
}

// responseReceived ends the task by the response's status. If Bytes > 0, the response broke off.
func (k *workerConn) responseReceived(in *simapi.ResponseReceived) {
	switch {
	case k.state != connAwaiting: // an unexpected response
		k.closeWith(nil)
		return
	case in.Bytes > 0:
		k.responseBegun, k.peerClosed = true, true
		k.closeWith(errReset)
		return
	}
	k.finishByStatus(in)
	if k.state != connAwaiting { // the end of the task has closed the connection
		return
	}
	if k.incarnation == k.conns.endpoint(k.endpoint.worker).incarnation {
		k.makeIdle()
	} else {
		k.closeWith(nil)
	}
}

// finishByStatus ends the task, or accepts the attempt, by the response's status.
func (k *workerConn) finishByStatus(in *simapi.ResponseReceived) {
	task, success := k.task, in.Status/100 == 2
	reason := k.failureReason(in)
	if task.kind == taskAttempt {
		k.conns.process.requests.ReportResponse(task.attempt, in.Status)
	}
	switch {
	case !success:
		k.finishTask(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: errStatus})
	case task.kind == taskAttempt:
		k.setStage(requests.StageAccepted)
		delete(k.conns.attemptConns, task.attempt)
		k.task = connTask{}
	default:
		k.finishTask(nil)
	}
}

// failureReason returns what a response other than 2xx says of the task.
func (k *workerConn) failureReason(in *simapi.ResponseReceived) requests.Reason {
	unavailable := in.Status == 503 || in.Status == 504
	switch {
	case unavailable && (k.task.kind == taskHealthCheck || in.Rejected):
		return requests.ReasonRejected
	case in.Status/100 == 4 && k.task.kind == taskAttempt:
		return requests.ReasonInvalidRequest
	}
	return requests.ReasonWorkerError
}

// finishTask ends the task, and reports its result; fault nil: it succeeded.
func (k *workerConn) finishTask(fault *requests.AttemptError) {
	e := k.task
	k.task = connTask{}
	switch e.kind {
	case taskAttempt:
		delete(k.conns.attemptConns, e.attempt)
		k.conns.process.requests.EndAttempt(e.attempt, nil, fault)
	case taskHealthCheck:
		k.conns.process.requests.HealthChecked(k.endpoint.worker, fault)
	case taskCancel:
		k.conns.cancelEnded(e.attempt, fault)
	}
}

// makeIdle makes the connection available for the next task.
func (k *workerConn) makeIdle() {
	k.deadline = 0
	k.state, k.idleSince = connIdle, k.conns.process.now
	k.endpoint.idle = append(k.endpoint.idle, k)
	k.conns.idleCount++
}

// closeWith closes the connection in any state. Its task, if any, fails with the cause, at the stage that it had reached.
func (k *workerConn) closeWith(cause error) {
	if k.state == connClosed {
		return
	}
	if k.state == connIdle {
		k.removeIdle()
	}
	dropped := k.state == connAwaiting && k.idleFor > 0 && !k.responseBegun && cause != nil && !errors.Is(cause, errTimeout)
	k.state = connClosed
	k.conns.process.stop(&k.timer)
	k.release()
	if dropped {
		k.conns.reduceTrust(k.idleFor)
	}
	if k.task.kind != taskNone {
		k.finishTask(&requests.AttemptError{Stage: k.stage, Reason: k.closeReason(cause, dropped), Cause: cause})
	}
}

// removeIdle takes the connection from the endpoint's idle ones.
func (k *workerConn) removeIdle() {
	for i, other := range k.endpoint.idle {
		if other == k {
			k.endpoint.idle = append(k.endpoint.idle[:i], k.endpoint.idle[i+1:]...)
			k.conns.idleCount--
			return
		}
	}
}

// release gives up the connection's number, if it was dialed, and closes it unless the worker has.
func (k *workerConn) release() {
	if k.conn == 0 {
		return
	}
	delete(k.conns.conns, k.conn)
	if !k.peerClosed {
		k.conns.process.emit(simapi.WorkerConnClosed{Conn: k.conn, Worker: k.endpoint.workerIndex})
	}
}

// closeReason returns why a task failed whose connection was closed; dropped: it had been idle, and broke without a response.
func (k *workerConn) closeReason(cause error, dropped bool) requests.Reason {
	switch {
	case k.stage >= requests.StageWritten && errors.Is(cause, errTimeout):
		return requests.ReasonTimeout
	case dropped && k.task.kind == taskHealthCheck:
		return requests.ReasonNotSent // it says nothing of the worker
	}
	return requests.ReasonConnectionLost
}

// timer is an entry of a process's timer queue; act is called when it is due.
type timer struct {
	deadline.Item
	act func()
}
