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

// Whatever schedulers do, every job is settled once and in time, each of its tries ends once, and a try that may
// have run is only repeated where that is allowed.
func FuzzClients(f *testing.F) { modeltest.Fuzz(f, runClients) }

// clientsModel plays schedulers to the clients: it answers, closes and fails at random.
type clientsModel struct {
	*modeltest.Steps
	stage    *stage
	witness  *witness
	sent     []*readRequest
	open     map[simapi.Conn]bool
	received map[string]bool // by request id
	heal     func()
}

func runClients(s *modeltest.Steps) {
	spec := clientsSpec(s)
	t := newStage(spec, uint64(s.Pick(16)))
	m := &clientsModel{
		Steps: s, stage: t, witness: newWitness(spec, s), open: map[simapi.Conn]bool{}, received: map[string]bool{}, heal: func() {},
	}
	t.check = m.witness.see
	t.begin()
	for s.More() {
		m.step()
	}
	m.checkEnd()
}

// clientsSpec draws the scenario of a run of FuzzClients.
func clientsSpec(s *modeltest.Steps) *scenario.Scenario {
	spec := calm(2, 4*time.Second)
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
		spec.Schedulers.Sockets = 12 // clients must wait for each other's connections
	}
	return spec
}

// act takes what reaches a scheduler.
func (c *clientsModel) act(in *simapi.Input) {
	environment := c.stage.w
	load := environment.balancer.connCounts
	c.Check(environment.schedulers[in.Scheduler].alive, "a dead scheduler hears something")
	c.Check(max(load[0], load[1]) <= environment.balancer.maxConns, "%v connections of %d", load, environment.balancer.maxConns)
	if closed, ok := in.Message.(simapi.ClientClosed); ok {
		c.open[closed.Conn] = false
	}
	read := requestOf(in)
	if read == nil {
		return
	}
	c.open[read.Conn] = true
	request := read.Request
	c.Check(len(request.RequestID) == 16 && len(request.IdempotencyKey)%32 == 0, "id %q, key %q", request.RequestID, request.IdempotencyKey)
	q := environment.clients.findRequest(request.RequestID)
	c.Check(q != nil && q.id == request.RequestID && q.jobID == c.witness.calls[q.id], "a request that was sent is not found")
	c.Check(!c.received[q.id], "a request that was read comes again")
	c.received[q.id] = true
	c.sent = append(c.sent, read)
}

// step draws what happens next.
func (c *clientsModel) step() {
	var q *readRequest
	if len(c.sent) > 0 {
		q = c.sent[c.Pick(len(c.sent))]
	}
	t := c.stage
	switch what := c.Pick(24); {
	case what < 8 || q == nil:
		t.run(t.w.now+time.Duration(c.Pick(200))*time.Millisecond, c.act)
	case what < 16: // perhaps twice, or long after
		t.reply(q, []int{200, 200, 503, 429, 500}[c.Pick(5)], time.Duration(c.Pick(3))*400*time.Millisecond)
		if c.Pick(8) == 0 {
			t.closeConn(q.scheduler, q.Conn)
		}
	case what < 18:
		t.closeConn(q.scheduler, simapi.Conn(1+c.Pick(20)))
	case what == 18:
		t.outputs = append(t.outputs, simapi.Output{Scheduler: q.scheduler, Message: simapi.ResponseWritten{Conn: q.Conn, RequestID: "nobody's"}})
	case what == 19:
		t.kill(c.Pick(2))
	case what == 20:
		t.up(c.Pick(2))
	default:
		c.heal()
		c.heal = c.disturb(what)
	}
}

// disturb begins a fault of the network or of the load.
func (c *clientsModel) disturb(what int) (undo func()) {
	switch what {
	case 21:
		return c.stage.w.network.partition(endpointGroup{kind: clientEndpoint}, endpointGroup{kind: schedulerEndpoint}, c.Pick(2) == 0)
	case 22:
		return c.stage.w.clients.startRetryStorm(4)
	default:
		return c.stage.w.clients.startBurst(c.Pick(3), -1, []float64{0.5, 3}[c.Pick(2)])
	}
}

