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
	halfOpen       bool     // its process ended without a word
	usedSince      bool     // and something was sent over it since
	resetBytes     int      // see resetAt
	unreadAttempt  *attempt // was wholly written to it, and has not been read
	awaitingAnswer *attempt // its answer is owed
	pendingAccept  *attempt // its 202 is on the way
}

// dialed is a scheduler's attempt to connect.
func (w *worker) dialed(scheduler int, message *simapi.WorkerDialed) {
	w.env.record(trace.Event{Kind: trace.WorkerDialed, Worker: w.number, Scheduler: scheduler, Conn: uint64(message.Conn)})
	l := &workerConn{worker: w, machine: w.machine.number, index: -1, fresh: true}
	l.conn = w.env.openConn(&conn{id: message.Conn, scheduler: scheduler, worker: w.number, workerIncarnation: w.process.incarnation, far: w, state: l})
	way, back, ok := w.env.network.connectDelays(endpoint{schedulerEndpoint, scheduler}, w.endpoint())
	if !ok || message.Machine != w.machine.number {
		l.machine = -1 // to nowhere
		return
	}
	l.conn.arrivesBy[farSide] = w.env.now + way
	w.env.after(way, func() {
		if !l.conn.closed[farSide] {
			w.connectArrived(l, back)
		}
	})
}

// connectArrived is the arrival of an attempt to connect. The kernel takes it, so a pause changes nothing.
func (w *worker) connectArrived(workerConn *workerConn, back time.Duration) {
	conn := workerConn.conn
	switch mode := w.acceptMode(); {
	case mode == simapi.AcceptSilently || workerConn.machine != w.machine.number:
		workerConn.machine = -1
		return
	case mode == simapi.AcceptNone || w.isAtConnLimit():
		workerConn.abandoned = true
		w.env.closeSide(conn, farSide)
		return
	}
	conn.workerIncarnation = w.process.incarnation
	workerConn.resetBytes = w.machine.resetBytes
	w.conns.add(workerConn)
	w.env.record(trace.Event{Kind: trace.WorkerConnected, Worker: w.number, Scheduler: conn.scheduler, Conn: uint64(conn.id)})
	w.addOverhead(w.kind.Handshake.Std())
	conn.lastUsed = w.env.now
	conn.arrivesBy[schedulerSide] = max(conn.arrivesBy[schedulerSide], w.env.now+back+w.env.Spec.Network.Handshake.Std())
	w.env.schedule(conn.arrivesBy[schedulerSide], func() {
		if !conn.closed[schedulerSide] {
			conn.up = true
			w.env.deliver(simapi.Input{Scheduler: conn.scheduler, Message: simapi.WorkerConnected{
				Worker: w.number, Conn: conn.id, ResetAfter: max(0, workerConn.resetBytes),
			}})
		}
	})
	if w.kind.ConnIdleTimeout > 0 {
		w.closeWhenIdle(workerConn, w.kind.ConnIdleTimeout.Std())
	}
}

// closeWhenIdle closes a connection once it has been idle for too long.
func (w *worker) closeWhenIdle(workerConn *workerConn, after time.Duration) {
	w.env.after(after, func() {
		if workerConn.abandoned {
			return
		}
		remaining := workerConn.conn.lastUsed + w.kind.ConnIdleTimeout.Std() - w.env.now
		if workerConn.awaitingAnswer != nil || workerConn.reading > 0 || w.isPaused() {
			remaining = max(remaining, w.kind.ConnIdleTimeout.Std()/2)
		}
		if remaining > 0 {
			w.closeWhenIdle(workerConn, remaining)
			return
		}
		w.closeConn(workerConn)
	})
}

// closeConn closes a connection.
func (w *worker) closeConn(l *workerConn) {
	l.abandoned = true
	w.conns.remove(l)
	w.env.closeSide(l.conn, farSide)
}

// isAtConnLimit reports whether the process accepts no more connections.
func (w *worker) isAtConnLimit() bool {
	return w.kind.ConnLimit > 0 && len(w.conns.open) >= w.kind.ConnLimit
}

// openConn is a scheduler's connection to the worker; nil: it is over.
func (w *worker) openConn(scheduler int, id simapi.Conn) *workerConn {
	conn := w.env.conns[id]
	if conn == nil || conn.far != farEnd(w) || conn.scheduler != scheduler {
		return nil
	}
	return conn.state.(*workerConn)
}

// attemptWritten takes an attempt that a scheduler has written. It arrives later.
func (w *worker) attemptWritten(scheduler int, message *simapi.AttemptWritten) {
	conn := w.openConn(scheduler, message.Conn)
	if conn == nil {
		return
	}
	a := &attempt{
		worker: w, requestID: message.RequestID, key: message.IdempotencyKey, scheduler: scheduler, budget: message.Budget,
		firstByteAt: message.FirstByteAt, knewStart: !w.warming.warm && w.shared.knowsStart(scheduler, w),
	}
	w.env.record(trace.Event{Kind: trace.AttemptSent, RequestID: a.requestID, Worker: w.number, Scheduler: scheduler})
	conn.unreadAttempt = a
	w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.attemptReceived(conn, a) }) })
}

