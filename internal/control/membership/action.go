package membership

import (
	"log/slog"

	"valvecove/dispatch"
)

// Action is an output of Step. The caller executes it and may retain it.
type Action interface{ action() }

// Actions.
type (
	// SetPlanners lists the planners with which the process should have sessions, sorted by name, without the process itself.
	SetPlanners struct{ Names []string }
	// SetPeers lists a planner's peers, sorted by name.
	SetPeers struct{ Names []string }
	// Announce makes the gossip engine announce this process to the other members.
	Announce struct{ Member Member }
	// SetForwarderIndex sets a forwarder's zero-based index among Count forwarders.
	SetForwarderIndex struct{ Index, Count int }
	// SetPartition sets the partition of the workers among planners. Owner returns the name of the planner that owns a
	// worker. Its result for a cell never changes, and it is safe for concurrent use.
	SetPartition struct {
		Owner func(w *dispatch.Worker) string
	}
	// LogLine is a line of the operators' log. Message is one of a few constants.
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
