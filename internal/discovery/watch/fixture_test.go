package watch

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/discovery"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

const watchResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// watchLost stands for the loss of the watch in a list of revisions.
const watchLost = -1

// chunk returns a text as a chunk of an HTTP body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// server is the remote end of a connection to a discovery service.
type server struct {
	*eventlooptest.Peer
	address netip.AddrPort // the dialed address
}

// fixture is a request table whose endpoint list is watched by a Connection on an event loop.
type fixture struct {
	*modeltest.Steps
	*eventlooptest.Loop
	watch            *Connection
	table            *requests.Table
	policy           *modeltest.ScriptedPolicy
	dialed           []*server // remote ends of the dialed connections, in order of dialing
	neverEstablished bool      // connections are dialed, and never established
	dialErrors       []error   // errors of the next dials
}

func newFixture(steps *modeltest.Steps, config discovery.Config, random func(n int64) int64) *fixture {
	f := &fixture{Steps: steps, policy: &modeltest.ScriptedPolicy{}}
	f.Loop = eventlooptest.NewLoop(steps.T, eventloop.Hooks{
		NextStep: func() (at time.Duration, ok bool) { return f.table.NextStep() },
		Step:     func(now time.Duration) { f.table.Step(now) },
	})
	discard := slog.New(slog.DiscardHandler)
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	f.table = requests.New(6, names, func() requests.Policy { return f.policy }, endpoints, transport{f}, discard)
	f.watch = New(f.Loop.Loop, Config{Discovery: config, Random: random, Table: f.table, Log: discard, Dial: f.dial})
	f.RunIterations()
	return f
}

func (f *fixture) dial(address netip.AddrPort) (descriptor int, err error) {
	if len(f.dialErrors) > 0 {
		err = f.dialErrors[0]
		f.dialErrors = f.dialErrors[1:]
		return eventloop.NoDescriptor, err
	}
	peer, descriptor := eventlooptest.SocketPair(f.T)
	if f.neverEstablished {
		eventlooptest.FillSocket(descriptor)
	}
	f.dialed = append(f.dialed, &server{peer, address})
	return descriptor, nil
}

// transport restarts the watch on request, and starts no attempts at workers.
type transport struct{ fixture *fixture }

func (transport) Start(*requests.Attempt)     {}
func (transport) Abandon(*requests.Attempt)   {}
func (transport) Cancel(*requests.Attempt)    {}
func (transport) CheckHealth(uint64)          {}
func (transport) CloseIdleConnections(uint64) {}
func (t transport) Watch(int64)               { t.fixture.watch.Restart() }

// minRandom and maxRandom always return the smallest and the largest possible random number.
func minRandom(int64) int64   { return 0 }
func maxRandom(n int64) int64 { return n - 1 }

// newWatchingFixture returns a fixture that has sent its watch request, and the server's end of the connection.
func newWatchingFixture(t *testing.T) (*fixture, *server) {
	t.Helper()
	f := newFixture(&modeltest.Steps{T: t}, discovery.Config{PollInterval: 10 * time.Second}, minRandom)
	f.table.WatchEndpoints()
	f.RunIterations()
	server := f.dialed[0]
	server.Read(1 << 12)
	f.policy.Received = nil
	return f, server
}

// takeRevisions returns the revisions of the list updates that the policy has received since the last call, with watchLost for
// each loss of the watch.
func (f *fixture) takeRevisions() (revisions []int64) {
	for _, event := range f.policy.Received {
		list, ok := event.(dispatch.WorkerList)
		switch {
		case !ok:
		case list.Kind == dispatch.ListUnavailable:
			revisions = append(revisions, watchLost)
		default:
			revisions = append(revisions, list.Revision)
		}
	}
	f.policy.Received = nil
	return revisions
}

// expectRevisions checks the result of takeRevisions.
func (f *fixture) expectRevisions(t *testing.T, what string, want ...int64) {
	t.Helper()
	if got := f.takeRevisions(); !slices.Equal(got, want) {
		t.Errorf("%s: revisions %v, want %v", what, got, want)
	}
}
