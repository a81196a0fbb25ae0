package simulation

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// The figures of internal/link's server links.
const (
	healthCheckTimeout = 500 * time.Millisecond
	cancelTimeout      = time.Second
	connGrace          = time.Second // a link outlasts its attempt by so long, in case the answer still comes
	retireInterval     = time.Second
	minIdleTrust       = 20 * time.Millisecond
	idleTrustGrowth    = 10 * time.Second
	maxIdleTrust       = time.Minute // beyond that it is without limit

	reuseDelay       = 10 * time.Millisecond // before a link carries again
	cancelAttempts   = 4                     // connections are tried for a DELETE
	cancelRetryDelay = 50 * time.Millisecond
)

// What ends links, as causes of faults.
var (
	errRefused      = errors.New("connection refused")
	errReset        = errors.New("connection reset")
	errEnded        = errors.New("ended by the worker node")
	errTimeout      = errors.New("no answer in time")
	errNoDescriptor = errors.New("no descriptor left for a server link")
	errNoAddress    = errors.New("the host has no address")
	errStatus       = errors.New("status")
)

// workerConns model the connections to workers as internal/link keeps them: the ledger's Carrier. What takes
// a socket's time there takes none here, so that a request whose link is up is wholly written at once.
type workerConns struct {
	process      *process
	endpoints    map[uint64]*endpointConns
	endpointList []*endpointConns // map order decides nothing
	conns        map[simapi.Conn]*workerConn
	attemptConns map[*requests.Attempt]*workerConn // until the worker has accepted
	// cancellations are the attempts whose worker is being told, and how many connections were tried for that.
	cancellations  map[*requests.Attempt]int
	maxConns       int
	idleCount      int           // idle links, over all hosts
	evictFrom      int           // where in order evict looks first
	dialTimeout    time.Duration // a connection comes up within this or not at all
	idleTimeout    time.Duration // and is not kept for longer when idle; 0: for ever
	idleTrust      time.Duration // nor for longer than has lately gone well; 0: as long as may be
	idleTrustSetAt time.Duration // when that was set
}

// endpointConns are the links to one worker.
type endpointConns struct {
	worker      uint64
	workerIndex int // the environment's number; -1: unknown
	machine     int // which one in its place
	addr        string
	startedMs   int64
	incarnation int           // counts processes: a link to an earlier one is of no use
	idle        []*workerConn // the last one used last
}

type connState uint8

const (
	connConnecting connState = iota
	connIdle
	connAwaiting // an errand is written and its answer awaited
	connClosed
)

type taskKind uint8

const (
	taskNone taskKind = iota
	taskAttempt
	taskHealthCheck
	taskCancel
)

// connTask is what a link is used for, one at a time.
type connTask struct {
	kind    taskKind
	attempt *requests.Attempt // nil for a probe
}

// workerConn is a connection to a worker.
type workerConn struct {
	timer         timer
	timerSet      bool          // the alarm is set, perhaps for sooner than is due
	deadline      time.Duration // an answer is waited for; 0: none is
	conns         *workerConns
	endpoint      *endpointConns
	conn          simapi.Conn // 0: never dialled
	incarnation   int
	state         connState
	stage         requests.Stage
	responseBegun bool // part of an answer has come
	peerClosed    bool // the other side has ended it
	task          connTask
	lastTask      taskKind // what it was used for
	idleSince     time.Duration
	idleFor       time.Duration // how long it had been idle before its errand; 0: it is new
}

func newWorkerConns(p *process, most int, dial, idleFor time.Duration) *workerConns {
	s := &workerConns{
		process: p, endpoints: map[uint64]*endpointConns{}, conns: map[simapi.Conn]*workerConn{},
		attemptConns: map[*requests.Attempt]*workerConn{}, cancellations: map[*requests.Attempt]int{}, maxConns: most, dialTimeout: dial, idleTimeout: idleFor * 3 / 4,
	}
	s.retire()
	return s
}

// endpoint finds the links to a worker, and drops those to a process that has been replaced.
func (s *workerConns) endpoint(worker uint64) *endpointConns {
	endpoint, now := s.endpoints[worker], s.process.requests.Endpoint(worker)
	if endpoint == nil {
		endpoint = &endpointConns{worker: worker}
		endpoint.workerIndex, endpoint.machine = NodeOf(now.ID)
		s.endpoints[worker] = endpoint
		s.endpointList = append(s.endpointList, endpoint)
	}
	if endpoint.startedMs != now.StartedAtMs || endpoint.addr != now.Addr {
		endpoint.addr, endpoint.startedMs = now.Addr, now.StartedAtMs
		endpoint.incarnation++
		s.CloseIdleConnections(worker)
	}
	return endpoint
}

