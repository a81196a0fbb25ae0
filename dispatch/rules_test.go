package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker checks the rules from events and actions alone. It shares no code and no state with the module.
type ruleChecker struct {
	set          Settings
	now          time.Duration
	jobs         map[uint64]*observedJob
	ready        map[uint64]Worker
	listed       map[uint64]Worker // as it was last listed
	everListed   map[uint64]bool
	probing      map[uint64]bool
	cordoned     map[uint64]bool // taken out by hand
	disconnected map[uint64]bool // clients gone in this batch: what was decided before that is disregarded
	timers       []time.Duration
	violations   []string
}

type observedJob struct {
	Job
	deadline          time.Duration
	closed, streaming bool
	attempts          []observedAttempt
}

type observedAttempt struct {
	worker    Worker
	sentAt    time.Duration
	ended     bool
	started   bool
	result    Result
	cancelled bool
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{set: set, jobs: map[uint64]*observedJob{}, ready: map[uint64]Worker{}, listed: map[uint64]Worker{}, everListed: map[uint64]bool{},
		probing: map[uint64]bool{}, cordoned: map[uint64]bool{}, disconnected: map[uint64]bool{}}
}

func (r *ruleChecker) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%v: ", r.now)+fmt.Sprintf(format, args...))
}

// observe follows what the dispatcher has been told.
func (r *ruleChecker) observe(events []Event) {
	clear(r.disconnected)
	for _, e := range events {
		switch e := e.(type) {
		case Job:
			r.jobs[e.ID] = &observedJob{Job: e, deadline: r.now + e.Remaining}
		case JobResumed:
			j := &observedJob{Job: e.Job, deadline: r.now + e.Job.Remaining}
			for _, p := range e.Attempts {
				w, known := r.listed[p.Worker]
				if !known {
					w = Worker{ID: p.Worker, Zone: -1, Cell: -1}
				}
				j.attempts = append(j.attempts, observedAttempt{worker: w, sentAt: r.now - p.SentAgo, started: p.StartedAgo > 0, ended: p.Ended, result: p.Result})
			}
			r.jobs[e.Job.ID] = j
		case Outcome:
			j := r.jobs[e.Job]
			t := &j.attempts[e.Attempt]
			t.ended, t.result = true, e.Result
			j.closed = j.closed || e.Closed
		case ResponseStarted:
			r.jobs[e.Job].streaming = true
		case ClientDisconnected:
			r.jobs[e.Job].closed = true
			r.disconnected[e.Job] = true
		case HealthChecked:
			r.probing[e.Worker] = false
		case Cordoned:
			r.cordoned[e.Worker] = true
		case Uncordoned:
			delete(r.cordoned, e.Worker)
		case WorkerList:
			if e.Kind == ListUnavailable {
				continue
			}
			if e.Kind != ListDelta {
				clear(r.ready)
			}
			for _, w := range e.Workers {
				delete(r.ready, w.ID)
				if w.Ready && !w.Removed {
					r.ready[w.ID] = w
				}
				r.everListed[w.ID], r.listed[w.ID] = true, w
			}
		}
	}
}

// possiblyExecuted is the wire's table of completion codes: only these three prove that nothing ran.
func (t observedAttempt) possiblyExecuted() bool {
	return !t.ended || t.result != WorkerFull && t.result != ConnectFailed && t.result != NotSent
}

func (r *ruleChecker) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			r.checkSend(a)
		case Reject:
			j := r.final("refuse", a.Job)
			if j == nil {
				continue
			}
			c := r.set.Classes[j.Class]
			harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll
			if !harmless && slices.ContainsFunc(j.attempts, observedAttempt.possiblyExecuted) {
				r.violation("job %d refused though it may have run", a.Job)
			}
		case Fail:
			r.final("fail", a.Job)
		case Cancel:
			j := r.jobs[a.Job]
			if !r.set.Cancellation || j == nil || a.Attempt < 0 || a.Attempt >= len(j.attempts) {
				r.violation("cancel of job %d attempt %d", a.Job, a.Attempt)
				continue
			}
			j.attempts[a.Attempt].cancelled = true
		case HealthCheck:
			if !r.set.HealthChecks || !r.everListed[a.Worker] {
				r.violation("probe of worker %d", a.Worker)
			}
			r.probing[a.Worker] = true
		case SetTimer:
			if a.After <= 0 {
				r.violation("timer of %v", a.After)
			}
			r.timers = append(r.timers, r.now+a.After)
		}
	}
	for id, j := range r.jobs {
		if !j.closed && !j.streaming && r.now > j.deadline {
			r.violation("job %d is open past its deadline", id)
		}
	}
}

