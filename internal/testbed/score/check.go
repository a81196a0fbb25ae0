package score

import (
	"encoding/json"
	"math"

	"valvecove/internal/testbed/scenario"
)

// Evaluation is an expectation with the value of its metric in a run.
type Evaluation struct {
	Expectation scenario.Expectation
	Value       float64 // NaN: not available; +Inf: no recovery was observed
	OK          bool
	Reason      string // why the value is not available
}

// MarshalJSON writes the expectation as in a scenario file, and null for a value that is NaN or infinite.
func (e Evaluation) MarshalJSON() ([]byte, error) {
	form := struct {
		Expectation string   `json:"expectation"`
		Value       *float64 `json:"got"`
		OK          bool     `json:"ok"`
		Reason      string   `json:"note,omitempty"`
	}{Expectation: e.Expectation.String(), OK: e.OK, Reason: e.Reason}
	if !math.IsNaN(e.Value) && !math.IsInf(e.Value, 0) {
		form.Value = &e.Value
	}
	return json.Marshal(form)
}

// Check evaluates expectations. violations is how many violations of invariants the checker found. An expectation about a
// group without jobs is not met, nor is one about the latency of a group without served jobs.
func Check(expectations []scenario.Expectation, result *Result, violations int) []Evaluation {
	evaluations := make([]Evaluation, len(expectations))
	for i, expectation := range expectations {
		value, reason := result.MetricValue(expectation.Metric, expectation.Group, violations)
		evaluations[i] = Evaluation{
			Expectation: expectation,
			Value:       value,
			OK:          expectation.IsMet(value),
			Reason:      reason,
		}
	}
	return evaluations
}

// MetricValue returns the value of a metric, by its name in expectations, for a class or a tenant or, if group is empty, for
// all jobs. For a tenant, in_time counts only jobs within its quota. A value that is not available is NaN, and
// recovered_within is +Inf if no recovery was observed; reason then says why.
func (r *Result) MetricValue(metric, group string, violations int) (value float64, reason string) {
	switch metric {
	case "rules_broken":
		return float64(violations), ""
	case "waste":
		return r.Waste.Share, ""
	case "attempts":
		return r.Effort.PerJob, ""
	case "recovered_within":
		if !r.Recovery.All {
			return math.Inf(1), "goodput had not recovered when the last job became due"
		}
		return r.Recovery.Seconds, ""
	}
	members, isTenant := r.group(group)
	switch {
	case members == nil:
		return math.NaN(), "no class or tenant " + group
	case members.JobsDue == 0:
		return math.NaN(), "no job was due"
	case metric == "in_time" && isTenant:
		return members.earnedWithinQuota()
	}
	return members.metricValue(metric)
}

// metricValue returns the value of a metric that groups have.
func (g *Group) metricValue(metric string) (value float64, reason string) {
	switch metric {
	case "in_time":
		return g.EarnedShare, ""
	case "served":
		return g.Shares.Served, ""
	case "refused":
		return g.Shares.Rejected, ""
	case "failed":
		return g.Shares.Failed, ""
	case "lost":
		return g.Shares.Lost, ""
	case "unanswered":
		return g.Shares.Unanswered, ""
	case "p50_ms":
		return g.latencyValue(g.Latency.P50)
	case "p99_ms":
		return g.latencyValue(g.Latency.P99)
	}
	return math.NaN(), "unknown metric " + metric
}

// latencyValue returns a latency in milliseconds, or NaN if no job was served.
func (g *Group) latencyValue(latency float64) (value float64, reason string) {
	if g.Latency.Count == 0 {
		return math.NaN(), "no job was served"
	}
	return latency, ""
}

// earnedWithinQuota returns the share of the value requested within a tenant's quota that was earned.
func (g *Group) earnedWithinQuota() (value float64, reason string) {
	if g.RequestedWithinQuota <= 0 {
		return math.NaN(), "no job within its share was due"
	}
	return g.EarnedShareWithinQuota, ""
}

// group returns the class or tenant of a name, or all jobs for an empty name; nil if there is none.
func (r *Result) group(name string) (members *Group, isTenant bool) {
	if name == "" {
		return &r.Whole, false
	}
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i], false
		}
	}
	for i := range r.Tenants {
		if r.Tenants[i].Name == name {
			return &r.Tenants[i], true
		}
	}
	return nil, false
}
