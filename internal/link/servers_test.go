package link

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

// answers are what a worker node may say to a request, and how an attempt ends by it; -1: it goes on.
var answers = []struct {
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

// tried is what the model knows of an attempt.
type tried struct {
	peer     *peer
	whole    bool // its last byte has come
	accepted bool
	taken    bool // and that was read while it was out: from then on only a DELETE gives it up
	deleted  bool
	want     dispatch.Result // once settled
	settled  bool
}

// A server link carries one request at a time; each attempt has one outcome, and that follows from how far it
// came; nothing is sent twice; one that was accepted is given up by a DELETE that is written; what is left at the end is
// idle. Some connections come up late.
func FuzzServerLink(f *testing.F) { modeltest.Fuzz(f, runServerLink) }

func runServerLink(s *modeltest.Steps) {
	w := newWorld(s)
	var queries []uint64 // by number: the ledger counts from 1
	attempts := map[string]*tried{}
	sizes := []int{0, 100, http1.MaxBodySize}
	probes := 0
	slow := map[*peer]*late{}
	w.loop.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.pair()
		w.dialed = append(w.dialed, p)
		if slow[p] = (&late{peer: p}); s.Pick(4) == 0 {
			slow[p].held = fill(fd)
		}
		return fd, nil
	}
	for s.More() {
		step := true
		switch what := s.Pick(10); {
		case what < 2 && len(queries) < 8:
			id := fmt.Sprint("q", len(queries))
			q, err := w.loop.Requests.Admit(w.now, requests.Arrival{
				CallID: id, Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a", Body: bytes.Repeat([]byte{'x'}, sizes[s.Pick(3)])}, Responder: nobody{},
			})
			s.Check(err == nil, "not taken: %v", err)
			queries = append(queries, q.ID)
			w.module.Next = append(w.module.Next, dispatch.Send{Job: q.ID, Worker: w.worker()})
			attempts[id] = &tried{}
			s.Record("send")
		case what < 6 && len(w.dialed) > 0:
			if p := w.dialed[s.Pick(len(w.dialed))]; slow[p].held > 0 {
				slow[p].release()
				s.Record("up")
			} else {
				w.workerActs(p, attempts)
			}
		case what == 6 && len(queries) > 0:
			w.module.Next = append(w.module.Next, dispatch.Cancel{Job: queries[s.Pick(len(queries))]})
			w.loop.Requests.DiscoveryFailed()
			s.Record("cancel")
		case what == 7:
			w.module.Next = append(w.module.Next, dispatch.HealthCheck{Worker: w.worker()})
			w.loop.Requests.DiscoveryFailed()
			probes++
			s.Record("probe")
		case what == 8:
			w.now += time.Duration(s.Pick(8)) * 100 * time.Millisecond
		default:
			step = false
		}
		if step {
			w.turn()
		}
	}
	for range 2 { // past all patience, and then past that of what this called for
		w.now += 10 * time.Second
		w.turn()
	}
	for _, p := range w.dialed {
		slow[p].release()
		p.read(1 << 20)
		p.deleted(attempts)
	}
	w.judge(queries, attempts, probes)
}

// workerActs lets the far end of one link read, and then answer or close.
func (w *world) workerActs(p *peer, attempts map[string]*tried) {
	p.read([]int{50, 4000, 1 << 20}[w.Pick(3)])
	p.deleted(attempts)
	var m http1.Request
	n, err := m.Parse(p.got)
	var t *tried
	if err == nil {
		w.Check(n == len(p.got), "a second request on a link before the first was answered")
		if t = attempts[string(m.Get("X-Call-Id"))]; t != nil && t.peer != p {
			w.Check(t.peer == nil, "an attempt was sent twice")
			t.peer, t.whole = p, true
			w.Check(m.Get("X-Budget-Ms") != nil && string(m.Target) == "/a", "a request changed on its way")
		}
	}
	switch act := w.Pick(8); {
	case act < 4 && err == nil && !p.closed && !p.ended:
		a := answers[w.Pick(len(answers))]
		p.write([]byte(a.text))
		p.got = nil
		if t != nil {
			t.accepted = a.want < 0
			t.taken = t.taken || t.accepted && w.carries(string(m.Get("X-Call-Id")))
			t.want, t.settled = a.want, a.want >= 0
		}
		w.Record(a.text[:min(len(a.text), 14)])
	case act == 4:
		if p.read(1 << 20); t == nil && len(p.got) > 0 { // what has come has come, read or not
			p.deleted(attempts)
			if _, err := m.Parse(p.got); err == nil && attempts[string(m.Get("X-Call-Id"))] != nil {
				attempts[string(m.Get("X-Call-Id"))].whole = true
			}
		}
		if t != nil && !t.settled {
			t.want, t.settled = dispatch.ConnectionReset, true
		}
		p.close()
		w.Record("close")
	}
}