// checkEnd plays to the end, where every job is settled and nothing is left over.
func (c *clientsModel) checkEnd() {
	t := c.stage
	t.end(c.act)
	for n, j := range c.witness.jobs {
		c.Check(j.settled && t.w.clients.jobs.openJob(n) == nil, "job %d is not settled", n)
	}
	c.Check(t.w.RequestsInFlight() == 0, "%d open tries at the end", t.w.RequestsInFlight())
	c.heal()
	t.run(t.w.now+2*time.Second, c.act)
	idle, load := len(t.w.clients.connPools[0].idle), t.w.balancer.connCounts[0]+t.w.balancer.connCounts[1]
	c.Check(idle == load, "%d connections counted, %d idle ones at the end", load, idle)
}

// What falls due is the same whatever schedulers answer, and so are the ids of tries.
func TestArrivalsDoNotDependOnAnswers(t *testing.T) {
	play := func(act func(t *stage, in *simapi.Input)) (dueAt []trace.Event, ids map[string]uint64) {
		spec := calm(2, 20*time.Second)
		spec.Load.Shape, spec.Load.Swing, spec.Clients.Impatient = "bursty", 0.6, 0.1
		s := newStage(spec, 7).begin()
		s.w.schedule(5*time.Second, func() { s.w.after(4*time.Second, s.w.clients.startBurst(1, -1, 4)) })
		s.end(func(in *simapi.Input) { act(s, in) })
		ids = map[string]uint64{}
		for _, o := range s.of(trace.RequestSent) {
			ids[o.RequestID] = o.JobID<<8 + uint64(o.Number)
		}
		return s.of(trace.JobDue), ids
	}
	want, ids := play((*stage).serve)
	n := 0
	got, others := play(func(s *stage, in *simapi.Input) {
		q := requestOf(in)
		if n++; q != nil && n%3 > 0 {
			s.reply(q, 300+100*(n%5), time.Second)
		}
		if n%200 == 0 {
			s.kill(n / 200 % 2)
			s.up(n / 400 % 2)
		}
	})
	if len(want) < 600 || len(others) < 800 || !slices.Equal(got, want) {
		t.Fatalf("%d jobs and %d tries, not the %d jobs that there are when all is served", len(got), len(others), len(want))
	}
	for call, of := range ids {
		if others[call] != of && others[call] != 0 {
			t.Fatalf("id %s is of another try", call)
		}
	}
}

// answers gives each request, in the order of their coming, one of these statuses.
func answers(s *stage, after time.Duration, status ...int) func(in *simapi.Input) {
	return func(in *simapi.Input) {
		if q := requestOf(in); q != nil && len(status) > 0 {
			s.reply(q, status[0], after)
			status = status[1:]
		}
	}
}

// one is a stage with a single job of a class, due at 100 ms.
func one(class int, change func(*scenario.Scenario)) *stage {
	spec := calm(1, time.Second)
	spec.Load.CapacityShare, spec.Network.Jitter, spec.Network.ClientDelay = 0, 0, scenario.Duration(time.Millisecond)
	spec.Rules.Slack = scenario.Duration(20 * time.Millisecond)
	spec.Clients.HonourRetryAfter = 1
	if change != nil {
		change(spec)
	}
	s := newStage(spec, 1).begin()
	s.w.schedule(100*time.Millisecond, func() {
		a := s.w.clients.arrivals
		s.w.clients.jobDue(a.drawJob(s.w.rng("one", 0), &jobSource{class: class}), s.w.now)
	})
	return s
}

// Retries wait as long as they should: by the scheduler's advice, by their own back-off, and in a storm by less.
func TestWaitBeforeRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		honour float64
		storm  bool
		least  time.Duration
		most   time.Duration
		grows  time.Duration
	}{
		{"advice", 1, false, 800 * time.Millisecond, 800 * time.Millisecond, 1},
		{"no advice heeded", 0, false, 250 * time.Millisecond, 750 * time.Millisecond, 2},
		{"storm", 1, true, 62 * time.Millisecond, 188 * time.Millisecond, 2},
	} {
		s := one(2, func(spec *scenario.Scenario) { spec.Clients.HonourRetryAfter = c.honour })
		if c.storm {
			defer s.w.clients.startRetryStorm(4)()
		}
		s.end(answers(s, 800*time.Millisecond, 503, 429, 200))
		sent, settled := s.of(trace.RequestSent), s.of(trace.JobSettled)
		if len(sent) != 3 || sent[0].RequestID == sent[1].RequestID || settled[0].Status != 200 {
			t.Fatalf("%s: asked %d times, settled with %d", c.name, len(sent), settled[0].Status)
		}
		for i, grown := range []time.Duration{1, c.grows} {
			if wait := sent[i+1].At - s.of(trace.ResponseReceived)[i].At; wait < c.least*grown || wait > c.most*grown {
				t.Errorf("%s: came back after %v", c.name, wait)
			}
		}
	}
}

