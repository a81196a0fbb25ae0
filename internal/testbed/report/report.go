// Package report shows what came of runs: a line for each second while one runs, a page on the terminal at its end,
// JSON, and HTML in one file that needs nothing else: no network, no scripts.
package report

import (
	"encoding/json"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/starvation"
)

// Verdict is what the checker found.
type Verdict struct {
	Violations     []Violation `json:"broken"`
	ViolationCount int         `json:"broken_count"`   // with those of which Broken keeps no story; 0: as many as Broken
	Invalid        string      `json:"void,omitempty"` // why the run is no result; empty: it is one
	NotChecked     []string    `json:"left_out"`       // what this driver can't show, a sentence each
}

// Violation is a rule broken, with the request's whole story in order of time.
type Violation struct {
	Rule        string        `json:"rule"`
	At          time.Duration `json:"at_ns"` // since the run's start
	Text        string        `json:"text"`
	Explanation []string      `json:"story"`
}

// Total is how often a rule was broken.
func (v *Verdict) Total() int {
	if v == nil {
		return 0
	}
	return max(v.ViolationCount, len(v.Violations))
}

// String is the verdict in a few words.
func (v *Verdict) String() string {
	switch {
	case v == nil:
		return "not judged"
	case v.Invalid != "":
		return "void: " + v.Invalid
	case v.Total() == 1:
		return "a rule broken once"
	case v.Total() > 1:
		return "rules broken " + strconv.Itoa(v.Total()) + " times"
	}
	return "no rule broken"
}

// Document is a run's report.
type Document struct {
	Result       *score.Result       `json:"result"`
	Verdict      *Verdict            `json:"verdict"` // nil: not judged
	Expectations []score.Evaluation  `json:"expectations"`
	Starvation   *starvation.Verdict `json:"starved,omitempty"`  // nil: not looked for
	Build        string              `json:"build,omitempty"`    // of what was played with: version, policy
	Scenario     string              `json:"scenario,omitempty"` // its text
}

// WriteJSON writes a Doc, a Comparison or a Sweep.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// Figures as text. Each of them writes a dash for what is none.

const noValue = "–"

func isNotFinite(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

// formatPercent writes a share.
func formatPercent(x float64) string {
	if isNotFinite(x) {
		return noValue
	}
	if x > 0 && x < 0.0005 {
		return "<0.1%"
	}
	return strconv.FormatFloat(100*x, 'f', 1, 64) + "%"
}

// formatNumber writes a number to about three digits, and plainly.
func formatNumber(value float64) string {
	if math.IsInf(value, 1) {
		return "∞"
	}
	if isNotFinite(value) {
		return noValue
	}
	digits := 3
	switch a := math.Abs(value); {
	case a >= 100 || a == 0:
		return formatCount(int64(math.Round(value)))
	case a >= 10:
		digits = 1
	case a >= 1:
		digits = 2
	case a < 0.001 && value > 0:
		return "<0.001"
	}
	text := strconv.FormatFloat(value, 'f', digits, 64)
	if digits > 0 && math.Abs(value) >= 1 {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// formatMillis writes milliseconds.
func formatMillis(millis float64) string {
	switch {
	case isNotFinite(millis):
		return noValue
	case millis >= 10_000:
		return strconv.FormatFloat(millis/1000, 'f', 1, 64) + " s"
	case millis >= 1000:
		return strconv.FormatFloat(millis/1000, 'f', 2, 64) + " s"
	case millis >= 10:
		return strconv.FormatFloat(millis, 'f', 0, 64) + " ms"
	}
	return formatNumber(millis) + " ms"
}

// formatSeconds writes seconds since the run's start.
func formatSeconds(s float64) string { return strconv.FormatFloat(s, 'f', 1, 64) + " s" }

// formatCount writes a whole number with its thousands apart.
func formatCount[T int | int64](n T) string {
	text := strconv.FormatInt(int64(n), 10)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// formatBytes writes bytes.
func formatBytes(n float64) string {
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	i := 0
	for ; n >= 1024 && i < len(units)-1; i++ {
		n /= 1024
	}
	return formatNumber(n) + " " + units[i]
}

// plural writes a count of things.
func plural[T int | int64](n T, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return formatCount(n) + " " + many
}

// summaryOf is the few words under a run's name.
func summaryOf(result *score.Result) string {
	parts := []string{}
	if result.Driver != "" {
		parts = append(parts, result.Driver)
	}
	procs := 0
	for i := range result.Processes {
		if result.Processes[i].Scheduler >= 0 {
			procs++
		}
	}
	nodes := len(result.Fleet.Workers)
	parts = append(parts, "seed "+strconv.FormatUint(result.Seed, 10), plural(nodes, "worker node", "worker nodes"),
		plural(procs, "scheduler", "schedulers"), formatSeconds(result.Length)+" of load", formatSeconds(result.End)+" in all")
	return strings.Join(parts, " · ")
}

// formatValue is what an expectation's figure came to, in its own unit.
func formatValue(evaluation *score.Evaluation) string {
	switch name := evaluation.Expectation.Metric; {
	case math.IsInf(evaluation.Value, 0) || math.IsNaN(evaluation.Value):
		return noValue
	case strings.HasSuffix(name, "_ms"):
		return formatMillis(evaluation.Value)
	case name == "recovered_within":
		return formatSeconds(evaluation.Value)
	case name == "rules_broken":
		return formatCount(int(evaluation.Value))
	}
	return strconv.FormatFloat(evaluation.Value, 'f', 4, 64)
}

// thinSeries brings a series to at most n values, each of which stands for some seconds.
func thinSeries(s score.Series, n int, of func(part score.Series) float64) (outputs score.Series, each int) {
	each = (len(s) + n - 1) / n
	if each <= 1 {
		return s, 1
	}
	for from := 0; from < len(s); from += each {
		outputs = append(outputs, of(s[from:min(from+each, len(s))]))
	}
	return outputs, each
}

// meanOf and most pass over values that are none.
func meanOf(s score.Series) float64 {
	sum, n := 0.0, 0
	for _, x := range s {
		if !isNotFinite(x) {
			sum, n = sum+x, n+1
		}
	}
	if n == 0 && len(s) > 0 {
		return math.NaN()
	}
	return sum / float64(max(1, n))
}

func maxOf(s score.Series) float64 {
	high := 0.0
	for _, x := range s {
		if !isNotFinite(x) {
			high = max(high, x)
		}
	}
	return high
}

// shorten takes zeros behind the point away, for the ticks of an axis.
func shorten(text string) string {
	end := strings.LastIndexAny(text, "0123456789") + 1
	if first := text[:end]; strings.Contains(first, ".") {
		return strings.TrimRight(strings.TrimRight(first, "0"), ".") + text[end:]
	}
	return text
}
