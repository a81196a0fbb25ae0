// Package discovery decides when and how a scheduler watches the endpoint list of the discovery service.
//
// It contains the state machine of the watch (when to connect, the time limit of each step, the backoff), the staleness deadline
// of the current list, and the scanner that finds watch events in a response body. It opens no connection, reads no clock and
// starts no goroutine: the caller reports events with their time, and executes the actions that are due. Package watch is that
// caller. Times are positive offsets from an origin that the caller chooses.
package discovery

import "time"

// Time limits of one connection.
const (
	connectTimeout       = 500 * time.Millisecond  // short enough for another attempt within the staleness limit
	longConnectTimeout   = 1500 * time.Millisecond // for every second attempt, as the server may be slow to accept
	pushedConnectTimeout = 400 * time.Millisecond  // if the list is pushed: changes apply once the server is reachable again
	firstLineTimeout     = 4 * time.Second         // long, as the request may be queued at the server
	lineTimeout          = 3 * time.Second         // the server sends a line, which may be empty, every 2 s
)

// Config configures a Watch.
type Config struct {
	// PollInterval is the maximum age of a list that is neither watched nor polled. 0 means the protocol's limit.
	PollInterval time.Duration
	// Pushed means that the list is pushed to the server: a change is expected to be applied as soon as the server has it.
	Pushed bool
	// Schedulers is the number of schedulers that connect to the same server.
	Schedulers int
}

// Watch is the state machine of one watch on the endpoint list. It is not safe for concurrent use.
type Watch struct {
	config   Config
	random   func(n int64) int64 // returns a random number in [0, n)
	state    State
	deadline time.Duration // time to open the next connection, or to abort the open one unless it progresses before

	connectStartedAt time.Duration // start of the current connection attempt
	failures         int           // number of consecutive connections without a received line
	refusedAt        time.Duration // end of the last connection that failed within attemptAllowance; 0: none since the last line
	usesLongTimeout  bool          // the next connection attempt uses longConnectTimeout

	staleness stalenessClock
}

// New returns a disconnected watch. The caller's list, if any, was current at now. random returns a random number in [0, n).
func New(config Config, random func(n int64) int64, now time.Duration) *Watch {
	return &Watch{config: config, random: random, staleness: stalenessClock{currentAt: now, watchEndedAt: now}}
}

// State returns the current state.
func (w *Watch) State() State { return w.state }

// Start schedules the first connection of the process, if the watch is disconnected. The connection is due at once, unless many
// schedulers may start at the same time and this one already has a list to serve with.
func (w *Watch) Start(now time.Duration, hasList bool) {
	if !w.transition(eventStart) {
		return
	}
	w.deadline = now
	if hasList && w.spreadsConnections() {
		w.deadline += w.randomUpTo(w.maxFirstDelay())
	}
}

// Restart schedules a connection at once, if the watch is disconnected.
func (w *Watch) Restart(now time.Duration) {
	if w.transition(eventStart) {
		w.deadline = now
	}
}

// Stop disconnects the watch. The caller must close an open connection.
func (w *Watch) Stop() { w.transition(eventStop) }

// ChangeServer schedules a connection to another server. It is valid in every state. The caller must have closed an open
// connection.
func (w *Watch) ChangeServer(now time.Duration) {
	if w.state == Watching {
		w.staleness.watchEndedAt = now
	}
	w.transition(eventChangeServer)
	w.failures = 0
	w.refusedAt = 0
	w.usesLongTimeout = false
	if w.staleness.serverChangedAt == 0 {
		w.staleness.serverChangedAt = now
	}
	w.deadline = now
	if w.spreadsConnections() {
		w.deadline += w.randomUpTo(w.serverChangeDelay(now))
	}
}

// ConnectStarted is called when the caller starts to connect because of ActionConnect.
func (w *Watch) ConnectStarted(now time.Duration) {
	if w.transition(eventConnect) {
		w.connectStartedAt = now
		w.deadline = now + w.connectTimeout()
	}
}

// Connected is called when the connection is established and the request is being sent.
func (w *Watch) Connected(now time.Duration) {
	if w.transition(eventConnected) {
		w.deadline = now + firstLineTimeout
	}
}

// LineReceived is called for each complete line, which is an event or empty. It means that all changes up to now have been
// received.
func (w *Watch) LineReceived(now time.Duration) {
	if !w.transition(eventReceived) {
		return
	}
	w.deadline = now + lineTimeout
	w.failures = 0
	w.refusedAt = 0
	w.staleness.received(now)
}

// Ended is called when the open connection has ended, and schedules the next one. timedOut means that the caller has closed it
// because of ActionAbort.
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
		if !timedOut && now-w.connectStartedAt < attemptAllowance {
			w.refusedAt = now
		}
	}
	w.deadline = now + w.backoff(now)
	if previous == Connecting && timedOut {
		w.usesLongTimeout = !w.usesLongTimeout
		if w.config.Pushed { // the connect timeout replaces the backoff
			w.deadline = now
		}
	}
}

// connectTimeout returns the time limit for establishing the current connection.
func (w *Watch) connectTimeout() time.Duration {
	switch {
	case w.config.Pushed:
		return pushedConnectTimeout
	case w.usesLongTimeout:
		return longConnectTimeout
	default:
		return connectTimeout
	}
}

// StalenessDeadline returns the time from which, by the protocol, the scheduler may be expected to have applied a change that it
// has not received. Each received line postpones it.
func (w *Watch) StalenessDeadline() time.Duration {
	return w.staleness.deadline(&w.config, w.state == Watching)
}

// NextDeadline returns the time from which NextAction returns an action. ok is false while the watch is disconnected.
func (w *Watch) NextDeadline() (at time.Duration, ok bool) {
	return w.deadline, w.state != Disconnected
}

// NextAction returns the action that is due at now, or ActionNone.
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
