package worker

import (
	"container/list"
	"net/netip"
	"time"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// Config configures a Pool. All fields but WorkerIdleTimeout are required.
type Config struct {
	Loop *eventloop.Loop
	// Dial starts a non-blocking connection and returns its socket, which the pool owns.
	Dial func(address netip.AddrPort) (socket int, err error)
	// WriteDelay returns how long to delay the write of an attempt; 0: it is written now. It is called right before each write,
	// so that it can check whether the client of the request is still connected. If the client is not, it may end the attempt.
	WriteDelay func(attempt *requests.Attempt) time.Duration
	// HasRelinquished reports whether the successor of a hot restart owns the requests. DELETEs are not retried then.
	HasRelinquished func() bool
	// MaxConnections limits the connections that are open at once; see SetMaxConnections.
	MaxConnections int
	// ConnectTimeout is how long a connection may take from the start of its exchange until its first byte is written.
	ConnectTimeout time.Duration
	// WorkerIdleTimeout is the time after which workers close an idle connection; 0: never.
	WorkerIdleTimeout time.Duration
}

// Pool opens, reuses and closes the connections to all workers, and runs the exchanges on them. Together with a watch on the
// endpoint list it is a requests.Transport. It is used on the goroutine of its loop alone.
type Pool struct {
	loop            *eventloop.Loop
	dial            func(address netip.AddrPort) (socket int, err error)
	writeDelay      func(attempt *requests.Attempt) time.Duration
	hasRelinquished func() bool
	table           RequestTable

	maxConnections int
	connectTimeout time.Duration
	idleTimeout    time.Duration // after which an idle connection is closed; 0: never
	openCount      int           // open connections

	endpoints      map[uint64]*endpointConnections   // by worker number
	byAttempt      map[*requests.Attempt]*connection // of the attempts that no worker has accepted yet
	healthChecks   map[*connection]struct{}          // connections that carry a health check
	cancelAttempts map[*requests.Attempt]int         // connections used so far to cancel an attempt, while it is being cancelled

	idle                      list.List     // idle connections to all workers, the longest idle first
	maxReuseIdleTime          time.Duration // connections that were idle for longer are not reused; 0: no limit
	maxReuseIdleTimeChangedAt time.Duration // when it was last changed, or confirmed by a lost connection

	writeBuffer []byte         // reused to format each request; its content is not needed after the write
	response    http1.Response // reused to parse each response; valid until that is handled
}

// New returns a pool without connections. SetTable must be called before the pool is used.
func New(config Config) *Pool {
	pool := &Pool{
		loop:            config.Loop,
		dial:            config.Dial,
		writeDelay:      config.WriteDelay,
		hasRelinquished: config.HasRelinquished,
		maxConnections:  config.MaxConnections,
		connectTimeout:  config.ConnectTimeout,
		idleTimeout:     config.WorkerIdleTimeout * 3 / 4, // shorter: a request that is sent while the worker closes is lost
		endpoints:       map[uint64]*endpointConnections{},
		byAttempt:       map[*requests.Attempt]*connection{},
		healthChecks:    map[*connection]struct{}{},
		cancelAttempts:  map[*requests.Attempt]int{},
	}
	pool.closeExpired()
	return pool
}

// SetTable sets the request table that the pool reports to. The table is created with the pool as its transport, so the pool is
// created first.
func (p *Pool) SetTable(table RequestTable) { p.table = table }

// SetMaxConnections limits the connections that are open at once. Excess connections stay open. At or above the limit, the
// connection that has been idle longest is closed for each new one; if none is idle, none is opened.
func (p *Pool) SetMaxConnections(limit int) { p.maxConnections = limit }

// HandleEvents does nothing: the pool owns timers of the loop and no descriptor.
func (p *Pool) HandleEvents(uint32) {}

// HandlePanic does nothing: the pool keeps working after a panic in one of its timers.
func (p *Pool) HandlePanic() {}

// Start sends an attempt to its worker.
func (p *Pool) Start(attempt *requests.Attempt) {
	p.startExchange(attempt.Worker, exchange{kind: exchangeAttempt, attempt: attempt})
}

// Abandon cancels at the worker an attempt that has ended in this process. Before the worker has accepted it, its connection is
// closed; afterwards a DELETE is sent.
func (p *Pool) Abandon(attempt *requests.Attempt) {
	if conn := p.byAttempt[attempt]; conn != nil {
		conn.terminate(nil)
	} else if attempt.Stage == requests.StageAccepted {
		p.Cancel(attempt)
	}
}

// CheckHealth sends a health check to a worker. The result is passed to HealthChecked of the table.
func (p *Pool) CheckHealth(worker uint64) {
	p.startExchange(worker, exchange{kind: exchangeHealthCheck})
}

// EndHealthChecks ends the health checks in progress, without evidence about their workers. Their connections are not transferred to a
// successor, whose policy would wait for results that never come.
func (p *Pool) EndHealthChecks() {
	for conn := range p.healthChecks {
		conn.endHealthCheck()
	}
}

// CloseIdleConnections closes the idle connections to a worker.
func (p *Pool) CloseIdleConnections(worker uint64) {
	if endpoint := p.endpoints[worker]; endpoint != nil {
		for len(endpoint.idle) > 0 {
			endpoint.idle[0].terminate(nil)
		}
	}
}

// startExchange starts an exchange with a worker on its most recently used idle connection, or on a new one.
func (p *Pool) startExchange(worker uint64, next exchange) {
	endpoint := p.updateEndpoint(worker)
	if conn := p.claimIdle(endpoint, next.kind); conn != nil {
		conn.idleBefore = max(p.loop.Now()-conn.idleSince, 1)
		conn.assign(next)
		p.loop.Protect(conn, conn.writeRequest)
		return
	}
	conn := &connection{pool: p, endpoint: endpoint, incarnation: endpoint.incarnation, state: stateConnecting}
	conn.assign(next)
	p.loop.Protect(conn, conn.connect)
}

// HasWaitingDials reports whether an attempt waits for a connection that could not be dialed yet for lack of local resources. It
// can't be transferred to a successor.
func (p *Pool) HasWaitingDials() bool {
	for _, conn := range p.byAttempt {
		if conn.isWaitingToDial() {
			return true
		}
	}
	return false
}

// EndWaitingDials ends the attempts that HasWaitingDials reports, as not sent. The policy may then start them again, in this
// process or in the successor.
func (p *Pool) EndWaitingDials() {
	for _, conn := range p.byAttempt {
		if conn.isWaitingToDial() {
			conn.terminate(errNoDescriptor)
		}
	}
}
