// Package starvation finds starvation in a run: requests that are queued or rejected while a worker that could execute
// them is idle. It owns the rules by which a worker counts as idle and a scheduler as accountable. Like the invariant
// checker it uses only the trace of clients, workers and discovery (package trace), nothing that a scheduler reports, and it
// never influences the run. It has no findings in an overloaded fleet: there no worker is plainly idle.
//
// # A worker is plainly idle
//
// It is so for a number of slots and a scheduler, at an instant, if during the whole second before
//
//   - it was up, not draining, listed, and warm: its process was older than the warm-up time of its kind;
//   - it had been healthy for 10 s. It was under no fault of the scenario that concerns workers or their network, and was
//     not paused. In that time it rejected, failed, returned and lost no attempt, sent every callback, each once, read each
//     attempt that was written to it, and accepted each connection that a scheduler began to open;
//   - it had the slots free beside all attempts that occupied it, of any scheduler. An attempt occupies its worker from when
//     it is written until its scheduler is notified of its end; if the scheduler has died, until its end. As the
//     request would fit at once, the worker's own queue is empty too;
//
// and if the scheduler had been notified of the worker's last start at least 2 s before, and of no drain since. First
// processes count as known.
//
// # A request is starved
//
// A request that a running scheduler received is starved if it had no attempt in flight for a second, and a worker was
// plainly idle for it; or if it was rejected (429, 503) with no attempt in flight while a worker was plainly idle for it. The
// one worker has to be idle throughout. Queued requests are examined ten times a second. A request counts once. In both cases
//
//   - the worker is of the kind to which the class is bound, if it is;
//   - the request's attempts so far allow another one there. Of a non-idempotent class none may have been executed. Of one
//     that is idempotent with a key, those that may have been executed went to the same cell, or zone, less than 0.9 of the
//     window ago. The limit on attempts leaves one;
//   - the worker would have met the objective with the least speed of its kind and the work as it is. Execution begins when
//     the request was queued, for a rejected one at the soonest a second before the rejection. A request that the worker
//     would have served too late may be rejected; it may be queued if the fastest possible worker would meet the objective.
//
// An attempt is in flight from when it is wholly written until its scheduler is notified of its end, or cancels it. One that
// was lost with its worker, without a notification, is in flight.
//
// # What is excused
//
//   - A scheduler that is frozen, and the second after it resumed; one in its first 2 s; one that got SIGTERM.
//   - Requests of clients that a fault of the scenario disconnects from schedulers or slows down, until 1 s after it.
//   - Rejections by a scheduler that has nine tenths of the requests that its limit on sockets admits.
//   - Requests that may be waiting for connections that do not come up, which workers do not see: queued ones, while their
//     scheduler has enough unfinished connections of the last 1.3 s for all that it has queued for a second; one
//     rejection for each such connection; and rejections where those and the attempts sent make up the limit on attempts.
//   - Wrong hints. The least estimate of the work that the hint allows has to meet the objective as well, which follows from
//     the work, and the largest one the deadline. Rough hints may be wrong by twice their deviation. Hints that are wrong
//     by a factor may be so by that factor, and estimates by 2 either way at most once a process was notified of 30 ends of
//     the class. Without hints, the estimate is between half and twice the class's mean.
//   - Free slots beside other attempts, where a kind sends no callbacks of starts: only empty workers count as idle there.
//   - A worker that is reserved for a larger request: while the scheduler has one queued, one more worker has to be idle.
//   - Few idle workers, where several schedulers run: they have no information on each other's jobs. One worker in 20 of the
//     fleet has to be idle then, besides the one that has to be anyhow.
//
// A tenant's quota excuses nothing: jobs over quota are dispatched behind others, and where slots are idle no others are queued.
//
// # Cost
//
// An event of a request costs a map access. Idle workers are kept in sets by kind and by free slots, which change when a
// worker starts or ends work. Requests are examined only when they have been queued for a second, or are rejected, and only
// if a worker is idle for them.
package starvation
