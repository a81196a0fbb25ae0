package planner

import (
	"maps"
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// modelConnection is a connection of a forwarder. Messages arrive in order; what is on its way when it ends is lost.
type modelConnection struct {
	id          SessionID
	dialedBy    *modelForwarder
	forwarder   *modelForwarder // the same; nil: it has another connection by now
	toPlanner   []delivery
	toForwarder []delivery
	epoch       message.Epoch // the newest that the planner has received, or will receive in its next step
	credit      int
}

// delivery is a message on its way.
type delivery struct {
	at       time.Duration
	envelope message.Envelope
}

// later returns when a message arrives that is sent now, behind others.
func (r *randomRun) later(others []delivery) time.Duration {
	at := r.now + r.span(20*ms)
	if n := len(others); n > 0 {
		at = max(at, others[n-1].at)
	}
	return at
}

// cut ends a connection, with what is on its way. The planner is notified, unless it has closed it.
func (r *randomRun) cut(connection *modelConnection, notify bool) {
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

// recordMessage records a message to the planner, as far as the planner must respect it from then on.
func (r *randomRun) recordMessage(connection *modelConnection, envelope message.Envelope) {
	switch m := envelope.Message.(type) {
	case *message.Handshake:
		connection.epoch, connection.credit = envelope.Epoch, 0 // the credit of the session before is void
	case *message.WorkerStatus:
		_, isListed := r.listed[m.WorkerID]
		isKnown := isListed || m.State != message.WorkerUp || r.statuses[m.WorkerID].WorkerID != 0
		if isKnown && connection.dialedBy.hasSession(connection.id, envelope.Epoch) {
			r.recordStatus(*m)
		}
	}
}

// recordStatus keeps the newest status of a worker.
func (r *randomRun) recordStatus(status message.WorkerStatus) {
	if known, ok := r.statuses[status.WorkerID]; !ok || status.Supersedes(known) {
		r.statuses[status.WorkerID] = status
	}
}
