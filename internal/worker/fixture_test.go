package worker

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/http1"
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
	FD            int
	dialedAddress netip.AddrPort // what was dialed
	Received      []byte
	Ended         bool // by the loop's side
	Closed        bool // by this side
	filledBytes   int  // that the loop's side can't write past until release
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
	p := &peer{FD: fds[0]}
	f.tb.Cleanup(p.Close)
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

func (p *peer) Close() {
	if !p.Closed {
		p.Closed = true
		_ = unix.Close(p.FD)
	}
}

// read reads at most limit bytes of what was received.
func (p *peer) Read(limit int) {
	b := make([]byte, limit)
	for !p.Closed && !p.Ended && len(b) > 0 {
		n, err := unix.Read(p.FD, b)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if p.Ended = n <= 0; !p.Ended {
			p.Received = append(p.Received, b[:n]...)
			b = b[n:]
		}
	}
}

func (p *peer) Write(b []byte) {
	if !p.Closed {
		_, _ = unix.Write(p.FD, b) // the loop may have closed its side
	}
}

// runActions has the policy do something in one iteration.
func (f *fixture) runActions(actions ...dispatch.Action) {
	f.policy.Next = append(f.policy.Next, actions...)
	f.table.Wake()
	f.runIterations()
}

// sendAttempt has an attempt made of a new request.
func (f *fixture) sendAttempt(size int) *requests.Request {
	f.tb.Helper()
	q, err := f.table.Admit(f.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(f.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.requests = append(f.requests, q)
	f.runActions(dispatch.Send{Job: q.ID, Worker: f.workerNumber()})
	return q
}

const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// acceptedAttempt has an attempt made and accepted, and then loses its connection, so that what follows needs another.
func (f *fixture) acceptedAttempt() *requests.Request {
	q := f.sendAttempt(0)
	p := f.dialed[len(f.dialed)-1]
	p.Read(1 << 12)
	p.Write([]byte(acceptedResponse))
	f.runIterations()
	p.Close()
	f.runIterations()
	return q
}

// outcomes are the results that the policy has received for a request's attempts.
func (f *fixture) outcomes(q *requests.Request) (results []dispatch.Result) {
	for _, e := range f.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == q.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

func (f *fixture) expect(what string, q *requests.Request, want ...dispatch.Result) {
	f.tb.Helper()
	if got := f.outcomes(q); !slices.Equal(got, want) {
		f.tb.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

func (f *fixture) applyCallback(q *requests.Request, state string) {
	f.tb.Helper()
	result := "r"
	if _, err := f.table.HandleCallback(requests.Callback{CallID: q.CallID, EndpointID: "s-0", State: state, Result: &result}); err != nil {
		f.tb.Fatal(err)
	}
	f.runIterations()
}

// hasDelete tells whether a far end got a DELETE for a request.
func (p *peer) hasDelete(q *requests.Request) bool {
	p.Read(1 << 12)
	return strings.HasPrefix(string(p.Received), "DELETE /jobs/"+q.CallID+" ")
}

// respondDelete has a far end answer a DELETE.
func (f *fixture) respondDelete(p *peer) {
	p.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.runIterations()
}

// delayConnections delays the completion of all connections that are dialed from now on, until release of their peers. It returns
// these peers, in the order of dialing; the slice grows.
func (f *fixture) delayConnections() *[]*peer {
	opened := &[]*peer{}
	f.dial = func(address netip.AddrPort) (int, error) {
		p, socket := f.socketPair()
		p.dialedAddress = address
		p.filledBytes = fillSocket(socket)
		f.dialed = append(f.dialed, p)
		*opened = append(*opened, p)
		return socket, nil
	}
	return opened
}

// fillSocket fills a socket's buffer, so that nothing more can be written to it, and returns the number of bytes.
func fillSocket(socket int) (size int) {
	b := make([]byte, 512)
	for {
		n, err := unix.Write(socket, b)
		if errors.Is(err, unix.EAGAIN) {
			return size
		}
		size += n
	}
}

// release reads what fillSocket has written, so that the connection can be written to.
func (p *peer) release() {
	for b := make([]byte, 4096); p.filledBytes > 0; {
		n, err := unix.Read(p.FD, b[:min(len(b), p.filledBytes)])
		if err != nil || n == 0 {
			return
		}
		p.filledBytes -= n
	}
}

func (p *peer) budgetSent(t *testing.T) time.Duration {
	t.Helper()
	_, text, ok := strings.Cut(string(p.Received), "X-Budget-Ms: ")
	text, _, _ = strings.Cut(text, "\r\n")
	ms, good := http1.ParseDecimal([]byte(text))
	if !ok || !good {
		t.Fatalf("no budget in %.200q", p.Received)
	}
	return time.Duration(ms) * time.Millisecond
}

type noResponder struct{}

func (noResponder) RespondResult([]byte)          {}
func (noResponder) RespondRejected(time.Duration) {}
func (noResponder) RespondFailed()                {}
