package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// SessionID identifies a connection of a forwarder. The caller of Step chooses it and never reuses it.
type SessionID uint64

// Event is an input of the planner: one of the types below.
type Event interface{ event() }

type (
	// SessionOpened reports that a forwarder has connected.
	SessionOpened struct{ Session SessionID }
	// SessionClosed reports that a forwarder's connection has ended, whichever side ended it.
	SessionClosed struct{ Session SessionID }
	// ForwarderMessage is a message received from a forwarder.
	ForwarderMessage struct {
		Session  SessionID
		Envelope message.Envelope
	}

	// PeerConnected reports that a connection to another planner is established.
	PeerConnected struct{ Peer string }
	// PeerDisconnected reports that the connection to another planner has ended.
	PeerDisconnected struct{ Peer string }
	// PeerMessage is a message received from another planner.
	PeerMessage struct {
		Peer     string
		Envelope message.Envelope
	}
	// PeersChanged lists the names of the other planners that are alive.
	PeersChanged struct{ Names []string }

	// EndpointsChanged is a watch event of the endpoint list.
	EndpointsChanged struct{ Endpoints dispatch.WorkerList }
	// EndpointSourceChanged reports that the endpoint list now comes from another source, which has its own revisions.
	EndpointSourceChanged struct{}
	// PartitionChanged reports which planner each worker is assigned to. Owner returns a planner's name and must return the
	// same results until the next PartitionChanged. A nil Owner assigns every worker to this planner, as before the first
	// PartitionChanged.
	PartitionChanged struct {
		Owner func(w *dispatch.Worker) string
	}

	// TimerFired reports that a timer requested by SetTimer has fired.
	TimerFired struct{}
	// StopRequested starts the graceful stop of the planner.
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
	// SendToForwarder sends a message to a forwarder. Several actions may share the message, so it must not be modified.
	SendToForwarder struct {
		Session  SessionID
		Envelope message.Envelope
	}
	// SendToPeer sends a message to another planner, and is ignored without a connection to it. Several actions may share
	// the message, so it must not be modified.
	SendToPeer struct {
		Peer     string
		Envelope message.Envelope
	}
	// CloseSession closes a forwarder's connection after the messages of preceding actions are sent.
	CloseSession struct{ Session SessionID }
	// SetTimer requests a TimerFired after a duration. It doesn't replace a timer that fires earlier.
	SetTimer struct{ After time.Duration }
	// WatchEndpoints starts watching the endpoint list from a revision.
	WatchEndpoints struct{ Revision int64 }
	// LogLine is a line of the operators' log. Attributes alternates keys and values, as in log/slog.
	LogLine struct {
		Message    string
		Attributes []any
	}
	// Stopped reports that the planner has stopped. It is the planner's last action.
	Stopped struct{}
)

func (SendToForwarder) action() {}
func (SendToPeer) action()      {}
func (CloseSession) action()    {}
func (SetTimer) action()        {}
func (WatchEndpoints) action()  {}
func (LogLine) action()         {}
func (Stopped) action()         {}
