package environment

import (
	"time"

	"valvecove/internal/testbed/trace"
)

// warmUpState is how far a process has warmed up, and the work that has arrived at it within Rules.OverloadWindow.
type warmUpState struct {
	warm        bool
	workDone    float64 // work that the process has done, in seconds at speed 1
	arrived     []coldArrival
	first       int     // index in arrived of the oldest within the window
	arrivedWork float64 // sum of the work within the window
	knownWork   float64 // part of it from schedulers that had been notified of the start
}

// coldArrival is the arrival of an attempt at a process that is warming up.
type coldArrival struct {
	arrivedAt time.Duration
	work      float64
	knewStart bool // its scheduler had been notified of the start
}

const (
	// warmUpSteps is the number of steps of a warm-up. The speed is constant within a step: the one at its end.
	warmUpSteps = 64
	// warmUpWorkShare is the work that ends a warm-up by work, as a share of what a warm process does in the kind's WarmUp.
	warmUpWorkShare = 0.25
	// overloadSlack is the work that a cold worker tolerates beyond its budget, in mean jobs.
	overloadSlack = 1.25
)

// arrive adds the work of an attempt that arrives at now, and drops what arrived a window ago or earlier.
func (s *warmUpState) arrive(now, window time.Duration, work float64, knewStart bool) {
	for s.first < len(s.arrived) && s.arrived[s.first].arrivedAt <= now-window {
		expired := s.arrived[s.first]
		s.arrivedWork -= expired.work
		if expired.knewStart {
			s.knownWork -= expired.work
		}
		s.first++
	}
	if s.first == len(s.arrived) {
		s.arrived = s.arrived[:0]
		s.first = 0
		s.arrivedWork = 0
		s.knownWork = 0
	}
	s.arrived = append(s.arrived, coldArrival{now, work, knewStart})
	s.arrivedWork += work
	if knewStart {
		s.knownWork += work
	}
}

// knownShare returns the share of the arrived work that came from schedulers that had been notified of the start.
func (s *warmUpState) knownShare() float64 { return max(0, s.knownWork) / s.arrivedWork }

// startWarmUp starts the warm-up of a new process, if its kind warms up.
func (w *worker) startWarmUp() {
	w.warming = warmUpState{warm: w.kind.WarmUp <= 0 || w.kind.WarmUpCapacity >= 1}
}

// capacityShare returns the present share of the capacity of a warm process.
func (w *worker) capacityShare() float64 {
	warming := &w.warming
	if warming.warm {
		return 1
	}
	done := float64(w.warmUpStep()+1) / warmUpSteps
	if w.kind.WarmUpBy == "work" {
		done = max(done, warming.workDone/(w.capacity()*w.kind.WarmUp.Std().Seconds()*warmUpWorkShare))
	}
	if done >= 1 {
		*warming = warmUpState{warm: true, workDone: warming.workDone}
		return 1
	}
	initial := w.kind.WarmUpCapacity
	return initial + (1-initial)*done
}

// warmUpStep returns the index of the present step.
func (w *worker) warmUpStep() time.Duration {
	return (w.env.now - w.process.startedAt) * warmUpSteps / w.kind.WarmUp.Std()
}

// nextWarmUpStep returns when the next step begins; not ok: the process is warm.
func (w *worker) nextWarmUpStep() (at time.Duration, ok bool) {
	if w.warming.warm {
		return 0, false
	}
	return w.process.startedAt + ((w.warmUpStep()+1)*w.kind.WarmUp.Std()+warmUpSteps-1)/warmUpSteps, true
}

// coldWorkReceived counts the work of an attempt that arrives at a process that is warming up, admitted or not. If the work
// within Rules.OverloadWindow exceeds Rules.OverloadFactor times the present capacity, and overloadSlack, the process dies
// and none starts again. Faults that slow the machine don't reduce that capacity.
func (w *worker) coldWorkReceived(attempt *attempt, work float64) (overloaded bool) {
	rules := &w.env.Spec.Rules
	share := w.capacityShare()
	if w.warming.warm {
		return false
	}
	capacity := w.capacity() * share
	window := rules.OverloadWindow.Std()
	w.env.record(trace.Event{
		Kind: trace.ColdWorkReceived, RequestID: attempt.requestID, Worker: w.number, Scheduler: attempt.scheduler, Slots: attempt.slots,
		Work: work / attempt.slots, Share: capacity,
	})
	w.warming.arrive(w.env.now, window, work, attempt.knewStart)
	budget := rules.OverloadFactor*capacity*window.Seconds() + w.shared.overloadSlack
	if rules.OverloadFactor <= 0 || w.warming.arrivedWork <= budget {
		return false
	}
	w.env.record(trace.Event{Kind: trace.WorkerOverloaded, Worker: w.number, Share: w.warming.knownShare()})
	w.env.record(trace.Event{Kind: trace.AttemptDied, RequestID: attempt.requestID, Worker: w.number, Text: "fell"})
	w.end(workerDead, "fell", 0)
	w.overloaded = true
	return true
}
