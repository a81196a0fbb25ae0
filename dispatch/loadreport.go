package dispatch

import (
	"math"
	"time"
)

const (
	minFreeSlots = 0.5                    // a worker that reports fewer has no free slot
	maxReportAge = time.Second            // an older load report is not fresh
	reportLag    = 200 * time.Millisecond // a job sent less than this before a report may be missing from it
)

// loadReport is the part of a worker's latest load report that decisions use.
type loadReport struct {
	freeSlots  float64       // as reported, plus the slots that attempts have released since
	receivedAt time.Duration // 0: none since the worker's process started
}

// applyReport updates a worker with a load report, which is in the order of Settings.ReportFields. Values
// that are missing or not a number are ignored.
func (d *Dispatcher) applyReport(worker *workerInfo, report []float64) {
	for i, field := range d.settings.ReportFields {
		if field == ReportFieldFreeSlots && i < len(report) && !math.IsNaN(report[i]) {
			worker.report.freeSlots = max(0, report[i])
			worker.report.receivedAt = d.now
			d.fleet.observeBusy(worker.Zone, worker.report.freeSlots < minFreeSlots)
			d.observeSlots(worker, math.Floor(worker.report.freeSlots))
		}
	}
}

// observeSlots updates the greatest number of slots of a worker's machine kind with the number that were
// free, or running, at once. A worker that is warming up is left out, as it shows less than its capacity.
func (d *Dispatcher) observeSlots(worker *workerInfo, slots float64) {
	kind := d.workload.machineKind(worker.Kind)
	if worker.warmUpShare(&d.settings, d.now) == 1 {
		kind.observeSlots(slots)
	}
}

// reportedFreeSlots returns the free slots by the worker's latest load report, less the demand of the jobs
// sent since, and whether the report is fresh.
func (w *workerInfo) reportedFreeSlots(now time.Duration) (free float64, fresh bool) {
	if w.report.receivedAt == 0 {
		return 0, false
	}
	free = w.report.freeSlots
	for _, attempt := range w.inFlight {
		if attempt.sentAt > w.report.receivedAt-reportLag {
			free -= attempt.job.demand
		}
	}
	return free, now-w.report.receivedAt < maxReportAge
}
