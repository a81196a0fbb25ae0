// Package seen is what the lab's world saw happen at clients, worker nodes and discovery: the only testimony that
// the judge and the figures go by. Nothing in it is a scheduler's word.
package seen

import "time"

// What says what was seen.
type What uint8

// At clients.
const (
	Due       What = iota // a job fell due: Job, Class, Tenant, Work, Slots, Aim (span until its answer earns), Deadline (span until its client gives up for good), Over (beyond its tenant's share), Key, Span (how late the lab was with it)
	Asked                 // a try's last byte was written: Call, Job, Try, Sched, Conn, Key, Budget; Again as told on the wire. Twice for one Call where the scheduler closed its connection unread: then the second counts
	Answered              // the last byte of an answer came: Call, Status, After, Text (its body)
	Lost                  // its connection ended without an answer: Call
	Left                  // the client went away of its own accord before its deadline: Call
	GaveUp                // its time is up, unanswered: Call
	Settled               // the job is over for its client: Job; Status of its last answer, 0 for none
	OddBegan              // a bad client connected: Conn, Text (its kind)
	OddEnded              // it had its answer (Status) or was closed (Status 0): Conn. Again for each 200 that follows
	Unreached             // a try found no scheduler, and was not asked: Call, Job, Try, Sched (-1: the front had none)
)

// At worker nodes. Node is the machine, Boot counts its processes.
const (
	Reached   What = iota + 32 // the last byte of an attempt came in: Call, Node, Boot, Sched, Conn, Key, Budget, First (when its first byte was written)
	Rejected                   // it was turned away unseen: Call, Node, Status
	Accepted                   // 202: Call, Node
	Began                      // it begins to run: Call, Node, Boot. Text "repeat" where the cell dropped it as one
	Finished                   // it has run to its end: Call, Node, Text (the result made), Status (200, or 500 for an error)
	Returned                   // handed back unstarted: Call, Node
	Died                       // it ended with its process, or is never going to run: Call, Node, Text (why)
	Withdrawn                  // DELETE /jobs/ID, or the connection closed before the 202: Call, Node. Text "forgotten" where the network had forgotten the connection: its scheduler knows nothing of it
	Noted                      // a note was answered: Call, Node, Sched, Text (state), Status; Try counts its sendings
	NoteLost                   // a note was given up: Call, Node, Text (state)
	Probed                     // a probe came: Node, Sched
	Linked                     // a connection was opened to Node by Sched
	Pushed                     // work of Slots x Work (s) arrived at a cold Node from Sched; Share is its capacity, in cores at speed 1, then
	Fell                       // Node was pushed over while cold; Share: part of the work that came from schedulers that knew of its start
	Sent                       // an attempt was wholly written on a connection to Node: Call, Node, Sched. It may never reach it. Live: told with Reached
	Dialled                    // Sched began to open a connection to Node, Conn, which may never be Linked. Live: told once it has come up
	Struck                     // a fault of the timeline, or a pause, begins to hold for Node: Text (what)
	Spared                     // it no longer does: Node, Text
	Stands                     // Node runs at the play's start, and long has: Boot; Slots that it has, Text its kind
	Unread                     // the connection to Node over which an attempt was wholly written is over for its scheduler, which has closed it or been told so, and Node has not read it: Call, Node, Sched, First
)

// Of the fleet, discovery and processes.
const (
	NodeUp       What = iota + 64 // Node, Boot started; Slots that it has, Text its kind
	NodeDown                      // its process ended
	NodeDrain                     // it began to drain
	NodeHang                      // it hangs from now on
	NodeWell                      // a hang, pause or slowness of it ended
	Drained                       // Sched was told that Node drains or is gone
	Started                       // Sched was told of Node's last start (Boot)
	SchedUp                       // Sched's process started
	SchedReady                    // Sched answered /up with 200
	SchedTerm                     // SIGTERM
	SchedKill                     // SIGKILL
	SchedFroze                    // SIGSTOP
	SchedWoke                     // SIGCONT
	SchedHup                      // SIGHUP
	SchedReplace                  // a second process is to take its place
	SchedExit                     // it ended by itself, with Status
	FaultOn                       // a fault of the timeline begins: Text
	FaultOff                      // it ends
	Usage                         // figures of a process: Sched (-1: the lab), Memory (bytes), Files (descriptors), CPU (so far)
	Late                          // the lab itself was late by Span
)

// Sight is one thing seen. Fields that a What does not name are zero; Class, Tenant, Sched and Node count from 0.
type Sight struct {
	At       time.Duration // since the play's start
	What     What
	Again    bool
	Over     bool
	Try      int
	Class    int
	Tenant   int
	Sched    int
	Node     int
	Boot     int
	Status   int
	Files    int
	Job      uint64
	Conn     uint64
	Call     string
	Key      string
	Text     string
	Work     float64 // s at speed 1
	Slots    float64
	Share    float64
	Memory   int64
	Aim      time.Duration
	Deadline time.Duration
	Budget   time.Duration
	First    time.Duration
	After    time.Duration
	CPU      time.Duration
	Span     time.Duration
}

// Watcher is told what was seen, in order of time. The sight may not be kept beyond the call.
type Watcher func(s *Sight)
