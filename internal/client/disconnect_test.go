package client

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/modeltest"
)

// The policy receives the disconnect of a client before the attempts of the same iteration are started, whatever the state of the
// client's requests and whether the connection ends or is reset. No attempt of them is started, and the connection is closed.
func TestDisconnectBeforeSends(t *testing.T) {
	many := func(n, size int) (text string) {
		for i := range n {
			text += requestOfSize(i, size)
		}
		return text
	}
	cases := map[string]struct {
		before   string // read, and admitted if complete, before the client disconnects
		last     string // written right before the client disconnects
		admitted int    // requests of before
	}{
		"request unread":                        {"", requestOfSize(0, 0), 0},
		"partial request":                       {requestOfSize(0, 50)[:100], "", 0},
		"partial request, unread":               {"", requestOfSize(0, 50)[:100], 0},
		"queued":                                {requestOfSize(0, 0), "", 1},
		"queued, then a partial request":        {requestOfSize(0, 0), requestOfSize(1, 50)[:100], 1},
		"queued, then an unread request":        {requestOfSize(0, 0), requestOfSize(1, 0), 1},
		"all slots in use":                      {many(maxResponseSlots, 0), "", maxResponseSlots},
		"all slots in use, more unread":         {many(maxResponseSlots, 0), many(2*maxResponseSlots, 0)[len(many(maxResponseSlots, 0)):], maxResponseSlots},
		"all slots in use, more buffered":       {many(maxResponseSlots+12, 8<<10), "", maxResponseSlots},
		"all slots in use, read-ahead exceeded": {many(maxResponseSlots+12, 60<<10), "", maxResponseSlots},
		"after Connection: close":               {strings.Replace(requestOfSize(0, 0), "\r\n", "\r\nConnection: close\r\n", 1), requestOfSize(1, 0), 1},
	}
	for name, c := range cases {
		for how, disconnect := range map[string]func(*eventlooptest.Peer){"end": (*eventlooptest.Peer).Close, "reset": (*eventlooptest.Peer).Reset} {
			t.Run(name+", "+how, func(t *testing.T) {
				f := newFixture(&modeltest.Steps{T: t})
				f.listen()
				f.disconnectBeforeSends(c.before, c.last, c.admitted, disconnect)
			})
		}
	}
}

// disconnectBeforeSends disconnects a client in the iteration in which the policy sends its requests. The client has written the
// text before, of which the given number of requests are admitted, and writes the text last right before it disconnects.
func (f *fixture) disconnectBeforeSends(before, last string, admitted int, disconnect func(*eventlooptest.Peer)) {
	p := f.connect()
	f.RunIterations()
	f.writeAll(p, []byte(before))
	f.runUntilIdle()
	if open := f.table.OpenCount(); open != admitted {
		f.T.Fatalf("%d requests admitted, expected %d", open, admitted)
	}
	p.Write([]byte(last))
	disconnect(p)
	for id := range uint64(admitted + 2*maxResponseSlots) {
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: id + 1, Worker: f.workerNumber()})
	}
	f.table.Wake()
	f.runOnce()
	if len(f.transport.started) != 0 || f.table.OpenCount() != 0 {
		f.T.Errorf("%d attempts started, %d requests open", len(f.transport.started), f.table.OpenCount())
	}
	jobs, disconnected := 0, 0
	for _, e := range f.policy.Received {
		switch e.(type) {
		case dispatch.Job:
			jobs++
		case dispatch.ClientDisconnected:
			disconnected++
		}
	}
	f.RunIterations()
	if jobs != disconnected || len(f.listener.connections) != 0 || f.listener.bufferedBytes != 0 {
		f.T.Errorf("%d requests, %d disconnects, %d connections left with %d bytes", jobs, disconnected,
			len(f.listener.connections), f.listener.bufferedBytes)
	}
}

// A callback that arrived before its connection was reset is applied. A request that did so is not admitted.
func TestCallbackBeforeReset(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	client, worker := f.connect(), f.connect()
	client.Write([]byte(requestOfSize(7, 0)))
	f.RunIterations()
	f.act(dispatch.Send{Job: 1, Worker: f.workerNumber()})
	f.RunIterations()
	body := `{"id":"7","from":"s-0","state":"done","result":"r"}`
	worker.Write(fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, requestOfSize(8, 0)))
	worker.Reset()
	f.RunIterations()
	if got := statuses(t, client); len(got) != 1 || got[0] != 200 || f.table.OpenCount() != 0 {
		t.Errorf("got %v, expected one 200; %d requests open", got, f.table.OpenCount())
	}
}

// A client that has closed its sending side receives the response to each request that it wrote, in order, also to those that
// were not parsed or read before. The connection is then closed.
func TestHalfClosedClientsGetResponses(t *testing.T) {
	for _, size := range []int{0, 2 << 10, 8 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(&modeltest.Steps{T: t})
			f.listen()
			f.closeWriteAfterRequests(size)
		})
	}
}

