package link

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// world is a loop whose links lead to the test itself: their other ends are sockets that it reads and writes
// between turns, on a clock of its own.
type world struct {
	*modeltest.Steps
	loop   *Loop
	module *modeltest.ScriptedPolicy
	now    time.Duration
	clock  func() time.Duration // what the loop reads; returns now
	dialed []*peer              // the far ends of server links and watches, in the order of their opening
}

// peer is the far end of a link.
type peer struct {
	fd     int
	at     netip.AddrPort // what was dialed
	got    []byte
	ended  bool // by the loop's side
	closed bool // by this side
}

func newWorld(s *modeltest.Steps) *world {
	w := &world{Steps: s, module: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	w.clock = func() time.Duration { return w.now }
	silent := slog.New(slog.DiscardHandler)
	l, err := newLoop(silent, silent, func() time.Duration { return w.clock() }, 0)
	if err != nil {
		s.T.Fatal(err)
	}
	l.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.pair()
		p.at = at
		w.dialed = append(w.dialed, p)
		return fd, nil
	}
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	l.openWorkerPool(50, 250*time.Millisecond, time.Minute)
	l.watch = l.newWatchConnection(netip.AddrPort{}, discovery.Config{PollInterval: 10 * time.Second}, func(int64) int64 { return 0 })
	l.Requests = requests.New(6, names, func() requests.Policy { return w.module }, requests.EndpointList{Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
	}}, l.workers, silent)
	l.openClientListener(50, 1<<20, &dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}}, names)
	l.onWake = func() {}
	l.limits = config.Limits{Sockets: 1024, MemoryMB: 64}
	w.loop = l
	s.T.Cleanup(l.CloseDescriptors)
	w.turn()
	return w
}

// clientLink finds the client link of a descriptor.
func (w *world) clientLink(fd int) *clientConnection {
	for k := range w.loop.clients.connections {
		if k.FD() == fd {
			return k
		}
	}
	w.T.Fatalf("no client link has descriptor %d", fd)
	return nil
}

// readyDescriptors counts descriptors for which epoll has events, and hands out none.
func (w *world) readyDescriptors() int {
	n, err := unix.EpollWait(w.loop.EpollFD(), make([]unix.EpollEvent, 64), 0)
	if err != nil {
		w.T.Fatal(err)
	}
	return n
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
		if err := w.loop.RunOnce(0); err != nil {
			w.T.Fatal(err)
		}
	}
}

// worker is the number of the one host.
func (w *world) worker() uint64 {
	for _, e := range w.module.Received {
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
