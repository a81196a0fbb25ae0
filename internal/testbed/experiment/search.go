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

// Search looks for bad runs: it draws scenarios and seeds at random, and compares each run with one of a baseline policy, which
// by default knows the whole state of the fleet. The i-th draw depends on Seed and i alone, so a longer search makes all the
// draws of a shorter one.
type Search struct {
	Seed        uint64
	Subject     Subject
	Baseline    string // the baseline policy; empty: all-seeing
	Keep        int    // how many of the worst to keep; 0: eight
	Parallelism int    // runs at once; 0: as many as there are processors
	MaxRuns     int    // maximum number of draws; 0: until the context ends
	// Starvation makes the search look for starvation (package starvation) and broken rules, in scenarios from a wider range. It
	// does not look for regret then, and runs no baseline.
	Starvation bool

	adjustDraw func(spec *scenario.Scenario) // if not nil, changes each drawn scenario
}

// Defaults of a search.
const (
	defaultBaseline = "all-seeing"
	defaultKeep     = 8
)

// drawsPerWorker is how many draws per worker goroutine are evaluated before the search decides which of them to keep.
const drawsPerWorker = 8

// SearchResult is what a search found.
type SearchResult struct {
	Runs       int
	Violations int // runs that broke a rule or ended with an error
	Worst      []Finding
	MeanRegret float64 // mean regret of all runs

	totalRegret float64
}

// Run searches until the context ends or all draws are made, and minimises the findings that it keeps. It calls onFinding,
// unless that is nil, with each finding that it keeps and the number of runs so far.
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
		result.MeanRegret = result.totalRegret / float64(max(1, result.Runs))
	}
	return result, nil
}

// evaluateDraws evaluates consecutive draws. When the context ends, it leaves out those that it has not begun.
func (s *Search) evaluateDraws(ctx context.Context, first, count, parallelism int) ([]*Finding, error) {
	findings := make([]*Finding, count)
	err := inParallel(ctx, parallelism, count, func(i int) error {
		finding, err := s.evaluate(context.WithoutCancel(ctx), s.Draw(first+i), first+i)
		findings[i] = finding
		return err
	})
	return slices.DeleteFunc(findings, func(finding *Finding) bool { return finding == nil }), err
}

// record counts a finding, minimises it if it may be kept, and reports whether it was kept.
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

// mayKeep reports whether a finding, before it is minimised, may be among those kept. Of the findings that ended with an error or
// broke a rule, that is the first of each kind; of the others, those that are worse than the least bad one kept.
func (r *SearchResult) mayKeep(finding *Finding, limit int) bool {
	severity := finding.severity()
	if severity >= severityViolation {
		return r.indexOfKind(finding.kind()) < 0
	}
	if severity <= minRegret {
		return false
	}
	return len(r.Worst) < limit || severity > r.Worst[len(r.Worst)-1].severity()
}

// keep adds a minimised finding to the worst ones, which have one finding of each kind, and reports whether it was kept.
func (r *SearchResult) keep(finding *Finding, limit int) bool {
	if i := r.indexOfKind(finding.kind()); i >= 0 {
		if r.Worst[i].severity() >= finding.severity() {
			return false
		}
		r.Worst = slices.Delete(r.Worst, i, i+1)
	}
	r.Worst = append(r.Worst, *finding)
	slices.SortStableFunc(r.Worst, func(a, b Finding) int { return cmp.Compare(b.severity(), a.severity()) })
	// All violations are kept; of the others, the worst.
	for len(r.Worst) > limit && r.Worst[len(r.Worst)-1].severity() < severityViolation {
		r.Worst = r.Worst[:len(r.Worst)-1]
	}
	return slices.ContainsFunc(r.Worst, func(kept Finding) bool { return kept.Spec == finding.Spec })
}

// indexOfKind returns the index in Worst of the finding of a kind, or -1.
func (r *SearchResult) indexOfKind(kind string) int {
	return slices.IndexFunc(r.Worst, func(kept Finding) bool { return kept.kind() == kind })
}

// evaluate runs a scenario with the subject and, unless the search is for starvation, with the baseline.
func (s *Search) evaluate(ctx context.Context, spec *scenario.Scenario, draw int) (*Finding, error) {
	finding := &Finding{Spec: spec, DrawNumber: draw, DrawnFaults: len(spec.Faults), RemainingFaults: len(spec.Faults)}
	job := Job{
		Spec: spec, Seed: uint64(spec.Seed), Driver: scenario.DriverSimulation, Subject: s.Subject,
		Starvation: s.Starvation,
	}
	result, err := Run(ctx, job)
	if err != nil { // an error is a finding, not a failure of the search
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

// firstViolated returns the first rule that a run broke, or "" if it broke none.
func firstViolated(result *RunResult) string {
	for _, rule := range result.Verdict.Rules {
		if rule.Violated > 0 {
			return rule.Rule
		}
	}
	return ""
}

// Finding is a bad run.
type Finding struct {
	Spec            *scenario.Scenario // its Seed is the run's
	Rule            string             // the broken rule, or starvation.Rule; empty: none
	StarvationCount int                // number of requests that starved
	Value           float64            // mixed value of the run
	BaselineValue   float64            // mixed value of the baseline
	RemainingFaults int                // number of the drawn faults that are still in Spec
	DrawnFaults     int                // number of faults in the draw
	DrawNumber      int
	Error           string // the error that ended the run; empty: it reached its end
}

// Regret returns by how much the run's value is below the baseline's; 0 if it is not.
func (f *Finding) Regret() float64 { return math.Max(0, f.BaselineValue-f.Value) }

// Description returns what is bad about the finding.
func (f *Finding) Description() string {
	switch {
	case f.Error != "":
		return "the run failed: " + firstLine(f.Error)
	case f.Rule == starvation.Rule:
		return fmt.Sprintf("%d requests starved", f.StarvationCount)
	case f.Rule != "":
		return "rule " + f.Rule + " broken"
	}
	return fmt.Sprintf("value %.3f, the baseline has %.3f", f.Value, f.BaselineValue)
}

// File returns the finding as a scenario file that repeats the run.
func (f *Finding) File() []byte {
	comment := fmt.Sprintf("# Kept by a search: %s. Draw %d, %d of %d faults left.\n", f.Description(), f.DrawNumber, f.RemainingFaults, f.DrawnFaults)
	return append([]byte(comment), scenario.Encode(f.Spec)...)
}

// kind classifies findings by the error, the rule broken, or the kinds of faults. Only the worst finding of a kind is kept.
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

// Severity of findings. That of a finding without an error or a broken rule is its regret, at most 1.
const (
	severityError     = 3
	severityViolation = 2
	minRegret         = 0.05 // a finding with no more than this regret is not kept
)

// severity orders findings: runs that ended with an error are the worst, then broken rules, then regret.
func (f *Finding) severity() float64 {
	switch {
	case f.Error != "":
		return severityError
	case f.Rule != "":
		return severityViolation
	}
	return f.Regret()
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
