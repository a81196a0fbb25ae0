package checker

import (
	"valvecove/internal/testbed/trace"
)

// This file holds the rule for overlapping runs of a request, which is decided once what crosses on its way has
// arrived.

// resolveOverlaps looks at suspicions again, as a trace event comes in that may settle some.
func (j *Checker) resolveOverlaps(event *trace.Event) {
	kept := j.overlaps[:0]
	for _, overlap := range j.overlaps {
		x, y := &overlap.job.attempts[overlap.early], &overlap.job.attempts[overlap.late]
		switch {
		case overlap.provedOpenAt > 0 && event.At > overlap.provedOpenAt+j.workerDelay && x.inFlight(overlap.provedOpenAt+j.workerDelay):
			j.reportOverlap(overlap)
			continue
		case x.endedAt > 0:
			continue
		case overlap.provedOpenAt == 0 && event.Kind == trace.AttemptReceived && event.Worker == overlap.worker && event.Scheduler == overlap.scheduler && event.FirstByteAt > y.firstByteAt+j.dialDelay:
			overlap.provedOpenAt = event.At
		}
		kept = append(kept, overlap)
	}
	clear(j.overlaps[len(kept):])
	j.overlaps = kept
}

func (j *Checker) reportOverlap(o overlap) {
	x, y := &o.job.attempts[o.early], &o.job.attempts[o.late]
	j.report(o.rule, o.job, o.job.requests[x.request].id, "sent to w-%d while an attempt at w-%d was out", y.worker, x.worker)
}

// dropOverlaps forgets suspicions of a job.
func (j *Checker) dropOverlaps(b *job) {
	kept := j.overlaps[:0]
	for _, o := range j.overlaps {
		if o.job != b {
			kept = append(kept, o)
		}
	}
	clear(j.overlaps[len(kept):])
	j.overlaps = kept
}
