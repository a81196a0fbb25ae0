package starvation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// model finds starvation by the package comment alone. It replays the whole history at each scan, and retains only which
// requests it has reported. It supports the kinds of events that modelRun draws.
type model struct {
	spec     *scenario.Scenario
	kinds    map[string]workerKind
	maxSpeed float64
	history  []trace.Event
	nextScan time.Duration
	reported map[string]bool
	counts   modelCounts
}

type modelCounts struct{ queued, rejected, excused int }

type modelRequest struct {
	job         trace.Event // the event that the job fell due
	queuedSince time.Duration
	open        bool
	attempts    []modelAttempt
}

type modelAttempt struct {
	worker      int
	sentAt      time.Duration
	inFlight    bool
	atWorker    bool
	finished    bool
	received    bool
	notExecuted bool
}

type modelWorker struct {
	up          bool
	kind        string
	incarnation int
	healthyFrom time.Duration
	usedSlots   float64
	slots       float64
}

// modelState is the state after a history.
type modelState struct {
	spec     *scenario.Scenario
	jobs     map[uint64]trace.Event // the events that they fell due
	workers  []modelWorker
	requests map[string]*modelRequest
	ids      []string // of the requests, in order of time
	known    []knowledge
}

func newModel(spec *scenario.Scenario) *model {
	m := &model{spec: spec, kinds: map[string]workerKind{}, reported: map[string]bool{}}
	for i := range spec.Fleet.Kinds {
		kind := newWorkerKind(&spec.Fleet.Kinds[i])
		m.kinds[spec.Fleet.Kinds[i].Name] = kind
		m.maxSpeed = max(m.maxSpeed, kind.maxSpeed)
	}
	return m
}

func (r *modelRequest) isQueued() bool {
	return r.open && !slices.ContainsFunc(r.attempts, func(a modelAttempt) bool { return a.inFlight })
}

// unresolvedAt returns the first attempt at a worker that is in flight or occupies the worker, or nil.
func (r *modelRequest) unresolvedAt(worker int) *modelAttempt {
	index := slices.IndexFunc(r.attempts, func(a modelAttempt) bool {
		return a.worker == worker && (a.inFlight || a.atWorker)
	})
	if index < 0 {
		return nil
	}
	return &r.attempts[index]
}

// stateAfter returns the state after the first events of the history.
func (m *model) stateAfter(events int) *modelState {
	state := &modelState{
		spec:     m.spec,
		jobs:     map[uint64]trace.Event{},
		workers:  make([]modelWorker, m.spec.Fleet.Workers),
		known:    make([]knowledge, m.spec.Fleet.Workers),
		requests: map[string]*modelRequest{},
	}
	for i := range m.history[:events] {
		state.apply(&m.history[i])
	}
	for _, request := range state.requests {
		for _, attempt := range request.attempts {
			if attempt.atWorker {
				state.workers[attempt.worker].usedSlots += request.job.Slots
			}
		}
	}
	return state
}

func (s *modelState) apply(event *trace.Event) {
	request := s.requests[event.RequestID]
	if request == nil {
		s.applyRequest(event)
		s.applyWorker(event)
		return
	}
	wasQueued := request.isQueued()
	s.applyAttempt(event, request)
	if !wasQueued && request.isQueued() {
		request.queuedSince = event.At
	}
}

func (s *modelState) applyRequest(event *trace.Event) {
	switch event.Kind {
	case trace.JobDue:
		s.jobs[event.JobID] = *event
	case trace.RequestSent:
		s.requests[event.RequestID] = &modelRequest{job: s.jobs[event.JobID], queuedSince: event.At, open: true}
		s.ids = append(s.ids, event.RequestID)
	}
}

func (s *modelState) applyAttempt(event *trace.Event, request *modelRequest) {
	attempt := request.unresolvedAt(event.Worker)
	switch event.Kind {
	case trace.ResponseReceived:
		request.open = false
	case trace.AttemptSent:
		request.attempts = append(request.attempts,
			modelAttempt{worker: event.Worker, sentAt: event.At, inFlight: true, atWorker: true})
	case trace.AttemptReceived:
		attempt.received = true
	case trace.AttemptRejected:
		s.markUnhealthy(event)
		attempt.inFlight = false
		attempt.atWorker = false
		attempt.notExecuted = true
	case trace.AttemptFinished:
		attempt.finished = true
		attempt.atWorker = attempt.inFlight
	case trace.CallbackAnswered:
		attempt.inFlight = false
		attempt.atWorker = false
	}
}

