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

// A policy that has panicked is in an undefined state. A new policy receives the planner's state, request by request, and a
// request that makes the new policy panic is returned to its forwarder. No session ends, and a poison request costs each
// planner that receives it one restart of the policy and affects no other request. Closing all sessions instead would make
// the forwarders offer all their requests, including the poison request, to the next planner; it is the last resort.
const (
	maxPanics            = 5 // within panicWindow; one more closes all sessions
	panicWindow          = 10 * time.Second
	panicBackoff         = time.Second // after all sessions are closed
	maxPoisonRequests    = 8           // returned per panic
	maxFailureCandidates = 8           // if more requests than this are delivered in a step that panics, none of them is counted
	maxFailureCount      = 2           // steps with a panic after which a request is returned
	maxPanicFrames       = 8           // call stack frames in the log
)

// Dependencies of recovery on other parts of the planner.
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

// replacePolicy replaces the policy after a panic by a new one, which receives the planner's complete state.
func (r *recovery) replacePolicy(err error) {
	r.stats.Panics++
	tooMany := r.policy.recordPanic(r.step.now())
	r.logPanic(err)
	r.policy.takeActions() // discarded: a panic leaves them incomplete
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

// countFailures counts a failure of each request that the events of the panicking step refer to. A request with
// maxFailureCount failures is returned to its forwarder, although it is not proved to be the cause.
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

// rebuildPolicy creates a new policy and delivers to it the endpoint list and then every request. The runner keeps the
// resulting actions. If the policy panics, the error is a *policyPanicError, and poison is the request that was delivered, or
// nil if it was the endpoint list.
func (r *recovery) rebuildPolicy() (poison *request, err error) {
	r.resetPolicy()
	r.policy.takeActions() // discards those of an earlier rebuild
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

// resetPolicy replaces the policy by a new one, and queues the endpoint list and the quota share as its first events.
func (r *recovery) resetPolicy() {
	r.policy.reset(r.newPolicy())
	r.policySync.notifyAll()
	r.loads.notifyShare()
	r.healthChecks.cancel(func(healthCheck) bool { return true })
}

// returnPoisonRequest removes a request and its attempts in flight, and returns it to its forwarder, which offers it to
// another planner, or fails it if it was returned before.
func (r *recovery) returnPoisonRequest(req *request) {
	if req.state.isOpen() {
		r.stats.PoisonRequests++
		r.step.log("poison request returned", "request_id", req.forwarderID, "forwarder", req.forwarder.name)
		r.step.send(req.forwarder, &message.TransferCommand{RequestID: req.forwarderID})
	}
	r.requestLifecycle.endAttempts(req)
	r.requestLifecycle.remove(req)
}

// closeAllSessions closes all sessions. Forwarders then offer their requests to other planners, and can reconnect after
// panicBackoff.
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

// jobOf returns the job that an event refers to, if that job may have caused a panic while the event was processed.
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
