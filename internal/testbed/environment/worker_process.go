package environment

import "time"

// workerProcess is the process of a worker: its lifecycle, and the faults that end with it.
type workerProcess struct {
	incarnation      int // counts the processes of a worker, from 1
	state            workerState
	generation       int // counts changes of the lifecycle: starts and exits planned in an earlier one are cancelled
	startedAt        time.Duration
	startedBeforeRun bool // it started long before the run
	draining         bool
	exitPending      bool          // it exits once it has neither attempts nor callbacks
	restartDelay     time.Duration // from that exit to the next start; 0: never
	hanging          bool
	pausedUntil      time.Duration
	rejectsAll       bool
	dropsCallbacks   bool
	diesAtAccept     bool          // at its next 202
	diesRestartDelay time.Duration // from that crash to the next start; 0: never
	inbox            []func()      // what arrived during a pause, in order
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
	return p.state == workerUp && !p.hanging && !p.rejectsAll && !p.dropsCallbacks && !p.diesAtAccept
}

// exitWhenIdle makes the process exit once it has neither attempts nor callbacks. restartDelay runs from that exit.
func (p *workerProcess) exitWhenIdle(restartDelay time.Duration) {
	p.generation++
	p.exitPending = true
	p.restartDelay = restartDelay
}

// cancelExit clears the drain and the planned exit, after the process has ended.
func (p *workerProcess) cancelExit() {
	p.exitPending = false
	p.draining = false
}

// dieAtAccept makes the process crash as it sends its next 202.
func (p *workerProcess) dieAtAccept(restartDelay time.Duration) {
	p.diesAtAccept = true
	p.diesRestartDelay = restartDelay
}
