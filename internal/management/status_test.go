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

// statusCall is what may be asked at the status call.
type statusCall struct {
	text, want string
	closes     bool
}

// statusModel is a client of the status call with one connection.
type statusModel struct {
	*fixture
	peer   *eventlooptest.Peer
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
		f := newStatusFixture(s)
		m := &statusModel{fixture: f, peer: f.connectStatus(), call: calls[0]}
		f.RunIterations()
		m.quiet = f.Time
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
	case what < 2 && s.unsent == "" && !s.last:
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
		s.quiet = s.Time
	}
	s.unsent = s.unsent[size:]
	if s.unsent == "" {
		s.quiet, s.last = s.Time, s.call.closes
		s.want += s.call.want + "\n"
	}
	s.Record(fmt.Sprint("write ", size, " of ", s.call.text))
}

// check expects all responses that are due, and the connection's end in time.
func (s *statusModel) check() {
	got := ""
	for _, part := range strings.Split(string(s.peer.Received), "HTTP/1.1 ")[1:] {
		header, body, _ := strings.Cut(part, "\r\n\r\n")
		got += header[:4] + body
	}
	s.Check(got == s.want, "got %q, expected %q", got, s.want)
	isBegun := s.unsent != "" && len(s.unsent) < len(s.call.text)
	limit := statusIdleTimeout
	if s.last || isBegun {
		limit = statusRequestTimeout
	}
	age := s.Time - s.quiet
	ended := s.peer.Ended
	s.Check(!ended || s.last || age >= limit, "ended after %v", age)
	s.Check(ended || age < limit+expiryInterval, "still there after %v", age)
	s.Check(!ended || s.status.connections.Len() == 0 || s.last, "a connection is left")
}

// A crowd at the status call takes a few descriptors, and the one who asks gets an answer all the same.
func TestStatusConnectionsAreLimited(t *testing.T) {
	f := newStatusFixture(&modeltest.Steps{T: t})
	first := f.connectStatus()
	for range 3 * limits.MaxStatusConnections {
		f.connectStatus()
		f.RunIterations()
	}
	if first.Read(1); f.status.connections.Len() != limits.MaxStatusConnections || !first.Ended {
		t.Errorf("%d connections, the quietest ended: %v", f.status.connections.Len(), first.Ended)
	}
	p := f.connectStatus()
	p.Write([]byte("GET /status/a HTTP/1.1\r\n\r\n"))
	f.RunIterations()
	if p.Read(1 << 10); !strings.HasPrefix(string(p.Received), "HTTP/1.1 200 ") {
		t.Errorf("in a crowd: %q", p.Received)
	}
}

// A connection whose peer has closed its side, and whose responses are not read yet, does not keep the loop busy, and ends with the
// last response.
func TestManagementConnectionsEndOnce(t *testing.T) {
	f := newStatusFixture(&modeltest.Steps{T: t})
	p := f.connectStatus()
	for range 40 {
		p.Write([]byte(strings.Repeat("GET /status/a HTTP/1.1\r\n\r\n", 20)))
		f.RunIterations()
	}
	k := f.status.connections.Front().Value.(*statusConnection)
	if p.CloseWrite(); len(k.Output()) == 0 {
		t.Fatal("nothing waits to be read")
	}
	for range 100 { // up to where nobody reads on
		f.RunIterations()
	}
	if n := f.ReadyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are told as ready, with nothing to be done", n)
	}
	if err := f.readToEnd(t, p); err != nil || f.status.connections.Len() != 0 {
		t.Errorf("read to the end: %v, %d connections left", err, f.status.connections.Len())
	}
	if n := bytes.Count(p.Received, []byte("HTTP/1.1 200 ")); n != 800 {
		t.Errorf("%d answers to 800 requests", n)
	}
}