func (s *modelState) applyWorker(event *trace.Event) {
	worker := &s.workers[event.Worker]
	switch event.Kind {
	case trace.WorkerPresent, trace.WorkerStarted:
		healthyFrom := worker.healthyFrom
		if event.Kind == trace.WorkerStarted {
			healthyFrom = event.At + max(healthyAfter, s.spec.Fleet.Kinds[0].WarmUp.Std())
		}
		*worker = modelWorker{
			up: true, kind: event.Text, incarnation: event.Incarnation, slots: event.Slots, healthyFrom: healthyFrom,
		}
	case trace.WorkerStopped:
		worker.up = false
	case trace.WorkerRecovered:
		s.markUnhealthy(event)
	case trace.StartNotified, trace.DrainNotified:
		known := &s.known[event.Worker]
		known.notifiedAt = event.At
		known.drained = event.Kind == trace.DrainNotified
		if !known.drained {
			known.incarnation = event.Incarnation
		}
	}
}

func (s *modelState) markUnhealthy(event *trace.Event) {
	worker := &s.workers[event.Worker]
	worker.healthyFrom = max(worker.healthyFrom, event.At+healthyAfter)
}

// wasIdle reports whether a worker was idle for a number of slots throughout the idle window before now.
func (m *model) wasIdle(number int, slots float64, now time.Duration) bool {
	windowStart := now - idleWindow
	for events := 0; events <= len(m.history); events++ {
		if events < len(m.history) && m.history[events].At <= windowStart {
			continue // the state at the start of the window is after all of these
		}
		at := windowStart
		if events > 0 {
			at = max(at, m.history[events-1].At)
		}
		worker := m.stateAfter(events).workers[number]
		if !worker.up || worker.healthyFrom > at || worker.slots-worker.usedSlots < slots {
			return false
		}
	}
	return true
}

// idleSearch is a search for workers that were idle for a request, whose execution could have begun at start.
type idleSearch struct {
	state      *modelState
	request    *modelRequest
	start, now time.Duration
	rejected   bool
}

// hasIdleWorker reports whether enough workers were idle.
func (m *model) hasIdleWorker(search idleSearch) bool {
	bucket := slotBucket(search.request.job.Slots)
	wanted := 1
	for _, other := range search.state.requests {
		if other != search.request && other.isQueued() && slotBucket(other.job.Slots) > bucket {
			wanted = 2
		}
	}
	for number := range search.state.workers {
		if m.isCandidate(search, number) && m.wasIdle(number, bucketSlots(bucket), search.now) {
			wanted--
		}
	}
	return wanted <= 0
}

// isCandidate reports whether a worker, if it was idle, could have executed the request.
func (m *model) isCandidate(search idleSearch, number int) bool {
	class := &m.spec.Classes[search.request.job.Class]
	worker := &search.state.workers[number]
	known := &search.state.known[number]
	isKnown := !known.drained && max(known.incarnation, 1) >= worker.incarnation &&
		(known.notifiedAt == 0 || search.now-known.notifiedAt >= startupWindow)
	isBoundElsewhere := class.Kind != "" && class.Kind != worker.kind
	return isKnown && !isBoundElsewhere && m.isInTime(search, worker.kind) && m.allowsAttempt(search, number)
}

// isInTime reports whether a kind's slowest worker would execute the request by its deadline, and by its objective. A queued
// request may miss its objective if no worker can meet that.
func (m *model) isInTime(search idleSearch, kind string) bool {
	job := &search.request.job
	endAt := func(speed float64) time.Duration { return search.start + durationOf(job.Work/speed) }
	objective := job.At + job.LatencyObjective
	slowest := endAt(m.kinds[kind].minSpeed)
	if slowest > objective && (search.rejected || endAt(m.maxSpeed) <= objective) {
		return false
	}
	return slowest <= job.At+job.Deadline
}

// allowsAttempt reports whether the request's attempts allow another one at a worker.
func (m *model) allowsAttempt(search idleSearch, number int) bool {
	class := &m.spec.Classes[search.request.job.Class]
	if len(search.request.attempts) >= m.spec.Schedulers.AttemptLimit {
		return false
	}
	for _, attempt := range search.request.attempts {
		if attempt.notExecuted || class.Idempotency == "safe" {
			continue
		}
		isSameCell := attempt.worker/m.spec.Fleet.CellSize == number/m.spec.Fleet.CellSize
		isInWindow := float64(search.now-attempt.sentAt) < windowShare*float64(class.DeduplicationWindow)
		if class.Idempotency == "unsafe" || !isSameCell || !isInWindow {
			return false
		}
	}
	return true
}

