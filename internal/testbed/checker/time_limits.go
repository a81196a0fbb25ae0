package checker

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file derives the time limits from the scenario: how late a response may be, and when faults of the network and of
// workers excuse one.

// timeLimits are the time limits that follow from the scenario.
type timeLimits struct {
	slack               time.Duration // after a deadline, in which a response is still in time
	clientDelay         time.Duration // of a message between client and scheduler, at most
	workerDelay         time.Duration // of a message between scheduler and worker, at most
	dialDelay           time.Duration // from the choice of a worker to the first byte of the attempt, at most
	lateSend            time.Duration // after the end of a request for its client, in which an attempt may begin
	drainGrace          time.Duration // after the notification of a drain, in which an attempt may begin
	rejectionDeadline   time.Duration // in which a rejection is prompt
	speedEstimateFactor float64       // the fastest worker's estimated speed, at most, as a multiple of its true speed
	retention           time.Duration // of a settled job that is not idempotent
	workEstimateFactor  float64       // a job's estimated work, at most, as a multiple of its true work
	maxSpeed            float64       // of a core of the fastest worker
	clientsCut          []interval    // clients and schedulers are disconnected from each other, or delayed
	workersImpaired     []interval    // messages between schedulers and workers may be lost
	workersCut          []interval    // messages between schedulers and workers are delayed to the end of the interval, or lost
	connectsImpaired    []interval    // connections to workers may not be established
	killDelay           time.Duration // from SIGTERM to SIGKILL, at least
	attemptLimit        int           // attempts of a request
	hedging             bool          // attempts of a request may overlap
}

// termGrace is how long after SIGTERM arriving requests may still be lost when the process is killed.
const termGrace = 700 * time.Millisecond

// lateSendGrace is the time after a client's close, or the response, in which an attempt may begin.
const lateSendGrace = 100 * time.Millisecond

// newTimeLimits returns the time limits of a scenario, wider ones for real processes.
func newTimeLimits(spec *scenario.Scenario, realProcesses bool) timeLimits {
	rules := &spec.Rules
	network := &spec.Network
	// Delays are log-normal. One beyond six standard deviations is not expected in any run.
	maxFactor := math.Exp(6 * math.Sqrt(math.Log1p(network.Jitter*network.Jitter)))
	maxDelay := func(mean time.Duration) time.Duration { return time.Duration(maxFactor * float64(mean)) }
	limits := timeLimits{
		slack:             rules.Slack.Std(),
		clientDelay:       time.Millisecond + maxDelay(network.ClientDelay.Std()),
		workerDelay:       time.Millisecond + maxDelay(max(network.Delay.Std(), network.CrossZone.Std())),
		drainGrace:        rules.DrainGrace.Std(),
		rejectionDeadline: rules.RejectionDeadline.Std(),
		retention:         retention(spec),
		maxSpeed:          1,
		attemptLimit:      max(1, spec.Schedulers.AttemptLimit),
		hedging:           spec.Schedulers.Hedging,
	}
	limits.dialDelay = spec.Schedulers.ConnTimeout.Std() + 2*limits.workerDelay + maxDelay(network.Handshake.Std())
	tolerance := 16 * time.Millisecond
	if realProcesses {
		const realTolerance = 50 * time.Millisecond
		tolerance = realTolerance
		limits.clientDelay += realTolerance / 2
		limits.workerDelay += realTolerance / 2
		limits.drainGrace += realTolerance
	}
	if limits.slack <= 0 {
		limits.slack = tolerance
	}
	limits.dialDelay += tolerance
	limits.lateSend = lateSendGrace + limits.clientDelay + tolerance
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
	t.workEstimateFactor = 4
	t.speedEstimateFactor = 4
	load := &spec.Load
	switch load.Hints {
	case "exact":
		t.workEstimateFactor = 2
	case "rough": // twice the deviation of the hints, which schedulers observe in execution times
		t.workEstimateFactor = max(2, math.Exp(4*load.HintFactor))
		t.speedEstimateFactor = 4 * math.Exp(2*load.HintFactor)
	case "wrong": // workers seem faster by the factor, and estimates seem wrong by it
		t.workEstimateFactor = 2 * max(1, load.HintFactor)
		t.speedEstimateFactor = 4 * max(1, load.HintFactor*load.HintFactor)
	}
	if hasProlongedRuns(spec) {
		t.workEstimateFactor *= 4
	}
}

// addFault widens the limits by a fault of the timeline, and adds its interval to those of what it excuses.
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
	clients := fault.Between == "clients" || fault.And == "clients"
	switch {
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

// prolongingFaults are the faults by which executions take longer, or seem to, so that schedulers' estimates grow.
var prolongingFaults = map[string]bool{
	"cut": true, "cut_one_way": true, "delay": true, "hang": true, "no_notes": true,
	"pause": true, "sched_freeze": true, "slow": true, "slow_read": true,
}

// hasProlongedRuns reports whether a fault or a kind of worker of a scenario makes executions longer, or seem longer: without
// start notifications, time in a worker's queue looks like execution time.
func hasProlongedRuns(spec *scenario.Scenario) bool {
	if slices.ContainsFunc(spec.Faults, func(fault scenario.Fault) bool { return prolongingFaults[fault.Kind] }) {
		return true
	}
	return slices.ContainsFunc(spec.Fleet.Kinds, func(kind scenario.WorkerKind) bool {
		return kind.OmitsStartNotifications || kind.PauseEvery > 0
	})
}

// impairingFaults are the faults by which messages between schedulers and workers are lost or very late.
var impairingFaults = map[string]bool{
	"cut": true, "cut_one_way": true, "delay": true, "drop_idle": true, "half_open": true,
	"never_up": true, "refuse": true, "reset_at": true, "slow_read": true,
}

// connectImpairingFaults are the faults by which connections to workers are not established.
var connectImpairingFaults = map[string]bool{
	"cut": true, "cut_one_way": true, "never_up": true, "vanish": true, "replace": true,
}

// impairmentMargin is the time before and after an impairing fault in which messages may be lost, too.
const impairmentMargin = 1500 * time.Millisecond
