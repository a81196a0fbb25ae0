// Types, events and actions stand in api.go, what a dispatcher remembers in state.go; every decision is here.
//
// Reading order: dispatch, predictor, rooms, health, cold budget, attempts and rules, refusals, discovery.

package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Constants of the mechanism. Spans that matter are relative to settings or to what has been observed.
const (
	starvationTauFactor  = 3.0                    // promotion after this many mean short sojourns, as in the paper
	longJobShare         = 0.3                    // this share of jobs counts as long: the cut is a learnt quantile
	meanRate             = 0.01                   // long window for the mean short sojourn
	modelRate            = 0.05                   // of the logistic model; bounded by clipped features
	featureClip          = 4.0                    // in natural log units, about a factor of fifty
	speedRate            = 0.2                    // a worker's speed follows its last five or so jobs
	sizeRate             = 0.03                   // sizes follow many workers, so that no slow one bends them
	maxKeys              = 10000                  // bounds the memory of keys
	maxRescale           = 0.1                    // in one go: jobs in hand keep the sizes they came with
	maxMeanSpeed         = 0.3                    // mean log speed of the fleet, at most: the rest is sizes
	speedMemory          = 10 * time.Second       // without news a learned speed drifts back to that of its kind
	overrunMemory        = 60 * time.Second       // a class that had far heavier jobs may have more
	promptPart           = 4                      // a start within this part of the class's aim is prompt
	movePart             = 3                      // left unstarted for this part of its slack, a job moves
	overrunSpreads       = 2.5                    // this many mean log distances too long: a slow worker
	initialSpread        = 0.35                   // mean log distance of runs from the expected, at first
	maxDeferred          = 12                     // jobs that fit nowhere which one release looks past
	recheckInterval      = 50 * time.Millisecond  // worker upkeep: probes, forgetting, list calls
	maintenanceInterval  = 250 * time.Millisecond // forgetting and counting, over all workers
	reportMaxAge         = time.Second            // an older load report says nothing about now
	reportLag            = 200 * time.Millisecond // jobs sent this shortly before a report may be missing from it
	maxLateShare         = 0.5                    // jobs of ours that may wait at workers, as part of those running
	silenceFactor        = 3                      // unstarted for this many usual late starts: a silent worker
	minEjection          = 500 * time.Millisecond // first avoidance of a suspect; doubles with each failed trial
	maxEjection          = 8 * time.Second        // and at most this
	jobsPerOwner         = 2.0                    // mean jobs that an owner's part of a cold budget holds
	warmUpMargin         = 0.4                    // part of the cold budget used: sizes have heavy tails
	minLateOverflows     = 2                      // late starts on a worker that runs as many as any ever did
	hedgeRate            = 0.05                   // copies per first send, so that they feed no overload
	hedgeBurst           = 10.0                   // and as many saved up, by each of a few dispatchers
	few                  = 3                      // so many
	healthCheckBudget    = 0.006                  // part of the result that probes may cost
	checksPerJob         = 3                      // workers asked for a job where nothing known is fresh
	checkSamples         = 8                      // workers drawn to find one to ask
	busyZoneCost         = 3.0                    // a worker with no free slot weighs like so many in use
	busyRate             = 0.1                    // of the busy part by zone: its last ten or so samples
	missCostSlope        = 4                      // the tail's credit falls over this many times the borne misses
	quotaBurst           = 8.0                    // jobs of a tenant at once, however small our part of its quota
	crossCostPerSlot     = 0.05                   // a price this high weighs like one slot in use
	handshakeCostPerSlot = 0.2                    // so does a handshake price this high
	retriedWorkerCost    = 1000.0                 // and a worker that has had the job like more than any
	maxRowScan           = 48                     // workers of one row that are all looked at
	rowSample            = 16                     // and of a longer one
	maxLooks             = 256                    // and of all rows
	trialRate            = 0.2                    // jobs that go though thought late, for each turned away
	trialBurst           = 4.0                    // and at once
	manyReplicas         = 8                      // more dispatchers than these are many: most have little work each
	uncordonedBonus      = 0.5                    // one brought back by hand comes before others alike
	uncordonedWait       = 2 * time.Second        // and takes a job that would be late, after this
	minStall             = 20 * time.Millisecond  // so late for its own timer a process says nothing of workers
)

// leavesBefore is the order in which held jobs leave, older that of those over tau.
func leavesBefore(a, b *jobInfo) bool {
	if a.deferrals == b.deferrals && a.demoted != b.demoted {
		return b.demoted
	}
	return cmp.Or(cmp.Compare(a.deferrals, b.deferrals), cmp.Compare(a.longChance, b.longChance),
		cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
}

func promotedBefore(a, b *jobInfo) bool {
	return cmp.Or(cmp.Compare(a.deferrals, b.deferrals), cmp.Compare(a.promoteAt, b.promoteAt)) < 0
}

// Step takes in what happened at now and returns dst with the actions it calls for appended.
func (d *Dispatcher) Step(now time.Duration, events []Event, dst []Action) []Action {
	d.now, d.actions = max(now, d.now), dst
	if d.bornAt == 0 {
		d.bornAt = d.now // a ledger of before is lost: no cold worker gets work for one span
	}
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			d.onWorkerList(e)
		case Job:
			d.onJob(e)
		case Outcome:
			d.onOutcome(e)
		case Started:
			d.onStarted(d.findInFlight(e.Job, e.Attempt, e.Worker))
		case Progressed:
			d.onProgressed(d.findInFlight(e.Job, e.Attempt, e.Worker))
		case ResponseStarted:
			if a := d.findInFlight(e.Job, e.Attempt, e.Worker); a != nil {
				a.job.streaming = true
				d.dequeue(a.job)
			}
		case ClientDisconnected:
			d.closeJob(d.jobs[e.Job])
		case HealthChecked:
			d.onHealthChecked(e)
		case TimerFired:
			d.measureStall()
		default:
			d.onPeerEvent(e)
		}
	}
	if d.timerAt <= d.now {
		d.timerAt = 0
	}
	for d.timers.first().at <= d.now { // never empty: the sweep renews itself
		d.onTimer(d.timers.pop())
	}
	d.dispatchQueued()
	if next := d.timers.first().at; d.timerAt == 0 || next < d.timerAt {
		d.timerAt = next
		d.emit(SetTimer{After: d.timerAt - d.now})
	}
	dst, d.actions = d.actions, nil
	return dst
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// ---- Dispatch: the paper's mechanism ----

