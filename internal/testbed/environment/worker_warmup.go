package environment

import (
	"time"

	"valvecove/internal/testbed/trace"
)

// warmUpState is how a process warms up, and what has arrived at it meanwhile.
type warmUpState struct {
	warm        bool
	workDone    float64 // work that the process has done, in seconds at speed 1
	arrived     []coldArrival
	first       int // in arrived: the oldest that counts
	arrivedWork float64
	knownWork   float64 // part of sum that came from schedulers that knew of its start
}

type coldArrival struct {
	arrivedAt time.Duration
	work      float64
	knewStart bool
}

const (
	// It warms up in so many steps, each counting from its beginning as what it is at its end: never more slowly than
	// evenly, and its speed is constant between two.
	warmUpSteps = 64
	// One that warms up by work is warm once it has done what it could do in this part of its kind's Cold when warm, and
	// never later than one that warms up by time. Kept busy, that takes it less than half as long.
	warmUpWorkShare = 0.25
	// What may arrive at a cold worker beyond its budget, in mean jobs: a budget that chance breaks says nothing.
	overloadSlack = 1.25
)

func (w *worker) startWarmUp() {
	w.warming = warmUpState{warm: w.kind.WarmUp <= 0 || w.kind.WarmUpCapacity >= 1}
}

// capacityShare is the share of its capacity that it has now.
func (w *worker) capacityShare() float64 {
	c := &w.warming
	if c.warm {
		return 1
	}
	part := float64(w.warmUpStep()+1) / warmUpSteps
	if w.kind.WarmUpBy == "work" {
		part = max(part, c.workDone/(w.capacity()*w.kind.WarmUp.Std().Seconds()*warmUpWorkShare))
	}
	if part >= 1 {
		*c = warmUpState{warm: true, workDone: c.workDone}
		return 1
	}
	from := w.kind.WarmUpCapacity
	return from + (1-from)*part
}

func (w *worker) warmUpStep() time.Duration {
	return (w.env.now - w.process.startedAt) * warmUpSteps / w.kind.WarmUp.Std()
}

// nextWarmUpStep is when a cold one gets faster by itself; not ok: it is warm.
func (w *worker) nextWarmUpStep() (at time.Duration, ok bool) {
	if w.warming.warm {
		return 0, false
	}
	return w.process.startedAt + ((w.warmUpStep()+1)*w.kind.WarmUp.Std()+warmUpSteps-1)/warmUpSteps, true
}

// coldWorkReceived counts the work of an attempt that has arrived, taken or not, if it is cold. Where within one span of
// Rules.Fall more than Rules.FallFactor times what it can do in that at its present capacity has come, and a little
// more, it falls over: its process dies, and none starts again. A fault that slows it takes nothing off its capacity.
func (w *worker) coldWorkReceived(attempt *attempt, work float64) (fell bool) {
	warmUpState, rules := &w.warming, &w.env.Spec.Rules
	share := w.capacityShare()
	if warmUpState.warm {
		return false
	}
	capacity, now := w.capacity()*share, w.env.now
	w.env.record(trace.Event{
		Kind: trace.ColdWorkReceived, RequestID: attempt.requestID, Worker: w.number, Scheduler: attempt.scheduler, Slots: attempt.slots,
		Work: work / attempt.slots, Share: capacity,
	})
	for warmUpState.first < len(warmUpState.arrived) && warmUpState.arrived[warmUpState.first].arrivedAt <= now-rules.OverloadWindow.Std() {
		old := warmUpState.arrived[warmUpState.first]
		if warmUpState.arrivedWork -= old.work; old.knewStart {
			warmUpState.knownWork -= old.work
		}
		warmUpState.first++
	}
	if warmUpState.first == len(warmUpState.arrived) {
		warmUpState.arrived, warmUpState.first, warmUpState.arrivedWork, warmUpState.knownWork = warmUpState.arrived[:0], 0, 0, 0
	}
	warmUpState.arrived = append(warmUpState.arrived, coldArrival{now, work, attempt.knewStart})
	if warmUpState.arrivedWork += work; attempt.knewStart {
		warmUpState.knownWork += work
	}
	if rules.OverloadFactor <= 0 || warmUpState.arrivedWork <= rules.OverloadFactor*capacity*rules.OverloadWindow.Std().Seconds()+w.shared.overloadSlack {
		return false
	}
	w.env.record(trace.Event{Kind: trace.WorkerOverloaded, Worker: w.number, Share: max(0, warmUpState.knownWork) / warmUpState.arrivedWork})
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: attempt.requestID, Worker: w.number, Text: "fell"})
	w.end(workerDead, "fell", 0)
	w.overloaded = true
	return true
}
