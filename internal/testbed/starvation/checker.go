package starvation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Rule is the name under which a hunt keeps a run with starvation.
const Rule = "starvation"

const (
	idleWindow         = time.Second            // held, and idle, for so long
	scanInterval       = 100 * time.Millisecond // what has waited is looked at
	healthyAfter       = 10 * time.Second       // of nothing wrong
	startupWindow      = 2 * time.Second        // of a process, and from being told of a start
	dialWindow         = 1300 * time.Millisecond
	notificationWindow = 250 * time.Millisecond // a start is told within, or its worker is unwell
	windowShare        = 0.9                    // of a keyed job's window
	crowdedShare       = 0.9                    // of the requests that a scheduler has descriptors for
	maxFindings        = 16
	maxTracked         = 64 // idle workers looked at for one try, beside those that there have to be
	newClassEnds       = 30 // runs that a process needs to know a class by
	driftFactor        = 2  // a factor that hints are off by, and that speeds may take up for sizes: runs show but their quotient
	reserveRatio       = 20 // one worker in so many is few
)

// Verdict is what a watcher has found.
type Verdict struct {
	Requests   int       `json:"tries"`   // that running schedulers took
	Queued     int       `json:"held"`    // of them, starved while held
	QueuedLong int       `json:"whole"`   // starved with a worker idle that had nothing to do at all
	Rejected   int       `json:"refused"` // and by being refused
	Excused    int       `json:"excused"` // refused with a worker idle, and excused
	Findings   []Finding `json:"cases,omitempty"`
}

// Count is how many tries were.
func (v *Verdict) Count() int { return v.Queued + v.Rejected }

// Finding is a try that was starved; the first of them are told.
type Finding struct {
	At        time.Duration `json:"at_ns"`
	JobID     uint64        `json:"job"`
	RequestID string        `json:"call"`
	Class     string        `json:"class"`
	Scheduler int           `json:"sched"`
	Worker    int           `json:"node"` // that was idle
	Rejected  bool          `json:"refused"`
	Text      string        `json:"text"`
}

// Checker keeps the books of one run. It is used by one goroutine.
type Checker struct {
	spec         *scenario.Scenario
	classes      []class
	kinds        []workerKind
	maxSpeed     float64
	omitsStarts  bool // some workers tell no starts, so that schedulers are told to count on none
	clientsCut   []interval
	attemptLimit int // tries that a scheduler holds at most
	// A try that nothing was seen of for a second may have been on its way by so many connections that did not come up.
	dialsPerWindow int
	now            time.Duration
	nextScan       time.Duration // the next look at what has waited
	jobs           map[uint64]*job
	requests       map[string]*request
	workers        []worker
	schedulers     []scheduler
	running        int                       // of them, are up
	idleWorkers    [][slotBuckets][]int32    // by kind: workers idle for a second
	oldRequests    [][slotBuckets][]*request // by kind and one more, 0 being any: tries held for a second
	maturing       ringQueue[pendingIdle]    // workers idle, and tries held, for less
	started        ringQueue[startedAttempt]
	recovering     deadline.Queue[*worker]
	dials          ringQueue[dial]
	dialed         map[uint64]bool
	verdict        Verdict
}

// interval is a time in which clients and schedulers may be cut off from each other.
type interval struct{ start, end time.Duration }

