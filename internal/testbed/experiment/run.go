// Package experiment plays scenarios, one or many, and says what came of them: single plays, comparisons paired by
// seed, sweeps, the two drivers side by side, baseline policies, and hunts for the runs that go worst. What it says of a
// virtual play follows from scenario, subject and seed alone, however many run at once.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/mutation"
	"valvecove/internal/testbed/process"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/starvation"
	"valvecove/internal/testbed/trace"
)

// PolicyDispatch is the name of the policy that is in service; the others are baseline policies.
const PolicyDispatch = "logic"

// ApertureSuffix behind a policy's name puts an aperture before each of its modules, and keys of its section in the
// operators' file may follow: "logic+aperture:least=20:cover=3".
const ApertureSuffix = "+aperture"

// Subject is what is put through a run.
type Subject struct {
	Name    string
	Policy  string   // Logic (or empty) or a baseline policy's name, and WithAperture where it has one; virtual only
	Mutant  string   // name of a seeded fault to put before each scheduler; virtual only; empty: none
	Set     []string // changes to the scenario, "key=value" with the value as TOML has it
	Binary  string   // the scheduler's program; live only
	Testbed string   // another build's valvecove-testbed, which plays in place of this one; virtual only
}

// Job is one run to be played.
type Job struct {
	Spec    *scenario.Scenario
	Seed    uint64
	Driver  string // scenario.Virtual or scenario.Live
	Subject Subject
	// Observer is told what was seen besides judge and score, in the run's own goroutine; nil: nobody.
	Observer trace.Observer
	// OnSnapshot is told how the run stands, in the run's own goroutine, at most once a second of it; nil: nobody.
	OnSnapshot func(t *score.Snapshot)
	// Unchecked leaves the checker out, where only speed or worth is asked for.
	Unchecked bool
	// Starvation has tries looked for that wait or are refused while workers are idle.
	Starvation bool
	Process    process.Options // Watch is overwritten
}

// RunResult is what came of a run.
type RunResult struct {
	Document   report.Document
	Verdict    checker.Verdict
	Starvation *starvation.Verdict // nil: not looked for
	Simulation *simulation.Outcome // of a virtual play
	Process    *process.Outcome    // of a live one
}

// Result is the run's figures.
func (p *RunResult) Result() *score.Result { return p.Document.Result }

// Violations is how often a rule was broken.
func (p *RunResult) Violations() int {
	n := 0
	for _, t := range p.Verdict.Rules {
		n += t.Violated
	}
	return n
}

// InvalidReason is why the run is no result; empty: it is one.
func (p *RunResult) InvalidReason() string {
	if p.Document.Verdict == nil {
		return ""
	}
	return p.Document.Verdict.Invalid
}

// MeetsExpectations tells whether all expectations were met, the run being a result.
func (p *RunResult) MeetsExpectations() bool {
	for _, m := range p.Document.Expectations {
		if !m.OK {
			return false
		}
	}
	return p.InvalidReason() == ""
}

// ApplyChanges returns a scenario with changes made to it, each "key=value".
func ApplyChanges(spec *scenario.Scenario, changes []string) (*scenario.Scenario, error) {
	if len(changes) == 0 {
		return spec, nil
	}
	spec = spec.Clone()
	for _, c := range changes {
		key, value, ok := splitChange(c)
		if !ok {
			return nil, fmt.Errorf("%q: expected key=value", c)
		}
		if err := spec.Set(key, value); err != nil {
			return nil, fmt.Errorf("%q: %w", c, err)
		}
	}
	return spec, nil
}

func splitChange(change string) (key, value string, ok bool) {
	for i := range change {
		if change[i] == '=' {
			return change[:i], change[i+1:], i > 0 && i < len(change)-1
		}
	}
	return "", "", false
}

// PolicyNames are the names that Subject.Policy may have.
func PolicyNames() []string {
	names := []string{PolicyDispatch}
	for _, p := range baseline.All() {
		names = append(names, p.Name)
	}
	return names
}

// ErrStopped is a run that a panic has ended.
var ErrStopped = errors.New("the play has panicked")

