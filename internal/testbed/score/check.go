package score

import (
	"encoding/json"
	"math"

	"valvecove/internal/testbed/scenario"
)

// Evaluation is an expectation and what became of it.
type Evaluation struct {
	Expectation scenario.Expectation
	Value       float64 // NaN: there is no such figure; +Inf: not seen to end
	OK          bool
	Reason      string // why there is none
}

// MarshalJSON writes the expectation as a scenario does, and null for a figure that is none.
func (m Evaluation) MarshalJSON() ([]byte, error) {
	out := struct {
		Expectation string   `json:"expectation"`
		Got         *float64 `json:"got"`
		OK          bool     `json:"ok"`
		Note        string   `json:"note,omitempty"`
	}{Expectation: m.Expectation.String(), OK: m.OK, Note: m.Reason}
	if !math.IsNaN(m.Value) && !math.IsInf(m.Value, 0) {
		out.Got = &m.Value
	}
	return json.Marshal(out)
}

// Check holds a result to expectations. broken is how often the judge found a rule broken. Shares and latencies of
// jobs of which none was due or served, as the case may be, meet nothing.
func Check(expect []scenario.Expectation, r *Result, broken int) []Evaluation {
	out := make([]Evaluation, len(expect))
	for i, e := range expect {
		m := Evaluation{Expectation: e}
		m.Value, m.Reason = r.MetricValue(e.Metric, e.Group, broken)
		m.OK = e.IsMet(m.Value)
		out[i] = m
	}
	return out
}

// MetricValue is a figure by the name that expectations know it by, of a class, a tenant (whose worth in time is that
// within its share) or all. Where it can't be had it is NaN, or +Inf for a disturbance that was not seen to end, and
// note says why.
func (r *Result) MetricValue(figure, of string, broken int) (x float64, note string) {
	switch figure {
	case "rules_broken":
		return float64(broken), ""
	case "waste":
		return r.Waste.Share, ""
	case "attempts":
		return r.Effort.PerJob, ""
	case "recovered_within":
		if !r.Recovery.All {
			return math.Inf(1), "not back when no more jobs fell due"
		}
		return r.Recovery.Seconds, ""
	}
	group, tenant := r.group(of)
	switch {
	case group == nil:
		return math.NaN(), "no class or tenant " + of
	case group.JobsDue == 0:
		return math.NaN(), "no job was due"
	}
	switch figure {
	case "in_time":
		if tenant {
			if group.RequestedWithinQuota <= 0 {
				return math.NaN(), "no job within its share was due"
			}
			return group.EarnedShareWithinQuota, ""
		}
		return group.EarnedShare, ""
	case "served":
		return group.Shares.Served, ""
	case "refused":
		return group.Shares.Rejected, ""
	case "failed":
		return group.Shares.Failed, ""
	case "lost":
		return group.Shares.Lost, ""
	case "unanswered":
		return group.Shares.Unanswered, ""
	case "p50_ms", "p99_ms":
		if group.Latency.Count == 0 {
			return math.NaN(), "no job was served"
		}
		if figure == "p50_ms" {
			return group.Latency.P50, ""
		}
		return group.Latency.P99, ""
	}
	return math.NaN(), "no figure " + figure
}

func (r *Result) group(of string) (g *Group, tenant bool) {
	if of == "" {
		return &r.Whole, false
	}
	for i := range r.Classes {
		if r.Classes[i].Name == of {
			return &r.Classes[i], false
		}
	}
	for i := range r.Tenants {
		if r.Tenants[i].Name == of {
			return &r.Tenants[i], true
		}
	}
	return nil, false
}
