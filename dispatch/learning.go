package dispatch

import (
	"math"
	"time"
)

// Learning from finished runs, for the design's model: "long means past a cut we choose"; mu_short is
// "short jobs' mean hold-plus-run time", averaged over a long window. The sizes of jobs and the speeds of
// workers that predictions rest on are estimated here too. Logs are natural.

const (
	maxMeanLogSpeed = 0.3 // of the fleet's workers: what exceeds it counts as size of the jobs
	maxLogRescale   = 0.1 // at a time, as jobs in flight keep the sizes that they were admitted with
)

// learnFromRun learns from a finished run. Sizes are corrected slowly and speeds quickly, so that a slow
// spell is attributed to the worker. Runs on warming workers say nothing about either.
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
	// Expected by what is known now: else each of many attempts in flight would correct the same error
	// again.
	expectedLog := math.Log(d.workload.expectedWork(job))
	d.workload.observeError(expectedLog - runLog - worker.speed.log)
	d.learnSpeed(worker, expectedLog-runLog)
	workLog := runLog + worker.speed.log // as this run shows it
	d.workload.learnWeights(job, workLog > d.workload.longWorkThreshold)
	d.workload.rememberKey(job.Key, math.Exp(workLog))
	d.workload.correctSize(job, workLog-expectedLog)
	if workLog < d.workload.longWorkThreshold {
		d.workload.observeShortSojourn(d.now - job.arrivedAt)
	}
	d.workload.moveThreshold(workLog)
}

// observeError updates the mean error by that of a run against the expected one, as a difference of logs.
func (m *workloadModel) observeError(logError float64) {
	bounded := min(math.Abs(logError), maxLogFeature)
	m.meanAbsoluteLogError += slowMeanGain * (bounded - m.meanAbsoluteLogError)
}

// correctSize corrects the size of jobs like this one by the error of its expected work, a difference of
// logs.
func (m *workloadModel) correctSize(job *jobInfo, logError float64) {
	m.sizeCorrection[job.Class][slotBucket(job)] += sizeCorrectionGain * clamp(logError, maxLogSizeError)
}

// observeShortSojourn updates the paper's mu_short by the sojourn of a short job.
func (m *workloadModel) observeShortSojourn(sojourn time.Duration) {
	bounded := min(sojourn.Seconds(), maxSojournMultiple*m.meanShortSojourn)
	m.meanShortSojourn += slowMeanGain * (bounded - m.meanShortSojourn)
}

// moveThreshold moves the threshold between short and long by one run. The steps up and down balance where
// longRunShare of the runs lie beyond it.
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

// learnSpeed updates the speeds of a worker and of its kind by the log speed observed in a run.
func (d *Dispatcher) learnSpeed(worker *workerInfo, logSpeed float64) {
	kind := d.workload.machineKind(worker.Kind)
	kind.samples++
	kindGain := max(sizeCorrectionGain, 1/(kind.samples+2))
	kind.logSpeed += kindGain * clamp(logSpeed-kind.logSpeed, maxLogKindSpeedError)
	worker.speed.observe(logSpeed, d.now)
}

// rescaleSpeeds subtracts a shift from the logs of all speeds and all sizes: expected runs stay the same.
func (d *Dispatcher) rescaleSpeeds(shift float64) {
	for _, worker := range d.fleet.workers {
		worker.speed.set(worker.speed.log - shift)
	}
	d.workload.rescale(shift)
}
