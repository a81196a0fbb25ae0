package score

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// Ended requests are kept for requestRetention, at most maxRetainedRequests of them: an attempt that a scheduler sent before
// the end may reach its worker later, after a network partition much later.
const (
	requestRetention    = 30 * time.Second
	maxRetainedRequests = 1 << 14
)

// requestEnding is how a request ended for its client.
type requestEnding uint8

const (
	requestOpen requestEnding = iota
	requestServed
	requestRejected
	requestFailed
	requestLost
	requestClientLeft
	requestTimedOut
)

// isResponse reports whether the request ended with a response.
func (e requestEnding) isResponse() bool { return e >= requestServed && e <= requestFailed }

// responseCounts counts the requests that ended with a response, by their ending.
type responseCounts [requestFailed - requestServed + 1]int

func (c *responseCounts) add(ending requestEnding) { c[ending-requestServed]++ }

func (c *responseCounts) of(ending requestEnding) int { return c[ending-requestServed] }

// request is a request of a client that is open, or whose attempts may still arrive at workers.
type request struct {
	id           string
	job          *job // valid only while job.id is jobID: the memory of a settled job is reused
	jobID        uint64
	class        int
	work         float64
	slots        float64
	ending       requestEnding
	attempts     int      // that finished without an error while the request was open
	deduplicated int      // number of its attempts that a cell deduplicated
	first        *attempt // list of its attempts that have not ended, oldest first
	retained     bool
	endedAt      time.Duration
	next         *request // in the free list
}

// openJob returns the request's job, or nil if that is settled.
func (r *request) openJob() *job {
	if r.job != nil && r.job.id == r.jobID {
		return r.job
	}
	return nil
}

func (s *Score) newRequest() *request {
	reused := s.freeRequests
	if reused == nil {
		return &request{}
	}
	s.freeRequests = reused.next
	return reused
}

func (s *Score) requestSent(event *trace.Event) {
	sender := s.jobs[event.JobID]
	if known := s.requests[event.RequestID]; known != nil {
		s.requestResent(known, sender)
		return
	}
	if sender == nil {
		s.effort.Unknown++
		return
	}
	sender.requests++
	sender.lastEnding = requestOpen
	s.effort.Requests++
	if sender.requests > 1 {
		s.effort.Retries++
	}
	s.processOf(event.Scheduler).requests++
	sent := s.newRequest()
	*sent = request{
		id:    event.RequestID,
		job:   sender,
		jobID: sender.id,
		class: sender.class,
		work:  sender.work,
		slots: sender.slots,
	}
	s.requests[event.RequestID] = sent
}

// requestResent counts a request that is sent again on a new connection, as its idle connection was closed.
func (s *Score) requestResent(resent *request, sender *job) {
	s.effort.Resent++
	if resent.ending == requestLost && sender != nil {
		resent.ending = requestOpen
		sender.lastEnding = requestOpen
	}
}

func (s *Score) responseReceived(event *trace.Event) {
	ending := requestFailed
	switch {
	case event.Status == http.StatusOK:
		ending = requestServed
	case isRejection(event.Status):
		ending = requestRejected
	}
	s.endRequest(event, ending)
}

func (s *Score) connectionLost(event *trace.Event) { s.endRequest(event, requestLost) }
func (s *Score) clientLeft(event *trace.Event)     { s.endRequest(event, requestClientLeft) }
func (s *Score) clientTimedOut(event *trace.Event) { s.endRequest(event, requestTimedOut) }

// schedulerUnreachable counts a request that was not sent as its client found no scheduler.
func (s *Score) schedulerUnreachable(event *trace.Event) {
	s.effort.RequestsUnreached++
	if sender := s.jobs[event.JobID]; sender != nil {
		sender.lastEnding = requestTimedOut
	}
}

