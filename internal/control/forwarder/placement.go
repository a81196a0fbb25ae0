package forwarder

import "time"

const (
	returnInterval     = 5 * time.Millisecond // between two batches of requests that return from the local policy to planners
	returnBatch        = 32                   // requests
	maxSkippedRequests = 12                   // waiting requests without a planner that are skipped in one pass over a queue
)

// placer offers waiting requests to planners, by the planners' credit and order of preference.
type placer struct {
	step        *step
	maxWaiting  int // requests for which no planner has credit
	planners    *plannerSet
	queues      *requestQueues
	assignments *assignments
	retryAt     time.Duration // when waiting requests are placed again without an event; 0: not by time
}

// admit offers a request that has arrived to a planner, or enqueues it. It returns false if too many requests wait. With
// inputsPending, a session may start or end in this step, so that the request waits for that.
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

// isFull reports whether no more requests may wait.
func (p *placer) isFull() bool { return p.queues.waiting.Len() >= p.maxWaiting }

// prepare brings the order of preference up to date before requests are placed.
func (p *placer) prepare() {
	now := p.step.now()
	if p.retryAt <= now {
		p.retryAt = 0
	}
	p.planners.refreshOrder(now)
}

// placeWaiting offers the waiting requests to planners in the order of their arrival, then those that return from the local
// policy.
func (p *placer) placeWaiting() {
	p.prepare()
	p.placeFrom(&p.queues.poisonCandidates)
	p.placeFrom(&p.queues.waiting)
	if p.queues.waiting.Len() == 0 {
		p.placeReturning()
	}
}

// placeReturning offers requests of the local policy to planners, returnBatch at a time.
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

// placeFrom offers the requests of a queue to planners. Requests for which there is no planner stay in the queue; up to
// maxSkippedRequests of them are skipped.
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

// place offers a waiting request to a planner. It returns false if there is none for it now.
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

// nextRetry returns when waiting requests are to be placed again; 0: not by time.
func (p *placer) nextRetry() time.Duration { return p.retryAt }

// retryBy has waiting requests placed again at an instant, or earlier.
func (p *placer) retryBy(at time.Duration) {
	if p.retryAt == 0 || at < p.retryAt {
		p.retryAt = at
	}
}
