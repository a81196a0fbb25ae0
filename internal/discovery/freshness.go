// Package freshness owns how fresh what is known of the host group is: when discovery is called, how long a call or a
// watch is waited for, and by when a change that has not been heard counts as told all the same. It knows no sockets
// and no clock: what happened, and when, is told to it.
package discovery

import "time"

// What discovery's protocol sets.
const (
	maxStaleness             = 6 * time.Second // a change counts as told so long after discovery had it and could be reached
	maxServerChangeStaleness = 4 * time.Second // and so long after a new configuration that names another discovery
	lineTimeout              = 3 * time.Second // a line, empty or not, is due every 2 s
)

// How long a call is waited for, and others are kept from coming with it.
const (
	connectTimeout            = 500 * time.Millisecond // a connection that does not come up must not use up the time of another one
	firstLineTimeout          = 4 * time.Second        // the call may wait its turn at discovery for a while
	attemptAllowance          = time.Second            // what a call that finds discovery well needs at most, with another one before it
	maxSimultaneousSchedulers = 8                      // callers who may call together
	maxFirstConnectDelay      = 750 * time.Millisecond // by which many callers spread the first calls of their processes, whose jobs wait
	maxServerChangeDelay      = time.Second            // by which many callers spread the first call at another discovery
	initialBackoffDivisor     = 20                     // the first wait of a few callers, as a part of the time for asking
)

// Config are what the settings say about the list.
type Config struct {
	PollInterval time.Duration // a list that is neither watched nor asked for so long counts as heard; 0: not told
	Pushed       bool          // what there is at discovery's end counts as told, watched or not
	Schedulers   int           // schedulers that call the same discovery
}

// Action is what is to be done now.
type Action uint8

const (
	ActionNone    Action = iota
	ActionConnect        // open the watch anew
	ActionAbort          // leave the call, or the watch, and then tell that it is over
)

type connectionState uint8

const (
	stateStopped    connectionState = iota
	stateBackingOff                 // until the next call
	stateConnecting                 // the connection is not up
	stateAwaiting                   // it is, and nothing has come
	stateWatching
)

// Watch is how fresh the list is.
type Watch struct {
	config          Config
	random          func(n int64) int64 // a random number under n
	state           connectionState
	deadline        time.Duration // of the next call, or of giving up this one
	connectedAt     time.Duration // the call that is out
	failures        int           // calls in a row that brought nothing
	refusedAt       time.Duration // a call was turned away then, at once: discovery could not be reached; 0: not since anything was heard
	lastReceived    time.Duration // a change that has not been heard was made then at the earliest
	serverChangedAt time.Duration // when another discovery was named of which nothing has been heard; 0: none was
	watchEndedAt    time.Duration // when the last watch ended
	wentSilent      bool          // a watch fell silent: what it missed counts as told, whatever comes after
}

// New returns the state of one that does not follow the list yet, but has it as it was at now.
func New(rules Config, draw func(n int64) int64, now time.Duration) *Watch {
	return &Watch{config: rules, random: draw, lastReceived: now, watchEndedAt: now}
}

// Start plans the first call of a process: at once, unless many may begin together and this one has a list to go by.
func (s *Watch) Start(now time.Duration, listed bool) {
	if s.state == stateStopped {
		s.state, s.deadline = stateBackingOff, now
		if listed && !s.config.Pushed && s.config.Schedulers > maxSimultaneousSchedulers {
			s.deadline += s.randomUpTo(min(maxFirstConnectDelay, s.maxBackoff()))
		}
	}
}

// InitialWait is how long a process that knows a list had better wait for a newer one before it goes by what it knows. Few
// callers, and those whose lists are pushed, call at once.
func (s *Watch) InitialWait() time.Duration {
	if s.config.Pushed || s.config.Schedulers <= maxSimultaneousSchedulers {
		return 0
	}
	return min(maxFirstConnectDelay, s.maxBackoff()) + 3*attemptAllowance/2 // the call's turn comes after those of others
}

// Ensure plans a call for now if none is planned or out and there is no watch.
func (s *Watch) Ensure(now time.Duration) {
	if s.state == stateStopped {
		s.state, s.deadline = stateBackingOff, now
	}
}

// Stop ends it: nothing is planned any more.
func (s *Watch) Stop() { s.state = stateStopped }

// ServerChanged is told when discovery is elsewhere from now on; whatever is open has been left.
func (s *Watch) ServerChanged(now time.Duration) {
	if s.state == stateWatching {
		s.watchEndedAt = now
	}
	s.state, s.deadline, s.failures, s.refusedAt = stateBackingOff, now, 0, 0
	if s.serverChangedAt == 0 {
		s.serverChangedAt = now
	}
	if s.config.Schedulers > maxSimultaneousSchedulers && !s.config.Pushed {
		s.deadline += s.randomUpTo(maxServerChangeDelay)
	}
}

