package environment

import (
	"slices"
	"strconv"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// ---- Its life ----

// start begins a process, cold.
func (w *worker) start() {
	w.lifeTurn++
	w.state, w.incarnation, w.startedAt, w.sincePast = workerUp, w.incarnation+1, w.env.now, false
	w.draining, w.leaving, w.hanging, w.rejectsAll, w.silencesCallbacks, w.diesAtAccept, w.pausedUntil = false, false, false, false, false, false, 0
	w.progressPlanned = false
	w.progressPerSlot, w.progressAt = 0, w.env.now
	w.startWarmUp()
	// The machine knows nothing of what was open before it fell silent, and says so to whoever has sent something.
	for _, l := range slices.Clone(w.ghostConns) {
		if l.usedSince {
			w.removeConn(l)
			w.env.closeSide(l.conn, farSide)
		}
	}
	w.reportAcceptMode()
	w.env.record(trace.Event{Kind: trace.WorkerStarted, Worker: w.number, Incarnation: w.incarnation, Slots: float64(w.kind.Slots), Text: w.kind.Name})
	w.shared.onLifeEvent(w, lifeStarted)
}

// end ends its process. Should there be none, that changes what state the machine is in, and when the next starts.
func (w *worker) end(state workerState, why string, back time.Duration) {
	if w.overloaded || w.removed && w.state != workerUp {
		return
	}
	w.lifeTurn++
	if w.state == workerUp {
		w.loseState(state, why)
		w.env.record(trace.Event{Kind: trace.WorkerStopped, Worker: w.number})
	}
	if was := w.state; was != workerSilent && was != state {
		w.state = state
		w.reportAcceptMode()
		if state == workerSilent {
			w.shared.onLifeEvent(w, lifeSilent)
		} else {
			w.shared.onLifeEvent(w, lifeStopped)
		}
	}
	if w.leaving, w.draining = false, false; back > 0 && !w.removed {
		w.afterUnlessChanged(back, w.start)
	}
}

// afterUnlessChanged does something after a while, unless its life takes another turn before.
func (w *worker) afterUnlessChanged(after time.Duration, do func()) {
	iteration := w.lifeTurn
	w.env.after(after, func() {
		if w.lifeTurn == iteration {
			do()
		}
	})
}

// loseState is the end of all that its process knew.
func (w *worker) loseState(state workerState, why string) {
	w.advance()
	w.inbox = nil
	links := w.conns
	w.conns = nil
	for _, l := range links {
		if l.abandoned = true; state == workerSilent {
			l.ghost, l.index = true, len(w.ghostConns)
			w.ghostConns = append(w.ghostConns, l)
		} else {
			l.index = -1
			w.env.closeSide(l.conn, farSide)
		}
	}
	lost := w.attempts
	slices.SortFunc(lost, func(a, b *attempt) int { return int(a.number) - int(b.number) })
	w.attempts, w.queue, w.running = nil, nil, nil
	clear(w.attemptsByRequest)
	w.usedSlots, w.queuedWork, w.runningEnds, w.progressRate = 0, 0, 0, 0
	for _, a := range lost {
		a.state = attemptEnded
	}
	// The machine's agent sees a process die, and tells, in half of all cases; in the others the end of connections is
	// the only word.
	agent := w.rng.Float64() < 0.5 && state == workerDead
	w.loseCallbacks(state == workerSilent)
	for _, a := range lost {
		w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: a.requestID, Worker: w.number, Text: why})
		if agent && a.mayNotify {
			w.notifyLost(a)
		}
	}
	for _, a := range lost {
		w.shared.releaseKey(a)
	}
}

// afterInProcess does something in its process after a while.
func (w *worker) afterInProcess(after time.Duration, do func()) {
	boot := w.incarnation
	w.env.after(after, func() {
		if w.incarnation == boot && w.state == workerUp {
			w.whenRunning(do)
		}
	})
}

// whenRunning does something in its process now, or once a pause is over.
func (w *worker) whenRunning(do func()) {
	if w.isPaused() {
		w.inbox = append(w.inbox, do)
		return
	}
	do()
}

// isPaused tells whether it is paused.
func (w *worker) isPaused() bool { return w.pausedUntil > w.env.now }

