package planner

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/deadline"
)

// requestState is how far a request has come at this planner. It changes by requestTable.transition only.
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
	requestOffered                      // open; not decided yet whether it stays here
	requestQueued                       // open, without an attempt in flight
	requestInFlight                     // open, with attempts in flight
	requestClosing                      // closed, with attempts in flight
	requestRemoved                      // not in the table any more
)

// request is a request that a forwarder has offered.
type request struct {
	deadline.Item // when the attempts of a closing request are taken to have ended
	state         requestState
	id            uint64        // the job number by which the policy knows it
	forwarderID   uint64        // the forwarder's number
	forwarder     *forwarder    // nil: that process has ended
	epoch         message.Epoch // of the session in which it was offered
	links         [listCount]listLinks
	knownToPolicy bool // to this one, or one before it
	job           dispatch.Job
	arrivedAt     time.Duration // at the forwarder
	deadline      time.Duration
	queuedSince   time.Duration // of one that is queued
	slots         float64       // that an attempt takes
	transfers     int           // between planners so far
	failureCount  int           // steps with a panic of the policy that were about it
	attempts      []attempt     // by number
	inFlight      int           // attempts
}

// resumedJob returns the event that gives a policy the request with its attempts.
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
