package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

// Stats are what a planner has counted since its start.
type Stats struct {
	Offers              int // that were offered
	Commands            int // to send
	Served              int // queries that a worker node's result has answered
	Rejected            int // queries that were refused by order
	Failed              int // and failed
	Transferred         int // handed on to another planner
	Poison              int // as the module panics at them
	OffersRejected      int // beyond a credit, or of a class not known here
	Expired             int // attempts of which nothing was heard any more, and that were taken to be over
	StatusUpdates       int // on worker nodes, that were told on
	Panics              int // of the module
	ConnectionsRejected int // connections for which there was no room
	StaleSessions       int // sessions that were not a forwarder's newest
	StrayMessages       int // messages of what is over
	InvalidMessages     int // that make no sense
	ByReason            [message.ReasonCount]int
}

// Status is how a planner stands now.
type Status struct {
	Forwarders int
	Sessions   int
	Open       int // open
	Queued     int // of them without an attempt out
	Closing    int // that are closed with attempts out
	Credit     int // told in all
	Slots      float64
	Workers    int // known
	Owned      int // in this planner's part
	TimerLag   time.Duration
}

type statistics struct {
	Stats
	nextLogAt           time.Duration
	logged              Stats
	rejectingForwarders []string
}

// Stats gives them.
func (b *Planner) Stats() Stats { return b.statistics.Stats }

// Status tells it.
func (b *Planner) Status() Status {
	s := Status{Forwarders: len(b.connected), Sessions: len(b.sessions), Open: b.openCount, Closing: len(b.requests) - b.openCount,
		Slots: b.slotsInUse, Workers: len(b.workers), TimerLag: b.timerLag}
	for h := b.queued.first; h != nil; h = h.links[queuedList].next {
		s.Queued++
	}
	for _, f := range b.connected {
		s.Credit += f.credit
	}
	for _, h := range b.workerList {
		if h.listed && h.owned {
			s.Owned++
		}
	}
	return s
}

func (b *Planner) log(format string, args ...any) {
	b.output = append(b.output, Action{Kind: LogLine, Text: fmt.Sprintf(format, args...)})
}

// recordRejection counts an order that a guard did not let go.
func (b *Planner) recordRejection(f *forwarder, why message.RejectReason) {
	if why >= message.ReasonCount {
		why = message.ReasonNotPermitted
	}
	b.statistics.ByReason[why]++
	if !slices.Contains(b.rejectingForwarders, f.name) && len(b.rejectingForwarders) < 8 {
		b.rejectingForwarders = append(b.rejectingForwarders, f.name)
	}
}

// logSummary is a line on what went wrong, once in a while.
func (b *Planner) logSummary() {
	if b.now < b.nextLogAt {
		return
	}
	c, was := &b.statistics.Stats, &b.logged
	parts := []string{}
	add := func(what string, now, before int) {
		if now > before {
			parts = append(parts, fmt.Sprintf("%s %d", what, now-before))
		}
	}
	for why := range message.ReasonCount {
		add("refused as "+why.String(), c.ByReason[why], was.ByReason[why])
	}
	add("turned away", c.OffersRejected, was.OffersRejected)
	add("lapsed", c.Expired, was.Expired)
	add("moved", c.Transferred, was.Transferred)
	add("crowded out", c.ConnectionsRejected, was.ConnectionsRejected)
	add("without sense", c.InvalidMessages, was.InvalidMessages)
	if len(parts) == 0 {
		return
	}
	who := ""
	if len(b.rejectingForwarders) > 0 {
		who = "; refused by " + strings.Join(b.rejectingForwarders, " ")
	}
	b.log("since the last such line: %s%s", strings.Join(parts, ", "), who)
	b.nextLogAt, b.logged, b.rejectingForwarders = b.now+logInterval, *c, b.rejectingForwarders[:0]
}
