package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// This file holds the life of a job: it falls due, is sent as one request after another, and is settled once.

// minBudget is the least time with which a client asks: budgets are whole milliseconds.
const minBudget = time.Millisecond

// job is what a client wants.
type job struct {
	number            uint64
	class, tenant     int
	zone              int
	requests          int
	status            int // of the response to the last request
	bodyLength        int
	honoursRetryAfter bool
	overQuota         bool
	work, slots       float64
	costHint          time.Duration
	dueAt, deadline   time.Duration
	leavesAfter       time.Duration // its client goes away so long after it fell due; 0: it doesn't
	firstRiskAt       time.Duration // when the first request was sent that may have run; -1: none was
	key               string
	open              *request      // the open one
	client            *closedClient // whose job it is, under a closed load
}

// request is a client's request, as the environment knows it.
type request struct {
	id     string
	jobID  uint64
	number int // which of the job's requests
	class  int
	key    string
	work   float64 // s on a standard core, before the noise of a run
	slots  float64

	job      *job     // nil: it has ended
	previous *request // the job's earlier one
	conn     *clientConn
	sentAt   time.Duration
	tenant   int32
	stage    requestStage
	read     bool // the request has reached the scheduler
	resent   bool // it has been sent a second time
}

type requestStage uint8

const (
	requestSeeking requestStage = iota // for a connection
	requestSent
	requestEnded
)

// How a request ends.
type requestOutcome uint8

const (
	outcomeServed    requestOutcome = iota
	outcomeRejected                 // 429 or 503: trying again is harmless
	outcomeUnreached                // no connection came up
	outcomeFailed                   // it may have run
)

// jobDue is the moment at which a job falls due; the testbed meant it to at meant.
func (c *clients) jobDue(job *job, meant time.Duration) {
	class := c.classes[job.class]
	c.unsettled++
	job.dueAt, job.deadline = c.env.now, c.env.now+class.Deadline.Std()
	job.number = c.jobs.add(job)
	if c.zones > 1 {
		job.zone = int(c.drawBits(job.number, 0, drawZone) % uint64(c.zones))
	}
	if class.idempotentWithKey {
		job.key = c.idempotencyKey(job.number)
	}
	objective := min(class.LatencyObjective.Std()+time.Duration(class.ObjectiveStretch*job.work*float64(time.Second)), class.Deadline.Std())
	c.env.record(trace.Event{
		Kind: trace.JobDue, JobID: job.number, Class: job.class, Tenant: job.tenant, Work: job.work, Slots: job.slots,
		IdempotencyKey: job.key, LatencyObjective: objective, Deadline: class.Deadline.Std(), OverQuota: c.arrivals.isOverQuota(job.tenant, c.env.now), Lateness: c.env.now - meant,
	})
	class.deadlines.add(job.number)
	if job.leavesAfter > 0 {
		c.env.after(job.leavesAfter, func() { c.clientLeaves(job) })
	}
	c.sendNext(job)
}

// sendNext begins the job's next request.
func (c *clients) sendNext(job *job) {
	if job.overQuota {
		return
	}
	t := &request{
		jobID: job.number, number: job.requests, class: job.class, tenant: int32(job.tenant), key: job.key, work: job.work,
		slots: job.slots, job: job,
	}
	t.id = c.requestID(job.number, job.requests)
	t.previous = c.jobs.setRequest(t)
	job.requests++
	job.open, job.status = t, 0
	c.connPools[job.zone].acquire(t)
}

// writeRequest writes a request on a connection. Not ok: its time is up.
func (c *clients) writeRequest(t *request, clientConn *clientConn) (ok bool) {
	job, class, now := t.job, c.classes[t.class], c.env.now
	budget := min(job.deadline-now, class.requestTimeout) / time.Millisecond * time.Millisecond
	if budget < minBudget || class.outsideWindow(job, now) {
		return false
	}
	t.stage, t.sentAt, t.conn, t.read, clientConn.request = requestSent, now, clientConn, false, t
	c.awaiting++
	c.recentRequests[c.recentNext%len(c.recentRequests)] = t
	c.recentNext++
	if class.requestTimeout < class.Deadline.Std() && job.deadline-now > class.requestTimeout {
		class.requestDeadlines.add(t.jobID<<requestBits | uint64(t.number))
	}
	a := &simapi.ClientRequest{
		RequestID: t.id, Class: t.class, Tenant: job.tenant, IdempotencyKey: t.key, Budget: budget, CostHint: job.costHint,
		Slots: t.slots, BodyLength: job.bodyLength, Retry: t.number > 0 && c.env.Spec.Clients.MarkRetry,
	}
	c.env.record(c.describe(t, trace.Event{
		Kind: trace.RequestSent, Scheduler: clientConn.conn.scheduler, Conn: uint64(clientConn.conn.id), Budget: budget,
		Resent: a.Retry,
	}))
	clientConn.sendRequest(a)
	return true
}

// endRequest ends a request, and settles its job or has it sent again.
func (c *clients) endRequest(t *request, how requestOutcome, after time.Duration) {
	job, class := t.job, c.classes[t.class]
	if t.stage == requestSent {
		c.awaiting--
	}
	if how == outcomeFailed && job.firstRiskAt < 0 {
		job.firstRiskAt = t.sentAt
	}
	t.stage, t.job, t.conn, job.open = requestEnded, nil, nil, nil
	if how == outcomeServed || job.requests > c.env.Spec.Clients.Retries || job.requests >= maxRequests ||
		how == outcomeFailed && !class.idempotent && !class.hasRetries {
		c.settleJob(job)
		return
	}
	at := c.env.now + c.retryDelay(job, after)
	if at > job.deadline-minBudget || class.outsideWindow(job, at) {
		c.settleJob(job)
		return
	}
	c.env.schedule(at, func() { c.sendNext(job) })
}

