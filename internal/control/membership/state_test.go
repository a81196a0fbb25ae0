package membership

import (
	"fmt"
	"testing"
	"time"
)

func TestSessionTransitions(t *testing.T) {
	for _, test := range []struct {
		from  sessionState
		event sessionEvent
		want  sessionState
	}{
		{sessionNone, sessionOpened, sessionOpen},
		{sessionLost, sessionOpened, sessionOpen},
		{sessionOpen, sessionOpened, sessionOpen},
		{sessionOpen, sessionEnded, sessionLost},
		{sessionNone, sessionEnded, sessionNone},
		{sessionOpen, sessionWentSilent, sessionNone},
		{sessionLost, sessionWentSilent, sessionLost},
		{sessionLost, incarnationChanged, sessionNone},
		{sessionOpen, incarnationChanged, sessionOpen},
	} {
		if got := test.from.next(test.event); got != test.want {
			t.Errorf("%v, event %d: %v, want %v", test.from, test.event, got, test.want)
		}
	}
}

// A member that gossip reports as failed is suspected until the timeout and then dead, unless gossip announces it again or a
// session with it opens.
func TestMemberTransitions(t *testing.T) {
	f := NewForwarderMembership(Member{Name: "f"}, Config{})
	joined := MemberJoined{Member{Name: "p", Role: RolePlanner, Incarnation: 1}}
	timeout := Defaults().SuspicionTimeout
	for _, test := range []struct {
		at    time.Duration
		event Event
		want  memberState
	}{
		{1 * time.Second, joined, memberAlive},
		{2 * time.Second, MemberDied{"p", 1}, memberSuspected},
		{2*time.Second + timeout/2, joined, memberAlive},
		{3 * time.Second, MemberDied{"p", 1}, memberSuspected},
		{3*time.Second + timeout, nil, memberDead},
		{5 * time.Second, PlannerConnected{"p"}, memberAlive},
		{6 * time.Second, joined, memberAlive},
		{7 * time.Second, MemberLeft{"p", 1}, memberAlive},
		{8 * time.Second, PlannerDisconnected{Name: "p"}, memberLeft},
	} {
		var events []Event
		if test.event != nil {
			events = append(events, test.event)
		}
		f.Step(test.at, events, nil)
		if got := f.find("p").state; got != test.want {
			t.Errorf("at %v, after %T: %v, want %v", test.at, test.event, got, test.want)
		}
	}
}

// A lost session causes an immediate reassignment of cells. Other changes wait until Config.AssignInterval has passed.
func TestLostSessionReassignsCellsImmediately(t *testing.T) {
	p := NewPlannerMembership(Member{Name: "p1"}, Config{})
	interval := Defaults().AssignInterval
	const start = time.Second
	step := func(at time.Duration, events ...Event) (partitions int) {
		for _, action := range p.Step(at, events, nil) {
			if _, ok := action.(SetPartition); ok {
				partitions++
			}
		}
		return partitions
	}
	joined := func(name, home string) MemberJoined {
		return MemberJoined{Member{Name: name, Home: home, Incarnation: 1}}
	}
	planner := MemberJoined{Member{Name: "p2", Role: RolePlanner, Incarnation: 1}}
	if step(start, fullList(10), planner, PlannerConnected{"p2"}, joined("f1", "p1"), joined("f2", "p2")) != 1 {
		t.Error("the first step emits no partition")
	}
	if step(start+interval/4, joined("f3", "p2")) != 0 {
		t.Error("a new forwarder causes a partition within the interval")
	}
	if step(start+interval/2, PlannerDisconnected{Name: "p2"}) != 1 {
		t.Error("a lost session causes no immediate partition")
	}
	if step(start+interval, PlannerConnected{"p2"}) != 0 || step(start+interval/2+interval) != 1 {
		t.Error("a new session does not cause one partition, as soon as the interval since the last one has passed")
	}
}

// Each late step of a process lengthens its timeouts by their original length, up to a limit. Each second without a late step
// shortens them by the same amount again.
func TestLateStepsExtendTimeouts(t *testing.T) {
	health := selfHealth{}
	for range 2 * maxLateSteps {
		health.recordLateStep(time.Second)
	}
	if got := health.scale(time.Second); got != (1+maxLateSteps)*time.Second {
		t.Errorf("timeout of 1 s is scaled to %v at the limit", got)
	}
	health.decay(time.Second + 3*lateStepDecayPeriod)
	if got := health.scale(time.Second); got != (1+maxLateSteps-3)*time.Second {
		t.Errorf("timeout of 1 s is scaled to %v three decay periods later", got)
	}
	health.decay(time.Minute)
	if got := health.scale(time.Second); got != time.Second {
		t.Errorf("timeout of 1 s is scaled to %v after all late steps have decayed", got)
	}
}

func TestLatencyTransitions(t *testing.T) {
	const confirmation, recovery = 500 * time.Millisecond, time.Second
	tracker := latencyTracker{}
	now := time.Hour
	observe := func(level latencyLevel, period time.Duration) latencyState {
		state := tracker.observe(level, period, confirmation, recovery)
		now += period
		if state != tracker.state {
			tracker.transition(state, now)
		}
		return state
	}
	for i, test := range []struct {
		level  latencyLevel
		period time.Duration
		want   latencyState
	}{
		{levelHigh, 400 * time.Millisecond, latencyNormal},
		{levelElevated, 200 * time.Millisecond, latencyNormal},
		{levelHigh, 200 * time.Millisecond, latencyNormal},
		{levelLow, time.Millisecond, latencyNormal},
		{levelHigh, 500 * time.Millisecond, latencySlow},
		{levelLow, 900 * time.Millisecond, latencySlow},
		{levelHigh, 100 * time.Millisecond, latencySlow},
		{levelLow, 900 * time.Millisecond, latencySlow},
		{levelElevated, time.Minute, latencySlow},
		{levelLow, 100 * time.Millisecond, latencyNormal},
		{levelHigh, 500 * time.Millisecond, latencySlow}, // a relapse: recovery takes twice as long
		{levelLow, 1900 * time.Millisecond, latencySlow},
		{levelLow, 100 * time.Millisecond, latencyNormal},
	} {
		if got := observe(test.level, test.period); got != test.want {
			t.Errorf("observation %d: %v, want %v", i, got, test.want)
		}
	}
}

func TestStateNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	for _, states := range [][]fmt.Stringer{
		{RoleForwarder, RolePlanner},
		{gossipUnknown, gossipAlive, gossipFailed, gossipLeft},
		{sessionNone, sessionOpen, sessionLost},
		{memberAlive, memberSuspected, memberDead, memberLeft},
		{assignmentCurrent, assignmentOutdated, assignmentUrgent},
		{latencyNormal, latencySlow},
	} {
		clear(names)
		for _, state := range states {
			names[state.String()] = true
		}
		if len(names) != len(states) || names["invalid"] || names["unknown"] && states[0] != gossipUnknown {
			t.Errorf("%T: %v", states[0], names)
		}
	}
}
