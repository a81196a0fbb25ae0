package environment

import (
	"slices"

	"valvecove/internal/testbed/trace"
)

// This file applies faults to single workers.

// workerFaults counts and lists the active faults of a worker.
type workerFaults struct {
	hangs         int
	rejectAlls    int
	callbackDrops int
	refusals      int
	silences      int
	slowReads     int
	slowFactors   []float64 // of the active faults in order of their starts, like the next two
	errorRates    []float64
	resetBytes    []float64
}

// applyToWorker applies the fault to one worker.
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
		panic("environment: unknown kind of worker fault: " + a.Kind)
	}
}

// faultyWorker is an active fault at one of its workers.
type faultyWorker struct {
	*activeFault
	worker *worker
	faults *workerFaults // all active faults of this worker
}

func (f *faultyWorker) recordEnd() {
	f.recordWorkers(trace.WorkerFaultEnded, []int{f.worker.number})
}

// endLater ends the fault at this worker after its duration; 0: it never ends.
func (f *faultyWorker) endLater(undo func()) {
	f.activeFault.endLater(func() {
		undo()
		f.recordEnd()
	})
}

// endAtNextStart ends the fault at this worker when its next process starts, if one is to start.
func (f *faultyWorker) endAtNextStart() {
	if f.Duration > 0 {
		waiters := &f.timeline.restartWaiters[f.worker.number]
		*waiters = append(*waiters, f.recordEnd, f.end)
	}
}

// endProcess ends the worker's process, now or once it accepts an attempt.
func (f *faultyWorker) endProcess() {
	restartDelay := f.Duration.Std()
	switch f.Kind {
	case "crash":
		f.worker.crash(restartDelay)
	case "vanish":
		f.worker.vanish(restartDelay)
	case "restart":
		f.worker.restart(restartDelay)
	case "replace":
		f.worker.replace(restartDelay)
	case "early_202_crash":
		f.worker.dieAtAccept(restartDelay)
	}
}

// condition returns the setter of the condition that the fault sets, and the count of the active faults that set it.
func (f *faultyWorker) condition() (count *int, set func(on bool)) {
	switch f.Kind {
	case "hang":
		return &f.faults.hangs, f.worker.setHang
	case "full":
		return &f.faults.rejectAlls, f.worker.setRejectAll
	case "no_notes":
		return &f.faults.callbackDrops, f.worker.setDropCallbacks
	case "refuse":
		return &f.faults.refusals, f.worker.setRefusing
	case "never_up":
		return &f.faults.silences, f.worker.setSilent
	default: // slow_read
		return &f.faults.slowReads, f.worker.setSlowRead
	}
}

// setCondition sets a condition, and clears it once no active fault sets it.
func (f *faultyWorker) setCondition(count *int, set func(on bool)) {
	*count++
	set(true)
	f.endLater(func() {
		*count--
		set(*count > 0)
	})
}

// sizes returns the sizes of the active faults of this kind, and the function that applies them to the worker.
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

// addSize adds the fault's size to those of the active faults until it ends.
func (f *faultyWorker) addSize(sizes *[]float64, apply func()) {
	*sizes = append(*sizes, f.Size)
	apply()
	f.endLater(func() {
		i := slices.Index(*sizes, f.Size)
		*sizes = slices.Delete(*sizes, i, i+1)
		apply()
	})
}

// applySlowFactors sets the slow factor of the worker to the product of all.
func (f *faultyWorker) applySlowFactors() {
	product := 1.0
	for _, factor := range f.faults.slowFactors {
		product *= factor
	}
	f.worker.setSlowFactor(product)
}

// applyErrorRates sets the error rate of the worker to the largest of all.
func (f *faultyWorker) applyErrorRates() {
	largest := -1.0
	for _, rate := range f.faults.errorRates {
		largest = max(largest, rate)
	}
	f.worker.setErrorRate(largest)
}

// applyResetBytes sets the bytes after which the worker resets connections to those of the latest fault.
func (f *faultyWorker) applyResetBytes() {
	bytes := 0
	if n := len(f.faults.resetBytes); n > 0 {
		bytes = int(f.faults.resetBytes[n-1])
	}
	f.worker.setResetBytes(bytes)
}