// New returns a watcher of a run of a checked scenario.
func New(spec *scenario.Scenario) *Checker {
	checker := &Checker{
		spec: spec, jobs: map[uint64]*job{}, requests: map[string]*request{}, dialed: map[uint64]bool{},
		workers: make([]worker, spec.Fleet.Workers), schedulers: make([]scheduler, max(1, spec.Schedulers.Count)),
		idleWorkers: make([][slotBuckets][]int32, len(spec.Fleet.Kinds)), oldRequests: make([][slotBuckets][]*request, len(spec.Fleet.Kinds)+1),
	}
	for i := range spec.Fleet.Kinds {
		k := &spec.Fleet.Kinds[i]
		most := k.Speed * math.Sqrt(3) * k.Spread // that a node of it is slower or faster
		checker.kinds = append(checker.kinds, workerKind{warmUp: k.WarmUp.Std(), omitsStarts: k.OmitsStartNotifications, minSpeed: max(0.1*k.Speed, k.Speed-most)})
		checker.maxSpeed = max(checker.maxSpeed, k.Speed+most)
		checker.omitsStarts = checker.omitsStarts || k.OmitsStartNotifications
	}
	for i := range spec.Classes {
		c := &spec.Classes[i]
		checker.classes = append(checker.classes, class{
			nonIdempotent: c.Idempotency == "unsafe", idempotentWithKey: c.Idempotency == "keyed", scope: c.DeduplicationScope,
			window: c.DeduplicationWindow.Std(), objectiveStretch: c.ObjectiveStretch, kind: slices.IndexFunc(spec.Fleet.Kinds,
				func(k scenario.WorkerKind) bool { return c.Kind != "" && k.Name == c.Kind }),
		})
	}
	for i := range checker.schedulers {
		checker.schedulers[i].classEnds = make([]int, len(spec.Classes))
	}
	cells, zones := workerPlacement(spec)
	for i := range checker.workers {
		checker.workers[i].number, checker.workers[i].cell, checker.workers[i].zone = i, cells[i], zones[i]
	}
	for i := range spec.Faults {
		f := &spec.Faults[i]
		if scenario.FaultKinds[f.Kind] != "net" || f.Between != "clients" && f.And != "clients" {
			continue
		}
		h := interval{f.At.Std(), math.MaxInt64}
		if f.Duration > 0 {
			h.end = f.At.Std() + f.Duration.Std() + idleWindow
		}
		checker.clientsCut = append(checker.clientsCut, h)
	}
	const own = 24 // descriptors of a process beside its connections, of which a sixth are for workers
	links := max(0, spec.Schedulers.Sockets-own)
	links -= max(8, links/6)
	checker.dialsPerWindow = max(1, int(idleWindow/max(spec.Schedulers.ConnTimeout.Std(), 1))-1)
	checker.attemptLimit = int(crowdedShare * float64(links-max(8, links/10)))
	return checker
}

