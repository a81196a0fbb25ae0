// Package aperture decides which part of a large fleet one scheduler looks at, so that with many schedulers and
// thousands of worker nodes not every one of them holds links to every other. It stands between the ledger and the
// decision module, as a module of its own: events in, actions out, no I/O, no clock, no chance. The module behind it
// knows of the worker nodes of the aperture alone, as a list that follows the rules of any other.
//
// Schedulers agree on who looks where without a word between them: each follows from the list of worker nodes, the
// number of schedulers and its own number among them. docs/design/aperture.md has the choice and its reasons.
//
// What may be relied on: the module is told of a worker node that is in the aperture as discovery tells it; of one
// that leaves it, that it is not ready, and that it is gone once no attempt of ours is out there; of no other. Each
// list of discovery's brings the module one of the same kind, be it empty. Jobs, outcomes and actions pass unchanged,
// but for timers, of which the earlier of two is asked for.
package aperture

import (
	"fmt"
	"time"

	"valvecove/dispatch"
)

const (
	evaluationInterval  = 250 * time.Millisecond // a look at load, silence and what is to leave
	refreshInterval     = 50 * time.Millisecond  // the aperture is found anew at most so often: a storm of changes costs no more
	logInterval         = time.Second            // a line for the operators at most so often
	loggedChangeDivisor = 10                     // and only for a change of this part of the aperture
)

// Policy makes the decisions that the aperture narrows.
type Policy interface {
	Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action
}

// Config is how wide the aperture is. All schedulers of a deployment should have the same.
type Config struct {
	MinWorkers     int           // ready worker nodes that a scheduler looks at, at least; a tenth for each bound class
	Coverage       int           // schedulers that look at each worker node, on the mean, at least; 2 or more
	MinFleet       int           // a fleet of fewer worker nodes is looked at whole
	MinSchedulers  int           // and so is any by fewer schedulers than this, without an aperture
	MaxWidening    float64       // load widens the aperture to so many times its width at most
	WidenThreshold float64       // it does where this share of jobs finds no room in time
	Retention      time.Duration // what is not needed any more is let go after so long
}

// DefaultConfig are what holds where nothing else is said.
func DefaultConfig() Config {
	return Config{MinWorkers: 20, Coverage: 2, MinFleet: 60, MinSchedulers: 2, MaxWidening: 8, WidenThreshold: 0.1, Retention: 30 * time.Second}
}

// Aperture is one scheduler's, round its module. It is used by one goroutine.
type Aperture struct {
	policy            Policy
	settings          dispatch.Settings
	config            Config
	index, schedulers int // this scheduler's number among how many
	now               time.Duration
	fleet
	loadMonitor

	awaitingList  bool          // the list is not followed: it was lost, or asked for, and nothing has come since
	timerAt       time.Duration // the timer that was asked for; 0: none
	policyTimerAt time.Duration // the module's own; 0: none
	evaluateAt    time.Duration
	events        []dispatch.Event  // of a step, as the module is told them
	updates       []dispatch.Worker // what the aperture itself changes
	removed       []uint64          // workers that have left it
	logReason     string            // the change that is to be told
	loggedAt      time.Duration
	loggedSize    Size
}

// Enabled tells whether so many schedulers have an aperture at all. Where they have none, nothing stands before the module.
func (c Config) Enabled(schedulers int) bool { return schedulers >= max(2, c.MinSchedulers) }

// New puts an aperture before a module that knows nothing. The module is to be made of the same settings.
func New(inner Policy, set dispatch.Settings, conf Config) *Aperture {
	a := &Aperture{policy: inner, settings: set, config: conf, awaitingList: true}
	a.config.Coverage = max(ringCount, conf.Coverage)
	a.setIndex(set.ReplicaIndex, set.Replicas)
	a.fleet = newFleet(set)
	a.loadMonitor = newLoadMonitor(set)
	return a
}

