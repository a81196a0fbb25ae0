package dispatch

import (
	"math"
	"time"
)

// Prediction of run times. The design says: a job's score is its chance of running long, by a small online
// logistic model over the cost hint, slots asked and class, plus the key's past run time. Logarithms (logs)
// are natural.

const (
	longRunShare         = 0.3  // fraction of runs that count as long: the threshold is estimated from it
	longThresholdStep    = 0.02 // step of the threshold, a log of work, per run
	slowMeanGain         = 0.01 // weight of one observation in a mean over a long window
	maxSojournMultiple   = 10   // a sojourn counts as at most this many mean sojourns
	logisticLearningRate = 0.05 // of the weights, per run
	minHintWeight        = 0.1  // above 0, so that a longer hint never predicts a shorter run
	maxLogFeature        = 4.0  // log, about a factor of fifty
	sizeCorrectionGain   = 0.03 // low: the mean over many workers is not distorted by a slow one
	maxLogSizeError      = 2.0  // log, of one run
	minWorkSeconds       = 1e-4
	overrunDeviations    = 2.5 // mean absolute log errors beyond the expected run that are still plausible
	// unreachableDeviations are the mean absolute log errors by which a run may be shorter than expected:
	// an objective that it would miss even then is unreachable.
	unreachableDeviations = 2.0
	minSpeedGain          = 0.2 // a worker's speed follows about its last five runs
	maxLogKindSpeedError  = 1.0 // log, of one run relative to the speed of its worker's kind
)

// longProbability returns the paper's score of a job: the probability that its run is long.
func (m *workloadModel) longProbability(job *jobInfo) float64 {
	hint, slots := m.features(job)
	sum := m.weights[job.Class] + m.weights[m.hintWeight()]*hint + m.weights[m.slotsWeight()]*slots
	return 1 / (1 + math.Exp(-sum))
}

// features returns the inputs of the logistic model: how far a job's work lies beyond the threshold of long
// jobs, and its slots, both as logs.
func (m *workloadModel) features(job *jobInfo) (hint, slots float64) {
	hint = clamp(math.Log(job.work)-m.longWorkThreshold, maxLogFeature)
	slots = clamp(math.Log2(job.Slots), maxLogFeature)
	return hint, slots
}

func slotBucket(job *jobInfo) int { return min(slotBuckets-1, int(math.Log2(job.Slots))) }

// isShort reports whether a job's expected work is below the threshold of long jobs.
func (m *workloadModel) isShort(job *jobInfo) bool { return math.Log(job.work) < m.longWorkThreshold }

// expectedWork returns a job's expected run time on a worker of speed 1, in seconds.
func (m *workloadModel) expectedWork(job *jobInfo) float64 {
	guess := job.class.LatencyObjective // without a hint; the size correction adjusts it
	if job.Hint > 0 {
		guess = job.Hint
	}
	work := max(guess.Seconds(), minWorkSeconds) * math.Exp(m.sizeCorrection[job.Class][slotBucket(job)])
	if past := m.keyWork[job.Key]; past > 0 {
		work = math.Sqrt(work * past) // the key's last run is a second estimate of equal weight
	}
	return work
}

// fastestRun returns a job's run time on the fastest ready worker if the run is shorter than expected by the
// given number of mean absolute log errors.
func (m *workloadModel) fastestRun(job *jobInfo, deviations float64) time.Duration {
	return seconds(job.work / math.Exp(m.maxLogSpeed+deviations*m.meanAbsoluteLogError))
}

// maxPlausibleRun returns the longest run time of an attempt that the prediction error still explains.
func (m *workloadModel) maxPlausibleRun(attempt *attemptInfo) time.Duration {
	return seconds(attempt.expectedRun.Seconds() * math.Exp(overrunDeviations*m.meanAbsoluteLogError))
}

// expectedRun returns the expected run time of a job on a worker at its present speed, which is lower while
// the worker warms up.
func (d *Dispatcher) expectedRun(j *jobInfo, w *workerInfo) time.Duration {
	return seconds(j.work / (w.speed.factor * w.warmUpShare(&d.settings, d.now)))
}