// Observe takes in a trace event. Trace events come in order of time.
func (w *Checker) Observe(s *trace.Event) {
	for w.nextScan <= s.At {
		w.now = w.nextScan
		w.scanRequests()
		w.nextScan += scanInterval
	}
	w.now = s.At
	w.recoverWorkers()
	switch s.Kind {
	case trace.JobDue:
		if s.Class >= 0 && s.Class < len(w.classes) {
			w.jobs[s.JobID] = &job{
				class: s.Class, bucket: slotBucket(s.Slots), slots: max(1, s.Slots), work: s.Work,
				objective: s.At + s.LatencyObjective, deadline: s.At + s.Deadline,
			}
		}
	case trace.JobSettled:
		delete(w.jobs, s.JobID)
	case trace.RequestSent:
		w.requestSent(s)
	case trace.ResponseReceived, trace.ConnectionLost, trace.ClientLeft, trace.ClientTimedOut:
		w.requestEnded(s)
	case trace.AttemptSent:
		w.attemptSent(s)
	case trace.AttemptReceived:
		if _, a := w.findAttempt(s, func(a *attempt) bool { return a.abandoned && !a.reached }); a != nil {
			a.reached, a.endedAt = true, s.At
		}
	case trace.AttemptRejected, trace.AttemptReturned:
		w.markUnhealthy(s.Worker)
		if t, a := w.findAttempt(s, (*attempt).occupiesWorker); a != nil {
			a.notExecuted = true
			w.endAttempt(t, a, s.Kind == trace.AttemptRejected, true) // of what is handed back, a callback tells
		}
	case trace.AttemptStarted:
		if t, a := w.findAttempt(s, (*attempt).occupiesWorker); a != nil && s.Text == "" && !w.kinds[w.workers[s.Worker].kind].omitsStarts {
			w.started.push(startedAttempt{s.At, t, slices.IndexFunc(t.attempts, func(x attempt) bool { return x == *a })})
		}
	case trace.AttemptFinished:
		w.attemptFinished(s)
	case trace.AttemptDied:
		w.markUnhealthy(s.Worker)
		if t, a := w.findAttempt(s, (*attempt).occupiesWorker); a != nil {
			w.endAttempt(t, a, false, true)
		}
	case trace.AttemptCancelled:
		if t, a := w.findAttempt(s, func(a *attempt) bool { return a.inFlight }); a != nil && s.Text != "forgotten" {
			w.endAttempt(t, a, true, a.finished)
		}
	case trace.AttemptUnread:
		w.markUnhealthy(s.Worker)
		if t, a := w.findAttempt(s, func(a *attempt) bool { return a.abandoned && !a.reached }); a != nil {
			w.endAttempt(t, a, true, true)
		}
	case trace.CallbackAnswered:
		w.callbackAnswered(s)
	case trace.CallbackLost:
		w.markUnhealthy(s.Worker)
		if t, a := w.findAttempt(s, (*attempt).occupiesWorker); a != nil && isFinalState(s.Text) {
			w.endAttempt(t, a, false, true)
		}
	case trace.WorkerDialed:
		w.dialed[s.Conn] = true
		w.schedulers[s.Scheduler].dials++
		w.dials.push(dial{s.At, s.Conn, s.Scheduler, s.Worker})
	case trace.WorkerConnected:
		if w.dialed[s.Conn] {
			delete(w.dialed, s.Conn)
			c := &w.schedulers[s.Scheduler]
			c.dials--
			c.unconfirmed = min(c.unconfirmed, c.dials)
		}
	case trace.WorkerFaultStarted, trace.WorkerFaultEnded, trace.WorkerPresent, trace.WorkerStarted, trace.WorkerStopped, trace.WorkerDraining, trace.WorkerHung, trace.WorkerRecovered,
		trace.WorkerOverloaded:
		w.workerEvent(s)
	case trace.DrainNotified, trace.StartNotified:
		w.schedulerNotified(s)
	case trace.SchedulerStarted, trace.SchedulerTerminated, trace.SchedulerKilled, trace.SchedulerExited, trace.SchedulerFrozen, trace.SchedulerResumed:
		w.schedulerEvent(s)
	}
}

// Verdict tells what was found so far.
func (w *Checker) Verdict() Verdict {
	v := w.verdict
	v.Findings = slices.Clone(v.Findings)
	return v
}

// ---- Tries and their attempts ----

func (w *Checker) requestSent(event *trace.Event) {
	t := w.requests[event.RequestID]
	if t == nil {
		j := w.jobs[event.JobID]
		if j == nil {
			return
		}
		t = &request{job: j, number: event.JobID, id: event.RequestID, oldIndex: -1, scheduler: -1}
		w.verdict.Requests++
	} else { // it crossed a close, so nothing became of it
		w.removeFromQueue(t)
		w.detachAttempts(t)
	}
	w.requests[event.RequestID] = t
	t.sentAt, t.open, t.scheduler = event.At, true, event.Scheduler
	c := &w.schedulers[event.Scheduler]
	t.index = len(c.requests)
	c.requests = append(c.requests, t)
	if c.open++; t.inFlight == 0 {
		w.startWaiting(t)
	}
}

// startWaiting has a try wait from now on.
func (w *Checker) startWaiting(t *request) {
	t.heldSince = w.now
	w.schedulers[t.scheduler].queued[t.job.bucket]++
	w.maturing.push(pendingIdle{since: w.now, request: t})
}

// stopWaiting is the end of that.
func (w *Checker) stopWaiting(t *request) {
	w.schedulers[t.scheduler].queued[t.job.bucket]--
	w.restartWait(t)
}