// NodeOf is the environment's number of the worker whose id discovery tells, and which machine in its place that is:
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
func (s *workerConns) Start(a *requests.Attempt) { s.startTask(a.Worker, connTask{taskAttempt, a}) }

// Abandon lets the worker know: before it has accepted by closing the link, after that by a DELETE.
func (s *workerConns) Abandon(a *requests.Attempt) {
	if k := s.attemptConns[a]; k != nil {
		k.closeWith(nil)
	} else if a.Stage == requests.StageAccepted {
		s.Cancel(a)
	}
}

// Cancel sends a DELETE, unless one is on its way.
func (s *workerConns) Cancel(a *requests.Attempt) {
	if _, is := s.cancellations[a]; !is {
		s.cancellations[a] = 1
		s.startTask(a.Worker, connTask{taskCancel, a})
	}
}

// cancelEnded takes in how a DELETE ended. What broke is tried again, on another connection.
func (s *workerConns) cancelEnded(attempt *requests.Attempt, fault *requests.AttemptError) {
	broke := fault != nil && fault.Reason == requests.ReasonConnectionLost
	wanted := !attempt.HasEnded() || fault != nil && fault.Stage >= requests.StageWritten
	if !broke || !wanted || attempt.EndedByWorker() || s.cancellations[attempt] >= cancelAttempts {
		delete(s.cancellations, attempt)
		s.process.requests.CancelCompleted(attempt, !broke)
		return
	}
	s.process.after(cancelRetryDelay, func() {
		if attempt.EndedByWorker() {
			delete(s.cancellations, attempt)
			return
		}
		s.cancellations[attempt]++
		s.startTask(attempt.Worker, connTask{taskCancel, attempt})
	})
}

// CheckHealth asks a worker for a sign of life.
func (s *workerConns) CheckHealth(worker uint64) {
	s.startTask(worker, connTask{kind: taskHealthCheck})
}

// CloseIdleConnections closes the idle links to a worker.
func (s *workerConns) CloseIdleConnections(worker uint64) {
	h := s.endpoints[worker]
	for h != nil && len(h.idle) > 0 {
		h.idle[0].closeWith(nil)
	}
}

// Watch follows the endpoint list from a generation on.
func (s *workerConns) Watch(after int64) { s.process.watch(after) }

// retire closes links that have been idle for too long.
func (s *workerConns) retire() {
	s.process.after(retireInterval, s.retire)
	if s.idleTrust > 0 && s.process.now-s.idleTrustSetAt >= idleTrustGrowth {
		if s.idleTrust, s.idleTrustSetAt = 2*s.idleTrust, s.process.now; s.idleTrust > maxIdleTrust {
			s.idleTrust = 0
		}
	}
	if s.idleCount == 0 {
		return
	}
	for _, h := range s.endpointList {
		for len(h.idle) > 0 && s.isStale(h.idle[0]) {
			h.idle[0].closeWith(nil)
		}
	}
}

func (s *workerConns) isStale(k *workerConn) bool {
	age := s.process.now - k.idleSince
	return s.idleTimeout > 0 && age >= s.idleTimeout || s.idleTrust > 0 && age >= s.idleTrust
}

// reduceTrust takes in that a link broke which had been idle for so long and then got no answer.
func (s *workerConns) reduceTrust(idle time.Duration) {
	if s.idleTrust == 0 || idle < s.idleTrust {
		s.idleTrust = max(idle/2, minIdleTrust)
	}
	s.idleTrustSetAt = s.process.now
}

// startTask gives an errand to the link that was used last, or to a new one.
func (s *workerConns) startTask(worker uint64, connTask connTask) {
	endpointConns := s.endpoint(worker)
	for i := len(endpointConns.idle) - 1; i >= 0; i-- {
		workerConn := endpointConns.idle[i]
		if s.isStale(workerConn) {
			workerConn.closeWith(nil)
			continue
		}
		if connTask.kind == taskAttempt && workerConn.lastTask == taskAttempt && s.process.now-workerConn.idleSince < reuseDelay {
			continue
		}
		endpointConns.idle = append(endpointConns.idle[:i], endpointConns.idle[i+1:]...)
		s.idleCount--
		workerConn.idleFor = max(s.process.now-workerConn.idleSince, 1)
		workerConn.assign(connTask)
		workerConn.write()
		return
	}
	k := &workerConn{conns: s, endpoint: endpointConns, incarnation: endpointConns.incarnation, state: connConnecting}
	k.timer.act = k.timedOut
	k.assign(connTask)
	k.dial()
}

