package scheduler

import (
	"net/netip"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/hotrestart"
	"valvecove/internal/limits"
	"valvecove/internal/management"
	"valvecove/internal/metrics"
	"valvecove/internal/metrics/push"
	"valvecove/internal/status"
)

// newCordonStore returns the store of cordoned workers in a directory, or nil if stateDir is empty.
func (s *Scheduler) newCordonStore(stateDir string) *hotrestart.CordonStore {
	if stateDir == "" {
		return nil
	}
	return hotrestart.NewCordonStore(hotrestart.CordonStoreConfig{
		Files:        s.files,
		StateDir:     stateDir,
		MaxCallbacks: limits.MaxOperatorConnections,
		Now:          s.Now,
		Post:         s.Post,
		After:        func(delay time.Duration, act func()) { s.After(delay, act) },
		Changed:      management.LogStoreChanges(s.log),
	})
}

// prepareCordons creates the component that applies the operators' cordons. If store is nil, they are not stored.
func (s *Scheduler) prepareCordons(stateDir string, store *hotrestart.CordonStore) {
	s.cordons = management.NewCordons(s.Loop, management.CordonsConfig{
		Table:    s.Requests,
		Role:     s.restart,
		Store:    store,
		Log:      s.log,
		LoadFile: func() (workerIDs []string, err error) { return hotrestart.LoadCordonFile(s.files, stateDir) },
	})
	s.restart.SetCordons(s.cordons)
}

// openOperators serves the operators' calls at the management address.
func (s *Scheduler) openOperators(address netip.AddrPort, counters *metrics.Counters) error {
	_, err := s.serveOperators(address, counters)
	return err
}

func (s *Scheduler) serveOperators(address netip.AddrPort, counters *metrics.Counters) (*management.Operators, error) {
	return management.ServeOperators(s.Loop, address, management.OperatorsConfig{
		Scheduler: operatorView{s, counters},
		Cordons:   s.cordons,
		Counters:  counters,
		Log:       s.log,
	})
}

// openStatus serves the status call.
func (s *Scheduler) openStatus(conf config.Config, ops config.Ops) error {
	table := status.New(*ops.Status, conf.Settings.Names, conf.Settings.StartNotifications, s.Now)
	config := management.StatusConfig{Table: table, Log: s.log}
	if s.addressLists != nil {
		config.IsAllowed = func(from netip.AddrPort) bool { return s.addressLists.Admits(from, s.connectionLog) }
	}
	err := s.startup.retry(func() error {
		_, err := management.ServeStatus(s.Loop, ops.StatusAddr(conf), config)
		return err
	})
	if err != nil {
		return err
	}
	s.Requests.AddObserver(table)
	return nil
}

// openMetrics starts sending metrics to the targets, and to the collector if one is configured.
func (s *Scheduler) openMetrics(conf config.Metrics, counters *metrics.Counters, targets []metrics.Target) {
	if conf.UDPTarget.IsValid() {
		targets = append(targets, push.NewCollector(s.Syscalls(), conf.UDPTarget))
	}
	exporter := metrics.NewExporter(conf, counters, s.Now, targets...)
	exporter.PeerCounts = func() metrics.PeerCounts { return s.peerCounts(counters.AttemptsWritten()) }
	s.Requests.AddObserver(exporter)
	s.metrics = push.Start(s.Loop, exporter)
}

// operatorView is the view of a scheduler that the operators' calls present.
type operatorView struct {
	scheduler *Scheduler
	counters  *metrics.Counters
}

// NotReadyReason returns why this process is not ready to serve, or an empty string if it is ready.
func (o operatorView) NotReadyReason() string { return o.scheduler.notReadyReason() }

// Gauges returns the gauges of the metrics call.
func (o operatorView) Gauges() metrics.Gauges {
	s := o.scheduler
	return metrics.Gauges{
		OpenRequests:    s.openRequestCount(),
		ListedWorkers:   s.Requests.ListedCount(),
		AvoidedWorkers:  s.avoidedCount(),
		UnstoredCordons: s.cordons.UnstoredCount(),
		Peers:           s.peerCounts(o.counters.AttemptsWritten()),
	}
}

func (s *Scheduler) notReadyReason() string {
	switch {
	case s.hasRelinquished():
		return "replaced"
	case s.clients.IsDraining():
		return "draining"
	case s.restart.NotReadyReason() != "":
		return s.restart.NotReadyReason()
	case s.Requests.IsAwaitingEndpoints():
		return "no word from discovery yet"
	case !s.Requests.HasReadyWorker():
		return "no worker node known"
	}
	return ""
}

// openRequestCount returns the number of requests that this process owns and has not answered.
func (s *Scheduler) openRequestCount() int {
	if s.hasRelinquished() {
		return 0
	}
	return s.Requests.OpenCount()
}
