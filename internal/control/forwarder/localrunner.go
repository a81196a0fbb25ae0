package forwarder

import (
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// maxPolicyIterations limits how often the local policy is stepped in one step of the forwarder.
const maxPolicyIterations = 4

// pastAttempts lists the attempts of a request.
type pastAttempts interface {
	AppendAttempts(now time.Duration, id uint64, dst []message.PastAttempt) []message.PastAttempt
}

// standaloneMode gives the localRunner access to the forwarder's mode.
type standaloneMode interface {
	isStandalone() bool
	// localStopped handles that the local policy was dropped and has no requests any more.
	localStopped()
}

// localRunner runs the local policy, and assigns requests to it in standalone mode.
type localRunner struct {
	step        *step
	stats       *Stats
	attempts    pastAttempts
	requests    *openRequests
	queues      *requestQueues
	placer      *placer
	assignments *assignments
	responder   *responder
	workers     *workers
	local       *localPolicy
	commands    *localCommands
	snapshot    *modelSnapshot
	position    position
	mode        standaloneMode
}

// startPolicy creates a policy if none is running, and notifies it of the workers, its load share, and the model snapshot.
func (l *localRunner) startPolicy() {
	if l.local.isRunning() {
		return
	}
	l.local.start()
	l.local.notify(l.workers.localList())
	l.updateShare()
	if update, ok := l.snapshot.update(l.step.now(), l.position.loadShare()); ok {
		l.local.notify(update)
	}
}

// setPosition sets the forwarder's position, by which the forwarders divide the workers.
func (l *localRunner) setPosition(position position) {
	if l.position != position {
		l.position = position
		l.updateShare()
	}
}

// updateShare notifies the policy of the forwarder's position.
func (l *localRunner) updateShare() {
	if l.local.isRunning() && l.position.count > 0 {
		l.local.setSchedulers(l.position.index, l.position.count)
	}
}

// admit assigns an arriving request to the policy.
func (l *localRunner) admit(request *openRequest) {
	l.startPolicy()
	l.assignments.assignLocal(request)
	l.local.notify(request.job)
}

// placeWaiting assigns the waiting requests to the policy. A request that may have ended a session or a policy is the only new
// request of its step, so that a further panic can be attributed to it.
func (l *localRunner) placeWaiting() {
	l.placer.prepare()
	for l.queues.waiting.Len() > 0 && !l.local.isIsolating() {
		l.resume(l.queues.waiting.first())
	}
	if l.queues.poisonCandidates.Len() > 0 && l.local.mayIsolate() {
		l.local.isolate()
		l.resume(l.queues.poisonCandidates.first())
	}
}

// resume assigns a request that arrived earlier, and may have had attempts, to the policy.
func (l *localRunner) resume(request *openRequest) {
	now := l.step.now()
	l.startPolicy()
	l.assignments.assignLocal(request)
	job := request.job
	job.Remaining = request.deadline - now
	var attempts []dispatch.PastAttempt
	for _, past := range l.attempts.AppendAttempts(now, job.ID, nil) {
		attempts = append(attempts, dispatch.PastAttempt{
			Worker:     past.WorkerID,
			SentAgo:    past.SentAgo,
			StartedAgo: past.StartedAgo,
			Ended:      past.Ended,
			Result:     past.Result,
		})
	}
	l.local.notify(dispatch.JobResumed{Job: job, Age: now - request.arrivedAt, Attempts: attempts})
}

// run steps the policy and executes its decisions, up to maxPolicyIterations times while it has events. The policy is notified
// of rejected commands and may then decide again in the same step of the forwarder.
func (l *localRunner) run() {
	now := l.step.now()
	for range maxPolicyIterations {
		if !l.local.isDue(now) {
			return
		}
		actions, failure := l.local.step(now)
		if failure != nil {
			l.step.log("local policy panicked and is replaced", "panic", failure.cause, "stack", failure.stack)
			l.replacePolicy()
			return
		}
		for _, action := range actions {
			l.commands.execute(action)
		}
		l.local.recycle(actions)
		if l.mode.isStandalone() {
			l.placeWaiting()
		}
	}
}

// replacePolicy drops a policy that has panicked. Its requests wait for a new policy, or are given up after too many panics.
// For requests that were new in the step of the panic, the panic counts as a failure.
func (l *localRunner) replacePolicy() {
	l.stats.Panics++
	suspicious, tooMany := l.local.discard(l.step.now())
	l.mode.localStopped()
	for _, request := range l.requests.sorted() {
		if !request.knownLocally {
			continue
		}
		if request.state != requestLocal {
			l.local.removeRequest(request)
			continue
		}
		dequeue(request)
		l.assignments.unassignLocal(request)
		switch {
		case tooMany:
			l.responder.giveUp(request)
		case slices.Contains(suspicious, request):
			l.responder.recordFailure(request, nil)
		default:
			l.assignments.enqueue(request)
		}
	}
}
