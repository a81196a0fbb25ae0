package forwarder

import (
	"time"

	"valvecove/internal/deadline"
)

// confirmDelay is the time to the next step while requests wait in requestQueues.unconfirmed. By then the request table has
// reported which of their attempts it did not send.
const confirmDelay = time.Millisecond

// requestQueue holds requests in the order of their arrival, which is that of their IDs.
type requestQueue struct {
	deadline.Queue[*queueEntry]
}

// queueEntry is the place of a request in a queue.
type queueEntry struct {
	deadline.Item
	request *openRequest
	queue   *requestQueue // nil if the request is in no queue
}

// first returns the request that arrived first. The queue must not be empty.
func (r *requestQueue) first() *openRequest { return r.First().request }

// add moves a request into the queue, out of the queue that it is in, if any.
func (r *requestQueue) add(request *openRequest) {
	dequeue(request)
	request.queued.At = time.Duration(request.job.ID)
	request.queued.queue = r
	r.Add(&request.queued)
}

// dequeue removes a request from the queue that it is in, if any.
func dequeue(request *openRequest) {
	if request.queued.queue != nil {
		request.queued.queue.Remove(&request.queued)
		request.queued.queue = nil
	}
}

// requestQueues holds the queues of requests that are to be assigned to a planner. A request is in at most one of them.
type requestQueues struct {
	waiting          requestQueue // requests that wait for a planner or its credit
	poisonCandidates requestQueue // the same, for requests that may have ended a session or a policy
	returning        requestQueue // requests of the local policy that are to be handed back to planners
	unconfirmed      requestQueue // requests that wait for the next step, as the request table has not confirmed an attempt
}

// enqueue adds an unassigned request to the queue in which it waits for a planner.
func (r *requestQueues) enqueue(request *openRequest) { r.waitingQueue(request).add(request) }

// waitingQueue returns the queue in which a request waits for a planner.
func (r *requestQueues) waitingQueue(request *openRequest) *requestQueue {
	if request.failures > 0 {
		return &r.poisonCandidates
	}
	return &r.waiting
}

// releaseUnconfirmed moves the requests whose attempts were confirmed or ended since the last step to the queues in which they
// wait for a planner.
func (r *requestQueues) releaseUnconfirmed() {
	for r.unconfirmed.Len() > 0 {
		r.enqueue(r.unconfirmed.first())
	}
}

// nextRelease returns when unconfirmed requests can be released, if the current step is at now, or 0 if there are none.
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
