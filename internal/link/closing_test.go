package link

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// connectsSlowly gives a client that takes that is not connected yet take in little at a time, so that answers wait in the loop's kernel.
func (w *world) connectsSlowly() *peer {
	_, sa := eventloop.Sockaddr(w.loop.Addr())
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 2<<10)
		err = unix.Connect(fd, sa)
	}
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err != nil {
		w.T.Fatal(err)
	}
	p := &peer{fd: fd}
	w.T.Cleanup(p.close)
	return p
}

// readsToTheEnd takes in all up to the end of the connection, a little at a time; a reset is an error.
func (w *world) readsToTheEnd(p *peer) error {
	b := make([]byte, 1<<10)
	for range 100_000 {
		n, err := unix.Read(p.fd, b)
		switch {
		case errors.Is(err, unix.EAGAIN):
			w.oneTurn()
		case err != nil:
			return err
		case n == 0:
			p.ended = true
			return nil
		default:
			p.got = append(p.got, b[:n]...)
		}
	}
	return errors.New("no end comes")
}

// serves answers query 1 with so many bytes.
func (w *world) serves(t *testing.T, id string, size int) {
	w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: w.worker()})
	w.loop.Requests.Wake()
	w.turn()
	result := strings.Repeat("r", size)
	if known, err := w.loop.Requests.HandleCallback(requests.Callback{CallID: id, EndpointID: "s-0", State: "done", Result: &result}); !known || err != nil {
		t.Fatalf("the note is known %v, %v", known, err)
	}
}

// A link is closed in such a way that its last answer gets there whole, though it waits with the kernel yet and a request
// crosses the close; and that request is not taken, as its client asks again. So it is whatever closes the link.
func TestAnswersOutliveTheClose(t *testing.T) {
	const size = 60 << 10
	crossing := []byte(sized(9, 0))
	for name, c := range map[string]struct {
		request string
		close   func(w *world, p *peer) // p has its answer, though unread
	}{
		"to make room":           {sized(1, 0), func(w *world, _ *peer) { w.loop.clients.evict() }},
		"told to close":          {sized(1, 0), func(w *world, _ *peer) { w.loop.Close() }},
		"by Connection: close":   {strings.Replace(sized(1, 0), "\r\n", "\r\nConnection: close\r\n", 1), func(*world, *peer) {}},
		"with another behind":    {strings.Replace(sized(1, 0), "\r\n", "\r\nConnection: close\r\n", 1) + sized(2, 0), func(*world, *peer) {}},
		"for what is no request": {sized(1, 0), func(w *world, p *peer) { p.write([]byte("no request\r\n\r\n")); w.turn() }},
		"for one that stalls": {sized(1, 0), func(w *world, p *peer) {
			p.write([]byte("POST /a HTT"))
			w.turn()
			w.now += requestReadTimeout + expiryInterval
			w.turn()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(&modeltest.Steps{T: t})
			w.listens()
			p := w.connectsSlowly()
			p.write([]byte(c.request))
			w.turn()
			w.serves(t, "1", size)
			w.turn()
			if w.now += evictionGrace; len(w.loop.clients.connections) != 1 {
				t.Fatal("no link")
			}
			for k := range w.loop.clients.connections {
				if len(k.Output()) != 0 {
					t.Fatalf("%d bytes have not left", len(k.Output()))
				}
			}
			w.turn()
			c.close(w, p)
			p.write(crossing) // nobody has read it when the link is shut
			w.turn()
			if err := w.readsToTheEnd(p); err != nil {
				t.Errorf("after %d bytes: %v", len(p.got), err)
			}
			var m http1.Response
			if _, err := m.Parse(p.got, true); err != nil || m.StatusCode != 200 || len(m.Body) != size {
				t.Errorf("of the answer %d bytes came (%v)", len(p.got), err)
			}
			for _, e := range w.module.Received {
				if j, ok := e.(dispatch.Job); ok && j.ID > 1 {
					t.Error("a request that crossed the close was taken")
				}
			}
			p.close()
			if w.turn(); len(w.loop.clients.connections) != 0 || w.loop.clients.bufferedBytes != 0 {
				t.Errorf("%d links left with %d bytes", len(w.loop.clients.connections), w.loop.clients.bufferedBytes)
			}
		})
	}
}

// A request that was there before its link is shut is taken, and answered; one that comes on a link that is shut finds its
// end, and no reset.
func TestRequestsThatCrossAClose(t *testing.T) {
	for name, shut := range map[string]func(w *world){
		"told to close": func(w *world) { w.loop.Close() },
		"to make room": func(w *world) {
			for w.loop.clients.evict() {
			}
		},
		"idle": func(w *world) { // before the turn in which what has come is told
			w.now += requestReadTimeout + expiryInterval
			w.loop.UpdateNow()
			w.loop.clients.closeExpired()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(&modeltest.Steps{T: t})
			w.listens()
			before, after := w.connects(), w.connects()
			w.turn()
			w.now += evictionGrace
			w.turn()
			before.write([]byte(numbered(asks[6].text, 1)))
			shut(w)
			after.write([]byte(sized(2, 0)))
			w.turn()
			if got := before.answers(t); len(got) != 1 || got[0] != 200 {
				t.Errorf("answered %v", got)
			}
			if err := w.readsToTheEnd(after); err != nil || len(after.got) > 0 || w.loop.Requests.OpenCount() != 0 {
				t.Errorf("got %q, %v, %d queries taken", after.got, err, w.loop.Requests.OpenCount())
			}
		})
	}
}

