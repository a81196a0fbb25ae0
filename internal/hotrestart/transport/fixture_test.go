package transport

import (
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
)

// startTimeout is how long Retry retries during a start.
const startTimeout = 9 * time.Second

// process is a process of a scheduler, whose state the test provides. It implements the interfaces of Config and SetCordons.
type process struct {
	*eventlooptest.Loop
	t     *testing.T
	dir   string
	roles *Roles

	snapshot   Snapshot                   // state to transfer
	restored   []hotrestart.ReceivedState // arguments of Restore
	isReleased bool
	onRestore  func() // called by Restore; nil: nothing

	address  netip.AddrPort // that clients connect to
	socket   int            // client listener; eventloop.NoDescriptor: none
	cordoned []string
	calls    []hotrestart.SetCordon // cordon calls that were executed

	isHalved bool
	standbys int
	failures []error
	log      strings.Builder
}

func newProcess(t *testing.T, dir string) *process {
	t.Helper()
	p := &process{Loop: eventlooptest.NewLoop(t, eventloop.Hooks{}), t: t, dir: dir, socket: eventloop.NoDescriptor}
	p.snapshot.Policy = []byte("snapshot of a policy")
	p.roles = New(p.Loop.Loop, Config{
		State:     p,
		Watch:     p,
		Clients:   clientSocket{p},
		Peers:     noPeers{},
		Cordoned:  p,
		Log:       slog.New(slog.NewTextHandler(&p.log, nil)),
		Monotonic: func() time.Duration { return p.Time },
		Retry:     p.retry,
		SetHalved: func(halved bool) { p.isHalved = halved },
		OnStandby: func() { p.standbys++ },
		OnFail:    func(err error) { p.failures = append(p.failures, err) },
	})
	p.roles.SetCordons(p)
	return p
}

// newPredecessor returns a process that serves and awaits a successor.
func newPredecessor(t *testing.T) *process {
	t.Helper()
	p := newProcess(t, t.TempDir())
	p.serve()
	p.roles.AwaitSuccessor(hotrestart.SocketAddresses(p.dir, p.address))
	return p
}

// serve opens the client listener's socket.
func (p *process) serve() {
	p.t.Helper()
	if err := (clientSocket{p}).Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		p.t.Fatal(err)
	}
}

// startSuccessor returns a process in standby.
func (p *process) startSuccessor() *process {
	p.t.Helper()
	successor := newProcess(p.t, p.dir)
	if !successor.roles.Join(p.dir, p.address) {
		p.t.Fatal("no predecessor found")
	}
	for successor.isIn(hotrestart.SuccessorJoining) {
		p.RunIterations()
		successor.RunIterations()
	}
	return successor
}

// isIn reports whether a process is in one of the states of a successor.
func (p *process) isIn(states ...hotrestart.SuccessorState) bool {
	state, isSuccessor := p.roles.SuccessorState()
	return isSuccessor && slices.Contains(states, state)
}

// relinquishTo transfers the state to a successor in standby, whose loop runs on another goroutine meanwhile.
func (p *process) relinquishTo(successor *process) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for successor.isIn(hotrestart.SuccessorStandby, hotrestart.SuccessorReceiving) {
			_ = successor.RunOnce(1000)
		}
	}()
	err := p.roles.Relinquish()
	if err != nil { // the connection to the successor is closed at the end of the iteration
		_ = p.RunOnce(0)
	}
	<-ended
	p.RunIterations()
	successor.RunIterations()
	return err
}

// retry implements Config.Retry, on the clock of the loop.
func (p *process) retry(open func() error) error {
	for deadline := p.Time + startTimeout; ; p.Time += time.Millisecond {
		err := open()
		if err == nil || !isMomentary(err) || p.Time >= deadline {
			return err
		}
	}
}

// injectFaults applies fault rules to the system calls of the loop from now on.
func (p *process) injectFaults(rules ...faultinjection.Rule) *faultinjection.Injector {
	injector := faultinjection.New(1, func() time.Duration { return p.Time })
	for _, rule := range rules {
		injector.Add(rule)
	}
	*p.Syscalls() = injector.Syscalls()
	return injector
}

// Settle implements State.
func (p *process) Settle() bool { return true }

// Snapshot implements State.
func (p *process) Snapshot() Snapshot { return p.snapshot }

// Release implements State.
func (p *process) Release() {
	p.isReleased = true
	p.Remove(p.socket)
	p.socket = eventloop.NoDescriptor
}

// Restore implements State.
func (p *process) Restore(received hotrestart.ReceivedState) {
	p.restored = append(p.restored, received)
	if p.onRestore != nil {
		p.onRestore()
	}
}

// WatchEndpoints implements EndpointWatch.
func (p *process) WatchEndpoints() {}

// HasReceivedEndpoints implements EndpointWatch.
func (p *process) HasReceivedEndpoints() bool { return true }

// Cordoned implements CordonTable.
func (p *process) Cordoned() []string { return p.cordoned }

// SetCordoned implements CordonTable.
func (p *process) SetCordoned(workerIDs []string) { p.cordoned = workerIDs }

// Set implements CordonCalls.
func (p *process) Set(workerID string, cordoned bool, respond func(statusCode int, message string)) {
	p.calls = append(p.calls, hotrestart.SetCordon{WorkerID: workerID, Cordoned: cordoned})
	respond(200, "done")
}

// Apply implements CordonCalls.
func (p *process) Apply(call hotrestart.SetCordon, send func(hotrestart.CordonResult)) {
	p.calls = append(p.calls, call)
	send(hotrestart.CordonResult{Sequence: call.Sequence, StatusCode: 200, Message: "done"})
}

// The methods of CordonFile do nothing: no file is written.

func (p *process) OwnFile()           {}
func (p *process) Store()             {}
func (p *process) Reload()            {}
func (p *process) Fence() bool        { return true }
func (p *process) Unfence()           {}
func (p *process) UnstoredCount() int { return 0 }

type noPeers struct{}

func (noPeers) Open()  {}
func (noPeers) Close() {}

// clientSocket implements ClientSocket for a process.
type clientSocket struct{ process *process }

func (c clientSocket) Socket() int { return c.process.socket }

func (c clientSocket) AddSocket(descriptor int) error {
	if err := c.process.Add(descriptor, unix.EPOLLIN, c); err != nil {
		return err
	}
	c.process.socket = descriptor
	return nil
}

func (c clientSocket) Listen(address netip.AddrPort, options ...int) error {
	descriptor, err := c.process.Listen(address, c, options...)
	if err != nil {
		return err
	}
	c.process.socket = descriptor
	bound, err := unix.Getsockname(descriptor)
	c.process.address = eventloop.AddrPort(bound)
	return err
}

func (c clientSocket) HandleEvents(uint32) {}
func (c clientSocket) HandlePanic()        {}
