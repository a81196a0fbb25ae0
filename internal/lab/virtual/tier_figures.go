package virtual

import (
	"reflect"

	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
)

// TierFigures count what forwarders and planners did over a play, over all their processes.
type TierFigures struct {
	Queries   int // that came to forwarders
	Reoffered int // offers to a planner of queries that had come before
	Orders    int // of planners, as forwarders heard them
	Refused   int // of these, by forwarders' guards
	ByWhy     [message.ReasonCount]int
	Moves     int // queries that planners handed on
	Unheard   int // queries taken from a planner that said nothing of them
	Expired   int // answered by forwarders at their deadline
	Unplaced  int // or as nobody had room for them in time
	Poisonous int // or as they brought down two planners
	Frozen    int // sessions that forwarders gave up as there was no answer
	Alone     int // times that one decided by itself
	OwnPanics int // of forwarders' own modules
	Changes   int // of the planner that is followed, but for one that was lost
	Lapsed    int // attempts that planners took to be over unheard of
	Panics    int // of planners' modules
	GivenBack int // queries at which they panic
	Bad       int // messages to planners that make no sense
	Unwritten int // messages that could not be written
}

func (x *TierFigures) addForwarder(f *forwarderProcess) {
	y := f.follow.Stats()
	x.Queries += y.Requests
	x.Reoffered += y.Reoffered
	x.Orders += y.Commands
	for why, n := range y.ByReason {
		x.ByWhy[why] += n
		x.Refused += n
	}
	x.Moves += y.Transfers
	x.Unheard += y.Revoked
	x.Expired += y.Expired
	x.Unplaced += y.Unplaced
	x.Poisonous += y.Poison
	x.Frozen += y.Unresponsive
	x.Alone += y.Standalone
	x.OwnPanics += y.Panics
	x.Changes += f.members.PlannerChanges()
}

func (x *TierFigures) addPlanner(b *planner.Planner) {
	y := b.Stats()
	x.Lapsed += y.Expired
	x.Panics += y.Panics
	x.GivenBack += y.Poison
	x.Bad += y.InvalidMessages
}

// Sum adds another play's figures.
func (x *TierFigures) Sum(y *TierFigures) {
	a, b := reflect.ValueOf(x).Elem(), reflect.ValueOf(y).Elem()
	for i := range a.NumField() {
		if a.Field(i).Kind() == reflect.Int {
			a.Field(i).SetInt(a.Field(i).Int() + b.Field(i).Int())
		}
	}
	for why, n := range y.ByWhy {
		x.ByWhy[why] += n
	}
}
