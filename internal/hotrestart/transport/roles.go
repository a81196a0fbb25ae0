// Package transport carries a hot restart between the two processes of a scheduler, over a Unix socket: the successor's standby,
// the transfer of all state, and cordon calls that are made at the process that does not own the requests.
//
// The protocol and its state machines are those of package hotrestart; this package has the sockets and the sending of file
// descriptors. It decides nothing about the state that it transfers: what it needs of a scheduler is declared by the interfaces
// below. At each moment exactly one of the two processes owns the state: the predecessor, until the successor has sent
// hotrestart.TakenOver. Everything runs on the goroutine of the event loop.
package transport

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"valvecove/internal/http1"

	"valvecove/internal/clock"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

// Errors of Relinquish.
var (
	ErrNoSuccessor = errors.New("no successor in standby")
	ErrNotSettled  = errors.New("state not settled yet") // a retry in a moment may succeed
)

// Snapshot is the state of a scheduler in the form in which it is transferred. The owner of the descriptors stays their owner.
type Snapshot struct {
	Policy            []byte
	RequestTable      hotrestart.RequestTable
	OpenRequests      []hotrestart.OpenRequest
	ClientConnections []ClientConnection
	WorkerConnections []WorkerConnection
}

// ClientConnection is a client's connection and its socket.
type ClientConnection struct {
	Record     hotrestart.ClientConnection
	Descriptor int
}

// WorkerConnection is a connection to a worker and its socket.
type WorkerConnection struct {
	Record     hotrestart.WorkerConnection
	Descriptor int
}

// State is the state that is transferred.
type State interface {
	// Settle prepares the state for Snapshot. It returns false if that has to wait; the caller tries again later.
	Settle() bool
	// Snapshot returns the state, which does not change by that.
	Snapshot() Snapshot
	// Release closes everything that the snapshot contains, without ending it: a successor owns it.
	Release()
	// Restore adds the state of a predecessor to that of this process, and owns the descriptors in it.
	Restore(received hotrestart.ReceivedState)
}

// EndpointWatch is the watch on the endpoint list, which a successor opens in its standby.
type EndpointWatch interface {
	// WatchEndpoints opens the watch, unless it is open or planned.
	WatchEndpoints()
	// HasReceivedEndpoints reports whether a list was received since the watch was last opened.
	HasReceivedEndpoints() bool
}

// ClientSocket is the socket that clients connect to.
type ClientSocket interface {
	// Socket returns the socket, or eventloop.NoDescriptor.
	Socket() int
	// AddSocket uses a socket that listens already. On an error the caller owns the socket.
	AddSocket(descriptor int) error
	// Listen opens a socket, with socket options.
	Listen(address netip.AddrPort, options ...int) error
}

// PeerSocket is the socket for messages between schedulers, at whose address one process at a time receives.
type PeerSocket interface {
	Open()
	Close()
}

// CordonTable holds the cordoned workers.
type CordonTable interface {
	Cordoned() (workerIDs []string)
	SetCordoned(workerIDs []string)
}

// CordonCalls carries out cordon calls.
type CordonCalls interface {
	// Set cordons or uncordons a worker. respond is called once, with an HTTP status code and a line of text.
	Set(workerID string, cordoned bool, respond func(statusCode int, message string))
	// Apply is Set for a call that the other process has forwarded.
	Apply(call hotrestart.SetCordon, send func(hotrestart.CordonResult))
}

// CordonFile is the file of cordoned workers, which one process at a time writes.
type CordonFile interface {
	// OwnFile makes this process the one that writes the file.
	OwnFile()
	// Store writes the cordoned workers of the request table to the file, in the background.
	Store()
	// Reload cordons the workers that the file has.
	Reload()
	// Fence stops writing, so that the other process can. It reports false while a write is in progress: call it again later.
	Fence() bool
	// Unfence resumes writing after a successor has failed to take over.
	Unfence()
	// UnstoredCount returns 1 if the last change is in memory only, else 0.
	UnstoredCount() int
}

// Cordons applies and stores cordons. *management.Cordons implements it.
type Cordons interface {
	CordonCalls
	CordonFile
}

