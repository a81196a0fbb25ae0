package requests

import (
	"fmt"
	"runtime/debug"
	"time"

	"valvecove/dispatch"
)

// Policy decides where and when requests are sent. *dispatch.Dispatcher is one. A policy that panics is replaced.
type Policy interface {
	// Step takes the events since the step before, in order, and appends the actions that follow to dst. It retains
	// neither slice.
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// maxFlushSteps bounds the steps of FlushEvents: a policy could answer each step with an action that leads to an event.
const maxFlushSteps = 16

// NextStep returns by when Step has to be called. ok is false if no call is necessary until something happens.
func (t *Table) NextStep() (at time.Duration, ok bool) {
	if t.awaitUntil > 0 {
		return t.awaitUntil, true
	}
	if len(t.pendingEvents) > 0 {
		return 0, true
	}
	at = t.policyTimer
	if t.timeouts.Len() > 0 && (at == 0 || t.timeouts.First().At < at) {
		at = t.timeouts.First().At
	}
	return at, at > 0
}

// Wake has the next Step run the policy even if the table has no event for it. It is for a policy that has learned
// something by another way.
func (t *Table) Wake() { t.addEvent(dispatch.TimerFired{}) }

// Step ends attempts that are past their time, hands the policy the pending events, and carries out its actions in
// order. An event that an action leads to at once, as a connection that fails, waits for the next Step. While requests
// wait for the endpoint list, Step does nothing.
func (t *Table) Step(now time.Duration) {
	if t.awaitUntil > now {
		return
	}
	t.awaitUntil = 0
	t.deductWaitTime(now)
	t.logChanges(now)
	t.expireAttempts(now)
	if t.policyTimer > 0 && t.policyTimer <= now {
		t.policyTimer = 0
		t.addEvent(dispatch.TimerFired{})
	}
	if len(t.pendingEvents) > 0 {
		t.runPolicy(now)
	}
}

// FlushEvents runs the policy until it knows all events, and reports whether it does: a pending event is no part of a
// snapshot, and would be lost with a hot restart.
func (t *Table) FlushEvents(now time.Duration) bool {
	for range maxFlushSteps {
		if len(t.pendingEvents) == 0 {
			return true
		}
		t.Step(now)
	}
	return len(t.pendingEvents) == 0
}

// AddPeerMessages gives the policy messages of another scheduler, by its number.
func (t *Table) AddPeerMessages(from int, messages []dispatch.PeerMessage) {
	for _, message := range messages {
		t.addEvent(dispatch.PeerMessageReceived{From: from, Message: message})
	}
}

// addEvent adds an event for the policy's next step.
func (t *Table) addEvent(event dispatch.Event) { t.pendingEvents = append(t.pendingEvents, event) }

// runPolicy hands the policy the pending events and carries out its actions.
func (t *Table) runPolicy(now time.Duration) {
	events := t.pendingEvents
	t.pendingEvents = t.eventBuffer[:0]
	actions, ok := t.decide(now, events)
	clear(events)
	t.eventBuffer = events[:0]
	if !ok {
		return
	}
	for _, action := range actions {
		t.execute(now, action)
	}
	clear(actions)
	t.actionBuffer = actions[:0]
}

// decide returns the policy's actions. ok is false if the policy has panicked; it is replaced then.
func (t *Table) decide(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			t.logger.Error("policy panic: policy restarted", "panic", fmt.Sprint(cause), "failed", len(t.openByCallID),
				"stack", string(debug.Stack()))
			t.restartPolicy()
		}
	}()
	return t.policy.Step(now, events, t.actionBuffer[:0]), true
}

// restartPolicy replaces a policy whose state can't be trusted any more. All attempts are abandoned, each open request
// gets its final response, and the new policy begins with the endpoint list that the table has.
func (t *Table) restartPolicy() {
	for _, request := range t.inAdmissionOrder() {
		for _, attempt := range request.attempts {
			if !attempt.HasEnded() {
				t.abandon(attempt, ReasonCancelled)
			}
		}
		t.closeWithoutPolicy(request)
	}
	t.policy = t.newPolicy()
	t.policyTimer = 0
	t.actionBuffer = nil
	t.pendingEvents = append(t.pendingEvents[:0], t.knownState()...)
}

// execute carries out one action of the policy. One about a request or an attempt that has ended has no effect.
func (t *Table) execute(now time.Duration, action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		t.startAttempt(now, action)
	case dispatch.Reject:
		if request := t.requests[action.Job]; request != nil {
			t.reject(request, action.RetryAfter)
		}
	case dispatch.Fail:
		if request := t.requests[action.Job]; request != nil {
			t.fail(request)
		}
	case dispatch.Cancel:
		if attempt := t.InFlightAttempt(action.Job, action.Attempt); attempt != nil {
			t.cancel(attempt, ReasonCancelled)
		}
	case dispatch.HealthCheck:
		t.transport.CheckHealth(action.Worker)
	case dispatch.CloseIdleConnections:
		t.transport.CloseIdleConnections(action.Worker)
	case dispatch.SetTimer:
		t.setPolicyTimer(now + max(action.After, 1))
	case dispatch.Subscribe:
		t.WatchEndpoints()
	case dispatch.SendPeerMessage:
		if t.TellPeer != nil {
			t.TellPeer(action.To, action.Message)
		}
	case dispatch.Log, dispatch.WorkerEjected:
		t.logPolicyAction(action)
	}
}

// setPolicyTimer has the policy woken at an instant, unless it is woken before.
func (t *Table) setPolicyTimer(at time.Duration) {
	if t.policyTimer == 0 || at < t.policyTimer {
		t.policyTimer = at
	}
}
