package experiment

import (
	"time"

	"valvecove/internal/testbed/checker"
	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/starvation"
	"valvecove/internal/testbed/trace"
)

// observers has all observers of one run. Those that the job does not request are nil.
type observers struct {
	spec         *scenario.Scenario
	score        *score.Score
	checker      *checker.Checker
	starvation   *starvation.Checker
	extra        trace.Observer
	onSnapshot   func(snapshot *score.Snapshot)
	snapshot     score.Snapshot
	nextSnapshot time.Duration
}

func newObservers(spec *scenario.Scenario, job Job) *observers {
	all := &observers{
		spec:       spec,
		score:      score.New(spec, score.Options{Seed: job.Seed, Driver: job.Driver}),
		extra:      job.Observer,
		onSnapshot: job.OnSnapshot,
	}
	if job.Starvation {
		all.starvation = starvation.New(spec)
	}
	if !job.Unchecked {
		all.checker = checker.New(spec, checker.Options{RealProcesses: job.Driver == scenario.DriverProcess})
	}
	return all
}

// list returns the observers in the order in which they are called with each event.
func (o *observers) list() []trace.Observer {
	all := []trace.Observer{o.score.Observe}
	if o.checker != nil {
		all = append(all, o.checker.Observe)
	}
	if o.starvation != nil {
		all = append(all, o.starvation.Observe)
	}
	if o.extra != nil {
		all = append(all, o.extra)
	}
	if o.onSnapshot != nil {
		all = append(all, o.reportSnapshot)
	}
	return all
}

func (o *observers) observe(event *trace.Event) {
	for _, observe := range o.list() {
		observe(event)
	}
}

// reportSnapshot calls onSnapshot at the first event of each second.
func (o *observers) reportSnapshot(event *trace.Event) {
	if event.At < o.nextSnapshot {
		return
	}
	o.nextSnapshot = event.At.Truncate(time.Second) + time.Second
	o.score.Snapshot(&o.snapshot)
	o.onSnapshot(&o.snapshot)
}

// finish sets the figures and verdicts of the result.
func (o *observers) finish(result *RunResult, limits driverLimits) {
	document := &result.Document
	document.Result = o.score.Result()
	if o.starvation != nil {
		verdict := o.starvation.Verdict()
		result.Starvation = &verdict
		document.Starvation = &verdict
	}
	if o.checker == nil {
		return
	}
	result.Verdict = o.checker.Verdict()
	document.Verdict = newVerdict(result, limits)
	document.Expectations = score.Check(o.spec.Expectations(), document.Result, result.Violations())
}

// newVerdict returns the verdict of a checked run in the form of the report. NotChecked lists what the driver left out and what
// the checker did.
func newVerdict(result *RunResult, limits driverLimits) *report.Verdict {
	verdict := &report.Verdict{Invalid: result.Verdict.Invalid, ViolationCount: result.Violations()}
	if limits.invalid != "" {
		verdict.Invalid = limits.invalid
	}
	verdict.NotChecked = append(verdict.NotChecked, limits.unsupported...)
	verdict.NotChecked = append(verdict.NotChecked, result.Verdict.NotChecked...)
	for _, violation := range result.Verdict.Violations {
		verdict.Violations = append(verdict.Violations, report.Violation{
			Rule: violation.Rule, At: violation.At, Text: violation.Text, Explanation: violation.Explanation,
		})
	}
	return verdict
}
