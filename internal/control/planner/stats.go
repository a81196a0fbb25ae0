package planner

import (
	"time"

	"valvecove/internal/control/message"
)

// Stats counts what has happened since the planner started.
type Stats struct {
	Offers              int // that were received
	Commands            int // to send an attempt
	Served              int // requests that have got their response
	Rejected            int // requests, by command
	Failed              int // requests, by command
	Transferred         int // requests, to another planner
	Poison              int // requests that were returned because the policy panics at them
	OffersRejected      int // beyond the forwarder's credit, or of an unknown class
	Expired             int // attempts that nobody reported on, and that were taken to have ended
	StatusUpdates       int // of workers, that were passed on
	Panics              int // of the policy
	ConnectionsRejected int // for lack of a place, or after panics
	StaleSessions       int // that were not the newest of their forwarder
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
	Slots      float64 // that attempts in flight take
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