func (d *Dispatcher) onJob(e Job) {
	if j := d.admit(e, 0); j != nil {
		j.demoted = d.overQuota(j)
		d.requestChecks(j)
		d.enqueue(j)
	}
}

// admit takes in a job that came so long ago, with all but what was made of it since.
func (d *Dispatcher) admit(e Job, waited time.Duration) *jobInfo {
	if d.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(d.settings.Classes) {
		return nil
	}
	c := &d.settings.Classes[e.Class]
	j := &jobInfo{Job: e, class: c, heapIndex: -1, arrivedAt: d.now - waited, deadline: d.now + max(e.Remaining, 0)}
	j.Slots, j.Hint = max(1, finite(e.Slots)), max(0, e.Hint)
	j.demand = max(j.Slots, finite(e.Memory))
	j.work = d.expectedWork(j)
	// A retry keeps the aim of its first try; a first try leaves the most time seen in its class.
	d.fullTimeout[e.Class] = max(d.fullTimeout[e.Class], min(e.Remaining+waited, c.ClientTimeout))
	first := d.now - max(0, d.fullTimeout[e.Class]-max(e.Remaining, 0))
	j.objectiveAt = min(first+c.LatencyObjective+seconds(c.ObjectiveStretch*j.work), j.deadline)
	j.longChance = d.longChance(j)
	d.arrivals++
	d.meanWeight += meanRate * (c.PriorityWeight - d.meanWeight)
	d.meanCost += (d.warmUpCost(j) - d.meanCost) * max(meanRate, 1/d.arrivals)
	d.jobs[e.ID] = j
	d.checkTokens = min(d.checkTokens+min(checksPerJob, healthCheckBudget/max(d.settings.HealthCheckCost, 1e-9)), float64(len(d.workerList)))
	j.bindTimers()
	d.setTimer(&j.deadlineTimer, j.deadline)
	d.setTimer(&j.objectiveTimer, j.objectiveAt-seconds(j.work/math.Exp(d.topSpeed)))
	return j
}

func (d *Dispatcher) enqueue(j *jobInfo) {
	if j.heapIndex >= 0 || j.closed || j.streaming {
		return
	}
	j.shape = shapeOf(d.placementGroups[j.Class], slotBucket(j), len(j.attempts) > 0)
	d.queue.shapes[j.shape].byScore.push(j)
	if d.queue.length++; !j.inPromotions { // once: an entry stays behind when its job leaves
		j.inPromotions = true
		// Jobs worth more than most are over tau sooner: under overload capacity goes to what earns most.
		worthy := min(1, (d.meanWeight+1e-9)/(max(j.class.PriorityWeight, 0)+1e-9))
		j.promoteAt = j.arrivedAt + seconds(starvationTauFactor*d.muShort*worthy)
		d.queue.shapes[j.shape].byPromotion.push(j)
	}
}

// dispatchQueued sends held jobs while some worker can start them now. Jobs held over tau leave first, oldest
// first; else the lowest chance of running long leaves. A job that fits nowhere is looked past, and where
// that is for want of room, with all that need the same.
func (d *Dispatcher) dispatchQueued() {
	for _, w := range d.dirty {
		d.reindex(w)
	}
	d.dirty = d.dirty[:0]
	if d.allCordoned {
		d.rejectQueued()
	}
	if d.queue.length == 0 {
		return
	}
	d.countLateAttempts()
	if d.reserved != nil && d.reservedFor.heapIndex < 0 {
		d.reserved, d.reservedFor = nil, nil
	}
	for i := range d.queue.shapes {
		d.queue.shapes[i].blocked = false
	}
	for len(d.deferred) < maxDeferred && !d.isBackedUp() {
		j := d.nextJob()
		if j == nil {
			break
		}
		if d.lateCount > 0 && d.isSharded() && !d.isShort(j) { // its few workers have little room
			d.dequeue(j)
			d.deferred = append(d.deferred, j)
			continue
		}
		w, roomless := d.chooseWorker(j)
		if w == nil && j.demand > 1 && d.now > j.promoteAt {
			d.reserveWorker(j)
		}
		switch {
		case w != nil:
			d.dequeue(j)
			d.send(j, w)
			d.reindex(w)
		case roomless:
			d.queue.shapes[j.shape].blocked = true
		default:
			d.dequeue(j)
			d.deferred = append(d.deferred, j)
		}
	}
	for i, j := range d.deferred {
		if len(d.deferred) == maxDeferred { // the next release looks at others first: they may fit
			j.deferrals++
		}
		d.enqueue(j)
		d.deferred[i] = nil
	}
	d.deferred = d.deferred[:0]
}

// nextJob is the job that leaves next, of those whose shape has not been found to fit nowhere.
func (d *Dispatcher) nextJob() (first *jobInfo) {
	var old *jobInfo
	for i := range d.queue.shapes {
		sh := &d.queue.shapes[i]
		if sh.blocked || sh.byScore.empty() {
			continue
		}
		if j := sh.byScore.first(); first == nil || leavesBefore(j, first) {
			first = j
		}
		for !sh.byPromotion.empty() && (sh.byPromotion.first().heapIndex < 0 || sh.byPromotion.first().demoted) {
			sh.byPromotion.pop().inPromotions = false
		}
		if !sh.byPromotion.empty() && (old == nil || promotedBefore(sh.byPromotion.first(), old)) {
			old = sh.byPromotion.first()
		}
	}
	if old != nil && d.now > old.promoteAt && !d.queue.shapes[old.shape].blocked {
		return old
	}
	return first
}

