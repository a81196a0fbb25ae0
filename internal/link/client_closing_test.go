package link

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
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// connectSlowReader gives a client that takes that is not connected yet take in little at a time, so that answers wait in the loop's kernel.
func (w *harness) connectSlowReader() *peer {
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

// readToEnd takes in all up to the end of the connection, a little at a time; a reset is an error.
func (w *harness) readToEnd(p *peer) error {
	b := make([]byte, 1<<10)
	for range 100_000 {
		n, err := unix.Read(p.fd, b)
		switch {
		case errors.Is(err, unix.EAGAIN):
			w.runOnce()
		case err != nil:
			return err
		case n == 0:
			p.ended = true
			return nil
		default:
			p.received = append(p.received, b[:n]...)
		}
	}
	return errors.New("no end comes")
}

// completeRequest answers request 1 with so many bytes.
func (w *harness) completeRequest(id string, size int) {
	w.T.Helper()
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: w.workerNumber()})
	w.loop.Requests.Wake()
	w.runIterations()
	result := strings.Repeat("r", size)
	if known, err := w.loop.Requests.HandleCallback(requests.Callback{CallID: id, EndpointID: "s-0", State: "done", Result: &result}); !known || err != nil {
		w.T.Fatalf("the callback is known %v, %v", known, err)
	}
}

// A connection is closed in such a way that its last answer gets there whole, though it waits with the kernel yet and a request
// crosses the close; and that request is not taken, as its client asks again. So it is whatever closes the connection.
func TestResponsesOutliveTheClose(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		close   func(w *harness, p *peer) // p has its answer, though unread
	}{
		"to make room":           {requestOfSize(1, 0), func(w *harness, _ *peer) { w.loop.clients.evict() }},
		"told to close":          {requestOfSize(1, 0), func(w *harness, _ *peer) { w.loop.Close() }},
		"by Connection: close":   {strings.Replace(requestOfSize(1, 0), "\r\n", "\r\nConnection: close\r\n", 1), func(*harness, *peer) {}},
		"with another behind":    {strings.Replace(requestOfSize(1, 0), "\r\n", "\r\nConnection: close\r\n", 1) + requestOfSize(2, 0), func(*harness, *peer) {}},
		"for what is no request": {requestOfSize(1, 0), func(w *harness, p *peer) { p.write([]byte("no request\r\n\r\n")); w.runIterations() }},
		"for one that stalls": {requestOfSize(1, 0), func(w *harness, p *peer) {
			p.write([]byte("POST /a HTT"))
			w.runIterations()
			w.now += requestReadTimeout + expiryInterval
			w.runIterations()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			w.closeWithUnreadResponse(c.request, c.close)
		})
	}
}

// closeWithUnreadResponse has a client's connection closed while a response waits with the kernel, and a request crosses the
// close. It expects the response to get there, and the request not to be admitted.
func (w *harness) closeWithUnreadResponse(request string, closeConnection func(w *harness, p *peer)) {
	const size = 60 << 10
	p := w.connectSlowReader()
	p.write([]byte(request))
	w.runIterations()
	w.completeRequest("1", size)
	w.runIterations()
	w.now += evictionGrace
	if len(w.loop.clients.connections) != 1 {
		w.T.Fatal("no connection")
	}
	if !w.loop.clients.hasSentAll() {
		w.T.Fatal("a response has not left")
	}
	w.runIterations()
	closeConnection(w, p)
	p.write([]byte(requestOfSize(9, 0))) // nobody has read it when the connection is shut
	w.runIterations()
	if err := w.readToEnd(p); err != nil {
		w.T.Errorf("after %d bytes: %v", len(p.received), err)
	}
	var m http1.Response
	if _, err := m.Parse(p.received, true); err != nil || m.StatusCode != 200 || len(m.Body) != size {
		w.T.Errorf("of the answer %d bytes came (%v)", len(p.received), err)
	}
	for _, e := range w.policy.Received {
		if j, ok := e.(dispatch.Job); ok && j.ID > 1 {
			w.T.Error("a request that crossed the close was taken")
		}
	}
	p.close()
	w.runIterations()
	if len(w.loop.clients.connections) != 0 || w.loop.clients.bufferedBytes != 0 {
		w.T.Errorf("%d connections left with %d bytes", len(w.loop.clients.connections), w.loop.clients.bufferedBytes)
	}
}

