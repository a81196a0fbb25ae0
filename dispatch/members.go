package dispatch

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// What is here keeps the books that decisions go by: members and their places, attempts, alarms, and how late we are.

// New returns a dispatcher that knows nothing but its settings.
func New(set Settings, seed uint64) *Dispatcher {
	src := rand.NewPCG(seed, 0)
	d := &Dispatcher{settings: set, rng: rand.New(src), source: src, jobs: map[uint64]*jobInfo{},
		workers: map[uint64]*workerInfo{}, kinds: map[int]*machineInfo{}, cordoned: map[uint64]time.Duration{},
		zoneBusy: map[int]float64{}, keyWork: map[uint64]float64{}, spread: initialSpread}
	d.initIndexes()
	d.hedgeTokens = d.maxHedgeTokens()
	aims := 0.0
	for _, c := range set.Classes {
		aims += c.LatencyObjective.Seconds() / float64(len(set.Classes))
		d.sizeCorrection = append(d.sizeCorrection, [4]float64{})
		d.overrunFactor = append(d.overrunFactor, 1)
		d.meanWeight += c.PriorityWeight / float64(len(set.Classes))
	}
	d.muShort, d.longCut = max(aims, 1e-3), math.Log(max(aims, 1e-3))
	d.meanLateStart = seconds(aims / silenceFactor)
	d.fullTimeout = make([]time.Duration, len(set.Classes))
	d.weights = make([]float64, len(set.Classes)+2)
	d.weights[len(set.Classes)] = 1 // prior: the chance of running long rises with the hint
	d.minStartDelay = max(set.ConnectTimeout/promptPart, time.Millisecond)
	d.minCheckDelay = d.minStartDelay
	d.quotaTokens, d.quotaRefilledAt = slices.Clone(set.TenantQuota), make([]time.Duration, len(set.TenantQuota))
	d.setTimer(&d.maintenance, 0)
	return d
}

// setTimer sets one to go off at an instant, in place of when it would have.
func (d *Dispatcher) setTimer(a *timer, at time.Duration) {
	if a.at = max(at, d.now+1); a.heapIndex > 0 {
		d.timers.fix(a.heapIndex - 1)
	} else {
		d.timers.push(a)
	}
}

func (d *Dispatcher) cancelTimer(a *timer) {
	if a.heapIndex > 0 {
		d.timers.remove(a.heapIndex - 1)
	}
}

func (d *Dispatcher) markDirty(w *workerInfo) {
	if !w.dirty {
		w.dirty = true
		d.dirty = append(d.dirty, w)
	}
}

func (d *Dispatcher) forgetWorker(w *workerInfo) {
	if w.listed || len(w.inFlight)+w.orphans > 0 || d.workers[w.ID] != w {
		return
	}
	delete(d.workers, w.ID)
	d.available.drop(w)
	d.cancelTimer(&w.timer)
	last := d.workerList[len(d.workerList)-1]
	d.workerList[w.position], last.position = last, w.position
	d.workerList[len(d.workerList)-1] = nil
	d.workerList = d.workerList[:len(d.workerList)-1]
}

func (d *Dispatcher) closeJob(j *jobInfo) {
	if j == nil {
		return
	}
	d.dequeue(j)
	d.cancelTimer(&j.deadlineTimer)
	d.cancelTimer(&j.objectiveTimer)
	d.cancelTimer(&j.checksTimer)
	if j.closed = true; j.inFlight == 0 {
		delete(d.jobs, j.ID)
	}
}

func (d *Dispatcher) dequeue(j *jobInfo) {
	if j.heapIndex >= 0 {
		d.queue.shapes[j.shape].byScore.remove(j.heapIndex)
		d.queue.length--
	}
}

// addAttempt enters an attempt that is out with its job and its worker.
func (d *Dispatcher) addAttempt(a *attemptInfo) {
	j, w := a.job, a.worker
	j.attempts = append(j.attempts, a)
	j.inFlight++
	w.inFlight = append(w.inFlight, a)
	w.usedSlots += j.demand
	d.usedSlots += j.demand
}

// findInFlight returns an attempt that is still out; an event about any other is void.
func (d *Dispatcher) findInFlight(id uint64, number int, at uint64) *attemptInfo {
	if j := d.jobs[id]; j != nil && number >= 0 && number < len(j.attempts) {
		if a := j.attempts[number]; !a.ended && a.worker.ID == at {
			return a
		}
	}
	return nil
}

