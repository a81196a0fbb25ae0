package score

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/testbed/trace"
)

const (
	modelWorkers     = 3
	modelWorkerSlots = 2
)

// model drives a score with random events, and computes the expected sums in a simple way.
type model struct {
	t        *rapid.T
	s        *Score
	now      time.Duration
	open     []*modelJob
	settled  []*modelJob
	requests int
	attempts []*modelAttempt
	workRun  float64
	used     [modelWorkers]float64 // slot seconds in use, by worker
}

type modelJob struct {
	id            uint64
	dueAt         time.Duration
	objective     time.Duration
	class, tenant int
	overQuota     bool
	work, slots   float64
	request       string     // its open request; empty: none
	outcome       JobOutcome // once it is settled
	lastOutcome   JobOutcome // of the last request
	hasRequest    bool
	settledAt     time.Duration
}

type modelAttempt struct {
	request   string
	worker    int
	slots     float64
	work      float64
	startedAt time.Duration
	started   bool
}

func (m *model) observe(event trace.Event) {
	event.At = m.now
	m.s.Observe(&event)
}

// draw returns a random number from 0 to count-1.
func (m *model) draw(count int, what string) int { return rapid.IntRange(0, count-1).Draw(m.t, what) }

// step does one random step of a run.
func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(m.t, "ms")) * ms
	switch m.draw(8, "what") {
	case 0, 1:
		m.addJob()
	case 2, 3:
		if len(m.open) > 0 {
			m.sendSomething(m.open[m.draw(len(m.open), "job")])
		}
	case 4, 5:
		if len(m.attempts) > 0 {
			m.advanceAttempt(m.draw(len(m.attempts), "attempt"))
		}
	case 6:
		if len(m.open) > 0 {
			m.endRequest(m.draw(len(m.open), "job"))
		}
	case 7:
		if m.draw(5, "down") == 0 {
			m.restartWorker(m.draw(modelWorkers, "worker"))
		}
	}
}

func (m *model) addJob() {
	added := &modelJob{
		id:        uint64(len(m.open) + len(m.settled) + 1),
		dueAt:     m.now,
		objective: time.Duration(100+m.draw(1500, "objective")) * ms,
		class:     m.draw(2, "class"),
		tenant:    m.draw(2, "tenant"),
		overQuota: m.draw(4, "over quota") == 0,
		work:      float64(1+m.draw(20, "work")) / 10,
		slots:     float64(1 + m.draw(2, "slots")),
	}
	m.open = append(m.open, added)
	m.observe(trace.Event{
		Kind: trace.JobDue, JobID: added.id, Class: added.class, Tenant: added.tenant, OverQuota: added.overQuota,
		Work: added.work, Slots: added.slots, LatencyObjective: added.objective,
	})
}

// sendSomething sends a request for a job that has no open one, and otherwise an attempt of the open request.
func (m *model) sendSomething(sender *modelJob) {
	if sender.request == "" {
		m.requests++
		sender.request = fmt.Sprint("c", m.requests)
		sender.hasRequest = true
		m.observe(trace.Event{Kind: trace.RequestSent, RequestID: sender.request, JobID: sender.id, Scheduler: 0})
		return
	}
	worker := m.draw(modelWorkers, "worker")
	for _, attempt := range m.attempts {
		if attempt.request == sender.request && attempt.worker == worker {
			return // a request has one attempt at a time at a worker
		}
	}
	m.observe(trace.Event{Kind: trace.AttemptReceived, RequestID: sender.request, Worker: worker})
	m.attempts = append(m.attempts, &modelAttempt{
		request: sender.request, worker: worker, slots: sender.slots, work: sender.work,
	})
}

// advanceAttempt starts an attempt, or ends it in a random way.
func (m *model) advanceAttempt(i int) {
	attempt := m.attempts[i]
	switch {
	case attempt.started:
		kinds := []trace.Kind{trace.AttemptFinished, trace.AttemptDied}
		kind := kinds[m.draw(len(kinds), "how")]
		m.endAttempt(i, kind, []int{200, 500}[m.draw(2, "status")])
	case m.draw(4, "end") > 0:
		attempt.started, attempt.startedAt = true, m.now
		m.observe(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.request, Worker: attempt.worker})
	default:
		kinds := []trace.Kind{trace.AttemptRejected, trace.AttemptReturned, trace.AttemptDied}
		m.endAttempt(i, kinds[m.draw(len(kinds), "how")], 503)
	}
}

