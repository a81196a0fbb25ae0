package planner

import (
	"time"

	"valvecove/dispatch"
)

const (
	reportGrace     = 5 * time.Second // wait for reports on a closed request's attempts, after its deadline
	minExpiryGrace  = time.Second     // minimum wait until unreported attempts are assumed to have ended
	tableSizeFactor = 4               // limit of requests in the table as a multiple of Config.MaxOpenRequests
)

// overdueEstimator passes events to the policy, and returns its estimate of when an attempt is overdue if it has one.
type overdueEstimator interface {
	notifier
	timeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool)
}

// referenceCounter counts the attempts at each worker that belong to requests in the table.
type referenceCounter interface {
	addReferences(w *worker, count int)
}

// requestLifecycle adds attempts to requests, closes and removes requests, and expires attempts without a report.
type requestLifecycle struct {
	maxRequests int // in the table, including closing ones
	stats       *Stats
	step        *step
	policy      overdueEstimator
	policySync  referenceCounter
	requests    *requestTable
}

// addAttempt adds an attempt to a request.
func (r *requestLifecycle) addAttempt(req *request, added attempt) {
	r.policySync.addReferences(added.worker, 1)
	r.requests.addAttempt(req, added)
}

// close closes an open request. Its attempts in flight still count as load.
func (r *requestLifecycle) close(req *request) {
	switch {
	case !req.state.isOpen():
	case req.inFlight == 0:
		r.remove(req)
	default:
		req.At = max(req.deadline, r.step.now()) + reportGrace
		r.requests.transition(req, requestClosing, r.step.now())
	}
}

// closeAllOf closes a forwarder's open requests when its session ends. Their attempts may still be in flight, but may no
// longer be reported to this planner.
func (r *requestLifecycle) closeAllOf(f *forwarder) {
	for req := range f.offered.all() {
		if req.state.isOpen() {
			r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
			r.close(req)
		}
		if req.state == requestClosing {
			r.expireUnreported(req)
		}
	}
}

// remove removes a request and releases its attempts' references to workers.
func (r *requestLifecycle) remove(req *request) {
	r.requests.transition(req, requestRemoved, r.step.now())
	for i := range req.attempts {
		attempt := &req.attempts[i]
		r.policySync.addReferences(attempt.worker, -1)
		attempt.worker = nil
	}
	if req.forwarder != nil {
		req.forwarder.removeRequest(req)
	}
	r.requests.remove(req)
}

// abandon removes a request, after it notifies the policy that the request and its attempts have ended.
func (r *requestLifecycle) abandon(req *request) {
	if req.state.isOpen() {
		r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	r.cancelAttempts(req)
	r.remove(req)
}

// cancelAttempts ends all attempts in flight with the result Cancelled, from which the policy infers nothing about the worker.
func (r *requestLifecycle) cancelAttempts(req *request) {
	for i := range req.attempts {
		attempt := &req.attempts[i]
		if !attempt.inFlight() {
			continue
		}
		r.requests.endAttempt(req, attempt, dispatch.Cancelled)
		r.policy.notify(dispatch.Outcome{
			Job: req.id, Attempt: i, Worker: attempt.worker.ID, Result: dispatch.Cancelled, Closed: true,
		})
	}
}

// expireUnreported brings forward the expiry of a closing request whose attempts may no longer be reported. They are assumed
// to have ended by the deadline, or earlier if the policy estimates that they are overdue earlier.
func (r *requestLifecycle) expireUnreported(req *request) {
	remaining := max(req.deadline-r.step.now(), 0)
	if overdue := r.timeUntilOverdue(req); overdue > 0 {
		remaining = min(remaining, overdue)
	}
	r.requests.expireBy(req, r.step.now()+max(remaining, minExpiryGrace))
}

// timeUntilOverdue returns the policy's estimate of the time until all attempts in flight of a request are overdue, or 0 if it
// has none.
func (r *requestLifecycle) timeUntilOverdue(req *request) (longest time.Duration) {
	for i := range req.attempts {
		overdue, ok := r.policy.timeUntilOverdue(req.id, i)
		if ok && req.attempts[i].inFlight() {
			longest = max(longest, overdue)
		}
	}
	return longest
}

// expireAttempts removes closing requests that have expired, and ends their attempts. While the table has more than
// maxRequests, it also removes those that would expire next.
func (r *requestLifecycle) expireAttempts() {
	expiries := &r.requests.expiries
	for expiries.Len() > 0 && (expiries.First().At <= r.step.now() || len(r.requests.byID) > r.maxRequests) {
		req := expiries.First()
		r.stats.Expired += req.inFlight
		r.cancelAttempts(req)
		r.remove(req)
	}
}

// endAttempts ends a request's attempts in flight without notifying the policy. It is used after a panic, when the new policy
// doesn't have the request.
func (r *requestLifecycle) endAttempts(req *request) {
	for i := range req.attempts {
		if attempt := &req.attempts[i]; attempt.inFlight() {
			r.requests.endAttempt(req, attempt, dispatch.Cancelled)
		}
	}
}
