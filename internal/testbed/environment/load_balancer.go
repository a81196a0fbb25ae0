package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// loadBalancer distributes clients' connections over the schedulers that it considers healthy: round robin over those of the
// client's zone, or over all if there are none in that zone. It admits a scheduler as soon as that is ready. It drops an unready
// scheduler after half of NoticeDelay (readiness is checked that often), and a dead or frozen one after the whole
// NoticeDelay. Until then it still assigns connections to that scheduler.
type loadBalancer struct {
	env        *Environment
	admitted   []bool
	dropAt     []time.Duration // by scheduler: when it is to be dropped; -1: it is healthy
	connCounts []int           // by scheduler: clients' connections, including those being opened
	maxConns   int             // limit of connCounts
	next       []int           // by zone: the scheduler to try first
}

// clientConnDivisor limits the client connections of a scheduler to a third of its file descriptors. While all of them are busy,
// requests wait for one.
const clientConnDivisor = 3

// connectTimeout is a client's timeout for the establishment of a connection. One that takes longer is never used.
const connectTimeout = time.Second

func newLoadBalancer(environment *Environment) *loadBalancer {
	n := len(environment.schedulers)
	balancer := &loadBalancer{
		env: environment, admitted: make([]bool, n), dropAt: make([]time.Duration, n), connCounts: make([]int, n),
		next: make([]int, max(1, len(environment.Spec.Fleet.Zones))),
	}
	for i := range balancer.dropAt {
		balancer.dropAt[i] = -1
	}
	if balancer.maxConns = int(^uint(0) >> 1); environment.Spec.Schedulers.Sockets > 0 {
		balancer.maxConns = max(1, environment.Spec.Schedulers.Sockets/clientConnDivisor)
	}
	return balancer
}

// schedulerChanged handles a change of a scheduler's readiness: it became ready or unready, or its process ended, was frozen or
// was resumed.
func (l *loadBalancer) schedulerChanged(scheduler *scheduler) {
	if l.tryAdmit(scheduler) || !l.admitted[scheduler.number] {
		return
	}
	wait := l.env.Spec.LoadBalancer.NoticeDelay.Std()
	if scheduler.alive && !scheduler.frozen {
		wait /= 2
	}
	at := l.env.now + wait
	if l.dropAt[scheduler.number] >= 0 && l.dropAt[scheduler.number] <= at {
		return
	}
	l.dropAt[scheduler.number] = at
	l.env.schedule(at, func() {
		if l.dropAt[scheduler.number] == at {
			l.drop(scheduler)
		}
	})
}

// tryAdmit admits a scheduler if it is healthy, and reports whether it is.
func (l *loadBalancer) tryAdmit(s *scheduler) bool {
	if !s.alive || !s.ready || s.draining || s.frozen {
		return false
	}
	l.admitted[s.number], l.dropAt[s.number] = true, -1
	l.assignRequests()
	return true
}

func (l *loadBalancer) drop(s *scheduler) {
	l.admitted[s.number], l.dropAt[s.number] = false, -1
	l.assignRequests()
	l.recheckFrozen(s)
}

// recheckFrozen rechecks a scheduler that was dropped while frozen, until it can be admitted. Its resumption may not be
// reported otherwise.
func (l *loadBalancer) recheckFrozen(s *scheduler) {
	if s.alive && s.frozen {
		l.env.after(max(l.env.Spec.LoadBalancer.NoticeDelay.Std()/2, 100*time.Millisecond), func() {
			if !l.admitted[s.number] && !l.tryAdmit(s) {
				l.recheckFrozen(s)
			}
		})
	}
}

// pick returns the next scheduler, round robin, that has fewer than maxConns connections; -1: none has. exists reports whether
// any scheduler is admitted.
func (l *loadBalancer) pick(zone, maxConns int) (sched int, exists bool) {
	for _, own := range [...]bool{true, false} {
		for i := range l.admitted {
			s := (l.next[zone] + i) % len(l.admitted)
			if !l.admitted[s] || own && l.env.Spec.ZoneOf(s) != zone {
				continue
			}
			exists = true
			if l.connCounts[s] < maxConns {
				l.next[zone] = s + 1
				return s, true
			}
		}
		if exists {
			break
		}
	}
	return -1, exists
}