// reindex puts a worker where choices find it, if it may have room, and out of their way if not.
func (d *Dispatcher) reindex(w *workerInfo) {
	w.dirty = false
	cold := d.warmUpShare(w) < 1
	if d.workers[w.ID] == w && w.Ready && d.now >= w.backoffUntil && (w.usedSlots == 0 || w.usedSlots+1 <= w.limit) {
		d.available.put(w, bucketKey{w.Zone, w.Kind, cold, w.ejectionTime > 0})
	} else {
		d.available.drop(w)
	}
	wake := w.backoffUntil
	if warm := max(w.BootAt, w.returnedAt) + d.settings.WarmUp; cold && (wake <= d.now || warm < wake) {
		wake = warm
	}
	if wake > d.now && w.Ready {
		d.setTimer(&w.timer, wake)
	}
}

// reserveWorker holds a worker free for a large job that is over tau and fits nowhere, the one with least to finish:
// else smaller jobs would slip past it for ever. Sent before it fits, it would hold up a worker's queue.
func (d *Dispatcher) reserveWorker(j *jobInfo) {
	if d.reserved != nil && d.reserved.Ready {
		return
	}
	d.reserved, d.reservedFor = nil, j
	from, n := 0, len(d.workerList) // of a large fleet some are as good as all
	if n > maxLooks {
		from, n = d.rng.IntN(n), maxLooks
	}
	for i := range n {
		w := d.workerList[(from+i)%len(d.workerList)]
		small := w.rejectedDemand == 0 || j.demand < w.rejectedDemand
		may := w.Ready && small && placementAllows(j, w) && d.mayAttempt(j, w) && !d.isEjected(w) &&
			(j.demoted || d.now+d.expectedRun(j, w) <= j.objectiveAt)
		if may && (d.reserved == nil || w.usedSlots/w.speed < d.reserved.usedSlots/d.reserved.speed) {
			d.reserved = w
		}
	}
}

// chooseWorker picks the ready worker with the fewest of our slots in use, of those that can start the job now;
// ties are drawn by strength. Departures: one on which the job would miss its aim is passed over while the
// aim can still be met; crossings, new connections and workers likely to be busy weigh like slots in use.
// Of many that are alike some are looked at, drawn anew each time. roomless: nothing but room is wanting.
func (d *Dispatcher) chooseWorker(j *jobInfo) (pick *workerInfo, roomless bool) {
	reports := len(d.settings.ReportFields) > 0
	for _, l := range d.available.buckets {
		if l.nextRow, l.baseCost = 0, 0; !classAllows(j, l.kind, l.zone) {
			l.baseCost = math.Inf(1)
			continue
		}
		if l.zone != d.settings.Zone {
			l.baseCost = d.settings.CrossZoneCost / crossCostPerSlot
		}
		if !reports {
			l.baseCost += busyZoneCost * d.zoneBusy[l.zone]
		}
	}
	best, sum, known, looks := math.Inf(1), 0.0, true, 0
	var lucky *workerInfo // cold, and drawn by the job
	roomless = true
	for looks < maxLooks {
		row, base := d.available.cheapest()
		if row == nil || base > best {
			break
		}
		from, n := 0, len(row)
		if n > maxRowScan {
			from, n = d.rng.IntN(n), rowSample
		}
		for i := range n {
			w := row[(from+i)%len(row)]
			looks++
			cost, weight, fresh := base-math.Floor(w.usedSlots)+w.usedSlots, cmp.Or(finite(w.Size), 1)*w.speed, false
			if len(w.inFlight) >= w.connections {
				cost += d.settings.HandshakeCost / handshakeCostPerSlot // no idle connection
			}
			if reports {
				free := 0.0
				if free, fresh = d.reportedFreeSlots(w); fresh {
					weight *= max(free, 1)
				} else {
					cost += busyZoneCost * d.zoneBusy[w.Zone]
				}
			}
			if j.wasSentTo(w) {
				cost += retriedWorkerCost // one that has not had this job comes first
			}
			if cost > best || !d.hasCapacity(j, w) {
				continue
			}
			if w.uncordonedAt > 0 {
				cost -= uncordonedBonus
			}
			roomless = false
			if !j.demoted && !d.mayTryUncordoned(j, w) && d.now+d.expectedRun(j, w) > j.objectiveAt || !d.mayAttempt(j, w) ||
				!d.healthAllows(j, w) {
				continue
			}
			if !d.warmUpAllows(j, w) {
				if d.drawsWorker(j, w) {
					lucky = w
				}
				continue
			}
			if cost < best {
				best, sum = cost, 0
			}
			if sum += weight; d.rng.Float64()*sum < weight {
				pick, known = w, fresh
			}
		}
	}
	if pick != nil && lucky != nil {
		return lucky, false // only what would go elsewhere now: so it gets its part of what others are given
	}
	if pick != nil && d.now < j.checksUntil && (reports && !known || !reports && pick.awaitsCheck()) {
		return nil, false // asked workers have not answered yet
	}
	return pick, roomless && pick == nil && looks < maxLooks
}

// ---- Predictor: chance of running long, and size ----

func (d *Dispatcher) longChance(j *jobInfo) float64 {
	h, s := d.features(j)
	n := len(d.settings.Classes)
	return 1 / (1 + math.Exp(-(d.weights[j.Class] + d.weights[n]*h + d.weights[n+1]*s)))
}

func (d *Dispatcher) expectedWork(j *jobInfo) float64 {
	guess := j.class.LatencyObjective // without a hint the aim stands in, and the correction does the rest
	if j.Hint > 0 {
		guess = j.Hint
	}
	work := max(guess.Seconds(), 1e-4) * math.Exp(d.sizeCorrection[j.Class][slotBucket(j)])
	if past := d.keyWork[j.Key]; past > 0 {
		work = math.Sqrt(work * past) // the key's past is one more opinion of the same size
	}
	return work
}