// endRequest counts how a request ended for its client.
func (s *Score) endRequest(event *trace.Event, ending requestEnding) {
	ended := s.requests[event.RequestID]
	if ended == nil || ended.ending != requestOpen {
		s.effort.Unknown++
		return
	}
	ended.ending = ending
	if ending.isResponse() {
		s.responses.add(ending)
	}
	if ending == requestRejected {
		s.classes[ended.class].bin(s.now).rejected++
	}
	sender := ended.openJob()
	if sender != nil {
		sender.lastEnding = ending
	}
	unused := ended.attempts
	if ending == requestServed {
		switch {
		case ended.attempts > 0:
			s.effort.workUseful += ended.work
			unused--
		case ended.deduplicated > 0 && sender != nil && sender.wasteCount > 0: // an earlier request's attempt gave the result
			sender.wasteCount--
			s.effort.workUseful += ended.work
			s.effort.wasted[sender.lastWaste] -= ended.work
		}
	}
	s.countWaste(ended, unused)
	s.retainRequest(ended)
}

// wasteCause is why no client got the result of an attempt.
type wasteCause uint8

const (
	wasteRepeated   wasteCause = iota // the response came from another attempt
	wasteTooLate                      // its client had timed out
	wasteClientLeft                   // its client had left
	wasteUnused                       // its client was rejected, got an error or lost its connection
	wasteErrors                       // it ended with an error
	wasteKilled                       // its worker died
	wasteCauses
)

// countWaste counts a number of finished attempts of an ended request as waste.
func (s *Score) countWaste(ended *request, attempts int) {
	if attempts == 0 {
		return
	}
	cause := wasteUnused
	switch ended.ending {
	case requestServed:
		cause = wasteRepeated
	case requestTimedOut:
		cause = wasteTooLate
	case requestClientLeft:
		cause = wasteClientLeft
	}
	s.effort.wasted[cause] += float64(attempts) * ended.work
	if sender := ended.openJob(); sender != nil && cause != wasteRepeated {
		sender.wasteCount += attempts
		sender.lastWaste = cause
	}
}

// retainRequest queues a request for removal if it has ended and has no open attempt. It also removes requests that have been
// queued for longer than requestRetention, and the oldest beyond maxRetainedRequests.
func (s *Score) retainRequest(ended *request) {
	if ended.ending == requestOpen || ended.first != nil || ended.retained {
		return
	}
	ended.retained = true
	ended.endedAt = s.now
	s.retained.push(ended)
	for s.retained.length > 0 && (s.now-s.retained.first().endedAt > requestRetention || s.retained.length > maxRetainedRequests) {
		s.forgetRequest(s.retained.pop())
	}
}

// forgetRequest removes a request, unless an attempt has arrived or the request was sent again since it was queued.
func (s *Score) forgetRequest(ended *request) {
	ended.retained = false
	if ended.first != nil || ended.ending == requestOpen {
		return
	}
	delete(s.requests, ended.id)
	*ended = request{next: s.freeRequests}
	s.freeRequests = ended
}

// requestQueue is a queue of requests in a ring buffer.
type requestQueue struct {
	ring       []*request // its length is a power of two
	firstIndex int
	length     int
}

const minRequestQueue = 64

func (q *requestQueue) first() *request { return q.ring[q.firstIndex] }

func (q *requestQueue) push(last *request) {
	if q.length == len(q.ring) {
		q.grow()
	}
	q.ring[(q.firstIndex+q.length)&(len(q.ring)-1)] = last
	q.length++
}

func (q *requestQueue) grow() {
	ring := make([]*request, max(minRequestQueue, 2*q.length))
	for i := range q.length {
		ring[i] = q.ring[(q.firstIndex+i)&(q.length-1)]
	}
	q.ring, q.firstIndex = ring, 0
}

func (q *requestQueue) pop() *request {
	first := q.ring[q.firstIndex]
	q.ring[q.firstIndex] = nil
	q.firstIndex = (q.firstIndex + 1) & (len(q.ring) - 1)
	q.length--
	return first
}