func (d *Dispatcher) machineKind(i int) *machineInfo {
	if d.kinds[i] == nil {
		d.kinds[i] = &machineInfo{}
	}
	return d.kinds[i]
}

// measureStall measures how late this process is for its own timer. What it times meanwhile says nothing of workers.
func (d *Dispatcher) measureStall() {
	if late := d.now - d.timerAt; d.timerAt > 0 && late > minStall {
		d.stalledAt, d.stallLength = d.now, late
	}
}

// spansStall tells whether we ourselves were late while an attempt was out.
func (d *Dispatcher) spansStall(a *attemptInfo) bool {
	return a.sentAt < d.stalledAt && d.stalledAt > 0
}

// mayBeDropped tells whether its worker may drop an attempt as a repeat: it is told no start then, and waits for another's run.
func (a *attemptInfo) mayBeDropped() bool {
	return a.job.class.Idempotency == IdempotentWithKey && slices.ContainsFunc(a.job.attempts[:a.number], (*attemptInfo).possiblyExecuted)
}

// countLateAttempts counts those that wait; a wide one is one, as it waits more often than others.
func (d *Dispatcher) countLateAttempts() {
	d.unstarted.update(d.now, func(class int) time.Duration { return d.promptStartOf(&d.settings.Classes[class]) },
		func(a *attemptInfo) bool {
			return a.started || a.ended || d.now-a.sentAt >= silenceFactor*d.meanLateStart
		})
	d.lateCount = 0
	for _, a := range d.unstarted.late {
		if a.job.heapIndex < 0 && !a.job.closed && a.number == len(a.job.attempts)-1 && !a.mayBeDropped() {
			d.lateCount++
		}
	}
}

// reportedFreeSlots is what a worker's last report leaves after what we sent since, and whether that is news still.
func (d *Dispatcher) reportedFreeSlots(w *workerInfo) (free float64, fresh bool) {
	free = w.freeSlots
	for _, a := range w.inFlight {
		if a.sentAt > w.reportedAt-reportLag {
			free -= a.job.demand
		}
	}
	return free, w.reportedAt > 0 && d.now-w.reportedAt < reportMaxAge
}

// applyList takes in the entries of a list. A worker that is gone is forgotten once nothing of ours is out there.
func (d *Dispatcher) applyList(e WorkerList) {
	if e.Kind != ListDelta {
		for _, w := range d.workerList {
			w.listed = false
		}
	}
	for _, x := range e.Workers {
		w := d.workers[x.ID]
		if w == nil {
			if x.Removed {
				continue
			}
			speed := d.machineKind(x.Kind).logSpeed
			w = &workerInfo{limit: 1, logSpeed: speed, speed: math.Exp(speed), position: len(d.workerList)}
			w.timer = timer{purpose: workerAvailable, worker: w}
			d.workers[x.ID] = w
			d.workerList = append(d.workerList, w)
		}
		if x.BootAt > w.BootAt && w.ID != 0 { // a new process: what we knew of the old one is void
			w.resetProcess()
			w.returnedAt = 0
		}
		w.Worker, w.listed, w.listedReady = x, !x.Removed, x.Ready && !x.Removed
		w.Ready = w.listedReady && !d.isCordoned(w)
		w.machine = d.machineKind(x.Kind)
		if d.markDirty(w); w.Ready {
			d.topSpeed = max(d.topSpeed, w.logSpeed) // known at once: a job thought out of reach is refused
		}
		if e.Kind == ListDelta {
			d.forgetWorker(w)
		}
	}
	for i := len(d.workerList) - 1; i >= 0 && e.Kind != ListDelta; i-- { // each that goes leaves its place to the last
		if w := d.workerList[i]; !w.listed {
			w.Ready, w.listedReady = false, false
			d.markDirty(w)
			d.forgetWorker(w)
		}
	}
	d.updateAllCordoned()
}

// resetProcess forgets what was known of a worker's process.
func (w *workerInfo) resetProcess() {
	w.limit, w.ejectionTime, w.ejectedUntil, w.failures, w.rejectedDemand, w.reportedAt = 1, 0, 0, 0, 0, 0
	w.connLost, w.learnedAt = false, 0
}

// orphanAttempts frees the slots of what is out at a worker whose process has gone; the attempts themselves are still out, and
// come back for each that may be lost.
func (d *Dispatcher) orphanAttempts(w *workerInfo) (out []*attemptInfo) {
	for _, a := range w.inFlight {
		a.orphaned = true
		d.usedSlots = max(0, d.usedSlots-a.job.demand)
	}
	out = w.inFlight
	w.inFlight, w.usedSlots, w.runningSlots, w.connections = nil, 0, 0, 0
	w.orphans += len(out)
	return out
}

