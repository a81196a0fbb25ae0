package client

import (
	"bytes"
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// ConnectionSnapshot is the state of a connection that is transferred to a successor, and its socket.
type ConnectionSnapshot struct {
	hotrestart.ClientConnection
	Descriptor int // owned by the connection until Relinquish
}

// Snapshot returns the connections that are transferred to a successor: all but lingering ones. It shares their buffers.
func (l *Listener) Snapshot() []ConnectionSnapshot {
	var snapshots []ConnectionSnapshot
	for c := range l.connections {
		if c.phase != phaseLingering {
			snapshots = append(snapshots, ConnectionSnapshot{c.transferRecord(), c.FD()})
		}
	}
	return snapshots
}

// Relinquish closes this process's descriptors of the connections that Snapshot returns. The successor owns the connections and
// their requests, which are not reported as abandoned.
func (l *Listener) Relinquish() {
	for c := range l.connections {
		if c.phase != phaseLingering {
			c.relinquish()
		}
	}
}

func (c *connection) relinquish() {
	c.leaveList()
	c.stopAwaitingMemory()
	c.slots = nil
	c.Close()
	c.updateBufferedBytes()
	delete(c.listener.connections, c)
}

func (c *connection) transferRecord() hotrestart.ClientConnection {
	input := c.transferredInput()
	record := hotrestart.ClientConnection{
		Input:             input,
		InputArrivals:     c.transferredArrivals(len(input)),
		InputOverrun:      c.inputOverrun,
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

// transferredInput returns the input that is transferred. After an overrun it lacks a last request that is not complete, which will
// be rejected.
func (c *connection) transferredInput() []byte {
	if c.inputOverrun {
		return completeRequests(c.Input())
	}
	return c.Input()
}

// completeRequests returns input without a last request that is not complete.
func completeRequests(input []byte) []byte {
	var request http1.Request
	for size := 0; ; {
		n, err := request.Parse(input[size:])
		if errors.Is(err, http1.ErrIncomplete) {
			return input[:size]
		}
		if err != nil { // it is rejected for what it is
			return input
		}
		size += n
	}
}

// mayLackInput reports whether a connection of an earlier build, which does not set InputOverrun, may have discarded input after the
// part of a request at the end of its input. That happens only behind requests that wait for their responses. The request is rejected
// then, which is harmless: nothing of it was sent to a worker.
func mayLackInput(record hotrestart.ClientConnection) bool {
	return len(record.ResponseSlots) > 0 && len(completeRequests(record.Input)) < len(record.Input)
}

// restoredInput returns the input of a connection that was transferred.
func restoredInput(record hotrestart.ClientConnection) []byte {
	if !record.InputOverrun {
		return record.Input
	}
	return bytes.TrimSuffix(record.Input, []byte(hotrestart.InputOverrunMark))
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

// RestoredConnections are the connections that a successor has restored. The caller restores the request table with Responders,
// and then calls AttachRequests and HandleInput.
type RestoredConnections struct {
	loop        *eventloop.Loop
	connections []*connection
	waiting     []waitingSlot
}

// waitingSlot is a restored slot that awaits the response to an open request.
type waitingSlot struct {
	slot      *responseSlot
	requestID uint64
}

// Restore opens the connections that a predecessor has transferred, and owns their descriptors. A connection that can't be opened
// is closed, and its open requests have no responder. marksOverrun reports that the predecessor's build sets InputOverrun.
func (l *Listener) Restore(received []hotrestart.ReceivedClientConnection, marksOverrun bool) *RestoredConnections {
	restored := &RestoredConnections{loop: l.loop}
	for _, record := range received {
		if !marksOverrun && mayLackInput(record.ClientConnection) {
			record.InputOverrun = true
		}
		conn, waiting := l.restore(record)
		restored.connections = append(restored.connections, conn)
		restored.waiting = append(restored.waiting, waiting...)
	}
	return restored
}

// Responders returns the responders of open requests, by request ID.
func (r *RestoredConnections) Responders() map[uint64]requests.Responder {
	responders := map[uint64]requests.Responder{}
	for _, waiting := range r.waiting {
		responders[waiting.requestID] = waiting.slot
	}
	return responders
}

// AttachRequests sets the request of each responder. find returns the request with an ID.
func (r *RestoredConnections) AttachRequests(find func(requestID uint64) *requests.Request) {
	for _, waiting := range r.waiting {
		waiting.slot.request = find(waiting.requestID)
	}
}

// HandleInput handles the input that the predecessor had read.
func (r *RestoredConnections) HandleInput() {
	for _, c := range r.connections {
		if c.IsOpen() {
			r.loop.Protect(c, func() { c.HandleEvents(unix.EPOLLIN) })
		}
	}
}

// restore opens a connection, and returns its slots that await a response. On an error it is closed, and has none.
func (l *Listener) restore(received hotrestart.ReceivedClientConnection) (*connection, []waitingSlot) {
	conn := &connection{
		listener:        l,
		history:         restoredHistory(received.ClientConnection),
		inputEnded:      received.InputConsumed,
		halfClosed:      received.HalfClosed,
		halfCloseProbed: received.HalfClosed,
		continueSent:    received.ContinueSent,
		proxyHeaderDone: received.ProxyHeaderDone,
		lastActivity:    received.LastActivity,
		inputOverrun:    received.InputOverrun,
	}
	if received.LastRequestRead {
		conn.advancePhase(phaseFinishing)
	}
	conn.clientAddress, _ = netip.ParseAddrPort(received.ClientAddress)
	conn.proxyAddress, _ = netip.ParseAddrPort(received.ProxyAddress)
	events := uint32(eventloop.StreamEvents)
	if conn.halfClosed {
		events = 0 // EPOLLRDHUP was reported already; HandleInput requests the events for the remaining input
	}
	var err error
	if conn.Stream, err = l.loop.OpenStream(received.Descriptor, events, conn); err != nil {
		l.log.Error("client connection not restored", "error", err)
		conn.Stream = eventloop.Stream{}
		_ = l.loop.Syscalls().Close(received.Descriptor)
		return conn, nil
	}
	conn.SetBuffers(restoredInput(received.ClientConnection), received.Output)
	conn.restoreInputArrivals(received.InputArrivals)
	conn.UpdateEvents()
	l.connections[conn] = struct{}{}
	waiting := conn.restoreSlots(received.ResponseSlots)
	conn.updateBufferedBytes()
	if len(conn.slots) == 0 && len(conn.Input()) == 0 {
		conn.enterIdleList()
	}
	return conn, waiting
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

// restoreSlots restores the response slots, and returns those that await a response.
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
