package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// Stats has counts since the planner started.
type Stats struct {
	Offers              int // that were received
	Commands            int // to send an attempt
	Served              int // requests with a response
	Rejected            int // requests, by command
	Failed              int // requests, by command
	Transferred         int // requests, to another planner
	Poison              int // requests that were returned because the policy panics at them
	OffersRejected      int // beyond the forwarder's credit, or of an unknown class
	Expired             int // attempts without a report that were assumed to have ended
	StatusUpdates       int // of workers, that were forwarded
	Panics              int // of the policy
	ConnectionsRejected int // beyond Config.MaxSessions, while stopping, or after panics
	StaleSessions       int // other than the newest one of their forwarder
	StrayMessages       int // of sessions, requests or attempts that have ended
	InvalidMessages     int
	ByReason            [message.ReasonCount]int // send commands that a forwarder's validator has rejected
}

// Status is a planner's present state.
type Status struct {
	Forwarders int // that are connected
	Sessions   int
	Open       int     // requests
	Queued     int     // of these, without an attempt in flight
	Closing    int     // requests that are closed, with attempts in flight
	Credit     int     // of all forwarders
	Slots      float64 // that attempts in flight occupy
	Workers    int     // that are known
	Owned      int     // on the endpoint list, and assigned to this planner
	TimerLag   time.Duration
}

// Stats returns the counts so far.
func (p *Planner) Stats() Stats { return p.stats }

// Status returns the planner's present state.
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
