package environment

import (
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the faults of a worker.
//
// restartDelay is the time until the next process starts, cold; 0: never. A fault that would end the process of a worker
// without one changes only the time of the next start; a worker that is overloaded or removed stays down. The effects of
// setHang, pause, setRejectAll, setDropCallbacks and dieAtAccept end with the process. The speed, the error rate and how
// connections are accepted and read are properties of the machine, and outlast the process.

// crash ends the process: connections are reset and new ones refused. In half of all crashes the machine's agent reports
// the attempts that were answered 202 as lost; in the others nothing reports them.
func (w *worker) crash(restartDelay time.Duration) { w.end(workerDead, "crash", restartDelay) }

// vanish silences the machine. Open connections stay open and silent, and none is established. After the next start, a
// connection that was written to meanwhile is reset at once, any other when it is written to.
func (w *worker) vanish(restartDelay time.Duration) { w.end(workerSilent, "vanish", restartDelay) }

// setHang makes the process hang, or ends that. A process that hangs accepts connections, answers attempts with 202 while
// it has room (free slots count as room), and answers health checks and cancellations. It starts nothing, running
// attempts make no progress, and no callbacks are sent.
func (w *worker) setHang(on bool) {
	if w.process.state != workerUp || w.process.hanging == on {
		return
	}
	w.advance()
	w.process.hanging = on
	if on {
		w.env.record(trace.Event{Kind: trace.WorkerHung, Worker: w.number})
		w.planTick()
		return
	}
	w.recordRecovered()
	w.planTick()
	w.sendHeld()
	w.whenRunning(w.runDue)
}

// pause stops the process for duration. Its kernel still accepts connections and buffers what is written to them.
func (w *worker) pause(duration time.Duration) {
	if w.process.state != workerUp || duration <= 0 {
		return
	}
	w.pauseFor(duration)
	incarnation := w.process.incarnation
	w.env.after(duration, func() {
		if w.isRunning(incarnation) && !w.isPaused() {
			w.recordRecovered()
		}
	})
}

// minSlowFactor keeps the speed finite.
const minSlowFactor = 1e-3

// setSlowFactor divides the speed of the cores by factor; 1: full speed.
func (w *worker) setSlowFactor(factor float64) {
	w.advance()
	previous := w.machine.slowFactor
	w.machine.slowFactor = max(factor, minSlowFactor)
	if w.machine.slowFactor <= 1 && previous > 1 {
		w.recordRecovered()
	}
	w.planTick()
}

// recordRecovered records that a fault which slowed or stopped the worker has ended.
func (w *worker) recordRecovered() {
	w.env.record(trace.Event{Kind: trace.WorkerRecovered, Worker: w.number})
}

// setErrorRate sets the share of attempts that end with an error; < 0: that of the worker's kind.
func (w *worker) setErrorRate(rate float64) { w.machine.errorRate = rate }

// setRejectAll makes the process reject all attempts and health checks with 503, or ends that.
func (w *worker) setRejectAll(on bool) { w.process.rejectsAll = on && w.process.state == workerUp }

// drain makes the process finish its attempts and reject new ones until it ends. Queued attempts are returned if the
// worker's kind does that.
func (w *worker) drain() {
	if w.process.state != workerUp || w.process.draining {
		return
	}
	w.process.draining = true
	w.env.record(trace.Event{Kind: trace.WorkerDraining, Worker: w.number})
	w.shared.onLifeEvent(w, lifeDraining)
	if w.kind.ReturnsQueued {
		w.returnQueued()
	}
}

// returnQueued returns the queued attempts, at the end of a pause if one is on.
func (w *worker) returnQueued() {
	if w.process.state == workerUp {
		w.whenRunning(w.returnQueue)
	}
}

// restart drains the process. It ends once it has neither attempts nor unanswered callbacks, after maxDrainTime at the
// latest; restartDelay runs from then.
func (w *worker) restart(restartDelay time.Duration) {
	if w.process.state == workerUp {
		w.drainThenExit(restartDelay)
	} else {
		w.end(w.process.state, "", restartDelay)
	}
}

// remove removes the worker from the endpoint list at once and for good. Its process drains and ends as at a restart.
func (w *worker) remove() {
	if w.removed {
		return
	}
	w.removed = true
	if w.process.state == workerUp {
		w.drainThenExit(0)
	} else {
		w.process.generation++ // cancels a planned start
	}
	w.shared.onLifeEvent(w, lifeRemoved)
}

// replace silences the machine for good. After restartDelay another of the same kind takes its place in the same cell,
// cold, with an ID and an address of its own, and the old ID is removed from the endpoint list. The old address, and
// connections to it, stay silent.
func (w *worker) replace(restartDelay time.Duration) {
	if w.removed {
		return
	}
	w.overloaded = false
	w.end(workerSilent, "replace", 0)
	if restartDelay <= 0 {
		return
	}
	w.afterIfUnchanged(restartDelay, func() {
		w.shared.onLifeEvent(w, lifeRemoved)
		w.machine = w.machine.replacement(w.drawSpeed())
		w.id = "w-" + strconv.Itoa(w.number) + "." + strconv.Itoa(w.machine.number)
		w.conns.forgetHalfOpen()
		w.start()
	})
}

// setDropCallbacks makes the process drop its callbacks, or ends that. Dropped callbacks are never sent.
func (w *worker) setDropCallbacks(on bool) {
	w.process.dropsCallbacks = on && w.process.state == workerUp
}

// dieAtAccept makes the process crash as it answers the next attempt with 202.
func (w *worker) dieAtAccept(restartDelay time.Duration) {
	if w.process.state == workerUp {
		w.process.dieAtAccept(restartDelay)
	}
}

// setRefusing makes the machine refuse new connections; established ones are kept.
func (w *worker) setRefusing(on bool) {
	w.machine.refusesConns = on
	w.reportAcceptMode()
}

// setSilent makes the machine leave new connections without an answer; established ones are kept.
func (w *worker) setSilent(on bool) {
	w.machine.acceptsSilently = on
	w.reportAcceptMode()
}

// setResetBytes makes the machine reset each new connection after it has read that many bytes. The driver carries this out, as
// it knows the length of requests: only those that are read to their end reach the worker. < 0: after -bytes of the first
// response are written; 0: never.
func (w *worker) setResetBytes(bytes int) { w.machine.resetBytes = bytes }

// setSlowRead makes the machine read the last byte of each request slowReadFor late.
func (w *worker) setSlowRead(on bool) { w.machine.slowReads = on }
