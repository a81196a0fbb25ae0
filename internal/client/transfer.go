package client

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/requests"
)

// ConnectionSnapshot is a client connection as it is handed over to a successor.
type ConnectionSnapshot struct {
	hotrestart.ClientConnection
	Descriptor int // stays the connection's until Relinquish
}

// Snapshot returns the connections that a successor goes on with: all but those that linger.
func (l *Listener) Snapshot() []ConnectionSnapshot {
	var snapshots []ConnectionSnapshot
	for c := range l.connections {
		if c.phase != phaseLingering {
			snapshots = append(snapshots, ConnectionSnapshot{c.transferRecord(), c.FD()})
		}
	}
	return snapshots
}

// Relinquish closes the connections that Snapshot returns, which a successor owns now. Their requests are not abandoned.
func (l *Listener) Relinquish() {
	for c := range l.connections {
		if c.phase != phaseLingering {
			c.relinquish()
		}
	}
}

// CloseSocket closes the listening socket; connections stay.
func (l *Listener) CloseSocket() { l.acceptor.Close() }

func (c *connection) relinquish() {
	c.leaveWaitingList()
	c.slots = nil
	c.Close()
	c.updateBufferedBytes()
	delete(c.listener.connections, c)
}

func (c *connection) transferRecord() hotrestart.ClientConnection {
	record := hotrestart.ClientConnection{
		Input:             c.Input(),
		Output:            c.Output(),
		LastRequestRead:   !c.isReading(),
		InputConsumed:     c.inputEnded,
		HalfClosed:        c.halfCloseProbed,
		ContinueSent:      c.continueSent,
		RequestSeen:       c.history != historyNoRequest,
		UsefulRequestSeen: c.history == historyUsefulRequest,
		ProxyHeaderDone:   c.proxyHeaderDone,
		LastActivity:      c.lastActivity,
		ClientAddress:     c.clientAddress.String(),
	}
	if c.proxyAddress.IsValid() {
		record.ProxyAddress = c.proxyAddress.String()
	}
	for _, slot := range c.slots {
		record.ResponseSlots = append(record.ResponseSlots, slot.transferRecord())
	}
	return record
}

func (s *responseSlot) transferRecord() hotrestart.ResponseSlot {
	record := hotrestart.ResponseSlot{
		KeepAlive:  s.keepAlive,
		Complete:   s.isComplete,
		Status:     s.statusCode,
		Body:       s.body,
		RetryAfter: s.retryAfter,
	}
	if s.request != nil {
		record.RequestID = s.request.ID
	}
	return record
}

// RestoredConnections are connections that Restore has made. The caller calls Responders, AttachRequests and HandleInput, in this
// order.
type RestoredConnections struct {
	loop        *eventloop.Loop
	connections []*connection
	waiting     []waitingSlot
}

// waitingSlot is a restored response slot that awaits the outcome of an open request.
type waitingSlot struct {
	slot      *responseSlot
	requestID uint64
}

// Restore makes connections of those that a predecessor has handed over, and owns their descriptors. One that can't be made is
// closed.
func (l *Listener) Restore(received []hotrestart.ReceivedClientConnection) *RestoredConnections {
	restored := &RestoredConnections{loop: l.loop}
	for _, record := range received {
		client, waiting := l.restore(record)
		restored.connections = append(restored.connections, client)
		restored.waiting = append(restored.waiting, waiting...)
	}
	return restored
}

// Responders returns the responders of requests that are open, by request ID.
func (r *RestoredConnections) Responders() map[uint64]requests.Responder {
	responders := map[uint64]requests.Responder{}
	for _, waiting := range r.waiting {
		responders[waiting.requestID] = waiting.slot
	}
	return responders
}

// AttachRequests gives the responders their requests, which find returns by ID.
func (r *RestoredConnections) AttachRequests(find func(requestID uint64) *requests.Request) {
	for _, waiting := range r.waiting {
		waiting.slot.request = find(waiting.requestID)
	}
}

// HandleInput handles what the predecessor had read.
func (r *RestoredConnections) HandleInput() {
	for _, c := range r.connections {
		if c.IsOpen() {
			r.loop.Protect(c, func() { c.HandleEvents(unix.EPOLLIN) })
		}
	}
}

// restore goes on with a connection of a client. Where that fails, the connection that it returns is closed.
func (l *Listener) restore(received hotrestart.ReceivedClientConnection) (*connection, []waitingSlot) {
	client := &connection{
		listener:        l,
		history:         restoredHistory(received.ClientConnection),
		inputEnded:      received.InputConsumed,
		halfClosed:      received.HalfClosed,
		halfCloseProbed: received.HalfClosed,
		continueSent:    received.ContinueSent,
		proxyHeaderDone: received.ProxyHeaderDone,
		lastActivity:    received.LastActivity,
	}
	if received.LastRequestRead {
		client.advancePhase(phaseFinishing)
	}
	client.clientAddress, _ = netip.ParseAddrPort(received.ClientAddress)
	client.proxyAddress, _ = netip.ParseAddrPort(received.ProxyAddress)
	events := uint32(eventloop.StreamEvents)
	if client.halfClosed {
		events = 0 // its end is known; what is left to read is asked for when the connection is first looked at
	}
	var err error
	if client.Stream, err = l.loop.OpenStream(received.Descriptor, events, client); err != nil {
		l.log.Error("a client connection is lost", "error", err)
		client.Stream = eventloop.Stream{}
		_ = l.loop.Syscalls().Close(received.Descriptor)
		return client, nil
	}
	client.SetBuffers(received.Input, received.Output)
	client.UpdateEvents()
	l.connections[client] = struct{}{}
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
func (c *connection) restoreSlots(records []hotrestart.ResponseSlot) []waitingSlot {
	var waiting []waitingSlot
	for _, record := range records {
		slot := &responseSlot{
			connection: c,
			keepAlive:  record.KeepAlive,
			isComplete: record.Complete,
			statusCode: record.Status,
			body:       record.Body,
			retryAfter: record.RetryAfter,
		}
		c.slots = append(c.slots, slot)
		if record.RequestID != 0 {
			waiting = append(waiting, waitingSlot{slot, record.RequestID})
		}
	}
	return waiting
}
