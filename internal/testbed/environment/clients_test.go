package environment

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// Whatever schedulers do, every job is settled once and in time, each of its requests ends once, and a job is retried after a
// request that may have run only if its class allows that.
func FuzzClients(f *testing.F) { modeltest.Fuzz(f, runClients) }

// clientsModel acts as the schedulers of the clients: it answers, closes connections and fails at random.
type clientsModel struct {
	*modeltest.Steps
	harness          *clientHarness
	checker          *clientChecker
	readRequests     []*readRequest
	openConns        map[simapi.Conn]bool
	receivedRequests map[string]bool // by request ID
	undoFault        func()
}

func runClients(s *modeltest.Steps) {
	spec := clientsSpec(s)
	t := newClientHarness(spec, uint64(s.Pick(16)))
	m := &clientsModel{
		Steps: s, harness: t, checker: newClientChecker(spec, s), openConns: map[simapi.Conn]bool{}, receivedRequests: map[string]bool{}, undoFault: func() {},
	}
	t.onEvent = m.checker.observe
	t.start()
	for s.More() {
		m.step()
	}
	m.checkEnd()
}

// clientsSpec draws the scenario of a run of FuzzClients.
func clientsSpec(s *modeltest.Steps) *scenario.Scenario {
	spec := defaultScenario(2, 4*time.Second)
	spec.Load.CapacityShare, spec.Load.Rate = 0, 40
	spec.Classes[3].DeduplicationScope, spec.Classes[3].DeduplicationWindow = "all", scenario.Duration(2*time.Second)
	spec.Clients = scenario.Clients{Retries: 3, Backoff: spec.Clients.Backoff, HonourRetryAfter: 0.5, Impatient: 0.2}
	spec.Rules.Slack = scenario.Duration(20 * time.Millisecond)
	spec.LoadBalancer.NoticeDelay = scenario.Duration(300 * time.Millisecond)
	if s.Pick(2) == 0 {
		spec.Clients.RequestTimeoutShare = 0.2
	}
	if s.Pick(3) == 0 {
		spec.Load.ClosedClients = 20
	}
	if s.Pick(4) == 0 {
		spec.Schedulers.Sockets = 12 // few enough that requests must wait for a connection
	}
	return spec
}

// act checks an input of a scheduler, and records its request.
func (c *clientsModel) act(in *simapi.Input) {
	environment := c.harness.env
	connCounts := environment.balancer.connCounts
	c.Check(environment.schedulers[in.Scheduler].alive, "a dead scheduler receives %T", in.Message)
	c.Check(max(connCounts[0], connCounts[1]) <= environment.balancer.maxConns, "%v connections, want at most %d each", connCounts, environment.balancer.maxConns)
	if closed, ok := in.Message.(simapi.ClientClosed); ok {
		c.openConns[closed.Conn] = false
	}
	read := requestOf(in)
	if read == nil {
		return
	}
	c.openConns[read.Conn] = true
	request := read.Request
	c.Check(len(request.RequestID) == 16 && len(request.IdempotencyKey)%32 == 0, "id %q, key %q", request.RequestID, request.IdempotencyKey)
	sent := environment.clients.findRequest(request.RequestID)
	c.Check(sent != nil && sent.id == request.RequestID && sent.jobID == c.checker.jobOfRequest[sent.id], "request %s was sent and is not found", request.RequestID)
	c.Check(!c.receivedRequests[sent.id], "request %s arrives again after it was read", sent.id)
	c.receivedRequests[sent.id] = true
	c.readRequests = append(c.readRequests, read)
}

