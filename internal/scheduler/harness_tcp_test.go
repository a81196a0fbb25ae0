package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
)

// listen makes the harness's scheduler accept TCP connections. Only these can be reset.
func (h *harness) listen() {
	if err := h.scheduler.clients.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		h.T.Fatal(err)
	}
}

// connectClient returns the client's end of a TCP connection that is not accepted yet.
func (h *harness) connectClient() *peer { return h.connectTo(h.scheduler.clients.Socket()) }

// connectTo returns the remote end of a TCP connection to a listening socket.
func (h *harness) connectTo(listener int) *peer {
	return &peer{Peer: eventlooptest.Connect(h.T, listener)}
}

// writeAll writes all of b, with an iteration of the loop whenever the socket's buffer is full.
func (h *harness) writeAll(p *peer, b []byte) {
	for idle := 0; len(b) > 0 && idle < 100; {
		n, err := unix.Write(p.FD, b)
		if err != nil && !errors.Is(err, unix.EAGAIN) {
			h.T.Fatalf("%d bytes could not be written: %v", len(b), err)
		}
		if n <= 0 {
			h.runOnce()
			idle++
			continue
		}
		b, idle = b[n:], 0
	}
	if len(b) > 0 {
		h.T.Fatalf("the loop has stopped reading: %d bytes are left", len(b))
	}
}

// runUntilNoEvents runs the loop until no descriptor has events.
func (h *harness) runUntilNoEvents() {
	for range 10_000 {
		h.runOnce()
		if h.readyDescriptors() == 0 {
			h.runIterations()
			return
		}
	}
	h.T.Fatal("descriptors still have events")
}

// runOnce runs one iteration of the loop.
func (h *harness) runOnce() {
	if err := h.scheduler.RunOnce(0); err != nil {
		h.T.Fatal(err)
	}
}

// statuses returns the status of each received response except interim ones.
func (p *peer) statuses(t *testing.T) (statuses []int) {
	t.Helper()
	p.Read(1 << 20)
	b := p.Received
	for len(b) > 0 {
		if remaining, is := bytes.CutPrefix(b, []byte(http1.ContinueResponse)); is {
			b = remaining
			continue
		}
		var m http1.Response
		n, err := m.Parse(b, p.Ended)
		if err != nil {
			t.Fatalf("%q: %v", b, err)
		}
		statuses, b = append(statuses, m.StatusCode), b[n:]
	}
	return statuses
}

// requestOfSize returns request n with a body of the given size, in bytes.
func requestOfSize(n, size int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: %d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
		n, size, strings.Repeat("x", size))
}
