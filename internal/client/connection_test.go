package client

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
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
)

// clientRequest is a request, and the response that a client may expect.
type clientRequest struct {
	text   string
	status int  // 0: it is admitted, and the policy decides
	closes bool // the connection ends after the response
}

// clientRequests are the requests that clients send in tests; # stands for a number.
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

// FuzzClientConnection checks that a connection responds to each request exactly once and in order, whatever parts the requests
// arrive in and whichever is completed first, that it closes on malformed framing, and that it reports the disconnect of the
// client.
func FuzzClientConnection(f *testing.F) { modeltest.Fuzz(f, runClientConnection) }

// clientModel is a client with one connection, and the responses that it expects.
type clientModel struct {
	*fixture
	peer     *eventlooptest.Peer
	unsent   string // the rest of the request that is being written
	next     clientRequest
	expected []expectedResponse
	last     bool // no further request is sent: the loop closes the connection after the last response
}

func runClientConnection(s *modeltest.Steps) {
	f := newFixture(s)
	p := f.openConnection()
	m := &clientModel{fixture: f, peer: p, next: clientRequests[0]}
	for n := 0; s.More() && !p.Closed; n++ {
		m.act(n, s.Pick(12))
		f.Time += time.Millisecond
		before := len(f.policy.Received)
		f.RunIterations()
		m.matchJobs(f.policy.Received[before:])
		p.Read(1 << 20)
		m.expected = f.checkResponses(p, m.expected)
	}
	m.checkDisconnected()
	f.Time += lingerIdleTimeout + expiryInterval
	if m.last && len(m.expected) == 0 && !p.Closed {
		f.RunIterations()
		p.Read(1)
		s.Check(p.Ended && len(f.listener.connections) == 0, "not closed after the last response")
	}
}

// act makes the client or the policy act once.
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
		m.peer.CloseWrite() // it still reads, and expects the responses
		m.last = true
		m.Record("half-close")
	case what == 11 && m.Pick(6) == 0:
		m.peer.Close()
		m.Record("close")
	}
}

func (m *clientModel) writePart() {
	size := min(len(m.unsent), 1+m.Pick(60))
	m.peer.Write([]byte(m.unsent[:size]))
	m.unsent = m.unsent[size:]
	if m.unsent == "" {
		m.last = m.next.closes
		m.expected = append(m.expected, expectedResponse{status: m.next.status})
	}
	m.Record(fmt.Sprint("write ", size))
}

// respond makes the policy reject or fail any open request.
func (m *clientModel) respond() {
	if d := &m.expected[m.Pick(len(m.expected))]; d.status == 0 && m.Pick(2) == 0 {
		m.policy.Next = append(m.policy.Next, dispatch.Reject{Job: d.job, RetryAfter: time.Second})
		d.status = 503
	} else if d.status == 0 {
		m.policy.Next = append(m.policy.Next, dispatch.Fail{Job: d.job})
		d.status = 500
	}
	m.table.DiscoveryFailed() // makes a step due
	m.Record("respond")
}

// matchJobs checks that the jobs among the events belong to the request that was written last.
func (m *clientModel) matchJobs(events []dispatch.Event) {
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			last := len(m.expected) - 1
			m.Check(last >= 0 && m.expected[last] == expectedResponse{}, "job %d belongs to no request", j.ID)
			m.expected[last].job = j.ID
		}
	}
}

// checkDisconnected checks that the policy has received one event for each open request of a client that has disconnected.
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
	closed := m.peer.Closed
	m.Check(!closed && disconnected == 0 || closed && disconnected == open, "%d disconnects reported, %d requests open, closed %v", disconnected, open, closed)
}

// expectedResponse is a response that the client expects; status 0: the policy has not decided yet.
type expectedResponse struct {
	status int
	job    uint64
}

// checkResponses checks that the responses that are due have been received, in order, and returns those that are not due yet.
func (f *fixture) checkResponses(p *eventlooptest.Peer, expected []expectedResponse) []expectedResponse {
	for !p.Closed && len(p.Received) > 0 {
		if strings.HasPrefix(string(p.Received), http1.ContinueResponse) {
			p.Received = p.Received[len(http1.ContinueResponse):]
			continue
		}
		var m http1.Response
		n, err := m.Parse(p.Received, p.Ended)
		f.Check(err == nil && len(expected) > 0, "response %q (%v), expected %v", p.Received, err, expected)
		f.Check(m.StatusCode == expected[0].status, "status %d, expected %d", m.StatusCode, expected[0].status)
		f.Check(m.StatusCode != 503 || string(m.Get("Retry-After")) == "1.000", "no Retry-After")
		expected, p.Received = expected[1:], p.Received[n:]
	}
	f.Check(p.Closed || len(expected) == 0 || expected[0].status == 0, "no response yet, expected %v", expected)
	return expected
}

