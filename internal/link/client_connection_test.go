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

// clientRequest is what a client may write.
type clientRequest struct {
	text   string
	status int // 0: it is admitted, and waits
	closes bool
}

// clientRequests are the requests of a client.
var clientRequests = []clientRequest{
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

func numberedRequest(text string, n int) string { return strings.ReplaceAll(text, "#", fmt.Sprint(n)) }

// A client connection answers each request exactly once and in order, whatever the pieces it comes in and whichever is
// done first, closes when framing is lost, and tells when the client has gone.
func FuzzClientConnection(f *testing.F) { modeltest.Fuzz(f, runClientConnection) }

// clientModel is a client with one connection, and the responses that it expects.
type clientModel struct {
	*harness
	peer     *peer
	unsent   string // of the request that is being written
	next     clientRequest
	expected []expectedResponse
	last     bool // the loop closes the connection once all is answered
}

func runClientConnection(s *modeltest.Steps) {
	w := newHarness(s)
	p, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	m := &clientModel{harness: w, peer: p, next: clientRequests[0]}
	for n := 0; s.More() && !p.closed; n++ {
		m.act(n, s.Pick(12))
		w.now += time.Millisecond
		before := len(w.policy.Received)
		w.runIterations()
		m.matchJobs(w.policy.Received[before:])
		p.read(1 << 20)
		m.expected = w.checkResponses(p, m.expected)
	}
	m.checkDisconnected()
	w.now += lingerIdleTimeout + expiryInterval
	if m.last && len(m.expected) == 0 && !p.closed {
		w.runIterations()
		p.read(1)
		s.Check(p.ended && len(w.loop.clients.connections) == 0, "not closed after the last answer")
	}
}

// act does something as the client, or as the policy.
func (m *clientModel) act(n, what int) {
	switch {
	case what < 3 && m.unsent == "" && !m.last && len(m.expected) < maxResponseSlots:
		m.next = clientRequests[m.Pick(len(clientRequests))]
		m.unsent = numberedRequest(m.next.text, n)
		m.Record(m.next.text[:min(len(m.next.text), 60)])
	case what < 8 && m.unsent != "":
		m.writePart()
	case what < 10 && len(m.expected) > 0:
		m.respond()
	case what == 10 && m.unsent == "" && !m.last && m.Pick(4) == 0:
		m.peer.closeWrite() // it still listens, so it is still owed its answers
		m.last = true
		m.Record("half-close")
	case what == 11 && m.Pick(6) == 0:
		m.peer.close()
		m.Record("close")
	}
}

func (m *clientModel) writePart() {
	size := min(len(m.unsent), 1+m.Pick(60))
	m.peer.write([]byte(m.unsent[:size]))
	m.unsent = m.unsent[size:]
	if m.unsent == "" {
		m.last = m.next.closes
		m.expected = append(m.expected, expectedResponse{status: m.next.status})
	}
	m.Record(fmt.Sprint("write ", size))
}

// respond has the policy answer any open request, whichever came first.
func (m *clientModel) respond() {
	if d := &m.expected[m.Pick(len(m.expected))]; d.status == 0 && m.Pick(2) == 0 {
		m.policy.Next = append(m.policy.Next, dispatch.Reject{Job: d.job, RetryAfter: time.Second})
		d.status = 503
	} else if d.status == 0 {
		m.policy.Next = append(m.policy.Next, dispatch.Fail{Job: d.job})
		d.status = 500
	}
	m.loop.Requests.DiscoveryFailed() // something to step for
	m.Record("answer")
}

// matchJobs expects the jobs among events to be of the request that was written last.
func (m *clientModel) matchJobs(events []dispatch.Event) {
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			last := len(m.expected) - 1
			m.Check(last >= 0 && m.expected[last] == expectedResponse{}, "request %d came of nothing", j.ID)
			m.expected[last].job = j.ID
		}
	}
}

// checkDisconnected checks that the policy has received an event for a client that has gone, once for each open request.
func (m *clientModel) checkDisconnected() {
	disconnected, open := 0, 0
	for _, e := range m.policy.Received {
		if _, ok := e.(dispatch.ClientDisconnected); ok {
			disconnected++
		}
	}
	for _, d := range m.expected {
		if d.status == 0 {
			open++
		}
	}
	closed := m.peer.closed
	m.Check(!closed && disconnected == 0 || closed && disconnected == open, "told gone %d times, %d requests open, closed %v", disconnected, open, closed)
}

