package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/starvation"
)

// Search looks for runs that go badly: scenarios and seeds drawn at random, each compared with a baseline policy that sees
// everything. The i-th draw follows from Seed and i alone, so that a longer search finds all that a shorter one did.
type Search struct {
	Seed        uint64
	Subject     Subject
	Baseline    string // the baseline policy; empty: all-seeing
	Keep        int    // so many of the worst; 0: eight
	Parallelism int    // runs at once; 0: as many as there are processors
	MaxRuns     int    // draws; 0: until the context ends
	// Starvation looks for starvation (package starvation) and broken rules in runs drawn more widely, and for no regret: no
	// baseline is run.
	Starvation bool

	trim func(spec *scenario.Scenario) // changes each draw; nil: nothing does
}

// Defaults of a search.
const (
	defaultBaseline = "all-seeing"
	defaultKeep     = 8
)

// drawsPerWorker are evaluated between two looks at what to keep.
const drawsPerWorker = 8

// SearchResult is what a search found.
type SearchResult struct {
	Runs       int
	Violations int // runs that broke a rule or stopped
	Worst      []Finding
	Mean       float64 // of the regret

	totalRegret float64
}

// Run searches until the context ends or all draws are made, and minimises what it keeps. It calls onFinding, unless that
// is nil, with each new finding and the number of runs so far.
func (s *Search) Run(ctx context.Context, onFinding func(finding *Finding, runs int)) (*SearchResult, error) {
	parallelism := s.Parallelism
	if parallelism <= 0 {
		parallelism = runtime.GOMAXPROCS(0)
	}
	result := &SearchResult{}
	for first := 0; ctx.Err() == nil && (s.MaxRuns == 0 || first < s.MaxRuns); {
		count := drawsPerWorker * parallelism
		if s.MaxRuns > 0 {
			count = min(count, s.MaxRuns-first)
		}
		findings, err := s.evaluateDraws(ctx, first, count, parallelism)
		if err != nil && ctx.Err() == nil {
			return result, err
		}
		for _, finding := range findings {
			isKept, err := s.record(ctx, result, finding)
			if err != nil {
				return result, err
			}
			if isKept && onFinding != nil {
				onFinding(finding, result.Runs)
			}
		}
		first += count
		result.Mean = result.totalRegret / float64(max(1, result.Runs))
	}
	return result, nil
}

// evaluateDraws evaluates consecutive draws. Those that the end of the context left out are missing.
func (s *Search) evaluateDraws(ctx context.Context, first, count, parallelism int) ([]*Finding, error) {
	findings := make([]*Finding, count)
	err := inParallel(ctx, parallelism, count, func(i int) error {
		finding, err := s.evaluate(context.WithoutCancel(ctx), s.Draw(first+i), first+i)
		findings[i] = finding
		return err
	})
	return slices.DeleteFunc(findings, func(finding *Finding) bool { return finding == nil }), err
}

// record counts a finding. It minimises one that may be kept, and reports whether it was.
func (s *Search) record(ctx context.Context, result *SearchResult, finding *Finding) (isKept bool, err error) {
	result.Runs++
	result.totalRegret += finding.Regret()
	if finding.Rule != "" || finding.Error != "" {
		result.Violations++
	}
	limit := s.Keep
	if limit <= 0 {
		limit = defaultKeep
	}
	if !result.mayKeep(finding, limit) {
		return false, nil
	}
	if err := s.minimise(ctx, finding); err != nil {
		return false, err
	}
	return result.keep(finding, limit), nil
}

// mayKeep reports whether a finding, before it is minimised, may come among those kept: the first of each kind that stopped
// or broke a rule, and of the others those worse than the least bad one.
func (r *SearchResult) mayKeep(finding *Finding, limit int) bool {
	badness := finding.badness()
	if badness >= badnessViolation {
		return r.indexOfKind(finding.kind()) < 0
	}
	if badness <= minRegret {
		return false
	}
	return len(r.Worst) < limit || badness > r.Worst[len(r.Worst)-1].badness()
}

// keep puts a minimised finding among the worst, of which there is one of each kind, and reports whether it is there.
func (r *SearchResult) keep(finding *Finding, limit int) bool {
	if i := r.indexOfKind(finding.kind()); i >= 0 {
		if r.Worst[i].badness() >= finding.badness() {
			return false
		}
		r.Worst = slices.Delete(r.Worst, i, i+1)
	}
	r.Worst = append(r.Worst, *finding)
	slices.SortStableFunc(r.Worst, func(a, b Finding) int { return cmp.Compare(b.badness(), a.badness()) })
	// All violations are kept; of the others, the worst.
	for len(r.Worst) > limit && r.Worst[len(r.Worst)-1].badness() < badnessViolation {
		r.Worst = r.Worst[:len(r.Worst)-1]
	}
	return slices.ContainsFunc(r.Worst, func(kept Finding) bool { return kept.Spec == finding.Spec })
}

