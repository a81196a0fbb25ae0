package link

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/clock"
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
	for _, client := range t.loop.clients.Snapshot() {
		t.send(client.ClientConnection, client.Descriptor)
		t.clientConnectionCount++
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

// ---- Restoring ----

// restoreState goes on with all that a predecessor had. It owns the descriptors.
func (l *Loop) restoreState(received hotrestart.ReceivedState) {
	clients := l.clients.Restore(received.ClientConnections)
	l.Requests.TakeOver(l.Now(), received.RequestTable, received.OpenRequests, clients.Responders(),
		func() requests.Policy { return l.restorePolicy(received.PolicySnapshot, received.ClockAhead) })
	clients.AttachRequests(l.Requests.Request)
	for _, connection := range received.WorkerConnections {
		l.workers.Restore(connection)
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
