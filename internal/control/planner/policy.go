package planner

import (
	"time"

	"valvecove/dispatch"
)

// Policy makes the decisions. It is a dispatch.Dispatcher, or something that does the same. Of a policy that has them, the
// methods ModelSnapshot, AvailableSlots and TimeUntilOverdue of dispatch.Dispatcher are used too.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

type (
	snapshotter interface {
		ModelSnapshot(maxBytes int, dst []byte) []byte
	}
	capacityReporter interface {
		AvailableSlots() float64
	}
	runtimeEstimator interface {
		TimeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool)
	}
)

// maxPolicyIterations bounds the policy's iterations in a step. What a policy's actions lead to at once, it hears of in the
// next iteration.
const maxPolicyIterations = 8

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

// notifier passes an event to the policy in its next iteration.
type notifier interface{ notify(event dispatch.Event) }

// decider reports whether the planner still makes decisions.
type decider interface{ decides() bool }

// notify adds an event for the policy's next iteration, unless the planner makes no decisions any more.
func (p *policyRunner) notify(event dispatch.Event) {
	if p.phase.decides() {
		p.pending = append(p.pending, event)
	}
}

// runPolicy has the policy decide, and executes its actions.
func (p *Planner) runPolicy() {
	for range maxPolicyIterations {
		if !p.lifecycle.decides() || p.step.now() < p.policy.backoffUntil {
			return
		}
		p.policySync.flush()
		if p.policy.timerAt > 0 && p.policy.timerAt <= p.step.now() {
			p.policy.timerAt = 0
			p.policy.notify(dispatch.TimerFired{})
		}
		if len(p.policy.pending) == 0 {
			return
		}
		actions, err := p.policy.step(p.step.now(), p.policy.takePending())
		if err == nil {
			p.commands.execute(actions)
		} else {
			p.recovery.replacePolicy(err)
		}
		p.policy.releaseDelivered()
	}
}
