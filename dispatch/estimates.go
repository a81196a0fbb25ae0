package dispatch

import (
	"math"
	"time"
)

// How estimates follow what is observed.
const (
	speedRate     = 0.2                    // a worker's speed follows its last five or so jobs
	maxKindStep   = 1.0                    // log, of a kind's speed at one job, before its rate
	speedMemory   = 10 * time.Second       // without news a learnt speed drifts back to that of its kind
	speedGrace    = 50 * time.Millisecond  // news that is younger does not drift
	overrunMemory = 60 * time.Second       // a class that had far heavier jobs may have more
	busyRate      = 0.1                    // the chance by zone follows the last ten or so samples
	minFreeSlots  = 0.5                    // a worker that reports less has no free slot
	reportMaxAge  = time.Second            // an older load report says nothing about now
	reportLag     = 200 * time.Millisecond // jobs sent this shortly before a report may be missing from it
	minWarmUp     = 0.01                   // share of its capacity that a worker has at least
	minExpected   = 1e-3                   // seconds: shorter expectations are outrun easily
	maxKeys       = 10000                  // keys whose past is known
)

// machineKind returns what is known of a kind of machine.
func (d *Dispatcher) machineKind(kind int) *machineInfo {
	if d.kinds[kind] == nil {
		d.kinds[kind] = &machineInfo{}
	}
	return d.kinds[kind]
}

// features are those of the logistic model: how far a job's work lies beyond the cut, and its slots, both in logs.
func (d *Dispatcher) features(j *jobInfo) (hint, slots float64) {
	return clamp(math.Log(j.work)-d.longCut, maxFeature), clamp(math.Log2(j.Slots), maxFeature)
}

func slotBucket(j *jobInfo) int { return min(slotBuckets-1, int(math.Log2(j.Slots))) }

// isShort tells whether a job is expected to run for less than the cut between short and long.
func (d *Dispatcher) isShort(j *jobInfo) bool { return math.Log(j.work) < d.longCut }

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
	if len(d.keyWork)+d.keysOmitted >= maxKeys {
		clear(d.keyWork)
		d.keysOmitted = 0
	}
	if key != 0 {
		d.keyWork[key] = work
	}
}

// learnSpeed takes in the log speed that a run of a worker showed.
func (d *Dispatcher) learnSpeed(w *workerInfo, logSpeed float64) {
	k := d.machineKind(w.Kind)
	k.runs++
	k.logSpeed += max(sizeRate, 1/(k.runs+2)) * clamp(logSpeed-k.logSpeed, maxKindStep)
	w.runs++
	w.logSpeed += max(speedRate, 1/(w.runs+2)) * clamp(logSpeed-w.logSpeed, maxSizeStep)
	w.speed, w.learnedAt = math.Exp(w.logSpeed), d.now
}

// rescaleSpeeds takes so much, in logs, off all speeds and all sizes: expected runs stay what they are.
func (d *Dispatcher) rescaleSpeeds(shift float64) {
	for _, w := range d.workerList {
		w.logSpeed -= shift
		w.speed = math.Exp(w.logSpeed)
	}
	for _, k := range d.kinds {
		k.logSpeed -= shift
	}
	for class := range d.sizeCorrection {
		for b := range d.sizeCorrection[class] {
			d.sizeCorrection[class][b] -= shift
		}
	}
	for key := range d.keyWork {
		d.keyWork[key] *= math.Exp(-shift)
	}
	d.longCut -= shift
	d.topSpeed -= shift
}

// decayEstimates lets what was learnt of sizes, connections, zones and speeds drift back for want of news, by one round
// of maintenance.
func (d *Dispatcher) decayEstimates() {
	for class := range d.overrunFactor {
		factor := d.overrunFactor[class] * (1 - maintenanceInterval.Seconds()/overrunMemory.Seconds())
		d.overrunFactor[class] = max(1, factor)
	}
	d.decayIdleConnections()
	for z := range d.zoneBusy {
		d.zoneBusy[z] *= 1 - maintenanceInterval.Seconds()/speedMemory.Seconds()
	}
	for _, w := range d.workerList {
		was := w.logSpeed
		if w.learnedAt == 0 {
			w.logSpeed = w.machine.logSpeed
		} else if d.now-w.learnedAt > speedGrace {
			w.logSpeed += (w.machine.logSpeed - w.logSpeed) * maintenanceInterval.Seconds() / speedMemory.Seconds()
		}
		if w.logSpeed != was {
			w.speed = math.Exp(w.logSpeed)
		}
	}
}

// observeOverrun remembers for a while by how much a job has outrun its expectation. One far heavier than its hint can
// overload a warming worker alone: its class is budgeted as if each were.
func (d *Dispatcher) observeOverrun(a *attemptInfo, run time.Duration) {
	factor := run.Seconds() / max(a.expectedRun.Seconds(), minExpected)
	d.overrunFactor[a.job.Class] = max(d.overrunFactor[a.job.Class], factor)
}

// observeBusy learns by zone how likely a worker has no free slot, as too little is seen of each worker.
func (d *Dispatcher) observeBusy(w *workerInfo, busy bool) {
	d.zoneBusy[w.Zone] *= 1 - busyRate
	if busy {
		d.zoneBusy[w.Zone] += busyRate
	}
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
			w.freeSlots, w.reportedAt = max(0, report[i]), d.now
			d.observeBusy(w, w.freeSlots < minFreeSlots)
			d.observeSlots(w, math.Floor(w.freeSlots))
		}
	}
}

// reportedFreeSlots is what a worker's last report leaves after what was sent since, and whether the report is fresh.
func (d *Dispatcher) reportedFreeSlots(w *workerInfo) (free float64, fresh bool) {
	if w.reportedAt == 0 {
		return 0, false
	}
	free = w.freeSlots
	for _, a := range w.inFlight {
		if a.sentAt > w.reportedAt-reportLag {
			free -= a.job.demand
		}
	}
	return free, d.now-w.reportedAt < reportMaxAge
}

// warmUpShare is the least part of its capacity that a worker has, by when it started; 1: it is warm.
func (d *Dispatcher) warmUpShare(w *workerInfo) float64 {
	boot := max(w.BootAt, w.returnedAt)
	if boot <= 0 || d.settings.WarmUp <= 0 || d.now-boot >= d.settings.WarmUp {
		return 1
	}
	age := max(0, (d.now - boot).Seconds())
	share := d.settings.WarmUpCapacity + (1-d.settings.WarmUpCapacity)*age/d.settings.WarmUp.Seconds()
	return max(minWarmUp, share)
}

// warmUpBudget is the work that all dispatchers may send a warming worker within a window. Its full capacity is estimated
// from the slots that its kind has been seen to have.
func (d *Dispatcher) warmUpBudget(w *workerInfo) float64 {
	k := d.machineKind(w.Kind)
	capacity := max(1, k.maxSlots) * math.Exp(k.logSpeed) * d.warmUpShare(w)
	return warmUpMargin * d.settings.OverloadFactor * capacity * d.settings.OverloadWindow.Seconds()
}

// warmUpCost is what a job takes of such a budget.
func (d *Dispatcher) warmUpCost(j *jobInfo) float64 {
	return j.work * j.Slots * d.overrunFactor[j.Class]
}

// hedgeCost is what a hedge takes of the tokens: with many dispatchers, by its work.
func (d *Dispatcher) hedgeCost(j *jobInfo) float64 {
	if d.settings.Replicas <= manyReplicas {
		return 1
	}
	return min(1, d.warmUpCost(j)/(d.meanCost+1e-9))
}
