package environment

import (
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// clientHarness is an environment of clients, a load balancer and a network, with schedulers that the test scripts.
type clientHarness struct {
	env     *Environment
	events  []trace.Event
	outputs []simapi.Output    // for the next step
	onEvent func(*trace.Event) // called for each event, which is not added to events then; may be nil
}

// defaultScenario returns the default scenario, which has one zone, with the given number of schedulers and length.
func defaultScenario(schedulers int, length time.Duration) *scenario.Scenario {
	s := scenario.Default()
	s.Schedulers.Count, s.Length = schedulers, scenario.Duration(length)
	return s
}

func newClientHarness(spec *scenario.Scenario, seed uint64) *clientHarness {
	harness := &clientHarness{}
	environment := &Environment{Spec: spec, seed: seed, conns: map[simapi.Conn]*conn{}}
	environment.observer = func(event *trace.Event) {
		if harness.onEvent != nil {
			harness.onEvent(event)
		} else {
			harness.events = append(harness.events, *event)
		}
	}
	environment.network = newNetwork(environment)
	for i := range spec.Schedulers.Count {
		environment.schedulers = append(environment.schedulers, &scheduler{env: environment, number: i})
	}
	environment.balancer, environment.clients = newLoadBalancer(environment), newClients(environment)
	harness.env = environment
	return harness
}

// start starts all schedulers and the clients.
func (s *clientHarness) start() *clientHarness {
	for i := range s.env.schedulers {
		s.startScheduler(i)
	}
	s.env.clients.start()
	return s
}

func (s *clientHarness) startScheduler(i int) {
	if scheduler := s.env.schedulers[i]; !scheduler.alive {
		scheduler.alive, scheduler.ready, scheduler.incarnation = true, true, scheduler.incarnation+1
		s.env.balancer.schedulerChanged(scheduler)
	}
}

func (s *clientHarness) killScheduler(i int) {
	if scheduler := s.env.schedulers[i]; scheduler.alive {
		scheduler.alive, scheduler.ready = false, false
		s.env.dropConns(i)
		s.env.balancer.schedulerChanged(scheduler)
	}
}

// runUntil runs until a time. It calls handle for each input of schedulers, and applies the outputs that handle adds at once.
func (s *clientHarness) runUntil(to time.Duration, handle func(in *simapi.Input)) {
	for {
		at, ok := s.env.Next()
		if len(s.outputs) > 0 {
			at = s.env.now
		} else if !ok || at > to {
			s.env.now = to
			return
		}
		outs := s.outputs
		s.outputs = nil
		for _, in := range s.env.Step(at, outs, nil) {
			handle(&in)
		}
	}
}

// runToEnd runs until all jobs are settled.
func (s *clientHarness) runToEnd(handle func(in *simapi.Input)) {
	for !s.env.Finished() {
		s.runUntil(s.env.now+time.Second, handle)
	}
}

// answer answers a request.
func (s *clientHarness) answer(request *readRequest, status int, after time.Duration) {
	s.outputs = append(s.outputs, simapi.Output{Scheduler: request.scheduler, Message: simapi.ResponseWritten{
		Conn: request.Conn, RequestID: request.Request.RequestID, Status: status, RetryAfter: after, Result: "r",
	}})
}

// closeConn closes a client's connection from the scheduler's side.
func (s *clientHarness) closeConn(scheduler int, conn simapi.Conn) {
	s.outputs = append(s.outputs, simapi.Output{Scheduler: scheduler, Message: simapi.ClientConnClosed{Conn: conn}})
}

// readRequest is a request that a scheduler has received.
type readRequest struct {
	scheduler int
	simapi.RequestReceived
}

// requestOf returns the request of an input; nil: it is another message.
func requestOf(in *simapi.Input) *readRequest {
	message, ok := in.Message.(simapi.RequestReceived)
	if !ok {
		return nil
	}
	return &readRequest{in.Scheduler, message}
}

// answerOK answers each request with 200 at once.
func (s *clientHarness) answerOK(in *simapi.Input) {
	if request := requestOf(in); request != nil {
		s.answer(request, 200, 0)
	}
}

// eventsOfKind returns the events of a kind so far.
func (s *clientHarness) eventsOfKind(kind trace.Kind) (list []trace.Event) {
	for _, event := range s.events {
		if event.Kind == kind {
			list = append(list, event)
		}
	}
	return list
}

// clientChecker checks from the trace events that clients keep the rules for requests and retries.
type clientChecker struct {
	spec         *scenario.Scenario
	check        func(ok bool, format string, args ...any)
	jobs         map[uint64]*jobHistory
	jobOfRequest map[string]uint64
}

type jobHistory struct {
	dueEvent         trace.Event
	openRequest      *trace.Event // event of the request that was sent and has not ended
	requests         int          // started so far
	status           int
	firstUncertainAt time.Duration
	settled          bool
}

func newClientChecker(spec *scenario.Scenario, s *modeltest.Steps) *clientChecker {
	return &clientChecker{spec: spec, check: s.Check, jobs: map[uint64]*jobHistory{}, jobOfRequest: map[string]uint64{}}
}

func (w *clientChecker) observe(event *trace.Event) {
	job := w.jobs[event.JobID]
	if event.Kind == trace.ResponseReceived && (job == nil || !job.isOfOpenRequest(event)) {
		return // a response that no request awaits
	}
	w.check(event.Kind == trace.JobDue == (job == nil), "trace event %d of job %d, known: %v", event.Kind, event.JobID, job != nil)
	if event.Kind == trace.JobDue {
		w.jobs[event.JobID] = &jobHistory{dueEvent: *event, firstUncertainAt: -1}
		w.check(event.LatencyObjective <= event.Deadline && event.Work > 0 && event.Slots >= 1, "invalid job: %+v", *event)
		return
	}
	w.check(!job.settled, "trace event %d of a settled job", event.Kind)
	switch event.Kind {
	case trace.RequestSent:
		w.requestSent(job, event)
	case trace.JobSettled:
		w.check(job.openRequest == nil, "settled with an open request")
		w.check(event.Status == job.status && event.At <= w.deadline(job)+w.spec.Rules.Slack.Std(), "settled with %d at %v", event.Status, event.At-w.deadline(job))
		job.settled = true
	case trace.SchedulerUnreachable: // the request may have been sent before, if its connection closed before it was read
		w.check(event.Number+1 >= job.requests, "an earlier request ends again")
		job.requests, job.status = event.Number+1, 0
		job.openRequest = nil
	case trace.ResponseReceived, trace.ConnectionLost, trace.ClientTimedOut, trace.ClientLeft:
		w.check(job.isOfOpenRequest(event), "trace event %d without an open request", event.Kind)
		w.requestEnded(job, event)
	default:
		w.check(false, "unexpected trace event %d", event.Kind)
	}
}

// isOfOpenRequest reports whether an event belongs to the job's open request and its connection.
func (w *jobHistory) isOfOpenRequest(event *trace.Event) bool {
	return w.openRequest != nil && w.openRequest.RequestID == event.RequestID && w.openRequest.Conn == event.Conn
}

func (w *clientChecker) deadline(job *jobHistory) time.Duration {
	return job.dueEvent.At + job.dueEvent.Deadline
}

// requestSent checks a request that is sent, for the first time or again on another connection.
func (w *clientChecker) requestSent(job *jobHistory, event *trace.Event) {
	class, deadline := &w.spec.Classes[job.dueEvent.Class], w.deadline(job)
	w.check(job.openRequest == nil || job.openRequest.RequestID == event.RequestID && job.openRequest.Conn != event.Conn, "two open requests of a job")
	if job.openRequest == nil {
		w.check(w.jobOfRequest[event.RequestID] == 0, "request ID %s is used twice", event.RequestID)
		w.check(event.Number >= job.requests && event.Number <= w.spec.Clients.Retries, "request %d after %d requests", event.Number, job.requests)
		job.requests = event.Number + 1
	}
	w.jobOfRequest[event.RequestID] = event.JobID
	w.check(event.Budget >= time.Millisecond && event.Budget%time.Millisecond == 0 && event.At+event.Budget <= deadline,
		"budget %v with %v left", event.Budget, deadline-event.At)
	w.check(event.IdempotencyKey == job.dueEvent.IdempotencyKey && (event.IdempotencyKey != "") == (class.Idempotency == "keyed"), "key %q", event.IdempotencyKey)
	if job.firstUncertainAt >= 0 {
		within := class.Idempotency == "keyed" && class.DeduplicationScope == "all" && event.At < job.firstUncertainAt+class.DeduplicationWindow.Std()
		w.check(class.Idempotency == "safe" || within, "%s retried %v after a request that may have run", class.Name,
			event.At-job.firstUncertainAt)
	}
	open := *event
	job.openRequest = &open
}

// requestEnded checks the end of the open request.
func (w *clientChecker) requestEnded(job *jobHistory, event *trace.Event) {
	if job.status = event.Status; event.Status != 200 && event.Status != 429 && event.Status != 503 && job.firstUncertainAt < 0 {
		job.firstUncertainAt = job.openRequest.At
	}
	waited, slack := event.At-job.openRequest.At, w.spec.Rules.Slack.Std()
	w.check(waited <= job.openRequest.Budget+slack+time.Millisecond, "waited %v with a budget of %v", waited, job.openRequest.Budget)
	w.check(event.Kind != trace.ClientTimedOut || waited >= job.openRequest.Budget+slack, "timed out after %v", waited)
	job.openRequest = nil
}