// restartWait takes a try out of those that have waited for a second, if it is there.
func (w *Checker) restartWait(t *request) {
	if t.oldIndex < 0 {
		return
	}
	set := &w.oldRequests[w.classes[t.job.class].kind+1][t.job.bucket]
	last := (*set)[len(*set)-1]
	(*set)[t.oldIndex], last.oldIndex = last, t.oldIndex
	(*set)[len(*set)-1] = nil
	*set = (*set)[:len(*set)-1]
	t.oldIndex = -1
	w.schedulers[t.scheduler].oldCount--
}

// removeFromQueue is the end of a try for its client, or the change to another scheduler.
func (w *Checker) removeFromQueue(t *request) {
	if !t.open {
		return
	}
	if t.inFlight == 0 {
		w.stopWaiting(t)
	}
	t.open = false
	w.schedulers[t.scheduler].open--
	w.forgetRequest(t)
}

// forgetRequest drops a try of which nothing is left.
func (w *Checker) forgetRequest(t *request) {
	if !t.open && t.undecided == 0 {
		w.detachAttempts(t)
	}
}

func (w *Checker) detachAttempts(t *request) {
	if t.scheduler < 0 {
		return
	}
	c := &w.schedulers[t.scheduler]
	last := c.requests[len(c.requests)-1]
	c.requests[t.index], last.index = last, t.index
	c.requests[len(c.requests)-1] = nil
	c.requests = c.requests[:len(c.requests)-1]
	delete(w.requests, t.id)
	t.scheduler = -1
}

func (w *Checker) requestEnded(s *trace.Event) {
	t := w.requests[s.RequestID]
	if t == nil || !t.open {
		return
	}
	if s.Kind == trace.ResponseReceived && (s.Status == 429 || s.Status == 503) && t.inFlight == 0 && !t.reported {
		w.requestRejected(t)
	}
	w.removeFromQueue(t)
}

func (w *Checker) attemptSent(event *trace.Event) {
	t := w.requests[event.RequestID]
	if t == nil || event.Worker < 0 || event.Worker >= len(w.workers) {
		return
	}
	if t.isQueued() {
		w.stopWaiting(t)
	}
	t.attempts = append(t.attempts, attempt{worker: event.Worker, sentAt: event.At, inFlight: true, abandoned: true})
	t.inFlight++
	t.undecided++
	w.addUse(&w.workers[event.Worker], t.job.slots)
}

func (a *attempt) occupiesWorker() bool { return a.abandoned }

// findAttempt finds the try of a trace event and its first attempt at that node that is as asked for.
func (w *Checker) findAttempt(s *trace.Event, is func(a *attempt) bool) (*request, *attempt) {
	t := w.requests[s.RequestID]
	if t == nil {
		return nil, nil
	}
	for i := range t.attempts {
		if a := &t.attempts[i]; a.worker == s.Worker && is(a) {
			return t, a
		}
	}
	return t, nil
}

// endAttempt ends an attempt for its scheduler, at its worker, or both.
func (w *Checker) endAttempt(t *request, a *attempt, sched, node bool) {
	if node && a.abandoned {
		a.abandoned = false
		t.undecided--
		w.addUse(&w.workers[a.worker], -t.job.slots)
	}
	if sched && a.inFlight {
		a.inFlight = false
		if t.inFlight--; t.isQueued() {
			w.startWaiting(t)
		}
	}
	w.forgetRequest(t)
}

func (w *Checker) attemptFinished(s *trace.Event) {
	if s.Status != 200 {
		w.markUnhealthy(s.Worker)
	}
	t, a := w.findAttempt(s, (*attempt).occupiesWorker)
	if a == nil {
		return
	}
	a.finished = true
	// An error at the door is answered, and not told; what nobody waits for any more is over with its end.
	if door := s.Status != 200 && a.endedAt == s.At; door || !a.inFlight {
		w.endAttempt(t, a, door, true)
	}
}

