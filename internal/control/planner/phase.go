package planner

import "valvecove/internal/control/message"

// phase is how far a planner's life has come. Phases follow each other in this order.
type phase uint8

const (
	phaseNew      phase = iota // before the first step
	phaseRunning               // it decides
	phaseStopping              // it decides nothing more; its forwarders were told to leave
	phaseStopped
)

func (s phase) String() string {
	switch s {
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

// enter moves the planner to a phase, if that is later than its present one.
func (p *Planner) enter(to phase) {
	if to <= p.phase {
		return
	}
	p.phase = to
	switch to {
	case phaseRunning:
		p.nextTickAt = p.now
	case phaseStopping:
		p.stopDeadline = p.now + p.config.StopTimeout
	case phaseStopped:
		p.log("stopped", "sessions", len(p.forwarders.sessions))
		p.emit(Stopped{})
	}
}

// decides reports whether the policy is still asked.
func (p *Planner) decides() bool { return p.phase < phaseStopping }

// stop tells every forwarder to leave. Commands that were sent stay valid; what forwarders offer from now on is ignored.
func (p *Planner) stop() {
	if !p.decides() {
		return
	}
	p.enter(phaseStopping)
	p.log("stopping", "forwarders", len(p.forwarders.connected), "open_requests", p.requests.openCount)
	for _, f := range p.forwarders.connected {
		p.send(f, &message.Goodbye{})
	}
	for _, f := range p.forwarders.connected {
		p.closeRequestsOf(f)
	}
	p.policy.discardPending()
	p.finishStop()
}

// finishStop stops the planner once no session is left, or the time for that is over.
func (p *Planner) finishStop() {
	if len(p.forwarders.sessions) > 0 && p.now < p.stopDeadline {
		return
	}
	for _, id := range p.forwarders.sessionIDs() {
		p.emit(CloseSession{Session: id})
	}
	p.enter(phaseStopped)
}
