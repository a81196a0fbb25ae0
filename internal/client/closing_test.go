package client

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// connectSlowReader returns a client with a small receive buffer, so that responses stay in the kernel's send buffer of the
// listener.
func (f *fixture) connectSlowReader() *eventlooptest.Peer {
	_, sockaddr := eventloop.Sockaddr(f.listener.Addr())
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 2<<10)
		err = unix.Connect(fd, sockaddr)
	}
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err != nil {
		f.T.Fatal(err)
	}
	p := &eventlooptest.Peer{FD: fd}
	f.T.Cleanup(p.Close)
	return p
}

// readToEnd reads until the end of the connection, in small parts. It returns an error if the connection is reset.
func (f *fixture) readToEnd(p *eventlooptest.Peer) error {
	b := make([]byte, 1<<10)
	for range 100_000 {
		n, err := unix.Read(p.FD, b)
		switch {
		case errors.Is(err, unix.EAGAIN):
			f.runOnce()
		case err != nil:
			return err
		case n == 0:
			p.Ended = true
			return nil
		default:
			p.Received = append(p.Received, b[:n]...)
		}
	}
	return errors.New("the connection does not end")
}

// completeRequest completes request 1 with a result of a size in bytes.
func (f *fixture) completeRequest(id string, size int) {
	f.T.Helper()
	f.act(dispatch.Send{Job: 1, Worker: f.workerNumber()})
	f.RunIterations()
	result := strings.Repeat("r", size)
	if known, err := f.table.HandleCallback(requests.Callback{CallID: id, EndpointID: "s-0", State: "done", Result: &result}); !known || err != nil {
		f.T.Fatalf("the callback is known: %v, error %v", known, err)
	}
}

// Whatever closes a connection, its last response arrives complete, even if it is still in the kernel's send buffer and another
// request crosses the close. That request is not admitted; its client retries it.
func TestLastResponseSurvivesClose(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		close   func(f *fixture, p *eventlooptest.Peer) // p has a response to read
	}{
		"eviction":                     {requestOfSize(1, 0), func(f *fixture, _ *eventlooptest.Peer) { f.listener.evict() }},
		"listener closes":              {requestOfSize(1, 0), func(f *fixture, _ *eventlooptest.Peer) { f.listener.Close() }},
		"Connection: close":            {strings.Replace(requestOfSize(1, 0), "\r\n", "\r\nConnection: close\r\n", 1), func(*fixture, *eventlooptest.Peer) {}},
		"Connection: close, pipelined": {strings.Replace(requestOfSize(1, 0), "\r\n", "\r\nConnection: close\r\n", 1) + requestOfSize(2, 0), func(*fixture, *eventlooptest.Peer) {}},
		"malformed request":            {requestOfSize(1, 0), func(f *fixture, p *eventlooptest.Peer) { p.Write([]byte("no request\r\n\r\n")); f.RunIterations() }},
		"stalled request": {requestOfSize(1, 0), func(f *fixture, p *eventlooptest.Peer) {
			p.Write([]byte("POST /a HTT"))
			f.RunIterations()
			f.Time += requestReadTimeout + expiryInterval
			f.RunIterations()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			f.closeWithUnreadResponse(c.request, c.close)
		})
	}
}

// closeWithUnreadResponse closes a client's connection while a response is in the kernel's send buffer and a request crosses the
// close. It checks that the response arrives, and that the request is not admitted.
func (f *fixture) closeWithUnreadResponse(request string, closeConnection func(f *fixture, p *eventlooptest.Peer)) {
	const size = 60 << 10
	p := f.connectSlowReader()
	p.Write([]byte(request))
	f.RunIterations()
	f.completeRequest("1", size)
	f.RunIterations()
	f.Time += evictionGrace
	if len(f.listener.connections) != 1 {
		f.T.Fatal("no connection")
	}
	if !f.listener.HasSentAll() {
		f.T.Fatal("a response is not sent yet")
	}
	f.RunIterations()
	closeConnection(f, p)
	p.Write([]byte(requestOfSize(9, 0))) // it is unread when the connection is shut down
	f.RunIterations()
	if err := f.readToEnd(p); err != nil {
		f.T.Errorf("reading the response failed after %d bytes: %v", len(p.Received), err)
	}
	var m http1.Response
	if _, err := m.Parse(p.Received, true); err != nil || m.StatusCode != 200 || len(m.Body) != size {
		f.T.Errorf("%d bytes of the response arrived (%v)", len(p.Received), err)
	}
	for _, e := range f.policy.Received {
		if j, ok := e.(dispatch.Job); ok && j.ID > 1 {
			f.T.Error("a request that crossed the close was admitted")
		}
	}
	p.Close()
	f.RunIterations()
	if len(f.listener.connections) != 0 || f.listener.bufferedBytes != 0 {
		f.T.Errorf("%d connections left with %d bytes", len(f.listener.connections), f.listener.bufferedBytes)
	}
}