// isFinalState tells whether a callback says that an attempt has ended.
func isFinalState(state string) bool { return state != "started" && state != "running" }

func (w *Checker) callbackAnswered(event *trace.Event) {
	if event.Number > 1 {
		w.markUnhealthy(event.Worker)
	}
	if !isFinalState(event.Text) {
		if _, a := w.findAttempt(event, (*attempt).occupiesWorker); a != nil {
			a.endKnown = true
		}
		return
	}
	if event.Text != "done" {
		w.markUnhealthy(event.Worker)
	}
	if t, a := w.findAttempt(event, func(a *attempt) bool { return a.inFlight || a.abandoned }); a != nil {
		if a.inFlight && event.Text == "done" {
			w.schedulers[event.Scheduler].classEnds[t.job.class]++
		}
		w.endAttempt(t, a, true, true)
	}
}

// ---- Workers ----

// addUse takes slots of a worker, or gives them back.
func (w *Checker) addUse(n *worker, slots float64) {
	n.usedSlots += slots
	w.updateIdle(n)
}

// markUnhealthy callbacks that something is wrong with a worker.
func (w *Checker) markUnhealthy(i int) {
	if i < 0 || i >= len(w.workers) {
		return
	}
	n := &w.workers[i]
	w.setUnhealthyUntil(n, w.now+healthyAfter)
}

func (w *Checker) setUnhealthyUntil(n *worker, at time.Duration) {
	if at <= n.healthySince {
		return
	}
	w.recovering.Remove(n)
	n.healthySince, n.At = at, at
	w.recovering.Add(n)
	w.updateIdle(n)
}

// updateIdle finds for which needs a worker is idle, and since when.
func (w *Checker) updateIdle(n *worker) {
	level := 0
	if n.up && n.faults == 0 && n.healthySince <= w.now {
		for free := n.slots - n.usedSlots; level < slotBuckets && free >= float64(int(1)<<level); {
			level++
		}
	}
	for ; n.bucket < level; n.bucket++ {
		n.idleSince[n.bucket] = w.now
		w.maturing.push(pendingIdle{since: w.now, worker: n.number, bucket: n.bucket})
	}
	for n.bucket > level {
		n.bucket--
		w.removeIdle(n, n.bucket)
	}
}

// removeIdle takes a worker out of a set of the idle, if it is there.
func (w *Checker) removeIdle(n *worker, bucket int) {
	at := n.idleIndex[bucket] - 1
	if at < 0 {
		return
	}
	set := &w.idleWorkers[n.kind][bucket]
	last := (*set)[len(*set)-1]
	(*set)[at] = last
	w.workers[last].idleIndex[bucket] = at + 1
	*set = (*set)[:len(*set)-1]
	n.idleIndex[bucket] = 0
}

func (w *Checker) workerEvent(event *trace.Event) {
	if event.Worker < 0 || event.Worker >= len(w.workers) {
		return
	}
	n := &w.workers[event.Worker]
	switch event.Kind {
	case trace.WorkerFaultStarted:
		n.faults++
	case trace.WorkerFaultEnded:
		n.faults = max(0, n.faults-1)
		w.markUnhealthy(event.Worker)
	case trace.WorkerPresent, trace.WorkerStarted:
		n.up = false
		w.updateIdle(n)
		kind := slices.IndexFunc(w.spec.Fleet.Kinds, func(k scenario.WorkerKind) bool { return k.Name == event.Text })
		if kind < 0 {
			return
		}
		n.up, n.incarnation, n.slots, n.kind = true, event.Incarnation, event.Slots, kind
		if event.Kind == trace.WorkerStarted {
			w.setUnhealthyUntil(n, event.At+max(healthyAfter, w.kinds[kind].warmUp))
		}
	case trace.WorkerStopped, trace.WorkerDraining, trace.WorkerOverloaded:
		n.up = false
	case trace.WorkerHung, trace.WorkerRecovered:
		w.markUnhealthy(event.Worker)
	}
	w.updateIdle(n)
}

