package dispatch

import (
	"math"
	"time"
)

// How estimates follow what is observed.
const (
	speedDecayTime        = 10 * time.Second       // without news a learnt speed drifts back to that of its kind
	speedDecayDelay       = 50 * time.Millisecond  // news that is younger does not drift
	overrunDecayTime      = 60 * time.Second       // a class that had far heavier jobs may have more
	busyGain              = 0.1                    // the chance by zone follows the last ten or so samples
	minFreeSlots          = 0.5                    // a worker that reports less has no free slot
	maxReportAge          = time.Second            // an older load report says nothing about now
	reportLag             = 200 * time.Millisecond // jobs sent this shortly before a report may be missing from it
	minExpectedRunSeconds = 1e-3                   // seconds: shorter expectations are outrun easily
	maxKnownKeys          = 10000                  // keys whose past is known
)

// machineKind returns what is known of a kind of machine.
func (d *Dispatcher) machineKind(kind int) *machineInfo {
	if d.kinds[kind] == nil {
		d.kinds[kind] = &machineInfo{}
	}
	return d.kinds[kind]
}

// KeyWork is the work that a key's last run showed, in seconds, as RecallKeyWork wants it before a job with that key comes.
func (d *Dispatcher) KeyWork(key uint64) (work float64, ok bool) {
	work, ok = d.keyWork[key]
	return work, ok
}

// RecallKeyWork tells a restored dispatcher what its snapshot omitted of a key.
func (d *Dispatcher) RecallKeyWork(key uint64, work float64) {
	if _, known := d.keyWork[key]; !known && d.keysOmitted > 0 {
		d.keysOmitted--
		d.keyWork[key] = work
	}
}

// rememberKey keeps the work that the run of a job with a key showed. When there are too many keys all are forgotten:
// those in use are soon learnt again.
func (d *Dispatcher) rememberKey(key uint64, work float64) {
	if len(d.keyWork)+d.keysOmitted >= maxKnownKeys {
		clear(d.keyWork)
		d.keysOmitted = 0
	}
	if key != 0 {
		d.keyWork[key] = work
	}
}

// observeOverrun remembers for a while by how much a job has outrun its expectation. One far heavier than its hint can
// overload a warming worker alone: its class is budgeted as if each were.
func (d *Dispatcher) observeOverrun(a *attemptInfo, run time.Duration) {
	factor := run.Seconds() / max(a.expectedRun.Seconds(), minExpectedRunSeconds)
	d.overrunFactor[a.job.Class] = max(d.overrunFactor[a.job.Class], factor)
}

// observeSlots takes in that so many slots of a worker were free or running at once.
func (d *Dispatcher) observeSlots(w *workerInfo, slots float64) {
	if k := d.machineKind(w.Kind); d.warmUpShare(w) == 1 && slots > k.maxSlots {
		k.maxSlots, k.lateOverflows = slots, 0
	}
}

// applyReport takes in a load report.
func (d *Dispatcher) applyReport(w *workerInfo, report []float64) {
	for i, field := range d.settings.ReportFields {
		if field == ReportFieldFreeSlots && i < len(report) && !math.IsNaN(report[i]) {
			w.report.freeSlots, w.report.receivedAt = max(0, report[i]), d.now
			d.fleet.observeBusy(w.Zone, w.report.freeSlots < minFreeSlots)
			d.observeSlots(w, math.Floor(w.report.freeSlots))
		}
	}
}