// pauseFor pauses it; pauses that overlap end with the last.
func (w *worker) pauseFor(d time.Duration) {
	if d <= 0 {
		return
	}
	w.advance()
	w.pausedUntil = max(w.pausedUntil, w.env.now+d)
	w.planTick()
	boot := w.incarnation
	w.env.after(d, func() {
		if w.incarnation != boot || w.state != workerUp || w.isPaused() {
			return
		}
		w.advance()
		w.planTick()
		for len(w.inbox) > 0 {
			do := w.inbox[0]
			w.inbox = w.inbox[1:]
			do()
		}
		if w.inbox = nil; w.state == workerUp {
			w.runDue()
		}
	})
}

// maybeExit is called whenever it may have nothing left, which ends a process that waits for that.
func (w *worker) maybeExit() {
	if w.leaving && len(w.attempts) == 0 && w.callbacks.outstanding == 0 {
		w.afterUnlessChanged(0, func() {
			if w.leaving && len(w.attempts) == 0 && w.callbacks.outstanding == 0 && !w.isPaused() {
				w.end(workerDead, "restart", w.restartAfter)
			}
		})
	}
}

// drainThenExit drains it, and ends its process once it has nothing left.
func (w *worker) drainThenExit(back time.Duration) {
	w.drain()
	w.lifeTurn++
	w.leaving, w.restartAfter = true, back
	w.afterUnlessChanged(drainFor, func() { w.end(workerDead, "restart", back) })
	w.maybeExit()
}

// drainFor is the longest that a process which is to end finishes what it has.
const drainFor = 30 * time.Second

// acceptMode is how the machine takes connections.
func (w *worker) acceptMode() int {
	switch {
	case w.state == workerSilent:
		return simapi.AcceptSilently
	case w.state == workerDead:
		return simapi.AcceptNone
	case w.acceptsSilently:
		return simapi.AcceptSilently
	case w.refusing:
		return simapi.AcceptNone
	}
	return simapi.AcceptAll
}

// reportAcceptMode lets a process driver know of a change in how connections are taken; it is for no scheduler in particular.
func (w *worker) reportAcceptMode() {
	if m := w.acceptMode(); m != w.reportedMode {
		w.reportedMode = m
		w.env.inputs = append(w.env.inputs, simapi.Input{Message: simapi.AcceptModeChanged{Worker: w.number, Machine: w.machine, Mode: m}})
	}
}

// ---- What may be done to a worker ----
//
// back is when after this its process starts again, cold; 0: never. What is done to one whose process has ended
// already only says anew when the next one starts; one that fell over, or is off the list, stays down. A hang, pause,
// full, mute or dieAtAccept ends with its process. What slows it, its errors and how it takes and reads connections
// are the machine's, and stay.

// crash: its process dies, connections are reset and new ones refused. Of what it had in hand, half the crashes are
// told of by the machine's agent, as lost, for each job that was answered 202; the others are not told at all.
func (w *worker) crash(back time.Duration) { w.end(workerDead, "crash", back) }

// vanish: the machine says nothing more. What is open stays open and silent, no connection comes up. Once it is back,
// a connection over which something was sent meanwhile is reset, any other when something is.
func (w *worker) vanish(back time.Duration) { w.end(workerSilent, "vanish", back) }

// setHang: its process takes connections and work, answers that with 202 while there is room (free slots count as room),
// answers probes, and takes note of what is withdrawn. It begins nothing, what runs stands still, and nothing is told.
func (w *worker) setHang(on bool) {
	if w.state != workerUp || w.hanging == on {
		return
	}
	w.advance()
	if w.hanging = on; on {
		w.env.record(trace.Event{Kind: trace.WorkerHung, Worker: w.number})
		w.planTick()
		return
	}
	w.recovered()
	w.planTick()
	w.sendHeld()
	w.whenRunning(w.runDue)
}

// pause: nothing in it moves for so long. Its kernel still takes connections and what is written to them.
func (w *worker) pause(d time.Duration) {
	if w.state != workerUp || d <= 0 {
		return
	}
	w.pauseFor(d)
	boot := w.incarnation
	w.env.after(d, func() {
		if w.incarnation == boot && w.state == workerUp && !w.isPaused() {
			w.recovered()
		}
	})
}