// endAttempt ends an attempt. An attempt that ends with its worker has no event of its own.
func (m *model) endAttempt(i int, kind trace.Kind, status int) {
	attempt := m.attempts[i]
	m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
	if attempt.started {
		ran := (m.now - attempt.startedAt).Seconds()
		m.used[attempt.worker] += attempt.slots * ran
		if kind == trace.AttemptFinished {
			m.workRun += attempt.work * attempt.slots
		} else {
			m.workRun += min(attempt.work, ran) * attempt.slots
		}
	}
	if kind != trace.WorkerStopped {
		m.observe(trace.Event{Kind: kind, RequestID: attempt.request, Worker: attempt.worker, Status: status})
	}
}

func (m *model) restartWorker(worker int) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		if m.attempts[i].worker == worker {
			m.endAttempt(i, trace.WorkerStopped, 0)
		}
	}
	m.observe(trace.Event{Kind: trace.WorkerStopped, Worker: worker})
	m.observe(trace.Event{Kind: trace.WorkerStarted, Worker: worker, Slots: modelWorkerSlots})
}

// requestEndings are the ways in which a request ends, with the outcome of a job whose last request ends so.
var requestEndings = []struct {
	kind    trace.Kind
	status  int
	outcome JobOutcome
}{
	{trace.ResponseReceived, 200, OutcomeInTime},
	{trace.ResponseReceived, 503, OutcomeRejected},
	{trace.ResponseReceived, 429, OutcomeRejected},
	{trace.ResponseReceived, 504, OutcomeFailed},
	{trace.ConnectionLost, 0, OutcomeLost},
	{trace.ClientLeft, 0, OutcomeClientLeft},
	{trace.ClientTimedOut, 0, OutcomeUnanswered},
}

// endRequest ends a job's request, if it has one, and settles the job unless its client retries.
func (m *model) endRequest(i int) {
	sender := m.open[i]
	status := 0
	if sender.request != "" {
		ending := requestEndings[m.draw(len(requestEndings), "ending")]
		m.observe(trace.Event{Kind: ending.kind, RequestID: sender.request, Status: ending.status})
		sender.request, sender.lastOutcome, status = "", ending.outcome, ending.status
		if ending.status != 200 && ending.outcome != OutcomeClientLeft && rapid.Bool().Draw(m.t, "retry") {
			return
		}
	}
	sender.outcome = sender.lastOutcome
	if !sender.hasRequest {
		sender.outcome = OutcomeUnanswered
	}
	if sender.outcome == OutcomeInTime && m.now-sender.dueAt > sender.objective {
		sender.outcome = OutcomeLate
	}
	sender.settledAt = m.now
	m.observe(trace.Event{Kind: trace.JobSettled, JobID: sender.id, Status: status})
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.settled = append(m.settled, sender)
}

