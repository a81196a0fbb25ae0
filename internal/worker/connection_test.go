package worker

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// workerResponses are what a worker may say to a request, and how an attempt ends by it; -1: it goes on.
var workerResponses = []struct {
	text string
	want dispatch.Result
}{
	{"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", -1},
	{"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", -1},
	{"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", dispatch.WorkerFull},
	{"HTTP/1.1 504 Late\r\nX-Rejected: 1\r\nConnection: close\r\n\r\n", dispatch.WorkerFull},
	{"HTTP/1.1 503 Trouble\r\nContent-Length: 2\r\n\r\nno", dispatch.Failed},
	{"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
	{"HTTP/1.1 400 Unusable\r\nContent-Length: 0\r\n\r\n", dispatch.NotSent},
	{"garbage\r\n\r\n", dispatch.ConnectionReset},
}

// sentAttempt is what the model knows of an attempt.
type sentAttempt struct {
	peer        *peer
	isWhole     bool // its last byte has come
	accepted    bool
	isKnown     bool // and that was read while it was out: from then on only a DELETE gives it up
	isCancelled bool
	want        dispatch.Result // once settled
	settled     bool
}

// A connection to a worker carries one request at a time; each attempt has one outcome, and that follows from how far it
// came; nothing is sent twice; one that was accepted is given up by a DELETE that is written; what is left at the end is
// idle. Some connections come up late.
func FuzzWorkerConnection(f *testing.F) { modeltest.Fuzz(f, runWorkerConnection) }

// workerModel is the one worker, and what it knows of the attempts that were sent to it.
type workerModel struct {
	*modeltest.Steps
	*fixture
	jobs         []uint64 // in the order of their requests
	attempts     map[string]*sentAttempt
	delayed      map[*peer]*delayedPeer
	healthChecks int
}

func runWorkerConnection(s *modeltest.Steps) {
	f := newFixture(s.T)
	m := &workerModel{Steps: s, fixture: f, attempts: map[string]*sentAttempt{}, delayed: map[*peer]*delayedPeer{}}
	f.dial = m.dial
	for s.More() {
		if m.act(s.Pick(10)) {
			f.runIterations()
		}
	}
	for range 2 + 2*maxCancelAttempts { // past all timeouts, and then past those of what this called for: a DELETE that is tried again
		f.now += 10 * time.Second
		f.runIterations()
	}
	for _, p := range f.dialed {
		m.delayed[p].release()
		p.read(1 << 20)
		p.recordDelete(m.attempts)
	}
	m.checkOutcomes()
}

func (m *workerModel) dial(netip.AddrPort) (int, error) {
	p, fd := m.socketPair()
	m.dialed = append(m.dialed, p)
	m.delayed[p] = &delayedPeer{peer: p}
	if m.Pick(4) == 0 {
		m.delayed[p].filledBytes = fillSocket(fd)
	}
	return fd, nil
}

// act does something as the policy or the worker, and reports whether it did.
func (m *workerModel) act(what int) bool {
	switch {
	case what < 2 && len(m.jobs) < 8:
		m.sendAttempt()
	case what < 6 && len(m.dialed) > 0:
		if p := m.dialed[m.Pick(len(m.dialed))]; m.delayed[p].filledBytes > 0 {
			m.delayed[p].release()
			m.Record("up")
		} else {
			m.actAsWorker(p)
		}
	case what == 6 && len(m.jobs) > 0:
		m.policy.Next = append(m.policy.Next, dispatch.Cancel{Job: m.jobs[m.Pick(len(m.jobs))]})
		m.table.DiscoveryFailed()
		m.Record("cancel")
	case what == 7:
		m.policy.Next = append(m.policy.Next, dispatch.HealthCheck{Worker: m.workerNumber()})
		m.table.DiscoveryFailed()
		m.healthChecks++
		m.Record("probe")
	case what == 8:
		m.now += time.Duration(m.Pick(8)) * 100 * time.Millisecond
	default:
		return false
	}
	return true
}

func (m *workerModel) sendAttempt() {
	sizes := []int{0, 100, http1.MaxBodySize}
	id := fmt.Sprint("q", len(m.jobs))
	q, err := m.table.Admit(m.now, requests.Arrival{
		CallID: id, Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: bytes.Repeat([]byte{'x'}, sizes[m.Pick(3)])}, Responder: noResponder{},
	})
	m.Check(err == nil, "not taken: %v", err)
	m.jobs = append(m.jobs, q.ID)
	m.policy.Next = append(m.policy.Next, dispatch.Send{Job: q.ID, Worker: m.workerNumber()})
	m.attempts[id] = &sentAttempt{}
	m.Record("send")
}

