package requests

import (
	"slices"
	"testing"
)

// A request makes valid state transitions only. A closed request is never reopened.
func TestRequestStateTransitions(t *testing.T) {
	states := []requestState{requestOpen, requestResponded, requestDisconnected, requestEnded}
	allowed := map[requestState][]requestState{
		requestOpen:         {requestResponded, requestDisconnected},
		requestResponded:    {requestEnded},
		requestDisconnected: {requestEnded},
	}
	for _, from := range states {
		for _, next := range states {
			request := &Request{state: from}
			isAllowed := slices.Contains(allowed[from], next)
			if request.transitionTo(next) != isAllowed || (request.state == next) != (isAllowed || from == next) {
				t.Errorf("from %v to %v: now %v, allowed %v", from, next, request.state, isAllowed)
			}
		}
	}
}

// An attempt makes valid state transitions only. An attempt that has ended makes none.
func TestAttemptStateTransitions(t *testing.T) {
	states := []attemptState{attemptCreated, attemptInFlight, attemptCancelling, attemptNotStarted, attemptEnded}
	allowed := map[attemptState][]attemptState{
		attemptCreated:    {attemptInFlight, attemptNotStarted},
		attemptInFlight:   {attemptCancelling, attemptEnded},
		attemptCancelling: {attemptInFlight, attemptEnded},
	}
	for _, from := range states {
		for _, next := range states {
			attempt := &Attempt{state: from}
			isAllowed := slices.Contains(allowed[from], next)
			if attempt.transitionTo(next) != isAllowed || (attempt.state == next) != (isAllowed || from == next) {
				t.Errorf("from %v to %v: now %v, allowed %v", from, next, attempt.state, isAllowed)
			}
		}
	}
}

// The booleans of the stored form encode all states of requests and attempts.
func TestSnapshotKeepsStates(t *testing.T) {
	for _, state := range []requestState{requestOpen, requestResponded, requestDisconnected, requestEnded} {
		stored := (&Request{state: state}).snapshot()
		if got := stored.state(); got != state {
			t.Errorf("request %v: %+v, read as %v", state, stored, got)
		}
	}
	for _, state := range []attemptState{attemptCreated, attemptInFlight, attemptCancelling, attemptNotStarted, attemptEnded} {
		stored := (&Attempt{state: state}).snapshot()
		if got := stored.state(); got != state {
			t.Errorf("attempt %v: %+v, read as %v", state, stored, got)
		}
	}
}
