// Package dispatch decides for one dispatcher that pushes jobs to workers: which job leaves the queue next, which worker
// it is sent to, when it is sent again, and when it is answered without an attempt.
//
// A Dispatcher holds the queue, the state of workers and attempts, and estimates of run times and speeds. It does no I/O,
// reads no clock, starts no goroutine and has no globals: the caller passes events to Dispatcher.Step and carries out the
// returned actions in order. All instants and spans are time.Duration; instants count from an origin of the caller's choice.
// A Dispatcher is for one goroutine. All its randomness comes from one seed: the same events give the same actions.
//
// Contradictory input is tolerated. An event about a job, attempt or worker that is unknown or finished is ignored, and so
// is a second job with the ID of an open one. The last of several entries for one worker in a list counts. Negative,
// infinite or missing figures count as absent. An instant before that of the last step counts as that one.
//
// # Files, in the order of a job's life
//
//   - admission.go adds a job, with a score from prediction.go. quota.go and objective.go decide whether its answer can
//     still have its full utility.
//   - queue.go decides which job leaves the queue next. reservation.go keeps a worker free for a large job.
//   - picker.go chooses its worker, of those that concurrency.go, slowstart.go, outlier.go and cordon.go admit. In a large
//     fleet preference.go says which of them are evaluated first. healthcheck.go checks workers before a choice.
//   - attempts.go sends the job. startmonitor.go says whether it starts promptly, overdue.go acts on attempts that are late,
//     and results.go on the result of each: concurrency.go, learning.go, machine.go and connections.go are updated by these.
//   - retry.go and hedging.go decide when it is sent again. admission.go gives the final answer.
//   - maintenance.go updates estimates at a fixed interval. subscription.go requests the list of workers.
//
// These files decide, and so do the files on leases named below. All others hold the interface, state, indexes and
// estimates, and decide nothing. events.go, actions.go and settings.go are the interface; dispatcher.go is where to begin.
//
// # Leases
//
// Where several dispatchers share the workers and may exchange messages (leasebudget.go), slots of workers are leased, so
// that a job is sent to the worker that is least occupied by all dispatchers. All of it is in the files lease*.go, which a
// reader of a single dispatcher can skip: a job without a lease takes the path above. Three types own their state:
//
//   - leaseClient requests slots for queued jobs, uses what is granted and reports it (leaseclient.go, leasegrants.go,
//     leasereports.go);
//   - leaseCoordinator grants the slots of the shards of workers that this dispatcher coordinates (leasecoordinator.go,
//     leasewaiting.go, leaseslots.go);
//   - peerDirectory says which dispatcher coordinates which shard (leasedirectory.go).
//
// leaseExchange joins them and routes their messages, and leaseAdapter is the only place where they use the queue, the rules
// and the fleet of the Dispatcher. They are no package of their own, as they share three things with the Dispatcher in both
// directions: jobs, attempts and timers refer to leases and leases to them; messages carry a Result; and all are written by
// the one codec of snapshots, in which each refers to the others.
package dispatch
