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
func (w *harness) sendJob(job uint64) {
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: job, Worker: w.workerNumber()})
	w.scheduler.Requests.Wake()
	w.runIterations()
}

// A scheduler that takes no request any more goes on taking callbacks, on the connections that workers have, also in the moment in
// which it shuts those between requests: what they tell is an answer that some client waits for.
func TestCallbacksComeInWhileClosing(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	var clients []*peer
	for n := range 6 {
		p := w.connectClient()
		p.write([]byte(requestOfSize(n+1, 0)))
		w.runIterations()
		w.sendJob(uint64(n + 1))
		clients = append(clients, p)
	}
	worker, resting := w.connectClient(), w.connectClient()
	worker.write(callbackRequest("1"))
	resting.write(callbackRequest("2"))
	w.runIterations()
	worker.write(callbackRequest("3")) // nobody has read it when the others are shut
	w.scheduler.Close()
	w.runIterations()
	worker.write(callbackRequest("4"))
	resting.write(callbackRequest("5"))
	w.runIterations()
	other := w.connectClient()
	other.write(callbackRequest("6"))
	w.runIterations()
	for n, p := range clients {
		if got := p.statuses(t); len(got) != 1 || got[0] != 200 || !p.ended {
			t.Errorf("request %d: answered %v, connection ended %v", n+1, got, p.ended)
		}
	}
	for p, want := range map[*peer]int{worker: 3, resting: 2, other: 1} {
		if got := p.statuses(t); len(got) != want || p.ended {
			t.Errorf("callbacks answered %v, connection ended %v", got, p.ended)
		}
	}
	worker.write([]byte(requestOfSize(9, 0))) // it is no worker, then
	w.runIterations()
	if got := worker.statuses(t); got[len(got)-1] != 503 || !w.scheduler.IsQuiet() {
		t.Errorf("answered %v, quiet %v", got, w.scheduler.IsQuiet())
	}
}

// When time is up for good, what was never sent is refused, and then whatever is open gets its one answer, however a worker
// node hangs: the attempt is given up, and what it still brings answers nobody.
func TestLastResponses(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	held, hangs := w.connectClient(), w.connectClient()
	hangs.write([]byte(requestOfSize(1, 0)))
	w.runIterations()
	w.sendJob(1)
	held.write([]byte(requestOfSize(2, 0)))
	w.runIterations()
	w.scheduler.Drain()
	w.scheduler.Close()
	w.now += time.Second
	w.scheduler.RejectQueued()
	w.runIterations()
	if got := held.statuses(t); len(got) != 1 || got[0] != 503 || len(hangs.statuses(t)) != 0 || w.scheduler.IsQuiet() {
		t.Errorf("held answered %v, sent %v, quiet %v", got, hangs.statuses(t), w.scheduler.IsQuiet())
	}
	w.scheduler.FinishAllRequests()
	w.runIterations()
	if got := hangs.statuses(t); len(got) != 1 || got[0] != 500 || !hangs.ended || !w.scheduler.IsQuiet() {
		t.Errorf("sent answered %v, ended %v, quiet %v", got, hangs.ended, w.scheduler.IsQuiet())
	}
	worker := w.connectClient()
	worker.write(callbackRequest("1"))
	w.runIterations()
	if got := worker.statuses(t); len(got) != 1 || got[0] != 204 || len(hangs.statuses(t)) != 1 || len(held.statuses(t)) != 1 {
		t.Errorf("a late callback is answered %v, the clients have %v and %v", got, hangs.statuses(t), held.statuses(t))
	}
}
