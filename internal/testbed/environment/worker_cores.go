package environment

import (
	"math"
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the runs of attempts on a worker's cores, which all that runs shares evenly.

// advance brings the work done up to now.
func (n *worker) advance() {
	if d := n.env.now - n.progressAt; d > 0 {
		done := n.progressRate * d.Seconds()
		n.progressPerSlot += done
		n.warming.workDone += done * n.usedSlots
		n.progressAt = n.env.now
	}
}

// addOverhead is work beside all slots, of a handshake or probe. A free core does it at no cost to anybody; else what runs
// loses so much.
func (n *worker) addOverhead(work time.Duration) {
	if n.usedSlots+1 <= n.kind.Cores || len(n.running) == 0 || work <= 0 {
		return
	}
	n.advance()
	n.progressPerSlot -= work.Seconds() / n.usedSlots // its pending entry comes too early by that, and sees so
}

// runDue ends what is done, begins what fits, and plans what is next.
func (n *worker) runDue() {
	if n.state != workerUp || n.isPaused() {
		return
	}
	n.advance()
	for len(n.running) > 0 && n.running[0].endProgress <= n.progressPerSlot+workTolerance {
		a := n.running[0]
		n.removeAttempt(a)
		n.finishAttempt(a)
	}
	if !n.hanging {
		n.startQueued()
	}
	n.planTick()
	n.maybeExit()
}

// workTolerance is far less than a job's work, and more than what rounding to nanoseconds and in sums comes to.
const workTolerance = 1e-8

// planTick has run called when the next is done, by what runs now. There is one entry on the event queue that counts: one that
// turns out to come too early plans anew, and later ones of the past mean nothing.
func (n *worker) planTick() {
	n.progressRate = 0
	if n.state != workerUp || n.hanging || n.isPaused() {
		return
	}
	n.progressRate = n.coreSpeed / n.slowFactor * n.capacityShare() * min(1, n.kind.Cores/max(n.usedSlots, 1e-9))
	if len(n.running) == 0 {
		return
	}
	at := n.env.now + max(1, durationOf((n.running[0].endProgress-n.progressPerSlot)/n.progressRate))
	if step, ok := n.nextWarmUpStep(); ok {
		at = min(at, step)
	}
	if n.nextTick <= n.env.now || at < n.nextTick {
		n.nextTick = at
		n.env.schedule(at, n.tick)
	}
}

// durationOf is a span, rounded up.
func durationOf(s float64) time.Duration { return time.Duration(min(math.Ceil(s*1e9), 1<<60)) }

func (n *worker) tickDue() {
	if n.env.now == n.nextTick {
		n.nextTick = 0
		n.runDue()
	}
}

// finishAttempt is the end of a run.
func (n *worker) finishAttempt(attempt *attempt) {
	status, state := 200, "done"
	if attempt.fails {
		status, state = 500, "failed"
	} else {
		n.resultCount++
		attempt.result = n.makeResult(attempt)
	}
	n.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: attempt.requestID, Worker: n.number, Text: attempt.result, Status: status})
	n.notify(attempt, state, 0)
	if attempt.fails {
		n.shared.releaseKey(attempt)
	} else {
		n.shared.attemptSucceeded(attempt)
	}
}

// makeResult is what a run has made; no two are the same.
func (n *worker) makeResult(a *attempt) string {
	b := make([]byte, 0, 64)
	b = append(append(append(append(b, a.requestID...), ' '), n.id...), '/')
	b = append(strconv.AppendInt(b, int64(n.incarnation), 10), '#')
	return string(strconv.AppendUint(b, n.resultCount, 10))
}
