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
func (t *stage) begin() *stage {
	for i := range t.w.schedulers {
		t.up(i)
	}
	t.w.clients.start()
	return t
}

func (t *stage) up(i int) {
	if s := t.w.schedulers[i]; !s.alive {
		s.alive, s.ready, s.incarnation = true, true, s.incarnation+1
		t.w.balancer.schedulerChanged(s)
	}
}

func (t *stage) kill(i int) {
	if s := t.w.schedulers[i]; s.alive {
		s.alive, s.ready = false, false
		t.w.dropConns(i)
		t.w.balancer.schedulerChanged(s)
	}
}

// run plays to an instant; act is told what reaches schedulers, and what it appends to outs happens at once.
func (t *stage) run(to time.Duration, act func(in *simapi.Input)) {
	for {
		at, ok := t.w.Next()
		if len(t.outputs) > 0 {
			at = t.w.now
		} else if !ok || at > to {
			t.w.now = to
			return
		}
		outs := t.outputs
		t.outputs = nil
		for _, in := range t.w.Step(at, outs, nil) {
			act(&in)
		}
	}
}

// end plays until all jobs are settled.
func (t *stage) end(act func(in *simapi.Input)) {
	for !t.w.Finished() {
		t.run(t.w.now+time.Second, act)
	}
}

// reply has a request answered.
func (t *stage) reply(in *readRequest, status int, after time.Duration) {
	t.outputs = append(t.outputs, simapi.Output{Scheduler: in.scheduler, Message: simapi.ResponseWritten{
		Conn: in.Conn, RequestID: in.Request.RequestID, Status: status, RetryAfter: after, Result: "r",
	}})
}

// closeConn has a scheduler close a client's connection.
func (t *stage) closeConn(scheduler int, conn simapi.Conn) {
	t.outputs = append(t.outputs, simapi.Output{Scheduler: scheduler, Message: simapi.ClientConnClosed{Conn: conn}})
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
func (t *stage) serve(in *simapi.Input) {
	if q := requestOf(in); q != nil {
		t.reply(q, 200, 0)
	}
}

// of is what was seen of a kind.
func (t *stage) of(what trace.Kind) (list []trace.Event) {
	for _, s := range t.events {
		if s.Kind == what {
			list = append(list, s)
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

func (m *witness) see(s *trace.Event) {
	j := m.jobs[s.JobID]
	if s.Kind == trace.ResponseReceived && (j == nil || !j.awaits(s)) {
		return // nobody waited for it
	}
	m.check(s.Kind == trace.JobDue == (j == nil), "trace event %d of job %d, known: %v", s.Kind, s.JobID, j != nil)
	if s.Kind == trace.JobDue {
		m.jobs[s.JobID] = &witnessed{dueEvent: *s, risked: -1}
		m.check(s.LatencyObjective <= s.Deadline && s.Work > 0 && s.Slots >= 1, "a job of no sense: %+v", *s)
		return
	}
	m.check(!j.settled, "trace event %d of a settled job", s.Kind)
	switch s.Kind {
	case trace.RequestSent:
		m.requestSent(j, s)
	case trace.JobSettled:
		m.check(j.open == nil, "settled with an open try")
		m.check(s.Status == j.status && s.At <= m.deadline(j)+m.spec.Rules.Slack.Std(), "settled with %d at %v", s.Status, s.At-m.deadline(j))
		j.settled = true
	case trace.SchedulerUnreachable: // perhaps of one that nobody had read
		m.check(s.Number+1 >= j.tries, "an old try ends again")
		j.tries, j.status = s.Number+1, 0
		j.open = nil
	case trace.ResponseReceived, trace.ConnectionLost, trace.ClientTimedOut, trace.ClientLeft:
		m.check(j.awaits(s), "trace event %d of no open try", s.Kind)
		m.requestEnded(j, s)
	default:
		m.check(false, "trace event %d", s.Kind)
	}
}

// awaits reports whether an event is of the job's open try, on its connection.
func (j *witnessed) awaits(s *trace.Event) bool {
	return j.open != nil && j.open.RequestID == s.RequestID && j.open.Conn == s.Conn
}

func (m *witness) deadline(j *witnessed) time.Duration { return j.dueEvent.At + j.dueEvent.Deadline }

// requestSent checks a try that is sent, for the first time or once more.
func (m *witness) requestSent(j *witnessed, s *trace.Event) {
	class, deadline := &m.spec.Classes[j.dueEvent.Class], m.deadline(j)
	m.check(j.open == nil || j.open.RequestID == s.RequestID && j.open.Conn != s.Conn, "two open tries of a job")
	if j.open == nil {
		m.check(m.calls[s.RequestID] == 0, "id %s comes twice", s.RequestID)
		m.check(s.Number >= j.tries && s.Number <= m.spec.Clients.Retries, "try %d after %d", s.Number, j.tries)
		j.tries = s.Number + 1
	}
	m.calls[s.RequestID] = s.JobID
	m.check(s.Budget >= time.Millisecond && s.Budget%time.Millisecond == 0 && s.At+s.Budget <= deadline,
		"a budget of %v with %v left", s.Budget, deadline-s.At)
	m.check(s.IdempotencyKey == j.dueEvent.IdempotencyKey && (s.IdempotencyKey != "") == (class.Idempotency == "keyed"), "key %q", s.IdempotencyKey)
	if j.risked >= 0 {
		within := class.Idempotency == "keyed" && class.DeduplicationScope == "all" && s.At < j.risked+class.DeduplicationWindow.Std()
		m.check(class.Idempotency == "safe" || within, "%s tried again %v after one that may have run", class.Name,
			s.At-j.risked)
	}
	open := *s
	j.open = &open
}

// requestEnded checks the end of the open try.
func (m *witness) requestEnded(j *witnessed, s *trace.Event) {
	if j.status = s.Status; s.Status != 200 && s.Status != 429 && s.Status != 503 && j.risked < 0 {
		j.risked = j.open.At
	}
	waited, slack := s.At-j.open.At, m.spec.Rules.Slack.Std()
	m.check(waited <= j.open.Budget+slack+time.Millisecond, "waited %v of %v", waited, j.open.Budget)
	m.check(s.Kind != trace.ClientTimedOut || waited >= j.open.Budget+slack, "gave up after %v", waited)
	j.open = nil
}
