package link

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
)

// OnFail sets what is done when the process can't go on.
func (l *Loop) OnFail(act func(error)) { l.onFail = act }

// Reload goes on by another configuration: links, queries and what the module knows stay.
func (l *Loop) Reload(c config.Config) {
	l.limits = c.Limits
	l.shareLimits(l.sharesMachine)
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

// RejectQueued refuses the queries of which nothing was sent yet.
func (l *Loop) RejectQueued() {
	if !l.hasRelinquished() {
		l.Requests.RejectQueued()
	}
}

// FinishAllRequests gives final answers to all queries that are still open.
func (l *Loop) FinishAllRequests() { l.FinishRequestsSince(l.Now()) }

// FinishRequestsSince gives final answers to the queries that came within the last span and are still open.
func (l *Loop) FinishRequestsSince(span time.Duration) {
	if !l.hasRelinquished() {
		l.Requests.CloseSince(l.Now() - span)
	}
}

// IsQuiet tells whether every query is answered and every answer has left.
func (l *Loop) IsQuiet() bool {
	return (l.hasRelinquished() || l.Requests.OpenCount() == 0) && l.clients.hasSentAll()
}
