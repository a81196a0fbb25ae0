package environment

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// workerConn is a connection at a worker's end.
type workerConn struct {
	worker              *worker
	conn                *conn
	machine             int      // number of the machine that it leads to; -1: it is never established
	index               int      // in its list of workerConnSet; -1: in neither
	fresh               bool     // no request has arrived on it: the first one waits for the handshake
	reading             int      // requests that are being read
	abandoned           bool     // the process no longer handles it
	halfOpen            bool     // the machine has fallen silent, see workerConnSet
	writtenSinceSilence bool     // the scheduler has written to it since then
	resetBytes          int      // see setResetBytes
	unreadAttempt       *attempt // wholly written to it, and not read yet
	awaitingAnswer      *attempt // not answered yet
	pendingAccept       *attempt // its 202 is in transit
}

// dialed handles a scheduler's attempt to connect, which arrives later.
func (w *worker) dialed(scheduler int, message *simapi.WorkerDialed) {
	w.env.record(trace.Event{Kind: trace.WorkerDialed, Worker: w.number, Scheduler: scheduler, Conn: uint64(message.Conn)})
	workerConn := &workerConn{worker: w, machine: w.machine.number, index: -1, fresh: true}
	workerConn.conn = w.env.openConn(&conn{
		id: message.Conn, scheduler: scheduler, worker: w.number, workerIncarnation: w.process.incarnation, far: w, state: workerConn,
	})
	delay, returnDelay, ok := w.env.network.connectDelays(endpoint{schedulerEndpoint, scheduler}, w.endpoint())
	if !ok || message.Machine != w.machine.number {
		workerConn.machine = -1
		return
	}
	workerConn.conn.arrivesBy[farSide] = w.env.now + delay
	w.env.after(delay, func() {
		if !workerConn.conn.closed[farSide] {
			w.connectArrived(workerConn, returnDelay)
		}
	})
}

// connectArrived handles the arrival of an attempt to connect. The kernel accepts it, so a pause has no effect.
// returnDelay is the network delay of the answer.
func (w *worker) connectArrived(workerConn *workerConn, returnDelay time.Duration) {
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
	conn.arrivesBy[schedulerSide] = max(conn.arrivesBy[schedulerSide], w.env.now+returnDelay+w.env.Spec.Network.Handshake.Std())
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

// closeWhenIdle checks a connection after the given time, and closes it once it has been idle for the kind's timeout.
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

// closeConn closes a connection from the worker's side.
func (w *worker) closeConn(workerConn *workerConn) {
	workerConn.abandoned = true
	w.conns.remove(workerConn)
	w.env.closeSide(workerConn.conn, farSide)
}

// isAtConnLimit reports whether the process accepts no more connections.
func (w *worker) isAtConnLimit() bool {
	return w.kind.ConnLimit > 0 && len(w.conns.open) >= w.kind.ConnLimit
}

// openConn returns a scheduler's connection to the worker; nil: it is closed.
func (w *worker) openConn(scheduler int, id simapi.Conn) *workerConn {
	conn := w.env.conns[id]
	if conn == nil || conn.far != farEnd(w) || conn.scheduler != scheduler {
		return nil
	}
	return conn.state.(*workerConn)
}

// attemptWritten handles an attempt that a scheduler has written, which arrives later.
func (w *worker) attemptWritten(scheduler int, message *simapi.AttemptWritten) {
	conn := w.openConn(scheduler, message.Conn)
	if conn == nil {
		return
	}
	attempt := &attempt{
		worker: w, requestID: message.RequestID, key: message.IdempotencyKey, scheduler: scheduler, budget: message.Budget,
		firstByteAt: message.FirstByteAt, knewStart: !w.warming.warm && w.shared.knowsStart(scheduler, w),
	}
	w.env.record(trace.Event{Kind: trace.AttemptSent, RequestID: attempt.requestID, Worker: w.number, Scheduler: scheduler})
	conn.unreadAttempt = attempt
	w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.attemptReceived(conn, attempt) }) })
}

// healthCheckWritten handles a health check that a scheduler has written, which arrives later.
func (w *worker) healthCheckWritten(scheduler int, id simapi.Conn) {
	if conn := w.openConn(scheduler, id); conn != nil {
		w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.healthChecked(conn) }) })
	}
}