func (r *ruleChecker) final(what string, id uint64) *observedJob {
	j := r.jobs[id]
	if r.disconnected[id] {
		return nil
	}
	if j == nil || j.closed {
		r.violation("%s of job %d, unknown or answered already", what, id)
		return nil
	}
	j.closed = true
	return j
}

func (r *ruleChecker) checkSend(a Send) {
	j := r.jobs[a.Job]
	w, ready := r.ready[a.Worker]
	if j == nil || j.closed && !r.disconnected[a.Job] {
		r.violation("send of job %d, unknown or closed", a.Job)
		return
	}
	if !ready {
		r.violation("send to worker %d, which drains or is gone", a.Worker)
	}
	if r.cordoned[a.Worker] {
		r.violation("send to worker %d, which is taken out", a.Worker)
	}
	c := r.set.Classes[j.Class]
	if c.Kinds != nil && !slices.Contains(c.Kinds, w.Kind) || c.Zones != nil && !slices.Contains(c.Zones, w.Zone) {
		r.violation("job %d of class %d sent to kind %d in zone %d", a.Job, j.Class, w.Kind, w.Zone)
	}
	for _, t := range j.attempts {
		if !t.ended && !r.set.Hedging {
			r.violation("second copy of job %d", a.Job)
		}
		if !t.ended && t.worker.ID == a.Worker {
			r.violation("job %d sent to worker %d, which has it", a.Job, a.Worker)
		}
		if !t.possiblyExecuted() || c.Idempotency == Idempotent {
			continue
		}
		same := c.DeduplicationScope == ScopeAll || c.DeduplicationScope == ScopeZone && t.worker.Zone == w.Zone ||
			c.DeduplicationScope == ScopeCell && t.worker.Cell == w.Cell
		if c.Idempotency == NonIdempotent || !same || r.now-t.sentAt+r.set.ConnectTimeout > c.DeduplicationWindow { // it may wait for its connection
			r.violation("job %d sent again though it may have run", a.Job)
		}
	}
	j.attempts = append(j.attempts, observedAttempt{worker: w, sentAt: r.now})
	if len(j.attempts) > r.set.AttemptLimit {
		r.violation("job %d has %d attempts", a.Job, len(j.attempts))
	}
}

// randomSettings draws widely, beyond what any known deployment has.
func randomSettings(rng *rand.Rand) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	ms := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
	set := Settings{Replicas: rng.IntN(6), ReplicaIndex: rng.IntN(5), Zone: rng.IntN(3), MustSubscribe: flip(), AttemptLimit: 1 + rng.IntN(5),
		Hedging: flip(), Cancellation: flip(), HealthChecks: flip(), StartNotifications: flip(), MaxRetryAfter: ms(2000),
		ReportFields: []ReportField{ReportFieldOther, ReportFieldFreeSlots}[:rng.IntN(3)], HealthCheckCost: rng.Float64() * 0.01,
		CrossZoneCost: rng.Float64() * 0.1, ConnectTimeout: ms(300), PollInterval: ms(10000), WarmUp: ms(20000),
		WarmUpCapacity: rng.Float64(), OverloadFactor: 1 + 3*rng.Float64(), OverloadWindow: ms(3000)}
	for range 1 + rng.IntN(4) {
		set.Classes = append(set.Classes, Class{LatencyObjective: ms(1000), ObjectiveStretch: 3 * rng.Float64(), ClientTimeout: ms(8000),
			Idempotency: Idempotency(rng.IntN(3)), DeduplicationScope: DeduplicationScope(rng.IntN(3)), DeduplicationWindow: ms(3000),
			LateValue: max(0, rng.Float64()-0.5), PriorityWeight: 5 * rng.Float64(), Kinds: randomPlacement(rng), Zones: randomPlacement(rng)})
	}
	for range rng.IntN(3) {
		set.TenantQuota = append(set.TenantQuota, 20*rng.Float64())
	}
	return set
}