// Connecting is told when a call has begun.
func (s *Watch) Connecting(now time.Duration) {
	s.state, s.deadline, s.connectedAt = stateConnecting, now+connectTimeout, now
}

// Connected is told when the call's connection is up.
func (s *Watch) Connected(now time.Duration) {
	if s.state == stateConnecting {
		s.state, s.deadline = stateAwaiting, now+firstLineTimeout
	}
}

// Received is told of every line that is whole, be it empty or news: all changes until then have come.
func (s *Watch) Received(now time.Duration) {
	if s.state == stateAwaiting || s.state == stateWatching {
		s.state, s.deadline, s.failures = stateWatching, now+lineTimeout, 0
		s.lastReceived, s.serverChangedAt, s.wentSilent, s.refusedAt = now, 0, false, 0
	}
}

// Ended is told when a call or a watch has ended, and plans the next call. silent tells that it was given up.
func (s *Watch) Ended(now time.Duration, silent bool) {
	switch s.state {
	case stateStopped, stateBackingOff:
		return
	case stateWatching:
		s.wentSilent, s.watchEndedAt = silent, now
	default:
		if s.failures++; !silent && now-s.connectedAt < attemptAllowance {
			s.refusedAt = now
		}
	}
	s.state = stateBackingOff
	s.deadline = now + s.backoff(now)
}

// backoff draws how long the next call is put off. It grows with failures, so that a discovery that has too many callers
// gets fewer, and is bounded by what is still told in time: of a discovery that was down at the last call, that is what it
// comes to know from then on. A quarter of it is kept even where all that is past.
func (s *Watch) backoff(now time.Duration) time.Duration {
	want := s.maxBackoff()
	if s.config.Pushed { // what there is at its return counts at once, and each calls one of its own
		want = s.staleness() / initialBackoffDivisor
	} else if first := 3 * s.pollInterval() / (2 * initialBackoffDivisor); s.config.Schedulers <= maxSimultaneousSchedulers {
		want = min(want, first<<min(max(0, s.failures-1), 8))
	}
	told := s.StalenessDeadline()
	if !s.wentSilent && s.refusedAt > 0 {
		told = max(told, s.refusedAt+s.staleness())
	}
	most := max(want/4, min(want, told-attemptAllowance-now))
	return most/3 + s.randomUpTo(most-most/3)
}

// maxBackoff is the longest wait: a call put off so long, and waited for as long as any, still brings a change in time.
func (s *Watch) maxBackoff() time.Duration {
	return max(s.staleness()-firstLineTimeout, s.staleness()/initialBackoffDivisor)
}

// staleness is how long after discovery had it a change counts as told.
func (s *Watch) staleness() time.Duration { return min(maxStaleness, s.pollInterval()) }

func (s *Watch) pollInterval() time.Duration {
	if s.config.PollInterval > 0 {
		return s.config.PollInterval
	}
	return maxStaleness
}

func (s *Watch) randomUpTo(span time.Duration) time.Duration {
	return time.Duration(s.random(int64(max(span, 0)) + 1))
}

// StalenessDeadline is the instant by which any change that has not been heard may count as told; none does earlier. While a
// watch lives it moves on with every line.
func (s *Watch) StalenessDeadline() time.Duration {
	by := s.lastReceived + s.staleness()
	if s.config.Pushed && s.state != stateWatching { // at once, watched or not; what a silent watch missed, as elsewhere
		by = min(by, s.watchEndedAt)
	}
	if s.serverChangedAt > 0 {
		by = min(by, s.serverChangedAt+maxServerChangeStaleness)
	}
	return by
}

// IsWatching tells whether there is a watch that has said something.
func (s *Watch) IsWatching() bool { return s.state == stateWatching }

// IsActive tells whether the list is followed, be it that a call is only planned.
func (s *Watch) IsActive() bool { return s.state != stateStopped }

// NextDeadline is when Due has something to say.
func (s *Watch) NextDeadline() (at time.Duration, ok bool) {
	return s.deadline, s.state != stateStopped
}

// NextAction tells what is to be done now.
func (s *Watch) NextAction(now time.Duration) Action {
	switch {
	case s.state == stateStopped || now < s.deadline:
		return ActionNone
	case s.state == stateBackingOff:
		return ActionConnect
	default:
		return ActionAbort
	}
}
