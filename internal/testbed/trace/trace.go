// Package trace is what the testbed's world saw happen at clients, workers and discovery: the only testimony that
// the checker and the figures go by. Nothing in it is a scheduler's word.
package trace

import "time"

// Kind says what was seen.
type Kind uint8

// At clients.
const (
	JobDue                     Kind = iota // a job fell due: Job, Class, Tenant, Work, Slots, Aim (span until its answer earns), Deadline (span until its client gives up for good), Over (beyond its tenant's share), Key, Span (how late the testbed was with it)
	RequestSent                            // a try's last byte was written: Call, Job, Try, Sched, Conn, Key, Budget; Again as told on the wire. Twice for one Call where the scheduler closed its connection unread: then the second counts
	ResponseReceived                       // the last byte of an answer came: Call, Status, After, Text (its body)
	ConnectionLost                         // its connection ended without an answer: Call
	ClientLeft                             // the client went away of its own accord before its deadline: Call
	ClientTimedOut                         // its time is up, unanswered: Call
	JobSettled                             // the job is over for its client: Job; Status of its last answer, 0 for none
	MisbehavingClientConnected             // a misbehaving client connected: Conn, Text (its kind)
	MisbehavingClientAnswered              // it had its answer (Status) or was closed (Status 0): Conn. Again for each 200 that follows
	SchedulerUnreachable                   // a try found no scheduler, and was not asked: Call, Job, Try, Sched (-1: the load balancer had none)
)

// At workers. Node is the machine, Boot counts its processes.
const (
	AttemptReceived    Kind = iota + 32 // the last byte of an attempt came in: Call, Node, Boot, Sched, Conn, Key, Budget, First (when its first byte was written)
	AttemptRejected                     // it was rejected unseen: Call, Node, Status
	AttemptAccepted                     // 202: Call, Node
	AttemptStarted                      // it begins to run: Call, Node, Boot. Text "repeat" where the cell dropped it as one
	AttemptFinished                     // it has run to its end: Call, Node, Text (the result made), Status (200, or 500 for an error)
	AttemptReturned                     // handed back unstarted: Call, Node
	AttemptDied                         // it ended with its process, or is never going to run: Call, Node, Text (why)
	AttemptCancelled                    // DELETE /jobs/ID, or the connection closed before the 202: Call, Node. Text "forgotten" where the network had forgotten the connection: its scheduler knows nothing of it
	CallbackAnswered                    // a callback was answered: Call, Node, Sched, Text (state), Status; Try counts its sendings
	CallbackLost                        // a callback was given up: Call, Node, Text (state)
	HealthChecked                       // a probe came: Node, Sched
	WorkerConnected                     // a connection was opened to Node by Sched
	ColdWorkReceived                    // work of Slots x Work (s) arrived at a cold Node from Sched; Share is its capacity, in cores at speed 1, then
	WorkerOverloaded                    // Node was pushed over while cold; Share: part of the work that came from schedulers that knew of its start
	AttemptSent                         // an attempt was wholly written on a connection to Node: Call, Node, Sched. It may never reach it. Live: told with Reached
	WorkerDialed                        // Sched began to open a connection to Node, Conn, which may never be Linked. Live: told once it has come up
	WorkerFaultStarted                  // a fault of the timeline, or a pause, begins to hold for Node: Text (what)
	WorkerFaultEnded                    // it no longer does: Node, Text
	WorkerPresent                       // Node runs at the run's start, and long has: Boot; Slots that it has, Text its kind
	AttemptUnread                       // the connection to Node over which an attempt was wholly written is over for its scheduler, which has closed it or been told so, and Node has not read it: Call, Node, Sched, First
)

// Of the fleet, discovery and processes.
const (
	WorkerStarted       Kind = iota + 64 // Node, Boot started; Slots that it has, Text its kind
	WorkerStopped                        // its process ended
	WorkerDraining                       // it began to drain
	WorkerHung                           // it hangs from now on
	WorkerRecovered                      // a hang, pause or slowness of it ended
	DrainNotified                        // Sched was told that Node drains or is gone
	StartNotified                        // Sched was told of Node's last start (Boot)
	SchedulerStarted                     // Sched's process started
	SchedulerReady                       // Sched answered /up with 200
	SchedulerTerminated                  // SIGTERM
	SchedulerKilled                      // SIGKILL
	SchedulerFrozen                      // SIGSTOP
	SchedulerResumed                     // SIGCONT
	SchedulerReloaded                    // SIGHUP
	SchedulerReplaced                    // a second process is to take its place
	SchedulerExited                      // it ended by itself, with Status
	FaultStarted                         // a fault of the timeline begins: Text
	FaultEnded                           // it ends
	ResourceUsage                        // figures of a process: Sched (-1: the testbed), Memory (bytes), Files (descriptors), CPU (so far)
	TestbedLate                          // the testbed itself was late by Span
)

// Event is one thing seen. Fields that a What does not name are zero; Class, Tenant, Sched and Node count from 0.
type Event struct {
	At               time.Duration // since the run's start
	Kind             Kind
	Resent           bool
	OverQuota        bool
	Number           int
	Class            int
	Tenant           int
	Scheduler        int
	Worker           int
	Incarnation      int
	Status           int
	OpenFiles        int
	JobID            uint64
	Conn             uint64
	RequestID        string
	IdempotencyKey   string
	Text             string
	Work             float64 // s at speed 1
	Slots            float64
	Share            float64
	Memory           int64
	LatencyObjective time.Duration
	Deadline         time.Duration
	Budget           time.Duration
	FirstByteAt      time.Duration
	RetryAfter       time.Duration
	CPU              time.Duration
	Lateness         time.Duration
}

// Observer is told what was seen, in order of time. The trace event may not be kept beyond the call.
type Observer func(s *Event)