// step draws and performs the next action.
func (c *clientsModel) step() {
	var request *readRequest
	if len(c.readRequests) > 0 {
		request = c.readRequests[c.Pick(len(c.readRequests))]
	}
	harness := c.harness
	switch what := c.Pick(24); {
	case what < 8 || request == nil:
		harness.runUntil(harness.env.now+time.Duration(c.Pick(200))*time.Millisecond, c.act)
	case what < 16: // the request may have been answered before, or have ended long ago
		harness.answer(request, []int{200, 200, 503, 429, 500}[c.Pick(5)], time.Duration(c.Pick(3))*400*time.Millisecond)
		if c.Pick(8) == 0 {
			harness.closeConn(request.scheduler, request.Conn)
		}
	case what < 18:
		harness.closeConn(request.scheduler, simapi.Conn(1+c.Pick(20)))
	case what == 18:
		harness.outputs = append(harness.outputs, simapi.Output{Scheduler: request.scheduler, Message: simapi.ResponseWritten{Conn: request.Conn, RequestID: "nobody's"}})
	case what == 19:
		harness.killScheduler(c.Pick(2))
	case what == 20:
		harness.startScheduler(c.Pick(2))
	default:
		c.undoFault()
		c.undoFault = c.startFault(what)
	}
}

// startFault starts a fault of the network or of the load.
func (c *clientsModel) startFault(what int) (undo func()) {
	switch what {
	case 21:
		return c.harness.env.network.partition(endpointGroup{kind: clientEndpoint}, endpointGroup{kind: schedulerEndpoint}, c.Pick(2) == 0)
	case 22:
		return c.harness.env.clients.startRetryStorm(4)
	default:
		return c.harness.env.clients.startBurst(c.Pick(3), -1, []float64{0.5, 3}[c.Pick(2)])
	}
}

// checkEnd runs to the end, and checks that every job is settled and that no request or busy connection is left.
func (c *clientsModel) checkEnd() {
	harness := c.harness
	harness.runToEnd(c.act)
	for n, j := range c.checker.jobs {
		c.Check(j.settled && harness.env.clients.jobs.openJob(n) == nil, "job %d is not settled", n)
	}
	c.Check(harness.env.RequestsInFlight() == 0, "%d requests in flight at the end", harness.env.RequestsInFlight())
	c.undoFault()
	harness.runUntil(harness.env.now+2*time.Second, c.act)
	idle, counted := len(harness.env.clients.connPools[0].idle), harness.env.balancer.connCounts[0]+harness.env.balancer.connCounts[1]
	c.Check(idle == counted, "%d connections counted, %d of them idle at the end", counted, idle)
}

// The jobs, and the IDs of their requests, are the same whatever schedulers answer.
func TestArrivalsDoNotDependOnAnswers(t *testing.T) {
	run := func(act func(t *clientHarness, in *simapi.Input)) (dueAt []trace.Event, ids map[string]uint64) {
		spec := defaultScenario(2, 20*time.Second)
		spec.Load.Shape, spec.Load.Swing, spec.Clients.Impatient = "bursty", 0.6, 0.1
		s := newClientHarness(spec, 7).start()
		s.env.schedule(5*time.Second, func() { s.env.after(4*time.Second, s.env.clients.startBurst(1, -1, 4)) })
		s.runToEnd(func(in *simapi.Input) { act(s, in) })
		ids = map[string]uint64{}
		for _, o := range s.eventsOfKind(trace.RequestSent) {
			ids[o.RequestID] = o.JobID<<8 + uint64(o.Number)
		}
		return s.eventsOfKind(trace.JobDue), ids
	}
	want, ids := run((*clientHarness).answerOK)
	n := 0
	got, others := run(func(s *clientHarness, in *simapi.Input) {
		q := requestOf(in)
		if n++; q != nil && n%3 > 0 {
			s.answer(q, 300+100*(n%5), time.Second)
		}
		if n%200 == 0 {
			s.killScheduler(n / 200 % 2)
			s.startScheduler(n / 400 % 2)
		}
	})
	if len(want) < 600 || len(others) < 800 || !slices.Equal(got, want) {
		t.Fatalf("%d jobs with %d requests, want the same %d jobs as when every request is answered 200", len(got), len(others), len(want))
	}
	for id, request := range ids {
		if others[id] != request && others[id] != 0 {
			t.Fatalf("ID %s belongs to another request", id)
		}
	}
}

// answerWith answers the requests, in order of arrival, with the given statuses; further ones are not answered.
func answerWith(h *clientHarness, retryAfter time.Duration, status ...int) func(in *simapi.Input) {
	return func(in *simapi.Input) {
		if request := requestOf(in); request != nil && len(status) > 0 {
			h.answer(request, status[0], retryAfter)
			status = status[1:]
		}
	}
}