// A request that was there before its connection is shut is taken, and answered; one that comes on a connection that is shut finds its
// end, and no reset.
func TestRequestsThatCrossAClose(t *testing.T) {
	for name, shut := range shutters() {
		t.Run(name, func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			before, after := w.connectClient(), w.connectClient()
			w.runIterations()
			w.now += evictionGrace
			w.runIterations()
			before.write([]byte(numberedRequest(clientRequests[6].text, 1)))
			shut(w)
			after.write([]byte(requestOfSize(2, 0)))
			w.runIterations()
			if got := before.statuses(t); len(got) != 1 || got[0] != 200 {
				t.Errorf("answered %v", got)
			}
			if err := w.readToEnd(after); err != nil || len(after.received) > 0 || w.loop.Requests.OpenCount() != 0 {
				t.Errorf("got %q, %v, %d requests taken", after.received, err, w.loop.Requests.OpenCount())
			}
		})
	}
}

// A request of which a part has been read when its connection would be closed gets its response: where the scheduler is told to
// close, or the connection was silent until then, the rest may still come; where room is made, it is rejected.
func TestHalfARequestAtTheClose(t *testing.T) {
	admitted, up := clientRequests[0].text, clientRequests[6].text
	for name, c := range map[string]struct {
		request string
		shut    func(w *harness)
		want    int
	}{
		"told to close": {admitted, func(w *harness) { w.loop.Close() }, 503},
		"to make room": {admitted, func(w *harness) {
			for w.loop.clients.evict() {
			}
		}, 503},
		"limits are lowered": {admitted, func(w *harness) { w.loop.clients.setLimits(0, 1<<20) }, 503},
		"idle": {up, func(w *harness) {
			w.now += requestReadTimeout
			w.loop.UpdateNow()
			w.loop.clients.closeExpired()
		}, 200},
	} {
		for read, isRead := range map[string]bool{"read": true, "unread": false} {
			for client, first := range map[string]string{"new": "", "known": numberedRequest(up, 1)} {
				if name == "idle" && (isRead || first != "") {
					continue // it had its time, or has as much anew
				}
				t.Run(name+", "+read+", "+client, func(t *testing.T) {
					w := newHarness(&modeltest.Steps{T: t})
					w.listen()
					w.checkHalfRequest(first, numberedRequest(c.request, 2), isRead, c.shut, c.want)
				})
			}
		}
	}
}

// checkHalfRequest has a client send a request in two halves, and its connection closed in between.
func (w *harness) checkHalfRequest(first, request string, isRead bool, shut func(w *harness), want int) {
	p := w.connectClient()
	p.write([]byte(first))
	w.runIterations()
	w.now += evictionGrace
	w.runIterations()
	p.statuses(w.T)
	p.received = nil
	p.write([]byte(request[:len(request)/2]))
	if isRead {
		w.runIterations()
	}
	shut(w)
	p.write([]byte(request[len(request)/2:]))
	w.runIterations()
	if got := p.statuses(w.T); !slices.Equal(got, []int{want}) {
		w.T.Errorf("answered %v, expected %d; ended %v", got, want, p.ended)
	}
}

