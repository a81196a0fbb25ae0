package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// loadBalancer spreads clients' connections over the schedulers that it takes to be there: in turn over those of the
// client's zone, or over all where it has none. It admits a scheduler as soon as that is ready, drops one that says
// it is not within half of its notice, as it asks so often, and one that is dead or frozen after the whole. Until
// then connections are led there.
type loadBalancer struct {
	env        *Environment
	admitted   []bool
	dropAt     []time.Duration // when a scheduler will be dropped; -1: it is well
	connCounts []int           // clients' connections, those not up yet included
	maxConns   int             // of these
	next       []int           // by zone
}

// A third of a scheduler's descriptors is the most that clients' connections take up. Requests that find all of them
// busy wait for one.
const clientConnShare = 3

// connectTimeout is how long a client waits for a connection to come up. What comes up later is not used.
const connectTimeout = time.Second

func newLoadBalancer(w *Environment) *loadBalancer {
	n := len(w.schedulers)
	f := &loadBalancer{
		env: w, admitted: make([]bool, n), dropAt: make([]time.Duration, n), connCounts: make([]int, n),
		next: make([]int, max(1, len(w.Spec.Fleet.Zones))),
	}
	for i := range f.dropAt {
		f.dropAt[i] = -1
	}
	if f.maxConns = int(^uint(0) >> 1); w.Spec.Schedulers.Sockets > 0 {
		f.maxConns = max(1, w.Spec.Schedulers.Sockets/clientConnShare)
	}
	return f
}

// schedulerChanged is told that a scheduler became ready, unready, died, ended, froze or woke.
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

// tryAdmit admits a scheduler if it is well.
func (l *loadBalancer) tryAdmit(s *scheduler) bool {
	if !s.alive || !s.ready || s.draining || s.frozen {
		return false
	}
	l.admitted[s.number], l.dropAt[s.number] = true, -1
	l.roomChanged()
	return true
}

func (l *loadBalancer) drop(s *scheduler) {
	l.admitted[s.number], l.dropAt[s.number] = false, -1
	l.roomChanged()
	l.watchFrozen(s)
}

// watchFrozen looks again at one that was dropped while frozen: nobody else may tell when it wakes.
func (l *loadBalancer) watchFrozen(s *scheduler) {
	if s.alive && s.frozen {
		l.env.after(max(l.env.Spec.LoadBalancer.NoticeDelay.Std()/2, 100*time.Millisecond), func() {
			if !l.admitted[s.number] && !l.tryAdmit(s) {
				l.watchFrozen(s)
			}
		})
	}
}