// actAsWorker lets the far end of one connection read, and then answer or close.
func (m *workerModel) actAsWorker(p *peer) {
	p.read([]int{50, 4000, 1 << 20}[m.Pick(3)])
	p.recordDelete(m.attempts)
	var request http1.Request
	n, err := request.Parse(p.received)
	var sent *sentAttempt
	if err == nil {
		m.Check(n == len(p.received), "a second request on a connection before the first was answered")
		sent = m.attempts[string(request.Get("X-Call-Id"))]
		m.recordWhole(p, sent, &request)
	}
	switch act := m.Pick(8); {
	case act < 4 && err == nil && !p.closed && !p.ended:
		m.respondAsWorker(p, sent, string(request.Get("X-Call-Id")))
	case act == 4:
		m.closeAsWorker(p, sent)
	}
}

// recordWhole takes in that the last byte of a request has come, which is of an attempt unless that is nil.
func (m *workerModel) recordWhole(p *peer, sent *sentAttempt, request *http1.Request) {
	if sent == nil || sent.peer == p {
		return
	}
	m.Check(sent.peer == nil, "an attempt was sent twice")
	sent.peer, sent.isWhole = p, true
	m.Check(request.Get("X-Budget-Ms") != nil && string(request.Target) == "/a", "a request changed on its way")
}

func (m *workerModel) respondAsWorker(p *peer, sent *sentAttempt, callID string) {
	response := workerResponses[m.Pick(len(workerResponses))]
	p.write([]byte(response.text))
	p.received = nil
	if sent != nil {
		sent.accepted = response.want < 0
		sent.isKnown = sent.isKnown || sent.accepted && m.isSending(callID)
		sent.want, sent.settled = response.want, response.want >= 0
	}
	m.Record(response.text[:min(len(response.text), 14)])
}

func (m *workerModel) closeAsWorker(p *peer, sent *sentAttempt) {
	p.read(1 << 20)
	if sent == nil && len(p.received) > 0 { // what has come has come, read or not
		p.recordDelete(m.attempts)
		var request http1.Request
		if _, err := request.Parse(p.received); err == nil && m.attempts[string(request.Get("X-Call-Id"))] != nil {
			m.attempts[string(request.Get("X-Call-Id"))].isWhole = true
		}
	}
	if sent != nil && !sent.settled {
		sent.want, sent.settled = dispatch.ConnectionReset, true
	}
	p.close()
	m.Record("close")
}

// recordDelete records which attempt a far end has had a DELETE for.
func (p *peer) recordDelete(attempts map[string]*sentAttempt) {
	text, ok := strings.CutPrefix(string(p.received), "DELETE /jobs/")
	if id, _, whole := strings.Cut(text, " "); ok && whole {
		attempts[id].isCancelled = true
	}
}

// isSending tells whether an attempt of a request is on its way.
func (f *fixture) isSending(call string) bool {
	for a := range f.pool.byAttempt {
		if a.Request.CallID == call && !a.HasEnded() {
			return true
		}
	}
	return false
}

// checkOutcomes checks what the policy received against what the worker saw.
func (m *workerModel) checkOutcomes() {
	results := map[uint64][]dispatch.Result{}
	for _, e := range m.policy.Received {
		switch e := e.(type) {
		case dispatch.Outcome:
			results[e.Job] = append(results[e.Job], e.Result)
		case dispatch.HealthChecked:
			m.healthChecks--
		}
	}
	m.Check(m.healthChecks == 0, "%d probes without an end", m.healthChecks)
	for n, job := range m.jobs {
		m.Check(len(results[job]) == 1, "outcomes %v for one attempt", results[job])
		m.checkOutcome(m.attempts[fmt.Sprint("q", n)], results[job][0])
	}
	m.Check(len(m.pool.byAttempt) == 0, "an attempt is still carried")
	for _, endpoint := range m.pool.endpoints {
		m.Check(m.pool.openCount == len(endpoint.idle), "%d connections open, %d idle", m.pool.openCount, len(endpoint.idle))
	}
}

