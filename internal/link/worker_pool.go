package link

import (
	"net/netip"
	"time"

	"valvecove/internal/requests"
)

const (
	poolExpiryInterval      = time.Second
	reuseDelay              = 10 * time.Millisecond // before a link carries again: a second answer would be the next one's
	minIdleTrust            = 20 * time.Millisecond // a link used as lately as that is as good as a new one
	idleTrustGrowthInterval = 10 * time.Second      // the trust in idle links doubles when they have done well for so long
)

// workerPool are the connections to worker nodes: the ledger's Carrier.
type workerPool struct {
	loop      *Loop
	endpoints map[uint64]*endpointConnections
	byAttempt map[*requests.Attempt]*workerConnection // until the worker node has accepted
	// cancelTries are the attempts whose worker node is being told, and how many connections were tried for that.
	cancelTries        map[*requests.Attempt]int
	openCount          int
	maxConnections     int
	connectTimeout     time.Duration // a connection comes up within this or not at all
	idleTimeout        time.Duration // and is not kept for longer when idle; 0: for ever
	idleTrust          time.Duration // nor for longer than has lately gone well; 0: as long as may be
	idleTrustChangedAt time.Duration // when that was set
}

// endpointConnections are the links to one worker node.
type endpointConnections struct {
	worker      uint64
	id          string
	address     netip.AddrPort
	startedAtMs int64
	incarnation int                 // counts processes: a link to an earlier one is of no use
	idle        []*workerConnection // the last one used last
}

func (l *Loop) openWorkerPool(most int, dial, idleFor time.Duration) {
	// The worker node closes an idle link at its limit, and a request that crosses the close is lost: keep well
	// clear of it.
	l.workers = &workerPool{
		loop: l, endpoints: map[uint64]*endpointConnections{}, byAttempt: map[*requests.Attempt]*workerConnection{},
		cancelTries: map[*requests.Attempt]int{}, maxConnections: most, connectTimeout: dial, idleTimeout: idleFor * 3 / 4,
	}
	l.workers.closeExpired()
}

// endpoint finds the links to a worker, and drops those to a process that has been replaced.
func (s *workerPool) endpoint(worker uint64) *endpointConnections {
	h := s.endpoints[worker]
	if h == nil {
		h = &endpointConnections{worker: worker}
		s.endpoints[worker] = h
	}
	now := s.loop.Requests.Endpoint(worker)
	if h.id = now.ID; now.Addr != "" && (h.startedAtMs != now.StartedAtMs || h.address.String() != now.Addr) {
		h.address, _ = netip.ParseAddrPort(now.Addr)
		h.startedAtMs = now.StartedAtMs
		h.incarnation++
		s.CloseIdleConnections(worker)
	}
	return h
}

func (s *workerPool) CheckHealth(worker uint64) {
	s.startExchange(worker, exchange{kind: exchangeHealthCheck})
}

func (s *workerPool) CloseIdleConnections(worker uint64) {
	h := s.endpoints[worker]
	for h != nil && len(h.idle) > 0 {
		h.idle[0].terminate(nil)
	}
}

// closeExpired closes links that have been idle for too long.
func (s *workerPool) closeExpired() {
	s.loop.StartTimer(poolExpiryInterval, s, s.closeExpired)
	if s.idleTrust > 0 && s.loop.Now()-s.idleTrustChangedAt >= idleTrustGrowthInterval {
		if s.idleTrust, s.idleTrustChangedAt = 2*s.idleTrust, s.loop.Now(); s.idleTrust > time.Minute {
			s.idleTrust = 0
		}
	}
	for _, h := range s.endpoints {
		for len(h.idle) > 0 && s.isStale(h.idle[0]) {
			h.idle[0].terminate(nil)
		}
	}
}

func (s *workerPool) HandleEvents(uint32) {}
func (s *workerPool) HandlePanic()        {}

func (s *workerPool) isStale(k *workerConnection) bool {
	age := s.loop.Now() - k.idleSince
	return s.idleTimeout > 0 && age >= s.idleTimeout || s.idleTrust > 0 && age >= s.idleTrust
}

// reduceIdleTrust takes in that a link broke which had been idle for so long and then got no answer. Something between us and
// the worker nodes, or they themselves, drops idle links unseen: what is written to one may have run, as far as
// anybody can tell, so a query that may not run twice is lost by it. A new link costs far less.
func (s *workerPool) reduceIdleTrust(idle time.Duration) {
	if s.idleTrust == 0 || idle < s.idleTrust {
		s.idleTrust = max(idle/2, minIdleTrust)
	}
	s.idleTrustChangedAt = s.loop.Now()
}

// startExchange gives an errand to the link that was used last, or to a new one.
func (s *workerPool) startExchange(worker uint64, e exchange) {
	h := s.endpoint(worker)
	for i := len(h.idle) - 1; i >= 0; i-- {
		k := h.idle[i]
		if s.isStale(k) || !k.isAlive() {
			k.terminate(nil)
			continue
		}
		if e.kind == exchangeAttempt && k.lastKind == exchangeAttempt && s.loop.Now()-k.idleSince < reuseDelay {
			continue
		}
		h.idle = append(h.idle[:i], h.idle[i+1:]...)
		k.idleBefore = max(s.loop.Now()-k.idleSince, 1)
		k.assign(e)
		s.loop.Protect(k, k.writeRequest)
		return
	}
	k := &workerConnection{pool: s, endpoint: h, incarnation: h.incarnation, state: workerConnecting}
	k.assign(e)
	s.loop.Protect(k, func() {
		if err := k.connect(); err != nil {
			k.terminate(err)
		}
	})
}

// evictIdle closes an idle link of any host.
func (s *workerPool) evictIdle() bool {
	for _, h := range s.endpoints {
		if len(h.idle) > 0 {
			h.idle[0].terminate(nil)
			return true
		}
	}
	return false
}

func (s *workerPool) Start(a *requests.Attempt) {
	s.startExchange(a.Worker, exchange{kind: exchangeAttempt, attempt: a})
}

// Abandon lets the worker node know: before it has accepted by closing the link, after that by a DELETE.
func (s *workerPool) Abandon(a *requests.Attempt) {
	if k := s.byAttempt[a]; k != nil {
		k.terminate(nil)
	} else if a.Stage == requests.StageAccepted {
		s.Cancel(a)
	}
}
