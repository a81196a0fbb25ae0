package environment

import (
	"slices"

	"valvecove/internal/testbed/trace"
)

// This file applies faults to single workers.

// workerFaults is what faults have put on a worker.
type workerFaults struct {
	hangs, fulls, mutes, refusals, silences, slowReads int
	slowFactors, errorRates, resetBytes                []float64 // in order of time
}

// applyToWorker strikes one worker.
func (a *activeFault) applyToWorker(i int) {
	target := &faultyWorker{activeFault: a, worker: a.timeline.env.workers[i], faults: &a.timeline.workers[i]}
	a.recordWorkers(trace.WorkerFaultStarted, []int{i})
	switch a.Kind {
	case "crash", "vanish", "restart", "replace", "early_202_crash":
		target.endProcess()
		target.endAtNextStart()
	case "drain":
		target.worker.drain()
	case "gone":
		target.worker.remove()
	case "handback":
		target.worker.returnQueued()
		target.recordEnd()
		a.end()
	case "pause":
		target.worker.pause(a.Duration.Std())
		target.endLater(func() {})
	case "hang", "full", "no_notes", "refuse", "never_up", "slow_read":
		target.setCondition(target.condition())
	case "slow", "errors", "reset_at":
		target.addSize(target.sizes())
	default:
		panic("environment: no such fault of a worker: " + a.Kind)
	}
}

// faultyWorker is an active fault at one of the workers that it strikes.
type faultyWorker struct {
	*activeFault
	worker *worker
	faults *workerFaults // of all faults, on this worker
}

func (f *faultyWorker) recordEnd() {
	f.recordWorkers(trace.WorkerFaultEnded, []int{f.worker.number})
}

// endLater ends the strike after the fault's duration, if it ever ends.
func (f *faultyWorker) endLater(undo func()) {
	f.activeFault.endLater(func() {
		undo()
		f.recordEnd()
	})
}

// endAtNextStart ends the strike when the worker has its next process, if it is to have one.
func (f *faultyWorker) endAtNextStart() {
	if f.Duration > 0 {
		waiters := &f.timeline.restartWaiters[f.worker.number]
		*waiters = append(*waiters, f.recordEnd, f.end)
	}
}

// endProcess ends the worker's process, now or once it accepts an attempt.
func (f *faultyWorker) endProcess() {
	restartAfter := f.Duration.Std()
	switch f.Kind {
	case "crash":
		f.worker.crash(restartAfter)
	case "vanish":
		f.worker.vanish(restartAfter)
	case "restart":
		f.worker.restart(restartAfter)
	case "replace":
		f.worker.replace(restartAfter)
	case "early_202_crash":
		f.worker.dieAtAccept(restartAfter)
	}
}

// condition is what the fault switches on, and the count of the faults that hold it on.
func (f *faultyWorker) condition() (count *int, set func(on bool)) {
	switch f.Kind {
	case "hang":
		return &f.faults.hangs, f.worker.setHang
	case "full":
		return &f.faults.fulls, f.worker.setFull
	case "no_notes":
		return &f.faults.mutes, f.worker.setMute
	case "refuse":
		return &f.faults.refusals, f.worker.setRefusing
	case "never_up":
		return &f.faults.silences, f.worker.setSilent
	default: // slow_read
		return &f.faults.slowReads, f.worker.setSlowRead
	}
}

// setCondition switches a condition on, and off again once no fault holds it on any more.
func (f *faultyWorker) setCondition(count *int, set func(on bool)) {
	*count++
	set(true)
	f.endLater(func() {
		*count--
		set(*count > 0)
	})
}

// sizes are the sizes of the faults of this kind that hold at once, and apply has the worker follow all of them.
func (f *faultyWorker) sizes() (sizes *[]float64, apply func()) {
	switch f.Kind {
	case "slow":
		return &f.faults.slowFactors, f.applySlowFactors
	case "errors":
		return &f.faults.errorRates, f.applyErrorRates
	default: // reset_at
		return &f.faults.resetBytes, f.applyResetBytes
	}
}

// addSize adds the fault's size to those that hold, until it ends.
func (f *faultyWorker) addSize(sizes *[]float64, apply func()) {
	*sizes = append(*sizes, f.Size)
	apply()
	f.endLater(func() {
		i := slices.Index(*sizes, f.Size)
		*sizes = slices.Delete(*sizes, i, i+1)
		apply()
	})
}

// applySlowFactors slows the worker down by the product of all factors.
func (f *faultyWorker) applySlowFactors() {
	product := 1.0
	for _, factor := range f.faults.slowFactors {
		product *= factor
	}
	f.worker.setSlowFactor(product)
}

// applyErrorRates has the worker fail at the largest of all rates.
func (f *faultyWorker) applyErrorRates() {
	largest := -1.0
	for _, rate := range f.faults.errorRates {
		largest = max(largest, rate)
	}
	f.worker.setErrorRate(largest)
}

// applyResetBytes has the worker reset connections after as many bytes as the latest fault says.
func (f *faultyWorker) applyResetBytes() {
	bytes := 0
	if n := len(f.faults.resetBytes); n > 0 {
		bytes = int(f.faults.resetBytes[n-1])
	}
	f.worker.setResetBytes(bytes)
}
