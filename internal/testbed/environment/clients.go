package environment

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// This file holds the clients of the environment as one: who they are, how they start, and what reaches them from
// schedulers.

// clients is all clients: their jobs, each with its requests, of which one is open at a time, and the connections that
// they share (load_balancer.go). A job is settled exactly once.
//
// A request waits for a connection, then for its response, and ends with one trace event: ResponseReceived,
// ConnectionLost, ClientLeft, ClientTimedOut or SchedulerUnreachable. It may be followed by another, with a new id, after
// a rejection or where no scheduler was reached; after any other failure only if its class is idempotent, or idempotent
// with a key that all workers recognise, and then within the window of the first request that may have run. No request
// begins once the job's deadline has passed.
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

// answerSlack is the rules' slack where a scenario gives none, that of simulated time.
const answerSlack = 16 * time.Millisecond

// class is a class of jobs, and its jobs by when their time is up.
type class struct {
	*scenario.Class
	idempotent, idempotentWithKey, hasRetries bool
	requestTimeout                            time.Duration // that one request may take
	deadlines                                 *timeoutQueue // jobs, by when their time is up
	requestDeadlines                          *timeoutQueue // requests, by when theirs is, where a job may have several
	retained                                  *timeoutQueue // settled jobs, by when they may be forgotten
}

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
func (e *Environment) RequestsInFlight() int { return e.clients.awaiting }

// QuotaPerS is how many jobs a second are within a tenant's share.
func (e *Environment) QuotaPerS(tenant int) float64 { return e.Spec.QuotaRate(tenant) }

// Capacity is how many seconds of work a second the warm fleet can do, on standard cores.
func (e *Environment) Capacity() float64 { return e.Spec.Capacity() }

// openConn is a client's connection to a scheduler; nil: its client has closed it, or there never was one. What is for
// that goes nowhere.
func (c *clients) openConn(scheduler int, id simapi.Conn) *conn {
	conn := c.env.conns[id]
	if conn == nil || id.IsWorkerConn() || conn.scheduler != scheduler {
		return nil
	}
	return conn
}

// responseWritten takes a scheduler's answer.
func (c *clients) responseWritten(scheduler int, message *simapi.ResponseWritten) {
	conn := c.openConn(scheduler, message.Conn)
	if conn == nil {
		return
	}
	a := response{message.RequestID, message.Result, message.Status, message.RetryAfter}
	switch far := conn.far.(type) {
	case *clientConn:
		far.sendResponse(a)
	case *misbehavingClient:
		c.env.toFarEnd(conn, func() { far.responseReceived(conn, a) })
	}
}

// schedulerClosed takes a scheduler's close of a connection.
func (c *clients) schedulerClosed(scheduler int, id simapi.Conn) {
	if conn := c.openConn(scheduler, id); conn != nil {
		c.env.closeSide(conn, schedulerSide)
	}
}

// connFailed takes it that a connection never came up.
func (c *clients) connFailed(scheduler int, id simapi.Conn) {
	if conn := c.openConn(scheduler, id); conn != nil {
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
