package checker

import (
	"valvecove/internal/testbed/trace"
)

// This file holds the rule for overlapping runs of a request, which is decided once what crosses on its way has
// arrived.

// resolveOverlaps looks at suspicions again, as a trace event comes in that may settle some.
func (c *Checker) resolveOverlaps(event *trace.Event) {
	kept := c.overlaps[:0]
	for _, overlap := range c.overlaps {
		early, late := &overlap.job.attempts[overlap.early], &overlap.job.attempts[overlap.late]
		switch {
		case overlap.provedOpenAt > 0 && event.At > overlap.provedOpenAt+c.workerDelay && early.inFlight(overlap.provedOpenAt+c.workerDelay):
			c.reportOverlap(overlap)
			continue
		case early.endedAt > 0:
			continue
		case overlap.provedOpenAt == 0 && event.Kind == trace.AttemptReceived && event.Worker == overlap.worker && event.Scheduler == overlap.scheduler && event.FirstByteAt > late.firstByteAt+c.dialDelay:
			overlap.provedOpenAt = event.At
		}
		kept = append(kept, overlap)
	}
	clear(c.overlaps[len(kept):])
	c.overlaps = kept
}

func (c *Checker) reportOverlap(overlap overlap) {
	early, late := &overlap.job.attempts[overlap.early], &overlap.job.attempts[overlap.late]
	c.report(overlap.rule, overlap.job, overlap.job.requests[early.request].id, "sent to w-%d while an attempt at w-%d was out", late.worker, early.worker)
}

// dropOverlaps forgets suspicions of a job.
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
