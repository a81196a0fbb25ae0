// Package simapi is the interface between the testbed's environment and a scheduler under test: what reaches the
// scheduler's sockets and process (Input) and what leaves them (Output). Network delays and losses are on the
// environment's side of it.
//
// Both drivers use it. The simulation driver runs the dispatch policy and the request table as a Scheduler; the process
// driver translates the sockets of a real process to Outputs and carries out Inputs on them. A run alternates:
//
//	inputs = environment.Step(now, outputs, inputs[:0])
//	outputs = scheduler.Step(now, inputs, outputs[:0])
//
// All instants are durations since the start of the run. The package reads no clock and has no state.
package simapi

import (
	"time"

	"valvecove/internal/requests"
)

// Conn identifies a connection; a number is never used twice in a run. The environment numbers the connections of
// clients, the driver of a scheduler those to workers (WorkerConn).
type Conn uint64

// The parts of a Conn to a worker.
const (
	workerConnBit  = 1 << 63
	schedulerShift = 40
)

// WorkerConn returns the n-th connection that a scheduler opens to workers, counted over its restarts.
func WorkerConn(scheduler int, n uint64) Conn {
	return Conn(workerConnBit | uint64(scheduler)<<schedulerShift | n)
}

// IsWorkerConn reports whether the connection leads to a worker; else it is a client's.
func (c Conn) IsWorkerConn() bool { return c&workerConnBit != 0 }

// InputKind is the kind of an Input. The comment of each kind names the fields that it sets.
type InputKind uint8

// Kinds of input that act on a scheduler's process.
const (
	Start            InputKind = iota // the process starts with Input.Start
	Terminate                         // SIGTERM
	Kill                              // SIGKILL: the connections of the process are reset
	Freeze                            // SIGSTOP: its sockets stay open and unread
	Resume                            // SIGCONT
	Reload                            // SIGHUP, after its configuration named the discovery address with index Discovery
	Replace                           // a second process starts, and the first gets SIGTERM once that is ready; process driver only
	SlowDown                          // planners only: everything is handled Delay late from now on
	BreakConnections                  // planners only: its connections to forwarders and other planners break
)

// Kinds of input that reach a scheduler's sockets.
const (
	RequestReceived    InputKind = iota + 16 // the last byte of a request arrived on Conn: Request
	ClientClosed                             // the client closed Conn, or it was reset
	ClientMisbehaves                         // a misbehaving client acts on Conn: Misbehavior; process driver only
	WorkerConnected                          // Conn to a worker is open. Bytes > 0: the far end resets it after it has read so many
	WorkerDisconnected                       // Conn was not opened (Reset false), or was closed or reset (Reset true) by the far end
	ResponseReceived                         // the worker's response to what was last sent on Conn: Status, Rejected. Bytes > 0: only so many bytes of it arrive before a reset
	CallbackReceived                         // a callback of Worker, to be answered by CallbackAnswered: Callback, CallbackID
	ListReceived                             // an update on the watch of discovery: List
	WatchEnded                               // the watch ended, or a call to discovery failed
	WatchHeartbeat                           // an empty line on the watch, every 2 s; its absence is for the scheduler to detect
	WatchConnected                           // the connection for the watch is open; with real processes the kernel knows
)

// Kinds of input for the process driver, where a kernel accepts connections. The simulation driver ignores them.
const (
	AcceptModeChanged          InputKind = iota + 48 // Worker accepts connections by Mode from now on
	DiscoveryAcceptModeChanged                       // the discovery address with index Discovery does
)

// Modes in which a worker or discovery accepts connections.
const (
	AcceptAll      = iota // connections are accepted
	AcceptNone            // connections are refused
	AcceptSilently        // connections are neither accepted nor refused
)

// Input is one thing that reaches the scheduler with index Scheduler. Planners, where a scenario has any, are numbered after
// the schedulers. Fields that the Kind does not name are zero.
type Input struct {
	Kind        InputKind
	Reset       bool
	Rejected    bool // X-Rejected: 1
	Scheduler   int
	Worker      int
	Status      int // HTTP status
	Discovery   int // index of an address of discovery
	Mode        int // AcceptAll and the others
	Machine     int // AcceptModeChanged: which machine of Worker; 0: the first
	Bytes       int
	Conn        Conn
	CallbackID  uint64
	Request     *ClientRequest
	Callback    *requests.Callback
	List        *requests.EndpointList
	Start       *StartOptions
	Misbehavior *Misbehavior
	Delay       time.Duration
}

// StartOptions are what a scheduler's process starts with.
type StartOptions struct {
	Name           string
	Seed           uint64
	KnownEndpoints requests.EndpointList // the list that the scheduler had last; it may be stale
	Discovery      int                   // index of the discovery address in its configuration
}

// ClientRequest is a client's request as it stands on the wire.
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

// Misbehavior is what a misbehaving client does on its connection.
type Misbehavior struct {
	Kind      string // one of scenario.MisbehaviorKinds
	Number    uint64 // counts the clients of this kind; random draws follow from it
	RequestID string // of another client's open request, for the kinds that use one
}

// OutputKind is the kind of an Output. The comment of each kind names the fields that it sets.
type OutputKind uint8

// Kinds of output.
const (
	Ready                OutputKind = iota // GET /up answers 200
	Unready                                // GET /up answers 503 after it was ready
	Exited                                 // the process ended by itself: Status is its exit code
	ResponseWritten                        // the last byte of a response is written to the client's Conn: RequestID, Status, RetryAfter, Result
	ClientConnClosed                       // the scheduler closed the client's Conn
	WorkerDialed                           // it opens Conn to Worker
	AttemptWritten                         // the last byte of an attempt is written to Conn: RequestID, IdempotencyKey, Budget, FirstByteAt
	HealthCheckWritten                     // the last byte of a health check is written to Conn: WantsLoadReport, FirstByteAt
	WorkerConnClosed                       // it closes Conn to a worker
	CancellationReceived                   // DELETE /jobs/RequestID reached Worker on Conn
	CallbackAnswered                       // it answers callback CallbackID of Worker with Status; 0: the call failed
	WatchRequested                         // it requests the watch from revision RetryAfter on
	ClientConnFailed                       // process driver only: the client's Conn was never opened, so nothing was sent on it
)

// Output is one thing that comes from the scheduler with index Scheduler. Fields that the Kind does not name are zero.
type Output struct {
	Kind            OutputKind
	Scheduler       int
	Worker          int
	Status          int // HTTP status or exit code
	Machine         int // WorkerDialed: which machine of Worker, 0 the first; a replacement has an ID and an address of its own
	Conn            Conn
	CallbackID      uint64
	RequestID       string
	IdempotencyKey  string
	Result          string        // body of a response
	Budget          time.Duration // X-Budget-Ms
	FirstByteAt     time.Duration // when the first byte was written, since the start of the run
	RetryAfter      time.Duration // Retry-After; 0: none. WatchRequested: the revision, as a number
	WantsLoadReport bool          // the health check asked for the load report
}

// Scheduler is one scheduler under test, over all of its processes.
type Scheduler interface {
	// Step handles the inputs that have reached the scheduler by now, and appends its outputs to dst. It keeps neither slice.
	Step(now time.Duration, inputs []Input, dst []Output) []Output
	// Next returns when Step has to be called at the latest; not ok: only once there is an input.
	Next() (at time.Duration, ok bool)
}
