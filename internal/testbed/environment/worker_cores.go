package environment

import (
	"math"
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the runs of attempts on a worker's cores, which all that runs shares evenly.

// advance brings the work done up to now.
func (w *worker) advance() {
	w.warming.workDone += w.jobs.advance(w.env.now)
}

// addOverhead is work beside all slots, of a handshake or probe. A free core does it at no cost to anybody; else what runs
// loses so much.
func (w *worker) addOverhead(work time.Duration) {
	if w.jobs.usedSlots+1 <= w.kind.Cores || len(w.jobs.running) == 0 || work <= 0 {
		return
	}
	w.advance()
	w.jobs.progressPerSlot -= work.Seconds() / w.jobs.usedSlots // its pending entry comes too early by that, and sees so
}

// runDue ends what is done, begins what fits, and plans what is next.
func (w *worker) runDue() {
	if w.process.state != workerUp || w.isPaused() {
		return
	}
	w.advance()
	for attempt := w.jobs.firstDone(); attempt != nil; attempt = w.jobs.firstDone() {
		w.jobs.remove(attempt)
		w.finishAttempt(attempt)
	}
	if !w.process.hanging {
		w.startQueued()
	}
	w.planTick()
	w.maybeExit()
}

// workTolerance is far less than a job's work, and more than what rounding to nanoseconds and in sums comes to.
const workTolerance = 1e-8

// planTick has run called when the next is done, by what runs now. There is one entry on the event queue that counts: one that
// turns out to come too early plans anew, and later ones of the past mean nothing.
func (w *worker) planTick() {
	w.jobs.progressRate = 0
	if w.process.state != workerUp || w.process.hanging || w.isPaused() {
		return
	}
	w.jobs.progressRate = w.machine.speed() * w.capacityShare() * min(1, w.kind.Cores/max(w.jobs.usedSlots, 1e-9))
	if len(w.jobs.running) == 0 {
		return
	}
	at := w.env.now + max(1, durationOf((w.jobs.running[0].endProgress-w.jobs.progressPerSlot)/w.jobs.progressRate))
	if step, ok := w.nextWarmUpStep(); ok {
		at = min(at, step)
	}
	if w.nextTick <= w.env.now || at < w.nextTick {
		w.nextTick = at
		w.env.schedule(at, w.tick)
	}
}

// durationOf is a span, rounded up.
func durationOf(s float64) time.Duration { return time.Duration(min(math.Ceil(s*1e9), 1<<60)) }

func (w *worker) tickDue() {
	if w.env.now == w.nextTick {
		w.nextTick = 0
		w.runDue()
	}
}

// finishAttempt is the end of a run.
func (w *worker) finishAttempt(attempt *attempt) {
	status, state := 200, "done"
	if attempt.fails {
		status, state = 500, "failed"
	} else {
		w.resultCount++
		attempt.result = w.makeResult(attempt)
	}
	w.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: attempt.requestID, Worker: w.number, Text: attempt.result, Status: status})
	w.notify(attempt, state, 0)
	if attempt.fails {
		w.shared.releaseKey(attempt)
	} else {
		w.shared.attemptSucceeded(attempt)
	}
}

// makeResult is what a run has made; no two are the same.
func (w *worker) makeResult(a *attempt) string {
	b := make([]byte, 0, 64)
	b = append(append(append(append(b, a.requestID...), ' '), w.id...), '/')
	b = append(strconv.AppendInt(b, int64(w.process.incarnation), 10), '#')
	return string(strconv.AppendUint(b, w.resultCount, 10))
}
