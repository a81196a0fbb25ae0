package forwarder

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// networkDelay is the time from sending a message to its delivery.
const networkDelay = 500 * time.Microsecond

// connection is the environment's view of the connection between the forwarder and a planner.
type connection struct {
	env       *environment
	name      string // of the planner
	onMessage func(envelope message.Envelope)

	generation   int                     // counts connects and disconnects; messages of an older generation are lost
	established  bool                    // whether the connection exists
	openEpoch    message.Epoch           // of the forwarder's session; 0 if there is none or the planner shuts down
	newestEpoch  message.Epoch           // of the newest handshake on this connection
	accepted     bool                    // whether that handshake was accepted
	maxCredit    int                     // largest credit that the planner gave in the session
	reportedEnds map[uint64]map[int]bool // by request ID: attempts whose end was reported to the planner since the offer
	frozen       bool                    // the planner process is frozen
	inbox        []message.Envelope      // messages received while frozen
}

func (c *connection) connect() {
	c.generation++
	c.established = true
	c.reportedEnds = map[uint64]map[int]bool{}
	c.inbox = nil
	c.env.forwarder.ConnectionChanged(c.name, true)
}

func (c *connection) disconnect() {
	if !c.established {
		return
	}
	c.established = false
	c.accepted = false
	c.newestEpoch = 0
	c.generation++
	c.endAssignments()
	c.env.forwarder.ConnectionChanged(c.name, false)
}

// deliver delivers a message from the forwarder to the planner.
func (c *connection) deliver(envelope message.Envelope) {
	if _, ok := envelope.Message.(*message.Handshake); ok {
		c.openEpoch = envelope.Epoch
		c.newestEpoch = envelope.Epoch
		c.accepted = false
		c.maxCredit = 0
	}
	generation := c.generation
	c.env.after(networkDelay, func() {
		switch {
		case c.generation != generation:
		case c.frozen:
			c.inbox = append(c.inbox, envelope)
		default:
			c.onMessage(envelope)
		}
	})
}

// send delivers a message from the planner to the forwarder.
func (c *connection) send(envelope message.Envelope) {
	generation := c.generation
	c.env.after(networkDelay, func() {
		if c.generation == generation {
			c.env.messageReceived(c, envelope)
		}
	})
}

// endAssignments records that no request is assigned to the planner any more.
func (c *connection) endAssignments() {
	for _, request := range c.env.requestsByID {
		if request.assignedEpoch == c.openEpoch && c.openEpoch != 0 {
			request.assignedEpoch = 0
		}
	}
	c.openEpoch = 0
}

// releaseRequest records that the planner has ended its assignment of a request, unless the forwarder has revoked it before.
func (c *connection) releaseRequest(epoch message.Epoch, id uint64) {
	if request := c.env.requestsByID[id]; request != nil && request.assignedEpoch == epoch && epoch == c.openEpoch {
		request.assignedEpoch = 0
	}
}

// connectionTo returns the connection to a planner.
func (e *environment) connectionTo(planner string) *connection {
	i := slices.IndexFunc(e.connections, func(conn *connection) bool { return conn.name == planner })
	return e.connections[i]
}

// messageSent checks a message from the forwarder, and delivers it.
func (e *environment) messageSent(outgoing Outgoing) {
	conn := e.connectionTo(outgoing.Planner)
	switch body := outgoing.Message.(type) {
	case *message.RequestOffer:
		e.checkOffer(conn, outgoing.Epoch, body)
		e.offers = append(e.offers, outgoing)
	case *message.RequestClosed:
		if request := e.requestsByID[body.RequestID]; request.assignedEpoch == outgoing.Epoch {
			request.assignedEpoch = 0
		}
	case *message.AttemptEnded:
		e.checkAttemptEnded(conn, outgoing.Epoch, body)
	case *message.Handshake:
		conn.endAssignments() // of the previous session, if any
	}
	conn.deliver(outgoing.Envelope)
}

// messageReceived records a message from a planner, and passes it to the forwarder.
func (e *environment) messageReceived(conn *connection, envelope message.Envelope) {
	inSession := envelope.Epoch == conn.openEpoch
	switch body := envelope.Message.(type) {
	case *message.HandshakeAccept:
		if inSession && !conn.accepted {
			conn.accepted = true
			conn.maxCredit = body.Credit
		}
	case *message.CreditUpdate:
		if inSession {
			conn.maxCredit = max(conn.maxCredit, body.Credit)
		}
	case *message.WorkerStatus:
		if envelope.Epoch == conn.newestEpoch && conn.accepted {
			e.recordStatus(*body)
		}
	case *message.TransferCommand:
		conn.releaseRequest(envelope.Epoch, body.RequestID)
	case *message.RejectCommand:
		conn.releaseRequest(envelope.Epoch, body.RequestID)
	case *message.FailCommand:
		conn.releaseRequest(envelope.Epoch, body.RequestID)
	case *message.Goodbye:
		if inSession {
			conn.endAssignments()
		}
	}
	e.forwarder.Receive(e.now, conn.name, envelope)
}

// recordStatus stores the status of a worker if its start time is plausible and it is the newest.
func (e *environment) recordStatus(status message.WorkerStatus) {
	if status.StartedMs > (e.now+time.Minute).Milliseconds() || status.StartedMs < 0 {
		return
	}
	if known, ok := e.statuses[status.WorkerID]; !ok || status.Supersedes(known) {
		e.statuses[status.WorkerID] = status
		e.statusAt[status.WorkerID] = e.now
	}
}