// learnFromRun takes in a finished run. Size corrections are slow while speeds are quick, so that a slow spell is
// laid to the worker. Runs on cold workers teach nothing.
func (d *Dispatcher) learnFromRun(a *attemptInfo, run time.Duration) {
	j, w := a.job, a.worker
	r := math.Log(max(run.Seconds(), 1e-4))
	if d.spansStall(a) {
		return
	}
	d.observeOverrun(a, run)
	if d.warmUpShare(w) < 1 {
		return
	}
	// Against what is held now: each of the many that are out would else correct the same old error again.
	size := math.Log(d.expectedWork(j))
	d.spread += meanRate * (min(math.Abs(size-r-w.logSpeed), featureClip) - d.spread)
	d.learnSpeed(w, size-r)
	own := r + w.logSpeed // log of work as this run shows it
	g := -d.longChance(j)
	if own > d.longCut {
		g++
	}
	h, s := d.features(j)
	n := len(d.settings.Classes)
	d.weights[j.Class] += modelRate * g
	d.weights[n] = max(0.1, d.weights[n]+modelRate*g*h) // a longer hint never counts as shorter
	d.weights[n+1] += modelRate * g * s
	if len(d.keyWork)+d.keysOmitted >= maxKeys {
		clear(d.keyWork) // forget all: what is still in use is soon learnt again
		d.keysOmitted = 0
	}
	if j.Key != 0 {
		d.keyWork[j.Key] = math.Exp(own)
	}
	d.sizeCorrection[j.Class][slotBucket(j)] += sizeRate * clamp(own-size, featureClip/2)
	step := meanRate * 2
	if own < d.longCut {
		step = -step * longJobShare / (1 - longJobShare)
		sojourn := (d.now - j.arrivedAt).Seconds()
		d.muShort += meanRate * (min(sojourn, 10*d.muShort) - d.muShort)
	}
	d.longCut += step * (1 - longJobShare)
}

func (d *Dispatcher) expectedRun(j *jobInfo, w *workerInfo) time.Duration {
	return seconds(j.work / (w.speed * d.warmUpShare(w)))
}

// maxPlausibleRun is a run time that noise in hints and runs, as seen so far, does not explain.
func (d *Dispatcher) maxPlausibleRun(a *attemptInfo) time.Duration {
	return seconds(a.expectedRun.Seconds() * math.Exp(overrunSpreads*d.spread))
}

// ---- Rooms: how much of ours a worker can start at once ----

func (d *Dispatcher) hasCapacity(j *jobInfo, w *workerInfo) bool {
	if w.rejectedDemand > 0 && j.demand >= w.rejectedDemand || w.usedSlots > 0 && w.usedSlots+j.demand > min(w.limit, d.maxSlots(w)) ||
		w == d.reserved && j != d.reservedFor {
		return false
	}
	late := d.promptStart(j)
	for _, a := range w.inFlight {
		// A worker that leaves one of ours unstarted has a queue: it cannot start the next one now.
		if !a.started && d.now-a.sentAt > late && !a.mayBeDropped() {
			return false
		}
	}
	if w.reportedAt == 0 {
		return true
	}
	free, fresh := d.reportedFreeSlots(w)
	return !fresh || free >= min(j.demand, 1)
}

// promptStart is how soon a start comes where there is room, by the least delay seen: a mean follows queues.
func (d *Dispatcher) promptStart(j *jobInfo) time.Duration { return d.promptStartOf(j.class) }

func (d *Dispatcher) promptStartOf(c *Class) time.Duration {
	return 2*d.minStartDelay + c.LatencyObjective/promptPart
}

// adjustLimit answers a start. The paper's design says nothing of a late one; without an answer a room that has
// grown too far stays so, and the worker's own queue brings back head-of-line blocking.
func (d *Dispatcher) adjustLimit(w *workerInfo, a *attemptInfo, prompt bool) {
	d.observeBusy(w, !prompt)
	d.markDirty(w)
	if prompt {
		if w.backoff = 0; a.limitBound {
			w.limit = max(w.limit, w.runningSlots+a.job.demand) + 1
		}
	} else if a.sentAt >= w.decreasedAt {
		if k := d.machineKind(w.Kind); w.runningSlots >= k.maxSlots {
			k.lateOverflows++
		}
		// A room of one for each of many dispatchers is still a queue at the worker. Where even that one is
		// late, leave the worker alone as long as it waited, longer each time, until one starts promptly.
		if w.limit <= 1 && d.settings.Replicas > 1 {
			d.backOff(w, d.now-a.sentAt)
		}
		w.decreasedAt, w.limit = d.now, max(1, w.limit-1)
	}
}

func (d *Dispatcher) backOff(w *workerInfo, least time.Duration) {
	w.backoff = min(max(least, 2*w.backoff), maxEjection)
	w.backoffUntil = d.now + w.backoff
	d.markDirty(w) // held jobs are looked at again then
}

// isBackedUp is the room of the whole fleet: several dispatchers with a job here and there fill all queues
// though no room is above one (of many, see release). Jobs waiting far longer than late starts do are lost,
// not queued. One goes all the same, and the next when that has started, or is as late as others: a few sick
// workers are no fleet.
func (d *Dispatcher) isBackedUp() bool {
	return d.settings.Replicas <= manyReplicas && d.lateCount > maxLateShare*(d.usedSlots-d.lateCount) && d.now-d.pilotSentAt < d.meanLateStart
}

// maxSlots is what a worker of this kind can run at once: the most of ours that was seen to run on one, once a
// few that were sent beyond it have come late. Room alone drifts past it: where one job ends as the next
// comes, the next starts promptly.
func (d *Dispatcher) maxSlots(w *workerInfo) float64 {
	if k := d.machineKind(w.Kind); k.lateOverflows >= minLateOverflows {
		return k.maxSlots
	}
	return math.Inf(1)
}

// ---- Health: silence, failure and slowness, told apart by symptom ----

// isEjected tells whether a worker is to be left alone. Where most look bad, the load or we ourselves are at
// fault and silence proves nothing; a broken connection still does, unless no worker is left at all.
func (d *Dispatcher) isEjected(w *workerInfo) bool {
	return w.ejectionTime > 0 && (w.broken && !d.allBroken || !w.broken && !d.mostSuspect)
}

// healthAllows lets a suspect have one short job that is safe to repeat once its pause is over, and lets no
// two suspects be tried at once: where a whole zone is gone, its empty workers would draw all that is sent.
func (d *Dispatcher) healthAllows(j *jobInfo, w *workerInfo) bool {
	if !d.isEjected(w) {
		return true
	}
	trial := j.class.Idempotency == Idempotent && d.isShort(j)
	return trial && d.now >= max(w.ejectedUntil, d.nextTrialAt) && len(w.inFlight) == 0
}

