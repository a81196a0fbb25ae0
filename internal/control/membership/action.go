package membership

import (
	"log/slog"

	"valvecove/dispatch"
)

// Action is an output of Step: something to carry out. The receiver owns it.
type Action interface{ action() }

// Actions.
type (
	// SetPlanners names the planners to have sessions with, sorted. A planner's own name is not among them.
	SetPlanners struct{ Names []string }
	// SetPeers names the planners that a planner counts as its peers, sorted.
	SetPeers struct{ Names []string }
	// Announce has the gossip engine announce the member to the others.
	Announce struct{ Member Member }
	// SetForwarderIndex gives a forwarder its index among Count forwarders, from 0.
	SetForwarderIndex struct{ Index, Count int }
	// SetPartition gives a planner the partition of the workers. Owner returns the name of the planner that owns a worker;
	// its result for a cell never changes, and it may be called from any goroutine.
	SetPartition struct {
		Owner func(w *dispatch.Worker) string
	}
	// LogLine has a line logged for the operators. Messages are constant.
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
