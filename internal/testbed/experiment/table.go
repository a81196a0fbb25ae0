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

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// Cell is a figure over several plays.
type Cell struct {
	Mean       float64 // NaN: there was none
	SD         float64
	Runs       int
	Violations int // rules
}

func newCell(all []float64) Cell {
	kept := all[:0:0]
	for _, x := range all {
		if !math.IsNaN(x) && !math.IsInf(x, 0) {
			kept = append(kept, x)
		}
	}
	c := Cell{Mean: math.NaN(), Runs: len(kept)}
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
	outputs := struct {
		Mean   *float64 `json:"mean"`
		SD     float64  `json:"sd"`
		Plays  int      `json:"plays"`
		Broken int      `json:"rules_broken"`
	}{nil, c.SD, c.Runs, c.Violations}
	if c.Runs > 0 {
		outputs.Mean = &c.Mean
	}
	return json.Marshal(outputs)
}

func (c Cell) String() string {
	if c.Runs == 0 {
		return "–"
	}
	text := fmt.Sprintf("%.3f", c.Mean)
	if c.Runs > 1 {
		text += fmt.Sprintf(" ±%.3f", c.SD)
	}
	if c.Violations > 0 {
		text += fmt.Sprintf(" (%d broken)", c.Violations)
	}
	return text
}

// BaselineTable is scenarios against policies, by one figure.
type BaselineTable struct {
	Specs       []*scenario.Scenario
	Policies    []string
	Seeds       []uint64
	Metric      score.Headline
	Parallelism int
}

// BaselineRow is one scenario's line: a cell for each policy.
type BaselineRow struct {
	Scenario string `json:"scenario"`
	Workers  int    `json:"nodes"`
	Cells    []Cell `json:"cells"`
}

// Run plays them, in simulated time.
func (y *BaselineTable) Run(ctx context.Context, notified func(done, of int)) ([]BaselineRow, error) {
	var jobs []Job
	for _, spec := range y.Specs {
		for _, policy := range y.Policies {
			for _, seed := range y.Seeds {
				jobs = append(jobs, Job{Spec: spec, Seed: seed, Driver: scenario.DriverSimulation, Subject: Subject{Name: policy, Policy: policy}})
			}
		}
	}
	table := make([]BaselineRow, len(y.Specs))
	for i, spec := range y.Specs {
		table[i] = BaselineRow{Scenario: spec.Name, Workers: spec.Fleet.Workers, Cells: make([]Cell, len(y.Policies))}
	}
	each, broken := len(y.Seeds), 0
	var figures []float64
	err := Batch(ctx, jobs, y.Parallelism, func(i int, p *RunResult) error {
		if notified != nil {
			notified(i+1, len(jobs))
		}
		figures, broken = append(figures, y.Metric.ValueOf(p.Result())), broken+p.Violations()
		if len(figures) == each {
			k := i / each
			c := newCell(figures)
			c.Violations = broken
			table[k/len(y.Policies)].Cells[k%len(y.Policies)] = c
			figures, broken = figures[:0], 0
		}
		return nil
	})
	return table, err
}

// Markdown writes the table as the docs have it.
func (y *BaselineTable) Markdown(table []BaselineRow) string {
	var b strings.Builder
	b.WriteString("| scenario | nodes |")
	for _, p := range y.Policies {
		b.WriteString(" " + p + " |")
	}
	b.WriteString("\n| --- | ---: |" + strings.Repeat(" --- |", len(y.Policies)) + "\n")
	for _, line := range table {
		fmt.Fprintf(&b, "| %s | %d |", line.Scenario, line.Workers)
		for _, c := range line.Cells {
			b.WriteString(" " + c.String() + " |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Speed is how fast simulated time ran in a run.
type Speed struct {
	Requests uint64
	Elapsed  time.Duration
}

// PerSecond is requests simulated in a second of the machine's time.
func (s Speed) PerSecond() float64 { return float64(s.Requests) / max(s.Elapsed.Seconds(), 1e-9) }

// Spread is the least, the median and the most of some figures.
func Spread(all []float64) (low, middle, high float64) {
	all = slices.Sorted(slices.Values(all))
	return all[0], stat.Quantile(0.5, stat.Empirical, all, nil), all[len(all)-1]
}

// minLength is how long jobs come for at least: a fleet must fill before it says anything.
const minLength = 8 * time.Second

// ScaleFleet returns a scenario of so many workers that is as busy as another, for so many jobs at least. Its schedulers
// have the descriptors for that many clients: else these wait at the load balancer, and the run shows nothing but that.
func ScaleFleet(spec *scenario.Scenario, nodes int, jobs float64) (*scenario.Scenario, error) {
	changed := spec.Clone()
	changed.Drivers = []string{scenario.DriverSimulation}
	if err := changed.Set("fleet.nodes", fmt.Sprint(nodes)); err != nil {
		return nil, err
	}
	if err := changed.Set("schedulers.sockets", fmt.Sprint(max(changed.Schedulers.Sockets, 32*nodes))); err != nil {
		return nil, err
	}
	length := time.Duration(jobs / changed.Rate() * float64(time.Second)).Round(10 * time.Millisecond)
	if err := changed.Set("length", fmt.Sprintf("%q", max(length, minLength))); err != nil {
		return nil, err
	}
	changed.Name = fmt.Sprintf("%s-%d", spec.Name, nodes)
	return changed, nil
}
