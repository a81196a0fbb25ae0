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

// readinessRequest is the readiness check of the clients' load balancer.
const readinessRequest = "GET /up HTTP/1.1\r\n\r\n"

// A draining scheduler continues to serve the connections that clients have. Close ends idle connections, responds to the
// requests in flight, whose connections end then, and admits no other. IsIdle reports when all responses are sent.
// FinishRequestsSince responds to the requests that arrived within a span and are still open; those that arrived earlier stay
// open.
func TestDrain(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	connect := func(text string) *peer {
		p, fd := h.socketPair()
		h.scheduler.clients.AddConnection(fd, netip.AddrPort{})
		p.Write([]byte(text))
		h.runIterations()
		return p
	}
	answered := func(p *peer, status int, closes bool) {
		t.Helper()
		var m http1.Response
		p.Read(1 << 10)
		if _, err := m.Parse(p.Received, true); err != nil || m.StatusCode != status || m.KeepAlive == closes {
			t.Errorf("answered %q (%v)", p.Received, err)
		}
		p.Received = nil
	}
	idle := connect(readinessRequest)
	answered(idle, 200, false)
	early := connect(requestOfSize(1, 5))
	h.scheduler.Drain()
	h.now += time.Second
	h.runIterations()
	idle.Write([]byte(requestOfSize(2, 5)))
	h.runIterations()
	h.policy.Next = append(h.policy.Next, dispatch.Reject{Job: 2, RetryAfter: time.Second})
	h.scheduler.Requests.DiscoveryFailed()
	h.runIterations()
	answered(idle, 503, false)
	answered(connect(readinessRequest), 503, false)
	late := connect(requestOfSize(3, 5))
	h.scheduler.Close()
	h.runIterations()
	if idle.Read(1); !idle.Ended || h.scheduler.IsIdle() {
		t.Errorf("idle connection ended %v, scheduler idle %v", idle.Ended, h.scheduler.IsIdle())
	}
	answered(connect(requestOfSize(4, 5)), 503, true)
	h.scheduler.FinishRequestsSince(time.Second / 2)
	h.runIterations()
	answered(late, 503, true)
	if early.Read(1); len(early.Received) > 0 || h.scheduler.IsIdle() {
		t.Errorf("a request before the span was answered %q, scheduler idle %v", early.Received, h.scheduler.IsIdle())
	}
	h.scheduler.FinishRequestsSince(2 * time.Second)
	h.runIterations()
	if answered(early, 503, true); !h.scheduler.IsIdle() {
		t.Error("the scheduler is not idle after all responses")
	}
}

// The load balancer sends clients to a process once its /up answers 200. While requests would wait for the first endpoint list,
// /up answers 503.
func TestNotReadyBeforeFirstEndpointList(t *testing.T) {
	h := newHarness(&modeltest.Steps{T: t})
	p, fd := h.socketPair()
	h.scheduler.clients.AddConnection(fd, netip.AddrPort{})
	up := func(status, unready string) {
		t.Helper()
		p.Received = nil
		p.Write([]byte(readinessRequest))
		h.runIterations()
		if p.Read(4096); !strings.HasPrefix(string(p.Received), "HTTP/1.1 "+status) || h.scheduler.notReadyReason() != unready {
			t.Errorf("%q, not ready because %q, expected %s, %q", p.Received, h.scheduler.notReadyReason(), status, unready)
		}
	}
	up("200", "")
	h.scheduler.Requests.AwaitEndpoints(h.scheduler.Now() + time.Hour)
	up("503", "no word from discovery yet")
	h.scheduler.Requests.DiscoveryFailed()
	up("200", "")
}

// A client closes its connection during an attempt of its request. An attempt that is not completely written is stopped, also
// if its connection is established in the same iteration. An accepted attempt continues. In neither case is another attempt
// sent.
func TestClientClosesDuringAttempt(t *testing.T) {
	for stage, size := range map[string]int{"connecting": 0, "partly written": http1.MaxBodySize, "accepted": 0} {
		for how, leave := range map[string]func(*peer){"end": (*peer).Close, "reset": (*peer).Reset} {
			t.Run(stage+", "+how, func(t *testing.T) {
				h := newHarness(&modeltest.Steps{T: t})
				h.listen()
				h.closeClientDuringAttempt(stage, size, leave)
			})
		}
	}
}

// closeClientDuringAttempt closes a client's connection while the attempt of its request is connecting, partly written or
// accepted.
func (h *harness) closeClientDuringAttempt(stage string, size int, leave func(*peer)) {
	h.scheduler.Requests.UpdateEndpoints(requests.EndpointList{Reset: true, Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
		{ID: "s-1", Addr: "127.0.0.1:2", Lifecycle: "up"},
	}})
	p := h.connectClient()
	h.runIterations()
	h.writeAll(p, []byte(requestOfSize(1, size)))
	h.runUntilNoEvents()
	workers := h.policy.Received[1].(dispatch.WorkerList).Workers
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: 1, Worker: workers[0].ID})
	h.scheduler.Requests.Wake()
	h.runOnce()
	if len(h.dialed) != 1 {
		h.T.Fatal("no attempt was sent")
	}
	remote := h.dialed[0]
	if stage != "connecting" {
		h.runUntilNoEvents()
	}
	if remote.Read(1 << 10); stage == "accepted" {
		remote.Write([]byte(acceptedResponse))
		h.runIterations()
	}
	leave(p)
	h.policy.Next = append(h.policy.Next, dispatch.Send{Job: 1, Worker: workers[1].ID})
	h.scheduler.Requests.Wake()
	h.runUntilNoEvents()
	remote.Read(1 << 20)
	var m http1.Request
	_, err := m.Parse(remote.Received)
	if whole := err == nil; whole != (stage == "accepted") || len(h.dialed) != 1 || stage == "connecting" && len(remote.Received) > 0 {
		h.T.Errorf("the worker received %d bytes, a complete request %v; %d connections were opened", len(remote.Received), whole, len(h.dialed))
	}
	if remote.Ended == (stage == "accepted") {
		h.T.Errorf("the attempt's connection ended: %v", remote.Ended)
	}
}
