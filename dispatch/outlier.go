package dispatch

// Outlier ejection: silent, failing and unreachable workers are sent nothing but recovery probes. The design
// covers only operation without faults and counts every ready worker as able to start a job; this file
// defines the exceptions.

import (
	"math/rand/v2"
	"time"
)

const (
	minEjectionTime        = 500 * time.Millisecond // doubles with each failed recovery probe
	maxEjectionTime        = 8 * time.Second
	recoveryProbeInterval  = 500 * time.Millisecond // between two recovery probes, to whichever workers
	maxConsecutiveFailures = 1                      // of attempts or connections: one more ejects the worker
)

// outlierDetector is the state of outlier ejection for the whole fleet.
type outlierDetector struct {
	nextProbeAt  time.Duration // earliest time of the next recovery probe to any worker
	silencePanic bool          // most ready workers are ejected: ejections for silence alone are disregarded
	failurePanic bool          // all ready workers are failing: ejections of failing workers are disregarded
}

// outlierState is the state of outlier ejection for one worker.
type outlierState struct {
	ejectionTime       time.Duration // mean time until the first recovery probe; 0: not ejected
	ejectedUntil       time.Duration
	failing            bool // ejected for failures, not for silence alone
	failures           int  // of attempts, in a row
	connectionFailures int  // in a row
	connectionLost     bool // its connections were reset, and it has not answered since
}

// isEjected reports whether a worker is to be avoided. Beyond a panic threshold the cause is rather the load
// or this process: silence is no evidence against a worker if most workers are ejected, nor are failures if
// all ready workers are failing.
func (o *outlierDetector) isEjected(worker *workerInfo) bool {
	switch {
	case worker.outlier.ejectionTime <= 0:
		return false
	case worker.outlier.failing:
		return !o.failurePanic
	default:
		return !o.silencePanic
	}
}

// updatePanic recomputes the panic thresholds from the counts of ready, ejected and failing workers.
func (o *outlierDetector) updatePanic(ready, ejected, failing int) {
	o.silencePanic = 2*ejected > ready
	o.failurePanic = failing == ready
}

// handleSent counts an attempt as a recovery probe if its worker is ejected. The rate of probes is limited
// for the whole fleet, as otherwise the idle workers of a zone that has failed would attract all jobs.
func (o *outlierDetector) handleSent(worker *workerInfo, now time.Duration) {
	if o.isEjected(worker) {
		o.nextProbeAt = now + recoveryProbeInterval
	}
}

// mayProbe reports whether an ejected worker may be sent a recovery probe: one at a time, once its
// ejection is over.
func (o *outlierDetector) mayProbe(worker *workerInfo, now time.Duration) bool {
	return now >= max(worker.outlier.ejectedUntil, o.nextProbeAt) && len(worker.inFlight) == 0
}

// eject begins an ejection of about twice the latest ejection time, with jitter. If the worker is still
// ejected it returns false and draws no random number.
func (o *outlierState) eject(now time.Duration, rng *rand.Rand) bool {
	if now < o.ejectedUntil {
		return false
	}
	o.ejectionTime = min(max(minEjectionTime, 2*o.ejectionTime), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime/2 + time.Duration(rng.Int64N(int64(o.ejectionTime)))
	return true
}

// endEjection ends the ejection of a worker that has shown that it works.
func (o *outlierState) endEjection() {
	o.ejectionTime = 0
	o.ejectedUntil = 0
	o.failing = false
}

// allowsOutlier reports whether outlier ejection allows sending a job to a worker: an ejected one gets
// only recovery probes, which are short and idempotent.
func (d *Dispatcher) allowsOutlier(job *jobInfo, worker *workerInfo) bool {
	if !d.outliers.isEjected(worker) {
		return true
	}
	isProbe := job.class.Idempotency == Idempotent && d.workload.isShort(job)
	return isProbe && d.outliers.mayProbe(worker, d.now)
}

// eject ejects a worker, unless it is still ejected, and emits WorkerEjected to notify the operators.
func (d *Dispatcher) eject(worker *workerInfo, reason EjectionReason) {
	worker.outlier.failing = worker.outlier.failing || reason != EjectedForSilence
	if !worker.outlier.eject(d.now, d.rng) {
		return
	}
	d.setTimer(&worker.timer, worker.outlier.ejectedUntil)
	d.fleet.markDirty(worker)
	d.emit(WorkerEjected{Worker: worker.ID, Reason: reason, EjectionTime: worker.outlier.ejectionTime})
}

// markAlive records a response or notification from a worker, which may end its ejection.
func (d *Dispatcher) markAlive(worker *workerInfo) {
	worker.activity.aliveAt = d.now
	worker.outlier.connectionFailures = 0
	// A worker whose connections were reset and that answers again has most likely restarted, even if no
	// list shows that yet.
	if worker.outlier.connectionLost {
		worker.outlier.connectionLost = false
		worker.slowStart.restartedAt = d.now
	}
	if worker.outlier.failures == 0 && worker.outlier.ejectionTime > 0 {
		worker.outlier.endEjection()
	}
	d.fleet.markDirty(worker)
}