// pick is the next scheduler in turn with fewer connections than most, or -1; exists tells whether there is one at all.
func (l *loadBalancer) pick(zone, most int) (sched int, exists bool) {
	for _, own := range [...]bool{true, false} {
		for i := range l.admitted {
			s := (l.next[zone] + i) % len(l.admitted)
			if !l.admitted[s] || own && l.env.Spec.ZoneOf(s) != zone {
				continue
			}
			exists = true
			if l.connCounts[s] < most {
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

// roomChanged is told that there may be room for connections that wait for it, or none any more.
func (l *loadBalancer) roomChanged() {
	if l.env.clients == nil {
		return
	}
	for _, connPool := range l.env.clients.connPools {
		for connPool.unassigned.len() > 0 {
			t := *connPool.unassigned.first()
			if t.stage != requestSeeking {
				connPool.unassigned.pop()
				continue
			}
			sched, exists := l.pick(connPool.zone, l.maxConns)
			if exists && sched < 0 {
				break
			}
			connPool.unassigned.pop()
			connPool.dial(t, sched)
		}
	}
}

// connPool is the connections that the clients of a zone keep. Which idle one a request takes is drawn, as they belong to
// many clients; when all are busy another is opened, and whichever is free first carries the request.
type connPool struct {
	clients    *clients
	zone       int
	idle       []*clientConn
	waiting    queue[*request] // for a connection; some may have got theirs
	unassigned queue[*request] // those of them for which none is being opened
}

// clientConn is a client's connection to a scheduler, at its end.
type clientConn struct {
	pool      *connPool
	conn      *conn
	openedFor *request // for which it is being opened; nil: it is up
	request   *request // whose request it carries
	idleIndex int      // among the idle ones; -1: it is none

	// What is on its way, of which there is hardly ever more than one: these save a closure each time.
	pendingRequest  *simapi.ClientRequest
	deliverRequest  func()
	pendingResponse response
	responsePending bool
	deliverResponse func()
}

// acquire finds a connection for a request.
func (c *connPool) acquire(t *request) {
	t.stage = requestSeeking
	if n := len(c.idle); n > 0 {
		l := c.idle[c.clients.drawBits(t.jobID, t.number, drawConn)%uint64(n)]
		l.removeIdle()
		if !c.clients.writeRequest(t, l) {
			l.addIdle()
			c.clients.requestUnreached(t, -1)
		}
		return
	}
	c.waiting.push(t)
	sched, exists := c.clients.env.balancer.pick(c.zone, c.clients.env.balancer.maxConns)
	if exists && sched < 0 {
		c.unassigned.push(t)
		return
	}
	c.dial(t, sched)
}

// dial opens a connection to a scheduler, for a request; -1: the load balancer has none, and refuses it.
func (c *connPool) dial(t *request, sched int) {
	environment, f := c.clients.env, c.clients.env.balancer
	if sched < 0 {
		environment.after(2*environment.Spec.Network.ClientDelay.Std(), func() { c.requestFailed(t, sched) })
		return
	}
	f.connCounts[sched]++
	way, back, ok := environment.network.connectDelays(endpoint{clientEndpoint, c.zone}, endpoint{schedulerEndpoint, sched})
	if !ok || way+back+environment.Spec.Network.Handshake.Std() > connectTimeout {
		environment.after(connectTimeout, func() { c.dialFailed(t, sched) })
		return
	}
	environment.after(way, func() {
		if !environment.schedulers[sched].alive {
			environment.after(back, func() { c.dialFailed(t, sched) })
			return
		}
		clientConn := &clientConn{pool: c, openedFor: t, idleIndex: -1}
		clientConn.deliverRequest = func() { a := clientConn.pendingRequest; clientConn.pendingRequest = nil; clientConn.requestArrived(a) }
		clientConn.deliverResponse = func() {
			a := clientConn.pendingResponse
			clientConn.pendingResponse, clientConn.responsePending = response{}, false
			clientConn.responseReceived(a)
		}
		clientConn.conn = environment.openConn(&conn{id: c.clients.nextConn(), scheduler: sched, up: true, far: clientConn})
		environment.after(back+environment.Spec.Network.Handshake.Std(), func() {
			if clientConn.openedFor != nil {
				clientConn.openedFor = nil
				clientConn.release()
			}
		})
	})
}

// dialFailed ends the opening of a connection.
func (c *connPool) dialFailed(t *request, sched int) {
	c.clients.env.balancer.connCounts[sched]--
	c.requestFailed(t, sched)
	c.clients.env.balancer.roomChanged()
}

// requestFailed ends a request for which no connection came up, unless it has one by now.
func (c *connPool) requestFailed(t *request, sched int) {
	if t.stage == requestSeeking {
		c.clients.requestUnreached(t, sched)
	}
}

func (c *clientConn) endpoint() endpoint { return endpoint{clientEndpoint, c.pool.zone} }

// sendRequest brings a request to the scheduler, and read is its arrival.
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
		c.request.read = true
	}
	c.pool.clients.env.deliver(simapi.Input{Scheduler: c.conn.scheduler, Message: simapi.RequestReceived{Conn: c.conn.id, Request: a}})
}

// sendResponse brings an answer to the client.
func (c *clientConn) sendResponse(a response) {
	if c.responsePending {
		c.pool.clients.env.toFarEnd(c.conn, func() { c.responseReceived(a) })
		return
	}
	c.pendingResponse, c.responsePending = a, true
	c.pool.clients.env.toFarEnd(c.conn, c.deliverResponse)
}

// release gives a connection to whoever has waited longest for one, or keeps it. One that the scheduler has closed
// behind its last answer is not used again, as that answer said so.
func (c *clientConn) release() {
	if c.conn.closed[schedulerSide] {
		c.close()
		return
	}
	p := c.pool
	for p.waiting.len() > 0 {
		t := *p.waiting.first()
		p.waiting.pop()
		if t.stage != requestSeeking {
			continue
		}
		if p.clients.writeRequest(t, c) {
			return
		}
		p.clients.requestUnreached(t, -1)
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

// close is the client's closing of it.
func (c *clientConn) close() {
	c.pool.clients.env.closeSide(c.conn, farSide)
	c.lost()
}

func (c *clientConn) lost() {
	c.removeIdle()
	f := c.pool.clients.env.balancer
	f.connCounts[c.conn.scheduler]--
	f.roomChanged()
}

// connClosed is the scheduler's closing of it. A request that crossed the close, so that nobody has read it, is sent once
// more over a new connection, as it is.
func (c *clientConn) connClosed(*conn) {
	clients, p, t, maker := c.pool.clients, c.pool, c.request, c.openedFor
	c.request, c.openedFor = nil, nil
	c.lost()
	switch {
	case maker != nil:
		p.requestFailed(maker, c.conn.scheduler)
	case t != nil && !t.read && !t.resent:
		clients.awaiting--
		t.resent, t.conn = true, nil
		p.acquire(t)
	case t != nil:
		clients.env.record(clients.describe(t, trace.Event{Kind: trace.ConnectionLost, Scheduler: c.conn.scheduler, Conn: uint64(c.conn.id)}))
		clients.endRequest(t, outcomeFailed, 0)
	}
}
