package dispatch

import "time"

// Action is something that the dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; a job's attempts count up from 0. AttemptTimeout 0: it lasts until the client gives up.
	Send struct {
		Job            uint64
		Worker         uint64
		AttemptTimeout time.Duration
	}
	// Reject is a final answer: the job was not executed, or may be repeated, and may be tried again.
	Reject struct {
		Job        uint64
		RetryAfter time.Duration // advice on when to return; 0: none
	}
	// Fail is a final answer that promises nothing: the job was possibly executed.
	Fail struct{ Job uint64 }
	// Cancel withdraws one attempt.
	Cancel struct {
		Job     uint64
		Attempt int
	}
	// HealthCheck asks a worker for a sign of life and a load report.
	HealthCheck struct{ Worker uint64 }
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections struct{ Worker uint64 }
	// SetTimer asks for TimerFired after a span, in place of any that was set before.
	SetTimer struct{ After time.Duration }
	// Subscribe asks for the list of workers and its changes.
	Subscribe struct{}
	// SendPeerMessage sends a message to another dispatcher, by its Settings.ReplicaIndex. It may be lost.
	SendPeerMessage struct {
		To      int
		Message PeerMessage
	}
	// Log leaves a line for the operators.
	Log struct{ Text string }
)

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (SendPeerMessage) action()      {}
func (Log) action()                  {}