// assignRequests opens connections for waiting requests where there is room now, and fails them if no scheduler is admitted. It
// is called when either may have changed.
func (l *loadBalancer) assignRequests() {
	if l.env.clients == nil {
		return
	}
	for _, connPool := range l.env.clients.connPools {
		for connPool.waitingForDial.len() > 0 {
			request := *connPool.waitingForDial.first()
			if request.stage != requestConnecting {
				connPool.waitingForDial.pop()
				continue
			}
			sched, exists := l.pick(connPool.zone, l.maxConns)
			if exists && sched < 0 {
				break
			}
			connPool.waitingForDial.pop()
			connPool.dial(request, sched)
		}
	}
}

// connPool holds the connections of the clients of a zone. A request takes a random idle one, as they belong to many clients.
// If all are busy another is opened, and the request uses whichever connection is free first.
type connPool struct {
	clients        *clients
	zone           int
	idle           []*clientConn
	waitingForConn queue[*request] // requests that wait for a connection; some may have one by now, or have ended
	waitingForDial queue[*request] // those of them for which no connection is being opened
}

// clientConn is the client's end of a connection.
type clientConn struct {
	pool      *connPool
	conn      *conn
	dialedFor *request // request for which it is being opened; nil: it is established
	request   *request // request whose response is awaited on this connection
	idleIndex int      // index in connPool.idle; -1: it is not idle

	// The request and the response in transit. There is rarely more than one of each: with these fields, a message needs no
	// closure of its own.
	pendingRequest  *simapi.ClientRequest
	deliverRequest  func()
	pendingResponse response
	responsePending bool
	deliverResponse func()
}

// acquire sends a request on an idle connection, or makes it wait for one.
func (c *connPool) acquire(request *request) {
	request.stage = requestConnecting
	if n := len(c.idle); n > 0 {
		conn := c.idle[c.clients.randomBits(request.jobID, request.number, drawForConn)%uint64(n)]
		conn.removeIdle()
		if !c.clients.writeRequest(request, conn) {
			conn.addIdle()
			c.clients.requestUnreached(request, -1)
		}
		return
	}
	c.waitingForConn.push(request)
	sched, exists := c.clients.env.balancer.pick(c.zone, c.clients.env.balancer.maxConns)
	if exists && sched < 0 {
		c.waitingForDial.push(request)
		return
	}
	c.dial(request, sched)
}

// dial opens a connection to a scheduler for a request; -1: the load balancer has no scheduler and refuses the connection.
func (c *connPool) dial(request *request, sched int) {
	environment, balancer := c.clients.env, c.clients.env.balancer
	if sched < 0 {
		environment.after(2*environment.Spec.Network.ClientDelay.Std(), func() { c.requestFailed(request, sched) })
		return
	}
	balancer.connCounts[sched]++
	delay, returnDelay, ok := environment.network.connectDelays(endpoint{clientEndpoint, c.zone}, endpoint{schedulerEndpoint, sched})
	if !ok || delay+returnDelay+environment.Spec.Network.Handshake.Std() > connectTimeout {
		environment.after(connectTimeout, func() { c.dialFailed(request, sched) })
		return
	}
	environment.after(delay, func() {
		if !environment.schedulers[sched].alive {
			environment.after(returnDelay, func() { c.dialFailed(request, sched) })
			return
		}
		clientConn := &clientConn{pool: c, dialedFor: request, idleIndex: -1}
		clientConn.deliverRequest = func() { a := clientConn.pendingRequest; clientConn.pendingRequest = nil; clientConn.requestArrived(a) }
		clientConn.deliverResponse = func() {
			a := clientConn.pendingResponse
			clientConn.pendingResponse, clientConn.responsePending = response{}, false
			clientConn.responseReceived(a)
		}
		clientConn.conn = environment.openConn(&conn{id: c.clients.nextConn(), scheduler: sched, up: true, far: clientConn})
		environment.after(returnDelay+environment.Spec.Network.Handshake.Std(), func() {
			if clientConn.dialedFor != nil {
				clientConn.dialedFor = nil
				clientConn.release()
			}
		})
	})
}

