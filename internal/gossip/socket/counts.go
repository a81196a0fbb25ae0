package socket

import (
	"math"

	"valvecove/internal/metrics"
)

// percent converts a fraction to percent.
const percent = 100

// maxBudgetPercent bounds metrics.PeerCounts.BudgetPercent.
const maxBudgetPercent = math.MaxInt32

// Counts returns the counters of the messages between schedulers since the start of the process. attemptsWritten is the number of
// attempts that this scheduler has written to workers in that time.
func (s *Socket) Counts(attemptsWritten uint64) metrics.PeerCounts {
	counted := s.node.Counters()
	counts := metrics.PeerCounts{
		Enabled:       true,
		Sent:          counted.Sent,
		SentBytes:     counted.SentBytes,
		Received:      counted.Received,
		ReceivedBytes: counted.ReceivedBytes,
		Leases:        s.config.LeaseCounts(),
	}
	counts.Dropped[metrics.DropMalformed] = counted.Malformed
	counts.Dropped[metrics.DropTooLong] = counted.TooLong
	counts.Dropped[metrics.DropUnsent] = counted.Unsent
	counts.Dropped[metrics.DropUnknownSender] = counted.UnknownSenders
	counts.Dropped[metrics.DropDuplicate] = counted.Duplicates
	counts.Dropped[metrics.DropOutdated] = counted.Outdated
	counts.Dropped[metrics.DropOverflow] = counted.Overflowed
	if attemptsWritten > 0 {
		spent := s.config.BudgetSpent(float64(counted.SentBytes) / float64(attemptsWritten))
		counts.BudgetPercent = int(math.Round(min(spent, maxBudgetPercent/percent) * percent))
	}
	return counts
}
