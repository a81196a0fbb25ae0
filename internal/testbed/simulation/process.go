package simulation

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// Constants of the real process: the shutdown of internal/server, and the descriptors, memory and discovery timeouts of
// internal/scheduler.
const (
	stopTimeout         = 3 * time.Second        // longer client timeouts don't delay SIGKILL further
	stopMargin          = 700 * time.Millisecond // from the end of the longest client timeout to SIGKILL
	stopAdmittingBefore = 900 * time.Millisecond // before SIGKILL; from then on new requests are rejected
	flushTime           = 300 * time.Millisecond // before SIGKILL; then recent requests and those without an attempt are answered
	finalFlushTime      = 150 * time.Millisecond // before SIGKILL; then all other requests are answered

	ownDescriptors    = 24
	fullRetryAfter    = time.Second // Retry-After of a scheduler at its request limit
	readyCheckTimeout = 500 * time.Millisecond
	firstLineTimeout  = 4 * time.Second // discovery may queue the request for a watch
	nextLineTimeout   = 3 * time.Second // discovery writes a line every 2 s
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
	maxClients      int        // limit on client connections
	maxRequests     int        // limit on open requests, lower than maxClients
	bodyBudget      int        // limit on the bytes of request bodies
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
	limits := &scheduler.spec.Schedulers
	connLimit := limits.Sockets - ownDescriptors
	workerConnLimit := max(8, connLimit/6)
	proc.maxClients, proc.bodyBudget = connLimit-workerConnLimit, limits.MemoryMB<<20/6
	proc.maxRequests = proc.maxClients - max(8, proc.maxClients/10)
	proc.workerConns = newWorkerConns(proc, workerConnLimit, scheduler.settings.ConnectTimeout, scheduler.settings.ConnIdleTimeout)
	seed := start.Seed
	newPolicy := func() requests.Policy {
		if proc.forwarder != nil {
			return proc.forwarder.newPolicy()
		}
		seed++
		if scheduler.model.NewPolicy == nil {
			return dispatch.New(scheduler.settings.Settings, seed)
		}
		return scheduler.model.NewPolicy(scheduler.settings.Settings, seed, proc)
	}
	if scheduler.network != nil {
		proc.forwarder = newForwarder(proc, start.Name, seed)
	}
	proc.requests = requests.New(scheduler.settings.AttemptLimit, scheduler.settings.Names, newPolicy, start.KnownEndpoints, proc.workerConns, scheduler.model.logger(scheduler.number))
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
		if conn := p.clients[message.Conn]; conn != nil {
			conn.clientClosed()
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
		if !p.draining { // a second SIGTERM must not restart the drain
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

// reload switches to another discovery address, if it has changed.
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
			p.scheduler.network.gossip.leave(p.scheduler.number)
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
