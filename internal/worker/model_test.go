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

// workerResponses are responses of a worker, and the result of an attempt that receives them; -1: it stays in flight.
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
	isReceived  bool // the worker has received its last byte
	accepted    bool
	needsDelete bool            // the worker has accepted it while it was being sent: it can only be cancelled by a DELETE
	isCancelled bool            // the worker has received its DELETE
	want        dispatch.Result // the expected result, if isSettled
	isSettled   bool
}

// FuzzWorkerConnection checks that a connection carries one request at a time, that no attempt is sent twice, that each attempt
// has one outcome, which follows from the stage that it has reached, that an accepted attempt is cancelled by a DELETE only, and
// that all open connections are idle in the end. Some connections are established late.
func FuzzWorkerConnection(f *testing.F) { modeltest.Fuzz(f, runWorkerConnection) }

// workerModel is a worker with the attempts that were sent to it.
type workerModel struct {
	*modeltest.Steps
	*fixture
	jobs         []uint64 // in the order of their requests
	attempts     map[string]*sentAttempt
	healthChecks int
}

func newWorkerModel(s *modeltest.Steps) *workerModel {
	f := newFixture(s.T)
	m := &workerModel{Steps: s, fixture: f, attempts: map[string]*sentAttempt{}}
	f.dial = m.dial
	return m
}

// step makes the policy or the worker act once.
func (w *workerModel) step() {
	if w.act(w.Pick(10)) {
		w.runIterations()
		w.checkCollections()
	}
}

func runWorkerConnection(s *modeltest.Steps) {
	m := newWorkerModel(s)
	f := m.fixture
	for s.More() {
		m.step()
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

func (w *workerModel) dial(netip.AddrPort) (int, error) {
	p, fd := w.socketPair()
	w.dialed = append(w.dialed, p)
	if w.Pick(4) == 0 {
		p.filledBytes = eventlooptest.FillSocket(fd)
	}
	return fd, nil
}

// act acts as the policy or the worker, and reports whether there was something to do.
func (w *workerModel) act(what int) bool {
	switch {
	case what < 2 && len(w.jobs) < 8:
		w.sendAttempt()
	case what < 6 && len(w.dialed) > 0:
		if p := w.dialed[w.Pick(len(w.dialed))]; p.filledBytes > 0 {
			p.release()
			w.Record("connected")
		} else {
			w.actAsWorker(p)
		}
	case what == 6 && len(w.jobs) > 0:
		w.policy.Next = append(w.policy.Next, dispatch.Cancel{Job: w.jobs[w.Pick(len(w.jobs))]})
		w.table.DiscoveryFailed()
		w.Record("cancel")
	case what == 7:
		w.policy.Next = append(w.policy.Next, dispatch.HealthCheck{Worker: w.workerNumber()})
		w.table.DiscoveryFailed()
		w.healthChecks++
		w.Record("check health")
	case what == 8:
		w.now += time.Duration(w.Pick(8)) * 100 * time.Millisecond
	default:
		return false
	}
	return true
}

func (w *workerModel) sendAttempt() {
	sizes := []int{0, 100, http1.MaxBodySize}
	id := fmt.Sprint("q", len(w.jobs))
	request, err := w.table.Admit(w.now, requests.Arrival{
		CallID: id, Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: bytes.Repeat([]byte{'x'}, sizes[w.Pick(3)])}, Responder: noResponder{},
	})
	w.Check(err == nil, "not admitted: %v", err)
	w.jobs = append(w.jobs, request.ID)
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: request.ID, Worker: w.workerNumber()})
	w.attempts[id] = &sentAttempt{}
	w.Record("send")
}

// actAsWorker reads from one connection, and then may respond or close it.
func (w *workerModel) actAsWorker(p *peer) {
	p.Read([]int{50, 4000, 1 << 20}[w.Pick(3)])
	p.recordDelete(w.attempts)
	var request http1.Request
	n, err := request.Parse(p.Received)
	var sent *sentAttempt
	if err == nil {
		w.Check(n == len(p.Received), "a second request on a connection before the response to the first")
		sent = w.attempts[string(request.Get("X-Call-Id"))]
		w.recordReceived(p, sent, &request)
	}
	switch act := w.Pick(8); {
	case act < 4 && err == nil && !p.Closed && !p.Ended:
		w.respondAsWorker(p, sent, string(request.Get("X-Call-Id")))
	case act == 4:
		w.closeAsWorker(p, sent)
	}
}