func (d *Dispatcher) eject(w *workerInfo, broken bool, why string) {
	w.broken = w.broken || broken
	if d.now < w.ejectedUntil {
		return
	}
	w.ejectionTime = min(max(minEjection, 2*w.ejectionTime), maxEjection)
	w.ejectedUntil = d.now + w.ejectionTime/2 + time.Duration(d.rng.Int64N(int64(w.ejectionTime)))
	d.setTimer(&w.timer, w.ejectedUntil)
	d.markDirty(w)
	d.emit(Log{fmt.Sprintf("worker %d %s: set aside for about %v", w.ID, why, w.ejectionTime)})
}

// onOverdue looks at an attempt that has not started, or not ended, when it should have.
func (d *Dispatcher) onOverdue(a *attemptInfo) {
	j, w := a.job, a.worker
	if a.ended || a.orphaned || !a.started && a.mayBeDropped() { // an ended job's still show how a worker fares
		return
	}
	if d.stalledAt == d.now { // what tells of it may have come meanwhile, and be read in a moment
		d.setTimer(&a.timer, d.now+min(d.stallLength, maintenanceInterval))
		return
	}
	switch run := d.now - a.startedAt; {
	case !a.started:
		if wait := d.now - a.sentAt; wait < silenceFactor*d.meanLateStart {
			d.setTimer(&a.timer, a.sentAt+silenceFactor*d.meanLateStart)
		} else if d.observeIdleConnection(a, false); w.heardAt < a.sentAt {
			d.eject(w, false, "silent")
		}
		d.adjustLimit(w, a, false)
	case run < d.maxPlausibleRun(a): // it started, or the spread grew, since this look was set
		return
	default:
		d.observeOverrun(a, run)
		d.learnSpeed(w, min(w.logSpeed, math.Log(d.expectedWork(j)/run.Seconds())))
	}
	if d.isStuck(a) || d.shouldHedge(a) {
		d.retryElsewhere(j)
	} else if a.started { // it is looked at again once it has been silent for too long
		d.setTimer(&a.timer, a.progressAt+d.settings.ProgressInterval*3/2)
	}
}

// ---- Cold budget: rule 4 ----

// warmUpAllows keeps what we sent to a cold worker, refused work too, under our equal part of what would push
// it over.
func (d *Dispatcher) warmUpAllows(j *jobInfo, w *workerInfo) bool {
	share := d.warmUpShare(w)
	if share >= 1 {
		w.warmUpSpends = nil
		return true
	}
	span := d.settings.OverloadWindow
	w.warmUpSpends = slices.DeleteFunc(w.warmUpSpends, func(s spend) bool { return d.now-s.at > span })
	sum := d.warmUpCost(j)
	for _, s := range w.warmUpSpends {
		sum += s.work
	}
	budget := d.warmUpBudget(w)
	rank, all := d.assigneeRank(w)
	// Equal parts for many dispatchers would hold no job: by its id all agree on a few owners of each.
	owners := max(1, min(all, int(budget/(jobsPerOwner*d.meanCost+1e-9))))
	return (rank < owners || w.uncordonedAt > 0) && d.now-d.bornAt > span && sum <= budget/float64(owners)
}

// assignLots gives each cold worker a part of the numbers from 0 to 1 that jobs draw: its share of a ready
// one's even part of all jobs, or less where the budget allows less. Only jobs that could go elsewhere go by
// it, so the sum over dispatchers that tell each other nothing follows what the rest of the fleet is given.
func (d *Dispatcher) assignLots() {
	from, ready := 0.0, d.countReady()
	for _, w := range d.workerList {
		w.lotStart, w.lotWidth = from, 0
		if share := d.warmUpShare(w); w.Ready && share < 1 && w.Assignees == 0 && d.settings.Replicas > 1 {
			w.lotWidth = min(1, warmUpMargin*d.settings.OverloadFactor) * share / float64(ready)
		}
		from += w.lotWidth
	}
}

// drawsWorker tells whether a job has drawn a cold worker. One heavier than most has to come closer, as work counts
// by its mean; one that would use up what the guess at the worker's capacity allows it never goes.
func (d *Dispatcher) drawsWorker(j *jobInfo, w *workerInfo) bool {
	if w.lotWidth == 0 || j.wasSentTo(w) || len(w.warmUpSpends) > 0 || d.warmUpCost(j) > d.warmUpBudget(w) {
		return false
	}
	if j.warmUpDraw == 0 {
		j.warmUpDraw = 1 - d.rng.Float64()
	}
	return j.warmUpDraw > w.lotStart && (j.warmUpDraw-w.lotStart)*max(1, d.warmUpCost(j)/(d.meanCost+1e-9)) <= w.lotWidth
}

// ---- Taken out by hand ----

// cordon keeps all new work from a worker; what is out there runs on.
func (d *Dispatcher) cordon(id uint64) {
	if _, out := d.cordoned[id]; !out {
		d.cordoned[id] = d.now
	}
	if w := d.workers[id]; w != nil {
		w.Ready = false
		d.markDirty(w)
	}
	d.updateAllCordoned()
}

// uncordon ends that. The worker was restarted meanwhile, just now if no list has told when: it is cold, has
// nothing of ours, and what was out there is lost.
func (d *Dispatcher) uncordon(id uint64) {
	since, out := d.cordoned[id]
	delete(d.cordoned, id)
	d.updateAllCordoned()
	w := d.workers[id]
	if w == nil || !out {
		return
	}
	w.resetProcess()
	if w.broken, w.backoff, w.backoffUntil, w.returnedAt = false, 0, 0, 0; w.BootAt <= since {
		w.returnedAt = d.now
	}
	w.Ready, w.uncordonedAt = w.listedReady, d.now
	for _, a := range d.orphanAttempts(w) {
		d.retryElsewhere(a.job)
	}
	d.markDirty(w)
}

