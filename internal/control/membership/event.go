package membership

import (
	"time"

	"valvecove/dispatch"
)

// Event is an input of Step.
type Event interface{ event() }

// Events from the gossip engine.
type (
	// MemberJoined reports that a member is present, or that it announces something new of itself.
	MemberJoined struct{ Member Member }
	// MemberLeft reports that a member has left in an orderly way. Incarnation 0 matches any.
	MemberLeft struct {
		Name        string
		Incarnation uint64
	}
	// MemberDied reports that the engine considers a member dead. Incarnation 0 matches any.
	MemberDied struct {
		Name        string
		Incarnation uint64
	}
)

// Events from sessions and from the endpoint list.
type (
	// PlannerConnected reports that a session with a planner has opened.
	PlannerConnected struct{ Name string }
	// PlannerDisconnected reports that a session with a planner has ended or is about to end. Silent: nothing more was
	// heard, which says nothing about the process at the other end. A forwarder makes no difference between the two.
	PlannerDisconnected struct {
		Name   string
		Silent bool
	}
	// ReplyReceived reports a planner's reply to a heartbeat: the round trip, and how late the planner's own timers run.
	ReplyReceived struct {
		Name              string
		Latency, TimerLag time.Duration
	}
	// EndpointsChanged is a watch event of the endpoint list, for a planner.
	EndpointsChanged struct{ List dispatch.WorkerList }
)

func (MemberJoined) event()        {}
func (MemberLeft) event()          {}
func (MemberDied) event()          {}
func (PlannerConnected) event()    {}
func (PlannerDisconnected) event() {}
func (ReplyReceived) event()       {}
func (EndpointsChanged) event()    {}
