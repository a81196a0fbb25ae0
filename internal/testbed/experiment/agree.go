package experiment

import (
	"context"
	"fmt"
	"math"
	"strings"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// Agreement is scenarios played by both drivers, on the same seeds.
type Agreement struct {
	Specs              []*scenario.Scenario
	Seeds              []uint64 // of the live plays
	ExtraSimulations   int      // further seeds in simulated time, which cost little, for its spread
	ProcessParallelism int      // live plays at once; default 1. Those that were late are void
	Subject            Subject
	Job                Job
}

// AgreementMetrics are the figures that are set side by side.
var AgreementMetrics = []string{"in_time", "served", "refused", "failed", "unanswered", "lost"}

// Allowance is what live and virtual may differ by beyond three times the spread of single virtual plays: what the
// model leaves out (time to decide, parse and write, the kernel's scheduling) may cost as much.
const Allowance = 0.03

// AgreementFigure is one figure of a scenario under both drivers.
type AgreementFigure struct {
	Metric     string  `json:"figure"`
	Simulation Cell    `json:"virtual"`
	Process    Cell    `json:"live"`
	Bound      float64 `json:"bound"` // on the difference of the means
	Within     bool    `json:"within"`
}

// AgreementResult is a scenario's line.
type AgreementResult struct {
	Scenario   string            `json:"scenario"`
	Figures    []AgreementFigure `json:"figures"`
	Invalid    int               `json:"void"` // live plays that are no result
	Violations int               `json:"rules_broken"`
}

// Within tells whether all figures are.
func (a *AgreementResult) Within() bool {
	for _, f := range a.Figures {
		if !f.Within {
			return false
		}
	}
	return true
}

// Run plays them: virtual ones first.
func (a *Agreement) Run(ctx context.Context, notified func(done, of int)) ([]AgreementResult, error) {
	var virtual, lives []Job
	for _, spec := range a.Specs {
		for _, seed := range append(a.Seeds[:len(a.Seeds):len(a.Seeds)], Seeds(1<<40, a.ExtraSimulations)...) {
			virtual = append(virtual, Job{Spec: spec, Seed: seed, Driver: scenario.DriverSimulation, Subject: a.Subject})
		}
		for _, seed := range a.Seeds {
			job := a.Job
			job.Spec, job.Seed, job.Driver, job.Subject = spec, seed, scenario.DriverProcess, a.Subject
			lives = append(lives, job)
		}
	}
	of, done := len(virtual)+len(lives), 0
	tick := func() {
		if done++; notified != nil {
			notified(done, of)
		}
	}
	agreed := make([]AgreementResult, len(a.Specs))
	results := make([][2][]*score.Result, len(a.Specs))
	collect := func(which, each, at int, jobs []Job) error {
		return Batch(ctx, jobs, at, func(i int, p *RunResult) error {
			tick()
			line := &agreed[i/each]
			line.Violations += p.Violations()
			if p.InvalidReason() != "" {
				line.Invalid++
				return nil
			}
			results[i/each][which] = append(results[i/each][which], p.Result())
			return nil
		})
	}
	if err := collect(0, len(a.Seeds)+a.ExtraSimulations, 0, virtual); err != nil {
		return nil, err
	}
	if err := collect(1, len(a.Seeds), max(1, a.ProcessParallelism), lives); err != nil {
		return nil, err
	}
	for i, spec := range a.Specs {
		agreed[i].Scenario = spec.Name
		for _, name := range AgreementMetrics {
			h, ok := score.HeadlineOf(name)
			if !ok {
				return nil, fmt.Errorf("no figure is called %s", name)
			}
			both := AgreementFigure{Metric: name, Simulation: newCell(h.Values(results[i][0])), Process: newCell(h.Values(results[i][1]))}
			if both.Process.Runs == 0 || both.Simulation.Runs == 0 {
				agreed[i].Figures = append(agreed[i].Figures, both) // nothing to compare
				continue
			}
			both.Bound = 3*both.Simulation.SD/math.Sqrt(float64(max(1, both.Process.Runs))) + Allowance
			both.Within = math.Abs(both.Simulation.Mean-both.Process.Mean) <= both.Bound
			agreed[i].Figures = append(agreed[i].Figures, both)
		}
	}
	return agreed, nil
}

// AgreementMarkdown writes the table as the docs have it.
func AgreementMarkdown(table []AgreementResult) string {
	var b strings.Builder
	b.WriteString("| scenario |")
	for _, f := range AgreementMetrics {
		b.WriteString(" " + f + " virtual / live |")
	}
	b.WriteString(" agree |\n| --- |" + strings.Repeat(" --- |", len(AgreementMetrics)+1) + "\n")
	for _, line := range table {
		fmt.Fprintf(&b, "| %s |", line.Scenario)
		for _, f := range line.Figures {
			mark := ""
			if !f.Within {
				mark = " **!**"
			}
			fmt.Fprintf(&b, " %s / %s%s |", f.Simulation, f.Process, mark)
		}
		word := "yes"
		if !line.Within() {
			word = "no"
		}
		if line.Invalid > 0 {
			word += fmt.Sprintf(", %d void", line.Invalid)
		}
		b.WriteString(" " + word + " |\n")
	}
	return b.String()
}