// Told to close, a scheduler answers all that it has read, each request once and the last with the word that the link
// ends, however many had been sent ahead.
func TestCloseAnswersWhatWasRead(t *testing.T) {
	const requests = maxResponseSlots + 5
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	p := w.connects()
	w.turn()
	for n := range requests {
		p.write([]byte(sized(n, 0)))
	}
	w.settles()
	w.loop.Close()
	w.turn()
	for n := range maxResponseSlots {
		w.module.Next = append(w.module.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	w.loop.Requests.Wake()
	w.settles()
	got := p.answers(t)
	for n, status := range got {
		if want := map[bool]int{true: 500, false: 503}[n < maxResponseSlots]; status != want {
			t.Errorf("answer %d is %d, expected %d", n, status, want)
		}
	}
	if p.read(1); len(got) != requests || !p.ended || bytes.Count(p.got, []byte("Connection: close")) != 1 {
		t.Errorf("%d answers to %d requests, ended %v: %q", len(got), requests, p.ended, p.got)
	}
	if !w.loop.IsQuiet() {
		t.Error("not quiet once all is answered")
	}
}

// Whatever connects and stays silent, the links never hold more descriptors than they may, not even within a turn; each that
// comes is let in within a few turns, so that a query, a note and a question after readiness get through.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	w.listens()
	c := w.loop.clients
	const links = 64
	c.setLimits(links, 1<<20)
	query := w.connects()
	query.write([]byte(sized(1, 0)))
	w.turn()
	w.module.Next = append(w.module.Next, dispatch.Send{Job: 1, Worker: w.worker()})
	w.loop.Requests.Wake()
	w.turn()
	full := false
	turns := func(n int) {
		t.Helper()
		for range n {
			before := map[*clientConnection]bool{}
			for k := range c.connections {
				before[k] = true
			}
			w.oneTurn()
			full = full || c.activeCount() >= c.maxConnections
			held := len(before)
			for k := range c.connections {
				if !before[k] { // opened while those that ended in the same turn were there still
					held++
				}
			}
			if held > links {
				t.Fatalf("%d descriptors held, %d allowed", held, links)
			}
		}
	}
	var idle []*peer
	flood := func() {
		for range 3 * links {
			idle = append(idle, w.connects())
		}
		for n := range idle {
			if n%2 == 0 {
				idle[n].write([]byte(numbered(asks[6].text, n)))
			}
		}
	}
	flood()
	for range 8 {
		turns(4)
		w.now += evictionGrace / 4
	}
	if !full {
		t.Fatalf("%d links only", c.activeCount())
	}
	up, note := w.connects(), w.connects()
	up.write([]byte(numbered(asks[6].text, 1)))
	said := `{"id":"1","from":"s-0","state":"done","result":"r"}`
	note.write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(said), said))
	flood()
	for range 8 {
		turns(links)
		w.now += evictionGrace
	}
	for name, p := range map[string]*peer{"readiness": up, "query": query} {
		if got := p.answers(t); len(got) != 1 || got[0] != 200 {
			t.Errorf("%s: answered %v", name, got)
		}
	}
	if got := note.answers(t); len(got) != 1 || got[0] != 204 {
		t.Errorf("note: answered %v", got)
	}
}

// A side link that its peer has ended, and that still has an answer to take, leaves the loop in peace, and ends with that
// answer.
func TestSideLinksEndOnce(t *testing.T) {
	w := withStatus(&modeltest.Steps{T: t})
	p := w.knock()
	for range 40 {
		p.write([]byte(strings.Repeat("GET /status/a HTTP/1.1\r\n\r\n", 20)))
		w.turn()
	}
	k := w.loop.status.connections.Front().Value.(*statusConnection)
	if p.halfCloses(); len(k.Output()) == 0 {
		t.Fatal("nothing waits to be read")
	}
	for range 100 { // up to where nobody reads on
		w.turn()
	}
	if n := w.readyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are told as ready, with nothing to be done", n)
	}
	if err := w.readsToTheEnd(p); err != nil || w.loop.status.connections.Len() != 0 {
		t.Errorf("read to the end: %v, %d links left", err, w.loop.status.connections.Len())
	}
	if n := bytes.Count(p.got, []byte("HTTP/1.1 200 ")); n != 800 {
		t.Errorf("%d answers to 800 requests", n)
	}
}

// An answer of which a client takes nothing for a while ends its link; one that it takes slowly does not.
func TestAnswersThatNobodyReadsEndTheLink(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	var peers []*peer
	for range 2 {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		for range 8 {
			p.write([]byte(strings.Repeat(numbered(asks[7].text, 1), 100)))
			w.turn()
		}
		if k := w.clientLink(fd); len(k.Output()) == 0 || len(k.Input()) > 0 {
			t.Fatalf("%d bytes wait to be read, %d to be looked at", len(k.Output()), len(k.Input()))
		}
		peers = append(peers, p)
	}
	slow, deaf := peers[0], peers[1]
	for w.loop.clients.bufferedBytes > 0 && len(w.loop.clients.connections) == 2 {
		w.now += responseUnreadTimeout / 2
		slow.read(6 << 10)
		w.turn()
	}
	for range 4 {
		slow.read(1 << 20)
		w.turn()
	}
	if deaf.read(1 << 20); !deaf.ended || slow.ended || len(w.loop.clients.connections) != 1 {
		t.Errorf("ended: the deaf one %v, the slow one %v", deaf.ended, slow.ended)
	}
}
