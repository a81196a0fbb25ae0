package requests

import (
	"runtime/debug"
	"time"

	"valvecove/dispatch"
)

// Policy decides where and when requests are sent. *dispatch.Dispatcher is one. A policy that panics is replaced.
type Policy interface {
	// Step handles the events since the previous step, in order, and appends the resulting actions to dst. It retains neither
	// slice.
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// policyRunner runs the policy: it collects the events for the next step, and keeps the policy's timer.
type policyRunner struct {
	newPolicy    func() Policy
	policy       Policy
	timer        time.Duration // when the policy is to run next at the latest; 0: not set
	pending      []dispatch.Event
	eventBuffer  []dispatch.Event  // the events of the previous step, reused for pending events
	actionBuffer []dispatch.Action // reused from step to step
}

// policyPanic is the value and the stack of a panic of the policy.
type policyPanic struct {
	cause any
	stack []byte
}

// addEvent adds an event for the policy's next step.
func (p *policyRunner) addEvent(event dispatch.Event) { p.pending = append(p.pending, event) }

// addEvents adds events for the policy's next step.
func (p *policyRunner) addEvents(events []dispatch.Event) { p.pending = append(p.pending, events...) }

// hasEvents reports whether events are pending.
func (p *policyRunner) hasEvents() bool { return len(p.pending) > 0 }

// discardEvents drops the pending events.
func (p *policyRunner) discardEvents() { p.pending = p.pending[:0] }

// deductWaitTime reduces the remaining time of the pending jobs by the time that their requests have waited.
func (p *policyRunner) deductWaitTime(now time.Duration, requests *requestIndex) {
	for i, event := range p.pending {
		job, isJob := event.(dispatch.Job)
		if !isJob {
			continue
		}
		if request := requests.find(job.ID); request != nil && request.ArrivedAt < now {
			job.Remaining = request.Deadline - now
			p.pending[i] = job
		}
	}
}

// setTimer sets the timer to an instant, unless it is set to an earlier one.
func (p *policyRunner) setTimer(at time.Duration) {
	if p.timer == 0 || at < p.timer {
		p.timer = at
	}
}

// restoreTimer replaces the timer; 0 clears it.
func (p *policyRunner) restoreTimer(at time.Duration) { p.timer = at }

// fireTimer clears the timer and adds its event, if the timer is due.
func (p *policyRunner) fireTimer(now time.Duration) {
	if p.timer == 0 || p.timer > now {
		return
	}
	p.timer = 0
	p.addEvent(dispatch.TimerFired{})
}

// decide passes the pending events to the policy, and returns its actions, which are valid until recycle. Events that are added
// from now on are pending for the next step. After a panic there are no actions, and the policy must be restarted.
func (p *policyRunner) decide(now time.Duration) (actions []dispatch.Action, panicked *policyPanic) {
	events := p.pending
	p.pending = p.eventBuffer[:0]
	actions, panicked = p.step(now, events)
	clear(events)
	p.eventBuffer = events[:0]
	return actions, panicked
}

// step calls the policy, and recovers from a panic.
func (p *policyRunner) step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, panicked *policyPanic) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = &policyPanic{cause: cause, stack: debug.Stack()}
		}
	}()
	return p.policy.Step(now, events, p.actionBuffer[:0]), nil
}

// recycle releases actions that decide has returned, and keeps their memory for the next step.
func (p *policyRunner) recycle(actions []dispatch.Action) {
	clear(actions)
	p.actionBuffer = actions[:0]
}

// replace replaces the policy by one that was restored. The timer and the pending events stay.
func (p *policyRunner) replace(policy Policy) { p.policy = policy }

// restart replaces the policy by a new one, which has no timer and no pending events.
func (p *policyRunner) restart() {
	p.policy = p.newPolicy()
	p.timer = 0
	p.actionBuffer = nil
	p.discardEvents()
}
