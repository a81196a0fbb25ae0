package score

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

const ms = time.Millisecond

// Sets the seed of rapid, so that random steps are the same in every run unless the command line has another seed.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// spec returns a small scenario: two classes, two tenants, three workers of two slots.
func spec(seconds int) *scenario.Scenario {
	s := scenario.Default()
	s.Name, s.Length, s.Settle = "test", scenario.Duration(seconds)*scenario.Duration(time.Second), scenario.Duration(5*time.Second)
	s.Classes, s.Tenants = s.Classes[:2], s.Tenants[:2]
	s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight = 2, 1
	s.Fleet.Workers = 3
	s.Fleet.Kinds = s.Fleet.Kinds[:1]
	s.Fleet.Kinds[0].Slots = 2
	return s
}

// timedScore is a score that observes events at times in milliseconds.
type timedScore struct{ *Score }

func (t timedScore) at(at int, event trace.Event) {
	event.At = time.Duration(at) * ms
	t.Observe(&event)
}

// valueRun returns the score of a run of ten jobs per second for 30 s. Jobs due from 10 to 14 s are served late, no job of
// the second class is served in the last 5 s, and some jobs of the second tenant are over quota and rejected.
func valueRun() timedScore {
	timed := timedScore{New(spec(30), Options{})}
	for i := range 300 {
		at, status, latency := i*100, 200, 100
		if at >= 10_000 && at < 14_000 {
			latency = 600
		}
		event := trace.Event{
			Kind: trace.JobDue, JobID: uint64(i + 1), Class: i % 2, Tenant: i / 2 % 2, Work: 1, Slots: 2, LatencyObjective: 500 * ms,
		}
		event.OverQuota = event.Tenant == 1 && i%5 == 0
		if event.OverQuota || event.Class == 1 && at >= 25_000 {
			status = 503
		}
		id := fmt.Sprint(event.JobID)
		timed.at(at, event)
		timed.at(at, trace.Event{Kind: trace.RequestSent, RequestID: id, JobID: event.JobID})
		timed.at(at+min(latency, 99), trace.Event{Kind: trace.CallbackAnswered})
		timed.at(at+latency, trace.Event{Kind: trace.ResponseReceived, RequestID: id, Status: status})
		timed.at(at+latency, trace.Event{Kind: trace.JobSettled, JobID: event.JobID, Status: status})
	}
	return timed
}

// Checks the mix, its parts, and the reduced value of jobs over quota.
func TestScoreValue(t *testing.T) {
	result := valueRun().Result()
	value := result.Value
	if value.Worst10At < 4 || value.Worst10At > 10 || value.WorstClass.Name != result.Classes[1].Name || value.Worst10 >= value.Whole {
		t.Errorf("wrong worst 10 s or worst class: %+v", value)
	}
	want := 0.4*value.Whole + 0.15*value.Worst10 + 0.2*value.WorstClass.Value + 0.25*value.WorstTenant.Value
	if value.Mix != want {
		t.Errorf("mix %v, want %v", value.Mix, want)
	}
	tenant := result.Tenants[1]
	if tenant.EarnedShareWithinQuota <= tenant.EarnedShare || tenant.Shares.Rejected <= result.Tenants[0].Shares.Rejected {
		t.Errorf("jobs over quota count as much as the others: %+v", tenant)
	}
}

func TestScoreLatency(t *testing.T) {
	result := valueRun().Result()
	latency := result.Whole.Latency
	if latency.P50 < 99 || latency.P50 > 101 || latency.Max < 599 || result.Seconds.P99[12] < 590 {
		t.Errorf("latency %+v, p99 of second 12 %v", latency, result.Seconds.P99[12])
	}
}

// evaluations evaluates expectations for a result of valueRun and one violation of an invariant.
func evaluations(result *Result) []Evaluation {
	tenant := &result.Tenants[1]
	return Check([]scenario.Expectation{
		{Metric: "in_time", Operator: ">=", Bound: 0.5},
		{Metric: "rules_broken", Operator: "=", Bound: 0},
		{Metric: "in_time", Group: tenant.Name, Operator: ">", Bound: tenant.EarnedShare},
		{Metric: "p99_ms", Operator: "<=", Bound: 10},
		{Metric: "refused", Group: "nobody", Operator: "<=", Bound: 1},
	}, result, 1)
}

func TestCheck(t *testing.T) {
	list := evaluations(valueRun().Result())
	for i, want := range []bool{true, false, true, false, false} {
		if list[i].OK != want {
			t.Errorf("%v: want OK %v with value %v %s", list[i].Expectation, want, list[i].Value, list[i].Reason)
		}
	}
}

// Each metric that expectations may name has a value.
func TestResultMetricValue(t *testing.T) {
	result := valueRun().Result()
	for _, metric := range scenario.Metrics {
		if value, reason := result.MetricValue(metric.Name, "", 0); math.IsNaN(value) {
			t.Errorf("%s has no value: %s", metric.Name, reason)
		}
	}
}

// A result with its evaluations is written as valid JSON, from which the result is read back.
func TestResultJSON(t *testing.T) {
	result := valueRun().Result()
	text, err := json.Marshal(struct {
		*Result
		Evaluations []Evaluation
	}{result, evaluations(result)})
	if err != nil || !json.Valid(text) {
		t.Fatal(err)
	}
	var again Result
	if err := json.Unmarshal(text, &again); err != nil || again.Value != result.Value || len(again.Classes) != 2 {
		t.Error(err, again.Value)
	}
}