// deleted notes which attempt a far end has had a DELETE for.
func (p *peer) deleted(attempts map[string]*tried) {
	text, ok := strings.CutPrefix(string(p.got), "DELETE /jobs/")
	if id, _, whole := strings.Cut(text, " "); ok && whole {
		attempts[id].deleted = true
	}
}

// carries tells whether an attempt of a query is on its way.
func (w *world) carries(call string) bool {
	for a := range w.loop.workers.byAttempt {
		if a.Request.CallID == call && !a.HasEnded() {
			return true
		}
	}
	return false
}

// judge checks what the module heard against what the worker node saw.
func (w *world) judge(queries []uint64, attempts map[string]*tried, probes int) {
	heard := map[uint64][]dispatch.Result{}
	for _, e := range w.module.Received {
		switch e := e.(type) {
		case dispatch.Outcome:
			heard[e.Job] = append(heard[e.Job], e.Result)
		case dispatch.HealthChecked:
			probes--
		}
	}
	w.Check(probes == 0, "%d probes without an end", probes)
	for n, q := range queries {
		t, got := attempts[fmt.Sprint("q", n)], heard[q]
		w.Check(len(got) == 1, "outcomes %v for one attempt", got)
		gaveUp := got[0] == dispatch.TimedOut || got[0] == dispatch.Cancelled
		w.Check(got[0] != dispatch.Cancelled || !t.taken || t.deleted, "given up, and its worker node does not know")
		switch {
		case gaveUp: // at any time
		case got[0] == dispatch.ConnectFailed:
			w.Check(!t.whole, "could not connect, though its last byte had come")
		case t.settled:
			w.Check(got[0] == t.want, "ended as %v, expected %v", got[0], t.want)
		default:
			w.Check(got[0] == dispatch.ConnectionReset && t.whole && !t.accepted, "ended as %v, whole %v, and no word of it", got[0], t.whole)
		}
	}
	w.Check(len(w.loop.workers.byAttempt) == 0, "an attempt is still carried")
	for _, h := range w.loop.workers.endpoints {
		w.Check(w.loop.workers.openCount == len(h.idle), "%d links open, %d idle", w.loop.workers.openCount, len(h.idle))
	}
}

type nobody struct{}

func (nobody) RespondResult([]byte)          {}
func (nobody) RespondRejected(time.Duration) {}
func (nobody) RespondFailed()                {}

// A link that breaks after it was idle says nothing of its worker node. From then on links are not used again when
// they have been idle for nearly as long, until all has gone well for a while.
func TestTrustInIdleLinks(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	probe := func(idle time.Duration, answer string, wantLinks int, want dispatch.Result) {
		t.Helper()
		w.now += idle
		w.module.Next = append(w.module.Next, dispatch.HealthCheck{Worker: w.worker()})
		w.loop.Requests.DiscoveryFailed()
		w.turn()
		if len(w.dialed) != wantLinks {
			t.Errorf("%d links opened, expected %d", len(w.dialed), wantLinks)
		}
		p := w.dialed[len(w.dialed)-1]
		if p.read(1 << 10); answer == "" {
			p.close()
		} else {
			p.write([]byte(answer))
		}
		w.turn()
		if got, _ := w.module.Received[len(w.module.Received)-1].(dispatch.HealthChecked); got.Result != want {
			t.Errorf("probe ended as %v, expected %v", got.Result, want)
		}
	}
	probe(0, ok, 1, dispatch.OK)
	probe(4*minIdleTrust, ok, 1, dispatch.OK)
	probe(4*minIdleTrust, "", 1, dispatch.NotSent)
	probe(0, ok, 2, dispatch.OK)
	probe(minIdleTrust, ok, 2, dispatch.OK)
	probe(3*minIdleTrust, ok, 3, dispatch.OK)
	probe(0, ok, 3, dispatch.OK)
	for range 3 {
		w.now += idleTrustGrowthInterval
		w.turn()
	}
	probe(0, ok, 4, dispatch.OK)
	probe(3*minIdleTrust, ok, 4, dispatch.OK)
	probe(idleTrustGrowthInterval*100, "", 5, dispatch.ConnectionReset) // a new one does say something
}

