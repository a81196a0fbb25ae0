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

func (x *activeFault) applyToWorker(i int) {
	n, workerFaults, back := x.timeline.env.workers[i], &x.timeline.workers[i], x.Duration.Std()
	x.recordWorkers(trace.WorkerFaultStarted, []int{i})
	spared := func() { x.recordWorkers(trace.WorkerFaultEnded, []int{i}) }
	whenBack := func() {
		if back > 0 {
			x.timeline.restartWaiters[i] = append(x.timeline.restartWaiters[i], spared, x.end)
		}
	}
	until := func(undo func()) {
		x.endLater(func() {
			undo()
			spared()
		})
	}
	count := func(c *int, set func(on bool)) {
		*c++
		set(true)
		until(func() {
			*c--
			set(*c > 0)
		})
	}
	// Of several that hold at once, what applies follows from all of their sizes.
	list := func(l *[]float64, set func()) {
		*l = append(*l, x.Size)
		set()
		until(func() {
			at := slices.Index(*l, x.Size)
			*l = slices.Delete(*l, at, at+1)
			set()
		})
	}
	switch x.Kind {
	case "crash":
		n.crash(back)
		whenBack()
	case "vanish":
		n.vanish(back)
		whenBack()
	case "restart":
		n.restart(back)
		whenBack()
	case "replace":
		n.replace(back)
		whenBack()
	case "early_202_crash":
		n.dieAtAccept(back)
		whenBack()
	case "drain":
		n.drain()
	case "gone":
		n.remove()
	case "handback":
		n.returnQueued()
		spared()
		x.end()
	case "pause":
		n.pause(back)
		until(func() {})
	case "hang":
		count(&workerFaults.hangs, n.setHang)
	case "full":
		count(&workerFaults.fulls, n.setFull)
	case "no_notes":
		count(&workerFaults.mutes, n.setMute)
	case "refuse":
		count(&workerFaults.refusals, n.setRefusing)
	case "never_up":
		count(&workerFaults.silences, n.setSilent)
	case "slow_read":
		count(&workerFaults.slowReads, n.setSlowRead)
	case "slow": // they multiply
		list(&workerFaults.slowFactors, func() {
			factor := 1.0
			for _, by := range workerFaults.slowFactors {
				factor *= by
			}
			n.setSlowFactor(factor)
		})
	case "errors": // the largest share
		list(&workerFaults.errorRates, func() {
			rate := -1.0
			for _, r := range workerFaults.errorRates {
				rate = max(rate, r)
			}
			n.setErrorRate(rate)
		})
	case "reset_at": // the last
		list(&workerFaults.resetBytes, func() {
			bytes := 0
			if k := len(workerFaults.resetBytes); k > 0 {
				bytes = int(workerFaults.resetBytes[k-1])
			}
			n.setResetBytes(bytes)
		})
	default:
		panic("world: no such fault of a worker node: " + x.Kind)
	}
}