// SetSchedulers tells that the schedulers have become other ones: this one is number me, from 0, of so many. It holds from
// the next step on. It changes what is looked at and who may warm up cold worker nodes, and no other setting. A new
// scheduler should take the next number, and the last one that of a scheduler that leaves: that moves the fewest.
func (a *Aperture) SetSchedulers(index, count int) {
	a.setIndex(index, count)
	a.reposition()
}

func (a *Aperture) setIndex(me, of int) {
	a.schedulers = max(1, of)
	a.index = (me%a.schedulers + a.schedulers) % a.schedulers
}

// Size is what an aperture comes to.
type Size struct {
	Listed, Ready int // worker nodes, as discovery has them
	Selected      int // of these in the aperture
	SelectedReady int
	Unresponsive  int     // of these ready ones not heard of, though asked
	Whole         bool    // all are looked at, as there are few, or one scheduler
	Widening      float64 // by which load has widened it
}

// Size counts the worker nodes.
func (a *Aperture) Size() Size {
	s := Size{Whole: a.coversFleet(), Widening: a.widening}
	for _, u := range a.units {
		s.Listed += u.counts[0].listed
		s.Ready += u.counts[0].ready
		if u.selected {
			s.Selected += u.counts[0].listed
			s.SelectedReady += u.counts[0].ready
			s.Unresponsive += u.counts[0].ready - u.counts[0].responsive
		}
	}
	return s
}

// Step has the module step on what is in the aperture.
func (a *Aperture) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	a.now = max(now, a.now)
	due := a.policyTimerAt > 0 && a.policyTimerAt <= a.now
	if due {
		a.policyTimerAt = 0
	}
	if a.timerAt <= a.now {
		a.timerAt = 0
	}
	told := a.events[:0]
	for _, e := range events {
		switch x := e.(type) {
		case dispatch.TimerFired:
			if !due { // it was the aperture's own
				continue
			}
			due = false
		case dispatch.WorkerList:
			if len(a.updates) > 0 { // what came before is told before
				told = append(told, a.ownUpdate())
			}
			e = a.applyList(x)
		case dispatch.Job:
			a.jobArrived(x)
		case dispatch.Outcome:
			a.attemptEnded(x)
		case dispatch.Started:
			a.responseReceived(x.Worker)
		case dispatch.Progressed:
			a.responseReceived(x.Worker)
		case dispatch.ResponseStarted:
			a.responseReceived(x.Worker)
		case dispatch.ClientDisconnected:
			a.removeJob(x.Job)
		case dispatch.HealthChecked:
			a.healthChecked(x)
		case dispatch.ReplicasChanged:
			a.SetSchedulers(x.ReplicaIndex, x.Replicas)
		case dispatch.JobResumed:
			after := a.jobResumed(x)
			if len(a.updates) > 0 {
				told = append(told, a.ownUpdate())
			}
			for _, n := range after {
				a.updates = a.appendStatus(n, a.updates)
			}
		}
		told = append(told, e)
	}
	if a.now >= a.evaluateAt {
		a.evaluate()
	}
	if a.needsRefresh && a.now >= a.refreshedAt+refreshInterval {
		a.refresh()
	}
	if len(a.updates) > 0 {
		told = append(told, a.ownUpdate())
	}
	from := len(dst)
	if len(told) > 0 {
		dst = a.policy.Step(now, told, dst)
	}
	clear(told)
	a.events = told[:0]
	dst = a.observeActions(dst, from)
	for _, id := range a.removed {
		if n := a.workers[id]; n == nil || !n.reported { // else it has come back at once
			dst = append(dst, dispatch.CloseIdleConnections{Worker: id})
		}
	}
	a.removed = a.removed[:0]
	if a.logReason != "" && a.now >= a.loggedAt+logInterval {
		dst = append(dst, a.logSize())
	}
	return a.appendTimer(dst)
}

