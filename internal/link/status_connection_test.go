package link

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/status"
)

// newStatusHarness is a world with a status call that knows one job, "a".
func newStatusHarness(s *modeltest.Steps) *harness {
	w := newHarness(s)
	table := status.New(config.Status{Retention: time.Minute, MaxEntries: 10}, requests.NameTable{Classes: []string{"a"}}, true, w.loop.Now)
	if err := w.loop.serveStatus(netip.MustParseAddrPort("127.0.0.1:0"), table); err != nil {
		s.T.Fatal(err)
	}
	w.loop.Requests.AddObserver(table)
	if _, err := w.loop.Requests.Admit(w.now, requests.Arrival{CallID: "a", Job: dispatch.Job{Remaining: time.Hour}}); err != nil {
		s.T.Fatal(err)
	}
	return w
}

// connectStatus connects to the status call.
func (w *harness) connectStatus() *peer {
	p, fd := w.socketPair()
	w.loop.status.addConnection(fd)
	return p
}

// statusCall is what may be asked at the status call.
type statusCall struct {
	text, want string
	closes     bool
}

// statusModel is a client of the status call with one connection.
type statusModel struct {
	*harness
	peer   *peer
	call   statusCall // the last one
	unsent string     // of it
	want   string     // all that is to come
	quiet  time.Duration
	last   bool // the connection ends with what is to come
}

// A status connection answers each request, in whatever pieces it comes, once and in order; one who asks for something else
// gets an error; connections are few, and one on which nothing goes on ends.
func FuzzStatusConnection(f *testing.F) {
	calls := []statusCall{
		{"GET /status/a HTTP/1.1\r\n\r\n", `200 {"id":"a","class":"a","state":"waiting"}`, false},
		{"GET /status/%61?x HTTP/1.1\r\nConnection: close\r\n\r\n", `200 {"id":"a","class":"a","state":"waiting"}`, true},
		{"GET /status/b HTTP/1.1\r\n\r\n", "404 no such id", false},
		{"GET /status/ HTTP/1.1\r\n\r\n", "404 no such path", false},
		{"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "404 no such path", false},
		{"POST /status/a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "405 GET only", false},
		{"nonsense\r\n\r\n", "400 not a request line", true},
	}
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		w := newStatusHarness(s)
		m := &statusModel{harness: w, peer: w.connectStatus(), call: calls[0]}
		w.runIterations()
		m.quiet = w.now
		for s.More() && !m.peer.ended {
			m.act(calls)
			w.runIterations()
			m.peer.read(1 << 16)
			m.check()
		}
	})
}

func (m *statusModel) act(calls []statusCall) {
	switch what := m.Pick(8); {
	case what < 2 && m.unsent == "" && !m.last:
		m.call = calls[m.Pick(len(calls))]
		m.unsent = m.call.text
	case what < 6 && m.unsent != "":
		m.writePart()
	case what == 6:
		m.now += time.Duration(m.Pick(8)) * 250 * time.Millisecond
		m.Record("wait")
	}
}

func (m *statusModel) writePart() {
	size := min(len(m.unsent), 1+m.Pick(40))
	m.peer.write([]byte(m.unsent[:size]))
	if len(m.unsent) == len(m.call.text) {
		m.quiet = m.now
	}
	m.unsent = m.unsent[size:]
	if m.unsent == "" {
		m.quiet, m.last = m.now, m.call.closes
		m.want += m.call.want + "\n"
	}
	m.Record(fmt.Sprint("write ", size, " of ", m.call.text))
}

// check expects all responses that are due, and the connection's end in time.
func (m *statusModel) check() {
	got := ""
	for _, part := range strings.Split(string(m.peer.received), "HTTP/1.1 ")[1:] {
		header, body, _ := strings.Cut(part, "\r\n\r\n")
		got += header[:4] + body
	}
	m.Check(got == m.want, "got %q, expected %q", got, m.want)
	isBegun := m.unsent != "" && len(m.unsent) < len(m.call.text)
	limit := statusIdleTimeout
	if m.last || isBegun {
		limit = statusRequestTimeout
	}
	age := m.now - m.quiet
	ended := m.peer.ended
	m.Check(!ended || m.last || age >= limit, "ended after %v", age)
	m.Check(ended || age < limit+managementExpiryInterval, "still there after %v", age)
	m.Check(!ended || m.loop.status.connections.Len() == 0 || m.last, "a connection is left")
}

// A crowd at the status call takes a few descriptors, and the one who asks gets an answer all the same.
func TestStatusConnectionsAreLimited(t *testing.T) {
	w := newStatusHarness(&modeltest.Steps{T: t})
	first := w.connectStatus()
	for range 3 * limits.MaxStatusConnections {
		w.connectStatus()
		w.runIterations()
	}
	if first.read(1); w.loop.status.connections.Len() != limits.MaxStatusConnections || !first.ended {
		t.Errorf("%d connections, the quietest ended: %v", w.loop.status.connections.Len(), first.ended)
	}
	p := w.connectStatus()
	p.write([]byte("GET /status/a HTTP/1.1\r\n\r\n"))
	w.runIterations()
	if p.read(1 << 10); !strings.HasPrefix(string(p.received), "HTTP/1.1 200 ") {
		t.Errorf("in a crowd: %q", p.received)
	}
}

// A management connection that its peer has ended, and that still has an answer to take, leaves the loop in peace, and ends with that
// answer.
func TestManagementConnectionsEndOnce(t *testing.T) {
	w := newStatusHarness(&modeltest.Steps{T: t})
	p := w.connectStatus()
	for range 40 {
		p.write([]byte(strings.Repeat("GET /status/a HTTP/1.1\r\n\r\n", 20)))
		w.runIterations()
	}
	k := w.loop.status.connections.Front().Value.(*statusConnection)
	if p.closeWrite(); len(k.Output()) == 0 {
		t.Fatal("nothing waits to be read")
	}
	for range 100 { // up to where nobody reads on
		w.runIterations()
	}
	if n := w.readyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are told as ready, with nothing to be done", n)
	}
	if err := w.readToEnd(p); err != nil || w.loop.status.connections.Len() != 0 {
		t.Errorf("read to the end: %v, %d connections left", err, w.loop.status.connections.Len())
	}
	if n := bytes.Count(p.received, []byte("HTTP/1.1 200 ")); n != 800 {
		t.Errorf("%d answers to 800 requests", n)
	}
}
