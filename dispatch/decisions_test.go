package dispatch

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const decisionsFile = "testdata/decisions.txt"

// decisionSequence is one sequence of events, and the hash of what a dispatcher decides on it.
type decisionSequence struct {
	name string
	run  func(t *testing.T) *decisionHash
}

func decisionSequences() []decisionSequence {
	var sequences []decisionSequence
	for seed := range uint64(120) {
		sequences = append(sequences, decisionSequence{
			name: fmt.Sprintf("random-events-%d", seed),
			run:  func(*testing.T) *decisionHash { return randomDecisions(seed) },
		})
	}
	for _, c := range decisionCases() {
		sequences = append(sequences, decisionSequence{c.name, c.run})
	}
	return sequences
}

// TestDecisionsUnchanged feeds long sequences of events to the dispatcher, and compares a hash of all its actions and of regular
// snapshots with the one that an earlier build wrote to testdata/decisions.txt. A change that is not meant to change decisions
// must keep every line. The counts after each hash show what the sequence covers.
func TestDecisionsUnchanged(t *testing.T) {
	t.Parallel()
	sequences := decisionSequences()
	file, err := os.ReadFile(decisionsFile)
	if err != nil && !*updateGolden {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(file), "\n"), "\n")
	if len(want) != len(sequences) && !*updateGolden {
		t.Fatalf("%s has %d sequences, expected %d", decisionsFile, len(want), len(sequences))
	}
	got := make([]string, len(sequences))
	t.Run("sequences", func(t *testing.T) {
		for i, sequence := range sequences {
			t.Run(sequence.name, func(t *testing.T) {
				t.Parallel()
				got[i] = fmt.Sprintf("%s %s", sequence.name, sequence.run(t))
				if !*updateGolden && got[i] != want[i] {
					t.Errorf("decisions changed:\ngot  %s\nwant %s", got[i], want[i])
				}
			})
		}
	})
	if *updateGolden {
		if err := os.WriteFile(decisionsFile, []byte(strings.Join(got, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// randomDecisions returns the hash of a run with random events that follow no model of a fleet.
func randomDecisions(seed uint64) *decisionHash {
	h := newDecisionHash()
	steps := 0
	observedRandomRun(seed, 400, func(d *Dispatcher, _ time.Duration, _ []Event, actions []Action) {
		if actions == nil {
			return
		}
		h.actions(actions)
		if steps++; steps%25 == 0 {
			h.snapshot(d)
		}
	})
	return h
}

// decisionHash is a hash of actions and snapshots. It contains no names of Go types or fields, so that renames do not change it.
type decisionHash struct {
	sum    hash.Hash
	counts map[string]int
	state  []byte
}

func newDecisionHash() *decisionHash {
	return &decisionHash{sum: sha256.New(), counts: map[string]int{}}
}

func (h *decisionHash) add(label string, values ...uint64) {
	h.counts[label]++
	h.sum.Write([]byte(label))
	for _, x := range values {
		h.sum.Write(binary.LittleEndian.AppendUint64(nil, x))
	}
}

func (h *decisionHash) actions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			h.add("send", a.Job, a.Worker, uint64(a.AttemptTimeout))
		case Reject:
			h.add("refuse", a.Job, uint64(a.RetryAfter))
		case Fail:
			h.add("fail", a.Job)
		case Cancel:
			h.add("cancel", a.Job, uint64(a.Attempt))
		case HealthCheck:
			h.add("probe", a.Worker)
		case CloseIdleConnections:
			h.add("free-links", a.Worker)
		case SetTimer:
			h.add("timer", uint64(a.After))
		case Subscribe:
			h.add("subscribe")
		case Log:
			h.add("log")
			h.sum.Write([]byte(a.Text))
		case WorkerEjected:
			h.add("log")
			h.sum.Write([]byte(a.Text()))
		}
	}
}

func (h *decisionHash) snapshot(d *Dispatcher) {
	h.state = d.Snapshot(h.state[:0])
	h.sum.Write(h.state)
	h.sum.Write(d.ModelSnapshot(4096, nil))
	h.add("snapshot", uint64(d.AvoidedWorkers()), uint64(1000*d.AvailableSlots()))
}

func (h *decisionHash) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%x", h.sum.Sum(nil))
	for _, label := range []string{"send", "second", "refuse", "fail", "cancel", "probe", "free-links", "subscribe", "log"} {
		if n := h.counts[label]; n > 0 {
			fmt.Fprintf(&b, " %s=%d", label, n)
		}
	}
	return b.String()
}

