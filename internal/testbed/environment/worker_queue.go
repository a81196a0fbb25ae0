package environment

import (
	"net/http"

	"valvecove/internal/testbed/trace"
)

// This file holds the queue of attempts that wait for a slot of their worker.

// hasRoom reports whether an attempt that needs the given slots can run or be queued.
func (w *worker) hasRoom(slots float64) bool {
	free := float64(w.kind.Slots) - w.jobs.usedSlots
	if w.process.hanging { // attempts that would have started stay in the queue
		return float64(len(w.jobs.queue)) < float64(w.kind.Queue)+free
	}
	return len(w.jobs.queue) < w.kind.Queue || slots <= free && (len(w.jobs.queue) == 0 || w.kind.QueueOrder == "backfill")
}

// dropExpired drops queued attempts whose budget is over, if the kind does that. It reports whether that made room for an
// attempt that needs the given slots.
func (w *worker) dropExpired(slots float64) bool {
	if w.kind.ExpiredJobs != "drop" || w.process.hanging {
		return false
	}
	dropped := false
	for i := 0; i < len(w.jobs.queue); {
		attempt := w.jobs.queue[i]
		if attempt.isExpired(w.env.now) {
			w.expireAttempt(attempt)
			dropped = true
		} else {
			i++
		}
	}
	return dropped && w.hasRoom(slots)
}

// expireAttempt ends a queued attempt whose budget is over.
func (w *worker) expireAttempt(attempt *attempt) {
	w.jobs.remove(attempt)
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: attempt.requestID, Worker: w.number, Text: "expired"})
	w.shared.releaseKey(attempt)
}

// startOrQueue queues an admitted attempt, and starts it if it can run now.
func (w *worker) startOrQueue(attempt *attempt) {
	w.jobs.enqueue(attempt)
	if len(w.jobs.queue) == 1 || w.kind.QueueOrder == "backfill" {
		w.runDue()
	}
}

// returnQueue returns all queued attempts.
func (w *worker) returnQueue() {
	for len(w.jobs.queue) > 0 {
		attempt := w.jobs.queue[0]
		w.jobs.remove(attempt)
		w.returnAttempt(attempt)
	}
	w.maybeExit()
}

// returnAttempt returns an attempt that has been removed: by a rejection if it has not been answered, else by a callback.
func (w *worker) returnAttempt(attempt *attempt) {
	if conn := attempt.conn; conn != nil {
		attempt.conn = nil
		attempt.mayNotify = true
		if conn.awaitingAnswer == attempt {
			conn.awaitingAnswer = nil
		}
		w.reject(conn, attempt, http.StatusServiceUnavailable)
	} else {
		w.env.record(trace.Event{Kind: trace.AttemptReturned, RequestID: attempt.requestID, Worker: w.number})
		w.notify(attempt, "returned", 0)
	}
	w.shared.releaseKey(attempt)
}

// startQueued starts the queued attempts that fit. Unless the kind backfills, none overtakes the head of the queue.
func (w *worker) startQueued() {
	for i := 0; i < len(w.jobs.queue); {
		attempt := w.jobs.queue[i]
		switch {
		case w.kind.ExpiredJobs == "drop" && attempt.isExpired(w.env.now):
			w.expireAttempt(attempt)
		case attempt.slots <= float64(w.kind.Slots)-w.jobs.usedSlots:
			w.startAttempt(attempt, i)
		case w.kind.QueueOrder == "backfill":
			i++
		default:
			return
		}
	}
}

// startAttempt starts the attempt at an index of the queue.
func (w *worker) startAttempt(attempt *attempt, index int) {
	w.jobs.start(index)
	w.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.requestID, Worker: w.number, Incarnation: w.process.incarnation})
	if !w.kind.OmitsStartNotifications {
		w.notify(attempt, "started", 0)
		w.planProgress(attempt)
	}
}
