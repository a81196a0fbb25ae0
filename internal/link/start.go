package link

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/aperture"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/logging"
	"valvecove/internal/metrics"
	"valvecove/internal/requests"
	"valvecove/internal/status"
)

// Own descriptors besides links: standard ones, epoll, eventfd, listener, watch, and what the runtime opens.
const ownDescriptors = 24

// watchSeed keeps the random backoffs of the watch apart from what else is drawn from a scheduler's seed.
const watchSeed = 0x66726573

// Open returns a loop that listens and is ready to run, with the features that are on. figuresTo are targets of figures
// besides a collector.
func Open(c config.Config, ops config.Ops, log *logging.Factory, figuresTo ...metrics.Target) (*Loop, error) {
	l, err := newLoop(log.NewLogger(), log.NewLogger(), clockSinceEpoch(), c.Limits.Sockets)
	if err != nil {
		return nil, err
	}
	if ops.Addresses != nil {
		l.lists = address.New(*ops.Addresses)
	}
	l.side, l.limits = forFeatures(c, ops), c.Limits
	servers, clients := share(c.Limits.Sockets, l.side)
	l.serve(servers, c.Settings.ConnectTimeout, c.Settings.ConnIdleTimeout)
	l.watch = l.newWatchConnection(c.Discovery, discovery.Config{
		PollInterval: c.Settings.PollInterval, Pushed: !c.Settings.MustSubscribe,
		Schedulers: c.Settings.Replicas,
	}, rand.New(rand.NewPCG(c.Seed, watchSeed)).Int64N)
	decisions := log.NewLogger()
	if ops.Capture != nil {
		if l.Capture, err = capture.New(*ops.Capture, c, l.Now, decisions); err != nil {
			return nil, fmt.Errorf("key \"capture.dir\": %w", err)
		}
	}
	seed := c.Seed
	narrowed := ops.Aperture != nil && ops.Aperture.Enabled(c.Settings.Replicas)
	if !narrowed { // else what stands round the module has a state of its own
		l.wrap = func(d *dispatch.Dispatcher) requests.Policy {
			if l.Capture != nil {
				return l.Capture.Continue(d)
			}
			return d
		}
	}
	module := func() requests.Policy {
		seed++
		d := dispatch.New(c.Settings.Settings, seed)
		l.decides = d
		m := requests.Policy(d)
		if l.Capture != nil {
			m = l.Capture.Wrap(d)
		}
		if narrowed { // before the capture: that records what the module itself was told, and replays alone
			m = aperture.New(m, c.Settings.Settings, *ops.Aperture)
		}
		return m
	}
	l.Ledger = requests.New(c.Settings.AttemptLimit, c.Settings.Names, module, c.KnownEndpoints, l.servers, decisions)
	if l.Capture != nil {
		l.Capture.LookupEndpoint = l.Ledger.Endpoint
		l.Ledger.AddObserver(l.Capture)
	}
	l.accept(clients, bufferBudget(c), &c.Settings.Settings, c.Settings.Names)
	if !c.Management.IsValid() {
		l.clients.fd, err = l.Listen(c.Listen, l.clients)
	} else {
		err = l.begin(c)
	}
	if err != nil {
		return nil, err
	}
	counters := metrics.NewCounters(c.Settings.Names)
	if c.Management.IsValid() || ops.Metrics != nil {
		l.Ledger.AddObserver(counters)
	}
	if c.Management.IsValid() {
		if err := l.serveOperators(c.Management, counters); err != nil {
			return nil, fmt.Errorf("key \"management\": %w", err)
		}
	}
	if ops.Status != nil {
		table := status.New(*ops.Status, c.Settings.Names, c.Settings.StartNotifications, l.Now)
		if err := l.serveStatus(ops.StatusAddr(c), table); err != nil {
			return nil, fmt.Errorf("key \"status.listen_port\": %w", err)
		}
		l.Ledger.AddObserver(table)
	}
	if ops.Metrics != nil {
		targets := figuresTo
		if ops.Metrics.UDPTarget.IsValid() {
			targets = append(targets, &collector{to: ops.Metrics.UDPTarget, fd: -1})
		}
		l.exporter = metrics.NewExporter(*ops.Metrics, counters, l.Now, targets...)
		l.Ledger.AddObserver(l.exporter)
		l.exportMetrics()
	}
	l.watch.start(len(c.KnownEndpoints.Endpoints) > 0)
	if wait := l.watch.machine.InitialWait(); wait > 0 && l.Ledger.HasReadyWorker() {
		l.Ledger.AwaitEndpoints(l.Now() + wait)
	}
	return l, nil
}

