// Package report shows the results of runs: a line of progress while one runs, a page on the terminal at its end, JSON,
// and HTML. It owns the forms of the reports and how figures are written in them. It never measures or judges: scores
// and verdicts come from other packages. A page of HTML is one file without scripts and without references to others.
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
	ViolationCount int         `json:"broken_count"`   // with those that Violations leaves out; 0: as many as Violations
	Invalid        string      `json:"void,omitempty"` // why the run is no result; empty: it is one
	NotChecked     []string    `json:"left_out"`       // what the driver can't show, a sentence each
}

// Violation is an invariant that was violated, with the request's history in order of time.
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

// String returns the verdict in a few words. A nil verdict is one of a run that was not checked.
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
	Scenario     string              `json:"scenario,omitempty"` // its text
}

// WriteJSON writes a Document, a Comparison or a Variation as indented JSON. The error is that of the writer or of a
// value that JSON can't hold.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}