// countReady counts the workers that may be sent work.
func (d *Dispatcher) countReady() (n int) {
	for _, w := range d.workerList {
		if w.Ready {
			n++
		}
	}
	return n
}

// isCordoned tells whether a worker is taken out by hand.
func (d *Dispatcher) isCordoned(w *workerInfo) bool {
	_, out := d.cordoned[w.ID]
	return out
}

// updateAllCordoned notes whether all listed workers are banned.
func (d *Dispatcher) updateAllCordoned() {
	d.allCordoned = len(d.cordoned) > 0 && len(d.workerList) > 0
	for _, w := range d.workerList {
		d.allCordoned = d.allCordoned && (!w.listed || d.isCordoned(w))
	}
}

// rejectQueued ends all held jobs that have nothing out: there is nobody to send them to.
func (d *Dispatcher) rejectQueued() {
	for i := range d.queue.shapes {
		for held := &d.queue.shapes[i].byScore; !held.empty(); {
			j := held.first()
			if d.dequeue(j); j.inFlight == 0 {
				d.finish(j)
			}
		}
	}
}

// initIndexes makes what holds jobs, workers and alarms.
func (d *Dispatcher) initIndexes() {
	d.maintenance.purpose = runMaintenance
	d.timers.less = func(a, b *timer) bool { return a.at < b.at }
	d.timers.moved = func(a *timer, i int) { a.heapIndex = i + 1 }
	d.placementGroups = groupsOf(d.settings.Classes)
	d.queue.shapes = make([]shape, perClass*len(d.settings.Classes))
	for i := range d.queue.shapes {
		sh := &d.queue.shapes[i]
		sh.byScore.less, sh.byScore.moved = leavesBefore, func(j *jobInfo, i int) { j.heapIndex = i }
		sh.byPromotion.less = promotedBefore
	}
	d.unstarted.pending, d.unstarted.first = make([][]*attemptInfo, len(d.settings.Classes)), make([]int, len(d.settings.Classes))
}

// bindTimers tells a job's alarms what they are part of.
func (j *jobInfo) bindTimers() {
	j.deadlineTimer, j.objectiveTimer, j.checksTimer = timer{purpose: jobDeadline, job: j}, timer{purpose: jobObjective, job: j}, timer{job: j}
}

// wasSentTo tells whether a worker was sent the job before.
func (j *jobInfo) wasSentTo(w *workerInfo) bool {
	for _, a := range j.attempts {
		if a.worker == w {
			return true
		}
	}
	return false
}

// awaitsCheck tells whether a worker was asked by a probe and has said nothing since.
func (w *workerInfo) awaitsCheck() bool { return w.checking && w.heardAt < w.checkedAt }

// rescaleSpeeds takes so much, in logs, off all speeds and all sizes: expected runs stay what they are.
func (d *Dispatcher) rescaleSpeeds(by float64) {
	for _, w := range d.workerList {
		w.logSpeed -= by
		w.speed = math.Exp(w.logSpeed)
	}
	for _, k := range d.kinds {
		k.logSpeed -= by
	}
	for i := range d.sizeCorrection {
		for b := range d.sizeCorrection[i] {
			d.sizeCorrection[i][b] -= by
		}
	}
	for key := range d.keyWork {
		d.keyWork[key] *= math.Exp(-by)
	}
	d.longCut -= by
	d.topSpeed -= by
}

func (d *Dispatcher) applyReport(w *workerInfo, r []float64) {
	for i, f := range d.settings.ReportFields {
		if f == ReportFieldFreeSlots && i < len(r) && !math.IsNaN(r[i]) {
			w.freeSlots, w.reportedAt = max(0, r[i]), d.now
			d.observeBusy(w, w.freeSlots < 0.5)
			d.observeSlots(w, math.Floor(w.freeSlots))
		}
	}
}

func (d *Dispatcher) observeSlots(w *workerInfo, n float64) {
	if k := d.machineKind(w.Kind); d.warmUpShare(w) == 1 && n > k.maxSlots {
		k.maxSlots, k.lateOverflows = n, 0
	}
}

// onProgressed takes in a share done: its start notice may have been lost.
func (d *Dispatcher) onProgressed(a *attemptInfo) {
	if a != nil {
		d.onStarted(a)
		a.progressAt, a.worker.progressAt = d.now, d.now
	}
}

