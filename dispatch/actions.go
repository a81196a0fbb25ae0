package dispatch

import "time"

// Action is an instruction to the caller of Dispatcher.Step. Actions are carried out in the order in which
// they are returned.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt. The attempts of a job are numbered from 0, in the order of their Sends.
	Send struct {
		Job            uint64
		Worker         uint64
		AttemptTimeout time.Duration // 0: the job's deadline is the only limit
	}
	// Reject is the final answer to a job that was not executed or may safely be executed again. The client
	// may retry it.
	Reject struct {
		Job        uint64
		RetryAfter time.Duration // advised delay before a retry; 0: none
	}
	// Fail is the final answer to a job that was possibly executed.
	Fail struct{ Job uint64 }
	// Cancel cancels one attempt, which stays in flight until its Outcome.
	Cancel struct {
		Job     uint64
		Attempt int
	}
	// HealthCheck requests a response and a load report from a worker. It is followed by a HealthChecked.
	HealthCheck struct{ Worker uint64 }
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections struct{ Worker uint64 }
	// SetTimer requests a TimerFired after a duration. There is only one timer: an earlier one that has not
	// fired yet is cancelled.
	SetTimer struct{ After time.Duration }
	// Subscribe requests the list of workers and its updates, which arrive as WorkerList events. If the
	// request fails, the event is a WorkerList of kind ListUnavailable.
	Subscribe struct{}
	// SendPeerMessage sends a message to another dispatcher. The message may be lost.
	SendPeerMessage struct {
		To      int // its Settings.ReplicaIndex
		Message PeerMessage
	}
	// Log writes a line to the log.
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
