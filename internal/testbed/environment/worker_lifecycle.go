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
func (n *worker) start() {
	n.lifeTurn++
	n.state, n.incarnation, n.startedAt, n.sincePast = workerUp, n.incarnation+1, n.env.now, false
	n.draining, n.leaving, n.hanging, n.rejectsAll, n.silencesCallbacks, n.diesAtAccept, n.pausedUntil = false, false, false, false, false, false, 0
	n.progressPlanned = false
	n.progressPerSlot, n.progressAt = 0, n.env.now
	n.startWarmUp()
	// The machine knows nothing of what was open before it fell silent, and says so to whoever has sent something.
	for _, l := range slices.Clone(n.ghostConns) {
		if l.usedSince {
			n.removeConn(l)
			n.env.closeSide(l.conn, farSide)
		}
	}
	n.reportAcceptMode()
	n.env.record(trace.Event{Kind: trace.WorkerStarted, Worker: n.number, Incarnation: n.incarnation, Slots: float64(n.kind.Slots), Text: n.kind.Name})
	n.shared.onLifeEvent(n, lifeStarted)
}

// end ends its process. Should there be none, that changes what state the machine is in, and when the next starts.
func (n *worker) end(state workerState, why string, back time.Duration) {
	if n.overloaded || n.removed && n.state != workerUp {
		return
	}
	n.lifeTurn++
	if n.state == workerUp {
		n.loseState(state, why)
		n.env.record(trace.Event{Kind: trace.WorkerStopped, Worker: n.number})
	}
	if was := n.state; was != workerSilent && was != state {
		n.state = state
		n.reportAcceptMode()
		if state == workerSilent {
			n.shared.onLifeEvent(n, lifeSilent)
		} else {
			n.shared.onLifeEvent(n, lifeStopped)
		}
	}
	if n.leaving, n.draining = false, false; back > 0 && !n.removed {
		n.afterUnlessChanged(back, n.start)
	}
}

// afterUnlessChanged does something after a while, unless its life takes another turn before.
func (n *worker) afterUnlessChanged(after time.Duration, do func()) {
	iteration := n.lifeTurn
	n.env.after(after, func() {
		if n.lifeTurn == iteration {
			do()
		}
	})
}

// loseState is the end of all that its process knew.
func (n *worker) loseState(state workerState, why string) {
	n.advance()
	n.inbox = nil
	links := n.conns
	n.conns = nil
	for _, l := range links {
		if l.abandoned = true; state == workerSilent {
			l.ghost, l.index = true, len(n.ghostConns)
			n.ghostConns = append(n.ghostConns, l)
		} else {
			l.index = -1
			n.env.closeSide(l.conn, farSide)
		}
	}
	lost := n.attempts
	slices.SortFunc(lost, func(a, b *attempt) int { return int(a.number) - int(b.number) })
	n.attempts, n.queue, n.running = nil, nil, nil
	clear(n.attemptsByRequest)
	n.usedSlots, n.queuedWork, n.runningEnds, n.progressRate = 0, 0, 0, 0
	for _, a := range lost {
		a.state = attemptEnded
	}
	// The machine's agent sees a process die, and tells, in half of all cases; in the others the end of connections is
	// the only word.
	agent := n.rng.Float64() < 0.5 && state == workerDead
	n.loseCallbacks(state == workerSilent)
	for _, a := range lost {
		n.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: a.requestID, Worker: n.number, Text: why})
		if agent && a.mayNotify {
			n.notifyLost(a)
		}
	}
	for _, a := range lost {
		n.shared.releaseKey(a)
	}
}

// afterInProcess does something in its process after a while.
func (n *worker) afterInProcess(after time.Duration, do func()) {
	boot := n.incarnation
	n.env.after(after, func() {
		if n.incarnation == boot && n.state == workerUp {
			n.whenRunning(do)
		}
	})
}

// whenRunning does something in its process now, or once a pause is over.
func (n *worker) whenRunning(do func()) {
	if n.isPaused() {
		n.inbox = append(n.inbox, do)
		return
	}
	do()
}

