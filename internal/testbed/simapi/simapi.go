// Package simapi is what crosses the border between the testbed's world and a scheduler: what reaches the scheduler's
// sockets (In) and what leaves them (Out). Delays and losses of the network lie on the environment's side of the border.
//
// Both drivers speak it. In simulated time a Scheduler is the decisions and the ledger; live, the driver turns the
// sockets of a real process into Outs, and carries out Ins on them. A run is the two sides taking turns:
//
//	ins  = world.Step(now, outs, ins[:0])
//	outs = scheduler.Step(now, ins, outs[:0])
//
// All instants are spans since the run's start. Nothing here reads a clock.
package simapi

import (
	"time"

	"valvecove/internal/requests"
)

// Conn is the number of a connection; never used twice in a run. Those of clients are given by the environment, those to
// workers by whoever plays the scheduler (LinkConn).
type Conn uint64

const workerConnBit = 1 << 63

// WorkerConn is the n-th connection that a scheduler opens to workers, counted over its restarts.
func WorkerConn(sched int, n uint64) Conn { return Conn(workerConnBit | uint64(sched)<<40 | n) }

// IsWorkerConn tells whether it leads to a worker; else it is a client's.
func (c Conn) IsWorkerConn() bool { return c&workerConnBit != 0 }

// InputKind says what reaches a scheduler.
type InputKind uint8

// What the environment does to a scheduler's process.
const (
	Start            InputKind = iota // the process starts; Boot says with what
	Terminate                         // SIGTERM
	Kill                              // SIGKILL: its connections are reset, and nothing of it is left
	Freeze                            // SIGSTOP: its sockets stay, nothing is read
	Resume                            // SIGCONT
	Reload                            // SIGHUP, after its configuration named the discovery at index Disco
	Replace                           // a second process starts, and the first gets SIGTERM once that is ready; live only
	SlowDown                          // of a planner: it takes in and does everything Late late from now on
	BreakConnections                  // of a planner: its connections to forwarders and other planners break
)

// What reaches its sockets.
const (
	RequestReceived    InputKind = iota + 16 // the last byte of a request came over the client's connection Conn; Ask
	ClientClosed                             // the client closed Conn, or was reset
	ClientMisbehaves                         // a misbehaving client does Odd on Conn; live only
	WorkerConnected                          // Conn to a worker is up. Bytes > 0: the far end resets it after having read so many
	WorkerDisconnected                       // Conn did not come up (Reset false), or was closed or reset (Reset true) by the other side
	ResponseReceived                         // the worker's answer to what was last sent over Conn: Status, Rejected. Bytes > 0: only so many bytes of it, then a reset
	CallbackReceived                         // a worker's note, a call of its own: Note, NoteID; expects Acked
	ListReceived                             // news on the watch of discovery: List
	WatchEnded                               // the watch ended, or a call to discovery failed
	WatchHeartbeat                           // an empty line on the watch: nothing has changed. One comes every 2 s; it is for the scheduler's side to notice that none does, or that a call stays without an answer
	WatchConnected                           // the connection for the watch is up; live, a kernel's business
)

// What concerns a process driver only, as there a kernel connects and accepts; in simulated time it means nothing.
const (
	AcceptModeChanged          InputKind = iota + 48 // Node accepts connections by Mode from now on
	DiscoveryAcceptModeChanged                       // the discovery at index Disco does
)

// Modes of accepting.
const (
	AcceptAll      = iota
	AcceptNone     // connections are refused
	AcceptSilently // they never come up
)

// Input is something that reaches scheduler Sched. Planners, where a scenario has any, are numbered after the schedulers.
type Input struct {
	Kind        InputKind
	Reset       bool
	Rejected    bool // X-Rejected: 1
	Scheduler   int
	Worker      int
	Status      int
	Discovery   int
	Mode        int
	Machine     int // Hear: which machine in Node's place; 0: the first
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

// StartOptions is what a scheduler starts with.
type StartOptions struct {
	Name           string
	Seed           uint64
	KnownEndpoints requests.EndpointList // as it last had it; perhaps old
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
	BodyLength     int           // length
	Retry          bool          // X-Again: 1
}

// Misbehavior is what a misbehaving client does with its connection, by the kinds of scenario.BadKinds. N is its number among
// those of this kind, from which what is drawn at random follows.
type Misbehavior struct {
	Kind      string
	Number    uint64
	RequestID string // of another client's open request, for the kinds that use one
}

// OutputKind says what comes from a scheduler.
type OutputKind uint8

// What comes from a scheduler.
const (
	Ready                OutputKind = iota // GET /up answers 200
	Unready                                // GET /up answers 503, after it was ready
	Exited                                 // the process has ended by itself; Status is its exit code
	ResponseWritten                        // the last byte of an answer is written to the client's connection Conn: Call, Status, After, Result
	ClientConnClosed                       // the scheduler ended the client's connection Conn
	WorkerDialed                           // it opens Conn to worker Node
	AttemptWritten                         // the last byte of a request is written to Conn: Call, Attempt, Key, Budget; its first at First
	HealthCheckWritten                     // the same for a probe
	WorkerConnClosed                       // it closes Conn to a worker
	CancellationReceived                   // DELETE /jobs/Call reached worker Node over Conn
	CallbackAnswered                       // it answers the callback NoteID of Node with Status; 0: the call failed
	WatchRequested                         // it asks discovery for the watch from generation After on
	ClientConnFailed                       // live only: the client's connection Conn never came up, so nothing was asked over it
)

// Output is something that comes from scheduler Sched.
type Output struct {
	Kind      OutputKind
	Scheduler int
	Worker    int
	Status    int
	// Dial: at which machine in Node's place, the first being 0. One that took another's place has an id and an address
	// of its own.
	Machine         int
	Conn            Conn
	CallbackID      uint64
	RequestID       string
	IdempotencyKey  string
	Result          string        // body of an answer
	Budget          time.Duration // X-Budget-Ms
	FirstByteAt     time.Duration // when the first byte was written
	RetryAfter      time.Duration // Retry-After; 0: none. With Watch: the generation, as a number
	WantsLoadReport bool          // the probe asked for the load report
}

// Scheduler is one scheduler as the environment meets it. Step takes what has reached it and appends what comes from it.
type Scheduler interface {
	Step(now time.Duration, ins []Input, dst []Output) []Output
	// Next tells when it wants to run at the latest; not ok: only when something reaches it.
	Next() (at time.Duration, ok bool)
}
