package link

import (
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

// A client that leaves is gone for the module before that turn's sends, wherever its requests are by then: nothing of
// them is sent on, and its link is closed. What it leaves by is all the same, an end or a reset.
func TestClientGoneBeforeTheSends(t *testing.T) {
	many := func(n, size int) (text string) {
		for i := range n {
			text += sized(i, size)
		}
		return text
	}
	cases := map[string]struct {
		before string // read, and taken if whole, before the client leaves
		last   string // written in the moment in which it leaves
		taken  int    // of before
	}{
		"with its request, unread":           {"", sized(0, 0), 0},
		"in its request":                     {sized(0, 50)[:100], "", 0},
		"in its request, unread":             {"", sized(0, 50)[:100], 0},
		"held":                               {sized(0, 0), "", 1},
		"held, with another begun":           {sized(0, 0), sized(1, 50)[:100], 1},
		"held, with another unread":          {sized(0, 0), sized(1, 0), 1},
		"all turns in use":                   {many(maxResponseSlots, 0), "", maxResponseSlots},
		"all turns in use, and more unread":  {many(maxResponseSlots, 0), many(2*maxResponseSlots, 0)[len(many(maxResponseSlots, 0)):], maxResponseSlots},
		"all turns in use, and much more":    {many(maxResponseSlots+12, 8<<10), "", maxResponseSlots},
		"all turns in use, and far too much": {many(maxResponseSlots+12, 60<<10), "", maxResponseSlots},
		"behind Connection: close":           {strings.Replace(sized(0, 0), "\r\n", "\r\nConnection: close\r\n", 1), sized(1, 0), 1},
	}
	for name, c := range cases {
		for how, leave := range map[string]func(*peer){"end": (*peer).close, "reset": (*peer).resets} {
			t.Run(name+", "+how, func(t *testing.T) {
				w := newWorld(&modeltest.Steps{T: t})
				w.listens()
				p := w.connects()
				w.turn()
				w.writesAll(p, []byte(c.before))
				w.settles()
				if open := w.loop.Requests.OpenCount(); open != c.taken {
					t.Fatalf("%d queries taken, expected %d", open, c.taken)
				}
				p.write([]byte(c.last))
				leave(p)
				for id := range uint64(c.taken + 2*maxResponseSlots) {
					w.module.Next = append(w.module.Next, dispatch.Send{Job: id + 1, Worker: w.worker()})
				}
				w.loop.Requests.Wake()
				if w.oneTurn(); len(w.dialed) != 0 || w.loop.Requests.OpenCount() != 0 {
					t.Errorf("%d attempts begun, %d queries open", len(w.dialed), w.loop.Requests.OpenCount())
				}
				jobs, gone := 0, 0
				for _, e := range w.module.Received {
					switch e.(type) {
					case dispatch.Job:
						jobs++
					case dispatch.ClientDisconnected:
						gone++
					}
				}
				if w.turn(); jobs != gone || len(w.loop.clients.connections) != 0 || w.loop.clients.bufferedBytes != 0 {
					t.Errorf("%d queries, %d told as gone, %d links left with %d bytes", jobs, gone, len(w.loop.clients.connections),
						w.loop.clients.bufferedBytes)
				}
			})
		}
	}
}

// A worker node's word that came before its connection broke is heard; a query that did is not taken.
func TestNewsBeforeAReset(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	client, worker := w.connects(), w.connects()
	client.write([]byte(sized(7, 0)))
	w.turn()
	w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: w.worker()})
	w.loop.Requests.Wake()
	w.turn()
	note := `{"id":"7","from":"s-0","state":"done","result":"r"}`
	worker.write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s%s", len(note), note, sized(8, 0)))
	worker.resets()
	w.turn()
	if got := client.answers(t); len(got) != 1 || got[0] != 200 || w.loop.Requests.OpenCount() != 0 {
		t.Errorf("answered %v, %d queries open", got, w.loop.Requests.OpenCount())
	}
}

// A client that has only finished writing gets the answer to each request that it wrote, in turn and with their bytes
// unharmed, also to those that were not looked at yet, or not even read, when it did; and then the end.
func TestHalfClosedClientsAreAnswered(t *testing.T) {
	for _, size := range []int{0, 2 << 10, 8 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			const requests = 3 * maxResponseSlots
			w := newWorld(&modeltest.Steps{T: t})
			w.listens()
			p := w.connects()
			w.turn()
			for n := range requests {
				w.writesAll(p, []byte(sized(n, size)))
			}
			p.halfCloses()
			w.settles()
			for n := 0; n < requests; n++ { // the last first, as far as they are in
				if open := w.loop.Requests.OpenCount(); open != min(maxResponseSlots, requests-n) {
					t.Fatalf("%d queries open after %d answers", open, n)
				}
				w.module.Next = append(w.module.Next, dispatch.Reject{Job: uint64(n + 1)})
				w.loop.Requests.Wake()
				w.settles()
			}
			got := p.answers(t)
			for _, status := range got {
				if status != 503 {
					t.Errorf("answered %v", got)
				}
			}
			if p.read(1); len(got) != requests || !p.ended || len(w.loop.clients.connections) != 0 {
				t.Errorf("%d answers to %d requests, link closed %v", len(got), requests, p.ended)
			}
		})
	}
}