// healthCheckWritten takes a health check that a scheduler has written. It arrives later.
func (w *worker) healthCheckWritten(scheduler int, id simapi.Conn) {
	if conn := w.openConn(scheduler, id); conn != nil {
		w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.healthChecked(conn) }) })
	}
}

// cancellationWritten takes a cancellation that a scheduler has written. It arrives later.
func (w *worker) cancellationWritten(scheduler int, message *simapi.CancellationWritten) {
	if conn := w.openConn(scheduler, message.Conn); conn != nil {
		requestID := message.RequestID
		w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.cancelReceived(conn, requestID) }) })
	}
}

// schedulerClosed takes a scheduler's close of a connection.
func (w *worker) schedulerClosed(scheduler int, id simapi.Conn) {
	if conn := w.openConn(scheduler, id); conn != nil {
		conn.schedulerClosed()
		w.env.closeSide(conn.conn, schedulerSide)
	}
}

// requestArrived is the arrival of a request. Its process handles it once its last byte has been read.
func (w *worker) requestArrived(conn *workerConn, handle func()) {
	if conn.abandoned || conn.index < 0 {
		w.halfOpenReceived(conn)
		return
	}
	wait := time.Duration(0)
	if conn.fresh {
		conn.fresh = false
		wait = w.kind.Handshake.Std()
	}
	wait += w.machine.readDelay()
	switch {
	case wait > 0:
		conn.reading++
		w.afterInProcess(wait, func() {
			conn.reading--
			if !conn.abandoned {
				handle()
			}
		})
	case w.isPaused():
		w.process.inbox = append(w.process.inbox, handle)
	default:
		handle()
	}
}

// halfOpenReceived is something sent to a process that ended without a word. A machine that is there answers it by a reset.
func (w *worker) halfOpenReceived(l *workerConn) {
	if !l.halfOpen || l.machine != w.machine.number {
		return
	}
	l.usedSince = true
	if w.process.state != workerSilent {
		w.conns.remove(l)
		w.env.closeSide(l.conn, farSide)
	}
}

// schedulerClosed is the end of a connection for its scheduler.
func (w *workerConn) schedulerClosed() {
	if a := w.unreadAttempt; a != nil {
		w.unreadAttempt = nil
		w.worker.env.record(trace.Event{Kind: trace.AttemptUnread, RequestID: a.requestID, Worker: w.worker.number, Scheduler: a.scheduler, FirstByteAt: a.firstByteAt})
	}
}

// connClosed is the close of a connection by its scheduler, or the end of that.
func (w *worker) connClosed(conn *conn) {
	workerConn := conn.state.(*workerConn)
	if workerConn.abandoned || workerConn.index < 0 {
		w.conns.remove(workerConn)
		workerConn.abandoned = true
		return
	}
	w.whenRunning(func() {
		workerConn.abandoned = true
		w.conns.remove(workerConn)
		// What has not been answered yet is given up by that, and so is what was answered when the close came first.
		reason := ""
		if conn.resetSilently[farSide] {
			reason = "forgotten"
		}
		switch a := workerConn.awaitingAnswer; {
		case a != nil:
			workerConn.awaitingAnswer, a.conn = nil, nil
			w.cancelAttempt(a, reason)
		case workerConn.pendingAccept != nil:
			w.cancelAttempt(workerConn.pendingAccept, reason)
		}
	})
}

// respond writes an answer to what came over a connection.
func (w *worker) respond(workerConn *workerConn, status int, rejected bool) {
	if workerConn.abandoned {
		return
	}
	c, bytes := workerConn.conn, max(0, -workerConn.resetBytes)
	w.env.toSched(c, func() {
		workerConn.pendingAccept = nil
		w.env.deliver(simapi.Input{Scheduler: c.scheduler, Message: simapi.ResponseReceived{
			Worker: w.number, Conn: c.id, Status: status, Rejected: rejected, Bytes: bytes,
		}})
	})
	if bytes > 0 {
		w.closeConn(workerConn)
	}
}

// healthChecked is a sign of life that is asked for. Beside the queue, it costs a little work; the answer is 503 while even
// the smallest job would be rejected.
func (w *worker) healthChecked(workerConn *workerConn) {
	w.env.record(trace.Event{Kind: trace.HealthChecked, Worker: w.number, Scheduler: workerConn.conn.scheduler})
	if !w.env.Spec.Schedulers.HealthChecks {
		w.respond(workerConn, 404, false)
		return
	}
	w.addOverhead(w.kind.HealthCheckWork.Std())
	took := time.Duration(float64(w.kind.HealthCheckWork.Std()) / max(1e-3, w.machine.speed()*w.capacityShare()))
	w.afterInProcess(took, func() {
		if w.process.draining || w.process.rejectsAll || !w.hasRoom(1) {
			w.respond(workerConn, 503, false)
		} else {
			w.respond(workerConn, 200, false)
		}
	})
}

// cancelReceived is the word that an attempt is given up.
func (w *worker) cancelReceived(l *workerConn, call string) {
	a := w.jobs.byRequest[call]
	if a == nil {
		w.env.record(trace.Event{Kind: trace.AttemptCancelled, RequestID: call, Worker: w.number})
		w.respond(l, 404, false)
		return
	}
	w.cancelAttempt(a, "")
	w.respond(l, 200, false)
}
