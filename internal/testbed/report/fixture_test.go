package report

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/trace"
)

var update = flag.Bool("update", false, "rewrite the golden files of pages and outlines")

// checkGoldenText compares a text with a file of testdata.
func checkGoldenText(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the text differs from testdata/%s; got\n%s", name, got)
	}
}

// checkJSONKeys checks that the JSON of a value has keys whose values are not null.
func checkJSONKeys(t *testing.T, value any, keys ...string) {
	t.Helper()
	var written bytes.Buffer
	if err := WriteJSON(&written, value); err != nil {
		t.Fatal(err)
	}
	var read map[string]any
	if err := json.Unmarshal(written.Bytes(), &read); err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		if read[key] == nil {
			t.Errorf("the JSON has no value for the key %s", key)
		}
	}
}

// hostileText would inject markup into a page that does not escape it, and an escape sequence into a terminal.
const hostileText = `</title><script>alert("1")</script>&'` + "\x1b[31m\n"

// sampleResult returns the result of a run of made-up events, in which the events of a job depend on its number. All
// responses are delayed by slowdown milliseconds.
func sampleResult(seed uint64, slowdown int) *score.Result {
	return newSampleEvents(slowdown, "crash: w-3, for 5s").score(sampleSpec(), seed)
}

// hostileResult is sampleResult with hostileText in all names.
func hostileResult(seed uint64) *score.Result {
	spec := sampleSpec()
	spec.Name, spec.Description = hostileText, hostileText
	for i := range spec.Classes {
		spec.Classes[i].Name += hostileText
	}
	spec.Tenants[0].Name = hostileText
	return newSampleEvents(0, hostileText).score(spec, seed)
}

func sampleSpec() *scenario.Scenario {
	spec := scenario.Default()
	spec.Name, spec.Description = "written", "Jobs take a course by their number."
	spec.Length = scenario.Duration(40 * time.Second)
	return spec
}

// timedEvent is a trace event with its time in milliseconds.
type timedEvent struct {
	at int
	trace.Event
}

// sampleEvents is a list of the events of a run, in any order.
type sampleEvents []timedEvent

func (w *sampleEvents) add(at int, event trace.Event) { *w = append(*w, timedEvent{at, event}) }

// score returns the result of the run.
func (w sampleEvents) score(spec *scenario.Scenario, seed uint64) *score.Result {
	scorer := score.New(spec, score.Options{Seed: seed, Driver: scenario.DriverSimulation})
	slices.SortStableFunc(w, func(a, b timedEvent) int { return a.at - b.at })
	for i := range w {
		w[i].At = time.Duration(w[i].at) * time.Millisecond
		scorer.Observe(&w[i].Event)
	}
	return scorer.Result()
}

func newSampleEvents(slowdown int, fault string) sampleEvents {
	var events sampleEvents
	for i := range 10 {
		events.add(0, trace.Event{Kind: trace.WorkerStarted, Worker: i, Slots: 4})
	}
	for _, at := range []int{12_000, 25_000} {
		events.add(at, trace.Event{Kind: trace.FaultStarted, Text: fault})
		events.add(at, trace.Event{Kind: trace.WorkerStopped, Worker: 3})
		events.add(at+5000, trace.Event{Kind: trace.WorkerStarted, Worker: 3, Slots: 4})
		events.add(at+5000, trace.Event{Kind: trace.FaultEnded, Text: fault})
	}
	events.add(20_000, trace.Event{Kind: trace.SchedulerKilled})
	events.add(20_500, trace.Event{Kind: trace.SchedulerStarted})
	for i := range 40 {
		events.add(i*1000, trace.Event{
			Kind: trace.ResourceUsage, CPU: time.Duration(i) * 100 * time.Millisecond, Memory: 10 << 20,
			OpenFiles: 50 + i,
		})
	}
	events.add(30_000, trace.Event{Kind: trace.MisbehavingClientConnected, Conn: 1, Text: "garbage"})
	events.add(30_100, trace.Event{Kind: trace.MisbehavingClientAnswered, Conn: 1, Status: 400})
	events.add(30_100, trace.Event{Kind: trace.TestbedLate, Lateness: 2 * time.Millisecond})
	for i := range 1200 {
		events.addJob(i, slowdown)
	}
	return events
}

// addJob adds the events of a job. Every third job that is due from second 12 to 17, around the first fault, is rejected.
func (w *sampleEvents) addJob(number, slowdown int) {
	dueAt, request, job, worker := number*33, fmt.Sprint("c", number), uint64(number+1), number*7%10
	took, status := 120+number*37%400+slowdown, 200
	if at := dueAt / 1000; at >= 12 && at < 18 && number%3 == 0 {
		took, status = 60, 503
	}
	w.add(dueAt, trace.Event{
		Kind: trace.JobDue, JobID: job, Class: number % 4, Tenant: number % 3, Work: 0.25,
		Slots: float64(1 + number%2), LatencyObjective: 500 * time.Millisecond,
	})
	w.add(dueAt, trace.Event{Kind: trace.RequestSent, JobID: job, RequestID: request})
	if status == 200 {
		w.add(dueAt+2, trace.Event{Kind: trace.AttemptReceived, RequestID: request, Worker: worker})
		w.add(dueAt+4, trace.Event{Kind: trace.AttemptStarted, RequestID: request, Worker: worker})
		w.add(dueAt+took-2, trace.Event{Kind: trace.AttemptFinished, RequestID: request, Worker: worker, Status: 200})
	}
	w.add(dueAt+took, trace.Event{Kind: trace.ResponseReceived, RequestID: request, Status: status})
	w.add(dueAt+took, trace.Event{Kind: trace.JobSettled, JobID: job, Status: status})
}

// sampleEvaluations evaluates some expectations for a result.
func sampleEvaluations(result *score.Result, violations int) []score.Evaluation {
	return score.Check([]scenario.Expectation{
		{Metric: "in_time", Operator: ">=", Bound: 0.5},
		{Metric: "p99_ms", Operator: "<=", Bound: 100},
		{Metric: "recovered_within", Operator: "<=", Bound: 5},
		{Metric: "rules_broken", Operator: "=", Bound: 0},
	}, result, violations)
}

// sampleVerdict returns a verdict with one violation.
func sampleVerdict() *Verdict {
	return &Verdict{
		Violations: []Violation{{
			Rule: "answered twice", At: 12_345 * time.Millisecond, Text: "two answers to c7",
			Explanation: []string{"12.000 s  due", "12.345 s  answered <again>"},
		}},
		NotChecked: []string{"Bytes on sockets are not seen."},
	}
}
