package worker

import (
	"container/list"
	"net/netip"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	poolExpiryInterval      = time.Second
	reuseDelay              = 10 * time.Millisecond // between two attempts on a connection: a second response to the first shows by then
	minIdleTrust            = 20 * time.Millisecond // a connection used as lately as that is as good as a new one
	maxIdleTrust            = time.Minute           // beyond it, trust is without limit
	idleTrustGrowthInterval = 10 * time.Second      // the trust in idle connections doubles when they have done well for so long
)

// RequestTable is what a worker pool needs of the request table. *requests.Table implements it.
type RequestTable interface {
	EndpointList
	AttemptReporter
	HealthReporter
	CancelReporter
}

// EndpointList tells of the workers that discovery has listed.
type EndpointList interface {
	Endpoint(worker uint64) requests.Endpoint
	WorkerNumber(endpointID string) (worker uint64, known bool)
	MayReceive(worker uint64) bool
}

// AttemptReporter finds attempts, and is notified of what becomes of them.
type AttemptReporter interface {
	InFlightAttempt(requestID uint64, number int) *requests.Attempt
	ReportWritten(attempt *requests.Attempt)
	ReportResponse(attempt *requests.Attempt, status int)
	EndAttempt(attempt *requests.Attempt, result []byte, failure *requests.AttemptError)
}

// HealthReporter is notified of the results of health checks.
type HealthReporter interface {
	HealthChecked(worker uint64, failure *requests.AttemptError)
}

// CancelReporter is notified of how cancellations ended.
type CancelReporter interface {
	CancelUnaccepted(attempt *requests.Attempt)
	CancelCompleted(attempt *requests.Attempt, confirmed bool)
}

// Config is what a worker pool is made of.
type Config struct {
	Loop              *eventloop.Loop
	Dial              func(address netip.AddrPort) (fd int, err error)
	AttemptHold       func(attempt *requests.Attempt) time.Duration // before an attempt is written; it may end the attempt
	HasRelinquished   func() bool                                   // a successor owns the requests
	MaxConnections    int
	ConnectTimeout    time.Duration
	WorkerIdleTimeout time.Duration // after which workers close an idle connection; 0: never
}

// Pool has the connections to workers: it is the request table's carrier.
type Pool struct {
	loop               *eventloop.Loop
	table              RequestTable
	dial               func(address netip.AddrPort) (fd int, err error)
	attemptHold        func(attempt *requests.Attempt) time.Duration
	hasRelinquished    func() bool
	writeBuffer        []byte                            // what is being written
	response           http1.Response                    // that was parsed last
	endpoints          map[uint64]*endpointConnections   // by worker
	byAttempt          map[*requests.Attempt]*connection // until the worker has accepted
	cancelTries        map[*requests.Attempt]int         // connections tried to cancel an attempt, while it is being cancelled
	openCount          int                               // of connections
	idle               list.List                         // connections to all workers, the one that has been idle longest first
	maxConnections     int                               // open at once
	connectTimeout     time.Duration                     // for a connection to come up
	idleTimeout        time.Duration                     // for which a connection is kept idle; 0: for ever
	idleTrust          time.Duration                     // for which idle connections have lately gone well; 0: without limit
	idleTrustChangedAt time.Duration
}

// endpointConnections are the connections to one worker.
type endpointConnections struct {
	worker      uint64
	id          string
	address     netip.AddrPort
	startedAtMs int64
	incarnation int           // counts the worker's processes: a connection to an earlier one is of no use
	idle        []*connection // the last one used last
}

// New returns a pool that has no connections yet. The worker closes an idle connection at its limit, and a request
// that crosses the close is lost: the pool keeps well clear of that.
func New(config Config) *Pool {
	pool := &Pool{
		loop:            config.Loop,
		dial:            config.Dial,
		attemptHold:     config.AttemptHold,
		hasRelinquished: config.HasRelinquished,
		endpoints:       map[uint64]*endpointConnections{},
		byAttempt:       map[*requests.Attempt]*connection{},
		cancelTries:     map[*requests.Attempt]int{},
		maxConnections:  config.MaxConnections,
		connectTimeout:  config.ConnectTimeout,
		idleTimeout:     config.WorkerIdleTimeout * 3 / 4,
	}
	pool.closeExpired()
	return pool
}

// SetTable sets the request table, which is made with the pool as its transport. It is called once, before the table is used.
func (p *Pool) SetTable(table RequestTable) { p.table = table }

// SetMaxConnections sets how many connections may be open at once. Those that are open over it stay open.
func (p *Pool) SetMaxConnections(limit int) { p.maxConnections = limit }

// HandleEvents has nothing to do: the pool has no descriptor of its own, only timers.
func (p *Pool) HandleEvents(uint32) {}

// HandlePanic has nothing to end: the pool goes on.
func (p *Pool) HandlePanic() {}

// Start sends an attempt to its worker.
func (p *Pool) Start(attempt *requests.Attempt) {
	p.startExchange(attempt.Worker, exchange{kind: exchangeAttempt, attempt: attempt})
}

// Abandon lets the worker know that an attempt is given up: before it has accepted by closing the connection, after that by a
// DELETE.
func (p *Pool) Abandon(attempt *requests.Attempt) {
	if c := p.byAttempt[attempt]; c != nil {
		c.terminate(nil)
	} else if attempt.Stage == requests.StageAccepted {
		p.Cancel(attempt)
	}
}

// CheckHealth asks a worker whether it is alive.
func (p *Pool) CheckHealth(worker uint64) {
	p.startExchange(worker, exchange{kind: exchangeHealthCheck})
}

