package management

import (
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/filesystem"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/metrics"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/status"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fixture is a request table with one worker, s-0, and the server of the operators' calls, on an event loop.
type fixture struct {
	*modeltest.Steps
	*eventlooptest.Loop
	table     *requests.Table
	policy    requests.Policy
	counters  *metrics.Counters
	operators *Operators
	cordons   *Cordons
	store     *hotrestart.CordonStore // nil: cordons are not stored
	status    *Status                 // of newStatusFixture
	log       strings.Builder

	notReadyReason string
	avoidedWorkers func() int
	role           testRole
}

func newFixture(steps *modeltest.Steps) *fixture {
	f := &fixture{Steps: steps, policy: &modeltest.ScriptedPolicy{}, avoidedWorkers: func() int { return 0 }}
	f.Loop = eventlooptest.NewLoop(steps.T, eventloop.Hooks{
		NextStep: func() (at time.Duration, ok bool) { return f.table.NextStep() },
		Step:     func(now time.Duration) { f.table.Step(now) },
	})
	f.setPolicy(f.policy)
	f.counters = metrics.NewCounters(requests.NameTable{Classes: []string{"a"}})
	f.table.AddObserver(f.counters)
	f.setCordons(nil, nil, "")
	f.serveOperators()
	f.RunIterations()
	return f
}

// setPolicy replaces the request table by one with another policy.
func (f *fixture) setPolicy(policy requests.Policy) {
	endpoints := requests.EndpointList{Endpoints: []requests.Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Lifecycle: "up"}}}
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	newPolicy := func() requests.Policy { return policy }
	f.policy = policy
	f.table = requests.New(6, names, newPolicy, endpoints, noTransport{}, slog.New(slog.DiscardHandler))
}

// setCordons replaces the cordons, for the current table. Without a store they are not stored.
func (f *fixture) setCordons(files filesystem.FileSystem, store *hotrestart.CordonStore, stateDir string) {
	f.store = store
	f.cordons = NewCordons(f.Loop.Loop, CordonsConfig{
		Table:    f.table,
		Role:     &f.role,
		Store:    store,
		Log:      f.newLog(),
		LoadFile: func() ([]string, error) { return hotrestart.LoadCordonFile(files, stateDir) },
	})
	if f.operators != nil {
		f.operators.config.Cordons = f.cordons
	}
}

// storeCordonsOn replaces the cordons by ones that are stored on a file system.
func (f *fixture) storeCordonsOn(files filesystem.FileSystem, stateDir string) {
	store := hotrestart.NewCordonStore(hotrestart.CordonStoreConfig{
		Files:        files,
		StateDir:     stateDir,
		MaxCallbacks: limits.MaxOperatorConnections,
		Now:          f.Now,
		Post:         f.Post,
		After:        func(delay time.Duration, act func()) { f.After(delay, act) },
		Changed:      LogStoreChanges(f.newLog()),
	})
	f.setCordons(files, store, stateDir)
}

func (f *fixture) newLog() *slog.Logger { return slog.New(slog.NewTextHandler(&f.log, nil)) }

func (f *fixture) serveOperators() {
	var err error
	f.operators, err = ServeOperators(f.Loop.Loop, loopback, OperatorsConfig{
		Scheduler: f,
		Cordons:   f.cordons,
		Counters:  f.counters,
		Log:       f.newLog(),
	})
	if err != nil {
		f.T.Fatal(err)
	}
}

// NotReadyReason implements Scheduler.
func (f *fixture) NotReadyReason() string {
	if f.notReadyReason == "" && !f.table.HasReadyWorker() {
		return "no worker node known"
	}
	return f.notReadyReason
}

// Gauges implements Scheduler.
func (f *fixture) Gauges() metrics.Gauges {
	return metrics.Gauges{
		OpenRequests:    f.table.OpenCount(),
		ListedWorkers:   f.table.ListedCount(),
		AvoidedWorkers:  f.avoidedWorkers(),
		UnstoredCordons: f.cordons.UnstoredCount(),
	}
}

