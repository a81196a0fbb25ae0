package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// workerConn is a connection at a worker's end.
type workerConn struct {
	worker         *worker
	conn           *conn
	machine        int
	index          int // among links or ghosts; -1: in neither
	fresh          bool
	reading        int      // requests that are being read
	abandoned      bool     // the process deals with it no more
	ghost          bool     // its process ended without a word
	usedSince      bool     // and something was sent over it since
	resetBytes     int      // see resetAt
	unreadAttempt  *attempt // was wholly written to it, and has not been read
	awaitingAnswer *attempt // its answer is owed
	pendingAccept  *attempt // its 202 is on the way
}

const slowReadFor = time.Second

// dialed is a scheduler's attempt to connect.
func (n *worker) dialed(scheduler int, message *simapi.WorkerDialed) {
	n.env.record(trace.Event{Kind: trace.WorkerDialed, Worker: n.number, Scheduler: scheduler, Conn: uint64(message.Conn)})
	l := &workerConn{worker: n, machine: n.machine, index: -1, fresh: true}
	l.conn = n.env.openConn(&conn{id: message.Conn, scheduler: scheduler, worker: n.number, workerIncarnation: n.incarnation, far: n, state: l})
	way, back, ok := n.env.network.connectDelays(endpoint{schedulerEndpoint, scheduler}, n.endpoint())
	if !ok || message.Machine != n.machine {
		l.machine = -1 // to nowhere
		return
	}
	l.conn.arrivesBy[farSide] = n.env.now + way
	n.env.after(way, func() {
		if !l.conn.closed[farSide] {
			n.connectArrived(l, back)
		}
	})
}

// connectArrived is the arrival of an attempt to connect. The kernel takes it, so a pause changes nothing.
func (n *worker) connectArrived(workerConn *workerConn, back time.Duration) {
	conn := workerConn.conn
	switch mode := n.acceptMode(); {
	case mode == simapi.AcceptSilently || workerConn.machine != n.machine:
		workerConn.machine = -1
		return
	case mode == simapi.AcceptNone || n.kind.ConnLimit > 0 && len(n.conns) >= n.kind.ConnLimit:
		workerConn.abandoned = true
		n.env.closeSide(conn, farSide)
		return
	}
	conn.workerIncarnation = n.incarnation
	workerConn.index, workerConn.resetBytes = len(n.conns), n.resetBytes
	n.conns = append(n.conns, workerConn)
	n.env.record(trace.Event{Kind: trace.WorkerConnected, Worker: n.number, Scheduler: conn.scheduler, Conn: uint64(conn.id)})
	n.addOverhead(n.kind.Handshake.Std())
	conn.lastUsed = n.env.now
	conn.arrivesBy[schedulerSide] = max(conn.arrivesBy[schedulerSide], n.env.now+back+n.env.Spec.Network.Handshake.Std())
	n.env.schedule(conn.arrivesBy[schedulerSide], func() {
		if !conn.closed[schedulerSide] {
			conn.up = true
			n.env.deliver(simapi.Input{Scheduler: conn.scheduler, Message: simapi.WorkerConnected{
				Worker: n.number, Conn: conn.id, ResetAfter: max(0, workerConn.resetBytes),
			}})
		}
	})
	if n.kind.ConnIdleTimeout > 0 {
		n.closeWhenIdle(workerConn, n.kind.ConnIdleTimeout.Std())
	}
}

// closeWhenIdle closes a connection once it has been idle for too long.
func (n *worker) closeWhenIdle(workerConn *workerConn, after time.Duration) {
	n.env.after(after, func() {
		if workerConn.abandoned {
			return
		}
		remaining := workerConn.conn.lastUsed + n.kind.ConnIdleTimeout.Std() - n.env.now
		if workerConn.awaitingAnswer != nil || workerConn.reading > 0 || n.isPaused() {
			remaining = max(remaining, n.kind.ConnIdleTimeout.Std()/2)
		}
		if remaining > 0 {
			n.closeWhenIdle(workerConn, remaining)
			return
		}
		n.closeConn(workerConn)
	})
}

// closeConn closes a connection.
func (n *worker) closeConn(l *workerConn) {
	l.abandoned = true
	n.removeConn(l)
	n.env.closeSide(l.conn, farSide)
}

func (n *worker) removeConn(workerConn *workerConn) {
	in := &n.conns
	if workerConn.ghost {
		in = &n.ghostConns
	}
	if i := workerConn.index; i >= 0 {
		last := len(*in) - 1
		(*in)[i] = (*in)[last]
		(*in)[i].index = i
		(*in)[last] = nil
		*in = (*in)[:last]
		workerConn.index = -1
	}
}

// openConn is a scheduler's connection to the worker; nil: it is over.
func (n *worker) openConn(scheduler int, id simapi.Conn) *workerConn {
	conn := n.env.conns[id]
	if conn == nil || conn.far != farEnd(n) || conn.scheduler != scheduler {
		return nil
	}
	return conn.state.(*workerConn)
}

// attemptWritten takes an attempt that a scheduler has written. It arrives later.
func (n *worker) attemptWritten(scheduler int, message *simapi.AttemptWritten) {
	conn := n.openConn(scheduler, message.Conn)
	if conn == nil {
		return
	}
	a := &attempt{
		worker: n, requestID: message.RequestID, key: message.IdempotencyKey, scheduler: scheduler, budget: message.Budget,
		firstByteAt: message.FirstByteAt, knewStart: !n.warming.warm && n.shared.knowsStart(scheduler, n),
	}
	n.env.record(trace.Event{Kind: trace.AttemptSent, RequestID: a.requestID, Worker: n.number, Scheduler: scheduler})
	conn.unreadAttempt = a
	n.env.toFarEnd(conn.conn, func() { n.requestArrived(conn, func() { n.attemptReceived(conn, a) }) })
}