// observeBusy learns by zone how likely a worker is to have no free slot, as we see too little of each worker.
// It weighs like slots in use, so that a crossing is paid where the own zone is the fuller.
func (d *Dispatcher) observeBusy(w *workerInfo, busy bool) {
	if d.zoneBusy[w.Zone] *= 1 - busyRate; busy {
		d.zoneBusy[w.Zone] += busyRate
	}
}

// observeOverrun remembers for a while by how much a job has outrun its expectation. One far heavier than its hint
// can push a cold worker over alone: its class is budgeted as if each were.
func (d *Dispatcher) observeOverrun(a *attemptInfo, run time.Duration) {
	d.overrunFactor[a.job.Class] = max(d.overrunFactor[a.job.Class], run.Seconds()/max(a.expectedRun.Seconds(), 1e-3))
}

// idleHistory counts how attempts fared by how long their links had been idle: age n is from 2^n to 2^(n+1) milliseconds.
type idleHistory [20]outcomeCounts

type outcomeCounts struct{ succeeded, failed float64 }

func (t *outcomeCounts) add(well bool) {
	if well {
		t.succeeded++
	} else {
		t.failed++
	}
}

// sumFrom is the sum over an age and all that are older.
func (n *idleHistory) sumFrom(age int) (sum outcomeCounts) {
	for _, t := range n[age:] {
		sum.succeeded += t.succeeded
		sum.failed += t.failed
	}
	return sum
}

func (n *idleHistory) decay(part float64) {
	for i := range n {
		n[i].succeeded *= part
		n[i].failed *= part
	}
}

func idleBucket(idle time.Duration) int {
	return min(max(bits.Len64(uint64(idle/time.Millisecond))-1, 0), len(idleHistory{})-1)
}

// minIdleOf is the least that an age stands for.
func minIdleOf(age int) time.Duration { return time.Millisecond << age }

// onHealthChecked takes in what became of a probe.
func (d *Dispatcher) onHealthChecked(e HealthChecked) {
	if w := d.workers[e.Worker]; w != nil {
		w.checking = false
		if e.Result == OK {
			d.minCheckDelay = min(d.minCheckDelay, d.now-w.checkedAt)
			d.markAlive(w)
			d.applyReport(w, e.Report)
		} else if e.Result != WorkerFull && e.Result != NotSent {
			d.eject(w, true, "does not answer a probe")
		}
	}
}

// AvoidedWorkers counts the listed workers that this dispatcher avoids now, by hand or by its own choice.
func (d *Dispatcher) AvoidedWorkers() (n int) {
	for _, w := range d.workerList {
		if w.listed && (d.isCordoned(w) || w.Ready && d.isEjected(w)) {
			n++
		}
	}
	return n
}

// decayEstimates lets what was learnt of sizes, links, zones and speeds drift back for want of news, by one round of upkeep.
func (d *Dispatcher) decayEstimates() {
	for i := range d.overrunFactor {
		d.overrunFactor[i] = max(1, d.overrunFactor[i]*(1-maintenanceInterval.Seconds()/overrunMemory.Seconds()))
	}
	d.idleOutcomes.decay(1 - maintenanceInterval.Seconds()/speedMemory.Seconds())
	if d.maxIdle > 0 && d.now-d.maxIdleSetAt > speedMemory {
		d.maxIdle, d.maxIdleSetAt = 2*d.maxIdle, d.now
	}
	for z := range d.zoneBusy {
		d.zoneBusy[z] *= 1 - maintenanceInterval.Seconds()/speedMemory.Seconds()
	}
	for _, w := range d.workerList {
		was := w.logSpeed
		if w.learnedAt == 0 {
			w.logSpeed = w.machine.logSpeed
		} else if d.now-w.learnedAt > recheckInterval {
			w.logSpeed += (w.machine.logSpeed - w.logSpeed) * maintenanceInterval.Seconds() / speedMemory.Seconds()
		}
		if w.logSpeed != was {
			w.speed = math.Exp(w.logSpeed)
		}
	}
}

// warmUpBudget is the work that all dispatchers may send a cold worker within a span. Its full capacity is guessed from
// the slots that its kind has been seen to have free or in use.
func (d *Dispatcher) warmUpBudget(w *workerInfo) float64 {
	k := d.machineKind(w.Kind)
	capacity := max(1, k.maxSlots) * math.Exp(k.logSpeed) * d.warmUpShare(w)
	return warmUpMargin * d.settings.OverloadFactor * capacity * d.settings.OverloadWindow.Seconds()
}

