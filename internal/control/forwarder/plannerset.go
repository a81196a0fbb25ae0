package forwarder

import (
	"cmp"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// maxPlanners is how many planners a forwarder uses at most.
const maxPlanners = 64

// PlannerSelector orders planners by preference, by what the forwarder reports to it. It is *membership.ForwarderMembership
// in a forwarder process.
type PlannerSelector interface {
	// PlannersKnown reports the names of all planners that the forwarder knows, in order.
	PlannersKnown(now time.Duration, planners []string)
	// SessionChanged reports that a planner has accepted a session, or that it is lost to the forwarder: it has ended, does
	// not reply, or shuts down.
	SessionChanged(now time.Duration, planner string, up bool)
	// ReplyReceived reports how long a planner took to reply to a heartbeat, and how late it was, by its own reply, for its
	// own timers.
	ReplyReceived(now time.Duration, planner string, latency, timerLag time.Duration)
	// AppendOrder appends the names of planners to dst, the most preferred first.
	AppendOrder(now time.Duration, dst []string) []string
	// Next returns when the order may change without a report; 0: it does not.
	Next() time.Duration
}

// plannerSet is the planners to which there is a connection, and their order of preference. It passes on to the selector
// what that needs for its order.
type plannerSet struct {
	selector   PlannerSelector
	sessions   []*plannerSession // by name of the planner
	preferred  []*plannerSession // the same, the most preferred first
	orderNames []string          // of planners, as the selector has them
	orderStale bool              // preferred is to be computed anew
	knownCount int               // planners of the last setKnown
	hadPlanner bool              // a planner has accepted a session
}

// setKnown processes the names of all known planners.
func (p *plannerSet) setKnown(now time.Duration, names []string) {
	p.knownCount = len(names)
	p.selector.PlannersKnown(now, names)
	p.orderStale = true
}

// neverKnown reports whether there is no known planner, and none has ever accepted a session.
func (p *plannerSet) neverKnown() bool { return !p.hadPlanner && p.knownCount == 0 }

// all returns the sessions with all planners, by name of the planner. The slice is valid until the next add or remove.
func (p *plannerSet) all() []*plannerSession { return p.sessions }

// find returns the session with a planner, or nil.
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

// add returns the session with a planner, a new one if there is none; nil: there are maxPlanners already.
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

// sessionAccepted processes that a planner has accepted a session.
func (p *plannerSet) sessionAccepted(now time.Duration, planner string) {
	p.hadPlanner = true
	p.orderStale = true
	p.selector.SessionChanged(now, planner, true)
}

// sessionLost processes that the session with a planner has ended, or that the planner shuts down. The selector is notified
// if the planner accepted requests until now.
func (p *plannerSet) sessionLost(now time.Duration, planner string, wasActive bool) {
	p.orderStale = true
	if wasActive {
		p.selector.SessionChanged(now, planner, false)
	}
}

// replyReceived processes a planner's reply to a heartbeat.
func (p *plannerSet) replyReceived(now time.Duration, planner string, latency, timerLag time.Duration) {
	p.selector.ReplyReceived(now, planner, latency, timerLag)
	p.orderStale = true
}

// refreshOrder computes the order of preference anew, if it may have changed.
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

// nextOrderChange returns when the order of preference may change without an event; 0: not by time.
func (p *plannerSet) nextOrderChange(now time.Duration) time.Duration {
	if at := p.selector.Next(); at > now {
		return at
	}
	return 0
}

// anyCredit reports whether any planner accepts a request now.
func (p *plannerSet) anyCredit() bool {
	return slices.ContainsFunc(p.preferred, (*plannerSession).hasCredit)
}

// anyAccepts reports whether any planner accepts requests when it has credit.
func (p *plannerSet) anyAccepts() bool {
	return slices.ContainsFunc(p.sessions, (*plannerSession).acceptsRequests)
}

// draining returns the names of the planners that shut down.
func (p *plannerSet) draining() (names []string) {
	for _, session := range p.sessions {
		if session.state == sessionDraining {
			names = append(names, session.planner)
		}
	}
	return names
}
