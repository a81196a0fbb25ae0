package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/score"
)

type variationCommand struct {
	Scenario string `arg:"" name:"scenario" help:"Name, file or -."`
	Vary     string `name:"vary" help:"The key and its values: load.of=0.3,0.5,0.7 or load.of=0.2..1.2/11." required:""`
	Curves   string `name:"curves" help:"A second key and its values, each with a curve of its own."`
	Metric   string `name:"figure" help:"The figure that is drawn." default:"mix"`
	Driver   string `name:"driver" help:"virtual (simulated time) or live (real processes)." enum:"virtual,live" default:"virtual"`
	JSON     string `name:"json" help:"Write all as JSON to a file, or to standard output for -." placeholder:"FILE"`
	Report   string `name:"report" help:"Write a page of HTML into this folder." type:"path" placeholder:"DIR"`
	subjectFlags
	seedFlags
}

// Run runs the scenario with each value, on all seeds.
func (c *variationCommand) Run(ctx context.Context, streams *standardStreams) error {
	variation, err := c.variation(streams)
	if err != nil {
		return err
	}
	variation.Job = experiment.Job{Driver: c.Driver, Subject: experiment.Subject{Binary: c.Binary}}
	remove, err := prepareProcesses(ctx, &variation.Job, "", streams)
	if err != nil {
		return err
	}
	defer remove()
	variation.Subject.Binary = variation.Job.Subject.Binary
	result, err := variation.Run(ctx, newProgressCounter(streams.stderr, "sweep"))
	if err != nil {
		return err
	}
	return c.writeResult(result, streams)
}

// variation turns the flags into a variation. It leaves out what only the process driver needs.
func (c *variationCommand) variation(streams *standardStreams) (experiment.Variation, error) {
	variation := experiment.Variation{
		Seeds: c.list(), Driver: c.Driver, Figure: c.Metric, Parallelism: c.parallelism(c.Driver),
		Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy, Set: c.Set},
	}
	var err error
	if variation.Spec, err = openScenario(c.Scenario, streams); err != nil {
		return variation, err
	}
	if variation.Vary, err = experiment.ParseVariedKey(c.Vary); err != nil {
		return variation, err
	}
	if c.Curves != "" {
		if variation.Curves, err = experiment.ParseVariedKey(c.Curves); err != nil {
			return variation, err
		}
	}
	_, err = findMetric(c.Metric)
	return variation, err
}

// writeResult writes the JSON, the page of HTML, and the page on standard output.
func (c *variationCommand) writeResult(result *report.Variation, streams *standardStreams) error {
	if c.JSON != "" {
		if err := saveJSON(c.JSON, result, streams); err != nil {
			return err
		}
	}
	if c.Report != "" {
		err := saveFile(c.Report, "sweep.html", func(w io.Writer) error { return report.WriteVariation(w, result) })
		if err != nil {
			return err
		}
	}
	if c.JSON == "-" {
		return nil
	}
	return report.VariationPage(streams.stdout, result)
}

// findMetric returns the metric that --figure names.
func findMetric(name string) (score.Headline, error) {
	metric, ok := score.HeadlineOf(name)
	if ok {
		return metric, nil
	}
	var names []string
	for _, headline := range score.Headlines {
		names = append(names, headline.Name)
	}
	return metric, fmt.Errorf("--figure: unknown figure %q, expected one of %s", name, strings.Join(names, ", "))
}
