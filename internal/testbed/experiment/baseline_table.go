package experiment

import (
	"context"
	"fmt"
	"strings"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// BaselineTable compares policies on scenarios, by one metric.
type BaselineTable struct {
	Specs       []*scenario.Scenario
	Policies    []string
	Seeds       []uint64
	Metric      score.Headline
	Parallelism int
}

// BaselineRow is the line of a scenario: a cell for each policy, in the order of the table.
type BaselineRow struct {
	Scenario string `json:"scenario"`
	Workers  int    `json:"nodes"`
	Cells    []Cell `json:"cells"`
}

// Run simulates each scenario with each policy on all seeds. Unless it is nil, onProgress is called after each run.
func (b *BaselineTable) Run(ctx context.Context, onProgress func(done, total int)) ([]BaselineRow, error) {
	table := make([]BaselineRow, len(b.Specs))
	for i, spec := range b.Specs {
		table[i] = BaselineRow{Scenario: spec.Name, Workers: spec.Fleet.Workers, Cells: make([]Cell, len(b.Policies))}
	}
	jobs := b.jobs()
	violations := 0
	var figures []float64 // of one cell
	err := Batch(ctx, jobs, b.Parallelism, func(i int, run *RunResult) error {
		if onProgress != nil {
			onProgress(i+1, len(jobs))
		}
		figures = append(figures, b.Metric.ValueOf(run.Result()))
		violations += run.Violations()
		if len(figures) < len(b.Seeds) {
			return nil
		}
		number := i / len(b.Seeds)
		cell := newCell(figures)
		cell.Violations = violations
		table[number/len(b.Policies)].Cells[number%len(b.Policies)] = cell
		figures = figures[:0]
		violations = 0
		return nil
	})
	return table, err
}

// jobs are the runs by scenario, policy and seed.
func (b *BaselineTable) jobs() []Job {
	var jobs []Job
	for _, spec := range b.Specs {
		for _, policy := range b.Policies {
			for _, seed := range b.Seeds {
				jobs = append(jobs, Job{
					Spec: spec, Seed: seed, Driver: scenario.DriverSimulation,
					Subject: Subject{Name: policy, Policy: policy},
				})
			}
		}
	}
	return jobs
}

// Markdown writes the table as the docs have it.
func (b *BaselineTable) Markdown(table []BaselineRow) string {
	var text strings.Builder
	text.WriteString("| scenario | nodes |")
	for _, policy := range b.Policies {
		text.WriteString(" " + policy + " |")
	}
	text.WriteString("\n| --- | ---: |" + strings.Repeat(" --- |", len(b.Policies)) + "\n")
	for _, line := range table {
		fmt.Fprintf(&text, "| %s | %d |", line.Scenario, line.Workers)
		for _, c := range line.Cells {
			text.WriteString(" " + c.String() + " |")
		}
		text.WriteString("\n")
	}
	return text.String()
}
