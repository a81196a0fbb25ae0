// Package trace defines the events that the testbed's environment observes at clients, workers and discovery during a
// run. They are the only evidence that the invariant checker, the starvation checker and the figures use: nothing in them
// is reported by a scheduler. The package holds types only; it records and decides nothing.
package trace

import "time"

// Kind is the kind of an event. The comment of each kind lists, after a colon, the fields of Event that it sets besides At.
type Kind uint8

// Events at clients.
const (
	// JobDue is a job that fell due: JobID, Class, Tenant, Work, Slots, LatencyObjective and Deadline (from now), OverQuota,
	// IdempotencyKey, Lateness (of the testbed).
	JobDue Kind = iota
	// RequestSent is the last byte of a request that was written: RequestID, JobID, Number, Scheduler, Conn, IdempotencyKey,
	// Budget, Resent (the request carries X-Again: 1). It is repeated for a RequestID whose connection the scheduler closed
	// unread; the second one counts.
	RequestSent
	// ResponseReceived is the last byte of a response that arrived: RequestID, Status, RetryAfter, Text (the body).
	ResponseReceived
	// ConnectionLost is the end of a connection without a response: RequestID.
	ConnectionLost
	// ClientLeft is a client that closed its connection before its deadline: RequestID.
	ClientLeft
	// ClientTimedOut is a deadline that passed without a response: RequestID.
	ClientTimedOut
	// JobSettled is the end of a job for its client: JobID, Status (of the last response, or 0).
	JobSettled
	// MisbehavingClientConnected is a misbehaving client that connected: Conn, Text (its kind).
	MisbehavingClientConnected
	// MisbehavingClientAnswered is a response to a misbehaving client, or the close of its connection: Conn, Status (0: it
	// was closed). It is repeated for each further 200.
	MisbehavingClientAnswered
	// SchedulerUnreachable is a request that was not sent, as no scheduler could be reached: RequestID, JobID, Number,
	// Scheduler (-1: the load balancer had none).
	SchedulerUnreachable
)

// Events at workers. Incarnation counts the processes of a worker.
const (
	// AttemptReceived is the last byte of an attempt that arrived: RequestID, Worker, Incarnation, Scheduler, Conn,
	// IdempotencyKey, Budget, FirstByteAt.
	AttemptReceived Kind = iota + 32
	// AttemptRejected is an attempt that was rejected before it was examined: RequestID, Worker, Status.
	AttemptRejected
	// AttemptAccepted is an attempt that was answered with 202: RequestID, Worker.
	AttemptAccepted
	// AttemptStarted is the start of an attempt's execution: RequestID, Worker, Incarnation, Text ("repeat" if the attempt
	// was dropped as a duplicate).
	AttemptStarted
	// AttemptFinished is the end of an execution: RequestID, Worker, Text (the result), Status (200, or 500 for an error).
	AttemptFinished
	// AttemptReturned is an attempt that was returned unstarted: RequestID, Worker.
	AttemptReturned
	// AttemptDied is an attempt that ended with its process, or will never be executed: RequestID, Worker, Text (the reason).
	AttemptDied
	// AttemptCancelled is a DELETE /jobs/ID, or the close of the connection before the 202: RequestID, Worker, Text
	// ("forgotten" if the network dropped the connection, of which the scheduler is not notified).
	AttemptCancelled
	// CallbackAnswered is a callback that was answered: RequestID, Worker, Scheduler, Text (the state), Status, Number (of
	// its sendings so far).
	CallbackAnswered
	// CallbackLost is a callback that the worker gave up: RequestID, Worker, Text (the state).
	CallbackLost
	// HealthChecked is a health check that arrived: Worker, Scheduler.
	HealthChecked
	// WorkerConnected is a connection that was established: Scheduler, Worker, Conn.
	WorkerConnected
	// ColdWorkReceived is work that arrived at a worker that is warming up: Worker, Scheduler, Work and Slots (it has to do
	// their product), Share (the worker's capacity then, in cores at speed 1).
	ColdWorkReceived
	// WorkerOverloaded is a worker that collapsed while it was warming up: Worker, Share (the share of the work from
	// schedulers that were notified of its start).
	WorkerOverloaded
	// AttemptSent is an attempt that was wholly written to a connection, and that the worker may never receive: RequestID,
	// Worker, Scheduler. With real processes it is recorded with AttemptReceived.
	AttemptSent
	// WorkerDialed is a connection that a scheduler began to open: Scheduler, Worker, Conn. WorkerConnected may never follow.
	// With real processes it is recorded once the connection is open.
	WorkerDialed
	// WorkerFaultStarted is the start of a fault of the timeline, or a pause, that affects a worker: Worker, Text (which).
	WorkerFaultStarted
	// WorkerFaultEnded is the end of such a fault: Worker, Text.
	WorkerFaultEnded
	// WorkerPresent is a worker that is up at the start of the run, and has been up for a long time: Worker, Incarnation,
	// Slots, Text (its kind).
	WorkerPresent
	// AttemptUnread is a connection that ended, as its scheduler knows, with a wholly written attempt that the worker did not
	// read: RequestID, Worker, Scheduler, FirstByteAt.
	AttemptUnread
)