// setSlowFactor: its speed is divided by this; 1: as ever.
func (w *worker) setSlowFactor(factor float64) {
	w.advance()
	was := w.slowFactor
	if w.slowFactor = max(factor, 1e-3); w.slowFactor <= 1 && was > 1 {
		w.recovered()
	}
	w.planTick()
}

func (w *worker) recovered() {
	w.env.record(trace.Event{Kind: trace.WorkerRecovered, Worker: w.number})
}

// setErrorRate: a share of the attempts that it takes end with an error; < 0: its kind's own.
func (w *worker) setErrorRate(rate float64) { w.errorRate = rate }

// setFull: it rejects all work, with 503, and says so to probes.
func (w *worker) setFull(on bool) { w.rejectsAll = on && w.state == workerUp }

// drain: it finishes what it has, hands back what waits if it is of such a kind, and rejects anything new, until
// its process ends.
func (w *worker) drain() {
	if w.state != workerUp || w.draining {
		return
	}
	w.draining = true
	w.env.record(trace.Event{Kind: trace.WorkerDraining, Worker: w.number})
	w.shared.onLifeEvent(w, lifeDraining)
	if w.kind.ReturnsQueued {
		w.returnQueued()
	}
}

// returnQueued: what waits is returned.
func (w *worker) returnQueued() {
	if w.state == workerUp {
		w.whenRunning(w.returnQueue)
	}
}

// restart: it drains; its process ends once it has nothing left, neither work nor callbacks that are not answered, and
// after 30 s at the latest. back counts from that end.
func (w *worker) restart(back time.Duration) {
	if w.state == workerUp {
		w.drainThenExit(back)
	} else {
		w.end(w.state, "", back)
	}
}

// remove: it is off the list for good, at once. It drains, and its process ends as at a restart.
func (w *worker) remove() {
	if w.removed {
		return
	}
	if w.removed = true; w.state == workerUp {
		w.drainThenExit(0)
	} else {
		w.lifeTurn++ // nothing brings it back
	}
	w.shared.onLifeEvent(w, lifeRemoved)
}

// replace: the machine vanishes for good. After back another, of the same kind, takes its place in the same cell, cold,
// with an id and an address of its own, and the old id goes off the list. What is sent to the old one, over connections
// that were open or by trying anew, meets with silence.
func (w *worker) replace(back time.Duration) {
	if w.removed {
		return
	}
	w.overloaded = false
	w.end(workerSilent, "replace", 0)
	if back <= 0 {
		return
	}
	w.afterUnlessChanged(back, func() {
		w.shared.onLifeEvent(w, lifeRemoved)
		w.machine++
		w.id = "w-" + strconv.Itoa(w.number) + "." + strconv.Itoa(w.machine)
		w.coreSpeed, w.slowFactor, w.errorRate = w.drawSpeed(), 1, -1
		w.refusing, w.acceptsSilently, w.slowReads, w.resetBytes = false, false, false, 0
		for _, l := range w.ghostConns {
			l.index = -1
		}
		w.ghostConns = nil
		w.start()
	})
}

// setMute: no callbacks are sent; what was not sent by its end never is.
func (w *worker) setMute(on bool) { w.silencesCallbacks = on && w.state == workerUp }

// dieAtAccept: it answers 202 to the next job and dies at that instant.
func (w *worker) dieAtAccept(back time.Duration) {
	if w.state == workerUp {
		w.diesAtAccept, w.diesRestartAfter = true, back
	}
}

// setRefusing: connections are refused, those there go on.
func (w *worker) setRefusing(on bool) { w.refusing = on; w.reportAcceptMode() }

// setSilent: connections never come up, those there go on.
func (w *worker) setSilent(on bool) { w.acceptsSilently = on; w.reportAcceptMode() }

// setResetBytes: each new connection is reset after it has read so many bytes, which is the driver's to carry out, as it knows how
// long requests are: only those that were read to their end come here, and the end comes as Hangup. < 0: after so many
// bytes of its first answer are written. 0: as ever.
func (w *worker) setResetBytes(bytes int) { w.resetBytes = bytes }

// setSlowRead: requests are read so slowly that their last byte comes 1 s late.
func (w *worker) setSlowRead(on bool) { w.slowReads = on }
