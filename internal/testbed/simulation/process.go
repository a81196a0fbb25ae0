package simulation

import (
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/environment"
	"valvecove/internal/testbed/simapi"
)

// Constants of the real process: the shutdown of internal/server, and the descriptors, memory and discovery timeouts of
// internal/scheduler.
const (
	stopTimeout         = 3 * time.Second
	stopMargin          = 700 * time.Millisecond
	stopAdmittingBefore = 900 * time.Millisecond
	flushTime           = 300 * time.Millisecond
	finalFlushTime      = 150 * time.Millisecond

	ownDescriptors    = 24
	fullRetryAfter    = time.Second // Retry-After of a scheduler at its request limit
	readyCheckTimeout = 500 * time.Millisecond
	firstLineTimeout  = 4 * time.Second // a call to discovery may be queued
	nextLineTimeout   = 3 * time.Second // discovery writes one every 2 s
)

// process is one process of a scheduler, from its start to its end. Its clock is Unix time.
type process struct {
	scheduler       *Scheduler
	now             time.Duration
	requests        *requests.Table
	workerConns     *workerConns
	timers          deadline.Queue[*timer]
	clients         map[simapi.Conn]*clientConn
	idleClients     clientConn // head of the ring of idle client connections, the longest idle first
	maxClients      int        // limit of client connections
	maxRequests     int        // limit of open requests, which is lower
	bodyBudget      int        // limit of the bytes of request bodies
	discovery       int
	watching        bool
	watchTimer      timer
	ready           bool // /up answers 200
	listChanged     bool // the endpoint list may have changed
	draining        bool
	rejectsRequests bool              // new requests are rejected
	finished        bool              // the process exits once no request is open
	forwarder       *forwarderProcess // nil: there are no planners
	peers           *peerSocket       // nil: schedulers send each other nothing
	newRequestIDs   []string          // of the requests admitted since the last step, the first of which is firstRequest
	firstRequest    uint64
}

func newProcess(scheduler *Scheduler, start *simapi.Start) *process {
	proc := &process{scheduler: scheduler, now: scheduler.epoch + scheduler.now, clients: map[simapi.Conn]*clientConn{}, discovery: start.Discovery, listChanged: true}
	proc.idleClients.prev, proc.idleClients.next = &proc.idleClients, &proc.idleClients
	proc.watchTimer.act = proc.watchLost
	sch := &scheduler.spec.Schedulers
	most := sch.Sockets - ownDescriptors
	servers := max(8, most/6)
	proc.maxClients, proc.bodyBudget = most-servers, sch.MemoryMB<<20/6
	proc.maxRequests = proc.maxClients - max(8, proc.maxClients/10)
	proc.workerConns = newWorkerConns(proc, servers, scheduler.settings.ConnectTimeout, scheduler.settings.ConnIdleTimeout)
	seed := start.Seed
	module := func() requests.Policy {
		if proc.forwarder != nil {
			return proc.forwarder.newPolicy()
		}
		seed++
		if scheduler.model.Module == nil {
			return dispatch.New(scheduler.settings.Settings, seed)
		}
		return scheduler.model.Module(scheduler.settings.Settings, seed, proc)
	}
	if scheduler.levels != nil {
		proc.forwarder = newForwarder(proc, start.Name, seed)
	}
	proc.requests = requests.New(scheduler.settings.AttemptLimit, scheduler.settings.Names, module, start.KnownEndpoints, proc.workerConns, scheduler.model.logger(scheduler.number))
	if proc.forwarder != nil {
		proc.forwarder.join()
	}
	if scheduler.settings.PeerMessages {
		proc.peers = newPeerSocket(proc)
	}
	return proc
}

// handleInput processes an input of the environment.
func (p *process) handleInput(input simapi.InputMessage) {
	switch message := input.(type) {
	case simapi.RequestReceived:
		p.requestReceived(message.Conn, message.Request)
	case simapi.ClientClosed:
		if k := p.clients[message.Conn]; k != nil {
			k.clientClosed()
		}
	case simapi.WorkerConnected, simapi.WorkerDisconnected, simapi.ResponseReceived:
		p.workerConns.handleInput(input)
	case simapi.CallbackReceived:
		p.callbackReceived(&message)
	case simapi.ListReceived, simapi.WatchHeartbeat, simapi.WatchConnected, simapi.WatchEnded:
		p.watchReceived(input)
	case simapi.DatagramReceived:
		if p.peers != nil {
			p.peers.receive(&message)
		}
	case simapi.Reload:
		p.reload(message.Discovery)
	case simapi.Terminate:
		if !p.draining { // once: a second SIGTERM must not begin the drain anew
			p.drain()
		}
	}
}

// callbackReceived processes a worker's callback, and answers it.
func (p *process) callbackReceived(message *simapi.CallbackReceived) {
	status := 204
	if _, err := p.requests.HandleCallback(*message.Callback); err != nil {
		status = 400
	}
	p.emit(simapi.CallbackAnswered{Worker: message.Worker, CallbackID: message.CallbackID, Status: status})
}

