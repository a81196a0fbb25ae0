package transport

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/hotrestart"
)

// transfer sends all state to a successor and waits for TakenOver.
type transfer struct {
	roles      *Roles
	connection *successorConnection
	deadline   time.Duration // on the loop's clock
	snapshot   Snapshot      // the state that is sent
	frameCount int           // number of frames sent after TransferBegin
	err        error         // the first error; nothing is sent after it
}

// run performs the transfer. It returns nil once the successor has sent TakenOver.
func (t *transfer) run() error {
	t.send(hotrestart.TransferBegin(t.roles.readClocks()), hotrestart.NoDescriptor)
	t.frameCount = 0
	t.snapshot = t.roles.config.State.Snapshot()
	t.sendPolicy(t.snapshot.Policy)
	t.send(t.snapshot.RequestTable, hotrestart.NoDescriptor)
	for _, request := range t.snapshot.OpenRequests {
		t.send(request, hotrestart.NoDescriptor)
	}
	for _, connection := range t.snapshot.ClientConnections {
		t.send(connection.Record.WithOverrunMark(), connection.Descriptor) // one by one: all copies together would be large
	}
	for _, connection := range t.snapshot.WorkerConnections {
		t.send(connection.Record, connection.Descriptor)
	}
	t.send(hotrestart.TransferEnd{FrameCount: t.frameCount}, hotrestart.NoDescriptor)
	if t.err != nil {
		return t.err
	}
	return t.awaitTakenOver()
}

func (t *transfer) send(message hotrestart.Message, descriptor int) {
	if t.err == nil {
		t.err = t.connection.sendMessageBefore(t.deadline, message, descriptor)
		t.frameCount++
	}
}

// sendPolicy sends the policy's snapshot in chunks.
func (t *transfer) sendPolicy(snapshot []byte) {
	for len(snapshot) > 0 {
		size := min(len(snapshot), hotrestart.SnapshotChunkSize)
		t.send(hotrestart.SnapshotChunk(snapshot[:size]), hotrestart.NoDescriptor)
		snapshot = snapshot[size:]
	}
}

// awaitTakenOver blocks until TakenOver is received. It handles all received messages before it waits for more input, as
// TakenOver may have been received together with another message.
func (t *transfer) awaitTakenOver() error {
	for {
		message, descriptor, size, err := t.connection.nextMessage(0)
		if errors.Is(err, hotrestart.ErrIncomplete) {
			if err := t.receiveMore(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		t.roles.closeDescriptor(descriptor) // a successor sends no descriptor
		t.connection.Consume(size)
		action, err := t.connection.role.protocol.HandleMessage(message)
		if err != nil || action == hotrestart.ActionRelinquish {
			return err
		}
	}
}

func (t *transfer) receiveMore() error {
	if err := t.connection.waitUntilReady(t.deadline, unix.POLLIN); err != nil {
		return err
	}
	hasEnded, err := t.connection.receive()
	if errors.Is(err, errInputDelayed) {
		time.Sleep(shortageRetryDelay) // the deadline is checked before the next read
		return nil
	}
	if err != nil || hasEnded {
		return errors.Join(errSuccessorHasClosed, err)
	}
	return nil
}
