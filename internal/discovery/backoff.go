package discovery

import "time"

// Delays of first connections, by which many schedulers spread their connections.
const (
	maxSimultaneousSchedulers = 8                      // a larger number of schedulers spreads its connections
	maxFirstConnectDelay      = 750 * time.Millisecond // of a process among many that start together; its requests wait meanwhile
	maxServerChangeDelay      = time.Second            // bounds the delay of the first connection to another server
	minServerChangeDelay      = 250 * time.Millisecond // lower limit of that bound when the server is changed repeatedly
	serverChangeAllowance     = 2 * time.Second        // time from the first change of the server without a list to the connection
)

// Time that a connection to a healthy server needs.
const (
	attemptAllowance       = time.Second             // maximum, including one failed attempt before
	firstResponseAllowance = 1500 * time.Millisecond // for a process among many that start together, whose request is queued
)

// Backoff after a failed or lost connection.
const (
	firstBackoffPerMille  = 75  // of the poll interval: maximum first backoff if connections are not spread
	pushedBackoffPerMille = 50  // of the staleness limit: maximum backoff if the list is pushed
	minBackoffPerMille    = 250 // of the unbounded backoff: minimum of the maximum backoff, also past the deadline
	maxBackoffDoublings   = 8   // by consecutive failures, if connections are not spread
	backoffRange          = 3   // ratio of the maximum to the minimum of a random backoff
)

// InitialWait returns how long a process that has a list should wait for a newer one before it serves with its own. It is 0 if
// the first connection is opened at once.
func (w *Watch) InitialWait() time.Duration {
	if !w.spreadsConnections() {
		return 0
	}
	return w.maxFirstDelay() + firstResponseAllowance
}

// spreadsConnections reports whether too many schedulers connect to one server to do so at the same time.
func (w *Watch) spreadsConnections() bool {
	return !w.config.Pushed && w.config.Schedulers > maxSimultaneousSchedulers
}

// maxFirstDelay returns the maximum delay of the first connection of the process.
func (w *Watch) maxFirstDelay() time.Duration { return min(maxFirstConnectDelay, w.maxBackoff()) }

// serverChangeDelay returns the maximum delay of the first connection to another server. It decreases if the server is changed
// again before a list was received, as otherwise repeated changes could delay the connection without limit.
func (w *Watch) serverChangeDelay(now time.Duration) time.Duration {
	remaining := w.staleness.serverChangedAt + serverChangeAllowance - now
	return min(maxServerChangeDelay, max(minServerChangeDelay, remaining))
}

// backoff returns the random delay of the next connection. It increases with consecutive failures, to reduce the load of the
// server. It is bounded by the recovery deadline, so that a change is still received in time, except for minBackoffPerMille of
// it.
func (w *Watch) backoff(now time.Duration) time.Duration {
	unbounded := w.unboundedBackoff()
	inTime := w.recoveryDeadline() - attemptAllowance - now
	longest := max(perMille(unbounded, minBackoffPerMille), min(unbounded, inTime))
	shortest := longest / backoffRange
	return shortest + w.randomUpTo(longest-shortest)
}

// unboundedBackoff returns the maximum backoff regardless of the recovery deadline.
func (w *Watch) unboundedBackoff() time.Duration {
	if w.config.Pushed { // the list is effective as soon as the server is back, and each scheduler has its own server
		return perMille(w.config.maxStaleness(), pushedBackoffPerMille)
	}
	if w.spreadsConnections() {
		return w.maxBackoff()
	}
	doublings := min(max(0, w.failures-1), maxBackoffDoublings)
	return min(w.maxBackoff(), perMille(w.config.pollInterval(), firstBackoffPerMille)<<doublings)
}

// recoveryDeadline returns the instant by which the next connection should have received the list. A server that refused the last
// connection was not reachable then, so the staleness limit of a change starts after that at the earliest.
func (w *Watch) recoveryDeadline() time.Duration {
	deadline := w.StalenessDeadline()
	if !w.staleness.missedLines && w.refusedAt > 0 {
		deadline = max(deadline, w.refusedAt+w.config.maxStaleness())
	}
	return deadline
}

// maxBackoff returns the maximum backoff after which a connection within its time limits still receives a change in time.
func (w *Watch) maxBackoff() time.Duration {
	limit := w.config.maxStaleness()
	return max(limit-firstLineTimeout, perMille(limit, pushedBackoffPerMille))
}

// randomUpTo returns a random duration between 0 and longest, inclusive.
func (w *Watch) randomUpTo(longest time.Duration) time.Duration {
	return time.Duration(w.random(int64(max(longest, 0)) + 1))
}

// perMille returns a number of thousandths of a duration.
func perMille(span time.Duration, thousandths int64) time.Duration {
	return span * time.Duration(thousandths) / 1000
}
