package follow

import (
	"fmt"
	"strings"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// Figures are what a forwarder has counted since its start, and what it has now.
type Figures struct {
	Queries   int // that came
	Reoffered int // offers to a planner of queries that had come before
	Orders    int // of planners
	Sent      int // attempts, by whomever
	Moves     int // queries that planners handed on
	Unheard   int // queries that were taken from a planner which said nothing of them
	Expired   int // answered at their deadline
	Unplaced  int // answered as nobody had room for them in time
	Crowded   int // answered at once as too many waited
	Poisonous int // given up as they brought down two planners
	Refused   int // of all these, refused
	Failed    int // and failed
	Frozen    int // sessions given up as the planner did not answer
	Strays    int // messages of no session, or that say nothing to a forwarder
	Floods    int // messages that there was no room for
	Alone     int // times that it has decided by itself
	Panics    int // of its own module

	Open    int // queries now, closed ones with attempts out too
	Waiting int // of these for a planner
	Mine    int // with the own module
	ByWhy   [tier.Reasons]int
}

// Figures gives them.
func (f *Follower) Figures() Figures {
	x := f.figures
	x.Open, x.Waiting, x.Mine = len(f.queries), f.waiting.Len()+f.suspects.Len(), f.holds
	for why := range tier.Reasons {
		x.ByWhy[why] = f.guard.Refused(why)
	}
	return x
}

// Standing is how one planner stands.
type Standing struct {
	Name    string
	Epoch   tier.Epoch // of its session; 0: there is none
	Open    bool       // it takes queries
	Leaving bool
	Doubted bool
	Credit  int
	Queries int
	Took    time.Duration // to answer, of late
}

// Standings tells how the planners stand to whom there is a connection.
func (f *Follower) Standings() (all []Standing) {
	for _, p := range f.planners {
		all = append(all, Standing{p.name, p.epoch, p.open, p.leaving, p.doubted, p.credit, len(p.queries), p.took})
	}
	return all
}

// says keeps lines for the operators few.
type says struct {
	saidAt time.Duration
}

func (f *Follower) line(text string) { f.do(logic.Log{Text: text}) }

// say tells of refused orders, once in a while.
func (f *Follower) say() {
	if f.now < f.saidAt {
		return
	}
	for _, p := range f.planners {
		if p.orders == 0 {
			continue
		}
		f.saidAt = f.now + sayEvery
		parts := []string{}
		for why := range tier.Reasons {
			if n := p.refused[why]; n > 0 {
				parts = append(parts, fmt.Sprintf("%s %d", why, n))
			}
		}
		f.line(fmt.Sprintf("planner %s: %d orders were not followed: %s", p.name, p.orders, strings.Join(parts, ", ")))
		p.orders, p.refused = 0, [tier.Reasons]int{}
	}
}
