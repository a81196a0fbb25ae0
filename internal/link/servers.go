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
	probeFor    = 500 * time.Millisecond // an answer to a probe is worth nothing later
	withdrawFor = time.Second
	graceFor    = time.Second // a link outlasts its attempt by so long, in case the answer still comes
	retireEvery = time.Second
	settleFor   = 10 * time.Millisecond // before a link carries again: a second answer would be the next one's
	trustLeast  = 20 * time.Millisecond // a link used as lately as that is as good as a new one
	trustGrows  = 10 * time.Second      // the trust in idle links doubles when they have done well for so long

	withdrawTimes = 4 // connections are tried for a DELETE before it is given up
	withdrawAgain = 50 * time.Millisecond

	mostAtOnce = 4 << 10                                       // a request of that size goes into any socket's buffer whole
	mostAnswer = 2 * (http1.MaxHeaderSize + http1.MaxBodySize) // with interim answers, and with what frames chunks
)

// serverLinks are the connections to worker nodes: the ledger's Carrier.
type serverLinks struct {
	loop    *Loop
	hosts   map[uint64]*hostLinks
	carried map[*requests.Attempt]*serverLink // until the worker node has accepted
	// withdrawals are the attempts whose worker node is being told, and how many connections were tried for that.
	withdrawals map[*requests.Attempt]int
	open        int
	most        int
	dial        time.Duration // a connection comes up within this or not at all
	idleFor     time.Duration // and is not kept for longer when idle; 0: for ever
	trust       time.Duration // nor for longer than has lately gone well; 0: as long as may be
	doubted     time.Duration // when that was set
}

// hostLinks are the links to one worker node.
type hostLinks struct {
	worker  uint64
	id      string
	addr    netip.AddrPort
	started int64
	epoch   int           // counts processes: a link to an earlier one is of no use
	idle    []*serverLink // the last one used last
}

func (l *Loop) serve(most int, dial, idleFor time.Duration) {
	// The worker node closes an idle link at its limit, and a request that crosses the close is lost: keep well
	// clear of it.
	l.servers = &serverLinks{
		loop: l, hosts: map[uint64]*hostLinks{}, carried: map[*requests.Attempt]*serverLink{},
		withdrawals: map[*requests.Attempt]int{}, most: most, dial: dial, idleFor: idleFor * 3 / 4,
	}
	l.servers.retire()
}

// host finds the links to a worker, and drops those to a process that has been replaced.
func (s *serverLinks) host(worker uint64) *hostLinks {
	h := s.hosts[worker]
	if h == nil {
		h = &hostLinks{worker: worker}
		s.hosts[worker] = h
	}
	now := s.loop.Ledger.Endpoint(worker)
	if h.id = now.ID; now.Addr != "" && (h.started != now.StartedAtMs || h.addr.String() != now.Addr) {
		h.addr, _ = netip.ParseAddrPort(now.Addr)
		h.started = now.StartedAtMs
		h.epoch++
		s.CloseIdleConnections(worker)
	}
	return h
}

// ---- What the ledger wants ----

func (s *serverLinks) Start(a *requests.Attempt) {
	s.start(a.Worker, errand{kind: carrying, attempt: a})
}

// Abandon lets the worker node know: before it has accepted by closing the link, after that by a DELETE.
func (s *serverLinks) Abandon(a *requests.Attempt) {
	if k := s.carried[a]; k != nil {
		k.end(nil)
	} else if a.Stage == requests.StageAccepted {
		s.Cancel(a)
	}
}

// Cancel sends a DELETE, unless one is on its way.
func (s *serverLinks) Cancel(a *requests.Attempt) {
	if _, is := s.withdrawals[a]; !is {
		s.withdrawals[a] = 1
		s.start(a.Worker, errand{kind: withdrawing, attempt: a})
	}
}

// withdrew takes in how a DELETE ended. What broke is tried again, on another connection: the first may not have come up
// in time, or may have been reset or dropped unseen, and the DELETE with it. Its worker node is told once it answers. Where it
// does not, it may be cut off, and run what it has: the attempt is out as before.
func (s *serverLinks) withdrew(a *requests.Attempt, fault *requests.AttemptError) {
	broke := fault != nil && fault.Reason == requests.ReasonConnectionLost
	wanted := !a.HasEnded() || fault != nil && fault.Stage >= requests.StageWritten
	if !broke || !wanted || a.EndedByWorker() || s.withdrawals[a] >= withdrawTimes {
		delete(s.withdrawals, a)
		s.loop.Ledger.CancelCompleted(a, !broke && (fault == nil || fault.Reason != requests.ReasonTimeout))
		return
	}
	s.loop.StartTimer(withdrawAgain, s, func() {
		if a.EndedByWorker() || s.loop.hasRelinquished() {
			delete(s.withdrawals, a)
			return
		}
		s.withdrawals[a]++
		s.start(a.Worker, errand{kind: withdrawing, attempt: a})
	})
}

