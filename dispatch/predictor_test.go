package dispatch

import (
	"math"
	"testing"
	"time"
)

func TestPredictor(t *testing.T) {
	d := New(testSettings(), 1)
	newJob := func(class int, hint time.Duration) *jobInfo {
		j := &jobInfo{Job: Job{Class: class, Hint: hint, Slots: 1}, class: &d.settings.Classes[class]}
		j.work = d.workload.expectedWork(j)
		return j
	}
	if d.workload.longProbability(newJob(0, 100*ms)) >= d.workload.longProbability(newJob(0, 200*ms)) {
		t.Fatal("before any run, a longer hint does not raise the probability of a long run")
	}
	for _, hint := range []time.Duration{0, 1, math.MaxInt64} {
		if p := d.workload.longProbability(newJob(0, hint)); math.IsNaN(p) || p < 0 || p > 1 {
			t.Fatalf("hint %v gives probability %v", hint, p)
		}
	}
	d.now = time.Hour
	w := &workerInfo{}
	keyed := newJob(0, 0)
	keyed.Key = 5
	d.learnFromRun(&attemptInfo{job: keyed, worker: w}, 5*time.Second)
	other := newJob(0, 0)
	if keyed.work = d.workload.expectedWork(keyed); d.workload.longProbability(keyed) <= d.workload.longProbability(other) {
		t.Fatal("a long run with the same key does not raise the probability of a long run")
	}
	for range 300 {
		for class, run := range []time.Duration{100 * ms, 2 * time.Second} {
			a := &attemptInfo{job: newJob(class, 0), worker: w}
			d.learnFromRun(a, run)
		}
	}
	if d.workload.longProbability(newJob(0, 0)) >= d.workload.longProbability(newJob(1, 0)) {
		t.Fatal("without hints, the class with long runs does not have the higher probability of a long run")
	}
}

// The estimates of speeds and work stay near the true values for 1 to 10,000 jobs in flight with varying run times. If runs were
// compared with what was expected when they were sent, each of n jobs in flight would correct the same error, a gain of
// n x sizeCorrectionGain: from some 60 jobs on, estimates oscillated over factors of thousands.
func TestEstimatesAreStableForAnyNumberOfJobsInFlight(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		inFlight int
		hint     float64
		length   time.Duration
	}{
		{1, 1, 20 * time.Second},
		{10, 1, 5 * time.Second},
		{10, 1.0 / 30, 10 * time.Second},
		{100, 1, 3 * time.Second},
		{100, 30, 9 * time.Second},
		{1000, 1.0 / 30, 400 * ms},
		{10000, 1, 100 * ms},
	} {
		f := newFleet(max(1, c.inFlight/2), scaleSettings())
		f.hint, f.noise = c.hint, 0.3
		f.serve(c.inFlight, c.length)
		j := &jobInfo{Job: Job{Hint: time.Duration(float64(f.run) * c.hint), Slots: 1}, class: &f.d.settings.Classes[0]}
		mean := 0.0
		for _, w := range f.d.fleet.workers {
			mean += w.speed.log / float64(len(f.d.fleet.workers))
			deviation := math.Log(f.d.workload.expectedWork(j)) - w.speed.log - math.Log(f.run.Seconds())
			if w.speed.samples >= 5 && math.Abs(deviation) > 1 {
				t.Fatalf("%+v: a run is expected to take %.2f times its actual time", c, math.Exp(deviation))
			}
		}
		if c.length > 8*time.Second && math.Abs(mean) > maxMeanLogSpeed+0.1 {
			t.Errorf("%+v: the mean speed is %.2f", c, math.Exp(mean))
		}
	}
}

// A wrong estimate does not prevent its own correction: if all workers are estimated to be far too slow for any objective, some
// jobs are sent nevertheless, and within a second all are.
func TestWrongEstimateIsCorrected(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{5, 300} {
		f := newFleet(nodes, scaleSettings())
		f.serve(nodes, time.Second)
		for _, k := range f.d.workload.kinds {
			k.logSpeed = -6
		}
		for _, w := range f.d.fleet.workers {
			w.speed.log, w.speed.observedAt = -6, f.now
		}
		f.serve(nodes, time.Second)
		if served, _ := f.serve(nodes, 2*time.Second); float64(served) < 0.95*float64(nodes)/(f.run+2*f.delay).Seconds() {
			t.Errorf("%d workers, estimated to be 400 times too slow: %d served in a second, and %d rejected", nodes, served, f.rejected)
		}
	}
}

// Jobs that take ten times as long for some time miss their objectives. Within a second after run times are normal again, nearly
// all jobs are served.
func TestServiceRecoversAfterLongerRuns(t *testing.T) {
	t.Parallel()
	f := newFleet(50, scaleSettings())
	f.serve(100, 2*time.Second)
	f.run *= 10
	f.serve(100, 3*time.Second)
	f.run /= 10
	f.serve(100, time.Second)
	before := f.rejected
	served, _ := f.serve(100, 2*time.Second)
	if possible := 100 / (f.run + 2*f.delay).Seconds(); float64(served) < 0.95*possible {
		t.Errorf("%d served of %.0f possible, %d rejected", served, possible, f.rejected-before)
	}
}