// isPaused tells whether it is paused.
func (n *worker) isPaused() bool { return n.pausedUntil > n.env.now }

// pauseFor pauses it; pauses that overlap end with the last.
func (n *worker) pauseFor(d time.Duration) {
	if d <= 0 {
		return
	}
	n.advance()
	n.pausedUntil = max(n.pausedUntil, n.env.now+d)
	n.planTick()
	boot := n.incarnation
	n.env.after(d, func() {
		if n.incarnation != boot || n.state != workerUp || n.isPaused() {
			return
		}
		n.advance()
		n.planTick()
		for len(n.inbox) > 0 {
			do := n.inbox[0]
			n.inbox = n.inbox[1:]
			do()
		}
		if n.inbox = nil; n.state == workerUp {
			n.runDue()
		}
	})
}

// maybeExit is called whenever it may have nothing left, which ends a process that waits for that.
func (n *worker) maybeExit() {
	if n.leaving && len(n.attempts) == 0 && n.callbacks.outstanding == 0 {
		n.afterUnlessChanged(0, func() {
			if n.leaving && len(n.attempts) == 0 && n.callbacks.outstanding == 0 && !n.isPaused() {
				n.end(workerDead, "restart", n.restartAfter)
			}
		})
	}
}

// drainThenExit drains it, and ends its process once it has nothing left.
func (n *worker) drainThenExit(back time.Duration) {
	n.drain()
	n.lifeTurn++
	n.leaving, n.restartAfter = true, back
	n.afterUnlessChanged(drainFor, func() { n.end(workerDead, "restart", back) })
	n.maybeExit()
}

// drainFor is the longest that a process which is to end finishes what it has.
const drainFor = 30 * time.Second

// acceptMode is how the machine takes connections.
func (n *worker) acceptMode() int {
	switch {
	case n.state == workerSilent:
		return simapi.AcceptSilently
	case n.state == workerDead:
		return simapi.AcceptNone
	case n.acceptsSilently:
		return simapi.AcceptSilently
	case n.refusing:
		return simapi.AcceptNone
	}
	return simapi.AcceptAll
}

