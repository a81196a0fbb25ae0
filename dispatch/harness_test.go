package dispatch

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one dispatcher. It has the time, the events scheduled for later, and the actions not yet taken by the test.
type harness struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Duration
	events  []scheduledEvent
	actions []Action
	jobs    map[uint64]*harnessJob
	timer   time.Duration
}

type harnessJob struct {
	Job
	attempts int
}

type scheduledEvent struct {
	at    time.Duration
	event Event
}

func testSettings() Settings {
	return Settings{
		Replicas: 1, AttemptLimit: 5, Hedging: true, Cancellation: true, StartNotifications: true,
		ConnectTimeout: 40 * ms, PollInterval: 10 * time.Second, ReportFields: []ReportField{ReportFieldFreeSlots},
		Classes: []Class{
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: Idempotent, LateValue: 0.3},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: NonIdempotent, LateValue: 0.3},
			{LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, Idempotency: Idempotent},
		},
	}
}

func newHarness(t *testing.T, set Settings) *harness {
	t.Helper()
	return &harness{t: t, d: New(set, 1), now: time.Hour, jobs: map[uint64]*harnessJob{}}
}

// workers lists n ready workers, with IDs 1 to n, that have warmed up.
func (s *harness) workers(n int) {
	list := WorkerList{Kind: ListFull}
	for id := range n {
		list.Workers = append(list.Workers, Worker{ID: uint64(id + 1), Ready: true})
	}
	s.step(list)
}

// step passes events to the dispatcher. It keeps the actions for take, and carries out none of them but SetTimer.
func (s *harness) step(events ...Event) {
	for _, e := range events {
		if j, ok := e.(Job); ok {
			s.jobs[j.ID] = &harnessJob{Job: j}
		}
	}
	n := len(s.actions)
	s.actions = s.d.Step(s.now, events, s.actions)
	for _, a := range s.actions[n:] {
		switch a := a.(type) {
		case SetTimer:
			s.timer = s.now + a.After
		case Send:
			s.jobs[a.Job].attempts++
		}
	}
}

func (s *harness) after(d time.Duration, e Event) {
	s.events = append(s.events, scheduledEvent{s.now + d, e})
}

// wait advances the time, and delivers timers and scheduled events when they are due.
func (s *harness) wait(d time.Duration) {
	for end := s.now + d; ; {
		slices.SortStableFunc(s.events, func(a, b scheduledEvent) int { return int(a.at - b.at) })
		next := end
		if s.timer > s.now {
			next = min(next, s.timer)
		}
		if len(s.events) > 0 {
			next = min(next, max(s.now, s.events[0].at))
		}
		s.now = next
		var events []Event
		for len(s.events) > 0 && s.events[0].at <= s.now {
			events = append(events, s.events[0].event)
			s.events = s.events[1:]
		}
		if s.timer <= s.now {
			s.timer = 0
			events = append(events, TimerFired{})
		}
		if len(events) > 0 {
			s.step(events...)
		}
		if s.now >= end {
			return
		}
	}
}

// take returns the actions since the last call of take or taken.
func (s *harness) take() []Action {
	a := s.actions
	s.actions = nil
	return a
}

// taken returns the actions of one type since the last call of take or taken, and drops the others.
func taken[T Action](s *harness) (found []T) {
	for _, a := range s.take() {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

func (s *harness) job(id uint64, class int, hint time.Duration) Job {
	return Job{ID: id, Class: class, Remaining: s.d.settings.Classes[class].ClientTimeout, Hint: hint, Slots: 1}
}

func (s *harness) done(id uint64, attempt int, worker uint64, r Result) Outcome {
	return Outcome{Job: id, Attempt: attempt, Worker: worker, Result: r, Closed: r == OK}
}

// startOnWorker1 sends a job, which must go to worker 1, and notifies of its prompt start.
func (s *harness) startOnWorker1(id uint64) {
	s.step(s.job(id, 0, 300*ms))
	if got := taken[Send](s); len(got) != 1 || got[0].Worker != 1 {
		s.t.Fatalf("expected job %d to go to worker 1, got %v", id, got)
	}
	s.now += ms
	s.step(Started{Job: id, Worker: 1})
}

func sentJobs(sends []Send) (ids []uint64) {
	for _, a := range sends {
		ids = append(ids, a.Job)
	}
	return ids
}

// expectJobs fails the test unless exactly the given jobs were sent, in their order.
func expectJobs(t *testing.T, sends []Send, want ...uint64) {
	t.Helper()
	if got := sentJobs(sends); !slices.Equal(got, want) {
		t.Fatalf("jobs sent: %v, expected %v", got, want)
	}
}