// A request that crosses the close of its idle connection is sent once more, with its id; one that was read is lost.
func TestCloseCrossesRequest(t *testing.T) {
	s := one(2, nil)
	var first *readRequest
	s.run(2*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil && first == nil {
			first = q
			s.reply(q, 200, 0)
		}
	})
	// The scheduler closes at 2 s, the client asks half a network's delay later.
	s.closeConn(first.scheduler, first.Conn)
	s.w.schedule(2*time.Second+500*time.Microsecond, func() {
		s.w.clients.jobDue(s.w.clients.arrivals.drawJob(s.w.rng("one", 1), &jobSource{class: 2}), s.w.now)
	})
	s.run(3*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.closeConn(q.scheduler, q.Conn)
		}
	})
	sent, lost := s.of(trace.RequestSent), s.of(trace.ConnectionLost)
	if len(sent) != 3 || sent[1].RequestID != sent[2].RequestID || sent[1].Conn == sent[2].Conn {
		t.Fatalf("asked %+v", sent)
	}
	if len(lost) != 1 || lost[0].Conn != sent[2].Conn || len(s.of(trace.JobSettled)) != 2 {
		t.Errorf("lost %+v, settled %d", lost, len(s.of(trace.JobSettled)))
	}
}

// Where a scheduler has as many connections as it may, a request waits; one that is closed behind an answer makes room.
func TestRequestWaitsForConnection(t *testing.T) {
	s := one(2, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = clientConnShare })
	s.w.schedule(100*time.Millisecond, func() {
		s.w.clients.jobDue(s.w.clients.arrivals.drawJob(s.w.rng("one", 1), &jobSource{class: 2}), s.w.now)
	})
	s.run(time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.reply(q, 200, 0)
			s.closeConn(0, q.Conn)
		}
	})
	sent, got := s.of(trace.RequestSent), s.of(trace.ResponseReceived)
	if len(sent) != 2 || len(got) != 2 || sent[1].At < got[0].At || sent[0].Conn == sent[1].Conn {
		t.Errorf("asked %+v, answered %+v", sent, got)
	}
}

// An answer that nobody waits for any more, or that is for no request, is seen all the same.
func TestSecondAnswerIsSeen(t *testing.T) {
	s := one(0, nil)
	s.run(2*time.Second, func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.reply(q, 503, 0)
			s.reply(q, 200, 0)
		}
	})
	if got := s.of(trace.ResponseReceived); len(got) < 2 || got[0].RequestID != got[1].RequestID || got[1].Status != 200 {
		t.Errorf("seen %+v", got)
	}
}

// A request is known for keep after its job was settled, one of a keyed class for its window longer, then forgotten.
func TestRequestsAreForgotten(t *testing.T) {
	for class, known := range map[int]time.Duration{0: requestRetention, 3: requestRetention + 20*time.Second} {
		s := one(class, nil)
		s.end(answers(s, 0, 503, 503, 503))
		c, last := s.w.clients, s.of(trace.JobSettled)[0].At
		s.run(last+known-time.Millisecond, s.serve)
		for _, a := range s.of(trace.RequestSent) {
			if q := c.findRequest(a.RequestID); q == nil || q.number != a.Number || q.id != a.RequestID {
				t.Fatalf("class %d: try %d is %+v", class, a.Number, q)
			}
		}
		s.run(last+known+2*time.Second, s.serve)
		if a := s.of(trace.RequestSent)[0]; c.findRequest(a.RequestID) != nil || c.jobs.first != c.jobs.next || c.findRequest("x") != nil {
			t.Errorf("class %d: still known", class)
		}
	}
}

