package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
)

// listen has the harness's loop accept TCP connections: only there does an end come as a reset.
func (w *harness) listen() {
	if err := w.scheduler.clients.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		w.T.Fatal(err)
	}
}

// connectClient gives the client's end of a TCP connection, which the loop has yet to accept.
func (w *harness) connectClient() *peer { return w.connectTo(w.scheduler.clients.Socket()) }

// connectTo gives the far end of a TCP connection to a listening socket.
func (w *harness) connectTo(listener int) *peer {
	sa, err := unix.Getsockname(listener)
	if err != nil {
		w.T.Fatal(err)
	}
	return w.connectToAddress(sa)
}

// connectToAddress gives the far end of a TCP connection.
func (w *harness) connectToAddress(sockaddr unix.Sockaddr) *peer {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Connect(fd, sockaddr)
	}
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err != nil {
		w.T.Fatal(err)
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	p := &peer{fd: fd}
	w.T.Cleanup(p.close)
	return p
}

// reset closes the peer's end with a reset in place of an end.
func (p *peer) reset() {
	_ = unix.SetsockoptLinger(p.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	p.close()
}

// closeWrite ends what the peer writes; it still reads.
func (p *peer) closeWrite() { _ = unix.Shutdown(p.fd, unix.SHUT_WR) }

// writeAll writes all of b, with an iteration whenever the loop's side has to read first.
func (w *harness) writeAll(p *peer, b []byte) {
	for idle := 0; len(b) > 0 && idle < 100; {
		n, err := unix.Write(p.fd, b)
		if err != nil && !errors.Is(err, unix.EAGAIN) {
			w.T.Fatalf("%d bytes are not taken: %v", len(b), err)
		}
		if n <= 0 {
			w.runOnce()
			idle++
			continue
		}
		b, idle = b[n:], 0
	}
	if len(b) > 0 {
		w.T.Fatalf("the loop reads no more: %d bytes are left", len(b))
	}
}

// runUntilQuiet runs the loop until nothing is ready any more.
func (w *harness) runUntilQuiet() {
	for range 10_000 {
		w.runOnce()
		if w.readyDescriptors() == 0 {
			w.runIterations()
			return
		}
	}
	w.T.Fatal("the loop finds no rest")
}

// runOnce is a single iteration of the loop, with a single step at most.
func (w *harness) runOnce() {
	if err := w.scheduler.RunOnce(0); err != nil {
		w.T.Fatal(err)
	}
}

// statuses gives the status of each answer that has come, without interim ones.
func (p *peer) statuses(t *testing.T) (statuses []int) {
	t.Helper()
	p.read(1 << 20)
	b := p.received
	for len(b) > 0 {
		if remaining, is := bytes.CutPrefix(b, []byte(http1.ContinueResponse)); is {
			b = remaining
			continue
		}
		var m http1.Response
		n, err := m.Parse(b, p.ended)
		if err != nil {
			t.Fatalf("%q: %v", b, err)
		}
		statuses, b = append(statuses, m.StatusCode), b[n:]
	}
	return statuses
}

// requestOfSize is request n with a body of so many bytes.
func requestOfSize(n, size int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: %d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
		n, size, strings.Repeat("x", size))
}