// ownUpdate makes a list of what the aperture itself changes. While the module waits for a list, changes would look like one
// that discovery has told, so it is told the whole list as it was known.
func (a *Aperture) ownUpdate() dispatch.Event {
	l := dispatch.WorkerList{Kind: dispatch.ListDelta, Workers: append([]dispatch.Worker(nil), a.updates...)}
	if a.updates = a.updates[:0]; a.awaitingList {
		l = dispatch.WorkerList{Kind: dispatch.ListCached, Workers: a.reportedWorkers()}
	}
	return l
}

// observeActions takes in what the module wants done. Its timers are kept back.
func (a *Aperture) observeActions(dst []dispatch.Action, from int) []dispatch.Action {
	kept := dst[:from]
	for _, x := range dst[from:] {
		switch x := x.(type) {
		case dispatch.SetTimer:
			if at := a.now + max(x.After, 1); a.policyTimerAt == 0 || at < a.policyTimerAt {
				a.policyTimerAt = at
			}
			continue
		case dispatch.Send:
			a.attemptSent(x.Job, x.Worker)
		case dispatch.Reject:
			a.removeJob(x.Job) // at once, or it has been judged before
		case dispatch.Fail:
			a.removeJob(x.Job)
		case dispatch.HealthCheck:
			if n := a.workers[x.Worker]; n != nil {
				a.expectResponse(n)
			}
		case dispatch.Subscribe:
			a.awaitingList = true
		}
		kept = append(kept, x)
	}
	clear(dst[len(kept):])
	return kept
}

// appendTimer asks for a timer at the next thing that is due, the module's or the aperture's.
func (a *Aperture) appendTimer(dst []dispatch.Action) []dispatch.Action {
	next := a.evaluateAt
	if a.needsRefresh {
		next = min(next, a.refreshedAt+refreshInterval)
	}
	if a.policyTimerAt > 0 {
		next = min(next, a.policyTimerAt)
	}
	if a.timerAt == 0 || next < a.timerAt {
		a.timerAt = max(next, a.now+1)
		dst = append(dst, dispatch.SetTimer{After: a.timerAt - a.now})
	}
	return dst
}

// evaluate looks at load and silence, and lets go what has not been needed for long.
func (a *Aperture) evaluate() {
	// A process that was late itself can't tell who was: whoever is asked has the time again.
	late := a.evaluateAt > 0 && a.now-a.evaluateAt >= evaluationInterval
	a.evaluateAt = a.now + evaluationInterval
	a.checkResponses(late)
	a.adjustWidening(late)
	if a.needsRefresh { // what is wanted again is not let go
		a.refresh()
	}
	for _, u := range a.units {
		if u.selected && !u.desired && a.now-u.lastDesired >= a.config.Retention {
			u.selected = false
			a.reportUnit(u)
		}
	}
	if s := a.Size(); a.logReason == "" && s.Listed > 0 && a.isWorthLogging(s) {
		a.logReason = "as the fleet is now"
	}
}

// isWorthLogging tells whether the size is far from what was last told.
func (a *Aperture) isWorthLogging(s Size) bool {
	off := s.Selected - a.loggedSize.Selected
	return s.Whole != a.loggedSize.Whole || !s.Whole && (off*loggedChangeDivisor > a.loggedSize.Selected || -off*loggedChangeDivisor > a.loggedSize.Selected)
}

// logSize is a line on how wide the aperture is, and why.
func (a *Aperture) logSize() dispatch.Action {
	s := a.Size()
	a.loggedSize, a.loggedAt = s, a.now
	why := a.logReason
	if a.logReason = ""; s.Whole {
		return dispatch.Log{Text: fmt.Sprintf("aperture: the whole fleet, %d listed, %d ready", s.Listed, s.Ready)}
	}
	return dispatch.Log{Text: fmt.Sprintf("aperture: %d of %d listed, %d of %d ready, %d silent, factor %.2f, %s", s.Selected,
		s.Listed, s.SelectedReady, s.Ready, s.Unresponsive, s.Widening, why)}
}
