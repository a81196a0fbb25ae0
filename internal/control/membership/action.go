package membership

import (
	"log/slog"

	"valvecove/dispatch"
)

// Action is an output of Step, which the caller carries out and owns.
type Action interface{ action() }

// Actions.
type (
	// SetPlanners has the names of the planners to have sessions with, sorted. A planner's own name is not among them.
	SetPlanners struct{ Names []string }
	// SetPeers has the names of the planners that are a planner's peers, sorted.
	SetPeers struct{ Names []string }
	// Announce requests that the gossip engine announces the member to the others.
	Announce struct{ Member Member }
	// SetForwarderIndex gives a forwarder its index among Count forwarders, from 0.
	SetForwarderIndex struct{ Index, Count int }
	// SetPartition gives a planner the partition of the workers. Owner returns the name of the planner that owns a worker;
	// its result for a cell never changes, and it may be called from any goroutine.
	SetPartition struct {
		Owner func(w *dispatch.Worker) string
	}
	// LogLine is a line of the operators' log. Messages are constant.
	LogLine struct {
		Message    string
		Attributes []slog.Attr
	}
)

func (SetPlanners) action()       {}
func (SetPeers) action()          {}
func (Announce) action()          {}
func (SetForwarderIndex) action() {}
func (SetPartition) action()      {}
func (LogLine) action()           {}