// ---- Schedulers ----

func (w *Checker) schedulerNotified(s *trace.Event) {
	c := &w.schedulers[s.Scheduler]
	if c.known == nil {
		c.known = make([]knowledge, len(w.workers))
	}
	k := &c.known[s.Worker]
	if k.knownAt, k.drained = s.At, s.Kind == trace.DrainNotified; !k.drained {
		k.incarnation = s.Incarnation
	}
}

// knowsWorker tells whether a scheduler has long enough known a worker's process.
func (c *scheduler) knowsWorker(n *worker, now time.Duration) bool {
	if c.known == nil {
		return n.incarnation <= 1
	}
	k := &c.known[n.number]
	return !k.drained && max(k.incarnation, 1) >= n.incarnation && (k.knownAt == 0 || now-k.knownAt >= startupWindow)
}

func (w *Checker) schedulerEvent(event *trace.Event) {
	scheduler := &w.schedulers[event.Scheduler]
	switch event.Kind {
	case trace.SchedulerStarted:
		if !scheduler.up {
			w.running++
		}
		scheduler.up, scheduler.frozen, scheduler.ending, scheduler.startedAt, scheduler.resumedAt = true, false, false, event.At, 0
		clear(scheduler.known)
		clear(scheduler.classEnds)
	case trace.SchedulerTerminated:
		scheduler.ending = true
	case trace.SchedulerFrozen:
		scheduler.frozen = true
	case trace.SchedulerResumed:
		scheduler.frozen, scheduler.resumedAt = false, event.At
	case trace.SchedulerKilled, trace.SchedulerExited:
		if scheduler.up {
			w.running--
		}
		scheduler.up = false
		// Nobody is told of its attempts any more; those that no worker has read never come.
		for i := len(scheduler.requests) - 1; i >= 0; i-- { // what is forgotten gives its place to a later one
			t := scheduler.requests[i]
			for k := range t.attempts {
				if a := &t.attempts[k]; a.inFlight || a.abandoned {
					w.endAttempt(t, a, true, a.finished || !a.reached)
				}
			}
		}
	}
}

// isAble tells whether a scheduler is answerable for what has waited since then.
func (w *Checker) isAble(c *scheduler, since time.Duration) bool {
	return c.up && !c.frozen && !c.ending && w.now-max(since, c.startedAt+startupWindow, c.resumedAt) >= idleWindow
}

// ---- What is starved ----

// recoverWorkers has workers be well whose time has come.
func (w *Checker) recoverWorkers() {
	for w.recovering.Len() > 0 && w.recovering.First().At <= w.now {
		n := w.recovering.First()
		w.recovering.Remove(n)
		now := w.now
		w.now = n.At // idle since then
		w.updateIdle(n)
		w.now = now
	}
}

// ageWorkers moves on what has been so for a second.
func (w *Checker) ageWorkers() {
	for w.started.size > 0 && w.now-w.started.first().at >= notificationWindow {
		x := *w.started.first()
		w.started.pop()
		if a := &x.request.attempts[x.attempt]; !a.endKnown && a.abandoned {
			w.markUnhealthy(a.worker)
		}
	}
	for w.dials.size > 0 && w.now-w.dials.first().dialedAt >= dialWindow {
		d := *w.dials.first()
		w.dials.pop()
		if w.dialed[d.conn] {
			delete(w.dialed, d.conn)
			c := &w.schedulers[d.scheduler]
			c.dials--
			c.unconfirmed = min(c.unconfirmed, c.dials)
			w.markUnhealthy(d.worker)
		}
	}
	for w.maturing.size > 0 && w.now-w.maturing.first().since >= idleWindow {
		pendingIdle := *w.maturing.first()
		w.maturing.pop()
		if t := pendingIdle.request; t != nil {
			if t.isQueued() && t.heldSince == pendingIdle.since && t.oldIndex < 0 && !t.reported {
				set := &w.oldRequests[w.classes[t.job.class].kind+1][t.job.bucket]
				t.oldIndex = len(*set)
				*set = append(*set, t)
				w.schedulers[t.scheduler].oldCount++
			}
			continue
		}
		if n := &w.workers[pendingIdle.worker]; n.bucket > pendingIdle.bucket && n.idleSince[pendingIdle.bucket] == pendingIdle.since && n.idleIndex[pendingIdle.bucket] == 0 {
			set := &w.idleWorkers[n.kind][pendingIdle.bucket]
			*set = append(*set, int32(n.number))
			n.idleIndex[pendingIdle.bucket] = len(*set)
		}
	}
}

