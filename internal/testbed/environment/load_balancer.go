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
func (f *loadBalancer) schedulerChanged(scheduler *scheduler) {
	if f.tryAdmit(scheduler) || !f.admitted[scheduler.number] {
		return
	}
	wait := f.env.Spec.LoadBalancer.NoticeDelay.Std()
	if scheduler.alive && !scheduler.frozen {
		wait /= 2
	}
	at := f.env.now + wait
	if f.dropAt[scheduler.number] >= 0 && f.dropAt[scheduler.number] <= at {
		return
	}
	f.dropAt[scheduler.number] = at
	f.env.schedule(at, func() {
		if f.dropAt[scheduler.number] == at {
			f.drop(scheduler)
		}
	})
}

// tryAdmit admits a scheduler if it is well.
func (f *loadBalancer) tryAdmit(s *scheduler) bool {
	if !s.alive || !s.ready || s.draining || s.frozen {
		return false
	}
	f.admitted[s.number], f.dropAt[s.number] = true, -1
	f.roomChanged()
	return true
}

func (f *loadBalancer) drop(s *scheduler) {
	f.admitted[s.number], f.dropAt[s.number] = false, -1
	f.roomChanged()
	f.watchFrozen(s)
}

// watchFrozen looks again at one that was dropped while frozen: nobody else may tell when it wakes.
func (f *loadBalancer) watchFrozen(s *scheduler) {
	if s.alive && s.frozen {
		f.env.after(max(f.env.Spec.LoadBalancer.NoticeDelay.Std()/2, 100*time.Millisecond), func() {
			if !f.admitted[s.number] && !f.tryAdmit(s) {
				f.watchFrozen(s)
			}
		})
	}
}