// watchReceived processes an event of the endpoint list watch, if there is one, and extends the watch's deadline.
func (p *process) watchReceived(input simapi.InputMessage) {
	if !p.watching {
		return
	}
	switch message := input.(type) {
	case simapi.WatchConnected:
		p.expectWatch(firstLineTimeout)
	case simapi.WatchHeartbeat:
		p.expectWatch(nextLineTimeout)
	case simapi.ListReceived:
		p.expectWatch(nextLineTimeout)
		p.requests.UpdateEndpoints(*message.List)
		p.listChanged = true
	case simapi.WatchEnded:
		p.watchLost()
	}
}

// reload applies a changed discovery address.
func (p *process) reload(discovery int) {
	if discovery == p.discovery {
		return
	}
	p.discovery = discovery
	p.requests.ResetRevision()
	p.watch(0)
}

// runIteration runs due timers and one step of the request table, and reports whether the process has exited.
func (p *process) runIteration() (exited bool) {
	if p.forwarder != nil {
		p.forwarder.beforeStep(p.scheduler.pendingMessages)
		clear(p.scheduler.pendingMessages)
		p.scheduler.pendingMessages = p.scheduler.pendingMessages[:0]
	}
	for p.timers.Len() > 0 && p.timers.First().At <= p.now {
		t := p.timers.First()
		p.timers.Remove(t)
		t.act()
	}
	if at, ok := p.requests.NextStep(); ok && at <= p.now {
		p.requests.Step(p.now)
		p.newRequestIDs = p.newRequestIDs[:0]
	}
	if p.forwarder != nil {
		p.forwarder.afterStep()
	}
	if p.peers != nil {
		p.peers.flush()
	}
	if p.listChanged {
		p.listChanged = false
		p.reportReady()
	}
	if p.finished && p.requests.OpenCount() == 0 {
		if p.forwarder != nil {
			p.scheduler.levels.gossip.leave(p.scheduler.number)
		}
		p.emit(simapi.Exited{})
		return true
	}
	return false
}

