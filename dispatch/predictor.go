package dispatch

import (
	"math"
	"time"
)

// The predictor: an online logistic model of the chance of running long, and learnt sizes. Logs are natural.
const (
	longJobShare   = 0.3  // of jobs are long: the cut is this learnt quantile
	cutRate        = 0.02 // of the cut, in logs a run
	meanRate       = 0.01 // of means over a long window
	maxSojourns    = 10   // mean sojourns that a single one counts as, at most
	modelRate      = 0.05 // of the model's weights
	minHintWeight  = 0.1  // a longer hint never counts as shorter
	maxFeature     = 4.0  // log, about a factor of fifty
	sizeRate       = 0.03 // sizes follow many workers, so that no slow one bends them
	maxSizeStep    = 2.0  // log, before the rate
	minWork        = 1e-4 // seconds
	overrunSpreads = 2.5  // a run is too long by this many mean log distances of runs from the expected
	reachSpreads   = 2.0  // and an objective out of reach that a run shorter by this many would not meet
	maxMeanSpeed   = 0.3  // mean log speed of the fleet: what is beyond counts as size
	maxRescale     = 0.1  // log, at a time: jobs in flight keep the sizes they came with
)

// longScore is the paper's score of a job: its chance of running long.
func (d *Dispatcher) longScore(j *jobInfo) float64 {
	hint, slots := d.features(j)
	n := len(d.settings.Classes)
	return 1 / (1 + math.Exp(-(d.weights[j.Class] + d.weights[n]*hint + d.weights[n+1]*slots)))
}

// expectedWork is a job's run time on a worker of speed 1, in seconds, by what has been learnt.
func (d *Dispatcher) expectedWork(j *jobInfo) float64 {
	guess := j.class.LatencyObjective // without a hint it stands in, and the correction does the rest
	if j.Hint > 0 {
		guess = j.Hint
	}
	work := max(guess.Seconds(), minWork) * math.Exp(d.sizeCorrection[j.Class][slotBucket(j)])
	if past := d.keyWork[j.Key]; past > 0 {
		work = math.Sqrt(work * past) // the key's past is a second estimate of equal weight
	}
	return work
}

// expectedRun is a job's run time on a worker as it is now.
func (d *Dispatcher) expectedRun(j *jobInfo, w *workerInfo) time.Duration {
	return seconds(j.work / (w.speed * d.warmUpShare(w)))
}

// fastestRun is a job's run time on the fastest ready worker, if it runs shorter by so many spreads.
func (d *Dispatcher) fastestRun(j *jobInfo, spreads float64) time.Duration {
	return seconds(j.work / math.Exp(d.topSpeed+spreads*d.spread))
}

// maxPlausibleRun is the longest run that the noise of hints and runs explains.
func (d *Dispatcher) maxPlausibleRun(a *attemptInfo) time.Duration {
	return seconds(a.expectedRun.Seconds() * math.Exp(overrunSpreads*d.spread))
}

// learnFromRun takes in a finished run. Sizes are corrected slowly and speeds quickly, so that a slow spell
// is attributed to the worker. Runs on warming workers teach nothing.
func (d *Dispatcher) learnFromRun(attempt *attemptInfo, run time.Duration) {
	if d.spansStall(attempt) {
		return
	}
	d.observeOverrun(attempt, run)
	if d.warmUpShare(attempt.worker) < 1 {
		return
	}
	job, worker := attempt.job, attempt.worker
	runLog := math.Log(max(run.Seconds(), minWork))
	// By what is known now: else each of the many in flight would correct the same error once more.
	expectedLog := math.Log(d.expectedWork(job))
	d.observeSpread(expectedLog - runLog - worker.logSpeed)
	d.learnSpeed(worker, expectedLog-runLog)
	workLog := runLog + worker.logSpeed // as this run shows it
	d.learnWeights(job, workLog > d.longCut)
	d.rememberKey(job.Key, math.Exp(workLog))
	correction := &d.sizeCorrection[job.Class][slotBucket(job)]
	*correction += sizeRate * clamp(workLog-expectedLog, maxSizeStep)
	if workLog < d.longCut {
		d.observeShortSojourn(d.now - job.arrivedAt)
	}
	d.moveLongCut(workLog)
}

// observeSpread takes in by how much, in logs, a run differed from the expected.
func (d *Dispatcher) observeSpread(distance float64) {
	d.spread += meanRate * (min(math.Abs(distance), maxFeature) - d.spread)
}

// observeShortSojourn takes in the sojourn of a short job: only these count for the paper's mu_short.
func (d *Dispatcher) observeShortSojourn(sojourn time.Duration) {
	bounded := min(sojourn.Seconds(), maxSojourns*d.muShort)
	d.muShort += meanRate * (bounded - d.muShort)
}

// moveLongCut moves the cut between short and long by one run: the steps up and down balance where longJobShare of the
// runs lie beyond it.
func (d *Dispatcher) moveLongCut(workLog float64) {
	step := cutRate
	if workLog < d.longCut {
		step = -step * longJobShare / (1 - longJobShare)
	}
	d.longCut += step * (1 - longJobShare)
}

// learnWeights is one step of gradient ascent on the logistic model.
func (d *Dispatcher) learnWeights(j *jobInfo, isLong bool) {
	gradient := -d.longScore(j)
	if isLong {
		gradient++
	}
	hint, slots := d.features(j)
	n := len(d.settings.Classes)
	d.weights[j.Class] += modelRate * gradient
	d.weights[n] = max(minHintWeight, d.weights[n]+modelRate*gradient*hint)
	d.weights[n+1] += modelRate * gradient * slots
}