// scanRequests looks at what has been held for a second.
func (w *Checker) scanRequests() {
	w.recoverWorkers()
	w.ageWorkers()
	for k := range w.oldRequests {
		for b := range w.oldRequests[k] {
			set := &w.oldRequests[k][b]
			if len(*set) == 0 || !w.anyIdle(k-1, b) {
				continue
			}
			for i := len(*set) - 1; i >= 0; i-- {
				t := (*set)[i]
				c := &w.schedulers[t.scheduler]
				if !w.isAble(c, t.heldSince) || c.dials >= w.dialsPerWindow*c.oldCount || w.isClientCut(t.heldSince) {
					continue
				}
				if n := w.findIdleWorker(t, c, t.heldSince, false); n != nil {
					w.verdict.Queued++
					w.addFinding(t, n, false)
				}
			}
		}
	}
}

func (w *Checker) requestRejected(t *request) {
	w.ageWorkers()
	scheduler := &w.schedulers[t.scheduler]
	if !w.anyIdle(w.classes[t.job.class].kind, t.job.bucket) {
		return
	}
	n := w.findIdleWorker(t, scheduler, max(t.heldSince, w.now-idleWindow), true)
	switch {
	case n == nil:
	case !scheduler.up || scheduler.frozen || scheduler.ending || w.now-scheduler.startedAt < startupWindow || w.now-scheduler.resumedAt < idleWindow && scheduler.resumedAt > 0,
		scheduler.open >= w.attemptLimit, len(t.attempts)+scheduler.dials >= w.spec.Schedulers.AttemptLimit, w.isClientCut(t.sentAt):
		w.verdict.Excused++
	case scheduler.unconfirmed < scheduler.dials:
		scheduler.unconfirmed++
		w.verdict.Excused++
	default:
		w.verdict.Rejected++
		w.addFinding(t, n, true)
	}
}

// isClientCut tells whether clients may have been cut off from schedulers at any time since then.
func (w *Checker) isClientCut(since time.Duration) bool {
	return slices.ContainsFunc(w.clientsCut, func(h interval) bool { return h.start <= w.now && since <= h.end })
}

// anyIdle tells whether a worker of a kind (-1: of any) is idle for a need.
func (w *Checker) anyIdle(kind, bucket int) bool {
	for k := range w.idleWorkers {
		if (kind < 0 || kind == k) && len(w.idleWorkers[k][bucket]) > 0 {
			return true
		}
	}
	return false
}

