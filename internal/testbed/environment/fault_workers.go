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
func (x *activeFault) applyToWorker(i int) {
	strike := &workerStrike{activeFault: x, worker: x.timeline.env.workers[i], faults: &x.timeline.workers[i]}
	x.recordWorkers(trace.WorkerFaultStarted, []int{i})
	switch x.Kind {
	case "crash", "vanish", "restart", "replace", "early_202_crash":
		strike.endProcess()
		strike.endAtNextStart()
	case "drain":
		strike.worker.drain()
	case "gone":
		strike.worker.remove()
	case "handback":
		strike.worker.returnQueued()
		strike.recordEnd()
		x.end()
	case "pause":
		strike.worker.pause(x.Duration.Std())
		strike.endLater(func() {})
	case "hang", "full", "no_notes", "refuse", "never_up", "slow_read":
		strike.setCondition(strike.condition())
	case "slow", "errors", "reset_at":
		strike.addSize(strike.sizes())
	default:
		panic("world: no such fault of a worker node: " + x.Kind)
	}
}

// workerStrike is an active fault at one of the workers that it strikes.
type workerStrike struct {
	*activeFault
	worker *worker
	faults *workerFaults // of all faults, on this worker
}

func (s *workerStrike) recordEnd() {
	s.recordWorkers(trace.WorkerFaultEnded, []int{s.worker.number})
}

// endLater ends the strike after the fault's duration, if it ever ends.
func (s *workerStrike) endLater(undo func()) {
	s.activeFault.endLater(func() {
		undo()
		s.recordEnd()
	})
}

// endAtNextStart ends the strike when the worker has its next process, if it is to have one.
func (s *workerStrike) endAtNextStart() {
	if s.Duration > 0 {
		waiters := &s.timeline.restartWaiters[s.worker.number]
		*waiters = append(*waiters, s.recordEnd, s.end)
	}
}

// endProcess ends the worker's process, now or once it accepts an attempt.
func (s *workerStrike) endProcess() {
	restartAfter := s.Duration.Std()
	switch s.Kind {
	case "crash":
		s.worker.crash(restartAfter)
	case "vanish":
		s.worker.vanish(restartAfter)
	case "restart":
		s.worker.restart(restartAfter)
	case "replace":
		s.worker.replace(restartAfter)
	case "early_202_crash":
		s.worker.dieAtAccept(restartAfter)
	}
}

// condition is what the fault switches on, and the count of the faults that hold it on.
func (s *workerStrike) condition() (count *int, set func(on bool)) {
	switch s.Kind {
	case "hang":
		return &s.faults.hangs, s.worker.setHang
	case "full":
		return &s.faults.fulls, s.worker.setFull
	case "no_notes":
		return &s.faults.mutes, s.worker.setMute
	case "refuse":
		return &s.faults.refusals, s.worker.setRefusing
	case "never_up":
		return &s.faults.silences, s.worker.setSilent
	default: // slow_read
		return &s.faults.slowReads, s.worker.setSlowRead
	}
}

// setCondition switches a condition on, and off again once no fault holds it on any more.
func (s *workerStrike) setCondition(count *int, set func(on bool)) {
	*count++
	set(true)
	s.endLater(func() {
		*count--
		set(*count > 0)
	})
}

// sizes are the sizes of the faults of this kind that hold at once, and apply has the worker follow all of them.
func (s *workerStrike) sizes() (sizes *[]float64, apply func()) {
	switch s.Kind {
	case "slow":
		return &s.faults.slowFactors, s.applySlowFactors
	case "errors":
		return &s.faults.errorRates, s.applyErrorRates
	default: // reset_at
		return &s.faults.resetBytes, s.applyResetBytes
	}
}

// addSize adds the fault's size to those that hold, until it ends.
func (s *workerStrike) addSize(sizes *[]float64, apply func()) {
	*sizes = append(*sizes, s.Size)
	apply()
	s.endLater(func() {
		i := slices.Index(*sizes, s.Size)
		*sizes = slices.Delete(*sizes, i, i+1)
		apply()
	})
}

// applySlowFactors slows the worker down by the product of all factors.
func (s *workerStrike) applySlowFactors() {
	product := 1.0
	for _, factor := range s.faults.slowFactors {
		product *= factor
	}
	s.worker.setSlowFactor(product)
}

// applyErrorRates has the worker fail at the largest of all rates.
func (s *workerStrike) applyErrorRates() {
	largest := -1.0
	for _, rate := range s.faults.errorRates {
		largest = max(largest, rate)
	}
	s.worker.setErrorRate(largest)
}

// applyResetBytes has the worker reset connections after as many bytes as the latest fault says.
func (s *workerStrike) applyResetBytes() {
	bytes := 0
	if n := len(s.faults.resetBytes); n > 0 {
		bytes = int(s.faults.resetBytes[n-1])
	}
	s.worker.setResetBytes(bytes)
}