// reportAcceptMode lets a process driver know of a change in how connections are taken; it is for no scheduler in particular.
func (n *worker) reportAcceptMode() {
	if m := n.acceptMode(); m != n.reportedMode {
		n.reportedMode = m
		n.env.inputs = append(n.env.inputs, simapi.Input{Message: simapi.AcceptModeChanged{Worker: n.number, Machine: n.machine, Mode: m}})
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
func (n *worker) crash(back time.Duration) { n.end(workerDead, "crash", back) }

// vanish: the machine says nothing more. What is open stays open and silent, no connection comes up. Once it is back,
// a connection over which something was sent meanwhile is reset, any other when something is.
func (n *worker) vanish(back time.Duration) { n.end(workerSilent, "vanish", back) }

// setHang: its process takes connections and work, answers that with 202 while there is room (free slots count as room),
// answers probes, and takes note of what is withdrawn. It begins nothing, what runs stands still, and nothing is told.
func (n *worker) setHang(on bool) {
	if n.state != workerUp || n.hanging == on {
		return
	}
	n.advance()
	if n.hanging = on; on {
		n.env.record(trace.Event{Kind: trace.WorkerHung, Worker: n.number})
		n.planTick()
		return
	}
	n.recovered()
	n.planTick()
	n.sendHeld()
	n.whenRunning(n.runDue)
}

// pause: nothing in it moves for so long. Its kernel still takes connections and what is written to them.
func (n *worker) pause(d time.Duration) {
	if n.state != workerUp || d <= 0 {
		return
	}
	n.pauseFor(d)
	boot := n.incarnation
	n.env.after(d, func() {
		if n.incarnation == boot && n.state == workerUp && !n.isPaused() {
			n.recovered()
		}
	})
}

// setSlowFactor: its speed is divided by this; 1: as ever.
func (n *worker) setSlowFactor(factor float64) {
	n.advance()
	was := n.slowFactor
	if n.slowFactor = max(factor, 1e-3); n.slowFactor <= 1 && was > 1 {
		n.recovered()
	}
	n.planTick()
}

func (n *worker) recovered() {
	n.env.record(trace.Event{Kind: trace.WorkerRecovered, Worker: n.number})
}

// setErrorRate: a share of the attempts that it takes end with an error; < 0: its kind's own.
func (n *worker) setErrorRate(rate float64) { n.errorRate = rate }

// setFull: it rejects all work, with 503, and says so to probes.
func (n *worker) setFull(on bool) { n.rejectsAll = on && n.state == workerUp }

// drain: it finishes what it has, hands back what waits if it is of such a kind, and rejects anything new, until
// its process ends.
func (n *worker) drain() {
	if n.state != workerUp || n.draining {
		return
	}
	n.draining = true
	n.env.record(trace.Event{Kind: trace.WorkerDraining, Worker: n.number})
	n.shared.onLifeEvent(n, lifeDraining)
	if n.kind.ReturnsQueued {
		n.returnQueued()
	}
}

// returnQueued: what waits is returned.
func (n *worker) returnQueued() {
	if n.state == workerUp {
		n.whenRunning(n.returnQueue)
	}
}

// restart: it drains; its process ends once it has nothing left, neither work nor callbacks that are not answered, and
// after 30 s at the latest. back counts from that end.
func (n *worker) restart(back time.Duration) {
	if n.state == workerUp {
		n.drainThenExit(back)
	} else {
		n.end(n.state, "", back)
	}
}

// remove: it is off the list for good, at once. It drains, and its process ends as at a restart.
func (n *worker) remove() {
	if n.removed {
		return
	}
	if n.removed = true; n.state == workerUp {
		n.drainThenExit(0)
	} else {
		n.lifeTurn++ // nothing brings it back
	}
	n.shared.onLifeEvent(n, lifeRemoved)
}

// replace: the machine vanishes for good. After back another, of the same kind, takes its place in the same cell, cold,
// with an id and an address of its own, and the old id goes off the list. What is sent to the old one, over connections
// that were open or by trying anew, meets with silence.
func (n *worker) replace(back time.Duration) {
	if n.removed {
		return
	}
	n.overloaded = false
	n.end(workerSilent, "replace", 0)
	if back <= 0 {
		return
	}
	n.afterUnlessChanged(back, func() {
		n.shared.onLifeEvent(n, lifeRemoved)
		n.machine++
		n.id = "w-" + strconv.Itoa(n.number) + "." + strconv.Itoa(n.machine)
		n.coreSpeed, n.slowFactor, n.errorRate = n.drawSpeed(), 1, -1
		n.refusing, n.acceptsSilently, n.slowReads, n.resetBytes = false, false, false, 0
		for _, l := range n.ghostConns {
			l.index = -1
		}
		n.ghostConns = nil
		n.start()
	})
}

// setMute: no callbacks are sent; what was not sent by its end never is.
func (n *worker) setMute(on bool) { n.silencesCallbacks = on && n.state == workerUp }

// dieAtAccept: it answers 202 to the next job and dies at that instant.
func (n *worker) dieAtAccept(back time.Duration) {
	if n.state == workerUp {
		n.diesAtAccept, n.diesRestartAfter = true, back
	}
}

// setRefusing: connections are refused, those there go on.
func (n *worker) setRefusing(on bool) { n.refusing = on; n.reportAcceptMode() }

// setSilent: connections never come up, those there go on.
func (n *worker) setSilent(on bool) { n.acceptsSilently = on; n.reportAcceptMode() }

// setResetBytes: each new connection is reset after it has read so many bytes, which is the driver's to carry out, as it knows how
// long requests are: only those that were read to their end come here, and the end comes as Hangup. < 0: after so many
// bytes of its first answer are written. 0: as ever.
func (n *worker) setResetBytes(bytes int) { n.resetBytes = bytes }

// setSlowRead: requests are read so slowly that their last byte comes 1 s late.
func (n *worker) setSlowRead(on bool) { n.slowReads = on }