// decisionCase is a simulation of a dispatcher: its settings and workload, and the faults of its fleet.
type decisionCase struct {
	name     string
	set      Settings
	workers  int
	slots    int
	rate     float64 // jobs a second
	noise    float64 // greatest relative error of hints
	span     time.Duration
	cold     bool // workers start and restart during the run
	faults   bool // workers fail, hang, break connections and reject
	cordons  bool
	handover bool // jobs and estimates come from another dispatcher
	assigned bool // the list says which dispatchers may use a warming worker
	single   bool // every job takes one slot, and the end of a run is notified before the start of the next
	idle     bool // there are pauses in which connections are idle, and some of these break
}

func decisionSettings(replicas int) Settings {
	return Settings{
		Replicas: replicas, ReplicaIndex: replicas / 2, Zone: 1, AttemptLimit: 4, Hedging: true, Cancellation: true, StartNotifications: true,
		ProgressInterval: 100 * ms, MaxRetryAfter: time.Second, ConnectTimeout: 40 * ms, ConnIdleTimeout: 5 * time.Second, PollInterval: 10 * time.Second,
		HealthChecks: true, HealthCheckCost: 0.004, CrossZoneCost: 0.02, HandshakeCost: 0.05, TailShare: 0.3, MissBudget: 0.02,
		WarmUp: 8 * time.Second, WarmUpCapacity: 0.2, OverloadFactor: 1.5, OverloadWindow: time.Second,
		ReportFields: []ReportField{ReportFieldOther, ReportFieldFreeSlots}, MustSubscribe: true,
		TenantQuota: []float64{0, 40 * float64(replicas), 10 * float64(replicas)},
		Classes: []Class{
			{LatencyObjective: 200 * ms, ObjectiveStretch: 3, ClientTimeout: 3 * time.Second, Idempotency: Idempotent, LateValue: 0.3, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: NonIdempotent, LateValue: 0.2, PriorityWeight: 2},
			{LatencyObjective: 300 * ms, ObjectiveStretch: 2, ClientTimeout: 4 * time.Second, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 2 * time.Second, PriorityWeight: 1},
			{LatencyObjective: 100 * ms, ObjectiveStretch: 2, ClientTimeout: 2 * time.Second, Idempotency: Idempotent, PriorityWeight: 3, Kinds: []int{0, 1}},
			{LatencyObjective: 2 * time.Second, ObjectiveStretch: 2, ClientTimeout: 8 * time.Second, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 4 * time.Second, LateValue: 0.5, PriorityWeight: 1},
		},
	}
}

