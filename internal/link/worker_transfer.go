package link

import (
	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

// workerSnapshot is a connection to a worker as it is handed over.
type workerSnapshot struct {
	hotrestart.WorkerConnection
	Descriptor int // the connection's own, which it keeps until Relinquish
}

// Snapshot returns the connections that are handed over: those that carry an attempt, and idle ones.
func (p *workerPool) Snapshot() []workerSnapshot {
	var snapshots []workerSnapshot
	for _, connection := range p.transferable() {
		snapshots = append(snapshots, workerSnapshot{connection.transferRecord(), connection.FD()})
	}
	return snapshots
}

// Relinquish closes the connections that Snapshot returns, which a successor owns now. Their attempts do not end here.
func (p *workerPool) Relinquish() {
	for _, connection := range p.transferable() {
		p.loop.StopTimer(connection.timer)
		connection.state = workerClosed
		connection.Close()
	}
	clear(p.byAttempt)
}

// transferable returns the connections that are handed over: those that carry an attempt, and idle ones.
func (p *workerPool) transferable() []*workerConnection {
	var connections []*workerConnection
	for _, connection := range p.byAttempt {
		if connection.IsOpen() {
			connections = append(connections, connection)
		}
	}
	for _, endpoint := range p.endpoints {
		connections = append(connections, endpoint.idle...)
	}
	return connections
}

func (c *workerConnection) transferRecord() hotrestart.WorkerConnection {
	record := hotrestart.WorkerConnection{
		WorkerID:   c.endpoint.id,
		State:      c.transferredState(),
		Stage:      c.stage,
		Input:      c.Input(),
		Output:     c.Output(),
		IdleBefore: c.idleBefore,
		IdleSince:  c.idleSince,
	}
	if attempt := c.exchange.attempt; c.exchange.kind == exchangeAttempt && attempt != nil {
		record.RequestID, record.Attempt = attempt.Request.ID, attempt.Number
	}
	return record
}

// transferredState is the connection's state as it is handed over. Whoever goes on with one that holds its attempt looks anew
// at whether anybody waits for it.
func (c *workerConnection) transferredState() hotrestart.WorkerConnectionState {
	if c.state == workerHolding {
		return hotrestart.WorkerConnecting
	}
	return transferredStates[c.state]
}

// transferredStates are the states of connections as they are handed over.
var transferredStates = map[workerConnectionState]hotrestart.WorkerConnectionState{
	workerConnecting:       hotrestart.WorkerConnecting,
	workerIdle:             hotrestart.WorkerIdle,
	workerAwaitingResponse: hotrestart.WorkerAwaitingResponse,
}

// Restore goes on with a connection to a worker; one that is of no use any more is closed.
func (p *workerPool) Restore(received hotrestart.ReceivedWorkerConnection) {
	worker, known := p.table.WorkerNumber(received.WorkerID)
	attempt := p.table.InFlightAttempt(received.RequestID, received.Attempt)
	if !known || received.State != hotrestart.WorkerIdle && attempt == nil {
		_ = p.loop.Syscalls().Close(received.Descriptor)
		return
	}
	endpoint := p.endpoint(worker)
	connection := &workerConnection{
		pool:        p,
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
	if connection.Stream, err = p.loop.OpenStream(received.Descriptor, events, connection); err != nil {
		_ = p.loop.Syscalls().Close(received.Descriptor)
		if attempt != nil {
			lost := &requests.AttemptError{Stage: received.Stage, Reason: requests.ReasonConnectionLost, Cause: err}
			p.table.EndAttempt(attempt, nil, lost)
		}
		return
	}
	p.openCount++
	connection.SetBuffers(received.Input, received.Output)
	if connection.state == workerIdle {
		p.addIdle(connection)
		return
	}
	connection.restoreAttempt(attempt)
}

func (c *workerConnection) restoreAttempt(attempt *requests.Attempt) {
	c.exchange = exchange{kind: exchangeAttempt, attempt: attempt, begunAt: c.pool.loop.Now()}
	c.pool.byAttempt[attempt] = c
	if c.state == workerConnecting {
		c.setTimeout(c.pool.connectTimeout)
		return
	}
	if c.stage < requests.StageWritten { // what the worker was told of the time is older than is known here
		c.writeUntil = c.pool.loop.Clock() + smallWriteTimeout
		c.setTimeout(smallWriteTimeout)
	} else {
		c.setTimeout(attempt.At - c.pool.loop.Now() + responseGrace)
	}
	c.UpdateEvents()
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
