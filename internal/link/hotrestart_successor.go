package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

const (
	handshakeTimeout    = 3 * time.Second // an elder that does not say so much serves nobody either
	endpointListTimeout = 2 * time.Second // a list of our own is waited for before we say that we are ready
)

// successorRole is the side of a process that is to replace another one: it stands by, and then takes over.
type successorRole struct {
	frameChannel
	protocol       hotrestart.Successor
	stateDir       string
	listenAddress  netip.AddrPort
	listenerFD     int // the socket that clients connect to, from the elder; -1: not yet
	lastSequence   uint64
	pendingCalls   []forwardedCall // operators' calls that the elder was asked to carry out, in order
	received       receivedState
	handshakeTimer *timer
	startedAt      time.Duration
}

// forwardedCall is an operator's call that another process was asked to carry out.
type forwardedCall struct {
	sequence uint64
	workerID string
	cordoned bool
	respond  func(code int, what string)
}

// receivedState is what has come from an elder so far.
type receivedState struct {
	policySnapshot    []byte
	state             requests.State
	requests          []requests.OpenRequest
	clientConnections []hotrestart.ClientConnection
	workerConnections []hotrestart.WorkerConnection
	descriptors       []int // of the client links, then of the server links
}

// joinPredecessor tells whether there is a process to take over from; this one stands by then.
func (l *Loop) joinPredecessor(dir string, listen netip.AddrPort) bool {
	h := &successorRole{stateDir: dir, listenAddress: listen, listenerFD: -1, startedAt: l.now}
	h.loop = l
	if h.connect() != nil {
		return false
	}
	l.successorRole = h
	l.divide(true)
	l.Ledger.WatchEndpoints() // at once: the first call of one of many may wait a while, and what it is told binds soon
	return true
}

// connect opens the talk with the elder.
func (h *successorRole) connect() error {
	l := h.loop
	fd, err := dialPredecessor(successorAddresses(h.stateDir, h.listenAddress))
	if err != nil {
		return err
	}
	if !isPeerOwnUser(fd) {
		_ = unix.Close(fd)
		l.log.Warn("another user's process has the place of the one to be replaced, and is left alone")
		return unix.EPERM
	}
	if h.stream, err = l.stream(fd, streamEvents, h); err != nil {
		h.stream = stream{loop: l, closed: true}
		_ = unix.Close(fd)
		return err
	}
	if err := h.sendFrame(hotrestart.KindHandshake, hotrestart.Handshake{Version: hotrestart.ProtocolVersion}); err != nil {
		h.closeWithDescriptors()
		return err
	}
	h.handshakeTimer = l.after(handshakeTimeout, h, func() { h.handleDisconnect(errors.New("it does not say a word")) })
	return nil
}

// notReadyReason tells what an heir still waits for.
func (h *successorRole) notReadyReason() string {
	switch {
	case h.protocol.State() == hotrestart.SuccessorJoining:
		return "the process to be replaced has not answered"
	case h.protocol.State() == hotrestart.SuccessorStandby && !h.loop.watch.receivedEvent && h.loop.now-h.startedAt < endpointListTimeout:
		return "no word from discovery yet"
	}
	return ""
}

func (h *successorRole) broken() { h.handleDisconnect(errors.New("panic")) }

func (h *successorRole) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := h.flush(); err != nil {
			h.handleDisconnect(err)
			return
		}
	}
	// What it brings at a hand-over nobody is served meanwhile: it is taken in at once.
	for !h.closed {
		before := len(h.in)
		ended, err := h.frameChannel.receive()
		read := len(h.in) > before
		at := 0
		for err == nil {
			var f hotrestart.Frame
			var fd, n int
			f, fd, n, err = h.nextFrameAt(at)
			if errors.Is(err, hotrestart.ErrIncomplete) {
				err = nil
				break
			}
			if err == nil {
				at += n
				err = h.handleFrame(f, fd)
			}
		}
		if h.closed {
			return
		}
		if h.took(at); err != nil || ended {
			h.handleDisconnect(err)
			return
		}
		if !read {
			return
		}
	}
}

// nextFrameAt is next, further on in what has come.
func (h *successorRole) nextFrameAt(at int) (hotrestart.Frame, int, int, error) {
	whole := h.in
	h.in = whole[at:]
	f, fd, n, err := h.nextFrame()
	h.in = whole
	return f, fd, n, err
}

