package environment

import "time"

// workerProcess is the process of a worker: its lifecycle, and the faults that end with it.
type workerProcess struct {
	incarnation       int // counts the processes of a worker, from 1
	state             workerState
	generation        int // counts changes of the lifecycle: what was planned under an earlier one is void
	startedAt         time.Duration
	startedBeforeRun  bool // it started long before the run
	draining          bool
	leaving           bool          // it exits once it has neither attempts nor callbacks
	restartDelay      time.Duration // from that exit to the next start; 0: never
	hanging           bool
	pausedUntil       time.Duration
	rejectsAll        bool
	silencesCallbacks bool
	diesAtAccept      bool          // at its next 202
	diesRestartDelay  time.Duration // from that crash to the next start; 0: never
	inbox             []func()      // what arrived during a pause, in order
}

type workerState uint8

const (
	workerUp     workerState = iota
	workerDead               // no process runs; the machine refuses connections
	workerSilent             // the machine answers nothing
)

// start makes this the next process, which starts at now without faults.
func (p *workerProcess) start(now time.Duration) {
	*p = workerProcess{
		incarnation: p.incarnation + 1,
		generation:  p.generation + 1,
		startedAt:   now,
		inbox:       p.inbox,
	}
}

// isPaused reports whether the process is paused at now.
func (p *workerProcess) isPaused(now time.Duration) bool { return p.pausedUntil > now }

// completesWork reports whether the process runs and no fault keeps it from accepting an attempt and reporting its end.
func (p *workerProcess) completesWork() bool {
	return p.state == workerUp && !p.hanging && !p.rejectsAll && !p.silencesCallbacks && !p.diesAtAccept
}

// exitWhenIdle has the process exit once it has nothing left. restartDelay runs from that exit.
func (p *workerProcess) exitWhenIdle(restartDelay time.Duration) {
	p.generation++
	p.leaving = true
	p.restartDelay = restartDelay
}

// cancelExit clears what an exit was planned or announced with, after the process has ended.
func (p *workerProcess) cancelExit() {
	p.leaving = false
	p.draining = false
}

// dieAtAccept has the process crash with its next 202.
func (p *workerProcess) dieAtAccept(restartDelay time.Duration) {
	p.diesAtAccept = true
	p.diesRestartDelay = restartDelay
}
