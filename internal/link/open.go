package link

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/address"
	"valvecove/internal/aperture"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/figures"
	"valvecove/internal/hotrestart"
	"valvecove/internal/oplog"
	"valvecove/internal/requests"
	"valvecove/internal/status"
	"valvecove/internal/tally"
)

// watchSeed keeps the random backoffs of the watch apart from what else is drawn from a scheduler's seed.
const watchSeed = 0x66726573

// Open returns a loop that listens and is ready to run, with the features that are on. figuresTo are targets of figures
// besides a collector.
func Open(c config.Config, ops config.Ops, log *oplog.Log, figuresTo ...figures.Target) (*Loop, error) {
	l, err := newLoop(log.Kind(), log.Kind(), clockSinceEpoch(), c.Limits.Sockets)
	if err != nil {
		return nil, err
	}
	if ops.Addresses != nil {
		l.addressLists = address.New(*ops.Addresses)
	}
	l.featureDescriptors, l.limits = countFeatureDescriptors(c, ops), c.Limits
	servers, clients := splitDescriptors(c.Limits.Sockets, l.featureDescriptors)
	l.openWorkerPool(servers, c.Settings.ConnectTimeout, c.Settings.ConnIdleTimeout)
	l.watch = l.newWatchConnection(c.Discovery, discovery.Config{
		PollInterval: c.Settings.PollInterval, Pushed: !c.Settings.MustSubscribe,
		Schedulers: c.Settings.Replicas,
	}, rand.New(rand.NewPCG(c.Seed, watchSeed)).Int64N)
	decisions := log.Kind()
	if ops.Capture != nil {
		if l.Capture, err = capture.New(*ops.Capture, c, l.Now, decisions); err != nil {
			return nil, fmt.Errorf("key \"capture.dir\": %w", err)
		}
	}
	seed := c.Seed
	narrowed := ops.Aperture != nil && ops.Aperture.Enabled(c.Settings.Replicas)
	if !narrowed { // else what stands round the module has a state of its own
		l.wrapRestored = func(d *dispatch.Dispatcher) requests.Policy {
			if l.Capture != nil {
				return l.Capture.Continue(d)
			}
			return d
		}
	}
	module := func() requests.Policy {
		seed++
		d := dispatch.New(c.Settings.Settings, seed)
		l.dispatcher = d
		m := requests.Policy(d)
		if l.Capture != nil {
			m = l.Capture.Wrap(d)
		}
		if narrowed { // before the capture: that records what the module itself was told, and replays alone
			m = aperture.New(m, c.Settings.Settings, *ops.Aperture)
		}
		return m
	}
	l.Requests = requests.New(c.Settings.AttemptLimit, c.Settings.Names, module, c.KnownEndpoints, l.workers, decisions)
	if l.Capture != nil {
		l.Capture.LookupEndpoint = l.Requests.Endpoint
		l.Requests.AddObserver(l.Capture)
	}
	l.openClientListener(clients, bufferBudget(c), &c.Settings.Settings, c.Settings.Names)
	if !c.Management.IsValid() {
		l.clients.fd, err = l.Listen(c.Listen, l.clients)
	} else {
		err = l.joinOrServe(c)
	}
	if err != nil {
		return nil, err
	}
	if c.Management.IsValid() {
		count := tally.New(c.Settings.Names.Classes)
		if err := l.serveOperators(c.Management, count); err != nil {
			return nil, fmt.Errorf("key \"management\": %w", err)
		}
		l.Requests.AddObserver(count)
	}
	if ops.Status != nil {
		table := status.New(*ops.Status, c.Settings.Names, c.Settings.StartNotifications, l.Now)
		if err := l.serveStatus(ops.StatusAddr(c), table); err != nil {
			return nil, fmt.Errorf("key \"status.listen_port\": %w", err)
		}
		l.Requests.AddObserver(table)
	}
	if ops.Metrics != nil {
		targets := figuresTo
		if ops.Metrics.UDPTarget.IsValid() {
			targets = append(targets, &collectorSocket{address: ops.Metrics.UDPTarget, fd: -1})
		}
		l.figures = figures.New(*ops.Metrics, c.Settings.Names, l.Now, targets...)
		l.Requests.AddObserver(l.figures)
		l.sendFigures(l.figures)
	}
	l.watch.start(len(c.KnownEndpoints.Endpoints) > 0)
	if wait := l.watch.machine.InitialWait(); wait > 0 && l.Requests.HasReadyWorker() {
		l.Requests.AwaitEndpoints(l.Now() + wait)
	}
	return l, nil
}

// joinOrServe takes the place of the process that serves here, or, if there is none, serves at once. Several processes may listen
// at the clients' address, so that one that can't be reached by its successor can be replaced too.
func (l *Loop) joinOrServe(c config.Config) error {
	l.onFail = func(err error) { l.log.Error("can't go on", "error", err) }
	out, err := hotrestart.ReadCordonFile(c.StateDir)
	if err != nil { // served on: a worker node that should be out is out again with the next call
		l.log.Error("worker nodes out by hand can't be read", "error", err)
	}
	if l.Requests.SetCordoned(out); len(out) > 0 {
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
