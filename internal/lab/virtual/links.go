package virtual

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/lab/edge"
	"valvecove/internal/requests"
)

// The figures of internal/link's server links.
const (
	probeFor    = 500 * time.Millisecond
	withdrawFor = time.Second
	graceFor    = time.Second // a link outlasts its attempt by so long, in case the answer still comes
	retireEvery = time.Second
	trustLeast  = 20 * time.Millisecond
	trustGrows  = 10 * time.Second
	trustMost   = time.Minute // beyond that it is without limit

	settleFor     = 10 * time.Millisecond // before a link carries again
	withdrawTimes = 4                     // connections are tried for a DELETE
	withdrawAgain = 50 * time.Millisecond
)

// What ends links, as causes of faults.
var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
	errEnded   = errors.New("ended by the worker node")
	errLate    = errors.New("no answer in time")
	errNoRoom  = errors.New("no descriptor left for a server link")
	errNowhere = errors.New("the host has no address")
	errStatus  = errors.New("status")
)

// serverLinks model the connections to worker nodes as internal/link keeps them: the ledger's Carrier. What takes
// a socket's time there takes none here, so that a query whose link is up is wholly written at once.
type serverLinks struct {
	p       *process
	hosts   map[uint64]*hostLinks
	order   []*hostLinks // map order decides nothing
	links   map[edge.Conn]*serverLink
	carried map[*requests.Attempt]*serverLink // until the worker node has accepted
	// withdrawals are the attempts whose worker node is being told, and how many connections were tried for that.
	withdrawals map[*requests.Attempt]int
	most        int
	resting     int           // idle links, over all hosts
	victim      int           // where in order evict looks first
	dial        time.Duration // a connection comes up within this or not at all
	idleFor     time.Duration // and is not kept for longer when idle; 0: for ever
	trust       time.Duration // nor for longer than has lately gone well; 0: as long as may be
	doubted     time.Duration // when that was set
}

// hostLinks are the links to one worker node.
type hostLinks struct {
	worker  uint64
	node    int // the world's number; -1: unknown
	machine int // which one in its place
	addr    string
	started int64
	epoch   int           // counts processes: a link to an earlier one is of no use
	idle    []*serverLink // the last one used last
}

type linkState uint8

const (
	connecting linkState = iota
	idle
	asking // an errand is written and its answer awaited
	gone
)

type errandKind uint8

const (
	nothing errandKind = iota
	carrying
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
	alarm  timer
	armed  bool          // the alarm is set, perhaps for sooner than is due
	until  time.Duration // an answer is waited for; 0: none is
	home   *serverLinks
	host   *hostLinks
	conn   edge.Conn // 0: never dialled
	epoch  int
	state  linkState
	stage  requests.Stage
	came   bool // part of an answer has come
	cut    bool // the other side has ended it
	errand errand
	last   errandKind // what it was used for
	idleAt time.Duration
	rested time.Duration // how long it had been idle before its errand; 0: it is new
}

func newServerLinks(p *process, most int, dial, idleFor time.Duration) *serverLinks {
	s := &serverLinks{
		p: p, hosts: map[uint64]*hostLinks{}, links: map[edge.Conn]*serverLink{},
		carried: map[*requests.Attempt]*serverLink{}, withdrawals: map[*requests.Attempt]int{}, most: most, dial: dial, idleFor: idleFor * 3 / 4,
	}
	s.retire()
	return s
}

// host finds the links to a worker, and drops those to a process that has been replaced.
func (s *serverLinks) host(worker uint64) *hostLinks {
	h, now := s.hosts[worker], s.p.ledger.Endpoint(worker)
	if h == nil {
		h = &hostLinks{worker: worker}
		h.node, h.machine = NodeOf(now.ID)
		s.hosts[worker] = h
		s.order = append(s.order, h)
	}
	if h.started != now.StartedAtMs || h.addr != now.Addr {
		h.addr, h.started = now.Addr, now.StartedAtMs
		h.epoch++
		s.CloseIdleConnections(worker)
	}
	return h
}

// NodeOf is the world's number of the worker node whose id discovery tells, and which machine in its place that is:
// "w-12" is the first, 0, "w-12.1" the one that took its place. node -1: it is none.
func NodeOf(id string) (node, machine int) {
	digits, ok := strings.CutPrefix(id, "w-")
	digits, later, took := strings.Cut(digits, ".")
	node, err := strconv.Atoi(digits)
	if took && err == nil {
		machine, err = strconv.Atoi(later)
	}
	if !ok || err != nil || node < 0 || machine < 0 {
		return -1, 0
	}
	return node, machine
}

// ---- What the ledger wants ----

// Start starts an attempt.
func (s *serverLinks) Start(a *requests.Attempt) { s.start(a.Worker, errand{carrying, a}) }

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
		s.start(a.Worker, errand{withdrawing, a})
	}
}