// Told to close, a scheduler answers all that it has read, each request once and the last with the word that the connection
// ends, however many had been sent ahead.
func TestCloseRespondsToWhatWasRead(t *testing.T) {
	const requests = maxResponseSlots + 5
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	p := w.connectClient()
	w.runIterations()
	for n := range requests {
		p.write([]byte(requestOfSize(n, 0)))
	}
	w.runUntilQuiet()
	w.loop.Close()
	w.runIterations()
	for n := range maxResponseSlots {
		w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	w.loop.Requests.Wake()
	w.runUntilQuiet()
	got := p.statuses(t)
	for n, status := range got {
		if want := map[bool]int{true: 500, false: 503}[n < maxResponseSlots]; status != want {
			t.Errorf("answer %d is %d, expected %d", n, status, want)
		}
	}
	if p.read(1); len(got) != requests || !p.ended || bytes.Count(p.received, []byte("Connection: close")) != 1 {
		t.Errorf("%d answers to %d requests, ended %v: %q", len(got), requests, p.ended, p.received)
	}
	if !w.loop.IsQuiet() {
		t.Error("not quiet once all is answered")
	}
}

// Whatever connects and stays silent, the connections never hold more descriptors than they may, not even within an iteration; each that
// comes is let in within a few iterations, so that a request, a callback and a question after readiness get through.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	c := w.loop.clients
	const links = 64
	c.setLimits(links, 1<<20)
	request := w.connectClient()
	request.write([]byte(requestOfSize(1, 0)))
	w.runIterations()
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: w.workerNumber()})
	w.loop.Requests.Wake()
	w.runIterations()
	full := false
	iterations := func(n int) {
		t.Helper()
		for range n {
			if held := w.descriptorsHeldInIteration(); held > links {
				t.Fatalf("%d descriptors held, %d allowed", held, links)
			}
			full = full || c.activeCount() >= c.maxConnections
		}
	}
	var idle []*peer
	flood := func() {
		for range 3 * links {
			idle = append(idle, w.connectClient())
		}
		for n := 0; n < len(idle); n += 2 {
			idle[n].write([]byte(numberedRequest(clientRequests[6].text, n)))
		}
	}
	flood()
	for range 8 {
		iterations(4)
		w.now += evictionGrace / 4
	}
	if !full {
		t.Fatalf("%d connections only", c.activeCount())
	}
	up, callback := w.connectClient(), w.connectClient()
	up.write([]byte(numberedRequest(clientRequests[6].text, 1)))
	body := `{"id":"1","from":"s-0","state":"done","result":"r"}`
	callback.write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	flood()
	for range 8 {
		iterations(links)
		w.now += evictionGrace
	}
	for name, p := range map[string]*peer{"readiness": up, "query": request} {
		if got := p.statuses(t); len(got) != 1 || got[0] != 200 {
			t.Errorf("%s: answered %v", name, got)
		}
	}
	if got := callback.statuses(t); len(got) != 1 || got[0] != 204 {
		t.Errorf("callback: answered %v", got)
	}
}

// descriptorsHeldInIteration runs an iteration and counts the client connections that were open in it.
func (w *harness) descriptorsHeldInIteration() int {
	connections := w.loop.clients.connections
	before := map[*clientConnection]bool{}
	for k := range connections {
		before[k] = true
	}
	w.runOnce()
	held := len(before)
	for k := range connections {
		if !before[k] { // opened while those that ended in the same iteration were there still
			held++
		}
	}
	return held
}

// An answer of which a client takes nothing for a while ends its connection; one that it takes slowly does not.
func TestUnreadResponsesEndTheConnection(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	var peers []*peer
	for range 2 {
		p, fd := w.socketPair()
		w.loop.clients.addConnection(fd, netip.AddrPort{})
		for range 8 {
			p.write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
			w.runIterations()
		}
		if k := w.clientConnection(fd); len(k.Output()) == 0 || len(k.Input()) > 0 {
			t.Fatalf("%d bytes wait to be read, %d to be looked at", len(k.Output()), len(k.Input()))
		}
		peers = append(peers, p)
	}
	slow, deaf := peers[0], peers[1]
	for w.loop.clients.bufferedBytes > 0 && len(w.loop.clients.connections) == 2 {
		w.now += responseUnreadTimeout / 2
		slow.read(6 << 10)
		w.runIterations()
	}
	for range 4 {
		slow.read(1 << 20)
		w.runIterations()
	}
	if deaf.read(1 << 20); !deaf.ended || slow.ended || len(w.loop.clients.connections) != 1 {
		t.Errorf("ended: the deaf one %v, the slow one %v", deaf.ended, slow.ended)
	}
}

