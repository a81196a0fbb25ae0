// Package transport performs a hot restart between two processes of a scheduler, over a Unix socket: the successor's standby, the
// transfer of all state, and the forwarding of cordon calls to the process that owns the state.
//
// The protocol and its state machines are in package hotrestart; this package opens the sockets, and sends the frames and file
// descriptors. It does not interpret the state that it transfers: what it needs of a scheduler is declared by the interfaces
// below. At any time exactly one of the two processes owns the state: the predecessor, until the successor has sent
// hotrestart.TakenOver. All code runs on the goroutine of the event loop.
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
	ErrNoSuccessor     = errors.New("no successor in standby")
	ErrNotSettled      = errors.New("state not settled yet") // a retry after a short delay may succeed
	ErrTransferGivenUp = errors.New("earlier transfers have failed")
)

// Snapshot is the state of a scheduler in the form in which it is transferred. It does not own the descriptors in it.
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
	// Settle prepares the state for Snapshot. It returns false if that is not possible yet; the caller retries later.
	Settle() bool
	// Snapshot returns the state without changing it.
	Snapshot() Snapshot
	// Release closes this process's descriptors of everything in the snapshot. The connections remain open, as a successor owns
	// them.
	Release()
	// Restore adds the state of a predecessor to that of this process, and takes ownership of the descriptors in it.
	Restore(received hotrestart.ReceivedState)
}

// EndpointWatch is the watch on the endpoint list, which a successor opens before it takes over.
type EndpointWatch interface {
	// WatchEndpoints opens the watch, unless it is open or scheduled.
	WatchEndpoints()
	// HasReceivedEndpoints reports whether a list has been received since the watch was last opened.
	HasReceivedEndpoints() bool
}

// ClientSocket is the socket that clients connect to.
type ClientSocket interface {
	// Socket returns the socket, or eventloop.NoDescriptor.
	Socket() int
	// AddSocket uses a listening socket, and takes ownership of it unless it returns an error.
	AddSocket(descriptor int) error
	// Listen opens a listening socket with the given socket options.
	Listen(address netip.AddrPort, options ...int) error
}

// PeerSocket is the socket for messages between schedulers. Only one process at a time may have it open, as it has a fixed
// address.
type PeerSocket interface {
	Open()
	Close()
}

// CordonTable holds the cordoned workers.
type CordonTable interface {
	Cordoned() (workerIDs []string)
	SetCordoned(workerIDs []string)
}

// CordonCalls executes cordon calls.
type CordonCalls interface {
	// Set cordons or uncordons a worker. respond is called once, with an HTTP status code and a line of text.
	Set(workerID string, cordoned bool, respond func(statusCode int, message string))
	// Apply executes a call that the other process has forwarded. send is called with the result.
	Apply(call hotrestart.SetCordon, send func(hotrestart.CordonResult))
}

// CordonFile is the file of cordoned workers, which is written by one process at a time.
type CordonFile interface {
	// OwnFile makes this process the one that writes the file.
	OwnFile()
	// Store writes the cordoned workers of the request table to the file, in the background.
	Store()
	// Reload cordons the workers in the file.
	Reload()
	// Fence stops writing, so that the other process can write. It returns false while a write is in progress: call it again
	// later.
	Fence() bool
	// Unfence resumes writing after a successor has failed to take over.
	Unfence()
	// UnstoredCount returns 1 if the last change is not in the file yet, and 0 otherwise.
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
	SetHalved func(halved bool)             // makes this process use half of its limits, or all of them
	OnStandby func()                        // called when a successor has entered standby
	OnFail    func(err error)               // called when this process can't continue
}

// Roles contains the roles of one process in hot restarts. At its start the process is the successor of a serving process, if
// there is one; once it serves, it is the predecessor of the process that starts next.
type Roles struct {
	loop        *eventloop.Loop
	config      Config
	cordons     Cordons
	ownership   ownership
	predecessor *predecessor // nil: no successor can connect
	successor   *successor   // nil: there is nothing to take over
}

// New returns the roles of a process that is neither a successor nor a predecessor yet. SetCordons must be called before Join or
// AwaitSuccessor.
func New(loop *eventloop.Loop, config Config) *Roles {
	return &Roles{loop: loop, config: config, ownership: newOwnership(loop.Syscalls(), config.Log)}
}

// SetCordons sets what applies and stores cordons.
func (r *Roles) SetCordons(cordons Cordons) { r.cordons = cordons }

// HasRelinquished reports whether a successor owns the state that this process had.
func (r *Roles) HasRelinquished() bool {
	return r.predecessor != nil && r.predecessor.protocol.HasRelinquished()
}

// IsStandby reports whether this process waits to take over from a predecessor, which owns the state.
func (r *Roles) IsStandby() bool { return r.successor != nil && !r.successor.isServing() }

// AwaitsSuccessor reports whether a successor can connect to this process.
func (r *Roles) AwaitsSuccessor() bool { return r.predecessor != nil }

// HasSuccessor reports whether a successor is connected to this process.
func (r *Roles) HasSuccessor() bool { return r.predecessor != nil && r.predecessor.connection != nil }

// SuccessorState returns the state of this process as a successor. ok is false if it has no predecessor, or has lost it.
func (r *Roles) SuccessorState() (state hotrestart.SuccessorState, ok bool) {
	if r.successor == nil {
		return 0, false
	}
	return r.successor.protocol.State(), true
}

// NotReadyReason returns what this process waits for before it can take over, or an empty string if it is ready or is no
// successor.
func (r *Roles) NotReadyReason() string {
	if r.successor == nil {
		return ""
	}
	return r.successor.notReadyReason()
}

// ForwardCordon forwards a cordon call to the process that owns the state. respond is called with its result, or with an error if
// that process has ended. ForwardCordon may be called only if HasRelinquished or IsStandby returns true.
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

// CordonsChanged notifies a successor in standby of the cordoned workers. The successor reports them in its metrics, and keeps
// them cordoned if this process dies.
func (r *Roles) CordonsChanged() {
	if r.predecessor != nil && r.predecessor.protocol.State() == hotrestart.PredecessorPaired {
		_ = r.predecessor.connection.sendMessage(hotrestart.CordonedWorkers{WorkerIDs: r.config.Cordoned.Cordoned()})
	}
}

// Close closes the sockets of both roles without sending anything or changing any state, like the end of the process would.
func (r *Roles) Close() {
	r.ownership.release()
	if r.predecessor != nil {
		r.predecessor.acceptor.Close()
		if r.predecessor.connection != nil {
			r.predecessor.connection.closeWithDescriptors()
		}
	}
	if r.successor != nil {
		r.successor.close()
	}
}

// readClocks reads the loop's clock and the monotonic clock, which both processes share, at the same time.
func (r *Roles) readClocks() hotrestart.ClockReadings {
	reading, monotonic := clock.ReadPair(r.loop.Clock, r.config.Monotonic)
	return hotrestart.ClockReadings{Clock: reading, Monotonic: monotonic}
}

// closeDescriptor closes a descriptor, unless it is hotrestart.NoDescriptor.
func (r *Roles) closeDescriptor(descriptor int) {
	if descriptor != hotrestart.NoDescriptor {
		_ = r.loop.Syscalls().Close(descriptor)
	}
}

// isMomentary reports whether an error is temporary, so that a retry after a short delay may succeed.
func isMomentary(err error) bool { return eventloop.ClassOf(err).IsMomentary() }
