package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Options are the settings of a checker besides the scenario.
type Options struct {
	RealProcesses bool          // the schedulers are real processes: time limits are wider, and what only sockets show is checked
	MaxLateness   time.Duration // the testbed's own lateness beyond which a run is invalid; default 50 ms
}

// Checker keeps the history of one run and checks it. It is used by one goroutine.
type Checker struct {
	spec    *scenario.Scenario
	options Options
	classes []class
	cells   []int // by worker
	zones   []int
	timeLimits

	now             time.Duration
	highestJobID    uint64 // of the jobs' numbers
	jobs            map[uint64]*job
	jobsByRequest   map[string]*job
	schedulers      []*scheduler
	connRequests    map[uint64]int32 // requests asked on a client's connection
	misbehaving     map[uint64]misbehavingClient
	coldWork        map[int][]coldArrival // by worker, onto a cold one
	fleetLog        eventRing
	texts           textTable
	retained        [2]retentionQueue // the safe ones, and the others
	freeJobs        []*job            // forgotten, to be used again
	overlaps        []overlap
	violations      []Violation
	checkCounts     [ruleCount]int
	violationCounts [ruleCount]int
	counts          Counts
	maxLateness     time.Duration // the testbed's own lateness, at most
	recentLateness  lateness      // and lately
}

// lateness is how late the testbed itself was, and when.
type lateness struct{ observedAt, amount time.Duration }

// latenessWindow is how long the testbed's lateness is taken to show in what it sees.
const latenessWindow = time.Second

// observationLateness is how late the testbed may be with what it sees now.
func (j *Checker) observationLateness() time.Duration {
	if j.now-j.recentLateness.observedAt > latenessWindow {
		return 0
	}
	return j.recentLateness.amount
}

