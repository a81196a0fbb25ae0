package main

import (
	"context"
	"fmt"
	"time"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

type demoCommand struct {
	Stay   bool   `name:"stay" help:"Keep everything running at the end, until interrupted, and print commands to try."`
	Binary string `name:"binary" help:"The scheduler's program. Default: valvecove in this program's folder, or else a new build." type:"path"`
	Seed   uint64 `name:"seed" help:"Seed." default:"1"`
	Length string `name:"length" help:"How long clients submit jobs." default:"20s"`
	outputFlags
}

// Run runs the library's demo with real processes.
func (c *demoCommand) Run(ctx context.Context, streams *standardStreams) error {
	spec, err := openScenario("demo", streams)
	if err != nil {
		return err
	}
	if err := spec.Set("length", fmt.Sprintf("%q", c.Length)); err != nil {
		return fmt.Errorf("--length: %w", err)
	}
	path, remove, err := schedulerBinary(ctx, c.Binary, streams)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Fprintf(streams.stderr, "%s\n%d workers, %d scheduler, jobs for %s; everything is on 127.0.0.0/8 and ends with this program.\n\n",
		spec.Description, spec.Fleet.Workers, spec.Schedulers.Count, c.Length)
	display := newProgressDisplay(streams.stderr)
	printLine := func(line string) { display.printLine(streams.stderr, line) }
	result, err := experiment.Run(ctx, c.job(spec, path, display, printLine))
	display.close()
	if err != nil {
		return err
	}
	result.Document.Build = buildName()
	if err := c.writeResult(result, streams); err != nil {
		return err
	}
	return verdictError(result)
}

// job returns the demo's run. printLine is called with a line for each event that is worth showing.
func (c *demoCommand) job(spec *scenario.Scenario, binary string, display *progressDisplay, printLine func(line string)) experiment.Job {
	var addresses process.Addresses
	job := experiment.Job{
		Spec: spec, Seed: c.Seed, Driver: scenario.DriverProcess,
		Subject:    experiment.Subject{Name: "valvecove", Binary: binary},
		OnSnapshot: display.showSnapshot,
		Observer: func(event *trace.Event) {
			if line := describeEvent(event); line != "" {
				printLine(line)
			}
		},
		Process: process.Options{
			StayOpen: c.Stay, Guests: c.Stay,
			OnStart: func(started process.Addresses) { addresses = started },
		},
	}
	if c.Stay {
		job.Observer = printInstructions(job.Observer, spec, &addresses, printLine)
	}
	return job
}

// printInstructions wraps an observer. It prints commands to try, once, when the last job of the scenario is settled.
func printInstructions(next trace.Observer, spec *scenario.Scenario, addresses *process.Addresses, printLine func(line string)) trace.Observer {
	openJobs := 0
	printed := false
	return func(event *trace.Event) {
		next(event)
		switch event.Kind {
		case trace.JobDue:
			openJobs++
		case trace.JobSettled:
			openJobs--
		}
		if !printed && openJobs == 0 && event.At >= spec.Length.Std() {
			printed = true
			printLine(demoInstructions(addresses, spec))
		}
	}
}

// demoInstructions returns the text with commands to try while the demo is kept running.
func demoInstructions(addresses *process.Addresses, spec *scenario.Scenario) string {
	text := "\nThe demo keeps running until you interrupt it (Ctrl-C); its run is checked then. Try:\n\n"
	if len(addresses.Schedulers) > 0 {
		address := addresses.Schedulers[0]
		class := spec.Classes[0]
		// With a budget below the deadline the request would look like a client's retry, whose latency objective has passed.
		budget := class.Deadline.Std().Milliseconds()
		text += fmt.Sprintf("  curl -i http://%s/up\n", address)
		text += fmt.Sprintf("  curl -i -X POST http://%s/%s/42 -H 'X-Call-Id: 00000000000000a1' -H 'X-Call-Class: %s' "+
			"-H 'X-Caller: %s' -H 'X-Budget-Ms: %d' -d 'hello'\n", address, class.Name, class.Name, spec.Tenants[0].Name, budget)
	}
	if len(addresses.Discovery) > 0 {
		text += fmt.Sprintf("  curl http://%s/discovery/hosts\n", addresses.Discovery[0])
	}
	return text
}

// describeEvent returns the line for an event of the demo, or "" if the event is not worth showing.
func describeEvent(event *trace.Event) string {
	text := ""
	switch event.Kind {
	case trace.SchedulerStarted:
		text = fmt.Sprintf("scheduler %d starts", event.Scheduler)
	case trace.SchedulerReady:
		text = fmt.Sprintf("scheduler %d is ready: GET /up answers 200", event.Scheduler)
	case trace.FaultStarted:
		text = "fault: " + event.Text
	case trace.FaultEnded:
		text = "fault over: " + event.Text
	case trace.WorkerStopped:
		text = fmt.Sprintf("worker w-%d is down", event.Worker)
	case trace.WorkerStarted:
		if event.At > time.Second { // not those that start with the run
			text = fmt.Sprintf("worker w-%d is up again, cold", event.Worker)
		}
	case trace.DrainNotified:
		text = fmt.Sprintf("scheduler %d is notified that w-%d drains or is gone", event.Scheduler, event.Worker)
	}
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%6.2fs  %s", event.At.Seconds(), text)
}
