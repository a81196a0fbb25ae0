package experiment

import (
	"context"

	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
)

// Comparison is several subjects on the same scenarios and seeds; the others are compared with the first.
type Comparison struct {
	Specs       []*scenario.Scenario
	Seeds       []uint64
	Subjects    []Subject
	Driver      string
	Parallelism int // runs at once; 0: as many as there are processors
	Job         Job // what else is set in each run
}

// Run runs every subject on each scenario and seed, in the same environment. A run that is invalid with one subject counts
// with none. It returns a comparison for each scenario, and one of all together at the end if there are several. Unless it
// is nil, onProgress is called after each run.
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

// jobs are the runs by scenario, seed and subject.
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

// newReport is a comparison without results.
func (c *Comparison) newReport(title, description, scenarioText string) *report.Comparison {
	comparison := &report.Comparison{Title: title, Description: description, Scenario: scenarioText}
	for _, subject := range c.Subjects {
		comparison.Sides = append(comparison.Sides, report.Side{Name: subject.Name})
	}
	return comparison
}

// addResults enters the runs of one scenario and seed, one for each side.
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
