package worker

import (
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
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// fixture is a pool with an event loop, a request table and a scripted policy. The test controls the clock, and the remote ends
// of the connections, which it reads and writes between iterations.
type fixture struct {
	tb         testing.TB
	loop       *eventloop.Loop
	pool       *Pool
	table      *requests.Table
	policy     *modeltest.ScriptedPolicy
	now        time.Duration
	clock      func() time.Duration                                 // the clock of the loop; returns now
	dial       func(address netip.AddrPort) (socket int, err error) // opens a connection to a peer
	writeDelay func(attempt *requests.Attempt) time.Duration        // returns 0 unless a test replaces it
	dialed     []*peer                                              // remote ends of connections, in the order of their dials
	requests   []*requests.Request                                  // of sendAttempt, in order

	hasRelinquished bool // a successor owns the request table and the connections that were transferred
}

// peer is the remote end of a connection.
type peer struct {
	*eventlooptest.Peer
	dialedAddress netip.AddrPort
	filledBytes   int // bytes that FillSocket put into the send buffer of the loop's end; release reads them
}

// testTransport is the pool as the transport of a request table. It ignores Watch: there is no discovery.
type testTransport struct{ *Pool }

func (testTransport) Watch(int64) {}

// newFixture returns a fixture with one worker, "s-0".
func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := &fixture{tb: tb, policy: &modeltest.ScriptedPolicy{}, now: 1000 * time.Hour}
	f.clock = func() time.Duration { return f.now }
	f.writeDelay = func(*requests.Attempt) time.Duration { return 0 }
	f.dial = func(address netip.AddrPort) (int, error) {
		remote, socket := f.socketPair()
		remote.dialedAddress = address
		f.dialed = append(f.dialed, remote)
		return socket, nil
	}
	f.openLoop()
	f.pool = New(Config{
		Loop:              f.loop,
		Dial:              func(address netip.AddrPort) (int, error) { return f.dial(address) },
		WriteDelay:        func(attempt *requests.Attempt) time.Duration { return f.writeDelay(attempt) },
		HasRelinquished:   func() bool { return f.hasRelinquished },
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

// openLoop creates the loop, which is closed at the end of the test.
func (f *fixture) openLoop() {
	loop, err := eventloop.New(eventloop.Config{
		Clock: func() time.Duration { return f.clock() },
		Log:   slog.New(slog.DiscardHandler),
		Hooks: eventloop.Hooks{
			NextStep: f.nextStep,
			Step:     func(now time.Duration) { f.table.Step(now) },
		},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.tb.Cleanup(loop.CloseDescriptors)
	f.loop = loop
}

// nextStep returns the time of the next step of the request table. There is none once a successor owns the table.
func (f *fixture) nextStep() (at time.Duration, ok bool) {
	if f.hasRelinquished {
		return 0, false
	}
	return f.table.NextStep()
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

// socketPair returns both ends of a connection: the peer, and the descriptor for the loop.
func (f *fixture) socketPair() (remote *peer, descriptor int) {
	end, descriptor := eventlooptest.SocketPair(f.tb)
	return &peer{Peer: end}, descriptor
}

// runOnce runs a single iteration of the loop, with a single step at most.
func (f *fixture) runOnce() {
	if err := f.loop.RunOnce(0); err != nil {
		f.tb.Fatal(err)
	}
}

// runIterations runs enough iterations of the loop to do all that is due now.
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

// runActions makes the policy return actions in one step.
func (f *fixture) runActions(actions ...dispatch.Action) {
	f.policy.Next = append(f.policy.Next, actions...)
	f.table.Wake()
	f.runIterations()
}

// sendAttempt admits a request with a payload of size bytes, and makes the policy send an attempt of it to the worker.
func (f *fixture) sendAttempt(size int) *requests.Request {
	f.tb.Helper()
	request, err := f.table.Admit(f.now, requests.Arrival{
		CallID: fmt.Sprint("q", len(f.requests)), Job: dispatch.Job{Remaining: 5 * time.Second},
		Payload: requests.Payload{Method: "POST", Path: "/a", Body: make([]byte, size)}, Responder: noResponder{},
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	f.requests = append(f.requests, request)
	f.runActions(dispatch.Send{Job: request.ID, Worker: f.workerNumber()})
	return request
}

// acceptedResponse is the response of a worker that accepts an attempt.
const acceptedResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// acceptedAttempt sends an attempt that the worker accepts. The worker then closes the connection, so the next exchange opens
// another.
func (f *fixture) acceptedAttempt() *requests.Request {
	request := f.sendAttempt(0)
	remote := f.dialed[len(f.dialed)-1]
	remote.Read(1 << 12)
	remote.Write([]byte(acceptedResponse))
	f.runIterations()
	remote.Close()
	f.runIterations()
	return request
}

// outcomes returns the results that the policy has received for the attempts of a request.
func (f *fixture) outcomes(request *requests.Request) (results []dispatch.Result) {
	for _, e := range f.policy.Received {
		if o, ok := e.(dispatch.Outcome); ok && o.Job == request.ID {
			results = append(results, o.Result)
		}
	}
	return results
}

// expect checks the results that the policy has received for the attempts of a request.
func (f *fixture) expect(what string, request *requests.Request, want ...dispatch.Result) {
	f.tb.Helper()
	if got := f.outcomes(request); !slices.Equal(got, want) {
		f.tb.Errorf("%s: outcomes %v, expected %v", what, got, want)
	}
}

// applyCallback applies a callback of the worker about a request.
func (f *fixture) applyCallback(request *requests.Request, state string) {
	f.tb.Helper()
	result := "r"
	if _, err := f.table.HandleCallback(requests.Callback{CallID: request.CallID, EndpointID: "s-0", State: state, Result: &result}); err != nil {
		f.tb.Fatal(err)
	}
	f.runIterations()
}

// hasDelete reports whether a DELETE for a request was received.
func (p *peer) hasDelete(request *requests.Request) bool {
	p.Read(1 << 12)
	return strings.HasPrefix(string(p.Received), "DELETE /jobs/"+request.CallID+" ")
}

// respondDelete responds to a DELETE.
func (f *fixture) respondDelete(remote *peer) {
	remote.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.runIterations()
}

// delayConnections delays the completion of all connections that are dialed from now on, until release of their peers. It returns
// these peers, in the order of dialing; the slice grows.
func (f *fixture) delayConnections() *[]*peer {
	opened := &[]*peer{}
	f.dial = func(address netip.AddrPort) (int, error) {
		remote, socket := f.socketPair()
		remote.dialedAddress = address
		remote.filledBytes = eventlooptest.FillSocket(socket)
		f.dialed = append(f.dialed, remote)
		*opened = append(*opened, remote)
		return socket, nil
	}
	return opened
}

// release reads the bytes that FillSocket has written, so that the loop's end is writable again.
func (p *peer) release() {
	for b := make([]byte, 4096); p.filledBytes > 0; {
		n, err := unix.Read(p.FD, b[:min(len(b), p.filledBytes)])
		if err != nil || n == 0 {
			return
		}
		p.filledBytes -= n
	}
}

// budgetSent returns the time budget in the request that was received.
func (p *peer) budgetSent(t *testing.T) time.Duration {
	t.Helper()
	_, text, ok := strings.Cut(string(p.Received), "X-Budget-Ms: ")
	text, _, _ = strings.Cut(text, "\r\n")
	ms, isNumber := http1.ParseDecimal([]byte(text))
	if !ok || !isNumber {
		t.Fatalf("no budget in %.200q", p.Received)
	}
	return time.Duration(ms) * time.Millisecond
}

// noResponder drops the responses to a request.
type noResponder struct{}

func (noResponder) RespondResult([]byte)          {}
func (noResponder) RespondRejected(time.Duration) {}
func (noResponder) RespondFailed()                {}