// Run plays one run. A panic in it, of the module or of the testbed, is an error that says which play it was.
func Run(ctx context.Context, job Job) (played *RunResult, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s, seed %d, %s: %v\n%s", ErrStopped, job.Spec.Name, job.Seed, job.Subject.Name, p, debug.Stack())
		}
	}()
	if job.Subject.Testbed != "" {
		return runOtherBuild(ctx, job)
	}
	spec, err := ApplyChanges(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	if !spec.SupportsDriver(job.Driver) {
		return nil, fmt.Errorf("%s is not for the %s driver", spec.Name, job.Driver)
	}
	b := newObservers(spec, job)
	played = &RunResult{}
	var late []string
	void := ""
	switch job.Driver {
	case scenario.DriverSimulation:
		opt, err := simulationOptions(spec, job.Subject)
		if err != nil {
			return nil, err
		}
		opt.Observers = b.list()
		if played.Simulation, err = simulation.Run(spec, job.Seed, opt); err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
		}
		late = simulation.Unsupported(spec)
	case scenario.DriverProcess:
		opt := job.Process
		if job.Subject.Binary != "" {
			opt.Binary = job.Subject.Binary
		}
		opt.Observer = b.observe
		if played.Process, err = process.Run(ctx, spec, job.Seed, opt); err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
		}
		late, void = played.Process.Unsupported, played.Process.Invalid
	default:
		return nil, fmt.Errorf("driver %q is neither %s nor %s", job.Driver, scenario.DriverSimulation, scenario.DriverProcess)
	}
	b.close(played, late, void)
	played.Document.Scenario = string(scenario.Encode(spec))
	played.Document.Build = job.Subject.Name
	return played, nil
}

// observers are the checker's and the score's of one run.
type observers struct {
	checker      *checker.Checker
	score        *score.Score
	extra        trace.Observer
	starvation   *starvation.Checker
	spec         *scenario.Scenario
	onSnapshot   func(t *score.Snapshot)
	snapshot     score.Snapshot
	nextSnapshot time.Duration
}

func newObservers(spec *scenario.Scenario, job Job) *observers {
	b := &observers{spec: spec, score: score.New(spec, score.Options{Seed: job.Seed, Driver: job.Driver}), extra: job.Observer, onSnapshot: job.OnSnapshot}
	if job.Starvation {
		b.starvation = starvation.New(spec)
	}
	if !job.Unchecked {
		b.checker = checker.New(spec, checker.Options{RealProcesses: job.Driver == scenario.DriverProcess})
	}
	return b
}

func (b *observers) list() []trace.Observer {
	all := []trace.Observer{b.score.Observe}
	if b.checker != nil {
		all = append(all, b.checker.Observe)
	}
	if b.starvation != nil {
		all = append(all, b.starvation.Observe)
	}
	if b.extra != nil {
		all = append(all, b.extra)
	}
	if b.onSnapshot != nil {
		all = append(all, b.tick)
	}
	return all
}

func (b *observers) observe(s *trace.Event) {
	for _, w := range b.list() {
		w(s)
	}
}

func (b *observers) tick(s *trace.Event) {
	if s.At >= b.nextSnapshot {
		b.nextSnapshot = s.At.Truncate(time.Second) + time.Second
		b.score.Snapshot(&b.snapshot)
		b.onSnapshot(&b.snapshot)
	}
}

// close takes the verdict and the figures. What either leaves out is said in one list.
func (b *observers) close(runResult *RunResult, unseen []string, void string) {
	result := b.score.Result()
	runResult.Document.Result = result
	if b.starvation != nil {
		v := b.starvation.Verdict()
		runResult.Starvation, runResult.Document.Starvation = &v, &v
	}
	if b.checker == nil {
		return
	}
	runResult.Verdict = b.checker.Verdict()
	v := &report.Verdict{Invalid: runResult.Verdict.Invalid, ViolationCount: runResult.Violations()}
	if void != "" {
		v.Invalid = void
	}
	v.NotChecked = append(append(v.NotChecked, unseen...), runResult.Verdict.NotChecked...)
	for _, x := range runResult.Verdict.Violations {
		v.Violations = append(v.Violations, report.Violation{Rule: x.Rule, At: x.At, Text: x.Text, Explanation: x.Explanation})
	}
	runResult.Document.Verdict = v
	runResult.Document.Expectations = score.Check(b.spec.Expectations(), result, runResult.Violations())
}