// A request that arrived before its connection is shut down is handled and has its response. The client of one that arrives later
// finds the end of the connection, and no reset.
func TestRequestsBeforeAndAfterShutdown(t *testing.T) {
	for name, shutDown := range shutdownCauses() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			before, after := f.connect(), f.connect()
			f.RunIterations()
			f.Time += evictionGrace
			f.RunIterations()
			before.Write([]byte(numberedRequest(clientRequests[6].text, 1)))
			shutDown(f)
			after.Write([]byte(requestOfSize(2, 0)))
			f.RunIterations()
			if got := statuses(t, before); len(got) != 1 || got[0] != 200 {
				t.Errorf("got %v, expected one 200", got)
			}
			if err := f.readToEnd(after); err != nil || len(after.Received) > 0 || f.table.OpenCount() != 0 {
				t.Errorf("got %q, %v, %d requests admitted", after.Received, err, f.table.OpenCount())
			}
		})
	}
}

// A request that has arrived in part when its connection is shut down gets a response. It is rejected with 503 when the listener
// closes or connections are evicted. On a connection that is shut down after its timeout, because nothing was read from it, the
// remainder may still arrive, and the request is then handled.
func TestPartialRequestAtClose(t *testing.T) {
	admitted, up := clientRequests[0].text, clientRequests[6].text
	for name, c := range map[string]struct {
		request  string
		shutDown func(f *fixture)
		want     int
	}{
		"listener closes": {admitted, func(f *fixture) { f.listener.Close() }, 503},
		"eviction": {admitted, func(f *fixture) {
			for f.listener.evict() {
			}
		}, 503},
		"limits are lowered": {admitted, func(f *fixture) { f.listener.SetLimits(testLimits(0)) }, 503},
		"idle": {up, func(f *fixture) {
			f.Time += requestReadTimeout
			f.UpdateNow()
			f.listener.closeExpired()
		}, 200},
	} {
		for read, isRead := range map[string]bool{"read": true, "unread": false} {
			for client, first := range map[string]string{"new": "", "known": numberedRequest(up, 1)} {
				if name == "idle" && (isRead || first != "") {
					continue // a partial request that was read has timed out; one after another request has its own timeout
				}
				t.Run(name+", "+read+", "+client, func(t *testing.T) {
					f := newFixture(&modeltest.Steps{T: t})
					f.listen()
					f.checkPartialRequest(first, numberedRequest(c.request, 2), isRead, c.shutDown, c.want)
				})
			}
		}
	}
}

// checkPartialRequest sends a client's request in two halves, and shuts the connection down in between.
func (f *fixture) checkPartialRequest(first, request string, isRead bool, shutDown func(f *fixture), want int) {
	p := f.connect()
	p.Write([]byte(first))
	f.RunIterations()
	f.Time += evictionGrace
	f.RunIterations()
	statuses(f.T, p)
	p.Received = nil
	p.Write([]byte(request[:len(request)/2]))
	if isRead {
		f.RunIterations()
	}
	shutDown(f)
	p.Write([]byte(request[len(request)/2:]))
	f.RunIterations()
	if got := statuses(f.T, p); !slices.Equal(got, []int{want}) {
		f.T.Errorf("got %v, expected %d; ended %v", got, want, p.Ended)
	}
}

