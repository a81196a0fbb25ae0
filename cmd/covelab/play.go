package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"valvecove/internal/lab/experiment"
	"valvecove/internal/lab/live"
	"valvecove/internal/lab/report"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/score"
	"valvecove/internal/lab/seen"
)

// output is where a play's report goes.
type output struct {
	JSON   string `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, with nothing else there." placeholder:"FILE" optional:""`
	Report string `name:"report" help:"Write the report into this folder: index.html, which needs no network, figures.json and scenario.toml." placeholder:"DIR" type:"path"`
}

func (o *output) write(p *experiment.Played, s *streams) error {
	if o.Report != "" {
		if err := save(o.Report, "index.html", func(w io.Writer) error { return report.WriteHTML(w, p.Doc) }); err != nil {
			return err
		}
		if err := save(o.Report, "figures.json", func(w io.Writer) error { return report.WriteJSON(w, p.Doc) }); err != nil {
			return err
		}
		text := []byte(p.Doc.Scenario)
		if err := save(o.Report, "scenario.toml", func(w io.Writer) error { _, err := w.Write(text); return err }); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := saveJSON(o.JSON, p.Doc, s); err != nil {
			return err
		}
	}
	if o.JSON == "-" {
		return nil
	}
	if err := report.Page(s.out, p.Result(), p.Doc.Verdict, p.Doc.Met); err != nil {
		return err
	}
	if v := p.Starved; v != nil {
		fmt.Fprintf(s.out, "starvation: %v\n", v)
		for _, x := range v.Cases {
			fmt.Fprintf(s.out, "  %9.3f  %s\n", x.At.Seconds(), x.Text)
		}
	}
	stories(s.out, p)
	if o.Report != "" {
		fmt.Fprintf(s.out, "report: %s\n", filepath.Join(o.Report, "index.html"))
	}
	return nil
}

// mostStories are told on the terminal; the report has all that the judge kept.
const mostStories = 3

// stories writes the whole story of the first broken rules, in order of time, one of each rule before a second.
func stories(w io.Writer, p *experiment.Played) {
	told := map[string]int{}
	shown := 0
	for round := 0; round < mostStories && shown < mostStories; round++ {
		for _, b := range p.Judged.Broken {
			if told[b.Rule] == round && shown < mostStories {
				told[b.Rule]++
				shown++
				fmt.Fprintf(w, "\n%v\n", b)
			}
		}
	}
	if more := p.Broken() - shown; shown > 0 && more > 0 {
		fmt.Fprintf(w, "\n… and %d more; --json and --report have the stories of the first of each rule\n", more)
	}
}

// verdict is a play's exit code.
func verdict(p *experiment.Played) error {
	switch {
	case p.Void() != "":
		return exit(exitVoid)
	case p.Broken() > 0 || !p.Met():
		return exit(exitOther)
	}
	return nil
}

type play struct {
	Scenario string `arg:"" name:"scenario" optional:"" help:"Name, file or -."`
	From     string `name:"from" help:"Play a kept file again, exactly: with the seed that it names." placeholder:"FILE" type:"existingfile"`
	Driver   string `name:"driver" help:"virtual or live." enum:"virtual,live" default:"virtual"`
	Seed     uint64 `name:"seed" help:"Seed; 0: that of the scenario, or else 1." default:"0"`
	Mutant   string `name:"mutant" help:"Put a seeded fault before each scheduler; virtual only. See covelab mutants."`
	Starve   bool   `name:"starve" help:"Look for tries that wait or are refused while worker nodes are idle."`
	Quiet    bool   `name:"quiet" short:"q" help:"No progress."`
	Logs     string `name:"logs" help:"Keep the schedulers' configuration and logs in this folder; live only." type:"path"`
	subject
	output
}

// Run plays it.
func (c *play) Run(ctx context.Context, s *streams) error {
	if (c.Scenario == "") == (c.From == "") {
		return fmt.Errorf("play needs a scenario, or --from FILE")
	}
	name := c.Scenario
	if c.From != "" {
		if name = c.From; filepath.Base(name) == name {
			name = "." + string(os.PathSeparator) + name
		}
	}
	spec, err := open(name, s)
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
		Spec: spec, Seed: seed, Driver: c.Driver, Starve: c.Starve,
		Subject: experiment.Subject{Name: c.Policy, Policy: c.Policy, Mutant: c.Mutant, Set: c.Set, Binary: c.Binary},
	}
	if c.Driver == scenario.Live {
		job.Subject.Name, job.Subject.Policy = "valvecove", ""
	}
	done, err := prepare(ctx, &job, c.Logs, s)
	if err != nil {
		return err
	}
	defer done()
	if !c.Quiet && c.JSON != "-" && c.Driver == scenario.Live {
		show := newShow(s.err)
		defer show.close()
		job.Tally = show.tally
	}
	p, err := experiment.Run(ctx, job)
	if err != nil {
		return err
	}
	p.Doc.Build = build() + ", " + p.Doc.Build
	if err := c.write(p, s); err != nil {
		return err
	}
	return verdict(p)
}

// show writes a live play's progress from a goroutine of its own: the play waits for no terminal.
type show struct {
	lines    chan func(p *report.Progress)
	finished sync.WaitGroup
}