// findIdleWorker finds a worker that was plainly idle for a try, begun at from at the soonest.
func (w *Checker) findIdleWorker(t *request, c *scheduler, from time.Duration, refused bool) *worker {
	// One is as good as none where several schedulers share workers and see nothing of each other's jobs there.
	more := 0
	if w.running > 1 {
		more = len(w.workers) / reserveRatio
	}
	for b := t.job.bucket + 1; b < slotBuckets; b++ {
		if c.queued[b] > 0 {
			more++ // one is kept for a larger job
			break
		}
	}
	class, looks := &w.classes[t.job.class], 0
	hopeful := from+durationOf(t.job.work/w.maxSpeed) <= t.job.objective
	low, high := w.estimateRange(c, t.job)
	for k := range w.idleWorkers {
		if class.kind >= 0 && class.kind != k {
			continue
		}
		run := durationOf(t.job.work / w.kinds[k].minSpeed)
		if late := from+run > t.job.objective; late && (refused || hopeful) ||
			refused && from+durationOf(low*t.job.work/w.kinds[k].minSpeed) > t.job.objective-durationOf((1-low)*class.objectiveStretch*t.job.work) ||
			from+durationOf(high*t.job.work/w.kinds[k].minSpeed) > t.job.deadline {
			continue // too slow: it is refused in reason, or waits for a faster one
		}
		for _, i := range w.idleWorkers[k][t.job.bucket] {
			n := &w.workers[i]
			if looks++; looks > maxTracked+more {
				return nil
			}
			if !c.knowsWorker(n, w.now) || !w.isAllowed(t, n) || w.omitsStarts && n.usedSlots > 0 {
				continue
			}
			if more--; more < 0 {
				return n
			}
		}
	}
	return nil
}

// estimateRange is the least and the most that a scheduler may in reason take a job's work for, as hints are, as parts of
// it. Where they are low its objective looks nearer than it is, where they are high as if it could not be done at all.
func (w *Checker) estimateRange(c *scheduler, j *job) (low, high float64) {
	switch l := &w.spec.Load; l.Hints {
	case "rough":
		err := math.Exp(2 * l.HintFactor)
		return 1 / err, err
	case "none":
		mean := w.spec.Classes[j.class].Work.Std().Seconds() / max(j.work, 1e-9)
		return min(1, mean/2), max(1, 2*mean)
	case "wrong":
		low, high = min(1, l.HintFactor), max(1, l.HintFactor)
		if c.classEnds[j.class] >= newClassEnds {
			low, high = max(low, 1/driftFactor), min(high, driftFactor)
		}
		return low, high
	}
	return 1, 1
}

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// isAllowed tells whether a try's attempts allow another one at a worker.
func (w *Checker) isAllowed(t *request, n *worker) bool {
	if len(t.attempts) >= w.spec.Schedulers.AttemptLimit {
		return false
	}
	class := &w.classes[t.job.class]
	for i := range t.attempts {
		a := &t.attempts[i]
		switch at := &w.workers[a.worker]; {
		case a.notExecuted || !class.nonIdempotent && !class.idempotentWithKey:
		case class.nonIdempotent, float64(w.now-a.sentAt) >= windowShare*float64(class.window),
			class.scope == "zone" && at.zone != n.zone, class.scope == "cell" && at.cell != n.cell:
			return false
		}
	}
	return true
}

func (w *Checker) addFinding(t *request, n *worker, refused bool) {
	t.reported = true
	w.restartWait(t)
	if n.usedSlots == 0 {
		w.verdict.QueuedLong++
	}
	if len(w.verdict.Findings) >= maxFindings {
		return
	}
	what := "held"
	if refused {
		what = "refused"
	}
	class := w.spec.Classes[t.job.class].Name
	w.verdict.Findings = append(w.verdict.Findings, Finding{
		At: w.now, JobID: t.number, RequestID: t.id, Class: class, Scheduler: t.scheduler, Worker: n.number,
		Rejected: refused, Text: fmt.Sprintf("try %s of job %d (%s, %g slots) was %s by scheduler %d after %.2f s without "+
			"an attempt out, its %d so far ended, while w-%d had %g of %g slots free for %.1f s", t.id, t.number, class,
			t.job.slots, what, t.scheduler, (w.now - t.heldSince).Seconds(), len(t.attempts), n.number, n.slots-n.usedSlots, n.slots,
			(w.now - n.idleSince[t.job.bucket]).Seconds()),
	})
}

// String is the verdict in a few words.
func (v *Verdict) String() string {
	if v.Count() == 0 {
		return "no try starved"
	}
	return fmt.Sprintf("%d of %d tries starved: %d held, %d refused; for %d of them a worker node had nothing to do",
		v.Count(), v.Requests, v.Queued, v.Rejected, v.QueuedLong)
}