// observe handles a trace event.
func (m *model) observe(event trace.Event) {
	for ; m.nextScan <= event.At; m.nextScan += scanInterval {
		m.scan()
	}
	if event.Kind == trace.ResponseReceived && event.Status == 503 {
		m.reject(event)
	}
	m.history = append(m.history, event)
}

func (m *model) scan() {
	state := m.stateAfter(len(m.history))
	for _, id := range state.ids {
		request := state.requests[id]
		isOverdue := m.nextScan-max(request.queuedSince, startupWindow) >= idleWindow
		if !request.isQueued() || m.reported[id] || !isOverdue {
			continue
		}
		if m.hasIdleWorker(idleSearch{state: state, request: request, start: request.queuedSince, now: m.nextScan}) {
			m.reported[id] = true
			m.counts.queued++
		}
	}
}

func (m *model) reject(event trace.Event) {
	state := m.stateAfter(len(m.history))
	request := state.requests[event.RequestID]
	if !request.isQueued() || m.reported[event.RequestID] {
		return
	}
	start := max(request.queuedSince, event.At-idleWindow)
	if !m.hasIdleWorker(idleSearch{state: state, request: request, start: start, now: event.At, rejected: true}) {
		return
	}
	m.reported[event.RequestID] = true
	if event.At < startupWindow {
		m.counts.excused++
	} else {
		m.counts.rejected++
	}
}

const ms = time.Millisecond

// modelRun draws a history, step by step, and passes it to the checker and the model.
type modelRun struct {
	t            *rapid.T
	spec         *scenario.Scenario
	checker      *Checker
	model        *model
	now          time.Duration
	incarnations []int // by worker
	jobs         uint64
	state        *modelState // before the step
	worker       int         // drawn by the step
}

// TestCheckerAgreesWithModel compares the checker with the model over random histories.
func TestCheckerAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := newSpec()
		spec.Fleet.Workers = 3
		run := &modelRun{t: t, spec: spec, checker: New(spec), model: newModel(spec), incarnations: []int{1, 1, 1}}
		for i := range spec.Fleet.Workers {
			run.observe(trace.Event{Kind: trace.WorkerPresent, Worker: i, Incarnation: 1, Slots: 4, Text: run.kindOf(i)})
		}
		run.observe(trace.Event{Kind: trace.SchedulerStarted})
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			run.step()
			run.check()
		}
	})
}

func (r *modelRun) kindOf(worker int) string { return r.spec.Fleet.Kinds[worker%2].Name }

func (r *modelRun) observe(event trace.Event) {
	event.At = r.now
	r.model.observe(event)
	r.checker.Observe(&event)
}

func (r *modelRun) check() {
	verdict := r.checker.Verdict()
	if got := (modelCounts{verdict.Queued, verdict.Rejected, verdict.Excused}); got != r.model.counts {
		r.t.Fatalf("at %v: %+v, the model has %+v\n%+v", r.now, got, r.model.counts, verdict.Findings)
	}
}

func (r *modelRun) advance(label string, times ...time.Duration) {
	r.now += rapid.SampledFrom(times).Draw(r.t, label)
}

// step advances the time and draws one event.
func (r *modelRun) step() {
	r.advance("time", 0, 7*ms, 250*ms, 800*ms, 2*time.Second)
	r.state = r.model.stateAfter(len(r.model.history))
	r.worker = rapid.IntRange(0, 2).Draw(r.t, "worker")
	switch rapid.IntRange(0, 14).Draw(r.t, "step") {
	case 0, 1, 2:
		r.sendRequest()
	case 3, 4:
		r.sendAttempt()
	case 5:
		r.respond()
	case 6:
		r.resolve(trace.AttemptReceived)
	case 7:
		r.resolve(trace.AttemptFinished)
	case 8:
		ends := []trace.Kind{trace.CallbackAnswered, trace.CallbackAnswered, trace.AttemptRejected}
		r.resolve(rapid.SampledFrom(ends).Draw(r.t, "end"))
	case 9:
		r.restartWorker()
	case 10:
		r.notify()
	case 11, 12:
		r.rejectEarly()
	case 13, 14:
		r.execute()
	}
}

// workerEvent returns an event of the step's worker.
func (r *modelRun) workerEvent(kind trace.Kind) trace.Event {
	return trace.Event{
		Kind: kind, Worker: r.worker, Incarnation: r.incarnations[r.worker], Slots: 4, Text: r.kindOf(r.worker), Status: 200,
	}
}

