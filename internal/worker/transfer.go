package worker

import (
	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

// ConnectionSnapshot is a connection as it is transferred to the successor of a hot restart.
type ConnectionSnapshot struct {
	hotrestart.WorkerConnection     // its buffers are those of the connection, valid until the loop's next iteration
	Descriptor                  int // owned by the pool until Relinquish closes it
}

// Snapshot returns the connections that a successor needs: those that carry an attempt, and the idle ones. The pool does not
// change. HasWaitingDials must be false: the attempts that it reports have no connection to transfer.
func (p *Pool) Snapshot() []ConnectionSnapshot {
	var snapshots []ConnectionSnapshot
	for _, conn := range p.transferable() {
		snapshots = append(snapshots, ConnectionSnapshot{conn.snapshot(), conn.FD()})
	}
	return snapshots
}

// Relinquish closes this process's descriptors of the connections that Snapshot returned, once a successor owns them, and removes
// these connections from the pool. It is called in the same iteration as Snapshot. The attempts do not end.
func (p *Pool) Relinquish() {
	for _, conn := range p.transferable() {
		conn.relinquish()
	}
	clear(p.byAttempt)
}

// relinquish closes the connection without ending its exchange, which the successor continues.
func (c *connection) relinquish() {
	c.leaveIdle()
	c.state = stateClosed
	c.closeDescriptor()
}

// transferable returns the connections that are transferred to a successor.
func (p *Pool) transferable() []*connection {
	var connections []*connection
	for _, conn := range p.byAttempt {
		if conn.IsOpen() {
			connections = append(connections, conn)
		}
	}
	for _, endpoint := range p.endpoints {
		connections = append(connections, endpoint.idle...)
	}
	return connections
}

// snapshot returns the connection in the form in which it is transferred.
func (c *connection) snapshot() hotrestart.WorkerConnection {
	snapshot := hotrestart.WorkerConnection{
		WorkerID:   c.endpoint.id,
		State:      transferredState(c.state),
		Stage:      c.stage,
		Input:      c.Input(),
		Output:     c.Output(),
		IdleBefore: c.idleBefore,
		IdleSince:  c.idleSince,
	}
	if c.state == stateAwaitingResponse && c.stage < requests.StageWritten {
		snapshot.WriteDeadline = c.writeDeadline
	}
	if attempt := c.exchange.attempt; c.exchange.kind == exchangeAttempt && attempt != nil {
		snapshot.RequestID = attempt.Request.ID
		snapshot.Attempt = attempt.Number
	}
	return snapshot
}

// transferredState returns the state that a connection is transferred with. One whose write is delayed is transferred as
// connecting: the successor decides again whether to delay the write.
func transferredState(state connectionState) hotrestart.WorkerConnectionState {
	switch state {
	case stateIdle:
		return hotrestart.WorkerIdle
	case stateAwaitingResponse:
		return hotrestart.WorkerAwaitingResponse
	default:
		return hotrestart.WorkerConnecting
	}
}

// restoredState returns the state of a restored connection from the one that it was transferred with.
func restoredState(state hotrestart.WorkerConnectionState) connectionState {
	switch state {
	case hotrestart.WorkerConnecting:
		return stateConnecting
	case hotrestart.WorkerIdle:
		return stateIdle
	default:
		return stateAwaitingResponse
	}
}

// Restore adds a connection that a predecessor has transferred, and resumes its attempt. The pool owns the descriptor, and closes
// it if the worker is unknown or the attempt is no longer in flight. The requests must be in the table already. An attempt whose
// connection can't be restored ends as lost.
func (p *Pool) Restore(received hotrestart.ReceivedWorkerConnection) {
	worker, isKnown := p.table.WorkerNumber(received.WorkerID)
	attempt := p.table.InFlightAttempt(received.RequestID, received.Attempt)
	isUsable := received.State == hotrestart.WorkerIdle || attempt != nil
	if !isKnown || !isUsable {
		_ = p.loop.Syscalls().Close(received.Descriptor)
		return
	}
	endpoint := p.updateEndpoint(worker)
	conn := &connection{
		pool:        p,
		endpoint:    endpoint,
		incarnation: endpoint.incarnation,
		state:       restoredState(received.State),
		lastKind:    exchangeAttempt,
		stage:       received.Stage,
		idleBefore:  received.IdleBefore,
		idleSince:   received.IdleSince,

		writeDeadline: received.WriteDeadline,
	}
	if err := conn.openTransferred(received.Descriptor); err != nil {
		_ = p.loop.Syscalls().Close(received.Descriptor)
		if attempt != nil {
			lost := &requests.AttemptError{Stage: received.Stage, Reason: requests.ReasonConnectionLost, Cause: err}
			p.table.EndAttempt(attempt, nil, lost)
		}
		return
	}
	p.openCount++
	conn.SetBuffers(received.Input, received.Output)
	if conn.state == stateIdle {
		p.addIdle(conn)
		return
	}
	conn.resumeAttempt(attempt)
}

// openTransferred adds the socket of a transferred connection to the loop. On an error the caller owns the socket.
func (c *connection) openTransferred(socket int) error {
	events := uint32(eventloop.StreamEvents)
	if c.state == stateConnecting {
		events |= unix.EPOLLOUT
	}
	stream, err := c.pool.loop.OpenStream(socket, events, c)
	if err != nil {
		return err
	}
	c.Stream = stream
	return nil
}

// resumeAttempt continues the attempt of a transferred connection.
func (c *connection) resumeAttempt(attempt *requests.Attempt) {
	loop := c.pool.loop
	c.exchange = exchange{kind: exchangeAttempt, attempt: attempt, startedAt: loop.Now()}
	c.pool.byAttempt[attempt] = c
	switch {
	case c.state == stateConnecting:
		c.setTimeout(c.pool.connectTimeout)
		return
	case c.stage < requests.StageWritten:
		now := loop.Clock()
		latest := now + smallWriteTimeout
		if c.writeDeadline == 0 { // the predecessor's build does not transfer it
			c.writeDeadline = latest
		}
		c.writeDeadline = min(c.writeDeadline, latest)
		c.setTimeout(max(0, c.writeDeadline-now))
	default:
		c.setTimeout(attempt.At - loop.Now() + responseGrace)
	}
	c.UpdateEvents()
}