// checkOutcome checks the result that the policy received for an attempt.
func (m *workerModel) checkOutcome(sent *sentAttempt, got dispatch.Result) {
	m.Check(got != dispatch.Cancelled || !sent.isKnown || sent.isCancelled, "given up, and its worker does not know")
	switch {
	case got == dispatch.TimedOut || got == dispatch.Cancelled: // at any time
	case got == dispatch.ConnectFailed:
		m.Check(!sent.isWhole, "could not connect, though its last byte had come")
	case sent.settled:
		m.Check(got == sent.want, "ended as %v, expected %v", got, sent.want)
	default:
		m.Check(got == dispatch.ConnectionReset && sent.isWhole && !sent.accepted, "ended as %v, whole %v, and no word of it", got, sent.isWhole)
	}
}

type noResponder struct{}

func (noResponder) RespondResult([]byte)          {}
func (noResponder) RespondRejected(time.Duration) {}
func (noResponder) RespondFailed()                {}

// A connection that breaks after it was idle says nothing of its worker. From then on connections are not used again when
// they have been idle for nearly as long, until all has gone well for a while.
func TestTrustInIdleConnections(t *testing.T) {
	f := newFixture(t)
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	probe := func(idle time.Duration, answer string, wantLinks int, want dispatch.Result) {
		t.Helper()
		f.now += idle
		f.policy.Next = append(f.policy.Next, dispatch.HealthCheck{Worker: f.workerNumber()})
		f.table.DiscoveryFailed()
		f.runIterations()
		if len(f.dialed) != wantLinks {
			t.Errorf("%d connections opened, expected %d", len(f.dialed), wantLinks)
		}
		p := f.dialed[len(f.dialed)-1]
		if p.read(1 << 10); answer == "" {
			p.close()
		} else {
			p.write([]byte(answer))
		}
		f.runIterations()
		if got, _ := f.policy.Received[len(f.policy.Received)-1].(dispatch.HealthChecked); got.Result != want {
			t.Errorf("probe ended as %v, expected %v", got.Result, want)
		}
	}
	probe(0, ok, 1, dispatch.OK)
	probe(4*minReuseLimit, ok, 1, dispatch.OK)
	probe(4*minReuseLimit, "", 1, dispatch.NotSent)
	probe(0, ok, 2, dispatch.OK)
	probe(minReuseLimit, ok, 2, dispatch.OK)
	probe(3*minReuseLimit, ok, 3, dispatch.OK)
	probe(0, ok, 3, dispatch.OK)
	for range 3 {
		f.now += reuseLimitRaiseInterval
		f.runIterations()
	}
	probe(0, ok, 4, dispatch.OK)
	probe(3*minReuseLimit, ok, 4, dispatch.OK)
	probe(reuseLimitRaiseInterval*100, "", 5, dispatch.ConnectionReset) // a new one does say something
}

