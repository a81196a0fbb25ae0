package planner

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
)

// The state of a request determines whether it counts as open, is in the queue, and has an expiry.
func TestRequestTransitions(t *testing.T) {
	table := newRequestTable(1)
	f := &forwarder{}
	req := table.allocate()
	req.forwarder = f
	req.At = time.Hour
	for _, want := range []struct {
		state                  requestState
		open, queued, expiring int
	}{
		{requestOffered, 1, 0, 0},
		{requestQueued, 1, 1, 0},
		{requestInFlight, 1, 0, 0},
		{requestQueued, 1, 1, 0},
		{requestQueued, 1, 1, 0},
		{requestInFlight, 1, 0, 0},
		{requestClosing, 0, 0, 1},
		{requestRemoved, 0, 0, 0},
	} {
		table.transition(req, want.state, time.Minute)
		if req.state != want.state || table.openCount != want.open || f.openCount != want.open ||
			table.queued.length != want.queued || table.expiries.Len() != want.expiring {
			t.Errorf("%v: %d open, %d open of the forwarder, %d queued, %d expiring; want %+v", req.state, table.openCount, f.openCount,
				table.queued.length, table.expiries.Len(), want)
		}
	}
	if req.queuedSince != time.Minute {
		t.Errorf("queued since %v, want 1m0s", req.queuedSince)
	}
}

// An attempt never returns to an earlier state, and repeated starts don't change its start time.
func TestAttemptStatesOnlyAdvance(t *testing.T) {
	a := attempt{}
	a.confirmStart(time.Second)
	a.confirmStart(2 * time.Second)
	a.advanceTo(attemptCommanded)
	if a.state != attemptConfirmed || a.startedAt != time.Second {
		t.Errorf("state %v, started at %v", a.state, a.startedAt)
	}
	a.advanceTo(attemptEnded)
	a.confirmStart(time.Second)
	if a.state != attemptEnded || a.inFlight() {
		t.Errorf("state %v after the end", a.state)
	}
}

// A session and its forwarder refer to each other only in the states sessionAccepting and sessionEstablished.
func TestSessionTransitions(t *testing.T) {
	f := &forwarder{}
	s := &session{}
	for _, state := range []sessionState{sessionAccepting, sessionEstablished} {
		s.transition(state, f)
		if s.state != state || s.forwarder != f || f.session != s {
			t.Errorf("%v: forwarder of the session is %v, session of the forwarder is %v", state, s.forwarder, f.session)
		}
	}
	for _, state := range []sessionState{sessionAwaitingHandshake, sessionClosed} {
		s.transition(sessionEstablished, f)
		s.transition(state, nil)
		if s.state != state || s.forwarder != nil || f.session != nil {
			t.Errorf("%v: forwarder of the session is %v, session of the forwarder is %v", state, s.forwarder, f.session)
		}
	}
}

// Disconnecting from a peer resets its epoch and its load report.
func TestPeerTransitions(t *testing.T) {
	p := &peer{}
	p.transition(peerEstablished, 7)
	p.loadAt = time.Second
	if !p.hasRecentLoad(2*time.Second) || p.hasRecentLoad(3*time.Second) {
		t.Error("a load report is not valid for exactly one second")
	}
	p.transition(peerDisconnected, 0)
	if p.state != peerDisconnected || p.remoteEpoch != 0 || p.hasRecentLoad(time.Second) {
		t.Errorf("state %v, epoch %d, load received at %v", p.state, p.remoteEpoch, p.loadAt)
	}
}

// A planner never returns to an earlier phase, and passes no event to its policy once it is stopping.
func TestPhasesOnlyAdvance(t *testing.T) {
	p := newTestPlanner(Config{})
	p.Step(time.Hour, nil, nil)
	for _, to := range []phase{phaseRunning, phaseStopping, phaseRunning, phaseStopped, phaseStopping} {
		before := p.lifecycle.phase
		p.lifecycle.enter(to)
		if p.lifecycle.phase != max(before, to) {
			t.Errorf("phase %v after phase %v and a transition to %v", p.lifecycle.phase, before, to)
		}
		p.policy.notify(dispatch.TimerFired{})
		if (len(p.policy.pending) > 0) != (p.lifecycle.phase == phaseRunning) {
			t.Errorf("%d events pending for the policy while %v", len(p.policy.pending), p.lifecycle.phase)
		}
		p.policy.discardPending()
	}
}

// Every state has a unique name, and values beyond the last state are "unknown".
func TestStateNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	check := func(kind string, state fmt.Stringer, isState bool) {
		t.Helper()
		name := kind + " " + state.String()
		isUnknown := state.String() == "unknown"
		if isUnknown == isState || isState && names[name] {
			t.Errorf("%s: want a unique name for a defined state, else \"unknown\" (defined: %v)", name, isState)
		}
		names[name] = true
	}
	for n := range uint8(8) {
		check("phase", phase(n), phase(n) <= phaseStopped)
		check("session", sessionState(n), sessionState(n) <= sessionClosed)
		check("request", requestState(n), requestState(n) <= requestRemoved)
		check("attempt", attemptState(n), attemptState(n) <= attemptEnded)
		check("peer", peerState(n), peerState(n) <= peerEstablished)
	}
}