func decisionCases() []*decisionCase {
	with := func(replicas int, change func(s *Settings)) Settings {
		s := decisionSettings(replicas)
		change(&s)
		return s
	}
	keep := func(*Settings) {}
	return []*decisionCase{
		{name: "steady", set: with(1, keep), workers: 8, slots: 4, rate: 120, noise: 0.3, span: 12 * time.Second},
		{name: "overload", set: with(1, keep), workers: 4, slots: 2, rate: 150, noise: 0.5, span: 12 * time.Second},
		{name: "cold", set: with(3, keep), workers: 10, slots: 4, rate: 60, noise: 0.3, span: 20 * time.Second, cold: true},
		{name: "assigned", set: with(6, keep), workers: 10, slots: 4, rate: 60, noise: 0.3, span: 20 * time.Second, cold: true, assigned: true},
		{name: "faults", set: with(2, keep), workers: 12, slots: 4, rate: 90, noise: 0.5, span: 20 * time.Second, faults: true},
		{name: "idle", set: with(1, func(s *Settings) { s.CrossZoneCost = 0 }), workers: 20, slots: 2, rate: 40, noise: 0.3, span: 30 * time.Second, idle: true},
		{
			name: "blind", set: with(4, func(s *Settings) {
				s.ReportFields, s.StartNotifications, s.ProgressInterval, s.HealthChecks = nil, false, 0, false
			}), workers: 10, slots: 3,
			rate: 90, noise: 0.4, span: 15 * time.Second, faults: true,
		},
		{
			name: "no-hedges", set: with(3, func(s *Settings) { s.Hedging, s.ReportFields = false, nil }), workers: 8, slots: 2, rate: 70, noise: 0.6,
			span: 15 * time.Second, faults: true, cold: true,
		},
		{
			name: "many-replicas", set: with(40, func(s *Settings) { s.ReportFields = nil }), workers: 30, slots: 2, rate: 80, noise: 0.5, span: 20 * time.Second, cold: true,
			faults: true,
		},
		{name: "cordons", set: with(2, keep), workers: 5, slots: 3, rate: 70, noise: 0.3, span: 25 * time.Second, cordons: true, faults: true},
		{name: "handover", set: with(12, keep), workers: 12, slots: 3, rate: 90, noise: 0.4, span: 20 * time.Second, handover: true, cold: true, faults: true},
		{
			name: "everything", set: with(9, keep), workers: 16, slots: 4, rate: 140, noise: 0.6, span: 30 * time.Second, handover: true, cold: true,
			faults: true, cordons: true, idle: true,
		},
		{name: "crowded", set: with(1, func(s *Settings) { s.ReportFields, s.HealthChecks = nil, false }), workers: 3, slots: 2, rate: 45, noise: 0.2, span: 20 * time.Second},
		{name: "wide-overload", set: with(1, keep), workers: 300, slots: 2, rate: 4000, noise: 0.3, span: 3 * time.Second},
		{name: "wide", set: with(1, func(s *Settings) { s.ReportFields = nil }), workers: 300, slots: 2, rate: 400, noise: 0.3, span: 8 * time.Second},
		{
			name: "late-starts", set: with(1, func(s *Settings) {
				s.ReportFields, s.HealthChecks, s.Hedging = nil, false, false
				s.Classes = []Class{{
					LatencyObjective: 400 * ms, ObjectiveStretch: 12, ClientTimeout: 8 * time.Second, Idempotency: NonIdempotent,
					LateValue: 0.9, PriorityWeight: 1,
				}}
			}), workers: 6, slots: 2, rate: 90, noise: 0.2, span: 20 * time.Second, single: true,
		},
		{name: "large-jobs", set: with(1, keep), workers: 260, slots: 2, rate: 5000, noise: 0.3, span: 3 * time.Second},
	}
}

// decisionRun simulates the fleet of a case: workers with slots and a queue, and jobs whose run times are drawn on arrival.
type decisionRun struct {
	*decisionCase
	t       *testing.T
	d       *Dispatcher
	rng     *rand.Rand
	hash    *decisionHash
	now     time.Duration
	end     time.Duration
	events  scheduledActions
	seq     int
	fleet   []*simulatedWorker
	jobs    map[uint64]*simulatedJob
	lastID  uint64
	timer   time.Duration
	steps   int
	actions []Action
}

type simulatedWorker struct {
	Worker
	speed       float64
	running     int
	queue       []*simulatedAttempt
	hung        bool
	failing     bool
	broken      bool
	incarnation int           // counts restarts
	endedAt     time.Duration // the end of its last attempt: since then its connections are idle
}

type simulatedJob struct {
	Job
	length   time.Duration
	attempts []*simulatedAttempt
	closed   bool
}

type simulatedAttempt struct {
	job         *simulatedJob
	number      int
	worker      *simulatedWorker
	incarnation int
	ended       bool
	runs        bool
}

// scheduledAction is run at a point in time. Those with the same time are run in the order in which they were scheduled.
type scheduledAction struct {
	at  time.Duration
	seq int
	do  func()
}

type scheduledActions []scheduledAction

