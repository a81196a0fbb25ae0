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

// Agreement runs scenarios with both drivers on the same seeds, and compares their figures. Live runs are those with the process
// driver.
type Agreement struct {
	Specs              []*scenario.Scenario
	Seeds              []uint64 // of the live runs, and of as many simulations
	ExtraSimulations   int      // simulations on further seeds, which cost little and show how much simulations vary
	ProcessParallelism int      // live runs at once; default 1. Live runs in which the testbed was too late are invalid
	Subject            Subject
	Job                Job
}

// firstExtraSeed is far from the seeds that both drivers use.
const firstExtraSeed = 1 << 40

// AgreementMetrics are the figures that are compared.
var AgreementMetrics = []string{"in_time", "served", "refused", "failed", "unanswered", "lost"}

// AgreementTolerance is how much the means of the drivers may differ beyond three standard errors of the live mean, estimated
// from the spread of the simulations. What the simulation leaves out (the time to decide, parse and write, the kernel's
// scheduling) may cost as much.
const AgreementTolerance = 0.03

// AgreementFigure is one figure of a scenario under both drivers.
type AgreementFigure struct {
	Metric     string  `json:"figure"`
	Simulation Cell    `json:"virtual"`
	Process    Cell    `json:"live"`
	Bound      float64 `json:"bound"` // maximum difference of the means
	Within     bool    `json:"within"`
}

// AgreementResult is the row of a scenario.
type AgreementResult struct {
	Scenario   string            `json:"scenario"`
	Figures    []AgreementFigure `json:"figures"`
	Invalid    int               `json:"void"` // live runs that are invalid
	Violations int               `json:"rules_broken"`
}

// Within reports whether all figures are within their bounds.
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
				return nil, fmt.Errorf("unknown figure %q", name)
			}
			figure := newAgreementFigure(name, metric.Values(simulated[i]), metric.Values(live[i]))
			agreed[i].Figures = append(agreed[i].Figures, figure)
		}
	}
	return agreed, nil
}

// jobs returns the runs of both drivers, ordered by scenario.
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
		number := i * len(a.Specs) / len(jobs) // all scenarios have the same number of jobs
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

// newAgreementFigure compares the values of both drivers. If one of them has no values, the figure is not within its bound.
func newAgreementFigure(name string, simulated, live []float64) AgreementFigure {
	figure := AgreementFigure{Metric: name, Simulation: newCell(simulated), Process: newCell(live)}
	if figure.Process.Runs == 0 || figure.Simulation.Runs == 0 {
		return figure
	}
	figure.Bound = 3*figure.Simulation.SD/math.Sqrt(float64(figure.Process.Runs)) + AgreementTolerance
	figure.Within = math.Abs(figure.Simulation.Mean-figure.Process.Mean) <= figure.Bound
	return figure
}

// AgreementMarkdown returns the table in Markdown, as the documentation shows it.
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