// randomPlacement draws what a class is bound to: mostly nothing, at times none or only what does not exist.
func randomPlacement(rng *rand.Rand) []int {
	if rng.IntN(3) > 0 {
		return nil
	}
	names := []int{}
	for n := range 5 {
		if rng.IntN(3) == 0 {
			names = append(names, n)
		}
	}
	return names
}

// randomRun feeds a dispatcher a random legal sequence of events; nothing models a worker.
func randomRun(seed uint64, steps int) (*ruleChecker, *Dispatcher, []Action) {
	return observedRandomRun(seed, steps, func(*Dispatcher, time.Duration, []Event, []Action) {})
}

// observedRandomRun shows each step's events to someone before the dispatcher gets them, and its actions after that.
func observedRandomRun(seed uint64, steps int, beside func(*Dispatcher, time.Duration, []Event, []Action)) (*ruleChecker, *Dispatcher, []Action) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := randomSettings(rng)
	d, r := New(set, seed), newRuleChecker(set)
	r.now = time.Duration(rng.IntN(1e9))
	var log []Action
	id := uint64(0)
	for range steps {
		r.now += time.Duration(rng.IntN(40)) * time.Millisecond
		var events []Event
		due := slices.IndexFunc(r.timers, func(at time.Duration) bool { return at <= r.now })
		for due >= 0 {
			// A timer is delivered at its time, before anything later happens.
			r.now = slices.Min(r.timers)
			r.timers = slices.DeleteFunc(r.timers, func(at time.Duration) bool { return at <= r.now })
			due = -1
			events = append(events, TimerFired{})
		}
		events = append(events, randomList(rng, r)...)
		for range rng.IntN(3) {
			id++
			j := Job{ID: id, Class: rng.IntN(len(set.Classes)), Tenant: rng.IntN(3),
				Remaining: time.Duration(rng.IntN(8000)) * time.Millisecond, Slots: float64(rng.IntN(5)),
				Memory: 3 * rng.Float64(), Hint: time.Duration(rng.IntN(3)) * time.Duration(rng.IntN(2e9)), Key: id % 7}
			if rng.IntN(4) == 0 {
				events = append(events, JobResumed{Job: j, Age: time.Duration(rng.IntN(3000)) * time.Millisecond, QuotaCharged: id%2 == 0, Attempts: randomPastAttempts(rng)})
			} else {
				events = append(events, j)
			}
		}
		if rng.IntN(20) == 0 {
			events = append(events, Cordoned{Worker: uint64(rng.IntN(10) + 1)}) // repeated, not listed yet, or any
		}
		for n := range rng.IntN(3) / 2 * 3 {
			events = append(events, Uncordoned{Worker: uint64(rng.IntN(10) + n + 1)})
		}
		if rng.IntN(60) == 0 {
			events = append(events, ReplicasChanged{Replicas: rng.IntN(4), ReplicaIndex: rng.IntN(4), QuotaShare: rng.Float64() * float64(rng.IntN(2))})
		}
		if rng.IntN(100) == 0 {
			events = append(events, ModelUpdate{Snapshot: d.ModelSnapshot(rng.IntN(600), nil), Age: time.Duration(rng.IntN(1e10)), LoadShare: rng.Float64()})
		}
		events = append(events, randomOutcomes(rng, r)...)
		r.observe(events)
		beside(d, r.now, events, nil)
		actions := d.Step(r.now, events, []Action{})
		beside(d, r.now, events, actions)
		r.check(actions)
		log = append(log, actions...)
	}
	return r, d, log
}

