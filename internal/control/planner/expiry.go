package planner

import "time"

const (
	reportGrace     = 5 * time.Second // how long beyond the deadline a closed request's ends are awaited
	minExpiryGrace  = time.Second     // the least time after which attempts that nobody reports on are taken to have ended
	tableSizeFactor = 4               // most requests in the table, as a multiple of Config.MaxOpenRequests
)

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
	estimator, ok := r.policy.policy.(runtimeEstimator)
	if !ok {
		return 0
	}
	for i := range req.attempts {
		overdue, ok := estimator.TimeUntilOverdue(req.id, i)
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
	maxRequests := tableSizeFactor * r.config.MaxOpenRequests
	for expiries.Len() > 0 && (expiries.First().At <= r.step.now() || len(r.requests.byID) > maxRequests) {
		req := expiries.First()
		r.stats.Expired += req.inFlight
		r.cancelAttempts(req)
		r.remove(req)
	}
}
