package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// SessionID identifies a connection of a forwarder. The driver chooses it and never uses it again.
type SessionID uint64

// Event is an input of the planner: one of the types below.
type Event interface{ event() }

type (
	// SessionOpened reports that a forwarder has connected.
	SessionOpened struct{ Session SessionID }
	// SessionClosed reports that a forwarder's connection has ended, whichever side ended it.
	SessionClosed struct{ Session SessionID }
	// ForwarderMessage is a message of a forwarder.
	ForwarderMessage struct {
		Session  SessionID
		Envelope message.Envelope
	}

	// PeerConnected reports that a connection to another planner is established.
	PeerConnected struct{ Peer string }
	// PeerDisconnected reports that the connection to another planner has ended.
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
	// EndpointSourceChanged reports that the list is read from another source from now on, whose revisions restart.
	EndpointSourceChanged struct{}
	// PartitionChanged reports which planner each worker is assigned to. Owner returns a planner's name; its results may
	// change with the next PartitionChanged only. A nil Owner, as before the first of these events, assigns every worker to
	// this planner.
	PartitionChanged struct {
		Owner func(w *dispatch.Worker) string
	}

	// TimerFired reports that the timer of SetTimer has fired.
	TimerFired struct{}
	// StopRequested stops the planner.
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

// Action is an output of the planner: one of the types below.
type Action interface{ action() }

type (
	// SendToForwarder sends a message. Several actions may share one; it is not to be changed.
	SendToForwarder struct {
		Session  SessionID
		Envelope message.Envelope
	}
	// SendToPeer sends a message to another planner. Without a connection it is ignored. Several actions may share the
	// message; it is not to be changed.
	SendToPeer struct {
		Peer     string
		Envelope message.Envelope
	}
	// CloseSession closes a forwarder's connection, after the messages that precede it.
	CloseSession struct{ Session SessionID }
	// SetTimer requests a TimerFired after this duration. A timer that was set before and fires earlier remains set.
	SetTimer struct{ After time.Duration }
	// WatchEndpoints starts to watch the endpoint list from a revision on.
	WatchEndpoints struct{ Revision int64 }
	// LogLine is a line of the operators' log. Attributes are alternating keys and values, as in log/slog.
	LogLine struct {
		Message    string
		Attributes []any
	}
	// Stopped reports that the planner has stopped. No action follows it.
	Stopped struct{}
)

func (SendToForwarder) action() {}
func (SendToPeer) action()      {}
func (CloseSession) action()    {}
func (SetTimer) action()        {}
func (WatchEndpoints) action()  {}
func (LogLine) action()         {}
func (Stopped) action()         {}