// randomPastAttempts draws what came of a job before. Some of the workers are not listed, or not known.
func randomPastAttempts(rng *rand.Rand) (pasts []PastAttempt) {
	for range rng.IntN(4) {
		p := PastAttempt{Worker: uint64(rng.IntN(10) + 1), SentAgo: time.Duration(rng.IntN(3000)) * time.Millisecond, Ended: rng.IntN(2) == 0,
			Result: Result(rng.IntN(9))}
		if slices.ContainsFunc(pasts, func(o PastAttempt) bool { return o.Worker == p.Worker }) {
			p.Ended = true // no worker has two
		}
		if rng.IntN(2) == 0 {
			p.StartedAgo = time.Duration(rng.Int64N(int64(p.SentAgo + 1)))
		}
		pasts = append(pasts, p)
	}
	return pasts
}

func randomList(rng *rand.Rand, r *ruleChecker) []Event {
	if len(r.everListed) > 0 && rng.IntN(15) > 0 {
		return nil
	}
	list := WorkerList{Kind: ListKind(rng.IntN(4))}
	if list.Kind == ListUnavailable {
		return []Event{list}
	}
	for n := range rng.IntN(8) {
		w := Worker{ID: uint64(n + 1), Kind: n % 3, Zone: n % 2, Cell: n % 4, Ready: rng.IntN(4) > 0}
		if rng.IntN(6) == 0 {
			w.AssigneeRank, w.Assignees = rng.IntN(3), rng.IntN(3)
		}
		if rng.IntN(4) == 0 {
			w.BootAt = r.now - time.Duration(rng.IntN(1e9))
		}
		w.Removed = list.Kind == ListDelta && rng.IntN(5) == 0
		list.Workers = append(list.Workers, w)
	}
	return []Event{list}
}

// randomOutcomes ends or starts attempts that are out, lets clients go and answers probes.
func randomOutcomes(rng *rand.Rand, r *ruleChecker) (events []Event) {
	ids := make([]uint64, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := r.jobs[id]
		for n := range j.attempts {
			t := &j.attempts[n]
			if t.ended {
				continue
			}
			overdue := !j.streaming && r.now >= j.deadline
			if !overdue && !t.cancelled && rng.IntN(8) > 0 {
				continue
			}
			if !t.started && r.set.StartNotifications && rng.IntN(2) == 0 && !overdue {
				t.started = true
				events = append(events, Started{Job: id, Attempt: n, Worker: t.worker.ID})
				continue
			}
			if rng.IntN(3) == 0 && !overdue {
				events = append(events, Progressed{Job: id, Attempt: n, Worker: t.worker.ID, Share: rng.Float64()})
				continue
			}
			result := Result(rng.IntN(8))
			if overdue {
				result = TimedOut
			} else if t.cancelled {
				result = Cancelled
			}
			closed := j.closed || result == OK
			events = append(events, Outcome{Job: id, Attempt: n, Worker: t.worker.ID, Result: result, Closed: closed,
				Report: []float64{rng.Float64(), 5*rng.Float64() - 1}[:rng.IntN(3)]})
			if closed {
				j.closed = true
			}
		}
		if !j.closed && rng.IntN(200) == 0 {
			events = append(events, ClientDisconnected{Job: id})
			j.closed = true
		}
		if j.closed && !slices.ContainsFunc(j.attempts, func(t observedAttempt) bool { return !t.ended }) && rng.IntN(20) == 0 &&
			!slices.ContainsFunc(events, func(e Event) bool { return concerns(e, id) }) {
			delete(r.jobs, id)
		}
	}
	for id := uint64(1); id < 9; id++ {
		if r.probing[id] && rng.IntN(3) == 0 {
			events = append(events, HealthChecked{Worker: id, Result: Result(rng.IntN(8)), Report: []float64{1, rng.Float64()}})
		}
	}
	return events
}

func concerns(e Event, id uint64) bool {
	switch e := e.(type) {
	case Outcome:
		return e.Job == id
	case ClientDisconnected:
		return e.Job == id
	}
	return false
}

func checkRandomRun(t *testing.T, seed uint64, steps int) (sends int) {
	t.Helper()
	r, _, log := randomRun(seed, steps)
	if len(r.violations) > 0 {
		t.Fatalf("seed %d: %d faults, the first: %s", seed, len(r.violations), r.violations[0])
	}
	for _, a := range log {
		if _, ok := a.(Send); ok {
			sends++
		}
	}
	return sends
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	t.Parallel()
	sends := 0
	for seed := range uint64(300) {
		sends += checkRandomRun(t, seed, 300)
	}
	if sends < 5000 {
		t.Fatalf("only %d attempts made: the test sees too little", sends)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		_, _, a := randomRun(seed, 200)
		_, _, b := randomRun(seed, 200)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two plays differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(100))
	f.Add(uint64(77), uint16(400))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { checkRandomRun(t, seed, int(steps%1000)) })
}

