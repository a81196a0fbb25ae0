package forwarder

import (
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/validator"
)

const (
	maxPolicyIterations = 4 // of the local policy in one step
	panicWindow         = time.Second
	maxPanics           = 3 // of the local policy within panicWindow; after that its requests are given up
	maxLoggedStack      = 600
)

// localPolicy is the policy of standalone mode, with what it has not been told yet.
type localPolicy struct {
	newPolicy func() Policy
	policy    Policy            // nil: there is none
	requests  int               // requests that it was told of and that are open, or have attempts in flight
	timerAt   time.Duration     // when its timer fires; 0: it is not set
	events    []dispatch.Event  // that it was not told of yet
	delivered []dispatch.Event  // memory of the events of its last step
	actions   []dispatch.Action // memory of the actions of its last step
	recent    []*openRequest    // that are assigned to it with those events
	isolating bool              // there is only one, which may have ended a session or a policy

	panics     int // each within panicWindow of the one before
	panickedAt time.Duration
}

// isIdle reports whether the policy may be stopped.
func (l *localPolicy) isIdle() bool {
	return l.policy == nil || l.requests == 0 && len(l.events) == 0
}

// stop drops the policy.
func (l *localPolicy) stop() {
	l.policy = nil
	l.timerAt = 0
}

// earlierTimer returns an instant, or that of the policy's timer if it is earlier.
func (l *localPolicy) earlierTimer(at time.Duration) time.Duration {
	if l.timerAt > 0 {
		return min(at, l.timerAt)
	}
	return at
}

// setTimer sets the policy's timer, unless it is set for sooner.
func (l *localPolicy) setTimer(at time.Duration) {
	if l.timerAt == 0 || at < l.timerAt {
		l.timerAt = at
	}
}

