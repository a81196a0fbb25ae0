package worker

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// fixture is a pool with an event loop, a request table and a scripted policy. Its connections lead to the test: their remote
// ends are sockets that the test reads and writes between iterations, on a clock that it moves.
type fixture struct {
	*modeltest.Steps
	loop   *eventloop.Loop
	pool   *Pool
	table  *requests.Table
	policy *modeltest.ScriptedPolicy
	now    time.Duration
	clock  func() time.Duration                                 // what the loop reads; returns now
	dial   func(address netip.AddrPort) (fd int, err error)     // opens a connection to a peer
	hold   func(attempt *requests.Attempt) (hold time.Duration) // before an attempt is written; none
	dialed []*peer                                              // remote ends of connections, in the order of their opening
}

// peer is the remote end of a connection.
type peer struct {
	fd            int
	dialedAddress netip.AddrPort // what was dialed
	received      []byte
	ended         bool // by the loop's side
	closed        bool // by this side
}

// testTransport is the pool as the transport of a request table without discovery.
type testTransport struct{ *Pool }

func (testTransport) Watch(int64) {}

// newFixture returns a fixture with one worker, "s-0".
func newFixture(steps *modeltest.Steps) *fixture {
	w := &fixture{Steps: steps, policy: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	w.clock = func() time.Duration { return w.now }
	w.hold = func(*requests.Attempt) time.Duration { return 0 }
	w.dial = func(address netip.AddrPort) (int, error) {
		p, fd := w.socketPair()
		p.dialedAddress = address
		w.dialed = append(w.dialed, p)
		return fd, nil
	}
	w.openLoop()
	w.pool = New(Config{
		Loop:              w.loop,
		Dial:              func(address netip.AddrPort) (int, error) { return w.dial(address) },
		AttemptHold:       func(attempt *requests.Attempt) time.Duration { return w.hold(attempt) },
		HasRelinquished:   func() bool { return false },
		MaxConnections:    50,
		ConnectTimeout:    250 * time.Millisecond,
		WorkerIdleTimeout: time.Minute,
	})
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	newPolicy := func() requests.Policy { return w.policy }
	w.table = requests.New(6, names, newPolicy, endpoints, testTransport{w.pool}, slog.New(slog.DiscardHandler))
	w.pool.SetTable(w.table)
	w.runIterations()
	return w
}

// openLoop makes the loop, which is closed at the end of the test.
func (w *fixture) openLoop() {
	loop, err := eventloop.New(eventloop.Config{
		Clock: func() time.Duration { return w.clock() },
		Log:   slog.New(slog.DiscardHandler),
		Hooks: eventloop.Hooks{
			NextStep: func() (time.Duration, bool) { return w.table.NextStep() },
			Step:     func(now time.Duration) { w.table.Step(now) },
		},
	})
	if err != nil {
		w.T.Fatal(err)
	}
	w.T.Cleanup(loop.CloseDescriptors)
	w.loop = loop
}

// injectFaults applies rules to the system calls of the loop from now on.
func (w *fixture) injectFaults(rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(1, func() time.Duration { return w.now })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*w.loop.Syscalls() = injector.Syscalls()
	return injector
}

// socketPair returns a connection: a peer, and the descriptor for the loop.
func (w *fixture) socketPair() (*peer, int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		w.T.Fatal(err)
	}
	_ = unix.SetsockoptInt(fds[1], unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10) // so that large requests are written in parts
	p := &peer{fd: fds[0]}
	w.T.Cleanup(p.close)
	return p, fds[1]
}

// runOnce runs a single iteration of the loop, with a single step at most.
func (w *fixture) runOnce() {
	if err := w.loop.RunOnce(0); err != nil {
		w.T.Fatal(err)
	}
}

// runIterations lets the loop do all that it can do now.
func (w *fixture) runIterations() {
	for range 4 {
		w.runOnce()
	}
}

// workerNumber returns the number of the worker that was listed first.
func (w *fixture) workerNumber() uint64 {
	for _, event := range w.policy.Received {
		if list, ok := event.(dispatch.WorkerList); ok {
			return list.Workers[0].ID
		}
	}
	w.T.Fatal("no worker")
	return 0
}

func (p *peer) close() {
	if !p.closed {
		p.closed = true
		_ = unix.Close(p.fd)
	}
}

// read reads at most limit bytes of what was received.
func (p *peer) read(limit int) {
	b := make([]byte, limit)
	for !p.closed && !p.ended && len(b) > 0 {
		n, err := unix.Read(p.fd, b)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if p.ended = n <= 0; !p.ended {
			p.received = append(p.received, b[:n]...)
			b = b[n:]
		}
	}
}

func (p *peer) write(b []byte) {
	if !p.closed {
		_, _ = unix.Write(p.fd, b) // the loop may have closed its side
	}
}