// Rule 4 by an independent ledger: workers of three slots whose runs take just what was hinted.
func TestWarmUpBudget(t *testing.T) {
	t.Parallel()
	cold := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = 3, 20*time.Second, 0.1, 3, 2*time.Second
		s := newHarness(t, set)
		boot := map[uint64]time.Duration{}
		list := WorkerList{Kind: ListFull}
		for id := uint64(1); id <= 6; id++ {
			w := Worker{ID: id, Ready: true}
			if id > 3 {
				w.BootAt = s.now + time.Duration(rng.IntN(1e9))
				boot[id] = w.BootAt
			}
			list.Workers = append(list.Workers, w)
		}
		s.step(list)
		type spend struct {
			at   time.Duration
			work float64
		}
		spent := map[uint64][]spend{}
		running, slots := map[uint64]float64{}, 3.0 // what the dispatcher could see a worker run at once
		var ends []dueEvent
		for id := uint64(1); id < 1500; id++ {
			s.wait(time.Duration(rng.IntN(30)) * time.Millisecond)
			ends = slices.DeleteFunc(ends, func(x dueEvent) bool {
				over := x.at <= s.now
				if over {
					running[x.e.(Outcome).Worker]--
				}
				return over
			})
			hint := time.Duration(20+rng.IntN(600)) * time.Millisecond
			s.step(Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1})
			for _, a := range s.take() {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				j := s.jobs[send.Job]
				running[send.Worker]++
				slots = max(slots, running[send.Worker])
				ends = append(ends, dueEvent{s.now + j.Hint, Outcome{Worker: send.Worker}})
				s.after(2*time.Millisecond, Started{Job: send.Job, Attempt: j.tries - 1, Worker: send.Worker})
				s.after(2*time.Millisecond+j.Hint, Outcome{Job: send.Job, Attempt: j.tries - 1, Worker: send.Worker,
					Result: OK, Closed: true, Report: []float64{3}})
				b, ok := boot[send.Worker]
				if age := s.now - b; ok && age < set.WarmUp {
					spent[send.Worker] = append(spent[send.Worker], spend{s.now, j.Hint.Seconds()})
					sum := 0.0
					for _, x := range spent[send.Worker] {
						if s.now-x.at <= set.OverloadWindow {
							sum += x.work
						}
					}
					share := 0.1 + 0.9*max(0, age).Seconds()/20
					if most := 3 * slots * share * 2 / 3; sum > most {
						t.Fatalf("seed %d: worker %d, %v old, was sent %.2f s of work, our part is %.2f", seed, send.Worker, age, sum, most)
					}
					cold++
				}
			}
		}
	}
	if cold < 500 {
		t.Fatalf("only %d sends to cold workers: the test sees too little", cold)
	}
}

