package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// phase is the phase of a planner. A planner passes through the phases in this order.
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
	phaseStopping              // it makes no decisions; its forwarders have received a goodbye
	phaseStopped
)

// lifecycle is the phase of a planner, and its orderly stop.
type lifecycle struct {
	step        *step
	stopTimeout time.Duration
	forwarders  *forwarderTable
	requests    *requestTable
	closer      requestCloser
	policy      pendingDiscarder

	phase        phase
	stopDeadline time.Duration // of the wait for forwarders to disconnect, while stopping
}

// enter moves the planner to a phase, if that is later than its present one.
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

// stop sends a goodbye to each forwarder. Commands that were sent remain valid; later offers are ignored.
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

// finishStop stops the planner if no session is left, or stopTimeout has passed.
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

// pendingDiscarder discards the events that are pending for the policy.
type pendingDiscarder interface{ discardPending() }