func (h scheduledActions) Len() int { return len(h) }
func (h scheduledActions) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h scheduledActions) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *scheduledActions) Push(x any)   { *h = append(*h, x.(scheduledAction)) }
func (h *scheduledActions) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (c *decisionCase) run(t *testing.T) *decisionHash {
	t.Helper()
	p := &decisionRun{
		decisionCase: c, t: t, d: New(c.set, 7), rng: rand.New(rand.NewPCG(11, uint64(len(c.name)))), hash: newDecisionHash(),
		now: time.Hour, jobs: map[uint64]*simulatedJob{},
	}
	p.end = p.now + c.span
	for i := range c.workers {
		w := &simulatedWorker{Worker: Worker{ID: uint64(i + 1), Kind: i % 3, Zone: i % 3, Cell: i % 5, Ready: true, Size: float64(1 + i%2)}, speed: []float64{1, 1.3, 0.7}[i%3]}
		if c.cold && i%4 == 3 {
			w.BootAt = p.now - time.Duration(p.rng.IntN(6000))*ms
		}
		p.fleet = append(p.fleet, w)
	}
	p.step(p.list(ListCached))
	p.after(20*ms, func() { p.step(p.list(ListFull)) })
	p.afterRandomGap(p.arrival)
	if c.faults {
		p.after(time.Second, p.injectFault)
	}
	if c.cold {
		p.after(time.Second, p.restart)
	}
	if c.cordons {
		p.after(2*time.Second, p.cordon)
	}
	if c.handover {
		p.after(3*time.Second, p.handOver)
	}
	for len(p.events) > 0 {
		x := heap.Pop(&p.events).(scheduledAction)
		p.now = max(p.now, x.at)
		x.do()
	}
	p.hash.snapshot(p.d)
	return p.hash
}

func (p *decisionRun) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, scheduledAction{p.now + d, p.seq, do})
}

// afterRandomGap schedules an action after the random interval between two jobs, unless that is past the end.
func (p *decisionRun) afterRandomGap(do func()) {
	gap := time.Duration(p.rng.ExpFloat64() / p.rate * float64(time.Second))
	if p.idle && p.rng.IntN(150) == 0 {
		gap += time.Duration(p.rng.IntN(6000)) * ms
	}
	if p.now+gap < p.end {
		p.after(gap, do)
	}
}

func (p *decisionRun) list(kind ListKind) WorkerList {
	l := WorkerList{Kind: kind, Revision: int64(p.steps)}
	for i, w := range p.fleet {
		if kind == ListCached && i == len(p.fleet)-1 {
			continue
		}
		l.Workers = append(l.Workers, w.Worker)
	}
	return l
}

func (p *decisionRun) step(events ...Event) {
	p.actions = p.d.Step(p.now, events, p.actions[:0])
	acts := append([]Action(nil), p.actions...)
	p.hash.actions(acts)
	if p.steps++; p.steps%300 == 0 {
		p.hash.snapshot(p.d)
	}
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			p.send(a)
		case Reject:
			p.jobs[a.Job].closed = true
		case Fail:
			p.jobs[a.Job].closed = true
		case Cancel:
			p.cancel(p.jobs[a.Job].attempts[a.Attempt])
		case HealthCheck:
			p.checkHealth(a.Worker)
		case CloseIdleConnections:
			p.fleet[a.Worker-1].endedAt = 0
		case SetTimer:
			p.setTimer(a.After)
		case Subscribe:
			p.subscribe()
		}
	}
}

func (p *decisionRun) setTimer(span time.Duration) {
	at := p.now + span
	p.timer = at
	if p.now > p.end+10*time.Second {
		return
	}
	p.after(span, func() {
		if p.timer == at {
			p.timer = 0
			if p.rng.IntN(200) == 0 {
				p.now += 45 * ms // the process was stalled
			}
			p.step(TimerFired{})
		}
	})
}

func (p *decisionRun) subscribe() {
	if p.rng.IntN(3) == 0 {
		p.after(30*ms, func() { p.step(WorkerList{Kind: ListUnavailable}) })
		return
	}
	p.after(30*ms, func() { p.step(p.list(ListFull)) })
}

