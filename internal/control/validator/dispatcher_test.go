package validator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Package dispatch and the validator agree on requests with random previous attempts and a single usable worker: a dispatcher
// sends the request to that worker if and only if the validator allows it. It rejects the request only if the validator
// considers that safe, and fails it only if not.
func TestAgreesWithDispatcher(t *testing.T) {
	sent, notSent := 0, 0
	for seed := range uint64(6000) {
		if newAgreementCase(seed).check(t) {
			sent++
		} else {
			notSent++
		}
	}
	if sent < 1000 || notSent < 1000 {
		t.Fatalf("%d requests sent and %d not sent, want at least 1000 of each", sent, notSent)
	}
}

const (
	agreementRequest     = 1
	agreementWorker      = 9  // the only worker that is ready in the end
	firstPreviousWorker  = 10 // worker of the first previous attempt; each further attempt has the next one
	agreementNow         = 10 * time.Hour
	agreementRemaining   = 2 * time.Hour
	agreementObservedFor = 4 * time.Second // age of the request at agreementNow
)

// previousAttempt is an attempt that was made before the dispatcher got the request.
type previousAttempt struct {
	ago    time.Duration
	result dispatch.Result
}

// agreementCase is a request with previous attempts that a validator has observed.
type agreementCase struct {
	settings  dispatch.Settings
	seed      uint64
	validator *Validator
	previous  []previousAttempt
	list      dispatch.WorkerList
}

func newAgreementCase(seed uint64) *agreementCase {
	rng := rand.New(rand.NewPCG(seed, 11))
	settings := dispatch.Settings{AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0, MaxRetryAfter: time.Second}
	settings.Classes = []dispatch.Class{{
		LatencyObjective: time.Hour, ClientTimeout: agreementRemaining, Idempotency: dispatch.Idempotency(rng.IntN(3)),
		PriorityWeight: 1, DeduplicationScope: dispatch.DeduplicationScope(rng.IntN(3)),
		DeduplicationWindow: time.Duration(1+rng.IntN(20)) * 100 * time.Millisecond,
	}}
	c := &agreementCase{settings: settings, seed: seed}
	c.list = dispatch.WorkerList{Kind: dispatch.ListFull, Workers: []dispatch.Worker{randomWorker(rng, agreementWorker)}}
	c.previous = make([]previousAttempt, rng.IntN(4))
	for i := range c.previous {
		ago := time.Duration(rng.IntN(2200)) * time.Millisecond
		c.previous[i] = previousAttempt{ago, dispatch.Result(1 + rng.IntN(7))}
	}
	slices.SortFunc(c.previous, func(a, b previousAttempt) int { return int(b.ago - a.ago) })
	for i := range c.previous {
		c.list.Workers = append(c.list.Workers, randomWorker(rng, uint64(firstPreviousWorker+i)))
	}
	c.settings.ConnectTimeout = time.Duration(rng.IntN(3)) * 100 * time.Millisecond
	c.validator = New(c.settings)
	c.observe()
	return c
}

func randomWorker(rng *rand.Rand, id uint64) dispatch.Worker {
	return dispatch.Worker{ID: id, Ready: true, Cell: rng.IntN(2), Zone: rng.IntN(2)}
}

// observe reports the previous attempts to the validator, whether it would allow them or not, and then a list on which only one
// worker is ready.
func (c *agreementCase) observe() {
	v := c.validator
	arrival := agreementNow - agreementObservedFor
	v.Observe(arrival, c.list)
	v.Observe(arrival, dispatch.Job{ID: agreementRequest, Remaining: agreementRemaining + agreementObservedFor})
	for i, previous := range c.previous {
		v.Apply(agreementNow-previous.ago, dispatch.Send{Job: agreementRequest, Worker: uint64(firstPreviousWorker + i)})
	}
	for i, previous := range c.previous {
		v.Observe(agreementNow, dispatch.Outcome{
			Job: agreementRequest, Attempt: i, Worker: uint64(firstPreviousWorker + i), Result: previous.result,
		})
	}
	for i := range c.previous {
		c.list.Workers[1+i].Ready = false
	}
	v.Observe(agreementNow, c.list)
	v.Assign(agreementRequest, LocalEpoch)
}

