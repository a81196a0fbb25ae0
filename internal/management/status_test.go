package management

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
)

// statusCall is a request at the address of the status call, and its expected response.
type statusCall struct {
	text, want string
	closes     bool // the connection ends after the response
}

// statusModel is a client of the status call with one connection.
type statusModel struct {
	*fixture
	peer         *eventlooptest.Peer
	call         statusCall // the last one
	unsent       string     // the rest of call
	want         string     // all responses expected so far
	lastActivity time.Duration
	isLast       bool // the connection ends after the expected responses
}

// FuzzStatusConnection checks that a status connection responds to each request once and in order, whatever parts it arrives in,
// that other requests get an error, and that an inactive connection is closed in time.
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
		f := newStatusFixture(s)
		m := &statusModel{fixture: f, peer: f.connectStatus(), call: calls[0]}
		f.RunIterations()
		m.lastActivity = f.Time
		for s.More() && !m.peer.Ended {
			m.act(calls)
			f.RunIterations()
			m.peer.Read(1 << 16)
			m.check()
		}
	})
}

func (s *statusModel) act(calls []statusCall) {
	switch what := s.Pick(8); {
	case what < 2 && s.unsent == "" && !s.isLast:
		s.call = calls[s.Pick(len(calls))]
		s.unsent = s.call.text
	case what < 6 && s.unsent != "":
		s.writePart()
	case what == 6:
		s.Time += time.Duration(s.Pick(8)) * 250 * time.Millisecond
		s.Record("wait")
	}
}

func (s *statusModel) writePart() {
	size := min(len(s.unsent), 1+s.Pick(40))
	s.peer.Write([]byte(s.unsent[:size]))
	if len(s.unsent) == len(s.call.text) {
		s.lastActivity = s.Time
	}
	s.unsent = s.unsent[size:]
	if s.unsent == "" {
		s.lastActivity, s.isLast = s.Time, s.call.closes
		s.want += s.call.want + "\n"
	}
	s.Record(fmt.Sprint("write ", size, " of ", s.call.text))
}

// check checks that all responses that are due have been received, and that the connection is closed in time.
func (s *statusModel) check() {
	got := ""
	for _, part := range strings.Split(string(s.peer.Received), "HTTP/1.1 ")[1:] {
		header, body, _ := strings.Cut(part, "\r\n\r\n")
		got += header[:4] + body
	}
	s.Check(got == s.want, "got %q, expected %q", got, s.want)
	isPartial := s.unsent != "" && len(s.unsent) < len(s.call.text)
	limit := statusIdleTimeout
	if s.isLast || isPartial {
		limit = statusRequestTimeout
	}
	age := s.Time - s.lastActivity
	ended := s.peer.Ended
	s.Check(!ended || s.isLast || age >= limit, "closed after %v", age)
	s.Check(ended || age < limit+expiryInterval, "still open after %v", age)
	s.Check(!ended || s.status.connections.Len() == 0 || s.isLast, "a closed connection is still listed")
}

// The number of status connections is limited. The one that has been idle longest is closed for a new one, and a new caller is
// served.
func TestStatusConnectionsAreLimited(t *testing.T) {
	f := newStatusFixture(&modeltest.Steps{T: t})
	first := f.connectStatus()
	for range 3 * limits.MaxStatusConnections {
		f.connectStatus()
		f.RunIterations()
	}
	if first.Read(1); f.status.connections.Len() != limits.MaxStatusConnections || !first.Ended {
		t.Errorf("%d connections, the first one closed: %v", f.status.connections.Len(), first.Ended)
	}
	p := f.connectStatus()
	p.Write([]byte("GET /status/a HTTP/1.1\r\n\r\n"))
	f.RunIterations()
	if p.Read(1 << 10); !strings.HasPrefix(string(p.Received), "HTTP/1.1 200 ") {
		t.Errorf("at the limit of connections: %q", p.Received)
	}
}

// A connection whose peer has closed its sending side, and has not read its responses yet, does not keep the loop busy. It ends
// after the last response.
func TestHalfClosedStatusConnection(t *testing.T) {
	f := newStatusFixture(&modeltest.Steps{T: t})
	p := f.connectStatus()
	for range 40 {
		p.Write([]byte(strings.Repeat("GET /status/a HTTP/1.1\r\n\r\n", 20)))
		f.RunIterations()
	}
	conn := f.status.connections.Front().Value.(*statusConnection)
	if p.CloseWrite(); len(conn.Output()) == 0 {
		t.Fatal("no response waits to be sent")
	}
	for range 100 { // until no more can be sent, as the peer does not read
		f.RunIterations()
	}
	if n := f.ReadyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are ready, expected none", n)
	}
	if err := f.readToEnd(t, p); err != nil || f.status.connections.Len() != 0 {
		t.Errorf("read to the end: error %v, %d connections left", err, f.status.connections.Len())
	}
	if n := bytes.Count(p.Received, []byte("HTTP/1.1 200 ")); n != 800 {
		t.Errorf("%d responses to 800 requests", n)
	}
}