// simulationOptions is what a subject means to the virtual driver.
func simulationOptions(spec *scenario.Scenario, subject Subject) (simulation.Options, error) {
	var opt simulation.Options
	name, narrowed, err := apertureOf(spec, subject.Policy)
	if err != nil {
		return opt, err
	}
	if name != "" && name != PolicyDispatch {
		policy, ok := baseline.Find(name)
		if !ok {
			return opt, fmt.Errorf("policy %q is none of %v", name, PolicyNames())
		}
		maker := policy.ForRun()
		opt.Module = func(set dispatch.Settings, seed uint64, o baseline.Oracle) requests.Policy {
			return maker(set, seed, o)
		}
	}
	if subject.Mutant != "" {
		all := mutation.All()
		i := slices.IndexFunc(all, func(m mutation.Mutant) bool { return m.Name == subject.Mutant })
		if i < 0 {
			return opt, fmt.Errorf("mutant %q is not known", subject.Mutant)
		}
		m := all[i]
		if m.Wrap != nil {
			opt.Wrap = func(e simapi.Scheduler) simapi.Scheduler { return m.Wrap(spec, e) }
		}
		if m.Policy != nil {
			opt.Module = func(set dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
				return m.Policy(set, seed)
			}
		}
	}
	if inner := opt.Module; narrowed != nil {
		opt.Module = func(set dispatch.Settings, seed uint64, o baseline.Oracle) requests.Policy {
			m := requests.Policy(dispatch.New(set, seed))
			if inner != nil {
				m = inner(set, seed, o)
			}
			if !narrowed.Enabled(set.Replicas) {
				return m
			}
			return aperture.New(m, set, *narrowed)
		}
	}
	return opt, nil
}

// apertureOf finds a policy's own name, and its aperture: as it is asked for there, or by the scenario's operators'
// file; nil: there is none.
func apertureOf(spec *scenario.Scenario, policy string) (name string, conf *aperture.Config, err error) {
	name, keys, sent := strings.Cut(policy, ApertureSuffix)
	text := spec.Schedulers.OperationsFile
	if sent {
		if keys != "" && keys[0] != ':' {
			return "", nil, fmt.Errorf("policy %q: expected keys behind %q as in :least=20:cover=3", policy, ApertureSuffix)
		}
		text = "[aperture]" + strings.ReplaceAll(keys, ":", "\n")
	}
	ops, err := config.DecodeOps(text)
	if err != nil && sent {
		err = fmt.Errorf("policy %q: %w", policy, err)
	}
	return name, ops.Aperture, err
}

// Batch plays jobs, so many at once (0: as many as there are processors), and hands each result on in the order of
// the jobs. It stops at the first error, and when done tells it to.
func Batch(ctx context.Context, jobs []Job, at int, done func(i int, p *RunResult) error) error {
	if at <= 0 {
		at = runtime.GOMAXPROCS(0)
	}
	at = max(1, min(at, len(jobs)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		p   *RunResult
		err error
	}
	results := make([]chan result, len(jobs))
	for i := range results {
		results[i] = make(chan result, 1)
	}
	// Nobody runs far ahead of who is waited for: results are large.
	ahead := make(chan struct{}, 4*at)
	var next atomic.Int64
	var all sync.WaitGroup
	for range at {
		all.Go(func() {
			for {
				select {
				case ahead <- struct{}{}:
				case <-ctx.Done():
					return
				}
				i := int(next.Add(1)) - 1
				if i >= len(jobs) {
					return
				}
				p, err := Run(ctx, jobs[i])
				results[i] <- result{p, err}
			}
		})
	}
	defer all.Wait()
	defer cancel()
	for i := range jobs {
		select {
		case r := <-results[i]:
			<-ahead
			if r.err != nil {
				return r.err
			}
			if err := done(i, r.p); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Seeds are n seeds from first on.
func Seeds(first uint64, n int) []uint64 {
	all := make([]uint64, n)
	for i := range all {
		all[i] = first + uint64(i)
	}
	return all
}

// inParallel does n things, so many at once, and returns the error of the first that had one.
func inParallel(ctx context.Context, at, n int, action func(i int) error) error {
	errs := make([]error, n)
	var next atomic.Int64
	var all sync.WaitGroup
	for range min(at, n) {
		all.Go(func() {
			for ctx.Err() == nil {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				errs[i] = action(i)
			}
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}
