package environment

import (
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/testbed/trace"
)

// This file holds how a worker admits, rejects, accepts and cancels attempts.

// attempt is one attempt at a request, at the worker that it was sent to.
type attempt struct {
	worker      *worker
	requestID   string
	key         string
	scheduler   int
	budget      time.Duration
	firstByteAt time.Duration // when its first byte was written
	knewStart   bool          // its scheduler had been notified of the worker's start
	incarnation int           // of the process that received it

	class             int
	conn              *workerConn // on which its 202 is to be sent; nil: it was sent, or the connection has closed before
	mayNotify         bool        // callbacks may be sent: its 202 has been sent, or was due on a connection that has closed
	notifiesEarly     bool        // callbacks may be sent before its 202
	expiresAt         time.Duration
	slots             float64
	work              float64 // of this run, per slot, in seconds at speed 1
	fails             bool    // this run ends with an error
	failsBeforeAccept bool    // that error is answered in place of the 202

	state            attemptState
	number           uint64
	allIndex         int     // in workerJobs.all
	heapIndex        int     // in workerJobs.running
	startProgress    float64 // workerJobs.progressPerSlot at its start
	endProgress      float64 // workerJobs.progressPerSlot at which it is done
	nextProgressAt   time.Duration
	keyRecord        *keyRecord
	pendingCallbacks []*callback // callbacks that wait for its 202
	result           string
}

// isExpired reports whether the attempt has a budget that is over at now.
func (a *attempt) isExpired(now time.Duration) bool { return a.expiresAt > 0 && a.expiresAt <= now }

type attemptState uint8

const (
	attemptQueued attemptState = iota // waits for slots
	attemptRunning
	attemptDuplicate // waits for the run of another attempt with its key
	attemptEnded
)

// How a worker applies the protocol:
//   - An ID that no client sent, or an idempotency key other than the client's, is answered 400; a missing ID, 404.
//   - An attempt for which there is no room is rejected: 503 with X-Rejected. So is one that arrives while the worker drains,
//     that needs more slots than the worker has, whose class the worker's kind may not run, or whose request has another
//     attempt at the worker that has not ended, even if that was cancelled.
//   - A job of k slots does k times its run time of work. While more slots are in use than there are cores, all jobs
//     share the cores evenly.
//   - Of attempts that end with an error, a quarter get a 500 in place of the 202. The others are reported as failed
//     after a part of their work, drawn uniformly from a tenth to all of it.

// earlyErrorShare is the share of errors that are answered in place of a 202.
const earlyErrorShare = 0.25

// attemptReceived handles an attempt whose last byte has been read.
func (w *worker) attemptReceived(conn *workerConn, attempt *attempt) {
	if conn.unreadAttempt == attempt {
		conn.unreadAttempt = nil
	}
	w.env.record(trace.Event{
		Kind: trace.AttemptReceived, RequestID: attempt.requestID, Worker: w.number, Incarnation: w.process.incarnation,
		Scheduler: attempt.scheduler, Conn: uint64(conn.conn.id), IdempotencyKey: attempt.key, Budget: attempt.budget,
		FirstByteAt: attempt.firstByteAt,
	})
	request := w.shared.findRequest(attempt.requestID)
	if status := w.checkRequest(attempt, request); status != 0 {
		w.reject(conn, attempt, status)
		return
	}
	attempt.class = request.class
	attempt.slots = request.slots
	attempt.incarnation = w.process.incarnation
	if w.coldWorkReceived(attempt, request.work*request.slots) {
		return
	}
	keyRecord := w.shared.findKey(w, attempt)
	if !w.canAdmit(attempt, keyRecord) {
		w.reject(conn, attempt, http.StatusServiceUnavailable)
		return
	}
	w.drawOutcome(attempt, request.work, w.shared.classes[attempt.class].noise)
	if attempt.failsBeforeAccept && keyRecord == nil {
		w.failBeforeAccept(conn, attempt)
		return
	}
	w.admitAttempt(conn, attempt, keyRecord)
	w.acceptLater(attempt)
}

// checkRequest returns the status of an attempt without a request of a client, or with another key; 0: it is valid.
func (w *worker) checkRequest(attempt *attempt, request *request) (status int) {
	switch {
	case attempt.requestID == "":
		return http.StatusNotFound
	case request == nil || w.shared.classes[request.class].idempotentWithKey && attempt.key != request.key:
		return http.StatusBadRequest
	}
	return 0
}