// handleFrame takes in what the elder says.
func (h *successorRole) handleFrame(f hotrestart.Frame, fd int) (err error) {
	defer func() {
		if err != nil && fd >= 0 {
			_ = unix.Close(fd)
		}
	}()
	step, err := h.protocol.HandleFrame(f)
	if err != nil {
		return err
	}
	switch step {
	case hotrestart.ActionGiveUp:
		var d hotrestart.Reject
		_ = f.Decode(&d)
		h.loop.onFail(fmt.Errorf("the process that serves turns this one away: %s", d.Reason))
		return nil
	case hotrestart.ActionTakeOver:
		return h.takeOver()
	}
	switch f.Kind {
	case hotrestart.KindAccept:
		var w hotrestart.Accept
		if err := f.Decode(&w); err != nil {
			return err
		}
		h.loop.stop(h.handshakeTimer)
		h.discardReceived() // of a talk before
		h.listenerFD = fd
		h.loop.Ledger.SetCordoned(w.CordonedWorkers)
		for _, call := range h.pendingCalls {
			if err := h.sendFrame(hotrestart.KindSetCordon, hotrestart.SetCordon{Sequence: call.sequence, WorkerID: call.workerID, Cordoned: call.cordoned}); err != nil {
				return err
			}
		}
		h.loop.log.Info("standing by", "out", strings.Join(w.CordonedWorkers, " "))
	case hotrestart.KindCordonedWorkers:
		var b hotrestart.CordonedWorkers
		if err := f.Decode(&b); err != nil {
			return err
		}
		h.loop.Ledger.SetCordoned(b.WorkerIDs)
	case hotrestart.KindCordonResult:
		var b hotrestart.CordonResult
		if err := f.Decode(&b); err != nil {
			return err
		}
		if len(h.pendingCalls) > 0 && h.pendingCalls[0].sequence == b.Sequence { // they are answered in order
			call := h.pendingCalls[0]
			h.pendingCalls = h.pendingCalls[1:]
			call.respond(b.StatusCode, b.Message)
		}
	case hotrestart.KindSetCordon: // the elder was called after it had handed over
		var b hotrestart.SetCordon
		if err := f.Decode(&b); err != nil {
			return err
		}
		h.loop.ban(b.WorkerID, b.Cordoned, func(code int, what string) {
			if !h.closed {
				_ = h.sendFrame(hotrestart.KindCordonResult, hotrestart.CordonResult{Sequence: b.Sequence, StatusCode: code, Message: what})
			}
		})
	case hotrestart.KindSnapshotChunk:
		h.received.policySnapshot = append(h.received.policySnapshot, f.Body...)
	case hotrestart.KindRequestTable:
		return f.Decode(&h.received.state)
	case hotrestart.KindOpenRequest:
		var q requests.OpenRequest
		if err := f.Decode(&q); err != nil {
			return err
		}
		h.received.requests = append(h.received.requests, q)
	case hotrestart.KindClientConnection:
		var c hotrestart.ClientConnection
		if err := f.Decode(&c); err != nil {
			return err
		}
		h.received.clientConnections = append(h.received.clientConnections, c)
		h.received.descriptors = append(h.received.descriptors, fd)
	case hotrestart.KindWorkerConnection:
		var s hotrestart.WorkerConnection
		if err := f.Decode(&s); err != nil {
			return err
		}
		h.received.workerConnections = append(h.received.workerConnections, s)
		h.received.descriptors = append(h.received.descriptors, fd)
	}
	return nil
}

// takeOver makes this process the owner of all that has come. It says so first: from here on the elder lets go, and nothing
// below can fail but by ending this process.
func (h *successorRole) takeOver() error {
	l, c := h.loop, h.received
	if len(c.descriptors) != len(c.clientConnections)+len(c.workerConnections) {
		return errors.New("not all descriptors have come")
	}
	if err := h.sendFrame(hotrestart.KindTakenOver, nil); err != nil {
		return err
	}
	h.protocol.TookOver()
	h.received = receivedState{}
	l.takeOver(c)
	h.startServing()
	l.log.Info("taken over", "queries", len(c.requests), "client_links", len(c.clientConnections), "server_links", len(c.workerConnections))
	return nil
}

// LeaveStandby has a process that stands by leave the one that serves alone, and tells whether it was one: it has nothing to
// stay for.
func (l *Loop) LeaveStandby() bool {
	h := l.successorRole
	if h == nil || h.protocol.State() == hotrestart.SuccessorServing {
		return false
	}
	l.stop(h.handshakeTimer)
	h.closeWithDescriptors()
	h.discardReceived()
	l.successorRole = nil
	return true
}

// discardReceived lets go of what an elder has sent.
func (h *successorRole) discardReceived() {
	for _, fd := range h.received.descriptors {
		_ = unix.Close(fd)
	}
	if h.received = (receivedState{}); h.listenerFD >= 0 {
		_ = unix.Close(h.listenerFD)
		h.listenerFD = -1
	}
}

