package requests

import (
	"slices"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A callback that is repeated must not end the next attempt at the same endpoint: handed back twice, a request that may
// not run twice would be sent elsewhere while it runs there. So that endpoint gets no further attempt.
func TestCallbackRepeatedEndsNoLaterAttempt(t *testing.T) {
	for _, state := range []string{CallbackReturned, CallbackFailed, CallbackLost} {
		t.Run(state, func(t *testing.T) {
			policy, transport := &modeltest.ScriptedPolicy{}, newRecordingTransport()
			table := newTestTable(policy, 2, transport)
			request := admit(t, table, "c", &countingResponder{})
			send := func(endpoint string) {
				policy.Next = []dispatch.Action{dispatch.Send{Job: request.ID, Worker: hashID(endpoint)}}
				table.DiscoveryFailed() // something to step for
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
				t.Errorf("%d attempts were started, the last at %s", len(transport.started), last.EndpointID)
			}
		})
	}
}

// Callbacks name no attempt. Where an earlier one at the same endpoint may still run, only CallbackDone ends the later
// one.
func TestCallbackOfEarlierAttemptEndsLaterOnlyIfDone(t *testing.T) {
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
				t.Fatal("not sent again")
			}
			f.transport.started[1].Stage = StageWritten
			prepare(t, f)
			for _, state := range []string{CallbackStarted, CallbackReturned, CallbackLost, CallbackFailed} {
				if !f.callBack(t, state) {
					t.Errorf("%s: not known", state)
				}
			}
			f.step(3)
			if slices.Contains(f.results(), dispatch.WorkerFull) || f.table.InFlightAttempt(f.request.ID, 1) == nil {
				t.Errorf("ended by a callback that may be of the earlier attempt, results %v", f.results())
			}
			f.callBack(t, CallbackDone)
			if f.table.InFlightAttempt(f.request.ID, 1) != nil || f.table.OpenCount() != 0 {
				t.Error("what is done does not end it")
			}
		})
	}
}

// After a hot restart an endpoint whose callback ended an attempt gets no further one either: the repeat of that callback may reach
// the successor, and would end the new attempt while it runs.
func TestCallbackRepeatedAfterTakeOverEndsNoLaterAttempt(t *testing.T) {
	for _, state := range []string{CallbackReturned, CallbackFailed, CallbackLost} {
		t.Run(state, func(t *testing.T) {
			f := newAttemptFixture(t, 0)
			f.callBack(t, state)
			f.step(2)
			f.takeOver(t)
			f.step(3, dispatch.Send{Job: f.request.ID, Worker: hashID("s-0")})
			if last := f.results()[len(f.results())-1]; last != dispatch.NotSent {
				t.Errorf("the endpoint got an attempt, which ended as %v", last)
			}
			if f.callBack(t, state) {
				t.Error("the repeat is about an attempt in flight")
			}
		})
	}
}