// A listener that closes responds to each request that it has read, once, however many were pipelined. The last response has
// Connection: close.
func TestCloseRespondsToReadRequests(t *testing.T) {
	const requests = maxResponseSlots + 5
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	p := f.connect()
	f.RunIterations()
	for n := range requests {
		p.Write([]byte(requestOfSize(n, 0)))
	}
	f.runUntilIdle()
	f.listener.Close()
	f.RunIterations()
	for n := range maxResponseSlots {
		f.policy.Next = append(f.policy.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	f.table.Wake()
	f.runUntilIdle()
	got := statuses(t, p)
	for n, status := range got {
		if want := map[bool]int{true: 500, false: 503}[n < maxResponseSlots]; status != want {
			t.Errorf("response %d is %d, expected %d", n, status, want)
		}
	}
	if p.Read(1); len(got) != requests || !p.Ended || bytes.Count(p.Received, []byte("Connection: close")) != 1 {
		t.Errorf("%d responses to %d requests, ended %v: %q", len(got), requests, p.Ended, p.Received)
	}
	if !f.hasAnsweredAll() {
		t.Error("a request is open, or a response is not sent")
	}
}

// During a flood of idle connections, connections never use more descriptors than their limit, not even within an iteration. New
// connections are still accepted within a few iterations, so that a request, a callback and a readiness check are served.
func TestFloodOfIdleConnections(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	listener := f.listener
	const connections = 64
	f.listener.SetLimits(testLimits(connections))
	request := f.connect()
	request.Write([]byte(requestOfSize(1, 0)))
	f.RunIterations()
	f.act(dispatch.Send{Job: 1, Worker: f.workerNumber()})
	f.RunIterations()
	full := false
	iterations := func(n int) {
		t.Helper()
		for range n {
			used := f.descriptorsUsedInIteration()
			if used > connections {
				t.Fatalf("%d descriptors used, %d allowed", used, connections)
			}
			full = full || used == connections
		}
	}
	var idle []*eventlooptest.Peer
	flood := func() {
		for range 3 * connections {
			idle = append(idle, f.connect())
		}
		for n := 0; n < len(idle); n += 2 {
			idle[n].Write([]byte(numberedRequest(clientRequests[6].text, n)))
		}
	}
	flood()
	for range 8 {
		iterations(4)
		f.Time += evictionGrace / 4
	}
	if !full {
		t.Fatalf("the limit was not reached: %d connections", listener.activeCount())
	}
	up, callback := f.connect(), f.connect()
	up.Write([]byte(numberedRequest(clientRequests[6].text, 1)))
	body := `{"id":"1","from":"s-0","state":"done","result":"r"}`
	callback.Write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	flood()
	for range 8 {
		iterations(connections)
		f.Time += evictionGrace
	}
	for name, p := range map[string]*eventlooptest.Peer{"readiness": up, "request": request} {
		if got := statuses(t, p); len(got) != 1 || got[0] != 200 {
			t.Errorf("%s: got %v, expected one 200", name, got)
		}
	}
	if got := statuses(t, callback); len(got) != 1 || got[0] != 204 {
		t.Errorf("callback: got %v, expected one 204", got)
	}
}

// Guards against requests that wait behind a crowd of silent connections until their time is over: the crowd kept its places for some
// time, while nobody else was accepted.
func TestSilentCrowdDelaysNoRequest(t *testing.T) {
	const places, crowd = 40, 400
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	f.listener.SetLimits(testLimits(places))
	var silent []*eventlooptest.Peer
	for range crowd {
		silent = append(silent, f.connect())
	}
	client := f.connect()
	client.Write([]byte(requestOfSize(1, 0)))
	for range 2 * crowd { // time stands still
		f.runOnce()
	}
	if f.table.OpenCount() != 1 {
		t.Errorf("the request behind %d silent connections is not admitted", len(silent))
	}
}

// descriptorsUsedInIteration runs an iteration and returns how many connections were open at any time during it. Connections that
// end in it count, as their descriptors are closed after those that it opens.
func (f *fixture) descriptorsUsedInIteration() int {
	connections := f.listener.connections
	before := map[*connection]bool{}
	for conn := range connections {
		before[conn] = true
	}
	f.runOnce()
	used := len(before)
	for conn := range connections {
		if !before[conn] {
			used++
		}
	}
	return used
}

// A connection ends if its client reads nothing of a response for responseUnreadTimeout, but not if the client reads slowly.
func TestUnreadResponsesEndConnection(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	var peers []*eventlooptest.Peer
	for range 2 {
		p, fd := f.openDescriptor(netip.AddrPort{})
		for range 8 {
			p.Write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
			f.RunIterations()
		}
		if conn := f.connection(fd); len(conn.Output()) == 0 || len(conn.Input()) > 0 {
			t.Fatalf("%d bytes wait to be sent, %d to be parsed", len(conn.Output()), len(conn.Input()))
		}
		peers = append(peers, p)
	}
	slowReader, nonReader := peers[0], peers[1]
	for f.listener.bufferedBytes > 0 && len(f.listener.connections) == 2 {
		f.Time += responseUnreadTimeout / 2
		slowReader.Read(6 << 10)
		f.RunIterations()
	}
	for range 4 {
		slowReader.Read(1 << 20)
		f.RunIterations()
	}
	if nonReader.Read(1 << 20); !nonReader.Ended || slowReader.Ended || len(f.listener.connections) != 1 {
		t.Errorf("ended: without reads %v, with slow reads %v", nonReader.Ended, slowReader.Ended)
	}
}

// shutdownCauses returns functions that shut down the connections without a request in flight, by the cause of the shutdown.
func shutdownCauses() map[string]func(f *fixture) {
	return map[string]func(f *fixture){
		"listener closes": func(f *fixture) { f.listener.Close() },
		"eviction": func(f *fixture) {
			for f.listener.evict() {
			}
		},
		"idle": func(f *fixture) { // before the iteration that has an event for the input
			f.Time += requestReadTimeout + expiryInterval
			f.UpdateNow()
			f.listener.closeExpired()
		},
	}
}

// A request of the largest size that arrived complete before its connection is shut down is handled, though it takes several
// reads.
func TestLargeRequestBeforeClose(t *testing.T) {
	for name, shutDown := range shutdownCauses() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			p := f.connect()
			f.RunIterations()
			f.Time += evictionGrace
			f.RunIterations()
			request := requestOfSize(1, http1.MaxBodySize)
			if n, err := unix.Write(p.FD, []byte(request)); n != len(request) {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			shutDown(f)
			f.RunIterations()
			f.act(dispatch.Fail{Job: 1})
			f.RunIterations()
			if got := statuses(t, p); len(got) != 1 {
				t.Errorf("got %v, connection ended %v", got, p.Ended)
			}
		})
	}
}

