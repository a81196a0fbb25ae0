package requests

import (
	"fmt"
	"runtime/debug"
	"time"

	"valvecove/dispatch"
)

// FlushEvents has the module hear all that has come in, and tells whether nothing is left: what the module had not heard would
// be lost with a hand-over.
func (l *Table) FlushEvents(now time.Duration) bool {
	for range 16 {
		if len(l.pendingEvents) == 0 {
			return true
		}
		l.Step(now)
	}
	return len(l.pendingEvents) == 0
}

// Policy makes the decisions; *logic.Dispatcher is the one that there is.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// NextStep tells when Step wants to run at the latest; not ok: only when something has come in.
func (l *Table) NextStep() (at time.Duration, ok bool) {
	if l.awaitUntil > 0 {
		return l.awaitUntil, true
	}
	if len(l.pendingEvents) > 0 {
		return 0, true
	}
	at = l.policyTimer
	if l.timeouts.Len() > 0 && (at == 0 || l.timeouts.First().At < at) {
		at = l.timeouts.First().At
	}
	return at, at > 0
}

// Wake has the next Step run the module though nothing has come in: it was told something by another way.
func (l *Table) Wake() { l.pendingEvents = append(l.pendingEvents, dispatch.TimerFired{}) }

// Step hands the module all that was gathered and carries out what it wants, in order. What the actions bring
// about at once (a refused connection, say) waits for the next Step.
func (l *Table) Step(now time.Duration) {
	if l.awaitUntil > now {
		return
	}
	if l.awaitUntil = 0; len(l.pendingEvents) > 0 {
		l.deductWaitTime(now)
	}
	if l.changes.any() {
		l.logChanges(now)
	}
	for l.timeouts.Len() > 0 && l.timeouts.First().At <= now {
		a := l.timeouts.First()
		if now >= a.Request.Deadline {
			l.abandon(a, ReasonTimeout)
			continue
		}
		l.timeouts.Remove(a) // the patience is over, and the query is not: another copy may be sent
		a.At = a.Request.Deadline
		l.timeouts.Add(a)
		l.cancel(a, ReasonTimeout)
	}
	if l.policyTimer > 0 && l.policyTimer <= now {
		l.policyTimer = 0
		l.pendingEvents = append(l.pendingEvents, dispatch.TimerFired{})
	}
	if len(l.pendingEvents) == 0 {
		return
	}
	events := l.pendingEvents
	l.pendingEvents = l.eventBuffer[:0]
	actions, ok := l.runPolicy(now, events)
	clear(events)
	l.eventBuffer = events[:0]
	if !ok {
		return
	}
	for _, a := range actions {
		l.execute(now, a)
	}
	clear(actions)
	l.actionBuffer = actions[:0]
}

// runPolicy runs the module. Should it panic, what it knew can't be trusted any more: each open query gets its
// final answer here, each attempt is given up, and a new module starts from the host group held.
func (l *Table) runPolicy(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.logger.Error("module panic: it is started anew", "panic", fmt.Sprint(p), "failed", len(l.openByCallID),
				"stack", string(debug.Stack()))
			l.restartPolicy()
		}
	}()
	return l.policy.Step(now, events, l.actionBuffer[:0]), true
}

func (l *Table) restartPolicy() {
	for _, q := range l.inAdmissionOrder() {
		for _, a := range q.attempts {
			if !a.ended {
				l.abandon(a, ReasonCancelled)
			}
		}
		l.closeWithoutPolicy(q)
	}
	l.policy, l.policyTimer, l.pendingEvents, l.actionBuffer = l.newPolicy(), 0, l.pendingEvents[:0], nil
	l.pendingEvents = append(l.pendingEvents, l.knownState()...)
}

func (l *Table) execute(now time.Duration, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		l.startAttempt(now, a)
	case dispatch.Reject:
		if q := l.requests[a.Job]; q != nil && !q.closed {
			l.conclude(q, ResponseRejected)
			q.responder.RespondRejected(a.RetryAfter)
		}
	case dispatch.Fail:
		if q := l.requests[a.Job]; q != nil && !q.closed {
			l.conclude(q, ResponseFailed)
			q.responder.RespondFailed()
		}
	case dispatch.Cancel:
		if q := l.requests[a.Job]; q != nil && a.Attempt >= 0 && a.Attempt < len(q.attempts) {
			if t := q.attempts[a.Attempt]; !t.ended {
				l.cancel(t, ReasonCancelled)
			}
		}
	case dispatch.HealthCheck:
		l.transport.CheckHealth(a.Worker)
	case dispatch.CloseIdleConnections:
		l.transport.CloseIdleConnections(a.Worker)
	case dispatch.SetTimer:
		if at := now + max(a.After, 1); l.policyTimer == 0 || at < l.policyTimer {
			l.policyTimer = at
		}
	case dispatch.Subscribe:
		l.transport.Watch(l.revision)
	case dispatch.Log:
		l.logPolicyMessage(a.Text)
	}
}
