package dispatch

import (
	"math"
	"time"
)

// Learning from finished runs: the model's weights, the cut beyond which a run is long, mu_short, which
// is the mean sojourn of short jobs over a long window, and the sizes of jobs and speeds of workers that
// predictions rest on. Logs are natural.

const (
	maxMeanLogSpeed = 0.3 // mean log speed of the fleet: what is beyond counts as size
	maxLogRescale   = 0.1 // log, at a time: jobs in flight keep the sizes they came with
)

// learnFromRun takes in a finished run. Sizes are corrected slowly and speeds quickly, so that a slow spell
// is attributed to the worker. Runs on warming workers teach nothing.
func (d *Dispatcher) learnFromRun(attempt *attemptInfo, run time.Duration) {
	if d.stalls.spans(attempt) {
		return
	}
	d.observeOverrun(attempt, run)
	if d.warmUpShare(attempt.worker) < 1 {
		return
	}
	job, worker := attempt.job, attempt.worker
	runLog := math.Log(max(run.Seconds(), minWorkSeconds))
	// By what is known now: else each of the many in flight would correct the same error once more.
	expectedLog := math.Log(d.expectedWork(job))
	d.observeSpread(expectedLog - runLog - worker.speed.log)
	d.learnSpeed(worker, expectedLog-runLog)
	workLog := runLog + worker.speed.log // as this run shows it
	d.learnWeights(job, workLog > d.longCut)
	d.rememberKey(job.Key, math.Exp(workLog))
	correction := &d.sizeCorrection[job.Class][slotBucket(job)]
	*correction += sizeCorrectionGain * clamp(workLog-expectedLog, maxLogSizeError)
	if workLog < d.longCut {
		d.observeShortSojourn(d.now - job.arrivedAt)
	}
	d.moveLongCut(workLog)
}

// observeSpread takes in by how much, in logs, a run differed from the expected.
func (d *Dispatcher) observeSpread(distance float64) {
	d.spread += slowMeanGain * (min(math.Abs(distance), maxLogFeature) - d.spread)
}

// observeShortSojourn takes in the sojourn of a short job: only these count for the paper's mu_short.
func (d *Dispatcher) observeShortSojourn(sojourn time.Duration) {
	bounded := min(sojourn.Seconds(), maxSojournMultiple*d.muShort)
	d.muShort += slowMeanGain * (bounded - d.muShort)
}

// moveLongCut moves the cut between short and long by one run: the steps up and down balance where
// longJobShare of the runs lie beyond it.
func (d *Dispatcher) moveLongCut(workLog float64) {
	step := longThresholdStep
	if workLog < d.longCut {
		step = -step * longRunShare / (1 - longRunShare)
	}
	d.longCut += step * (1 - longRunShare)
}

// learnWeights is one step of gradient ascent on the logistic model.
func (d *Dispatcher) learnWeights(j *jobInfo, isLong bool) {
	gradient := -d.longScore(j)
	if isLong {
		gradient++
	}
	hint, slots := d.features(j)
	n := len(d.settings.Classes)
	d.weights[j.Class] += logisticLearningRate * gradient
	d.weights[n] = max(minHintWeight, d.weights[n]+logisticLearningRate*gradient*hint)
	d.weights[n+1] += logisticLearningRate * gradient * slots
}

// learnSpeed takes in the log speed that a run of a worker showed.
func (d *Dispatcher) learnSpeed(w *workerInfo, logSpeed float64) {
	k := d.machineKind(w.Kind)
	k.runs++
	k.logSpeed += max(sizeCorrectionGain, 1/(k.runs+2)) * clamp(logSpeed-k.logSpeed, maxLogKindSpeedError)
	w.speed.samples++
	w.speed.log += max(minSpeedGain, 1/(w.speed.samples+2)) * clamp(logSpeed-w.speed.log, maxLogSizeError)
	w.speed.factor, w.speed.observedAt = math.Exp(w.speed.log), d.now
}

// rescaleSpeeds takes so much, in logs, off all speeds and all sizes: expected runs stay what they are.
func (d *Dispatcher) rescaleSpeeds(shift float64) {
	for _, w := range d.fleet.workers {
		w.speed.log -= shift
		w.speed.factor = math.Exp(w.speed.log)
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