// evictIdle closes an idle link of any host.
func (s *workerConns) evictIdle() bool {
	for s.idleCount > 0 {
		s.evictFrom = (s.evictFrom + 1) % len(s.endpointList)
		if h := s.endpointList[s.evictFrom]; len(h.idle) > 0 {
			h.idle[0].closeWith(nil)
			return true
		}
	}
	return false
}

// ---- One link ----

func (k *workerConn) dial() {
	workerConns := k.conns
	switch {
	case len(workerConns.conns) >= workerConns.maxConns && !workerConns.evictIdle():
		k.closeWith(errNoDescriptor)
		return
	case k.endpoint.workerIndex < 0:
		k.closeWith(errNoAddress)
		return
	}
	k.conn = workerConns.process.newConn()
	workerConns.conns[k.conn] = k
	workerConns.process.emit(simapi.Output{Kind: simapi.WorkerDialed, Conn: k.conn, Worker: k.endpoint.workerIndex, Machine: k.endpoint.machine})
	k.awaitWithin(workerConns.dialTimeout)
}

// assign gives the link its errand.
func (k *workerConn) assign(e connTask) {
	k.task, k.lastTask, k.stage, k.responseBegun = e, e.kind, requests.StageNotConnected, false
	if e.kind == taskAttempt {
		k.conns.attemptConns[e.attempt] = k
	}
}

// awaitWithin gives the other side so long. An alarm that is set for sooner is let be, as most answers come well before, and
// the next errand's time is later.
func (k *workerConn) awaitWithin(span time.Duration) {
	p := k.conns.process
	if k.deadline = p.now + span; k.timerSet {
		if k.timer.At <= k.deadline {
			return
		}
		p.stop(&k.timer)
	}
	k.timerSet = true
	p.start(&k.timer, span)
}

// timedOut is the alarm.
func (k *workerConn) timedOut() {
	k.timerSet = false
	switch remaining := k.deadline - k.conns.process.now; {
	case k.deadline == 0:
	case remaining > 0:
		k.awaitWithin(remaining)
	default:
		k.closeWith(errTimeout)
	}
}

// write sends the errand's request, whole.
func (k *workerConn) write() {
	process, attempt := k.conns.process, k.task.attempt
	if k.task.kind == taskAttempt && attempt.At-process.now < time.Millisecond {
		k.deadline = 0 // the ledger gives it up in a moment, and the connection ends with it
		return
	}
	k.state = connAwaiting
	k.setStage(requests.StageWritten)
	output := simapi.Output{Conn: k.conn, Worker: k.endpoint.workerIndex, FirstByteAt: process.now - process.scheduler.epoch}
	switch k.task.kind {
	case taskAttempt:
		remaining := attempt.At - process.now
		output.Kind, output.RequestID, output.IdempotencyKey = simapi.AttemptWritten, attempt.Request.CallID, attempt.Request.Payload.IdempotencyKey
		output.Budget = max(time.Millisecond, remaining.Truncate(time.Millisecond))
		k.awaitWithin(remaining + connGrace)
	case taskHealthCheck:
		output.Kind = simapi.HealthCheckWritten
		k.awaitWithin(healthCheckTimeout)
	case taskCancel:
		output.Kind, output.RequestID = simapi.CancellationReceived, attempt.Request.CallID
		k.awaitWithin(cancelTimeout)
	}
	process.emit(output)
}

func (k *workerConn) setStage(stage requests.Stage) {
	if k.stage = stage; k.task.kind == taskAttempt {
		k.task.attempt.Stage = stage
	}
}

// handleInput processes what the worker's side of the connection did.
func (k *workerConn) handleInput(in *simapi.Input) {
	switch in.Kind {
	case simapi.WorkerConnected:
		k.connected()
	case simapi.WorkerDisconnected:
		k.disconnected(in.Reset)
	case simapi.ResponseReceived:
		k.responseReceived(in)
	}
}

// connected writes the task to a connection that has come up, unless it is no longer wanted.
func (k *workerConn) connected() {
	switch {
	case k.state != connConnecting:
	case k.task.kind == taskAttempt && k.task.attempt.HasEnded(), // by a late note of an attempt before
		k.task.kind == taskCancel && k.task.attempt.EndedByWorker():
		k.closeWith(nil)
	default:
		k.write()
	}
}

func (k *workerConn) disconnected(reset bool) {
	k.peerClosed = true
	switch {
	case k.state == connIdle:
		k.closeWith(nil)
	case k.state == connConnecting:
		k.closeWith(errRefused)
	case reset:
		k.closeWith(errReset)
	default:
		k.closeWith(errEnded)
	}
}

