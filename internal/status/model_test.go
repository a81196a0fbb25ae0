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
	jobs map[string]*modelJob // by call ID
}

// modelJob is the expected entry of one job.
type modelJob struct {
	request      *requests.Request
	open         bool
	disconnected bool              // its client has disconnected
	attempts     map[string]string // in flight, by worker: "sent", "started", or the progress reported last
	outcome      string
	endedAt      time.Duration
}

// outcomesByCallback contains the outcomes of attempts by the callback that ends them.
var outcomesByCallback = map[string]string{"done": "served", "failed": "error", "returned": "turned away", "lost": "reset"}

// step executes one random step.
func (t *tableModel) step() {
	t.Now += time.Duration(t.Pick(100)) * 10 * time.Millisecond
	id := strconv.Itoa(t.Pick(8))
	worker, job := "s-"+strconv.Itoa(t.Pick(2)), t.jobs[id]
	choice := t.Pick(12)
	switch {
	case job == nil || choice == 0 && !job.open && len(job.attempts) == 0: // an ID may be reused
		t.jobs[id] = &modelJob{request: t.Admit(id, 0, 0), open: true, attempts: map[string]string{}}
		t.Record("admit " + id)
	case choice < 3:
		if t.Send(job.request, worker) {
			job.attempts[worker] = "sent"
		}
		t.Record("send " + id + " to " + worker)
	case choice < 9:
		t.callBack(id, worker)
	case choice == 9:
		t.Apply([]dispatch.Action{dispatch.Reject{Job: job.request.ID}, dispatch.Fail{Job: job.request.ID}}[t.Pick(2)])
		t.Record("give up " + id)
		job.giveUp(t.Now)
	case choice == 10:
		t.Table.ClientDisconnected(job.request)
		t.Record("the client of " + id + " disconnects")
		job.disconnect(t.Now)
	}
}

// callBack sends a random callback of a worker on a job.
func (t *tableModel) callBack(id, worker string) {
	state := []string{"started", "running", "done", "failed", "returned", "lost"}[t.Pick(6)]
	progress := float64(t.Pick(5)) / 4
	t.SendCallback(id, worker, state, progress)
	t.Record(fmt.Sprint(worker, " calls back on ", id, " ", state, progress))
	job := t.jobs[id]
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
		job.endAttempt(state, t.Now)
	}
}

// endAttempt updates the expected entry at the end of an attempt.
func (m *modelJob) endAttempt(callback string, now time.Duration) {
	if !m.open {
		return
	}
	outcome := outcomesByCallback[callback]
	if isFinal := m.outcome == "served" || outcome == "turned away" && m.outcome != ""; !isFinal {
		m.outcome = outcome
	}
	if callback == "done" && !m.disconnected || m.disconnected && len(m.attempts) == 0 {
		m.end(m.outcome, now)
	}
}

// giveUp updates the expected entry after the policy has rejected or failed the job.
func (m *modelJob) giveUp(now time.Duration) {
	switch {
	case !m.open || m.disconnected:
	case len(m.attempts) > 0:
		m.end("timed out", now)
	default:
		m.endWithoutAttempts(now)
	}
}

// disconnect updates the expected entry after the client has disconnected.
func (m *modelJob) disconnect(now time.Duration) {
	m.disconnected = m.disconnected || m.open
	if m.open && len(m.attempts) == 0 {
		m.endWithoutAttempts(now)
	}
}

// endWithoutAttempts ends a job with the outcome of its last attempt, if it had any.
func (m *modelJob) endWithoutAttempts(now time.Duration) {
	if m.outcome == "" {
		m.outcome = "turned away"
	}
	m.end(m.outcome, now)
}

func (m *modelJob) end(outcome string, now time.Duration) {
	m.open = false
	m.outcome = outcome
	m.endedAt = now
}

// expected returns the expected state and progress in the report. The progress is empty if there is none.
func (m *modelJob) expected() (state State, progress string) {
	if !m.open {
		return StateEnded, ""
	}
	state = StateWaiting
	for _, attempt := range m.attempts {
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
func (t *tableModel) check() {
	for id, job := range t.jobs {
		report, ok := t.find(id)
		isKept := job.open || t.Now-job.endedAt < modelRetention
		t.Check(ok == isKept, "%s: entry found: %v, expected %v", id, ok, isKept)
		if !ok {
			continue
		}
		state, progress := job.expected()
		shown := ""
		if report.Share != nil {
			shown = fmt.Sprint(*report.Share)
		}
		t.Check(report.State == state && shown == progress, "%s: %+v, expected %s, progress %q", id, report, state, progress)
		if job.open {
			t.Check(report.Outcome == "", "%s: %+v, expected no outcome", id, report)
		} else {
			t.Check(string(report.Outcome) == job.outcome, "%s: %+v, expected %s", id, report, job.outcome)
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
