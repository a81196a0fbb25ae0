package scheduler

import (
	"net/netip"
	"time"

	"valvecove/internal/config"
)

// OnFail sets the function that is called when the process can't continue.
func (s *Scheduler) OnFail(act func(error)) { s.onFail = act }

// OnWake sets the function that is called in the iteration after a call of Wake.
func (s *Scheduler) OnWake(act func()) { s.onWake = act }

// OnShareLimits sets the function that is called when the process starts or stops using only half of its limits because another
// process runs beside it. It is called immediately with the current state.
func (s *Scheduler) OnShareLimits(act func(half bool)) {
	s.onShareLimits = act
	act(s.budget.IsHalved())
}

// Addr returns the address that clients connect to. It is not valid for a successor that has not taken over.
func (s *Scheduler) Addr() netip.AddrPort { return s.clients.Addr() }

// Reload applies another configuration: its limits and its discovery address. Connections, requests and the state of the
// dispatcher are kept. If a successor has taken over, this process does not watch the endpoint list.
func (s *Scheduler) Reload(conf config.Config) {
	s.budget.SetLimits(conf.Limits)
	if conf.Discovery != s.watch.Server() && !s.hasRelinquished() {
		s.watch.ChangeServer(conf.Discovery)
	}
}

// Drain makes the scheduler report that it is not ready. New requests are still served: clients keep their connections, and may
// have no other scheduler to connect to.
func (s *Scheduler) Drain() { s.clients.Drain() }

// Close stops admitting requests. Idle connections are closed immediately, the others after their responses.
func (s *Scheduler) Close() { s.clients.Close() }

// RejectQueued rejects the requests of which no attempt was sent to a worker yet.
func (s *Scheduler) RejectQueued() {
	if !s.hasRelinquished() {
		s.Requests.RejectQueued()
	}
}

// FinishAllRequests responds to all open requests.
func (s *Scheduler) FinishAllRequests() { s.FinishRequestsSince(s.Now()) }

// FinishRequestsSince responds to the open requests that arrived within the given time before now.
func (s *Scheduler) FinishRequestsSince(span time.Duration) {
	if !s.hasRelinquished() {
		s.Requests.CloseSince(s.Now() - span)
	}
}

// IsIdle reports whether every request has its response, and every response has been sent.
func (s *Scheduler) IsIdle() bool {
	return (s.hasRelinquished() || s.Requests.OpenCount() == 0) && s.clients.HasSentAll()
}

// FlushMetrics collects and sends all metrics, at the end of the process.
func (s *Scheduler) FlushMetrics() {
	if s.metrics != nil {
		s.metrics.Flush()
	}
}