// takeEvents returns the events of the policy's next step.
func (l *localPolicy) takeEvents(now time.Duration) []dispatch.Event {
	if l.timerAt > 0 && l.timerAt <= now {
		l.timerAt = 0
		l.events = append(l.events, dispatch.TimerFired{})
	}
	l.events, l.delivered = l.delivered[:0], l.events
	return l.delivered
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

// startLocalPolicy makes a policy, if there is none, and tells it the state of things.
func (f *Forwarder) startLocalPolicy() {
	if f.local.policy != nil {
		return
	}
	f.local.policy = f.local.newPolicy()
	f.local.timerAt = 0
	f.notifyLocal(dispatch.WorkerList{
		Kind:     dispatch.ListCached,
		Workers:  f.withBlocked(f.endpoints.list()),
		Revision: f.endpoints.revision,
	})
	f.updateLocalShare()
	if len(f.snapshot.data) > 0 {
		f.notifyLocal(dispatch.ModelUpdate{
			Snapshot:  f.snapshot.data,
			Age:       f.now - f.snapshot.takenAt,
			LoadShare: f.loadShare(),
		})
	}
}

// notifyLocal has the local policy, if there is one, told of an event.
func (f *Forwarder) notifyLocal(event dispatch.Event) {
	if f.local.policy != nil {
		f.local.events = append(f.local.events, event)
	}
}

// placeLocally assigns the requests that wait to the local policy. One that may have ended a session or a policy comes
// alone in a step of the policy, so that no other is taken for the cause.
func (f *Forwarder) placeLocally() {
	for f.waiting.Len() > 0 && !f.local.isolating {
		f.resumeLocally(f.waiting.first())
	}
	if f.poisonCandidates.Len() > 0 && len(f.local.recent) == 0 {
		f.local.isolating = true
		f.resumeLocally(f.poisonCandidates.first())
	}
}

// resumeLocally assigns a request to the local policy that came before, and may have had attempts.
func (f *Forwarder) resumeLocally(request *openRequest) {
	f.assignLocally(request)
	job := request.job
	job.Remaining = request.deadline - f.now
	var attempts []dispatch.PastAttempt
	for _, past := range f.validator.AppendAttempts(f.now, job.ID, nil) {
		attempts = append(attempts, dispatch.PastAttempt{
			Worker:     past.WorkerID,
			SentAgo:    past.SentAgo,
			StartedAgo: past.StartedAgo,
			Ended:      past.Ended,
			Result:     past.Result,
		})
	}
	f.notifyLocal(dispatch.JobResumed{Job: job, Age: f.now - request.arrivedAt, Attempts: attempts})
}

// assignLocally assigns a waiting request to the local policy, which is yet to be told of it.
func (f *Forwarder) assignLocally(request *openRequest) {
	f.dequeue(request)
	f.startLocalPolicy()
	f.validator.Assign(request.job.ID, validator.LocalEpoch)
	request.transition(eventAssignedLocal)
	request.session = nil
	if !request.knownLocally {
		request.knownLocally = true
		f.local.requests++
	}
	f.local.recent = append(f.local.recent, request)
	f.scheduleCheck(request)
}

// reclaimFromLocal takes a request without attempts in flight from the local policy.
func (f *Forwarder) reclaimFromLocal(request *openRequest) {
	f.notifyLocal(dispatch.ClientDisconnected{Job: request.job.ID})
	f.unassignLocally(request)
}

// unassignLocally leaves a request of the local policy with nobody.
func (f *Forwarder) unassignLocally(request *openRequest) {
	f.validator.Unassign(request.job.ID)
	f.forgetLocally(request)
	request.transition(eventUnassigned)
}

// forgetLocally notes that the local policy does not know a request any more.
func (f *Forwarder) forgetLocally(request *openRequest) {
	if request.knownLocally {
		request.knownLocally = false
		f.local.requests--
	}
}

// runLocalPolicy has the local policy decide. It is told which of its commands are rejected, and may decide anew.
func (f *Forwarder) runLocalPolicy() {
	local := &f.local
	for range maxPolicyIterations {
		timerDue := local.timerAt > 0 && local.timerAt <= f.now
		if local.policy == nil || len(local.events) == 0 && !timerDue {
			return
		}
		actions, ok := f.stepLocalPolicy(local.takeEvents(f.now))
		if !ok {
			return
		}
		local.recent = local.recent[:0]
		local.isolating = false
		for _, action := range actions {
			f.executeLocal(action)
		}
		clear(actions)
		local.actions = actions[:0]
		if f.mode == modeStandalone {
			f.placeWaiting()
		}
	}
}

// stepLocalPolicy steps the local policy. If it panics it is replaced, and ok is false.
func (f *Forwarder) stepLocalPolicy(events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer clear(events)
	defer func() {
		if cause := recover(); cause != nil {
			f.log("local policy panicked and is replaced", "panic", cause, "stack", shortStack(debug.Stack()))
			f.replaceLocalPolicy()
		}
	}()
	return f.local.policy.Step(f.now, events, f.local.actions[:0]), true
}

// shortStack returns the beginning of a stack in one line.
func shortStack(stack []byte) string {
	text, _, _ := strings.Cut(string(stack), "created by")
	return strings.Join(strings.Fields(text[:min(len(text), maxLoggedStack)]), " ")
}

// replaceLocalPolicy drops a local policy that has panicked. Its requests wait for a new one, but those that came in the
// step of the panic: one of them may be the cause, as with a planner.
func (f *Forwarder) replaceLocalPolicy() {
	local := &f.local
	f.stats.Panics++
	tooMany := local.recordPanic(f.now)
	suspicious := slices.Clone(local.recent)
	local.recent = local.recent[:0]
	local.isolating = false
	local.stop()
	local.events = local.events[:0]
	local.actions = nil
	f.transition(eventLocalFinished)
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		request := f.requests[id]
		if !request.knownLocally {
			continue
		}
		f.forgetLocally(request)
		if request.state != requestLocal {
			continue
		}
		f.dequeue(request)
		f.unassignLocally(request)
		switch {
		case tooMany:
			f.giveUp(request)
		case slices.Contains(suspicious, request):
			f.recordFailure(request, nil)
		default:
			f.enqueue(request)
		}
	}
}
