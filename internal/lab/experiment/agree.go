package experiment

import (
	"context"
	"fmt"
	"math"
	"strings"

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/score"
)

// Agreement is scenarios played by both drivers, on the same seeds.
type Agreement struct {
	Specs       []*scenario.Scenario
	Seeds       []uint64 // of the live plays
	MoreVirtual int      // further seeds in virtual time, which cost little, for its spread
	LiveAt      int      // live plays at once; default 1. Those that were late are void
	Subject     Subject
	Job         Job
}

// AgreeOn are the figures that are set side by side.
var AgreeOn = []string{"in_time", "served", "refused", "failed", "unanswered", "lost"}

// Allowance is what live and virtual may differ by beyond three times the spread of single virtual plays: what the
// model leaves out (time to decide, parse and write, the kernel's scheduling) may cost as much.
const Allowance = 0.03

// Both is one figure of a scenario under both drivers.
type Both struct {
	Figure  string  `json:"figure"`
	Virtual Cell    `json:"virtual"`
	Live    Cell    `json:"live"`
	Bound   float64 `json:"bound"` // on the difference of the means
	Within  bool    `json:"within"`
}

// Agreed is a scenario's line.
type Agreed struct {
	Scenario string `json:"scenario"`
	Figures  []Both `json:"figures"`
	Void     int    `json:"void"` // live plays that are no result
	Broken   int    `json:"rules_broken"`
}

// Within tells whether all figures are.
func (a *Agreed) Within() bool {
	for _, f := range a.Figures {
		if !f.Within {
			return false
		}
	}
	return true
}

// Run plays them: virtual ones first.
func (a *Agreement) Run(ctx context.Context, told func(done, of int)) ([]Agreed, error) {
	var virtual, lives []Job
	for _, spec := range a.Specs {
		for _, seed := range append(a.Seeds[:len(a.Seeds):len(a.Seeds)], Seeds(1<<40, a.MoreVirtual)...) {
			virtual = append(virtual, Job{Spec: spec, Seed: seed, Driver: scenario.Virtual, Subject: a.Subject})
		}
		for _, seed := range a.Seeds {
			job := a.Job
			job.Spec, job.Seed, job.Driver, job.Subject = spec, seed, scenario.Live, a.Subject
			lives = append(lives, job)
		}
	}
	of, done := len(virtual)+len(lives), 0
	tick := func() {
		if done++; told != nil {
			told(done, of)
		}
	}
	agreed := make([]Agreed, len(a.Specs))
	results := make([][2][]*score.Result, len(a.Specs))
	collect := func(which, each, at int, jobs []Job) error {
		return Batch(ctx, jobs, at, func(i int, p *Played) error {
			tick()
			line := &agreed[i/each]
			line.Broken += p.Broken()
			if p.Void() != "" {
				line.Void++
				return nil
			}
			results[i/each][which] = append(results[i/each][which], p.Result())
			return nil
		})
	}
	if err := collect(0, len(a.Seeds)+a.MoreVirtual, 0, virtual); err != nil {
		return nil, err
	}
	if err := collect(1, len(a.Seeds), max(1, a.LiveAt), lives); err != nil {
		return nil, err
	}
	for i, spec := range a.Specs {
		agreed[i].Scenario = spec.Name
		for _, name := range AgreeOn {
			h, ok := score.HeadlineOf(name)
			if !ok {
				return nil, fmt.Errorf("no figure is called %s", name)
			}
			both := Both{Figure: name, Virtual: cell(h.Each(results[i][0])), Live: cell(h.Each(results[i][1]))}
			if both.Live.Plays == 0 || both.Virtual.Plays == 0 {
				agreed[i].Figures = append(agreed[i].Figures, both) // nothing to compare
				continue
			}
			both.Bound = 3*both.Virtual.SD/math.Sqrt(float64(max(1, both.Live.Plays))) + Allowance
			both.Within = math.Abs(both.Virtual.Mean-both.Live.Mean) <= both.Bound
			agreed[i].Figures = append(agreed[i].Figures, both)
		}
	}
	return agreed, nil
}

// AgreeMarkdown writes the table as the docs have it.
func AgreeMarkdown(table []Agreed) string {
	var b strings.Builder
	b.WriteString("| scenario |")
	for _, f := range AgreeOn {
		b.WriteString(" " + f + " virtual / live |")
	}
	b.WriteString(" agree |\n| --- |" + strings.Repeat(" --- |", len(AgreeOn)+1) + "\n")
	for _, line := range table {
		fmt.Fprintf(&b, "| %s |", line.Scenario)
		for _, f := range line.Figures {
			mark := ""
			if !f.Within {
				mark = " **!**"
			}
			fmt.Fprintf(&b, " %s / %s%s |", f.Virtual, f.Live, mark)
		}
		word := "yes"
		if !line.Within() {
			word = "no"
		}
		if line.Void > 0 {
			word += fmt.Sprintf(", %d void", line.Void)
		}
		b.WriteString(" " + word + " |\n")
	}
	return b.String()
}
