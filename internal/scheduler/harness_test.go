package scheduler

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/client"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// harness is a loop whose connections lead to the test itself: their other ends are sockets that it reads and writes
// between iterations, on a clock of its own.
type harness struct {
	*modeltest.Steps
	scheduler       *Scheduler
	policy          *modeltest.ScriptedPolicy
	now             time.Duration
	clock           func() time.Duration // what the loop reads; returns now
	ahead           time.Duration        // of now before the monotonic clock that all processes share
	operatorAddress netip.AddrPort       // of newOperatorHarness
	state           harnessState
	cordonStore     *hotrestart.CordonStore // nil: cordons are not stored
	dialed          []*peer                 // the far ends of connections to workers and watches, in the order of their opening
}

// harnessState is the state of a loop, of which a test may change the snapshot.
type harnessState struct {
	transferState
	alter func(snapshot *transport.Snapshot) // nil: it is not changed
}

// Snapshot returns the state as the test has changed it.
func (s *harnessState) Snapshot() transport.Snapshot {
	snapshot := s.transferState.Snapshot()
	if s.alter != nil {
		s.alter(&snapshot)
	}
	return snapshot
}

// peer is the far end of a connection.
type peer struct {
	fd            int
	dialedAddress netip.AddrPort // what was dialed
	received      []byte
	ended         bool // by the loop's side
	closed        bool // by this side
}

func newHarness(s *modeltest.Steps) *harness {
	w := &harness{Steps: s, policy: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	w.clock = func() time.Duration { return w.now }
	silent := slog.New(slog.DiscardHandler)
	l, err := newScheduler(silent, silent, func() time.Duration { return w.clock() }, 0, eventloop.Syscalls{})
	if err != nil {
		s.T.Fatal(err)
	}
	l.monotonic = func() time.Duration { return w.now - w.ahead }
	l.dial = func(at netip.AddrPort) (int, error) {
		p, fd := w.socketPair()
		p.dialedAddress = at
		w.dialed = append(w.dialed, p)
		return fd, nil
	}
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	l.openWorkerPool(50, 250*time.Millisecond, time.Minute)
	l.Requests = requests.New(6, names, func() requests.Policy { return w.policy }, requests.EndpointList{Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
	}}, workerTransport{l.workers, l}, silent)
	l.workers.SetTable(l.Requests)
	watched := config.Settings{Settings: dispatch.Settings{PollInterval: 10 * time.Second, MustSubscribe: true}}
	l.prepareWatch(config.Config{Settings: watched}, func(int64) int64 { return 0 })
	l.openClientListener(testClientLimits(50), &dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}}, names)
	l.onWake = func() {}
	l.openBudget(harnessLimits, 0)
	w.state.transferState = transferState{l}
	l.prepareHotRestart(&w.state)
	l.prepareCordons("", nil)
	w.scheduler = l
	s.T.Cleanup(l.CloseDescriptors)
	w.runIterations()
	return w
}

// harnessLimits are the limits of a harness's process.
var harnessLimits = config.Limits{Sockets: 1024, MemoryMB: 64}

// testClientLimits returns limits with so many connections.
func testClientLimits(connections int) client.Limits {
	return client.Limits{Connections: connections, Requests: limits.MaxRequests(connections), BufferBytes: 1 << 20}
}

// readyDescriptors counts descriptors for which epoll has events, and hands out none.
func (w *harness) readyDescriptors() int {
	n, err := unix.EpollWait(w.scheduler.EpollFD(), make([]unix.EpollEvent, 64), 0)
	if err != nil {
		w.T.Fatal(err)
	}
	return n
}

// socketPair gives a connection: a peer, and the descriptor for the loop.
func (w *harness) socketPair() (*peer, int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		w.T.Fatal(err)
	}
	_ = unix.SetsockoptInt(fds[1], unix.SOL_SOCKET, unix.SO_SNDBUF, 8<<10) // so that large requests go in parts
	p := &peer{fd: fds[0]}
	w.T.Cleanup(p.close)
	return p, fds[1]
}

// runIterations lets the loop do all that it can do now.
func (w *harness) runIterations() {
	for range 4 {
		if err := w.scheduler.RunOnce(0); err != nil {
			w.T.Fatal(err)
		}
	}
}

// workerNumber is the number of the one worker.
func (w *harness) workerNumber() uint64 {
	for _, e := range w.policy.Received {
		if list, ok := e.(dispatch.WorkerList); ok {
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

// read takes up to most bytes of what has come.
func (p *peer) read(most int) {
	b := make([]byte, most)
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

// injectFaults has rules apply to the system calls of the harness's loop from now on.
func (w *harness) injectFaults(seed uint64, rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(seed, func() time.Duration { return w.now })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*w.scheduler.Syscalls() = injector.Syscalls()
	return injector
}
