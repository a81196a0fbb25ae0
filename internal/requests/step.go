package requests

import (
	"time"

	"valvecove/dispatch"
)

// maxFlushSteps bounds the steps of FlushEvents: a policy could return an action that causes another event in each step.
const maxFlushSteps = 16

// NextStep returns by when Step has to be called. ok is false if no call is necessary until something happens.
func (t *Table) NextStep() (at time.Duration, ok bool) {
	if t.awaitUntil > 0 {
		return t.awaitUntil, true
	}
	if t.policy.hasEvents() {
		return 0, true
	}
	at = t.policy.timer
	if timeout, isSet := t.attempts.nextTimeout(); isSet && (at == 0 || timeout < at) {
		at = timeout
	}
	return at, at > 0
}

// Wake makes the next Step run the policy even if no other event is pending. It is called after the state of the policy was
// changed directly.
func (t *Table) Wake() { t.policy.addEvent(dispatch.TimerFired{}) }

// Step ends expired attempts, passes the pending events to the policy, and executes its actions in order. An event that an
// action causes immediately, such as a failed connection, is pending until the next Step. While requests wait for the endpoint
// list, Step does nothing.
func (t *Table) Step(now time.Duration) {
	if t.awaitUntil > now {
		return
	}
	t.awaitUntil = 0
	t.executed.step(now)
	t.policy.deductWaitTime(now, &t.requests)
	t.endpoints.logChanges(now)
	t.expireAttempts(now)
	t.policy.fireTimer(now)
	if t.policy.hasEvents() {
		t.runPolicy(now)
	}
}

// FlushEvents runs Step until no event is pending, maxFlushSteps times at most, and reports whether none is. Pending events are
// not part of a snapshot, and would be lost in a hot restart.
func (t *Table) FlushEvents(now time.Duration) bool {
	defer t.executed.step(now)
	for range maxFlushSteps {
		if !t.policy.hasEvents() {
			return true
		}
		t.Step(now)
	}
	return !t.policy.hasEvents()
}

// AddPeerMessages passes messages of another scheduler to the policy. from is the number of that scheduler.
func (t *Table) AddPeerMessages(from int, messages []dispatch.PeerMessage) {
	for _, message := range messages {
		t.policy.addEvent(dispatch.PeerMessageReceived{From: from, Message: message})
	}
}

// runPolicy passes the pending events to the policy and executes its actions.
func (t *Table) runPolicy(now time.Duration) {
	actions, panicked := t.policy.decide(now)
	if panicked != nil {
		t.policyLog.logPanic(panicked, t.OpenCount())
		t.restartPolicy()
		return
	}
	for _, action := range actions {
		t.execute(now, action)
	}
	t.policy.recycle(actions)
}

// restartPolicy replaces a policy whose state is invalid after a panic. All attempts are abandoned, each open request gets its
// final response, and the new policy starts with the current endpoint list.
func (t *Table) restartPolicy() {
	for _, request := range t.requests.inAdmissionOrder() {
		for _, attempt := range request.attempts {
			if !attempt.HasEnded() {
				t.abandon(attempt, ReasonCancelled)
			}
		}
		t.closeWithoutPolicy(request)
	}
	t.policy.restart()
	t.policy.addEvents(t.initialEvents())
}

// initialEvents returns the events for a policy without any state: the cordoned workers, and the endpoint list.
func (t *Table) initialEvents() []dispatch.Event {
	var events []dispatch.Event
	for _, worker := range t.cordons.sorted() {
		events = append(events, dispatch.Cordoned{Worker: worker})
	}
	return append(events, t.endpoints.cachedList())
}

// execute executes an action of the policy. An action about a request or an attempt that has ended has no effect.
func (t *Table) execute(now time.Duration, action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		t.startAttempt(now, action)
	case dispatch.Reject:
		if request := t.Request(action.Job); request != nil {
			t.reject(request, action.RetryAfter)
		}
	case dispatch.Fail:
		if request := t.Request(action.Job); request != nil {
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
		t.policy.setTimer(now + max(action.After, 1))
	case dispatch.Subscribe:
		t.WatchEndpoints()
	case dispatch.SendPeerMessage:
		if t.SendPeerMessage != nil {
			t.SendPeerMessage(action.To, action.Message)
		}
	case dispatch.Log, dispatch.WorkerEjected:
		t.policyLog.logAction(action)
	}
}
