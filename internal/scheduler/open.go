package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/address"
	"valvecove/internal/clock"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/limits"
	"valvecove/internal/logging"
	"valvecove/internal/metrics"
)

// watchSeed is the second seed of the random numbers for the backoff of the watch. It makes them independent of the other random
// numbers that are drawn from the configured seed.
const watchSeed = 0x66726573

// Open returns a scheduler that listens and is ready to run, with the enabled features. metricTargets receive the metrics, in
// addition to a configured collector. An error contains the configuration key that it concerns. Steps that fail temporarily are
// retried until stop is closed; then the error is ErrStopped.
func Open(
	stop <-chan struct{}, conf config.Config, ops config.Ops, log *logging.Factory, metricTargets ...metrics.Target,
) (*Scheduler, error) {
	return open(stop, eventloop.Syscalls{}, conf, ops, log, metricTargets...)
}

// open does what Open does, with the given system calls.
func open(
	stop <-chan struct{}, syscalls eventloop.Syscalls, conf config.Config, ops config.Ops, log *logging.Factory, metricTargets ...metrics.Target,
) (*Scheduler, error) {
	monotonic := clock.SinceEpoch(clock.Now)
	start := newStartup(monotonic, stop)
	var scheduler *Scheduler
	err := start.retry(func() (err error) {
		scheduler, err = newScheduler(log.NewLogger(), log.NewLogger(), monotonic, conf.Limits.Sockets, syscalls)
		return err
	})
	if err != nil {
		return nil, err
	}
	scheduler.startup = start
	scheduler.UpdateNow()
	if err := scheduler.openParts(conf, ops, log, metricTargets); err != nil {
		scheduler.CloseDescriptors()
		return nil, err
	}
	scheduler.startup.stop = nil // the event loop handles signals from now on
	return scheduler, nil
}

// openParts creates all parts in the order of their dependencies, and opens their sockets.
func (s *Scheduler) openParts(conf config.Config, ops config.Ops, log *logging.Factory, metricTargets []metrics.Target) error {
	ops.ApplyTo(&conf.Settings)
	if ops.Addresses != nil {
		s.addressLists = address.NewAccessLists(*ops.Addresses)
	}
	s.openBudget(conf.Limits, limits.FeatureDescriptors(conf, ops))
	s.openWorkerPool(s.budget.Shares().WorkerConnections, conf.Settings.ConnectTimeout, conf.Settings.ConnIdleTimeout)
	if err := s.openRequestTable(conf, ops, log); err != nil {
		return err
	}
	s.prepareWatch(conf, rand.New(rand.NewPCG(conf.Seed, watchSeed)).Int64N)
	s.preparePeerSocket(conf)
	s.openClientListener(clientLimitsOf(s.budget.Shares()), &conf.Settings.Settings, conf.Settings.Names)
	s.prepareHotRestart(transferState{s})
	if err := s.listenOrJoin(conf); err != nil {
		return err
	}
	s.openPeerSocket()
	if err := s.openFeatures(conf, ops, metricTargets); err != nil {
		return err
	}
	s.UpdateNow() // retries may have taken some time
	s.startWatch(len(conf.KnownEndpoints.Endpoints) > 0)
	return nil
}

// listenOrJoin listens for clients. With a management address it first looks for a process that serves at the same address, and
// enters standby if there is one. If there is none, and none is being replaced, it listens with SO_REUSEPORT, so that a later process can listen at the same
// address even if it can't reach this one for a hot restart.
func (s *Scheduler) listenOrJoin(conf config.Config) error {
	if !conf.Management.IsValid() {
		s.prepareCordons("", nil)
		return s.startup.retry(func() error { return s.listenForClients(conf.Listen) })
	}
	s.onFail = func(err error) { s.log.Error("scheduler failed", "error", err) }
	s.prepareCordons(conf.StateDir, s.newCordonStore(conf.StateDir))
	s.cordons.Restore()
	if hasJoined, err := s.joinOrOwn(conf); err != nil || hasJoined {
		return err
	}
	err := s.startup.retry(func() error { return s.listenForClients(conf.Listen, unix.SO_REUSEPORT) })
	if err != nil {
		return err
	}
	s.cordons.OwnFile()
	s.restart.AwaitSuccessor(hotrestart.SocketAddresses(conf.StateDir, conf.Listen))
	return nil
}

// joinOrOwn enters standby, or becomes the owner of the state. hasJoined is false for an owner. While another process owns the state and
// can't be joined, such as one that is taking over itself, it retries.
func (s *Scheduler) joinOrOwn(conf config.Config) (hasJoined bool, err error) {
	isLogged := false
	err = s.startup.retry(func() error {
		if hasJoined = s.restart.Join(conf.StateDir, conf.Listen); hasJoined {
			return nil
		}
		owned := s.restart.Own(conf.StateDir)
		if errors.Is(owned, transport.ErrOwned) && !isLogged {
			isLogged = true
			s.log.Info("start waits for the owner", "error", owned)
		}
		return owned
	})
	return hasJoined, err
}

func (s *Scheduler) listenForClients(address netip.AddrPort, options ...int) error {
	return s.clients.Listen(address, options...)
}

// openFeatures opens the operators' calls, the status call and metrics, as far as they are enabled.
func (s *Scheduler) openFeatures(conf config.Config, ops config.Ops, metricTargets []metrics.Target) error {
	counters := metrics.NewCounters(conf.Settings.Names)
	if conf.Management.IsValid() || ops.Metrics != nil {
		s.Requests.AddObserver(counters)
	}
	if conf.Management.IsValid() {
		if err := s.startup.retry(func() error { return s.openOperators(conf.Management, counters) }); err != nil {
			return fmt.Errorf("key \"management\": %w", err)
		}
	}
	if ops.Status != nil {
		if err := s.openStatus(conf, ops); err != nil {
			return fmt.Errorf("key \"status.listen_port\": %w", err)
		}
	}
	if ops.Metrics != nil {
		s.openMetrics(*ops.Metrics, counters, metricTargets)
	}
	return nil
}
