package forwarder

import "valvecove/internal/control/message"

// Stats are counts since the forwarder was made, and the present numbers of requests.
type Stats struct {
	Requests      int // admitted
	Reoffered     int // offers of requests that were not offered on arrival
	Commands      int // received from planners
	Sent          int // attempts, whoever commanded them
	Transfers     int // transfer commands executed
	Revoked       int // requests revoked from planners that gave no command for them
	Expired       int // requests given a response at their deadline
	Unplaced      int // requests given a response as no planner had capacity by their objective
	QueueFull     int // requests given a response on arrival as too many waited
	Poison        int // requests given up as sessions or policies failed on them twice
	Rejected      int // of the responses above, rejections
	Failed        int // and failures
	Unresponsive  int // sessions reset, as the planner did not reply or a message was lost
	StrayMessages int // messages of no session, or of a kind that is not for a forwarder
	Overruns      int // messages dropped as too many were received between two steps
	Standalone    int // times that standalone mode was entered
	Panics        int // of the local policy

	Open     int                      // requests now, with closed ones that have attempts in flight
	Waiting  int                      // of these, for a planner
	Local    int                      // of these, known to the local policy
	ByReason [message.ReasonCount]int // commands that the validator rejected, by reason
}

// Stats returns the counts.
func (f *Forwarder) Stats() Stats {
	stats := f.stats
	stats.Open = f.requests.count()
	stats.Waiting = f.queues.countWaiting()
	stats.Local = f.local.requestCount()
	for reason := range message.ReasonCount {
		stats.ByReason[reason] = f.validator.RejectedCount(reason)
	}
	return stats
}
