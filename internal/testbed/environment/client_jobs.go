package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// This file holds the lifecycle of a job: it arrives, is sent as one request after another, and is settled once.

// minBudget is the smallest budget that a request is sent with, as budgets are whole milliseconds.
const minBudget = time.Millisecond

// job is a unit of work that a client wants done, by as many requests as it takes.
type job struct {
	number            uint64
	class, tenant     int
	zone              int
	requests          int // sent so far, and the number of the next
	status            int // of the response to the last request
	bodyLength        int
	honoursRetryAfter bool
	settled           bool
	work, slots       float64
	costHint          time.Duration
	dueAt, deadline   time.Duration
	leavesAfter       time.Duration // time from arrival until its client gives up; 0: it doesn't
	firstUncertainAt  time.Duration // when the first request that may have run was sent; -1: none was
	key               string
	openRequest       *request
	client            *closedClient // the client, in a closed load
}

// request is one request of a client for a job.
type request struct {
	id     string
	jobID  uint64
	number int // index among the job's requests
	class  int
	key    string
	work   float64 // seconds on a standard core, before the noise of a run
	slots  float64

	job             *job     // nil: the request has ended
	previous        *request // the job's previous request
	conn            *clientConn
	sentAt          time.Duration
	tenant          int32
	stage           requestStage
	readByScheduler bool // it has reached the scheduler
	resent          bool // it was sent again because its connection closed before it was read
}

type requestStage uint8

const (
	requestConnecting requestStage = iota // waits for a connection
	requestSent
	requestEnded
)

// requestOutcome is how a request ends.
type requestOutcome uint8

const (
	outcomeServed    requestOutcome = iota
	outcomeRejected                 // 429 or 503: it did not run, so a retry is safe
	outcomeUnreached                // no connection was established
	outcomeFailed                   // any other failure: it may have run
)

// jobDue handles the arrival of a job. It was planned for plannedAt; the difference is reported as the testbed's lateness.
func (c *clients) jobDue(job *job, plannedAt time.Duration) {
	class := c.classes[job.class]
	c.unsettledJobs++
	job.dueAt, job.deadline = c.env.now, c.env.now+class.Deadline.Std()
	job.number = c.jobs.add(job)
	if c.zones > 1 {
		job.zone = int(c.randomBits(job.number, 0, drawForZone) % uint64(c.zones))
	}
	if class.idempotentWithKey {
		job.key = c.idempotencyKey(job.number)
	}
	objective := min(class.LatencyObjective.Std()+time.Duration(class.ObjectiveStretch*job.work*float64(time.Second)), class.Deadline.Std())
	c.env.record(trace.Event{
		Kind: trace.JobDue, JobID: job.number, Class: job.class, Tenant: job.tenant, Work: job.work, Slots: job.slots,
		IdempotencyKey: job.key, LatencyObjective: objective, Deadline: class.Deadline.Std(), OverQuota: c.arrivals.isOverQuota(job.tenant, c.env.now), Lateness: c.env.now - plannedAt,
	})
	class.deadlines.add(job.number)
	if job.leavesAfter > 0 {
		c.env.after(job.leavesAfter, func() { c.clientLeaves(job) })
	}
	c.sendNext(job)
}

// sendNext starts the job's next request.
func (c *clients) sendNext(job *job) {
	if job.settled {
		return
	}
	request := &request{
		jobID: job.number, number: job.requests, class: job.class, tenant: int32(job.tenant), key: job.key, work: job.work,
		slots: job.slots, job: job,
	}
	request.id = c.requestID(job.number, job.requests)
	request.previous = c.jobs.setRequest(request)
	job.requests++
	job.openRequest, job.status = request, 0
	c.connPools[job.zone].acquire(request)
}

