package environment

import (
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// stage is clients, their front and a network, with schedulers that do as a test says.
type stage struct {
	w       *Environment
	events  []trace.Event
	outputs []simapi.Output    // for the next step
	check   func(*trace.Event) // instead of told
}

// calm is the co-operative's deployment with one zone and so many schedulers.
func calm(scheds int, length time.Duration) *scenario.Scenario {
	s := scenario.Default()
	s.Schedulers.Count, s.Length = scheds, scenario.Duration(length)
	return s
}

func newStage(spec *scenario.Scenario, seed uint64) *stage {
	t := &stage{}
	w := &Environment{Spec: spec, seed: seed, conns: map[simapi.Conn]*conn{}}
	w.observer = func(s *trace.Event) {
		if t.check != nil {
			t.check(s)
		} else {
			t.events = append(t.events, *s)
		}
	}
	w.network = newNetwork(w)
	for i := range spec.Schedulers.Count {
		w.schedulers = append(w.schedulers, &scheduler{env: w, number: i})
	}
	w.balancer, w.clients = newLoadBalancer(w), newClients(w)
	t.w = w
	return t
}

// begin has all schedulers run, and the clients begin.
func (s *stage) begin() *stage {
	for i := range s.w.schedulers {
		s.up(i)
	}
	s.w.clients.start()
	return s
}

func (s *stage) up(i int) {
	if scheduler := s.w.schedulers[i]; !scheduler.alive {
		scheduler.alive, scheduler.ready, scheduler.incarnation = true, true, scheduler.incarnation+1
		s.w.balancer.schedulerChanged(scheduler)
	}
}

func (s *stage) kill(i int) {
	if scheduler := s.w.schedulers[i]; scheduler.alive {
		scheduler.alive, scheduler.ready = false, false
		s.w.dropConns(i)
		s.w.balancer.schedulerChanged(scheduler)
	}
}

// run plays to an instant; act is told what reaches schedulers, and what it appends to outs happens at once.
func (s *stage) run(to time.Duration, act func(in *simapi.Input)) {
	for {
		at, ok := s.w.Next()
		if len(s.outputs) > 0 {
			at = s.w.now
		} else if !ok || at > to {
			s.w.now = to
			return
		}
		outs := s.outputs
		s.outputs = nil
		for _, in := range s.w.Step(at, outs, nil) {
			act(&in)
		}
	}
}

// end plays until all jobs are settled.
func (s *stage) end(act func(in *simapi.Input)) {
	for !s.w.Finished() {
		s.run(s.w.now+time.Second, act)
	}
}

// reply has a request answered.
func (s *stage) reply(in *readRequest, status int, after time.Duration) {
	s.outputs = append(s.outputs, simapi.Output{Scheduler: in.scheduler, Message: simapi.ResponseWritten{
		Conn: in.Conn, RequestID: in.Request.RequestID, Status: status, RetryAfter: after, Result: "r",
	}})
}

// closeConn has a scheduler close a client's connection.
func (s *stage) closeConn(scheduler int, conn simapi.Conn) {
	s.outputs = append(s.outputs, simapi.Output{Scheduler: scheduler, Message: simapi.ClientConnClosed{Conn: conn}})
}

// readRequest is a request that a scheduler has read.
type readRequest struct {
	scheduler int
	simapi.RequestReceived
}

// requestOf is the request that an input brings; nil: it brings none.
func requestOf(in *simapi.Input) *readRequest {
	message, ok := in.Message.(simapi.RequestReceived)
	if !ok {
		return nil
	}
	return &readRequest{in.Scheduler, message}
}

// serve answers everything at once.
func (s *stage) serve(in *simapi.Input) {
	if q := requestOf(in); q != nil {
		s.reply(q, 200, 0)
	}
}

// of is what was seen of a kind.
func (s *stage) of(what trace.Kind) (list []trace.Event) {
	for _, event := range s.events {
		if event.Kind == what {
			list = append(list, event)
		}
	}
	return list
}

// witness knows what clients may do, and holds them to it trace event by trace event.
type witness struct {
	spec  *scenario.Scenario
	check func(ok bool, format string, args ...any)
	jobs  map[uint64]*witnessed
	calls map[string]uint64
}

type witnessed struct {
	dueEvent trace.Event
	open     *trace.Event // the try that was asked and has not ended
	tries    int
	status   int
	risked   time.Duration
	settled  bool
}

func newWitness(spec *scenario.Scenario, s *modeltest.Steps) *witness {
	return &witness{spec: spec, check: s.Check, jobs: map[uint64]*witnessed{}, calls: map[string]uint64{}}
}

func (w *witness) see(s *trace.Event) {
	j := w.jobs[s.JobID]
	if s.Kind == trace.ResponseReceived && (j == nil || !j.awaits(s)) {
		return // nobody waited for it
	}
	w.check(s.Kind == trace.JobDue == (j == nil), "trace event %d of job %d, known: %v", s.Kind, s.JobID, j != nil)
	if s.Kind == trace.JobDue {
		w.jobs[s.JobID] = &witnessed{dueEvent: *s, risked: -1}
		w.check(s.LatencyObjective <= s.Deadline && s.Work > 0 && s.Slots >= 1, "a job of no sense: %+v", *s)
		return
	}
	w.check(!j.settled, "trace event %d of a settled job", s.Kind)
	switch s.Kind {
	case trace.RequestSent:
		w.requestSent(j, s)
	case trace.JobSettled:
		w.check(j.open == nil, "settled with an open try")
		w.check(s.Status == j.status && s.At <= w.deadline(j)+w.spec.Rules.Slack.Std(), "settled with %d at %v", s.Status, s.At-w.deadline(j))
		j.settled = true
	case trace.SchedulerUnreachable: // perhaps of one that nobody had read
		w.check(s.Number+1 >= j.tries, "an old try ends again")
		j.tries, j.status = s.Number+1, 0
		j.open = nil
	case trace.ResponseReceived, trace.ConnectionLost, trace.ClientTimedOut, trace.ClientLeft:
		w.check(j.awaits(s), "trace event %d of no open try", s.Kind)
		w.requestEnded(j, s)
	default:
		w.check(false, "trace event %d", s.Kind)
	}
}

// awaits reports whether an event is of the job's open try, on its connection.
func (w *witnessed) awaits(s *trace.Event) bool {
	return w.open != nil && w.open.RequestID == s.RequestID && w.open.Conn == s.Conn
}

func (w *witness) deadline(j *witnessed) time.Duration { return j.dueEvent.At + j.dueEvent.Deadline }

// requestSent checks a try that is sent, for the first time or once more.
func (w *witness) requestSent(j *witnessed, s *trace.Event) {
	class, deadline := &w.spec.Classes[j.dueEvent.Class], w.deadline(j)
	w.check(j.open == nil || j.open.RequestID == s.RequestID && j.open.Conn != s.Conn, "two open tries of a job")
	if j.open == nil {
		w.check(w.calls[s.RequestID] == 0, "id %s comes twice", s.RequestID)
		w.check(s.Number >= j.tries && s.Number <= w.spec.Clients.Retries, "try %d after %d", s.Number, j.tries)
		j.tries = s.Number + 1
	}
	w.calls[s.RequestID] = s.JobID
	w.check(s.Budget >= time.Millisecond && s.Budget%time.Millisecond == 0 && s.At+s.Budget <= deadline,
		"a budget of %v with %v left", s.Budget, deadline-s.At)
	w.check(s.IdempotencyKey == j.dueEvent.IdempotencyKey && (s.IdempotencyKey != "") == (class.Idempotency == "keyed"), "key %q", s.IdempotencyKey)
	if j.risked >= 0 {
		within := class.Idempotency == "keyed" && class.DeduplicationScope == "all" && s.At < j.risked+class.DeduplicationWindow.Std()
		w.check(class.Idempotency == "safe" || within, "%s tried again %v after one that may have run", class.Name,
			s.At-j.risked)
	}
	open := *s
	j.open = &open
}

// requestEnded checks the end of the open try.
func (w *witness) requestEnded(j *witnessed, s *trace.Event) {
	if j.status = s.Status; s.Status != 200 && s.Status != 429 && s.Status != 503 && j.risked < 0 {
		j.risked = j.open.At
	}
	waited, slack := s.At-j.open.At, w.spec.Rules.Slack.Std()
	w.check(waited <= j.open.Budget+slack+time.Millisecond, "waited %v of %v", waited, j.open.Budget)
	w.check(s.Kind != trace.ClientTimedOut || waited >= j.open.Budget+slack, "gave up after %v", waited)
	j.open = nil
}
