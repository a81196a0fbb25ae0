package forwarder

import "valvecove/internal/control/message"

// Stats holds counters since the forwarder was created, and the current numbers of requests.
type Stats struct {
	Requests      int // requests admitted
	Reoffered     int // offers made after the request's arrival
	Commands      int // commands received from planners
	Sent          int // attempts sent, commanded by planners or the local policy
	Transfers     int // transfer commands executed
	Revoked       int // requests revoked from planners that gave no command for them
	Expired       int // requests given up at their deadline
	Unplaced      int // requests given up because no planner had capacity by their objective
	QueueFull     int // requests given up on arrival because too many were waiting
	Poison        int // requests given up because sessions or policies failed on them maxSessionFailures times
	Rejected      int // rejections among the requests given up
	Failed        int // failures among the requests given up
	Unresponsive  int // sessions reset because the planner did not reply or a message was lost
	StrayMessages int // messages that belong to no current session, are of an unexpected kind, or carry an unusable snapshot
	Overruns      int // messages dropped because too many were received between two steps
	Standalone    int // times that standalone mode was entered
	Panics        int // panics of the local policy

	Open     int                      // current requests, including closed ones with attempts in flight
	Waiting  int                      // current requests that wait for a planner
	Local    int                      // current requests that are known to the local policy
	ByReason [message.ReasonCount]int // commands that the validator rejected, by reason
}

// Stats returns the current counters.
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
