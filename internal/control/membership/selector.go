package membership

import "time"

// The methods in this file implement forwarder.PlannerSelector. The next Step returns the resulting actions.

// PlannersKnown does nothing, because membership itself tracks the planners.
func (f *ForwarderMembership) PlannersKnown(time.Duration, []string) {}

// SessionChanged processes the opening or the loss of a session with a planner.
func (f *ForwarderMembership) SessionChanged(now time.Duration, planner string, up bool) {
	if up {
		f.handleNow(now, PlannerConnected{planner})
	} else {
		f.handleNow(now, PlannerDisconnected{Name: planner})
	}
}

// ReplyReceived processes the round-trip time of a planner's reply, and by how much the planner's timers run late.
func (f *ForwarderMembership) ReplyReceived(now time.Duration, planner string, latency, timerLag time.Duration) {
	f.handleNow(now, ReplyReceived{planner, latency, timerLag})
}

// AppendOrder appends the planners that are present to dst, in order of preference.
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
