package link

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/aperture"
	"valvecove/internal/capture"
	"valvecove/internal/client"
	"valvecove/internal/clock"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/discovery/watch"
	"valvecove/internal/eventloop"
	"valvecove/internal/gossip/socket"
	"valvecove/internal/hotrestart"
	"valvecove/internal/limits"
	"valvecove/internal/logging"
	"valvecove/internal/management"
	"valvecove/internal/metrics"
	"valvecove/internal/metrics/push"
	"valvecove/internal/requests"
	"valvecove/internal/status"
	"valvecove/internal/worker"
)

// watchSeed separates the random backoffs of the watch from the other random numbers of a scheduler's seed.
const watchSeed = 0x66726573

// Open returns a loop that listens and is ready to run, with the features that are on. metricTargets are targets of metrics
// besides a collector. An error names the key of the configuration that is at fault.
func Open(conf config.Config, ops config.Ops, log *logging.Factory, metricTargets ...metrics.Target) (*Loop, error) {
	return open(eventloop.Syscalls{}, conf, ops, log, metricTargets...)
}

// open is Open with the system calls that syscalls makes.
func open(syscalls eventloop.Syscalls, conf config.Config, ops config.Ops, log *logging.Factory, metricTargets ...metrics.Target) (*Loop, error) {
	monotonic := clock.SinceEpoch(clock.Now)
	start := newStartup(monotonic)
	var loop *Loop
	err := start.retry(func() (err error) {
		loop, err = newLoop(log.NewLogger(), log.NewLogger(), monotonic, conf.Limits.Sockets, syscalls)
		return err
	})
	if err != nil {
		return nil, err
	}
	loop.startup = start
	loop.UpdateNow()
	if err := loop.openConnections(conf, ops, log, metricTargets); err != nil {
		loop.CloseDescriptors()
		return nil, err
	}
	return loop, nil
}

// openConnections opens what the configuration asks for, on a loop that has nothing yet.
func (l *Loop) openConnections(conf config.Config, ops config.Ops, log *logging.Factory, metricTargets []metrics.Target) error {
	ops.ApplyTo(&conf.Settings)
	if ops.Addresses != nil {
		l.addressLists = address.New(*ops.Addresses)
	}
	l.openBudget(conf.Limits, limits.FeatureDescriptors(conf, ops))
	l.openWorkerPool(l.budget.Shares().WorkerConnections, conf.Settings.ConnectTimeout, conf.Settings.ConnIdleTimeout)
	if err := l.openRequestTable(conf, ops, log); err != nil {
		return err
	}
	l.prepareWatch(conf, rand.New(rand.NewPCG(conf.Seed, watchSeed)).Int64N)
	l.preparePeerSocket(conf)
	l.openClientListener(clientLimitsOf(l.budget.Shares()), &conf.Settings.Settings, conf.Settings.Names)
	l.prepareHotRestart(transferState{l})
	if err := l.listenOrJoin(conf); err != nil {
		return err
	}
	l.openPeerSocket()
	if err := l.openFeatures(conf, ops, metricTargets); err != nil {
		return err
	}
	l.UpdateNow() // a start may take a while
	l.watch.Start(len(conf.KnownEndpoints.Endpoints) > 0)
	if wait := l.watch.InitialWait(); wait > 0 && l.Requests.HasReadyWorker() {
		l.Requests.AwaitEndpoints(l.Now() + wait)
	}
	return nil
}

// openBudget makes the budget of descriptors and memory, which the worker pool and the client listener follow from here on.
func (l *Loop) openBudget(processLimits config.Limits, featureDescriptors int) {
	l.budget = limits.NewBudget(processLimits, featureDescriptors)
	l.budget.OnChange(func(shares limits.Shares) {
		l.workers.SetMaxConnections(shares.WorkerConnections)
		l.clients.SetLimits(clientLimitsOf(shares))
		if l.onShareLimits != nil {
			l.onShareLimits(l.budget.IsHalved())
		}
	})
}

// clientLimitsOf returns the limits of the client listener.
func clientLimitsOf(shares limits.Shares) client.Limits {
	return client.Limits{Connections: shares.ClientConnections, Requests: shares.OpenRequests, BufferBytes: shares.BufferBytes}
}

// openClientListener makes the client listener, which has no socket yet.
func (l *Loop) openClientListener(limits client.Limits, settings *dispatch.Settings, names requests.NameTable) {
	l.settings = settings
	config := client.Config{
		Loop:          l.Loop,
		Table:         l.Requests,
		Log:           l.log,
		ConnectionLog: l.connectionLog,
		Settings:      settings,
		Names:         names,
		Limits:        limits,
	}
	if l.addressLists != nil {
		config.AccessLists = l.addressLists
	}
	l.clients = client.NewListener(config)
}

