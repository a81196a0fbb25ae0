package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/trace"
)

// outputFlags is where a run's report goes.
type outputFlags struct {
	JSON   string `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, with nothing else there." placeholder:"FILE" optional:""`
	Report string `name:"report" help:"Write the report into this folder: index.html, which needs no network, figures.json and scenario.toml." placeholder:"DIR" type:"path"`
}

func (o *outputFlags) writeResult(p *experiment.RunResult, streams *streams) error {
	if o.Report != "" {
		if err := saveFile(o.Report, "index.html", func(w io.Writer) error { return report.WriteHTML(w, p.Document) }); err != nil {
			return err
		}
		if err := saveFile(o.Report, "figures.json", func(w io.Writer) error { return report.WriteJSON(w, p.Document) }); err != nil {
			return err
		}
		text := []byte(p.Document.Scenario)
		if err := saveFile(o.Report, "scenario.toml", func(w io.Writer) error { _, err := w.Write(text); return err }); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := saveJSON(o.JSON, p.Document, streams); err != nil {
			return err
		}
	}
	if o.JSON == "-" {
		return nil
	}
	if err := report.WritePage(streams.output, p.Result(), p.Document.Verdict, p.Document.Expectations); err != nil {
		return err
	}
	if v := p.Starvation; v != nil {
		fmt.Fprintf(streams.output, "starvation: %v\n", v)
		for _, x := range v.Findings {
			fmt.Fprintf(streams.output, "  %9.3f  %s\n", x.At.Seconds(), x.Text)
		}
	}
	writeExplanations(streams.output, p)
	if o.Report != "" {
		fmt.Fprintf(streams.output, "report: %s\n", filepath.Join(o.Report, "index.html"))
	}
	return nil
}

// maxExplanations are told on the terminal; the report has all that the checker kept.
const maxExplanations = 3

// writeExplanations writes the whole story of the first broken rules, in order of time, one of each rule before a second.
func writeExplanations(w io.Writer, runResult *experiment.RunResult) {
	notified := map[string]int{}
	shown := 0
	for round := 0; round < maxExplanations && shown < maxExplanations; round++ {
		for _, b := range runResult.Verdict.Violations {
			if notified[b.Rule] == round && shown < maxExplanations {
				notified[b.Rule]++
				shown++
				fmt.Fprintf(w, "\n%v\n", b)
			}
		}
	}
	if more := runResult.Violations() - shown; shown > 0 && more > 0 {
		fmt.Fprintf(w, "\n… and %d more; --json and --report have the stories of the first of each rule\n", more)
	}
}

// verdictError is a run's exit code.
func verdictError(p *experiment.RunResult) error {
	switch {
	case p.InvalidReason() != "":
		return exitError(exitInvalid)
	case p.Violations() > 0 || !p.MeetsExpectations():
		return exitError(exitUsage)
	}
	return nil
}

type playCommand struct {
	Scenario   string `arg:"" name:"scenario" optional:"" help:"Name, file or -."`
	From       string `name:"from" help:"Play a kept file again, exactly: with the seed that it names." placeholder:"FILE" type:"existingfile"`
	Driver     string `name:"driver" help:"virtual or live." enum:"virtual,live" default:"virtual"`
	Seed       uint64 `name:"seed" help:"Seed; 0: that of the scenario, or else 1." default:"0"`
	Mutant     string `name:"mutant" help:"Put a seeded fault before each scheduler; virtual only. See valvecove-testbed mutants."`
	Starvation bool   `name:"starve" help:"Look for tries that wait or are refused while worker nodes are idle."`
	Quiet      bool   `name:"quiet" short:"q" help:"No progress."`
	Logs       string `name:"logs" help:"Keep the schedulers' configuration and logs in this folder; live only." type:"path"`
	subjectFlags
	outputFlags
}

// Run plays it.
func (c *playCommand) Run(ctx context.Context, s *streams) error {
	if (c.Scenario == "") == (c.From == "") {
		return fmt.Errorf("play needs a scenario, or --from FILE")
	}
	name := c.Scenario
	if c.From != "" {
		if name = c.From; filepath.Base(name) == name {
			name = "." + string(os.PathSeparator) + name
		}
	}
	spec, err := openScenario(name, s)
	if err != nil {
		return err
	}
	seed := c.Seed
	switch {
	case c.From != "" && spec.Seed == 0:
		return fmt.Errorf("%s: key \"seed\": missing; it was not kept for a play", c.From)
	case c.From != "" && seed != 0 && seed != uint64(spec.Seed):
		return fmt.Errorf("--from plays %s exactly, with seed %d", c.From, spec.Seed)
	case seed == 0:
		seed = max(1, uint64(spec.Seed))
	}
	job := experiment.Job{
		Spec: spec, Seed: seed, Driver: c.Driver, Starvation: c.Starvation,
		Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy, Mutant: c.Mutant, Set: c.Set, Binary: c.Binary},
	}
	if c.Driver == scenario.DriverProcess {
		job.Subject.Name, job.Subject.Policy = "valvecove", ""
	}
	done, err := prepare(ctx, &job, c.Logs, s)
	if err != nil {
		return err
	}
	defer done()
	if !c.Quiet && c.JSON != "-" && c.Driver == scenario.DriverProcess {
		show := newProgressDisplay(s.errors)
		defer show.close()
		job.OnSnapshot = show.showSnapshot
	}
	p, err := experiment.Run(ctx, job)
	if err != nil {
		return err
	}
	p.Document.Build = buildName() + ", " + p.Document.Build
	if err := c.writeResult(p, s); err != nil {
		return err
	}
	return verdictError(p)
}

