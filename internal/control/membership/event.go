package membership

import (
	"time"

	"valvecove/dispatch"
)

// Event is an input of Step.
type Event interface{ event() }

// Events from the gossip engine.
type (
	// MemberJoined reports that a member is alive, or that its announcement has changed.
	MemberJoined struct{ Member Member }
	// MemberLeft reports that a member has shut down gracefully. Incarnation 0 matches any incarnation.
	MemberLeft struct {
		Name        string
		Incarnation uint64
	}
	// MemberDied reports that the gossip engine considers a member dead. Incarnation 0 matches any incarnation.
	MemberDied struct {
		Name        string
		Incarnation uint64
	}
)

// Events from sessions and from the endpoint list.
type (
	// PlannerConnected reports that a session with a planner has opened.
	PlannerConnected struct{ Name string }
	// PlannerDisconnected reports that a session with a planner has ended or is about to end. Silent is set if the session
	// timed out without messages, so that the state of the other process is unknown. Forwarders ignore Silent.
	PlannerDisconnected struct {
		Name   string
		Silent bool
	}
	// ReplyReceived reports a planner's reply to a heartbeat: Latency is the round-trip time, TimerLag is by how much the
	// planner's own timers run late.
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