// Events of the fleet, of discovery and of processes.
const (
	// WorkerStarted is the start of a worker's process: Worker, Incarnation, Slots, Text (its kind).
	WorkerStarted Kind = iota + 64
	// WorkerStopped is the end of a worker's process: Worker.
	WorkerStopped
	// WorkerDraining is a worker that began to drain: Worker.
	WorkerDraining
	// WorkerHung is a worker that hangs from now on: Worker.
	WorkerHung
	// WorkerRecovered is the end of a worker's hang, pause or slowdown: Worker.
	WorkerRecovered
	// DrainNotified is a scheduler that was notified that a worker drains or is removed: Scheduler, Worker.
	DrainNotified
	// StartNotified is a scheduler that was notified of a worker's last start: Scheduler, Worker, Incarnation.
	StartNotified
	// SchedulerStarted is the start of a scheduler's process: Scheduler.
	SchedulerStarted
	// SchedulerReady is a scheduler that answered /up with 200: Scheduler.
	SchedulerReady
	// SchedulerTerminated is a SIGTERM: Scheduler.
	SchedulerTerminated
	// SchedulerKilled is a SIGKILL: Scheduler.
	SchedulerKilled
	// SchedulerFrozen is a SIGSTOP: Scheduler.
	SchedulerFrozen
	// SchedulerResumed is a SIGCONT: Scheduler.
	SchedulerResumed
	// SchedulerReloaded is a SIGHUP: Scheduler.
	SchedulerReloaded
	// SchedulerReplaced is a second process that is to replace a scheduler's process: Scheduler.
	SchedulerReplaced
	// SchedulerExited is a scheduler's process that ended by itself: Scheduler, Status.
	SchedulerExited
	// FaultStarted is the start of a fault of the timeline: Text.
	FaultStarted
	// FaultEnded is the end of a fault of the timeline: Text.
	FaultEnded
	// ResourceUsage is the usage of a process: Scheduler (-1: the testbed), Memory (bytes), OpenFiles, CPU (so far).
	ResourceUsage
	// TestbedLate is a lateness of the testbed itself: Lateness.
	TestbedLate
)

// Event is one observation. Fields that the comment of its Kind does not list are zero. Class, Tenant, Scheduler and Worker are
// indexes from 0.
type Event struct {
	At               time.Duration // since the start of the run
	Kind             Kind
	Resent           bool
	OverQuota        bool
	Number           int // index of a request in its job, or the number of times that a callback was sent
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

// Observer is called with each event, in order of time, on the goroutine of the environment. The event is reused, so it must
// not be retained after the call.
type Observer func(event *Event)