// outsideWindow tells whether an instant is outside the window in which a keyed job may be repeated.
func (c *class) outsideWindow(j *job, at time.Duration) bool {
	return c.hasRetries && j.firstRiskAt >= 0 && at >= j.firstRiskAt+c.DeduplicationWindow.Std()
}

// retryDelay is how long a client waits before its job's next request. Of after, the scheduler's advice, only storms and the
// client's own ways keep it.
func (c *clients) retryDelay(j *job, after time.Duration) time.Duration {
	if j.honoursRetryAfter && after > 0 && len(c.retryFactors) == 0 {
		return after
	}
	wait := float64(c.env.Spec.Clients.Backoff.Std()) * (0.5 + unitInterval(c.drawBits(j.number, j.requests, drawWait)))
	wait *= float64(uint64(1) << min(j.requests-1, 30))
	for _, f := range c.retryFactors {
		wait /= *f
	}
	return time.Duration(min(wait, float64(time.Hour)))
}

// settleJob is the end of a job.
func (c *clients) settleJob(j *job) {
	j.overQuota = true
	c.unsettled--
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

// clientLeaves is an impatient client's going away.
func (c *clients) clientLeaves(j *job) {
	if j.overQuota {
		return
	}
	c.abandonRequest(j, trace.ClientLeft)
	c.settleJob(j)
}

// isUnsettled tells whether a job's deadline is still to come, and jobDeadline is it.
func (c *clients) isUnsettled(n uint64) bool { return c.jobs.openJob(n) != nil }

func (c *clients) jobDeadline(n uint64) {
	j := c.jobs.openJob(n)
	c.abandonRequest(j, trace.ClientTimedOut)
	c.settleJob(j)
}

// abandonRequest ends a job's open request without a response, if it has one.
func (c *clients) abandonRequest(job *job, why trace.Kind) {
	t := job.open
	if t == nil {
		return
	}
	if t.stage == requestSent {
		c.awaiting--
		c.closeConn(t, why)
	} else {
		c.env.record(c.describe(t, trace.Event{Kind: trace.SchedulerUnreachable, Scheduler: -1}))
	}
	t.stage, t.job, t.conn, job.open = requestEnded, nil, nil, nil
}

// requestUnreached ends a request that reached no scheduler; -1: it was led to none.
func (c *clients) requestUnreached(t *request, sched int) {
	c.env.record(c.describe(t, trace.Event{Kind: trace.SchedulerUnreachable, Scheduler: sched}))
	c.endRequest(t, outcomeUnreached, 0)
}

// isOpenRequest tells whether the end of a request's time is still to come, and requestDeadline is it. Its job has time for more.
func (c *clients) isOpenRequest(id uint64) bool {
	j := c.jobs.openJob(id >> requestBits)
	return j != nil && j.open != nil && j.open.number == int(id%maxRequests) && j.open.stage == requestSent
}

func (c *clients) requestDeadline(id uint64) {
	t := c.jobs.openJob(id >> requestBits).open
	if c.env.now < t.sentAt+c.classes[t.class].requestTimeout+c.slack { // it was sent a second time, and has that one's time
		return
	}
	c.closeConn(t, trace.ClientTimedOut)
	c.endRequest(t, outcomeFailed, 0)
}

// closeConn closes the connection that a request waits on.
func (c *clients) closeConn(t *request, why trace.Kind) {
	l := t.conn
	c.env.record(c.describe(t, trace.Event{Kind: why, Scheduler: l.conn.scheduler, Conn: uint64(l.conn.id)}))
	l.request = nil
	l.close()
}

// describe says in a trace event which request it is of.
func (c *clients) describe(t *request, s trace.Event) trace.Event {
	s.RequestID, s.JobID, s.Number, s.Class, s.Tenant, s.IdempotencyKey = t.id, t.jobID, t.number, t.class, int(t.tenant), t.key
	return s
}

// startRetryStorm has clients come back factor times as soon, and heed no Retry-After, until undo. Storms multiply.
func (c *clients) startRetryStorm(factor float64) (undo func()) {
	f := &factor
	c.retryFactors = append(c.retryFactors, f)
	return func() { c.retryFactors = slices.DeleteFunc(c.retryFactors, func(o *float64) bool { return o == f }) }
}

// response is an answer as it stands on the wire, and the request that it is meant for.
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

// responseReceived is the arrival of an answer. Whatever it is, it is seen; one that is not for the request that the
// connection carries ends nothing.
func (c *clientConn) responseReceived(response response) {
	clients, t := c.pool.clients, c.request
	event := trace.Event{
		Kind: trace.ResponseReceived, Status: response.status, RetryAfter: response.retryAfter, Text: response.body, Scheduler: c.conn.scheduler,
		Conn: uint64(c.conn.id),
	}
	own := t != nil && t.id == response.requestID
	if own {
		event = clients.describe(t, event)
	} else if o := clients.findRequest(response.requestID); o != nil {
		event = clients.describe(o, event)
	}
	event.RequestID = response.requestID
	clients.env.record(event)
	if !own {
		if t == nil {
			c.close() // it can't be trusted any more
		}
		return
	}
	t.job.status, c.request = response.status, nil
	c.release()
	clients.endRequest(t, response.outcome(), response.retryAfter)
}