// canAdmit reports whether the worker admits an attempt. keyRecord is the record of its key; nil: there is none, so that the
// attempt needs slots or a place in the queue. Expired attempts in the queue may be dropped to make room.
func (w *worker) canAdmit(attempt *attempt, keyRecord *keyRecord) bool {
	class := &w.shared.classes[attempt.class]
	switch {
	case w.process.draining || w.process.rejectsAll:
		return false
	case w.jobs.byRequest[attempt.requestID] != nil:
		return false
	case attempt.slots > float64(w.kind.Slots):
		return false
	case class.kind >= 0 && class.kind != w.kindIndex:
		return false
	}
	return keyRecord != nil || w.hasRoom(attempt.slots) || w.dropExpired(attempt.slots)
}

// failBeforeAccept ends an attempt with an error in place of its 202.
func (w *worker) failBeforeAccept(conn *workerConn, attempt *attempt) {
	w.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.requestID, Worker: w.number, Incarnation: w.process.incarnation})
	w.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: attempt.requestID, Worker: w.number, Status: http.StatusInternalServerError})
	w.respond(conn, http.StatusInternalServerError, false)
}

// admitAttempt admits an attempt, which then runs, waits for slots, or waits for the run of another attempt with its key.
func (w *worker) admitAttempt(conn *workerConn, attempt *attempt, keyRecord *keyRecord) {
	attempt.conn = conn
	conn.awaitingAnswer = attempt
	if attempt.budget > 0 {
		attempt.expiresAt = w.env.now + attempt.budget
	}
	w.jobs.admit(attempt)
	if keyRecord != nil {
		keyRecord.addWaiter(attempt)
		return
	}
	w.shared.rememberKey(w, attempt)
	w.startOrQueue(attempt)
}

// acceptLater answers an attempt with 202 after the accept delay of the worker's kind.
func (w *worker) acceptLater(attempt *attempt) {
	delay := w.kind.Accept.Std()
	if delay <= 0 {
		w.accept(attempt)
		return
	}
	w.env.after(delay, func() {
		switch {
		case w.process.incarnation != attempt.incarnation || w.process.state != workerUp:
		case w.isPaused():
			w.process.inbox = append(w.process.inbox, func() { w.accept(attempt) })
		default:
			w.accept(attempt)
		}
	})
}

// reject answers an attempt with an error status.
func (w *worker) reject(conn *workerConn, attempt *attempt, status int) {
	w.env.record(trace.Event{Kind: trace.AttemptRejected, RequestID: attempt.requestID, Worker: w.number, Status: status})
	w.respond(conn, status, status == http.StatusServiceUnavailable)
}

// drawOutcome draws the work and the result of a run. They depend on the request and the worker alone.
func (w *worker) drawOutcome(attempt *attempt, work, noise float64) {
	rng := w.shared.keyedRand.stream(xxhash.Sum64String(attempt.requestID), uint64(w.number))
	deviation := rng.NormFloat64()
	failureDraw := rng.Float64()
	partDone := rng.Float64()
	earlyErrorDraw := rng.Float64()
	earlyCallbackDraw := rng.Float64()
	attempt.work = work
	if noise > 0 {
		attempt.work *= math.Exp(noise * (deviation - noise/2))
	}
	rate := w.machine.effectiveErrorRate(w.kind.ErrorRate)
	attempt.notifiesEarly = earlyCallbackDraw < w.kind.CallbackEarlyShare
	attempt.fails = failureDraw < rate
	attempt.failsBeforeAccept = attempt.fails && earlyErrorDraw < earlyErrorShare
	if attempt.fails {
		attempt.work *= 0.1 + 0.9*partDone
	}
}

// accept answers an attempt with 202, unless its connection is closed, and sends the callbacks that waited for the 202.
func (w *worker) accept(attempt *attempt) {
	if conn := attempt.conn; conn != nil {
		attempt.conn = nil
		if conn.awaitingAnswer == attempt {
			conn.awaitingAnswer = nil
		}
		conn.pendingAccept = attempt
		w.env.record(trace.Event{Kind: trace.AttemptAccepted, RequestID: attempt.requestID, Worker: w.number})
		w.respond(conn, http.StatusAccepted, false)
		if w.process.diesAtAccept {
			attempt.mayNotify = true
			w.crash(w.process.diesRestartDelay)
			return
		}
	}
	if attempt.mayNotify {
		return
	}
	attempt.mayNotify = true
	pending := attempt.pendingCallbacks
	attempt.pendingCallbacks = nil
	for _, callback := range pending {
		w.sendCallback(callback)
	}
}

// cancelAttempt handles the cancellation of an attempt. It ends the attempt only if the worker's kind does that.
func (w *worker) cancelAttempt(attempt *attempt, reason string) {
	w.env.record(trace.Event{Kind: trace.AttemptCancelled, RequestID: attempt.requestID, Worker: w.number, Text: reason})
	if attempt.state == attemptEnded || !w.kind.CancellationStops {
		return
	}
	w.advance()
	w.jobs.remove(attempt)
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: attempt.requestID, Worker: w.number, Text: "cancelled"})
	w.shared.releaseKey(attempt)
	w.runDue()
}