// newSingleJobHarness returns a harness with a single job of a class, which arrives at 100 ms.
func newSingleJobHarness(class int, change func(*scenario.Scenario)) *clientHarness {
	spec := defaultScenario(1, time.Second)
	spec.Load.CapacityShare, spec.Network.Jitter, spec.Network.ClientDelay = 0, 0, scenario.Duration(time.Millisecond)
	spec.Rules.Slack = scenario.Duration(20 * time.Millisecond)
	spec.Clients.HonourRetryAfter = 1
	if change != nil {
		change(spec)
	}
	s := newClientHarness(spec, 1).start()
	s.env.schedule(100*time.Millisecond, func() {
		a := s.env.clients.arrivals
		s.env.clients.jobDue(a.drawJob(s.env.rng("one", 0), &jobSource{class: class}), s.env.now)
	})
	return s
}

// The delay of a retry is the scheduler's advice, the client's own backoff, or in a retry storm a part of the backoff.
func TestRetryDelay(t *testing.T) {
	for _, test := range []struct {
		name   string
		honour float64
		storm  bool
		least  time.Duration
		most   time.Duration
		grows  time.Duration
	}{
		{"advice", 1, false, 800 * time.Millisecond, 800 * time.Millisecond, 1},
		{"advice ignored", 0, false, 250 * time.Millisecond, 750 * time.Millisecond, 2},
		{"storm", 1, true, 62 * time.Millisecond, 188 * time.Millisecond, 2},
	} {
		s := newSingleJobHarness(2, func(spec *scenario.Scenario) { spec.Clients.HonourRetryAfter = test.honour })
		if test.storm {
			defer s.env.clients.startRetryStorm(4)()
		}
		s.runToEnd(answerWith(s, 800*time.Millisecond, 503, 429, 200))
		sent, settled := s.eventsOfKind(trace.RequestSent), s.eventsOfKind(trace.JobSettled)
		if len(sent) != 3 || sent[0].RequestID == sent[1].RequestID || settled[0].Status != 200 {
			t.Fatalf("%s: %d requests, settled with %d", test.name, len(sent), settled[0].Status)
		}
		for i, grown := range []time.Duration{1, test.grows} {
			if wait := sent[i+1].At - s.eventsOfKind(trace.ResponseReceived)[i].At; wait < test.least*grown || wait > test.most*grown {
				t.Errorf("%s: retried after %v, want %v to %v", test.name, wait, test.least*grown, test.most*grown)
			}
		}
	}
}

// A request that crosses the close of its idle connection is sent again with the same ID. One that was read before the
// connection closed is recorded as lost.
func TestCloseCrossesRequest(t *testing.T) {
	s := newSingleJobHarness(2, nil)
	var first *readRequest
	s.runUntil(2*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil && first == nil {
			first = q
			s.answer(q, 200, 0)
		}
	})
	// The scheduler closes at 2 s, and the client sends half of the network's delay later.
	s.closeConn(first.scheduler, first.Conn)
	s.env.schedule(2*time.Second+500*time.Microsecond, func() {
		s.env.clients.jobDue(s.env.clients.arrivals.drawJob(s.env.rng("one", 1), &jobSource{class: 2}), s.env.now)
	})
	s.runUntil(3*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.closeConn(q.scheduler, q.Conn)
		}
	})
	sent, lost := s.eventsOfKind(trace.RequestSent), s.eventsOfKind(trace.ConnectionLost)
	if len(sent) != 3 || sent[1].RequestID != sent[2].RequestID || sent[1].Conn == sent[2].Conn {
		t.Fatalf("sent %+v", sent)
	}
	if len(lost) != 1 || lost[0].Conn != sent[2].Conn || len(s.eventsOfKind(trace.JobSettled)) != 2 {
		t.Errorf("lost %+v, settled %d", lost, len(s.eventsOfKind(trace.JobSettled)))
	}
}

