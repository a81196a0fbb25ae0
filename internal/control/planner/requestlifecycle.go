package planner

import (
	"time"

	"valvecove/dispatch"
)

const (
	reportGrace     = 5 * time.Second // how long beyond its deadline the planner waits for the ends of a closed request's attempts
	minExpiryGrace  = time.Second     // minimum time after which unreported attempts are assumed to have ended
	tableSizeFactor = 4               // maximum of requests in the table, as a multiple of Config.MaxOpenRequests
)

// overdueEstimator is the policy: it is notified of events, and may have an estimate of when an attempt is overdue.
type overdueEstimator interface {
	notifier
	timeUntilOverdue(job uint64, attempt int) (remaining time.Duration, ok bool)
}

// referenceCounter counts the attempts at a worker that requests in the table have.
type referenceCounter interface {
	addReferences(w *worker, count int)
}

// requestLifecycle adds attempts to requests, and ends attempts and requests: for the policy, in the table, and by expiry.
type requestLifecycle struct {
	maxRequests int // in the table, closing ones included
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

// closeAllOf closes a forwarder's open requests. Which planner has them next is unknown; their attempts in flight
// may go on.
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

// remove removes a request, with the references of its attempts to workers.
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

// abandon ends a request and its attempts for the policy, and removes it.
func (r *requestLifecycle) abandon(req *request) {
	if req.state.isOpen() {
		r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	r.cancelAttempts(req)
	r.remove(req)
}

// cancelAttempts ends all attempts in flight for the policy, with a result that implies nothing about the worker.
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

// expireUnreported sets the expiry of a closing request whose attempts may not be reported any more. They have ended by the
// deadline, or earlier if they are overdue by the policy's estimate.
func (r *requestLifecycle) expireUnreported(req *request) {
	remaining := max(req.deadline-r.step.now(), 0)
	if overdue := r.timeUntilOverdue(req); overdue > 0 {
		remaining = min(remaining, overdue)
	}
	r.requests.expireBy(req, r.step.now()+max(remaining, minExpiryGrace))
}

// timeUntilOverdue returns after which time all attempts in flight of a request are overdue by the policy's estimate; 0: it
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

// expireAttempts ends the attempts of closing requests that have expired, and removes the requests. If the table has more
// than maxRequests, the next ones to expire are removed at once.
func (r *requestLifecycle) expireAttempts() {
	expiries := &r.requests.expiries
	for expiries.Len() > 0 && (expiries.First().At <= r.step.now() || len(r.requests.byID) > r.maxRequests) {
		req := expiries.First()
		r.stats.Expired += req.inFlight
		r.cancelAttempts(req)
		r.remove(req)
	}
}

// endAttempts ends a request's attempts in flight without notifying the policy, which is a new one without the request.
func (r *requestLifecycle) endAttempts(req *request) {
	for i := range req.attempts {
		if attempt := &req.attempts[i]; attempt.inFlight() {
			r.requests.endAttempt(req, attempt, dispatch.Cancelled)
		}
	}
}
