package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// Agreement is scenarios played by both drivers, on the same seeds.
type Agreement struct {
	Specs              []*scenario.Scenario
	Seeds              []uint64 // of the live runs
	ExtraSimulations   int      // further seeds in simulated time, which cost little, for its spread
	ProcessParallelism int      // live runs at once; default 1. Those that were late are void
	Subject            Subject
	Job                Job
}

// firstExtraSeed is far from the seeds that both drivers run.
const firstExtraSeed = 1 << 40

// AgreementMetrics are the figures that are set side by side.
var AgreementMetrics = []string{"in_time", "served", "refused", "failed", "unanswered", "lost"}

// Allowance is what live and virtual may differ by beyond three times the spread of single virtual runs: what the
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
	Invalid    int               `json:"void"` // live runs that are no result
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

// Run runs the scenarios with both drivers, simulated runs first. Unless it is nil, onProgress is called after each run.
func (a *Agreement) Run(ctx context.Context, onProgress func(done, total int)) ([]AgreementResult, error) {
	simulations, processes := a.jobs()
	agreed := make([]AgreementResult, len(a.Specs))
	done := 0
	countRun := func() {
		done++
		if onProgress != nil {
			onProgress(done, len(simulations)+len(processes))
		}
	}
	simulated, err := a.collect(ctx, simulations, 0, agreed, countRun)
	if err != nil {
		return nil, err
	}
	live, err := a.collect(ctx, processes, max(1, a.ProcessParallelism), agreed, countRun)
	if err != nil {
		return nil, err
	}
	for i, spec := range a.Specs {
		agreed[i].Scenario = spec.Name
		for _, name := range AgreementMetrics {
			metric, ok := score.HeadlineOf(name)
			if !ok {
				return nil, fmt.Errorf("no figure is called %s", name)
			}
			figure := newAgreementFigure(name, metric.Values(simulated[i]), metric.Values(live[i]))
			agreed[i].Figures = append(agreed[i].Figures, figure)
		}
	}
	return agreed, nil
}

// jobs are the runs of both drivers, scenario by scenario.
func (a *Agreement) jobs() (simulations, processes []Job) {
	simulationSeeds := append(slices.Clone(a.Seeds), Seeds(firstExtraSeed, a.ExtraSimulations)...)
	for _, spec := range a.Specs {
		for _, seed := range simulationSeeds {
			simulations = append(simulations, Job{Spec: spec, Seed: seed, Driver: scenario.DriverSimulation, Subject: a.Subject})
		}
		for _, seed := range a.Seeds {
			job := a.Job
			job.Spec, job.Seed, job.Driver, job.Subject = spec, seed, scenario.DriverProcess, a.Subject
			processes = append(processes, job)
		}
	}
	return simulations, processes
}

// collect runs the jobs of one driver, counts violations and invalid runs, and returns the other results by scenario.
func (a *Agreement) collect(
	ctx context.Context, jobs []Job, parallelism int, agreed []AgreementResult, countRun func(),
) ([][]*score.Result, error) {
	results := make([][]*score.Result, len(a.Specs))
	err := Batch(ctx, jobs, parallelism, func(i int, run *RunResult) error {
		countRun()
		number := i * len(a.Specs) / len(jobs) // each scenario has as many jobs
		agreed[number].Violations += run.Violations()
		if run.InvalidReason() != "" {
			agreed[number].Invalid++
			return nil
		}
		results[number] = append(results[number], run.Result())
		return nil
	})
	return results, err
}

// newAgreementFigure compares the values of both drivers. Without values of one of them they are not within the bound.
func newAgreementFigure(name string, simulated, live []float64) AgreementFigure {
	figure := AgreementFigure{Metric: name, Simulation: newCell(simulated), Process: newCell(live)}
	if figure.Process.Runs == 0 || figure.Simulation.Runs == 0 {
		return figure
	}
	figure.Bound = 3*figure.Simulation.SD/math.Sqrt(float64(figure.Process.Runs)) + Allowance
	figure.Within = math.Abs(figure.Simulation.Mean-figure.Process.Mean) <= figure.Bound
	return figure
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
