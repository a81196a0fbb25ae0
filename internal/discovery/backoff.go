package discovery

import "time"

// How connections are spread.
const (
	maxSimultaneousSchedulers = 8                      // so many may connect together; more spread their connections
	maxFirstConnectDelay      = 750 * time.Millisecond // of a process among many that start together; its requests wait
	maxServerChangeDelay      = time.Second            // of the first connection to another server
	minServerChangeDelay      = 250 * time.Millisecond // the longest one left where servers change again and again
	serverChangeAllowance     = 2 * time.Second        // from the first change that has brought no list to the connection
)

// What a connection to a healthy server takes.
const (
	attemptAllowance     = time.Second             // at most, with one failed attempt before
	firstAnswerAllowance = 1500 * time.Millisecond // of a process among many that start together, whose request is queued
)

// How long a connection is put off after a failure.
const (
	firstBackoffPerMille  = 75  // of the poll interval: the longest first backoff of a scheduler among few
	pushedBackoffPerMille = 50  // of the staleness limit: the longest backoff where the list is pushed
	minBackoffPerMille    = 250 // of the wanted backoff: what is kept of it even past the deadline
	maxBackoffDoublings   = 8   // by failures of a scheduler among few
	backoffRange          = 3   // a backoff is drawn between the longest one divided by this, and the longest
)

// InitialWait is how long a process that has a list had better wait for a newer one before it serves by what it has. It is
// 0 where the first connection is made at once.
func (w *Watch) InitialWait() time.Duration {
	if !w.spreadsConnections() {
		return 0
	}
	return w.maxFirstDelay() + firstAnswerAllowance
}

// spreadsConnections reports whether so many schedulers connect to one server that they must not do so together.
func (w *Watch) spreadsConnections() bool {
	return !w.config.Pushed && w.config.Schedulers > maxSimultaneousSchedulers
}

func (w *Watch) maxFirstDelay() time.Duration { return min(maxFirstConnectDelay, w.maxBackoff()) }

// serverChangeDelay is the longest delay of the first connection to another server. It shrinks while one change follows the
// other and none brings a list: put off in full each time, the connection would never be made.
func (w *Watch) serverChangeDelay(now time.Duration) time.Duration {
	remaining := w.staleness.serverChangedAt + serverChangeAllowance - now
	return min(maxServerChangeDelay, max(minServerChangeDelay, remaining))
}

// backoff draws how long the next connection is put off. It grows with failures, so that an overloaded server gets fewer,
// and is bounded so that a change is still received in time. A part of it is kept even where that time is past.
func (w *Watch) backoff(now time.Duration) time.Duration {
	wanted := w.wantedBackoff()
	inTime := w.recoveryDeadline() - attemptAllowance - now
	longest := max(perMille(wanted, minBackoffPerMille), min(wanted, inTime))
	shortest := longest / backoffRange
	return shortest + w.randomUpTo(longest-shortest)
}

// wantedBackoff is the longest backoff if there were no deadline.
func (w *Watch) wantedBackoff() time.Duration {
	if w.config.Pushed { // what the server has at its return counts at once, and each scheduler has a server of its own
		return perMille(w.config.maxStaleness(), pushedBackoffPerMille)
	}
	if w.spreadsConnections() {
		return w.maxBackoff()
	}
	doublings := min(max(0, w.failures-1), maxBackoffDoublings)
	return min(w.maxBackoff(), perMille(w.config.pollInterval(), firstBackoffPerMille)<<doublings)
}

// recoveryDeadline is the instant by which the next connection must have received the list. A server that refused the last
// one was down, and only what it learns from then on is at stake.
func (w *Watch) recoveryDeadline() time.Duration {
	deadline := w.StalenessDeadline()
	if !w.staleness.missedLines && w.refusedAt > 0 {
		deadline = max(deadline, w.refusedAt+w.config.maxStaleness())
	}
	return deadline
}

// maxBackoff is the longest backoff after which a connection that takes all the time it may still brings a change in time.
func (w *Watch) maxBackoff() time.Duration {
	limit := w.config.maxStaleness()
	return max(limit-firstLineTimeout, perMille(limit, pushedBackoffPerMille))
}

// randomUpTo draws a span between 0 and longest.
func (w *Watch) randomUpTo(longest time.Duration) time.Duration {
	return time.Duration(w.random(int64(max(longest, 0)) + 1))
}

// perMille returns so many thousandths of a span.
func perMille(span time.Duration, thousandths int64) time.Duration {
	return span * time.Duration(thousandths) / 1000
}
