package link

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// noted is a worker node's note, as it comes in.
func noted(id, state string) []byte {
	body := fmt.Sprintf(`{"id":%q,"from":"s-0","state":%q,"result":"r"}`, id, state)
	return fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// sends has the module send a query to the one host.
func (w *world) sends(job uint64) {
	w.module.Next = append(w.module.Next, dispatch.Send{Job: job, Worker: w.worker()})
	w.loop.Requests.Wake()
	w.turn()
}

// A scheduler that takes no query any more goes on taking notes, on the links that worker nodes have, also in the moment in
// which it shuts those between queries: what they tell is an answer that some client waits for.
func TestNotesComeInWhileClosing(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	var clients []*peer
	for n := range 6 {
		p := w.connects()
		p.write([]byte(sized(n+1, 0)))
		w.turn()
		w.sends(uint64(n + 1))
		clients = append(clients, p)
	}
	worker, resting := w.connects(), w.connects()
	worker.write(noted("1", "done"))
	resting.write(noted("2", "done"))
	w.turn()
	worker.write(noted("3", "done")) // nobody has read it when the others are shut
	w.loop.Close()
	w.turn()
	worker.write(noted("4", "done"))
	resting.write(noted("5", "done"))
	w.turn()
	other := w.connects()
	other.write(noted("6", "done"))
	w.turn()
	for n, p := range clients {
		if got := p.answers(t); len(got) != 1 || got[0] != 200 || !p.ended {
			t.Errorf("query %d: answered %v, link ended %v", n+1, got, p.ended)
		}
	}
	for p, want := range map[*peer]int{worker: 3, resting: 2, other: 1} {
		if got := p.answers(t); len(got) != want || p.ended {
			t.Errorf("notes answered %v, link ended %v", got, p.ended)
		}
	}
	worker.write([]byte(sized(9, 0))) // it is no worker node, then
	w.turn()
	if got := worker.answers(t); got[len(got)-1] != 503 || !w.loop.IsQuiet() {
		t.Errorf("answered %v, quiet %v", got, w.loop.IsQuiet())
	}
}

// When time is up for good, what was never sent is refused, and then whatever is open gets its one answer, however a worker
// node hangs: the attempt is given up, and what it still brings answers nobody.
func TestLastAnswers(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	held, hangs := w.connects(), w.connects()
	hangs.write([]byte(sized(1, 0)))
	w.turn()
	w.sends(1)
	held.write([]byte(sized(2, 0)))
	w.turn()
	w.loop.Drain()
	w.loop.Close()
	w.now += time.Second
	w.loop.RejectQueued()
	w.turn()
	if got := held.answers(t); len(got) != 1 || got[0] != 503 || len(hangs.answers(t)) != 0 || w.loop.IsQuiet() {
		t.Errorf("held answered %v, sent %v, quiet %v", got, hangs.answers(t), w.loop.IsQuiet())
	}
	w.loop.FinishAllRequests()
	w.turn()
	if got := hangs.answers(t); len(got) != 1 || got[0] != 500 || !hangs.ended || !w.loop.IsQuiet() {
		t.Errorf("sent answered %v, ended %v, quiet %v", got, hangs.ended, w.loop.IsQuiet())
	}
	worker := w.connects()
	worker.write(noted("1", "done"))
	w.turn()
	if got := worker.answers(t); len(got) != 1 || got[0] != 204 || len(hangs.answers(t)) != 1 || len(held.answers(t)) != 1 {
		t.Errorf("a late note is answered %v, the clients have %v and %v", got, hangs.answers(t), held.answers(t))
	}
}
