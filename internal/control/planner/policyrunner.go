package planner

import (
	"slices"
	"time"

	"valvecove/dispatch"
)

// maxPolicyIterations limits the policy's iterations per step. Each iteration delivers the events that resulted immediately
// from the actions of the previous one.
const maxPolicyIterations = 8

// notifier queues an event for the policy's next iteration.
type notifier interface{ notify(event dispatch.Event) }

// decider reports whether the planner still makes decisions.
type decider interface{ decides() bool }

// policyRunner runs the policy. It queues the policy's events, and owns its timer, its subscription and the record of its
// panics.
type policyRunner struct {
	policy      Policy
	phase       decider
	pending     []dispatch.Event  // for the next iteration
	delivered   []dispatch.Event  // in the current iteration; otherwise an empty buffer
	actions     []dispatch.Action // buffer
	timerAt     time.Duration     // 0 if no timer is set
	subscribing bool              // the policy has requested the endpoint list and not received it yet

	recentPanics []time.Duration // times of panics within panicWindow, ascending
	backoffUntil time.Duration   // until then the policy is not run and no session is accepted
}

// setTimer sets the policy's timer, unless an earlier one is set.
func (p *policyRunner) setTimer(at time.Duration) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
	}
}

// notifyTimer notifies the policy if its timer is due.
func (p *policyRunner) notifyTimer(now time.Duration) {
	if p.timerAt > 0 && p.timerAt <= now {
		p.timerAt = 0
		p.notify(dispatch.TimerFired{})
	}
}

// nextStepAt returns when the next step is due: at the end of the backoff if events are pending, otherwise at the policy's
// timer or nextTickAt, whichever is earlier.
func (p *policyRunner) nextStepAt(nextTickAt time.Duration) time.Duration {
	switch {
	case len(p.pending) > 0:
		return p.backoffUntil
	case p.timerAt > 0:
		return min(nextTickAt, p.timerAt)
	}
	return nextTickAt
}

// isBackingOff reports whether the policy is suspended because it has panicked repeatedly.
func (p *policyRunner) isBackingOff(now time.Duration) bool { return now < p.backoffUntil }

// startBackoff suspends the policy for panicBackoff and discards the record of its panics.
func (p *policyRunner) startBackoff(now time.Duration) {
	p.recentPanics = p.recentPanics[:0]
	p.backoffUntil = now + panicBackoff
}

// subscribe records that the policy has requested the endpoint list.
func (p *policyRunner) subscribe() { p.subscribing = true }

// isSubscribing reports whether the policy is waiting for an endpoint list that it has requested.
func (p *policyRunner) isSubscribing() bool { return p.subscribing }

// endpointListReceived records a watch event of the endpoint list. Any event but a cached list completes the subscription.
func (p *policyRunner) endpointListReceived(kind dispatch.ListKind) {
	p.subscribing = p.subscribing && kind == dispatch.ListCached
}

// reset replaces the policy by a new one, and discards the timer, the subscription and the pending events.
func (p *policyRunner) reset(policy Policy) {
	p.policy = policy
	p.timerAt = 0
	p.subscribing = false
	p.pending = nil
}

// deliverPending runs the policy with the pending events, and appends its actions to those kept for takeActions.
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

// takeActions returns the kept actions and clears them.
func (p *policyRunner) takeActions() []dispatch.Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// reuseActions makes the slice of executed actions the buffer for the next actions.
func (p *policyRunner) reuseActions(actions []dispatch.Action) {
	clear(actions)
	p.actions = actions[:0]
}

// availableSlots returns the policy's estimate of free slots; ok is false if it has none.
func (p *policyRunner) availableSlots() (slots float64, ok bool) {
	reporter, ok := p.policy.(capacityReporter)
	if !ok {
		return 0, false
	}
	return reporter.AvailableSlots(), true
}

// timeUntilOverdue returns the policy's estimate of the time until an attempt is overdue; ok is false if it has none.
func (p *policyRunner) timeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool) {
	estimator, ok := p.policy.(runtimeEstimator)
	if !ok {
		return 0, false
	}
	return estimator.TimeUntilOverdue(job, attempt)
}

// hasModel reports whether the policy can return snapshots of a model.
func (p *policyRunner) hasModel() bool {
	_, ok := p.policy.(snapshotter)
	return ok
}

// modelSnapshot returns a snapshot of the policy's model, or nil if it has no model.
func (p *policyRunner) modelSnapshot(maxBytes int) []byte {
	if source, ok := p.policy.(snapshotter); ok {
		return source.ModelSnapshot(maxBytes, nil)
	}
	return nil
}

// discardPending discards the pending events and the timer of a policy that is no longer run.
func (p *policyRunner) discardPending() {
	p.pending = p.pending[:0]
	p.timerAt = 0
}

// takePending returns the pending events and records them as delivered.
func (p *policyRunner) takePending() []dispatch.Event {
	events := p.pending
	p.pending = p.delivered[:0]
	p.delivered = events
	return events
}

// releaseDelivered clears the delivered events, so that the buffer retains no references to requests.
func (p *policyRunner) releaseDelivered() {
	clear(p.delivered)
	p.delivered = p.delivered[:0]
}

// notify queues an event for the policy's next iteration, unless the planner no longer makes decisions.
func (p *policyRunner) notify(event dispatch.Event) {
	if p.phase.decides() {
		p.pending = append(p.pending, event)
	}
}

// step runs the policy with events, and returns its actions appended to the runner's buffer. If the policy panics, the error
// is a *policyPanicError.
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