// indexOfKind is the place of the finding of a kind among the worst; -1: there is none.
func (r *SearchResult) indexOfKind(kind string) int {
	return slices.IndexFunc(r.Worst, func(kept Finding) bool { return kept.kind() == kind })
}

// evaluate runs a scenario, and the baseline beside it.
func (s *Search) evaluate(ctx context.Context, spec *scenario.Scenario, draw int) (*Finding, error) {
	finding := &Finding{Spec: spec, DrawNumber: draw, Drawn: len(spec.Faults), Faults: len(spec.Faults)}
	job := Job{
		Spec: spec, Seed: uint64(spec.Seed), Driver: scenario.DriverSimulation, Subject: s.Subject,
		Starvation: s.Starvation,
	}
	result, err := Run(ctx, job)
	if err != nil { // it is what the search looks for
		finding.Error = err.Error()
		return finding, nil
	}
	finding.Rule = firstViolated(result)
	if s.Starvation {
		finding.StarvationCount = result.Starvation.Count()
		if finding.StarvationCount > 0 && finding.Rule == "" {
			finding.Rule = starvation.Rule
		}
		return finding, nil
	}
	finding.Value = result.Result().Value.Mix
	policy := s.Baseline
	if policy == "" {
		policy = defaultBaseline
	}
	job.Subject = Subject{Name: policy, Policy: policy}
	job.Unchecked = true
	baselineResult, err := Run(ctx, job)
	if err != nil {
		return nil, err
	}
	finding.BaselineValue = baselineResult.Result().Value.Mix
	return finding, nil
}

// firstViolated is the first rule that a run broke; empty: it broke none.
func firstViolated(result *RunResult) string {
	for _, rule := range result.Verdict.Rules {
		if rule.Violated > 0 {
			return rule.Rule
		}
	}
	return ""
}

// Finding is a run that went badly.
type Finding struct {
	Spec            *scenario.Scenario // its Seed is the run's
	Rule            string             // that was broken, or starvation.Rule; empty: none was
	StarvationCount int                // attempts that starved
	Value           float64            // mixed value of the run
	BaselineValue   float64            // mixed value of the baseline
	Faults          int                // of those drawn, still in Spec
	Drawn           int                // faults that were drawn
	DrawNumber      int
	Error           string // that ended the run; empty: it went on to its end
}

// Regret is how far the run stayed below the baseline, 0 or more.
func (f *Finding) Regret() float64 { return math.Max(0, f.BaselineValue-f.Value) }

// Description says what is bad about the finding.
func (f *Finding) Description() string {
	switch {
	case f.Error != "":
		return "it stopped: " + firstLine(f.Error)
	case f.Rule == starvation.Rule:
		return fmt.Sprintf("%d requests starved", f.StarvationCount)
	case f.Rule != "":
		return "rule " + f.Rule + " broken"
	}
	return fmt.Sprintf("worth %.3f where %.3f can be had", f.Value, f.BaselineValue)
}

// File is the finding as a scenario file that runs it again.
func (f *Finding) File() []byte {
	comment := fmt.Sprintf("# Kept by a search: %s. Draw %d, %d of %d faults left.\n", f.Description(), f.DrawNumber, f.Faults, f.Drawn)
	return append([]byte(comment), scenario.Encode(f.Spec)...)
}

// kind classifies findings, of which only the worst of a kind is kept: by the rule broken, or by the kinds of faults.
func (f *Finding) kind() string {
	if f.Error != "" {
		return "!" + firstLine(f.Error)
	}
	if f.Rule != "" && f.Rule != starvation.Rule {
		return "rule " + f.Rule
	}
	var kinds []string
	for _, fault := range f.Spec.Faults {
		if !slices.Contains(kinds, fault.Kind) {
			kinds = append(kinds, fault.Kind)
		}
	}
	slices.Sort(kinds)
	return f.Rule + " " + strings.Join(kinds, "+")
}

// Badness of findings. That of a finding without violations is its regret, at most 1.
const (
	badnessStopped   = 3
	badnessViolation = 2
	minRegret        = 0.05 // of a finding that is kept
)

// badness orders findings: runs that stopped, then violations, then regret.
func (f *Finding) badness() float64 {
	switch {
	case f.Error != "":
		return badnessStopped
	case f.Rule != "":
		return badnessViolation
	}
	return f.Regret()
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