// A connection is closed after requestReadTimeout if no request has begun on it, or if its request is incomplete or malformed. A
// connection that awaits a response, or is idle after a response, stays open.
func TestStalledConnectionsEnd(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	texts := map[string]string{
		"silent": "", "half": "POST /a HTTP/1.1\r\n", "bad": "\x00\r\n\r\n",
		"waiting": numberedRequest(clientRequests[0].text, 1), "idle": numberedRequest(clientRequests[6].text, 1), "again": numberedRequest(clientRequests[6].text, 1) + "GET /up",
	}
	peers := map[string]*eventlooptest.Peer{}
	for name, text := range texts {
		p := f.openConnection()
		p.Write([]byte(text))
		peers[name] = p
	}
	f.RunIterations()
	f.Time += requestReadTimeout + expiryInterval
	f.RunIterations()
	for name, want := range map[string]string{
		"silent": "", "half": "HTTP/1.1 408 ", "bad": "HTTP/1.1 400 ",
		"waiting": "", "idle": "HTTP/1.1 200 ", "again": "HTTP/1.1 200 ",
	} {
		p := peers[name]
		p.Read(1 << 10)
		staysOpen := name == "waiting" || name == "idle"
		if !strings.HasPrefix(string(p.Received), want) || p.Ended == staysOpen || name == "again" && !strings.Contains(string(p.Received), " 408 ") {
			t.Errorf("%s: got %q, ended %v", name, p.Received, p.Ended)
		}
	}
	f.Time += maxLingerTime
	f.RunIterations()
	peers["idle"].Write([]byte("GET /up")) // another request begins
	f.RunIterations()
	f.Time += expiryInterval
	f.RunIterations()
	if peers["idle"].Read(1 << 10); strings.Contains(string(peers["idle"].Received), " 408 ") {
		t.Error("a request that has just begun was rejected")
	}
	if remaining := len(f.listener.connections); remaining != 2 {
		t.Errorf("%d connections left, expected the waiting and the idle one", remaining)
	}
}

// A client whose request is rejected while it is still sending receives the response, and no reset: its input is discarded, for a
// limited time and without being buffered.
func TestInputAfterRejectionIsDiscarded(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	p := f.openConnection()
	p.Write([]byte("POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"))
	chunk := make([]byte, 4<<10)
	for start := f.Time; f.Time-start < maxLingerTime-expiryInterval; f.Time += lingerIdleTimeout / 2 {
		f.RunIterations()
		for range 20 {
			if _, err := unix.Write(p.FD, chunk); err != nil {
				t.Fatalf("closed after %v while the client sends: %v", f.Time-start, err)
			}
			f.RunIterations()
		}
	}
	if p.Read(1 << 10); !strings.HasPrefix(string(p.Received), "HTTP/1.1 413 ") || f.listener.bufferedBytes > 2*eventloop.MaxIdleBuffer {
		t.Errorf("got %q, expected 413; %d bytes buffered", p.Received, f.listener.bufferedBytes)
	}
	f.Time += lingerIdleTimeout + expiryInterval
	if f.RunIterations(); len(f.listener.connections) != 0 {
		t.Error("the connection still lingers")
	}
}

// Partial requests and unread responses don't exceed the limit of buffers, and another request is still admitted.
func TestBuffersStayWithinLimit(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	listener := f.listener
	listener.maxBufferedBytes = 300 << 10
	for range 20 {
		p := f.openConnection()
		p.Write([]byte("POST /a HTTP/1.1\r\nContent-Length: 65000\r\n\r\n"))
		for range 12 {
			p.Write(make([]byte, 5000))
			f.RunIterations()
		}
	}
	nonReader := f.openConnection()
	for range 400 {
		nonReader.Write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
		f.RunIterations()
	}
	if limit := listener.maxBufferedBytes + 6*http1.MaxBodySize; listener.bufferedBytes > limit {
		t.Errorf("%d bytes buffered, %d allowed", listener.bufferedBytes, limit)
	}
	ordinary := f.openConnection()
	ordinary.Write([]byte(numberedRequest(clientRequests[0].text, 1)))
	if f.RunIterations(); f.table.OpenCount() != 1 {
		t.Error("an ordinary request is not admitted")
	}
	sum := 0
	for conn := range listener.connections {
		sum += cap(conn.Input()) + cap(conn.Output())
	}
	if sum != listener.bufferedBytes {
		t.Errorf("%d bytes buffered, %d counted", sum, listener.bufferedBytes)
	}
}

// Guards against a process being killed for memory by many clients that each send ahead a little: each added a read to full buffers.
func TestReadAheadOfManyClientsStaysWithinLimit(t *testing.T) {
	const clients = 200
	f := newFixture(&modeltest.Steps{T: t})
	f.listener.SetLimits(testLimits(2 * clients))
	for n := range clients {
		peer := f.openConnection()
		peer.Write([]byte(requestOfSize(n, 0)))
		f.RunIterations()
		peer.Write([]byte(requestOfSize(clients+n, http1.MaxBodySize)))
		f.RunIterations()
	}
	limit := f.listener.maxBufferedBytes + http1.MaxBodySize + 2*eventloop.MaxIdleBuffer*clients
	if f.listener.bufferedBytes > limit {
		t.Errorf("%d bytes buffered, %d allowed", f.listener.bufferedBytes, limit)
	}
	if f.table.OpenCount() < clients {
		t.Errorf("%d requests are open, expected that of each of %d clients", f.table.OpenCount(), clients)
	}
}

