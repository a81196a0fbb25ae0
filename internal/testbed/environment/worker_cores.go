package environment

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the runs of attempts on a worker's cores, which all running attempts share evenly.

// advance brings the progress of the running attempts up to the present.
func (w *worker) advance() {
	w.warming.workDone += w.jobs.advance(w.env.now)
}

// addOverhead adds the work of a handshake or a health check, which needs no slot. Unless a core is free, the running attempts
// lose that much progress.
func (w *worker) addOverhead(work time.Duration) {
	if w.jobs.usedSlots+1 <= w.kind.Cores || len(w.jobs.running) == 0 || work <= 0 {
		return
	}
	w.advance()
	w.jobs.addOverhead(work)
}

// runDue ends the attempts that are done, starts the queued ones that fit, and plans the next tick.
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

// workTolerance bounds the error of progress by rounding, in seconds of work.
const workTolerance = 1e-8

// planTick sets the progress rate, and plans a tick for when the next running attempt is done or the next warm-up step
// begins. Only the entry at nextTick has an effect: if nothing is due then, it plans another tick. Later entries are ignored.
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

// durationOf converts seconds to a duration, rounded up to a nanosecond.
func durationOf(seconds float64) time.Duration {
	return time.Duration(min(math.Ceil(seconds*1e9), 1<<60))
}

// tickDue handles an entry of tick on the event queue.
func (w *worker) tickDue() {
	if w.env.now == w.nextTick {
		w.nextTick = 0
		w.runDue()
	}
}

// finishAttempt records and reports the end of a run, and passes its result on to duplicates.
func (w *worker) finishAttempt(attempt *attempt) {
	status := http.StatusOK
	state := "done"
	if attempt.fails {
		status = http.StatusInternalServerError
		state = "failed"
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

// makeResult returns the result of a run, which is unique.
func (w *worker) makeResult(attempt *attempt) string {
	result := make([]byte, 0, 64)
	result = append(result, attempt.requestID...)
	result = append(result, ' ')
	result = append(result, w.id...)
	result = append(result, '/')
	result = strconv.AppendInt(result, int64(w.process.incarnation), 10)
	result = append(result, '#')
	result = strconv.AppendUint(result, w.resultCount, 10)
	return string(result)
}