// A client that sends more ahead of its answers than is kept is read from all the same: what is kept whole is answered,
// one more is refused, and the link ends. Buffers stay bounded.
func TestTooMuchAheadIsRefused(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	p := w.connects()
	w.turn()
	const size = 60 << 10
	for n := range 3 * maxResponseSlots {
		w.writesAll(p, []byte(sized(n, size)))
		if w.settles(); w.loop.clients.bufferedBytes > 2*maxReadAheadWithMemory {
			held := w.loop.clients.bufferedBytes
			t.Fatalf("%d bytes held", held)
		}
	}
	answered := 0
	for ; w.loop.Requests.OpenCount() > 0; answered++ {
		w.module.Next = append(w.module.Next, dispatch.Fail{Job: uint64(answered + 1)})
		w.loop.Requests.Wake()
		w.settles()
	}
	got := p.answers(t)
	if answered <= maxResponseSlots || len(got) != answered+1 || got[answered] != 503 || got[answered-1] != 500 {
		t.Errorf("%d queries answered, the client has %v", answered, got)
	}
	if p.read(1); !p.ended {
		t.Error("the link goes on")
	}
}

// What has ended and still has answers to take leaves the loop in peace: it is not told of the end over and over.
func TestEndIsToldOnce(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	p, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	for range 40 {
		p.write([]byte(strings.Repeat(numbered(asks[7].text, 1), 100)))
		w.turn()
	}
	p.halfCloses()
	w.turn()
	k := w.clientLink(fd)
	if len(k.Output()) == 0 {
		t.Fatal("nothing waits to be read")
	}
	if n := w.readyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are told as ready, with nothing to be done", n)
	}
}

// A client that leaves while its query is on the way to a worker node stops what is not wholly written, also if the
// connection there comes up in the same turn. What was accepted runs on, and no copy of it is sent.
func TestClientGoneOnTheWay(t *testing.T) {
	for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize, "accepted": 0} {
		for how, leave := range map[string]func(*peer){"end": (*peer).close, "reset": (*peer).resets} {
			t.Run(stage+", "+how, func(t *testing.T) {
				w := newWorld(&modeltest.Steps{T: t})
				w.listens()
				w.loop.Requests.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
					{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
					{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
				}})
				p := w.connects()
				w.turn()
				w.writesAll(p, []byte(sized(1, size)))
				w.settles()
				workers := w.module.Received[1].(dispatch.WorkerList).Workers
				w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: workers[0].ID})
				w.loop.Requests.Wake()
				w.oneTurn()
				if len(w.dialed) != 1 {
					t.Fatal("not sent")
				}
				far := w.dialed[0]
				if stage != "connecting" {
					w.settles()
				}
				if far.read(1 << 10); stage == "accepted" {
					far.write([]byte(answers[0].text))
					w.turn()
				}
				leave(p)
				w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: workers[1].ID})
				w.loop.Requests.Wake()
				w.settles()
				far.read(1 << 20)
				var m http1.Request
				_, err := m.Parse(far.got)
				if whole := err == nil; whole != (stage == "accepted") || len(w.dialed) != 1 || stage == "connecting" && len(far.got) > 0 {
					t.Errorf("%d bytes came, whole %v, and %d links were opened", len(far.got), whole, len(w.dialed))
				}
				if far.ended == (stage == "accepted") {
					t.Errorf("its link has ended %v", far.ended)
				}
			})
		}
	}
}

// The time of a request counts from when its last byte came, also if it had to wait for its turn on its link.
func TestTimeCountsFromArrival(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	p := w.connects()
	w.turn()
	for n := range maxResponseSlots + 2 {
		p.write([]byte(sized(n, 0)))
	}
	late := sized(99, 0)
	p.write([]byte(late[:40]))
	w.settles()
	w.now += time.Second
	p.write([]byte(late[40:]))
	w.settles()
	w.now += time.Second
	p.write([]byte(sized(100, 0)))
	for n := range 4 {
		w.module.Next = append(w.module.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	w.loop.Requests.Wake()
	w.settles()
	const all = 5 * time.Second // of the class
	left := map[uint64]time.Duration{}
	for _, e := range w.module.Received {
		if j, ok := e.(dispatch.Job); ok {
			left[j.ID] = j.Remaining
		}
	}
	for id, want := range map[uint64]time.Duration{
		1: all, 16: all, 17: all - 2*time.Second, 18: all - 2*time.Second,
		19: all - time.Second, 20: all,
	} {
		if left[id] != want {
			t.Errorf("query %d has %v left, expected %v", id, left[id], want)
		}
	}
}