// writeRequest writes a request to a connection; not ok: too little time is left, or the deduplication window is over.
func (c *clients) writeRequest(request *request, clientConn *clientConn) (ok bool) {
	job, class, now := request.job, c.classes[request.class], c.env.now
	budget := min(job.deadline-now, class.requestTimeout) / time.Millisecond * time.Millisecond
	if budget < minBudget || class.outsideWindow(job, now) {
		return false
	}
	request.stage, request.sentAt, request.conn, request.readByScheduler, clientConn.request = requestSent, now, clientConn, false, request
	c.inFlight++
	c.recentRequests[c.recentNext%len(c.recentRequests)] = request
	c.recentNext++
	if class.requestTimeout < class.Deadline.Std() && job.deadline-now > class.requestTimeout {
		class.requestDeadlines.add(request.jobID<<requestBits | uint64(request.number))
	}
	message := &simapi.ClientRequest{
		RequestID: request.id, Class: request.class, Tenant: job.tenant, IdempotencyKey: request.key, Budget: budget, CostHint: job.costHint,
		Slots: request.slots, BodyLength: job.bodyLength, Retry: request.number > 0 && c.env.Spec.Clients.MarkRetry,
	}
	c.env.record(c.describe(request, trace.Event{
		Kind: trace.RequestSent, Scheduler: clientConn.conn.scheduler, Conn: uint64(clientConn.conn.id), Budget: budget,
		Resent: message.Retry,
	}))
	clientConn.sendRequest(message)
	return true
}

// endRequest ends a request, and settles its job or plans the next request. retryAfter is the scheduler's advice; 0: none.
func (c *clients) endRequest(request *request, outcome requestOutcome, retryAfter time.Duration) {
	job, class := request.job, c.classes[request.class]
	if request.stage == requestSent {
		c.inFlight--
	}
	if outcome == outcomeFailed && job.firstUncertainAt < 0 {
		job.firstUncertainAt = request.sentAt
	}
	request.stage, request.job, request.conn, job.openRequest = requestEnded, nil, nil, nil
	if outcome == outcomeServed || job.requests > c.env.Spec.Clients.Retries || job.requests >= maxRequests ||
		outcome == outcomeFailed && !class.idempotent && !class.retryableWithKey {
		c.settleJob(job)
		return
	}
	at := c.env.now + c.retryDelay(job, retryAfter)
	if at > job.deadline-minBudget || class.outsideWindow(job, at) {
		c.settleJob(job)
		return
	}
	c.env.schedule(at, func() { c.sendNext(job) })
}

// outsideWindow reports whether a job that needs its key for a retry may no longer be retried at a time.
func (c *class) outsideWindow(j *job, at time.Duration) bool {
	return c.retryableWithKey && j.firstUncertainAt >= 0 && at >= j.firstUncertainAt+c.DeduplicationWindow.Std()
}

// retryDelay returns the time that a client waits before its job's next request. It is retryAfter, the scheduler's advice, if
// there is one, the client honours it and no retry storm is active; else an exponential backoff with jitter.
func (c *clients) retryDelay(j *job, retryAfter time.Duration) time.Duration {
	if j.honoursRetryAfter && retryAfter > 0 && len(c.retryFactors) == 0 {
		return retryAfter
	}
	wait := float64(c.env.Spec.Clients.Backoff.Std()) * (0.5 + unitInterval(c.randomBits(j.number, j.requests, drawForBackoff)))
	wait *= float64(uint64(1) << min(j.requests-1, 30))
	for _, f := range c.retryFactors {
		wait /= *f
	}
	return time.Duration(min(wait, float64(time.Hour)))
}

// settleJob settles a job, with the status of its last request.
func (c *clients) settleJob(j *job) {
	j.settled = true
	c.unsettledJobs--
	c.jobs.settle(j.number)
	c.classes[j.class].retained.add(j.number)
	c.env.record(trace.Event{
		Kind: trace.JobSettled, JobID: j.number, Class: j.class, Tenant: j.tenant, Number: j.requests - 1,
		Status: j.status,
	})
	if j.client != nil {
		j.client.sendNext()
	}
}

// clientLeaves handles an impatient client that gives up its job.
func (c *clients) clientLeaves(j *job) {
	if j.settled {
		return
	}
	c.abandonRequest(j, trace.ClientLeft)
	c.settleJob(j)
}

// isUnsettled reports whether a job is not settled.
func (c *clients) isUnsettled(n uint64) bool { return c.jobs.openJob(n) != nil }

// jobDeadline settles a job that was not settled by its deadline plus the slack.
func (c *clients) jobDeadline(n uint64) {
	j := c.jobs.openJob(n)
	c.abandonRequest(j, trace.ClientTimedOut)
	c.settleJob(j)
}

