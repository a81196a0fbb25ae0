// Package trace defines the events that the testbed's environment observes at clients, workers and discovery during a
// run. They are the only evidence that the invariant checker, the starvation checker and the figures use: nothing in them
// is reported by a scheduler. The package holds types only; it records and decides nothing.
package trace

import "time"

// Kind is the kind of an event. The comment of each kind names the fields of Event that it sets, besides At.
type Kind uint8

// Events at clients.
const (
	JobDue                     Kind = iota // a job fell due: JobID, Class, Tenant, Work, Slots, LatencyObjective and Deadline (from now), OverQuota, IdempotencyKey, Lateness (of the testbed)
	RequestSent                            // the last byte of a request was written: RequestID, JobID, Number, Scheduler, Conn, IdempotencyKey, Budget; Resent as on the wire. Repeated for a RequestID whose connection the scheduler closed unread; the second one counts
	ResponseReceived                       // the last byte of a response arrived: RequestID, Status, RetryAfter, Text (the body)
	ConnectionLost                         // the connection ended without a response: RequestID
	ClientLeft                             // the client closed before its deadline: RequestID
	ClientTimedOut                         // the deadline passed without a response: RequestID
	JobSettled                             // the job is over for its client: JobID; Status of the last response, or 0
	MisbehavingClientConnected             // a misbehaving client connected: Conn, Text (its kind)
	MisbehavingClientAnswered              // it received a response (Status) or was closed (Status 0): Conn. Repeated for each further 200
	SchedulerUnreachable                   // a request was not sent as no scheduler was reached: RequestID, JobID, Number, Scheduler (-1: the load balancer had none)
)

// Events at workers. Incarnation counts the processes of a worker.
const (
	AttemptReceived    Kind = iota + 32 // the last byte of an attempt arrived: RequestID, Worker, Incarnation, Scheduler, Conn, IdempotencyKey, Budget, FirstByteAt
	AttemptRejected                     // it was rejected before it was examined: RequestID, Worker, Status
	AttemptAccepted                     // it was answered with 202: RequestID, Worker
	AttemptStarted                      // it starts to run: RequestID, Worker, Incarnation. Text "repeat" if it was dropped as a duplicate
	AttemptFinished                     // it ran to its end: RequestID, Worker, Text (the result), Status (200, or 500 for an error)
	AttemptReturned                     // it was handed back unstarted: RequestID, Worker
	AttemptDied                         // it ended with its process, or will never run: RequestID, Worker, Text (the reason)
	AttemptCancelled                    // DELETE /jobs/ID, or the connection closed before the 202: RequestID, Worker. Text "forgotten" if the network dropped the connection, of which its scheduler does not know
	CallbackAnswered                    // a callback was answered: RequestID, Worker, Scheduler, Text (the state), Status; Number counts its sendings
	CallbackLost                        // a callback was given up: RequestID, Worker, Text (the state)
	HealthChecked                       // a health check arrived: Worker, Scheduler
	WorkerConnected                     // Scheduler opened a connection to Worker
	ColdWorkReceived                    // work of Slots x Work seconds arrived at a Worker that is warming up, from Scheduler; Share is its capacity then, in cores at speed 1
	WorkerOverloaded                    // Worker collapsed while warming up; Share is the part of the work that came from schedulers that knew of its start
	AttemptSent                         // an attempt was wholly written to a connection to Worker, which may never receive it: RequestID, Worker, Scheduler. Real processes: recorded with AttemptReceived
	WorkerDialed                        // Scheduler began to open Conn to Worker; WorkerConnected may never follow. Real processes: recorded once it is open
	WorkerFaultStarted                  // a fault of the timeline, or a pause, begins to affect Worker: Text (which)
	WorkerFaultEnded                    // it no longer does: Worker, Text
	WorkerPresent                       // Worker runs at the start of the run and has done so for long: Incarnation, Slots, Text (its kind)
	AttemptUnread                       // the scheduler has closed, or knows to be closed, a connection with a wholly written attempt that Worker did not read: RequestID, Worker, Scheduler, FirstByteAt
)

// Events of the fleet, of discovery and of processes.
const (
	WorkerStarted       Kind = iota + 64 // a process of Worker started: Incarnation, Slots, Text (its kind)
	WorkerStopped                        // its process ended: Worker
	WorkerDraining                       // Worker began to drain
	WorkerHung                           // Worker hangs from now on
	WorkerRecovered                      // a hang, pause or slowdown of Worker ended
	DrainNotified                        // Scheduler was notified that Worker drains or is removed
	StartNotified                        // Scheduler was notified of Worker's last start: Incarnation
	SchedulerStarted                     // Scheduler's process started
	SchedulerReady                       // Scheduler answered /up with 200
	SchedulerTerminated                  // SIGTERM
	SchedulerKilled                      // SIGKILL
	SchedulerFrozen                      // SIGSTOP
	SchedulerResumed                     // SIGCONT
	SchedulerReloaded                    // SIGHUP
	SchedulerReplaced                    // a second process is to take its place
	SchedulerExited                      // it ended by itself: Status
	FaultStarted                         // a fault of the timeline begins: Text
	FaultEnded                           // it ends: Text
	ResourceUsage                        // usage of a process: Scheduler (-1: the testbed), Memory (bytes), OpenFiles, CPU (so far)
	TestbedLate                          // the testbed itself was late by Lateness
)

// Event is one observation. Fields that its Kind does not name are zero. Class, Tenant, Scheduler and Worker are indices
// from 0.
type Event struct {
	At               time.Duration // since the start of the run
	Kind             Kind
	Resent           bool
	OverQuota        bool
	Number           int // of the request within its job, from 0, or of a callback's sending
	Class            int
	Tenant           int
	Scheduler        int
	Worker           int
	Incarnation      int
	Status           int // HTTP status or exit code
	OpenFiles        int
	JobID            uint64
	Conn             uint64
	RequestID        string
	IdempotencyKey   string
	Text             string
	Work             float64 // seconds at speed 1
	Slots            float64
	Share            float64
	Memory           int64 // bytes
	LatencyObjective time.Duration
	Deadline         time.Duration
	Budget           time.Duration
	FirstByteAt      time.Duration // since the start of the run
	RetryAfter       time.Duration
	CPU              time.Duration
	Lateness         time.Duration
}

// Observer is called with each event, in order of time, on the goroutine of the environment. The event is reused: it may
// not be kept beyond the call.
type Observer func(event *Event)
