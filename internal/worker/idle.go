package worker

import (
	"net/netip"
	"time"
)

const (
	idleCheckInterval = time.Second
	// reuseDelay is the minimum time between two attempts on a connection. A stray second response to the first one is then
	// received before the second one is written.
	reuseDelay = 10 * time.Millisecond
)

// Bounds and growth of Pool.maxReuseIdleTime.
const (
	minReuseLimit           = 20 * time.Millisecond // a connection that was idle for less is as reliable as a new one
	maxReuseLimit           = time.Minute           // a limit that grows beyond it is removed
	reuseLimitRaiseInterval = 10 * time.Second      // the limit doubles after this time without a lost connection
)

// endpointConnections holds the idle connections to one worker, and how to reach it.
type endpointConnections struct {
	worker      uint64
	id          string         // discovery's ID of the endpoint
	address     netip.AddrPort // invalid: the address that was listed last can't be parsed, or none was listed
	startedAtMs int64
	incarnation int           // counts the worker's processes and addresses; a connection to an earlier one is not reused
	idle        []*connection // in the order in which they became idle
}

// updateEndpoint updates and returns the endpoint of a worker by what discovery has listed last. If the worker's process or
// address has changed, its idle connections are closed.
func (p *Pool) updateEndpoint(worker uint64) *endpointConnections {
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

// claimIdle removes and returns the most recently used idle connection to a worker that is usable for an exchange of a kind; nil
// if there is none. It closes the stale and dead ones that it finds.
func (p *Pool) claimIdle(endpoint *endpointConnections, kind exchangeKind) *connection {
	for i := len(endpoint.idle) - 1; i >= 0; i-- {
		conn := endpoint.idle[i]
		if p.isStale(conn) || !conn.isAlive() {
			conn.terminate(nil)
			continue
		}
		if kind == exchangeAttempt && conn.lastKind == exchangeAttempt && p.loop.Now()-conn.idleSince < reuseDelay {
			continue
		}
		p.removeIdle(conn)
		return conn
	}
	return nil
}

// addIdle adds a connection to the idle ones, in the order of idleSince: restored connections do not arrive in that order.
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

// removeIdle removes a connection from the idle ones without closing it.
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

// evictIdle closes the connection that has been idle longest, to any worker. It reports whether there was one.
func (p *Pool) evictIdle() bool {
	oldest := p.idle.Front()
	if oldest == nil {
		return false
	}
	oldest.Value.(*connection).terminate(nil)
	return true
}

// closeExpired closes stale idle connections, and runs again every idleCheckInterval.
func (p *Pool) closeExpired() {
	p.loop.StartTimer(idleCheckInterval, p, p.closeExpired)
	p.raiseReuseLimit()
	for _, endpoint := range p.endpoints {
		for len(endpoint.idle) > 0 && p.isStale(endpoint.idle[0]) {
			endpoint.idle[0].terminate(nil)
		}
	}
}

// isStale reports whether a connection has been idle for too long to be reused.
func (p *Pool) isStale(conn *connection) bool {
	idleTime := p.loop.Now() - conn.idleSince
	isExpired := p.idleTimeout > 0 && idleTime >= p.idleTimeout
	isOverLimit := p.maxReuseIdleTime > 0 && idleTime >= p.maxReuseIdleTime
	return isExpired || isOverLimit
}

// lowerReuseLimit lowers maxReuseIdleTime after a connection that had been idle for idleTime was lost without a response. The
// network or the worker may drop idle connections without notice. A request that is written to such a connection may have been
// executed, so it is lost unless it is idempotent. A new connection costs far less.
func (p *Pool) lowerReuseLimit(idleTime time.Duration) {
	if p.maxReuseIdleTime == 0 || idleTime < p.maxReuseIdleTime {
		p.maxReuseIdleTime = max(idleTime/2, minReuseLimit)
	}
	p.maxReuseIdleTimeChangedAt = p.loop.Now()
}

// raiseReuseLimit doubles maxReuseIdleTime if no reused connection was lost for reuseLimitRaiseInterval.
func (p *Pool) raiseReuseLimit() {
	if p.maxReuseIdleTime == 0 || p.loop.Now()-p.maxReuseIdleTimeChangedAt < reuseLimitRaiseInterval {
		return
	}
	p.maxReuseIdleTime *= 2
	p.maxReuseIdleTimeChangedAt = p.loop.Now()
	if p.maxReuseIdleTime > maxReuseLimit {
		p.maxReuseIdleTime = 0
	}
}
