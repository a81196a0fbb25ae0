package scheduler

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// callbackRequest returns the request of a worker's callback that a job is done.
func callbackRequest(id string) []byte {
	body := fmt.Sprintf(`{"id":%q,"from":"s-0","state":"done","result":"r"}`, id)
	return fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// sendJob makes the policy send a request to the only worker.
func (h *harness) sendJob(job uint64) {
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: job, Worker: h.workerNumber()})
	h.scheduler.Requests.Wake()
	h.runIterations()
}

// A scheduler that no longer admits requests still accepts callbacks, on new connections and on those that workers have, also
// on one that has an unread callback when idle connections are closed: clients wait for these results.
func TestCallbacksAreAcceptedWhileClosing(t *testing.T) {
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
	worker, idle := h.connectClient(), h.connectClient()
	worker.Write(callbackRequest("1"))
	idle.Write(callbackRequest("2"))
	h.runIterations()
	worker.Write(callbackRequest("3")) // unread when idle connections are closed
	h.scheduler.Close()
	h.runIterations()
	worker.Write(callbackRequest("4"))
	idle.Write(callbackRequest("5"))
	h.runIterations()
	other := h.connectClient()
	other.Write(callbackRequest("6"))
	h.runIterations()
	for n, p := range clients {
		if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.Ended {
			t.Errorf("request %d: answered %v, connection ended %v", n+1, got, p.Ended)
		}
	}
	for p, want := range map[*peer]int{worker: 3, idle: 2, other: 1} {
		if got := p.statuses(t); len(got) != want || p.Ended {
			t.Errorf("callbacks answered %v, connection ended %v", got, p.Ended)
		}
	}
	worker.Write([]byte(requestOfSize(9, 0))) // a client's request is rejected on the same connection
	h.runIterations()
	if got := worker.statuses(t); got[len(got)-1] != 503 || !h.scheduler.IsIdle() {
		t.Errorf("answered %v, scheduler idle %v", got, h.scheduler.IsIdle())
	}
}

// At the end of the drain, requests without an attempt are rejected, and then all open requests are answered, even if a worker
// hangs. The attempt is abandoned, and its late callback is answered without another response to a client.
func TestOpenRequestsAreAnsweredAtDrainEnd(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	h.listen()
	queued, sent := h.connectClient(), h.connectClient()
	sent.Write([]byte(requestOfSize(1, 0)))
	h.runIterations()
	h.sendJob(1)
	queued.Write([]byte(requestOfSize(2, 0)))
	h.runIterations()
	h.scheduler.Drain()
	h.scheduler.Close()
	h.now += time.Second
	h.scheduler.RejectQueued()
	h.runIterations()
	if got := queued.statuses(t); len(got) != 1 || got[0] != 503 || len(sent.statuses(t)) != 0 || h.scheduler.IsIdle() {
		t.Errorf("queued request answered %v, sent request %v, scheduler idle %v", got, sent.statuses(t), h.scheduler.IsIdle())
	}
	h.scheduler.FinishAllRequests()
	h.runIterations()
	if got := sent.statuses(t); len(got) != 1 || got[0] != 500 || !sent.Ended || !h.scheduler.IsIdle() {
		t.Errorf("sent request answered %v, connection ended %v, scheduler idle %v", got, sent.Ended, h.scheduler.IsIdle())
	}
	worker := h.connectClient()
	worker.Write(callbackRequest("1"))
	h.runIterations()
	if got := worker.statuses(t); len(got) != 1 || got[0] != 204 || len(sent.statuses(t)) != 1 || len(queued.statuses(t)) != 1 {
		t.Errorf("late callback answered %v; the clients have received %v and %v", got, sent.statuses(t), queued.statuses(t))
	}
}
