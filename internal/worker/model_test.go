package worker

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// workerResponses are responses of a worker, and the result of an attempt that gets them; -1: it stays in flight.
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

// sentAttempt is the model of an attempt.
type sentAttempt struct {
	peer        *peer
	isWhole     bool // its last byte was received
	accepted    bool
	isKnown     bool // accepted, and sent by then: it can only be cancelled by a DELETE
	isCancelled bool
	want        dispatch.Result // its result, once settled
	settled     bool
}

// A connection carries one request at a time. Each attempt has one outcome, which follows from how far it came. Nothing is sent twice.
// An accepted attempt is cancelled by a DELETE only. All connections are idle in the end. Some connections are up late.
func FuzzWorkerConnection(f *testing.F) { modeltest.Fuzz(f, runWorkerConnection) }

// workerModel is a worker with the attempts that were sent to it.
type workerModel struct {
	*modeltest.Steps
	*fixture
	jobs         []uint64 // in the order of their requests
	attempts     map[string]*sentAttempt
	healthChecks int
}

func runWorkerConnection(s *modeltest.Steps) {
	f := newFixture(s.T)
	m := &workerModel{Steps: s, fixture: f, attempts: map[string]*sentAttempt{}}
	f.dial = m.dial
	for s.More() {
		if m.act(s.Pick(10)) {
			f.runIterations()
		}
	}
	for range 2 + 2*maxCancelAttempts { // past all timeouts, and then past those of the DELETEs that follow
		f.now += 10 * time.Second
		f.runIterations()
	}
	for _, p := range f.dialed {
		p.release()
		p.Read(1 << 20)
		p.recordDelete(m.attempts)
	}
	m.checkOutcomes()
}

func (m *workerModel) dial(netip.AddrPort) (int, error) {
	p, fd := m.socketPair()
	m.dialed = append(m.dialed, p)
	if m.Pick(4) == 0 {
		p.filledBytes = eventlooptest.FillSocket(fd)
	}
	return fd, nil
}

// act acts as the policy or the worker, and reports whether there was something to do.
func (m *workerModel) act(what int) bool {
	switch {
	case what < 2 && len(m.jobs) < 8:
		m.sendAttempt()
	case what < 6 && len(m.dialed) > 0:
		if p := m.dialed[m.Pick(len(m.dialed))]; p.filledBytes > 0 {
			p.release()
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
		m.Record("check health")
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
	request, err := m.table.Admit(m.now, requests.Arrival{
		CallID: id, Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: bytes.Repeat([]byte{'x'}, sizes[m.Pick(3)])}, Responder: noResponder{},
	})
	m.Check(err == nil, "not admitted: %v", err)
	m.jobs = append(m.jobs, request.ID)
	m.policy.Next = append(m.policy.Next, dispatch.Send{Job: request.ID, Worker: m.workerNumber()})
	m.attempts[id] = &sentAttempt{}
	m.Record("send")
}

// actAsWorker reads from one connection, and then may respond or close it.
func (m *workerModel) actAsWorker(p *peer) {
	p.Read([]int{50, 4000, 1 << 20}[m.Pick(3)])
	p.recordDelete(m.attempts)
	var request http1.Request
	n, err := request.Parse(p.Received)
	var sent *sentAttempt
	if err == nil {
		m.Check(n == len(p.Received), "a second request on a connection before the response to the first")
		sent = m.attempts[string(request.Get("X-Call-Id"))]
		m.recordWhole(p, sent, &request)
	}
	switch act := m.Pick(8); {
	case act < 4 && err == nil && !p.Closed && !p.Ended:
		m.respondAsWorker(p, sent, string(request.Get("X-Call-Id")))
	case act == 4:
		m.closeAsWorker(p, sent)
	}
}

// recordWhole records that the last byte of an attempt was received; sent is nil for another kind of request.
func (m *workerModel) recordWhole(p *peer, sent *sentAttempt, request *http1.Request) {
	if sent == nil || sent.peer == p {
		return
	}
	m.Check(sent.peer == nil, "an attempt was sent twice")
	sent.peer, sent.isWhole = p, true
	m.Check(request.Get("X-Budget-Ms") != nil && string(request.Target) == "/a", "a request was changed")
}

func (m *workerModel) respondAsWorker(p *peer, sent *sentAttempt, callID string) {
	response := workerResponses[m.Pick(len(workerResponses))]
	p.Write([]byte(response.text))
	p.Received = nil
	if sent != nil {
		sent.accepted = response.want < 0
		sent.isKnown = sent.isKnown || sent.accepted && m.isSending(callID)
		sent.want, sent.settled = response.want, response.want >= 0
	}
	m.Record(response.text[:min(len(response.text), 14)])
}

func (m *workerModel) closeAsWorker(p *peer, sent *sentAttempt) {
	p.Read(1 << 20)
	if sent == nil && len(p.Received) > 0 { // what was received counts, though it was not read before
		p.recordDelete(m.attempts)
		var request http1.Request
		if _, err := request.Parse(p.Received); err == nil && m.attempts[string(request.Get("X-Call-Id"))] != nil {
			m.attempts[string(request.Get("X-Call-Id"))].isWhole = true
		}
	}
	if sent != nil && !sent.settled {
		sent.want, sent.settled = dispatch.ConnectionReset, true
	}
	p.Close()
	m.Record("close")
}

// recordDelete records the attempt of which a DELETE was received.
func (p *peer) recordDelete(attempts map[string]*sentAttempt) {
	text, ok := strings.CutPrefix(string(p.Received), "DELETE /jobs/")
	if id, _, whole := strings.Cut(text, " "); ok && whole {
		attempts[id].isCancelled = true
	}
}

// isSending reports whether an attempt of a request is being sent.
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
	m.Check(m.healthChecks == 0, "%d health checks without a result", m.healthChecks)
	for n, job := range m.jobs {
		m.Check(len(results[job]) == 1, "outcomes %v for one attempt", results[job])
		m.checkOutcome(m.attempts[fmt.Sprint("q", n)], results[job][0])
	}
	m.Check(len(m.pool.byAttempt) == 0, "an attempt still has a connection")
	for _, endpoint := range m.pool.endpoints {
		m.Check(m.pool.openCount == len(endpoint.idle), "%d connections open, %d idle", m.pool.openCount, len(endpoint.idle))
	}
}

// checkOutcome checks the result that the policy received for an attempt.
func (m *workerModel) checkOutcome(sent *sentAttempt, got dispatch.Result) {
	m.Check(got != dispatch.Cancelled || !sent.isKnown || sent.isCancelled, "cancelled, and its worker is not notified")
	switch {
	case got == dispatch.TimedOut || got == dispatch.Cancelled: // at any time
	case got == dispatch.ConnectFailed:
		m.Check(!sent.isWhole, "failed to connect, though its last byte was received")
	case sent.settled:
		m.Check(got == sent.want, "ended as %v, expected %v", got, sent.want)
	default:
		m.Check(got == dispatch.ConnectionReset && sent.isWhole && !sent.accepted, "ended as %v, complete %v, without a cause", got, sent.isWhole)
	}
}
