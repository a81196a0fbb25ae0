// Package starvation finds starvation in a run: requests that are queued or rejected while a worker that could execute
// them is idle. It defines when a worker counts as idle and when a scheduler is accountable. Like the invariant checker it
// uses only the trace of clients, workers and discovery (package trace), nothing that a scheduler reports, and it never
// influences the run. It has no findings in an overloaded fleet, where no worker is plainly idle.
//
// # A worker is plainly idle
//
// A worker is plainly idle for a number of slots and a scheduler, at an instant, if during the whole second before that
//
//   - it was up, not draining, listed, and warm: its process was older than the warm-up time of its kind;
//   - it had been healthy for 10 s. It was under no fault of the scenario that concerns workers or their network, and was
//     not paused. In that time it rejected, failed, returned and lost no attempt, sent every callback exactly once, read each
//     attempt that was written to it, and accepted each connection that a scheduler began to open;
//   - it had the slots free besides all attempts that occupied it, of any scheduler. An attempt occupies its worker from when
//     it is written until its scheduler is notified of its end, or until its end if the scheduler has died. As the request
//     would fit at once, the worker's own queue is empty, too;
//
// and if the scheduler had been notified of the worker's last start at least 2 s before, and of no drain since. The first
// process of a worker needs no notification.
//
// # A request is starved
//
// A request that a running scheduler received is starved if it had no attempt in flight for a second, and a worker was
// plainly idle for it; or if it was rejected (429, 503) with no attempt in flight while a worker was plainly idle for it. It
// has to be the same worker for the whole second. Queued requests are examined ten times a second. A request counts once. In
// both cases
//
//   - the worker is of the kind to which the class is bound, if it is bound to one;
//   - the request's attempts so far allow another one there. For a non-idempotent class, none of them may have been executed.
//     For a class that is idempotent with a key, those that may have been executed went to the same cell, or zone, less than
//     0.9 of the window ago. The limit on attempts is not reached;
//   - the worker would have met the objective with the least speed of its kind and the job's true work. The execution is
//     assumed to begin when the request was queued, for a rejected one at the earliest a second before the rejection. A request
//     that the worker would have served too late may be rejected; it may be queued if the fastest possible worker would meet the
//     objective.
//
// An attempt is in flight from when it is wholly written until its scheduler is notified of its end, or cancels it. An attempt
// that was lost with its worker without a notification stays in flight.
//
// # What is excused
//
//   - A scheduler that is frozen, and the second after it resumed; one in its first 2 s; one that got SIGTERM.
//   - Requests of clients that a fault of the scenario disconnects from schedulers or slows down, until 1 s after it.
//   - Rejections by a scheduler that has nine tenths of the requests that its limit on sockets admits.
//   - Requests that may be waiting for a connection that is not established, as the trace shows a dial but not for which request
//     it was begun. Queued requests are excused while their scheduler has enough unfinished connections of the last 1.3 s for all
//     requests that it has queued for a second. Each such connection excuses one rejection. A rejection is excused, too, if these
//     connections and the request's attempts together reach the limit on attempts.
//   - Wrong hints. By the least estimate of the work that the hint allows, the worker has to meet the objective that follows from
//     that estimate; by the largest estimate it has to meet the deadline. Rough hints may be wrong by twice their deviation.
//     Hints that are wrong by a factor may be wrong by that factor. Once a process was notified of 30 ends of the class, its
//     estimates may be wrong by a factor of 2 either way at most. Without hints, the estimate is between half and twice the
//     class's mean.
//   - Free slots besides other attempts, if a kind sends no callbacks of starts: only empty workers count as idle then.
//   - A worker that is reserved for a larger request: while the scheduler has one queued, one more worker has to be idle.
//   - Few idle workers, if several schedulers run, as they have no information about each other's jobs: one worker in 20 of the
//     fleet has to be idle then, in addition to the one for the request.
//
// A tenant's quota excuses nothing: jobs over quota are dispatched after others, and while slots are idle no others are queued.
//
// # Cost
//
// An event of a request costs a map access. Idle workers are kept in sets by kind and by free slots, which change when a
// worker starts or ends work. Requests are examined only when they have been queued for a second, or are rejected, and only
// if a worker is idle for them.
package starvation