// begin takes the place of the process that serves here, or, if there is none, serves at once. Several processes may listen
// at the clients' address, so that one that can't be reached by its successor can be replaced too.
func (l *Loop) begin(c config.Config) error {
	l.onFail = func(err error) { l.log.Error("can't go on", "error", err) }
	out, err := hotrestart.ReadCordonFile(c.StateDir)
	if err != nil { // served on: a worker node that should be out is out again with the next call
		l.log.Error("worker nodes out by hand can't be read", "error", err)
	}
	if l.Ledger.SetCordoned(out); len(out) > 0 {
		l.log.Info("worker nodes out by hand", "hosts", strings.Join(out, " "))
	}
	l.openCordonStore(c.StateDir)
	if l.joinPredecessor(c.StateDir, c.Listen) {
		return nil
	}
	if l.clients.fd, err = l.Listen(c.Listen, l.clients, unix.SO_REUSEPORT); err == nil {
		l.awaitSuccessor(hotrestart.SocketAddresses(c.StateDir, c.Listen))
	}
	return err
}

// OnFail sets what is done when the process can't go on.
func (l *Loop) OnFail(act func(error)) { l.onFail = act }

// forFeatures counts the descriptors that features take up.
func forFeatures(c config.Config, ops config.Ops) (n int) {
	if c.Management.IsValid() {
		n += operatorsMost + 2 // and the listener; one more is accepted before another makes room
	}
	if ops.Status != nil {
		n += statusMost + 2 // and the listener; one more is accepted before another makes room
	}
	if ops.Metrics != nil {
		n += 2 // a socket and a file
	}
	if ops.Capture != nil && ops.Capture.Dir != "" {
		n += 2 // two files for a moment
	}
	return n
}

// share parts the descriptors. Server links hold one only until a job is accepted; clients hold theirs for as
// long as it runs.
func share(sockets, side int) (servers, clients int) {
	most := sockets - ownDescriptors - side
	servers = max(8, most/6)
	return servers, most - servers
}

// Shares is what a loop makes of its limits.
type Shares struct {
	Own, Features, Servers, Clients int // descriptors
	Queries                         int // open at once
	Buffers                         int // bytes in the buffers of client links; the bodies of queries take up as much
}

// SharesOf tells what Open would make of the limits.
func SharesOf(c config.Config, ops config.Ops) Shares {
	s := Shares{Own: ownDescriptors, Features: forFeatures(c, ops), Buffers: bufferBudget(c)}
	s.Servers, s.Clients = share(c.Limits.Sockets, s.Features)
	s.Queries = mostQueries(s.Clients)
	return s
}

// bufferBudget is how many bytes the buffers of client links may take up, and the bodies of queries as much again.
// Twice a sixth, and as much garbage at most, leaves room on the smallest machine for the program itself.
func bufferBudget(c config.Config) int { return bufferPart(c.Limits) }

func bufferPart(l config.Limits) int { return l.MemoryMB << 20 / 6 }

const fewestLinks = 16 // of a process beside another one, however small the machine

// divide has this process do with half of the limits while another one runs beside it, as both count as one, or with all of
// them. Idle client links over that are closed.
func (l *Loop) divide(half bool) {
	servers, clients := share(l.limits.Sockets, l.side)
	budget := bufferPart(l.limits)
	if half { // each has its own descriptors besides
		most := max(fewestLinks, (servers+clients-ownDescriptors-l.side)/2)
		servers = max(fewestLinks/2, most/6)
		clients, budget = most-servers, budget/2
	}
	l.halved, l.servers.most = half, servers
	l.clients.limit(clients, budget)
	if l.onDivide != nil {
		l.onDivide(half)
	}
}

// OnDivide sets what is done about memory when a process begins or ceases to share its machine with another one.
func (l *Loop) OnDivide(act func(half bool)) {
	l.onDivide = act
	act(l.halved)
}

// Reload goes on by another configuration: links, queries and what the module knows stay.
func (l *Loop) Reload(c config.Config) {
	l.limits = c.Limits
	l.divide(l.halved)
	if c.Discovery != l.watch.server {
		l.watch.changeServer(c.Discovery)
	}
}

// Addr is where the loop listens.
func (l *Loop) Addr() netip.AddrPort {
	if l.clients.fd < 0 { // the process that serves has the socket
		return netip.AddrPort{}
	}
	sa, _ := unix.Getsockname(l.clients.fd)
	return eventloop.AddrPort(sa)
}

// OnWake sets what Wake brings about.
func (l *Loop) OnWake(act func()) { l.onWake = act }

// Drain tells that the scheduler is not ready. What comes is still served: clients keep the links that they have,
// and may have no other scheduler to go to.
func (l *Loop) Drain() { l.clients.draining = true }

// Close takes no query any more. Links between queries are closed, the others with their answers.
func (l *Loop) Close() { l.clients.close() }

// RefuseHeld refuses the queries of which nothing was sent yet.
func (l *Loop) RefuseHeld() {
	if !l.hasRelinquished() {
		l.Ledger.RejectQueued()
	}
}

// FinishAll gives final answers to all queries that are still open.
func (l *Loop) FinishAll() { l.Finish(l.Now()) }

// Finish gives final answers to the queries that came within the last span and are still open.
func (l *Loop) Finish(span time.Duration) {
	if !l.hasRelinquished() {
		l.Ledger.CloseSince(l.Now() - span)
	}
}

// Quiet tells whether every query is answered and every answer has left.
func (l *Loop) Quiet() bool {
	return (l.hasRelinquished() || l.Ledger.OpenCount() == 0) && l.clients.quiet()
}
