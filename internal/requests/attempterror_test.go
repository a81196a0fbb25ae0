package requests

import (
	"testing"

	"valvecove/dispatch"
)

// 'Has it run?' follows from how far the attempt came.
func TestAttemptError_ResultFollowsFromStage(t *testing.T) {
	for stage, want := range map[Stage]dispatch.Result{
		StageNotConnected: dispatch.ConnectFailed, StagePartlyWritten: dispatch.ConnectFailed,
		StageWritten: dispatch.ConnectionReset, StageAccepted: dispatch.ConnectionReset,
	} {
		if got := resultOf(&AttemptError{Stage: stage, Reason: ReasonConnectionLost}); got != want {
			t.Errorf("cut when %v: %v, expected %v", stage, got, want)
		}
	}
}
