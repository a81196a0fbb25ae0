package scheduler

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// upRequest asks whether the scheduler is ready.
const upRequest = "GET /up HTTP/1.1\r\n\r\n"

// A draining scheduler continues to serve the connections that clients have. Close ends idle connections, responds to the requests
// in flight, whose connections end then, and admits no other. IsQuiet reports when all responses are sent. FinishRequestsSince
// responds to the requests that arrived within a span and are still open; those that arrived earlier stay open.
func TestDrain(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	connect := func(text string) *peer {
		p, fd := w.socketPair()
		w.scheduler.clients.AddConnection(fd, netip.AddrPort{})
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
	resting := connect(upRequest)
	answered(resting, 200, false)
	early := connect(requestOfSize(1, 5))
	w.scheduler.Drain()
	w.now += time.Second
	w.runIterations()
	resting.write([]byte(requestOfSize(2, 5)))
	w.runIterations()
	w.policy.Next = append(w.policy.Next, dispatch.Reject{Job: 2, RetryAfter: time.Second})
	w.scheduler.Requests.DiscoveryFailed()
	w.runIterations()
	answered(resting, 503, false)
	answered(connect(upRequest), 503, false)
	late := connect(requestOfSize(3, 5))
	w.scheduler.Close()
	w.runIterations()
	if resting.read(1); !resting.ended || w.scheduler.IsQuiet() {
		t.Errorf("resting connection ended %v, quiet %v", resting.ended, w.scheduler.IsQuiet())
	}
	answered(connect(requestOfSize(4, 5)), 503, true)
	w.scheduler.FinishRequestsSince(time.Second / 2)
	w.runIterations()
	answered(late, 503, true)
	if early.read(1); len(early.received) > 0 || w.scheduler.IsQuiet() {
		t.Errorf("an early request got %q, quiet %v", early.received, w.scheduler.IsQuiet())
	}
	w.scheduler.FinishRequestsSince(2 * time.Second)
	w.runIterations()
	if answered(early, 503, true); !w.scheduler.IsQuiet() {
		t.Error("not quiet once all is answered")
	}
}

// The front sends clients to a process once its /up answers 200, so one whose requests would wait for the first list says 503.
func TestUpOnlyOnceNothingAwaitsTheFirstEndpointList(t *testing.T) {
	w := newHarness(&modeltest.Steps{T: t})
	p, fd := w.socketPair()
	w.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	up := func(status, unready string) {
		t.Helper()
		p.received = nil
		p.write([]byte(upRequest))
		w.runIterations()
		if p.read(4096); !strings.HasPrefix(string(p.received), "HTTP/1.1 "+status) || w.scheduler.notReadyReason() != unready {
			t.Errorf("%q, unready %q, expected %s, %q", p.received, w.scheduler.notReadyReason(), status, unready)
		}
	}
	up("200", "")
	w.scheduler.Requests.AwaitEndpoints(w.scheduler.Now() + time.Hour)
	up("503", "no word from discovery yet")
	w.scheduler.Requests.DiscoveryFailed()
	up("200", "")
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
	w.scheduler.Requests.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
		{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
	}})
	p := w.connectClient()
	w.runIterations()
	w.writeAll(p, []byte(requestOfSize(1, size)))
	w.runUntilQuiet()
	workers := w.policy.Received[1].(dispatch.WorkerList).Workers
	w.policy.Next = append(w.policy.Next, dispatch.Send{Job: 1, Worker: workers[0].ID})
	w.scheduler.Requests.Wake()
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
	w.scheduler.Requests.Wake()
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
