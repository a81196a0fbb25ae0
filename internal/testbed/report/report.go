// Package report shows the results of runs: a line of progress while one runs, a page on the terminal at its end, JSON,
// and HTML. It owns the forms of the reports and the formatting of figures in them. It measures and checks nothing: scores
// and verdicts come from other packages. An HTML page is a single file without scripts or references to other files.
package report

import (
	"encoding/json"
	"io"
	"strconv"
	"time"

	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/starvation"
)

// Verdict is what the invariant checker found.
type Verdict struct {
	Violations     []Violation `json:"broken"`
	ViolationCount int         `json:"broken_count"`   // including those that Violations leaves out; 0: len(Violations)
	Invalid        string      `json:"void,omitempty"` // why the run is invalid; empty: it is valid
	NotChecked     []string    `json:"left_out"`       // what the driver does not allow to check, one sentence each
}

// Violation is a violation of an invariant. Explanation is the request's history in chronological order.
type Violation struct {
	Rule        string        `json:"rule"`
	At          time.Duration `json:"at_ns"` // since the run's start
	Text        string        `json:"text"`
	Explanation []string      `json:"story"`
}

// Total returns how many violations there were. A nil verdict has none.
func (v *Verdict) Total() int {
	if v == nil {
		return 0
	}
	return max(v.ViolationCount, len(v.Violations))
}

// String returns the verdict in a few words. A nil verdict means that the run was not checked.
func (v *Verdict) String() string {
	switch {
	case v == nil:
		return "not checked"
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
	Verdict      *Verdict            `json:"verdict"` // nil: not checked
	Expectations []score.Evaluation  `json:"expectations"`
	Starvation   *starvation.Verdict `json:"starved,omitempty"`  // nil: not checked
	Build        string              `json:"build,omitempty"`    // version and policy of the scheduler
	Scenario     string              `json:"scenario,omitempty"` // text of its file
}

// WriteJSON writes a Document, a Comparison or a Variation as indented JSON. The error is that of the writer or of a
// value that JSON can't hold.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}
