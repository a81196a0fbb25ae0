package simulation

import (
	"reflect"

	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
)

// LevelCounts counts what forwarders and planners did in a run, over all their processes.
type LevelCounts struct {
	Requests         int // that came to forwarders
	Reoffered        int // offers to a planner of requests that had come before
	Commands         int // of planners, as forwarders heard them
	Rejected         int // of these, by forwarders' guards
	RejectedByReason [message.ReasonCount]int
	Moves            int // requests that planners handed on
	Unconfirmed      int // requests taken from a planner that said nothing of them
	Expired          int // answered by forwarders at their deadline
	Unplaced         int // or as nobody had room for them in time
	Poison           int // or as they brought down two planners
	Frozen           int // sessions that forwarders gave up as there was no answer
	Standalone       int // times that one decided by itself
	OwnPanics        int // of forwarders' own modules
	Changes          int // of the planner that is followed, but for one that was lost
	PresumedEnded    int // attempts that planners took to be over unheard of
	Panics           int // of planners' modules
	Returned         int // requests at which they panic
	Malformed        int // messages to planners that make no sense
	Unwritten        int // messages that could not be written
}

func (x *LevelCounts) addForwarder(f *forwarderProcess) {
	stats := f.forwarder.Stats()
	x.Requests += stats.Requests
	x.Reoffered += stats.Reoffered
	x.Commands += stats.Commands
	for why, n := range stats.ByReason {
		x.RejectedByReason[why] += n
		x.Rejected += n
	}
	x.Moves += stats.Transfers
	x.Unconfirmed += stats.Revoked
	x.Expired += stats.Expired
	x.Unplaced += stats.Unplaced
	x.Poison += stats.Poison
	x.Frozen += stats.Unresponsive
	x.Standalone += stats.Standalone
	x.OwnPanics += stats.Panics
	x.Changes += f.members.PlannerChanges()
}

func (x *LevelCounts) addPlanner(b *planner.Planner) {
	y := b.Stats()
	x.PresumedEnded += y.Expired
	x.Panics += y.Panics
	x.Returned += y.Poison
	x.Malformed += y.InvalidMessages
}

// Sum adds another run's counts.
func (x *LevelCounts) Sum(y *LevelCounts) {
	a, b := reflect.ValueOf(x).Elem(), reflect.ValueOf(y).Elem()
	for i := range a.NumField() {
		if a.Field(i).Kind() == reflect.Int {
			a.Field(i).SetInt(a.Field(i).Int() + b.Field(i).Int())
		}
	}
	for why, n := range y.RejectedByReason {
		x.RejectedByReason[why] += n
	}
}
