package environment

import (
	"slices"

	"valvecove/internal/testbed/trace"
)

// This file holds the queue of attempts that wait for a slot of their worker.

// hasRoom tells whether there is room for a job of so many slots, running or waiting.
func (n *worker) hasRoom(slots float64) bool {
	free := float64(n.kind.Slots) - n.usedSlots
	if n.hanging { // what it would have begun waits as well
		return float64(len(n.queue)) < float64(n.kind.Queue)+free
	}
	return len(n.queue) < n.kind.Queue || slots <= free && (len(n.queue) == 0 || n.kind.QueueOrder == "backfill")
}

// dropExpired makes room by dropping waiting attempts whose time is up, where the kind drops those.
func (n *worker) dropExpired(slots float64) bool {
	if n.kind.ExpiredJobs != "drop" || n.hanging {
		return false
	}
	varied := false
	for i := 0; i < len(n.queue); {
		if a := n.queue[i]; a.expiresAt > 0 && a.expiresAt <= n.env.now {
			n.expireAttempt(a)
			varied = true
		} else {
			i++
		}
	}
	return varied && n.hasRoom(slots)
}

func (n *worker) expireAttempt(a *attempt) {
	n.removeAttempt(a)
	n.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: a.requestID, Worker: n.number, Text: "expired"})
	n.shared.releaseKey(a)
}

// startOrQueue begins an attempt, or has it wait.
func (n *worker) startOrQueue(a *attempt) {
	a.state = attemptQueued
	n.queuedWork += a.work * a.slots
	n.queue = append(n.queue, a)
	if len(n.queue) == 1 || n.kind.QueueOrder == "backfill" {
		n.runDue()
	}
}

// returnQueue hands back what waits.
func (n *worker) returnQueue() {
	for len(n.queue) > 0 {
		a := n.queue[0]
		n.removeAttempt(a)
		n.returnAttempt(a)
	}
	n.maybeExit()
}

// returnAttempt returns an attempt that has been dropped: by its answer, if that is owed yet.
func (n *worker) returnAttempt(attempt *attempt) {
	if l := attempt.conn; l != nil {
		attempt.conn, attempt.mayNotify = nil, true
		if l.awaitingAnswer == attempt {
			l.awaitingAnswer = nil
		}
		n.reject(l, attempt, 503)
	} else {
		n.env.record(trace.Event{Kind: trace.AttemptReturned, RequestID: attempt.requestID, Worker: n.number})
		n.notify(attempt, "returned", 0)
	}
	n.shared.releaseKey(attempt)
}

// startQueued begins what fits. In a fifo the head waits until it fits, and all others behind it.
func (n *worker) startQueued() {
	for i := 0; i < len(n.queue); {
		a := n.queue[i]
		switch {
		case n.kind.ExpiredJobs == "drop" && a.expiresAt > 0 && a.expiresAt <= n.env.now:
			n.expireAttempt(a)
		case a.slots <= float64(n.kind.Slots)-n.usedSlots:
			n.startAttempt(a, i)
		case n.kind.QueueOrder == "backfill":
			i++
		default:
			return
		}
	}
}

// startAttempt begins the i-th of what waits.
func (n *worker) startAttempt(attempt *attempt, i int) {
	n.queue = slices.Delete(n.queue, i, i+1)
	if n.queuedWork -= attempt.work * attempt.slots; len(n.queue) == 0 {
		n.queuedWork = 0
	}
	attempt.state, attempt.startProgress, attempt.endProgress = attemptRunning, n.progressPerSlot, n.progressPerSlot+attempt.work
	n.usedSlots += attempt.slots
	n.runningEnds += attempt.slots * attempt.endProgress
	n.running.add(attempt)
	n.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.requestID, Worker: n.number, Incarnation: n.incarnation})
	if !n.kind.OmitsStartNotifications {
		n.notify(attempt, "started", 0)
		n.planProgress(attempt)
	}
}
