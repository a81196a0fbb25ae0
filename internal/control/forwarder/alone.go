package forwarder

import (
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// standalone is the forwarder's own module, and when it decides. While it does, all queries are its own. Back with planners,
// new queries go there at once, then those that it has without an attempt out; those with one stay until it has ended.
type standalone struct {
	newPolicy                      func() Policy
	localPolicy                    Policy // nil: there is none now
	standaloneMode                 bool
	plannerPresent                 bool // a planner is
	plannersLostAt                 time.Duration
	plannersFoundAt                time.Duration
	localRequests                  int // queries that the own module knows
	localTimerAt                   time.Duration
	localEvents                    []dispatch.Event // that it has not heard of
	deliveredEvents                []dispatch.Event
	localActions                   []dispatch.Action
	newlyLocal                     []*request // with those events
	isolatingSuspect               bool       // it is one that may have brought a planner down, and comes alone
	recentPanics                   int        // of late
	lastPanicAt                    time.Duration
	modelSnapshot                  []byte // what planners' modules have learnt
	snapshotAt                     time.Duration
	forwarderIndex, forwarderCount int
}

const (
	maxPanics      = 3 // in a second: then it is given nothing again
	maxLoggedStack = 600
)

// SetSchedulers tells that this forwarder is number me, from 0, of so many. Alone, they share the fleet without a word.
func (f *Forwarder) SetSchedulers(me, of int) {
	if f.forwarderIndex == me && f.forwarderCount == of {
		return
	}
	f.forwarderIndex, f.forwarderCount = me, of
	f.updateLocalShare()
}

// updateLocalShare tells the own module how many share the worker nodes.
func (f *Forwarder) updateLocalShare() {
	if f.localPolicy == nil || f.forwarderCount <= 0 {
		return
	}
	f.notifyLocal(dispatch.ReplicasChanged{Replicas: f.forwarderCount, ReplicaIndex: f.forwarderIndex})
	if m, ok := f.localPolicy.(interface{ SetSchedulers(me, of int) }); ok {
		m.SetSchedulers(f.forwarderIndex, f.forwarderCount)
	}
}

// keepSnapshot keeps what planners' modules know, the newest of it.
func (f *Forwarder) keepSnapshot(now time.Duration, planner string, epoch message.Epoch, m *message.ModelSnapshot) {
	p, at := f.findPlanner(planner), now-max(0, m.Age)
	if p == nil || !p.accepted || p.epoch != epoch || len(m.Data) > f.config.MaxSnapshotBytes || len(f.modelSnapshot) > 0 &&
		at < f.snapshotAt {
		f.stats.StrayMessages++
		return
	}
	f.modelSnapshot, f.snapshotAt = append(f.modelSnapshot[:0], m.Data...), at
}

// updateMode decides who decides.
func (f *Forwarder) updateMode() {
	switch {
	case f.plannerPresent:
		if f.plannersLostAt = 0; f.plannersFoundAt == 0 {
			f.plannersFoundAt = f.now
		}
		if f.standaloneMode && (f.localRequests == 0 || f.now-f.plannersFoundAt >= f.config.SettleTime) {
			f.leaveStandalone()
		}
	default:
		if f.plannersFoundAt = 0; f.plannersLostAt == 0 {
			f.plannersLostAt = f.now
		}
		// Where the own module is there still, it takes all back at once.
		if !f.standaloneMode && (!f.hadPlanner && f.knownPlanners == 0 || f.localPolicy != nil || f.now-f.plannersLostAt >= f.config.StandaloneAfter) {
			f.enterStandalone()
		}
	}
	if f.localPolicy != nil && !f.standaloneMode && f.localRequests == 0 && len(f.localEvents) == 0 {
		f.localPolicy, f.localTimerAt = nil, 0
	}
}

// nextModeChange is when that is to be looked at again; 0: not by time.
func (f *Forwarder) nextModeChange() time.Duration {
	switch {
	case len(f.localEvents) > 0 || f.standaloneMode && f.waiting.Len()+f.poisonSuspects.Len() > 0:
		return f.now + time.Millisecond
	case f.plannerPresent && f.standaloneMode:
		return f.earliestLocal(f.plannersFoundAt + f.config.SettleTime)
	case !f.plannerPresent && !f.standaloneMode:
		return f.earliestLocal(f.plannersLostAt + f.config.StandaloneAfter)
	case f.localPolicy != nil && !f.standaloneMode && f.localRequests == 0:
		return f.now + time.Millisecond // it goes
	}
	return f.localTimerAt
}

func (f *Forwarder) earliestLocal(at time.Duration) time.Duration {
	if f.localTimerAt > 0 {
		return min(at, f.localTimerAt)
	}
	return at
}

func (f *Forwarder) enterStandalone() {
	f.standaloneMode = true
	f.stats.Standalone++
	for f.returning.Len() > 0 {
		f.dequeue(f.returning.First().request)
	}
	f.log("standalone mode entered", "waiting", f.waiting.Len()+f.poisonSuspects.Len())
	f.startLocalPolicy()
}

// startLocalPolicy makes the own module, if there is none, and tells it what there is.
func (f *Forwarder) startLocalPolicy() {
	if f.localPolicy != nil {
		return
	}
	f.localPolicy, f.localTimerAt = f.standalone.newPolicy(), 0
	f.notifyLocal(dispatch.WorkerList{Kind: dispatch.ListCached, Workers: f.listedWorkers(), Revision: f.revision})
	f.updateLocalShare()
	if len(f.modelSnapshot) > 0 {
		f.notifyLocal(dispatch.ModelUpdate{Snapshot: f.modelSnapshot, Age: f.now - f.snapshotAt, LoadShare: 1 / float64(max(1, f.forwarderCount))})
	}
}

func (f *Forwarder) leaveStandalone() {
	f.standaloneMode = false
	stay := 0
	for _, q := range f.requests { // the queue puts them in order
		switch {
		case q.state != stateLocal:
		case f.validator.InFlight(q.job.ID) > 0:
			stay++
		default:
			f.enqueueIn(q, &f.returning)
		}
	}
	f.log("standalone mode left", "returning", f.returning.Len(), "staying", stay)
}

// assignLocally gives a query to the own module. fresh: it has just come.
func (f *Forwarder) assignLocally(q *request, fresh bool) {
	f.dequeue(q)
	f.startLocalPolicy()
	id := q.job.ID
	f.validator.Assign(id, validator.LocalEpoch)
	q.state, q.planner = stateLocal, nil
	if !q.knownLocally {
		q.knownLocally = true
		f.localRequests++
	}
	f.newlyLocal = append(f.newlyLocal, q)
	f.scheduleCheck(q)
	if fresh {
		f.notifyLocal(q.job)
		return
	}
	job := q.job
	job.Remaining = q.deadline - f.now
	f.pastAttempts = f.validator.AppendAttempts(f.now, id, f.pastAttempts[:0])
	var past []dispatch.PastAttempt
	for _, p := range f.pastAttempts {
		past = append(past, dispatch.PastAttempt{Worker: p.WorkerID, SentAgo: p.SentAgo, StartedAgo: p.StartedAgo, Ended: p.Ended, Result: p.Result})
	}
	f.notifyLocal(dispatch.JobResumed{Job: job, Age: f.now - q.arrivedAt, Attempts: past})
}

// reclaimFromLocal takes a query from the own module that has no attempt out.
func (f *Forwarder) reclaimFromLocal(q *request) {
	f.notifyLocal(dispatch.ClientDisconnected{Job: q.job.ID})
	f.validator.Unassign(q.job.ID)
	q.knownLocally, q.state = false, stateWaiting
	f.localRequests--
}

// notifyLocal keeps an event for the own module.
func (f *Forwarder) notifyLocal(e dispatch.Event) {
	if f.localPolicy != nil {
		f.localEvents = append(f.localEvents, e)
	}
}

// runLocalPolicy has the own module decide. What is refused of its orders it hears of, and may order something else.
func (f *Forwarder) runLocalPolicy() {
	for range maxPolicyIterations {
		due := f.localTimerAt > 0 && f.localTimerAt <= f.now
		if f.localPolicy == nil || len(f.localEvents) == 0 && !due {
			return
		}
		if due {
			f.localTimerAt = 0
			f.localEvents = append(f.localEvents, dispatch.TimerFired{})
		}
		f.localEvents, f.deliveredEvents = f.deliveredEvents[:0], f.localEvents
		adopted := len(f.newlyLocal)
		actions, ok := f.stepLocalPolicy()
		clear(f.deliveredEvents)
		if !ok {
			return
		}
		f.newlyLocal = append(f.newlyLocal[:0], f.newlyLocal[adopted:]...)
		f.isolatingSuspect = false
		for _, a := range actions {
			f.executeLocal(a)
		}
		clear(actions)
		f.localActions = actions[:0]
		if f.standaloneMode {
			f.placeWaiting()
		}
	}
}

// stepLocalPolicy steps the own module. Should it panic, a new one goes on with what it had, but for queries that came in this
// step: one of them may be why, as with a planner.
func (f *Forwarder) stepLocalPolicy() (actions []dispatch.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			stack, _, _ := strings.Cut(string(debug.Stack()), "created by")
			f.log("local policy panicked and is replaced", "panic", p,
				"stack", strings.Join(strings.Fields(stack[:min(len(stack), maxLoggedStack)]), " "))
			f.restartLocalPolicy()
		}
	}()
	return f.localPolicy.Step(f.now, f.deliveredEvents, f.localActions[:0]), true
}

