package forwarder

import (
	"time"

	"valvecove/internal/deadline"
)

// requestQueue holds requests in the order in which they came, which is that of their IDs.
type requestQueue struct {
	deadline.Queue[*queueEntry]
}

// queueEntry is the place of a request in a queue.
type queueEntry struct {
	deadline.Item
	request *openRequest
	queue   *requestQueue // nil: it is in none
}

// first returns the request that came first. The queue must not be empty.
func (q *requestQueue) first() *openRequest { return q.First().request }

// enqueue puts a request that nobody has among those that wait for a planner.
func (f *Forwarder) enqueue(request *openRequest) {
	f.enqueueIn(request, f.waitingQueue(request))
	f.scheduleCheck(request)
}

// waitingQueue returns the queue in which a request waits for a planner.
func (f *Forwarder) waitingQueue(request *openRequest) *requestQueue {
	if request.failures > 0 {
		return &f.poisonCandidates
	}
	return &f.waiting
}

func (f *Forwarder) enqueueIn(request *openRequest, queue *requestQueue) {
	f.dequeue(request)
	request.queued.At = time.Duration(request.job.ID)
	request.queued.queue = queue
	queue.Add(&request.queued)
}

func (f *Forwarder) dequeue(request *openRequest) {
	if request.queued.queue != nil {
		request.queued.queue.Remove(&request.queued)
		request.queued.queue = nil
	}
}

// countWaiting counts the requests that wait for a planner.
func (f *Forwarder) countWaiting() int { return f.waiting.Len() + f.poisonCandidates.Len() }