// A connection to a process that has been replaced is not used again, nor one that is about to be closed as idle; an
// attempt given up after it was accepted is withdrawn by name.
func TestIdleConnectionsExpire(t *testing.T) {
	f := newFixture(t)
	endpoint := requests.Endpoint{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up", StartedAtMs: 5}
	sent := 0
	send := func() *peer {
		sent++
		q, err := f.table.Admit(f.now, requests.Arrival{
			CallID: fmt.Sprint("q", sent), Job: dispatch.Job{Remaining: 5 * time.Second},
			Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: noResponder{},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: q.ID, Worker: f.workerNumber()})
		f.runIterations()
		p := f.dialed[len(f.dialed)-1]
		p.read(1 << 12)
		p.received = nil
		p.write([]byte(workerResponses[0].text))
		f.runIterations()
		return p
	}
	first := send()
	f.now += reuseDelay
	if second := send(); second != first {
		t.Fatal("a connection that was free was not used")
	}
	f.policy.Next = append(f.policy.Next, dispatch.Cancel{Job: 2})
	f.table.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{endpoint}})
	f.runIterations()
	last := f.dialed[len(f.dialed)-1]
	if last.read(1 << 12); last == first || !strings.HasPrefix(string(last.received), "DELETE /jobs/q2 ") {
		t.Errorf("withdrew by %q, on the old connection %v", last.received, last == first)
	}
	last.write([]byte(workerResponses[0].text))
	f.runIterations()
	f.now += 50 * time.Second
	f.runIterations()
	if last.read(1); !last.ended {
		t.Error("a connection was kept close to the idle limit")
	}
	// Closed since the iteration's events were gathered: nothing may be written to it.
	idle, links := send(), len(f.dialed)
	idle.close()
	f.policy.Next = append(f.policy.Next, dispatch.HealthCheck{Worker: f.workerNumber()})
	f.table.DiscoveryFailed()
	if f.table.Step(f.now); len(f.dialed) != links+1 {
		t.Error("a connection that had just been closed was used")
	}
}

// startSending begins an attempt of request "q" at each worker that is listed, of which only a part is written if its body is
// large.
func (f *fixture) startSending(size int) *requests.Request {
	f.tb.Helper()
	q, err := f.table.Admit(f.now, requests.Arrival{
		CallID: "q", Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	var listed []dispatch.Worker
	for _, e := range f.policy.Received {
		if list, ok := e.(dispatch.WorkerList); ok {
			listed = list.Workers
		}
	}
	for _, worker := range listed {
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: q.ID, Worker: worker.ID})
	}
	f.table.Step(f.now)
	if size > 0 {
		f.runIterations()
	}
	return q
}

// expectNeverWhole expects that no worker gets a whole request, and that its connection is closed.
func (f *fixture) expectNeverWhole() {
	f.tb.Helper()
	for i, p := range f.dialed {
		for range 64 {
			f.runIterations()
			p.read(1 << 20)
		}
		m := http1.Request{}
		if _, err := m.Parse(p.received); err == nil || !p.ended {
			f.tb.Errorf("connection %d: %d bytes came, whole %v, and it is closed %v", i, len(p.received), err == nil, p.ended)
		}
	}
	if len(f.dialed) == 0 || len(f.pool.byAttempt) != 0 || f.pool.openCount != 0 {
		f.tb.Errorf("%d connections were opened, %d are still kept", len(f.dialed), f.pool.openCount)
	}
}

// A callback that comes late, of an attempt before at the same worker, ends the one that is on its way: what the connection has not
// written by then is not written, and the worker never has it whole.
func TestLateCallbackStopsTheSend(t *testing.T) {
	for name, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.startSending(size)
			known, err := f.table.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: "returned"})
			if !known || err != nil {
				t.Fatalf("the callback is known %v, %v", known, err)
			}
			f.expectNeverWhole()
		})
	}
}

// A request that is over is not sent on: what the connection has not written by then is not written, whether the connection is
// not up yet or has taken a part, and whoever ended the request.
func TestFinishedRequestIsNotSent(t *testing.T) {
	result := "r"
	ends := map[string]func(f *fixture, q *requests.Request){
		"client left": func(f *fixture, q *requests.Request) { f.table.ClientDisconnected(q) },
		"served by another copy": func(f *fixture, _ *requests.Request) {
			if known, err := f.table.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-1", State: "done", Result: &result}); !known || err != nil {
				t.Errorf("the callback is known %v, %v", known, err)
			}
		},
		"refused": func(f *fixture, q *requests.Request) {
			f.policy.Next = append(f.policy.Next, dispatch.Reject{Job: q.ID})
			f.table.Wake()
			f.table.Step(f.now)
		},
		"finished": func(f *fixture, _ *requests.Request) { f.table.CloseSince(0) },
	}
	for name, end := range ends {
		for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
			t.Run(name+", "+stage, func(t *testing.T) {
				f := newFixture(t)
				f.table.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
					{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
					{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
				}})
				f.runIterations()
				end(f, f.startSending(size))
				f.expectNeverWhole()
			})
		}
	}
}
