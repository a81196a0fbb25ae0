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

// The figures of internal/server's stop, and of internal/link's descriptors, memory and patience with discovery.
const (
	stopTimeout         = 3 * time.Second
	stopMargin          = 700 * time.Millisecond
	stopAdmittingBefore = 900 * time.Millisecond
	flushTime           = 300 * time.Millisecond
	finalFlushTime      = 150 * time.Millisecond

	ownDescriptors    = 24
	fullRetryAfter    = time.Second // when to come back to a scheduler that holds all the requests it can
	readyCheckTimeout = 500 * time.Millisecond
	firstLineTimeout  = 4 * time.Second // a call to discovery may wait its turn for a while
	nextLineTimeout   = 3 * time.Second // discovery writes one every 2 s
)

// process is one process of a scheduler, from its start to its end. Its clock is Unix time, as a real one's is.
type process struct {
	scheduler       *Scheduler
	now             time.Duration
	requests        *requests.Table
	workerConns     *workerConns
	timers          deadline.Queue[*timer]
	clients         map[simapi.Conn]*clientConn
	idleClients     clientConn // of the ring of client links without a request, the one idle longest first
	maxClients      int        // client links held at once
	maxRequests     int        // and requests, which is fewer
	bodyBudget      int        // bytes of requests' bodies
	discovery       int
	watching        bool
	watchTimer      timer
	ready           bool // /up answers 200
	listChanged     bool // the endpoint list may have changed
	draining        bool
	rejectsRequests bool              // takes no request any more
	finished        bool              // there is nothing more to stay for
	forwarder       *forwarderProcess // nil: there are no planners
	newRequestIDs   []string          // the calls of the requests taken since the last step, by their numbers from first on
	firstRequest    uint64
}

func newProcess(scheduler *Scheduler, boot *simapi.StartOptions) *process {
	process := &process{scheduler: scheduler, now: scheduler.epoch + scheduler.now, clients: map[simapi.Conn]*clientConn{}, discovery: boot.Discovery, listChanged: true}
	process.idleClients.prev, process.idleClients.next = &process.idleClients, &process.idleClients
	process.watchTimer.act = process.watchLost
	sch := &scheduler.spec.Schedulers
	most := sch.Sockets - ownDescriptors
	servers := max(8, most/6)
	process.maxClients, process.bodyBudget = most-servers, sch.MemoryMB<<20/6
	process.maxRequests = process.maxClients - max(8, process.maxClients/10)
	process.workerConns = newWorkerConns(process, servers, scheduler.settings.ConnectTimeout, scheduler.settings.ConnIdleTimeout)
	seed := boot.Seed
	module := func() requests.Policy {
		if process.forwarder != nil {
			return process.forwarder.newPolicy()
		}
		seed++
		if scheduler.model.Module == nil {
			return dispatch.New(scheduler.settings.Settings, seed)
		}
		return scheduler.model.Module(scheduler.settings.Settings, seed, process)
	}
	if scheduler.levels != nil {
		process.forwarder = newForwarder(process, boot.Name, seed)
	}
	process.requests = requests.New(scheduler.settings.AttemptLimit, scheduler.settings.Names, module, boot.KnownEndpoints, process.workerConns, scheduler.model.logger(scheduler.number))
	if process.forwarder != nil {
		process.forwarder.join()
	}
	return process
}

// handleInput is one thing that has come in.
func (p *process) handleInput(input *simapi.Input) {
	switch input.Kind {
	case simapi.RequestReceived:
		p.requestReceived(input)
	case simapi.ClientClosed:
		if k := p.clients[input.Conn]; k != nil {
			k.clientClosed()
		}
	case simapi.WorkerConnected, simapi.WorkerDisconnected, simapi.ResponseReceived:
		if conn := p.workerConns.conns[input.Conn]; conn != nil {
			conn.handleInput(input)
		}
	case simapi.CallbackReceived:
		p.callbackReceived(input)
	case simapi.ListReceived, simapi.WatchHeartbeat, simapi.WatchConnected:
		if p.watching {
			p.watchReceived(input)
		}
	case simapi.WatchEnded:
		p.watchLost()
	case simapi.Reload:
		p.reload(input.Discovery)
	case simapi.Terminate:
		if !p.draining { // once: a second SIGTERM must not begin the drain anew
			p.drain()
		}
	}
}

// callbackReceived processes a worker's callback, and answers it.
func (p *process) callbackReceived(in *simapi.Input) {
	status := 204
	if _, err := p.requests.HandleCallback(*in.Callback); err != nil {
		status = 400
	}
	p.emit(simapi.Output{Kind: simapi.CallbackAnswered, Worker: in.Worker, CallbackID: in.CallbackID, Status: status})
}