// A link to a process that has been replaced is not used again, nor one that is about to be closed as idle; an
// attempt given up after it was accepted is withdrawn by name.
func TestLinksAreRetired(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	host := requests.Endpoint{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up", StartedAtMs: 5}
	sent := 0
	send := func() *peer {
		sent++
		q, err := w.loop.Requests.Admit(w.now, requests.Arrival{
			CallID: fmt.Sprint("q", sent), Job: dispatch.Job{Remaining: 5 * time.Second},
			Payload: requests.Payload{Method: "POST", Path: "/a"}, Responder: nobody{},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.module.Next = append(w.module.Next, dispatch.Send{Job: q.ID, Worker: w.worker()})
		w.turn()
		p := w.dialed[len(w.dialed)-1]
		p.read(1 << 12)
		p.got = nil
		p.write([]byte(answers[0].text))
		w.turn()
		return p
	}
	first := send()
	w.now += reuseDelay
	if second := send(); second != first {
		t.Fatal("a link that was free was not used")
	}
	w.module.Next = append(w.module.Next, dispatch.Cancel{Job: 2})
	w.loop.Requests.UpdateEndpoints(requests.EndpointList{Endpoints: []requests.Endpoint{host}})
	w.turn()
	last := w.dialed[len(w.dialed)-1]
	if last.read(1 << 12); last == first || !strings.HasPrefix(string(last.got), "DELETE /jobs/q2 ") {
		t.Errorf("withdrew by %q, on the old link %v", last.got, last == first)
	}
	last.write([]byte(answers[0].text))
	w.turn()
	w.now += 50 * time.Second
	w.turn()
	if last.read(1); !last.ended {
		t.Error("a link was kept close to the idle limit")
	}
	// Closed since the turn's events were gathered: nothing may be written to it.
	idle, links := send(), len(w.dialed)
	idle.close()
	w.module.Next = append(w.module.Next, dispatch.HealthCheck{Worker: w.worker()})
	w.loop.Requests.DiscoveryFailed()
	if w.loop.Requests.Step(w.now); len(w.dialed) != links+1 {
		t.Error("a link that had just been closed was used")
	}
}

// A note that comes late, of an attempt before at the same host, ends the one that is on its way: what the link has not
// written by then is not written, and the worker node never has it whole.
func TestLateNoteStopsTheSend(t *testing.T) {
	for name, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(&modeltest.Steps{T: t})
			q, err := w.loop.Requests.Admit(w.now, requests.Arrival{
				CallID: "q", Job: dispatch.Job{Remaining: 5 * time.Second},
				Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: nobody{},
			})
			if err != nil {
				t.Fatal(err)
			}
			w.module.Next = append(w.module.Next, dispatch.Send{Job: q.ID, Worker: w.worker()})
			if w.loop.Requests.Step(w.now); size > 0 {
				w.turn()
			}
			if known, err := w.loop.Requests.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: "returned"}); !known || err != nil {
				t.Fatalf("the note is known %v, %v", known, err)
			}
			p, m := w.dialed[0], http1.Request{}
			for !p.ended && len(p.got) < 2*http1.MaxBodySize {
				before := len(p.got)
				w.turn()
				if p.read(1 << 20); len(p.got) == before {
					break
				}
			}
			if _, err := m.Parse(p.got); err == nil || !p.ended {
				t.Errorf("%d bytes came, whole %v, and the link is closed %v", len(p.got), err == nil, p.ended)
			}
			if len(w.loop.workers.byAttempt) != 0 || w.loop.workers.openCount != 0 {
				t.Error("the link is still kept")
			}
		})
	}
}

// A query that is over is not sent on: what the link has not written by then is not written, whether the connection is
// not up yet or has taken a part, and whoever ended the query.
func TestQueryThatIsOverIsNotSentOn(t *testing.T) {
	result := "r"
	ends := map[string]func(w *world, q *requests.Request){
		"client left": func(w *world, q *requests.Request) { w.loop.Requests.ClientDisconnected(q) },
		"served by another copy": func(w *world, _ *requests.Request) {
			if known, err := w.loop.Requests.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-1", State: "done", Result: &result}); !known || err != nil {
				t.Errorf("the note is known %v, %v", known, err)
			}
		},
		"refused": func(w *world, q *requests.Request) {
			w.module.Next = append(w.module.Next, dispatch.Reject{Job: q.ID})
			w.loop.Requests.Wake()
			w.loop.Requests.Step(w.now)
		},
		"finished": func(w *world, _ *requests.Request) { w.loop.Requests.CloseSince(0) },
	}
	for name, end := range ends {
		for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize} {
			t.Run(name+", "+stage, func(t *testing.T) {
				w := newWorld(&modeltest.Steps{T: t})
				w.loop.Requests.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
					{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
					{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
				}})
				w.turn()
				q, err := w.loop.Requests.Admit(w.now, requests.Arrival{
					CallID: "q", Job: dispatch.Job{Remaining: 5 * time.Second},
					Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: nobody{},
				})
				if err != nil {
					t.Fatal(err)
				}
				for _, worker := range w.module.Received[len(w.module.Received)-1].(dispatch.WorkerList).Workers {
					w.module.Next = append(w.module.Next, dispatch.Send{Job: q.ID, Worker: worker.ID})
				}
				if w.loop.Requests.Step(w.now); size > 0 {
					w.turn()
				}
				end(w, q)
				for i, p := range w.dialed {
					m := http1.Request{}
					for range 64 {
						w.turn()
						p.read(1 << 20)
					}
					if _, err := m.Parse(p.got); err == nil || !p.ended {
						t.Errorf("link %d: %d bytes came, whole %v, and it is closed %v", i, len(p.got), err == nil, p.ended)
					}
				}
				if len(w.loop.workers.byAttempt) != 0 || w.loop.workers.openCount != 0 {
					t.Error("a link is still kept")
				}
			})
		}
	}
}
