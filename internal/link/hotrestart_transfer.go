package link

import (
	"errors"
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
	clientConnectionCount int
	workerConnections     []*workerConnection
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
	for _, client := range t.loop.clients.Snapshot() {
		t.send(client.ClientConnection, client.Descriptor)
		t.clientConnectionCount++
	}
}

func (t *stateTransfer) sendWorkerConnections() {
	for _, worker := range t.loop.workers.transferable() {
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

// transferable returns the connections that are handed over: those that carry an attempt, and idle ones.
func (s *workerPool) transferable() []*workerConnection {
	var connections []*workerConnection
	for _, connection := range s.byAttempt {
		if connection.IsOpen() {
			connections = append(connections, connection)
		}
	}
	for _, endpoint := range s.endpoints {
		connections = append(connections, endpoint.idle...)
	}
	return connections
}

func (k *workerConnection) transferRecord() hotrestart.WorkerConnection {
	record := hotrestart.WorkerConnection{
		WorkerID:   k.endpoint.id,
		State:      k.transferredState(),
		Stage:      k.stage,
		Input:      k.Input(),
		Output:     k.Output(),
		IdleBefore: k.idleBefore,
		IdleSince:  k.idleSince,
	}
	if attempt := k.exchange.attempt; k.exchange.kind == exchangeAttempt && attempt != nil {
		record.RequestID, record.Attempt = attempt.Request.ID, attempt.Number
	}
	return record
}

// transferredState is the connection's state as it is handed over. Whoever goes on with one that holds its attempt looks anew
// at whether anybody waits for it.
func (k *workerConnection) transferredState() hotrestart.WorkerConnectionState {
	if k.state == workerHolding {
		return hotrestart.WorkerConnecting
	}
	return transferredStates[k.state]
}

// transferredStates are the states of connections as they are handed over.
var transferredStates = map[workerConnectionState]hotrestart.WorkerConnectionState{
	workerConnecting:       hotrestart.WorkerConnecting,
	workerIdle:             hotrestart.WorkerIdle,
	workerAwaitingResponse: hotrestart.WorkerAwaitingResponse,
}

// ---- Restoring ----

// restoreState goes on with all that a predecessor had. It owns the descriptors.
func (l *Loop) restoreState(received hotrestart.ReceivedState) {
	clients := l.clients.Restore(received.ClientConnections)
	l.Requests.TakeOver(l.Now(), received.RequestTable, received.OpenRequests, clients.Responders(),
		func() requests.Policy { return l.restorePolicy(received.PolicySnapshot, received.ClockAhead) })
	clients.AttachRequests(l.Requests.Request)
	for _, connection := range received.WorkerConnections {
		l.workers.restore(connection)
	}
	l.Requests.WatchEndpoints() // the policy that goes on relies on it
	clients.HandleInput()
}

// restorePolicy returns the policy that goes on from a snapshot, or nil if the snapshot is of no use to this build. The clock
// here is ahead of the one that the snapshot's instants are of.
func (l *Loop) restorePolicy(snapshot []byte, clockAhead time.Duration) requests.Policy {
	if l.wrapRestored == nil {
		return nil
	}
	dispatcher, err := dispatch.RestoreOnClock(*l.settings, snapshot, clockAhead)
	if err != nil {
		l.log.Warn("what the process before had learnt is of no use here", "bytes", len(snapshot), "error", err)
		return nil
	}
	l.dispatcher = dispatcher
	return l.wrapRestored(dispatcher)
}

// restore goes on with a connection to a worker; one that is of no use any more is closed.
func (s *workerPool) restore(received hotrestart.ReceivedWorkerConnection) {
	worker, known := s.loop.Requests.WorkerNumber(received.WorkerID)
	attempt := s.loop.Requests.InFlightAttempt(received.RequestID, received.Attempt)
	if !known || received.State != hotrestart.WorkerIdle && attempt == nil {
		_ = s.loop.Syscalls().Close(received.Descriptor)
		return
	}
	endpoint := s.endpoint(worker)
	connection := &workerConnection{
		pool:        s,
		endpoint:    endpoint,
		incarnation: endpoint.incarnation,
		state:       restoredState(received.State),
		lastKind:    exchangeAttempt,
		stage:       received.Stage,
		idleBefore:  received.IdleBefore,
		idleSince:   received.IdleSince,
	}
	events := uint32(eventloop.StreamEvents)
	if connection.state == workerConnecting {
		events |= unix.EPOLLOUT
	}
	var err error
	if connection.Stream, err = s.loop.OpenStream(received.Descriptor, events, connection); err != nil {
		_ = s.loop.Syscalls().Close(received.Descriptor)
		if attempt != nil {
			lost := &requests.AttemptError{Stage: received.Stage, Reason: requests.ReasonConnectionLost, Cause: err}
			s.loop.Requests.EndAttempt(attempt, nil, lost)
		}
		return
	}
	s.openCount++
	connection.SetBuffers(received.Input, received.Output)
	if connection.state == workerIdle {
		s.addIdle(connection)
		return
	}
	connection.restoreAttempt(attempt)
}

func (k *workerConnection) restoreAttempt(attempt *requests.Attempt) {
	k.exchange = exchange{kind: exchangeAttempt, attempt: attempt, begunAt: k.pool.loop.Now()}
	k.pool.byAttempt[attempt] = k
	if k.state == workerConnecting {
		k.setTimeout(k.pool.connectTimeout)
		return
	}
	if k.stage < requests.StageWritten { // what the worker was told of the time is older than is known here
		k.writeUntil = k.pool.loop.Clock() + smallWriteTimeout
		k.setTimeout(smallWriteTimeout)
	} else {
		k.setTimeout(attempt.At - k.pool.loop.Now() + responseGrace)
	}
	k.UpdateEvents()
}

// restoredState is the reverse of transferredStates.
func restoredState(state hotrestart.WorkerConnectionState) workerConnectionState {
	for restored, transferred := range transferredStates {
		if transferred == state {
			return restored
		}
	}
	return workerAwaitingResponse
}
