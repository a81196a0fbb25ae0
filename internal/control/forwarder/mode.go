package forwarder

import (
	"fmt"
	"slices"
	"time"
)

// modeCheckDelay is the time to the next step where the local policy has something to do that did not fit into this one.
const modeCheckDelay = time.Millisecond

// mode is who decides on requests.
type mode uint8

const (
	modeManaged    mode = iota // planners do; there is no local policy
	modeStandalone             // the local policy does
	modeReturning              // planners do, and the local policy finishes what it has
)

// String returns the mode's name.
func (m mode) String() string {
	switch m {
	case modeManaged:
		return "managed"
	case modeStandalone:
		return "standalone"
	case modeReturning:
		return "returning"
	default:
		return fmt.Sprintf("mode(%d)", uint8(m))
	}
}

// modeEvent is what changes the mode.
type modeEvent uint8

const (
	eventPlannersLost    modeEvent = iota // there has been no planner for too long
	eventPlannersSettled                  // there has been one for long enough
	eventLocalFinished                    // the local policy has no requests any more
)

// after returns the mode that follows m on an event, or false where the event has no meaning.
func (m mode) after(event modeEvent) (next mode, valid bool) {
	switch event {
	case eventPlannersLost:
		return modeStandalone, m != modeStandalone
	case eventPlannersSettled:
		return modeReturning, m == modeStandalone
	case eventLocalFinished:
		return modeManaged, m == modeReturning
	default:
		return m, false
	}
}

// transition changes the mode for an event. It reports false, and changes nothing, where the event has no meaning.
func (f *Forwarder) transition(event modeEvent) bool {
	next, valid := f.mode.after(event)
	if valid {
		f.mode = next
	}
	return valid
}

// updateMode enters or leaves standalone mode, by whether there is a planner that takes requests.
func (f *Forwarder) updateMode() {
	if available := slices.ContainsFunc(f.sessions, (*plannerSession).takesRequests); available != f.plannerAvailable {
		f.plannerAvailable = available
		f.availableSince = f.now
	}
	switch {
	case f.shouldEnterStandalone():
		f.enterStandalone()
	case f.shouldLeaveStandalone():
		f.leaveStandalone()
	}
	if f.mode == modeReturning && f.local.isIdle() {
		f.transition(eventLocalFinished)
		f.local.stop()
	}
}

// shouldEnterStandalone reports whether the forwarder is to go on without planners: at once if it never knew of any, or if
// the local policy still has requests.
func (f *Forwarder) shouldEnterStandalone() bool {
	if f.plannerAvailable || f.mode == modeStandalone {
		return false
	}
	knowsNone := !f.hadPlanner && f.knownPlanners == 0
	return knowsNone || f.mode == modeReturning || f.now-f.availableSince >= f.config.StandaloneAfter
}

// shouldLeaveStandalone reports whether planners are to decide again: at once if the local policy has no requests.
func (f *Forwarder) shouldLeaveStandalone() bool {
	if !f.plannerAvailable || f.mode != modeStandalone {
		return false
	}
	return f.local.requests == 0 || f.now-f.availableSince >= f.config.SettleTime
}

// enterStandalone has the local policy decide on all requests.
func (f *Forwarder) enterStandalone() {
	f.transition(eventPlannersLost)
	f.stats.Standalone++
	for f.returning.Len() > 0 {
		f.dequeue(f.returning.first())
	}
	f.log("standalone mode entered", "waiting", f.countWaiting())
	f.startLocalPolicy()
}

// leaveStandalone has planners decide again. New requests go there at once, then those of the local policy that have no
// attempt in flight. The others stay with it until their attempts have ended.
func (f *Forwarder) leaveStandalone() {
	f.transition(eventPlannersSettled)
	staying := 0
	for _, request := range f.requests { // in any order: the queue sorts them
		switch {
		case request.state != requestLocal:
		case f.validator.InFlight(request.job.ID) > 0:
			staying++
		default:
			f.enqueueIn(request, &f.returning)
		}
	}
	f.log("standalone mode left", "returning", f.returning.Len(), "staying", staying)
}

// nextModeCheck returns when the mode or the local policy is to be looked at again; 0: not by time.
func (f *Forwarder) nextModeCheck() time.Duration {
	standalone := f.mode == modeStandalone
	switch {
	case len(f.local.events) > 0 || standalone && f.countWaiting() > 0:
		return f.now + modeCheckDelay
	case f.plannerAvailable && standalone:
		return f.local.earlierTimer(f.availableSince + f.config.SettleTime)
	case !f.plannerAvailable && !standalone:
		return f.local.earlierTimer(f.availableSince + f.config.StandaloneAfter)
	case f.mode == modeReturning && f.local.requests == 0:
		return f.now + modeCheckDelay // the next step stops the local policy
	}
	return f.local.timerAt
}