// A request that was read in part when its connection is shut down is rejected, also if the remainder arrives later.
func TestPartialRequestBeforeClose(t *testing.T) {
	for name, shutDown := range shutdownCauses() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			p := f.connect()
			request := requestOfSize(1, 100)
			p.Write([]byte(request[:150]))
			f.RunIterations()
			f.Time += evictionGrace
			f.RunIterations()
			shutDown(f)
			f.RunIterations()
			p.Write([]byte(request[150:]))
			f.RunIterations()
			if err := f.readToEnd(p); err != nil {
				t.Fatalf("reading failed after %q: %v", p.Received, err)
			}
			got := statuses(t, p)
			if len(got) != 1 || got[0] != 503 && got[0] != 408 || f.table.OpenCount() != 0 {
				t.Errorf("got %v, %d requests admitted", got, f.table.OpenCount())
			}
		})
	}
}

// After a panic in the handling of a request, each request that was read has a response, on a new connection and on one with
// requests in flight. The requests in flight end, and the loop continues.
func TestPanicLeavesNoRequestWithoutResponse(t *testing.T) {
	for _, inFlight := range []int{0, 1, 3} {
		f := newFixture(&modeltest.Steps{T: t})
		f.listen()
		p := f.connect()
		for n := range inFlight {
			p.Write([]byte(requestOfSize(n+1, 0)))
		}
		f.RunIterations()
		settings := f.listener.parser.settings
		f.listener.parser.settings = nil // so that handling a request panics
		p.Write([]byte(requestOfSize(9, 0)))
		f.RunIterations()
		f.listener.parser.settings = settings
		f.RunIterations()
		got := statuses(t, p)
		for _, status := range got {
			if status != 500 {
				t.Errorf("%d in flight: got %v, expected 500 only", inFlight, got)
			}
		}
		if len(got) != inFlight+1 || !p.Ended || f.table.OpenCount() != 0 {
			t.Errorf("%d in flight: got %v, ended %v, %d requests open", inFlight, got, p.Ended, f.table.OpenCount())
		}
		other := f.connect()
		other.Write([]byte("GET /up HTTP/1.1\r\n\r\n"))
		if f.RunIterations(); len(statuses(t, other)) != 1 {
			t.Error("the loop does not continue")
		}
	}
}
