package ledger

import (
	"fmt"

	"valvecove/logic"
)

// Stage is how far an attempt has come on its way to the worker node.
type Stage int

// Stages, in order.
const (
	NotConnected Stage = iota
	PartWritten        // some of its bytes may be on the way
	AllWritten         // its last byte is written: it may run from here on
	Accepted           // the worker node has said so
)

func (s Stage) String() string {
	return [...]string{"not connected", "part written", "all written", "accepted"}[s]
}

// Reason is what ended an attempt other than its result.
type Reason int

// Reasons.
const (
	Cut       Reason = iota // the connection failed or broke, or the worker node lost the job
	Rejected                // turned away, or handed back unstarted
	Unusable                // turned away as a request that no worker node can use
	Errored                 // the worker node answered with an error
	Expired                 // nothing came while the scheduler was willing to wait
	Withdrawn               // given up by the module
	Unsent                  // not even tried, or recalled before its last byte was written
)

// Fault ends an attempt without a result. It carries how far the attempt had come, from which 'has it run?'
// follows: what broke before its last byte was written never ran, anything later may have.
type Fault struct {
	Stage  Stage
	Reason Reason
	Cause  error
}

func (f *Fault) Error() string {
	what := [...]string{"cut", "rejected", "unusable", "error", "expired", "withdrawn", "unsent"}[f.Reason]
	if f.Cause != nil {
		return fmt.Sprintf("%s, %s: %v", what, f.Stage, f.Cause)
	}
	return fmt.Sprintf("%s, %s", what, f.Stage)
}

// Unwrap gives what is underneath.
func (f *Fault) Unwrap() error { return f.Cause }

// result is the module's word for how an attempt ended.
func result(f *Fault) logic.Result {
	switch {
	case f == nil:
		return logic.OK
	case f.Reason == Cut && f.Stage < AllWritten:
		return logic.NoConnect
	case f.Reason == Cut:
		return logic.Reset
	}
	return [...]logic.Result{Rejected: logic.Full, Unusable: logic.NotSent, Errored: logic.Failed, Expired: logic.TimedOut,
		Withdrawn: logic.Cancelled, Unsent: logic.NotSent}[f.Reason]
}
