package planner

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// maxPolicyIterations bounds the policy's iterations in a step. What a policy's actions lead to at once, it hears of in the
// next iteration.
const maxPolicyIterations = 8

// notifier passes an event to the policy in its next iteration.
type notifier interface{ notify(event dispatch.Event) }

// decider reports whether the planner still makes decisions.
type decider interface{ decides() bool }

// policyRunner is the policy with what is exchanged with it.
type policyRunner struct {
	policy      Policy
	phase       decider
	pending     []dispatch.Event  // that the policy has not been told yet
	delivered   []dispatch.Event  // of its step under way; else an empty buffer
	actions     []dispatch.Action // buffer
	timerAt     time.Duration     // 0: none is set
	subscribing bool              // it has asked for the endpoint list and was not answered

	recentPanics []time.Duration // within panicWindow, ascending
	backoffUntil time.Duration   // until then the policy is not asked, and no session is opened
}

// setTimer sets the policy's timer, unless an earlier one is set.
func (p *policyRunner) setTimer(at time.Duration) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
	}
}

// discardPending drops what a policy that is not asked any more was to be told.
func (p *policyRunner) discardPending() {
	p.pending = p.pending[:0]
	p.timerAt = 0
}

// takePending returns the pending events, which are then the delivered ones.
func (p *policyRunner) takePending() []dispatch.Event {
	p.pending, p.delivered = p.delivered[:0], p.pending
	return p.delivered
}

// releaseDelivered empties the buffer of delivered events, which refer to requests.
func (p *policyRunner) releaseDelivered() {
	clear(p.delivered)
	p.delivered = p.delivered[:0]
}

// notify adds an event for the policy's next iteration, unless the planner makes no decisions any more.
func (p *policyRunner) notify(event dispatch.Event) {
	if p.phase.decides() {
		p.pending = append(p.pending, event)
	}
}

// step has the policy take in events, and returns its actions in a buffer of the runner. The error of a panic is a
// *policyPanicError.
func (p *policyRunner) step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			actions, err = nil, &policyPanicError{cause: cause, location: panicLocation()}
		}
	}()
	return p.policy.Step(now, events, p.actions), nil
}

// recordPanic records a panic, and reports whether there were too many of late.
func (p *policyRunner) recordPanic(now time.Duration) (tooMany bool) {
	p.recentPanics = slices.DeleteFunc(p.recentPanics, func(at time.Duration) bool { return now-at >= panicWindow })
	p.recentPanics = append(p.recentPanics, now)
	return len(p.recentPanics) > maxPanics
}