// check compares what a dispatcher does with what the validator allows, and reports whether the request was sent.
func (c *agreementCase) check(t *testing.T) (sent bool) {
	t.Helper()
	allowed := c.allowed()
	canReject := c.validator.CanReject(agreementRequest)
	for _, action := range c.dispatch() {
		switch action.(type) {
		case dispatch.Send:
			if sent {
				t.Fatalf("seed %d: the request is sent twice after %+v", c.seed, c.previous)
			}
			sent = true
		case dispatch.Reject:
			if !canReject {
				t.Fatalf("seed %d: rejected after %+v, though a rejection was not safe", c.seed, c.previous)
			}
		case dispatch.Fail:
			if canReject {
				t.Fatalf("seed %d: failed after %+v, though a rejection was safe", c.seed, c.previous)
			}
		}
	}
	if sent != (allowed == message.ReasonNone) {
		t.Fatalf("seed %d: sent %v after %+v in class %+v, but the validator's reason is %q", c.seed, sent, c.previous,
			c.settings.Classes[0], allowed)
	}
	return sent
}

// allowed returns the validator's verdict on another attempt.
func (c *agreementCase) allowed() message.RejectReason {
	return c.validator.Validate(agreementNow, LocalEpoch, &message.SendCommand{
		RequestID: agreementRequest, Attempt: len(c.previous), WorkerID: agreementWorker,
	})
}

// dispatch returns the actions of a dispatcher on the request.
func (c *agreementCase) dispatch() []dispatch.Action {
	dispatcher := dispatch.New(c.settings, c.seed)
	dispatcher.Step(agreementNow-time.Millisecond, []dispatch.Event{c.list}, nil)
	resumed := dispatch.JobResumed{Job: dispatch.Job{ID: agreementRequest, Remaining: agreementRemaining, Slots: 1}}
	for i, previous := range c.previous {
		resumed.Attempts = append(resumed.Attempts, dispatch.PastAttempt{
			Worker: uint64(firstPreviousWorker + i), SentAgo: previous.ago, Ended: true, Result: previous.result,
		})
	}
	return dispatcher.Step(agreementNow, []dispatch.Event{resumed}, nil)
}

// The validator allows all actions of a dispatcher that is connected directly to the request table, whatever the outcomes of its
// attempts.
func TestDispatcherActionsAreAllowed(t *testing.T) {
	commands := 0
	for seed := range uint64(30) {
		run := newDispatcherRun(t, seed)
		for range 300 {
			run.step()
		}
		commands += run.commands
	}
	if commands < 3000 {
		t.Fatalf("%d commands checked, want at least 3000", commands)
	}
}

// dispatcherRun runs a dispatcher and has a validator check its actions.
type dispatcherRun struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	now        time.Duration
	dispatcher *dispatch.Dispatcher
	validator  *Validator
	timerAt    time.Duration // when the dispatcher's timer fires; 0 if it is not set
	jobs       uint64        // number of jobs that have arrived; their IDs count from 1
	attempts   map[uint64]int
	inFlight   []inFlightAttempt
	commands   int
}

type inFlightAttempt struct {
	job, worker uint64
	attempt     int
}

func newDispatcherRun(t *testing.T, seed uint64) *dispatcherRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 12))
	settings := dispatch.Settings{
		AttemptLimit: 1 + rng.IntN(4), Hedging: rng.IntN(2) == 0, Cancellation: true, HealthChecks: rng.IntN(2) == 0,
		StartNotifications: rng.IntN(2) == 0, ConnectTimeout: 50 * time.Millisecond,
	}
	for range 3 {
		settings.Classes = append(settings.Classes, dispatch.Class{
			LatencyObjective: time.Duration(50+rng.IntN(500)) * time.Millisecond, ObjectiveStretch: 1, PriorityWeight: 1,
			ClientTimeout: time.Second, Idempotency: dispatch.Idempotency(rng.IntN(3)),
			DeduplicationScope:  dispatch.DeduplicationScope(rng.IntN(3)),
			DeduplicationWindow: time.Duration(rng.IntN(900)) * time.Millisecond,
		})
	}
	return &dispatcherRun{
		t: t, seed: seed, rng: rng, now: time.Hour, dispatcher: dispatch.New(settings, seed), validator: New(settings),
		attempts: map[uint64]int{},
	}
}