func (d *Dispatcher) features(j *jobInfo) (hint, slots float64) {
	return clamp(math.Log(j.work)-d.longCut, featureClip), clamp(math.Log2(j.Slots), featureClip)
}

func slotBucket(j *jobInfo) int { return min(3, int(math.Log2(j.Slots))) }

func (d *Dispatcher) warmUpCost(j *jobInfo) float64 {
	return j.work * j.Slots * d.overrunFactor[j.Class]
}

// observeIdleConnection takes in how an attempt on an idle link went. Where of links idle for so long or longer two fared
// badly of late, and more than did well, it is the links' fault and not the workers': a rack that is silent
// has but its part of them. Forgotten by and by in upkeep.
func (d *Dispatcher) observeIdleConnection(a *attemptInfo, well bool) {
	if a.connIdle == 0 {
		return
	}
	age := idleBucket(a.connIdle)
	if d.idleOutcomes[age].add(well); well {
		return
	}
	for ; age >= 0; age-- {
		if all := d.idleOutcomes.sumFrom(age); all.failed > 1.5 && all.failed > all.succeeded {
			d.maxIdle, d.maxIdleSetAt = minIdleOf(age), d.now
			return
		}
	}
}

// warmUpShare is the least part of its capacity that a worker has, by when it started.
func (d *Dispatcher) warmUpShare(w *workerInfo) float64 {
	boot := max(w.BootAt, w.returnedAt)
	if boot <= 0 || d.settings.WarmUp <= 0 || d.now-boot >= d.settings.WarmUp {
		return 1
	}
	age := max(0, (d.now - boot).Seconds())
	return max(0.01, d.settings.WarmUpCapacity+(1-d.settings.WarmUpCapacity)*age/d.settings.WarmUp.Seconds())
}

func (d *Dispatcher) learnSpeed(w *workerInfo, got float64) {
	k := d.machineKind(w.Kind)
	k.runs++
	k.logSpeed += max(sizeRate, 1/(k.runs+2)) * clamp(got-k.logSpeed, 1)
	w.runs++
	w.logSpeed += max(speedRate, 1/(w.runs+2)) * clamp(got-w.logSpeed, featureClip/2)
	w.speed, w.learnedAt = math.Exp(w.logSpeed), d.now
}

// onTimer does what an alarm is for. After any, held jobs are looked at.
func (d *Dispatcher) onTimer(a *timer) {
	switch a.purpose {
	case runMaintenance:
		d.maintain()
	case jobDeadline:
		d.finish(a.job)
	case jobObjective:
		d.onObjectivePassed(a.job)
	case attemptOverdue:
		d.onOverdue(a.attempt)
	case workerAvailable:
		d.markDirty(a.worker)
	}
}

func (d *Dispatcher) markAlive(w *workerInfo) {
	w.heardAt, w.connFailures = d.now, 0
	// A worker that was lost and answers again has most likely restarted, though no list has said so yet.
	if w.connLost {
		w.connLost, w.returnedAt = false, d.now
	}
	if w.failures == 0 && w.ejectionTime > 0 {
		w.ejectionTime, w.ejectedUntil, w.broken = 0, 0, false
	}
	d.markDirty(w)
}

func (d *Dispatcher) decreaseLimit(w *workerInfo, a *attemptInfo) {
	if a.sentAt >= w.decreasedAt { // what is older is the same piece of news: one crash, one full queue
		w.decreasedAt, w.limit = d.now, max(1, math.Floor(w.limit/2))
		d.markDirty(w)
	}
}

// isSharded tells whether workers are dealt to a few dispatchers each, so that how our own jobs fare there tells of their room.
func (d *Dispatcher) isSharded() bool { return len(d.workerList) > 0 && d.workerList[0].Assignees > 1 }

// isShort tells whether a job is expected to run for less than the cut between short and long.
func (d *Dispatcher) isShort(j *jobInfo) bool { return math.Log(j.work) < d.longCut }

// hedgeCost is what a copy takes of those saved up: of one of many dispatchers, by its work.
func (d *Dispatcher) hedgeCost(j *jobInfo) float64 {
	if d.settings.Replicas <= manyReplicas {
		return 1
	}
	return min(1, d.warmUpCost(j)/(d.meanCost+1e-9))
}