func (s *serverLinks) CheckHealth(worker uint64) { s.start(worker, errand{kind: probing}) }

func (s *serverLinks) CloseIdleConnections(worker uint64) {
	h := s.hosts[worker]
	for h != nil && len(h.idle) > 0 {
		h.idle[0].end(nil)
	}
}

// retire closes links that have been idle for too long.
func (s *serverLinks) retire() {
	s.loop.StartTimer(retireEvery, s, s.retire)
	if s.trust > 0 && s.loop.Now()-s.doubted >= trustGrows {
		if s.trust, s.doubted = 2*s.trust, s.loop.Now(); s.trust > time.Minute {
			s.trust = 0
		}
	}
	for _, h := range s.hosts {
		for len(h.idle) > 0 && s.stale(h.idle[0]) {
			h.idle[0].end(nil)
		}
	}
}

func (s *serverLinks) HandleEvents(uint32) {}
func (s *serverLinks) HandlePanic()        {}

func (s *serverLinks) stale(k *serverLink) bool {
	age := s.loop.Now() - k.idleAt
	return s.idleFor > 0 && age >= s.idleFor || s.trust > 0 && age >= s.trust
}

// doubt takes in that a link broke which had been idle for so long and then got no answer. Something between us and
// the worker nodes, or they themselves, drops idle links unseen: what is written to one may have run, as far as
// anybody can tell, so a query that may not run twice is lost by it. A new link costs far less.
func (s *serverLinks) doubt(idle time.Duration) {
	if s.trust == 0 || idle < s.trust {
		s.trust = max(idle/2, trustLeast)
	}
	s.doubted = s.loop.Now()
}

// start gives an errand to the link that was used last, or to a new one.
func (s *serverLinks) start(worker uint64, e errand) {
	h := s.host(worker)
	for i := len(h.idle) - 1; i >= 0; i-- {
		k := h.idle[i]
		if s.stale(k) || !k.alive() {
			k.end(nil)
			continue
		}
		if e.kind == carrying && k.last == carrying && s.loop.Now()-k.idleAt < settleFor {
			continue
		}
		h.idle = append(h.idle[:i], h.idle[i+1:]...)
		k.rested = max(s.loop.Now()-k.idleAt, 1)
		k.take(e)
		s.loop.Protect(k, k.write)
		return
	}
	k := &serverLink{home: s, host: h, epoch: h.epoch, state: connecting}
	k.take(e)
	s.loop.Protect(k, func() {
		if err := k.open(); err != nil {
			k.end(err)
		}
	})
}