// shutters are the ways in which a connection without a request in flight is shut.
func shutters() map[string]func(w *harness) {
	return map[string]func(w *harness){
		"told to close": func(w *harness) { w.loop.Close() },
		"to make room": func(w *harness) {
			for w.loop.clients.evict() {
			}
		},
		"idle": func(w *harness) { // before the iteration that has an event for what has come
			w.now += requestReadTimeout + expiryInterval
			w.loop.UpdateNow()
			w.loop.clients.closeExpired()
		},
	}
}

// The largest request that was there whole before its connection is shut is answered, though one read does not take all of it.
func TestLargeRequestBeforeAClose(t *testing.T) {
	for name, shut := range shutters() {
		t.Run(name, func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			p := w.connectClient()
			w.runIterations()
			w.now += evictionGrace
			w.runIterations()
			request := requestOfSize(1, http1.MaxBodySize)
			if n, err := unix.Write(p.fd, []byte(request)); n != len(request) {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			shut(w)
			w.runIterations()
			w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: 1})
			w.loop.Requests.Wake()
			w.runIterations()
			if got := p.statuses(t); len(got) != 1 {
				t.Errorf("answered %v, connection ended %v", got, p.ended)
			}
		})
	}
}

// Of a request that was read in part when its connection is shut, its client is told that nothing was done, also if the rest comes
// later; where it may be the start of a PROXY header, nothing is written.
func TestPartOfARequestBeforeAClose(t *testing.T) {
	for name, shut := range shutters() {
		t.Run(name, func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			p := w.connectClient()
			request := requestOfSize(1, 100)
			p.write([]byte(request[:150]))
			w.runIterations()
			w.now += evictionGrace
			w.runIterations()
			shut(w)
			w.runIterations()
			p.write([]byte(request[150:]))
			w.runIterations()
			if err := w.readToEnd(p); err != nil {
				t.Fatalf("after %q: %v", p.received, err)
			}
			got := p.statuses(t)
			if len(got) != 1 || got[0] != 503 && got[0] != 408 || w.loop.Requests.OpenCount() != 0 {
				t.Errorf("answered %v, %d requests taken", got, w.loop.Requests.OpenCount())
			}
		})
	}
}

// A panic while a request is handled costs no client the response to a request that was read, on a connection that is new or has
// others in flight; the attempts of these end, and the loop goes on.
func TestPanicLeavesNoRequestUnanswered(t *testing.T) {
	for _, inFlight := range []int{0, 1, 3} {
		w := newHarness(&modeltest.Steps{T: t})
		w.listen()
		p := w.connectClient()
		for n := range inFlight {
			p.write([]byte(requestOfSize(n+1, 0)))
		}
		w.runIterations()
		settings := w.loop.clients.settings
		w.loop.clients.settings = nil // handling a request reads it
		p.write([]byte(requestOfSize(9, 0)))
		w.runIterations()
		w.loop.clients.settings = settings
		w.runIterations()
		got := p.statuses(t)
		for _, status := range got {
			if status != 500 {
				t.Errorf("%d in flight: answered %v", inFlight, got)
			}
		}
		if len(got) != inFlight+1 || !p.ended || w.loop.Requests.OpenCount() != 0 {
			t.Errorf("%d in flight: answered %v, ended %v, %d requests open", inFlight, got, p.ended, w.loop.Requests.OpenCount())
		}
		other := w.connectClient()
		other.write([]byte("GET /up HTTP/1.1\r\n\r\n"))
		if w.runIterations(); len(other.statuses(t)) != 1 {
			t.Error("the loop does not go on")
		}
	}
}
