package dispatch

import (
	"math"
	"time"
)

// Learning from finished runs. In the design's model "long means past a cut we choose", and mu_short is
// "short jobs' mean hold-plus-run time"; that mean covers a long window. The sizes of jobs and the speeds of
// workers, which predictions use, are estimated here too. Logarithms (logs) are natural.

const (
	maxMeanLogSpeed = 0.3 // of the fleet's workers: the excess is moved to the sizes of jobs
	maxLogRescale   = 0.1 // per maintenance interval, as jobs in flight keep the sizes of their admission
)

// learnFromRun updates the estimates from a finished run. Sizes are corrected slowly and speeds quickly, so
// that a temporary slowdown is attributed to the worker. Runs on warming workers change neither.
func (d *Dispatcher) learnFromRun(attempt *attemptInfo, run time.Duration) {
	if d.stalls.spans(attempt) {
		return
	}
	job, worker := attempt.job, attempt.worker
	d.workload.observeOverrun(job.Class, run.Seconds(), attempt.expectedRun.Seconds())
	if worker.warmUpShare(&d.settings, d.now) < 1 {
		return
	}
	runLog := math.Log(max(run.Seconds(), minWorkSeconds))
	// Use the present estimate, not the one from when the job was sent: otherwise each of many attempts in
	// flight would correct the same error again.
	expectedLog := math.Log(d.workload.expectedWork(job))
	d.workload.observeError(expectedLog - runLog - worker.speed.log)
	d.learnSpeed(worker, expectedLog-runLog)
	workLog := runLog + worker.speed.log // the job's work as observed in this run
	d.workload.learnWeights(job, workLog > d.workload.longWorkThreshold)
	d.workload.rememberKey(job.Key, math.Exp(workLog))
	d.workload.correctSize(job, workLog-expectedLog)
	if workLog < d.workload.longWorkThreshold {
		d.workload.observeShortSojourn(d.now - job.arrivedAt)
	}
	d.workload.moveThreshold(workLog)
}

// observeError updates the mean absolute error with that of one run: the difference between the logs of the
// expected and the actual run time.
func (m *workloadModel) observeError(logError float64) {
	bounded := min(math.Abs(logError), maxLogFeature)
	m.meanAbsoluteLogError += slowMeanGain * (bounded - m.meanAbsoluteLogError)
}

// correctSize corrects the size estimate of jobs of the same class and slot bucket by the error of a job's
// expected work, a difference of logs.
func (m *workloadModel) correctSize(job *jobInfo, logError float64) {
	m.sizeCorrection[job.Class][slotBucket(job)] += sizeCorrectionGain * clamp(logError, maxLogSizeError)
}

// observeShortSojourn updates the paper's mu_short with the sojourn time of a short job: the time from its
// arrival to its end.
func (m *workloadModel) observeShortSojourn(sojourn time.Duration) {
	bounded := min(sojourn.Seconds(), maxSojournMultiple*m.meanShortSojourn)
	m.meanShortSojourn += slowMeanGain * (bounded - m.meanShortSojourn)
}

// moveThreshold adjusts the threshold between short and long jobs after one run. Steps up and down balance
// when longRunShare of the runs lie beyond the threshold.
func (m *workloadModel) moveThreshold(workLog float64) {
	step := longThresholdStep
	if workLog < m.longWorkThreshold {
		step = -step * longRunShare / (1 - longRunShare)
	}
	m.longWorkThreshold += step * (1 - longRunShare)
}

// learnWeights makes one step of gradient ascent on the logistic model.
func (m *workloadModel) learnWeights(job *jobInfo, isLong bool) {
	gradient := -m.longProbability(job)
	if isLong {
		gradient++
	}
	hint, slots := m.features(job)
	hintWeight := &m.weights[m.hintWeight()]
	m.weights[job.Class] += logisticLearningRate * gradient
	*hintWeight = max(minHintWeight, *hintWeight+logisticLearningRate*gradient*hint)
	m.weights[m.slotsWeight()] += logisticLearningRate * gradient * slots
}

// learnSpeed updates the speeds of a worker and of its machine kind with the log speed observed in a run.
func (d *Dispatcher) learnSpeed(worker *workerInfo, logSpeed float64) {
	kind := d.workload.machineKind(worker.Kind)
	kind.samples++
	kindGain := max(sizeCorrectionGain, 1/(kind.samples+2))
	kind.logSpeed += kindGain * clamp(logSpeed-kind.logSpeed, maxLogKindSpeedError)
	worker.speed.observe(logSpeed, d.now)
}

// rescaleSpeeds subtracts a shift from the logs of all speeds and all sizes, which leaves expected run times
// unchanged.
func (d *Dispatcher) rescaleSpeeds(shift float64) {
	for _, worker := range d.fleet.workers {
		worker.speed.set(worker.speed.log - shift)
	}
	d.workload.rescale(shift)
}
