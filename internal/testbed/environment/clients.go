package environment

import (
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// clients is all clients: their jobs, each with its tries, of which one is open at a time, and the connections that
// they share (front.go). A job is settled exactly once.
//
// A try waits for a connection, then for its answer, and ends with one trace event: Answered, Lost, Left, GaveUp or
// Unreached. It may be followed by another, with a new id, after a rejection
// or where no scheduler was reached; after any other failure only if its class is safe, or keyed with a group that
// holds all workers and then within the window of the first try that may have run. No try begins once the
// job's deadline has passed.
//
// A client listens for the rules' slack beyond its deadline before it closes, as an answer counts until then.
type clients struct {
	env            *Environment
	arrivals       *arrivals
	classes        []*class
	zones          int
	jobs           jobTable
	requestIDs     permutation
	salt           uint64
	slack          time.Duration
	connPools      []*connPool
	lastConn       simapi.Conn
	retryFactors   []*float64
	unsettled      int
	awaiting       int
	recentRequests [64]*request // asked last, in turn
	recentNext     int
}

// requestRetention is how long a request is known after its job was settled; by then a scheduler sends it no more. That of a
// keyed class is known for its window longer.
const requestRetention = 30 * time.Second

// minBudget is the least time with which a client asks: budgets are whole milliseconds.
const minBudget = time.Millisecond

// answerSlack is the rules' slack where a scenario gives none, that of simulated time.
const answerSlack = 16 * time.Millisecond

// class is a class of jobs, and its jobs by when their time is up.
type class struct {
	*scenario.Class
	idempotent, idempotentWithKey, hasRetries bool
	requestTimeout                            time.Duration // that one try may take
	deadlines                                 *timeoutQueue // jobs, by when their time is up
	requestDeadlines                          *timeoutQueue // tries, by when theirs is, where a job may have several
	retained                                  *timeoutQueue // settled jobs, by when they may be forgotten
}

// job is what a client wants.
type job struct {
	number            uint64
	class, tenant     int
	zone              int
	requests          int
	status            int // of the answer to the last try
	bodyLength        int
	honoursRetryAfter bool
	overQuota         bool
	work, slots       float64
	costHint          time.Duration
	dueAt, deadline   time.Duration
	leavesAfter       time.Duration // its client goes away so long after it fell due; 0: it doesn't
	firstRiskAt       time.Duration // when the first try was asked that may have run; -1: none was
	key               string
	open              *request      // the open one
	client            *closedClient // whose job it is, under a closed load
}

// request is a client's request, as the environment knows it.
type request struct {
	id     string
	jobID  uint64
	number int // which of the job's tries
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

// How a try ends.
type requestOutcome uint8

const (
	outcomeServed    requestOutcome = iota
	outcomeRejected                 // 429 or 503: trying again is harmless
	outcomeUnreached                // no connection came up
	outcomeFailed                   // it may have run
)

func newClients(environment *Environment) *clients {
	spec := environment.Spec
	clients := &clients{env: environment, zones: max(1, len(spec.Fleet.Zones)), slack: spec.Rules.Slack.Std()}
	if clients.slack <= 0 {
		clients.slack = answerSlack
	}
	rng := environment.rng("ids", 0)
	clients.requestIDs, clients.salt = newPermutation(rng.Uint64(), rng.Uint64()), rng.Uint64()
	for i := range spec.Classes {
		class := &class{Class: &spec.Classes[i]}
		class.idempotent, class.idempotentWithKey = class.Idempotency == "safe", class.Idempotency == "keyed"
		class.hasRetries = class.idempotentWithKey && class.DeduplicationScope == "all"
		class.requestTimeout = class.Deadline.Std()
		if share := spec.Clients.RequestTimeoutShare; share > 0 && share < 1 {
			class.requestTimeout = time.Duration(float64(class.requestTimeout) * share)
		}
		window := time.Duration(0)
		if class.idempotentWithKey {
			window = class.DeduplicationWindow.Std()
		}
		class.deadlines = newTimeoutQueue(environment, class.Deadline.Std()+clients.slack, 0, clients.isUnsettled, clients.jobDeadline)
		class.requestDeadlines = newTimeoutQueue(environment, class.requestTimeout+clients.slack, 0, clients.isOpenRequest, clients.requestDeadline)
		class.retained = newTimeoutQueue(environment, requestRetention+window, time.Second, nil, clients.jobs.forget)
		clients.classes = append(clients.classes, class)
	}
	for z := range clients.zones {
		clients.connPools = append(clients.connPools, &connPool{clients: clients, zone: z})
	}
	clients.arrivals = newArrivals(clients)
	return clients
}

func (c *clients) start() {
	c.arrivals.start()
	c.startMisbehaving()
}

// finished tells whether all jobs are settled and none will come.
func (c *clients) finished() bool { return c.unsettled == 0 && c.env.now >= c.arrivals.length }

// RequestsInFlight is how many requests clients wait for an answer to.
func (w *Environment) RequestsInFlight() int { return w.clients.awaiting }

// QuotaPerS is how many jobs a second are within a tenant's share.
func (w *Environment) QuotaPerS(tenant int) float64 { return w.Spec.QuotaRate(tenant) }

// Capacity is how many seconds of work a second the warm fleet can do, on standard cores.
func (w *Environment) Capacity() float64 { return w.Spec.Capacity() }

// ---- The life of a job ----

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

// sendNext begins the job's next try.
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

// writeRequest writes a try's request on a connection. Not ok: its time is up.
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

// endRequest ends a try, and settles its job or has it tried again.
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
func (k *class) outsideWindow(j *job, at time.Duration) bool {
	return k.hasRetries && j.firstRiskAt >= 0 && at >= j.firstRiskAt+k.DeduplicationWindow.Std()
}

// retryDelay is how long a client waits before its job's next try. Of after, the scheduler's advice, only storms and the
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

// isUnsettled tells whether a job's deadline is still to come, and timeUp is it.
func (c *clients) isUnsettled(n uint64) bool { return c.jobs.openJob(n) != nil }

func (c *clients) jobDeadline(n uint64) {
	j := c.jobs.openJob(n)
	c.abandonRequest(j, trace.ClientTimedOut)
	c.settleJob(j)
}

// abandonRequest ends a job's open try without an answer, if it has one.
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

// requestUnreached ends a try that reached no scheduler; -1: it was led to none.
func (c *clients) requestUnreached(t *request, sched int) {
	c.env.record(c.describe(t, trace.Event{Kind: trace.SchedulerUnreachable, Scheduler: sched}))
	c.endRequest(t, outcomeUnreached, 0)
}

// isOpenRequest tells whether the end of a try's time is still to come, and tryUp is it. Its job has time for more.
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

// closeConn closes the connection that a try waits on.
func (c *clients) closeConn(t *request, why trace.Kind) {
	l := t.conn
	c.env.record(c.describe(t, trace.Event{Kind: why, Scheduler: l.conn.scheduler, Conn: uint64(l.conn.id)}))
	l.request = nil
	l.close()
}

// describe says in a trace event which try it is of.
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

// ---- What comes from schedulers ----

// apply takes an answer, or the end of a connection. What is for a connection that its client has closed, or that
// there never was, goes nowhere.
func (c *clients) apply(o *simapi.Output) {
	conn := c.env.conns[o.Conn]
	if conn == nil || o.Conn.IsWorkerConn() || conn.scheduler != o.Scheduler {
		return
	}
	switch o.Kind {
	case simapi.ResponseWritten:
		a := response{o.RequestID, o.Result, o.Status, o.RetryAfter}
		switch far := conn.far.(type) {
		case *clientConn:
			far.sendResponse(a)
		case *misbehavingClient:
			c.env.toFarEnd(conn, func() { far.responseReceived(conn, a) })
		}
	case simapi.ClientConnClosed:
		c.env.closeSide(conn, schedulerSide)
	case simapi.ClientConnFailed:
		conn.closed[schedulerSide], conn.closed[farSide] = true, true
		delete(c.env.conns, conn.id)
		conn.far.connClosed(conn)
	}
}

// nextConn numbers a client's connection.
func (c *clients) nextConn() simapi.Conn {
	c.lastConn++
	return c.lastConn
}

// response is an answer as it stands on the wire, and the request that it is meant for.
type response struct {
	requestID, body string
	status          int
	retryAfter      time.Duration
}

func (a *response) outcome() requestOutcome {
	switch a.status {
	case 200:
		return outcomeServed
	case 429, 503:
		return outcomeRejected
	}
	return outcomeFailed
}

// responseReceived is the arrival of an answer. Whatever it is, it is seen; one that is not for the request that the
// connection carries ends nothing.
func (l *clientConn) responseReceived(response response) {
	clients, t := l.pool.clients, l.request
	event := trace.Event{
		Kind: trace.ResponseReceived, Status: response.status, RetryAfter: response.retryAfter, Text: response.body, Scheduler: l.conn.scheduler,
		Conn: uint64(l.conn.id),
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
			l.close() // it can't be trusted any more
		}
		return
	}
	t.job.status, l.request = response.status, nil
	l.release()
	clients.endRequest(t, response.outcome(), response.retryAfter)
}

// ---- Ids ----

// A request's id is its job's number and its own among the job's tries, scrambled: it follows from the seed alone,
// never comes twice, and leads back to the job without a table.
const (
	requestBits = 8
	maxRequests = 1 << requestBits
)

// permutation is a permutation of 64-bit numbers that can be undone.
type permutation struct{ add, mul, inv uint64 }

func newPermutation(a, b uint64) permutation {
	s := permutation{add: a, mul: b | 1}
	s.inv = s.mul // right in its last 3 bits; each turn doubles those
	for range 5 {
		s.inv *= 2 - s.mul*s.inv
	}
	return s
}

func (s permutation) apply(x uint64) uint64 {
	x += s.add
	for range 3 {
		x ^= x >> 32
		x *= s.mul
	}
	return x ^ x>>32
}

func (s permutation) invert(x uint64) uint64 {
	x ^= x >> 32
	for range 3 {
		x *= s.inv
		x ^= x >> 32
	}
	return x - s.add
}

const hexDigits = "0123456789abcdef"

func putHex(dst []byte, x uint64) {
	for i := range dst {
		dst[i] = hexDigits[x>>60]
		x <<= 4
	}
}

func (c *clients) requestID(job uint64, try int) string {
	var b [16]byte
	putHex(b[:], c.requestIDs.apply(job<<requestBits|uint64(try)))
	return string(b[:])
}

func (c *clients) idempotencyKey(job uint64) string {
	var b [32]byte
	putHex(b[:16], c.requestIDs.apply(job^c.salt))
	putHex(b[16:], c.requestIDs.apply(job^c.salt>>1))
	return string(b[:])
}

// findRequest finds a request by its id; nil: no client sent it. Requests are known for as long as an attempt of theirs may be
// anywhere.
func (c *clients) findRequest(call string) *request {
	if len(call) != 16 {
		return nil
	}
	var x uint64
	for i := range len(call) {
		d := strings.IndexByte(hexDigits, call[i])
		if d < 0 {
			return nil
		}
		x = x<<4 | uint64(d)
	}
	x = c.requestIDs.invert(x)
	return c.jobs.find(x>>requestBits, int(x%maxRequests))
}

// What a job's own random numbers are drawn for. They follow from its number and the try alone.
const (
	drawZone = iota
	drawConn
	drawWait
)

func (c *clients) drawBits(job uint64, try, what int) uint64 {
	return mix64(mix64(c.salt+job<<requestBits+uint64(try)) + uint64(what)*0x9e3779b97f4a7c15)
}

// unitInterval turns random bits into a number from 0 up to 1.
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// ---- Books ----

// jobTable is the jobs by their numbers, which count from 1.
type jobTable struct {
	records []jobRecord // in a ring of a power of two
	first   uint64      // the oldest job that is known
	next    uint64
}

type jobRecord struct {
	job     *job     // nil: settled
	request *request // nil: forgotten
}

func (b *jobTable) record(n uint64) *jobRecord { return &b.records[n&uint64(len(b.records)-1)] }

func (b *jobTable) add(job *job) uint64 {
	if b.next == 0 {
		b.first, b.next, b.records = 1, 1, make([]jobRecord, 1024)
	}
	if size := uint64(len(b.records)); b.next-b.first == size {
		old := *b
		b.records = make([]jobRecord, 2*size)
		for n := b.first; n < b.next; n++ {
			*b.record(n) = *old.record(n)
		}
	}
	*b.record(b.next) = jobRecord{job: job}
	b.next++
	return b.next - 1
}

// openJob is a job that is not settled; nil: it is, or there is none.
func (b *jobTable) openJob(n uint64) *job {
	if n < b.first || n >= b.next {
		return nil
	}
	return b.record(n).job
}

// setRequest enters a job's latest try, and returns the one before.
func (b *jobTable) setRequest(t *request) *request {
	p := b.record(t.jobID)
	before := p.request
	p.request = t
	return before
}

func (b *jobTable) settle(n uint64) { b.record(n).job = nil }

func (b *jobTable) forget(n uint64) {
	b.record(n).request = nil
	for b.first < b.next && b.record(b.first).job == nil && b.record(b.first).request == nil {
		b.first++
	}
}

func (b *jobTable) find(job uint64, n int) *request {
	if job < b.first || job >= b.next {
		return nil
	}
	t := b.record(job).request
	for t != nil && t.number > n {
		t = t.previous
	}
	if t == nil || t.number != n {
		return nil
	}
	return t
}

// timeoutQueue is what falls due equally long after it was entered: a queue with one entry on the event queue, where a heap of
// all would be too slow.
type timeoutQueue struct {
	env       *Environment
	timeout   time.Duration
	batch     time.Duration // it may be late by so much, to be woken less often
	isLive    func(uint64) bool
	expire    func(uint64)
	items     queue[timeoutItem]
	scheduled bool
	fire      func()
}

type timeoutItem struct {
	at      time.Duration
	subject uint64
}

// newTimeoutQueue has do done for whatever is live when it falls due; live nil: all is.
func newTimeoutQueue(w *Environment, span, batch time.Duration, live func(uint64) bool, do func(uint64)) *timeoutQueue {
	l := &timeoutQueue{env: w, timeout: span, batch: batch, isLive: live, expire: do}
	l.fire = func() { l.scheduled = false; l.run() }
	return l
}

func (l *timeoutQueue) add(of uint64) {
	l.items.push(timeoutItem{l.env.now + l.timeout, of})
	l.scheduleNext()
}

func (l *timeoutQueue) scheduleNext() {
	if !l.scheduled && l.items.len() > 0 {
		l.scheduled = true
		l.env.schedule(l.items.first().at+l.batch, l.fire)
	}
}

func (l *timeoutQueue) run() {
	for l.items.len() > 0 {
		i := *l.items.first()
		live := l.isLive == nil || l.isLive(i.subject)
		if live && i.at > l.env.now {
			break
		}
		l.items.pop()
		if live {
			l.expire(i.subject)
		}
	}
	l.scheduleNext()
}

// queue is a first-in first-out queue.
type queue[T any] struct {
	items []T
	start int
}

func (q *queue[T]) len() int  { return len(q.items) - q.start }
func (q *queue[T]) first() *T { return &q.items[q.start] }
func (q *queue[T]) push(x T)  { q.items = append(q.items, x) }

func (q *queue[T]) pop() {
	var none T
	q.items[q.start] = none
	if q.start++; q.start > 64 && q.start > len(q.items)/2 {
		n := copy(q.items, q.items[q.start:])
		clear(q.items[n:])
		q.items, q.start = q.items[:n], 0
	}
}