// startServing takes the elder's place: clients connect here from now on, and the next heir comes here.
func (h *successorRole) startServing() {
	l := h.loop
	if h.listenerFD < 0 {
		fd, err := l.listen(h.listenAddress, l.clients, unix.SO_REUSEPORT)
		if err != nil {
			l.onFail(err)
			return
		}
		l.clients.fd = fd
	} else if l.clients.fd = h.listenerFD; l.add(h.listenerFD, unix.EPOLLIN, l.clients) != nil {
		h.loop.onFail(errors.New("the socket that clients connect to can't be used"))
		return
	}
	h.listenerFD = -1
	l.awaitSuccessor(successorAddresses(h.stateDir, h.listenAddress))
	l.divide(false)
	asked := h.pendingCalls // the elder may have carried them out, or not: both ways they hold from here on
	h.pendingCalls = nil
	for _, call := range asked {
		l.ban(call.workerID, call.cordoned, call.respond)
	}
}

// handleDisconnect takes in that the elder has gone, or makes no sense.
func (h *successorRole) handleDisconnect(cause error) {
	if h.closed {
		return
	}
	l := h.loop
	l.stop(h.handshakeTimer)
	step := h.protocol.HandleDisconnect()
	for _, fd := range h.received.descriptors {
		_ = unix.Close(fd)
	}
	h.received = receivedState{}
	h.closeWithDescriptors()
	if step == hotrestart.ActionReconnect {
		if h.connect() == nil { // it lives, and has what it had: beside it we would get the call-backs that are meant for it
			l.log.Warn("the talk with the process to be replaced has broken off, and begins anew", "cause", cause)
			return
		}
		step = h.protocol.HandleDisconnect()
	}
	if l.successorRole = nil; step == hotrestart.ActionNone {
		h.discardReceived()
		return
	}
	// It died, or never got so far: what outlives it is in the file.
	out, err := hotrestart.ReadCordonFile(h.stateDir)
	if err != nil {
		l.log.Error("worker nodes out by hand can't be read", "error", err)
	} else {
		l.Ledger.SetCordoned(out)
	}
	l.log.Warn("the process to be replaced has gone: serving without what it had", "cause", cause)
	h.startServing()
}

// forwardCordon has the elder set or end a ban.
func (h *successorRole) forwardCordon(id string, out bool, done func(code int, what string)) {
	h.lastSequence++
	h.pendingCalls = append(h.pendingCalls, forwardedCall{h.lastSequence, id, out, done})
	if h.sendFrame(hotrestart.KindSetCordon, hotrestart.SetCordon{Sequence: h.lastSequence, WorkerID: id, Cordoned: out}) != nil {
		h.handleDisconnect(errors.New("it does not listen"))
	}
}

// ---- What is handed over ----

// takeOver goes on with all that an elder had.
func (l *Loop) takeOver(c receivedState) {
	askers := map[uint64]requests.Responder{}
	links := make([]*clientLink, len(c.clientConnections))
	for i, r := range c.clientConnections {
		links[i] = l.clients.restore(c.descriptors[i], r, askers)
	}
	l.Ledger.TakeOver(l.now, c.state, c.requests, askers, func() requests.Policy { return l.restorePolicy(c.policySnapshot) })
	for _, k := range links {
		for _, t := range k.turns {
			if t.asked != 0 {
				t.query, t.asked = l.Ledger.Request(t.asked), 0
			}
		}
	}
	for i, r := range c.workerConnections {
		l.servers.restore(c.descriptors[len(c.clientConnections)+i], r)
	}
	l.Ledger.WatchEndpoints() // the module that goes on believes that the host group is watched
	for _, k := range links { // what had come in before is read now
		if !k.closed {
			l.guard(k, func() { k.ready(unix.EPOLLIN) })
		}
	}
}

// restorePolicy makes the module that goes on from a state; nil: the state is of no use to this build.
func (l *Loop) restorePolicy(state []byte) requests.Policy {
	if l.wrap == nil {
		return nil
	}
	d, err := dispatch.Restore(*l.clients.set, state)
	if err != nil {
		l.log.Warn("what the process before had learnt is of no use here", "bytes", len(state), "error", err)
		return nil
	}
	l.decides = d
	return l.wrap(d)
}