// withdrew takes in how a DELETE ended. What broke is tried again, on another connection.
func (s *serverLinks) withdrew(a *requests.Attempt, fault *requests.AttemptError) {
	broke := fault != nil && fault.Reason == requests.ReasonConnectionLost
	wanted := !a.HasEnded() || fault != nil && fault.Stage >= requests.StageWritten
	if !broke || !wanted || a.EndedByWorker() || s.withdrawals[a] >= withdrawTimes {
		delete(s.withdrawals, a)
		s.p.ledger.CancelCompleted(a, !broke)
		return
	}
	s.p.after(withdrawAgain, func() {
		if a.EndedByWorker() {
			delete(s.withdrawals, a)
			return
		}
		s.withdrawals[a]++
		s.start(a.Worker, errand{withdrawing, a})
	})
}

// CheckHealth asks a worker node for a sign of life.
func (s *serverLinks) CheckHealth(worker uint64) { s.start(worker, errand{kind: probing}) }

// CloseIdleConnections closes the idle links to a worker node.
func (s *serverLinks) CloseIdleConnections(worker uint64) {
	h := s.hosts[worker]
	for h != nil && len(h.idle) > 0 {
		h.idle[0].end(nil)
	}
}

// Watch follows the host group from a generation on.
func (s *serverLinks) Watch(after int64) { s.p.watch(after) }

// retire closes links that have been idle for too long.
func (s *serverLinks) retire() {
	s.p.after(retireEvery, s.retire)
	if s.trust > 0 && s.p.now-s.doubted >= trustGrows {
		if s.trust, s.doubted = 2*s.trust, s.p.now; s.trust > trustMost {
			s.trust = 0
		}
	}
	if s.resting == 0 {
		return
	}
	for _, h := range s.order {
		for len(h.idle) > 0 && s.stale(h.idle[0]) {
			h.idle[0].end(nil)
		}
	}
}

func (s *serverLinks) stale(k *serverLink) bool {
	age := s.p.now - k.idleAt
	return s.idleFor > 0 && age >= s.idleFor || s.trust > 0 && age >= s.trust
}

// doubt takes in that a link broke which had been idle for so long and then got no answer.
func (s *serverLinks) doubt(idle time.Duration) {
	if s.trust == 0 || idle < s.trust {
		s.trust = max(idle/2, trustLeast)
	}
	s.doubted = s.p.now
}

// start gives an errand to the link that was used last, or to a new one.
func (s *serverLinks) start(worker uint64, e errand) {
	h := s.host(worker)
	for i := len(h.idle) - 1; i >= 0; i-- {
		k := h.idle[i]
		if s.stale(k) {
			k.end(nil)
			continue
		}
		if e.kind == carrying && k.last == carrying && s.p.now-k.idleAt < settleFor {
			continue
		}
		h.idle = append(h.idle[:i], h.idle[i+1:]...)
		s.resting--
		k.rested = max(s.p.now-k.idleAt, 1)
		k.take(e)
		k.write()
		return
	}
	k := &serverLink{home: s, host: h, epoch: h.epoch, state: connecting}
	k.alarm.act = k.late
	k.take(e)
	k.open()
}

// evict closes an idle link of any host.
func (s *serverLinks) evict() bool {
	for s.resting > 0 {
		s.victim = (s.victim + 1) % len(s.order)
		if h := s.order[s.victim]; len(h.idle) > 0 {
			h.idle[0].end(nil)
			return true
		}
	}
	return false
}

// ---- One link ----

func (k *serverLink) open() {
	s := k.home
	switch {
	case len(s.links) >= s.most && !s.evict():
		k.end(errNoRoom)
		return
	case k.host.node < 0:
		k.end(errNowhere)
		return
	}
	k.conn = s.p.newConn()
	s.links[k.conn] = k
	s.p.emit(edge.Out{Kind: edge.Dial, Conn: k.conn, Node: k.host.node, Machine: k.host.machine})
	k.await(s.dial)
}

// take gives the link its errand.
func (k *serverLink) take(e errand) {
	k.errand, k.last, k.stage, k.came = e, e.kind, requests.StageNotConnected, false
	if e.kind == carrying {
		k.home.carried[e.attempt] = k
	}
}

// await gives the other side so long. An alarm that is set for sooner is let be, as most answers come well before, and
// the next errand's time is later.
func (k *serverLink) await(span time.Duration) {
	p := k.home.p
	if k.until = p.now + span; k.armed {
		if k.alarm.At <= k.until {
			return
		}
		p.stop(&k.alarm)
	}
	k.armed = true
	p.start(&k.alarm, span)
}

// late is the alarm.
func (k *serverLink) late() {
	k.armed = false
	switch left := k.until - k.home.p.now; {
	case k.until == 0:
	case left > 0:
		k.await(left)
	default:
		k.end(errLate)
	}
}

