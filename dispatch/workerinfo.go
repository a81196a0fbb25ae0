package dispatch

import (
	"math"
	"time"
)

const (
	speedDecayTime  = 10 * time.Second      // time constant of a speed's decay towards that of its kind
	speedDecayDelay = 50 * time.Millisecond // a speed starts to decay this long after its latest sample
)

// workerInfo is the state of one worker as this dispatcher sees it.
type workerInfo struct {
	Worker
	machine        *machineInfo  // of its kind
	listed         bool          // by the latest list
	listedReady    bool          // by the list; Ready is false for cordoned workers too
	position       int           // in workerFleet.workers
	rejectedDemand float64       // demand of a job that it has rejected while idle; 0: none
	uncordonedAt   time.Duration // 0: never, or it has been sent a job since
	inFlight       []*attemptInfo
	orphans        int   // attempts in flight whose worker process has ended
	timer          timer // fires when the worker may have capacity again without any event, or has warmed up

	index       indexEntry
	slots       slotLimit
	backoff     backoffState
	report      loadReport
	speed       relativeSpeed
	activity    workerActivity
	outlier     outlierState
	connections connectionState
	check       checkState
	slowStart   slowStartState
}

// relativeSpeed is the estimated speed of a worker relative to a standard core.
type relativeSpeed struct {
	log        float64       // natural logarithm of the speed
	factor     float64       // the speed itself: exp(log)
	samples    float64       // runs that it is estimated from
	observedAt time.Duration // the latest sample; 0: none since the worker's process started
}

// newRelativeSpeed returns the speed of a worker without samples, from the log speed of its kind.
func newRelativeSpeed(logSpeed float64) relativeSpeed {
	return relativeSpeed{log: logSpeed, factor: math.Exp(logSpeed)}
}

// set sets the logarithm of the speed.
func (r *relativeSpeed) set(log float64) {
	r.log = log
	r.factor = math.Exp(log)
}

// observe updates the speed with the log speed observed in a run.
func (r *relativeSpeed) observe(logSpeed float64, now time.Duration) {
	r.samples++
	gain := max(minSpeedGain, 1/(r.samples+2))
	r.set(r.log + gain*clamp(logSpeed-r.log, maxLogSizeError))
	r.observedAt = now
}

// decay moves the speed towards that of the worker's kind by the decay of the elapsed time. A speed without
// samples is set to that of the kind.
func (r *relativeSpeed) decay(kindLogSpeed float64, elapsed, now time.Duration) {
	log := r.log
	if r.observedAt == 0 {
		log = kindLogSpeed
	} else if now-r.observedAt > speedDecayDelay {
		log += (kindLogSpeed - r.log) * elapsed.Seconds() / speedDecayTime.Seconds()
	}
	if log != r.log {
		r.set(log)
	}
}

// workerActivity says when a worker has last shown that it is alive, and that it makes progress.
type workerActivity struct {
	aliveAt    time.Duration // the latest response or notification of any kind
	progressAt time.Duration // the latest start, progress or successful end of an attempt
}

// newWorkerInfo returns a worker of a machine kind, without any observation.
func newWorkerInfo(kind *machineInfo) *workerInfo {
	return &workerInfo{machine: kind, slots: newSlotLimit(), speed: newRelativeSpeed(kind.logSpeed)}
}

// resetProcess clears the observations of the worker's process. The backoff is kept.
func (w *workerInfo) resetProcess() {
	w.slots.limit = 1
	w.rejectedDemand = 0
	w.outlier.ejectionTime = 0
	w.outlier.ejectedUntil = 0
	w.outlier.failures = 0
	w.outlier.connectionLost = false
	w.report.receivedAt = 0
	w.speed.observedAt = 0
}

// clearFaults clears the observations of the worker's process, and all state that keeps jobs from it.
func (w *workerInfo) clearFaults() {
	w.resetProcess()
	w.outlier.failing = false
	w.backoff = backoffState{}
	w.slowStart.restartedAt = 0
}
