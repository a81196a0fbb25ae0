package requests

import (
	"testing"

	"valvecove/dispatch"
)

// An attempt whose connection is lost is possibly executed only if it was completely written.
func TestAttemptErrorResultOfLostConnectionDependsOnStage(t *testing.T) {
	for stage, want := range map[Stage]dispatch.Result{
		StageNotConnected:  dispatch.ConnectFailed,
		StagePartlyWritten: dispatch.ConnectFailed,
		StageWritten:       dispatch.ConnectionReset,
		StageAccepted:      dispatch.ConnectionReset,
	} {
		failure := &AttemptError{Stage: stage, Reason: ReasonConnectionLost}
		if got := failure.result(); got != want {
			t.Errorf("connection lost when %v: %v, expected %v", stage, got, want)
		}
	}
}

// Each reason corresponds to one result for the policy and one outcome for the observers.
func TestAttemptErrorResultAndOutcomeDependOnReason(t *testing.T) {
	for reason, want := range map[Reason]struct {
		result  dispatch.Result
		outcome Outcome
	}{
		ReasonConnectionLost: {dispatch.ConnectionReset, OutcomeConnectionLost},
		ReasonRejected:       {dispatch.WorkerFull, OutcomeRejected},
		ReasonInvalidRequest: {dispatch.NotSent, OutcomeRejected},
		ReasonWorkerError:    {dispatch.Failed, OutcomeError},
		ReasonTimeout:        {dispatch.TimedOut, OutcomeTimedOut},
		ReasonCancelled:      {dispatch.Cancelled, OutcomeTimedOut},
		ReasonNotSent:        {dispatch.NotSent, OutcomeConnectFailed},
	} {
		failure := &AttemptError{Stage: StageWritten, Reason: reason}
		if failure.result() != want.result || failure.Outcome() != want.outcome {
			t.Errorf("%v: result %v, outcome %q, expected %+v", reason, failure.result(), failure.Outcome(), want)
		}
	}
	var served *AttemptError
	if served.result() != dispatch.OK || served.Outcome() != OutcomeServed {
		t.Errorf("served: result %v, outcome %q", served.result(), served.Outcome())
	}
}
