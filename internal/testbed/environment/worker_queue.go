package environment

import "valvecove/internal/testbed/trace"

// This file holds the queue of attempts that wait for a slot of their worker.

// hasRoom tells whether there is room for a job of so many slots, running or waiting.
func (w *worker) hasRoom(slots float64) bool {
	free := float64(w.kind.Slots) - w.jobs.usedSlots
	if w.process.hanging { // what it would have begun waits as well
		return float64(len(w.jobs.queue)) < float64(w.kind.Queue)+free
	}
	return len(w.jobs.queue) < w.kind.Queue || slots <= free && (len(w.jobs.queue) == 0 || w.kind.QueueOrder == "backfill")
}

// dropExpired makes room by dropping waiting attempts whose time is up, where the kind drops those.
func (w *worker) dropExpired(slots float64) bool {
	if w.kind.ExpiredJobs != "drop" || w.process.hanging {
		return false
	}
	varied := false
	for i := 0; i < len(w.jobs.queue); {
		if a := w.jobs.queue[i]; a.expiresAt > 0 && a.expiresAt <= w.env.now {
			w.expireAttempt(a)
			varied = true
		} else {
			i++
		}
	}
	return varied && w.hasRoom(slots)
}

func (w *worker) expireAttempt(a *attempt) {
	w.jobs.remove(a)
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: a.requestID, Worker: w.number, Text: "expired"})
	w.shared.releaseKey(a)
}

// startOrQueue begins an attempt, or has it wait.
func (w *worker) startOrQueue(a *attempt) {
	w.jobs.enqueue(a)
	if len(w.jobs.queue) == 1 || w.kind.QueueOrder == "backfill" {
		w.runDue()
	}
}

// returnQueue hands back what waits.
func (w *worker) returnQueue() {
	for len(w.jobs.queue) > 0 {
		a := w.jobs.queue[0]
		w.jobs.remove(a)
		w.returnAttempt(a)
	}
	w.maybeExit()
}

// returnAttempt returns an attempt that has been dropped: by its answer, if that is owed yet.
func (w *worker) returnAttempt(attempt *attempt) {
	if l := attempt.conn; l != nil {
		attempt.conn, attempt.mayNotify = nil, true
		if l.awaitingAnswer == attempt {
			l.awaitingAnswer = nil
		}
		w.reject(l, attempt, 503)
	} else {
		w.env.record(trace.Event{Kind: trace.AttemptReturned, RequestID: attempt.requestID, Worker: w.number})
		w.notify(attempt, "returned", 0)
	}
	w.shared.releaseKey(attempt)
}

// startQueued begins what fits. In a fifo the head waits until it fits, and all others behind it.
func (w *worker) startQueued() {
	for i := 0; i < len(w.jobs.queue); {
		a := w.jobs.queue[i]
		switch {
		case w.kind.ExpiredJobs == "drop" && a.expiresAt > 0 && a.expiresAt <= w.env.now:
			w.expireAttempt(a)
		case a.slots <= float64(w.kind.Slots)-w.jobs.usedSlots:
			w.startAttempt(a, i)
		case w.kind.QueueOrder == "backfill":
			i++
		default:
			return
		}
	}
}

// startAttempt begins the i-th of what waits.
func (w *worker) startAttempt(attempt *attempt, i int) {
	w.jobs.start(i)
	w.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.requestID, Worker: w.number, Incarnation: w.process.incarnation})
	if !w.kind.OmitsStartNotifications {
		w.notify(attempt, "started", 0)
		w.planProgress(attempt)
	}
}
