package requests

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// An accepted attempt that is being cancelled stays in flight until its worker confirms or calls back, or until the deadline of
// its request. An earlier outcome would allow the policy to send the request to another worker while the attempt runs.
func TestCancelEndsAttemptOnceWorkerConfirms(t *testing.T) {
	callBack := func(state string) func(t *testing.T, f *attemptFixture) {
		return func(t *testing.T, f *attemptFixture) {
			t.Helper()
			f.callBack(t, state)
		}
	}
	for name, test := range map[string]struct {
		event func(t *testing.T, f *attemptFixture)
		want  []dispatch.Result // after the event
		last  dispatch.Result   // after the deadline of the request
	}{
		"confirmed": {
			func(_ *testing.T, f *attemptFixture) { f.transport.completeCancel(f.table, true) },
			[]dispatch.Result{dispatch.Cancelled},
			dispatch.Cancelled,
		},
		"unreachable": {
			func(_ *testing.T, f *attemptFixture) { f.transport.completeCancel(f.table, false) },
			nil, dispatch.TimedOut,
		},
		"no response": {
			func(*testing.T, *attemptFixture) {},
			nil, dispatch.TimedOut,
		},
		"cancelled twice": {
			func(_ *testing.T, f *attemptFixture) { f.step(3, dispatch.Cancel{Job: f.request.ID}) },
			nil, dispatch.TimedOut,
		},
		"client disconnects": {
			func(_ *testing.T, f *attemptFixture) { f.table.ClientDisconnected(f.request) },
			nil, dispatch.TimedOut,
		},
		"done":     {callBack(CallbackDone), []dispatch.Result{dispatch.OK}, dispatch.OK},
		"returned": {callBack(CallbackReturned), []dispatch.Result{dispatch.WorkerFull}, dispatch.WorkerFull},
		"lost":     {callBack(CallbackLost), []dispatch.Result{dispatch.ConnectionReset}, dispatch.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAttemptFixture(t, 0)
			f.step(2, dispatch.Cancel{Job: f.request.ID})
			if got := f.results(); len(got) != 0 || !slices.Equal(f.transport.cancelling, []*Attempt{f.first}) {
				t.Fatalf("after the cancellation: results %v, %d cancellations", got, len(f.transport.cancelling))
			}
			test.event(t, f)
			f.step(4)
			if got := f.results(); !slices.Equal(got, test.want) || len(f.transport.cancelling) > 1 {
				t.Errorf("results %v, expected %v, %d cancellations", got, test.want, len(f.transport.cancelling))
			}
			f.step(time.Second)
			if len(f.transport.cancelling) > 0 {
				f.transport.completeCancel(f.table, true) // after the deadline: no effect
			}
			f.step(time.Second)
			if got := f.results(); !slices.Equal(got, []dispatch.Result{test.last}) {
				t.Errorf("results %v after the deadline, expected %v", got, test.last)
			}
			if test.last == dispatch.OK && f.responder.results != 1 {
				t.Error("the result of the attempt that was being cancelled is not the response")
			}
		})
	}
}

// An attempt can be cancelled again after its cancellation has failed.
func TestCancelRetriedAfterFailure(t *testing.T) {
	f := newAttemptFixture(t, 0)
	f.step(2, dispatch.Cancel{Job: f.request.ID})
	f.transport.completeCancel(f.table, false)
	f.step(3, dispatch.Cancel{Job: f.request.ID})
	if len(f.transport.cancelling) != 1 {
		t.Fatal("the attempt is not cancelled again")
	}
	f.transport.completeCancel(f.table, true)
	f.step(4)
	if got := f.results(); !slices.Equal(got, []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("results %v, expected one cancelled attempt", got)
	}
}

// An attempt that exceeds its timeout before the deadline of its request is cancelled, as another attempt may follow.
func TestCancelByAttemptTimeout(t *testing.T) {
	f := newAttemptFixture(t, time.Millisecond)
	f.step(2 * time.Millisecond)
	if got := f.results(); len(got) != 0 || len(f.transport.cancelling) != 1 {
		t.Fatalf("results %v, %d cancellations", got, len(f.transport.cancelling))
	}
	f.transport.completeCancel(f.table, true)
	f.step(3 * time.Millisecond)
	if got := f.results(); !slices.Equal(got, []dispatch.Result{dispatch.TimedOut}) {
		t.Errorf("results %v, expected one attempt that has timed out", got)
	}
}

// The successor in a hot restart repeats a cancellation that its predecessor has not completed. The attempt stays in flight
// until the worker confirms.
func TestTakeOverResumesCancellation(t *testing.T) {
	f := newAttemptFixture(t, 0)
	f.step(2, dispatch.Cancel{Job: f.request.ID})
	f.takeOver(t)
	if len(f.results()) != 0 || len(f.transport.cancelling) != 1 || f.table.InFlightAttempt(f.request.ID, 0) == nil {
		t.Fatalf("results %v, %d cancellations", f.results(), len(f.transport.cancelling))
	}
	f.transport.completeCancel(f.table, true)
	f.step(6)
	if got := f.results(); !slices.Equal(got, []dispatch.Result{dispatch.Cancelled}) {
		t.Errorf("results %v, expected one cancelled attempt", got)
	}
}

// An attempt that is being cancelled because it has expired ends as timed out after a hot restart too, and not as cancelled.
func TestTakeOverKeepsReasonOfCancellation(t *testing.T) {
	f := newAttemptFixture(t, time.Millisecond)
	f.step(2 * time.Millisecond)
	f.takeOver(t)
	f.transport.completeCancel(f.table, true)
	f.step(3 * time.Millisecond)
	if got := f.results(); !slices.Equal(got, []dispatch.Result{dispatch.TimedOut}) {
		t.Errorf("results %v, expected one attempt that has timed out", got)
	}
}