// recordReceived records that the last byte of an attempt was received; sent is nil for another kind of request.
func (w *workerModel) recordReceived(p *peer, sent *sentAttempt, request *http1.Request) {
	if sent == nil || sent.peer == p {
		return
	}
	w.Check(sent.peer == nil, "an attempt was sent twice")
	sent.peer, sent.isReceived = p, true
	w.Check(request.Get("X-Budget-Ms") != nil && string(request.Target) == "/a", "an attempt has no budget or the wrong target")
}

func (w *workerModel) respondAsWorker(p *peer, sent *sentAttempt, callID string) {
	response := workerResponses[w.Pick(len(workerResponses))]
	p.Write([]byte(response.text))
	p.Received = nil
	if sent != nil {
		sent.accepted = response.want < 0
		sent.needsDelete = sent.needsDelete || sent.accepted && w.isSending(callID)
		sent.want, sent.isSettled = response.want, response.want >= 0
	}
	w.Record(response.text[:min(len(response.text), 14)])
}

func (w *workerModel) closeAsWorker(p *peer, sent *sentAttempt) {
	p.Read(1 << 20)
	if sent == nil && len(p.Received) > 0 { // bytes that were received count even if the model had not read them
		p.recordDelete(w.attempts)
		var request http1.Request
		if _, err := request.Parse(p.Received); err == nil && w.attempts[string(request.Get("X-Call-Id"))] != nil {
			w.attempts[string(request.Get("X-Call-Id"))].isReceived = true
		}
	}
	if sent != nil && !sent.isSettled {
		sent.want, sent.isSettled = dispatch.ConnectionReset, true
	}
	p.Close()
	w.Record("close")
}

// recordDelete records that the DELETE of an attempt was received, if the input is one.
func (p *peer) recordDelete(attempts map[string]*sentAttempt) {
	text, ok := strings.CutPrefix(string(p.Received), "DELETE /jobs/")
	if id, _, isComplete := strings.Cut(text, " "); ok && isComplete {
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

// checkOutcomes compares the results that the policy received with what the worker received and sent.
func (w *workerModel) checkOutcomes() {
	results := map[uint64][]dispatch.Result{}
	for _, e := range w.policy.Received {
		switch e := e.(type) {
		case dispatch.Outcome:
			results[e.Job] = append(results[e.Job], e.Result)
		case dispatch.HealthChecked:
			w.healthChecks--
		}
	}
	w.Check(w.healthChecks == 0, "%d health checks without a result", w.healthChecks)
	for n, job := range w.jobs {
		w.Check(len(results[job]) == 1, "outcomes %v for one attempt", results[job])
		w.checkOutcome(w.attempts[fmt.Sprint("q", n)], results[job][0])
	}
	w.Check(len(w.pool.byAttempt) == 0, "an attempt still has a connection")
	for _, endpoint := range w.pool.endpoints {
		w.Check(w.pool.openCount == len(endpoint.idle), "%d connections open, %d idle", w.pool.openCount, len(endpoint.idle))
	}
}

// checkOutcome checks the result that the policy received for an attempt.
func (w *workerModel) checkOutcome(sent *sentAttempt, got dispatch.Result) {
	w.Check(got != dispatch.Cancelled || !sent.needsDelete || sent.isCancelled, "ended as cancelled, without a DELETE to its worker")
	switch {
	case got == dispatch.TimedOut || got == dispatch.Cancelled: // at any time
	case got == dispatch.ConnectFailed:
		w.Check(!sent.isReceived, "ended as failed to connect, though its last byte was received")
	case sent.isSettled:
		w.Check(got == sent.want, "ended as %v, expected %v", got, sent.want)
	default:
		w.Check(got == dispatch.ConnectionReset && sent.isReceived && !sent.accepted, "ended as %v without a cause, completely received: %v", got, sent.isReceived)
	}
}
