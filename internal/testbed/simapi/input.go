package simapi

import (
	"time"

	"valvecove/internal/requests"
)

// This file holds the messages that reach a scheduler.

// InputMessage is one of the messages below.
type InputMessage interface{ inputMessage() }

// Messages that act on a scheduler's process.
type (
	// Start starts a process.
	Start struct {
		Name           string
		Seed           uint64
		KnownEndpoints requests.EndpointList // the list that the scheduler had last; it may be stale
		Discovery      int                   // index of the discovery address in its configuration
	}

	// Terminate is SIGTERM.
	Terminate struct{}

	// Kill is SIGKILL. The connections of the process are reset.
	Kill struct{}

	// Freeze is SIGSTOP. The sockets of the process stay open and unread.
	Freeze struct{}

	// Resume is SIGCONT.
	Resume struct{}

	// Reload is SIGHUP, after the configuration named another discovery address.
	Reload struct {
		Discovery int // index of the address
	}

	// Replace starts a second process. The first one gets SIGTERM once the second one is ready. It is for the process driver
	// only.
	Replace struct{}

	// SlowDown makes a planner handle all inputs and timers late by Delay from now on.
	SlowDown struct {
		Delay time.Duration
	}

	// BreakConnections breaks the connections of a planner to forwarders and other planners.
	BreakConnections struct{}
)

// DatagramReceived is a datagram of another scheduler. The bytes may be shared and must not be changed.
type DatagramReceived struct {
	From  int // index of the sender; -1: the sender is not a scheduler
	Bytes []byte
}

func (DatagramReceived) inputMessage() {}

// Messages that reach a scheduler's sockets from clients.
type (
	// RequestReceived is a client's request whose last byte has arrived.
	RequestReceived struct {
		Conn    Conn
		Request *ClientRequest
	}

	// ClientClosed is the close or the reset of a client's connection.
	ClientClosed struct {
		Conn Conn
	}

	// ClientMisbehaves makes a misbehaving client act on its connection. It is for the process driver only.
	ClientMisbehaves struct {
		Conn      Conn
		Kind      string // one of scenario.MisbehaviorKinds
		Number    uint64 // of the client among those of its kind; seeds its random choices
		RequestID string // of another client's open request, for the kinds that use one
	}
)

// ClientRequest is a client's request. The comments name the headers that carry the fields on the wire.
type ClientRequest struct {
	RequestID      string
	Class          int
	Tenant         int
	IdempotencyKey string        // Idempotency-Key; empty: none
	Budget         time.Duration // X-Budget-Ms
	CostHint       time.Duration // X-Call-Cost; 0: none
	Slots          float64       // slots= in X-Call-Info
	BodyLength     int           // bytes
	Retry          bool          // X-Again: 1
}

// Messages that reach a scheduler's sockets from workers.
type (
	// WorkerConnected is a connection that was established.
	WorkerConnected struct {
		Worker     int
		Conn       Conn
		ResetAfter int // number of bytes that the worker reads before it resets the connection; 0: it does not reset it
	}

	// WorkerDisconnected is a connection that could not be established, or that the worker has closed or reset.
	WorkerDisconnected struct {
		Worker int
		Conn   Conn
		Reset  bool // the connection had been established
	}

	// ResponseReceived is the worker's response to what was last sent on the connection.
	ResponseReceived struct {
		Worker   int
		Conn     Conn
		Status   int  // HTTP status
		Rejected bool // X-Rejected: 1
		Bytes    int  // number of bytes that arrive before the connection is reset; 0: the whole response arrives
	}

	// CallbackReceived is a worker's callback, which CallbackAnswered answers.
	CallbackReceived struct {
		Worker     int
		CallbackID uint64
		Callback   *requests.Callback
	}
)

// Messages that reach a scheduler's sockets from discovery.
type (
	// ListReceived is an update on the watch.
	ListReceived struct {
		List *requests.EndpointList
	}

	// WatchEnded is the end of the watch, or a failed request for it.
	WatchEnded struct{}

	// WatchHeartbeat is an empty line on the watch, which discovery sends every 2 s. The scheduler has to detect its absence.
	WatchHeartbeat struct{}

	// WatchConnected is the establishment of the connection for the watch. It is for the simulation driver only: real
	// processes are notified by the kernel.
	WatchConnected struct{}
)

// Messages to the process driver, in which the kernel accepts connections. The simulation driver ignores them.
type (
	// AcceptModeChanged changes how a worker accepts connections.
	AcceptModeChanged struct {
		Worker  int
		Machine int // which machine of the worker; 0: the first
		Mode    int // AcceptAll, AcceptNone or AcceptSilently
	}

	// DiscoveryAcceptModeChanged changes how an address of discovery accepts connections.
	DiscoveryAcceptModeChanged struct {
		Discovery int // index of the address
		Mode      int // AcceptAll, AcceptNone or AcceptSilently
	}
)

// Modes in which a worker or discovery accepts connections.
const (
	AcceptAll      = iota // connections are accepted
	AcceptNone            // connections are refused
	AcceptSilently        // connections are neither accepted nor refused
)

func (Start) inputMessage()                      {}
func (Terminate) inputMessage()                  {}
func (Kill) inputMessage()                       {}
func (Freeze) inputMessage()                     {}
func (Resume) inputMessage()                     {}
func (Reload) inputMessage()                     {}
func (Replace) inputMessage()                    {}
func (SlowDown) inputMessage()                   {}
func (BreakConnections) inputMessage()           {}
func (RequestReceived) inputMessage()            {}
func (ClientClosed) inputMessage()               {}
func (ClientMisbehaves) inputMessage()           {}
func (WorkerConnected) inputMessage()            {}
func (WorkerDisconnected) inputMessage()         {}
func (ResponseReceived) inputMessage()           {}
func (CallbackReceived) inputMessage()           {}
func (ListReceived) inputMessage()               {}
func (WatchEnded) inputMessage()                 {}
func (WatchHeartbeat) inputMessage()             {}
func (WatchConnected) inputMessage()             {}
func (AcceptModeChanged) inputMessage()          {}
func (DiscoveryAcceptModeChanged) inputMessage() {}
