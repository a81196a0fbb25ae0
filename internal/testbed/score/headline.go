package score

import "math"

// Headline is a metric of a whole run by which runs are compared. A metric that expectations have too has the same name
// there.
type Headline struct {
	Name        string
	Description string
	Better      Sense
	ValueOf     func(result *Result) float64 // NaN: not available
}

// Headlines has all headlines, the most important first.
var Headlines = []Headline{
	{
		"mix", "40% the whole run, 15% its worst 10 s, 20% the worst class, 25% the worst tenant within its share", Higher,
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
	{"refused", "jobs whose last answer was a rejection, over jobs", Lower, metricOf("refused")},
	{"failed", "jobs whose last answer was a failure, over jobs", Lower, metricOf("failed")},
	{"unanswered", "jobs whose clients gave up without an answer, over jobs", Lower, metricOf("unanswered")},
	{"lost", "jobs whose last request ended with its connection, over jobs", Lower, metricOf("lost")},
	{"p50_ms", "median time from when a job fell due to its served answer, in ms", Lower, metricOf("p50_ms")},
	{"p99_ms", "its 99th percentile, in ms", Lower, metricOf("p99_ms")},
	{"p99_9_ms", "its 99.9th percentile, in ms", Lower, func(r *Result) float64 {
		if r.Whole.Latency.Count == 0 {
			return math.NaN()
		}
		return r.Whole.Latency.P999
	}},
	{"attempts", "attempts that reached workers, over jobs", Lower, metricOf("attempts")},
	{"waste", "work done that no client got an answer from, over work asked for", Lower, metricOf("waste")},
	{
		"recovered_within", "seconds from the end of a disturbance until goodput was back, the worst of them", Lower,
		metricOf("recovered_within"),
	},
	{
		"busiest_over_mean", "occupancy of the busiest worker over the mean", Lower,
		func(r *Result) float64 { return r.Fleet.OverMean },
	},
}

// metricOf returns a function that computes, for all jobs, a metric that expectations have.
func metricOf(metric string) func(*Result) float64 {
	return func(result *Result) float64 {
		value, _ := result.MetricValue(metric, "", 0)
		return value
	}
}

// HeadlineOf returns the headline of a name, and false if there is none.
func HeadlineOf(name string) (Headline, bool) {
	for _, headline := range Headlines {
		if headline.Name == name {
			return headline, true
		}
	}
	return Headline{}, false
}

// Values returns the headline's value of each run.
func (h Headline) Values(runs []*Result) []float64 {
	values := make([]float64, len(runs))
	for i, result := range runs {
		values[i] = h.ValueOf(result)
	}
	return values
}

// CompareAll compares two sides by every headline. The runs a[i] and b[i] are of the same seed.
func CompareAll(nameA, nameB string, a, b []*Result) []Paired {
	comparisons := make([]Paired, len(Headlines))
	for i, headline := range Headlines {
		comparisons[i] = Compare(headline.Name, nameA, nameB, headline.Values(a), headline.Values(b), headline.Better)
	}
	return comparisons
}