// At a scheduler's limit of connections a request waits, until another connection is closed after its response.
func TestRequestWaitsForConnection(t *testing.T) {
	s := newSingleJobHarness(2, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = clientConnDivisor })
	s.env.schedule(100*time.Millisecond, func() {
		s.env.clients.jobDue(s.env.clients.arrivals.drawJob(s.env.rng("one", 1), &jobSource{class: 2}), s.env.now)
	})
	s.runUntil(time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.answer(q, 200, 0)
			s.closeConn(0, q.Conn)
		}
	})
	sent, got := s.eventsOfKind(trace.RequestSent), s.eventsOfKind(trace.ResponseReceived)
	if len(sent) != 2 || len(got) != 2 || sent[1].At < got[0].At || sent[0].Conn == sent[1].Conn {
		t.Errorf("sent %+v, answered %+v", sent, got)
	}
}

// A response that no request awaits any more is recorded nevertheless.
func TestSecondResponseIsRecorded(t *testing.T) {
	s := newSingleJobHarness(0, nil)
	s.runUntil(2*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.answer(q, 503, 0)
			s.answer(q, 200, 0)
		}
	})
	if got := s.eventsOfKind(trace.ResponseReceived); len(got) < 2 || got[0].RequestID != got[1].RequestID || got[1].Status != 200 {
		t.Errorf("responses recorded: %+v", got)
	}
}

// A request is kept for requestRetention after its job is settled, and for the deduplication window longer in a class with
// keys. Then it is forgotten.
func TestRequestsAreForgotten(t *testing.T) {
	for class, retention := range map[int]time.Duration{0: requestRetention, 3: requestRetention + 20*time.Second} {
		s := newSingleJobHarness(class, nil)
		s.runToEnd(answerWith(s, 0, 503, 503, 503))
		c, last := s.env.clients, s.eventsOfKind(trace.JobSettled)[0].At
		s.runUntil(last+retention-time.Millisecond, s.answerOK)
		for _, a := range s.eventsOfKind(trace.RequestSent) {
			if q := c.findRequest(a.RequestID); q == nil || q.number != a.Number || q.id != a.RequestID {
				t.Fatalf("class %d: request %d is found as %+v", class, a.Number, q)
			}
		}
		s.runUntil(last+retention+2*time.Second, s.answerOK)
		if a := s.eventsOfKind(trace.RequestSent)[0]; c.findRequest(a.RequestID) != nil || c.jobs.first != c.jobs.next || c.findRequest("x") != nil {
			t.Errorf("class %d: request not forgotten", class)
		}
	}
}

// A client of a closed load sends its next request once it has a response, and has no two requests open.
func TestClosedLoad(t *testing.T) {
	spec := defaultScenario(1, 10*time.Second)
	spec.Load.CapacityShare, spec.Load.ClosedClients = 0, 5
	s, maxInFlight := newClientHarness(spec, 3).start(), 0
	s.runToEnd(func(in *simapi.Input) {
		maxInFlight = max(maxInFlight, s.env.RequestsInFlight())
		q := requestOf(in)
		o := simapi.Output{Message: simapi.ResponseWritten{Conn: q.Conn, RequestID: q.Request.RequestID, Status: 200}}
		s.env.after(100*time.Millisecond, func() { s.env.apply(&o) })
	})
	// Each request takes 100 ms plus the round trip.
	if n := len(s.eventsOfKind(trace.JobSettled)); maxInFlight > 5 || n < 470 || n > 500 {
		t.Errorf("%d jobs settled, at most %d requests in flight", n, maxInFlight)
	}
}

// Misbehaving clients connect at their rate, use the ID of an open request if their kind does, and the end of each is recorded
// once.
func TestMisbehavingClients(t *testing.T) {
	spec := defaultScenario(1, 20*time.Second)
	spec.Misbehaving = []scenario.MisbehavingClients{{Kind: "stolen_id", Rate: 10, At: scenario.Duration(2 * time.Second)}}
	s, open := newClientHarness(spec, 1).start(), 0
	s.runToEnd(func(in *simapi.Input) {
		message, ok := in.Message.(simapi.ClientMisbehaves)
		if !ok {
			return
		}
		if s.env.clients.findRequest(message.RequestID) != nil {
			open++
		}
		for range message.Number % 3 { // some get no response, some two
			s.outputs = append(s.outputs, simapi.Output{Message: simapi.ResponseWritten{Conn: message.Conn, Status: 400}})
		}
		s.closeConn(0, message.Conn)
	})
	if began, ended := len(s.eventsOfKind(trace.MisbehavingClientConnected)), len(s.eventsOfKind(trace.MisbehavingClientAnswered)); began < 140 || began > 220 ||
		ended != began || open != began {
		t.Errorf("%d connected, %d ended, %d used an open request's ID", began, ended, open)
	}
}

