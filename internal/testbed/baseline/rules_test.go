package baseline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// ruledJob is the referee's state of a job.
type ruledJob struct {
	dispatch.Job
	deadline time.Duration
	ended    bool
	attempts []ruledAttempt
}

// ruledAttempt is the referee's state of an attempt.
type ruledAttempt struct {
	worker dispatch.Worker
	sentAt time.Duration
	ended  bool
	result dispatch.Result
}

func (r ruledAttempt) possiblyExecuted() bool {
	return !r.ended || r.result != dispatch.WorkerFull && r.result != dispatch.ConnectFailed && r.result != dispatch.NotSent
}

// Every policy follows the rules, against random events.
func TestRules(t *testing.T) {
	for _, policy := range All() {
		for seed := range uint64(60) {
			checkRules(t, policy, seed)
		}
	}
}

// referee checks a policy against the rules.
type referee struct {
	t        *testing.T
	policy   Policy
	seed     uint64
	settings dispatch.Settings
	module   requests.Policy
	now      time.Duration
	jobs     map[uint64]*ruledJob
	ids      []uint64
	ready    map[uint64]dispatch.Worker
	list     dispatch.WorkerList
}

func (r *referee) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("%s, seed %d, at %v: "+format, append([]any{r.policy.Name, r.seed, r.now}, args...)...)
}

// step has the policy handle events, and checks what it does.
func (r *referee) step(events ...dispatch.Event) {
	r.t.Helper()
	for _, action := range r.module.Step(r.now, events, nil) {
		r.check(action)
	}
	for _, id := range r.ids {
		if job := r.jobs[id]; !job.ended && r.now >= job.deadline {
			r.fail("job %d is open at its deadline", id)
		}
	}
}

func (r *referee) check(action dispatch.Action) {
	r.t.Helper()
	switch a := action.(type) {
	case dispatch.Send:
		r.checkSend(r.jobs[a.Job], r.ready[a.Worker])
	case dispatch.Reject:
		job := r.jobs[a.Job]
		class := r.settings.Classes[job.Class]
		if job.ended || class.Idempotency != dispatch.Idempotent && (class.Idempotency != dispatch.IdempotentWithKey || class.DeduplicationScope != dispatch.ScopeAll) &&
			slices.ContainsFunc(job.attempts, ruledAttempt.possiblyExecuted) {
			r.fail("job %+v refused", job)
		}
		job.ended = true
	case dispatch.Fail:
		if r.jobs[a.Job].ended {
			r.fail("job %d answered twice", a.Job)
		}
		r.jobs[a.Job].ended = true
	case dispatch.SetTimer:
		if a.After <= 0 {
			r.fail("timer of %v", a.After)
		}
	}
}

func (r *referee) checkSend(job *ruledJob, worker dispatch.Worker) {
	r.t.Helper()
	if job.ended || worker.ID == 0 || len(job.attempts) >= r.settings.AttemptLimit || r.now >= job.deadline {
		r.fail("job %+v sent to worker %+v", job, worker)
	}
	class := r.settings.Classes[job.Class]
	if class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind) {
		r.fail("a job sent to a kind that its class may not go to")
	}
	for _, earlier := range job.attempts {
		if !earlier.ended && (!r.settings.Hedging || earlier.worker.ID == worker.ID) {
			r.fail("a second copy")
		}
		if earlier.possiblyExecuted() && !r.mayRepeat(&class, earlier, worker) {
			r.fail("class %d sent again though it may have run", job.Class)
		}
	}
	job.attempts = append(job.attempts, ruledAttempt{worker: worker, sentAt: r.now})
}

// mayRepeat reports whether a job may be sent to a worker after an attempt that was possibly executed.
func (r *referee) mayRepeat(class *dispatch.Class, earlier ruledAttempt, worker dispatch.Worker) bool {
	same := class.DeduplicationScope == dispatch.ScopeAll || class.DeduplicationScope == dispatch.ScopeZone && earlier.worker.Zone == worker.Zone ||
		class.DeduplicationScope == dispatch.ScopeCell && earlier.worker.Cell == worker.Cell
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && same && r.now-earlier.sentAt <= class.DeduplicationWindow
}

// setReady sets whether a worker of the list is ready; the policy is notified with the next list.
func (r *referee) setReady(index int, ready bool) {
	r.list.Workers[index].Ready = ready
	delete(r.ready, uint64(index+1))
	if ready {
		r.ready[uint64(index+1)] = r.list.Workers[index]
	}
}

// ruledSettings are the settings of a seed: a class of each idempotency.
func ruledSettings(seed uint64) dispatch.Settings {
	settings := plain
	settings.Hedging = seed%2 == 0
	settings.MustSubscribe = seed%3 == 0
	settings.PollInterval = time.Second
	settings.Classes = nil
	for _, idempotency := range []dispatch.Idempotency{dispatch.Idempotent, dispatch.IdempotentWithKey, dispatch.NonIdempotent} {
		class := dispatch.Class{
			LatencyObjective: 300 * time.Millisecond, ObjectiveStretch: 1, ClientTimeout: 2 * time.Second, Idempotency: idempotency,
			DeduplicationScope: dispatch.DeduplicationScope(seed % 3), DeduplicationWindow: time.Second,
		}
		if seed%5 == 0 {
			class.Kinds = []int{0}
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

func checkRules(t *testing.T, policy Policy, seed uint64) {
	t.Helper()
	const nodes = 6
	rng := rand.New(rand.NewPCG(seed, 9))
	oracle := newFakeOracle(nodes)
	referee := &referee{
		t: t, policy: policy, seed: seed, settings: ruledSettings(seed), now: time.Second, jobs: map[uint64]*ruledJob{},
		ready: map[uint64]dispatch.Worker{}, list: listOf(nodes),
	}
	referee.module = policy.ForRun()(referee.settings, seed, oracle)
	for worker := range nodes {
		referee.setReady(worker, true)
	}
	referee.step(referee.list)
	for range 400 {
		referee.now += time.Duration(rng.IntN(40)) * time.Millisecond
		switch rng.IntN(6) {
		case 0:
			worker := rng.IntN(nodes)
			oracle.truth[worker].Up = rng.IntN(4) > 0
			referee.setReady(worker, rng.IntN(3) > 0)
			referee.step(referee.list)
		case 1:
			referee.step(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
		case 2, 3:
			id := uint64(len(referee.ids) + 1)
			job := &ruledJob{Job: dispatch.Job{ID: id, Class: rng.IntN(3), Remaining: 2 * time.Second, Slots: float64(1 + rng.IntN(2))}}
			job.deadline = referee.now + job.Remaining
			referee.jobs[id] = job
			referee.ids = append(referee.ids, id)
			referee.step(job.Job)
		default:
			if len(referee.ids) == 0 {
				continue
			}
			job := referee.jobs[referee.ids[max(0, len(referee.ids)-1-rng.IntN(12))]]
			index := slices.IndexFunc(job.attempts, func(attempt ruledAttempt) bool { return !attempt.ended })
			if index < 0 {
				referee.step(dispatch.TimerFired{})
				continue
			}
			attempt := &job.attempts[index]
			attempt.ended = true
			attempt.result = dispatch.Result(rng.IntN(int(dispatch.NotSent) + 1))
			job.ended = job.ended || attempt.result == dispatch.OK
			referee.step(dispatch.Outcome{Job: job.ID, Attempt: index, Worker: attempt.worker.ID, Result: attempt.result, Closed: job.ended})
		}
	}
	for range 100 { // all deadlines pass
		referee.now += 30 * time.Millisecond
		referee.step(dispatch.TimerFired{})
	}
}
