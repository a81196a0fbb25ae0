package link

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/clock"
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
	clientConnections     []*clientConnection
	workerConnectionCount int
	requestCount          int
	snapshotSize          int // bytes
}

// run returns nil once the successor has answered TakenOver.
func (t *stateTransfer) run() error {
	t.send(hotrestart.TransferBegin(t.loop.readClocks()), hotrestart.NoDescriptor)
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

// readClocks reads at one moment the loop's clock and the one that it shares with the other process.
func (l *Loop) readClocks() hotrestart.ClockReadings {
	reading, monotonic := clock.Together(l.Clock, l.monotonic)
	return hotrestart.ClockReadings{Clock: reading, Monotonic: monotonic}
}

func (t *stateTransfer) send(message hotrestart.Message, descriptor int) {
	if t.err == nil {
		t.err = t.successor.sendMessageBefore(t.deadline, message, descriptor)
		t.frameCount++
	}
}

func (t *stateTransfer) sendPolicySnapshot() {
	snapshot := t.loop.dispatcher.Snapshot(nil)
	t.snapshotSize = len(snapshot)
	for len(snapshot) > 0 {
		size := min(len(snapshot), hotrestart.SnapshotChunkSize)
		t.send(hotrestart.SnapshotChunk(snapshot[:size]), hotrestart.NoDescriptor)
		snapshot = snapshot[size:]
	}
}

func (t *stateTransfer) sendRequests() {
	table, openRequests := t.loop.Requests.Snapshot()
	t.requestCount = len(openRequests)
	t.send(hotrestart.RequestTable(table), hotrestart.NoDescriptor)
	for _, request := range openRequests {
		t.send(hotrestart.OpenRequest(request), hotrestart.NoDescriptor)
	}
}

func (t *stateTransfer) sendClientConnections() {
	for client := range t.loop.clients.connections {
		if client.phase != clientLingering {
			t.send(client.transferRecord(), client.FD())
			t.clientConnections = append(t.clientConnections, client)
		}
	}
}

func (t *stateTransfer) sendWorkerConnections() {
	for _, connection := range t.loop.workers.Snapshot() {
		t.send(connection.WorkerConnection, connection.Descriptor)
		t.workerConnectionCount++
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
		t.loop.closeDescriptor(descriptor) // a successor passes none
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
	if errors.Is(err, errInputDelayed) {
		time.Sleep(shortageWait) // up to the deadline
		return nil
	}
	if err != nil || ended {
		return errors.Join(errSuccessorHasClosed, err)
	}
	return nil
}

func (k *clientConnection) transferRecord() hotrestart.ClientConnection {
	record := hotrestart.ClientConnection{
		Input:             k.Input(),
		Output:            k.Output(),
		LastRequestRead:   !k.isReading(),
		InputConsumed:     k.inputEnded,
		HalfClosed:        k.halfCloseProbed,
		ContinueSent:      k.continueSent,
		RequestSeen:       k.history != historyNoRequest,
		UsefulRequestSeen: k.history == historyUsefulRequest,
		ProxyHeaderDone:   k.proxyHeaderDone,
		LastActivity:      k.lastActivity,
		ClientAddress:     k.clientAddress.String(),
	}
	if k.proxyAddress.IsValid() {
		record.ProxyAddress = k.proxyAddress.String()
	}
	for _, slot := range k.slots {
		record.ResponseSlots = append(record.ResponseSlots, slot.transferRecord())
	}
	return record
}

func (t *responseSlot) transferRecord() hotrestart.ResponseSlot {
	record := hotrestart.ResponseSlot{
		KeepAlive:  t.keepAlive,
		Complete:   t.isComplete,
		Status:     t.statusCode,
		Body:       t.body,
		RetryAfter: t.retryAfter,
	}
	if t.request != nil {
		record.RequestID = t.request.ID
	}
	return record
}

// ---- Restoring ----

// restoreState goes on with all that a predecessor had. It owns the descriptors.
func (l *Loop) restoreState(received hotrestart.ReceivedState) {
	var clients []*clientConnection
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
	l.Requests.TakeOver(l.Now(), received.RequestTable, received.OpenRequests, responders,
		func() requests.Policy { return l.restorePolicy(received.PolicySnapshot, received.ClockAhead) })
	for _, w := range waiting {
		w.slot.request = l.Requests.Request(w.requestID)
	}
	for _, connection := range received.WorkerConnections {
		l.workers.Restore(connection)
	}
	l.Requests.WatchEndpoints() // the policy that goes on relies on it
	for _, client := range clients {
		if client.IsOpen() { // what was read before is handled now
			l.Protect(client, func() { client.HandleEvents(unix.EPOLLIN) })
		}
	}
}

// restorePolicy returns the policy that goes on from a snapshot, or nil if the snapshot is of no use to this build. The clock
// here is ahead of the one that the snapshot's instants are of.
func (l *Loop) restorePolicy(snapshot []byte, clockAhead time.Duration) requests.Policy {
	if l.wrapRestored == nil {
		return nil
	}
	dispatcher, err := dispatch.RestoreOnClock(*l.clients.settings, snapshot, clockAhead)
	if err != nil {
		l.log.Warn("what the process before had learnt is of no use here", "bytes", len(snapshot), "error", err)
		return nil
	}
	l.dispatcher = dispatcher
	return l.wrapRestored(dispatcher)
}

// waitingSlot is a restored response slot that awaits the outcome of an open request.
type waitingSlot struct {
	slot      *responseSlot
	requestID uint64
}

// restore goes on with a connection of a client. Where that fails, the connection that it returns is closed.
func (c *clientListener) restore(received hotrestart.ReceivedClientConnection) (*clientConnection, []waitingSlot) {
	client := &clientConnection{
		listener:        c,
		history:         restoredHistory(received.ClientConnection),
		inputEnded:      received.InputConsumed,
		halfClosed:      received.HalfClosed,
		halfCloseProbed: received.HalfClosed,
		continueSent:    received.ContinueSent,
		proxyHeaderDone: received.ProxyHeaderDone,
		lastActivity:    received.LastActivity,
	}
	if received.LastRequestRead {
		client.advancePhase(clientFinishing)
	}
	client.clientAddress, _ = netip.ParseAddrPort(received.ClientAddress)
	client.proxyAddress, _ = netip.ParseAddrPort(received.ProxyAddress)
	events := uint32(eventloop.StreamEvents)
	if client.halfClosed {
		events = 0 // its end is known; what is left to read is asked for when the connection is first looked at
	}
	var err error
	if client.Stream, err = c.loop.OpenStream(received.Descriptor, events, client); err != nil {
		c.loop.log.Error("a client connection is lost", "error", err)
		client.Stream = eventloop.Stream{}
		_ = c.loop.Syscalls().Close(received.Descriptor)
		return client, nil
	}
	client.SetBuffers(received.Input, received.Output)
	client.UpdateEvents()
	c.connections[client] = struct{}{}
	waiting := client.restoreSlots(received.ResponseSlots)
	client.updateBufferedBytes()
	if len(client.slots) == 0 && len(client.Input()) == 0 {
		client.becomeIdle()
	}
	return client, waiting
}

func restoredHistory(record hotrestart.ClientConnection) requestHistory {
	switch {
	case record.UsefulRequestSeen:
		return historyUsefulRequest
	case record.RequestSeen:
		return historyRequest
	default:
		return historyNoRequest
	}
}

// restoreSlots returns the slots that await the outcome of an open request.
func (k *clientConnection) restoreSlots(records []hotrestart.ResponseSlot) []waitingSlot {
	var waiting []waitingSlot
	for _, record := range records {
		slot := &responseSlot{
			connection: k,
			keepAlive:  record.KeepAlive,
			isComplete: record.Complete,
			statusCode: record.Status,
			body:       record.Body,
			retryAfter: record.RetryAfter,
		}
		k.slots = append(k.slots, slot)
		if record.RequestID != 0 {
			waiting = append(waiting, waitingSlot{slot, record.RequestID})
		}
	}
	return waiting
}
