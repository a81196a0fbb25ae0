package aperture

import (
	"testing"
	"time"

	"valvecove/dispatch"
)

// The subset does not oscillate at a load near the threshold, for which a wide subset is sufficient and a narrow one is not: each
// time a narrowing is undone, the next narrowing requires a longer period of low load.
func TestWideningDoesNotOscillate(t *testing.T) {
	const (
		stepInterval = 50 * time.Millisecond
		steps        = int(30 * time.Minute / stepInterval)
	)
	policy := newRecordingPolicy(t)
	aperture := New(policy, workerSettings(3, 50), testConfig)
	policy.act = func(events []dispatch.Event) (actions []dispatch.Action) {
		for _, event := range events { // in a narrow subset, 11% and 9% of jobs are delayed, alternating every 1000 jobs
			job, ok := event.(dispatch.Job)
			if ok && (aperture.widening.factor > 2 || job.ID%100 >= 11-job.ID/1000%2*2) {
				actions = append(actions, dispatch.Send{Job: job.ID, Worker: 1})
			}
		}
		return actions
	}
	now := time.Minute
	aperture.Step(now, []dispatch.Event{dispatch.WorkerList{Kind: dispatch.ListFull, Workers: testFleet(2000, 1)}}, nil)
	changes, wideSteps, last := 0, 0, 1.0
	for i := range steps {
		now += stepInterval
		aperture.Step(now, []dispatch.Event{dispatch.Job{ID: uint64(i + 1)}}, nil)
		if aperture.widening.factor != last {
			changes++
			last = aperture.widening.factor
		}
		if i > steps/2 && aperture.widening.factor > 1.4 {
			wideSteps++
		}
	}
	if changes > 50 || wideSteps < steps/2*9/10 {
		t.Errorf("factor changed %d times in 30 minutes, subset wide in %d of the last %d steps", changes, wideSteps, steps/2)
	}
	for range int(30 * time.Minute / evaluationInterval) { // without load, the subset narrows to its original size
		now += evaluationInterval
		aperture.Step(now, nil, nil)
	}
	if size := aperture.Size(); size.Widening != 1 || size.Selected != 160 {
		t.Errorf("30 minutes after the end of the load: %+v, want 160 selected without widening", size)
	}
}

// An aperture is used from Config.MinSchedulers on, and never with one scheduler.
func TestEnabledFromMinSchedulers(t *testing.T) {
	config := DefaultConfig()
	for schedulers, want := range map[int]bool{0: false, 1: false, 2: true, 300: true} {
		if config.Enabled(schedulers) != want {
			t.Errorf("default configuration, %d schedulers: enabled %v", schedulers, !want)
		}
	}
	config.MinSchedulers = 60
	for schedulers, want := range map[int]bool{1: false, 59: false, 60: true} {
		if config.Enabled(schedulers) != want {
			t.Errorf("at least 60 schedulers required, %d schedulers: enabled %v", schedulers, !want)
		}
	}
}
