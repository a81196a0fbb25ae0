package environment

import (
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// This file holds the state that all clients share, how they start, and how they handle the outputs of schedulers.

// clients holds all clients: their jobs, each with its requests, of which at most one is open at a time, and the connections
// that they share (load_balancer.go). A job is settled exactly once.
//
// A request waits for a connection, then for its response, and ends with one trace event: ResponseReceived, ConnectionLost,
// ClientLeft, ClientTimedOut or SchedulerUnreachable. The job is retried with another request, which has a new ID, after a
// rejection or if no scheduler was reached. After any other failure it is retried only if its class is idempotent, or is
// idempotent with a key that all workers deduplicate; in the latter case only within the deduplication window, which starts
// with the first request that may have run. No request is sent after the job's deadline.
//
// A client waits for a response until its deadline plus the rules' slack before it closes the connection, as a response counts
// until then.
type clients struct {
	env            *Environment
	arrivals       *arrivals
	classes        []*class
	zones          int
	jobs           jobTable
	requestIDs     permutation
	salt           uint64
	deadlineSlack  time.Duration
	connPools      []*connPool
	lastConn       simapi.Conn
	retryFactors   []*float64
	unsettledJobs  int
	inFlight       int
	recentRequests [64]*request // ring buffer of the requests that were sent last
	recentNext     int
}

// requestRetention is how long requests are kept after their job is settled; no scheduler sends an attempt after that. Those of
// a class with idempotency keys are kept longer by the deduplication window.
const requestRetention = 30 * time.Second

// defaultDeadlineSlack is the slack if the scenario sets none; it is the slack of runs in simulated time.
const defaultDeadlineSlack = 16 * time.Millisecond

// class is a class of jobs, with the timeouts of its jobs and requests.
type class struct {
	*scenario.Class
	idempotent, idempotentWithKey, retryableWithKey bool
	requestTimeout                                  time.Duration // of one request
	deadlines                                       *timeoutQueue // numbers of jobs
	requestDeadlines                                *timeoutQueue // IDs of requests with a timeout before their job's deadline
	retained                                        *timeoutQueue // numbers of settled jobs, until their requests are forgotten
}

func newClients(environment *Environment) *clients {
	spec := environment.Spec
	clients := &clients{env: environment, zones: max(1, len(spec.Fleet.Zones)), deadlineSlack: spec.Rules.Slack.Std()}
	if clients.deadlineSlack <= 0 {
		clients.deadlineSlack = defaultDeadlineSlack
	}
	rng := environment.rng("ids", 0)
	clients.requestIDs, clients.salt = newPermutation(rng.Uint64(), rng.Uint64()), rng.Uint64()
	for i := range spec.Classes {
		class := &class{Class: &spec.Classes[i]}
		class.idempotent, class.idempotentWithKey = class.Idempotency == "safe", class.Idempotency == "keyed"
		class.retryableWithKey = class.idempotentWithKey && class.DeduplicationScope == "all"
		class.requestTimeout = class.Deadline.Std()
		if share := spec.Clients.RequestTimeoutShare; share > 0 && share < 1 {
			class.requestTimeout = time.Duration(float64(class.requestTimeout) * share)
		}
		window := time.Duration(0)
		if class.idempotentWithKey {
			window = class.DeduplicationWindow.Std()
		}
		class.deadlines = newTimeoutQueue(environment, class.Deadline.Std()+clients.deadlineSlack, 0, clients.isUnsettled, clients.jobDeadline)
		class.requestDeadlines = newTimeoutQueue(environment, class.requestTimeout+clients.deadlineSlack, 0, clients.isOpenRequest, clients.requestDeadline)
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

// finished reports whether all jobs are settled and no more will arrive.
func (c *clients) finished() bool { return c.unsettledJobs == 0 && c.env.now >= c.arrivals.runLength }

// RequestsInFlight returns the number of requests that await a response.
func (e *Environment) RequestsInFlight() int { return e.clients.inFlight }

// QuotaPerS returns the quota of a tenant in jobs per second.
func (e *Environment) QuotaPerS(tenant int) float64 { return e.Spec.QuotaRate(tenant) }

// Capacity returns the seconds of work on a standard core that the warm fleet can do per second.
func (e *Environment) Capacity() float64 { return e.Spec.Capacity() }

// openConn returns a client's connection to a scheduler; nil: both sides have closed it, or it never existed. Outputs for such
// a connection have no effect.
func (c *clients) openConn(scheduler int, id simapi.Conn) *conn {
	conn := c.env.conns[id]
	if conn == nil || id.IsWorkerConn() || conn.scheduler != scheduler {
		return nil
	}
	return conn
}

// responseWritten handles a response that a scheduler has written.
func (c *clients) responseWritten(scheduler int, message *simapi.ResponseWritten) {
	conn := c.openConn(scheduler, message.Conn)
	if conn == nil {
		return
	}
	response := response{message.RequestID, message.Result, message.Status, message.RetryAfter}
	switch far := conn.far.(type) {
	case *clientConn:
		far.sendResponse(response)
	case *misbehavingClient:
		c.env.toFarEnd(conn, func() { far.responseReceived(conn, response) })
	}
}

// schedulerClosed handles a scheduler's close of a connection.
func (c *clients) schedulerClosed(scheduler int, id simapi.Conn) {
	if conn := c.openConn(scheduler, id); conn != nil {
		c.env.closeSide(conn, schedulerSide)
	}
}

// connFailed handles the report that a connection was never established.
func (c *clients) connFailed(scheduler int, id simapi.Conn) {
	if conn := c.openConn(scheduler, id); conn != nil {
		conn.closed[schedulerSide], conn.closed[farSide] = true, true
		delete(c.env.conns, conn.id)
		conn.far.connClosed(conn)
	}
}

// nextConn returns the number of a new client connection.
func (c *clients) nextConn() simapi.Conn {
	c.lastConn++
	return c.lastConn
}