// CloseIdleConnections closes a worker's connections that are idle.
func (p *Pool) CloseIdleConnections(worker uint64) {
	if endpoint := p.endpoints[worker]; endpoint != nil {
		for len(endpoint.idle) > 0 {
			endpoint.idle[0].terminate(nil)
		}
	}
}

// endpoint returns the connections to a worker, without idle ones to a process of it that was replaced.
func (p *Pool) endpoint(worker uint64) *endpointConnections {
	endpoint := p.endpoints[worker]
	if endpoint == nil {
		endpoint = &endpointConnections{worker: worker}
		p.endpoints[worker] = endpoint
	}
	listed := p.table.Endpoint(worker)
	endpoint.id = listed.ID
	if listed.Addr != "" && (endpoint.startedAtMs != listed.StartedAtMs || endpoint.address.String() != listed.Addr) {
		endpoint.address, _ = netip.ParseAddrPort(listed.Addr)
		endpoint.startedAtMs = listed.StartedAtMs
		endpoint.incarnation++
		p.CloseIdleConnections(worker)
	}
	return endpoint
}

// startExchange begins an exchange on the idle connection that was used last, or on a new one.
func (p *Pool) startExchange(worker uint64, next exchange) {
	endpoint := p.endpoint(worker)
	if c := p.takeIdle(endpoint, next.kind); c != nil {
		c.idleBefore = max(p.loop.Now()-c.idleSince, 1)
		c.assign(next)
		p.loop.Protect(c, c.writeRequest)
		return
	}
	c := &connection{pool: p, endpoint: endpoint, incarnation: endpoint.incarnation, state: stateConnecting}
	c.assign(next)
	p.loop.Protect(c, c.connect)
}

// EndWaitingDials ends the attempts that have no connection yet, as never sent: there is nothing to be handed over of them.
func (p *Pool) EndWaitingDials() {
	for _, c := range p.byAttempt {
		if c.isWaitingToDial() {
			c.terminate(errNoDescriptor)
		}
	}
}

// HasWaitingDials reports whether an attempt has no connection yet.
func (p *Pool) HasWaitingDials() bool {
	for _, c := range p.byAttempt {
		if c.isWaitingToDial() {
			return true
		}
	}
	return false
}

// takeIdle takes the idle connection that was used last and may be used for a kind of exchange; nil: there is none. It closes
// those that it finds unusable.
func (p *Pool) takeIdle(endpoint *endpointConnections, next exchangeKind) *connection {
	for i := len(endpoint.idle) - 1; i >= 0; i-- {
		c := endpoint.idle[i]
		if p.isStale(c) || !c.isAlive() {
			c.terminate(nil)
			continue
		}
		if next == exchangeAttempt && c.lastKind == exchangeAttempt && p.loop.Now()-c.idleSince < reuseDelay {
			continue
		}
		p.removeIdle(c)
		return c
	}
	return nil
}

// addIdle takes a connection among the idle. Those that a predecessor hands over come in the order of their workers.
func (p *Pool) addIdle(conn *connection) {
	earlier := p.idle.Back()
	for earlier != nil && earlier.Value.(*connection).idleSince > conn.idleSince {
		earlier = earlier.Prev()
	}
	if earlier == nil {
		conn.idleElement = p.idle.PushFront(conn)
	} else {
		conn.idleElement = p.idle.InsertAfter(conn, earlier)
	}
	conn.endpoint.idle = append(conn.endpoint.idle, conn)
}

// removeIdle takes a connection from among the idle.
func (p *Pool) removeIdle(conn *connection) {
	endpoint := conn.endpoint
	p.idle.Remove(conn.idleElement)
	for i, idle := range endpoint.idle {
		if idle == conn {
			endpoint.idle = append(endpoint.idle[:i], endpoint.idle[i+1:]...)
			return
		}
	}
}

// evictIdle closes the connection that has been idle longest, to any worker, and reports whether there was one. The others
// are the likelier to be used again.
func (p *Pool) evictIdle() bool {
	oldest := p.idle.Front()
	if oldest == nil {
		return false
	}
	oldest.Value.(*connection).terminate(nil)
	return true
}

// closeExpired closes connections that have been idle for too long, again and again.
func (p *Pool) closeExpired() {
	p.loop.StartTimer(poolExpiryInterval, p, p.closeExpired)
	p.growIdleTrust()
	for _, endpoint := range p.endpoints {
		for len(endpoint.idle) > 0 && p.isStale(endpoint.idle[0]) {
			endpoint.idle[0].terminate(nil)
		}
	}
}

func (p *Pool) isStale(conn *connection) bool {
	idle := p.loop.Now() - conn.idleSince
	return p.idleTimeout > 0 && idle >= p.idleTimeout || p.idleTrust > 0 && idle >= p.idleTrust
}

// growIdleTrust doubles the trust in idle connections once they have done well for long enough.
func (p *Pool) growIdleTrust() {
	if p.idleTrust == 0 || p.loop.Now()-p.idleTrustChangedAt < idleTrustGrowthInterval {
		return
	}
	p.idleTrust *= 2
	p.idleTrustChangedAt = p.loop.Now()
	if p.idleTrust > maxIdleTrust {
		p.idleTrust = 0
	}
}

// reduceIdleTrust takes in that a connection broke which had been idle for so long and then got no response. Something on the
// way, or the workers themselves, drop idle connections unseen: a request that was written to one is possibly executed, so
// one that is not idempotent is lost by it. A new connection costs far less.
func (p *Pool) reduceIdleTrust(idle time.Duration) {
	if p.idleTrust == 0 || idle < p.idleTrust {
		p.idleTrust = max(idle/2, minIdleTrust)
	}
	p.idleTrustChangedAt = p.loop.Now()
}