// mayTryUncordoned lets a job that would be late go to a worker that was brought back, if nothing else has for a while.
func (d *Dispatcher) mayTryUncordoned(j *jobInfo, w *workerInfo) bool {
	return w.uncordonedAt > 0 && d.now-w.uncordonedAt > uncordonedWait && j.class.Idempotency == Idempotent
}

// ---- Attempts, and the one place that knows rules 1 and 2 ----

var provesNotExecuted = [...]bool{WorkerFull: true, ConnectFailed: true, NotSent: true}

func (a *attemptInfo) possiblyExecuted() bool {
	return !a.ended || int(a.result) >= len(provesNotExecuted) || !provesNotExecuted[a.result]
}

// mayAttempt is rule 2 for a further attempt, and says yes to any first one.
func (d *Dispatcher) mayAttempt(j *jobInfo, w *workerInfo) bool {
	if j.closed || j.streaming || len(j.attempts) >= max(1, d.settings.AttemptLimit) || d.now >= j.deadline {
		return false
	}
	if j.inFlight > 0 && !d.settings.Hedging {
		return false
	}
	for _, a := range j.attempts {
		if !a.ended && a.worker == w {
			return false
		}
		if !a.possiblyExecuted() || j.class.Idempotency == Idempotent {
			continue
		}
		spare := max(j.class.DeduplicationWindow/20, d.settings.ConnectTimeout) // what is sent now may wait for its connection
		if j.class.Idempotency == NonIdempotent || d.now-a.sentAt >= j.class.DeduplicationWindow-spare ||
			j.class.DeduplicationScope == ScopeZone && a.zone != w.Zone || j.class.DeduplicationScope == ScopeCell && a.cell != w.Cell {
			return false
		}
	}
	return true
}

// mayReject is rule 2 for telling the client that another try is harmless.
func (d *Dispatcher) mayReject(j *jobInfo) bool {
	return j.class.Idempotency == Idempotent || j.class.Idempotency == IdempotentWithKey && j.class.DeduplicationScope == ScopeAll ||
		!slices.ContainsFunc(j.attempts, (*attemptInfo).possiblyExecuted)
}

// placementAllows is rule 5: a class bound to kinds or zones goes nowhere else, at no attempt, whatever is down or full.
func placementAllows(j *jobInfo, w *workerInfo) bool { return classAllows(j, w.Kind, w.Zone) }

func classAllows(j *jobInfo, kind, zone int) bool {
	c := j.class
	return (c.Kinds == nil || slices.Contains(c.Kinds, kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, zone))
}

func (d *Dispatcher) send(j *jobInfo, w *workerInfo) {
	a := &attemptInfo{job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sentAt: d.now,
		startedAt: d.now, expectedRun: d.expectedRun(j, w), started: !d.settings.StartNotifications}
	d.addAttempt(a)
	a.limitBound = w.usedSlots+1 > w.limit
	if !a.started {
		d.unstarted.add(j.Class, a)
	}
	if d.warmUpShare(w) < 1 {
		w.warmUpSpends = append(w.warmUpSpends, spend{d.now, d.warmUpCost(j)})
	}
	if d.hedgeTokens = min(d.hedgeTokens+hedgeRate, d.maxHedgeTokens()); a.number > 0 {
		d.hedgeTokens -= d.hedgeCost(j)
	}
	if d.isEjected(w) {
		d.nextTrialAt = d.now + minEjection
	}
	d.pilotSentAt, w.uncordonedAt = d.now, 0
	d.guardConnection(a)
	d.emit(Send{Job: j.ID, Worker: w.ID})
	wait := d.maxPlausibleRun(a)
	if !a.started {
		// A late start is news at once, but a job is moved only when waiting on begins to endanger its aim.
		wait = max(d.promptStart(j), (j.objectiveAt-d.now-a.expectedRun)/movePart)
	}
	a.timer = timer{purpose: attemptOverdue, attempt: a}
	d.setTimer(&a.timer, d.now+wait)
}

// guardConnection guards against connections dropped unseen while idle: what is sent on one gets no answer, or breaks.
// Those idle for longer than has lately gone well are closed first; jobs not safe to repeat take more care.
func (d *Dispatcher) guardConnection(a *attemptInfo) {
	w, most := a.worker, d.maxIdle
	if a.job.class.Idempotency != Idempotent {
		most /= 4
	}
	if d.settings.ConnIdleTimeout > 0 && d.now-w.lastEndAt >= d.settings.ConnIdleTimeout {
		w.connections = min(w.connections, len(w.inFlight)-1)
	}
	if w.connections < len(w.inFlight) {
		w.connections = len(w.inFlight)
	} else if a.connIdle = d.now - w.lastEndAt; d.maxIdle > 0 && a.connIdle > most {
		d.emit(CloseIdleConnections{Worker: w.ID})
		a.connIdle, w.connections = 0, len(w.inFlight)
	}
}

func (d *Dispatcher) onStarted(a *attemptInfo) {
	if a == nil || a.started {
		return
	}
	j, w := a.job, a.worker
	a.started, a.startedAt = true, d.now
	d.markAlive(w)
	a.progressAt, w.progressAt = d.now, d.now
	delay := d.now - a.sentAt
	prompt := delay <= d.promptStart(j)
	d.minStartDelay = min(d.minStartDelay, delay)
	if a.sentAt == d.pilotSentAt {
		d.pilotSentAt = 0
	}
	d.observeIdleConnection(a, true)
	if prompt || !d.spansStall(a) {
		if d.adjustLimit(w, a, prompt); !prompt {
			d.meanLateStart += (delay - d.meanLateStart) / 10
		}
	}
	w.runningSlots += j.Slots
	d.observeSlots(w, w.runningSlots)
	d.setTimer(&a.timer, d.now+d.maxPlausibleRun(a))
	if j.closed {
		return
	}
	// One copy runs: no further one is needed. Those that are out are not withdrawn, nor those of a job that
	// has ended: workers go on with what is cancelled, in their queues too, but tell nothing of it any more.
	// We would count room that is not there, send the next job behind that work and find it late.
	d.dequeue(j)
}