// alive looks whether an idle link still is: a close that came in this turn, after what was gathered, has not
// been told yet, and a request written to it would end as a reset that may have run.
func (k *serverLink) alive() bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(k.FD(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// ---- One link ----

type linkState int

const (
	connecting linkState = iota
	idle
	asking // an errand is written, or being written, and its answer awaited
	gone
)

type errandKind int

const (
	carrying errandKind = iota
	probing
	withdrawing
)

// errand is what a link is used for, one at a time.
type errand struct {
	kind    errandKind
	attempt *requests.Attempt // nil for a probe
}

// serverLink is a connection to a worker node.
type serverLink struct {
	eventloop.Stream
	home   *serverLinks
	host   *hostLinks
	epoch  int
	state  linkState
	errand errand
	last   errandKind // what it was used for
	stage  requests.Stage
	timer  *eventloop.Timer
	idleAt time.Duration
	rested time.Duration // how long it had been idle before its errand; 0: it is new
}

// errNoRoom keeps descriptors for the client links.
var errNoRoom = errors.New("no descriptor left for a server link")

func (k *serverLink) open() error {
	s := k.home
	if s.open >= s.most && !s.evict() {
		return errNoRoom
	}
	if !k.host.addr.IsValid() {
		return fmt.Errorf("host %q has no address", k.host.id)
	}
	fd, err := s.loop.dial(k.host.addr)
	if err != nil {
		return err
	}
	opened, err := s.loop.OpenStream(fd, eventloop.StreamEvents|unix.EPOLLOUT, k)
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	k.Stream = opened
	s.open++
	k.await(s.dial)
	return nil
}

// evict closes an idle link of any host.
func (s *serverLinks) evict() bool {
	for _, h := range s.hosts {
		if len(h.idle) > 0 {
			h.idle[0].end(nil)
			return true
		}
	}
	return false
}

// take gives the link its errand.
func (k *serverLink) take(e errand) {
	k.errand, k.last, k.stage = e, e.kind, requests.StageNotConnected
	if e.kind == carrying {
		k.home.carried[e.attempt] = k
	}
}

func (k *serverLink) await(span time.Duration) {
	k.home.loop.StopTimer(k.timer)
	k.timer = k.home.loop.StartTimer(span, k, func() { k.end(errLate) })
}

// write sends the errand's request. What the worker node is told to have for an attempt is what is left now, however late the
// connection came up. A large request may go in parts: that it takes the time for a connection at most is taken off.
func (k *serverLink) write() {
	l, a := k.home.loop, k.errand.attempt
	var parts time.Duration
	b, host := l.writing[:0], k.host.addr.String()
	switch k.errand.kind {
	case carrying:
		left := a.At - l.Clock()
		if left < time.Millisecond { // the ledger gives it up in a moment, and the link ends with it
			l.StopTimer(k.timer)
			return
		}
		p := &a.Request.Payload
		if parts = min(k.home.dial, left/2); len(p.Body) > mostAtOnce {
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
		k.await(parts)
	case probing:
		b = append(http1.AppendRequestStart(b, "GET", "/alive", host), "\r\n"...)
		k.await(probeFor)
	case withdrawing:
		b = append(http1.AppendRequestStart(b, "DELETE", "/jobs/"+a.Request.CallID, host), "\r\n"...)
		k.await(withdrawFor)
	}
	l.writing = b
	k.state = asking
	k.reach(requests.StagePartlyWritten)
	if err := k.Send(b); err != nil {
		k.end(err)
		return
	}
	k.written()
}

// written notes once the last byte has left: from there on it may run.
func (k *serverLink) written() {
	if len(k.Output()) == 0 && k.stage < requests.StageWritten {
		k.reach(requests.StageWritten)
		if a := k.errand.attempt; k.errand.kind == carrying {
			k.await(a.At - k.home.loop.Now() + graceFor)
			k.home.loop.Ledger.ReportWritten(a)
		}
	}
}

func (k *serverLink) reach(stage requests.Stage) {
	if k.stage = stage; k.errand.kind == carrying {
		k.errand.attempt.Stage = stage
	}
}

// needless tells whether what it was to write has ended before its last byte was written, by a late note of an attempt
// before: what is written on would be a send after the query was over, or one more than the module knows of. Nor is a
// DELETE of any use once the worker node has told how the attempt ended.
func (k *serverLink) needless() bool {
	a := k.errand.attempt
	return k.stage < requests.StageWritten && a != nil && (k.errand.kind == carrying && a.HasEnded() || a.EndedByWorker())
}

func (k *serverLink) HandleEvents(events uint32) {
	if k.state != gone && k.needless() {
		k.end(nil)
		return
	}
	switch k.state {
	case connecting:
		if err := k.ConnectError(); err != nil {
			k.end(err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		k.write()
		if k.state != asking {
			return
		}
	case idle: // it was closed, or says something that nobody asked for
		k.end(nil)
		return
	case gone:
		return
	}
	if events&unix.EPOLLOUT != 0 && len(k.Output()) > 0 {
		if err := k.Flush(); err != nil {
			k.end(err)
			return
		}
		k.written()
	}
	if events&^unix.EPOLLOUT != 0 {
		k.read()
	}
}

func (k *serverLink) read() {
	ended, err := k.Fill()
	if err != nil {
		k.end(err)
		return
	}
	m := &k.home.loop.response
	n, err := m.Parse(k.Input(), ended)
	switch {
	case err == nil:
		keep := m.KeepAlive && !ended && n == len(k.Input()) && len(k.Output()) == 0
		if k.stray(m.StatusCode) {
			k.end(errStray)
			return
		}
		k.answered(m)
		if !k.IsOpen() {
			return
		}
		if k.Consume(n); keep && k.epoch == k.home.host(k.host.worker).epoch {
			k.rest()
		} else {
			k.end(nil)
		}
	case ended:
		k.end(errEnded)
	case !errors.Is(err, http1.ErrIncomplete):
		k.end(err)
	case len(k.Input()) > mostAnswer:
		k.end(errLarge)
	}
}

var (
	errEnded = errors.New("ended by the worker node")
	errLate  = errors.New("no answer in time")
	errLarge = errors.New("an answer without end")
	errStray = errors.New("an answer to what the link was used for before")
	errEarly = errors.New("an answer before the last byte was written")
)

// stray tells whether an answer that says yes is the second one to what the link was used for before: each kind of errand
// has a word of its own for that. On a new link it is taken as it is meant.
func (k *serverLink) stray(status int) bool {
	if k.rested == 0 || status/100 != 2 {
		return false
	}
	return k.errand.kind == carrying && status != 202 || k.errand.kind == probing && status != 200
}

// answered settles the errand by the answer's status.
func (k *serverLink) answered(m *http1.Response) {
	fault := &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonWorkerError, Cause: fmt.Errorf("status %d", m.StatusCode)}
	switch refused := m.StatusCode == 503 || m.StatusCode == 504; {
	case m.StatusCode/100 == 2:
		fault = nil
	case refused && (k.errand.kind == probing || string(m.Get("X-Rejected")) == "1"):
		fault.Reason = requests.ReasonRejected
	case m.StatusCode/100 == 4 && k.errand.kind == carrying:
		fault.Reason = requests.ReasonInvalidRequest
	}
	if k.errand.kind == carrying {
		k.home.loop.Ledger.ReportResponse(k.errand.attempt, m.StatusCode)
		if k.stage < requests.StageWritten && (fault == nil || fault.Reason == requests.ReasonWorkerError) {
			// It never has all of it, as the link ends with this answer. So it can't run, whatever the answer says.
			fault = &requests.AttemptError{Stage: k.stage, Reason: requests.ReasonConnectionLost, Cause: errEarly}
		}
	}
	if k.errand.kind == carrying && fault == nil {
		k.reach(requests.StageAccepted)
		delete(k.home.carried, k.errand.attempt)
		k.errand = errand{kind: withdrawing} // nothing hangs on it any more
		return
	}
	k.settle(fault)
}

// settle ends the errand.
func (k *serverLink) settle(fault *requests.AttemptError) {
	e := k.errand
	k.errand = errand{kind: withdrawing}
	switch e.kind {
	case carrying:
		delete(k.home.carried, e.attempt)
		k.home.loop.Ledger.EndAttempt(e.attempt, nil, fault)
	case probing:
		k.home.loop.Ledger.HealthChecked(k.host.worker, fault)
	case withdrawing:
		if e.attempt != nil {
			k.home.withdrew(e.attempt, fault)
		}
	}
}

// rest puts the link back among the idle.
func (k *serverLink) rest() {
	k.home.loop.StopTimer(k.timer)
	k.state, k.idleAt = idle, k.home.loop.Now()
	k.host.idle = append(k.host.idle, k)
}

// end closes the link, whatever its state; an errand that it had ends with how far it had come.
func (k *serverLink) end(cause error) {
	if k.state == gone {
		return
	}
	if k.state == idle {
		for i, o := range k.host.idle {
			if o == k {
				k.host.idle = append(k.host.idle[:i], k.host.idle[i+1:]...)
				break
			}
		}
	}
	dropped := k.state == asking && k.rested > 0 && len(k.Input()) == 0 && cause != nil && !errors.Is(cause, errLate)
	k.state = gone
	k.home.loop.StopTimer(k.timer)
	if k.IsOpen() {
		k.Close()
		k.home.open--
	}
	reason := requests.ReasonConnectionLost
	if dropped {
		k.home.doubt(k.rested)
		if k.errand.kind == probing {
			reason = requests.ReasonNotSent // it says nothing of the worker node
		}
	}
	switch {
	case k.stage >= requests.StageWritten && errors.Is(cause, errLate):
		reason = requests.ReasonTimeout
	case k.errand.kind == probing && errors.Is(cause, errStray):
		reason = requests.ReasonNotSent // it says nothing of the worker node
	}
	k.settle(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: cause})
}

func (k *serverLink) HandlePanic() { k.end(errors.New("panic")) }
