package experiment

import (
	"context"

	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
)

// Comparison is several subjects in the same plays; the others are compared with the first.
type Comparison struct {
	Specs       []*scenario.Scenario
	Seeds       []uint64
	Subjects    []Subject
	Driver      string
	Parallelism int // plays at once; 0: as many as there are processors
	Job         Job // what else is said of each run
}

// Run plays a contest: for each scenario and seed every subject, which meet the same environment. A run that is void with
// one of them counts with none. There is a comparison for each scenario, and at the end one of all together if there
// are several.
func (c *Comparison) Run(ctx context.Context, notified func(done, of int)) ([]*report.Comparison, error) {
	var jobs []Job
	for _, spec := range c.Specs {
		for _, seed := range c.Seeds {
			for _, s := range c.Subjects {
				job := c.Job
				job.Spec, job.Seed, job.Driver, job.Subject = spec, seed, c.Driver, s
				jobs = append(jobs, job)
			}
		}
	}
	fresh := func(title, about, text string) *report.Comparison {
		x := &report.Comparison{Title: title, Description: about, Scenario: text}
		for _, s := range c.Subjects {
			x.Sides = append(x.Sides, report.Side{Name: s.Name})
		}
		return x
	}
	var outputs []*report.Comparison
	for _, spec := range c.Specs {
		outputs = append(outputs, fresh(spec.Name, spec.Description, string(scenario.Encode(spec))))
	}
	all := fresh("all scenarios", "", "")
	sides := len(c.Subjects)
	line := make([]*RunResult, 0, sides)
	err := Batch(ctx, jobs, c.Parallelism, func(i int, p *RunResult) error {
		if notified != nil {
			notified(i+1, len(jobs))
		}
		if line = append(line, p); len(line) == sides {
			addResults(outputs[i/sides/len(c.Seeds)], line)
			addResults(all, line)
			line = line[:0]
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(c.Specs) > 1 {
		outputs = append(outputs, all)
	}
	return outputs, nil
}

// addResults enters the runs of one scenario and seed.
func addResults(comparison *report.Comparison, line []*RunResult) {
	void := false
	for i, p := range line {
		comparison.Sides[i].Broken += p.Violations()
		if p.InvalidReason() != "" {
			comparison.Sides[i].Invalid++
			void = true
		}
	}
	for i, p := range line {
		if !void {
			comparison.Sides[i].Results = append(comparison.Sides[i].Results, p.Result())
		}
	}
}
