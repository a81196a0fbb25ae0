package link

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

// ---- Sending ----

// stateTransfer sends all state to a successor, and waits for its answer.
type stateTransfer struct {
	loop       *Loop
	successor  *successorConn
	deadline   time.Duration // of the loop's clock
	frameCount int           // sent since TransferBegin
	err        error         // the first; nothing is sent after it

	// What was sent.
	clientConnections []*clientLink
	workerConnections []*serverLink
	requestCount      int
	snapshotSize      int // bytes
}

// run returns nil once the successor has answered TakenOver.
func (t *stateTransfer) run() error {
	t.send(hotrestart.TransferBegin{}, hotrestart.NoDescriptor)
	t.frameCount = 0
	t.sendPolicySnapshot()
	t.sendRequests()
	t.sendClientConnections()
	t.sendWorkerConnections()
	t.send(hotrestart.TransferEnd{FrameCount: t.frameCount}, hotrestart.NoDescriptor)
	if t.err != nil {
		return t.err
	}
	return t.awaitTakenOver()
}

func (t *stateTransfer) send(message hotrestart.Message, descriptor int) {
	if t.err == nil {
		t.err = t.successor.sendMessageBefore(t.deadline, message, descriptor)
		t.frameCount++
	}
}

func (t *stateTransfer) sendPolicySnapshot() {
	snapshot := t.loop.decides.Snapshot(nil)
	t.snapshotSize = len(snapshot)
	for len(snapshot) > 0 {
		size := min(len(snapshot), hotrestart.SnapshotChunkSize)
		t.send(hotrestart.SnapshotChunk(snapshot[:size]), hotrestart.NoDescriptor)
		snapshot = snapshot[size:]
	}
}

func (t *stateTransfer) sendRequests() {
	table, openRequests := t.loop.Ledger.Snapshot()
	t.requestCount = len(openRequests)
	t.send(hotrestart.RequestTable(table), hotrestart.NoDescriptor)
	for _, request := range openRequests {
		t.send(hotrestart.OpenRequest(request), hotrestart.NoDescriptor)
	}
}

func (t *stateTransfer) sendClientConnections() {
	for client := range t.loop.clients.links {
		if !client.lingering {
			t.send(client.transferRecord(), client.FD())
			t.clientConnections = append(t.clientConnections, client)
		}
	}
}

func (t *stateTransfer) sendWorkerConnections() {
	for _, worker := range t.loop.servers.transferable() {
		t.send(worker.transferRecord(), worker.FD())
		t.workerConnections = append(t.workerConnections, worker)
	}
}

