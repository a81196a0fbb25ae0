package requests

import (
	"fmt"

	"valvecove/dispatch"
)

// Stage is the progress of an attempt on its connection. An attempt that ends before StageWritten is not executed; from then on
// it is possibly executed.
type Stage int

// Stages, in order.
const (
	StageNotConnected  Stage = iota // the connection is not established
	StagePartlyWritten              // some of its bytes may have been sent
	StageWritten                    // the last byte was written
	StageAccepted                   // the worker has accepted it
)

// String returns the name of the stage.
func (s Stage) String() string {
	switch s {
	case StageNotConnected:
		return "not connected"
	case StagePartlyWritten:
		return "partly written"
	case StageWritten:
		return "written"
	case StageAccepted:
		return "accepted"
	}
	return fmt.Sprintf("Stage(%d)", int(s))
}

// Reason is why an attempt ended without a result.
type Reason int

// Reasons.
const (
	ReasonConnectionLost Reason = iota // the connection failed or broke, or the worker lost the job
	ReasonRejected                     // the worker rejected it, or returned it unstarted
	ReasonInvalidRequest               // the worker rejected the request as one that no worker can execute
	ReasonWorkerError                  // the worker responded with an error
	ReasonTimeout                      // it expired
	ReasonCancelled                    // the policy cancelled it
	ReasonNotSent                      // it was not started, or was abandoned before its last byte was written
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonConnectionLost:
		return "connection lost"
	case ReasonRejected:
		return "rejected"
	case ReasonInvalidRequest:
		return "invalid request"
	case ReasonWorkerError:
		return "worker error"
	case ReasonTimeout:
		return "timeout"
	case ReasonCancelled:
		return "cancelled"
	case ReasonNotSent:
		return "not sent"
	}
	return fmt.Sprintf("Reason(%d)", int(r))
}

// AttemptError is the error of an attempt that ended without a result, or of a failed health check. A nil *AttemptError means
// success.
type AttemptError struct {
	Stage  Stage // of the attempt when it ended
	Reason Reason
	Cause  error // the error of the transport; may be nil
}

// Error returns the reason, the stage and the cause, if there is one.
func (a *AttemptError) Error() string {
	if a.Cause != nil {
		return fmt.Sprintf("%s, %s: %v", a.Reason, a.Stage, a.Cause)
	}
	return fmt.Sprintf("%s, %s", a.Reason, a.Stage)
}

// Unwrap returns the cause, or nil.
func (a *AttemptError) Unwrap() error { return a.Cause }

// isConnectFailure reports whether the connection failed before the last byte was written: the attempt is not executed.
func (a *AttemptError) isConnectFailure() bool {
	return a.Reason == ReasonConnectionLost && a.Stage < StageWritten
}

// Outcome returns the outcome of an attempt that ended with the error, or OutcomeServed if a is nil.
func (a *AttemptError) Outcome() Outcome {
	switch {
	case a == nil:
		return OutcomeServed
	case a.isConnectFailure(), a.Reason == ReasonNotSent:
		return OutcomeConnectFailed
	case a.Reason == ReasonConnectionLost:
		return OutcomeConnectionLost
	case a.Reason == ReasonRejected, a.Reason == ReasonInvalidRequest:
		return OutcomeRejected
	case a.Reason == ReasonWorkerError:
		return OutcomeError
	}
	return OutcomeTimedOut
}

// result returns the policy's result of an attempt that ended with the error, or dispatch.OK if a is nil.
func (a *AttemptError) result() dispatch.Result {
	switch {
	case a == nil:
		return dispatch.OK
	case a.isConnectFailure():
		return dispatch.ConnectFailed
	}
	switch a.Reason {
	case ReasonConnectionLost:
		return dispatch.ConnectionReset
	case ReasonRejected:
		return dispatch.WorkerFull
	case ReasonWorkerError:
		return dispatch.Failed
	case ReasonTimeout:
		return dispatch.TimedOut
	case ReasonCancelled:
		return dispatch.Cancelled
	}
	return dispatch.NotSent // an invalid request is not a fault of the worker that rejected it
}