// isStuck tells whether an overdue attempt may be lost. One that waits at a worker which gets on with others
// is queued there, one that tells of progress is long: copies of them add to the load that made them late,
// and many dispatchers on one fleet would copy each other's jobs into the ground.
func (d *Dispatcher) isStuck(a *attemptInfo) bool {
	if !a.started {
		return a.worker.progressAt <= a.sentAt
	}
	return d.now-a.progressAt >= d.settings.ProgressInterval*3/2
}

// shouldHedge tells whether a short job of one of many dispatchers tries its luck elsewhere, though its worker
// gets on with others: none knows what others have queued there, and its copy costs little.
func (d *Dispatcher) shouldHedge(a *attemptInfo) bool {
	return d.settings.Replicas > manyReplicas && !a.started && a.job.class.Idempotency == Idempotent && d.isShort(a.job)
}

// maxHedgeTokens is how many copies may be saved up: those of all dispatchers together feed an overload too.
func (d *Dispatcher) maxHedgeTokens() float64 {
	return max(1, min(hedgeBurst, few*hedgeBurst*d.quotaShare()))
}

// retryElsewhere puts a job that is stuck on one worker back among the held, to be started elsewhere.
func (d *Dispatcher) retryElsewhere(j *jobInfo) {
	if j.closed || j.inFlight > 1 || d.hedgeTokens < d.hedgeCost(j) || j.class.Idempotency == NonIdempotent ||
		len(j.attempts) >= max(2, d.settings.AttemptLimit-1) {
		return
	}
	if d.settings.Hedging {
		d.enqueue(j)
	} else if j.class.Idempotency == Idempotent && d.settings.Cancellation && // to move it, its only attempt must end
		(!d.lateIsWorthless(j) || d.now+seconds(j.work/math.Exp(d.topSpeed)) <= j.objectiveAt) {
		for _, a := range j.attempts {
			if !a.ended {
				d.emit(Cancel{Job: j.ID, Attempt: a.number})
			}
		}
	}
}

func (d *Dispatcher) onOutcome(e Outcome) {
	a := d.findInFlight(e.Job, e.Attempt, e.Worker)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	a.ended, a.result = true, e.Result
	j.inFlight--
	w.lastEndAt = d.now
	if a.orphaned {
		w.orphans--
	} else {
		w.usedSlots, d.usedSlots = max(0, w.usedSlots-j.demand), max(0, d.usedSlots-j.demand)
		w.inFlight = removeUnordered(w.inFlight, a)
	}
	d.cancelTimer(&a.timer)
	d.markDirty(w)
	// A report is older than the end that it comes with: the slots that this leaves are not in it yet.
	d.applyReport(w, e.Report)
	if a.started && !a.orphaned {
		w.freeSlots += j.demand
		w.runningSlots -= j.Slots
	}
	switch {
	case a.orphaned: // it tells of a process that has gone
	case e.Result == OK:
		w.failures, w.progressAt = 0, d.now
		d.markAlive(w)
		d.learnFromRun(a, d.now-a.startedAt)
		if !d.settings.StartNotifications { // by what is known of sizes by now: where hints are low all would look late
			d.adjustLimit(w, a, d.now-a.sentAt <= j.class.LatencyObjective+seconds(j.class.ObjectiveStretch*d.expectedWork(j)/w.speed))
		}
	case e.Result == WorkerFull:
		w.heardAt = d.now
		d.observeBusy(w, true)
		d.decreaseLimit(w, a)
		if d.backOff(w, minEjection); w.usedSlots == 0 && j.demand > 1 {
			w.rejectedDemand = j.demand // it may never be able to run this
		}
	case e.Result == Failed:
		w.heardAt = d.now
		d.decreaseLimit(w, a)
		// A worker that fails fast looks empty and would draw all work: two failures in a row are enough.
		if w.failures++; w.failures > 1 {
			d.eject(w, true, "fails")
		}
	case e.Result == ConnectFailed || e.Result == ConnectionReset:
		if w.connections = len(w.inFlight); a.connIdle > 0 && !a.started {
			d.observeIdleConnection(a, false) // first of all the link's fault: the next attempt opens a new one
			break
		}
		// One break in a row may be the way's fault: set aside for each, all would be where links break.
		if w.connFailures++; w.connFailures == 1 && !a.started {
			break
		}
		w.connLost = w.connLost || e.Result == ConnectionReset
		d.decreaseLimit(w, a)
		d.eject(w, true, "is unreachable")
	case e.Result == TimedOut:
		d.decreaseLimit(w, a)
	}
	d.forgetWorker(w)
	if j.recheckOnEnd && !j.closed { // it was out at its aim: without another look it is held for good
		j.recheckOnEnd = false
		d.setTimer(&j.objectiveTimer, d.now)
	}
	if e.Closed || j.closed || e.Result == OK {
		d.closeJob(j)
	} else {
		d.requeue(j)
	}
}

// requeue holds a job for a further attempt, where none is out and one may be made.
func (d *Dispatcher) requeue(j *jobInfo) {
	switch {
	case j.heapIndex >= 0 || j.inFlight > 0:
	case len(j.attempts) >= max(1, d.settings.AttemptLimit) || j.class.Idempotency == NonIdempotent && !d.mayReject(j):
		d.finish(j)
	default:
		d.enqueue(j)
	}
}

// ---- Refusals ----

// finish gives the final answer.
func (d *Dispatcher) finish(j *jobInfo) {
	if j.closed || j.streaming {
		return
	}
	if d.mayReject(j) {
		d.emit(Reject{Job: j.ID, RetryAfter: min(max(0, j.deadline-d.now), d.settings.MaxRetryAfter)})
	} else {
		d.emit(Fail{Job: j.ID})
	}
	d.closeJob(j)
}