// expectedResponse is a response that is due; status 0: once the policy has decided.
type expectedResponse struct {
	status int
	job    uint64
}

// checkResponses expects exactly the answers that are due by now, in order, and returns what is owed still.
func (w *harness) checkResponses(p *peer, expected []expectedResponse) []expectedResponse {
	for !p.closed && len(p.received) > 0 {
		if strings.HasPrefix(string(p.received), http1.ContinueResponse) {
			p.received = p.received[len(http1.ContinueResponse):]
			continue
		}
		var m http1.Response
		n, err := m.Parse(p.received, p.ended)
		w.Check(err == nil && len(expected) > 0, "answer %q (%v), expected %v", p.received, err, expected)
		w.Check(m.StatusCode == expected[0].status, "status %d, expected %d", m.StatusCode, expected[0].status)
		w.Check(m.StatusCode != 503 || string(m.Get("Retry-After")) == "1.000", "no Retry-After")
		expected, p.received = expected[1:], p.received[n:]
	}
	w.Check(p.closed || len(expected) == 0 || expected[0].status == 0, "no answer yet, expected %v", expected)
	return expected
}

// What is half sent, or never begun, or not read holds a descriptor: it does not for long. Who awaits an answer, or
// has had one and rests, is let be for as long as it takes.
func TestStalledConnectionsEnd(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	texts := map[string]string{
		"mute": "", "half": "POST /a HTTP/1.1\r\n", "bad": "\x00\r\n\r\n",
		"waiting": numberedRequest(clientRequests[0].text, 1), "resting": numberedRequest(clientRequests[6].text, 1), "again": numberedRequest(clientRequests[6].text, 1) + "GET /up",
	}
	peers := map[string]*peer{}
	for name, text := range texts {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		peers[name] = p
	}
	w.runIterations()
	w.now += requestReadTimeout + expiryInterval
	w.runIterations()
	for name, want := range map[string]string{
		"mute": "", "half": "HTTP/1.1 408 ", "bad": "HTTP/1.1 400 ",
		"waiting": "", "resting": "HTTP/1.1 200 ", "again": "HTTP/1.1 200 ",
	} {
		p := peers[name]
		p.read(1 << 10)
		lives := name == "waiting" || name == "resting"
		if !strings.HasPrefix(string(p.received), want) || p.ended == lives || name == "again" && !strings.Contains(string(p.received), " 408 ") {
			t.Errorf("%s: got %q, ended %v", name, p.received, p.ended)
		}
	}
	w.now += maxLingerTime
	w.runIterations()
	peers["resting"].write([]byte("GET /up")) // another request begins
	w.runIterations()
	w.now += expiryInterval
	w.runIterations()
	if peers["resting"].read(1 << 10); strings.Contains(string(peers["resting"].received), " 408 ") {
		t.Error("a request that has just begun was given up")
	}
	if remaining := len(w.loop.clients.connections); remaining != 2 {
		t.Errorf("%d connections left, expected those of who waits and who rests", remaining)
	}
}

// A refused peer that sends on must not have its answer swallowed by a reset: what it sends is taken in, unread, for
// a while, and costs no memory.
func TestInputAfterRejectionIsDiscarded(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	p, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	p.write([]byte("POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"))
	chunk := make([]byte, 4<<10)
	for began := w.now; w.now-began < maxLingerTime-expiryInterval; w.now += lingerIdleTimeout / 2 {
		w.runIterations()
		for range 20 {
			if _, err := unix.Write(p.fd, chunk); err != nil {
				t.Fatalf("cut after %v while sending: %v", w.now-began, err)
			}
			w.runIterations()
		}
	}
	if p.read(1 << 10); !strings.HasPrefix(string(p.received), "HTTP/1.1 413 ") || w.loop.clients.bufferedBytes > 2*eventloop.MaxIdleBuffer {
		t.Errorf("got %q, %d bytes held", p.received, w.loop.clients.bufferedBytes)
	}
	w.now += lingerIdleTimeout + expiryInterval
	if w.runIterations(); len(w.loop.clients.connections) != 0 {
		t.Error("lingers on")
	}
}

