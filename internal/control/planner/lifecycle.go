package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// phase is a phase in the life of a planner. A planner advances through the phases in order.
type phase uint8

func (p phase) String() string {
	switch p {
	case phaseNew:
		return "new"
	case phaseRunning:
		return "running"
	case phaseStopping:
		return "stopping"
	case phaseStopped:
		return "stopped"
	}
	return "unknown"
}

const (
	phaseNew      phase = iota // before the first step
	phaseRunning               // it makes decisions
	phaseStopping              // it makes no decisions; a goodbye was sent to its forwarders
	phaseStopped
)

// lifecycle tracks the phase of a planner and performs its graceful stop.
type lifecycle struct {
	step        *step
	stopTimeout time.Duration
	forwarders  *forwarderTable
	requests    *requestTable
	closer      requestCloser
	policy      pendingDiscarder

	phase        phase
	stopDeadline time.Duration // end of the wait for forwarders to disconnect
}

// enter moves the planner to a phase, unless it is already in that phase or a later one.
func (l *lifecycle) enter(to phase) {
	if to <= l.phase {
		return
	}
	l.phase = to
	switch to {
	case phaseStopping:
		l.stopDeadline = l.step.now() + l.stopTimeout
	case phaseStopped:
		l.step.log("stopped", "sessions", len(l.forwarders.sessions))
		l.step.emit(Stopped{})
	}
}

// decides reports whether the planner still makes decisions.
func (l *lifecycle) decides() bool { return l.phase < phaseStopping }

// stop sends a goodbye to each forwarder. Commands sent before remain valid; offers received later are ignored.
func (l *lifecycle) stop() {
	if !l.decides() {
		return
	}
	l.enter(phaseStopping)
	l.step.log("stopping", "forwarders", len(l.forwarders.connected), "open_requests", l.requests.openCount)
	for _, f := range l.forwarders.connected {
		l.step.send(f, &message.Goodbye{})
	}
	for _, f := range l.forwarders.connected {
		l.closer.closeAllOf(f)
	}
	l.policy.discardPending()
	l.finishStop()
}

// finishStop stops the planner if all sessions have ended or stopTimeout has passed.
func (l *lifecycle) finishStop() {
	if len(l.forwarders.sessions) > 0 && l.step.now() < l.stopDeadline {
		return
	}
	for _, id := range l.forwarders.sessionIDs() {
		l.step.emit(CloseSession{Session: id})
	}
	l.enter(phaseStopped)
}

// requestCloser closes the requests of a forwarder.
type requestCloser interface{ closeAllOf(f *forwarder) }

// pendingDiscarder discards the policy's pending events.
type pendingDiscarder interface{ discardPending() }