// cancellationWritten handles a cancellation that a scheduler has written, which arrives later.
func (w *worker) cancellationWritten(scheduler int, message *simapi.CancellationWritten) {
	if conn := w.openConn(scheduler, message.Conn); conn != nil {
		requestID := message.RequestID
		w.env.toFarEnd(conn.conn, func() { w.requestArrived(conn, func() { w.cancelReceived(conn, requestID) }) })
	}
}

// schedulerClosed handles a scheduler's close of a connection.
func (w *worker) schedulerClosed(scheduler int, id simapi.Conn) {
	if conn := w.openConn(scheduler, id); conn != nil {
		conn.schedulerClosed()
		w.env.closeSide(conn.conn, schedulerSide)
	}
}

// requestArrived handles the arrival of a request. handle is called once its last byte has been read.
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

// halfOpenReceived handles data for an earlier process whose machine fell silent. If the machine is back it resets the
// connection.
func (w *worker) halfOpenReceived(workerConn *workerConn) {
	if !workerConn.halfOpen || workerConn.machine != w.machine.number {
		return
	}
	workerConn.writtenSinceSilence = true
	if w.process.state != workerSilent {
		w.conns.remove(workerConn)
		w.env.closeSide(workerConn.conn, farSide)
	}
}

// schedulerClosed handles the end of a connection at its scheduler's side: an attempt that was written and not read is recorded.
func (w *workerConn) schedulerClosed() {
	if a := w.unreadAttempt; a != nil {
		w.unreadAttempt = nil
		w.worker.env.record(trace.Event{Kind: trace.AttemptUnread, RequestID: a.requestID, Worker: w.worker.number, Scheduler: a.scheduler, FirstByteAt: a.firstByteAt})
	}
}

// connClosed handles the close of a connection by its scheduler, or the end of the scheduler's process.
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
		// The close cancels an attempt that has not been answered, or whose 202 has not arrived.
		reason := ""
		if conn.resetUnnoticed[farSide] {
			reason = "forgotten"
		}
		switch a := workerConn.awaitingAnswer; {
		case a != nil:
			workerConn.awaitingAnswer = nil
			a.conn = nil
			w.cancelAttempt(a, reason)
		case workerConn.pendingAccept != nil:
			w.cancelAttempt(workerConn.pendingAccept, reason)
		}
	})
}

// respond writes a response to a connection, and resets it within the response if it has such a fault.
func (w *worker) respond(workerConn *workerConn, status int, rejected bool) {
	if workerConn.abandoned {
		return
	}
	conn := workerConn.conn
	bytes := max(0, -workerConn.resetBytes)
	w.env.toSched(conn, func() {
		workerConn.pendingAccept = nil
		w.env.deliver(simapi.Input{Scheduler: conn.scheduler, Message: simapi.ResponseReceived{
			Worker: w.number, Conn: conn.id, Status: status, Rejected: rejected, Bytes: bytes,
		}})
	})
	if bytes > 0 {
		w.closeConn(workerConn)
	}
}

// healthChecked answers a health check. It costs work but needs no slot; the answer is 503 while even an attempt that needs
// one slot would be rejected.
func (w *worker) healthChecked(workerConn *workerConn) {
	w.env.record(trace.Event{Kind: trace.HealthChecked, Worker: w.number, Scheduler: workerConn.conn.scheduler})
	if !w.env.Spec.Schedulers.HealthChecks {
		w.respond(workerConn, http.StatusNotFound, false)
		return
	}
	w.addOverhead(w.kind.HealthCheckWork.Std())
	duration := time.Duration(float64(w.kind.HealthCheckWork.Std()) / max(1e-3, w.machine.speed()*w.capacityShare()))
	w.afterInProcess(duration, func() {
		if w.process.draining || w.process.rejectsAll || !w.hasRoom(1) {
			w.respond(workerConn, http.StatusServiceUnavailable, false)
		} else {
			w.respond(workerConn, http.StatusOK, false)
		}
	})
}

// cancelReceived handles the cancellation of an attempt.
func (w *worker) cancelReceived(workerConn *workerConn, requestID string) {
	attempt := w.jobs.byRequest[requestID]
	if attempt == nil {
		w.env.record(trace.Event{Kind: trace.AttemptCancelled, RequestID: requestID, Worker: w.number})
		w.respond(workerConn, http.StatusNotFound, false)
		return
	}
	w.cancelAttempt(attempt, "")
	w.respond(workerConn, http.StatusOK, false)
}