// timeLimits are the time limits that follow from the scenario.
type timeLimits struct {
	slack             time.Duration // after a deadline an answer still counts
	clientDelay       time.Duration // a word between client and scheduler takes at most
	workerDelay       time.Duration // the same between scheduler and worker
	dialDelay         time.Duration // from a scheduler's choice to the first byte of a request, at most
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

// Verdict is the result of checking a run.
type Verdict struct {
	Violations []Violation `json:"broken"`
	Invalid    string      `json:"void,omitempty"` // why the run is invalid; empty: it is valid
	Counts     Counts      `json:"counts"`
	Rules      []RuleCount `json:"rules"`
	NotChecked []string    `json:"left_out,omitempty"` // what this driver can't show, and why
}

// Violation is one rule broken, by one job or one scheduler, worker or client.
type Violation struct {
	Rule        string        `json:"rule"`
	At          time.Duration `json:"at"`
	JobID       uint64        `json:"job,omitempty"`  // 0 where it is about none
	RequestID   string        `json:"call,omitempty"` // its request, where it is about one
	Text        string        `json:"text"`
	Explanation []string      `json:"story"` // of the whole job, in order of time
}

// RuleCount tells how often a rule came up, and how many jobs or parties broke it; Verdict.Broken tells the first of them.
type RuleCount struct {
	Rule     string `json:"rule"`
	Checked  int    `json:"looked"`
	Violated int    `json:"broken"`
}

// Counts count what the checker observed.
type Counts struct {
	Jobs            int `json:"jobs"`
	Requests        int `json:"tries"`
	Served          int `json:"served"` // tries, as the next ones
	Rejected        int `json:"refused"`
	Failed          int `json:"failed"`
	ConnectionsLost int `json:"lost"`     // their connection ended
	TimedOut        int `json:"gave_up"`  // by their clients, their time being up
	ClientsLeft     int `json:"left"`     // by their clients, earlier
	Excused         int `json:"excused"`  // of those without an answer: nothing was owed
	Open            int `json:"open"`     // nothing had become of them when the run ended
	Attempts        int `json:"attempts"` // that reached a worker
	Started         int `json:"began"`    // to run
	Duplicates      int `json:"repeats"`  // that a cell dropped
	Misbehaving     int `json:"bad"`      // clients
	Evicted         int `json:"crowded"`  // settled jobs forgotten early, for want of room
	Unknown         int `json:"stray"`    // trace events of what the checker didn't know, or no longer
	Overlaps        int `json:"suspects"` // overlaps looked at, most of which cross on their way
}

// noRequest is no try.
const noRequest = 255

const (
	maxSettled     = 1 << 16 // jobs remembered, of each sort
	maxJobLog      = 64      // trace events of a job
	maxFleetLog    = 4096    // trace events of the fleet
	maxColdWork    = 24      // told of a worker that fell
	maxExplained   = 16      // breaches of a rule that are told in full
	maxOverlaps    = 256     // overlaps looked at at once
	maxConns       = 1 << 20 // whose requests are counted
	maxMisbehaving = 1 << 14 // misbehaving clients remembered that have had their answer
)

// idempotentRetention is how long safe jobs are remembered, besides what a late attempt may take: they are most.
const idempotentRetention = time.Second

// termGrace is how long after SIGTERM requests come in that the process may take with it when it is killed.
const termGrace = 700 * time.Millisecond

// New returns a checker of a run of a checked scenario.
func New(spec *scenario.Scenario, opt Options) *Checker {
	if opt.MaxLateness <= 0 {
		opt.MaxLateness = 50 * time.Millisecond // as long as clients listen beyond a deadline: an answer in time may go unheard
	}
	checker := &Checker{
		spec: spec, options: opt, classes: classes(spec), jobs: make(map[uint64]*job, 1024),
		jobsByRequest: make(map[string]*job, 1024),
		connRequests:  map[uint64]int32{}, misbehaving: map[uint64]misbehavingClient{}, coldWork: map[int][]coldArrival{},
		texts: textTable{[]string{""}, map[string]uint16{}},
	}
	checker.cells, checker.zones = spec.WorkerPlacement()
	checker.timeLimits = newTimeLimits(spec, opt.RealProcesses)
	for range max(1, spec.Schedulers.Count) {
		checker.schedulers = append(checker.schedulers, newScheduler())
	}
	return checker
}

func newScheduler() *scheduler {
	return &scheduler{exits: make([]processExit, 1), drainNotifiedAt: map[int]time.Duration{}}
}

func newTimeLimits(spec *scenario.Scenario, live bool) timeLimits {
	r, n := &spec.Rules, &spec.Network
	// Delays are log-normal; no play is so long that one lies six deviations out.
	far := math.Exp(6 * math.Sqrt(math.Log1p(n.Jitter*n.Jitter)))
	long := func(d time.Duration) time.Duration { return time.Duration(far * float64(d)) }
	f := timeLimits{
		slack: r.Slack.Std(), clientDelay: time.Millisecond + long(n.ClientDelay.Std()),
		workerDelay: time.Millisecond + long(max(n.Delay.Std(), n.CrossZone.Std())), drainGrace: r.DrainGrace.Std(),
		rejectionDeadline: r.RejectionDeadline.Std(), retention: retention(spec), maxSpeed: 1,
		attemptLimit: max(1, spec.Schedulers.AttemptLimit), hedging: spec.Schedulers.Hedging,
	}
	f.dialDelay = spec.Schedulers.ConnTimeout.Std() + 2*f.workerDelay + long(n.Handshake.Std())
	wait := 16 * time.Millisecond
	if live {
		const wider = 50 * time.Millisecond
		wait = wider
		f.clientDelay += wider / 2
		f.workerDelay += wider / 2
		f.drainGrace += wider
	}
	if f.slack <= 0 {
		f.slack = wait
	}
	f.dialDelay += wait
	for i := range spec.Fleet.Kinds {
		k := &spec.Fleet.Kinds[i]
		f.maxSpeed = max(f.maxSpeed, k.Speed*(1+3*k.Spread))
	}
	f.setEstimateFactors(spec)
	longest := time.Duration(0)
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].Deadline.Std())
	}
	f.killDelay = min(longest, 3*time.Second) + termGrace
	for i := range spec.Faults {
		f.addFault(&spec.Faults[i])
	}
	if n.DropsIdleAfter > 0 {
		f.workersImpaired = append(f.workersImpaired, interval{0, forever})
	}
	return f
}