// testRole is a Role whose values the test sets.
type testRole struct {
	hasRelinquished bool
	isStandby       bool
	forwarded       []string // IDs of workers
	changes         int      // calls of CordonsChanged
}

func (t *testRole) HasRelinquished() bool { return t.hasRelinquished }
func (t *testRole) IsStandby() bool       { return t.isStandby }
func (t *testRole) CordonsChanged()       { t.changes++ }

func (t *testRole) ForwardCordon(workerID string, _ bool, respond RespondFunc) {
	t.forwarded = append(t.forwarded, workerID)
	respond(http1.StatusOK, "forwarded")
}

// noTransport is a transport that does nothing.
type noTransport struct{}

func (noTransport) Start(*requests.Attempt)     {}
func (noTransport) Abandon(*requests.Attempt)   {}
func (noTransport) Cancel(*requests.Attempt)    {}
func (noTransport) CheckHealth(uint64)          {}
func (noTransport) CloseIdleConnections(uint64) {}
func (noTransport) Watch(int64)                 {}

// connectOperator connects to the management address.
func (f *fixture) connectOperator() *eventlooptest.Peer {
	peer, descriptor := eventlooptest.SocketPair(f.T)
	f.operators.addConnection(descriptor)
	return peer
}

// callOperator makes one call and returns the status code and the body of its response.
func (f *fixture) callOperator(text string) string {
	peer := f.connectOperator()
	peer.Write([]byte(text))
	f.RunIterations()
	peer.Read(1 << 16)
	return statusAndBody(string(peer.Received))
}

// callUntilAnswered makes one call, and waits for its response, which may depend on a write to disk. text is the request without
// the end of its header.
func (f *fixture) callUntilAnswered(text string) string {
	peer := f.connectOperator()
	peer.Write([]byte(text + "\r\n\r\n"))
	for !peer.Ended {
		if err := f.RunOnce(1000); err != nil { // the goroutine of the store wakes the loop
			f.T.Fatal(err)
		}
		peer.Read(1 << 16)
	}
	return statusAndBody(string(peer.Received))
}

// statusAndBody returns the status code and the body of a response that closes the connection.
func statusAndBody(response string) string {
	header, body, _ := strings.Cut(response, "\r\n\r\n")
	if !strings.Contains(header, "\r\nConnection: close") {
		return "no Connection: close in " + response
	}
	return strings.Split(header, " ")[1] + " " + strings.TrimSpace(body)
}

// newStatusFixture returns a fixture that also serves the status call, with one request, "a".
func newStatusFixture(steps *modeltest.Steps) *fixture {
	f := newFixture(steps)
	table := status.New(config.Status{Retention: time.Minute, MaxEntries: 10}, requests.NameTable{Classes: []string{"a"}}, true, f.Now)
	var err error
	f.status, err = ServeStatus(f.Loop.Loop, loopback, StatusConfig{Table: table, Log: f.newLog()})
	if err != nil {
		steps.T.Fatal(err)
	}
	f.table.AddObserver(table)
	if _, err := f.table.Admit(f.Time, requests.Arrival{CallID: "a", Job: dispatch.Job{Remaining: time.Hour}}); err != nil {
		steps.T.Fatal(err)
	}
	return f
}

// connectStatus connects to the address of the status call.
func (f *fixture) connectStatus() *eventlooptest.Peer {
	peer, descriptor := eventlooptest.SocketPair(f.T)
	f.status.addConnection(descriptor)
	return peer
}

// readToEnd reads until the end of the connection, in small parts. It returns an error if the connection is reset.
func (f *fixture) readToEnd(t *testing.T, peer *eventlooptest.Peer) error {
	t.Helper()
	buffer := make([]byte, 1<<10)
	for range 100_000 {
		size, err := unix.Read(peer.FD, buffer)
		switch {
		case errors.Is(err, unix.EAGAIN):
			if err := f.RunOnce(0); err != nil {
				t.Fatal(err)
			}
		case err != nil:
			return err
		case size == 0:
			peer.Ended = true
			return nil
		default:
			peer.Received = append(peer.Received, buffer[:size]...)
		}
	}
	return errors.New("the connection does not end")
}