func (f *Forwarder) restartLocalPolicy() {
	if f.stats.Panics++; f.now-f.lastPanicAt > time.Second {
		f.recentPanics = 0
	}
	f.recentPanics++
	f.lastPanicAt = f.now
	adopted := slices.Clone(f.newlyLocal)
	f.newlyLocal, f.isolatingSuspect = f.newlyLocal[:0], false
	f.localPolicy, f.localTimerAt, f.localEvents, f.localActions = nil, 0, f.localEvents[:0], nil
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		q := f.requests[id]
		if !q.knownLocally {
			continue
		}
		q.knownLocally = false
		f.localRequests--
		if q.state != stateLocal {
			continue
		}
		f.dequeue(q)
		f.validator.Unassign(id)
		q.state = stateWaiting
		switch {
		case f.recentPanics >= maxPanics:
			f.giveUp(q)
		case slices.Contains(adopted, q):
			f.recordFailure(q, nil)
		default:
			f.enqueue(q)
		}
	}
}

// executeLocal carries out what the own module wants. Its orders are held against the rules like any others.
func (f *Forwarder) executeLocal(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		f.sendLocal(a)
	case dispatch.Reject:
		f.respondLocal(a.Job, &message.RejectCommand{RequestID: a.Job}, action)
	case dispatch.Fail:
		f.respondLocal(a.Job, &message.FailCommand{RequestID: a.Job}, action)
	case dispatch.Cancel:
		m := &message.CancelCommand{RequestID: a.Job, Attempt: a.Attempt}
		if f.validator.Validate(f.now, validator.LocalEpoch, m) == message.ReasonNone {
			a.Attempt, _ = f.validator.AttemptIndex(a.Job, a.Attempt)
			f.emit(a)
		}
	case dispatch.HealthCheck:
		m := &message.HealthCheckCommand{WorkerID: a.Worker}
		if f.validator.Validate(f.now, validator.LocalEpoch, m) != message.ReasonNone || !f.healthCheck(a.Worker, validator.LocalEpoch) {
			f.notifyLocal(dispatch.HealthChecked{Worker: a.Worker, Result: dispatch.NotSent})
		}
	case dispatch.SetTimer:
		if at := f.now + max(a.After, 1); f.localTimerAt == 0 || at < f.localTimerAt {
			f.localTimerAt = at
		}
	case dispatch.Subscribe: // the watch is the forwarder's, whoever decides
	default: // FreeLinks, Log
		f.emit(action)
	}
}

func (f *Forwarder) sendLocal(a dispatch.Send) {
	q := f.requests[a.Job]
	if q == nil || q.state != stateLocal {
		return // its end, or that it is a planner's, is on the way to the module
	}
	m := &message.SendCommand{RequestID: a.Job, Attempt: f.validator.NextCommandNumber(a.Job), WorkerID: a.Worker}
	if f.validator.Validate(f.now, validator.LocalEpoch, m) == message.ReasonNone {
		f.sendAttempt(q, a.Worker, a.AttemptTimeout)
		return
	}
	f.notifyLocal(dispatch.Outcome{Job: a.Job, Attempt: m.Attempt, Worker: a.Worker, Result: dispatch.NotSent})
}

// respondLocal has the local policy's command to reject or fail a request executed, if it is valid.
func (f *Forwarder) respondLocal(id uint64, command message.Command, action dispatch.Action) {
	q := f.requests[id]
	reason := f.validator.Validate(f.now, validator.LocalEpoch, command)
	switch {
	case q == nil || q.state != stateLocal:
		return
	case reason == message.ReasonUnsafeRejection:
		action = dispatch.Fail{Job: id}
	case reason != message.ReasonNone:
		return
	}
	f.respond(action)
	f.closeRequest(q, false)
}
