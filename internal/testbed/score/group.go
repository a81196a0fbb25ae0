package score

import "github.com/HdrHistogram/hdrhistogram-go"

// Group is the result of all jobs, or of those of a class or a tenant. JobsDue is the sum of Outcomes and Open.
type Group struct {
	Name                   string            `json:"name"`
	Requested              float64           `json:"worth_asked"`
	Earned                 float64           `json:"worth_earned"`
	EarnedShare            float64           `json:"in_time"`            // Earned over Requested
	RequestedWithinQuota   float64           `json:"worth_asked_within"` // of jobs within their tenants' quotas
	EarnedWithinQuota      float64           `json:"worth_earned_within"`
	EarnedShareWithinQuota float64           `json:"in_time_within"` // EarnedWithinQuota over RequestedWithinQuota
	JobsDue                int               `json:"due"`
	Open                   int               `json:"open"` // not settled when the run ended
	Outcomes               [outcomeCount]int `json:"outcomes"`
	Shares                 OutcomeShares     `json:"shares"`
	Attempts               float64           `json:"attempts"` // mean number of attempts at workers per settled job
	Latency                Latency           `json:"latency"`  // of jobs served, from when they were due
	histogram              *hdrhistogram.Histogram
}

// OutcomeShares has the shares of the jobs due by outcome.
type OutcomeShares struct {
	Served     float64 `json:"served"` // in time or late
	InTime     float64 `json:"in_time"`
	Rejected   float64 `json:"refused"`
	Failed     float64 `json:"failed"`
	Unanswered float64 `json:"unanswered"`
	Lost       float64 `json:"lost"`
	ClientLeft float64 `json:"left"`
}

// Latency is a distribution of latencies in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// result returns the result of a class or a tenant.
func (g *group) result(name string) Group {
	result := Group{
		Name:                 name,
		Requested:            g.value.requested,
		Earned:               g.value.earned,
		RequestedWithinQuota: g.valueWithinQuota.requested,
		EarnedWithinQuota:    g.valueWithinQuota.earned,
		JobsDue:              g.jobsDue,
		Outcomes:             g.outcomes,
		Latency:              latencyOf(g.histogram),
		histogram:            g.histogram,
	}
	result.setShares(g.attempts)
	return result
}

// wholeGroup returns the result of all jobs from those of the classes.
func (s *Score) wholeGroup(classes []Group) Group {
	whole := Group{Name: "all"}
	histogram := newHistogram(latencyDigits)
	attempts := 0
	for i := range classes {
		class := &classes[i]
		whole.Requested += class.Requested
		whole.Earned += class.Earned
		whole.RequestedWithinQuota += class.RequestedWithinQuota
		whole.EarnedWithinQuota += class.EarnedWithinQuota
		whole.JobsDue += class.JobsDue
		for outcome, count := range class.Outcomes {
			whole.Outcomes[outcome] += count
		}
		histogram.Merge(class.histogram)
		attempts += s.classes[i].attempts
	}
	whole.Latency = latencyOf(histogram)
	whole.setShares(attempts)
	return whole
}

// setShares computes Open, the shares and Attempts from the sums and the number of attempts of the settled jobs.
func (g *Group) setShares(attempts int) {
	settled := 0
	for _, count := range g.Outcomes {
		settled += count
	}
	g.Open = g.JobsDue - settled
	g.EarnedShare = share(g.Earned, g.Requested)
	g.EarnedShareWithinQuota = share(g.EarnedWithinQuota, g.RequestedWithinQuota)
	g.Shares = OutcomeShares{
		Served:     g.shareOf(OutcomeInTime, OutcomeLate),
		InTime:     g.shareOf(OutcomeInTime),
		Rejected:   g.shareOf(OutcomeRejected),
		Failed:     g.shareOf(OutcomeFailed),
		Unanswered: g.shareOf(OutcomeUnanswered),
		Lost:       g.shareOf(OutcomeLost),
		ClientLeft: g.shareOf(OutcomeClientLeft),
	}
	g.Attempts = share(float64(attempts), float64(settled))
}

// shareOf returns the share of the jobs due that had one of the given outcomes.
func (g *Group) shareOf(outcomes ...JobOutcome) float64 {
	count := 0
	for _, outcome := range outcomes {
		count += g.Outcomes[outcome]
	}
	return share(float64(count), float64(g.JobsDue))
}
