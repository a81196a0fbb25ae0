package planner

import (
	"slices"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

const (
	summaryInterval        = time.Second
	maxRejectingForwarders = 8 // that are named in a line
)

// summaryLog is the log line that sums up what went wrong.
type summaryLog struct {
	nextAt              time.Duration
	logged              Stats // at the last line
	rejectingForwarders []string
}

// recordRejection counts a send command that a forwarder's validator has rejected.
func (p *Planner) recordRejection(f *forwarder, reason message.RejectReason) {
	if reason >= message.ReasonCount {
		reason = message.ReasonNotPermitted
	}
	p.stats.ByReason[reason]++
	names := &p.summary.rejectingForwarders
	if !slices.Contains(*names, f.name) && len(*names) < maxRejectingForwarders {
		*names = append(*names, f.name)
	}
}

// logSummary logs the counts that have increased since the last such line, if any.
func (p *Planner) logSummary() {
	if p.now < p.summary.nextAt {
		return
	}
	attributes := increases(&p.stats, &p.summary.logged)
	if len(attributes) == 0 {
		return
	}
	if names := p.summary.rejectingForwarders; len(names) > 0 {
		attributes = append(attributes, "rejecting_forwarders", strings.Join(names, " "))
	}
	p.log("faults since the last summary", attributes...)
	p.summary = summaryLog{
		nextAt: p.now + summaryInterval, logged: p.stats, rejectingForwarders: p.summary.rejectingForwarders[:0],
	}
}

// increases returns the counts of faults that have increased, as attributes of a log line.
func increases(stats, logged *Stats) (attributes []any) {
	add := func(key string, count, before int) {
		if count > before {
			attributes = append(attributes, key, count-before)
		}
	}
	for reason := range message.ReasonCount {
		add("rejected_"+strings.ReplaceAll(reason.String(), " ", "_"), stats.ByReason[reason], logged.ByReason[reason])
	}
	add("offers_rejected", stats.OffersRejected, logged.OffersRejected)
	add("expired", stats.Expired, logged.Expired)
	add("transferred", stats.Transferred, logged.Transferred)
	add("connections_rejected", stats.ConnectionsRejected, logged.ConnectionsRejected)
	add("invalid_messages", stats.InvalidMessages, logged.InvalidMessages)
	return attributes
}
