package environment

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/testbed/trace"
)

// This file holds what a worker does with an attempt that reaches it: it takes or rejects it, accepts it with a 202, and
// forgets it at its end.

// attempt is one sending of a request, at the worker that it was sent to.
type attempt struct {
	worker      *worker
	requestID   string
	key         string
	scheduler   int
	budget      time.Duration
	firstByteAt time.Duration // when its first byte was written
	knewStart   bool          // its scheduler knew then of the worker's start
	incarnation int           // of the process that took it

	class             int
	conn              *workerConn // that its 202 is owed on; nil: answered, or given up before
	mayNotify         bool        // its 202 is due or past: callbacks may be sent
	notifiesEarly     bool        // callbacks may be sent before
	expiresAt         time.Duration
	slots             float64
	work              float64 // of this run, for each slot, in seconds at speed 1
	fails             bool    // this run ends with an error
	failsBeforeAccept bool    // before its 202

	state            attemptState
	number           uint64
	allIndex         int     // in node.all
	heapIndex        int     // in node.running
	startProgress    float64 // n.v then
	endProgress      float64 // n.v when it is done
	nextProgressAt   time.Duration
	keyRecord        *keyRecord
	pendingCallbacks []*callback // that wait for its 202
	result           string
}

type attemptState uint8

const (
	attemptQueued attemptState = iota // in the waiting room
	attemptRunning
	attemptDuplicate // its key is known: it waits for the run of another
	attemptEnded
)

// A worker's readings of the protocol:
//   - An id that no client sent, or a keyed request under another key than its client's, is answered 400; no id, 404.
//   - One whose id is in hand already, given up or not, is rejected like what there is no room for: 503, X-Rejected.
//     So is what its kind may not run, what takes more slots than there are, and anything new while it drains.
//   - A job of k slots does k times its run time of work. While more slots are in use than there are cores, all jobs
//     share these evenly.
//   - Of attempts that end with an error, a quarter do so at the door: 500 in place of 202. The others are told as
//     failed after a part of their work, drawn evenly from a tenth to all of it.

// earlyErrorShare is the share of errors that come before a 202.
const earlyErrorShare = 0.25

// attemptReceived takes an attempt whose last byte has been read.
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
	attempt.class, attempt.slots, attempt.incarnation = request.class, request.slots, w.process.incarnation
	if w.coldWorkReceived(attempt, request.work*request.slots) {
		return
	}
	keyRecord := w.shared.findKey(w, attempt)
	if !w.canTake(attempt, keyRecord) {
		w.reject(conn, attempt, 503)
		return
	}
	w.drawOutcome(attempt, request.work, w.shared.classes[attempt.class].noise)
	if attempt.failsBeforeAccept && keyRecord == nil {
		w.failBeforeAccept(conn, attempt)
		return
	}
	w.takeAttempt(conn, attempt, keyRecord)
	w.acceptLater(attempt)
}

// checkRequest is the status that answers an attempt of no request, or of another one's than it says; 0: it is in order.
func (w *worker) checkRequest(attempt *attempt, request *request) (status int) {
	switch {
	case attempt.requestID == "":
		return 404
	case request == nil || w.shared.classes[request.class].idempotentWithKey && attempt.key != request.key:
		return 400
	}
	return 0
}

// canTake reports whether the worker takes an attempt. keyRecord is what is known of its key; nil: nothing, so that it
// needs room of its own.
func (w *worker) canTake(attempt *attempt, keyRecord *keyRecord) bool {
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
	w.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: attempt.requestID, Worker: w.number, Status: 500})
	w.respond(conn, 500, false)
}

// takeAttempt enters an attempt in the worker's tables, and has it run, wait for a slot, or wait for the run of another
// with its key.
func (w *worker) takeAttempt(conn *workerConn, attempt *attempt, keyRecord *keyRecord) {
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

// acceptLater answers an attempt with 202 after the time that its kind of worker takes for that.
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

func (w *worker) reject(l *workerConn, a *attempt, status int) {
	w.env.record(trace.Event{Kind: trace.AttemptRejected, RequestID: a.requestID, Worker: w.number, Status: status})
	w.respond(l, status, status == 503)
}

// drawOutcome draws what becomes of a run. It follows from the request and the worker alone.
func (w *worker) drawOutcome(attempt *attempt, work, noise float64) {
	r := w.shared.dice.stream(xxhash.Sum64String(attempt.requestID), uint64(w.number))
	z, fails, part, kind, early := r.NormFloat64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	if attempt.work = work; noise > 0 {
		attempt.work *= math.Exp(noise * (z - noise/2))
	}
	rate := w.machine.effectiveErrorRate(w.kind.ErrorRate)
	attempt.notifiesEarly = early < w.kind.CallbackEarlyShare
	attempt.fails, attempt.failsBeforeAccept = fails < rate, fails < rate && kind < earlyErrorShare
	if attempt.fails {
		attempt.work *= 0.1 + 0.9*part
	}
}

// accept answers an attempt with 202, unless its connection is gone, and lets its callbacks go.
func (w *worker) accept(attempt *attempt) {
	if l := attempt.conn; l != nil {
		attempt.conn = nil
		if l.awaitingAnswer == attempt {
			l.awaitingAnswer = nil
		}
		l.pendingAccept = attempt
		w.env.record(trace.Event{Kind: trace.AttemptAccepted, RequestID: attempt.requestID, Worker: w.number})
		w.respond(l, 202, false)
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
	held := attempt.pendingCallbacks
	attempt.pendingCallbacks = nil
	for _, t := range held {
		w.sendCallback(t)
	}
}

// cancelAttempt is the word that an attempt is given up. Most kinds run on regardless.
func (w *worker) cancelAttempt(a *attempt, reason string) {
	w.env.record(trace.Event{Kind: trace.AttemptCancelled, RequestID: a.requestID, Worker: w.number, Text: reason})
	if a.state == attemptEnded || !w.kind.CancellationStops {
		return
	}
	w.advance()
	w.jobs.remove(a)
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: a.requestID, Worker: w.number, Text: "cancelled"})
	w.shared.releaseKey(a)
	w.runDue()
}
