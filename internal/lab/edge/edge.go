// Package edge is what crosses the border between the lab's world and a scheduler: what reaches the scheduler's
// sockets (In) and what leaves them (Out). Delays and losses of the network lie on the world's side of the border.
//
// Both drivers speak it. In virtual time a Scheduler is the decisions and the ledger; live, the driver turns the
// sockets of a real process into Outs, and carries out Ins on them. A play is the two sides taking turns:
//
//	ins  = world.Step(now, outs, ins[:0])
//	outs = scheduler.Step(now, ins, outs[:0])
//
// All instants are spans since the play's start. Nothing here reads a clock.
package edge

import (
	"time"

	"valvecove/internal/requests"
)

// Conn is the number of a connection; never used twice in a play. Those of clients are given by the world, those to
// worker nodes by whoever plays the scheduler (LinkConn).
type Conn uint64

const linkBit = 1 << 63

// LinkConn is the n-th connection that a scheduler opens to worker nodes, counted over its restarts.
func LinkConn(sched int, n uint64) Conn { return Conn(linkBit | uint64(sched)<<40 | n) }

// Link tells whether it leads to a worker node; else it is a client's.
func (c Conn) Link() bool { return c&linkBit != 0 }

// InKind says what reaches a scheduler.
type InKind uint8

// What the world does to a scheduler's process.
const (
	Start     InKind = iota // the process starts; Boot says with what
	Terminate               // SIGTERM
	Kill                    // SIGKILL: its connections are reset, and nothing of it is left
	Freeze                  // SIGSTOP: its sockets stay, nothing is read
	Resume                  // SIGCONT
	Reload                  // SIGHUP, after its configuration named the discovery at index Disco
	Replace                 // a second process starts, and the first gets SIGTERM once that is ready; live only
	Slow                    // of a planner: it takes in and does everything Late late from now on
	Break                   // of a planner: its connections to forwarders and other planners break
)

// What reaches its sockets.
const (
	Asked    InKind = iota + 16 // the last byte of a query came over the client's connection Conn; Ask
	Left                        // the client closed Conn, or was reset
	Odd                         // a bad client does Odd on Conn; live only
	LinkUp                      // Conn to a worker node is up. Bytes > 0: the far end resets it after having read so many
	LinkDown                    // Conn did not come up (Reset false), or was closed or reset (Reset true) by the other side
	Answered                    // the worker node's answer to what was last sent over Conn: Status, Rejected. Bytes > 0: only so many bytes of it, then a reset
	Told                        // a worker node's note, a call of its own: Note, NoteID; expects Acked
	Listed                      // news on the watch of discovery: List
	Unlisted                    // the watch ended, or a call to discovery failed
	Quiet                       // an empty line on the watch: nothing has changed. One comes every 2 s; it is for the scheduler's side to notice that none does, or that a call stays without an answer
	WatchUp                     // the connection for the watch is up; live, a kernel's business
)

// What concerns a live driver only, as there a kernel connects and accepts; in virtual time it means nothing.
const (
	Hear      InKind = iota + 48 // Node accepts connections by Mode from now on
	HearDisco                    // the discovery at index Disco does
)

// Modes of accepting.
const (
	Open    = iota
	Refuse  // connections are refused
	NeverUp // they never come up
)

// In is something that reaches scheduler Sched. Planners, where a scenario has any, are numbered after the schedulers.
type In struct {
	Kind     InKind
	Reset    bool
	Rejected bool // X-Rejected: 1
	Sched    int
	Node     int
	Status   int
	Disco    int
	Mode     int
	Machine  int // Hear: which machine in Node's place; 0: the first
	Bytes    int
	Conn     Conn
	NoteID   uint64
	Ask      *Ask
	Note     *requests.Callback
	List     *requests.EndpointList
	Boot     *Boot
	Odd      *OddDoing
	Late     time.Duration
}

// Boot is what a scheduler starts with.
type Boot struct {
	Name  string
	Seed  uint64
	Known requests.EndpointList // as it last had it; perhaps old
	Disco int                   // index of the discovery address in its configuration
}

// Ask is a client's query as it stands on the wire.
type Ask struct {
	Call   string
	Class  int
	Tenant int
	Key    string        // Idempotency-Key; empty: none
	Budget time.Duration // X-Budget-Ms
	Hint   time.Duration // X-Call-Cost; 0: none
	Slots  float64       // slots= in X-Call-Info
	Body   int           // length
	Again  bool          // X-Again: 1
}

// OddDoing is what a bad client does with its connection, by the kinds of scenario.BadKinds. N is its number among
// those of this kind, from which what is drawn at random follows.
type OddDoing struct {
	Kind string
	N    uint64
	Call string // of another client's open query, for the kinds that use one
}

// OutKind says what comes from a scheduler.
type OutKind uint8

// What comes from a scheduler.
const (
	Ready   OutKind = iota // GET /up answers 200
	Unready                // GET /up answers 503, after it was ready
	Exited                 // the process has ended by itself; Status is its exit code
	Replied                // the last byte of an answer is written to the client's connection Conn: Call, Status, After, Result
	Cut                    // the scheduler ended the client's connection Conn
	Dial                   // it opens Conn to worker node Node
	Sent                   // the last byte of a query is written to Conn: Call, Attempt, Key, Budget; its first at First
	Probe                  // the same for a probe
	Hangup                 // it closes Conn to a worker node
	Delete                 // DELETE /jobs/Call reached worker node Node over Conn
	Acked                  // it answers the note NoteID of Node with Status; 0: the call failed
	Watch                  // it asks discovery for the watch from generation After on
	Unmet                  // live only: the client's connection Conn never came up, so nothing was asked over it
)

// Out is something that comes from scheduler Sched.
type Out struct {
	Kind   OutKind
	Sched  int
	Node   int
	Status int
	// Dial: at which machine in Node's place, the first being 0. One that took another's place has an id and an address
	// of its own.
	Machine int
	Conn    Conn
	NoteID  uint64
	Call    string
	Key     string
	Result  string        // body of an answer
	Budget  time.Duration // X-Budget-Ms
	First   time.Duration // when the first byte was written
	After   time.Duration // Retry-After; 0: none. With Watch: the generation, as a number
	Load    bool          // the probe asked for the load report
}

// Scheduler is one scheduler as the world meets it. Step takes what has reached it and appends what comes from it.
type Scheduler interface {
	Step(now time.Duration, ins []In, dst []Out) []Out
	// Next tells when it wants to run at the latest; not ok: only when something reaches it.
	Next() (at time.Duration, ok bool)
}