// checkEqual checks that two numbers are equal except for rounding errors.
func (m *model) checkEqual(what string, got, want float64) {
	if math.Abs(got-want) > 1e-6*(1+math.Abs(want)) {
		m.t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// check compares the score's result with the model, and the sums of its parts with the whole.
func (m *model) check() {
	m.observe(trace.Event{Kind: trace.HealthChecked}) // brings the score's clock up to now
	result := m.s.Result()
	classes, tenants := m.groups()
	m.checkGroups(&result.Whole, result.Classes, classes)
	m.checkGroups(&result.Whole, result.Tenants, tenants)
	m.checkSeconds(result)
	m.checkWork(result)
	if result.Effort.OrphanedEvents+result.Effort.Unknown > 0 {
		m.t.Fatalf("%d orphaned events and %d unknown ones, want none", result.Effort.OrphanedEvents, result.Effort.Unknown)
	}
	m.checkOccupancy(result)
}

// groups returns the expected sums of the classes and the tenants.
func (m *model) groups() (classes, tenants []Group) {
	classes, tenants = make([]Group, 2), make([]Group, 2)
	for _, list := range [][]*modelJob{m.settled, m.open} {
		for _, counted := range list {
			value := m.valueOf(counted)
			counted.addTo(&classes[counted.class], value)
			counted.addTo(&tenants[counted.tenant], value)
		}
	}
	return classes, tenants
}

func (m *model) valueOf(counted *modelJob) float64 {
	value := m.s.spec.Classes[counted.class].PriorityWeight * counted.work * counted.slots
	if counted.overQuota {
		value *= m.s.spec.Load.OverQuotaWeight
	}
	return value
}

func (j *modelJob) addTo(group *Group, value float64) {
	group.JobsDue++
	group.Requested += value
	if j.settledAt == 0 {
		group.Open++
		return
	}
	group.Outcomes[j.outcome]++
	if j.outcome == OutcomeInTime {
		group.Earned += value
	}
}

// checkGroups compares classes or tenants with the model, and their sums with the whole.
func (m *model) checkGroups(whole *Group, groups, wanted []Group) {
	var sum Group
	served := int64(0)
	for i := range wanted {
		got, want := &groups[i], &wanted[i]
		if got.JobsDue != want.JobsDue || got.Open != want.Open || got.Outcomes != want.Outcomes {
			m.t.Fatalf("%s: got %+v, want %+v", got.Name, got, want)
		}
		m.checkEqual("requested", got.Requested, want.Requested)
		m.checkEqual("earned", got.Earned, want.Earned)
		sum.JobsDue += got.JobsDue
		sum.Open += got.Open
		sum.Requested += got.Requested
		sum.Earned += got.Earned
		served += got.Latency.Count
		for outcome, count := range got.Outcomes {
			sum.Outcomes[outcome] += count
		}
	}
	if sum.JobsDue != whole.JobsDue || sum.Open != whole.Open || sum.Outcomes != whole.Outcomes || served != whole.Latency.Count {
		m.t.Fatalf("the parts sum to %+v with %d served, but the whole is %+v", sum, served, whole)
	}
	m.checkEqual("requested of all", sum.Requested, whole.Requested)
	m.checkEqual("earned of all", sum.Earned, whole.Earned)
}

func (m *model) checkSeconds(result *Result) {
	seconds := &result.Seconds
	m.checkEqual("due by second", seconds.DueJobs.Sum(), float64(result.Whole.JobsDue))
	m.checkEqual("value by second due", seconds.DueValueEarned.Sum(), result.Whole.Earned)
	m.checkEqual("goodput by second", seconds.GoodputValue.Sum(), result.Whole.Earned)
	m.checkEqual("jobs in time by second", seconds.GoodputJobs.Sum(), float64(result.Whole.Outcomes[OutcomeInTime]))
}

func (m *model) checkWork(result *Result) {
	effort := &result.Effort
	m.checkEqual("work run", effort.WorkRun, m.workRun)
	m.checkEqual("work", effort.WorkUseful+result.Waste.Work+effort.WorkPending, m.workRun)
}

func (m *model) checkOccupancy(result *Result) {
	available := modelWorkerSlots * m.now.Seconds()
	if available == 0 {
		return
	}
	for worker, used := range m.used {
		for _, attempt := range m.attempts {
			if attempt.worker == worker && attempt.started {
				used += attempt.slots * (m.now - attempt.startedAt).Seconds()
			}
		}
		m.checkEqual("occupancy", result.Fleet.Workers[worker].Use, used/available)
	}
}

// After random events, the sums of a score agree with those of the model and with each other, both during a run and at its
// end.
func TestScoreTotalsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New(spec(90), Options{})}
		for worker := range modelWorkers {
			m.observe(trace.Event{Kind: trace.WorkerStarted, Worker: worker, Slots: modelWorkerSlots})
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			if m.step(); i%40 == 39 {
				m.check()
			}
		}
		m.check()
		m.now += 2 * requestRetention // ended requests are removed
		for len(m.attempts) > 0 {
			m.endAttempt(0, trace.AttemptDied, 0)
		}
		m.check()
	})
}
