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

// A client that leaves is gone for the policy before that iteration's sends, wherever its requests are by then: nothing of
// them is sent on, and its connection is closed. What it leaves by is all the same, an end or a reset.
func TestClientGoneBeforeTheSends(t *testing.T) {
	many := func(n, size int) (text string) {
		for i := range n {
			text += requestOfSize(i, size)
		}
		return text
	}
	cases := map[string]struct {
		before string // read, and taken if whole, before the client leaves
		last   string // written in the moment in which it leaves
		taken  int    // of before
	}{
		"with its request, unread":           {"", requestOfSize(0, 0), 0},
		"in its request":                     {requestOfSize(0, 50)[:100], "", 0},
		"in its request, unread":             {"", requestOfSize(0, 50)[:100], 0},
		"held":                               {requestOfSize(0, 0), "", 1},
		"held, with another begun":           {requestOfSize(0, 0), requestOfSize(1, 50)[:100], 1},
		"held, with another unread":          {requestOfSize(0, 0), requestOfSize(1, 0), 1},
		"all turns in use":                   {many(maxResponseSlots, 0), "", maxResponseSlots},
		"all turns in use, and more unread":  {many(maxResponseSlots, 0), many(2*maxResponseSlots, 0)[len(many(maxResponseSlots, 0)):], maxResponseSlots},
		"all turns in use, and much more":    {many(maxResponseSlots+12, 8<<10), "", maxResponseSlots},
		"all turns in use, and far too much": {many(maxResponseSlots+12, 60<<10), "", maxResponseSlots},
		"behind Connection: close":           {strings.Replace(requestOfSize(0, 0), "\r\n", "\r\nConnection: close\r\n", 1), requestOfSize(1, 0), 1},
	}
	for name, c := range cases {
		for how, leave := range map[string]func(*peer){"end": (*peer).close, "reset": (*peer).reset} {
			t.Run(name+", "+how, func(t *testing.T) {
				w := newHarness(&modeltest.Steps{T: t})
				w.listen()
				w.leaveBeforeTheSends(c.before, c.last, c.taken, leave)
			})
		}
	}
}

// leaveBeforeTheSends has a client leave in the iteration in which the policy sends its requests. It writes one text before,
// of which so many requests are admitted, and another with leaving.
func (w *harness) leaveBeforeTheSends(before, last string, admitted int, leave func(*peer)) {
	p := w.connectClient()
	w.runIterations()
	w.writeAll(p, []byte(before))
	w.runUntilQuiet()
	if open := w.loop.Requests.OpenCount(); open != admitted {
		w.T.Fatalf("%d requests taken, expected %d", open, admitted)
	}
	p.write([]byte(last))
	leave(p)
	for id := range uint64(admitted + 2*maxResponseSlots) {
		w.policy.Next = append(w.policy.Next, dispatch.Send{Job: id + 1, Worker: w.workerNumber()})
	}
	w.loop.Requests.Wake()
	w.runOnce()
	if len(w.dialed) != 0 || w.loop.Requests.OpenCount() != 0 {
		w.T.Errorf("%d attempts begun, %d requests open", len(w.dialed), w.loop.Requests.OpenCount())
	}
	jobs, disconnected := 0, 0
	for _, e := range w.policy.Received {
		switch e.(type) {
		case dispatch.Job:
			jobs++
		case dispatch.ClientDisconnected:
			disconnected++
		}
	}
	w.runIterations()
	if jobs != disconnected || len(w.loop.clients.connections) != 0 || w.loop.clients.bufferedBytes != 0 {
		w.T.Errorf("%d requests, %d told as gone, %d connections left with %d bytes", jobs, disconnected,
			len(w.loop.clients.connections), w.loop.clients.bufferedBytes)
	}
}

// A worker's callback that came before its connection broke is applied; a request that did is not admitted.
func TestCallbackBeforeAReset(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	client, worker := w.connectClient(), w.connectClient()
	client.write([]byte(requestOfSize(7, 0)))
	w.runIterations()
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: w.workerNumber()})
	w.loop.Requests.Wake()
	w.runIterations()
	body := `{"id":"7","from":"s-0","state":"done","result":"r"}`
	worker.write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, requestOfSize(8, 0)))
	worker.reset()
	w.runIterations()
	if got := client.statuses(t); len(got) != 1 || got[0] != 200 || w.loop.Requests.OpenCount() != 0 {
		t.Errorf("answered %v, %d requests open", got, w.loop.Requests.OpenCount())
	}
}

// A client that has only finished writing gets the answer to each request that it wrote, in order, and with their bytes
// unharmed, also to those that were not looked at yet, or not even read, when it did; and then the end.
func TestHalfClosedClientsAreAnswered(t *testing.T) {
	for _, size := range []int{0, 2 << 10, 8 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newHarness(&modeltest.Steps{T: t})
			w.listen()
			w.closeWriteAfterRequests(size)
		})
	}
}

// closeWriteAfterRequests has a client write more requests than are read at once, with bodies of a size, and end its side. It
// expects a response to each.
func (w *harness) closeWriteAfterRequests(size int) {
	const requests = 3 * maxResponseSlots
	p := w.connectClient()
	w.runIterations()
	for n := range requests {
		w.writeAll(p, []byte(requestOfSize(n, size)))
	}
	p.closeWrite()
	w.runUntilQuiet()
	for n := range requests {
		if open := w.loop.Requests.OpenCount(); open != min(maxResponseSlots, requests-n) {
			w.T.Fatalf("%d requests open after %d answers", open, n)
		}
		w.policy.Next = append(w.policy.Next, dispatch.Reject{Job: uint64(n + 1)})
		w.loop.Requests.Wake()
		w.runUntilQuiet()
	}
	got := p.statuses(w.T)
	for _, status := range got {
		if status != 503 {
			w.T.Errorf("answered %v", got)
		}
	}
	p.read(1)
	if len(got) != requests || !p.ended || len(w.loop.clients.connections) != 0 {
		w.T.Errorf("%d answers to %d requests, connection closed %v", len(got), requests, p.ended)
	}
}