// responseReceived settles the errand by the answer's status. Bytes > 0: it breaks off.
func (k *workerConn) responseReceived(in *simapi.Input) {
	switch {
	case k.state != connAwaiting: // it says something that nobody asked for
		k.closeWith(nil)
		return
	case in.Bytes > 0:
		k.responseBegun, k.peerClosed = true, true
		k.closeWith(errReset)
		return
	}
	k.finishByStatus(in)
	if k.state != connAwaiting { // what it ended has ended the link too
		return
	}
	if k.incarnation == k.conns.endpoint(k.endpoint.worker).incarnation {
		k.makeIdle()
	} else {
		k.closeWith(nil)
	}
}

// finishByStatus ends the task, or accepts the attempt, by the response's status.
func (k *workerConn) finishByStatus(in *simapi.Input) {
	task, success := k.task, in.Status/100 == 2
	reason := k.failureReason(in)
	if task.kind == taskAttempt {
		k.conns.process.requests.ReportResponse(task.attempt, in.Status)
	}
	switch {
	case !success:
		k.finishTask(&requests.AttemptError{Stage: k.stage, Reason: reason, Cause: errStatus})
	case task.kind == taskAttempt:
		k.setStage(requests.StageAccepted)
		delete(k.conns.attemptConns, task.attempt)
		k.task = connTask{}
	default:
		k.finishTask(nil)
	}
}

// failureReason returns what a response other than 2xx says of the task.
func (k *workerConn) failureReason(in *simapi.Input) requests.Reason {
	unavailable := in.Status == 503 || in.Status == 504
	switch {
	case unavailable && (k.task.kind == taskHealthCheck || in.Rejected):
		return requests.ReasonRejected
	case in.Status/100 == 4 && k.task.kind == taskAttempt:
		return requests.ReasonInvalidRequest
	}
	return requests.ReasonWorkerError
}

// finishTask ends the errand.
func (k *workerConn) finishTask(fault *requests.AttemptError) {
	e := k.task
	k.task = connTask{}
	switch e.kind {
	case taskAttempt:
		delete(k.conns.attemptConns, e.attempt)
		k.conns.process.requests.EndAttempt(e.attempt, nil, fault)
	case taskHealthCheck:
		k.conns.process.requests.HealthChecked(k.endpoint.worker, fault)
	case taskCancel:
		k.conns.cancelEnded(e.attempt, fault)
	}
}

// makeIdle puts the link back among the idle.
func (k *workerConn) makeIdle() {
	k.deadline = 0
	k.state, k.idleSince = connIdle, k.conns.process.now
	k.endpoint.idle = append(k.endpoint.idle, k)
	k.conns.idleCount++
}

// closeWith closes the link, whatever its state; an errand that it had ends with how far it had come.
func (k *workerConn) closeWith(cause error) {
	if k.state == connClosed {
		return
	}
	if k.state == connIdle {
		k.removeIdle()
	}
	dropped := k.state == connAwaiting && k.idleFor > 0 && !k.responseBegun && cause != nil && !errors.Is(cause, errTimeout)
	k.state = connClosed
	k.conns.process.stop(&k.timer)
	k.release()
	if dropped {
		k.conns.reduceTrust(k.idleFor)
	}
	if k.task.kind != taskNone {
		k.finishTask(&requests.AttemptError{Stage: k.stage, Reason: k.closeReason(cause, dropped), Cause: cause})
	}
}

// removeIdle takes the connection from the endpoint's idle ones.
func (k *workerConn) removeIdle() {
	for i, other := range k.endpoint.idle {
		if other == k {
			k.endpoint.idle = append(k.endpoint.idle[:i], k.endpoint.idle[i+1:]...)
			k.conns.idleCount--
			return
		}
	}
}

// release gives up the connection's number, if it was dialed, and closes it unless the worker has.
func (k *workerConn) release() {
	if k.conn == 0 {
		return
	}
	delete(k.conns.conns, k.conn)
	if !k.peerClosed {
		k.conns.process.emit(simapi.Output{Kind: simapi.WorkerConnClosed, Conn: k.conn, Worker: k.endpoint.workerIndex})
	}
}

// closeReason returns why a task failed whose connection was closed; dropped: it had been idle, and broke without a response.
func (k *workerConn) closeReason(cause error, dropped bool) requests.Reason {
	switch {
	case k.stage >= requests.StageWritten && errors.Is(cause, errTimeout):
		return requests.ReasonTimeout
	case dropped && k.task.kind == taskHealthCheck:
		return requests.ReasonNotSent // it says nothing of the worker
	}
	return requests.ReasonConnectionLost
}

// timer calls act once it is due.
type timer struct {
	deadline.Item
	act func()
}
