package forwarder

import "time"

const (
	returnInterval     = 5 * time.Millisecond // between two batches of requests handed back from the local policy to planners
	returnBatch        = 32                   // requests
	maxSkippedRequests = 12                   // a pass over a queue ends at this many requests without a suitable planner
)

// placer offers waiting requests to planners, according to the planners' credit and order of preference.
type placer struct {
	step        *step
	maxWaiting  int // maximum number of requests that wait for a planner's credit
	planners    *plannerSet
	queues      *requestQueues
	assignments *assignments
	retryAt     time.Duration // when to place waiting requests again even without an event; 0 if not set
}

// admit offers an arriving request to a planner, or enqueues it. It returns false if too many requests wait. If inputsPending
// is set, a session may still start or end in this step, so the request is enqueued until those inputs are processed.
func (p *placer) admit(request *openRequest, inputsPending bool) (accepted bool) {
	if p.queues.waiting.Len() == 0 && !inputsPending {
		p.planners.refreshOrder(p.step.now())
		if session := p.selectPlanner(request, nil); session != nil {
			p.assignments.offer(request, session)
			return true
		}
	}
	if p.isFull() {
		p.placeWaiting()
	}
	if p.isFull() {
		return false
	}
	p.assignments.enqueue(request)
	return true
}

// isFull reports whether maxWaiting is reached.
func (p *placer) isFull() bool { return p.queues.waiting.Len() >= p.maxWaiting }

// prepare clears an expired retry time and updates the order of preference. It is called before requests are placed.
func (p *placer) prepare() {
	now := p.step.now()
	if p.retryAt <= now {
		p.retryAt = 0
	}
	p.planners.refreshOrder(now)
}

// placeWaiting offers the waiting requests to planners: first those that may have ended a session, then the others in the order
// of arrival, and if none is left waiting, requests that are handed back by the local policy.
func (p *placer) placeWaiting() {
	p.prepare()
	p.placeFrom(&p.queues.poisonCandidates)
	p.placeFrom(&p.queues.waiting)
	if p.queues.waiting.Len() == 0 {
		p.placeReturning()
	}
}

// placeReturning hands requests of the local policy back to planners, up to returnBatch at a time.
func (p *placer) placeReturning() {
	returning := &p.queues.returning
	for n := 0; returning.Len() > 0 && n < returnBatch && p.planners.anyCredit(); n++ {
		request := returning.first()
		p.assignments.reclaimFromLocal(request)
		p.placeFrom(p.queues.waitingQueue(request))
		if request.state == requestWaiting {
			break
		}
	}
	if returning.Len() > 0 && p.planners.anyCredit() {
		p.retryBy(p.step.now() + returnInterval)
	}
}

// placeFrom offers the requests of a queue to planners. Requests without a suitable planner stay in the queue; the pass ends
// after maxSkippedRequests of them.
func (p *placer) placeFrom(queue *requestQueue) {
	var skipped [maxSkippedRequests]*openRequest
	count := 0
	for queue.Len() > 0 && count < maxSkippedRequests && p.planners.anyCredit() {
		request := queue.first()
		if p.place(request) {
			continue
		}
		dequeue(request)
		skipped[count] = request
		count++
	}
	for _, request := range skipped[:count] {
		queue.add(request)
	}
}

// place offers a waiting request to a planner. It returns false if no planner is suitable now, or if the request must wait after
// a transfer.
func (p *placer) place(request *openRequest) bool {
	if request.notBefore > p.step.now() {
		p.retryBy(request.notBefore)
		return false
	}
	session := p.selectPlanner(request, nil)
	if session == nil {
		return false
	}
	p.assignments.offer(request, session)
	return true
}

// nextRetry returns when to place waiting requests again even without an event, or 0 if no time is set.
func (p *placer) nextRetry() time.Duration { return p.retryAt }

// retryBy schedules placing waiting requests again at the given time, unless an earlier time is set.
func (p *placer) retryBy(at time.Duration) {
	if p.retryAt == 0 || at < p.retryAt {
		p.retryAt = at
	}
}
