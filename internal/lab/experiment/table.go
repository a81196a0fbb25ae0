package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/score"
)

// Cell is a figure over several plays.
type Cell struct {
	Mean   float64 // NaN: there was none
	SD     float64
	Plays  int
	Broken int // rules
}

func cell(all []float64) Cell {
	kept := all[:0:0]
	for _, x := range all {
		if !math.IsNaN(x) && !math.IsInf(x, 0) {
			kept = append(kept, x)
		}
	}
	c := Cell{Mean: math.NaN(), Plays: len(kept)}
	if len(kept) > 0 {
		c.Mean = stat.Mean(kept, nil)
	}
	if len(kept) > 1 {
		c.SD = stat.StdDev(kept, nil)
	}
	return c
}

// MarshalJSON writes null for a mean of nothing.
func (c Cell) MarshalJSON() ([]byte, error) {
	out := struct {
		Mean   *float64 `json:"mean"`
		SD     float64  `json:"sd"`
		Plays  int      `json:"plays"`
		Broken int      `json:"rules_broken"`
	}{nil, c.SD, c.Plays, c.Broken}
	if c.Plays > 0 {
		out.Mean = &c.Mean
	}
	return json.Marshal(out)
}

func (c Cell) String() string {
	if c.Plays == 0 {
		return "–"
	}
	text := fmt.Sprintf("%.3f", c.Mean)
	if c.Plays > 1 {
		text += fmt.Sprintf(" ±%.3f", c.SD)
	}
	if c.Broken > 0 {
		text += fmt.Sprintf(" (%d broken)", c.Broken)
	}
	return text
}

// Yardsticks is scenarios against policies, by one figure.
type Yardsticks struct {
	Specs    []*scenario.Scenario
	Policies []string
	Seeds    []uint64
	Figure   score.Headline
	At       int
}

// Standing is one scenario's line: a cell for each policy.
type Standing struct {
	Scenario string `json:"scenario"`
	Nodes    int    `json:"nodes"`
	Cells    []Cell `json:"cells"`
}

// Run plays them, in virtual time.
func (y *Yardsticks) Run(ctx context.Context, told func(done, of int)) ([]Standing, error) {
	var jobs []Job
	for _, spec := range y.Specs {
		for _, policy := range y.Policies {
			for _, seed := range y.Seeds {
				jobs = append(jobs, Job{Spec: spec, Seed: seed, Driver: scenario.Virtual, Subject: Subject{Name: policy, Policy: policy}})
			}
		}
	}
	table := make([]Standing, len(y.Specs))
	for i, spec := range y.Specs {
		table[i] = Standing{Scenario: spec.Name, Nodes: spec.Fleet.Nodes, Cells: make([]Cell, len(y.Policies))}
	}
	each, broken := len(y.Seeds), 0
	var figures []float64
	err := Batch(ctx, jobs, y.At, func(i int, p *Played) error {
		if told != nil {
			told(i+1, len(jobs))
		}
		figures, broken = append(figures, y.Figure.Of(p.Result())), broken+p.Broken()
		if len(figures) == each {
			k := i / each
			c := cell(figures)
			c.Broken = broken
			table[k/len(y.Policies)].Cells[k%len(y.Policies)] = c
			figures, broken = figures[:0], 0
		}
		return nil
	})
	return table, err
}

// Markdown writes the table as the docs have it.
func (y *Yardsticks) Markdown(table []Standing) string {
	var b strings.Builder
	b.WriteString("| scenario | nodes |")
	for _, p := range y.Policies {
		b.WriteString(" " + p + " |")
	}
	b.WriteString("\n| --- | ---: |" + strings.Repeat(" --- |", len(y.Policies)) + "\n")
	for _, line := range table {
		fmt.Fprintf(&b, "| %s | %d |", line.Scenario, line.Nodes)
		for _, c := range line.Cells {
			b.WriteString(" " + c.String() + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Speed is how fast virtual time ran in a play.
type Speed struct {
	Requests uint64
	Took     time.Duration
}

// PerSecond is requests simulated in a second of the machine's time.
func (s Speed) PerSecond() float64 { return float64(s.Requests) / max(s.Took.Seconds(), 1e-9) }

// Spread is the least, the median and the most of some figures.
func Spread(all []float64) (low, middle, high float64) {
	all = slices.Sorted(slices.Values(all))
	return all[0], stat.Quantile(0.5, stat.Empirical, all, nil), all[len(all)-1]
}

// shortest is how long jobs come for at least: a fleet must fill before it says anything.
const shortest = 8 * time.Second

// Fleet returns a scenario of so many worker nodes that is as busy as another, for so many jobs at least. Its schedulers
// have the descriptors for that many clients: else these wait at the front, and the play shows nothing but that.
func Fleet(spec *scenario.Scenario, nodes int, jobs float64) (*scenario.Scenario, error) {
	changed := spec.Clone()
	changed.Drivers = []string{scenario.Virtual}
	if err := changed.Set("fleet.nodes", fmt.Sprint(nodes)); err != nil {
		return nil, err
	}
	if err := changed.Set("schedulers.sockets", fmt.Sprint(max(changed.Schedulers.Sockets, 32*nodes))); err != nil {
		return nil, err
	}
	length := time.Duration(jobs / changed.Rate() * float64(time.Second)).Round(10 * time.Millisecond)
	if err := changed.Set("length", fmt.Sprintf("%q", max(length, shortest))); err != nil {
		return nil, err
	}
	changed.Name = fmt.Sprintf("%s-%d", spec.Name, nodes)
	return changed, nil
}
