package forwarder

import (
	"fmt"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

// Stats are what a forwarder has counted since its start, and what it has now.
type Stats struct {
	Requests      int // that came
	Reoffered     int // offers to a planner of queries that had come before
	Commands      int // of planners
	Sent          int // attempts, by whomever
	Transfers     int // queries that planners handed on
	Revoked       int // queries that were taken from a planner which said nothing of them
	Expired       int // answered at their deadline
	Unplaced      int // answered as nobody had room for them in time
	QueueFull     int // answered at once as too many waited
	Poison        int // given up as they brought down two planners
	Rejected      int // of all these, refused
	Failed        int // and failed
	Unresponsive  int // sessions given up as the planner did not answer
	StrayMessages int // messages of no session, or that say nothing to a forwarder
	Overruns      int // messages that there was no room for
	Standalone    int // times that it has decided by itself
	Panics        int // of its own module

	Open     int // queries now, closed ones with attempts out too
	Waiting  int // of these for a planner
	Local    int // with the own module
	ByReason [message.ReasonCount]int
}

// Stats gives them.
func (f *Forwarder) Stats() Stats {
	x := f.stats
	x.Open, x.Waiting, x.Local = len(f.requests), f.waiting.Len()+f.poisonSuspects.Len(), f.localRequests
	for why := range message.ReasonCount {
		x.ByReason[why] = f.validator.RejectedCount(why)
	}
	return x
}

// PlannerState is how one planner stands.
type PlannerState struct {
	Name      string
	Epoch     message.Epoch // of its session; 0: there is none
	Accepted  bool          // it takes queries
	Leaving   bool
	Suspected bool
	Credit    int
	Requests  int
	Latency   time.Duration // to answer, of late
}

// PlannerStates tells how the planners stand to whom there is a connection.
func (f *Forwarder) PlannerStates() (all []PlannerState) {
	for _, p := range f.planners {
		all = append(all, PlannerState{p.name, p.epoch, p.accepted, p.leaving, p.suspected, p.credit, len(p.requests), p.latency})
	}
	return all
}

// logLimiter keeps lines for the operators few.
type logLimiter struct {
	nextLogAt time.Duration
}

// logRejections tells of refused orders, once in a while.
func (f *Forwarder) logRejections() {
	if f.now < f.nextLogAt {
		return
	}
	for _, p := range f.planners {
		if p.rejectedTotal == 0 {
			continue
		}
		f.nextLogAt = f.now + logInterval
		parts := []string{}
		for why := range message.ReasonCount {
			if n := p.rejected[why]; n > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", why, n))
			}
		}
		f.log("commands of a planner rejected", "planner", p.name, "commands", p.rejectedTotal,
			"by_reason", strings.Join(parts, ", "))
		p.rejectedTotal, p.rejected = 0, [message.ReasonCount]int{}
	}
}