// abandonRequest ends a job's open request without a response, if it has one.
func (c *clients) abandonRequest(job *job, kind trace.Kind) {
	request := job.openRequest
	if request == nil {
		return
	}
	if request.stage == requestSent {
		c.inFlight--
		c.closeConn(request, kind)
	} else {
		c.env.record(c.describe(request, trace.Event{Kind: trace.SchedulerUnreachable, Scheduler: -1}))
	}
	request.stage, request.job, request.conn, job.openRequest = requestEnded, nil, nil, nil
}

// requestUnreached ends a request that reached no scheduler. sched is the one that it was assigned to; -1: none was.
func (c *clients) requestUnreached(request *request, sched int) {
	c.env.record(c.describe(request, trace.Event{Kind: trace.SchedulerUnreachable, Scheduler: sched}))
	c.endRequest(request, outcomeUnreached, 0)
}

// isOpenRequest reports whether a request has been sent and has not ended.
func (c *clients) isOpenRequest(id uint64) bool {
	j := c.jobs.openJob(id >> requestBits)
	return j != nil && j.openRequest != nil && j.openRequest.number == int(id%maxRequests) && j.openRequest.stage == requestSent
}

// requestDeadline handles the timeout of an open request. Its job's deadline is later, so that there may be a retry.
func (c *clients) requestDeadline(id uint64) {
	request := c.jobs.openJob(id >> requestBits).openRequest
	if c.env.now < request.sentAt+c.classes[request.class].requestTimeout+c.deadlineSlack { // it was sent again, and has a later timeout
		return
	}
	c.closeConn(request, trace.ClientTimedOut)
	c.endRequest(request, outcomeFailed, 0)
}

// closeConn closes the connection on which a request awaits its response, and records the given kind of event.
func (c *clients) closeConn(request *request, kind trace.Kind) {
	conn := request.conn
	c.env.record(c.describe(request, trace.Event{Kind: kind, Scheduler: conn.conn.scheduler, Conn: uint64(conn.conn.id)}))
	conn.request = nil
	conn.close()
}

// describe sets the fields of a trace event that identify a request.
func (c *clients) describe(request *request, event trace.Event) trace.Event {
	event.RequestID, event.JobID, event.Number, event.Class, event.Tenant, event.IdempotencyKey = request.id, request.jobID, request.number, request.class, int(request.tenant), request.key
	return event
}

// startRetryStorm divides the backoff of clients by factor and makes them ignore Retry-After, until undo is called. The factors
// of overlapping storms multiply.
func (c *clients) startRetryStorm(factor float64) (undo func()) {
	f := &factor
	c.retryFactors = append(c.retryFactors, f)
	return func() { c.retryFactors = slices.DeleteFunc(c.retryFactors, func(o *float64) bool { return o == f }) }
}

// response is a response of a scheduler, with the ID of the request that it answers.
type response struct {
	requestID, body string
	status          int
	retryAfter      time.Duration
}

func (r *response) outcome() requestOutcome {
	switch r.status {
	case 200:
		return outcomeServed
	case 429, 503:
		return outcomeRejected
	}
	return outcomeFailed
}

// responseReceived handles the arrival of a response. Each response is recorded; one that does not answer the request on the
// connection ends no request.
func (c *clientConn) responseReceived(response response) {
	clients, request := c.pool.clients, c.request
	event := trace.Event{
		Kind: trace.ResponseReceived, Status: response.status, RetryAfter: response.retryAfter, Text: response.body, Scheduler: c.conn.scheduler,
		Conn: uint64(c.conn.id),
	}
	expected := request != nil && request.id == response.requestID
	if expected {
		event = clients.describe(request, event)
	} else if answered := clients.findRequest(response.requestID); answered != nil {
		event = clients.describe(answered, event)
	}
	event.RequestID = response.requestID
	clients.env.record(event)
	if !expected {
		if request == nil {
			c.close() // its responses can't be matched to requests any more
		}
		return
	}
	request.job.status, c.request = response.status, nil
	c.release()
	clients.endRequest(request, response.outcome(), response.retryAfter)
}
