package client

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// fixture is a client listener with an event loop, a request table, a scripted policy and a transport that records attempts. The
// test controls the clock, and reads and writes the remote ends of the connections between iterations.
type fixture struct {
	*modeltest.Steps
	*eventlooptest.Loop
	listener  *Listener
	table     *requests.Table
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
}

// recordingTransport records the attempts that are started. They never progress.
type recordingTransport struct {
	started []*requests.Attempt
}

func (t *recordingTransport) Start(attempt *requests.Attempt) { t.started = append(t.started, attempt) }
func (*recordingTransport) Abandon(*requests.Attempt)         {}
func (*recordingTransport) Cancel(*requests.Attempt)          {}
func (*recordingTransport) CheckHealth(uint64)                {}
func (*recordingTransport) CloseIdleConnections(uint64)       {}
func (*recordingTransport) Watch(int64)                       {}

// newFixture returns a fixture with one worker, "s-0", and without access lists.
func newFixture(steps *modeltest.Steps) *fixture { return newFixtureWith(steps, func(*Config) {}) }

// newFixtureWith returns a fixture whose listener's configuration is changed by a function.
func newFixtureWith(steps *modeltest.Steps, change func(config *Config)) *fixture {
	f := &fixture{Steps: steps, policy: &modeltest.ScriptedPolicy{}, transport: &recordingTransport{}}
	f.Loop = eventlooptest.NewLoop(steps.T, eventloop.Hooks{
		NextStep:          func() (time.Duration, bool) { return f.table.NextStep() },
		Step:              func(now time.Duration) { f.table.Step(now) },
		DescriptorsClosed: func() { f.listener.HandleDescriptorsClosed() },
	})
	discard := slog.New(slog.DiscardHandler)
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	f.table = requests.New(6, names, func() requests.Policy { return f.policy }, endpoints, f.transport, discard)
	config := Config{
		Loop:          f.Loop.Loop,
		Table:         f.table,
		Log:           discard,
		ConnectionLog: discard,
		Settings:      &dispatch.Settings{Classes: []dispatch.Class{{ClientTimeout: 5 * time.Second}}},
		Names:         names,
		Limits:        testLimits(50),
	}
	change(&config)
	f.listener = NewListener(config)
	f.RunIterations()
	return f
}

// testLimits returns limits with a number of connections.
func testLimits(connections int) Limits {
	return Limits{Connections: connections, Requests: limits.MaxRequests(connections), BufferBytes: 1 << 20}
}

// connection returns the connection with a descriptor.
func (f *fixture) connection(fd int) *connection {
	for c := range f.listener.connections {
		if c.FD() == fd {
			return c
		}
	}
	f.T.Fatalf("no client connection has descriptor %d", fd)
	return nil
}

// openConnection returns the remote end of a connection on a Unix socket.
func (f *fixture) openConnection() *eventlooptest.Peer { return f.openConnectionFrom(netip.AddrPort{}) }

// openConnectionFrom is openConnection with a client's address.
func (f *fixture) openConnectionFrom(from netip.AddrPort) *eventlooptest.Peer {
	peer, _ := f.openDescriptor(from)
	return peer
}

// openDescriptor is openConnectionFrom with the descriptor of the listener's end.
func (f *fixture) openDescriptor(from netip.AddrPort) (peer *eventlooptest.Peer, fd int) {
	peer, fd = eventlooptest.SocketPair(f.T)
	f.listener.AddConnection(fd, from)
	return peer, fd
}

// listen accepts TCP connections, which can end with a reset, unlike those of openConnection.
func (f *fixture) listen() {
	if err := f.listener.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		f.T.Fatal(err)
	}
}

// connect returns the remote end of a new TCP connection to the listener.
func (f *fixture) connect() *eventlooptest.Peer {
	return eventlooptest.Connect(f.T, f.listener.Socket())
}

// injectFaults applies rules to the system calls of the loop from now on.
func (f *fixture) injectFaults(seed uint64, rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(seed, func() time.Duration { return f.Time })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*f.Syscalls() = injector.Syscalls()
	return injector
}

// workerNumber returns the number of the worker.
func (f *fixture) workerNumber() uint64 {
	for _, event := range f.policy.Received {
		if list, ok := event.(dispatch.WorkerList); ok {
			return list.Workers[0].ID
		}
	}
	f.T.Fatal("no worker")
	return 0
}

// hasAnsweredAll reports whether no request is open, and every response is sent.
func (f *fixture) hasAnsweredAll() bool { return f.table.OpenCount() == 0 && f.listener.HasSentAll() }

// act makes the policy return actions in the next step, and makes the step due.
func (f *fixture) act(actions ...dispatch.Action) {
	f.policy.Next = append(f.policy.Next, actions...)
	f.table.Wake()
}

// runOnce runs a single iteration of the loop, with a single step at most.
func (f *fixture) runOnce() {
	if err := f.RunOnce(0); err != nil {
		f.T.Fatal(err)
	}
}

// runUntilIdle runs the loop until no descriptor is ready.
func (f *fixture) runUntilIdle() {
	for range 10_000 {
		f.runOnce()
		if f.ReadyDescriptors() == 0 {
			f.RunIterations()
			return
		}
	}
	f.T.Fatal("descriptors stay ready")
}

// writeAll writes all of b, and runs an iteration whenever the socket buffer is full.
func (f *fixture) writeAll(peer *eventlooptest.Peer, b []byte) {
	for idle := 0; len(b) > 0 && idle < 100; {
		n, err := unix.Write(peer.FD, b)
		if err != nil && !errors.Is(err, unix.EAGAIN) {
			f.T.Fatalf("%d bytes can't be written: %v", len(b), err)
		}
		if n <= 0 {
			f.runOnce()
			idle++
			continue
		}
		b, idle = b[n:], 0
	}
	if len(b) > 0 {
		f.T.Fatalf("the loop does not read: %d bytes are left", len(b))
	}
}

// statuses returns the status codes of the responses that a peer has received, without interim ones.
func statuses(tb testing.TB, peer *eventlooptest.Peer) (statuses []int) {
	tb.Helper()
	peer.Read(1 << 20)
	unread := peer.Received
	for len(unread) > 0 {
		if following, isInterim := bytes.CutPrefix(unread, []byte(http1.ContinueResponse)); isInterim {
			unread = following
			continue
		}
		var response http1.Response
		size, err := response.Parse(unread, peer.Ended)
		if err != nil {
			tb.Fatalf("%q: %v", unread, err)
		}
		statuses = append(statuses, response.StatusCode)
		unread = unread[size:]
	}
	return statuses
}

// requestOfSize returns request n with a body of a size in bytes.
func requestOfSize(n, size int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: %d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
		n, size, strings.Repeat("x", size))
}