// The load balancer notices the death of a scheduler late; until then it assigns connections to it, which are refused.
func TestLoadBalancerNoticesLate(t *testing.T) {
	spec := defaultScenario(2, 10*time.Second)
	spec.Clients.Retries, spec.Load.CapacityShare, spec.Load.Rate = 0, 0, 100
	s := newClientHarness(spec, 1).start()
	s.env.schedule(3*time.Second, func() { s.killScheduler(0) })
	s.env.schedule(8*time.Second, func() { s.startScheduler(0) })
	s.runToEnd(func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.answer(q, 200, 0)
			s.closeConn(q.scheduler, q.Conn)
		}
	})
	counts := map[trace.Kind]*[10][2]int{trace.SchedulerUnreachable: {}, trace.RequestSent: {}}
	for _, o := range s.events {
		if n := counts[o.Kind]; n != nil && o.At < 10*time.Second {
			n[o.At/time.Second][o.Scheduler]++
		}
	}
	for second := range 10 {
		refused, sent := counts[trace.SchedulerUnreachable][second], counts[trace.RequestSent][second]
		dead, unseen := second >= 3 && second < 8, second == 3 || second == 4
		if (refused[0] > 30) != unseen || refused[1] > 0 || (sent[0] > 30) == dead || sent[1] < 30 {
			t.Errorf("second %d: refused %v, sent %v", second, refused, sent)
		}
	}
	checkNoticeDelays(t, s)
}

// checkNoticeDelays checks how long the load balancer takes to notice changes of scheduler 1.
func checkNoticeDelays(t *testing.T, s *clientHarness) {
	t.Helper()
	// A scheduler that is back before its death is noticed is not dropped.
	s.killScheduler(1)
	s.runUntil(s.env.now+time.Second, s.answerOK)
	s.startScheduler(1)
	s.runUntil(s.env.now+2*time.Second, s.answerOK)
	if !s.env.balancer.admitted[1] {
		t.Error("dropped although it is healthy again")
	}
	// A scheduler that reports unready is dropped after half of the notice delay, one that is frozen after all of it.
	balancer, scheduler := s.env.balancer, s.env.schedulers[1]
	for _, test := range []struct {
		is   *bool
		late time.Duration
	}{{&scheduler.draining, time.Second}, {&scheduler.frozen, 2 * time.Second}} {
		*test.is = true
		balancer.schedulerChanged(scheduler)
		s.runUntil(s.env.now+test.late-1, s.answerOK)
		before := balancer.admitted[1]
		s.runUntil(s.env.now+1, s.answerOK)
		after := balancer.admitted[1]
		*test.is = false
		balancer.schedulerChanged(scheduler)
		if !before || after || !balancer.admitted[1] {
			t.Errorf("admitted before %v: %v, then: %v, when healthy again: %v", test.late, before, after, balancer.admitted[1])
		}
	}
}

func BenchmarkClients(b *testing.B) {
	spec := defaultScenario(2, time.Duration(b.N)*10*time.Microsecond)
	spec.Load.CapacityShare, spec.Load.Rate, spec.Schedulers.Sockets = 0, 1e5, 0
	s := newClientHarness(spec, 1)
	s.onEvent = func(*trace.Event) {}
	s.start()
	var ins []simapi.Input
	b.ReportAllocs()
	for b.ResetTimer(); !s.env.Finished(); { // each request is answered at the next event
		at, _ := s.env.Next()
		ins = s.env.Step(at, s.outputs, ins[:0])
		s.outputs = s.outputs[:0]
		for i := range ins {
			s.answerOK(&ins[i])
		}
	}
}
