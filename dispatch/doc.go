// Package dispatch decides for one dispatcher that pushes jobs to workers: which job leaves the queue next, which worker
// it is sent to, when it is sent again, and when it is answered without an attempt.
//
// It owns the queue, what is known of workers and attempts, and what has been learnt of run times and speeds. It never
// does I/O, reads no clock, starts no goroutine and keeps no globals: the caller feeds events to Dispatcher.Step and
// carries out the actions that this returns, in order. All instants and spans are time.Duration, counted from an origin of
// the caller's choice. A Dispatcher is for one goroutine. Its randomness comes from one seed, so that the same events give
// the same actions.
//
// Contradictory input is tolerated: an event about a job, attempt or worker that is unknown or already done with is
// ignored; a second arrival of an open job's id is ignored; the last of several entries for one worker in a list counts;
// negative, infinite or missing figures are read as absent; a clock that steps back is held at its highest value.
//
// The mechanism, in the order of a job's life: admission.go makes its entry, with a score from prediction.go; quota.go and
// objective.go say whether it can still earn in full; queue.go says which job leaves next, and picker.go for which worker,
// of those that concurrency.go, slowstart.go, outlier.go and cordon.go leave, in a large fleet first of those that
// preference.go puts first; attempts.go sends it; what its start and its end teach goes into concurrency.go, learning.go and
// connections.go; retry.go and hedging.go say when it is sent again, and admission.go gives the final answer. reservation.go
// keeps a worker free for a large job, healthcheck.go checks workers, subscription.go asks for the list of them, and
// maintenance.go ages what was learnt. These files decide. The others hold the interface, state, indexes and estimates, and
// decide nothing.
package dispatch