func (r *dispatcherRun) step() {
	r.now += time.Duration(r.rng.IntN(15)) * time.Millisecond
	events := r.events()
	for _, event := range events {
		r.validator.Observe(r.now, event)
		if job, ok := event.(dispatch.Job); ok {
			r.validator.Assign(job.ID, LocalEpoch)
		}
	}
	for _, action := range r.dispatcher.Step(r.now, events, nil) {
		r.check(action)
	}
}

func (r *dispatcherRun) events() (events []dispatch.Event) {
	if r.timerAt > 0 && r.timerAt <= r.now {
		events = append(events, dispatch.TimerFired{})
		r.timerAt = 0
	}
	if r.rng.IntN(12) == 0 || r.jobs == 0 {
		events = append(events, r.list())
	}
	for range r.rng.IntN(3) {
		r.jobs++
		events = append(events, dispatch.Job{
			ID: r.jobs, Class: r.rng.IntN(3), Remaining: time.Duration(100+r.rng.IntN(900)) * time.Millisecond, Slots: 1,
		})
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(a inFlightAttempt) bool {
		if r.rng.IntN(5) > 0 {
			return false
		}
		result := dispatch.Result(r.rng.IntN(8))
		events = append(events, dispatch.Outcome{
			Job: a.job, Attempt: a.attempt, Worker: a.worker, Result: result, Closed: result == dispatch.OK,
		})
		return true
	})
	return events
}

func (r *dispatcherRun) list() dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for id := range uint64(6) {
		list.Workers = append(list.Workers, dispatch.Worker{
			ID: id + 1, Ready: r.rng.IntN(4) > 0, Cell: int(id % 2), Zone: int(id % 3),
		})
	}
	return list
}

// check validates and applies an action that a planner would send as a command.
func (r *dispatcherRun) check(action dispatch.Action) {
	if timer, ok := action.(dispatch.SetTimer); ok {
		if at := r.now + timer.After; r.timerAt == 0 || at < r.timerAt {
			r.timerAt = at
		}
		return
	}
	command := r.commandOf(action)
	if command == nil {
		return
	}
	r.commands++
	if reason := r.validator.Validate(r.now, LocalEpoch, command); reason != message.ReasonNone {
		r.t.Fatalf("seed %d: the validator rejects %+v: %q", r.seed, action, reason)
	}
	r.validator.Apply(r.now, action)
}

// commandOf returns the command that corresponds to an action, or nil if there is none.
func (r *dispatcherRun) commandOf(action dispatch.Action) message.Command {
	switch action := action.(type) {
	case dispatch.Send:
		attempt := r.attempts[action.Job]
		r.attempts[action.Job]++
		r.inFlight = append(r.inFlight, inFlightAttempt{action.Job, action.Worker, attempt})
		return &message.SendCommand{RequestID: action.Job, Attempt: attempt, WorkerID: action.Worker}
	case dispatch.Reject:
		return &message.RejectCommand{RequestID: action.Job}
	case dispatch.Fail:
		return &message.FailCommand{RequestID: action.Job}
	case dispatch.Cancel:
		return &message.CancelCommand{RequestID: action.Job, Attempt: action.Attempt}
	case dispatch.HealthCheck:
		return &message.HealthCheckCommand{WorkerID: action.Worker}
	case dispatch.CloseIdleConnections:
		return &message.CloseIdleCommand{WorkerID: action.Worker}
	}
	return nil
}