// watchReceived processes an event of the endpoint list watch, and extends the watch's deadline.
func (p *process) watchReceived(in *simapi.Input) {
	if in.Kind == simapi.WatchConnected {
		p.expectWatch(firstLineTimeout)
		return
	}
	p.expectWatch(nextLineTimeout)
	if in.Kind == simapi.ListReceived {
		p.requests.UpdateEndpoints(*in.List)
		p.listChanged = true
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

// runIteration is what ends each turn of the loop: timers, one step of the ledger, and whether there is more to stay for.
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
	if p.listChanged {
		p.listChanged = false
		p.reportReady()
	}
	if p.finished && p.requests.OpenCount() == 0 {
		if p.forwarder != nil {
			p.scheduler.levels.gossip.leave(p.scheduler.number)
		}
		p.emit(simapi.Output{Kind: simapi.Exited})
		return true
	}
	return false
}

// nextAt is when a turn is due at the latest.
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
		kind := simapi.Unready
		if ready {
			kind = simapi.Ready
		}
		p.emit(simapi.Output{Kind: kind})
	}
}

func (p *process) emit(o simapi.Output) {
	o.Scheduler = p.scheduler.number
	p.scheduler.outputs = append(p.scheduler.outputs, o)
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

// watch asks for the watch, and leaves the one before.
func (p *process) watch(after int64) {
	p.watching = true
	p.expectWatch(readyCheckTimeout)
	p.emit(simapi.Output{Kind: simapi.WatchRequested, RetryAfter: time.Duration(after)})
}

// expectWatch gives up the watch if nothing is heard of it for so long.
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

// drain serves on for as long as there is time to, and sees to it that nothing is left unanswered.
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

// close takes no request any more, and ends the client links between requests.
func (p *process) close() {
	p.rejectsRequests = true
	for p.idleClients.next != &p.idleClients {
		p.idleClients.next.close()
	}
}

// ---- Clients ----

// clientConn is a client's connection: the responder of the request in flight on it.
type clientConn struct {
	process    *process
	conn       simapi.Conn
	request    *requests.Request // in hand
	requestID  string
	prev, next *clientConn // among the idle
}

func (p *process) requestReceived(input *simapi.Input) {
	conn := p.clients[input.Conn]
	switch {
	case conn == nil:
		// Requests are fewer than links, so where links run out there is an idle one to make room.
		if len(p.clients) >= p.maxClients && p.idleClients.next != &p.idleClients {
			p.idleClients.next.close()
		}
		conn = &clientConn{process: p, conn: input.Conn}
		p.clients[input.Conn] = conn
	case conn.prev == nil:
		panic("virtual: connection " + strconv.FormatUint(uint64(input.Conn), 16) + " asks again before its answer")
	default:
		conn.removeIdle()
	}
	clientRequest := input.Request
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

// zeroBody is every body: the ledger counts its bytes, and nobody reads it.
var zeroBody [64 << 10]byte

// RespondResult hands on what a worker made.
func (k *clientConn) RespondResult(result []byte) { k.respond(200, 0, string(result)) }

// RespondRejected refuses; the client may come back.
func (k *clientConn) RespondRejected(after time.Duration) {
	k.respond(503, after.Round(time.Millisecond), "")
}

// RespondFailed promises nothing.
func (k *clientConn) RespondFailed() { k.respond(500, 0, "") }

func (k *clientConn) respond(status int, after time.Duration, result string) {
	k.process.emit(simapi.Output{Kind: simapi.ResponseWritten, Conn: k.conn, RequestID: k.requestID, Status: status, RetryAfter: after, Result: result})
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
	k.process.emit(simapi.Output{Kind: simapi.ClientConnClosed, Conn: k.conn})
}

func (k *clientConn) clientClosed() {
	k.removeIdle()
	delete(k.process.clients, k.conn)
	if q := k.request; q != nil {
		k.request = nil
		k.process.requests.ClientDisconnected(q)
	}
}

// ---- What a baseline policy may see: process is its Oracle ----

// WorkerIndex is the environment's number of a worker's machine.
func (p *process) WorkerIndex(worker uint64) (node int, ok bool) {
	node, machine := NodeOf(p.requests.Endpoint(worker).ID)
	all := p.scheduler.spec.Fleet.Workers
	return node + machine*all, node >= 0 && node < all && p.scheduler.model.source != nil
}

// View shows the true state of a machine.
func (p *process) View(node int) environment.View {
	return p.scheduler.model.source.View(p.scheduler.number, node)
}

// Work tells the true work of a request that came in since the last step.
func (p *process) Work(job uint64) (work, slots float64, ok bool) {
	if p.scheduler.model.source == nil || job < p.firstRequest || job-p.firstRequest >= uint64(len(p.newRequestIDs)) {
		return 0, 0, false
	}
	return p.scheduler.model.source.Work(p.newRequestIDs[job-p.firstRequest])
}
