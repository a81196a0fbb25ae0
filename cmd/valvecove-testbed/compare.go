package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
)

type compareCommand struct {
	Scenarios []string `arg:"" name:"scenarios" optional:"" help:"Names or files; none: the library."`
	Driver    string   `name:"driver" help:"virtual (simulated time) or live (real processes)." enum:"virtual,live" default:"virtual"`
	A         string   `name:"a" help:"One side: a policy, or (live) a scheduler's program." default:"logic"`
	B         string   `name:"b" help:"The other side: a policy, or (live) a scheduler's program; default: as A." default:""`
	ASet      []string `name:"a-set" help:"Change a key of the scenario for A." sep:"none" placeholder:"KEY=VALUE"`
	BSet      []string `name:"b-set" help:"Change a key of the scenario for B." sep:"none" placeholder:"KEY=VALUE"`
	ATestbed  string   `name:"a-testbed" aliases:"a-lab" help:"Run A with another build's valvecove-testbed." type:"existingfile"`
	BTestbed  string   `name:"b-testbed" aliases:"b-lab" help:"Run B with another build's valvecove-testbed." type:"existingfile"`
	JSON      string   `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	Report    string   `name:"report" help:"Write a page of HTML for each scenario into this folder." type:"path" placeholder:"DIR"`
	seedFlags
}

// Run runs the comparison.
func (c *compareCommand) Run(ctx context.Context, streams *standardStreams) error {
	specs, err := openScenarios(c.Scenarios, c.Driver, streams)
	if err != nil {
		return err
	}
	subjects, err := c.subjects()
	if err != nil {
		return err
	}
	job := experiment.Job{Driver: c.Driver}
	remove, err := c.prepareBinaries(ctx, &job, subjects, streams)
	if err != nil {
		return err
	}
	defer remove()
	comparison := experiment.Comparison{
		Specs: specs, Seeds: c.list(), Subjects: subjects, Driver: c.Driver,
		Parallelism: c.parallelism(c.Driver), Job: job,
	}
	results, err := comparison.Run(ctx, newProgressCounter(streams.stderr, "compare"))
	if err != nil {
		return err
	}
	return c.writeResults(results, streams)
}

// subjects returns the two sides, or an error if they are the same.
func (c *compareCommand) subjects() ([]experiment.Subject, error) {
	nameA, nameB := c.A, c.B
	if nameB == "" {
		nameB = nameA
	}
	if c.Driver == scenario.DriverProcess && nameA == experiment.PolicyDispatch {
		// The default names a policy; with real processes it stands for the scheduler's own program.
		nameA = ""
		if nameB == experiment.PolicyDispatch {
			nameB = ""
		}
	}
	a := c.subject("A", nameA, c.ASet, c.ATestbed)
	b := c.subject("B", nameB, c.BSet, c.BTestbed)
	if a.Name == b.Name && a.Testbed == b.Testbed {
		return nil, fmt.Errorf("both sides are %q: change one with --b, --b-set or --b-testbed", a.Name)
	}
	return []experiment.Subject{a, b}, nil
}

// subject returns one side. Its name has the testbed, the policy or program, and the changes, as far as they are given; without
// any it is the side's letter.
func (c *compareCommand) subject(letter, name string, changes []string, testbed string) experiment.Subject {
	subject := experiment.Subject{Set: changes, Testbed: testbed}
	if c.Driver == scenario.DriverProcess {
		subject.Binary = name
	} else {
		subject.Policy = name
	}
	parts := []string{name}
	if testbed != "" {
		parts[0] = filepath.Base(testbed) + " " + name
	}
	subject.Name = strings.Join(append(parts, changes...), " ")
	if strings.TrimSpace(subject.Name) == "" {
		subject.Name = letter
	}
	return subject
}

// prepareBinaries sets the program of each side that names none to the one that schedulerBinary finds. It does nothing in the
// simulation. The caller calls remove when the comparison is done.
func (c *compareCommand) prepareBinaries(
	ctx context.Context, job *experiment.Job, subjects []experiment.Subject, streams *standardStreams,
) (remove func(), err error) {
	if c.Driver != scenario.DriverProcess || subjects[0].Binary != "" && subjects[1].Binary != "" {
		return func() {}, nil
	}
	remove, err = prepareProcesses(ctx, job, "", streams)
	if err != nil {
		return nil, err
	}
	for i := range subjects {
		if subjects[i].Binary == "" {
			subjects[i].Binary = job.Subject.Binary
		}
	}
	return remove, nil
}

// writeResults writes the JSON, the pages of HTML, and the pages on standard output. It returns exitViolation as an error if a
// rule was broken.
func (c *compareCommand) writeResults(results []*report.Comparison, streams *standardStreams) error {
	if c.JSON != "" {
		if err := saveJSON(c.JSON, results, streams); err != nil {
			return err
		}
	}
	violations := 0
	for _, result := range results {
		result.Build = buildName()
		for _, side := range result.Sides {
			violations += side.Broken
		}
		if err := c.writePages(result, streams); err != nil {
			return err
		}
	}
	if violations > 0 {
		return exitError(exitViolation)
	}
	return nil
}

func (c *compareCommand) writePages(result *report.Comparison, streams *standardStreams) error {
	if c.Report != "" {
		name := strings.ReplaceAll(result.Title, " ", "-") + ".html"
		err := saveFile(c.Report, name, func(w io.Writer) error { return report.WriteCompare(w, result) })
		if err != nil {
			return err
		}
	}
	if c.JSON == "-" {
		return nil
	}
	return report.ComparePage(streams.stdout, result)
}
