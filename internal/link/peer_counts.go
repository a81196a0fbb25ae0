package link

import (
	"math"

	"valvecove/internal/metrics"
)

// percent are the parts of a whole.
const percent = 100

// peerCounts returns the figures of messages between schedulers. attempts were written so far.
func (l *Loop) peerCounts(attempts uint64) metrics.PeerCounts {
	if l.peers == nil {
		return metrics.PeerCounts{}
	}
	counted := l.peers.node.Counters()
	counts := metrics.PeerCounts{
		Enabled:       true,
		Sent:          counted.Sent,
		SentBytes:     counted.SentBytes,
		Received:      counted.Received,
		ReceivedBytes: counted.ReceivedBytes,
	}
	counts.Dropped[metrics.DropMalformed] = counted.Malformed
	counts.Dropped[metrics.DropTooLong] = counted.TooLong
	counts.Dropped[metrics.DropUnsent] = counted.Unsent
	counts.Dropped[metrics.DropUnknownSender] = counted.UnknownSenders
	counts.Dropped[metrics.DropDuplicate] = counted.Duplicates
	counts.Dropped[metrics.DropOutdated] = counted.Outdated
	counts.Dropped[metrics.DropOverflow] = counted.Overflowed
	if l.dispatcher != nil {
		counts.Leases = l.dispatcher.LeaseCounts()
	}
	if attempts > 0 {
		spent := l.clients.settings.BudgetSpent(float64(counted.SentBytes) / float64(attempts))
		counts.BudgetPercent = int(math.Round(min(spent, math.MaxInt32/percent) * percent))
	}
	return counts
}
