package dispatch

import (
	"fmt"
	"time"
)

// EjectionReason is the evidence on which a worker was ejected.
type EjectionReason int

// The reasons of ejections.
const (
	EjectedForSilence     EjectionReason = iota // no response or notification after it was sent an attempt
	EjectedForFailures                          // attempts there failed in a row
	EjectedAsUnreachable                        // connections failed in a row, or one broke after a start
	EjectedForHealthCheck                       // it failed a health check
)

// String returns the reason as log lines give it.
func (e EjectionReason) String() string {
	switch e {
	case EjectedForSilence:
		return "silence"
	case EjectedForFailures:
		return "consecutive failures"
	case EjectedAsUnreachable:
		return "unreachable"
	case EjectedForHealthCheck:
		return "health check failed"
	default:
		return fmt.Sprintf("reason %d", int(e))
	}
}

// WorkerEjected reports that a worker is sent nothing but recovery probes until one of them, or any other
// response or notification, shows that it works.
type WorkerEjected struct {
	Worker       uint64
	Reason       EjectionReason
	EjectionTime time.Duration // mean time until the first recovery probe
}

func (WorkerEjected) action() {}

// Text returns the event as one line of the simulator's wire protocol, whose wording must not change.
func (w WorkerEjected) Text() string {
	predicates := [...]string{
		EjectedForSilence:     "silent",
		EjectedForFailures:    "fails",
		EjectedAsUnreachable:  "is unreachable",
		EjectedForHealthCheck: "does not answer a probe",
	}
	return fmt.Sprintf("worker %d %s: set aside for about %v", w.Worker, predicates[w.Reason], w.EjectionTime)
}
