package scheduler

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// callbackRequest is a worker's callback, as it comes in.
func callbackRequest(id string) []byte {
	body := fmt.Sprintf(`{"id":%q,"from":"s-0","state":"done","result":"r"}`, id)
	return fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// sendJob has the policy send a request to the one worker.
func (h *harness) sendJob(job uint64) {
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: job, Worker: h.workerNumber()})
	h.scheduler.Requests.Wake()
	h.runIterations()
}

// A scheduler that takes no request any more goes on taking callbacks, on the connections that workers have, also in the moment in
// which it shuts those between requests: what they tell is an answer that some client waits for.
func TestCallbacksComeInWhileClosing(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	var clients []*peer
	for n := range 6 {
		p := h.connectClient()
		p.Write([]byte(requestOfSize(n+1, 0)))
		h.runIterations()
		h.sendJob(uint64(n + 1))
		clients = append(clients, p)
	}
	worker, resting := h.connectClient(), h.connectClient()
	worker.Write(callbackRequest("1"))
	resting.Write(callbackRequest("2"))
	h.runIterations()
	worker.Write(callbackRequest("3")) // nobody has read it when the others are shut
	h.scheduler.Close()
	h.runIterations()
	worker.Write(callbackRequest("4"))
	resting.Write(callbackRequest("5"))
	h.runIterations()
	other := h.connectClient()
	other.Write(callbackRequest("6"))
	h.runIterations()
	for n, p := range clients {
		if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.Ended {
			t.Errorf("request %d: answered %v, connection ended %v", n+1, got, p.Ended)
		}
	}
	for p, want := range map[*peer]int{worker: 3, resting: 2, other: 1} {
		if got := p.statuses(t); len(got) != want || p.Ended {
			t.Errorf("callbacks answered %v, connection ended %v", got, p.Ended)
		}
	}
	worker.Write([]byte(requestOfSize(9, 0))) // it is no worker, then
	h.runIterations()
	if got := worker.statuses(t); got[len(got)-1] != 503 || !h.scheduler.IsQuiet() {
		t.Errorf("answered %v, quiet %v", got, h.scheduler.IsQuiet())
	}
}

// When time is up for good, what was never sent is refused, and then whatever is open gets its one answer, however a worker
// node hangs: the attempt is given up, and what it still brings answers nobody.
func TestLastResponses(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	held, hangs := h.connectClient(), h.connectClient()
	hangs.Write([]byte(requestOfSize(1, 0)))
	h.runIterations()
	h.sendJob(1)
	held.Write([]byte(requestOfSize(2, 0)))
	h.runIterations()
	h.scheduler.Drain()
	h.scheduler.Close()
	h.now += time.Second
	h.scheduler.RejectQueued()
	h.runIterations()
	if got := held.statuses(t); len(got) != 1 || got[0] != 503 || len(hangs.statuses(t)) != 0 || h.scheduler.IsQuiet() {
		t.Errorf("held answered %v, sent %v, quiet %v", got, hangs.statuses(t), h.scheduler.IsQuiet())
	}
	h.scheduler.FinishAllRequests()
	h.runIterations()
	if got := hangs.statuses(t); len(got) != 1 || got[0] != 500 || !hangs.Ended || !h.scheduler.IsQuiet() {
		t.Errorf("sent answered %v, ended %v, quiet %v", got, hangs.Ended, h.scheduler.IsQuiet())
	}
	worker := h.connectClient()
	worker.Write(callbackRequest("1"))
	h.runIterations()
	if got := worker.statuses(t); len(got) != 1 || got[0] != 204 || len(hangs.statuses(t)) != 1 || len(held.statuses(t)) != 1 {
		t.Errorf("a late callback is answered %v, the clients have %v and %v", got, hangs.statuses(t), held.statuses(t))
	}
}
