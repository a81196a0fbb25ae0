package starvation

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// notRegistered is the scheduler of a request that the checker has dropped.
const notRegistered = -1

// notOverdue is the index of a request that is not in a set of overdue ones.
const notOverdue = -1

// request is a request of a client. It is retained until it has ended for its client and no attempt occupies a worker.
type request struct {
	job          *job
	jobID        uint64
	id           string
	scheduler    int // that received it, or notRegistered
	sentAt       time.Duration
	queuedSince  time.Duration // if it is queued
	inFlight     int           // attempts that have not ended for its scheduler
	atWorkers    int           // attempts that occupy a worker
	open         bool          // its client waits for the response
	reported     bool          // as starved
	index        int           // in its scheduler's requests
	overdueIndex int           // in its set of overdue requests, or notOverdue
	attempts     []*attempt
}

// isQueued reports whether the request is open at its scheduler without an attempt in flight.
func (r *request) isQueued() bool { return r.open && r.inFlight == 0 }

// queueEntry is a request that was queued at an instant, and may still be queued.
type queueEntry struct {
	since   time.Duration
	request *request
}

// jobDue adds a job.
func (c *Checker) jobDue(event *trace.Event) {
	if event.Class < 0 || event.Class >= len(c.classes) {
		return
	}
	c.jobs[event.JobID] = &job{
		class:     event.Class,
		bucket:    slotBucket(event.Slots),
		slots:     max(1, event.Slots),
		work:      event.Work,
		objective: event.At + event.LatencyObjective,
		deadline:  event.At + event.Deadline,
	}
}

// jobSettled removes a job. Its requests remain until they are finished.
func (c *Checker) jobSettled(event *trace.Event) { delete(c.jobs, event.JobID) }

// requestSent registers a request. A request that was sent before is registered again: its first connection was closed before
// the request was read.
func (c *Checker) requestSent(event *trace.Event) {
	sent := c.requests[event.RequestID]
	if sent != nil {
		c.closeRequest(sent)
		c.dropRequest(sent)
	} else {
		wanted := c.jobs[event.JobID]
		if wanted == nil {
			return
		}
		sent = &request{job: wanted, jobID: event.JobID, id: event.RequestID, overdueIndex: notOverdue, scheduler: notRegistered}
		c.verdict.Requests++
	}
	c.requests[event.RequestID] = sent
	receiver := &c.schedulers[event.Scheduler]
	sent.sentAt = event.At
	sent.open = true
	sent.scheduler = event.Scheduler
	sent.index = len(receiver.requests)
	receiver.requests = append(receiver.requests, sent)
	receiver.open++
	if sent.isQueued() {
		c.startWaiting(sent)
	}
}

// requestEnded handles the end of a request for its client, with a response or without.
func (c *Checker) requestEnded(event *trace.Event) {
	ended := c.requests[event.RequestID]
	if ended == nil || !ended.open {
		return
	}
	if isRejection(event) && ended.isQueued() && !ended.reported {
		c.requestRejected(ended)
	}
	c.closeRequest(ended)
}

// isRejection reports whether an event is a response that rejects its request.
func isRejection(event *trace.Event) bool {
	return event.Kind == trace.ResponseReceived &&
		(event.Status == http.StatusTooManyRequests || event.Status == http.StatusServiceUnavailable)
}

// closeRequest ends a request for its client and its scheduler.
func (c *Checker) closeRequest(ended *request) {
	if !ended.open {
		return
	}
	if ended.isQueued() {
		c.stopWaiting(ended)
	}
	ended.open = false
	c.schedulers[ended.scheduler].open--
	c.dropIfFinished(ended)
}

// dropIfFinished drops a request that is closed and has no attempt that occupies a worker.
func (c *Checker) dropIfFinished(ended *request) {
	if !ended.open && ended.atWorkers == 0 {
		c.dropRequest(ended)
	}
}

// dropRequest removes a request from the checker and its scheduler.
func (c *Checker) dropRequest(dropped *request) {
	if dropped.scheduler == notRegistered {
		return
	}
	owner := &c.schedulers[dropped.scheduler]
	owner.requests = swapRemove(owner.requests, dropped.index, func(moved *request) { moved.index = dropped.index })
	delete(c.requests, dropped.id)
	dropped.scheduler = notRegistered
}

// startWaiting is called when a request begins to be queued.
func (c *Checker) startWaiting(queued *request) {
	queued.queuedSince = c.now
	c.schedulers[queued.scheduler].queued[queued.job.bucket]++
	c.newlyQueued.push(queueEntry{since: c.now, request: queued})
}

// stopWaiting is called when a request is no longer queued.
func (c *Checker) stopWaiting(queued *request) {
	c.schedulers[queued.scheduler].queued[queued.job.bucket]--
	c.removeOverdue(queued)
}

// addOverdueRequests adds the requests that are overdue by now to their sets.
func (c *Checker) addOverdueRequests() {
	for c.newlyQueued.size > 0 && c.now-c.newlyQueued.first().since >= idleWindow {
		entry := c.newlyQueued.pop()
		queued := entry.request
		if !queued.isQueued() || queued.queuedSince != entry.since || queued.overdueIndex != notOverdue || queued.reported {
			continue
		}
		set := c.overdueSet(queued.job)
		queued.overdueIndex = len(*set)
		*set = append(*set, queued)
		c.schedulers[queued.scheduler].overdueCount++
	}
}

// removeOverdue removes a request from its set of overdue requests, if it is in it.
func (c *Checker) removeOverdue(queued *request) {
	if queued.overdueIndex == notOverdue {
		return
	}
	set := c.overdueSet(queued.job)
	*set = swapRemove(*set, queued.overdueIndex, func(moved *request) { moved.overdueIndex = queued.overdueIndex })
	queued.overdueIndex = notOverdue
	c.schedulers[queued.scheduler].overdueCount--
}

// overdueSet returns the set of overdue requests to which a job's requests belong.
func (c *Checker) overdueSet(queued *job) *[]*request {
	return &c.overdueRequests[c.classes[queued.class].kind+1][queued.bucket]
}
