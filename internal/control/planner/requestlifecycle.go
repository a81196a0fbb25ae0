package planner

import (
	"time"

	"valvecove/dispatch"
)

const (
	reportGrace     = 5 * time.Second // how long beyond the deadline a closed request's ends are awaited
	minExpiryGrace  = time.Second     // the least time after which attempts that nobody reports on are taken to have ended
	tableSizeFactor = 4               // most requests in the table, as a multiple of Config.MaxOpenRequests
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

// requestLifecycle ends requests and their attempts: for the policy, in the table, and by time.
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

// close takes in that a request is not open any more. What is in flight of it still counts as load.
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

// closeAllOf closes a forwarder's open requests. Which planner has them next is not known; what is in flight of them
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

// remove forgets a request.
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

// abandon ends a request and its attempts for the policy.
func (r *requestLifecycle) abandon(req *request) {
	if req.state.isOpen() {
		r.policy.notify(dispatch.ClientDisconnected{Job: req.id})
	}
	r.cancelAttempts(req)
	r.remove(req)
}

// cancelAttempts has the policy take all attempts in flight for ended, without a result that says anything of the worker.
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

// expireUnreported has a closing request expire whose attempts may not be reported on any more. They have ended by the
// deadline, and before that once they take longer than can be explained.
func (r *requestLifecycle) expireUnreported(req *request) {
	remaining := max(req.deadline-r.step.now(), 0)
	if overdue := r.timeUntilOverdue(req); overdue > 0 {
		remaining = min(remaining, overdue)
	}
	r.requests.expireBy(req, r.step.now()+max(remaining, minExpiryGrace))
}

// timeUntilOverdue returns when all attempts in flight of a request take longer than the policy can explain; 0: it can't
// tell.
func (r *requestLifecycle) timeUntilOverdue(req *request) (longest time.Duration) {
	for i := range req.attempts {
		overdue, ok := r.policy.timeUntilOverdue(req.id, i)
		if ok && req.attempts[i].inFlight() {
			longest = max(longest, overdue)
		}
	}
	return longest
}

// expireAttempts takes the attempts of closing requests for ended whose time has come. If there are too many requests, it
// does so before.
func (r *requestLifecycle) expireAttempts() {
	expiries := &r.requests.expiries
	for expiries.Len() > 0 && (expiries.First().At <= r.step.now() || len(r.requests.byID) > r.maxRequests) {
		req := expiries.First()
		r.stats.Expired += req.inFlight
		r.cancelAttempts(req)
		r.remove(req)
	}
}

// endAttempts ends a request's attempts in flight without telling the policy, which knows nothing of them.
func (r *requestLifecycle) endAttempts(req *request) {
	for i := range req.attempts {
		if attempt := &req.attempts[i]; attempt.inFlight() {
			r.requests.endAttempt(req, attempt, dispatch.Cancelled)
		}
	}
}