func (p *decisionRun) arrival() {
	p.lastID++
	class := p.rng.IntN(len(p.set.Classes))
	c := &p.set.Classes[class]
	run := time.Duration((0.2 + p.rng.ExpFloat64()) * float64(c.LatencyObjective) / 4)
	slots := 1.0
	if p.rng.IntN(12) == 0 {
		slots = float64(1 + p.rng.IntN(p.slots))
	}
	if p.single {
		slots = 1
	}
	hint := time.Duration(float64(run) * (1 + p.noise*(2*p.rng.Float64()-1)))
	if p.rng.IntN(15) == 0 {
		hint = 0
	}
	if p.rng.IntN(40) == 0 {
		run *= 6 // far more work than its hint says
	}
	j := Job{
		ID: p.lastID, Class: class, Tenant: p.rng.IntN(3), Key: uint64(p.rng.IntN(40)), Hint: hint, Slots: slots,
		Memory: p.rng.Float64(), Remaining: c.ClientTimeout,
	}
	if p.rng.IntN(10) == 0 {
		j.Retry, j.Remaining = true, c.ClientTimeout/2
	}
	job := &simulatedJob{Job: j, length: run}
	p.jobs[j.ID] = job
	if p.handover && p.rng.IntN(8) == 0 {
		p.resumeJob(job)
	} else {
		p.step(j)
	}
	if p.rng.IntN(60) == 0 {
		p.after(time.Duration(p.rng.IntN(500))*ms, func() { p.disconnect(job) })
	}
	p.afterRandomGap(p.arrival)
}

func (p *decisionRun) disconnect(j *simulatedJob) {
	if !j.closed {
		j.closed = true
		p.step(ClientDisconnected{Job: j.ID})
	}
}

func (p *decisionRun) resumeJob(j *simulatedJob) {
	e := JobResumed{Job: j.Job, Age: time.Duration(p.rng.IntN(400)) * ms, QuotaCharged: p.rng.IntN(2) == 0}
	for range p.rng.IntN(3) {
		w := p.fleet[p.rng.IntN(len(p.fleet))]
		past := p.pastAttempt(j, w)
		a := &simulatedAttempt{job: j, number: len(j.attempts), worker: w, incarnation: w.incarnation, ended: past.Ended}
		e.Attempts = append(e.Attempts, past)
		j.attempts = append(j.attempts, a)
		if past.Ended {
			continue
		}
		p.after(j.length, func() {
			a.ended = true
			result := OK
			if past.StartedAgo == 0 && p.rng.IntN(3) == 0 {
				result = ConnectionReset
			}
			p.outcome(a, past.Worker, result)
		})
	}
	p.step(e)
}

// unlistedWorkers is the least ID of workers that are in no list.
const unlistedWorkers = 9000

// pastAttempt draws an attempt that another dispatcher has made at a worker, sometimes at one that is not listed.
func (p *decisionRun) pastAttempt(j *simulatedJob, w *simulatedWorker) PastAttempt {
	past := PastAttempt{
		Worker: w.ID, SentAgo: time.Duration(p.rng.IntN(300)) * ms, Ended: p.rng.IntN(2) == 0, Result: Result(p.rng.IntN(8)),
	}
	if p.rng.IntN(5) == 0 {
		past.Worker += unlistedWorkers
	}
	for _, other := range j.attempts {
		past.Ended = past.Ended || other.worker == w && !other.ended
	}
	if past.Ended && past.Result == OK {
		past.Result = Failed
	}
	if !past.Ended && past.Worker < unlistedWorkers && p.rng.IntN(2) == 0 {
		past.StartedAgo = past.SentAgo / 2
	}
	return past
}

func (p *decisionRun) send(s Send) {
	j := p.jobs[s.Job]
	w := p.fleet[s.Worker-1]
	a := &simulatedAttempt{job: j, number: len(j.attempts), worker: w, incarnation: w.incarnation}
	for _, other := range j.attempts {
		if !other.ended {
			p.hash.counts["second"]++
			break
		}
	}
	j.attempts = append(j.attempts, a)
	switch {
	case p.idle && w.endedAt > 0 && p.now-w.endedAt > 300*ms && p.rng.IntN(4) > 0: // the connection was dropped without notice
		p.after(time.Duration(20+p.rng.IntN(100))*ms, func() { p.finish(a, ConnectionReset) })
	case w.broken:
		result := ConnectFailed
		if p.rng.IntN(3) == 0 {
			result = ConnectionReset
		}
		p.after(15*ms, func() { p.finish(a, result) })
	case w.failing && p.rng.IntN(2) == 0:
		p.after(5*ms, func() { p.finish(a, Failed) })
	case p.faults && len(w.queue) > 3:
		p.after(4*ms, func() { p.finish(a, WorkerFull) })
	default:
		p.after(2*ms, func() {
			w.queue = append(w.queue, a)
			p.startQueued(w)
		})
		p.after(j.Remaining+100*ms, func() { p.finish(a, TimedOut) })
	}
}

