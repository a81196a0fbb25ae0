package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

const (
	healthCheckTimeout      = 500 * time.Millisecond // an answer to a probe is worth nothing later
	cancelTimeout           = time.Second
	responseGrace           = time.Second // a link outlasts its attempt by so long, in case the answer still comes
	poolExpiryInterval      = time.Second
	reuseDelay              = 10 * time.Millisecond // before a link carries again: a second answer would be the next one's
	minIdleTrust            = 20 * time.Millisecond // a link used as lately as that is as good as a new one
	idleTrustGrowthInterval = 10 * time.Second      // the trust in idle links doubles when they have done well for so long

	maxCancelTries   = 4 // connections are tried for a DELETE before it is given up
	cancelRetryDelay = 50 * time.Millisecond

	maxSingleWrite  = 4 << 10                                       // a request of that size goes into any socket's buffer whole
	maxResponseSize = 2 * (http1.MaxHeaderSize + http1.MaxBodySize) // with interim answers, and with what frames chunks
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

// ---- What the ledger wants ----

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

// Cancel sends a DELETE, unless one is on its way.
func (s *workerPool) Cancel(a *requests.Attempt) {
	if _, is := s.cancelTries[a]; !is {
		s.cancelTries[a] = 1
		s.startExchange(a.Worker, exchange{kind: exchangeCancel, attempt: a})
	}
}

// handleCancelResult takes in how a DELETE ended. What broke is tried again, on another connection: the first may not have come up
// in time, or may have been reset or dropped unseen, and the DELETE with it. Its worker node is told once it answers. Where it
// does not, it may be cut off, and run what it has: the attempt is out as before.
func (s *workerPool) handleCancelResult(a *requests.Attempt, fault *requests.AttemptError) {
	broke := fault != nil && fault.Reason == requests.ReasonConnectionLost
	wanted := !a.HasEnded() || fault != nil && fault.Stage >= requests.StageWritten
	if !broke || !wanted || a.EndedByWorker() || s.cancelTries[a] >= maxCancelTries {
		delete(s.cancelTries, a)
		s.loop.Requests.CancelCompleted(a, !broke && (fault == nil || fault.Reason != requests.ReasonTimeout))
		return
	}
	s.loop.StartTimer(cancelRetryDelay, s, func() {
		if a.EndedByWorker() || s.loop.hasRelinquished() {
			delete(s.cancelTries, a)
			return
		}
		s.cancelTries[a]++
		s.startExchange(a.Worker, exchange{kind: exchangeCancel, attempt: a})
	})
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

// isAlive looks whether an idle link still is: a close that came in this turn, after what was gathered, has not
// been told yet, and a request written to it would end as a reset that may have run.
func (k *workerConnection) isAlive() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(k.FD(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// ---- One link ----

type workerConnectionState int

const (
	workerConnecting workerConnectionState = iota
	workerIdle
	workerAwaitingResponse // an errand is written, or being written, and its answer awaited
	workerClosed
)

type exchangeKind int

const (
	exchangeAttempt exchangeKind = iota
	exchangeHealthCheck
	exchangeCancel
)

// exchange is what a link is used for, one at a time.
type exchange struct {
	kind    exchangeKind
	attempt *requests.Attempt // nil for a probe
}

// workerConnection is a connection to a worker node.
type workerConnection struct {
	eventloop.Stream
	pool        *workerPool
	endpoint    *endpointConnections
	incarnation int
	state       workerConnectionState
	exchange    exchange
	lastKind    exchangeKind // what it was used for
	stage       requests.Stage
	timer       *eventloop.Timer
	idleSince   time.Duration
	idleBefore  time.Duration // how long it had been idle before its errand; 0: it is new
}

// errNoDescriptor keeps descriptors for the client links.
var errNoDescriptor = errors.New("no descriptor left for a server link")

func (k *workerConnection) connect() error {
	s := k.pool
	if s.openCount >= s.maxConnections && !s.evictIdle() {
		return errNoDescriptor
	}
	if !k.endpoint.address.IsValid() {
		return fmt.Errorf("host %q has no address", k.endpoint.id)
	}
	fd, err := s.loop.dial(k.endpoint.address)
	if err != nil {
		return err
	}
	opened, err := s.loop.OpenStream(fd, eventloop.StreamEvents|unix.EPOLLOUT, k)
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	k.Stream = opened
	s.openCount++
	k.setTimeout(s.connectTimeout)
	return nil
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

// assign gives the link its errand.
func (k *workerConnection) assign(e exchange) {
	k.exchange, k.lastKind, k.stage = e, e.kind, requests.StageNotConnected
	if e.kind == exchangeAttempt {
		k.pool.byAttempt[e.attempt] = k
	}
}

func (k *workerConnection) setTimeout(span time.Duration) {
	k.pool.loop.StopTimer(k.timer)
	k.timer = k.pool.loop.StartTimer(span, k, func() { k.terminate(errResponseTimeout) })
}

// writeRequest sends the errand's request. What the worker node is told to have for an attempt is what is left now, however late the
// connection came up. A large request may go in parts: that it takes the time for a connection at most is taken off.
func (k *workerConnection) writeRequest() {
	l, a := k.pool.loop, k.exchange.attempt
	var parts time.Duration
	b, host := l.writeBuffer[:0], k.endpoint.address.String()
	switch k.exchange.kind {
	case exchangeAttempt:
		left := a.At - l.Clock()
		if left < time.Millisecond { // the ledger gives it up in a moment, and the link ends with it
			l.StopTimer(k.timer)
			return
		}
		p := &a.Request.Payload
		if parts = min(k.pool.connectTimeout, left/2); len(p.Body) > maxSingleWrite {
			left -= parts
		}
		b = http1.AppendRequestStart(b, p.Method, p.Path, host)
		b = http1.AppendField(b, "X-Call-Id", a.Request.CallID)
		b = http1.AppendField(b, "Idempotency-Key", p.IdempotencyKey)
		b = append(b, "X-Budget-Ms: "...)
		b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(p.Body)), 10)
		b = append(b, "\r\n\r\n"...)
		b = append(b, p.Body...)
		k.setTimeout(parts)
	case exchangeHealthCheck:
		b = append(http1.AppendRequestStart(b, "GET", "/alive", host), "\r\n"...)
		k.setTimeout(healthCheckTimeout)
	case exchangeCancel:
		b = append(http1.AppendRequestStart(b, "DELETE", "/jobs/"+a.Request.CallID, host), "\r\n"...)
		k.setTimeout(cancelTimeout)
	}
	l.writeBuffer = b
	k.state = workerAwaitingResponse
	k.setStage(requests.StagePartlyWritten)
	if err := k.Send(b); err != nil {
		k.terminate(err)
		return
	}
	k.reportIfWritten()
}

// reportIfWritten notes once the last byte has left: from there on it may run.
func (k *workerConnection) reportIfWritten() {
	if len(k.Output()) == 0 && k.stage < requests.StageWritten {
		k.setStage(requests.StageWritten)
		if a := k.exchange.attempt; k.exchange.kind == exchangeAttempt {
			k.setTimeout(a.At - k.pool.loop.Now() + responseGrace)
			k.pool.loop.Requests.ReportWritten(a)
		}
	}
}

func (k *workerConnection) setStage(stage requests.Stage) {
	if k.stage = stage; k.exchange.kind == exchangeAttempt {
		k.exchange.attempt.Stage = stage
	}
}

// isObsolete tells whether what it was to write has ended before its last byte was written, by a late note of an attempt
// before: what is written on would be a send after the query was over, or one more than the module knows of. Nor is a
// DELETE of any use once the worker node has told how the attempt ended.
func (k *workerConnection) isObsolete() bool {
	a := k.exchange.attempt
	return k.stage < requests.StageWritten && a != nil && (k.exchange.kind == exchangeAttempt && a.HasEnded() || a.EndedByWorker())
}

func (k *workerConnection) HandleEvents(events uint32) {
	if k.state != workerClosed && k.isObsolete() {
		k.terminate(nil)
		return
	}
	switch k.state {
	case workerConnecting:
		if err := k.ConnectError(); err != nil {
			k.terminate(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		k.writeRequest()
		if k.state != workerAwaitingResponse {
			return
		}
	case workerIdle: // it was closed, or says something that nobody asked for
		k.terminate(nil)
		return
	case workerClosed:
		return
	}
	if events&unix.EPOLLOUT != 0 && len(k.Output()) > 0 {
		if err := k.Flush(); err != nil {
			k.terminate(err)
			return
		}
		k.reportIfWritten()
	}
	if events&^unix.EPOLLOUT != 0 {
		k.readResponse()
	}
}

func (k *workerConnection) readResponse() {
	ended, err := k.Fill()
	if err != nil {
		k.terminate(err)
		return
	}
	m := &k.pool.loop.response
	n, err := m.Parse(k.Input(), ended)
	switch {
	case err == nil:
		keep := m.KeepAlive && !ended && n == len(k.Input()) && len(k.Output()) == 0
		if k.isStrayResponse(m.StatusCode) {
			k.terminate(errStrayResponse)
			return
		}
		k.handleResponse(m)
		if !k.IsOpen() {
			return
		}
		if k.Consume(n); keep && k.incarnation == k.pool.endpoint(k.endpoint.worker).incarnation {
			k.becomeIdle()
		} else {
			k.terminate(nil)
		}
	case ended:
		k.terminate(errClosedByWorker)
	case !errors.Is(err, http1.ErrIncomplete):
		k.terminate(err)
	case len(k.Input()) > maxResponseSize:
		k.terminate(errResponseTooLarge)
	}
}

var (
	errClosedByWorker   = errors.New("ended by the worker node")
	errResponseTimeout  = errors.New("no answer in time")
	errResponseTooLarge = errors.New("an answer without end")
	errStrayResponse    = errors.New("an answer to what the link was used for before")
	errEarlyResponse    = errors.New("an answer before the last byte was written")
)

// isStrayResponse tells whether an answer that says yes is the second one to what the link was used for before: each kind of errand
// has a word of its own for that. On a new link it is taken as it is meant.
func (k *workerConnection) isStrayResponse(status int) bool {
	if k.idleBefore == 0 || status/100 != 2 {
		return false
	}
	return k.exchange.kind == exchangeAttempt && status != 202 || k.exchange.kind == exchangeHealthCheck && status != 200
}

// handleResponse settles the errand by the answer's status.
func (k *workerConnection) handleResponse(m *http1.Response) {
	fault := &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonWorkerError, Cause: fmt.Errorf("status %d", m.StatusCode)}
	switch refused := m.StatusCode == 503 || m.StatusCode == 504; {
	case m.StatusCode/100 == 2:
		fault = nil
	case refused && (k.exchange.kind == exchangeHealthCheck || string(m.Get("X-Rejected")) == "1"):
		fault.Reason = requests.ReasonRejected
	case m.StatusCode/100 == 4 && k.exchange.kind == exchangeAttempt:
		fault.Reason = requests.ReasonInvalidRequest
	}
	if k.exchange.kind == exchangeAttempt {
		k.pool.loop.Requests.ReportResponse(k.exchange.attempt, m.StatusCode)
		if k.stage < requests.StageWritten && (fault == nil || fault.Reason == requests.ReasonWorkerError) {
			// It never has all of it, as the link ends with this answer. So it can't run, whatever the answer says.
			fault = &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonConnectionLost, Cause: errEarlyResponse}
		}
	}
	if k.exchange.kind == exchangeAttempt && fault == nil {
		k.setStage(requests.StageAccepted)
		delete(k.pool.byAttempt, k.exchange.attempt)
		k.exchange = exchange{kind: exchangeCancel} // nothing hangs on it any more
		return
	}
	k.finishExchange(fault)
}

// finishExchange ends the errand.
func (k *workerConnection) finishExchange(fault *requests.AttemptError) {
	e := k.exchange
	k.exchange = exchange{kind: exchangeCancel}
	switch e.kind {
	case exchangeAttempt:
		delete(k.pool.byAttempt, e.attempt)
		k.pool.loop.Requests.EndAttempt(e.attempt, nil, fault)
	case exchangeHealthCheck:
		k.pool.loop.Requests.HealthChecked(k.endpoint.worker, fault)
	case exchangeCancel:
		if e.attempt != nil {
			k.pool.handleCancelResult(e.attempt, fault)
		}
	}
}

// becomeIdle puts the link back among the idle.
func (k *workerConnection) becomeIdle() {
	k.pool.loop.StopTimer(k.timer)
	k.state, k.idleSince = workerIdle, k.pool.loop.Now()
	k.endpoint.idle = append(k.endpoint.idle, k)
}

// terminate closes the link, whatever its state; an errand that it had ends with how far it had come.
func (k *workerConnection) terminate(cause error) {
	if k.state == workerClosed {
		return
	}
	if k.state == workerIdle {
		for i, o := range k.endpoint.idle {
			if o == k {
				k.endpoint.idle = append(k.endpoint.idle[:i], k.endpoint.idle[i+1:]...)
				break
			}
		}
	}
	dropped := k.state == workerAwaitingResponse && k.idleBefore > 0 && len(k.Input()) == 0 && cause != nil && !errors.Is(cause, errResponseTimeout)
	k.state = workerClosed
	k.pool.loop.StopTimer(k.timer)
	if k.IsOpen() {
		k.Close()
		k.pool.openCount--
	}
	reason := requests.ReasonConnectionLost
	if dropped {
		k.pool.reduceIdleTrust(k.idleBefore)
		if k.exchange.kind == exchangeHealthCheck {
			reason = requests.ReasonNotSent // it says nothing of the worker node
		}
	}
	switch {
	case k.stage >= requests.StageWritten && errors.Is(cause, errResponseTimeout):
		reason = requests.ReasonTimeout
	case k.exchange.kind == exchangeHealthCheck && errors.Is(cause, errStrayResponse):
		reason = requests.ReasonNotSent // it says nothing of the worker node
	}
	k.finishExchange(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: cause})
}

func (k *workerConnection) HandlePanic() { k.terminate(errors.New("panic")) }
