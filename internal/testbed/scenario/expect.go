package scenario

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// metricRecovery is in seconds; the other metrics of time are in milliseconds.
const metricRecovery = "recovered_within"

// Metric is a measure of a run that expectations may name.
type Metric struct {
	Name        string
	Description string
	IsShare     bool          // from 0 to 1
	PerGroup    bool          // each class and each tenant has a value, too
	IsTime      bool          // the bound may be written as a duration
	Unit        time.Duration // of metrics of time
}

// Metrics has all metrics that expectations may name.
var Metrics = []Metric{
	{Name: "in_time", Description: "worth answered in time over worth asked for", IsShare: true, PerGroup: true},
	{Name: "served", Description: "jobs served, late ones included, over jobs", IsShare: true, PerGroup: true},
	{Name: "refused", Description: "jobs whose last answer was a rejection, over jobs", IsShare: true, PerGroup: true},
	{Name: "failed", Description: "jobs whose last answer was a failure, over jobs", IsShare: true, PerGroup: true},
	{Name: "lost", Description: "jobs whose last request ended with its connection, over jobs", IsShare: true, PerGroup: true},
	{Name: "unanswered", Description: "jobs whose clients gave up without an answer, over jobs", IsShare: true, PerGroup: true},
	{
		Name: "p50_ms", Description: "median time from when a job fell due to its served answer, in ms", PerGroup: true, IsTime: true,
		Unit: time.Millisecond,
	},
	{Name: "p99_ms", Description: "its 99th percentile, in ms", PerGroup: true, IsTime: true, Unit: time.Millisecond},
	{Name: "waste", Description: "work done that no client got an answer from, over work asked for"},
	{Name: "attempts", Description: "attempts that reached workers, over jobs"},
	{
		Name: metricRecovery, Description: "seconds from the end of the last fault until goodput is back where it was",
		IsTime: true, Unit: time.Second,
	},
	{Name: "rules_broken", Description: "how often a rule was broken"},
}

// Expectation is a bound for a metric of a run.
type Expectation struct {
	Metric   string  // the name of one of Metrics
	Group    string  // a class or tenant; empty: the whole run
	Operator string  // >=, <=, >, <, =
	Bound    float64 // of metrics of time in the metric's unit
}

// IsMet reports whether a value is as expected. It is false for NaN, which stands for a value that is not available.
func (e Expectation) IsMet(value float64) bool {
	switch e.Operator {
	case ">=":
		return value >= e.Bound
	case "<=":
		return value <= e.Bound
	case ">":
		return value > e.Bound
	case "<":
		return value < e.Bound
	}
	return value == e.Bound
}

// String writes the expectation as ParseExpectation reads it.
func (e Expectation) String() string {
	group, unit := "", ""
	if e.Group != "" {
		group = "[" + e.Group + "]"
	}
	if e.Metric == metricRecovery {
		unit = "s"
	}
	return e.Metric + group + " " + e.Operator + " " + strconv.FormatFloat(e.Bound, 'g', -1, 64) + unit
}

// Expectations returns the expectations of a checked scenario.
func (s *Scenario) Expectations() []Expectation {
	list := make([]Expectation, 0, len(s.Expect))
	for _, text := range s.Expect {
		if parsed, err := s.expectation(text); err == nil {
			list = append(list, parsed)
		}
	}
	return list
}

// expectation parses an expectation and checks that the scenario has the class or tenant that it names.
func (s *Scenario) expectation(text string) (Expectation, error) {
	parsed, err := ParseExpectation(text)
	if err != nil || parsed.Group == "" {
		return parsed, err
	}
	if !s.hasClass(parsed.Group) && !s.hasTenant(parsed.Group) {
		return parsed, fmt.Errorf("%q in %q is neither a class nor a tenant", parsed.Group, text)
	}
	return parsed, nil
}

// ParseExpectation reads an expectation as in "in_time[account-credit] >= 0.9" or "recovered_within <= 5s".
// "recovered_within = 5s" means the same as the latter.
func ParseExpectation(text string) (Expectation, error) {
	parsed, bound, err := splitExpectation(text)
	if err != nil {
		return parsed, err
	}
	metric, err := metricNamed(parsed.Metric)
	if err != nil {
		return parsed, err
	}
	if parsed.Group != "" && !metric.PerGroup {
		return parsed, fmt.Errorf("%s is available for the whole run only, not for %q", parsed.Metric, parsed.Group)
	}
	parsed.Bound, err = metric.parseBound(parsed.Operator, bound)
	if err != nil {
		return parsed, err
	}
	if parsed.Operator == "=" && metric.Name == metricRecovery {
		parsed.Operator = "<="
	}
	return parsed, nil
}

// splitExpectation splits a text at its operator. It returns the bound as text.
func splitExpectation(text string) (parsed Expectation, bound string, err error) {
	at := strings.IndexAny(text, "<>=")
	if at < 0 {
		return parsed, "", fmt.Errorf("expected a metric, one of >= <= > < =, and a bound, got %q", text)
	}
	parsed.Metric, parsed.Operator = strings.TrimSpace(text[:at]), text[at:at+1]
	bound, hasEqualSign := strings.CutPrefix(text[at+1:], "=")
	if hasEqualSign && parsed.Operator != "=" { // "==" is "="
		parsed.Operator += "="
	}
	name, group, hasGroup := strings.Cut(parsed.Metric, "[")
	if !hasGroup {
		return parsed, strings.TrimSpace(bound), nil
	}
	group, isClosed := strings.CutSuffix(group, "]")
	parsed.Metric, parsed.Group = strings.TrimSpace(name), strings.TrimSpace(group)
	if !isClosed || parsed.Group == "" {
		return parsed, "", fmt.Errorf("expected a class or tenant in brackets, got %q", text)
	}
	return parsed, strings.TrimSpace(bound), nil
}

func metricNamed(name string) (*Metric, error) {
	names := make([]string, len(Metrics))
	for i := range Metrics {
		if Metrics[i].Name == name {
			return &Metrics[i], nil
		}
		names[i] = Metrics[i].Name
	}
	return nil, fmt.Errorf("unknown metric %q; expected one of %s", name, strings.Join(names, ", "))
}

// parseBound reads a number, or a duration for a metric of time, and checks that the metric can have this value.
func (m *Metric) parseBound(operator, text string) (float64, error) {
	bound, err := strconv.ParseFloat(text, 64)
	if err != nil {
		duration, durationErr := time.ParseDuration(text)
		if durationErr != nil || !m.IsTime {
			return 0, fmt.Errorf("expected a number after %s, got %q", operator, text)
		}
		bound = float64(duration) / float64(m.Unit)
	}
	if math.IsNaN(bound) || math.IsInf(bound, 0) || bound < 0 || m.IsShare && bound > 1 {
		return 0, fmt.Errorf("%s can't have the value %q", m.Name, text)
	}
	return bound, nil
}
