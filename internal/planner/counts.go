package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"valvecove/internal/tier"
)

// Counts are what a planner has counted since its start.
type Counts struct {
	Heads      int // that were offered
	Orders     int // to send
	Served     int // queries that a worker node's result has answered
	Refused    int // queries that were refused by order
	Failed     int // and failed
	Moved      int // handed on to another planner
	GivenBack  int // as the module panics at them
	TurnedAway int // beyond a credit, or of a class not known here
	Lapsed     int // attempts of which nothing was heard any more, and that were taken to be over
	Words      int // on worker nodes, that were told on
	Panics     int // of the module
	Crowded    int // connections for which there was no room
	Stale      int // sessions that were not a forwarder's newest
	Strays     int // messages of what is over
	Bad        int // that make no sense
	ByWhy      [tier.Reasons]int
}

// Standing is how a planner stands now.
type Standing struct {
	Forwarders int
	Sessions   int
	Heads      int // open
	Held       int // of them without an attempt out
	Over       int // that are closed with attempts out
	Credit     int // told in all
	Slots      float64
	Hosts      int // known
	Mine       int // in this planner's part
	Late       time.Duration
}

type counts struct {
	Counts
	saidAt  time.Duration
	said    Counts
	refusal []string
}

// Counts gives them.
func (b *Book) Counts() Counts { return b.counts.Counts }

// Standing tells it.
func (b *Book) Standing() Standing {
	s := Standing{Forwarders: len(b.open), Sessions: len(b.sessions), Heads: b.live, Over: len(b.jobs) - b.live,
		Slots: b.slots, Hosts: len(b.hosts), Late: b.late}
	for h := b.held.first; h != nil; h = h.in[ofHeld].next {
		s.Held++
	}
	for _, f := range b.open {
		s.Credit += f.credit
	}
	for _, h := range b.order {
		if h.listed && h.mine {
			s.Mine++
		}
	}
	return s
}

func (b *Book) log(format string, args ...any) {
	b.dst = append(b.dst, Out{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// refused counts an order that a guard did not let go.
func (b *Book) refused(f *forwarder, why tier.Why) {
	if why >= tier.Reasons {
		why = tier.NotAllowed
	}
	b.counts.ByWhy[why]++
	if !slices.Contains(b.refusal, f.name) && len(b.refusal) < 8 {
		b.refusal = append(b.refusal, f.name)
	}
}

// summary is a line on what went wrong, once in a while.
func (b *Book) summary() {
	if b.now < b.saidAt {
		return
	}
	c, was := &b.counts.Counts, &b.said
	parts := []string{}
	add := func(what string, now, before int) {
		if now > before {
			parts = append(parts, fmt.Sprintf("%s %d", what, now-before))
		}
	}
	for why := range tier.Reasons {
		add("refused as "+why.String(), c.ByWhy[why], was.ByWhy[why])
	}
	add("turned away", c.TurnedAway, was.TurnedAway)
	add("lapsed", c.Lapsed, was.Lapsed)
	add("moved", c.Moved, was.Moved)
	add("crowded out", c.Crowded, was.Crowded)
	add("without sense", c.Bad, was.Bad)
	if len(parts) == 0 {
		return
	}
	who := ""
	if len(b.refusal) > 0 {
		who = "; refused by " + strings.Join(b.refusal, " ")
	}
	b.log("since the last such line: %s%s", strings.Join(parts, ", "), who)
	b.saidAt, b.said, b.refusal = b.now+sayEvery, *c, b.refusal[:0]
}
