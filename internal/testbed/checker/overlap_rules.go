package checker

import (
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for overlapping attempts of a request. Whether an overlap is a violation is decided some time after
// the later attempt has arrived, as a cancellation of the earlier attempt may still be in transit.

// resolveOverlaps reports or drops the overlaps that a trace event decides.
func (c *Checker) resolveOverlaps(event *trace.Event) {
	kept := c.overlaps[:0]
	for _, overlap := range c.overlaps {
		early := &overlap.job.attempts[overlap.early]
		late := &overlap.job.attempts[overlap.late]
		switch {
		case c.isConfirmed(overlap, event.At):
			c.reportOverlap(overlap)
			continue
		case early.endedAt > 0:
			continue
		case overlap.provedOpenAt == 0 && event.Kind == trace.AttemptReceived && event.Worker == overlap.worker &&
			event.Scheduler == overlap.scheduler && event.FirstByteAt > late.firstByteAt+c.dialDelay:
			overlap.provedOpenAt = event.At
		}
		kept = append(kept, overlap)
	}
	clear(c.overlaps[len(kept):])
	c.overlaps = kept
}

// isConfirmed reports whether an overlap is a violation: the earlier attempt was still in flight when a cancellation of it would
// have arrived, on a path that is known to be open.
func (c *Checker) isConfirmed(overlap overlap, now time.Duration) bool {
	if overlap.provedOpenAt == 0 {
		return false
	}
	cancelledBy := overlap.provedOpenAt + c.workerDelay
	return now > cancelledBy && overlap.job.attempts[overlap.early].inFlight(cancelledBy)
}

// reportOverlap reports two attempts of a job that were in flight at once.
func (c *Checker) reportOverlap(overlap overlap) {
	early := &overlap.job.attempts[overlap.early]
	late := &overlap.job.attempts[overlap.late]
	requestID := overlap.job.requests[early.request].id
	c.report(overlap.rule, overlap.job, requestID, "sent to w-%d while an attempt at w-%d was out", late.worker, early.worker)
}

// dropOverlaps drops the undecided overlaps of a job.
func (c *Checker) dropOverlaps(job *job) {
	kept := c.overlaps[:0]
	for _, overlap := range c.overlaps {
		if overlap.job != job {
			kept = append(kept, overlap)
		}
	}
	clear(c.overlaps[len(kept):])
	c.overlaps = kept
}
