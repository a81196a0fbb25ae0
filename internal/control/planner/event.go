package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// SessionID identifies a connection of a forwarder. The driver chooses it and never uses it again.
type SessionID uint64

// Event is something that has happened: one of the types of this file.
type Event interface{ event() }

type (
	// SessionOpened tells that a forwarder has connected.
	SessionOpened struct{ Session SessionID }
	// SessionClosed tells that a forwarder's connection has ended, whoever ended it.
	SessionClosed struct{ Session SessionID }
	// ForwarderMessage is a message of a forwarder.
	ForwarderMessage struct {
		Session  SessionID
		Envelope message.Envelope
	}

	// PeerConnected tells that there is a connection to another planner.
	PeerConnected struct{ Peer string }
	// PeerDisconnected tells that there is none any more.
	PeerDisconnected struct{ Peer string }
	// PeerMessage is a message of another planner.
	PeerMessage struct {
		Peer     string
		Envelope message.Envelope
	}
	// PeersChanged gives the names of the other planners that are alive.
	PeersChanged struct{ Names []string }

	// EndpointsChanged is a watch event of the endpoint list.
	EndpointsChanged struct{ Endpoints dispatch.WorkerList }
	// EndpointSourceChanged tells that the list comes from another source from now on, whose revisions begin anew.
	EndpointSourceChanged struct{}
	// PartitionChanged tells which planner each worker is assigned to. Owner returns a planner's name; its results may
	// change with the next PartitionChanged only. A nil Owner, as before the first of these events, assigns every worker to
	// this planner.
	PartitionChanged struct {
		Owner func(w *dispatch.Worker) string
	}

	// TimerFired tells that the time has come for which SetTimer asked.
	TimerFired struct{}
	// StopRequested tells the planner to stop.
	StopRequested struct{}
)

func (SessionOpened) event()         {}
func (SessionClosed) event()         {}
func (ForwarderMessage) event()      {}
func (PeerConnected) event()         {}
func (PeerDisconnected) event()      {}
func (PeerMessage) event()           {}
func (PeersChanged) event()          {}
func (EndpointsChanged) event()      {}
func (EndpointSourceChanged) event() {}
func (PartitionChanged) event()      {}
func (TimerFired) event()            {}
func (StopRequested) event()         {}

// Action is something to be done: one of the types below.
type Action interface{ action() }

type (
	// SendToForwarder sends a message. Several actions may share one; it is not to be changed.
	SendToForwarder struct {
		Session  SessionID
		Envelope message.Envelope
	}
	// SendToPeer sends a message to another planner. It is void without a connection. Several actions may share the message;
	// it is not to be changed.
	SendToPeer struct {
		Peer     string
		Envelope message.Envelope
	}
	// CloseSession closes a forwarder's connection, after the messages that precede it.
	CloseSession struct{ Session SessionID }
	// SetTimer asks for TimerFired after this duration. An earlier time that was asked for remains valid.
	SetTimer struct{ After time.Duration }
	// WatchEndpoints starts to watch the endpoint list from a revision on.
	WatchEndpoints struct{ Revision int64 }
	// LogLine is a line of the operators' log. Attributes are alternating keys and values, as log/slog takes them.
	LogLine struct {
		Message    string
		Attributes []any
	}
	// Stopped tells that the planner has stopped. No action follows it.
	Stopped struct{}
)

func (SendToForwarder) action() {}
func (SendToPeer) action()      {}
func (CloseSession) action()    {}
func (SetTimer) action()        {}
func (WatchEndpoints) action()  {}
func (LogLine) action()         {}
func (Stopped) action()         {}
