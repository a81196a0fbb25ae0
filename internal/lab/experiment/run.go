// Package experiment plays scenarios, one or many, and says what came of them: single plays, comparisons paired by
// seed, sweeps, the two drivers side by side, yardsticks, and hunts for the plays that go worst. What it says of a
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
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/judge"
	"valvecove/internal/lab/live"
	"valvecove/internal/lab/mutant"
	"valvecove/internal/lab/report"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/score"
	"valvecove/internal/lab/seen"
	"valvecove/internal/lab/starve"
	"valvecove/internal/lab/virtual"
	"valvecove/internal/lab/yardstick"
	"valvecove/internal/requests"
)

// Logic is the name of the policy that is in service; the others are yardsticks.
const Logic = "logic"

// WithAperture behind a policy's name puts an aperture before each of its modules, and keys of its section in the
// operators' file may follow: "logic+aperture:least=20:cover=3".
const WithAperture = "+aperture"

// Subject is what is put through a play.
type Subject struct {
	Name   string
	Policy string   // Logic (or empty) or a yardstick's name, and WithAperture where it has one; virtual only
	Mutant string   // name of a seeded fault to put before each scheduler; virtual only; empty: none
	Set    []string // changes to the scenario, "key=value" with the value as TOML has it
	Binary string   // the scheduler's program; live only
	Lab    string   // another build's covelab, which plays in place of this one; virtual only
}

// Job is one play to be played.
type Job struct {
	Spec    *scenario.Scenario
	Seed    uint64
	Driver  string // scenario.Virtual or scenario.Live
	Subject Subject
	// Watch is told what was seen besides judge and score, in the play's own goroutine; nil: nobody.
	Watch seen.Watcher
	// Tally is told how the play stands, in the play's own goroutine, at most once a second of it; nil: nobody.
	Tally func(t *score.Tally)
	// Unjudged leaves the judge out, where only speed or worth is asked for.
	Unjudged bool
	// Starve has tries looked for that wait or are refused while worker nodes are idle.
	Starve bool
	Live   live.Options // Watch is overwritten
}

// Played is what came of a play.
type Played struct {
	Doc     report.Doc
	Judged  judge.Verdict
	Starved *starve.Verdict  // nil: not looked for
	Virtual *virtual.Outcome // of a virtual play
	Live    *live.Outcome    // of a live one
}

// Result is the play's figures.
func (p *Played) Result() *score.Result { return p.Doc.Result }

// Broken is how often a rule was broken.
func (p *Played) Broken() int {
	n := 0
	for _, t := range p.Judged.Rules {
		n += t.Broken
	}
	return n
}

// Void is why the play is no result; empty: it is one.
func (p *Played) Void() string {
	if p.Doc.Verdict == nil {
		return ""
	}
	return p.Doc.Verdict.Void
}

// Met tells whether all expectations were met, the play being a result.
func (p *Played) Met() bool {
	for _, m := range p.Doc.Met {
		if !m.OK {
			return false
		}
	}
	return p.Void() == ""
}

// Change returns a scenario with changes made to it, each "key=value".
func Change(spec *scenario.Scenario, changes []string) (*scenario.Scenario, error) {
	if len(changes) == 0 {
		return spec, nil
	}
	spec = spec.Clone()
	for _, c := range changes {
		key, value, ok := cut(c)
		if !ok {
			return nil, fmt.Errorf("%q: expected key=value", c)
		}
		if err := spec.Set(key, value); err != nil {
			return nil, fmt.Errorf("%q: %w", c, err)
		}
	}
	return spec, nil
}

func cut(change string) (key, value string, ok bool) {
	for i := range change {
		if change[i] == '=' {
			return change[:i], change[i+1:], i > 0 && i < len(change)-1
		}
	}
	return "", "", false
}

// Policies are the names that Subject.Policy may have.
func Policies() []string {
	names := []string{Logic}
	for _, p := range yardstick.All() {
		names = append(names, p.Name)
	}
	return names
}

// ErrStopped is a play that a panic has ended.
var ErrStopped = errors.New("the play has panicked")

// Run plays one play. A panic in it, of the module or of the lab, is an error that says which play it was.
func Run(ctx context.Context, job Job) (played *Played, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s, seed %d, %s: %v\n%s", ErrStopped, job.Spec.Name, job.Seed, job.Subject.Name, p, debug.Stack())
		}
	}()
	if job.Subject.Lab != "" {
		return runElsewhere(ctx, job)
	}
	spec, err := Change(job.Spec, job.Subject.Set)
	if err != nil {
		return nil, err
	}
	if !spec.Plays(job.Driver) {
		return nil, fmt.Errorf("%s is not for the %s driver", spec.Name, job.Driver)
	}
	b := newBooks(spec, job)
	played = &Played{}
	var late []string
	void := ""
	switch job.Driver {
	case scenario.Virtual:
		opt, err := virtualOptions(spec, job.Subject)
		if err != nil {
			return nil, err
		}
		opt.Watch = b.watchers()
		if played.Virtual, err = virtual.Play(spec, job.Seed, opt); err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
		}
		late = virtual.Unseen(spec)
	case scenario.Live:
		opt := job.Live
		if job.Subject.Binary != "" {
			opt.Binary = job.Subject.Binary
		}
		opt.Watch = b.watch
		if played.Live, err = live.Play(ctx, spec, job.Seed, opt); err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", spec.Name, job.Seed, err)
		}
		late, void = played.Live.Unseen, played.Live.Void
	default:
		return nil, fmt.Errorf("driver %q is neither %s nor %s", job.Driver, scenario.Virtual, scenario.Live)
	}
	b.close(played, late, void)
	played.Doc.Scenario = string(scenario.Encode(spec))
	played.Doc.Build = job.Subject.Name
	return played, nil
}