// A client that sends more ahead of its answers than is kept is read from all the same: what is kept whole is answered,
// one more is refused, and the connection ends. Buffers stay bounded.
func TestExcessReadAheadIsRejected(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	p := w.connectClient()
	w.runIterations()
	const size = 60 << 10
	for n := range 3 * maxResponseSlots {
		w.writeAll(p, []byte(requestOfSize(n, size)))
		if w.runUntilQuiet(); w.loop.clients.bufferedBytes > 2*maxReadAheadWithMemory {
			held := w.loop.clients.bufferedBytes
			t.Fatalf("%d bytes held", held)
		}
	}
	answered := 0
	for ; w.loop.Requests.OpenCount() > 0; answered++ {
		w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: uint64(answered + 1)})
		w.loop.Requests.Wake()
		w.runUntilQuiet()
	}
	got := p.statuses(t)
	if answered <= maxResponseSlots || len(got) != answered+1 || got[answered] != 503 || got[answered-1] != 500 {
		t.Errorf("%d requests answered, the client has %v", answered, got)
	}
	if p.read(1); !p.ended {
		t.Error("the connection goes on")
	}
}

// What has ended and still has answers to take leaves the loop in peace: there are no further events for the end.
func TestEndOfInputWakesTheLoopOnce(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	p, fd := w.socketPair()
	w.loop.clients.addConnection(fd, netip.AddrPort{})
	for range 40 {
		p.write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
		w.runIterations()
	}
	p.closeWrite()
	w.runIterations()
	k := w.clientConnection(fd)
	if len(k.Output()) == 0 {
		t.Fatal("nothing waits to be read")
	}
	if n := w.readyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are told as ready, with nothing to be done", n)
	}
}

// A client that leaves while its request is on the way to a worker stops what is not wholly written, also if the
// connection there comes up in the same iteration. What was accepted runs on, and no copy of it is sent.
func TestClientGoneOnTheWay(t *testing.T) {
	for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize, "accepted": 0} {
		for how, leave := range map[string]func(*peer){"end": (*peer).close, "reset": (*peer).reset} {
			t.Run(stage+", "+how, func(t *testing.T) {
				w := newHarness(&modeltest.Steps{T: t})
				w.listen()
				w.leaveWhileAttemptIs(stage, size, leave)
			})
		}
	}
}

// leaveWhileAttemptIs has a client leave while the attempt of its request is connecting, partly written or accepted.
func (w *harness) leaveWhileAttemptIs(stage string, size int, leave func(*peer)) {
	w.loop.Requests.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
		{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
	}})
	p := w.connectClient()
	w.runIterations()
	w.writeAll(p, []byte(requestOfSize(1, size)))
	w.runUntilQuiet()
	workers := w.policy.Received[1].(dispatch.WorkerList).Workers
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: workers[0].ID})
	w.loop.Requests.Wake()
	w.runOnce()
	if len(w.dialed) != 1 {
		w.T.Fatal("not sent")
	}
	far := w.dialed[0]
	if stage != "connecting" {
		w.runUntilQuiet()
	}
	if far.read(1 << 10); stage == "accepted" {
		far.write([]byte(acceptedResponse))
		w.runIterations()
	}
	leave(p)
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: workers[1].ID})
	w.loop.Requests.Wake()
	w.runUntilQuiet()
	far.read(1 << 20)
	var m http1.Request
	_, err := m.Parse(far.received)
	if whole := err == nil; whole != (stage == "accepted") || len(w.dialed) != 1 || stage == "connecting" && len(far.received) > 0 {
		w.T.Errorf("%d bytes came, whole %v, and %d connections were opened", len(far.received), whole, len(w.dialed))
	}
	if far.ended == (stage == "accepted") {
		w.T.Errorf("its connection has ended %v", far.ended)
	}
}

// The time of a request counts from when its last byte came, also if it had to wait for the requests before it on its connection.
func TestTimeCountsFromArrival(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	w.listen()
	p := w.connectClient()
	w.runIterations()
	for n := range maxResponseSlots + 2 {
		p.write([]byte(requestOfSize(n, 0)))
	}
	late := requestOfSize(99, 0)
	p.write([]byte(late[:40]))
	w.runUntilQuiet()
	w.now += time.Second
	p.write([]byte(late[40:]))
	w.runUntilQuiet()
	w.now += time.Second
	p.write([]byte(requestOfSize(100, 0)))
	for n := range 4 {
		w.policy.Next = append(w.policy.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	w.loop.Requests.Wake()
	w.runUntilQuiet()
	const all = 5 * time.Second // of the class
	remaining := map[uint64]time.Duration{}
	for _, e := range w.policy.Received {
		if j, ok := e.(dispatch.Job); ok {
			remaining[j.ID] = j.Remaining
		}
	}
	for id, want := range map[uint64]time.Duration{
		1: all, 16: all, 17: all - 2*time.Second, 18: all - 2*time.Second,
		19: all - time.Second, 20: all,
	} {
		if remaining[id] != want {
			t.Errorf("request %d has %v left, expected %v", id, remaining[id], want)
		}
	}
}
