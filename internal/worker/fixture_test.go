package worker

import (
	"errors"
	"log/slog"
	"net/netip"
	"testing"
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
	tb         testing.TB
	loop       *eventloop.Loop
	pool       *Pool
	table      *requests.Table
	policy     *modeltest.ScriptedPolicy
	now        time.Duration
	clock      func() time.Duration                             // what the loop reads; returns now
	dial       func(address netip.AddrPort) (fd int, err error) // opens a connection to a peer
	writeDelay func(attempt *requests.Attempt) time.Duration    // none, unless a test sets it
	dialed     []*peer                                          // remote ends of connections, in the order of their opening
	requests   []*requests.Request                              // of sendAttempt, in order
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
func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := &fixture{tb: tb, policy: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	f.clock = func() time.Duration { return f.now }
	f.writeDelay = func(*requests.Attempt) time.Duration { return 0 }
	f.dial = func(address netip.AddrPort) (int, error) {
		p, fd := f.socketPair()
		p.dialedAddress = address
		f.dialed = append(f.dialed, p)
		return fd, nil
	}
	f.openLoop()
	f.pool = New(Config{
		Loop:              f.loop,
		Dial:              func(address netip.AddrPort) (int, error) { return f.dial(address) },
		WriteDelay:        func(attempt *requests.Attempt) time.Duration { return f.writeDelay(attempt) },
		HasRelinquished:   func() bool { return false },
		MaxConnections:    50,
		ConnectTimeout:    250 * time.Millisecond,
		WorkerIdleTimeout: time.Minute,
	})
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	newPolicy := func() requests.Policy { return f.policy }
	f.table = requests.New(6, names, newPolicy, endpoints, testTransport{f.pool}, slog.New(slog.DiscardHandler))
	f.pool.SetTable(f.table)
	f.runIterations()
	return f
}

// openLoop makes the loop, which is closed at the end of the test.
func (f *fixture) openLoop() {
	loop, err := eventloop.New(eventloop.Config{
		Clock: func() time.Duration { return f.clock() },
		Log:   slog.New(slog.DiscardHandler),
		Hooks: eventloop.Hooks{
			NextStep: func() (time.Duration, bool) { return f.table.NextStep() },
			Step:     func(now time.Duration) { f.table.Step(now) },
		},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.tb.Cleanup(loop.CloseDescriptors)
	f.loop = loop
}

// injectFaults applies rules to the system calls of the loop from now on.
func (f *fixture) injectFaults(rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(1, func() time.Duration { return f.now })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*f.loop.Syscalls() = injector.Syscalls()
	return injector
}

// socketPair returns a connection: a peer, and the descriptor for the loop.
func (f *fixture) socketPair() (*peer, int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		f.tb.Fatal(err)
	}
	_ = unix.SetsockoptInt(fds[1], unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10) // so that large requests are written in parts
	p := &peer{fd: fds[0]}
	f.tb.Cleanup(p.close)
	return p, fds[1]
}

// runOnce runs a single iteration of the loop, with a single step at most.
func (f *fixture) runOnce() {
	if err := f.loop.RunOnce(0); err != nil {
		f.tb.Fatal(err)
	}
}

// runIterations lets the loop do all that it can do now.
func (f *fixture) runIterations() {
	for range 4 {
		f.runOnce()
	}
}

// workerNumber returns the number of the worker that was listed first.
func (f *fixture) workerNumber() uint64 {
	for _, event := range f.policy.Received {
		if list, ok := event.(dispatch.WorkerList); ok {
			return list.Workers[0].ID
		}
	}
	f.tb.Fatal("no worker")
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
