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
	pending     []dispatch.Event  // that the policy has not been told yet
	delivered   []dispatch.Event  // of its step under way; else an empty buffer
	actions     []dispatch.Action // buffer
	timerAt     time.Duration     // 0: none is set
	subscribing bool              // it has asked for the endpoint list and was not answered

	recentPanics []time.Duration // within panicWindow, ascending
	backoffUntil time.Duration   // until then the policy is not asked, and no session is opened
}

// setTimer sets the policy's timer, unless an earlier one is set.
func (r *policyRunner) setTimer(at time.Duration) {
	if r.timerAt == 0 || at < r.timerAt {
		r.timerAt = at
	}
}

// discardPending drops what a policy that is not asked any more was to be told.
func (r *policyRunner) discardPending() {
	r.pending = r.pending[:0]
	r.timerAt = 0
}

// takePending returns the pending events, which are then the delivered ones.
func (r *policyRunner) takePending() []dispatch.Event {
	r.pending, r.delivered = r.delivered[:0], r.pending
	return r.delivered
}

// releaseDelivered empties the buffer of delivered events, which refer to requests.
func (r *policyRunner) releaseDelivered() {
	clear(r.delivered)
	r.delivered = r.delivered[:0]
}

// notifyPolicy has the policy hear of an event in its next iteration, unless it decides nothing any more.
func (p *Planner) notifyPolicy(event dispatch.Event) {
	if p.decides() {
		p.policy.pending = append(p.policy.pending, event)
	}
}

// runPolicy has the policy decide, and executes its actions.
func (p *Planner) runPolicy() {
	for range maxPolicyIterations {
		if !p.decides() || p.now < p.policy.backoffUntil {
			return
		}
		p.flushWorkerUpdates()
		if p.policy.timerAt > 0 && p.policy.timerAt <= p.now {
			p.policy.timerAt = 0
			p.notifyPolicy(dispatch.TimerFired{})
		}
		if len(p.policy.pending) == 0 {
			return
		}
		actions, err := p.policy.step(p.now, p.policy.takePending())
		if err == nil {
			p.execute(actions)
		} else {
			p.recoverPolicy(err)
		}
		p.policy.releaseDelivered()
	}
}