// However many half requests come, and however much is answered that nobody reads, buffers stay within their
// budget, and a usual request is served.
func TestBuffersStayWithinBudget(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	c := w.loop.clients
	c.maxBufferedBytes = 300 << 10
	for range 20 {
		p, fd := w.socketPair()
		c.addConnection(fd, netip.AddrPort{})
		p.write([]byte("POST /a HTTP/1.1\r\nContent-Length: 65000\r\n\r\n"))
		for range 12 {
			p.write(make([]byte, 5000))
			w.runIterations()
		}
	}
	deaf, fd := w.socketPair()
	c.addConnection(fd, netip.AddrPort{})
	for range 400 {
		deaf.write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
		w.runIterations()
	}
	if most := c.maxBufferedBytes + 6*http1.MaxBodySize; c.bufferedBytes > most {
		t.Errorf("%d bytes held, %d allowed", c.bufferedBytes, most)
	}
	usual, fd := w.socketPair()
	c.addConnection(fd, netip.AddrPort{})
	usual.write([]byte(numberedRequest(clientRequests[0].text, 1)))
	if w.runIterations(); w.loop.Requests.OpenCount() != 1 {
		t.Error("a usual request is not taken")
	}
	sum := 0
	for k := range c.connections {
		sum += cap(k.Input()) + cap(k.Output())
	}
	if sum != c.bufferedBytes {
		t.Errorf("%d bytes held, %d counted", sum, c.bufferedBytes)
	}
}

// A panic ends its connection and no other.
func TestPanicEndsItsConnection(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	good, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	bad, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	request := numberedRequest(clientRequests[0].text, 1)
	bad.write([]byte(request))
	w.runIterations()
	w.loop.Protect(w.clientConnection(fd), func() { panic("scripted") })
	w.runIterations()
	good.write([]byte(numberedRequest(clientRequests[6].text, 2)))
	w.runIterations()
	good.read(1 << 10)
	if bad.read(1 << 10); !bad.ended || !strings.HasPrefix(string(good.received), "HTTP/1.1 200 ") {
		t.Errorf("after a panic: its connection ended %v, another got %q", bad.ended, good.received)
	}
	if got := bad.statuses(t); len(got) != 1 || got[0] != 500 {
		t.Errorf("after a panic its client was answered %v", got)
	}
	if last := w.policy.Received[len(w.policy.Received)-1]; last != (dispatch.ClientDisconnected{Job: 1}) {
		t.Errorf("after a panic the policy heard %v last", last)
	}
}

// Where descriptors run out, those make room first that never brought anything of use.
func TestUselessConnectionsAreEvictedFirst(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	var peers []*peer
	for _, text := range []string{
		numberedRequest(clientRequests[0].text, 1), numberedRequest(clientRequests[0].text, 2), numberedRequest(clientRequests[6].text, 1),
		numberedRequest(clientRequests[9].text, 1), numberedRequest(clientRequests[2].text, 1), "", "POST",
	} {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		w.runIterations()
		peers = append(peers, p)
	}
	w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: 1}, dispatch.Fail{Job: 2})
	w.loop.Requests.DiscoveryFailed()
	w.runIterations()
	for n := range peers {
		if n == 1 { // a connection that has just begun may be a usual client's
			w.now += evictionGrace
			w.runIterations()
		}
		if !w.loop.clients.evict() {
			t.Fatal("nothing made room")
		}
		w.runIterations()
		for i, p := range peers {
			p.read(1 << 10)
			if want := i >= 2 && i-2 <= n || i < 2 && n >= 5+i; p.ended != want {
				t.Errorf("after %d evictions connection %d ended %v", n+1, i, p.ended)
			}
		}
	}
}

// Where descriptors run out, an idle connection makes room, and one on which a request has just come is served first.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	asking, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	resting, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	w.now += evictionGrace
	w.runIterations()
	asking.write([]byte(numberedRequest(clientRequests[0].text, 1)))
	if !w.loop.clients.evict() || w.loop.clients.evict() {
		t.Error("expected one connection to make room, and one only")
	}
	w.runIterations()
	asking.read(1)
	if resting.read(1); asking.ended || !resting.ended {
		t.Errorf("closed: asking %v, resting %v", asking.ended, resting.ended)
	}
}