// books are the judge's and the score's of one play.
type books struct {
	judge  *judge.Judge
	score  *score.Score
	also   seen.Watcher
	starve *starve.Watcher
	spec   *scenario.Scenario
	tally  func(t *score.Tally)
	stand  score.Tally
	next   time.Duration
}

func newBooks(spec *scenario.Scenario, job Job) *books {
	b := &books{spec: spec, score: score.New(spec, score.Options{Seed: job.Seed, Driver: job.Driver}), also: job.Watch, tally: job.Tally}
	if job.Starve {
		b.starve = starve.New(spec)
	}
	if !job.Unjudged {
		b.judge = judge.New(spec, judge.Options{Live: job.Driver == scenario.Live})
	}
	return b
}

func (b *books) watchers() []seen.Watcher {
	all := []seen.Watcher{b.score.Watch}
	if b.judge != nil {
		all = append(all, b.judge.Watch)
	}
	if b.starve != nil {
		all = append(all, b.starve.Watch)
	}
	if b.also != nil {
		all = append(all, b.also)
	}
	if b.tally != nil {
		all = append(all, b.tick)
	}
	return all
}

func (b *books) watch(s *seen.Sight) {
	for _, w := range b.watchers() {
		w(s)
	}
}

func (b *books) tick(s *seen.Sight) {
	if s.At >= b.next {
		b.next = s.At.Truncate(time.Second) + time.Second
		b.score.Tally(&b.stand)
		b.tally(&b.stand)
	}
}

// close takes the verdict and the figures. What either leaves out is said in one list.
func (b *books) close(p *Played, unseen []string, void string) {
	r := b.score.Result()
	p.Doc.Result = r
	if b.starve != nil {
		v := b.starve.Verdict()
		p.Starved, p.Doc.Starved = &v, &v
	}
	if b.judge == nil {
		return
	}
	p.Judged = b.judge.Verdict()
	v := &report.Verdict{Void: p.Judged.Void, Count: p.Broken()}
	if void != "" {
		v.Void = void
	}
	v.LeftOut = append(append(v.LeftOut, unseen...), p.Judged.LeftOut...)
	for _, x := range p.Judged.Broken {
		v.Broken = append(v.Broken, report.Breach{Rule: x.Rule, At: x.At, Text: x.Text, Story: x.Story})
	}
	p.Doc.Verdict = v
	p.Doc.Met = score.Check(b.spec.Expectations(), r, p.Broken())
}

// virtualOptions is what a subject means to the virtual driver.
func virtualOptions(spec *scenario.Scenario, s Subject) (virtual.Options, error) {
	var opt virtual.Options
	name, narrowed, err := apertureOf(spec, s.Policy)
	if err != nil {
		return opt, err
	}
	if name != "" && name != Logic {
		policy, ok := yardstick.Find(name)
		if !ok {
			return opt, fmt.Errorf("policy %q is none of %v", name, Policies())
		}
		maker := policy.ForPlay()
		opt.Module = func(set dispatch.Settings, seed uint64, o yardstick.Oracle) requests.Policy {
			return maker(set, seed, o)
		}
	}
	if s.Mutant != "" {
		all := mutant.All()
		i := slices.IndexFunc(all, func(m mutant.Mutant) bool { return m.Name == s.Mutant })
		if i < 0 {
			return opt, fmt.Errorf("mutant %q is not known", s.Mutant)
		}
		m := all[i]
		if m.Wrap != nil {
			opt.Wrap = func(e edge.Scheduler) edge.Scheduler { return m.Wrap(spec, e) }
		}
		if m.Module != nil {
			opt.Module = func(set dispatch.Settings, seed uint64, _ yardstick.Oracle) requests.Policy {
				return m.Module(set, seed)
			}
		}
	}
	if inner := opt.Module; narrowed != nil {
		opt.Module = func(set dispatch.Settings, seed uint64, o yardstick.Oracle) requests.Policy {
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
	name, keys, asked := strings.Cut(policy, WithAperture)
	text := spec.Schedulers.Ops
	if asked {
		if keys != "" && keys[0] != ':' {
			return "", nil, fmt.Errorf("policy %q: expected keys behind %q as in :least=20:cover=3", policy, WithAperture)
		}
		text = "[aperture]" + strings.ReplaceAll(keys, ":", "\n")
	}
	ops, err := config.DecodeOps(text)
	if err != nil && asked {
		err = fmt.Errorf("policy %q: %w", policy, err)
	}
	return name, ops.Aperture, err
}

// Batch plays jobs, so many at once (0: as many as there are processors), and hands each result on in the order of
// the jobs. It stops at the first error, and when done tells it to.
func Batch(ctx context.Context, jobs []Job, at int, done func(i int, p *Played) error) error {
	if at <= 0 {
		at = runtime.GOMAXPROCS(0)
	}
	at = max(1, min(at, len(jobs)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		p   *Played
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
func inParallel(ctx context.Context, at, n int, do func(i int) error) error {
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
				errs[i] = do(i)
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
