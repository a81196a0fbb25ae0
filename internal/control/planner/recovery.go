package planner

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// A policy that has panicked is in an undefined state. A new one receives everything that the planner has, request by
// request, and a request at which that one panics too is returned to its forwarder. So no session ends, and a poison
// request costs each planner that receives it one policy, and affects no other request. Closing all sessions instead,
// so that everything is offered again, would load the next planner with every request of every forwarder, the poison one
// included. That remains the last resort.
const (
	maxPanics            = 5 // within panicWindow; with one more, all sessions are closed
	panicWindow          = 10 * time.Second
	panicBackoff         = time.Second // after all sessions were closed
	maxPoisonRequests    = 8           // returned for one panic
	maxFailureCandidates = 8           // requests of a step with a panic; if there are more, none of them is a candidate
	maxFailureCount      = 2           // steps with a panic after which a candidate is returned
	maxPanicFrames       = 8           // of the call stack that are logged
)

// What recovery needs of the planner's other parts.
type (
	actionExecutor interface {
		execute(actions []dispatch.Action)
	}
	sessionCloser      interface{ close(session *session) }
	workerListNotifier interface{ notifyAll() }
	shareNotifier      interface{ notifyShare() }
)

// recovery replaces a policy that has panicked.
type recovery struct {
	newPolicy        func() Policy
	stats            *Stats
	step             *step
	commands         actionExecutor
	forwarders       *forwarderTable
	healthChecks     healthCheckCanceller
	requestLifecycle *requestLifecycle
	loads            shareNotifier
	policy           *policyRunner
	policySync       workerListNotifier
	requests         *requestTable
	sessions         sessionCloser
}

// replacePolicy replaces the policy after a panic by a new one, which receives the complete state of the planner.
func (r *recovery) replacePolicy(err error) {
	r.stats.Panics++
	tooMany := r.policy.recordPanic(r.step.now())
	r.logPanic(err)
	r.policy.takeActions() // a panic leaves them incomplete
	if tooMany {
		r.closeAllSessions()
		return
	}
	r.countFailures()
	for range maxPoisonRequests {
		poison, err := r.rebuildPolicy()
		if err == nil {
			r.commands.execute(r.policy.takeActions())
			return
		}
		if poison == nil {
			break
		}
		r.returnPoisonRequest(poison)
	}
	r.closeAllSessions()
}

// logPanic logs a panic of the policy with its cause and location.
func (r *recovery) logPanic(err error) {
	attributes := []any{"open_requests", r.requests.openCount}
	var panicked *policyPanicError
	if errors.As(err, &panicked) {
		attributes = append(attributes, "cause", fmt.Sprint(panicked.cause), "location", panicked.location)
	}
	r.step.log("policy panicked and is restarted", attributes...)
}

// countFailures counts a failure of each request that the events of the step with the panic refer to. One that has
// been among them before is returned, although it is not proved to be the cause.
func (r *recovery) countFailures() {
	candidates := map[uint64]bool{}
	for _, event := range r.policy.delivered {
		if id, ok := jobOf(event); ok {
			candidates[id] = true
		}
	}
	if len(candidates) > maxFailureCandidates {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(candidates)) {
		req := r.requests.open(id)
		if req == nil {
			continue
		}
		req.failureCount++
		if req.failureCount >= maxFailureCount {
			r.returnPoisonRequest(req)
		}
	}
}

// rebuildPolicy makes a new policy and delivers to it first the endpoint list and then every request. Its actions are
// kept by the runner. The error of a panic is a *policyPanicError, and poison the request at which it occurred; nil: it
// occurred at the list.
func (r *recovery) rebuildPolicy() (poison *request, err error) {
	r.resetPolicy()
	r.policy.takeActions() // of an earlier attempt at this
	if err := r.policy.deliverPending(r.step.now()); err != nil {
		return nil, err
	}
	for _, req := range r.requests.byAge() {
		r.policy.notify(req.resumedJob(r.step.now()))
		if !req.state.isOpen() {
			r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
		}
		if err := r.policy.deliverPending(r.step.now()); err != nil {
			return req, err
		}
	}
	return nil, nil
}

// resetPolicy replaces the policy by a new one. The events of the endpoint list and of the quota share are pending for it.
func (r *recovery) resetPolicy() {
	r.policy.reset(r.newPolicy())
	r.policySync.notifyAll()
	r.loads.notifyShare()
	r.healthChecks.cancel(func(healthCheck) bool { return true })
}

// returnPoisonRequest commands the forwarder to offer a request to another planner, or to fail it if that was done
// before. The request is removed here, with its attempts in flight.
func (r *recovery) returnPoisonRequest(req *request) {
	if req.state.isOpen() {
		r.stats.Poison++
		r.step.log("poison request returned", "request_id", req.forwarderID, "forwarder", req.forwarder.name)
		r.step.send(req.forwarder, &message.TransferCommand{RequestID: req.forwarderID})
	}
	r.requestLifecycle.endAttempts(req)
	r.requestLifecycle.remove(req)
}

// closeAllSessions closes all sessions: forwarders offer their requests to other planners, and reconnect after the backoff.
func (r *recovery) closeAllSessions() {
	r.step.log("policy panics repeatedly, all sessions are closed", "sessions", len(r.forwarders.sessions))
	for _, id := range r.forwarders.sessionIDs() {
		r.sessions.close(r.forwarders.sessions[id])
	}
	for _, req := range r.requests.byAge() {
		r.requestLifecycle.endAttempts(req)
		r.requestLifecycle.remove(req)
	}
	r.policy.startBackoff(r.step.now())
	r.resetPolicy()
}

// jobOf returns the job that an event refers to, if the job may be the cause of a panic at the event.
func jobOf(event dispatch.Event) (id uint64, ok bool) {
	switch e := event.(type) {
	case dispatch.Job:
		return e.ID, true
	case dispatch.JobResumed:
		return e.Job.ID, true
	case dispatch.Outcome:
		return e.Job, true
	case dispatch.Started:
		return e.Job, true
	case dispatch.Progressed:
		return e.Job, true
	}
	return 0, false
}