// A panic in the handling of a connection ends that connection and no other.
func TestPanicEndsOneConnection(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	good := f.openConnection()
	bad, fd := f.openDescriptor(netip.AddrPort{})
	request := numberedRequest(clientRequests[0].text, 1)
	bad.Write([]byte(request))
	f.RunIterations()
	f.Protect(f.connection(fd), func() { panic("scripted") })
	f.RunIterations()
	good.Write([]byte(numberedRequest(clientRequests[6].text, 2)))
	f.RunIterations()
	good.Read(1 << 10)
	if bad.Read(1 << 10); !bad.Ended || !strings.HasPrefix(string(good.Received), "HTTP/1.1 200 ") {
		t.Errorf("after a panic: its connection ended %v, another got %q", bad.Ended, good.Received)
	}
	if got := statuses(t, bad); len(got) != 1 || got[0] != 500 {
		t.Errorf("after a panic its client got %v", got)
	}
	if last := f.policy.Received[len(f.policy.Received)-1]; last != (dispatch.ClientDisconnected{Job: 1}) {
		t.Errorf("after a panic the policy received %v last", last)
	}
}

// Connections without a useful request are evicted first.
func TestConnectionsWithoutRequestAreEvictedFirst(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	var peers []*eventlooptest.Peer
	for _, text := range []string{
		numberedRequest(clientRequests[0].text, 1), numberedRequest(clientRequests[0].text, 2), numberedRequest(clientRequests[6].text, 1),
		numberedRequest(clientRequests[9].text, 1), numberedRequest(clientRequests[2].text, 1), "", "POST",
	} {
		p := f.openConnection()
		p.Write([]byte(text))
		f.RunIterations()
		peers = append(peers, p)
	}
	f.policy.Next = append(f.policy.Next, dispatch.Fail{Job: 1}, dispatch.Fail{Job: 2})
	f.table.DiscoveryFailed()
	f.RunIterations()
	for n := range peers {
		if n == 1 { // new connections are not evicted within evictionGrace
			f.Time += evictionGrace
			f.RunIterations()
		}
		if !f.listener.evict() {
			t.Fatal("nothing was evicted")
		}
		f.RunIterations()
		for i, p := range peers {
			p.Read(1 << 10)
			if want := i >= 2 && i-2 <= n || i < 2 && n >= 5+i; p.Ended != want {
				t.Errorf("after %d evictions connection %d ended %v", n+1, i, p.Ended)
			}
		}
	}
}

// Idle connections are evicted, but not one on which a request has just arrived.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	requesting := f.openConnection()
	idle := f.openConnection()
	f.Time += evictionGrace
	f.RunIterations()
	requesting.Write([]byte(numberedRequest(clientRequests[0].text, 1)))
	if !f.listener.evict() || f.listener.evict() {
		t.Error("expected one connection to be evicted, and one only")
	}
	f.RunIterations()
	requesting.Read(1)
	if idle.Read(1); requesting.Ended || !idle.Ended {
		t.Errorf("closed: requesting %v, idle %v", requesting.Ended, idle.Ended)
	}
}

// Requests may not use up all connections: they are completed by callbacks, which need connections too. A request above the limit
// is rejected.
func TestConnectionsAreReservedForCallbacks(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	var peers []*eventlooptest.Peer
	for n := range f.listener.maxRequests + 1 {
		p := f.openConnection()
		p.Write([]byte(numberedRequest(clientRequests[0].text, n)))
		peers = append(peers, p)
		f.RunIterations()
	}
	last, first := peers[len(peers)-1], peers[0]
	if last.Read(1 << 10); !strings.HasPrefix(string(last.Received), "HTTP/1.1 503 ") {
		t.Errorf("a request above the limit got %q", last.Received)
	}
	if first.Read(1); len(first.Received) > 0 || f.listener.maxRequests >= f.listener.maxConnections {
		t.Errorf("a request in flight got %q, expected no response yet", first.Received)
	}
}

// While the process has no descriptor left the listener pauses, and then accepts again: a connection that waits meanwhile is not
// lost.
func TestAcceptsAgainAfterEMFILE(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	if err := f.listener.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &eventlooptest.Peer{FD: fd}
	defer p.Close()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	_, sockaddr := eventloop.Sockaddr(f.listener.Addr())
	connecting := unix.Connect(fd, sockaddr)
	f.RunIterations()
	accepted := len(f.listener.connections)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if connecting != nil && !errors.Is(connecting, unix.EINPROGRESS) || accepted != 0 {
		t.Fatalf("connect: %v, %d connections accepted without descriptors", connecting, accepted)
	}
	f.Time += acceptRetryDelay
	f.RunIterations()
	if len(f.listener.connections) != 1 {
		t.Errorf("%d connections once there are descriptors again", len(f.listener.connections))
	}
}
