package simulation

import (
	"reflect"

	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
)

// ControlCounts counts what forwarders and planners did in a run, over all their processes.
type ControlCounts struct {
	Requests         int // admitted by forwarders
	Reoffered        int // offers of requests that were not offered on arrival
	Commands         int // that forwarders received from planners
	Rejected         int // commands that forwarders' validators rejected
	RejectedByReason [message.ReasonCount]int
	Transfers        int // requests that planners transferred to another planner
	Revoked          int // requests revoked from planners that gave no command for them
	Expired          int // requests to which forwarders responded at their deadline
	Unplaced         int // requests to which forwarders responded as no planner had capacity by their objective
	Poison           int // requests that forwarders gave up as sessions or policies failed on them twice
	Unresponsive     int // sessions that forwarders reset, as the planner did not reply or a message was lost
	Standalone       int // times that a forwarder entered standalone mode
	ForwarderPanics  int // of forwarders' local policies
	PlannerChanges   int // of the planner that a forwarder uses, other than by its loss
	AssumedEnded     int // attempts without a report that planners assumed to have ended
	PlannerPanics    int // of planners' policies
	PoisonReturned   int // requests that planners returned because their policy panics at them
	InvalidMessages  int // invalid messages to planners
	EncodingFailures int // messages that could not be encoded
}

func (c *ControlCounts) addForwarder(f *forwarderProcess) {
	stats := f.forwarder.Stats()
	c.Requests += stats.Requests
	c.Reoffered += stats.Reoffered
	c.Commands += stats.Commands
	for reason, n := range stats.ByReason {
		c.RejectedByReason[reason] += n
		c.Rejected += n
	}
	c.Transfers += stats.Transfers
	c.Revoked += stats.Revoked
	c.Expired += stats.Expired
	c.Unplaced += stats.Unplaced
	c.Poison += stats.Poison
	c.Unresponsive += stats.Unresponsive
	c.Standalone += stats.Standalone
	c.ForwarderPanics += stats.Panics
	c.PlannerChanges += f.members.PlannerChanges()
}

func (c *ControlCounts) addPlanner(p *planner.Planner) {
	stats := p.Stats()
	c.AssumedEnded += stats.Expired
	c.PlannerPanics += stats.Panics
	c.PoisonReturned += stats.PoisonRequests
	c.InvalidMessages += stats.InvalidMessages
}

// Add adds another run's counts.
func (c *ControlCounts) Add(other *ControlCounts) {
	a, b := reflect.ValueOf(c).Elem(), reflect.ValueOf(other).Elem()
	for i := range a.NumField() {
		if a.Field(i).Kind() == reflect.Int {
			a.Field(i).SetInt(a.Field(i).Int() + b.Field(i).Int())
		}
	}
	for reason, n := range other.RejectedByReason {
		c.RejectedByReason[reason] += n
	}
}
