package scenario

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Metric is a figure of a run that expectations may name.
type Metric struct {
	Name        string
	Description string
	Share       bool // from 0 to 1
	Parts       bool // there is one for each class and each tenant, too
	Time        bool // may be written as a span; Unit is what it is counted in then
	Unit        time.Duration
}

// Metrics are all of them.
var Metrics = []Metric{
	{Name: "in_time", Description: "worth answered in time over worth asked for", Share: true, Parts: true},
	{Name: "served", Description: "jobs served, late ones included, over jobs", Share: true, Parts: true},
	{Name: "refused", Description: "jobs whose last answer was a refusal, over jobs", Share: true, Parts: true},
	{Name: "failed", Description: "jobs whose last answer was a failure, over jobs", Share: true, Parts: true},
	{Name: "lost", Description: "jobs whose last try ended with its connection, over jobs", Share: true, Parts: true},
	{Name: "unanswered", Description: "jobs whose clients gave up without an answer, over jobs", Share: true, Parts: true},
	{
		Name: "p50_ms", Description: "median time from when a job fell due to its served answer, in ms", Parts: true, Time: true,
		Unit: time.Millisecond,
	},
	{Name: "p99_ms", Description: "its 99th percentile, in ms", Parts: true, Time: true, Unit: time.Millisecond},
	{Name: "waste", Description: "work done that no client got an answer from, over work asked for"},
	{Name: "attempts", Description: "attempts that reached worker nodes, over jobs"},
	{
		Name: "recovered_within", Description: "seconds from the end of the last fault until goodput is back where it was",
		Time: true, Unit: time.Second,
	},
	{Name: "rules_broken", Description: "how often a rule was broken"},
}

// Expectation is what a figure of a run is held to.
type Expectation struct {
	Metric   string  // one of Figures
	Group    string  // a class or tenant; empty: all
	Operator string  // >=, <=, >, <, =
	Bound    float64 // spans in seconds, those of figures in ms in ms
}

// IsMet tells whether a figure is as expected. One that could not be had (NaN) is not.
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

func (e Expectation) String() string {
	of, unit := "", ""
	if e.Group != "" {
		of = "[" + e.Group + "]"
	}
	if e.Metric == "recovered_within" {
		unit = "s"
	}
	return e.Metric + of + " " + e.Operator + " " + strconv.FormatFloat(e.Bound, 'g', -1, 64) + unit
}

// Expectations are those of a checked scenario.
func (s *Scenario) Expectations() []Expectation {
	list := make([]Expectation, 0, len(s.Expect))
	for _, text := range s.Expect {
		if e, err := s.expectation(text); err == nil {
			list = append(list, e)
		}
	}
	return list
}

func (s *Scenario) expectation(text string) (Expectation, error) {
	e, err := ParseExpectation(text)
	if err != nil || e.Group == "" {
		return e, err
	}
	if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Group }) &&
		!slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == e.Group }) {
		return e, fmt.Errorf("%q in %q is neither a class nor a tenant", e.Group, text)
	}
	return e, nil
}

// ParseExpectation reads what is written as in "in_time[account-credit] >= 0.9" or "recovered_within <= 5s".
// "recovered_within = 5s" says the latter too.
func ParseExpectation(text string) (Expectation, error) {
	var expectation Expectation
	i := strings.IndexAny(text, "<>=")
	if i < 0 {
		return expectation, fmt.Errorf("expected a figure, one of >= <= > < =, and a bound, got %q", text)
	}
	expectation.Metric, expectation.Operator = strings.TrimSpace(text[:i]), text[i:i+1]
	bound := text[i+1:]
	if remainder, ok := strings.CutPrefix(bound, "="); ok {
		bound = remainder
		if expectation.Operator += "="; expectation.Operator == "==" {
			expectation.Operator = "="
		}
	}
	bound = strings.TrimSpace(bound)
	if name, of, ok := strings.Cut(expectation.Metric, "["); ok {
		if of, ok = strings.CutSuffix(of, "]"); !ok || strings.TrimSpace(of) == "" {
			return expectation, fmt.Errorf("expected a class or tenant in brackets, got %q", text)
		}
		expectation.Metric, expectation.Group = strings.TrimSpace(name), strings.TrimSpace(of)
	}
	n := slices.IndexFunc(Metrics, func(f Metric) bool { return f.Name == expectation.Metric })
	if n < 0 {
		names := make([]string, len(Metrics))
		for i, f := range Metrics {
			names[i] = f.Name
		}
		return expectation, fmt.Errorf("%q is none of the figures: %s", expectation.Metric, strings.Join(names, ", "))
	}
	f := Metrics[n]
	if expectation.Group != "" && !f.Parts {
		return expectation, fmt.Errorf("%s is of the whole play, not of %q", expectation.Metric, expectation.Group)
	}
	var err error
	if expectation.Bound, err = strconv.ParseFloat(bound, 64); err != nil {
		d, spanErr := time.ParseDuration(bound)
		if spanErr != nil || !f.Time {
			return expectation, fmt.Errorf("expected a number after %s, got %q", expectation.Operator, bound)
		}
		expectation.Bound = float64(d) / float64(f.Unit)
	}
	if math.IsNaN(expectation.Bound) || math.IsInf(expectation.Bound, 0) || expectation.Bound < 0 || f.Share && expectation.Bound > 1 {
		return expectation, fmt.Errorf("%s never comes to %q", expectation.Metric, bound)
	}
	if expectation.Operator == "=" && f.Name == "recovered_within" {
		expectation.Operator = "<="
	}
	return expectation, nil
}