// onObjectivePassed acts when no worker could meet an unstarted job's aim any more. It gives way to jobs that can still
// earn in full (else all would wait past tau); where being late earns nothing it is refused in time.
func (d *Dispatcher) onObjectivePassed(j *jobInfo) {
	j.recheckOnEnd = slices.ContainsFunc(j.attempts, func(a *attemptInfo) bool { return !a.ended && a.started }) ||
		d.settings.Replicas > manyReplicas && j.inFlight > 0 // it runs all the same, and its client would come again elsewhere
	if j.closed || j.recheckOnEnd || j.unreachable && !d.lateIsWorthless(j) {
		return
	}
	// Expectations err by the spread: within twice that the job is offered what is free now.
	least := seconds(j.work / math.Exp(d.topSpeed+2*d.spread))
	if d.lateIsWorthless(j) && d.mayReject(j) && (j.unreachable && j.inFlight == 0 || d.now+least > j.objectiveAt) {
		// Where workers idle, some go all the same: what shuts jobs out must not shut out its own correction.
		if d.trialTokens += trialRate; j.unreachable || d.trialTokens < 1 || d.available.idle == 0 {
			d.trialTokens = min(d.trialTokens, trialBurst)
			d.finish(j)
			return
		}
		d.trialTokens--
	}
	if j.heapIndex >= 0 {
		j.demoted, j.unreachable = true, true
		d.queue.shapes[j.shape].byScore.fix(j.heapIndex)
	}
	d.setTimer(&j.objectiveTimer, d.now+recheckInterval)
}

// lateIsWorthless tells whether an answer past the aim earns less than its miss costs where few misses are borne.
func (d *Dispatcher) lateIsWorthless(j *jobInfo) bool {
	tail, late := d.settings.TailShare, j.class.LateValue
	return late <= 0 || tail > 0 && late*(1-tail)*missCostSlope*d.settings.MissBudget <= tail
}

// overQuota tells whether a tenant is beyond this dispatcher's part of its quota: such jobs are worth little.
func (d *Dispatcher) overQuota(j *jobInfo) bool {
	if j.Tenant < 0 || j.Tenant >= len(d.quotaTokens) || d.settings.TenantQuota[j.Tenant] <= 0 {
		return false
	}
	left, rate := &d.quotaTokens[j.Tenant], d.settings.TenantQuota[j.Tenant]*d.quotaShare()
	*left = min(*left+rate*(d.now-d.quotaRefilledAt[j.Tenant]).Seconds(), max(2*rate, quotaBurst))
	if d.quotaRefilledAt[j.Tenant] = d.now; *left < 1 {
		return true
	}
	*left--
	return false
}

// ---- Discovery ----

func (d *Dispatcher) onWorkerList(e WorkerList) {
	if e.Kind == ListUnavailable {
		d.subscribed = false
		if d.subscribing || d.subscribeBackoff == 0 {
			d.subscribeBackoff = min(max(d.minSubscribeBackoff(), 2*d.subscribeBackoff), max(d.minSubscribeBackoff(), d.settings.PollInterval/4))
		}
		d.subscribing = false
		d.subscribeAt = d.now + d.subscribeBackoff/2 + time.Duration(d.rng.Int64N(int64(d.subscribeBackoff)+1))
		return
	}
	if e.Kind == ListCached && d.subscribeAt == 0 && len(e.Workers) > 0 && d.settings.Replicas > manyReplicas {
		d.subscribeAt = d.now + time.Duration(d.rng.Int64N(int64(d.minSubscribeBackoff())+1))
	}
	if e.Kind != ListCached { // also one that was not asked for here: whoever watches has called again
		d.subscribing, d.subscribed, d.subscribeBackoff = false, true, 0
	}
	d.applyList(e)
}

// minSubscribeBackoff is how long to wait before the list is asked for anew. One service answers all in turn: where
// many ask at once, as after most were killed together, all would wait too long there.
func (d *Dispatcher) minSubscribeBackoff() time.Duration {
	return min(d.settings.PollInterval/20*time.Duration(max(1, d.settings.Replicas/4)), d.settings.PollInterval/2)
}

func (d *Dispatcher) maintain() {
	d.setTimer(&d.maintenance, d.now+maintenanceInterval)
	if d.settings.MustSubscribe && !d.subscribed && !d.subscribing && d.now >= d.subscribeAt {
		d.subscribing = true
		d.emit(Subscribe{})
	}
	d.decayEstimates()
	d.assignLots()
	bad, broken, ready := 0, 0, 0
	sum, best := 0.0, -featureClip
	for _, w := range d.workerList {
		if w.Ready {
			ready++
			sum += w.logSpeed
			best = max(best, w.logSpeed)
			if w.broken {
				broken++
			}
			if w.ejectionTime > 0 {
				bad++
			}
		}
	}
	d.mostSuspect, d.allBroken = 2*bad > ready, broken == ready
	if ready > 0 {
		d.topSpeed = best
	}
	// Runs show but the quotient of size and speed: the two must not drift off together.
	if mean := sum / float64(max(1, ready)); math.Abs(mean) > maxMeanSpeed {
		d.rescaleSpeeds(clamp(mean-clamp(mean, maxMeanSpeed), maxRescale))
	}
}

// requestChecks probes a few workers for a job, of those drawn at random the ones not asked for longest: an order
// common to all dispatchers would have them ask the same ones. The job waits a moment for an answer.
func (d *Dispatcher) requestChecks(j *jobInfo) {
	for n := 0; n < checksPerJob && d.settings.HealthChecks && d.checkTokens >= 1; n++ {
		var pick *workerInfo
		for range min(len(d.workerList), checkSamples) {
			w := d.workerList[d.rng.IntN(len(d.workerList))]
			near := w.Zone == d.settings.Zone || d.rng.Float64() < d.zoneBusy[d.settings.Zone]*(1-d.zoneBusy[w.Zone])
			if w.Ready && !w.checking && d.now-w.checkedAt >= 2*recheckInterval && placementAllows(j, w) &&
				(near || d.settings.CrossZoneCost == 0) && (pick == nil || w.checkedAt < pick.checkedAt) {
				pick = w
			}
		}
		if pick == nil {
			return
		}
		pick.checking, pick.checkedAt = true, d.now
		d.checkTokens--
		d.emit(HealthCheck{Worker: pick.ID})
		j.checksUntil = d.now + 2*d.minStartDelay + j.class.LatencyObjective/(4*promptPart)
		d.setTimer(&j.checksTimer, j.checksUntil)
	}
}