func (r *modelRun) sendRequest() trace.Event {
	r.jobs++
	event := trace.Event{Kind: trace.JobDue, JobID: r.jobs, LatencyObjective: 3 * time.Second, Deadline: 9 * time.Second}
	event.RequestID = fmt.Sprint("c", r.jobs)
	event.Class = rapid.IntRange(0, 3).Draw(r.t, "class")
	event.Slots = rapid.SampledFrom([]float64{1, 2, 4}).Draw(r.t, "slots")
	event.Work = rapid.SampledFrom([]float64{0.1, 2, 5}).Draw(r.t, "work")
	r.observe(event)
	event.Kind = trace.RequestSent
	r.observe(event)
	return event
}

// rejectEarly rejects a new request before it has been queued for the idle window.
func (r *modelRun) rejectEarly() {
	event := r.sendRequest()
	r.advanceBriefly()
	event.Kind = trace.ResponseReceived
	event.Status = 503
	r.observe(event)
}

// execute runs an attempt of a new request. The request is queued again if no response follows.
func (r *modelRun) execute() {
	event := r.sendRequest()
	r.advanceBriefly()
	event.Worker = r.worker
	event.Incarnation = r.incarnations[r.worker]
	event.Number = 1
	event.Text = stateDone
	event.Status = 200
	for _, kind := range []trace.Kind{trace.AttemptSent, trace.AttemptReceived, trace.AttemptFinished, trace.CallbackAnswered} {
		event.Kind = kind
		r.observe(event)
		r.advanceBriefly()
	}
	event.Kind = trace.ResponseReceived
	if rapid.Bool().Draw(r.t, "responds") {
		r.observe(event)
	}
}

func (r *modelRun) advanceBriefly() { r.advance("short time", 0, ms, 120*ms, 450*ms) }

// openRequests returns the IDs of the open requests.
func (r *modelRun) openRequests() []string {
	var open []string
	for _, id := range r.state.ids {
		if r.state.requests[id].open {
			open = append(open, id)
		}
	}
	return open
}

// sendAttempt sends an attempt of the first open request that has had none at the step's worker.
func (r *modelRun) sendAttempt() {
	for _, id := range r.openRequests() {
		isHere := func(a modelAttempt) bool { return a.worker == r.worker }
		if slices.ContainsFunc(r.state.requests[id].attempts, isHere) {
			continue
		}
		event := r.workerEvent(trace.AttemptSent)
		event.RequestID = id
		r.observe(event)
		return
	}
}

func (r *modelRun) respond() {
	open := r.openRequests()
	if len(open) == 0 {
		return
	}
	event := r.workerEvent(trace.ResponseReceived)
	event.RequestID = rapid.SampledFrom(open).Draw(r.t, "request")
	event.Status = rapid.SampledFrom([]int{200, 503, 503}).Draw(r.t, "status")
	r.observe(event)
}

// modelAttemptKey identifies an attempt that occupies a worker.
type modelAttemptKey struct {
	requestID string
	worker    int
}

// resolve observes an event of a random attempt that occupies a worker, if the event may happen to it.
func (r *modelRun) resolve(kind trace.Kind) {
	var keys []modelAttemptKey
	for _, id := range r.state.ids {
		for _, attempt := range r.state.requests[id].attempts {
			if attempt.atWorker {
				keys = append(keys, modelAttemptKey{id, attempt.worker})
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	key := rapid.SampledFrom(keys).Draw(r.t, "attempt")
	attempts := r.state.requests[key.requestID].attempts
	index := slices.IndexFunc(attempts, func(a modelAttempt) bool { return a.worker == key.worker && a.atWorker })
	if !attempts[index].canTake(kind) {
		return
	}
	event := r.workerEvent(kind)
	event.RequestID = key.requestID
	event.Worker = key.worker
	event.Number = 1
	event.Text = stateDone
	r.observe(event)
}

// canTake reports whether an event of the kind may happen to an attempt that occupies its worker.
func (a *modelAttempt) canTake(kind trace.Kind) bool {
	switch kind {
	case trace.AttemptReceived:
		return !a.received
	case trace.AttemptFinished:
		return a.received && !a.finished
	case trace.AttemptRejected:
		return !a.finished
	case trace.CallbackAnswered:
		return a.finished && a.inFlight
	default:
		return true
	}
}

// restartWorker restarts the step's worker if it is empty.
func (r *modelRun) restartWorker() {
	if r.state.workers[r.worker].usedSlots > 0 {
		return
	}
	r.observe(r.workerEvent(trace.WorkerStopped))
	r.incarnations[r.worker]++
	r.observe(r.workerEvent(trace.WorkerStarted))
}

func (r *modelRun) notify() {
	kinds := []trace.Kind{trace.StartNotified, trace.StartNotified, trace.DrainNotified, trace.WorkerRecovered}
	r.observe(r.workerEvent(rapid.SampledFrom(kinds).Draw(r.t, "event")))
}
