package forwarder

import (
	"time"

	"valvecove/internal/deadline"
)

// confirmDelay is the time to the next step after attempts were sent of requests that wait. The request table notifies the forwarder
// of an attempt that it does not send before that, and of one that it sends not at all.
const confirmDelay = time.Millisecond

// requestQueue holds requests in the order of their arrival, which is that of their IDs.
type requestQueue struct {
	deadline.Queue[*queueEntry]
}

// queueEntry is the place of a request in a queue.
type queueEntry struct {
	deadline.Item
	request *openRequest
	queue   *requestQueue // nil: it is in none
}

// first returns the request that arrived first. The queue must not be empty.
func (r *requestQueue) first() *openRequest { return r.First().request }

// add puts a request into the queue, and removes it from the queue in which it is.
func (r *requestQueue) add(request *openRequest) {
	dequeue(request)
	request.queued.At = time.Duration(request.job.ID)
	request.queued.queue = r
	r.Add(&request.queued)
}

// dequeue removes a request from the queue in which it is, if it is in one.
func dequeue(request *openRequest) {
	if request.queued.queue != nil {
		request.queued.queue.Remove(&request.queued)
		request.queued.queue = nil
	}
}

// requestQueues are the queues of requests that are to be placed. A request is in one of them at most.
type requestQueues struct {
	waiting          requestQueue // requests that wait for a planner, or for its credit
	poisonCandidates requestQueue // the same, of requests that may have ended a planner's session
	returning        requestQueue // requests of the local policy that are to be offered to planners
	unconfirmed      requestQueue // requests with an attempt that the request table has not confirmed; they wait for the next step
}

// enqueue puts a request that is assigned to nobody among those that wait for a planner.
func (r *requestQueues) enqueue(request *openRequest) { r.waitingQueue(request).add(request) }

// waitingQueue returns the queue in which a request waits for a planner.
func (r *requestQueues) waitingQueue(request *openRequest) *requestQueue {
	if request.failures > 0 {
		return &r.poisonCandidates
	}
	return &r.waiting
}

// releaseUnconfirmed has the requests whose attempts were confirmed or ended since the last step wait for a planner.
func (r *requestQueues) releaseUnconfirmed() {
	for r.unconfirmed.Len() > 0 {
		r.enqueue(r.unconfirmed.first())
	}
}

// nextRelease returns when requests can be released next, after the step of an instant; 0: there are none.
func (r *requestQueues) nextRelease(now time.Duration) time.Duration {
	if r.unconfirmed.Len() == 0 {
		return 0
	}
	return now + confirmDelay
}

// countWaiting counts the requests that wait for a planner.
func (r *requestQueues) countWaiting() int {
	return r.waiting.Len() + r.poisonCandidates.Len() + r.unconfirmed.Len()
}
