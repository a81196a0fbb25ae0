package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// modelConnection is a forwarder's connection. Messages arrive in order; those in transit when it closes are lost.
type modelConnection struct {
	id          SessionID
	dialedBy    *modelForwarder
	forwarder   *modelForwarder // dialedBy, or nil once that forwarder has replaced the connection
	toPlanner   []delivery
	toForwarder []delivery
	epoch       message.Epoch // of the newest handshake delivered to the planner, or to be delivered in its next step
	credit      int
}

// delivery is a message in transit.
type delivery struct {
	at       time.Duration
	envelope message.Envelope
}

// arrivalTime returns a random arrival time for a message sent now, but not before that of the other messages in transit.
func (r *randomRun) arrivalTime(others []delivery) time.Duration {
	at := r.now + r.randomDuration(20*ms)
	if n := len(others); n > 0 {
		at = max(at, others[n-1].at)
	}
	return at
}

// closeConnection closes a connection and drops its messages in transit. If notify is set, the planner is notified.
func (r *randomRun) closeConnection(connection *modelConnection, notify bool) {
	delete(r.connections, connection.id)
	if notify {
		r.events = append(r.events, SessionClosed{Session: connection.id})
	}
	if f := connection.forwarder; f != nil && f.connection == connection {
		f.connection = nil
		f.endSession()
	}
}

func (r *randomRun) deliverToForwarders() {
	for _, id := range slices.Sorted(maps.Keys(r.connections)) {
		connection := r.connections[id]
		for len(connection.toForwarder) > 0 && connection.toForwarder[0].at <= r.now && r.connections[id] == connection {
			envelope := connection.toForwarder[0].envelope
			connection.toForwarder = connection.toForwarder[1:]
			if connection.forwarder != nil {
				connection.forwarder.receive(connection, envelope)
			}
		}
	}
}

func (r *randomRun) deliverToPlanner() {
	for _, id := range slices.Sorted(maps.Keys(r.connections)) {
		connection := r.connections[id]
		for len(connection.toPlanner) > 0 && connection.toPlanner[0].at <= r.now {
			envelope := connection.toPlanner[0].envelope
			connection.toPlanner = connection.toPlanner[1:]
			r.recordMessage(connection, envelope)
			r.events = append(r.events, ForwarderMessage{Session: id, Envelope: envelope})
		}
	}
}

// recordMessage updates the expected state from a message that the planner receives in its next step.
func (r *randomRun) recordMessage(connection *modelConnection, envelope message.Envelope) {
	switch m := envelope.Message.(type) {
	case *message.Handshake:
		connection.epoch, connection.credit = envelope.Epoch, 0 // the previous session's credit no longer counts
	case *message.WorkerStatus:
		_, isListed := r.listed[m.WorkerID]
		isKnown := isListed || m.State != message.WorkerUp || r.statuses[m.WorkerID].WorkerID != 0
		if isKnown && connection.dialedBy.hasSession(connection.id, envelope.Epoch) {
			r.recordStatus(*m)
		}
	}
}

// recordStatus stores a worker's status if it supersedes the stored one.
func (r *randomRun) recordStatus(status message.WorkerStatus) {
	if known, ok := r.statuses[status.WorkerID]; !ok || status.Supersedes(known) {
		r.statuses[status.WorkerID] = status
	}
}
