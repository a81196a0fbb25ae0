package checker

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file holds the time limits that follow from the scenario: how late an answer may be, and when faults of the
// network and of workers excuse one.

// timeLimits are the time limits that follow from the scenario.
type timeLimits struct {
	slack             time.Duration // after a deadline an answer still counts
	clientDelay       time.Duration // a word between client and scheduler takes at most
	workerDelay       time.Duration // the same between scheduler and worker
	dialDelay         time.Duration // from a scheduler's choice to the first byte of a request, at most
	lateSend          time.Duration // after its client saw the end of a request, an attempt may begin
	drainGrace        time.Duration // of a drain
	rejectionDeadline time.Duration // prompt
	heavyFactor       float64       // times its speed that the fastest worker may be taken to do at the most
	retention         time.Duration // a settled job is remembered
	estimateFactor    float64       // times its true work, at least the mean, that a job may be taken for
	maxSpeed          float64       // speed of a core
	clientsCut        []interval    // clients and schedulers are cut off from each other, or slowed down
	workersImpaired   []interval    // words between schedulers and workers may never come
	workersCut        []interval    // or come when that is over
	connectsImpaired  []interval    // connections to workers may not come up
	killDelay         time.Duration // from SIGTERM to SIGKILL at the soonest
	attemptLimit      int
	hedging           bool
}

// termGrace is how long after SIGTERM requests come in that the process may take with it when it is killed.
const termGrace = 700 * time.Millisecond

// lateSendGrace is how long after a client's close, or the answer, an attempt may begin.
const lateSendGrace = 100 * time.Millisecond

func newTimeLimits(spec *scenario.Scenario, realProcesses bool) timeLimits {
	rules, network := &spec.Rules, &spec.Network
	// Delays are log-normal; no run is so long that one lies six deviations out.
	far := math.Exp(6 * math.Sqrt(math.Log1p(network.Jitter*network.Jitter)))
	long := func(d time.Duration) time.Duration { return time.Duration(far * float64(d)) }
	limits := timeLimits{
		slack: rules.Slack.Std(), clientDelay: time.Millisecond + long(network.ClientDelay.Std()),
		workerDelay: time.Millisecond + long(max(network.Delay.Std(), network.CrossZone.Std())), drainGrace: rules.DrainGrace.Std(),
		rejectionDeadline: rules.RejectionDeadline.Std(), retention: retention(spec), maxSpeed: 1,
		attemptLimit: max(1, spec.Schedulers.AttemptLimit), hedging: spec.Schedulers.Hedging,
	}
	limits.dialDelay = spec.Schedulers.ConnTimeout.Std() + 2*limits.workerDelay + long(network.Handshake.Std())
	wait := 16 * time.Millisecond
	if realProcesses {
		const wider = 50 * time.Millisecond
		wait = wider
		limits.clientDelay += wider / 2
		limits.workerDelay += wider / 2
		limits.drainGrace += wider
	}
	if limits.slack <= 0 {
		limits.slack = wait
	}
	limits.dialDelay += wait
	limits.lateSend = lateSendGrace + limits.clientDelay + wait
	for i := range spec.Fleet.Kinds {
		kind := &spec.Fleet.Kinds[i]
		limits.maxSpeed = max(limits.maxSpeed, kind.Speed*(1+3*kind.Spread))
	}
	limits.setEstimateFactors(spec)
	longest := time.Duration(0)
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].Deadline.Std())
	}
	limits.killDelay = min(longest, 3*time.Second) + termGrace
	for i := range spec.Faults {
		limits.addFault(&spec.Faults[i])
	}
	if network.DropsIdleAfter > 0 {
		limits.workersImpaired = append(limits.workersImpaired, interval{0, forever})
	}
	return limits
}

// setEstimateFactors sets how far a scheduler's estimate of a job's work may be off, by the scenario's hints.
func (t *timeLimits) setEstimateFactors(spec *scenario.Scenario) {
	t.estimateFactor, t.heavyFactor = 4, 4
	switch load := &spec.Load; load.Hints {
	case "exact":
		t.estimateFactor = 2
	case "rough": // what hints err by shows in what runs are found to take, and twice that is allowed for
		t.estimateFactor, t.heavyFactor = max(2, math.Exp(4*load.HintFactor)), 4*math.Exp(2*load.HintFactor)
	case "wrong": // it looks at first as if all were so much faster, and as if expectations erred by that
		t.estimateFactor, t.heavyFactor = 2*max(1, load.HintFactor), 4*max(1, load.HintFactor*load.HintFactor)
	}
	if hasProlongedRuns(spec) {
		t.estimateFactor *= 4
	}
}

// addFault widens the limits by a fault of the timeline, and adds the interval in which it excuses what.
func (t *timeLimits) addFault(fault *scenario.Fault) {
	interval := interval{fault.At.Std(), forever}
	if fault.Duration > 0 {
		interval.end = interval.start + (fault.Duration + fault.Spread).Std() + 2*t.clientDelay
	}
	nodes := fault.Between == "nodes" || fault.And == "nodes"
	if fault.Kind == "delay" && nodes {
		t.workerDelay += 2 * time.Duration(fault.Size*float64(time.Millisecond))
	}
	if nodes && (fault.Kind == "cut" || fault.Kind == "cut_one_way") {
		t.workersCut = append(t.workersCut, interval)
	}
	if connectImpairingFaults[fault.Kind] {
		t.connectsImpaired = append(t.connectsImpaired, interval)
	}
	switch clients := fault.Between == "clients" || fault.And == "clients"; {
	case clients && scenario.FaultKinds[fault.Kind] == "net":
		t.clientsCut = append(t.clientsCut, interval)
	case impairingFaults[fault.Kind]:
		interval.start -= impairmentMargin
		if fault.Duration > 0 {
			interval.end += impairmentMargin
		}
		t.workersImpaired = append(t.workersImpaired, interval)
	}
}

// prolongingFaults are the faults by which runs look longer to schedulers than they are, or are so for a while: what they
// expect of others follows that.
var prolongingFaults = map[string]bool{
	"cut": true, "cut_one_way": true, "delay": true, "hang": true, "no_notes": true,
	"pause": true, "sched_freeze": true, "slow": true, "slow_read": true,
}

// hasProlongedRuns tells whether anything in a scenario does that. Where starts are not told, waiting looks like running.
func hasProlongedRuns(spec *scenario.Scenario) bool {
	return slices.ContainsFunc(spec.Faults, func(f scenario.Fault) bool { return prolongingFaults[f.Kind] }) ||
		slices.ContainsFunc(spec.Fleet.Kinds, func(k scenario.WorkerKind) bool { return k.OmitsStartNotifications || k.PauseEvery > 0 })
}

// impairingFaults are the faults by which words between schedulers and workers are lost or come very late.
var impairingFaults = map[string]bool{
	"cut": true, "cut_one_way": true, "delay": true, "drop_idle": true, "half_open": true,
	"never_up": true, "refuse": true, "reset_at": true, "slow_read": true,
}

// connectImpairingFaults are the faults by which connections to workers do not come up.
var connectImpairingFaults = map[string]bool{"cut": true, "cut_one_way": true, "never_up": true, "vanish": true, "replace": true}

// impairmentMargin is how long before and after such a fault its effect may show.
const impairmentMargin = 1500 * time.Millisecond
