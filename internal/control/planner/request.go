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

// isOpen reports whether the forwarder awaits a decision on the request.
func (r requestState) isOpen() bool { return r >= requestOffered && r <= requestInFlight }

const (
	requestNew      requestState = iota // not in the table yet
	requestOffered                      // open; it may still be transferred at once
	requestQueued                       // open, without an attempt in flight
	requestInFlight                     // open, with attempts in flight
	requestClosing                      // closed, with attempts in flight
	requestRemoved                      // removed from the table
)

// request is a request that a forwarder has offered.
type request struct {
	deadline.Item // when the attempts of a closing request are assumed to have ended
	state         requestState
	id            uint64        // the policy's job number
	forwarderID   uint64        // the forwarder's number
	forwarder     *forwarder    // nil: its process has ended
	epoch         message.Epoch // of the session in which it was offered
	links         [listCount]listLinks
	knownToPolicy bool // to the present policy or an earlier one
	job           dispatch.Job
	arrivedAt     time.Duration // at the forwarder
	deadline      time.Duration
	queuedSince   time.Duration // of one that is queued
	slots         float64       // that an attempt occupies
	transfers     int           // between planners so far
	failureCount  int           // steps with a panic of the policy whose events refer to it
	attempts      []attempt     // by number
	inFlight      int           // attempts
}

// resumedJob returns the event that passes the request and its attempts to a policy.
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

// clampSpan returns a reported duration within its bounds.
func clampSpan(d time.Duration) time.Duration { return min(max(d, 0), maxReportedSpan) }
