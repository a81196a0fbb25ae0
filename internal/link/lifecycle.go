package link

import (
	"net/netip"
	"time"

	"valvecove/internal/config"
)

// OnFail sets what is done when the process can't go on.
func (l *Loop) OnFail(act func(error)) { l.onFail = act }

// OnWake sets what Wake brings about.
func (l *Loop) OnWake(act func()) { l.onWake = act }

// Addr returns where the loop listens for clients; of a successor that has not taken over, that is not valid.
func (l *Loop) Addr() netip.AddrPort {
	return l.clients.Addr()
}

// Reload goes on by another configuration: connections, requests and what the dispatcher knows stay.
func (l *Loop) Reload(c config.Config) {
	l.budget.SetLimits(c.Limits)
	if c.Discovery != l.watch.Server() {
		l.watch.ChangeServer(c.Discovery)
	}
}

// OnShareLimits sets what is called when the process begins or ceases to have half of its limits, as it shares its machine with
// another process beside it. It is called at once with whether it does.
func (l *Loop) OnShareLimits(act func(half bool)) {
	l.onShareLimits = act
	act(l.budget.IsHalved())
}

// Drain has the scheduler say that it is not ready. What comes is still served: clients keep the connections that they have,
// and may have no other scheduler to go to.
func (l *Loop) Drain() { l.clients.Drain() }

// Close admits no request any more. Connections between requests are closed, the others with their responses.
func (l *Loop) Close() { l.clients.Close() }

// RejectQueued rejects the requests of which nothing was sent to a worker yet.
func (l *Loop) RejectQueued() {
	if !l.hasRelinquished() {
		l.Requests.RejectQueued()
	}
}

// FinishAllRequests responds to all requests that are still open.
func (l *Loop) FinishAllRequests() { l.FinishRequestsSince(l.Now()) }

// FinishRequestsSince responds to the requests that came within the last span of time and are still open.
func (l *Loop) FinishRequestsSince(span time.Duration) {
	if !l.hasRelinquished() {
		l.Requests.CloseSince(l.Now() - span)
	}
}

// IsQuiet reports whether every request has its response, and every response is sent.
func (l *Loop) IsQuiet() bool {
	return (l.hasRelinquished() || l.Requests.OpenCount() == 0) && l.clients.HasSentAll()
}

// FlushMetrics gathers and sends all metrics, at the end of the process.
func (l *Loop) FlushMetrics() {
	if l.metrics != nil {
		l.metrics.Flush()
	}
}
