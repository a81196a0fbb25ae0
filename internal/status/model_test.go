package status

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// modelRetention is the retention time of ended entries in the model test.
const modelRetention = 20 * time.Second

// tableModel is a status table with its expected entries.
type tableModel struct {
	*fixture
	jobs map[string]*modelJob // by id
}

// modelJob is the expected entry of one job.
type modelJob struct {
	request      *requests.Request
	open         bool
	disconnected bool              // its client has left
	attempts     map[string]string // in flight, by worker: "sent", "started", or the progress reported last
	outcome      string
	endedAt      time.Duration
}

// outcomesByCallback contains the outcomes of attempts by the callback that ends them.
var outcomesByCallback = map[string]string{"done": "served", "failed": "error", "returned": "turned away", "lost": "reset"}

// step executes one random step.
func (m *tableModel) step() {
	m.Now += time.Duration(m.Pick(100)) * 10 * time.Millisecond
	id := strconv.Itoa(m.Pick(8))
	worker, job := "s-"+strconv.Itoa(m.Pick(2)), m.jobs[id]
	choice := m.Pick(12)
	switch {
	case job == nil || choice == 0 && !job.open && len(job.attempts) == 0: // an id may come again
		m.jobs[id] = &modelJob{request: m.Admit(id, 0, 0), open: true, attempts: map[string]string{}}
		m.Record("admit " + id)
	case choice < 3:
		if m.Send(job.request, worker) {
			job.attempts[worker] = "sent"
		}
		m.Record("send " + id + " to " + worker)
	case choice < 9:
		m.callBack(id, worker)
	case choice == 9:
		m.Apply([]dispatch.Action{dispatch.Reject{Job: job.request.ID}, dispatch.Fail{Job: job.request.ID}}[m.Pick(2)])
		m.Record("give up " + id)
		job.giveUp(m.Now)
	case choice == 10:
		m.Table.ClientDisconnected(job.request)
		m.Record("the client of " + id + " disconnects")
		job.disconnect(m.Now)
	}
}

// callBack sends a random callback of a worker on a job.
func (m *tableModel) callBack(id, worker string) {
	state := []string{"started", "running", "done", "failed", "returned", "lost"}[m.Pick(6)]
	progress := float64(m.Pick(5)) / 4
	m.SendCallback(id, worker, state, progress)
	m.Record(fmt.Sprint(worker, " calls back on ", id, " ", state, progress))
	job := m.jobs[id]
	if job.attempts[worker] == "" {
		return
	}
	switch state {
	case "running":
		job.attempts[worker] = fmt.Sprint(progress)
	case "started":
		if job.attempts[worker] == "sent" {
			job.attempts[worker] = "started"
		}
	default:
		delete(job.attempts, worker)
		job.endAttempt(state, m.Now)
	}
}

// endAttempt updates the expectation by the end of an attempt.
func (j *modelJob) endAttempt(callback string, now time.Duration) {
	if !j.open {
		return
	}
	outcome := outcomesByCallback[callback]
	if isFinal := j.outcome == "served" || outcome == "turned away" && j.outcome != ""; !isFinal {
		j.outcome = outcome
	}
	if callback == "done" && !j.disconnected || j.disconnected && len(j.attempts) == 0 {
		j.end(j.outcome, now)
	}
}

// giveUp updates the expectation by a rejection or a failure.
func (j *modelJob) giveUp(now time.Duration) {
	switch {
	case !j.open || j.disconnected:
	case len(j.attempts) > 0:
		j.end("timed out", now)
	default:
		j.endWithoutAttempts(now)
	}
}

func (j *modelJob) disconnect(now time.Duration) {
	j.disconnected = j.disconnected || j.open
	if j.open && len(j.attempts) == 0 {
		j.endWithoutAttempts(now)
	}
}

// endWithoutAttempts ends a job with the outcome of its last attempt, if it had any.
func (j *modelJob) endWithoutAttempts(now time.Duration) {
	if j.outcome == "" {
		j.outcome = "turned away"
	}
	j.end(j.outcome, now)
}

func (j *modelJob) end(outcome string, now time.Duration) {
	j.open = false
	j.outcome = outcome
	j.endedAt = now
}

// expected returns the state of a job, and its progress in the report, if any.
func (j *modelJob) expected() (state State, progress string) {
	if !j.open {
		return StateEnded, ""
	}
	state = StateWaiting
	for _, attempt := range j.attempts {
		if attempt != "sent" {
			state = StateRunning
		}
		if attempt != "sent" && attempt != "started" {
			progress = max(progress, attempt)
		}
	}
	return state, progress
}

// check compares all entries with the model.
func (m *tableModel) check() {
	for id, job := range m.jobs {
		report, ok := m.find(id)
		isKept := job.open || m.Now-job.endedAt < modelRetention
		m.Check(ok == isKept, "%s: found %v, expected %v", id, ok, isKept)
		if !ok {
			continue
		}
		state, progress := job.expected()
		shown := ""
		if report.Share != nil {
			shown = fmt.Sprint(*report.Share)
		}
		m.Check(report.State == state && shown == progress, "%s: %+v, expected %s, progress %q", id, report, state, progress)
		if job.open {
			m.Check(report.Outcome == "", "%s: %+v, expected no outcome", id, report)
		} else {
			m.Check(string(report.Outcome) == job.outcome, "%s: %+v, expected %s", id, report, job.outcome)
		}
	}
}

// A job is waiting until its worker reports that it is running, and again after that attempt has ended without a result. It ends
// once, with the outcome of the attempt that was possibly executed, if there is one.
func FuzzTable(f *testing.F) {
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		conf := config.Status{Retention: modelRetention, MaxEntries: 1000}
		model := &tableModel{fixture: newFixture(steps, conf), jobs: map[string]*modelJob{}}
		for steps.More() {
			model.step()
			model.check()
		}
	})
}