// Config configures Roles.
type Config struct {
	State     State
	Watch     EndpointWatch
	Clients   ClientSocket
	Peers     PeerSocket
	Cordoned  CordonTable
	Log       *slog.Logger
	Monotonic func() time.Duration          // the clock that all processes of the machine share
	Retry     func(open func() error) error // calls open until it succeeds or the start-up timeout has passed
	SetHalved func(halved bool)             // has this process use half of its limits, or all of them
	OnStandby func()                        // called when a successor has entered standby
	OnFail    func(err error)               // called when this process can't continue
}

// Roles are the parts of one process in hot restarts. It is the successor of another process, if there is one when it starts; once it
// serves, it is the predecessor of whichever process starts next.
type Roles struct {
	loop        *eventloop.Loop
	config      Config
	cordons     Cordons
	predecessor *predecessor // nil: no successor can connect
	successor   *successor   // nil: there is nothing to take over
}

// New returns the roles of a process that has neither yet. SetCordons must be called before Join or AwaitSuccessor.
func New(loop *eventloop.Loop, config Config) *Roles { return &Roles{loop: loop, config: config} }

// SetCordons sets what applies and stores cordons.
func (r *Roles) SetCordons(cordons Cordons) { r.cordons = cordons }

// HasRelinquished reports whether a successor owns all state that this process had.
func (r *Roles) HasRelinquished() bool {
	return r.predecessor != nil && r.predecessor.protocol.HasRelinquished()
}

// IsStandby reports whether this process waits to take over from a predecessor, which owns the requests.
func (r *Roles) IsStandby() bool { return r.successor != nil && !r.successor.isServing() }

// AwaitsSuccessor reports whether a successor can connect to this process.
func (r *Roles) AwaitsSuccessor() bool { return r.predecessor != nil }

// HasSuccessor reports whether a successor is connected to this process.
func (r *Roles) HasSuccessor() bool { return r.predecessor != nil && r.predecessor.connection != nil }

// SuccessorState returns the state of this process as a successor; ok is false if it has no predecessor, or no longer has one.
func (r *Roles) SuccessorState() (state hotrestart.SuccessorState, ok bool) {
	if r.successor == nil {
		return 0, false
	}
	return r.successor.protocol.State(), true
}

// NotReadyReason returns what this process waits for before it can take over; an empty string if there is nothing, or if it serves.
func (r *Roles) NotReadyReason() string {
	if r.successor == nil {
		return ""
	}
	return r.successor.notReadyReason()
}

// ForwardCordon forwards a cordon call to the process that owns the requests. respond is called with its answer, or with an error
// if that process is gone. It may be called only if HasRelinquished or IsStandby is true.
func (r *Roles) ForwardCordon(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	if !r.HasRelinquished() {
		r.successor.forwardCordon(workerID, cordoned, respond)
		return
	}
	if r.predecessor.connection == nil {
		respond(http1.StatusServiceUnavailable, "this process has been replaced")
		return
	}
	r.predecessor.connection.forwardCordon(workerID, cordoned, respond)
}

// CordonsChanged notifies a successor in standby of the cordoned workers. It shows them in its metrics, and goes on with them if
// this process dies.
func (r *Roles) CordonsChanged() {
	if r.predecessor != nil && r.predecessor.protocol.State() == hotrestart.PredecessorPaired {
		_ = r.predecessor.connection.sendMessage(hotrestart.CordonedWorkers{WorkerIDs: r.config.Cordoned.Cordoned()})
	}
}

// Close closes the sockets of both roles, as the end of the process does: nothing is sent, and no state changes.
func (r *Roles) Close() {
	if r.predecessor != nil {
		r.predecessor.acceptor.Close()
		if r.predecessor.connection != nil {
			r.predecessor.connection.closeWithDescriptors()
		}
	}
	if r.successor != nil {
		r.successor.closeWithDescriptors()
	}
}

// readClocks reads, at one moment, the loop's clock and the one that it shares with the other process.
func (r *Roles) readClocks() hotrestart.ClockReadings {
	reading, monotonic := clock.Together(r.loop.Clock, r.config.Monotonic)
	return hotrestart.ClockReadings{Clock: reading, Monotonic: monotonic}
}

// closeDescriptor closes a descriptor, unless it is hotrestart.NoDescriptor.
func (r *Roles) closeDescriptor(descriptor int) {
	if descriptor != hotrestart.NoDescriptor {
		_ = r.loop.Syscalls().Close(descriptor)
	}
}

// isMomentary reports whether what has failed may succeed in a moment.
func isMomentary(err error) bool { return eventloop.ClassOf(err).IsMomentary() }
