package requests

import (
	"fmt"

	"valvecove/dispatch"
)

// Stage is how far an attempt has come on its way to its worker. What ends before StageWritten is not executed; from
// there on it is possibly executed.
type Stage int

// Stages, in order.
const (
	StageNotConnected  Stage = iota // there is no connection yet
	StagePartlyWritten              // some of its bytes may have been sent
	StageWritten                    // its last byte was written
	StageAccepted                   // its worker has accepted it
)

// String names the stage.
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
	ReasonRejected                     // the worker rejected it, or handed it back unstarted
	ReasonInvalidRequest               // the worker rejected it as a request that no worker can execute
	ReasonWorkerError                  // the worker responded with an error
	ReasonTimeout                      // nothing came before its timeout
	ReasonCancelled                    // the policy cancelled it
	ReasonNotSent                      // it was not started, or was abandoned before its last byte was written
)

// String names the reason.
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

// AttemptError is why an attempt, or a health check, ended without a result. A nil *AttemptError stands for success.
type AttemptError struct {
	Stage  Stage // how far the attempt had come
	Reason Reason
	Cause  error // what the transport met; may be nil
}

// Error names the reason, the stage and the cause.
func (e *AttemptError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s, %s: %v", e.Reason, e.Stage, e.Cause)
	}
	return fmt.Sprintf("%s, %s", e.Reason, e.Stage)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// isConnectFailure reports whether the connection failed before the last byte was written: the attempt is not executed.
func (e *AttemptError) isConnectFailure() bool {
	return e.Reason == ReasonConnectionLost && e.Stage < StageWritten
}

// Outcome is the outcome of an attempt that ended so, or of one that was served if e is nil.
func (e *AttemptError) Outcome() Outcome {
	switch {
	case e == nil:
		return OutcomeServed
	case e.isConnectFailure(), e.Reason == ReasonNotSent:
		return OutcomeConnectFailed
	case e.Reason == ReasonConnectionLost:
		return OutcomeConnectionLost
	case e.Reason == ReasonRejected, e.Reason == ReasonInvalidRequest:
		return OutcomeRejected
	case e.Reason == ReasonWorkerError:
		return OutcomeError
	}
	return OutcomeTimedOut
}

// result is the policy's term for an attempt that ended so, or for one that was served if e is nil.
func (e *AttemptError) result() dispatch.Result {
	switch {
	case e == nil:
		return dispatch.OK
	case e.isConnectFailure():
		return dispatch.ConnectFailed
	}
	switch e.Reason {
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
	return dispatch.NotSent // an invalid request says nothing about the worker that rejected it
}