// openWorkerPool makes the pool of connections to workers, which has none yet.
func (l *Loop) openWorkerPool(maxConnections int, connectTimeout, workerIdleTimeout time.Duration) {
	l.workers = worker.New(worker.Config{
		Loop:              l.Loop,
		Dial:              func(address netip.AddrPort) (fd int, err error) { return l.dial(address) },
		WriteDelay:        l.attemptHold,
		HasRelinquished:   l.hasRelinquished,
		MaxConnections:    maxConnections,
		ConnectTimeout:    connectTimeout,
		WorkerIdleTimeout: workerIdleTimeout,
	})
}

// prepareWatch makes the watch of the endpoint list, without a connection. random returns a random number in [0, n).
func (l *Loop) prepareWatch(conf config.Config, random func(n int64) int64) {
	l.watch = watch.New(l.Loop, watch.Config{
		Server: conf.Discovery,
		Discovery: discovery.Config{
			PollInterval: conf.Settings.PollInterval,
			Pushed:       !conf.Settings.MustSubscribe,
			Schedulers:   conf.Settings.Replicas,
		},
		Random: random,
		Table:  l.Requests,
		Log:    l.log,
		Dial:   func(address netip.AddrPort) (descriptor int, err error) { return l.dial(address) },
	})
}

// workerTransport is how the request table reaches workers and discovery.
type workerTransport struct {
	*worker.Pool
	loop *Loop
}

// Watch watches the endpoint list from now on. A connection that is planned or open is kept.
func (t workerTransport) Watch(int64) { t.loop.watch.Restart() }

// openRequestTable makes the request table with the policy that decides.
func (l *Loop) openRequestTable(conf config.Config, ops config.Ops, log *logging.Factory) (err error) {
	decisionLog := log.NewLogger()
	if ops.Capture != nil {
		if l.Capture, err = capture.New(*ops.Capture, conf, l.Now, decisionLog); err != nil {
			return fmt.Errorf("key \"capture.dir\": %w", err)
		}
	}
	hasAperture := ops.Aperture != nil && ops.Aperture.Enabled(conf.Settings.Replicas) && !conf.Settings.UsesLeases()
	if !hasAperture { // else a state of its own would be missing
		l.wrapRestored = l.wrapRestoredDispatcher
	}
	known := conf.KnownEndpoints
	known.Receipt.At = l.Now()
	newPolicy := l.policyFactory(conf, ops, hasAperture)
	l.Requests = requests.New(conf.Settings.AttemptLimit, conf.Settings.Names, newPolicy, known, workerTransport{l.workers, l}, decisionLog)
	l.workers.SetTable(l.Requests)
	if l.Capture != nil {
		l.Capture.LookupEndpoint = l.Requests.Endpoint
		l.Requests.AddObserver(l.Capture)
	}
	return nil
}

// policyFactory returns what makes the policy, and a new one whenever that has failed.
func (l *Loop) policyFactory(conf config.Config, ops config.Ops, hasAperture bool) func() requests.Policy {
	seed := conf.Seed
	return func() requests.Policy {
		seed++
		if l.peers != nil { // the failed policy held leases; the new one numbers its own from 1 again
			l.peers.Restart()
		}
		l.dispatcher = dispatch.New(conf.Settings.Settings, seed)
		policy := requests.Policy(l.dispatcher)
		if l.Capture != nil {
			policy = l.Capture.Wrap(l.dispatcher)
		}
		if hasAperture { // before the capture: that records what the dispatcher itself is given, and replays alone
			policy = aperture.New(policy, conf.Settings.Settings, *ops.Aperture)
		}
		return policy
	}
}

// preparePeerSocket makes the socket for messages between schedulers if the settings allow any. openPeerSocket opens it.
func (l *Loop) preparePeerSocket(conf config.Config) {
	if !conf.Settings.PeerMessages {
		return
	}
	l.peers = socket.New(l.Loop, socket.Config{
		Listen:          conf.PeerListen,
		Peers:           conf.Peers,
		Self:            conf.Settings.ReplicaIndex,
		Count:           conf.Settings.Replicas,
		Receiver:        l.Requests,
		HasRelinquished: l.hasRelinquished,
		Log:             l.log,
		LeaseCounts:     l.leaseCounts,
		BudgetSpent:     conf.Settings.BudgetSpent,
	})
	l.Requests.TellPeer = l.peers.Queue
}

// openPeerSocket opens the socket for messages between schedulers, unless this process is in standby: a successor opens it once
// its predecessor has closed its own.
func (l *Loop) openPeerSocket() {
	if l.peers != nil && !l.restart.IsStandby() {
		l.peers.Open()
	}
}

func (l *Loop) leaseCounts() dispatch.LeaseCounts {
	if l.dispatcher == nil {
		return dispatch.LeaseCounts{}
	}
	return l.dispatcher.LeaseCounts()
}

// peerCounts returns the figures of messages between schedulers, which are zero if there are none. attemptsWritten counts the
// attempts that were written to workers.
func (l *Loop) peerCounts(attemptsWritten uint64) metrics.PeerCounts {
	if l.peers == nil {
		return metrics.PeerCounts{}
	}
	return l.peers.Counts(attemptsWritten)
}

