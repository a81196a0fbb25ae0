package planner

import (
	"slices"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

const (
	summaryInterval        = time.Second
	maxRejectingForwarders = 8 // names per log line
)

// lineLogger writes log lines and returns the time of the current step.
type lineLogger interface {
	now() time.Duration
	log(text string, attributes ...any)
}

// summaryLog periodically logs the faults counted since its last log line.
type summaryLog struct {
	step  lineLogger
	stats *Stats

	nextAt              time.Duration
	logged              Stats // as of the last log line
	rejectingForwarders []string
}

// recordRejection counts a send command that a forwarder's validator has rejected.
func (s *summaryLog) recordRejection(f *forwarder, reason message.RejectReason) {
	if reason >= message.ReasonCount {
		reason = message.ReasonNotPermitted
	}
	s.stats.ByReason[reason]++
	names := &s.rejectingForwarders
	if !slices.Contains(*names, f.name) && len(*names) < maxRejectingForwarders {
		*names = append(*names, f.name)
	}
}

// write logs the fault counts that have increased since the last line, if any, at most once per summaryInterval.
func (s *summaryLog) write() {
	if s.step.now() < s.nextAt {
		return
	}
	attributes := increases(s.stats, &s.logged)
	if len(attributes) == 0 {
		return
	}
	if len(s.rejectingForwarders) > 0 {
		attributes = append(attributes, "rejecting_forwarders", strings.Join(s.rejectingForwarders, " "))
	}
	s.step.log("faults since the last summary", attributes...)
	s.nextAt = s.step.now() + summaryInterval
	s.logged = *s.stats
	s.rejectingForwarders = s.rejectingForwarders[:0]
}

// increases returns the increases of fault counts as attributes of a log line.
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