// setEstimateFactors sets how far a scheduler's estimate of a job's work may be off, by the scenario's hints.
func (f *timeLimits) setEstimateFactors(spec *scenario.Scenario) {
	f.estimateFactor, f.heavyFactor = 4, 4
	switch l := &spec.Load; l.Hints {
	case "exact":
		f.estimateFactor = 2
	case "rough": // what hints err by shows in what runs are found to take, and twice that is allowed for
		f.estimateFactor, f.heavyFactor = max(2, math.Exp(4*l.HintFactor)), 4*math.Exp(2*l.HintFactor)
	case "wrong": // it looks at first as if all were so much faster, and as if expectations erred by that
		f.estimateFactor, f.heavyFactor = 2*max(1, l.HintFactor), 4*max(1, l.HintFactor*l.HintFactor)
	}
	if hasProlongedRuns(spec) {
		f.estimateFactor *= 4
	}
}

// addFault widens the limits by a fault of the timeline, and adds the interval in which it excuses what.
func (f *timeLimits) addFault(fault *scenario.Fault) {
	interval := interval{fault.At.Std(), forever}
	if fault.Duration > 0 {
		interval.end = interval.start + (fault.Duration + fault.Spread).Std() + 2*f.clientDelay
	}
	nodes := fault.Between == "nodes" || fault.And == "nodes"
	if fault.Kind == "delay" && nodes {
		f.workerDelay += 2 * time.Duration(fault.Size*float64(time.Millisecond))
	}
	if nodes && (fault.Kind == "cut" || fault.Kind == "cut_one_way") {
		f.workersCut = append(f.workersCut, interval)
	}
	if connectImpairingFaults[fault.Kind] {
		f.connectsImpaired = append(f.connectsImpaired, interval)
	}
	switch clients := fault.Between == "clients" || fault.And == "clients"; {
	case clients && scenario.FaultKinds[fault.Kind] == "net":
		f.clientsCut = append(f.clientsCut, interval)
	case impairingFaults[fault.Kind]:
		interval.start -= impairmentMargin
		if fault.Duration > 0 {
			interval.end += impairmentMargin
		}
		f.workersImpaired = append(f.workersImpaired, interval)
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

// scheduler gives the books of a scheduler.
func (j *Checker) scheduler(n int) *scheduler {
	for n >= len(j.schedulers) {
		j.schedulers = append(j.schedulers, newScheduler())
	}
	return j.schedulers[max(n, 0)]
}

// Observe handles an event of the trace. Events have to come in order of time; the event is not kept.
func (j *Checker) Observe(event *trace.Event) {
	j.now = event.At
	j.evictSettled()
	if len(j.overlaps) > 0 {
		j.resolveOverlaps(event)
	}
	if event.Kind >= trace.WorkerStarted {
		j.fleetEvent(event)
		return
	}
	switch event.Kind {
	case trace.JobDue:
		j.jobDue(event)
	case trace.RequestSent:
		j.requestSent(event)
	case trace.JobSettled:
		j.jobSettled(event)
	case trace.HealthChecked, trace.WorkerConnected, trace.AttemptSent, trace.WorkerDialed, trace.WorkerFaultStarted, trace.WorkerFaultEnded, trace.WorkerPresent:
	case trace.MisbehavingClientConnected:
		j.misbehavingClientConnected(event)
	case trace.MisbehavingClientAnswered:
		j.misbehavingClientAnswered(event)
	case trace.ColdWorkReceived:
		j.coldWorkReceived(event)
	case trace.WorkerOverloaded:
		j.workerOverloaded(event)
	default:
		j.requestEvent(event)
	}
}

// evictSettled forgets the settled jobs whose time is up, or for which there is no space.
func (j *Checker) evictSettled() {
	for i := range j.retained {
		for f := &j.retained[i]; f.size > 0 && (f.first().retainedUntil < j.now || f.size > maxSettled); {
			j.evictOldest(f)
		}
	}
}

// misbehavingClientConnected remembers a misbehaving client, which is owed a response or a close.
func (j *Checker) misbehavingClientConnected(event *trace.Event) {
	j.counts.Misbehaving++
	if len(j.misbehaving) > maxMisbehaving {
		maps.DeleteFunc(j.misbehaving, func(_ uint64, b misbehavingClient) bool { return b.answered })
	}
	j.misbehaving[event.Conn] = misbehavingClient{connectedAt: event.At, kind: event.Text}
}

// requestEvent handles an event of one request.
func (j *Checker) requestEvent(event *trace.Event) {
	b := j.jobsByRequest[event.RequestID]
	if b == nil {
		j.unknownRequest(event)
		return
	}
	t, n := b.findRequest(event.RequestID)
	j.recordJobEvent(b, event, n)
	switch event.Kind {
	case trace.ResponseReceived:
		j.responseReceived(b, t, event)
	case trace.ConnectionLost:
		j.counts.ConnectionsLost++
		j.requestEnded(b, t, requestConnLost, event.At)
	case trace.ClientLeft:
		j.counts.ClientsLeft++
		j.requestEnded(b, t, requestClientLeft, event.At)
	case trace.ClientTimedOut:
		j.counts.TimedOut++
		j.requestEnded(b, t, requestTimedOut, event.At)
	case trace.SchedulerUnreachable: // it was asked once, crossed a close, and found no other connection
		j.requestEnded(b, t, requestClientLeft, event.At)
	case trace.AttemptReceived:
		j.attemptReceived(b, t, n, event)
	case trace.AttemptUnread:
		t.unreadUntil = event.At
	default:
		if a := b.findAttempt(n, event.Worker, event.Kind == trace.AttemptRejected); a != nil {
			j.attemptEvent(b, t, a, event)
		}
	}
}

// jobDue begins a job.
func (j *Checker) jobDue(event *trace.Event) {
	if event.JobID > j.highestJobID {
		j.highestJobID = event.JobID
	} else if old := j.jobs[event.JobID]; old != nil { // its number is used again
		j.forgetJob(old)
	}
	if event.Class < 0 || event.Class >= len(j.classes) {
		j.counts.Unknown++
		return
	}
	if len(j.freeJobs) == 0 {
		j.freeJobs = newJobBatch()
	}
	b := j.freeJobs[len(j.freeJobs)-1]
	j.freeJobs = j.freeJobs[:len(j.freeJobs)-1]
	*b = job{requests: b.requests[:0], attempts: b.attempts[:0], log: b.log[:0]}
	b.id, b.class, b.tenant, b.dueAt = event.JobID, &j.classes[event.Class], event.Tenant, event.At
	b.slots, b.work, b.deadline = event.Slots, time.Duration(event.Work*float64(time.Second)), event.Deadline
	j.jobs[b.id] = b
	j.counts.Jobs++
	j.recordJobEvent(b, event, noRequest)
}

// requestSent begins a try, or has it on another connection once more.
func (j *Checker) requestSent(event *trace.Event) {
	b := j.jobs[event.JobID]
	if b == nil {
		j.counts.Unknown++
		return
	}
	if len(j.connRequests) >= maxConns {
		clear(j.connRequests) // what comes over one next counts as its first request, which is excused more
	}
	j.connRequests[event.Conn]++
	scheduler := j.scheduler(event.Scheduler)
	t, n := b.findRequest(event.RequestID)
	if t == nil {
		n = len(b.requests)
		b.requests = append(b.requests, request{id: event.RequestID, key: event.IdempotencyKey})
		t = &b.requests[n]
		j.jobsByRequest[event.RequestID] = b
		j.counts.Requests++
		j.checkCounts[ruleOneAnswer]++
	} else {
		t.state, t.resent = requestOpen, true
	}
	t.sentAt, t.deadline, t.firstOnConn = event.At, event.At+event.Budget, j.connRequests[event.Conn] == 1
	t.scheduler, t.incarnation = event.Scheduler, scheduler.incarnation
	j.recordJobEvent(b, event, n)
}

// jobSettled is the end of a job for its client. A try that is open has crossed a close, and was still waiting for another
// connection.
func (j *Checker) jobSettled(event *trace.Event) {
	b := j.jobs[event.JobID]
	if b == nil || b.settled {
		return
	}
	j.recordJobEvent(b, event, noRequest)
	b.settled = true
	if b.class.idempotent { // nothing of it is forbidden but to go on
		j.retained[0].add(retainedJob{b, b.id, event.At + min(j.retention, 2*j.dialDelay+idempotentRetention)})
	} else {
		j.retained[1].add(retainedJob{b, b.id, event.At + j.retention})
	}
	for i := range b.requests {
		j.requestEnded(b, &b.requests[i], requestClientLeft, event.At)
	}
}

// unknownRequest takes a trace event of a request that nobody knows.
func (j *Checker) unknownRequest(event *trace.Event) {
	if b := j.jobs[event.JobID]; b != nil && event.Kind == trace.SchedulerUnreachable {
		j.recordJobEvent(b, event, noRequest)
		return
	}
	j.counts.Unknown++
	switch event.Kind {
	case trace.ResponseReceived:
		j.recordFleetEvent(event)
		j.report(ruleOneAnswer, nil, event.RequestID, "a client had an answer to a query that it had not asked, or had long had one to")
	case trace.AttemptReceived:
		j.counts.Attempts++
		j.recordFleetEvent(event)
	case trace.AttemptRejected:
		j.recordFleetEvent(event)
		j.attemptRejected(nil, event)
	}
}

// evictOldest forgets the job that was settled first.
func (j *Checker) evictOldest(f *retentionQueue) {
	r := f.first()
	if r.retainedUntil >= j.now {
		j.counts.Evicted++
	}
	b, id := r.job, r.id
	f.drop()
	switch {
	case b.id != id || !b.settled:
	case f == &j.retained[0] && b.hasInFlight():
		j.retained[1].add(retainedJob{b, id, j.now + j.retention})
	default:
		j.forgetJob(b)
	}
}

func (j *Checker) forgetJob(b *job) {
	j.dropOverlaps(b)
	j.attachExplanation(b)
	delete(j.jobs, b.id)
	for i := range b.requests {
		if j.jobsByRequest[b.requests[i].id] == b {
			delete(j.jobsByRequest, b.requests[i].id)
		}
	}
	b.id, b.settled = 0, false
	j.freeJobs = append(j.freeJobs, b)
}

// fleetEvent takes a trace event of the fleet, of processes or of the testbed itself.
func (j *Checker) fleetEvent(event *trace.Event) {
	switch event.Kind {
	case trace.ResourceUsage:
		if event.Scheduler >= 0 {
			j.checkUsage(event)
		}
		return
	case trace.TestbedLate:
		j.maxLateness = max(j.maxLateness, event.Lateness)
		if event.Lateness >= j.observationLateness() {
			j.recentLateness = lateness{event.At, event.Lateness}
		}
		return
	}
	j.recordFleetEvent(event)
	j.schedulerEvent(event)
}

// schedulerEvent handles an event of a scheduler's process, or of what it was notified of.
func (j *Checker) schedulerEvent(event *trace.Event) {
	switch scheduler := j.scheduler(event.Scheduler); event.Kind {
	case trace.DrainNotified:
		if _, known := scheduler.drainNotifiedAt[event.Worker]; !known {
			scheduler.drainNotifiedAt[event.Worker] = event.At
		}
	case trace.StartNotified:
		delete(scheduler.drainNotifiedAt, event.Worker)
	case trace.SchedulerStarted:
		scheduler.start()
	case trace.SchedulerTerminated:
		scheduler.terminatedAt = event.At
	case trace.SchedulerKilled:
		scheduler.end(processExit{exitedAt: event.At, terminatedAt: scheduler.terminatedAt, killed: true})
	case trace.SchedulerExited:
		j.checkCounts[ruleCrash]++
		if scheduler.terminatedAt == 0 {
			j.report(ruleCrash, nil, "", "scheduler %d ended by itself with status %d, without SIGTERM", event.Scheduler,
				event.Status)
		}
		scheduler.end(processExit{exitedAt: event.At, terminatedAt: scheduler.terminatedAt})
	case trace.SchedulerFrozen:
		scheduler.thaw(event.At)
		scheduler.freezes = append(scheduler.freezes, interval{event.At, forever})
	case trace.SchedulerResumed:
		scheduler.thaw(event.At)
	}
}

// start begins the history of a new process.
func (c *scheduler) start() {
	if c.up || c.exits[c.incarnation].exitedAt > 0 {
		c.exits = append(c.exits, processExit{})
		c.incarnation++
	}
	c.up, c.terminatedAt, c.overLimits = true, 0, false
	clear(c.drainNotifiedAt)
}

func (c *scheduler) end(e processExit) {
	if c.exits[c.incarnation].exitedAt == 0 {
		c.exits[c.incarnation] = e
	}
	c.up = false
	c.thaw(e.exitedAt)
}

// Verdict returns what was found so far, including in requests that are still open. The run may go on after it.
func (j *Checker) Verdict() Verdict {
	verdict := Verdict{Violations: []Violation{}, Counts: j.counts}
	// What is open is checked on a copy of the findings.
	found, checked, violated := slices.Clone(j.violations), j.checkCounts, j.violationCounts
	saved := j.saveJobs()
	for _, state := range saved {
		j.checkOpenRequests(state.job, &verdict.Counts)
	}
	for _, o := range j.overlaps {
		if o.provedOpenAt > 0 && j.now > o.provedOpenAt+j.workerDelay {
			j.reportOverlap(o)
		}
	}
	j.checkOpenMisbehaving()
	for _, state := range saved {
		for _, i := range state.job.violations {
			j.violations[i].Explanation = j.explainJob(state.job)
		}
	}
	verdict.Violations = append(verdict.Violations, j.violations...)
	slices.SortStableFunc(verdict.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	for r := range ruleCount {
		verdict.Rules = append(verdict.Rules, RuleCount{r.String(), j.checkCounts[r], j.violationCounts[r]})
	}
	j.violations, j.checkCounts, j.violationCounts = found, checked, violated
	for _, state := range saved {
		state.job.brokenRules, state.job.violations = state.brokenRules, state.violations
	}
	if j.maxLateness > j.options.MaxLateness {
		verdict.Invalid = fmt.Sprintf("the lab itself was %v late, more than %v", j.maxLateness, j.options.MaxLateness)
	}
	verdict.NotChecked = j.notChecked()
	return verdict
}

// savedJob is the part of a job that checking what is open changes.
type savedJob struct {
	job         *job
	brokenRules uint32
	violations  []int
}

// saveJobs saves all jobs, in order of their numbers, and gives each its own copy of its violations.
func (j *Checker) saveJobs() []savedJob {
	var saved []savedJob
	for _, b := range j.jobs {
		saved = append(saved, savedJob{b, b.brokenRules, b.violations})
	}
	slices.SortFunc(saved, func(a, b savedJob) int { return cmp.Compare(a.job.id, b.job.id) })
	for _, state := range saved {
		state.job.violations = slices.Clone(state.violations)
	}
	return saved
}

// checkOpenRequests counts a job's open requests, and checks those whose time is up.
func (j *Checker) checkOpenRequests(b *job, counts *Counts) {
	for i := range b.requests {
		t := &b.requests[i]
		if t.state != requestOpen {
			continue
		}
		counts.Open++
		if j.now > t.deadline+j.slack+2*j.clientDelay {
			j.checkUnanswered(b, t, j.now, false, counts)
		}
	}
}

// checkOpenMisbehaving reports misbehaving clients that are owed a response or a close, in order of their connections.
func (j *Checker) checkOpenMisbehaving() {
	for _, conn := range slices.Sorted(maps.Keys(j.misbehaving)) {
		client := j.misbehaving[conn]
		if !client.answered && j.now > client.connectedAt+j.misbehaviorDeadline(client.kind) {
			j.reportUnansweredClient(client)
		}
	}
}

// notChecked names what this run can't show, and why.
func (j *Checker) notChecked() []string {
	var list []string
	if len(j.workersImpaired) > 0 {
		list = append(list, "one-attempt-per-node, attempts: overlaps that begin while words to worker nodes"+
			" may get lost (by "+j.impairedBy()+"), as a scheduler may have given the earlier one up")
	}
	if 2*j.clientDelay > j.slack {
		list = append(list, "one-answer, in time: clients close before an answer of the last moment can have"+
			" come, as words may take longer than the slack")
	}
	if !j.options.RealProcesses {
		list = append(list, "bad-clients: there are no bytes on sockets in virtual time",
			"limits: there are no processes in virtual time, whose memory and descriptors could be counted")
	}
	return list
}

func (j *Checker) impairedBy() string {
	var by []string
	for i := range j.spec.Faults {
		if a := &j.spec.Faults[i]; impairingFaults[a.Kind] && !slices.Contains(by, a.Kind) {
			by = append(by, a.Kind)
		}
	}
	if j.spec.Network.DropsIdleAfter > 0 {
		by = append(by, "net.drops_idle")
	}
	return strings.Join(by, ", ")
}