// startQueued starts the attempts queued at a worker while it has free slots.
func (p *decisionRun) startQueued(w *simulatedWorker) {
	for !w.hung && w.running < p.slots && len(w.queue) > 0 {
		a := w.queue[0]
		w.queue = w.queue[1:]
		if !a.ended && a.incarnation == w.incarnation {
			p.start(a, w)
		}
	}
}

// start starts the run of an attempt at its worker.
func (p *decisionRun) start(a *simulatedAttempt, w *simulatedWorker) {
	a.runs = true
	w.running++
	run := time.Duration(float64(a.job.length) / (w.speed * p.warmUpShare(w)))
	if p.set.StartNotifications && p.rng.IntN(50) > 0 {
		p.after(2*ms, func() { p.notify(a, Started{Job: a.job.ID, Attempt: a.number, Worker: w.ID}) })
	}
	if p.set.ProgressInterval > 0 {
		for at := p.set.ProgressInterval; at < run; at += p.set.ProgressInterval {
			share := float64(at) / float64(run)
			p.after(at, func() { p.notify(a, Progressed{Job: a.job.ID, Attempt: a.number, Worker: w.ID, Share: share}) })
		}
	}
	if p.rng.IntN(30) == 0 {
		p.after(run/2, func() { p.notify(a, ResponseStarted{Job: a.job.ID, Attempt: a.number, Worker: w.ID}) })
	}
	incarnation := w.incarnation
	p.after(run, func() {
		if w.incarnation == incarnation {
			p.endRun(a, w)
		}
	})
}

// endRun ends a run and starts the next one.
func (p *decisionRun) endRun(a *simulatedAttempt, w *simulatedWorker) {
	w.running--
	notifyEnd := func() { p.after(2*ms, func() { p.finish(a, OK) }) }
	if p.single {
		notifyEnd()
		p.startQueued(w)
	} else {
		p.startQueued(w)
		notifyEnd()
	}
}

// warmUpShare returns the fraction of its speed that a worker has, by the time since its start.
func (p *decisionRun) warmUpShare(w *simulatedWorker) float64 {
	if w.BootAt == 0 || p.now-w.BootAt > p.set.WarmUp {
		return 1
	}
	return p.set.WarmUpCapacity + (1-p.set.WarmUpCapacity)*float64(p.now-w.BootAt)/float64(p.set.WarmUp)
}

func (p *decisionRun) notify(a *simulatedAttempt, e Event) {
	if !a.ended && a.incarnation == a.worker.incarnation {
		p.step(e)
	}
}

func (p *decisionRun) finish(a *simulatedAttempt, r Result) {
	if a.ended {
		return
	}
	a.ended = true
	p.outcome(a, a.worker.ID, r)
}

func (p *decisionRun) outcome(a *simulatedAttempt, at uint64, r Result) {
	o := Outcome{Job: a.job.ID, Attempt: a.number, Worker: at, Result: r, Closed: r == OK || a.job.closed}
	a.job.closed = o.Closed
	a.worker.endedAt = p.now
	if len(p.set.ReportFields) > 0 && (r == OK || r == WorkerFull) {
		o.Report = []float64{1, float64(p.slots - a.worker.running)}
	}
	p.step(o)
}

func (p *decisionRun) cancel(a *simulatedAttempt) {
	if !a.runs && p.rng.IntN(2) == 0 {
		p.after(3*ms, func() { p.finish(a, NotSent) })
		return
	}
	p.after(3*ms, func() { p.finish(a, Cancelled) })
}