// closeWriteAfterRequests writes more requests of a client than are handled ahead of responses, with bodies of a size, and closes
// the client's sending side. It expects a response to each.
func (f *fixture) closeWriteAfterRequests(size int) {
	const requests = 3 * maxResponseSlots
	p := f.connect()
	f.RunIterations()
	for n := range requests {
		f.writeAll(p, []byte(requestOfSize(n, size)))
	}
	p.CloseWrite()
	f.runUntilIdle()
	for n := range requests {
		if open := f.table.OpenCount(); open != min(maxResponseSlots, requests-n) {
			f.T.Fatalf("%d requests open after %d responses", open, n)
		}
		f.act(dispatch.Reject{Job: uint64(n + 1)})
		f.runUntilIdle()
	}
	got := statuses(f.T, p)
	for _, status := range got {
		if status != 503 {
			f.T.Errorf("got %v, expected 503 only", got)
		}
	}
	p.Read(1)
	if len(got) != requests || !p.Ended || len(f.listener.connections) != 0 {
		f.T.Errorf("%d responses to %d requests, connection closed %v", len(got), requests, p.Ended)
	}
}

// The input of a client that sends more ahead of responses than may be buffered is still read. The buffered requests get their
// responses, one more is rejected, and the connection ends. Buffers stay bounded.
func TestExcessReadAheadIsRejected(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	p := f.connect()
	f.RunIterations()
	const size = 60 << 10
	for n := range 3 * maxResponseSlots {
		f.writeAll(p, []byte(requestOfSize(n, size)))
		if f.runUntilIdle(); f.listener.bufferedBytes > 2*maxReadAheadWithMemory {
			buffered := f.listener.bufferedBytes
			t.Fatalf("%d bytes buffered", buffered)
		}
	}
	failed := 0
	for ; f.table.OpenCount() > 0; failed++ {
		f.act(dispatch.Fail{Job: uint64(failed + 1)})
		f.runUntilIdle()
	}
	got := statuses(t, p)
	if failed <= maxResponseSlots || len(got) != failed+1 || got[failed] != 503 || got[failed-1] != 500 {
		t.Errorf("%d requests failed, the client got %v", failed, got)
	}
	if p.Read(1); !p.Ended {
		t.Error("the connection stays open")
	}
}

// A connection whose client has closed its sending side, but has responses to read, has no further events for the end of its
// input.
func TestEndOfInputWakesLoopOnce(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	p, fd := f.openDescriptor(netip.AddrPort{})
	for range 40 {
		p.Write([]byte(strings.Repeat(numberedRequest(clientRequests[7].text, 1), 100)))
		f.RunIterations()
	}
	p.CloseWrite()
	f.RunIterations()
	conn := f.connection(fd)
	if len(conn.Output()) == 0 {
		t.Fatal("no response waits to be sent")
	}
	if n := f.ReadyDescriptors(); n != 0 {
		t.Errorf("%d descriptors are ready, expected none", n)
	}
}

// The timeout of a request counts from the arrival of its last byte, also if the request waited for earlier ones on its
// connection.
func TestTimeoutCountsFromArrival(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	p := f.connect()
	f.RunIterations()
	for n := range maxResponseSlots + 2 {
		p.Write([]byte(requestOfSize(n, 0)))
	}
	late := requestOfSize(99, 0)
	p.Write([]byte(late[:40]))
	f.runUntilIdle()
	f.Time += time.Second
	p.Write([]byte(late[40:]))
	f.runUntilIdle()
	f.Time += time.Second
	p.Write([]byte(requestOfSize(100, 0)))
	for n := range 4 {
		f.policy.Next = append(f.policy.Next, dispatch.Fail{Job: uint64(n + 1)})
	}
	f.table.Wake()
	f.runUntilIdle()
	const timeout = 5 * time.Second // ClientTimeout of the class
	remaining := map[uint64]time.Duration{}
	for _, e := range f.policy.Received {
		if j, ok := e.(dispatch.Job); ok {
			remaining[j.ID] = j.Remaining
		}
	}
	for id, want := range map[uint64]time.Duration{
		1: timeout, 16: timeout, 17: timeout - 2*time.Second, 18: timeout - 2*time.Second,
		19: timeout - time.Second, 20: timeout,
	} {
		if remaining[id] != want {
			t.Errorf("request %d has %v left, expected %v", id, remaining[id], want)
		}
	}
}

// The disconnects of many clients are all handled before the attempts of the same iteration are started.
func TestBurstOfDisconnects(t *testing.T) {
	const clients = 400
	f := newFixture(&modeltest.Steps{T: t})
	f.listener.SetLimits(testLimits(2 * clients))
	var peers []*eventlooptest.Peer
	for n := range clients {
		p := f.openConnection()
		p.Write([]byte(requestOfSize(n, 0)))
		peers = append(peers, p)
	}
	f.RunIterations()
	if open := f.table.OpenCount(); open != clients {
		t.Fatalf("%d requests admitted, expected one for each client", open)
	}
	for n, p := range peers {
		p.Close()
		f.policy.Next = append(f.policy.Next, dispatch.Send{Job: uint64(n + 1), Worker: f.workerNumber()})
	}
	if f.runOnce(); len(f.transport.started) != 0 || f.table.OpenCount() != 0 {
		t.Errorf("%d attempts started, %d requests open", len(f.transport.started), f.table.OpenCount())
	}
}