// pick is the next scheduler in turn with fewer connections than most, or -1; exists tells whether there is one at all.
func (f *loadBalancer) pick(zone, most int) (sched int, exists bool) {
	for _, own := range [...]bool{true, false} {
		for i := range f.admitted {
			s := (f.next[zone] + i) % len(f.admitted)
			if !f.admitted[s] || own && f.env.Spec.ZoneOf(s) != zone {
				continue
			}
			exists = true
			if f.connCounts[s] < most {
				f.next[zone] = s + 1
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
func (f *loadBalancer) roomChanged() {
	if f.env.clients == nil {
		return
	}
	for _, connPool := range f.env.clients.connPools {
		for connPool.unassigned.len() > 0 {
			t := *connPool.unassigned.first()
			if t.stage != requestSeeking {
				connPool.unassigned.pop()
				continue
			}
			sched, exists := f.pick(connPool.zone, f.maxConns)
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
func (p *connPool) acquire(t *request) {
	t.stage = requestSeeking
	if n := len(p.idle); n > 0 {
		l := p.idle[p.clients.drawBits(t.jobID, t.number, drawConn)%uint64(n)]
		l.removeIdle()
		if !p.clients.writeRequest(t, l) {
			l.addIdle()
			p.clients.requestUnreached(t, -1)
		}
		return
	}
	p.waiting.push(t)
	sched, exists := p.clients.env.balancer.pick(p.zone, p.clients.env.balancer.maxConns)
	if exists && sched < 0 {
		p.unassigned.push(t)
		return
	}
	p.dial(t, sched)
}

// dial opens a connection to a scheduler, for a request; -1: the load balancer has none, and refuses it.
func (p *connPool) dial(t *request, sched int) {
	environment, f := p.clients.env, p.clients.env.balancer
	if sched < 0 {
		environment.after(2*environment.Spec.Network.ClientDelay.Std(), func() { p.requestFailed(t, sched) })
		return
	}
	f.connCounts[sched]++
	way, back, ok := environment.network.connectDelays(endpoint{clientEndpoint, p.zone}, endpoint{schedulerEndpoint, sched})
	if !ok || way+back+environment.Spec.Network.Handshake.Std() > connectTimeout {
		environment.after(connectTimeout, func() { p.dialFailed(t, sched) })
		return
	}
	environment.after(way, func() {
		if !environment.schedulers[sched].alive {
			environment.after(back, func() { p.dialFailed(t, sched) })
			return
		}
		clientConn := &clientConn{pool: p, openedFor: t, idleIndex: -1}
		clientConn.deliverRequest = func() { a := clientConn.pendingRequest; clientConn.pendingRequest = nil; clientConn.requestArrived(a) }
		clientConn.deliverResponse = func() {
			a := clientConn.pendingResponse
			clientConn.pendingResponse, clientConn.responsePending = response{}, false
			clientConn.responseReceived(a)
		}
		clientConn.conn = environment.openConn(&conn{id: p.clients.nextConn(), scheduler: sched, up: true, far: clientConn})
		environment.after(back+environment.Spec.Network.Handshake.Std(), func() {
			if clientConn.openedFor != nil {
				clientConn.openedFor = nil
				clientConn.release()
			}
		})
	})
}

// dialFailed ends the opening of a connection.
func (p *connPool) dialFailed(t *request, sched int) {
	p.clients.env.balancer.connCounts[sched]--
	p.requestFailed(t, sched)
	p.clients.env.balancer.roomChanged()
}

// requestFailed ends a request for which no connection came up, unless it has one by now.
func (p *connPool) requestFailed(t *request, sched int) {
	if t.stage == requestSeeking {
		p.clients.requestUnreached(t, sched)
	}
}

func (l *clientConn) endpoint() endpoint { return endpoint{clientEndpoint, l.pool.zone} }

// sendRequest brings a request to the scheduler, and read is its arrival.
func (l *clientConn) sendRequest(a *simapi.ClientRequest) {
	if l.pendingRequest != nil {
		l.pool.clients.env.toSched(l.conn, func() { l.requestArrived(a) })
		return
	}
	l.pendingRequest = a
	l.pool.clients.env.toSched(l.conn, l.deliverRequest)
}

func (l *clientConn) requestArrived(a *simapi.ClientRequest) {
	if l.request != nil && l.request.id == a.RequestID {
		l.request.read = true
	}
	l.pool.clients.env.deliver(simapi.Input{Scheduler: l.conn.scheduler, Message: simapi.RequestReceived{Conn: l.conn.id, Request: a}})
}

// sendResponse brings an answer to the client.
func (l *clientConn) sendResponse(a response) {
	if l.responsePending {
		l.pool.clients.env.toFarEnd(l.conn, func() { l.responseReceived(a) })
		return
	}
	l.pendingResponse, l.responsePending = a, true
	l.pool.clients.env.toFarEnd(l.conn, l.deliverResponse)
}

// release gives a connection to whoever has waited longest for one, or keeps it. One that the scheduler has closed
// behind its last answer is not used again, as that answer said so.
func (l *clientConn) release() {
	if l.conn.closed[schedulerSide] {
		l.close()
		return
	}
	p := l.pool
	for p.waiting.len() > 0 {
		t := *p.waiting.first()
		p.waiting.pop()
		if t.stage != requestSeeking {
			continue
		}
		if p.clients.writeRequest(t, l) {
			return
		}
		p.clients.requestUnreached(t, -1)
	}
	l.addIdle()
}

func (l *clientConn) addIdle() {
	l.idleIndex = len(l.pool.idle)
	l.pool.idle = append(l.pool.idle, l)
}

func (l *clientConn) removeIdle() {
	if l.idleIndex < 0 {
		return
	}
	p := l.pool
	last := p.idle[len(p.idle)-1]
	p.idle[l.idleIndex], last.idleIndex = last, l.idleIndex
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	l.idleIndex = -1
}

// close is the client's closing of it.
func (l *clientConn) close() {
	l.pool.clients.env.closeSide(l.conn, farSide)
	l.lost()
}

func (l *clientConn) lost() {
	l.removeIdle()
	f := l.pool.clients.env.balancer
	f.connCounts[l.conn.scheduler]--
	f.roomChanged()
}

// connClosed is the scheduler's closing of it. A request that crossed the close, so that nobody has read it, is sent once
// more over a new connection, as it is.
func (l *clientConn) connClosed(*conn) {
	clients, p, t, maker := l.pool.clients, l.pool, l.request, l.openedFor
	l.request, l.openedFor = nil, nil
	l.lost()
	switch {
	case maker != nil:
		p.requestFailed(maker, l.conn.scheduler)
	case t != nil && !t.read && !t.resent:
		clients.awaiting--
		t.resent, t.conn = true, nil
		p.acquire(t)
	case t != nil:
		clients.env.record(clients.describe(t, trace.Event{Kind: trace.ConnectionLost, Scheduler: l.conn.scheduler, Conn: uint64(l.conn.id)}))
		clients.endRequest(t, outcomeFailed, 0)
	}
}
