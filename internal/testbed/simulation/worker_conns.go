package simulation

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// This file holds a simulated scheduler's connections to all workers. It decides which connection carries an attempt, and when
// an idle one is closed.

// Constants of the connections to workers, as in internal/worker.
const (
	healthCheckTimeout = 500 * time.Millisecond
	cancelTimeout      = time.Second
	connGrace          = time.Second // after the end of its attempt, in which a connection waits for a late response
	retireInterval     = time.Second
	minIdleTrust       = 20 * time.Millisecond
	idleTrustGrowth    = 10 * time.Second
	maxIdleTrust       = time.Minute // once idleTrust exceeds this, there is no limit any more

	reuseDelay       = 10 * time.Millisecond // before a connection carries the next attempt
	cancelAttempts   = 4                     // limit on the connections tried for a DELETE
	cancelRetryDelay = 50 * time.Millisecond
)

// Causes of the end of connections and attempts.
var (
	errRefused      = errors.New("connection refused")
	errReset        = errors.New("connection reset")
	errEnded        = errors.New("closed by the worker")
	errTimeout      = errors.New("timed out")
	errNoDescriptor = errors.New("no descriptor left for a worker connection")
	errNoAddress    = errors.New("worker has no address")
	errStatus       = errors.New("response status is not 2xx")
)

// workerConns models the connections to workers of internal/worker. The request table starts attempts through it. Writing
// takes no simulated time: a whole request is written as soon as its connection is established.
type workerConns struct {
	process      *process
	endpoints    map[uint64]*endpointConns
	endpointList []*endpointConns // the endpoints in order of first use; a map's order is random
	conns        map[simapi.Conn]*workerConn
	attemptConns map[*requests.Attempt]*workerConn // until the worker has accepted
	// cancellations are the attempts for which a DELETE is being sent, and how many connections were tried for it.
	cancellations  map[*requests.Attempt]int
	maxConns       int
	idleCount      int           // idle connections, over all endpoints
	evictFrom      int           // index into endpointList at which evictIdle continues
	dialTimeout    time.Duration // within which a connection has to be established
	idleTimeout    time.Duration // after which an idle connection is closed; 0: never
	idleTrust      time.Duration // idle time up to which connections are trusted to be still open; 0: no limit
	idleTrustSetAt time.Duration // when idleTrust was set
}

// endpointConns holds the connections to one worker.
type endpointConns struct {
	worker      uint64
	workerIndex int // the environment's number; -1: unknown
	machine     int // counts the machines that have replaced one another
	addr        string
	startedMs   int64
	incarnation int           // counts processes: connections to earlier ones are not reused
	idle        []*workerConn // the most recently used one last
}

func newWorkerConns(p *process, maxConns int, dialTimeout, idleTimeout time.Duration) *workerConns {
	s := &workerConns{
		process: p, endpoints: map[uint64]*endpointConns{}, conns: map[simapi.Conn]*workerConn{},
		attemptConns: map[*requests.Attempt]*workerConn{}, cancellations: map[*requests.Attempt]int{}, maxConns: maxConns, dialTimeout: dialTimeout, idleTimeout: idleTimeout * 3 / 4,
	}
	s.retire()
	return s
}

