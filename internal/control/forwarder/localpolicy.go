package forwarder

import (
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
)

const (
	// After maxPanics panics of the local policy, each within panicWindow of the one before, its requests are given up.
	panicWindow    = time.Second
	maxPanics      = 3
	maxLoggedStack = 600 // bytes
)

// Policy decides on requests in standalone mode.
type Policy interface {
	// Step processes events, and returns dst with the decisions that are due at now appended.
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// subsetPolicy is a policy that uses a subset of the workers, chosen by the index of this scheduler among all schedulers.
// aperture.Aperture implements it.
type subsetPolicy interface {
	SetSchedulers(index, count int)
}

// localPolicy holds the policy of standalone mode and the events that it has not processed yet.
type localPolicy struct {
	newPolicy func() Policy
	policy    Policy            // nil while the policy is stopped
	requests  int               // number of requests known to the policy that are open or have attempts in flight
	timerAt   time.Duration     // when the policy's timer fires; 0 if it is not set
	events    []dispatch.Event  // for the policy's next step
	delivered []dispatch.Event  // events of the last step; the memory is reused
	actions   []dispatch.Action // actions of the last step; the memory is reused
	recent    []*openRequest    // requests assigned to the policy since its last step
	isolating bool              // recent must stay a single request, as that one may have ended a session or a policy

	panics     int // consecutive panics, each within panicWindow of the one before
	panickedAt time.Duration
}

// isRunning reports whether a policy is running.
func (l *localPolicy) isRunning() bool { return l.policy != nil }

// isIdle reports whether the policy can be stopped: it has no requests and no pending events.
func (l *localPolicy) isIdle() bool {
	return l.policy == nil || l.requests == 0 && len(l.events) == 0
}

// start creates a new policy.
func (l *localPolicy) start() {
	l.policy = l.newPolicy()
	l.timerAt = 0
}

// stop drops the policy.
func (l *localPolicy) stop() {
	l.policy = nil
	l.timerAt = 0
}

// notify adds an event to the policy's next step, if the policy is running.
func (l *localPolicy) notify(event dispatch.Event) {
	if l.policy != nil {
		l.events = append(l.events, event)
	}
}

// setSchedulers notifies the policy of the index of this forwarder among count forwarders.
func (l *localPolicy) setSchedulers(index, count int) {
	l.notify(dispatch.ReplicasChanged{Replicas: count, ReplicaIndex: index})
	if subset, ok := l.policy.(subsetPolicy); ok {
		subset.SetSchedulers(index, count)
	}
}

// addRequest records that a request is assigned to the policy.
func (l *localPolicy) addRequest(request *openRequest) {
	if !request.knownLocally {
		request.knownLocally = true
		l.requests++
	}
	l.recent = append(l.recent, request)
}

// removeRequest records that the policy no longer handles a request.
func (l *localPolicy) removeRequest(request *openRequest) {
	if request.knownLocally {
		request.knownLocally = false
		l.requests--
	}
}

// requestCount returns how many requests known to the policy are open or have attempts in flight.
func (l *localPolicy) requestCount() int { return l.requests }

// hasRequests reports whether requestCount is positive.
func (l *localPolicy) hasRequests() bool { return l.requests > 0 }

// hasEvents reports whether there are events for the policy's next step.
func (l *localPolicy) hasEvents() bool { return len(l.events) > 0 }

// isIsolating reports whether no more requests may be added before the policy's next step.
func (l *localPolicy) isIsolating() bool { return l.isolating }

// isolate allows only one more request to be added before the policy's next step.
func (l *localPolicy) isolate() { l.isolating = true }

// mayIsolate reports whether no request was added since the policy's last step, so that isolate can be used.
func (l *localPolicy) mayIsolate() bool { return len(l.recent) == 0 }

// nextTimer returns when the policy's timer fires, or 0 if it is not set.
func (l *localPolicy) nextTimer() time.Duration { return l.timerAt }

// earlierTimer returns the earlier of at and the time at which the policy's timer fires.
func (l *localPolicy) earlierTimer(at time.Duration) time.Duration {
	if l.timerAt > 0 {
		return min(at, l.timerAt)
	}
	return at
}

// setTimer sets the policy's timer, unless it is already set to an earlier time.
func (l *localPolicy) setTimer(at time.Duration) {
	if l.timerAt == 0 || at < l.timerAt {
		l.timerAt = at
	}
}

// isDue reports whether the policy has events, or its timer has fired.
func (l *localPolicy) isDue(now time.Duration) bool {
	return l.policy != nil && (len(l.events) > 0 || l.timerFired(now))
}

func (l *localPolicy) timerFired(now time.Duration) bool { return l.timerAt > 0 && l.timerAt <= now }

// takeEvents removes and returns the events for the policy's next step.
func (l *localPolicy) takeEvents(now time.Duration) []dispatch.Event {
	if l.timerFired(now) {
		l.timerAt = 0
		l.events = append(l.events, dispatch.TimerFired{})
	}
	l.events, l.delivered = l.delivered[:0], l.events
	return l.delivered
}

// policyPanic describes a panic of the local policy.
type policyPanic struct {
	cause any
	stack string // shortened, see shortStack
}

// step runs one step of the policy and returns its actions. If the policy panics, it returns the panic instead, and the policy
// must be replaced.
func (l *localPolicy) step(now time.Duration) (actions []dispatch.Action, failure *policyPanic) {
	events := l.takeEvents(now)
	defer clear(events)
	defer func() {
		if cause := recover(); cause != nil {
			failure = &policyPanic{cause: cause, stack: shortStack(debug.Stack())}
		}
	}()
	actions = l.policy.Step(now, events, l.actions[:0])
	l.clearRecent()
	return actions, nil
}

// shortStack returns at most the first maxLoggedStack bytes of a stack trace as one line, without the "created by" part.
func shortStack(stack []byte) string {
	text, _, _ := strings.Cut(string(stack), "created by")
	return strings.Join(strings.Fields(text[:min(len(text), maxLoggedStack)]), " ")
}

// recycle makes the memory of the last step's actions available for reuse. It is called once they are executed.
func (l *localPolicy) recycle(actions []dispatch.Action) {
	clear(actions)
	l.actions = actions[:0]
}

// discard drops a policy that has panicked, together with its pending events. It returns the requests that were new in the
// step of the panic, one of which may be the cause, and whether there have been too many panics.
func (l *localPolicy) discard(now time.Duration) (suspicious []*openRequest, tooMany bool) {
	tooMany = l.recordPanic(now)
	suspicious = slices.Clone(l.recent)
	l.clearRecent()
	l.stop()
	l.events = l.events[:0]
	l.actions = nil
	return suspicious, tooMany
}

func (l *localPolicy) clearRecent() {
	l.recent = l.recent[:0]
	l.isolating = false
}

// recordPanic counts a panic of the policy, and reports whether there have been too many.
func (l *localPolicy) recordPanic(now time.Duration) (tooMany bool) {
	if now-l.panickedAt > panicWindow {
		l.panics = 0
	}
	l.panics++
	l.panickedAt = now
	return l.panics >= maxPanics
}