// Rule 4 with hundreds of dispatchers on one cold worker: what they send together in any span stays under the
// budget, also where each of them restarts at random, and the worker is not left idle either.
func TestWarmUpBudgetSharedByHundreds(t *testing.T) {
	t.Parallel()
	for _, replicas := range []int{3, 40, 300} {
		rng := rand.New(rand.NewPCG(uint64(replicas), 3))
		set := testSettings()
		set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = replicas, 20*time.Second, 0.12, 3, 2*time.Second
		start := time.Hour
		lists := []Event{WorkerList{Kind: ListFull, Workers: []Worker{{ID: 77, Ready: true, BootAt: start}}}}
		all := make([]*Dispatcher, replicas)
		begin := func(i int) {
			own := set
			own.ReplicaIndex = i
			all[i] = New(own, uint64(i))
		}
		for i := range all {
			begin(i)
			all[i].Step(start-time.Minute, nil, nil)
		}
		var spent []spend
		sent, id := 0, uint64(0)
		type end struct {
			at  time.Duration
			i   int
			job uint64
		}
		var ends []end
		for now := start; now < start+20*time.Second; now += 20 * time.Millisecond {
			for _, e := range ends {
				if e.at <= now { // a dispatcher that restarted ignores it
					all[e.i].Step(now, []Event{Outcome{Job: e.job, Worker: 77, Result: OK, Closed: true}}, nil)
				}
			}
			ends = slices.DeleteFunc(ends, func(e end) bool { return e.at <= now })
			for range 3 {
				i := rng.IntN(replicas)
				if rng.IntN(1500) < replicas {
					begin(i)
				}
				id++
				hint := time.Duration(20+rng.ExpFloat64()*250) * time.Millisecond
				events := append(slices.Clone(lists), Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: hint, Slots: 1})
				for _, a := range all[i].Step(now, events, nil) {
					s, ok := a.(Send)
					if !ok || s.Job != id {
						continue // a job held from before ends soon without it
					}
					// The run takes twice its hint.
					spent = append(spent, spend{now, 2 * hint.Seconds()})
					sent++
					all[i].Step(now+time.Millisecond, []Event{Started{Job: id, Worker: 77}}, nil)
					ends = append(ends, end{now + 2*hint, i, id})
				}
				spent = slices.DeleteFunc(spent, func(s spend) bool { return now-s.at > set.OverloadWindow })
				sum := 0.0
				for _, s := range spent {
					sum += s.work
				}
				// One core of speed 1, the least that the dispatchers can have seen, runs the work.
				share := 0.12 + 0.88*(now-start).Seconds()/20
				if most := 3 * share * 2; sum > most {
					t.Fatalf("%d dispatchers: %.2f s of work within a span at %v, %.2f allowed", replicas, sum, now-start, most)
				}
			}
		}
		if sent < 5 { // one core warming over twenty seconds
			t.Fatalf("%d dispatchers sent the cold worker %d jobs only", replicas, sent)
		}
	}
}

// A class bound to kinds or zones goes nowhere else, and is closed in time where nothing is open to it.
func TestPlacement(t *testing.T) {
	cases := []struct {
		name         string
		kinds, zones []int
		open         []uint64
	}{
		{"free", nil, nil, []uint64{1, 2, 3, 4}},
		{"one kind", []int{1}, nil, []uint64{3, 4}},
		{"one zone", nil, []int{1}, []uint64{2, 4}},
		{"both", []int{0, 2}, []int{1, 3}, []uint64{2}},
		{"what does not exist", []int{9}, nil, nil},
		{"nothing", []int{}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes[0].Kinds, set.Classes[0].Zones = c.kinds, c.zones
			s := newHarness(t, set)
			s.step(WorkerList{Kind: ListFull, Workers: []Worker{{ID: 1, Ready: true}, {ID: 2, Ready: true, Zone: 1},
				{ID: 3, Ready: true, Kind: 1}, {ID: 4, Ready: true, Kind: 1, Zone: 1}}})
			for id := uint64(1); id <= 8; id++ {
				s.step(s.job(id, 0, 200*ms)) // nothing starts: further attempts and copies follow
				s.wait(100 * ms)
			}
			s.wait(6 * time.Second)
			var used []uint64
			ended := 0
			for _, a := range s.take() {
				switch a := a.(type) {
				case Send:
					used = append(used, a.Worker)
				case Reject, Fail:
					ended++
				}
			}
			slices.Sort(used)
			if used = slices.Compact(used); !slices.Equal(used, c.open) {
				t.Fatalf("workers %v were used, %v are open", used, c.open)
			}
			if ended != 8 {
				t.Fatalf("%d of 8 jobs were closed", ended)
			}
		})
	}
}

