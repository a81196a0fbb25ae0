package dispatch

import (
	"math"
	"time"
)

// Prediction: the score of a job is its chance of running long, by an online logistic model over the
// hint, the slots and the class, and the key's past, as the design has it in place of the paper's model
// of prompts. Logs are natural.

const (
	longRunShare          = 0.3  // of jobs are long: the cut is this learnt quantile
	longThresholdStep     = 0.02 // of the cut, in logs a run
	slowMeanGain          = 0.01 // of means over a long window
	maxSojournMultiple    = 10   // mean sojourns that a single one counts as, at most
	logisticLearningRate  = 0.05 // of the model's weights
	minHintWeight         = 0.1  // a longer hint never counts as shorter
	maxLogFeature         = 4.0  // log, about a factor of fifty
	sizeCorrectionGain    = 0.03 // sizes follow many workers, so that no slow one bends them
	maxLogSizeError       = 2.0  // log, before the rate
	minWorkSeconds        = 1e-4 // seconds
	overrunDeviations     = 2.5  // a run is too long by this many mean log distances of runs from the expected
	unreachableDeviations = 2.0  // and an objective out of reach that a run shorter by this many would not meet
	minSpeedGain          = 0.2  // a worker's speed follows its last five or so jobs
	maxLogKindSpeedError  = 1.0  // log, of a kind's speed at one job, before its rate
)

// longScore is the paper's score of a job: its chance of running long.
func (d *Dispatcher) longScore(j *jobInfo) float64 {
	hint, slots := d.features(j)
	n := len(d.settings.Classes)
	return 1 / (1 + math.Exp(-(d.weights[j.Class] + d.weights[n]*hint + d.weights[n+1]*slots)))
}

// features are those of the logistic model: how far a job's work lies beyond the cut, and its slots, both
// in logs.
func (d *Dispatcher) features(j *jobInfo) (hint, slots float64) {
	return clamp(math.Log(j.work)-d.longCut, maxLogFeature), clamp(math.Log2(j.Slots), maxLogFeature)
}

func slotBucket(j *jobInfo) int { return min(slotBuckets-1, int(math.Log2(j.Slots))) }

// isShort tells whether a job is expected to run for less than the cut between short and long.
func (d *Dispatcher) isShort(j *jobInfo) bool { return math.Log(j.work) < d.longCut }

// expectedWork is a job's run time on a worker of speed 1, in seconds, by what has been learnt.
func (d *Dispatcher) expectedWork(j *jobInfo) float64 {
	guess := j.class.LatencyObjective // without a hint it stands in, and the correction does the rest
	if j.Hint > 0 {
		guess = j.Hint
	}
	work := max(guess.Seconds(), minWorkSeconds) * math.Exp(d.sizeCorrection[j.Class][slotBucket(j)])
	if past := d.keyWork[j.Key]; past > 0 {
		work = math.Sqrt(work * past) // the key's past is a second estimate of equal weight
	}
	return work
}

// expectedRun is a job's run time on a worker as it is now.
func (d *Dispatcher) expectedRun(j *jobInfo, w *workerInfo) time.Duration {
	return seconds(j.work / (w.speed.factor * d.warmUpShare(w)))
}

// fastestRun is a job's run time on the fastest ready worker, if it runs shorter by so many spreads.
func (d *Dispatcher) fastestRun(j *jobInfo, spreads float64) time.Duration {
	return seconds(j.work / math.Exp(d.topSpeed+spreads*d.spread))
}

// maxPlausibleRun is the longest run that the noise of hints and runs explains.
func (d *Dispatcher) maxPlausibleRun(a *attemptInfo) time.Duration {
	return seconds(a.expectedRun.Seconds() * math.Exp(overrunDeviations*d.spread))
}
