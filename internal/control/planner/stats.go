package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// Stats counts events since the planner started.
type Stats struct {
	Offers              int // offers received
	Commands            int // send commands
	Served              int // requests served by a worker
	Rejected            int // requests rejected by command
	Failed              int // requests failed by command
	Transferred         int // requests transferred to another planner
	PoisonRequests      int // requests returned to their forwarder because they made the policy panic
	OffersRejected      int // offers beyond the forwarder's credit or with an invalid summary
	Expired             int // attempts assumed to have ended without a report
	StatusUpdates       int // worker statuses forwarded
	Panics              int // panics of the policy
	ConnectionsRejected int // connections beyond Config.MaxSessions, while stopping, or after panics
	StaleSessions       int // handshakes of sessions that are not their forwarder's newest
	StrayMessages       int // messages for sessions, requests or attempts that have ended
	InvalidMessages     int
	ByReason            [message.ReasonCount]int // send commands rejected by forwarders' validators
}

// Status describes a planner's current state.
type Status struct {
	Forwarders int // connected forwarders
	Sessions   int
	Open       int     // open requests
	Queued     int     // open requests without an attempt in flight
	Closing    int     // closed requests with attempts in flight
	Credit     int     // sum over all forwarders
	Slots      float64 // occupied by attempts in flight
	Workers    int     // known workers
	Owned      int     // listed workers assigned to this planner
	TimerLag   time.Duration
}

// Stats returns the planner's counters.
func (p *Planner) Stats() Stats { return p.stats }

// Status returns the planner's current state.
func (p *Planner) Status() Status {
	status := Status{
		Forwarders: len(p.forwarders.connected),
		Sessions:   len(p.forwarders.sessions),
		Open:       p.requests.openCount,
		Queued:     p.requests.queued.length,
		Closing:    len(p.requests.byID) - p.requests.openCount,
		Slots:      p.requests.slotsInUse,
		Workers:    len(p.workers.byID),
		TimerLag:   p.timer.lag,
	}
	for _, f := range p.forwarders.connected {
		status.Credit += f.credit.limit
	}
	for _, worker := range p.workers.list {
		if worker.listed && worker.owned {
			status.Owned++
		}
	}
	return status
}
