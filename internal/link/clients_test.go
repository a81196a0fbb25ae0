package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
)

// asks are the requests of a client, and the status that each gets; 0: it is a query, and waits.
var asks = []struct {
	text   string
	status int
	closes bool
}{
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: t\r\nContent-Length: 5\r\n\r\nhello", 0, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", 0, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: t\r\nX-Budget-Ms: soon\r\n\r\n", 400, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: t\r\nX-Budget-Ms: \r\n\r\n", 400, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: b\r\nX-Call-Id: #\r\nX-Caller: t\r\n\r\n", 400, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: u\r\n\r\n", 400, false},
	{"GET /up?# HTTP/1.1\r\n\r\n", 200, false},
	{"GET /other# HTTP/1.1\r\n\r\n", 404, false},
	{"GET /a HTTP/1.1\r\nX-Call-Id: #\r\n\r\n", 405, false},
	{"POST /v1/job-events HTTP/1.1\r\nContent-Length: 39\r\n\r\n{\"id\":\"x\",\"from\":\"dead\",\"state\":\"lost\"}", 204, false},
	{"POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]", 400, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nx-call-id: z\r\nX-Caller: t\r\n\r\n", 400, false},
	{"POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: #\r\nX-Caller: t\r\nIdempotency-Key: a b\r\n\r\n", 400, false},
	{"POST /a# HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n", 400, true},
	{"#POST nonsense\r\n\r\n", 400, true},
	{"POST /a# HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413, true},
}

func numbered(text string, n int) string { return strings.ReplaceAll(text, "#", fmt.Sprint(n)) }

// A client link answers each request exactly once and in turn, whatever the pieces it comes in and whichever is
// done first, closes when framing is lost, and tells when the client has gone.
func FuzzClientLink(f *testing.F) { modeltest.Fuzz(f, runClientLink) }

func runClientLink(s *modeltest.Steps) {
	w := newWorld(s)
	p, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	var (
		unsent string // of the request that is being written
		ask    = asks[0]
		due    []owed
		last   bool // the loop closes once all is answered
	)
	for n := 0; s.More() && !p.closed; n++ {
		switch what := s.Pick(12); {
		case what < 3 && unsent == "" && !last && len(due) < maxResponseSlots:
			ask = asks[s.Pick(len(asks))]
			unsent = numbered(ask.text, n)
			s.Record(ask.text[:min(len(ask.text), 60)])
		case what < 8 && unsent != "":
			i := min(len(unsent), 1+s.Pick(60))
			p.write([]byte(unsent[:i]))
			if unsent = unsent[i:]; unsent == "" {
				last = ask.closes
				due = append(due, owed{status: ask.status})
			}
			s.Record(fmt.Sprint("write ", i))
		case what < 10 && len(due) > 0:
			// The module answers any open query, whichever came first.
			if d := &due[s.Pick(len(due))]; d.status == 0 && s.Pick(2) == 0 {
				w.module.Next = append(w.module.Next, dispatch.Reject{Job: d.query, RetryAfter: time.Second})
				d.status = 503
			} else if d.status == 0 {
				w.module.Next = append(w.module.Next, dispatch.Fail{Job: d.query})
				d.status = 500
			}
			w.loop.Requests.DiscoveryFailed() // something to step for
			s.Record("answer")
		case what == 10 && unsent == "" && !last && s.Pick(4) == 0:
			_ = unix.Shutdown(p.fd, unix.SHUT_WR) // it still listens, so it is still owed its answers
			last = true
			s.Record("half-close")
		case what == 11 && s.Pick(6) == 0:
			p.close()
			s.Record("close")
		}
		w.now += time.Millisecond
		before := len(w.module.Received)
		w.turn()
		for _, e := range w.module.Received[before:] {
			if j, ok := e.(dispatch.Job); ok {
				s.Check(len(due) > 0 && due[len(due)-1] == owed{}, "query %d came of nothing", j.ID)
				due[len(due)-1].query = j.ID
			}
		}
		p.read(1 << 20)
		due = w.checkAnswers(p, due)
	}
	gone, open := 0, 0
	for _, e := range w.module.Received {
		if _, ok := e.(dispatch.ClientDisconnected); ok {
			gone++
		}
	}
	for _, d := range due {
		if d.status == 0 {
			open++
		}
	}
	s.Check(!p.closed && gone == 0 || p.closed && gone == open, "told gone %d times, %d queries open, closed %v", gone, open, p.closed)
	if w.now += lingerIdleTimeout + expiryInterval; last && len(due) == 0 && !p.closed {
		w.turn()
		p.read(1)
		s.Check(p.ended && len(w.loop.clients.connections) == 0, "not closed after the last answer")
	}
}

// owed is an answer that is due; status 0: once the module has given it.
type owed struct {
	status int
	query  uint64
}

// checkAnswers expects exactly the answers that are due by now, in turn, and returns what is owed still.
func (w *world) checkAnswers(p *peer, due []owed) []owed {
	for !p.closed && len(p.got) > 0 {
		if strings.HasPrefix(string(p.got), http1.ContinueResponse) {
			p.got = p.got[len(http1.ContinueResponse):]
			continue
		}
		var m http1.Response
		n, err := m.Parse(p.got, p.ended)
		w.Check(err == nil && len(due) > 0, "answer %q (%v), expected %v", p.got, err, due)
		w.Check(m.StatusCode == due[0].status, "status %d, expected %d", m.StatusCode, due[0].status)
		w.Check(m.StatusCode != 503 || string(m.Get("Retry-After")) == "1.000", "no Retry-After")
		due, p.got = due[1:], p.got[n:]
	}
	w.Check(p.closed || len(due) == 0 || due[0].status == 0, "no answer yet, expected %v", due)
	return due
}

// What is half sent, or never begun, or not read holds a descriptor: it does not for long. Who awaits an answer, or
// has had one and rests, is let be for as long as it takes.
func TestStalledLinksEnd(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	texts := map[string]string{
		"mute": "", "half": "POST /a HTTP/1.1\r\n", "bad": "\x00\r\n\r\n",
		"waiting": numbered(asks[0].text, 1), "resting": numbered(asks[6].text, 1), "again": numbered(asks[6].text, 1) + "GET /up",
	}
	peers := map[string]*peer{}
	for name, text := range texts {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		peers[name] = p
	}
	w.turn()
	w.now += requestReadTimeout + expiryInterval
	w.turn()
	for name, want := range map[string]string{
		"mute": "", "half": "HTTP/1.1 408 ", "bad": "HTTP/1.1 400 ",
		"waiting": "", "resting": "HTTP/1.1 200 ", "again": "HTTP/1.1 200 ",
	} {
		p := peers[name]
		p.read(1 << 10)
		lives := name == "waiting" || name == "resting"
		if !strings.HasPrefix(string(p.got), want) || p.ended == lives || name == "again" && !strings.Contains(string(p.got), " 408 ") {
			t.Errorf("%s: got %q, ended %v", name, p.got, p.ended)
		}
	}
	w.now += maxLingerTime
	w.turn()
	peers["resting"].write([]byte("GET /up")) // another request begins
	w.turn()
	w.now += expiryInterval
	w.turn()
	if peers["resting"].read(1 << 10); strings.Contains(string(peers["resting"].got), " 408 ") {
		t.Error("a request that has just begun was given up")
	}
	if left := len(w.loop.clients.connections); left != 2 {
		t.Errorf("%d links left, expected those of who waits and who rests", left)
	}
}

// A refused peer that sends on must not have its answer swallowed by a reset: what it sends is taken in, unread, for
// a while, and costs no memory.
func TestRefusedPeersAreDrained(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	p, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	p.write([]byte("POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"))
	chunk := make([]byte, 4<<10)
	for began := w.now; w.now-began < maxLingerTime-expiryInterval; w.now += lingerIdleTimeout / 2 {
		w.turn()
		for range 20 {
			if _, err := unix.Write(p.fd, chunk); err != nil {
				t.Fatalf("cut after %v while sending: %v", w.now-began, err)
			}
			w.turn()
		}
	}
	if p.read(1 << 10); !strings.HasPrefix(string(p.got), "HTTP/1.1 413 ") || w.loop.clients.bufferedBytes > 2*eventloop.MaxIdleBuffer {
		t.Errorf("got %q, %d bytes held", p.got, w.loop.clients.bufferedBytes)
	}
	w.now += lingerIdleTimeout + expiryInterval
	if w.turn(); len(w.loop.clients.connections) != 0 {
		t.Error("lingers on")
	}
}

// However many half requests come, and however much is answered that nobody reads, buffers stay within their
// budget, and a usual query is served.
func TestBuffersStayWithinBudget(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	c := w.loop.clients
	c.maxBufferedBytes = 300 << 10
	for range 20 {
		p, fd := w.pair()
		c.addConnection(fd, netip.AddrPort{})
		p.write([]byte("POST /a HTTP/1.1\r\nContent-Length: 65000\r\n\r\n"))
		for range 12 {
			p.write(make([]byte, 5000))
			w.turn()
		}
	}
	deaf, fd := w.pair()
	c.addConnection(fd, netip.AddrPort{})
	for range 400 {
		deaf.write([]byte(strings.Repeat(numbered(asks[7].text, 1), 100)))
		w.turn()
	}
	if most := c.maxBufferedBytes + 6*http1.MaxBodySize; c.bufferedBytes > most {
		t.Errorf("%d bytes held, %d allowed", c.bufferedBytes, most)
	}
	usual, fd := w.pair()
	c.addConnection(fd, netip.AddrPort{})
	usual.write([]byte(numbered(asks[0].text, 1)))
	if w.turn(); w.loop.Requests.OpenCount() != 1 {
		t.Error("a usual query is not taken")
	}
	sum := 0
	for k := range c.connections {
		sum += cap(k.Input()) + cap(k.Output())
	}
	if sum != c.bufferedBytes {
		t.Errorf("%d bytes held, %d counted", sum, c.bufferedBytes)
	}
}

// A panic ends its link and no other.
func TestBrokenLinksEnd(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	good, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	bad, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	query := numbered(asks[0].text, 1)
	bad.write([]byte(query))
	w.turn()
	w.loop.Protect(w.clientLink(fd), func() { panic("scripted") })
	w.turn()
	good.write([]byte(numbered(asks[6].text, 2)))
	w.turn()
	good.read(1 << 10)
	if bad.read(1); !bad.ended || !strings.HasPrefix(string(good.got), "HTTP/1.1 200 ") {
		t.Errorf("after a panic: its link ended %v, another got %q", bad.ended, good.got)
	}
	if last := w.module.Received[len(w.module.Received)-1]; last != (dispatch.ClientDisconnected{Job: 1}) {
		t.Errorf("after a panic the module heard %v last", last)
	}
}

// Where descriptors run out, those make room first that never brought anything of use.
func TestStrangersMakeRoomFirst(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	var peers []*peer
	for _, text := range []string{
		numbered(asks[0].text, 1), numbered(asks[0].text, 2), numbered(asks[6].text, 1),
		numbered(asks[9].text, 1), numbered(asks[2].text, 1), "", "POST",
	} {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		w.turn()
		peers = append(peers, p)
	}
	w.module.Next = append(w.module.Next, dispatch.Fail{Job: 1}, dispatch.Fail{Job: 2})
	w.loop.Requests.DiscoveryFailed()
	w.turn()
	for n := range peers {
		if n == 1 { // a link that has just begun may be a usual client's
			w.now += evictionGrace
			w.turn()
		}
		if !w.loop.clients.evict() {
			t.Fatal("nothing made room")
		}
		w.turn()
		for i, p := range peers {
			p.read(1 << 10)
			if want := i >= 2 && i-2 <= n || i < 2 && n >= 5+i; p.ended != want {
				t.Errorf("after %d evictions link %d ended %v", n+1, i, p.ended)
			}
		}
	}
}

// Where descriptors run out, an idle link makes room, and one on which a request has just come is served first.
func TestIdleLinksMakeRoom(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	asking, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	resting, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	w.now += evictionGrace
	w.turn()
	asking.write([]byte(numbered(asks[0].text, 1)))
	if !w.loop.clients.evict() || w.loop.clients.evict() {
		t.Error("expected one link to make room, and one only")
	}
	w.turn()
	asking.read(1)
	if resting.read(1); asking.ended || !resting.ended {
		t.Errorf("closed: asking %v, resting %v", asking.ended, resting.ended)
	}
}

// Told to drain, a scheduler serves on, on the links that clients have. Told to close, it ends links between queries,
// answers what is in hand on links that then end, and refuses what comes. Quiet tells when all is out. What came late
// and is still open is answered when time is up; what came before that has its time.
func TestDrain(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	connect := func(text string) *peer {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		w.turn()
		return p
	}
	answered := func(p *peer, status int, closes bool) {
		t.Helper()
		var m http1.Response
		p.read(1 << 10)
		if _, err := m.Parse(p.got, true); err != nil || m.StatusCode != status || m.KeepAlive == closes {
			t.Errorf("answered %q (%v)", p.got, err)
		}
		p.got = nil
	}
	resting := connect(numbered(asks[6].text, 1))
	answered(resting, 200, false)
	early := connect(numbered(asks[0].text, 1))
	w.loop.Drain()
	w.now += time.Second
	w.turn()
	resting.write([]byte(numbered(asks[0].text, 2)))
	w.turn()
	w.module.Next = append(w.module.Next, dispatch.Reject{Job: 2, RetryAfter: time.Second})
	w.loop.Requests.DiscoveryFailed()
	w.turn()
	answered(resting, 503, false)
	answered(connect(numbered(asks[6].text, 1)), 503, false)
	late := connect(numbered(asks[0].text, 3))
	w.loop.Close()
	w.turn()
	if resting.read(1); !resting.ended || w.loop.IsQuiet() {
		t.Errorf("resting link ended %v, quiet %v", resting.ended, w.loop.IsQuiet())
	}
	answered(connect(numbered(asks[0].text, 4)), 503, true)
	w.loop.FinishRequestsSince(time.Second / 2)
	w.turn()
	answered(late, 503, true)
	if early.read(1); len(early.got) > 0 || w.loop.IsQuiet() {
		t.Errorf("an early query got %q, quiet %v", early.got, w.loop.IsQuiet())
	}
	w.loop.FinishRequestsSince(2 * time.Second)
	w.turn()
	if answered(early, 503, true); !w.loop.IsQuiet() {
		t.Error("not quiet once all is answered")
	}
}

// Notes end queries, so queries may not take up every link: one too many is refused, and a note still comes in.
func TestNotesComeInWhenFull(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	var peers []*peer
	for n := range w.loop.clients.maxRequests + 1 {
		p, fd := w.pair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(numbered(asks[0].text, n)))
		peers = append(peers, p)
		w.turn()
	}
	last, first := peers[len(peers)-1], peers[0]
	if last.read(1 << 10); !strings.HasPrefix(string(last.got), "HTTP/1.1 503 ") {
		t.Errorf("one query too many got %q", last.got)
	}
	if first.read(1); len(first.got) > 0 || w.loop.clients.maxRequests >= w.loop.clients.maxConnections {
		t.Errorf("a query in hand got %q", first.got)
	}
}

// Out of descriptors, the loop waits a moment and then accepts again: what came meanwhile is served, not lost.
func TestAcceptsAgainAfterEMFILE(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	var err error
	if w.loop.clients.fd, err = w.loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), w.loop.clients); err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{fd: fd}
	defer p.close()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	_, sa := eventloop.Sockaddr(w.loop.Addr())
	connecting := unix.Connect(fd, sa)
	w.turn()
	held := len(w.loop.clients.connections)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if connecting != nil && !errors.Is(connecting, unix.EINPROGRESS) || held != 0 {
		t.Fatalf("connecting: %v, %d links without descriptors", connecting, held)
	}
	w.now += acceptRetryDelay
	w.turn()
	if len(w.loop.clients.connections) != 1 {
		t.Errorf("%d links once there are descriptors again", len(w.loop.clients.connections))
	}
}

// The front sends clients to a process once its /up answers 200, so one whose requests would wait for the first list says 503.
func TestUp_OnlyOnceNothingAwaitsTheFirstEndpointList(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t})
	p, fd := w.pair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	up := func(status, unready string) {
		t.Helper()
		p.got = nil
		p.write([]byte("GET /up HTTP/1.1\r\n\r\n"))
		w.turn()
		if p.read(4096); !strings.HasPrefix(string(p.got), "HTTP/1.1 "+status) || w.loop.notReadyReason() != unready {
			t.Errorf("%q, unready %q, expected %s, %q", p.got, w.loop.notReadyReason(), status, unready)
		}
	}
	up("200", "")
	w.loop.Requests.AwaitEndpoints(w.loop.Now() + time.Hour)
	up("503", "no word from discovery yet")
	w.loop.Requests.DiscoveryFailed()
	up("200", "")
}