func (k *clientLink) transferRecord() hotrestart.ClientConnection {
	r := hotrestart.ClientConnection{Input: k.in, Output: k.out, LastRequestRead: k.last, InputConsumed: k.ended, HalfClosed: k.sounded, ContinueSent: k.continued,
		RequestSeen: k.spoke, UsefulRequestSeen: k.useful, ProxyHeaderDone: k.introduced, LastActivity: k.since, ClientAddress: k.client.String()}
	if k.via.IsValid() {
		r.ProxyAddress = k.via.String()
	}
	for _, t := range k.turns {
		x := hotrestart.ResponseSlot{KeepAlive: t.keep, Complete: t.done, Status: t.status, Body: t.body, RetryAfter: t.retry}
		if t.query != nil {
			x.RequestID = t.query.ID
		}
		r.ResponseSlots = append(r.ResponseSlots, x)
	}
	return r
}

// restore makes a link of a connection that another process had.
func (c *clientLinks) restore(fd int, r hotrestart.ClientConnection, askers map[uint64]requests.Responder) *clientLink {
	k := &clientLink{home: c, last: r.LastRequestRead, ended: r.InputConsumed, half: r.HalfClosed, sounded: r.HalfClosed, continued: r.ContinueSent, spoke: r.RequestSeen, useful: r.UsefulRequestSeen,
		introduced: r.ProxyHeaderDone, since: r.LastActivity}
	k.client, _ = netip.ParseAddrPort(r.ClientAddress)
	k.via, _ = netip.ParseAddrPort(r.ProxyAddress)
	events := uint32(streamEvents)
	if k.half { // else it is told anew
		events = 0 // what is left to read, if anything is, is asked for with the first look at it
	}
	var err error
	if k.stream, err = c.loop.stream(fd, events, k); err != nil {
		c.loop.log.Error("a client link is lost", "error", err)
		k.stream = stream{loop: c.loop, fd: fd, closed: true}
		_ = unix.Close(fd)
		return k
	}
	k.in, k.out = r.Input, r.Output
	k.want()
	c.links[k] = struct{}{}
	for _, x := range r.ResponseSlots {
		t := &turn{link: k, keep: x.KeepAlive, done: x.Complete, status: x.Status, body: x.Body, retry: x.RetryAfter, asked: x.RequestID}
		k.turns = append(k.turns, t)
		if x.RequestID != 0 {
			askers[x.RequestID] = t
		}
	}
	if k.count(); len(k.turns) == 0 && len(k.in) == 0 {
		k.rest()
	}
	return k
}

// transferable are the links that a hand-over takes along: those that carry an attempt, and idle ones.
func (s *serverLinks) transferable() (links []*serverLink) {
	for _, k := range s.carried {
		if !k.closed && k.loop != nil {
			links = append(links, k)
		}
	}
	for _, h := range s.hosts {
		links = append(links, h.idle...)
	}
	return links
}

func (k *serverLink) transferRecord() hotrestart.WorkerConnection {
	r := hotrestart.WorkerConnection{WorkerID: k.host.id, State: int(k.state), Stage: k.stage, Input: k.in, Output: k.out, IdleBefore: k.rested,
		IdleSince: k.idleAt}
	if k.errand.kind == carrying && k.errand.attempt != nil {
		r.RequestID, r.Attempt = k.errand.attempt.Request.ID, k.errand.attempt.Number
	}
	return r
}

// restore makes a link of a connection that another process had to a worker node.
func (s *serverLinks) restore(fd int, r hotrestart.WorkerConnection) {
	worker, known := s.loop.Ledger.WorkerNumber(r.WorkerID)
	a := s.loop.Ledger.InFlightAttempt(r.RequestID, r.Attempt)
	if !known || linkState(r.State) != idle && a == nil {
		_ = unix.Close(fd)
		return
	}
	h := s.host(worker)
	k := &serverLink{home: s, host: h, epoch: h.epoch, state: linkState(r.State), stage: r.Stage, rested: r.IdleBefore, idleAt: r.IdleSince}
	k.errand = errand{kind: withdrawing}
	events := uint32(streamEvents)
	if k.state == connecting {
		events |= unix.EPOLLOUT
	}
	var err error
	if k.stream, err = s.loop.stream(fd, events, k); err != nil {
		_ = unix.Close(fd)
		if a != nil {
			s.loop.Ledger.EndAttempt(a, nil, &requests.AttemptError{Stage: r.Stage, Reason: requests.ReasonConnectionLost, Cause: err})
		}
		return
	}
	s.open++
	k.in, k.out = r.Input, r.Output
	switch k.state {
	case idle:
		h.idle = append(h.idle, k)
	case connecting:
		k.errand = errand{kind: carrying, attempt: a}
		s.carried[a] = k
		k.await(s.dial)
	default:
		k.errand = errand{kind: carrying, attempt: a}
		s.carried[a] = k
		k.await(a.At - s.loop.now + graceFor)
		k.want()
	}
}
