package dispatch

import (
	"math"
	"time"
)

// How estimates follow what is observed.
const (
	speedDecayTime        = 10 * time.Second       // of a learnt speed towards that of its kind, without further runs
	speedDecayDelay       = 50 * time.Millisecond  // a speed starts to decay so long after it was learnt
	overrunDecayTime      = 60 * time.Second       // of the overrun ratio of a class
	busyGain              = 0.1                    // the chance by zone follows the last ten or so samples
	minFreeSlots          = 0.5                    // a worker that reports less has no free slot
	maxReportAge          = time.Second            // an older load report says nothing about the present
	reportLag             = 200 * time.Millisecond // a job sent less than this before a report may be missing from it
	minExpectedRunSeconds = 1e-3                   // the shortest expected run that an overrun is measured against
	maxKnownKeys          = 10000                  // keys whose past work is known
)

// observeSlots notes that so many slots of a worker were free or running at once.
func (d *Dispatcher) observeSlots(w *workerInfo, slots float64) {
	kind := d.workload.machineKind(w.Kind)
	if w.warmUpShare(&d.settings, d.now) == 1 && slots > kind.maxSlots {
		kind.maxSlots = slots
		kind.lateOverflows = 0
	}
}

// applyReport updates a worker by its load report.
func (d *Dispatcher) applyReport(w *workerInfo, report []float64) {
	for i, field := range d.settings.ReportFields {
		if field == ReportFieldFreeSlots && i < len(report) && !math.IsNaN(report[i]) {
			w.report.freeSlots = max(0, report[i])
			w.report.receivedAt = d.now
			d.fleet.observeBusy(w.Zone, w.report.freeSlots < minFreeSlots)
			d.observeSlots(w, math.Floor(w.report.freeSlots))
		}
	}
}
