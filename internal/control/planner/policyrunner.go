package planner

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// maxPolicyIterations is the maximum of the policy's iterations in a step. The policy is notified of the immediate
// results of its actions in the next iteration.
const maxPolicyIterations = 8

// notifier passes an event to the policy in its next iteration.
type notifier interface{ notify(event dispatch.Event) }

// decider reports whether the planner still makes decisions.
type decider interface{ decides() bool }

// policyRunner runs the policy: it collects the events of its next iteration, and owns its timer, its subscription and the
// record of its panics.
type policyRunner struct {
	policy      Policy
	phase       decider
	pending     []dispatch.Event  // of the next iteration
	delivered   []dispatch.Event  // of the present iteration; else an empty buffer
	actions     []dispatch.Action // buffer
	timerAt     time.Duration     // 0: none is set
	subscribing bool              // the policy has requested the endpoint list, which is not delivered yet

	recentPanics []time.Duration // within panicWindow, ascending
	backoffUntil time.Duration   // until then the policy is not run, and no session is opened
}

// setTimer sets the policy's timer, unless an earlier one is set.
func (p *policyRunner) setTimer(at time.Duration) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
	}
}

// notifyTimer adds the event of the policy's timer if that is due.
func (p *policyRunner) notifyTimer(now time.Duration) {
	if p.timerAt > 0 && p.timerAt <= now {
		p.timerAt = 0
		p.notify(dispatch.TimerFired{})
	}
}

// nextStepAt returns the next instant at which a step is needed, where the planner needs one at nextTickAt.
func (p *policyRunner) nextStepAt(nextTickAt time.Duration) time.Duration {
	switch {
	case len(p.pending) > 0:
		return p.backoffUntil
	case p.timerAt > 0:
		return min(nextTickAt, p.timerAt)
	}
	return nextTickAt
}

// isBackingOff reports whether the policy is not run for now, because it has panicked repeatedly.
func (p *policyRunner) isBackingOff(now time.Duration) bool { return now < p.backoffUntil }

// startBackoff stops the policy for panicBackoff, and discards the record of its panics.
func (p *policyRunner) startBackoff(now time.Duration) {
	p.recentPanics = p.recentPanics[:0]
	p.backoffUntil = now + panicBackoff
}

// subscribe records that the policy has requested the endpoint list.
func (p *policyRunner) subscribe() { p.subscribing = true }

// isSubscribing reports whether the policy waits for an endpoint list that it has requested.
func (p *policyRunner) isSubscribing() bool { return p.subscribing }

// endpointListReceived records a watch event of the endpoint list. Any but a cached list answers the policy's request.
func (p *policyRunner) endpointListReceived(kind dispatch.ListKind) {
	p.subscribing = p.subscribing && kind == dispatch.ListCached
}

// reset replaces the policy by one without any state. No event is pending for it.
func (p *policyRunner) reset(policy Policy) {
	p.policy = policy
	p.timerAt = 0
	p.subscribing = false
	p.pending = nil
}

// deliverPending runs the policy with the pending events, and keeps its actions behind those that were kept before.
func (p *policyRunner) deliverPending(now time.Duration) error {
	events := p.pending
	p.pending = nil
	actions, err := p.step(now, events)
	if err != nil {
		return err
	}
	p.actions = actions
	return nil
}

// takeActions returns the actions that were kept, and keeps none.
func (p *policyRunner) takeActions() []dispatch.Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// reuseActions makes the array of executed actions the buffer of the next ones.
func (p *policyRunner) reuseActions(actions []dispatch.Action) {
	clear(actions)
	p.actions = actions[:0]
}

// availableSlots returns how many slots are free by the policy's estimate; ok: it has one.
func (p *policyRunner) availableSlots() (slots float64, ok bool) {
	reporter, ok := p.policy.(capacityReporter)
	if !ok {
		return 0, false
	}
	return reporter.AvailableSlots(), true
}

// timeUntilOverdue returns after which time an attempt is overdue by the policy's estimate; ok: it has one.
func (p *policyRunner) timeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool) {
	estimator, ok := p.policy.(runtimeEstimator)
	if !ok {
		return 0, false
	}
	return estimator.TimeUntilOverdue(job, attempt)
}

// hasModel reports whether the policy has a model of which it makes snapshots.
func (p *policyRunner) hasModel() bool {
	_, ok := p.policy.(snapshotter)
	return ok
}

// modelSnapshot returns a snapshot of the policy's model; nil: it has no model.
func (p *policyRunner) modelSnapshot(maxBytes int) []byte {
	if source, ok := p.policy.(snapshotter); ok {
		return source.ModelSnapshot(maxBytes, nil)
	}
	return nil
}

// discardPending discards the events of a policy that is not run any more, and its timer.
func (p *policyRunner) discardPending() {
	p.pending = p.pending[:0]
	p.timerAt = 0
}

// takePending returns the pending events, which are then the delivered ones.
func (p *policyRunner) takePending() []dispatch.Event {
	events := p.pending
	p.pending = p.delivered[:0]
	p.delivered = events
	return events
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

// step runs the policy with events, and returns its actions in a buffer of the runner. The error of a panic is a
// *policyPanicError.
func (p *policyRunner) step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			actions, err = nil, &policyPanicError{cause: cause, location: panicLocation()}
		}
	}()
	return p.policy.Step(now, events, p.actions), nil
}

// recordPanic records a panic, and reports whether there were more than maxPanics within panicWindow.
func (p *policyRunner) recordPanic(now time.Duration) (tooMany bool) {
	p.recentPanics = slices.DeleteFunc(p.recentPanics, func(at time.Duration) bool { return now-at >= panicWindow })
	p.recentPanics = append(p.recentPanics, now)
	return len(p.recentPanics) > maxPanics
}
