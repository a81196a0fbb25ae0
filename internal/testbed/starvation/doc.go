// Package starvation finds starvation in a run: jobs that wait, or are refused, while a worker that could run them
// stands idle. Like the checker it goes by what was seen at clients, workers and discovery (package seen) and never
// by a scheduler's word, and decides nothing. It says nothing of runs whose load the fleet could not bear: there no
// worker is plainly idle.
//
// # A worker is plainly idle
//
// for a job of so many slots and a scheduler, at an instant, when during the whole second before
//
//   - it was up, neither draining nor off the list, and warm: its process is older than the kind's cold span;
//   - it had been well for 10 s: struck by no fault of the timeline that concerns workers or the network between
//     schedulers and them, not paused, and in that time it turned nothing away, failed nothing, handed nothing back,
//     lost nothing, left no note untold or told at a second call only, read each attempt that was written to it, and
//     came up for each connection that a scheduler began to open;
//   - it had the job's slots free beside all attempts that were out there, of whichever scheduler, from when they were
//     written to it until their end was told (of a scheduler that has died: until their end). What fits has not to
//     wait, so its waiting room is empty as well;
//
// and the scheduler had been told of its last start 2 s before or earlier, and of no drain since. First processes
// count as told: of the few that were added just before the run schedulers hear in their first moments, unless
// discovery fails them then.
//
// # A try is starved
//
// that a running scheduler has taken, if for a second it had no attempt out, and a worker was plainly idle for it;
// or if it was refused (429, 503), with no attempt out, at an instant at which one was. The one worker has to be
// idle throughout; which it is may change from one try to the next. This is looked at ten times a second, and at each
// rejection. A try counts once. In both cases
//
//   - the worker is of the kind to which the class is bound, where it is;
//   - the try's attempts so far allow another one there: of a non-idempotent class none may have run; of a keyed one those
//     that may have run went to the same cell, or zone, less than 0.9 of the window ago; and the limit on attempts
//     leaves one;
//   - the job could have been done there by its objective, begun when the try was taken (or ended its last attempt), or a
//     second before the rejection if that is later, had the node the least speed of its kind and the work been as it is.
//     A refused try that could not have been is refused in reason. A held one that could not have been, but could on
//     the fastest worker that there may be, waits for that; else nothing speaks for holding it.
//
// An attempt is out from when it was wholly written until its end was told to its scheduler, or that has withdrawn
// it. One that was lost with its worker, and of which nobody told, is out.
//
// # What is excused
//
//   - A scheduler that is frozen, and the second after it woke; one in its first 2 s, which sends nothing to cold
//     workers and knows none; one that was told to end.
//   - Jobs of clients that are cut off from schedulers, or slowed down, by a fault of the scenario, until 1 s after it.
//   - Refusals by a scheduler that holds nine tenths of the requests for which it has descriptors.
//   - Tries that may be on their way over connections that do not come up, of which workers see nothing: those
//     held while a scheduler has as many of the last 1.3 s as all that it holds for a second would take, each with the
//     patience for connections; one rejection for each such connection; and rejections where those, with what was written,
//     make up the limit on attempts.
//   - What hints mislead to. The part of a work that its hint may state (of rough ones, within twice their spread; of
//     ones wrong by a factor that factor, and 2 once a process has heard of 30 ends of the class; without hints, the
//     class's mean, twice or half of it) has to leave time for the objective as well, which follows from the work; and the
//     most that it may state has to be done by the deadline.
//   - Room beside what runs, where a kind tells no starts: what a worker can take shows by ends alone then. There
//     only one with nothing out counts as idle.
//   - A worker that is kept free for a larger job: while a scheduler has a larger one without an attempt out, one
//     more has to be idle.
//   - Few idle ones, where several schedulers run: they know nothing of each other's jobs, and workers report no
//     load. Then one worker of each 20 of the fleet has to be idle, besides the one that there has to be anyhow.
//
// A tenant's share excuses nothing: over it a job goes behind others, and where slots are idle there are none.
//
// # Cost
//
// A map access for each trace event of a request. Workers that are idle are kept in sets by kind and by slots free, and
// change them when they take or end work; tries are looked at only once they have waited for a second or are refused,
// and where a set is empty not even then.
package starvation