// dialFailed handles a connection that was not established.
func (c *connPool) dialFailed(request *request, sched int) {
	c.clients.env.balancer.connCounts[sched]--
	c.requestFailed(request, sched)
	c.clients.env.balancer.assignRequests()
}

// requestFailed ends a request whose connection was not established, unless it has another connection by now.
func (c *connPool) requestFailed(request *request, sched int) {
	if request.stage == requestConnecting {
		c.clients.requestUnreached(request, sched)
	}
}

func (c *clientConn) endpoint() endpoint { return endpoint{clientEndpoint, c.pool.zone} }

// sendRequest sends a request to the scheduler, where requestArrived handles it.
func (c *clientConn) sendRequest(a *simapi.ClientRequest) {
	if c.pendingRequest != nil {
		c.pool.clients.env.toSched(c.conn, func() { c.requestArrived(a) })
		return
	}
	c.pendingRequest = a
	c.pool.clients.env.toSched(c.conn, c.deliverRequest)
}

func (c *clientConn) requestArrived(a *simapi.ClientRequest) {
	if c.request != nil && c.request.id == a.RequestID {
		c.request.readByScheduler = true
	}
	c.pool.clients.env.deliver(simapi.Input{Scheduler: c.conn.scheduler, Message: simapi.RequestReceived{Conn: c.conn.id, Request: a}})
}

// sendResponse sends a response to the client, where responseReceived handles it.
func (c *clientConn) sendResponse(a response) {
	if c.responsePending {
		c.pool.clients.env.toFarEnd(c.conn, func() { c.responseReceived(a) })
		return
	}
	c.pendingResponse, c.responsePending = a, true
	c.pool.clients.env.toFarEnd(c.conn, c.deliverResponse)
}

// release sends the request that has waited longest on a connection that is free now, or makes the connection idle. One that
// the scheduler has closed after its last response is not reused, as the response announced the close.
func (c *clientConn) release() {
	if c.conn.closed[schedulerSide] {
		c.close()
		return
	}
	pool := c.pool
	for pool.waitingForConn.len() > 0 {
		request := *pool.waitingForConn.first()
		pool.waitingForConn.pop()
		if request.stage != requestConnecting {
			continue
		}
		if pool.clients.writeRequest(request, c) {
			return
		}
		pool.clients.requestUnreached(request, -1)
	}
	c.addIdle()
}

func (c *clientConn) addIdle() {
	c.idleIndex = len(c.pool.idle)
	c.pool.idle = append(c.pool.idle, c)
}

func (c *clientConn) removeIdle() {
	if c.idleIndex < 0 {
		return
	}
	p := c.pool
	last := p.idle[len(p.idle)-1]
	p.idle[c.idleIndex], last.idleIndex = last, c.idleIndex
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	c.idleIndex = -1
}

// close closes the connection from the client's side.
func (c *clientConn) close() {
	c.pool.clients.env.closeSide(c.conn, farSide)
	c.detach()
}

// detach removes the connection from the pool and from the load balancer's count.
func (c *clientConn) detach() {
	c.removeIdle()
	balancer := c.pool.clients.env.balancer
	balancer.connCounts[c.conn.scheduler]--
	balancer.assignRequests()
}

// connClosed handles the close of the connection by the scheduler. A request that the scheduler has not read, because it
// crossed the close, is sent unchanged once more over another connection.
func (c *clientConn) connClosed(*conn) {
	clients, pool, request, dialedFor := c.pool.clients, c.pool, c.request, c.dialedFor
	c.request, c.dialedFor = nil, nil
	c.detach()
	switch {
	case dialedFor != nil:
		pool.requestFailed(dialedFor, c.conn.scheduler)
	case request != nil && !request.readByScheduler && !request.resent:
		clients.inFlight--
		request.resent, request.conn = true, nil
		pool.acquire(request)
	case request != nil:
		clients.env.record(clients.describe(request, trace.Event{Kind: trace.ConnectionLost, Scheduler: c.conn.scheduler, Conn: uint64(c.conn.id)}))
		clients.endRequest(request, outcomeFailed, 0)
	}
}
