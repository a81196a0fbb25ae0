package link

import (
	"bytes"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/requests"
	"valvecove/internal/steps"
)

// world is a loop whose links lead to the test itself: their other ends are sockets that it reads and writes
// between turns, on a clock of its own.
type world struct {
	*steps.Steps
	loop   *Loop
	module *steps.Script
	now    time.Duration
	dialed []*peer // the far ends of server links and watches, in the order of their opening
}

// peer is the far end of a link.
type peer struct {
	fd     int
	at     netip.AddrPort // what was dialed
	got    []byte
	ended  bool // by the loop's side
	closed bool // by this side
}

func newWorld(s *steps.Steps) *world {
	w := &world{Steps: s, module: &steps.Script{}, now: 1000 * time.Hour}
	silent := slog.New(slog.DiscardHandler)
	l, err := newLoop(silent, silent)
	if err != nil {
		s.T.Fatal(err)
	}
	l.clock = func() time.Duration { return w.now }
	l.now = w.now
	l.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.pair()
		p.at = at
		w.dialed = append(w.dialed, p)
		return fd, nil
	}
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	l.serve(50, 250*time.Millisecond, time.Minute)
	l.watch = l.newWatchConnection(netip.AddrPort{}, discovery.Config{PollInterval: 10 * time.Second}, func(int64) int64 { return 0 })
	l.Ledger = requests.New(6, names, func() requests.Policy { return w.module }, requests.EndpointList{Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}, l.servers, silent)
	l.accept(50, 1<<20, &dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}}, names)
	l.onWake = func() {}
	l.limits = config.Limits{Sockets: 1024, MemoryMB: 64}
	w.loop = l
	s.T.Cleanup(func() {
		for fd, h := range l.handlers {
			if h != nil {
				_ = unix.Close(fd)
			}
		}
		_ = unix.Close(l.epoll)
	})
	w.turn()
	return w
}

// pair gives a connection: a peer, and the descriptor for the loop.
func (w *world) pair() (*peer, int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		w.T.Fatal(err)
	}
	_ = unix.SetsockoptInt(fds[1], unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10) // so that large requests go in parts
	p := &peer{fd: fds[0]}
	w.T.Cleanup(p.close)
	return p, fds[1]
}

// turn lets the loop do all that it can do now.
func (w *world) turn() {
	for range 4 {
		if err := w.loop.turn(0); err != nil {
			w.T.Fatal(err)
		}
	}
}

// worker is the number of the one host.
func (w *world) worker() uint64 {
	for _, e := range w.module.Heard {
		if list, ok := e.(dispatch.WorkerList); ok {
			return list.Workers[0].ID
		}
	}
	w.T.Fatal("no host")
	return 0
}

func (p *peer) close() {
	if !p.closed {
		p.closed = true
		_ = unix.Close(p.fd)
	}
}

// read takes up to most bytes of what has come.
func (p *peer) read(most int) {
	b := make([]byte, most)
	for !p.closed && !p.ended && len(b) > 0 {
		n, err := unix.Read(p.fd, b)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if p.ended = n <= 0; !p.ended {
			p.got = append(p.got, b[:n]...)
			b = b[n:]
		}
	}
}

func (p *peer) write(b []byte) {
	if !p.closed {
		_, _ = unix.Write(p.fd, b) // the loop may have closed its side
	}
}

// A message cut anywhere is short until it is whole and then what it would have been in one piece; no bytes
// make the parsers panic or take more than there is.
func FuzzMessage(f *testing.F) {
	for _, text := range []string{
		"POST /a?x=1 HTTP/1.1\r\nContent-Length: 5\r\nX-Call-Id: q\r\n\r\nhelloGET /up HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nConnection: close\r\n\r\nbody", "HTTP/1.1 204 \r\n\r\n", "\r\n\r\nGET", "\x00\xff",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET /\r\n\r\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, request bool) {
		parse := func(m *Message, b []byte) (int, error) {
			if request {
				return m.ParseRequest(b)
			}
			return m.ParseResponse(b, false)
		}
		var whole, part Message
		n, err := parse(&whole, b)
		if n > len(b) || err == nil && n == 0 || len(whole.Body) > maxBody {
			t.Fatalf("took %d of %d, body of %d, %v", n, len(b), len(whole.Body), err)
		}
		for i := range b {
			k, short := parse(&part, b[:i])
			switch {
			case err == nil && i < n && !errors.Is(short, errShort):
				t.Fatalf("%d of %d bytes: %d, %v", i, n, k, short)
			case err == nil && i >= n && (k != n || !bytes.Equal(part.Body, whole.Body) || part.Status != whole.Status):
				t.Fatalf("more bytes changed the message: took %d, then %d", n, k)
			case errors.Is(err, errShort) && !errors.Is(short, errShort):
				t.Fatalf("short as a whole, %v in part", short)
			}
		}
	})
}

// Framing that two readers might read in two ways, or that costs too much, is refused and never guessed at.
func TestFramingRefused(t *testing.T) {
	for text, want := range map[string]int{
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n":                           400,
		"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\n":                                               400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                                 501,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n":                           400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1ffff\r\n" + strings.Repeat("x", 1<<17): 413,
		"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                            413,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", maxHead):                                        431,
		"GET / HTTP/3.0\r\n\r\n": 505,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\ntransfer-ENCODING:chunked\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: x\r\nContent-Length: 2\r\n\r\n":      501,
		"POST / HTTP/1.1\r\nTransfer-Encoding:\vchunked\r\n\r\n":                    400,
		"POST / HTTP/1.1\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\n":            400,
		"POST / HTTP/1.1\r\nX: y\nTransfer-Encoding: chunked\r\n\r\n":               400,
		"POST / HTTP/1.1\nContent-Length: 2\r\n\r\n":                                400,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n":         400,
		"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n":                           400,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                     400,
		"POST /\xff HTTP/1.1\r\n\r\n":                                               400,
		strings.Repeat("\r\n", 8):                                                   400,
	} {
		var m Message
		var bad *BadMessage
		if _, err := m.ParseRequest([]byte(text)); !errors.As(err, &bad) || bad.Status != want {
			t.Errorf("%.70q: %v, expected %d", text, err, want)
		}
	}
}