// healthCheckWritten takes a health check that a scheduler has written. It arrives later.
func (n *worker) healthCheckWritten(scheduler int, id simapi.Conn) {
	if conn := n.openConn(scheduler, id); conn != nil {
		n.env.toFarEnd(conn.conn, func() { n.requestArrived(conn, func() { n.healthChecked(conn) }) })
	}
}

// cancellationWritten takes a cancellation that a scheduler has written. It arrives later.
func (n *worker) cancellationWritten(scheduler int, message *simapi.CancellationWritten) {
	if conn := n.openConn(scheduler, message.Conn); conn != nil {
		requestID := message.RequestID
		n.env.toFarEnd(conn.conn, func() { n.requestArrived(conn, func() { n.cancelReceived(conn, requestID) }) })
	}
}

// schedulerClosed takes a scheduler's close of a connection.
func (n *worker) schedulerClosed(scheduler int, id simapi.Conn) {
	if conn := n.openConn(scheduler, id); conn != nil {
		conn.schedulerClosed()
		n.env.closeSide(conn.conn, schedulerSide)
	}
}

// requestArrived is the arrival of a request. Its process handles it once its last byte has been read.
func (n *worker) requestArrived(conn *workerConn, handle func()) {
	if conn.abandoned || conn.index < 0 {
		n.ghostReceived(conn)
		return
	}
	wait := time.Duration(0)
	if conn.fresh {
		conn.fresh, wait = false, n.kind.Handshake.Std()
	}
	if n.slowReads {
		wait += slowReadFor
	}
	switch {
	case wait > 0:
		conn.reading++
		n.afterInProcess(wait, func() {
			if conn.reading--; !conn.abandoned {
				handle()
			}
		})
	case n.isPaused():
		n.inbox = append(n.inbox, handle)
	default:
		handle()
	}
}

// ghostReceived is something sent to a process that ended without a word. A machine that is there answers it by a reset.
func (n *worker) ghostReceived(l *workerConn) {
	if !l.ghost || l.machine != n.machine {
		return
	}
	if l.usedSince = true; n.state != workerSilent {
		n.removeConn(l)
		n.env.closeSide(l.conn, farSide)
	}
}

// schedulerClosed is the end of a connection for its scheduler.
func (l *workerConn) schedulerClosed() {
	if a := l.unreadAttempt; a != nil {
		l.unreadAttempt = nil
		l.worker.env.record(trace.Event{Kind: trace.AttemptUnread, RequestID: a.requestID, Worker: l.worker.number, Scheduler: a.scheduler, FirstByteAt: a.firstByteAt})
	}
}

// connClosed is the close of a connection by its scheduler, or the end of that.
func (n *worker) connClosed(conn *conn) {
	workerConn := conn.state.(*workerConn)
	if workerConn.abandoned || workerConn.index < 0 {
		n.removeConn(workerConn)
		workerConn.abandoned = true
		return
	}
	n.whenRunning(func() {
		workerConn.abandoned = true
		n.removeConn(workerConn)
		// What has not been answered yet is given up by that, and so is what was answered when the close came first.
		why := ""
		if conn.resetSilently[farSide] {
			why = "forgotten"
		}
		switch a := workerConn.awaitingAnswer; {
		case a != nil:
			workerConn.awaitingAnswer, a.conn = nil, nil
			n.cancelAttempt(a, why)
		case workerConn.pendingAccept != nil:
			n.cancelAttempt(workerConn.pendingAccept, why)
		}
	})
}

// respond writes an answer to what came over a connection.
func (n *worker) respond(workerConn *workerConn, status int, rejected bool) {
	if workerConn.abandoned {
		return
	}
	c, bytes := workerConn.conn, max(0, -workerConn.resetBytes)
	n.env.toSched(c, func() {
		workerConn.pendingAccept = nil
		n.env.deliver(simapi.Input{Scheduler: c.scheduler, Message: simapi.ResponseReceived{
			Worker: n.number, Conn: c.id, Status: status, Rejected: rejected, Bytes: bytes,
		}})
	})
	if bytes > 0 {
		n.closeConn(workerConn)
	}
}

// healthChecked is a sign of life that is asked for. Beside the queue, it costs a little work; the answer is 503 while even
// the smallest job would be rejected.
func (n *worker) healthChecked(workerConn *workerConn) {
	n.env.record(trace.Event{Kind: trace.HealthChecked, Worker: n.number, Scheduler: workerConn.conn.scheduler})
	if !n.env.Spec.Schedulers.HealthChecks {
		n.respond(workerConn, 404, false)
		return
	}
	n.addOverhead(n.kind.HealthCheckWork.Std())
	took := time.Duration(float64(n.kind.HealthCheckWork.Std()) / max(1e-3, n.coreSpeed/n.slowFactor*n.capacityShare()))
	n.afterInProcess(took, func() {
		if n.draining || n.rejectsAll || !n.hasRoom(1) {
			n.respond(workerConn, 503, false)
		} else {
			n.respond(workerConn, 200, false)
		}
	})
}

// cancelReceived is the word that an attempt is given up.
func (n *worker) cancelReceived(l *workerConn, call string) {
	a := n.attemptsByRequest[call]
	if a == nil {
		n.env.record(trace.Event{Kind: trace.AttemptCancelled, RequestID: call, Worker: n.number})
		n.respond(l, 404, false)
		return
	}
	n.cancelAttempt(a, "")
	n.respond(l, 200, false)
}