// A client of a closed load asks again once it has its answer, and no two of its requests are open.
func TestClosedLoad(t *testing.T) {
	spec := calm(1, 10*time.Second)
	spec.Load.CapacityShare, spec.Load.ClosedClients = 0, 5
	s, most := newStage(spec, 3).begin(), 0
	s.end(func(in *simapi.Input) {
		most = max(most, s.w.RequestsInFlight())
		q := requestOf(in)
		o := simapi.Output{Message: simapi.ResponseWritten{Conn: q.Conn, RequestID: q.Request.RequestID, Status: 200}}
		s.w.after(100*time.Millisecond, func() { s.w.apply(&o) })
	})
	// Each turn takes 100 ms and the way there and back.
	if n := len(s.of(trace.JobSettled)); most > 5 || n < 470 || n > 500 {
		t.Errorf("%d jobs, %d at once", n, most)
	}
}

// Misbehaving clients come at their rate, carry an open request's id where their kind does, and each is seen to end once.
func TestBadClients(t *testing.T) {
	spec := calm(1, 20*time.Second)
	spec.Misbehaving = []scenario.MisbehavingClients{{Kind: "stolen_id", Rate: 10, At: scenario.Duration(2 * time.Second)}}
	s, open := newStage(spec, 1).begin(), 0
	s.end(func(in *simapi.Input) {
		message, ok := in.Message.(simapi.ClientMisbehaves)
		if !ok {
			return
		}
		if s.w.clients.findRequest(message.RequestID) != nil {
			open++
		}
		for range message.Number % 3 { // some have no answer, some two
			s.outputs = append(s.outputs, simapi.Output{Message: simapi.ResponseWritten{Conn: message.Conn, Status: 400}})
		}
		s.closeConn(0, message.Conn)
	})
	if began, ended := len(s.of(trace.MisbehavingClientConnected)), len(s.of(trace.MisbehavingClientAnswered)); began < 140 || began > 220 ||
		ended != began || open != began {
		t.Errorf("%d came, %d had an end, %d an open request's id", began, ended, open)
	}
}

// The load balancer notices a death late: until then connections are led there and refused.
func TestFrontNoticesLate(t *testing.T) {
	spec := calm(2, 10*time.Second)
	spec.Clients.Retries, spec.Load.CapacityShare, spec.Load.Rate = 0, 0, 100
	s := newStage(spec, 1).begin()
	s.w.schedule(3*time.Second, func() { s.kill(0) })
	s.w.schedule(8*time.Second, func() { s.up(0) })
	s.end(func(in *simapi.Input) {
		if q := requestOf(in); q != nil {
			s.reply(q, 200, 0)
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
			t.Errorf("second %d: refused %v, asked %v", second, refused, sent)
		}
	}
	checkNoticeDelays(t, s)
}

// checkNoticeDelays checks of scheduler 1 when the load balancer notices what becomes of it.
func checkNoticeDelays(t *testing.T, s *stage) {
	t.Helper()
	// A death that is over before it is noticed never is.
	s.kill(1)
	s.run(s.w.now+time.Second, s.serve)
	s.up(1)
	s.run(s.w.now+2*time.Second, s.serve)
	if !s.w.balancer.admitted[1] {
		t.Error("dropped though it is well again")
	}
	// One that says itself that it is not ready is dropped in half the time, one that is frozen after all of it.
	f, o := s.w.balancer, s.w.schedulers[1]
	for _, c := range []struct {
		is   *bool
		late time.Duration
	}{{&o.draining, time.Second}, {&o.frozen, 2 * time.Second}} {
		*c.is = true
		f.schedulerChanged(o)
		s.run(s.w.now+c.late-1, s.serve)
		before := f.admitted[1]
		s.run(s.w.now+1, s.serve)
		after := f.admitted[1]
		*c.is = false
		f.schedulerChanged(o)
		if !before || after || !f.admitted[1] {
			t.Errorf("admitted before %v: %v, then: %v, when it is well again: %v", c.late, before, after, f.admitted[1])
		}
	}
}

func BenchmarkClients(b *testing.B) {
	spec := calm(2, time.Duration(b.N)*10*time.Microsecond)
	spec.Load.CapacityShare, spec.Load.Rate, spec.Schedulers.Sockets = 0, 1e5, 0
	s := newStage(spec, 1)
	s.check = func(*trace.Event) {}
	s.begin()
	var ins []simapi.Input
	b.ReportAllocs()
	for b.ResetTimer(); !s.w.Finished(); { // each request is answered at the next event
		at, _ := s.w.Next()
		ins = s.w.Step(at, s.outputs, ins[:0])
		s.outputs = s.outputs[:0]
		for i := range ins {
			s.serve(&ins[i])
		}
	}
}