// newCordonStore returns the store of the cordoned workers in a directory; nil if that is empty.
func (l *Loop) newCordonStore(stateDir string) *hotrestart.CordonStore {
	if stateDir == "" {
		return nil
	}
	return hotrestart.NewCordonStore(hotrestart.CordonStoreConfig{
		Files:        l.files,
		StateDir:     stateDir,
		MaxCallbacks: limits.MaxOperatorConnections,
		Now:          l.Now,
		Post:         l.Post,
		After:        func(delay time.Duration, act func()) { l.After(delay, act) },
		Changed:      management.LogStoreChanges(l.log),
	})
}

// prepareCordons makes what applies the operators' cordons. store may be nil: cordons are not stored.
func (l *Loop) prepareCordons(stateDir string, store *hotrestart.CordonStore) {
	l.cordons = management.NewCordons(l.Loop, management.CordonsConfig{
		Table:    l.Requests,
		Role:     l.restart,
		Store:    store,
		Log:      l.log,
		LoadFile: func() (workerIDs []string, err error) { return hotrestart.LoadCordonFile(l.files, stateDir) },
	})
	l.restart.SetCordons(l.cordons)
}

func (l *Loop) wrapRestoredDispatcher(dispatcher *dispatch.Dispatcher) requests.Policy {
	if l.Capture != nil {
		return l.Capture.Continue(dispatcher)
	}
	return dispatcher
}

// listenOrJoin listens for clients. With a management address it first looks for a process that serves at the same address, and
// enters standby if there is one. Several processes may listen at the clients' address then, so that one that can't be reached by
// its successor can be replaced too.
func (l *Loop) listenOrJoin(conf config.Config) error {
	if !conf.Management.IsValid() {
		l.prepareCordons("", nil)
		return l.startup.retry(func() error { return l.listenForClients(conf.Listen) })
	}
	l.onFail = func(err error) { l.log.Error("scheduler failed", "error", err) }
	l.prepareCordons(conf.StateDir, l.newCordonStore(conf.StateDir))
	l.cordons.Restore()
	if l.restart.Join(conf.StateDir, conf.Listen) {
		return nil
	}
	err := l.startup.retry(func() error { return l.listenForClients(conf.Listen, unix.SO_REUSEPORT) })
	if err != nil {
		return err
	}
	l.cordons.OwnFile()
	l.restart.AwaitSuccessor(hotrestart.SocketAddresses(conf.StateDir, conf.Listen))
	return nil
}

func (l *Loop) listenForClients(address netip.AddrPort, options ...int) error {
	return l.clients.Listen(address, options...)
}

// openFeatures opens the operators' calls, the status call and metrics, where they are on.
func (l *Loop) openFeatures(conf config.Config, ops config.Ops, metricTargets []metrics.Target) error {
	counters := metrics.NewCounters(conf.Settings.Names)
	if conf.Management.IsValid() || ops.Metrics != nil {
		l.Requests.AddObserver(counters)
	}
	if conf.Management.IsValid() {
		err := l.startup.retry(func() error {
			_, err := l.serveOperators(conf.Management, counters)
			return err
		})
		if err != nil {
			return fmt.Errorf("key \"management\": %w", err)
		}
	}
	if ops.Status != nil {
		table := status.New(*ops.Status, conf.Settings.Names, conf.Settings.StartNotifications, l.Now)
		if err := l.startup.retry(func() error { return l.serveStatus(ops.StatusAddr(conf), table) }); err != nil {
			return fmt.Errorf("key \"status.listen_port\": %w", err)
		}
		l.Requests.AddObserver(table)
	}
	if ops.Metrics != nil {
		if ops.Metrics.UDPTarget.IsValid() {
			metricTargets = append(metricTargets, push.NewCollector(l.Syscalls(), ops.Metrics.UDPTarget))
		}
		exporter := metrics.NewExporter(*ops.Metrics, counters, l.Now, metricTargets...)
		exporter.PeerCounts = func() metrics.PeerCounts { return l.peerCounts(counters.AttemptsWritten()) }
		l.Requests.AddObserver(exporter)
		l.metrics = push.Start(l.Loop, exporter)
	}
	return nil
}

// serveOperators serves the operators' calls.
func (l *Loop) serveOperators(address netip.AddrPort, counters *metrics.Counters) (*management.Operators, error) {
	return management.ServeOperators(l.Loop, address, management.OperatorsConfig{
		Scheduler: operatorView{l, counters},
		Cordons:   l.cordons,
		Counters:  counters,
		Log:       l.log,
	})
}

// serveStatus serves the status call.
func (l *Loop) serveStatus(address netip.AddrPort, table *status.Table) error {
	config := management.StatusConfig{Table: table, Log: l.log}
	if l.addressLists != nil {
		config.IsAllowed = func(from netip.AddrPort) bool { return l.addressLists.Admits(from, l.connectionLog) }
	}
	_, err := management.ServeStatus(l.Loop, address, config)
	return err
}
