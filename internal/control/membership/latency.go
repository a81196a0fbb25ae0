package membership

import (
	"slices"
	"time"
)

const (
	sampleWindow    = 5                      // samples of which the median counts: one pause makes no planner slow
	maxReplyGap     = 250 * time.Millisecond // maximum time since the previous reply that a reply represents
	sampleValidity  = time.Second            // a planner without replies for longer is not compared with others
	relapseWindow   = time.Minute            // a planner that is slow again within this time has relapsed
	maxRelapses     = 5
	unlimitedBound  = time.Duration(1<<63 - 1)
	minSampleCount  = sampleWindow / 2 // replies before a planner is compared with others
	recoveryDivisor = 2                // replies are fast below the bound divided by this
)

// latencyState is whether a planner's replies are slow.
type latencyState uint8

const (
	latencyNormal latencyState = iota
	latencySlow
)

func (l latencyState) String() string {
	switch l {
	case latencyNormal:
		return "normal"
	case latencySlow:
		return "slow"
	}
	return "invalid"
}

// latencyLevel is the range of a latency relative to a bound.
type latencyLevel uint8

const (
	levelFast     latencyLevel = iota // below half the bound
	levelElevated                     // between the two
	levelHigh                         // at the bound or beyond
)

// levelOf returns the range of a latency relative to a bound.
func levelOf(latency, bound time.Duration) latencyLevel {
	switch {
	case latency >= bound:
		return levelHigh
	case latency < bound/recoveryDivisor:
		return levelFast
	}
	return levelElevated
}

// latencyTracker classifies one planner's replies, by the time for which replies are slow, not by their number.
type latencyTracker struct {
	state          latencyState
	stateChangedAt time.Duration // 0: never
	relapses       int           // consecutive times that it became slow again within relapseWindow; at most maxRelapses

	samples     [sampleWindow]time.Duration // a ring
	sampleCount int                         // of this session
	lastReplyAt time.Duration

	confirmingFor time.Duration // in latencyNormal: how long replies have been high, less how long elevated since
	highFor       time.Duration // in latencySlow: how long replies have been high
	fastFor       time.Duration // in latencySlow: how long replies have been fast since they were high
}

// restart begins a new session: it keeps the state and its history, and resets samples and timers.
func (l *latencyTracker) restart() {
	*l = latencyTracker{state: l.state, stateChangedAt: l.stateChangedAt, relapses: l.relapses}
}

// addSample adds a reply's latency, and returns the time that the reply represents.
func (l *latencyTracker) addSample(latency, now time.Duration) time.Duration {
	elapsed := min(now-l.lastReplyAt, maxReplyGap)
	if l.sampleCount == 0 {
		elapsed = 0
	}
	l.samples[l.sampleCount%sampleWindow] = latency
	l.sampleCount++
	l.lastReplyAt = now
	return elapsed
}

// median returns the median of the latest samples; 0: there are none.
func (l *latencyTracker) median() time.Duration {
	samples := l.samples
	recent := samples[:min(l.sampleCount, sampleWindow)]
	if len(recent) == 0 {
		return 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// hasRecentSamples reports whether other planners are compared with this one.
func (l *latencyTracker) hasRecentSamples(now time.Duration) bool {
	return l.sampleCount >= minSampleCount && now-l.lastReplyAt <= sampleValidity
}

// observe records that replies have been at a level for a time. It returns the resulting state, which the caller
// sets by transition if it is another one. A planner is slow after confirmation, and normal again after recovery.
func (l *latencyTracker) observe(level latencyLevel, elapsed, confirmation, recovery time.Duration) latencyState {
	if l.state == latencySlow {
		return l.observeSlow(level, elapsed, recovery)
	}
	switch level {
	case levelFast:
		l.confirmingFor = 0
	case levelElevated:
		l.confirmingFor = max(0, l.confirmingFor-elapsed)
	case levelHigh:
		l.confirmingFor += elapsed
		if l.confirmingFor >= confirmation {
			return latencySlow
		}
	}
	return latencyNormal
}

// observeSlow is observe in state latencySlow.
func (l *latencyTracker) observeSlow(level latencyLevel, elapsed, recovery time.Duration) latencyState {
	switch level {
	case levelFast:
		l.fastFor += elapsed
		if l.fastFor >= recovery<<l.relapses {
			return latencyNormal
		}
	case levelElevated:
	case levelHigh:
		l.highFor += elapsed
		l.fastFor = 0
	}
	return latencySlow
}

// transition changes the state, and begins all timers again.
func (l *latencyTracker) transition(state latencyState, now time.Duration) {
	if state == latencySlow {
		l.countRelapse(now)
	}
	l.state = state
	l.stateChangedAt = now
	l.confirmingFor = 0
	l.highFor = 0
	l.fastFor = 0
}

// countRelapse counts a change to latencySlow soon after the last change; a later one resets the count.
func (l *latencyTracker) countRelapse(now time.Duration) {
	if l.stateChangedAt == 0 || now-l.stateChangedAt > relapseWindow {
		l.relapses = 0
		return
	}
	l.relapses = min(l.relapses+1, maxRelapses)
}

// recordReply records a planner's reply, and updates whether the planner is slow.
func (f *ForwarderMembership) recordReply(event ReplyReceived) {
	planner := f.find(event.Name)
	if planner == nil || planner.session != sessionOpen {
		return
	}
	tracker := &planner.latency
	elapsed := tracker.addSample(max(event.Latency, event.TimerLag, 0), f.now)
	latency := tracker.median()
	level := levelOf(latency, f.slowBound(planner))
	confirmation := f.health.scale(f.config.SlowConfirmation)
	state := tracker.observe(level, elapsed, confirmation, f.config.RecoveryTime)
	if state == tracker.state {
		return
	}
	tracker.transition(state, f.now)
	f.requireAssignment(assignmentOutdated)
	f.logLatencyState(planner, latency)
}

// slowBound returns the latency at which a planner's replies are high: a multiple of that of the fastest other planner, and
// unlimited if there is none to compare with.
func (f *ForwarderMembership) slowBound(planner *memberRecord) time.Duration {
	fastest := unlimitedBound
	for _, other := range f.planners {
		if other != planner && other.session == sessionOpen && other.latency.hasRecentSamples(f.now) {
			fastest = min(fastest, other.latency.median())
		}
	}
	if fastest == unlimitedBound {
		return unlimitedBound
	}
	return f.health.scale(max(f.config.SlowThreshold, time.Duration(f.config.SlowFactor)*fastest))
}