// Rule 4 with hundreds of dispatchers that draw lots for the cold workers of a fleet whose other workers are offered
// more than they can do: each cold worker gets its share of what the others get, in any span no more than the budget
// with what chance adds to it, and none is left unused.
func TestWarmingWorkersAreChosenByLottery(t *testing.T) {
	t.Parallel()
	const replicas, warm, cold, slots = 300, 24, 8, 4
	rng := rand.New(rand.NewPCG(5, 6))
	set := testSettings()
	set.Replicas, set.WarmUp, set.WarmUpCapacity, set.OverloadFactor, set.OverloadWindow = replicas, 8*time.Second, 0.4, 3, 2*time.Second
	start := time.Hour
	list := WorkerList{Kind: ListFull}
	for id := range uint64(warm + cold) {
		w := Worker{ID: id + 1, Ready: true}
		if id >= warm {
			w.BootAt = start
		}
		list.Workers = append(list.Workers, w)
	}
	all := make([]*Dispatcher, replicas)
	begin := func(i int) {
		own := set
		own.ReplicaIndex = i
		all[i] = New(own, uint64(i))
		all[i].Step(start-time.Second, []Event{list}, nil)
	}
	for i := range all {
		begin(i)
	}
	type run struct {
		at     time.Duration
		i      int
		worker uint64
		job    uint64
		number int
		began  bool
	}
	const work = 300 * time.Millisecond // of a job; a worker has four slots
	free := make([]time.Duration, (warm+cold+1)*slots)
	var runs []run
	sent, spent, id := make([]int, warm+cold+1), make([][]time.Duration, warm+cold+1), uint64(0)
	take := func(i int, now time.Duration, actions []Action, numbers map[uint64]int) {
		for _, a := range actions {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			number := numbers[s.Job]
			numbers[s.Job]++
			if sent[s.Worker]++; s.Worker > warm {
				spent[s.Worker] = append(spent[s.Worker], now)
			}
			next := &free[int(s.Worker)*slots]
			for k := range slots {
				if slot := &free[int(s.Worker)*slots+k]; *slot < *next {
					next = slot
				}
			}
			begins := max(now+time.Millisecond, *next)
			*next = begins + work
			runs = append(runs, run{begins, i, s.Worker, s.Job, number, false}, run{begins + work, i, s.Worker, s.Job, number, true})
		}
	}
	numbers := make([]map[uint64]int, replicas)
	for i := range numbers {
		numbers[i] = map[uint64]int{}
	}
	offered := 1.4 * warm * slots / work.Seconds()
	for now := start; now < start+8*time.Second; now += 10 * time.Millisecond {
		due := runs
		runs = nil
		for _, r := range due {
			if r.at > now {
				runs = append(runs, r)
				continue
			}
			var e Event = Started{Job: r.job, Attempt: r.number, Worker: r.worker}
			if r.began {
				e = Outcome{Job: r.job, Attempt: r.number, Worker: r.worker, Result: OK, Closed: true}
			}
			take(r.i, now, all[r.i].Step(now, []Event{e}, nil), numbers[r.i])
		}
		if i := rng.IntN(replicas); rng.IntN(30) == 0 { // one restarts now and then, and knows nothing of what it sent
			begin(i)
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.i == i })
		}
		for n := rng.Float64() * 2 * offered / 100; n > 0; n-- {
			i := int(float64(replicas) * rng.Float64() * rng.Float64()) // some get several times the mean
			id++
			job := Job{ID: id, Class: 0, Remaining: 5 * time.Second, Hint: work, Slots: 1}
			take(i, now, all[i].Step(now, []Event{job, TimerFired{}}, nil), numbers[i])
		}
		for w := range spent {
			spent[w] = slices.DeleteFunc(spent[w], func(at time.Duration) bool { return now-at > set.OverloadWindow })
			share := 0.4 + 0.6*(now-start).Seconds()/8
			most := set.OverloadFactor * share * slots / work.Seconds() * set.OverloadWindow.Seconds()
			if n := float64(len(spent[w])); n > most+2*math.Sqrt(most)+2 {
				t.Fatalf("worker %d got %v jobs within a span at %v, of %.0f", w, n, now-start, most)
			}
		}
	}
	others := 0
	for _, n := range sent[1 : warm+1] {
		others += n
	}
	for w := warm + 1; w <= warm+cold; w++ {
		if least := others / warm / 8; sent[w] < least {
			t.Errorf("cold worker %d got %d jobs, fewer than %d", w, sent[w], least)
		}
	}
	t.Logf("warm ones got %d jobs each, cold ones %v", others/warm, sent[warm+1:])
}
