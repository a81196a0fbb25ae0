package worker

import (
	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

// ConnectionSnapshot is a connection to a worker as it is handed over.
type ConnectionSnapshot struct {
	hotrestart.WorkerConnection
	Descriptor int // the connection's own, which it keeps until Relinquish
}

// Snapshot returns the connections that are handed over: those that carry an attempt, and idle ones.
func (p *Pool) Snapshot() []ConnectionSnapshot {
	var snapshots []ConnectionSnapshot
	for _, conn := range p.transferable() {
		snapshots = append(snapshots, ConnectionSnapshot{conn.transferRecord(), conn.FD()})
	}
	return snapshots
}

// Relinquish closes the connections that Snapshot returns, which a successor owns now. Their attempts do not end here.
func (p *Pool) Relinquish() {
	for _, conn := range p.transferable() {
		p.loop.StopTimer(conn.timer)
		conn.state = stateClosed
		conn.Close()
	}
	clear(p.byAttempt)
}

// transferable returns the connections that are handed over: those that carry an attempt, and idle ones.
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

func (c *connection) transferRecord() hotrestart.WorkerConnection {
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
func (c *connection) transferredState() hotrestart.WorkerConnectionState {
	if c.state == stateHolding {
		return hotrestart.WorkerConnecting
	}
	return transferredStates[c.state]
}

// transferredStates are the states of connections as they are handed over.
var transferredStates = map[connectionState]hotrestart.WorkerConnectionState{
	stateConnecting:       hotrestart.WorkerConnecting,
	stateIdle:             hotrestart.WorkerIdle,
	stateAwaitingResponse: hotrestart.WorkerAwaitingResponse,
}

// Restore goes on with a connection to a worker; one that is of no use any more is closed.
func (p *Pool) Restore(received hotrestart.ReceivedWorkerConnection) {
	worker, known := p.table.WorkerNumber(received.WorkerID)
	attempt := p.table.InFlightAttempt(received.RequestID, received.Attempt)
	if !known || received.State != hotrestart.WorkerIdle && attempt == nil {
		_ = p.loop.Syscalls().Close(received.Descriptor)
		return
	}
	endpoint := p.endpoint(worker)
	conn := &connection{
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
	if conn.state == stateConnecting {
		events |= unix.EPOLLOUT
	}
	var err error
	if conn.Stream, err = p.loop.OpenStream(received.Descriptor, events, conn); err != nil {
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
	conn.restoreAttempt(attempt)
}

func (c *connection) restoreAttempt(attempt *requests.Attempt) {
	c.exchange = exchange{kind: exchangeAttempt, attempt: attempt, begunAt: c.pool.loop.Now()}
	c.pool.byAttempt[attempt] = c
	if c.state == stateConnecting {
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
func restoredState(state hotrestart.WorkerConnectionState) connectionState {
	for restored, transferred := range transferredStates {
		if transferred == state {
			return restored
		}
	}
	return stateAwaitingResponse
}
