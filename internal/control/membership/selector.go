package membership

import "time"

// The methods of this file implement forwarder.PlannerSelector. Actions that follow from them are returned by the next Step.

// PlannersKnown has no effect: membership itself decides which planners there are.
func (f *ForwarderMembership) PlannersKnown(time.Duration, []string) {}

// SessionChanged reports that a session with a planner has opened or was lost.
func (f *ForwarderMembership) SessionChanged(now time.Duration, planner string, up bool) {
	if up {
		f.handleNow(now, PlannerConnected{planner})
	} else {
		f.handleNow(now, PlannerDisconnected{Name: planner})
	}
}

// ReplyReceived reports how long a planner took to reply, and how late its own timers run.
func (f *ForwarderMembership) ReplyReceived(now time.Duration, planner string, latency, timerLag time.Duration) {
	f.handleNow(now, ReplyReceived{planner, latency, timerLag})
}

// AppendOrder appends the planners that are present to dst, the one to follow first.
func (f *ForwarderMembership) AppendOrder(now time.Duration, dst []string) []string {
	f.beginStep(now)
	f.update()
	return append(dst, f.ranking...)
}

// handleNow processes one event, and keeps the resulting actions for the next Step.
func (f *ForwarderMembership) handleNow(now time.Duration, event Event) {
	f.beginStep(now)
	f.handle(event)
	f.update()
}
