package requests

import (
	"fmt"

	"valvecove/dispatch"
)

// Stage is how far an attempt has come on its way to the worker node.
type Stage int

// Stages, in order.
const (
	StageNotConnected  Stage = iota
	StagePartlyWritten       // some of its bytes may be on the way
	StageWritten             // its last byte is written: it may run from here on
	StageAccepted            // the worker node has said so
)

func (s Stage) String() string {
	return [...]string{"not connected", "part written", "all written", "accepted"}[s]
}

// Reason is what ended an attempt other than its result.
type Reason int

// Reasons.
const (
	ReasonConnectionLost Reason = iota // the connection failed or broke, or the worker node lost the job
	ReasonRejected                     // turned away, or handed back unstarted
	ReasonInvalidRequest               // turned away as a request that no worker node can use
	ReasonWorkerError                  // the worker node answered with an error
	ReasonTimeout                      // nothing came while the scheduler was willing to wait
	ReasonCancelled                    // given up by the module
	ReasonNotSent                      // not even tried, or recalled before its last byte was written
)

// AttemptError ends an attempt without a result. It carries how far the attempt had come, from which 'has it run?'
// follows: what broke before its last byte was written never ran, anything later may have.
type AttemptError struct {
	Stage  Stage
	Reason Reason
	Cause  error
}

func (f *AttemptError) Error() string {
	what := [...]string{"cut", "rejected", "unusable", "error", "expired", "withdrawn", "unsent"}[f.Reason]
	if f.Cause != nil {
		return fmt.Sprintf("%s, %s: %v", what, f.Stage, f.Cause)
	}
	return fmt.Sprintf("%s, %s", what, f.Stage)
}

// Unwrap gives what is underneath.
func (f *AttemptError) Unwrap() error { return f.Cause }

// resultOf is the module's word for how an attempt ended.
func resultOf(f *AttemptError) dispatch.Result {
	switch {
	case f == nil:
		return dispatch.OK
	case f.Reason == ReasonConnectionLost && f.Stage < StageWritten:
		return dispatch.ConnectFailed
	case f.Reason == ReasonConnectionLost:
		return dispatch.ConnectionReset
	}
	return [...]dispatch.Result{
		ReasonRejected: dispatch.WorkerFull, ReasonInvalidRequest: dispatch.NotSent, ReasonWorkerError: dispatch.Failed, ReasonTimeout: dispatch.TimedOut,
		ReasonCancelled: dispatch.Cancelled, ReasonNotSent: dispatch.NotSent,
	}[f.Reason]
}

// Outcome is the protocol's word for how an attempt ended that was sent; nil stands for served.
func (f *AttemptError) Outcome() Outcome {
	switch {
	case f == nil:
		return OutcomeServed
	case f.Reason == ReasonConnectionLost && f.Stage < StageWritten:
		return OutcomeConnectFailed
	}
	return [...]Outcome{
		ReasonConnectionLost: OutcomeConnectionLost, ReasonRejected: OutcomeRejected, ReasonInvalidRequest: OutcomeRejected, ReasonWorkerError: OutcomeError,
		ReasonTimeout: OutcomeTimedOut, ReasonCancelled: OutcomeTimedOut, ReasonNotSent: OutcomeConnectFailed,
	}[f.Reason]
}
