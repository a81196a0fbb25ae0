package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

// requestState is the state of a request at this planner. It changes by requestTable.transition only.
type requestState uint8

func (r requestState) String() string {
	switch r {
	case requestNew:
		return "new"
	case requestOffered:
		return "offered"
	case requestQueued:
		return "queued"
	case requestInFlight:
		return "in flight"
	case requestClosing:
		return "closing"
	case requestRemoved:
		return "removed"
	}
	return "unknown"
}

// isOpen reports whether this planner still decides on the request.
func (r requestState) isOpen() bool { return r >= requestOffered && r <= requestInFlight }

const (
	requestNew      requestState = iota // not added to the table yet
	requestOffered                      // open; it may be transferred before the policy receives it
	requestQueued                       // open, no attempt in flight
	requestInFlight                     // open, attempts in flight
	requestClosing                      // closed, attempts in flight
	requestRemoved                      // removed from the table
)

// request is a request offered by a forwarder.
type request struct {
	deadline.Item // expiry: when the attempts of a closing request are assumed to have ended
	state         requestState
	id            uint64        // job ID for the policy
	forwarderID   uint64        // request ID of the forwarder
	forwarder     *forwarder    // nil after its process has ended
	epoch         message.Epoch // of the session in which the request was offered
	links         [listCount]listLinks
	knownToPolicy bool // the current policy or an earlier one has received it
	job           dispatch.Job
	arrivedAt     time.Duration // at the forwarder
	deadline      time.Duration
	queuedSince   time.Duration // valid while queued
	slots         float64       // occupied by an attempt
	transfers     int           // number of transfers between planners so far
	failureCount  int           // panicking policy steps with events of this request
	attempts      []attempt     // by attempt number
	inFlight      int           // number of attempts in flight
}

// resumedJob returns the event that delivers the request and its attempts to a policy.
func (r *request) resumedJob(now time.Duration) dispatch.JobResumed {
	resumed := dispatch.JobResumed{
		Job:          r.job,
		Age:          now - r.arrivedAt,
		QuotaCharged: r.knownToPolicy || r.transfers > 0,
	}
	resumed.Job.Remaining = max(0, r.deadline-now)
	for i := range r.attempts {
		attempt := &r.attempts[i]
		past := dispatch.PastAttempt{
			Worker:  attempt.worker.ID,
			SentAgo: now - attempt.sentAt,
			Ended:   !attempt.inFlight(),
			Result:  attempt.result,
		}
		if attempt.startedAt != 0 {
			past.StartedAgo = max(1, now-attempt.startedAt)
		}
		resumed.Attempts = append(resumed.Attempts, past)
	}
	return resumed
}

// clampDuration limits a reported duration to the range from 0 to maxReportedDuration.
func clampDuration(d time.Duration) time.Duration { return min(max(d, 0), maxReportedDuration) }
