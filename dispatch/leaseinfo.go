package dispatch

import (
	"slices"
	"time"
)

// noPeer stands for the coordinator of a lease that has none.
const noPeer = -1

// leaseInfo is a lease that was requested, or slots that were taken without one.
type leaseInfo struct {
	id              LeaseID
	shard           Shard
	peer            int          // coordinator of the last request or report; noPeer: none
	job             *jobInfo     // the job that waits for it; nil: it is in use
	attempt         *attemptInfo // the attempt that uses it
	demand          float64      // slots
	worker          uint64
	requestedAt     time.Duration // the first request since the last answer
	createdAt       time.Duration
	requestAttempts int  // since the last answer
	isQueued        bool // the coordinator has answered that the request waits
	isGranted       bool
	timer           timer // fires when it is to be requested again
}

func (l *leaseInfo) isUsed() bool { return l.attempt != nil }

// jobLeases are the leases of a queued job.
type jobLeases struct {
	requested       []*leaseInfo
	unusableWorkers []uint64 // workers whose slots were granted but cannot be used
	isDisabled      bool     // the job is sent without a lease
}

// isAwaited reports whether a job waits for slots that were requested for it.
func (j *jobLeases) isAwaited() bool { return len(j.requested) > 0 }

func (j *jobLeases) remove(lease *leaseInfo) {
	isLease := func(other *leaseInfo) bool { return other == lease }
	j.requested = slices.DeleteFunc(j.requested, isLease)
}