func (p *decisionRun) checkHealth(id uint64) {
	w := p.fleet[id-1]
	result, delay := OK, 2*ms
	switch {
	case w.broken:
		result, delay = ConnectFailed, 15*ms
	case w.hung:
		result, delay = TimedOut, 300*ms
	case p.rng.IntN(20) == 0:
		result = NotSent
	}
	p.after(delay, func() {
		e := HealthChecked{Worker: id, Result: result}
		if result == OK {
			e.Report = []float64{0, float64(p.slots - w.running)}
		}
		p.step(e)
	})
}

// injectFault makes a worker hang, fail or break connections for a random time, and schedules the next fault.
func (p *decisionRun) injectFault() {
	if p.now > p.end {
		return
	}
	w := p.fleet[p.rng.IntN(len(p.fleet))]
	span := time.Duration(200+p.rng.IntN(2500)) * ms
	switch p.rng.IntN(3) {
	case 0:
		w.hung = true
		p.after(span, func() {
			w.hung = false
			p.startQueued(w)
		})
	case 1:
		w.failing = true
		p.after(span, func() { w.failing = false })
	case 2:
		w.broken = true
		p.after(span, func() { w.broken = false })
	}
	p.after(time.Duration(300+p.rng.IntN(1500))*ms, p.injectFault)
}

// restart drains or removes a worker, and lists it as restarted later. Its attempts are lost.
func (p *decisionRun) restart() {
	if p.now > p.end {
		return
	}
	w := p.fleet[p.rng.IntN(len(p.fleet))]
	w.Ready = false
	isRemoved := p.rng.IntN(3) == 0
	entry := w.Worker
	entry.Removed = isRemoved
	p.step(WorkerList{Kind: ListDelta, Workers: []Worker{entry}})
	p.after(time.Duration(200+p.rng.IntN(1500))*ms, func() {
		w.incarnation++
		w.running, w.queue = 0, nil
		w.Ready, w.BootAt = true, p.now
		if p.assigned {
			w.Assignees, w.AssigneeRank = 1+p.rng.IntN(3), p.rng.IntN(4)
		}
		p.step(WorkerList{Kind: ListDelta, Workers: []Worker{w.Worker}})
	})
	if p.rng.IntN(4) == 0 {
		p.step(p.list(ListFull))
	}
	p.after(time.Duration(700+p.rng.IntN(1500))*ms, p.restart)
}

// cordon cordons one worker, or sometimes all of them, and uncordons them later.
func (p *decisionRun) cordon() {
	if p.now > p.end {
		return
	}
	n := 1
	if p.rng.IntN(4) == 0 {
		n = len(p.fleet)
	}
	for range n {
		id := uint64(p.rng.IntN(len(p.fleet)) + 1)
		if n > 1 {
			id = uint64(n)
			n--
		}
		p.step(Cordoned{Worker: id})
		p.after(time.Duration(500+p.rng.IntN(2000))*ms, func() { p.step(Uncordoned{Worker: id}) })
	}
	p.after(time.Duration(1000+p.rng.IntN(3000))*ms, p.cordon)
}

// handOver changes the number of dispatchers, applies a model, and replaces the dispatcher by one restored from its snapshot.
func (p *decisionRun) handOver() {
	if p.now > p.end {
		return
	}
	p.step(ReplicasChanged{Replicas: 1 + p.rng.IntN(p.set.Replicas), ReplicaIndex: p.rng.IntN(p.set.Replicas), QuotaShare: p.rng.Float64() * float64(p.rng.IntN(2))})
	p.step(ModelUpdate{Snapshot: p.d.ModelSnapshot(2000, nil), Age: time.Duration(p.rng.IntN(5000)) * ms, LoadShare: p.rng.Float64()})
	state := p.d.Snapshot(nil)
	d, err := Restore(p.set, state)
	if err != nil {
		p.t.Fatal(err)
	}
	for key, work := range p.d.workload.keyWork { // in any order, as it has no effect
		d.RecallKeyWork(key, work)
	}
	p.d = d
	p.after(time.Duration(3000+p.rng.IntN(3000))*ms, p.handOver)
}