// endpoint returns the connections to a worker, and closes idle ones to a process that was replaced.
func (s *workerConns) endpoint(worker uint64) *endpointConns {
	endpoint, now := s.endpoints[worker], s.process.requests.Endpoint(worker)
	if endpoint == nil {
		endpoint = &endpointConns{worker: worker}
		endpoint.workerIndex, endpoint.machine = ParseWorkerID(now.ID)
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

// ParseWorkerID returns the environment's number of the worker with a discovery id, and the number of its machine: "w-12" is
// machine 0 of worker 12, "w-12.1" the machine that replaced it. For any other id, node is -1.
func ParseWorkerID(id string) (node, machine int) {
	digits, ok := strings.CutPrefix(id, "w-")
	digits, replacement, isReplacement := strings.Cut(digits, ".")
	node, err := strconv.Atoi(digits)
	if isReplacement && err == nil {
		machine, err = strconv.Atoi(replacement)
	}
	if !ok || err != nil || node < 0 || machine < 0 {
		return -1, 0
	}
	return node, machine
}

// Start starts an attempt.
func (s *workerConns) Start(a *requests.Attempt) { s.startTask(a.Worker, connTask{taskAttempt, a}) }

// Abandon cancels an attempt. Until the worker has accepted the attempt, it closes the connection; afterwards, it sends a DELETE.
func (s *workerConns) Abandon(a *requests.Attempt) {
	if conn := s.attemptConns[a]; conn != nil {
		conn.closeWith(nil)
	} else if a.Stage == requests.StageAccepted {
		s.Cancel(a)
	}
}

// Cancel sends a DELETE, unless one is being sent.
func (s *workerConns) Cancel(a *requests.Attempt) {
	if a.Stage < requests.StageAccepted { // unlike internal/worker, the model does not wait for it to be accepted
		s.process.requests.CancelUnaccepted(a)
		return
	}
	if _, isSending := s.cancellations[a]; !isSending {
		s.cancellations[a] = 1
		s.startTask(a.Worker, connTask{taskCancel, a})
	}
}

// cancelEnded handles the end of a DELETE. If its connection broke, the DELETE is retried on another one.
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

// CheckHealth sends a worker a health check.
func (s *workerConns) CheckHealth(worker uint64) {
	s.startTask(worker, connTask{kind: taskHealthCheck})
}

// CloseIdleConnections closes the idle connections to a worker.
func (s *workerConns) CloseIdleConnections(worker uint64) {
	endpoint := s.endpoints[worker]
	for endpoint != nil && len(endpoint.idle) > 0 {
		endpoint.idle[0].closeWith(nil)
	}
}

// Watch subscribes to the changes of the endpoint list after a revision; 0: beginning with a snapshot.
func (s *workerConns) Watch(after int64) { s.process.watch(after) }

// retire closes connections that have been idle for too long, and slowly raises idleTrust.
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
	for _, endpoint := range s.endpointList {
		for len(endpoint.idle) > 0 && s.isStale(endpoint.idle[0]) {
			endpoint.idle[0].closeWith(nil)
		}
	}
}

func (s *workerConns) isStale(conn *workerConn) bool {
	age := s.process.now - conn.idleSince
	return s.idleTimeout > 0 && age >= s.idleTimeout || s.idleTrust > 0 && age >= s.idleTrust
}

// reduceTrust lowers idleTrust after a connection that had been idle for the given time broke without a response.
func (s *workerConns) reduceTrust(idle time.Duration) {
	if s.idleTrust == 0 || idle < s.idleTrust {
		s.idleTrust = max(idle/2, minIdleTrust)
	}
	s.idleTrustSetAt = s.process.now
}

// startTask assigns a task to the most recently used idle connection, or to a new one.
func (s *workerConns) startTask(worker uint64, task connTask) {
	endpoint := s.endpoint(worker)
	for i := len(endpoint.idle) - 1; i >= 0; i-- {
		conn := endpoint.idle[i]
		if s.isStale(conn) {
			conn.closeWith(nil)
			continue
		}
		if task.kind == taskAttempt && conn.lastTask == taskAttempt && s.process.now-conn.idleSince < reuseDelay {
			continue
		}
		endpoint.idle = append(endpoint.idle[:i], endpoint.idle[i+1:]...)
		s.idleCount--
		conn.idleFor = max(s.process.now-conn.idleSince, 1)
		conn.assign(task)
		conn.write()
		return
	}
	dialed := &workerConn{conns: s, endpoint: endpoint, incarnation: endpoint.incarnation, state: connConnecting}
	dialed.timer.act = dialed.timedOut
	dialed.assign(task)
	dialed.dial()
}

// evictIdle closes an idle connection of any endpoint. It returns false if there is none.
func (s *workerConns) evictIdle() bool {
	for s.idleCount > 0 {
		s.evictFrom = (s.evictFrom + 1) % len(s.endpointList)
		if endpoint := s.endpointList[s.evictFrom]; len(endpoint.idle) > 0 {
			endpoint.idle[0].closeWith(nil)
			return true
		}
	}
	return false
}

// handleInput processes an input of a connection, if the connection is still open.
func (s *workerConns) handleInput(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.WorkerConnected:
		if conn := s.conns[message.Conn]; conn != nil {
			conn.connected()
		}
	case simapi.WorkerDisconnected:
		if conn := s.conns[message.Conn]; conn != nil {
			conn.disconnected(message.Reset)
		}
	case simapi.ResponseReceived:
		if conn := s.conns[message.Conn]; conn != nil {
			conn.responseReceived(&message)
		}
	}
}
