// Package report shows what came of plays: a line for each second while one runs, a page on the terminal at its end,
// JSON, and HTML in one file that needs nothing else: no network, no scripts.
package report

import (
	"encoding/json"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/lab/score"
	"valvecove/internal/lab/starve"
)

// Verdict is what the judge found.
type Verdict struct {
	Broken  []Breach `json:"broken"`
	Count   int      `json:"broken_count"`   // with those of which Broken keeps no story; 0: as many as Broken
	Void    string   `json:"void,omitempty"` // why the play is no result; empty: it is one
	LeftOut []string `json:"left_out"`       // what this driver can't show, a sentence each
}

// Breach is a rule broken, with the request's whole story in order of time.
type Breach struct {
	Rule  string        `json:"rule"`
	At    time.Duration `json:"at_ns"` // since the play's start
	Text  string        `json:"text"`
	Story []string      `json:"story"`
}

// Total is how often a rule was broken.
func (v *Verdict) Total() int {
	if v == nil {
		return 0
	}
	return max(v.Count, len(v.Broken))
}

// String is the verdict in a few words.
func (v *Verdict) String() string {
	switch {
	case v == nil:
		return "not judged"
	case v.Void != "":
		return "void: " + v.Void
	case v.Total() == 1:
		return "a rule broken once"
	case v.Total() > 1:
		return "rules broken " + strconv.Itoa(v.Total()) + " times"
	}
	return "no rule broken"
}

// Doc is a play's report.
type Doc struct {
	Result   *score.Result   `json:"result"`
	Verdict  *Verdict        `json:"verdict"` // nil: not judged
	Met      []score.Met     `json:"expectations"`
	Starved  *starve.Verdict `json:"starved,omitempty"`  // nil: not looked for
	Build    string          `json:"build,omitempty"`    // of what was played with: version, policy
	Scenario string          `json:"scenario,omitempty"` // its text
}

// WriteJSON writes a Doc, a Comparison or a Sweep.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// Figures as text. Each of them writes a dash for what is none.

const none = "–"

func bad(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) }

// percent writes a share.
func percent(x float64) string {
	if bad(x) {
		return none
	}
	if x > 0 && x < 0.0005 {
		return "<0.1%"
	}
	return strconv.FormatFloat(100*x, 'f', 1, 64) + "%"
}

// figure writes a number to about three digits, and plainly.
func figure(x float64) string {
	if math.IsInf(x, 1) {
		return "∞"
	}
	if bad(x) {
		return none
	}
	digits := 3
	switch a := math.Abs(x); {
	case a >= 100 || a == 0:
		return count(int64(math.Round(x)))
	case a >= 10:
		digits = 1
	case a >= 1:
		digits = 2
	case a < 0.001 && x > 0:
		return "<0.001"
	}
	text := strconv.FormatFloat(x, 'f', digits, 64)
	if digits > 0 && math.Abs(x) >= 1 {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// span writes milliseconds.
func span(ms float64) string {
	switch {
	case bad(ms):
		return none
	case ms >= 10_000:
		return strconv.FormatFloat(ms/1000, 'f', 1, 64) + " s"
	case ms >= 1000:
		return strconv.FormatFloat(ms/1000, 'f', 2, 64) + " s"
	case ms >= 10:
		return strconv.FormatFloat(ms, 'f', 0, 64) + " ms"
	}
	return figure(ms) + " ms"
}

// instant writes seconds since the play's start.
func instant(s float64) string { return strconv.FormatFloat(s, 'f', 1, 64) + " s" }

// count writes a whole number with its thousands apart.
func count[T int | int64](n T) string {
	text := strconv.FormatInt(int64(n), 10)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// size writes bytes.
func size(n float64) string {
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	i := 0
	for ; n >= 1024 && i < len(units)-1; i++ {
		n /= 1024
	}
	return figure(n) + " " + units[i]
}

// plural writes a count of things.
func plural[T int | int64](n T, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return count(n) + " " + many
}

// gist is the few words under a play's name.
func gist(r *score.Result) string {
	parts := []string{}
	if r.Driver != "" {
		parts = append(parts, r.Driver)
	}
	procs := 0
	for i := range r.Procs {
		if r.Procs[i].Sched >= 0 {
			procs++
		}
	}
	nodes := len(r.Fleet.Nodes)
	parts = append(parts, "seed "+strconv.FormatUint(r.Seed, 10), plural(nodes, "worker node", "worker nodes"),
		plural(procs, "scheduler", "schedulers"), instant(r.Length)+" of load", instant(r.End)+" in all")
	return strings.Join(parts, " · ")
}

// got is what an expectation's figure came to, in its own unit.
func got(m *score.Met) string {
	switch name := m.Expectation.Figure; {
	case math.IsInf(m.Got, 0) || math.IsNaN(m.Got):
		return none
	case strings.HasSuffix(name, "_ms"):
		return span(m.Got)
	case name == "recovered_within":
		return instant(m.Got)
	case name == "rules_broken":
		return count(int(m.Got))
	}
	return strconv.FormatFloat(m.Got, 'f', 4, 64)
}

// thin brings a series to at most n values, each of which stands for some seconds.
func thin(s score.Series, n int, of func(part score.Series) float64) (out score.Series, each int) {
	each = (len(s) + n - 1) / n
	if each <= 1 {
		return s, 1
	}
	for from := 0; from < len(s); from += each {
		out = append(out, of(s[from:min(from+each, len(s))]))
	}
	return out, each
}

// mean and most pass over values that are none.
func mean(s score.Series) float64 {
	sum, n := 0.0, 0
	for _, x := range s {
		if !bad(x) {
			sum, n = sum+x, n+1
		}
	}
	if n == 0 && len(s) > 0 {
		return math.NaN()
	}
	return sum / float64(max(1, n))
}

func most(s score.Series) float64 {
	high := 0.0
	for _, x := range s {
		if !bad(x) {
			high = max(high, x)
		}
	}
	return high
}

// short takes zeros behind the point away, for the ticks of an axis.
func short(text string) string {
	end := strings.LastIndexAny(text, "0123456789") + 1
	if head := text[:end]; strings.Contains(head, ".") {
		return strings.TrimRight(strings.TrimRight(head, "0"), ".") + text[end:]
	}
	return text
}
