package discovery

import "time"

// Random delays of first connections, which spread the connections of many schedulers over time.
const (
	maxSimultaneousSchedulers = 8                      // more schedulers spread their connections
	maxFirstConnectDelay      = 750 * time.Millisecond // of a starting process, whose requests wait until the list is received
	maxServerChangeDelay      = time.Second            // of the first connection to another server
	minServerChangeDelay      = 250 * time.Millisecond // limit to which that maximum decreases if the server changes repeatedly
	serverChangeAllowance     = 2 * time.Second        // from the first of several server changes to the latest connection
)

// Times in which a connection to a healthy server receives the list.
const (
	attemptAllowance       = time.Second             // maximum, including one failed attempt before it
	firstResponseAllowance = 1500 * time.Millisecond // if many processes start at the same time and their requests are queued
)

// Backoff after a failed or lost connection.
const (
	firstBackoffPerMille  = 75  // of the poll interval: maximum first backoff if connections are not spread
	pushedBackoffPerMille = 50  // of the staleness limit: maximum backoff if the list is pushed
	minBackoffPerMille    = 250 // of the unbounded backoff: lower limit of the maximum backoff, also after the recovery deadline
	maxBackoffDoublings   = 8   // maximum number of doublings by consecutive failures, if connections are not spread
	backoffRange          = 3   // ratio of the maximum to the minimum of a random backoff
)

// InitialWait returns how long a starting process that has a list should wait for a newer one before it serves requests. It is 0
// if the first connection is opened at once.
func (w *Watch) InitialWait() time.Duration {
	if !w.spreadsConnections() {
		return 0
	}
	return w.maxFirstDelay() + firstResponseAllowance
}

// spreadsConnections reports whether schedulers spread their connections over time, because too many of them use the same server.
func (w *Watch) spreadsConnections() bool {
	return !w.config.Pushed && w.config.Schedulers > maxSimultaneousSchedulers
}

// maxFirstDelay returns the maximum delay of the first connection of the process.
func (w *Watch) maxFirstDelay() time.Duration { return min(maxFirstConnectDelay, w.maxBackoff()) }

// serverChangeDelay returns the maximum delay of the first connection to another server. It decreases if the server is changed
// again before a list is received, as repeated changes could otherwise delay the connection without limit.
func (w *Watch) serverChangeDelay(now time.Duration) time.Duration {
	remaining := w.staleness.serverChangedAt + serverChangeAllowance - now
	return min(maxServerChangeDelay, max(minServerChangeDelay, remaining))
}

// backoff returns a random delay before the next connection. The delay increases with consecutive failures, to reduce the load of
// the server. Its maximum is limited so that a change is still received by the recovery deadline, but not to less than
// minBackoffPerMille of the unbounded backoff.
func (w *Watch) backoff(now time.Duration) time.Duration {
	unbounded := w.unboundedBackoff()
	inTime := w.recoveryDeadline() - attemptAllowance - now
	longest := max(perMille(unbounded, minBackoffPerMille), min(unbounded, inTime))
	shortest := longest / backoffRange
	return shortest + w.randomUpTo(longest-shortest)
}

// unboundedBackoff returns the maximum backoff regardless of the recovery deadline.
func (w *Watch) unboundedBackoff() time.Duration {
	if w.config.Pushed { // changes apply once the server is reachable again, and each scheduler has its own server
		return perMille(w.config.maxStaleness(), pushedBackoffPerMille)
	}
	if w.spreadsConnections() {
		return w.maxBackoff()
	}
	doublings := min(max(0, w.failures-1), maxBackoffDoublings)
	return min(w.maxBackoff(), perMille(w.config.pollInterval(), firstBackoffPerMille)<<doublings)
}

// recoveryDeadline returns the time by which the next connection should have received the list. A server that refused the last
// connection was not reachable then, so the staleness limit of a change starts after that at the earliest. This does not apply to
// changes that a silent watch has missed.
func (w *Watch) recoveryDeadline() time.Duration {
	deadline := w.StalenessDeadline()
	if !w.staleness.missedLines && w.refusedAt > 0 {
		deadline = max(deadline, w.refusedAt+w.config.maxStaleness())
	}
	return deadline
}

// maxBackoff returns the longest backoff after which a connection that keeps its time limits still receives a change in time.
func (w *Watch) maxBackoff() time.Duration {
	limit := w.config.maxStaleness()
	return max(limit-firstLineTimeout, perMille(limit, pushedBackoffPerMille))
}

// randomUpTo returns a random duration between 0 and longest, inclusive.
func (w *Watch) randomUpTo(longest time.Duration) time.Duration {
	return time.Duration(w.random(int64(max(longest, 0)) + 1))
}

// perMille returns the given number of thousandths of a duration.
func perMille(span time.Duration, thousandths int64) time.Duration {
	return span * time.Duration(thousandths) / 1000
}
