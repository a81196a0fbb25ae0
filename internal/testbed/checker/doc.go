// Package checker checks a run against the rules for schedulers. It keeps its own history of every job, from the trace of
// what clients, workers and discovery saw (package trace) and never from what a scheduler reports. It explains each
// violation by the events of its job. It never influences the run.
//
// # The rules
//
// The names in the first column are stable. Time limits are those of the scenario (scenario.Rules, Schedulers, Classes).
// An attempt counts as possibly executed from when it reached a worker until that worker rejects it or returns it unstarted.
// An attempt that reached no worker was not executed, whatever its scheduler assumes. The later of two attempts is the one
// whose first byte was written later. Each rule ends with the documents and sections that it follows from: P is PROTOCOL,
// W is WIRE; LATER and DEPLOY are documents, too.
//
//	one-answer             each request that a running scheduler has admitted gets one final answer, seen by its client
//	                       within its budget, the slack and the network's delay. Broken by a second answer; by none
//	                       in time; by a connection that the scheduler ends without a whole answer; by an attempt
//	                       whose first byte is written more than 0.1 s after the client saw the end of the request,
//	                       or left.
//	                       P The rules on sockets; W The contract, 1
//	payout-once            a job of a non-idempotent class reaches no worker while an earlier attempt was possibly
//	                       executed, and is executed once at most. It covers all requests of a job, since clients
//	                       retry such a job only after a rejection; a client's retry after another end of a request is
//	                       no violation by schedulers. W The contract, 2
//	key-scope              once an attempt with a key was possibly executed, later ones go to the same cell or zone (or
//	                       to all) and begin within the class's window after its first byte; all have the client's
//	                       key. W The contract, 2; P Schedulers to workers
//	refusal-harmless       a request is answered with 429 or 503 only if none of its attempts was possibly executed, and
//	                       none reaches a worker later. Idempotent requests, and those with a key that all workers
//	                       share, may always be rejected. W The contract, 2; P The rules on sockets
//	drain                  no request's first byte is written to a worker later than drain_grace after the scheduler
//	                       was notified that the worker drains or is gone. A lost notification counts as received 6 s
//	                       later, so a scheduler that is disconnected from discovery for longer may send nothing to
//	                       that worker.
//	                       W The contract, 3; P The rules on sockets, Figures
//	cold                   schedulers don't overload a worker that is warming up. Broken if it is overloaded and two
//	                       thirds or more of its work came from schedulers that were notified of its start.
//	                       W The contract, 4
//	one-attempt-per-node   one worker has one attempt of a request at a time. P Schedulers to workers
//	attempts               a request reaches workers try_limit times at most; without second_copies a later attempt
//	                       begins only once the earlier ones have ended or were cancelled. W bounds; P Schedulers to
//	                       worker nodes
//	made-by-node           the body of a 200 is a result that a worker made for this very request. P The rules on
//	                       sockets
//	prompt-refusal         a request is answered once its scheduler has no reason to retain it: see below. LATER
//	id-unknown             no worker gets a request that no client sent (the worker answers 400), or one without an id
//	                       (it answers 404). P Schedulers to workers
//	bad-clients            real processes only: a misbehaving client gets an error or a close within bad_answered of
//	                       connecting (twice that for a huge body), and never a 200. LATER, Misbehaving clients
//	limits                 real processes only: a scheduler stays within its limits of memory and descriptors. P, DEPLOY, Limits
//	crash                  a scheduler ends by itself only after SIGTERM. DEPLOY; LATER, New configurations and restarts
//
// # Exceptions to one-answer
//
//   - A request of a process that was killed, or that crashed (crash is a rule of its own). If the process was killed after
//     SIGTERM, only requests that arrived within 0.7 s of the SIGTERM are excused. A request that an exit after SIGTERM leaves
//     unanswered is not excused, unless a cut may have delayed its answer. A request that had not arrived when the process
//     ended was not admitted.
//   - A request that reached a frozen scheduler. A request that was already open when its scheduler was frozen is excused, too,
//     unless the scheduler was resumed a slack or more before the deadline.
//   - A request whose client was disconnected from the scheduler, or delayed, by a fault of the scenario.
//   - A close that crosses the request on the network, on a new connection or an old one. The close has to arrive within the
//     round-trip time, and no attempt of the request may have been sent.
//   - A client that leaves by itself, and one that times out before an answer sent at the end of the budget can have arrived.
//
// # Attempts that overlap
//
// The rules one-attempt-per-node and attempts allow a scheduler to cancel an attempt, by DELETE or by closing the connection,
// and to retry at once. The cancellation may arrive after the retry, as the two use different connections. An overlap is
// therefore a violation only if a later message of the same scheduler has reached the worker of the earlier attempt, which
// proves that the path is open, and the earlier attempt is still not cancelled after that.
//
// # Prompt rejections
//
// Two checks, both with the scenario's give_up_within. Neither uses a scheduler's own state:
//
//   - No attempt is left: a non-idempotent request's attempt has failed or was lost, or all attempts allowed have ended, and the
//     scheduler has answered the callback with that state. Then a rejection or failure is due within give_up_within.
//   - The objective is out of reach: a response after its objective has no utility, so a request is queued in vain once no worker
//     could meet the objective. That depends on the job's work, which schedulers only estimate. The checker assumes the
//     largest estimate that the scenario's hints allow (objectiveHorizon), bounded by the budget. It assumes a larger one in
//     scenarios in which executions seem long: without start notifications, or with pauses, freezes or slowness. A rejection
//     is late if it is seen more than give_up_within after that, with no attempt of the request in flight for as long. Jobs
//     whose estimate may exceed the budget are not checked.
//
// The following attempts count as in flight, too:
//
//   - one that was written and not read, as the network or a silent machine lost it, until its connection ends for the
//     scheduler (trace.AttemptUnread);
//   - one whose worker responded while its scheduler was disconnected from workers, until the cut ends;
//   - one that may wait for a connection while a fault prevents connections, for the time that a dial may take;
//   - one that a worker took for cancelled because its connection ended, if a fault had left that connection half-open: the
//     scheduler has not cancelled it.
//
// Neither check applies to a request that was open while its scheduler was frozen, or disconnected from the client.
//
// # Lateness of the testbed
//
// If the testbed reports that it was late, time limits are wider by its lateness for one second. A lateness beyond
// Options.MaxLateness makes the run invalid.
//
// # Memory and time
//
// A trace event costs one or two map accesses. Settled jobs are retained in two queues: idempotent ones briefly, the others
// for the longest deduplication window of a class. Each queue holds at most 65,536 jobs, each with at most 64 trace events.
// The fleet's last 4,096 trace events are retained for the explanations of jobs. The first 16 violations of each rule are
// explained, the others are only counted.
package checker
