package scheduler

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/client"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// harness is a scheduler whose connections have their remote ends in the test. The test reads and writes these between
// iterations of the loop, and advances the clock.
type harness struct {
	*modeltest.Steps
	scheduler       *Scheduler
	policy          *modeltest.ScriptedPolicy
	now             time.Duration
	clock           func() time.Duration // read by the loop; returns now by default
	clockAhead      time.Duration        // how far now is ahead of the monotonic clock that all processes share
	operatorAddress netip.AddrPort       // of newOperatorHarness
	state           harnessState
	cordonStore     *hotrestart.CordonStore // nil: cordons are not stored
	dialed          []*peer                 // the remote ends of connections to workers and discovery, in order of opening
}

// harnessState is the transferred state of a scheduler, of which a test may change the snapshot.
type harnessState struct {
	transferState
	alter func(snapshot *transport.Snapshot) // nil: the snapshot is not changed
}

// Snapshot returns the state as the test has changed it.
func (h *harnessState) Snapshot() transport.Snapshot {
	snapshot := h.transferState.Snapshot()
	if h.alter != nil {
		h.alter(&snapshot)
	}
	return snapshot
}

// peer is the remote end of a connection.
type peer struct {
	*eventlooptest.Peer
	dialedAddress netip.AddrPort // of a connection that the scheduler has dialed
}

// newHarness returns a scheduler with one worker, "s-0".
func newHarness(s *modeltest.Steps) *harness {
	h := &harness{Steps: s, policy: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	h.clock = func() time.Duration { return h.now }
	silent := slog.New(slog.DiscardHandler)
	l, err := newScheduler(silent, silent, func() time.Duration { return h.clock() }, 0, eventloop.Syscalls{})
	if err != nil {
		s.T.Fatal(err)
	}
	l.monotonic = func() time.Duration { return h.now - h.clockAhead }
	l.dial = func(at netip.AddrPort) (int, error) {
		p, fd := h.socketPair()
		p.dialedAddress = at
		h.dialed = append(h.dialed, p)
		return fd, nil
	}
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	l.openWorkerPool(50, 250*time.Millisecond, time.Minute)
	l.Requests = requests.New(6, names, func() requests.Policy { return h.policy }, requests.EndpointList{Endpoints: []requests.Endpoint{
		{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"},
	}}, workerTransport{l.workers, l}, silent)
	l.workers.SetTable(l.Requests)
	watched := config.Settings{Settings: dispatch.Settings{PollInterval: 10 * time.Second, MustSubscribe: true}}
	l.prepareWatch(config.Config{Settings: watched}, func(int64) int64 { return 0 })
	l.openClientListener(testClientLimits(50), &dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}}, names)
	l.onWake = func() {}
	l.openBudget(harnessLimits, 0)
	h.state.transferState = transferState{l}
	l.prepareHotRestart(&h.state)
	l.prepareCordons("", nil)
	h.scheduler = l
	s.T.Cleanup(l.CloseDescriptors)
	h.runIterations()
	return h
}

// harnessLimits are the limits of a harness's process.
var harnessLimits = config.Limits{Sockets: 1024, MemoryMB: 64}

// testClientLimits returns limits with the given number of connections.
func testClientLimits(connections int) client.Limits {
	return client.Limits{Connections: connections, Requests: limits.MaxRequests(connections), BufferBytes: 1 << 20}
}

// readyDescriptors returns the number of descriptors that have events. The events are not handled.
func (h *harness) readyDescriptors() int {
	n, err := unix.EpollWait(h.scheduler.EpollFD(), make([]unix.EpollEvent, 64), 0)
	if err != nil {
		h.T.Fatal(err)
	}
	return n
}

// socketPair returns the remote end of a connection, and the descriptor for the scheduler.
func (h *harness) socketPair() (*peer, int) {
	p, descriptor := eventlooptest.SocketPair(h.T)
	return &peer{Peer: p}, descriptor
}

// runIterations runs enough iterations of the loop for it to handle everything that is due now.
func (h *harness) runIterations() {
	for range 4 {
		if err := h.scheduler.RunOnce(0); err != nil {
			h.T.Fatal(err)
		}
	}
}

// workerNumber returns the policy's number for the only worker.
func (h *harness) workerNumber() uint64 {
	for _, e := range h.policy.Received {
		if list, ok := e.(dispatch.WorkerList); ok {
			return list.Workers[0].ID
		}
	}
	h.T.Fatal("no worker")
	return 0
}

// injectFaults applies fault rules to the scheduler's system calls from now on.
func (h *harness) injectFaults(seed uint64, rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(seed, func() time.Duration { return h.now })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*h.scheduler.Syscalls() = injector.Syscalls()
	return injector
}