func newShow(w io.Writer) *show {
	v := &show{lines: make(chan func(p *report.Progress), 64)}
	v.finished.Go(func() {
		p := report.NewProgress(w)
		for do := range v.lines {
			do(p)
		}
		p.Done()
	})
	return v
}

// tally shows how the play stands; it is skipped where the terminal is behind.
func (v *show) tally(t *score.Tally) {
	now := *t
	now.Faults = append([]string(nil), t.Faults...)
	select {
	case v.lines <- func(p *report.Progress) { p.Show(&now) }:
	default:
	}
}

// say writes a line between those of progress.
func (v *show) say(w io.Writer, line string) {
	select {
	case v.lines <- func(p *report.Progress) { p.Done(); fmt.Fprintln(w, line) }:
	default:
	}
}

func (v *show) close() {
	close(v.lines)
	v.finished.Wait()
}

type demo struct {
	Stay   bool   `name:"stay" help:"Keep everything up at the end, with lines to try, until interrupted."`
	Binary string `name:"binary" help:"The scheduler's program. Default: valvecove beside this one, or else built." type:"path"`
	Seed   uint64 `name:"seed" help:"Seed." default:"1"`
	Length string `name:"length" help:"How long jobs come for." default:"20s"`
	output
}

// Run plays the library's demo, live.
func (c *demo) Run(ctx context.Context, s *streams) error {
	spec, err := open("demo", s)
	if err != nil {
		return err
	}
	if err := spec.Set("length", fmt.Sprintf("%q", c.Length)); err != nil {
		return fmt.Errorf("--length: %w", err)
	}
	path, remove, err := binary(ctx, c.Binary, s)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Fprintf(s.err, "%s\n%d worker nodes, %d scheduler, jobs for %s; everything is on 127.0.0.0/8 and ends with this.\n\n",
		spec.About, spec.Fleet.Nodes, spec.Schedulers.Count, c.Length)
	show := newShow(s.err)
	var played *experiment.Played
	var places live.Places
	job := experiment.Job{
		Spec: spec, Seed: c.Seed, Driver: scenario.Live,
		Subject: experiment.Subject{Name: "valvecove", Binary: path}, Tally: show.tally,
		Watch: func(x *seen.Sight) {
			if line := told(x); line != "" {
				show.say(s.err, line)
			}
		},
		Live: live.Options{Stay: c.Stay, Guests: c.Stay, Begun: func(p live.Places) { places = p }},
	}
	if c.Stay {
		job.Watch = c.staying(job.Watch, show, s, &places, spec)
	}
	played, err = experiment.Run(ctx, job)
	show.close()
	if err != nil {
		return err
	}
	played.Doc.Build = build()
	if err := c.write(played, s); err != nil {
		return err
	}
	return verdict(played)
}

// staying has the lines to try shown once the last job fell due and was settled.
func (c *demo) staying(also seen.Watcher, v *show, s *streams, places *live.Places, spec *scenario.Scenario) seen.Watcher {
	open, said := 0, false
	return func(x *seen.Sight) {
		also(x)
		switch x.What {
		case seen.Due:
			open++
		case seen.Settled:
			open--
		}
		if !said && open == 0 && x.At >= spec.Length.D() {
			said = true
			v.say(s.err, tries(places, spec))
		}
	}
}

// tries are commands to try on a play that stays.
func tries(places *live.Places, spec *scenario.Scenario) string {
	text := "\nIt stays up until you interrupt it (Ctrl-C), and is judged then. Try:\n\n"
	if len(places.Schedulers) > 0 {
		at := places.Schedulers[0]
		class, tenant := spec.Classes[0].Name, spec.Tenants[0].Name
		text += fmt.Sprintf("  curl -i http://%s/up\n", at)
		text += fmt.Sprintf("  curl -i -X POST http://%s/%s/42 -H 'X-Call-Id: 00000000000000a1' -H 'X-Call-Class: %s' "+
			"-H 'X-Caller: %s' -H 'X-Budget-Ms: %d' -d 'hello'\n", at, class, class, tenant,
			spec.Classes[0].Deadline.D().Milliseconds()) // less looks like a client's later try, whose aim is past
	}
	if len(places.Discovery) > 0 {
		text += fmt.Sprintf("  curl http://%s/discovery/hosts\n", places.Discovery[0])
	}
	return text
}

// told is a line about what a newcomer wants to hear of; empty: nothing.
func told(x *seen.Sight) string {
	at := fmt.Sprintf("%6.2fs  ", x.At.Seconds())
	switch x.What {
	case seen.SchedUp:
		return at + fmt.Sprintf("scheduler %d starts", x.Sched)
	case seen.SchedReady:
		return at + fmt.Sprintf("scheduler %d is ready: GET /up answers 200", x.Sched)
	case seen.FaultOn:
		return at + "fault: " + x.Text
	case seen.FaultOff:
		return at + "over: " + x.Text
	case seen.NodeDown:
		return at + fmt.Sprintf("worker node w-%d is down", x.Node)
	case seen.NodeUp:
		if x.At > time.Second {
			return at + fmt.Sprintf("worker node w-%d is up again, cold", x.Node)
		}
	case seen.Drained:
		return at + fmt.Sprintf("scheduler %d hears that w-%d is gone or drains", x.Sched, x.Node)
	}
	return ""
}
