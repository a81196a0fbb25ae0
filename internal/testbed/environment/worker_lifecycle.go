package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// This file holds how a worker's processes start, pause and end.

// start starts the next process, cold.
func (w *worker) start() {
	w.process.start(w.env.now)
	w.progressPlanned = false
	w.jobs.restart(w.env.now)
	w.startWarmUp()
	// The machine has no state of the connections from before it fell silent, and resets those that were written to.
	for _, conn := range slices.Clone(w.conns.halfOpen) {
		if conn.writtenSinceSilence {
			w.conns.remove(conn)
			w.env.closeSide(conn.conn, farSide)
		}
	}
	w.reportAcceptMode()
	w.env.record(trace.Event{
		Kind: trace.WorkerStarted, Worker: w.number, Incarnation: w.process.incarnation, Slots: float64(w.kind.Slots), Text: w.kind.Name,
	})
	w.shared.onLifeEvent(w, lifeStarted)
}

// end ends the process and starts the next after restartDelay; 0: never. If no process runs, it changes only the state of the
// machine, unless the machine is silent, and the time of the next start.
func (w *worker) end(state workerState, reason string, restartDelay time.Duration) {
	if w.overloaded || w.removed && w.process.state != workerUp {
		return
	}
	w.process.generation++
	if w.process.state == workerUp {
		w.discardState(state, reason)
		w.env.record(trace.Event{Kind: trace.WorkerStopped, Worker: w.number})
	}
	if previous := w.process.state; previous != workerSilent && previous != state {
		w.process.state = state
		w.reportAcceptMode()
		if state == workerSilent {
			w.shared.onLifeEvent(w, lifeSilent)
		} else {
			w.shared.onLifeEvent(w, lifeStopped)
		}
	}
	w.process.cancelExit()
	if restartDelay > 0 && !w.removed {
		w.afterIfUnchanged(restartDelay, w.start)
	}
}

// afterIfUnchanged calls do after delay, unless the lifecycle changes before.
func (w *worker) afterIfUnchanged(delay time.Duration, do func()) {
	generation := w.process.generation
	w.env.after(delay, func() {
		if w.process.generation == generation {
			do()
		}
	})
}

// agentReportsShare is the share of crashed processes whose lost attempts are reported by the machine's agent. Of the others,
// schedulers notice only that their connections end.
const agentReportsShare = 0.5

// discardState discards the connections, attempts and callbacks of the process, which ends in the given state.
func (w *worker) discardState(state workerState, reason string) {
	w.advance()
	w.process.inbox = nil
	for _, conn := range w.conns.takeOpen() {
		conn.abandoned = true
		if state == workerSilent {
			w.conns.addHalfOpen(conn)
		} else {
			conn.index = -1
			w.env.closeSide(conn.conn, farSide)
		}
	}
	lost := w.jobs.clear()
	agentReports := w.rng.Float64() < agentReportsShare && state == workerDead
	w.loseCallbacks(state == workerSilent)
	for _, attempt := range lost {
		w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: attempt.requestID, Worker: w.number, Text: reason})
		if agentReports && attempt.mayNotify {
			w.notifyLost(attempt)
		}
	}
	for _, attempt := range lost {
		w.shared.releaseKey(attempt)
	}
}

// afterInProcess calls do after delay, once no pause is on, if the present process still runs.
func (w *worker) afterInProcess(delay time.Duration, do func()) {
	incarnation := w.process.incarnation
	w.env.after(delay, func() {
		if w.isRunning(incarnation) {
			w.whenRunning(do)
		}
	})
}

// isRunning reports whether the process with the given incarnation runs.
func (w *worker) isRunning(incarnation int) bool {
	return w.process.incarnation == incarnation && w.process.state == workerUp
}

// whenRunning calls do now, or when the present pause ends.
func (w *worker) whenRunning(do func()) {
	if w.isPaused() {
		w.process.inbox = append(w.process.inbox, do)
		return
	}
	do()
}

// isPaused reports whether the process is paused.
func (w *worker) isPaused() bool { return w.process.isPaused(w.env.now) }

// pauseFor pauses the process; pauses that overlap end with the last.
func (w *worker) pauseFor(duration time.Duration) {
	if duration <= 0 {
		return
	}
	w.advance()
	w.process.pausedUntil = max(w.process.pausedUntil, w.env.now+duration)
	w.planTick()
	incarnation := w.process.incarnation
	w.env.after(duration, func() {
		if w.isRunning(incarnation) && !w.isPaused() {
			w.resume()
		}
	})
}

// resume handles what arrived during a pause, in order.
func (w *worker) resume() {
	w.advance()
	w.planTick()
	for len(w.process.inbox) > 0 {
		do := w.process.inbox[0]
		w.process.inbox = w.process.inbox[1:]
		do()
	}
	w.process.inbox = nil
	if w.process.state == workerUp {
		w.runDue()
	}
}

// hasExitDue reports whether the process is to exit once it is idle, and is idle.
func (w *worker) hasExitDue() bool {
	return w.process.exitPending && len(w.jobs.all) == 0 && w.callbacks.outstanding == 0
}

// maybeExit ends a process whose exit is due. It is called whenever an attempt or a callback ends.
func (w *worker) maybeExit() {
	if !w.hasExitDue() {
		return
	}
	w.afterIfUnchanged(0, func() {
		if w.hasExitDue() && !w.isPaused() {
			w.end(workerDead, "restart", w.process.restartDelay)
		}
	})
}

// maxDrainTime is the maximum time for which a process that is to exit finishes its attempts and callbacks.
const maxDrainTime = 30 * time.Second

// drainThenExit drains the process, and ends it once it has neither attempts nor callbacks, or after maxDrainTime.
func (w *worker) drainThenExit(restartDelay time.Duration) {
	w.drain()
	w.process.exitWhenIdle(restartDelay)
	w.afterIfUnchanged(maxDrainTime, func() { w.end(workerDead, "restart", restartDelay) })
	w.maybeExit()
}

// acceptMode returns how the machine answers connection attempts.
func (w *worker) acceptMode() int {
	switch {
	case w.process.state == workerSilent:
		return simapi.AcceptSilently
	case w.process.state == workerDead:
		return simapi.AcceptNone
	case w.machine.acceptsSilently:
		return simapi.AcceptSilently
	case w.machine.refusesConns:
		return simapi.AcceptNone
	}
	return simapi.AcceptAll
}

// reportAcceptMode notifies the driver of a change of the accept mode. The input is for no scheduler in particular.
func (w *worker) reportAcceptMode() {
	mode := w.acceptMode()
	if mode == w.machine.reportedMode {
		return
	}
	w.machine.reportedMode = mode
	w.env.inputs = append(w.env.inputs, simapi.Input{Message: simapi.AcceptModeChanged{Worker: w.number, Machine: w.machine.number, Mode: mode}})
}
