package membership

import (
	"slices"
	"time"
)

const (
	sampleWindow    = 5                      // samples in the median, so that a single pause doesn't make a planner slow
	maxReplyGap     = 250 * time.Millisecond // maximum time that a reply accounts for
	sampleValidity  = time.Second            // planners without replies for longer are not compared with others
	relapseWindow   = time.Minute            // a planner that becomes slow again within this time has relapsed
	maxRelapses     = 5
	unlimitedBound  = time.Duration(1<<63 - 1)
	minSampleCount  = sampleWindow / 2 // samples required before other planners are compared with a planner
	recoveryDivisor = 2                // latency is low below bound / recoveryDivisor
)

// latencyState is the classification of a planner by the latency of its replies.
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
	levelLow      latencyLevel = iota // below bound / recoveryDivisor
	levelElevated                     // between low and high
	levelHigh                         // at or above the bound
)

// levelOf returns the range of a latency relative to a bound.
func levelOf(latency, bound time.Duration) latencyLevel {
	switch {
	case latency >= bound:
		return levelHigh
	case latency < bound/recoveryDivisor:
		return levelLow
	}
	return levelElevated
}

// latencyTracker classifies a planner by how long, not how often, its replies have been slow.
type latencyTracker struct {
	state          latencyState
	stateChangedAt time.Duration // 0 if never
	relapses       int           // consecutive relapses within relapseWindow, at most maxRelapses

	samples     [sampleWindow]time.Duration // ring buffer
	sampleCount int                         // samples in this session
	lastReplyAt time.Duration

	confirmedFor time.Duration // in latencyNormal: time of high latency, minus time of elevated latency since
	highFor      time.Duration // in latencySlow: time of high latency
	lowFor       time.Duration // in latencySlow: time of low latency since the last high one
}

// restart prepares for a new session: it resets samples and timers, and keeps the state and the relapse history.
func (l *latencyTracker) restart() {
	*l = latencyTracker{state: l.state, stateChangedAt: l.stateChangedAt, relapses: l.relapses}
}

// addSample adds the latency of a reply, and returns the time that this reply accounts for.
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

// median returns the median of the latest samples, or 0 without samples.
func (l *latencyTracker) median() time.Duration {
	samples := l.samples
	recent := samples[:min(l.sampleCount, sampleWindow)]
	if len(recent) == 0 {
		return 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// hasRecentSamples reports whether other planners can be compared with this one.
func (l *latencyTracker) hasRecentSamples(now time.Duration) bool {
	return l.sampleCount >= minSampleCount && now-l.lastReplyAt <= sampleValidity
}

// observe records that the latency was at a level for a time, and returns the resulting state. If it differs from the current
// state, the caller must call transition. A planner becomes slow after the confirmation time and normal after the recovery
// time.
func (l *latencyTracker) observe(level latencyLevel, elapsed, confirmation, recovery time.Duration) latencyState {
	if l.state == latencySlow {
		return l.observeSlow(level, elapsed, recovery)
	}
	switch level {
	case levelLow:
		l.confirmedFor = 0
	case levelElevated:
		l.confirmedFor = max(0, l.confirmedFor-elapsed)
	case levelHigh:
		l.confirmedFor += elapsed
		if l.confirmedFor >= confirmation {
			return latencySlow
		}
	}
	return latencyNormal
}

// observeSlow implements observe for the state latencySlow. The recovery time doubles with each relapse.
func (l *latencyTracker) observeSlow(level latencyLevel, elapsed, recovery time.Duration) latencyState {
	switch level {
	case levelLow:
		l.lowFor += elapsed
		if l.lowFor >= recovery<<l.relapses {
			return latencyNormal
		}
	case levelElevated:
	case levelHigh:
		l.highFor += elapsed
		l.lowFor = 0
	}
	return latencySlow
}

// transition changes the state and resets all timers.
func (l *latencyTracker) transition(state latencyState, now time.Duration) {
	if state == latencySlow {
		l.countRelapse(now)
	}
	l.state = state
	l.stateChangedAt = now
	l.confirmedFor = 0
	l.highFor = 0
	l.lowFor = 0
}

// countRelapse counts a relapse if the last state change was within relapseWindow, and resets the count otherwise.
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
	f.requestAssignment(assignmentOutdated)
	f.logLatencyState(planner, latency)
}

// slowBound returns the bound at which a planner's latency is high: Config.SlowFactor times the latency of the fastest other
// planner, at least Config.SlowThreshold. It is unlimited if no other planner has recent samples.
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