// progressDisplay writes a live run's progress from a goroutine of its own: the run waits for no terminal.
type progressDisplay struct {
	lines    chan func(p *report.Progress)
	finished sync.WaitGroup
}

func newProgressDisplay(w io.Writer) *progressDisplay {
	v := &progressDisplay{lines: make(chan func(p *report.Progress), 64)}
	v.finished.Go(func() {
		p := report.NewProgress(w)
		for do := range v.lines {
			do(p)
		}
		p.Done()
	})
	return v
}

// showSnapshot shows how the run stands; it is skipped where the terminal is behind.
func (v *progressDisplay) showSnapshot(t *score.Snapshot) {
	now := *t
	now.Faults = append([]string(nil), t.Faults...)
	select {
	case v.lines <- func(p *report.Progress) { p.Show(&now) }:
	default:
	}
}

// printLine writes a line between those of progress.
func (v *progressDisplay) printLine(w io.Writer, line string) {
	select {
	case v.lines <- func(p *report.Progress) { p.Done(); fmt.Fprintln(w, line) }:
	default:
	}
}

func (v *progressDisplay) close() {
	close(v.lines)
	v.finished.Wait()
}

type demoCommand struct {
	Stay   bool   `name:"stay" help:"Keep everything up at the end, with lines to try, until interrupted."`
	Binary string `name:"binary" help:"The scheduler's program. Default: valvecove beside this one, or else built." type:"path"`
	Seed   uint64 `name:"seed" help:"Seed." default:"1"`
	Length string `name:"length" help:"How long jobs come for." default:"20s"`
	outputFlags
}

// Run plays the library's demo, live.
func (c *demoCommand) Run(ctx context.Context, streams *streams) error {
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
	fmt.Fprintf(streams.errors, "%s\n%d worker nodes, %d scheduler, jobs for %s; everything is on 127.0.0.0/8 and ends with this.\n\n",
		spec.Description, spec.Fleet.Workers, spec.Schedulers.Count, c.Length)
	show := newProgressDisplay(streams.errors)
	var played *experiment.RunResult
	var places process.Addresses
	job := experiment.Job{
		Spec: spec, Seed: c.Seed, Driver: scenario.DriverProcess,
		Subject: experiment.Subject{Name: "valvecove", Binary: path}, OnSnapshot: show.showSnapshot,
		Observer: func(x *trace.Event) {
			if line := describeEvent(x); line != "" {
				show.printLine(streams.errors, line)
			}
		},
		Process: process.Options{StayOpen: c.Stay, Guests: c.Stay, OnStart: func(p process.Addresses) { places = p }},
	}
	if c.Stay {
		job.Observer = c.staying(job.Observer, show, streams, &places, spec)
	}
	played, err = experiment.Run(ctx, job)
	show.close()
	if err != nil {
		return err
	}
	played.Document.Build = buildName()
	if err := c.writeResult(played, streams); err != nil {
		return err
	}
	return verdictError(played)
}

// staying has the lines to try shown once the last job fell due and was settled.
func (c *demoCommand) staying(also trace.Observer, progressDisplay *progressDisplay, s *streams, places *process.Addresses, spec *scenario.Scenario) trace.Observer {
	open, reported := 0, false
	return func(x *trace.Event) {
		also(x)
		switch x.Kind {
		case trace.JobDue:
			open++
		case trace.JobSettled:
			open--
		}
		if !reported && open == 0 && x.At >= spec.Length.Std() {
			reported = true
			progressDisplay.printLine(s.errors, demoInstructions(places, spec))
		}
	}
}

// demoInstructions are commands to try on a run that stays.
func demoInstructions(places *process.Addresses, spec *scenario.Scenario) string {
	text := "\nIt stays up until you interrupt it (Ctrl-C), and is judged then. Try:\n\n"
	if len(places.Schedulers) > 0 {
		at := places.Schedulers[0]
		class, tenant := spec.Classes[0].Name, spec.Tenants[0].Name
		text += fmt.Sprintf("  curl -i http://%s/up\n", at)
		text += fmt.Sprintf("  curl -i -X POST http://%s/%s/42 -H 'X-Call-Id: 00000000000000a1' -H 'X-Call-Class: %s' "+
			"-H 'X-Caller: %s' -H 'X-Budget-Ms: %d' -d 'hello'\n", at, class, class, tenant,
			spec.Classes[0].Deadline.Std().Milliseconds()) // less looks like a client's later try, whose aim is past
	}
	if len(places.Discovery) > 0 {
		text += fmt.Sprintf("  curl http://%s/discovery/hosts\n", places.Discovery[0])
	}
	return text
}

// describeEvent is a line about what a newcomer wants to hear of; empty: nothing.
func describeEvent(event *trace.Event) string {
	instant := fmt.Sprintf("%6.2fs  ", event.At.Seconds())
	switch event.Kind {
	case trace.SchedulerStarted:
		return instant + fmt.Sprintf("scheduler %d starts", event.Scheduler)
	case trace.SchedulerReady:
		return instant + fmt.Sprintf("scheduler %d is ready: GET /up answers 200", event.Scheduler)
	case trace.FaultStarted:
		return instant + "fault: " + event.Text
	case trace.FaultEnded:
		return instant + "over: " + event.Text
	case trace.WorkerStopped:
		return instant + fmt.Sprintf("worker node w-%d is down", event.Worker)
	case trace.WorkerStarted:
		if event.At > time.Second {
			return instant + fmt.Sprintf("worker node w-%d is up again, cold", event.Worker)
		}
	case trace.DrainNotified:
		return instant + fmt.Sprintf("scheduler %d hears that w-%d is gone or drains", event.Scheduler, event.Worker)
	}
	return ""
}
