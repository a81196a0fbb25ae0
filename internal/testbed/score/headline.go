package score

import "math"

// Headline is a figure of a whole play by which plays are compared. Those that expectations know bear the same names.
type Headline struct {
	Name        string
	Description string
	Better      Sense
	ValueOf     func(r *Result) float64 // NaN: there is none
}

// Headlines are all of them, the most telling first.
var Headlines = []Headline{
	{
		"mix", "40% the whole play, 15% its worst 10 s, 20% the worst class, 25% the worst tenant within its share", Higher,
		func(r *Result) float64 { return r.Value.Mix },
	},
	{"in_time", "worth answered in time over worth asked for", Higher, func(r *Result) float64 { return r.Value.Whole }},
	{"worst_10s", "the same in its worst 10 s", Higher, func(r *Result) float64 { return r.Value.Worst10 }},
	{"worst_class", "the same of the worst class", Higher, func(r *Result) float64 { return r.Value.WorstClass.Value }},
	{
		"worst_tenant", "the same of the worst tenant, within its share", Higher,
		func(r *Result) float64 { return r.Value.WorstTenant.Value },
	},
	{"served", "jobs served, late ones included, over jobs", Higher, metricOf("served")},
	{"refused", "jobs whose last answer was a refusal, over jobs", Lower, metricOf("refused")},
	{"failed", "jobs whose last answer was a failure, over jobs", Lower, metricOf("failed")},
	{"unanswered", "jobs whose clients gave up without an answer, over jobs", Lower, metricOf("unanswered")},
	{"lost", "jobs whose last try ended with its connection, over jobs", Lower, metricOf("lost")},
	{"p50_ms", "median time from when a job fell due to its served answer, in ms", Lower, metricOf("p50_ms")},
	{"p99_ms", "its 99th percentile, in ms", Lower, metricOf("p99_ms")},
	{"p99_9_ms", "its 99.9th percentile, in ms", Lower, func(r *Result) float64 {
		if r.Whole.Latency.Count == 0 {
			return math.NaN()
		}
		return r.Whole.Latency.P999
	}},
	{"attempts", "attempts that reached worker nodes, over jobs", Lower, metricOf("attempts")},
	{"waste", "work done that no client got an answer from, over work asked for", Lower, metricOf("waste")},
	{
		"recovered_within", "seconds from the end of a disturbance until goodput was back, the worst of them", Lower,
		metricOf("recovered_within"),
	},
	{
		"busiest_over_mean", "occupancy of the busiest worker node over the mean", Lower,
		func(r *Result) float64 { return r.Fleet.OverMean },
	},
}

func metricOf(name string) func(*Result) float64 {
	return func(r *Result) float64 {
		x, _ := r.MetricValue(name, "", 0)
		return x
	}
}

// HeadlineOf finds one by its name.
func HeadlineOf(name string) (Headline, bool) {
	for _, h := range Headlines {
		if h.Name == name {
			return h, true
		}
	}
	return Headline{}, false
}

// Values is a headline's figure of each play.
func (h Headline) Values(plays []*Result) []float64 {
	out := make([]float64, len(plays))
	for i, r := range plays {
		out[i] = h.ValueOf(r)
	}
	return out
}

// CompareAll compares two sides by every headline. a[i] and b[i] are plays of the same seed.
func CompareAll(nameA, nameB string, a, b []*Result) []Paired {
	out := make([]Paired, len(Headlines))
	for i, h := range Headlines {
		out[i] = Compare(h.Name, nameA, nameB, h.Values(a), h.Values(b), h.Better)
	}
	return out
}