// nextAt returns the latest time of the next iteration.
func (p *process) nextAt() (at time.Duration, ok bool) {
	at, ok = p.requests.NextStep()
	if p.timers.Len() > 0 && (!ok || p.timers.First().At < at) {
		at, ok = p.timers.First().At, true
	}
	if p.forwarder != nil {
		if t := p.forwarder.members.Next(); t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}

func (p *process) reportReady() {
	if ready := !p.draining && p.requests.HasReadyWorker(); ready != p.ready {
		p.ready = ready
		if ready {
			p.emit(simapi.Ready{})
		} else {
			p.emit(simapi.Unready{})
		}
	}
}

func (p *process) emit(message simapi.OutputMessage) {
	p.scheduler.outputs = append(p.scheduler.outputs, simapi.Output{Scheduler: p.scheduler.number, Message: message})
}

func (p *process) newConn() simapi.Conn {
	p.scheduler.connCount++
	return simapi.WorkerConn(p.scheduler.number, p.scheduler.connCount)
}

// ---- Timers ----

func (p *process) start(t *timer, span time.Duration) {
	t.At = p.now + span
	p.timers.Add(t)
}

func (p *process) stop(t *timer) { p.timers.Remove(t) }

func (p *process) after(span time.Duration, act func()) { p.start(&timer{act: act}, span) }

// ---- Discovery ----

// watch subscribes to the endpoint list, and replaces the watch before.
func (p *process) watch(after int64) {
	p.watching = true
	p.expectWatch(readyCheckTimeout)
	p.emit(simapi.WatchRequested{Revision: after})
}

// expectWatch sets the time within which the watch has to send something.
func (p *process) expectWatch(within time.Duration) {
	p.stop(&p.watchTimer)
	p.start(&p.watchTimer, within)
}

func (p *process) watchLost() {
	if p.watching {
		p.watching = false
		p.stop(&p.watchTimer)
		p.requests.DiscoveryFailed()
	}
}

// ---- Stopping ----

// drain goes on serving until shortly before the process would be killed, and then answers every open request.
func (p *process) drain() {
	p.draining, p.listChanged = true, true
	killed := stopMargin
	for _, c := range p.scheduler.settings.Classes {
		killed = max(killed, stopMargin+min(c.ClientTimeout, stopTimeout))
	}
	p.after(max(killed-stopAdmittingBefore, killed/2), p.close)
	p.after(killed-flushTime, func() {
		p.requests.CloseSince(p.now - (killed - flushTime - stopMargin))
		p.requests.RejectQueued()
	})
	p.after(killed-finalFlushTime, func() { p.requests.CloseSince(0) })
	p.after(killed, func() { p.finished = true })
}

// close rejects new requests, and closes idle client connections.
func (p *process) close() {
	p.rejectsRequests = true
	for p.idleClients.next != &p.idleClients {
		p.idleClients.next.close()
	}
}

// ---- Clients ----

// clientConn is a client's connection, and the responder of the request in flight on it.
type clientConn struct {
	process    *process
	conn       simapi.Conn
	request    *requests.Request // in flight; nil: none
	requestID  string
	prev, next *clientConn // in the ring of idle connections
}

func (p *process) requestReceived(id simapi.Conn, clientRequest *simapi.ClientRequest) {
	conn := p.clients[id]
	switch {
	case conn == nil:
		// Fewer requests than connections are allowed, so at the limit there is an idle connection to close.
		if len(p.clients) >= p.maxClients && p.idleClients.next != &p.idleClients {
			p.idleClients.next.close()
		}
		conn = &clientConn{process: p, conn: id}
		p.clients[id] = conn
	case conn.prev == nil:
		panic("simulation: connection " + strconv.FormatUint(uint64(id), 16) + " asks again before its answer")
	default:
		conn.removeIdle()
	}
	conn.requestID = clientRequest.RequestID
	switch {
	case p.rejectsRequests:
		conn.respond(503, 0, "")
		return
	case p.requests.OpenCount() >= p.maxRequests || p.requests.PayloadBytes()+clientRequest.BodyLength > p.bodyBudget:
		conn.respond(503, min(fullRetryAfter, p.scheduler.settings.MaxRetryAfter), "")
		return
	}
	request, err := p.requests.Admit(p.now, requests.Arrival{
		CallID: clientRequest.RequestID, Responder: conn,
		Job: dispatch.Job{
			Class: clientRequest.Class, Tenant: clientRequest.Tenant, Remaining: clientRequest.Budget.Truncate(time.Millisecond),
			Hint: clientRequest.CostHint.Truncate(time.Microsecond), Slots: max(1, clientRequest.Slots), Retry: clientRequest.Retry,
		},
		Payload: requests.Payload{Method: "POST", IdempotencyKey: clientRequest.IdempotencyKey, Body: zeroBody[:min(clientRequest.BodyLength, len(zeroBody))]},
	})
	if err != nil {
		conn.respond(409, 0, "")
		return
	}
	conn.request = request
	if len(p.newRequestIDs) == 0 {
		p.firstRequest = request.ID
	}
	p.newRequestIDs = append(p.newRequestIDs, clientRequest.RequestID)
}

// zeroBody backs every request body: only its length counts.
var zeroBody [64 << 10]byte

// RespondResult responds with a worker's result.
func (k *clientConn) RespondResult(result []byte) { k.respond(200, 0, string(result)) }

// RespondRejected rejects the request; the client may retry after the given time.
func (k *clientConn) RespondRejected(after time.Duration) {
	k.respond(503, after.Round(time.Millisecond), "")
}

// RespondFailed responds that the request has failed, possibly after it was executed.
func (k *clientConn) RespondFailed() { k.respond(500, 0, "") }

func (k *clientConn) respond(status int, after time.Duration, result string) {
	k.process.emit(simapi.ResponseWritten{Conn: k.conn, RequestID: k.requestID, Status: status, RetryAfter: after, Result: result})
	k.request = nil
	if k.process.rejectsRequests {
		k.close()
		return
	}
	last := k.process.idleClients.prev
	k.prev, k.next = last, &k.process.idleClients
	last.next, k.process.idleClients.prev = k, k
}

func (k *clientConn) removeIdle() {
	if k.prev != nil {
		k.prev.next, k.next.prev = k.next, k.prev
		k.prev, k.next = nil, nil
	}
}

func (k *clientConn) close() {
	k.removeIdle()
	delete(k.process.clients, k.conn)
	k.process.emit(simapi.ClientConnClosed{Conn: k.conn})
}

func (k *clientConn) clientClosed() {
	k.removeIdle()
	delete(k.process.clients, k.conn)
	if q := k.request; q != nil {
		k.request = nil
		k.process.requests.ClientDisconnected(q)
	}
}

// ---- The oracle of baseline policies ----

// WorkerIndex returns the environment's number of a worker's machine; ok is false if it is unknown.
func (p *process) WorkerIndex(worker uint64) (node int, ok bool) {
	node, machine := NodeOf(p.requests.Endpoint(worker).ID)
	all := p.scheduler.spec.Fleet.Workers
	return node + machine*all, node >= 0 && node < all && p.scheduler.model.source != nil
}

// View returns the true state of a machine.
func (p *process) View(node int) environment.View {
	return p.scheduler.model.source.View(p.scheduler.number, node)
}

// Work returns the true work of a request that was admitted since the last step; ok is false for any other.
func (p *process) Work(job uint64) (work, slots float64, ok bool) {
	if p.scheduler.model.source == nil || job < p.firstRequest || job-p.firstRequest >= uint64(len(p.newRequestIDs)) {
		return 0, 0, false
	}
	return p.scheduler.model.source.Work(p.newRequestIDs[job-p.firstRequest])
}