// Told to drain, a scheduler serves on, on the connections that clients have. Told to close, it ends connections between requests,
// answers what is in hand on connections that then end, and refuses what comes. Quiet tells when all is out. What came late
// and is still open is answered when time is up; what came before that has its time.
func TestDrain(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	connect := func(text string) *peer {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(text))
		w.runIterations()
		return p
	}
	answered := func(p *peer, status int, closes bool) {
		t.Helper()
		var m http1.Response
		p.read(1 << 10)
		if _, err := m.Parse(p.received, true); err != nil || m.StatusCode != status || m.KeepAlive == closes {
			t.Errorf("answered %q (%v)", p.received, err)
		}
		p.received = nil
	}
	resting := connect(numberedRequest(clientRequests[6].text, 1))
	answered(resting, 200, false)
	early := connect(numberedRequest(clientRequests[0].text, 1))
	w.loop.Drain()
	w.now += time.Second
	w.runIterations()
	resting.write([]byte(numberedRequest(clientRequests[0].text, 2)))
	w.runIterations()
	w.policy.Next = append(w.policy.Next, dispatch.Reject{Job: 2, RetryAfter: time.Second})
	w.loop.Requests.DiscoveryFailed()
	w.runIterations()
	answered(resting, 503, false)
	answered(connect(numberedRequest(clientRequests[6].text, 1)), 503, false)
	late := connect(numberedRequest(clientRequests[0].text, 3))
	w.loop.Close()
	w.runIterations()
	if resting.read(1); !resting.ended || w.loop.IsQuiet() {
		t.Errorf("resting connection ended %v, quiet %v", resting.ended, w.loop.IsQuiet())
	}
	answered(connect(numberedRequest(clientRequests[0].text, 4)), 503, true)
	w.loop.FinishRequestsSince(time.Second / 2)
	w.runIterations()
	answered(late, 503, true)
	if early.read(1); len(early.received) > 0 || w.loop.IsQuiet() {
		t.Errorf("an early request got %q, quiet %v", early.received, w.loop.IsQuiet())
	}
	w.loop.FinishRequestsSince(2 * time.Second)
	w.runIterations()
	if answered(early, 503, true); !w.loop.IsQuiet() {
		t.Error("not quiet once all is answered")
	}
}

// Callbacks end requests, so requests may not take up every connection: one too many is refused, and a callback still comes in.
func TestCallbacksComeInWhenFull(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	var peers []*peer
	for n := range w.loop.clients.maxRequests + 1 {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		p.write([]byte(numberedRequest(clientRequests[0].text, n)))
		peers = append(peers, p)
		w.runIterations()
	}
	last, first := peers[len(peers)-1], peers[0]
	if last.read(1 << 10); !strings.HasPrefix(string(last.received), "HTTP/1.1 503 ") {
		t.Errorf("one request too many got %q", last.received)
	}
	if first.read(1); len(first.received) > 0 || w.loop.clients.maxRequests >= w.loop.clients.maxConnections {
		t.Errorf("a request in hand got %q", first.received)
	}
}

// Out of descriptors, the loop waits a moment and then accepts again: what came meanwhile is served, not lost.
func TestAcceptsAgainAfterEMFILE(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	if err := w.loop.clients.acceptor.Listen(netip.MustParseAddrPort("127.0.0.1:0"), w.loop.clients); err != nil {
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
	w.runIterations()
	held := len(w.loop.clients.connections)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if connecting != nil && !errors.Is(connecting, unix.EINPROGRESS) || held != 0 {
		t.Fatalf("connecting: %v, %d connections without descriptors", connecting, held)
	}
	w.now += acceptRetryDelay
	w.runIterations()
	if len(w.loop.clients.connections) != 1 {
		t.Errorf("%d connections once there are descriptors again", len(w.loop.clients.connections))
	}
}

// The front sends clients to a process once its /up answers 200, so one whose requests would wait for the first list says 503.
func TestUpOnlyOnceNothingAwaitsTheFirstEndpointList(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	p, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	up := func(status, unready string) {
		t.Helper()
		p.received = nil
		p.write([]byte("GET /up HTTP/1.1\r\n\r\n"))
		w.runIterations()
		if p.read(4096); !strings.HasPrefix(string(p.received), "HTTP/1.1 "+status) || w.loop.notReadyReason() != unready {
			t.Errorf("%q, unready %q, expected %s, %q", p.received, w.loop.notReadyReason(), status, unready)
		}
	}
	up("200", "")
	w.loop.Requests.AwaitEndpoints(w.loop.Now() + time.Hour)
	up("503", "no word from discovery yet")
	w.loop.Requests.DiscoveryFailed()
	up("200", "")
}