// write sends the errand's request, whole.
func (k *serverLink) write() {
	p, a := k.home.p, k.errand.attempt
	if k.errand.kind == carrying && a.At-p.now < time.Millisecond {
		k.until = 0 // the ledger gives it up in a moment, and the link ends with it
		return
	}
	k.state = asking
	k.reach(requests.StageWritten)
	o := edge.Out{Conn: k.conn, Node: k.host.node, First: p.now - p.s.epoch}
	switch k.errand.kind {
	case carrying:
		left := a.At - p.now
		o.Kind, o.Call, o.Key = edge.Sent, a.Request.CallID, a.Request.Payload.IdempotencyKey
		o.Budget = max(time.Millisecond, left.Truncate(time.Millisecond))
		k.await(left + graceFor)
	case probing:
		o.Kind = edge.Probe
		k.await(probeFor)
	case withdrawing:
		o.Kind, o.Call = edge.Delete, a.Request.CallID
		k.await(withdrawFor)
	}
	p.emit(o)
}

func (k *serverLink) reach(stage requests.Stage) {
	if k.stage = stage; k.errand.kind == carrying {
		k.errand.attempt.Stage = stage
	}
}

// up and down are told by the other side, answered too.
func (k *serverLink) up() {
	switch {
	case k.state != connecting:
	case k.errand.kind == carrying && k.errand.attempt.HasEnded(), // by a late note of an attempt before
		k.errand.kind == withdrawing && k.errand.attempt.EndedByWorker():
		k.end(nil)
	default:
		k.write()
	}
}

func (k *serverLink) down(reset bool) {
	k.cut = true
	switch {
	case k.state == idle:
		k.end(nil)
	case k.state == connecting:
		k.end(errRefused)
	case reset:
		k.end(errReset)
	default:
		k.end(errEnded)
	}
}

// answered settles the errand by the answer's status. Bytes > 0: it breaks off.
func (k *serverLink) answered(in *edge.In) {
	switch {
	case k.state != asking: // it says something that nobody asked for
		k.end(nil)
		return
	case in.Bytes > 0:
		k.came, k.cut = true, true
		k.end(errReset)
		return
	}
	reason, well := requests.ReasonWorkerError, in.Status/100 == 2
	switch refused := in.Status == 503 || in.Status == 504; {
	case refused && (k.errand.kind == probing || in.Rejected):
		reason = requests.ReasonRejected
	case in.Status/100 == 4 && k.errand.kind == carrying:
		reason = requests.ReasonInvalidRequest
	}
	switch a := k.errand.attempt; {
	case k.errand.kind == carrying && well:
		k.home.p.ledger.ReportResponse(a, in.Status)
		k.reach(requests.StageAccepted)
		delete(k.home.carried, a)
		k.errand = errand{}
	case well:
		k.settle(nil)
	default:
		if k.errand.kind == carrying {
			k.home.p.ledger.ReportResponse(a, in.Status)
		}
		k.settle(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: errStatus})
	}
	if k.state != asking { // what it ended has ended the link too
		return
	}
	if k.epoch == k.home.host(k.host.worker).epoch {
		k.rest()
	} else {
		k.end(nil)
	}
}

// settle ends the errand.
func (k *serverLink) settle(fault *requests.AttemptError) {
	e := k.errand
	k.errand = errand{}
	switch e.kind {
	case carrying:
		delete(k.home.carried, e.attempt)
		k.home.p.ledger.EndAttempt(e.attempt, nil, fault)
	case probing:
		k.home.p.ledger.HealthChecked(k.host.worker, fault)
	case withdrawing:
		k.home.withdrew(e.attempt, fault)
	}
}

// rest puts the link back among the idle.
func (k *serverLink) rest() {
	k.until = 0
	k.state, k.idleAt = idle, k.home.p.now
	k.host.idle = append(k.host.idle, k)
	k.home.resting++
}

// end closes the link, whatever its state; an errand that it had ends with how far it had come.
func (k *serverLink) end(cause error) {
	if k.state == gone {
		return
	}
	s := k.home
	if k.state == idle {
		for i, o := range k.host.idle {
			if o == k {
				k.host.idle = append(k.host.idle[:i], k.host.idle[i+1:]...)
				s.resting--
				break
			}
		}
	}
	dropped := k.state == asking && k.rested > 0 && !k.came && cause != nil && !errors.Is(cause, errLate)
	k.state = gone
	s.p.stop(&k.alarm)
	if k.conn != 0 {
		delete(s.links, k.conn)
		if !k.cut {
			s.p.emit(edge.Out{Kind: edge.Hangup, Conn: k.conn, Node: k.host.node})
		}
	}
	if dropped {
		s.doubt(k.rested)
	}
	if k.errand.kind == nothing {
		return
	}
	reason := requests.ReasonConnectionLost
	if dropped && k.errand.kind == probing {
		reason = requests.ReasonNotSent // it says nothing of the worker node
	}
	if k.stage >= requests.StageWritten && errors.Is(cause, errLate) {
		reason = requests.ReasonTimeout
	}
	k.settle(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: cause})
}

// timer calls act once it is due.
type timer struct {
	deadline.Item
	act func()
}
