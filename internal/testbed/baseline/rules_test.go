package baseline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// checkedJob is the checker's record of a job.
type checkedJob struct {
	dispatch.Job
	deadline time.Duration
	ended    bool
	attempts []checkedAttempt
}

// checkedAttempt is the checker's record of an attempt.
type checkedAttempt struct {
	worker dispatch.Worker
	sentAt time.Duration
	ended  bool
	result dispatch.Result
}

func (r checkedAttempt) possiblyExecuted() bool {
	return !r.ended || r.result != dispatch.WorkerFull && r.result != dispatch.ConnectFailed && r.result != dispatch.NotSent
}

// Every policy follows the rules for schedulers, whatever events it gets.
func TestPoliciesFollowRules(t *testing.T) {
	for _, policy := range All() {
		for seed := range uint64(60) {
			checkRules(t, policy, seed)
		}
	}
}

// ruleChecker checks a policy against the rules.
type ruleChecker struct {
	t        *testing.T
	policy   Policy
	seed     uint64
	settings dispatch.Settings
	tested   requests.Policy
	now      time.Duration
	jobs     map[uint64]*checkedJob
	ids      []uint64
	ready    map[uint64]dispatch.Worker
	list     dispatch.WorkerList
}

func (r *ruleChecker) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("%s, seed %d, at %v: "+format, append([]any{r.policy.Name, r.seed, r.now}, args...)...)
}

// step has the policy handle events, and checks what it does.
func (r *ruleChecker) step(events ...dispatch.Event) {
	r.t.Helper()
	for _, action := range r.tested.Step(r.now, events, nil) {
		r.check(action)
	}
	for _, id := range r.ids {
		if job := r.jobs[id]; !job.ended && r.now >= job.deadline {
			r.fail("job %d is open at its deadline", id)
		}
	}
}

func (r *ruleChecker) check(action dispatch.Action) {
	r.t.Helper()
	switch a := action.(type) {
	case dispatch.Send:
		r.checkSend(r.jobs[a.Job], r.ready[a.Worker])
	case dispatch.Reject:
		job := r.jobs[a.Job]
		class := r.settings.Classes[job.Class]
		if job.ended || class.Idempotency != dispatch.Idempotent && (class.Idempotency != dispatch.IdempotentWithKey || class.DeduplicationScope != dispatch.ScopeAll) &&
			slices.ContainsFunc(job.attempts, checkedAttempt.possiblyExecuted) {
			r.fail("job %+v rejected, though it may have been executed or has ended", job)
		}
		job.ended = true
	case dispatch.Fail:
		if r.jobs[a.Job].ended {
			r.fail("job %d ended twice", a.Job)
		}
		r.jobs[a.Job].ended = true
	case dispatch.SetTimer:
		if a.After <= 0 {
			r.fail("timer of %v", a.After)
		}
	}
}

func (r *ruleChecker) checkSend(job *checkedJob, worker dispatch.Worker) {
	r.t.Helper()
	if job.ended || worker.ID == 0 || len(job.attempts) >= r.settings.AttemptLimit || r.now >= job.deadline {
		r.fail("job %+v sent to worker %+v, though it has ended or is at its limit, or the worker is not ready", job, worker)
	}
	class := r.settings.Classes[job.Class]
	if class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind) {
		r.fail("a job sent to a kind of worker that its class does not allow")
	}
	for _, earlier := range job.attempts {
		if !earlier.ended && (!r.settings.Hedging || earlier.worker.ID == worker.ID) {
			r.fail("a hedged request, though hedging is off or the worker has an attempt of the job")
		}
		if earlier.possiblyExecuted() && !r.mayRepeat(&class, earlier, worker) {
			r.fail("a job of class %d sent again, though it may have been executed", job.Class)
		}
	}
	job.attempts = append(job.attempts, checkedAttempt{worker: worker, sentAt: r.now})
}

// mayRepeat reports whether a job may be sent to a worker after an attempt that was possibly executed.
func (r *ruleChecker) mayRepeat(class *dispatch.Class, earlier checkedAttempt, worker dispatch.Worker) bool {
	same := class.DeduplicationScope == dispatch.ScopeAll || class.DeduplicationScope == dispatch.ScopeZone && earlier.worker.Zone == worker.Zone ||
		class.DeduplicationScope == dispatch.ScopeCell && earlier.worker.Cell == worker.Cell
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && same && r.now-earlier.sentAt <= class.DeduplicationWindow
}

// setReady sets whether a worker of the list is ready. The policy gets that with the next list.
func (r *ruleChecker) setReady(index int, ready bool) {
	r.list.Workers[index].Ready = ready
	delete(r.ready, uint64(index+1))
	if ready {
		r.ready[uint64(index+1)] = r.list.Workers[index]
	}
}

// settingsOf returns the settings for a seed, with a class of each idempotency.
func settingsOf(seed uint64) dispatch.Settings {
	settings := testSettings
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
	checker := &ruleChecker{
		t: t, policy: policy, seed: seed, settings: settingsOf(seed), now: time.Second, jobs: map[uint64]*checkedJob{},
		ready: map[uint64]dispatch.Worker{}, list: listOf(nodes),
	}
	checker.tested = policy.ForRun()(checker.settings, seed, oracle)
	for worker := range nodes {
		checker.setReady(worker, true)
	}
	checker.step(checker.list)
	for range 400 {
		checker.now += time.Duration(rng.IntN(40)) * time.Millisecond
		switch rng.IntN(6) {
		case 0:
			worker := rng.IntN(nodes)
			oracle.views[worker].Up = rng.IntN(4) > 0
			checker.setReady(worker, rng.IntN(3) > 0)
			checker.step(checker.list)
		case 1:
			checker.step(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
		case 2, 3:
			id := uint64(len(checker.ids) + 1)
			job := &checkedJob{Job: dispatch.Job{ID: id, Class: rng.IntN(3), Remaining: 2 * time.Second, Slots: float64(1 + rng.IntN(2))}}
			job.deadline = checker.now + job.Remaining
			checker.jobs[id] = job
			checker.ids = append(checker.ids, id)
			checker.step(job.Job)
		default:
			if len(checker.ids) == 0 {
				continue
			}
			job := checker.jobs[checker.ids[max(0, len(checker.ids)-1-rng.IntN(12))]]
			index := slices.IndexFunc(job.attempts, func(attempt checkedAttempt) bool { return !attempt.ended })
			if index < 0 {
				checker.step(dispatch.TimerFired{})
				continue
			}
			attempt := &job.attempts[index]
			attempt.ended = true
			attempt.result = dispatch.Result(rng.IntN(int(dispatch.NotSent) + 1))
			job.ended = job.ended || attempt.result == dispatch.OK
			checker.step(dispatch.Outcome{Job: job.ID, Attempt: index, Worker: attempt.worker.ID, Result: attempt.result, Closed: job.ended})
		}
	}
	for range 100 { // all deadlines pass
		checker.now += 30 * time.Millisecond
		checker.step(dispatch.TimerFired{})
	}
}
