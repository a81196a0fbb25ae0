package scheduler

import (
	"net/netip"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/client"
	"valvecove/internal/config"
	"valvecove/internal/discovery"
	"valvecove/internal/discovery/watch"
	"valvecove/internal/gossip/socket"
	"valvecove/internal/limits"
	"valvecove/internal/metrics"
	"valvecove/internal/requests"
	"valvecove/internal/worker"
)

// openBudget creates the budget of descriptors and memory. When it changes, the limits of the worker pool and of the client
// listener change with it.
func (s *Scheduler) openBudget(processLimits config.Limits, featureDescriptors int) {
	s.budget = limits.NewBudget(processLimits, featureDescriptors)
	s.budget.OnChange(func(shares limits.Shares) {
		s.workers.SetMaxConnections(shares.WorkerConnections)
		s.clients.SetLimits(clientLimitsOf(shares))
		s.Requests.SetExecutedLimit(shares.ExecutedIDs)
		if s.onShareLimits != nil {
			s.onShareLimits(s.budget.IsHalved())
		}
	})
}

// clientLimitsOf returns the limits of the client listener.
func clientLimitsOf(shares limits.Shares) client.Limits {
	return client.Limits{Connections: shares.ClientConnections, Requests: shares.OpenRequests, BufferBytes: shares.BufferBytes}
}

// openClientListener creates the client listener, without a socket.
func (s *Scheduler) openClientListener(limits client.Limits, settings *dispatch.Settings, names requests.NameTable) {
	s.settings = settings
	config := client.Config{
		Loop:          s.Loop,
		Table:         s.Requests,
		Log:           s.log,
		ConnectionLog: s.connectionLog,
		Settings:      settings,
		Names:         names,
		Limits:        limits,
	}
	if s.addressLists != nil {
		config.AccessLists = s.addressLists
	}
	s.clients = client.NewListener(config)
}

// openWorkerPool creates the pool of connections to workers, which is empty. The request table is set later.
func (s *Scheduler) openWorkerPool(maxConnections int, connectTimeout, workerIdleTimeout time.Duration) {
	s.workers = worker.New(worker.Config{
		Loop:              s.Loop,
		Dial:              func(address netip.AddrPort) (descriptor int, err error) { return s.dial(address) },
		WriteDelay:        client.WriteDelay,
		HasRelinquished:   s.hasRelinquished,
		MaxConnections:    maxConnections,
		ConnectTimeout:    connectTimeout,
		WorkerIdleTimeout: workerIdleTimeout,
	})
}

// prepareWatch creates the watch on the endpoint list, without a connection. random returns a random number in [0, n).
func (s *Scheduler) prepareWatch(conf config.Config, random func(n int64) int64) {
	s.watch = watch.New(s.Loop, watch.Config{
		Server: conf.Discovery,
		Discovery: discovery.Config{
			PollInterval: conf.Settings.PollInterval,
			Pushed:       !conf.Settings.MustSubscribe,
			Schedulers:   conf.Settings.Replicas,
		},
		Random: random,
		Table:  s.Requests,
		Log:    s.log,
		Dial:   func(address netip.AddrPort) (descriptor int, err error) { return s.dial(address) },
	})
}

// startWatch schedules the first connection of the watch. If many schedulers may have started with an outdated list, requests
// wait a short time for the first list of the watch. hasList reports whether the configuration contains a list.
func (s *Scheduler) startWatch(hasList bool) {
	s.watch.Start(hasList)
	if wait := s.watch.InitialWait(); wait > 0 && s.Requests.HasReadyWorker() {
		s.Requests.AwaitEndpoints(s.Now() + wait)
	}
}

// workerTransport gives the request table access to workers and discovery.
type workerTransport struct {
	*worker.Pool
	scheduler *Scheduler
}

// Watch starts watching the endpoint list. A connection that is scheduled or open is kept.
func (w workerTransport) Watch(int64) { w.scheduler.watch.Restart() }

// preparePeerSocket creates the socket for messages between schedulers if the settings enable them. openPeerSocket opens it.
func (s *Scheduler) preparePeerSocket(conf config.Config) {
	if !conf.Settings.PeerMessages {
		return
	}
	s.peers = socket.New(s.Loop, socket.Config{
		Listen:          conf.PeerListen,
		Peers:           conf.Peers,
		Self:            conf.Settings.ReplicaIndex,
		Schedulers:      conf.Settings.Replicas,
		Receiver:        s.Requests,
		HasRelinquished: s.hasRelinquished,
		Log:             s.log,
		LeaseCounts:     s.leaseCounts,
		BudgetSpent:     conf.Settings.BudgetSpent,
	})
	s.Requests.SendPeerMessage = s.peers.Queue
}

// openPeerSocket opens the socket for messages between schedulers, unless this process is in standby: a successor opens it once
// its predecessor has closed its own.
func (s *Scheduler) openPeerSocket() {
	if s.peers != nil && !s.restart.IsStandby() {
		s.peers.Open()
	}
}

// peerCounts returns the metrics of messages between schedulers, which are zero if these are disabled. attemptsWritten is the
// number of attempts that were written to workers.
func (s *Scheduler) peerCounts(attemptsWritten uint64) metrics.PeerCounts {
	if s.peers == nil {
		return metrics.PeerCounts{}
	}
	return s.peers.Counts(attemptsWritten)
}
