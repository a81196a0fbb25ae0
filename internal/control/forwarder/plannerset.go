package forwarder

import (
	"cmp"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// maxPlanners is the maximum number of planners that a forwarder uses.
const maxPlanners = 64

// PlannerSelector orders planners by preference, based on what the forwarder reports to it. A forwarder process uses
// *membership.ForwarderMembership.
type PlannerSelector interface {
	// PlannersKnown reports the names of all planners that the forwarder knows, sorted.
	PlannersKnown(now time.Duration, planners []string)
	// SessionChanged reports that a planner has accepted a session (up), or that it can no longer be used because the session has
	// ended, the planner does not reply, or it is shutting down.
	SessionChanged(now time.Duration, planner string, up bool)
	// ReplyReceived reports how long a planner took to reply to a heartbeat, and the timer lag that the reply states: how late
	// the planner's own timers fire.
	ReplyReceived(now time.Duration, planner string, latency, timerLag time.Duration)
	// AppendOrder appends the names of planners to dst, the most preferred first.
	AppendOrder(now time.Duration, dst []string) []string
	// Next returns when the order may change without a further report, or 0 if it does not.
	Next() time.Duration
}

// plannerSet holds the sessions with all connected planners and their order of preference. It reports to the selector what the
// order depends on.
type plannerSet struct {
	selector   PlannerSelector
	sessions   []*plannerSession // by name of the planner
	preferred  []*plannerSession // the same, the most preferred first
	orderNames []string          // planner names in the selector's order; the memory is reused
	orderStale bool              // preferred must be recomputed
	knownCount int               // number of planners in the last setKnown
	hadPlanner bool              // whether a planner has ever accepted a session
}

// setKnown records how many planners are known, and reports their names to the selector.
func (p *plannerSet) setKnown(now time.Duration, names []string) {
	p.knownCount = len(names)
	p.selector.PlannersKnown(now, names)
	p.orderStale = true
}

// neverKnown reports whether there is no known planner, and none has ever accepted a session.
func (p *plannerSet) neverKnown() bool { return !p.hadPlanner && p.knownCount == 0 }

// all returns the sessions with all planners, by name of the planner. The slice is valid until the next add or remove.
func (p *plannerSet) all() []*plannerSession { return p.sessions }

// find returns the session with a planner, or nil if there is no connection to it.
func (p *plannerSet) find(planner string) *plannerSession {
	if i, found := p.search(planner); found {
		return p.sessions[i]
	}
	return nil
}

func (p *plannerSet) search(planner string) (index int, found bool) {
	return slices.BinarySearchFunc(p.sessions, planner, func(session *plannerSession, planner string) int {
		return cmp.Compare(session.planner, planner)
	})
}

// findByEpoch returns the accepted session of an epoch, or nil.
func (p *plannerSet) findByEpoch(epoch message.Epoch) *plannerSession {
	for _, session := range p.sessions {
		if session.isAccepted() && session.epoch == epoch {
			return session
		}
	}
	return nil
}

// add returns the session with a planner, and creates it if there is none. It returns nil if there are maxPlanners already.
func (p *plannerSet) add(planner string) *plannerSession {
	i, found := p.search(planner)
	if !found {
		if len(p.sessions) >= maxPlanners {
			return nil
		}
		p.sessions = slices.Insert(p.sessions, i, &plannerSession{planner: planner})
		p.orderStale = true
	}
	return p.sessions[i]
}

// remove removes the session with a planner.
func (p *plannerSet) remove(session *plannerSession) {
	if i, found := p.search(session.planner); found {
		p.sessions = slices.Delete(p.sessions, i, i+1)
		p.orderStale = true
	}
}

// sessionAccepted records and reports that a planner has accepted a session.
func (p *plannerSet) sessionAccepted(now time.Duration, planner string) {
	p.hadPlanner = true
	p.orderStale = true
	p.selector.SessionChanged(now, planner, true)
}

// sessionLost handles the end of a session or the shutdown of its planner. The selector is notified if wasActive is set: the
// planner accepted requests until now.
func (p *plannerSet) sessionLost(now time.Duration, planner string, wasActive bool) {
	p.orderStale = true
	if wasActive {
		p.selector.SessionChanged(now, planner, false)
	}
}

// replyReceived reports a planner's reply to a heartbeat to the selector.
func (p *plannerSet) replyReceived(now time.Duration, planner string, latency, timerLag time.Duration) {
	p.selector.ReplyReceived(now, planner, latency, timerLag)
	p.orderStale = true
}

// refreshOrder recomputes the order of preference if it may have changed.
func (p *plannerSet) refreshOrder(now time.Duration) {
	if at := p.selector.Next(); !p.orderStale && (at == 0 || at > now) {
		return
	}
	p.orderStale = false
	p.orderNames = p.selector.AppendOrder(now, p.orderNames[:0])
	p.preferred = p.preferred[:0]
	for _, name := range p.orderNames {
		p.addPreferred(p.find(name))
	}
	for _, session := range p.sessions {
		p.addPreferred(session)
	}
}

func (p *plannerSet) addPreferred(session *plannerSession) {
	if session != nil && !slices.Contains(p.preferred, session) {
		p.preferred = append(p.preferred, session)
	}
}

// byPreference returns the sessions with all planners as of the last refreshOrder, the most preferred first.
func (p *plannerSet) byPreference() []*plannerSession { return p.preferred }

// nextOrderChange returns when the order of preference may change without an event, or 0 if no such time is known.
func (p *plannerSet) nextOrderChange(now time.Duration) time.Duration {
	if at := p.selector.Next(); at > now {
		return at
	}
	return 0
}

// anyCredit reports whether any planner has credit for a request now.
func (p *plannerSet) anyCredit() bool {
	return slices.ContainsFunc(p.preferred, (*plannerSession).hasCredit)
}

// anyAccepts reports whether any planner accepts requests, even if it has no credit now.
func (p *plannerSet) anyAccepts() bool {
	return slices.ContainsFunc(p.sessions, (*plannerSession).acceptsRequests)
}

// draining returns the names of the planners that are shutting down.
func (p *plannerSet) draining() (names []string) {
	for _, session := range p.sessions {
		if session.state == sessionDraining {
			names = append(names, session.planner)
		}
	}
	return names
}
