package requests

import (
	"slices"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A repeated callback must not end a later attempt at the same endpoint: the request would be sent to another worker while that
// attempt runs. The endpoint therefore gets no further attempt of the request.
func TestRepeatedCallbackDoesNotEndLaterAttempt(t *testing.T) {
	for _, state := range []string{CallbackReturned, CallbackFailed, CallbackLost} {
		t.Run(state, func(t *testing.T) {
			policy, transport := &modeltest.ScriptedPolicy{}, newRecordingTransport()
			table := newTestTable(policy, 2, transport)
			request := admit(t, table, "c", &countingResponder{})
			send := func(endpoint string) {
				policy.Next = []dispatch.Action{dispatch.Send{Job: request.ID, Worker: hashID(endpoint)}}
				table.DiscoveryFailed() // adds an event, so that Step runs the policy
				table.Step(1)
			}
			callBack := func() {
				if _, err := table.HandleCallback(Callback{CallID: "c", EndpointID: "s-0", State: state}); err != nil {
					t.Fatal(err)
				}
			}
			send("s-0")
			callBack()
			send("s-0")
			send("s-1")
			callBack()
			table.Step(2)
			last := transport.started[len(transport.started)-1]
			if len(transport.started) != 2 || last.EndpointID != "s-1" || last.HasEnded() {
				t.Errorf("%d attempts were started, the last at %s, expected 2, the last at s-1 and in flight", len(transport.started), last.EndpointID)
			}
		})
	}
}

// Callbacks have no attempt number. While an earlier attempt at the same endpoint may still run, only CallbackDone ends the
// later one.
func TestAmbiguousCallbackEndsLaterAttemptOnlyIfDone(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, f *attemptFixture){
		"same process": func(t *testing.T, _ *attemptFixture) { t.Helper() },
		"taken over": func(t *testing.T, f *attemptFixture) {
			t.Helper()
			f.takeOver(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAttemptFixture(t, 0)
			f.table.EndAttempt(f.first, nil, &AttemptError{Stage: StageAccepted, Reason: ReasonConnectionLost})
			f.step(2, dispatch.Send{Job: f.request.ID, Worker: hashID("s-0")})
			if len(f.transport.started) != 2 {
				t.Fatal("the request was not sent again")
			}
			f.transport.started[1].Stage = StageWritten
			prepare(t, f)
			for _, state := range []string{CallbackStarted, CallbackReturned, CallbackLost, CallbackFailed} {
				if !f.callBack(t, state) {
					t.Errorf("callback %s: no attempt in flight was found", state)
				}
			}
			f.step(3)
			if slices.Contains(f.results(), dispatch.WorkerFull) || f.table.InFlightAttempt(f.request.ID, 1) == nil {
				t.Errorf("the attempt was ended by a callback that may be about the earlier one, results %v", f.results())
			}
			f.callBack(t, CallbackDone)
			if f.table.InFlightAttempt(f.request.ID, 1) != nil || f.table.OpenCount() != 0 {
				t.Error("CallbackDone does not end the attempt")
			}
		})
	}
}

// An endpoint whose callback ended an attempt before a hot restart gets no further attempt of the request afterwards: a
// repetition of the callback may reach the successor, and would end the new attempt while it runs.
func TestRepeatedCallbackAfterTakeOverDoesNotEndLaterAttempt(t *testing.T) {
	for _, state := range []string{CallbackReturned, CallbackFailed, CallbackLost} {
		t.Run(state, func(t *testing.T) {
			f := newAttemptFixture(t, 0)
			f.callBack(t, state)
			f.step(2)
			f.takeOver(t)
			f.step(3, dispatch.Send{Job: f.request.ID, Worker: hashID("s-0")})
			if last := f.results()[len(f.results())-1]; last != dispatch.NotSent {
				t.Errorf("the last result is %v, expected that the attempt is not sent", last)
			}
			if f.callBack(t, state) {
				t.Error("the repeated callback matches an attempt in flight")
			}
		})
	}
}
