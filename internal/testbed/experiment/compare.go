package experiment

import (
	"context"

	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
)

// Comparison runs several subjects on the same scenarios and seeds, and compares each with the first.
type Comparison struct {
	Specs       []*scenario.Scenario
	Seeds       []uint64
	Subjects    []Subject
	Driver      string
	Parallelism int // runs at once; 0: as many as there are processors
	Job         Job // further settings of each run
}

// Run runs every subject on each scenario and seed, in the same environment. If the run of one subject is invalid, the runs
// of all subjects on that scenario and seed are left out. Run returns a comparison for each scenario and, if there are several,
// one of all scenarios together at the end. Unless it is nil, onProgress is called after each run.
func (c *Comparison) Run(ctx context.Context, onProgress func(done, total int)) ([]*report.Comparison, error) {
	jobs := c.jobs()
	var comparisons []*report.Comparison
	for _, spec := range c.Specs {
		comparisons = append(comparisons, c.newReport(spec.Name, spec.Description, string(scenario.Encode(spec))))
	}
	overall := c.newReport("all scenarios", "", "")
	sides := len(c.Subjects)
	group := make([]*RunResult, 0, sides) // of one scenario and seed
	err := Batch(ctx, jobs, c.Parallelism, func(i int, run *RunResult) error {
		if onProgress != nil {
			onProgress(i+1, len(jobs))
		}
		group = append(group, run)
		if len(group) == sides {
			addResults(comparisons[i/sides/len(c.Seeds)], group)
			addResults(overall, group)
			group = group[:0]
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(c.Specs) > 1 {
		comparisons = append(comparisons, overall)
	}
	return comparisons, nil
}

// jobs returns the runs, ordered by scenario, seed and subject.
func (c *Comparison) jobs() []Job {
	var jobs []Job
	for _, spec := range c.Specs {
		for _, seed := range c.Seeds {
			for _, subject := range c.Subjects {
				job := c.Job
				job.Spec, job.Seed, job.Driver, job.Subject = spec, seed, c.Driver, subject
				jobs = append(jobs, job)
			}
		}
	}
	return jobs
}

// newReport returns a comparison without results.
func (c *Comparison) newReport(title, description, scenarioText string) *report.Comparison {
	comparison := &report.Comparison{Title: title, Description: description, Scenario: scenarioText}
	for _, subject := range c.Subjects {
		comparison.Sides = append(comparison.Sides, report.Side{Name: subject.Name})
	}
	return comparison
}

// addResults adds the runs of one scenario and seed, one for each side. It counts violations and invalid runs, and adds the
// results of all sides unless one of the runs is invalid.
func addResults(comparison *report.Comparison, runs []*RunResult) {
	isInvalid := false
	for i, run := range runs {
		comparison.Sides[i].Broken += run.Violations()
		if run.InvalidReason() != "" {
			comparison.Sides[i].Invalid++
			isInvalid = true
		}
	}
	if isInvalid {
		return
	}
	for i, run := range runs {
		comparison.Sides[i].Results = append(comparison.Sides[i].Results, run.Result())
	}
}
