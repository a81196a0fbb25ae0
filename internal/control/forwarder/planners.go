package forwarder

import (
	"cmp"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// PlannerSelector says which planners are to be preferred, by what the forwarder tells it of them. It is
// *membership.ForwarderMembership in a forwarder process.
type PlannerSelector interface {
	// PlannersKnown reports the names of all planners that the forwarder knows, in order.
	PlannersKnown(now time.Duration, planners []string)
	// SessionChanged reports that a planner has accepted a session, or that it is lost to the forwarder: it has ended, does
	// not reply, or shuts down.
	SessionChanged(now time.Duration, planner string, up bool)
	// ReplyReceived reports how long a planner took to reply to a heartbeat, and how late it says that it is for its own
	// timers.
	ReplyReceived(now time.Duration, planner string, latency, timerLag time.Duration)
	// AppendOrder appends the names of planners to dst, the one first that new requests go to.
	AppendOrder(now time.Duration, dst []string) []string
	// Next returns when the order may change by itself; 0: it does not.
	Next() time.Duration
}

// plannersChanged processes the names of all known planners.
func (f *Forwarder) plannersChanged(names []string) {
	f.knownPlanners = len(names)
	f.selector.PlannersKnown(f.now, names)
	f.orderStale = true
}

// connectionChanged processes that a connection to a planner is established, or lost.
func (f *Forwarder) connectionChanged(planner string, connected bool) {
	if connected {
		if session := f.addSession(planner); session != nil {
			f.startSession(session)
		}
		return
	}
	if session := f.findSession(planner); session != nil {
		f.loseSession(session)
		f.removeSession(session)
	}
}

// findSession returns the session with a planner, or nil.
func (f *Forwarder) findSession(planner string) *plannerSession {
	if i, found := f.searchSession(planner); found {
		return f.sessions[i]
	}
	return nil
}

func (f *Forwarder) searchSession(planner string) (index int, found bool) {
	return slices.BinarySearchFunc(f.sessions, planner, func(session *plannerSession, planner string) int {
		return cmp.Compare(session.planner, planner)
	})
}

// sessionByEpoch returns the accepted session of an epoch, or nil.
func (f *Forwarder) sessionByEpoch(epoch message.Epoch) *plannerSession {
	for _, session := range f.sessions {
		if session.isAccepted() && session.epoch == epoch {
			return session
		}
	}
	return nil
}

// addSession returns the session with a planner, a new one if there is none; nil: there are too many.
func (f *Forwarder) addSession(planner string) *plannerSession {
	i, found := f.searchSession(planner)
	if !found {
		if len(f.sessions) >= maxPlanners {
			return nil
		}
		f.sessions = slices.Insert(f.sessions, i, &plannerSession{planner: planner})
		f.orderStale = true
	}
	return f.sessions[i]
}

func (f *Forwarder) removeSession(session *plannerSession) {
	if i, found := f.searchSession(session.planner); found {
		f.sessions = slices.Delete(f.sessions, i, i+1)
		f.orderStale = true
	}
}

// refreshOrder computes the order of preference anew, if it may have changed.
func (f *Forwarder) refreshOrder() {
	if at := f.selector.Next(); !f.orderStale && (at == 0 || at > f.now) {
		return
	}
	f.orderStale = false
	f.orderNames = f.selector.AppendOrder(f.now, f.orderNames[:0])
	f.preferred = f.preferred[:0]
	for _, name := range f.orderNames {
		f.addPreferred(f.findSession(name))
	}
	for _, session := range f.sessions {
		f.addPreferred(session)
	}
}

func (f *Forwarder) addPreferred(session *plannerSession) {
	if session != nil && !slices.Contains(f.preferred, session) {
		f.preferred = append(f.preferred, session)
	}
}