// awaitTakenOver reads all that has come before it waits for more: TakenOver may be behind another message.
func (t *stateTransfer) awaitTakenOver() error {
	for {
		message, descriptor, size, err := t.successor.nextMessage(0)
		if errors.Is(err, hotrestart.ErrIncomplete) {
			if err := t.receiveMore(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		closeDescriptor(descriptor) // a successor passes none
		t.successor.Consume(size)
		action, err := t.successor.role.protocol.HandleMessage(message)
		if err != nil || action == hotrestart.ActionRelinquish {
			return err
		}
	}
}

func (t *stateTransfer) receiveMore() error {
	if err := t.successor.waitUntilReady(t.deadline, unix.POLLIN); err != nil {
		return err
	}
	ended, err := t.successor.receive()
	if err != nil || ended {
		return errors.Join(errSuccessorHasClosed, err)
	}
	return nil
}

func (k *clientLink) transferRecord() hotrestart.ClientConnection {
	record := hotrestart.ClientConnection{
		Input:             k.Input(),
		Output:            k.Output(),
		LastRequestRead:   k.last,
		InputConsumed:     k.ended,
		HalfClosed:        k.sounded,
		ContinueSent:      k.continued,
		RequestSeen:       k.spoke,
		UsefulRequestSeen: k.useful,
		ProxyHeaderDone:   k.introduced,
		LastActivity:      k.since,
		ClientAddress:     k.client.String(),
	}
	if k.via.IsValid() {
		record.ProxyAddress = k.via.String()
	}
	for _, slot := range k.turns {
		record.ResponseSlots = append(record.ResponseSlots, slot.transferRecord())
	}
	return record
}

func (t *turn) transferRecord() hotrestart.ResponseSlot {
	record := hotrestart.ResponseSlot{
		KeepAlive:  t.keep,
		Complete:   t.done,
		Status:     t.status,
		Body:       t.body,
		RetryAfter: t.retry,
	}
	if t.query != nil {
		record.RequestID = t.query.ID
	}
	return record
}

// transferable returns the connections that are handed over: those that carry an attempt, and idle ones.
func (s *serverLinks) transferable() []*serverLink {
	var connections []*serverLink
	for _, connection := range s.carried {
		if connection.IsOpen() {
			connections = append(connections, connection)
		}
	}
	for _, endpoint := range s.hosts {
		connections = append(connections, endpoint.idle...)
	}
	return connections
}

func (k *serverLink) transferRecord() hotrestart.WorkerConnection {
	record := hotrestart.WorkerConnection{
		WorkerID:   k.host.id,
		State:      transferredStates[k.state],
		Stage:      k.stage,
		Input:      k.Input(),
		Output:     k.Output(),
		IdleBefore: k.rested,
		IdleSince:  k.idleAt,
	}
	if attempt := k.errand.attempt; k.errand.kind == carrying && attempt != nil {
		record.RequestID, record.Attempt = attempt.Request.ID, attempt.Number
	}
	return record
}

// transferredStates are the states of connections as they are handed over.
var transferredStates = map[linkState]hotrestart.WorkerConnectionState{
	connecting: hotrestart.WorkerConnecting,
	idle:       hotrestart.WorkerIdle,
	asking:     hotrestart.WorkerAwaitingResponse,
}

// ---- Restoring ----

// restoreState goes on with all that a predecessor had. It owns the descriptors.
func (l *Loop) restoreState(received hotrestart.ReceivedState) {
	var clients []*clientLink
	var waiting []waitingSlot
	for _, connection := range received.ClientConnections {
		client, slots := l.clients.restore(connection)
		clients = append(clients, client)
		waiting = append(waiting, slots...)
	}
	responders := map[uint64]requests.Responder{}
	for _, w := range waiting {
		responders[w.requestID] = w.slot
	}
	l.Ledger.TakeOver(l.Now(), received.RequestTable, received.OpenRequests, responders,
		func() requests.Policy { return l.restorePolicy(received.PolicySnapshot) })
	for _, w := range waiting {
		w.slot.query = l.Ledger.Request(w.requestID)
	}
	for _, connection := range received.WorkerConnections {
		l.servers.restore(connection)
	}
	l.Ledger.WatchEndpoints() // the policy that goes on relies on it
	for _, client := range clients {
		if client.IsOpen() { // what was read before is handled now
			l.Protect(client, func() { client.HandleEvents(unix.EPOLLIN) })
		}
	}
}

// restorePolicy returns the policy that goes on from a snapshot, or nil if the snapshot is of no use to this build.
func (l *Loop) restorePolicy(snapshot []byte) requests.Policy {
	if l.wrap == nil {
		return nil
	}
	dispatcher, err := dispatch.Restore(*l.clients.set, snapshot)
	if err != nil {
		l.log.Warn("what the process before had learnt is of no use here", "bytes", len(snapshot), "error", err)
		return nil
	}
	l.decides = dispatcher
	return l.wrap(dispatcher)
}

// waitingSlot is a restored response slot that awaits the outcome of an open request.
type waitingSlot struct {
	slot      *turn
	requestID uint64
}

// restore goes on with a connection of a client. Where that fails, the connection that it returns is closed.
func (c *clientLinks) restore(received hotrestart.ReceivedClientConnection) (*clientLink, []waitingSlot) {
	client := &clientLink{
		home:       c,
		last:       received.LastRequestRead,
		ended:      received.InputConsumed,
		half:       received.HalfClosed,
		sounded:    received.HalfClosed,
		continued:  received.ContinueSent,
		spoke:      received.RequestSeen,
		useful:     received.UsefulRequestSeen,
		introduced: received.ProxyHeaderDone,
		since:      received.LastActivity,
	}
	client.client, _ = netip.ParseAddrPort(received.ClientAddress)
	client.via, _ = netip.ParseAddrPort(received.ProxyAddress)
	events := uint32(eventloop.StreamEvents)
	if client.half {
		events = 0 // its end is known; what is left to read is asked for when the connection is first looked at
	}
	var err error
	if client.Stream, err = c.loop.OpenStream(received.Descriptor, events, client); err != nil {
		c.loop.log.Error("a client link is lost", "error", err)
		client.Stream = eventloop.Stream{}
		_ = unix.Close(received.Descriptor)
		return client, nil
	}
	client.SetBuffers(received.Input, received.Output)
	client.UpdateEvents()
	c.links[client] = struct{}{}
	waiting := client.restoreSlots(received.ResponseSlots)
	client.count()
	if len(client.turns) == 0 && len(client.Input()) == 0 {
		client.rest()
	}
	return client, waiting
}

// restoreSlots returns the slots that await the outcome of an open request.
func (k *clientLink) restoreSlots(records []hotrestart.ResponseSlot) []waitingSlot {
	var waiting []waitingSlot
	for _, record := range records {
		slot := &turn{
			link:   k,
			keep:   record.KeepAlive,
			done:   record.Complete,
			status: record.Status,
			body:   record.Body,
			retry:  record.RetryAfter,
		}
		k.turns = append(k.turns, slot)
		if record.RequestID != 0 {
			waiting = append(waiting, waitingSlot{slot, record.RequestID})
		}
	}
	return waiting
}

// restore goes on with a connection to a worker; one that is of no use any more is closed.
func (s *serverLinks) restore(received hotrestart.ReceivedWorkerConnection) {
	worker, known := s.loop.Ledger.WorkerNumber(received.WorkerID)
	attempt := s.loop.Ledger.InFlightAttempt(received.RequestID, received.Attempt)
	if !known || received.State != hotrestart.WorkerIdle && attempt == nil {
		_ = unix.Close(received.Descriptor)
		return
	}
	endpoint := s.host(worker)
	connection := &serverLink{
		home:   s,
		host:   endpoint,
		epoch:  endpoint.epoch,
		state:  restoredState(received.State),
		errand: errand{kind: withdrawing},
		stage:  received.Stage,
		rested: received.IdleBefore,
		idleAt: received.IdleSince,
	}
	events := uint32(eventloop.StreamEvents)
	if connection.state == connecting {
		events |= unix.EPOLLOUT
	}
	var err error
	if connection.Stream, err = s.loop.OpenStream(received.Descriptor, events, connection); err != nil {
		_ = unix.Close(received.Descriptor)
		if attempt != nil {
			lost := &requests.AttemptError{Stage: received.Stage, Reason: requests.ReasonConnectionLost, Cause: err}
			s.loop.Ledger.EndAttempt(attempt, nil, lost)
		}
		return
	}
	s.open++
	connection.SetBuffers(received.Input, received.Output)
	if connection.state == idle {
		endpoint.idle = append(endpoint.idle, connection)
		return
	}
	connection.restoreAttempt(attempt)
}

func (k *serverLink) restoreAttempt(attempt *requests.Attempt) {
	k.errand = errand{kind: carrying, attempt: attempt}
	k.home.carried[attempt] = k
	if k.state == connecting {
		k.await(k.home.dial)
		return
	}
	k.await(attempt.At - k.home.loop.Now() + graceFor)
	k.UpdateEvents()
}

// restoredState is the reverse of transferredStates.
func restoredState(state hotrestart.WorkerConnectionState) linkState {
	for restored, transferred := range transferredStates {
		if transferred == state {
			return restored
		}
	}
	return asking
}
