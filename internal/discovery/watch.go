// Package discovery follows the endpoint list of the discovery service.
//
// It owns the state machine of the watch (when to connect, how long each step may take, how long to back off), the
// staleness deadline of the list at hand, and the scanner that finds watch events in a response body. It opens no
// connection, reads no clock and starts no goroutine: the caller reports what happened and when, and carries out the
// actions that are due. Instants are offsets from one origin of the caller's choice, later than zero.
package discovery

import "time"

// Time limits of one connection.
const (
	connectTimeout        = 500 * time.Millisecond  // short, so that one that does not come up leaves time for another attempt
	patientConnectTimeout = 1500 * time.Millisecond // for every second one that does not: the server may be slow to accept
	pushedConnectTimeout  = 400 * time.Millisecond  // to a server of one's own, whose list counts at once when it is back
	firstLineTimeout      = 4 * time.Second         // the request may be queued at the server
	lineTimeout           = 3 * time.Second         // the server sends a line, empty or not, every 2 s
)

// Config describes the endpoint list and who follows it.
type Config struct {
	// PollInterval is the longest time for which a list that is neither watched nor polled counts as current; 0: only the
	// limit of the protocol holds.
	PollInterval time.Duration
	// Pushed reports that the list is pushed to the server: whatever it has counts as known here, watched or not.
	Pushed bool
	// Schedulers is how many schedulers connect to the same server.
	Schedulers int
}

// Watch is the state machine of one watch on the endpoint list. It is not safe for concurrent use.
type Watch struct {
	config   Config
	random   func(n int64) int64 // a random number in [0, n)
	state    State
	deadline time.Duration // of the next connection, or of what the open one has to do next

	connectedAt time.Duration // start of the current connection attempt
	failures    int           // connections in a row that received nothing
	refusedAt   time.Duration // last connection that failed at once; 0: none since a line was received
	patient     bool          // the next connection has more time to come up

	staleness stalenessClock
}

// New returns a watch that is disconnected, over a list that was current at now. random returns a number in [0, n) and
// spreads the connections of many schedulers.
func New(config Config, random func(n int64) int64, now time.Duration) *Watch {
	return &Watch{config: config, random: random, staleness: stalenessClock{lastReceived: now, watchEndedAt: now}}
}

// State returns the present state.
func (w *Watch) State() State { return w.state }

// Start plans the first connection of a process, if the watch is disconnected. It is due at once, unless many schedulers
// may start together and this one has a list to serve by.
func (w *Watch) Start(now time.Duration, hasList bool) {
	if !w.transition(eventStart) {
		return
	}
	w.deadline = now
	if hasList && w.spreadsConnections() {
		w.deadline += w.randomUpTo(w.maxFirstDelay())
	}
}

// Restart plans a connection for now, if the watch is disconnected.
func (w *Watch) Restart(now time.Duration) {
	if w.transition(eventStart) {
		w.deadline = now
	}
}

// Stop disconnects the watch: nothing is planned any more. The caller closes an open connection.
func (w *Watch) Stop() { w.transition(eventStop) }

// ChangeServer plans a connection to another server, from whatever state. The caller has closed an open connection.
func (w *Watch) ChangeServer(now time.Duration) {
	if w.state == Watching {
		w.staleness.watchEndedAt = now
	}
	w.transition(eventChangeServer)
	w.failures = 0
	w.refusedAt = 0
	w.patient = false
	if w.staleness.serverChangedAt == 0 {
		w.staleness.serverChangedAt = now
	}
	w.deadline = now
	if w.spreadsConnections() {
		w.deadline += w.randomUpTo(w.serverChangeDelay(now))
	}
}

// Connect reports that the caller has begun to connect, as ActionConnect asks for.
func (w *Watch) Connect(now time.Duration) {
	if w.transition(eventConnect) {
		w.connectedAt = now
		w.deadline = now + w.connectTimeout()
	}
}

// Connected reports that the connection is up and the request is being sent.
func (w *Watch) Connected(now time.Duration) {
	if w.transition(eventConnected) {
		w.deadline = now + firstLineTimeout
	}
}

// Received reports a complete line, be it empty or an event: every change up to now is known.
func (w *Watch) Received(now time.Duration) {
	if !w.transition(eventReceived) {
		return
	}
	w.deadline = now + lineTimeout
	w.failures = 0
	w.refusedAt = 0
	w.staleness.received(now)
}

// Ended reports that the open connection has ended, and plans the next one. timedOut reports that the caller has closed it
// for ActionAbort.
func (w *Watch) Ended(now time.Duration, timedOut bool) {
	previous := w.state
	if !w.transition(eventEnd) {
		return
	}
	if previous == Watching {
		w.staleness.watchEndedAt = now
		w.staleness.missedLines = timedOut
	} else {
		w.failures++
		if !timedOut && now-w.connectedAt < attemptAllowance {
			w.refusedAt = now
		}
	}
	w.deadline = now + w.backoff(now)
	if previous == Connecting && timedOut {
		w.patient = !w.patient
		if w.config.Pushed { // the time that it had was backoff enough
			w.deadline = now
		}
	}
}

// connectTimeout is how long the present connection may take to come up.
func (w *Watch) connectTimeout() time.Duration {
	switch {
	case w.config.Pushed:
		return pushedConnectTimeout
	case w.patient:
		return patientConnectTimeout
	default:
		return connectTimeout
	}
}

// StalenessDeadline is the instant from which a change that has not been received may count as known here; none does
// earlier. While lines are received it moves on with each.
func (w *Watch) StalenessDeadline() time.Duration {
	return w.staleness.deadline(&w.config, w.state == Watching)
}

// NextDeadline returns when NextAction has something to do; ok is false while the watch is disconnected.
func (w *Watch) NextDeadline() (at time.Duration, ok bool) {
	return w.deadline, w.state != Disconnected
}

// NextAction returns what is due at now.
func (w *Watch) NextAction(now time.Duration) Action {
	switch {
	case w.state == Disconnected || now < w.deadline:
		return ActionNone
	case w.state == BackingOff:
		return ActionConnect
	default:
		return ActionAbort
	}
}
