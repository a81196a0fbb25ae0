// Package dispatch decides for one dispatcher that pushes jobs to workers: which job leaves the queue next,
// which worker it is sent to, when it is sent again, and when it is answered without an attempt.
//
// A Dispatcher holds the queue, the state of workers and attempts, and estimates of run times and speeds. It
// does no I/O, reads no clock, starts no goroutine and has no globals: the caller passes events to
// Dispatcher.Step and carries out the returned actions in order. All points in time and durations are
// time.Duration; points in time count from an origin of the caller's choice. A Dispatcher is not safe for
// concurrent use. All its random choices depend on one seed: the same events result in the same actions.
//
// Contradictory input is tolerated. An event about a job, attempt or worker that is unknown or finished is
// ignored, and so is a second job with the ID of an open one. If a list has several entries for one worker,
// the last one counts. Negative, infinite or missing numbers count as absent. If a step's time is before that
// of the last step, that of the last step is used.
//
// # Files, in the order of a job's life
//
//   - admission.go adds a job, with a score from prediction.go. quota.go and objective.go decide whether its
//     answer can still have its full utility.
//   - queue.go decides which job leaves the queue next. reservation.go keeps a worker free for a large job.
//   - picker.go chooses its worker, of those that concurrency.go, slowstart.go, outlier.go and cordon.go
//     admit. In a large fleet preference.go says which of them are evaluated first. healthcheck.go checks
//     workers before a choice.
//   - attempts.go sends the job. startmonitor.go says whether it starts promptly, overdue.go acts on attempts
//     that are late, and results.go handles the result of each. They update the state and the estimates in
//     concurrency.go, learning.go, machine.go and connections.go.
//   - retry.go and hedging.go decide when it is sent again. admission.go gives the final answer.
//   - maintenance.go updates estimates at a fixed interval. subscription.go requests the list of workers.
//
// These files make the decisions, together with those on leases named below. events.go, actions.go and
// settings.go are the interface; begin to read at dispatcher.go.
//
// # State and estimates
//
// These files hold state and make no decisions:
//
//   - state.go has the Dispatcher; dispatcher.go creates it and has Step. replicas.go has the number of
//     dispatchers and this one's index.
//   - jobs.go, attemptinfo.go and workerinfo.go have one job, attempt and worker. jobqueue.go has the queued
//     jobs, fleet.go all workers, workers.go their changes by a list, index.go those that may have capacity.
//   - ejection.go has the reasons of an ejection, which outlier.go decides on; stall.go detects stalls of
//     this process.
//   - starttracker.go has the attempts that have not started, which startmonitor.go watches.
//   - workload.go and arrivals.go have estimates of jobs, machine.go of machine kinds, loadreport.go what
//     workers report. model.go passes estimates to other dispatchers. resume.go takes over jobs and attempts
//     of others.
//   - timers.go, heap.go, tokenbucket.go, hash.go and numbers.go are utilities. codec.go and snapshot*.go
//     write and read the state.
//
// # Leases
//
// If several dispatchers share the workers and may exchange messages (leasebudget.go), slots of workers are
// leased, so that a job is sent to the worker that is least occupied by all dispatchers. All of it is in the
// files lease*.go, which a reader of a single dispatcher can skip: a job without a lease takes the path
// above. Three types own their state:
//
//   - leaseClient requests slots for queued jobs, uses what is granted and reports it (leaseclient.go,
//     leasegrants.go, leasereports.go);
//   - leaseCoordinator grants the slots of the shards of workers that this dispatcher coordinates
//     (leasecoordinator.go, leasewaiting.go, leaseslots.go);
//   - peerDirectory says which dispatcher coordinates which shard (leasedirectory.go).
//
// leaseExchange connects them and routes their messages, and leaseAdapter is the only place where they use
// the queue, the rules and the fleet of the Dispatcher. Leases are not a package of their own, as the two
// packages would import each other: jobs, attempts and timers refer to leases, and leases to them; messages
// carry a Result; and one codec writes all of these to snapshots, where they refer to each other.
package dispatch
