// Types, events and actions stand in api.go, what a dispatcher remembers in state.go; every decision is here.
//
// Reading order: dispatch, predictor, rooms, health, cold budget, attempts and rules, refusals, discovery.

package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Constants of the mechanism. Spans that matter are relative to settings or to what has been observed.
const (
	tauFactor   = 3.0                    // promotion after this many mean short sojourns, as in the paper
	longShare   = 0.3                    // this share of jobs counts as long: the cut is a learnt quantile
	muRate      = 0.01                   // long window for the mean short sojourn
	learnRate   = 0.05                   // of the logistic model; bounded by clipped features
	featureClip = 4.0                    // in natural log units, about a factor of fifty
	speedRate   = 0.2                    // a worker's speed follows its last five or so jobs
	sizeRate    = 0.03                   // sizes follow many workers, so that no slow one bends them
	keysKept    = 10000                  // bounds the memory of keys
	rescaleMost = 0.1                    // in one go: jobs in hand keep the sizes they came with
	speedBand   = 0.3                    // mean log speed of the fleet, at most: the rest is sizes
	forgetSpeed = 10 * time.Second       // without news a learned speed drifts back to that of its kind
	forgetTail  = 60 * time.Second       // a class that had far heavier jobs may have more
	promptPart  = 4                      // a start within this part of the class's aim is prompt
	movePart    = 3                      // left unstarted for this part of its slack, a job moves
	overrun     = 2.5                    // this many mean log distances too long: a slow worker
	firstSpread = 0.35                   // mean log distance of runs from the expected, at first
	skipLimit   = 12                     // jobs that fit nowhere which one release looks past
	sweepEvery  = 50 * time.Millisecond  // worker upkeep: probes, forgetting, list calls
	upkeepEvery = 250 * time.Millisecond // forgetting and counting, over all workers
	reportFresh = time.Second            // an older load report says nothing about now
	reportLag   = 200 * time.Millisecond // jobs sent this shortly before a report may be missing from it
	waitShare   = 0.5                    // jobs of ours that may wait at workers, as part of those running
	silence     = 3                      // unstarted for this many usual late starts: a silent worker
	firstPause  = 500 * time.Millisecond // first avoidance of a suspect; doubles with each failed trial
	longPause   = 8 * time.Second        // and at most this
	ownerJobs   = 2.0                    // mean jobs that an owner's part of a cold budget holds
	coldMargin  = 0.4                    // part of the cold budget used: sizes have heavy tails
	overTries   = 2                      // late starts on a worker that runs as many as any ever did
	copyShare   = 0.05                   // copies per first send, so that they feed no overload
	copyBurst   = 10.0                   // and as many saved up, by each of a few dispatchers
	few         = 3                      // so many
	probeLoss   = 0.006                  // part of the result that probes may cost
	probeWidth  = 3                      // workers asked for a job where nothing known is fresh
	sampled     = 8                      // workers drawn to find one to ask
	busyWeight  = 3.0                    // a worker with no free slot weighs like so many in use
	busyRate    = 0.1                    // of the busy part by zone: its last ten or so samples
	missSlope   = 4                      // the tail's credit falls over this many times the borne misses
	quotaBurst  = 8.0                    // jobs of a tenant at once, however small our part of its quota
	priceSlot   = 0.05                   // a price this high weighs like one slot in use
	linkSlot    = 0.2                    // so does a handshake price this high
	hadIt       = 1000.0                 // and a worker that has had the job like more than any
	drawn       = 48                     // workers of one row that are all looked at
	drawnOf     = 16                     // and of a longer one
	looked      = 256                    // and of all rows
	trialShare  = 0.2                    // jobs that go though thought late, for each turned away
	trialBurst  = 4.0                    // and at once
	many        = 8                      // more dispatchers than these are many: most have little work each
	freedSlot   = 0.5                    // one brought back by hand comes before others alike
	freedWait   = 2 * time.Second        // and takes a job that would be late, after this
	lateSelf    = 20 * time.Millisecond  // so late for its own timer a process says nothing of workers
)

// before is the order in which held jobs leave, older that of those over tau.
func before(a, b *job) bool {
	if a.passes == b.passes && a.spare != b.spare {
		return b.spare
	}
	return cmp.Or(cmp.Compare(a.passes, b.passes), cmp.Compare(a.score, b.score),
		cmp.Compare(a.arrived, b.arrived)) < 0
}

func older(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.passes, b.passes), cmp.Compare(a.promote, b.promote)) < 0
}

// Step takes in what happened at now and returns dst with the actions it calls for appended.
func (d *Dispatcher) Step(now time.Duration, events []Event, dst []Action) []Action {
	d.now, d.dst = max(now, d.now), dst
	if d.born == 0 {
		d.born = d.now // a ledger of before is lost: no cold worker gets work for one span
	}
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			d.list(e)
		case Job:
			d.arrive(e)
		case Outcome:
			d.outcome(e)
		case Started:
			d.started(d.find(e.Job, e.Attempt, e.Worker))
		case Progressed:
			d.progressed(d.find(e.Job, e.Attempt, e.Worker))
		case StreamBegun:
			if a := d.find(e.Job, e.Attempt, e.Worker); a != nil {
				a.job.stream = true
				d.unhold(a.job)
			}
		case ClientGone:
			d.close(d.jobs[e.Job])
		case Probed:
			d.probedBack(e)
		case TimerFired:
			d.woke()
		default:
			d.told(e)
		}
	}
	if d.armed <= d.now {
		d.armed = 0
	}
	for d.alarms.first().at <= d.now { // never empty: the sweep renews itself
		d.look(d.alarms.take())
	}
	d.release()
	if next := d.alarms.first().at; d.armed == 0 || next < d.armed {
		d.armed = next
		d.do(SetTimer{After: d.armed - d.now})
	}
	dst, d.dst = d.dst, nil
	return dst
}

func (d *Dispatcher) do(a Action) { d.dst = append(d.dst, a) }

// ---- Dispatch: the paper's mechanism ----

func (d *Dispatcher) arrive(e Job) {
	if j := d.admit(e, 0); j != nil {
		j.spare = d.overShare(j)
		d.ask(j)
		d.hold(j)
	}
}

// admit takes in a job that came so long ago, with all but what was made of it since.
func (d *Dispatcher) admit(e Job, waited time.Duration) *job {
	if d.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(d.set.Classes) {
		return nil
	}
	c := &d.set.Classes[e.Class]
	j := &job{Job: e, class: c, index: -1, arrived: d.now - waited, deadline: d.now + max(e.Left, 0)}
	j.Slots, j.Hint = max(1, finite(e.Slots)), max(0, e.Hint)
	j.need = max(j.Slots, finite(e.Memory))
	j.work = d.expectedWork(j)
	// A retry keeps the aim of its first try; a first try leaves the most time seen in its class.
	d.fullLeft[e.Class] = max(d.fullLeft[e.Class], min(e.Left+waited, c.GiveUp))
	first := d.now - max(0, d.fullLeft[e.Class]-max(e.Left, 0))
	j.aim = min(first+c.Aim+seconds(c.Stretch*j.work), j.deadline)
	j.score = d.chanceLong(j)
	d.arrivals++
	d.meanWorth += muRate * (c.Worth - d.meanWorth)
	d.meanCost += (d.coldCost(j) - d.meanCost) * max(muRate, 1/d.arrivals)
	d.jobs[e.ID] = j
	d.probes = min(d.probes+min(probeWidth, probeLoss/max(d.set.ProbePrice, 1e-9)), float64(len(d.order)))
	j.name()
	d.alarm(&j.ends, j.deadline)
	d.alarm(&j.past, j.aim-seconds(j.work/math.Exp(d.best)))
	return j
}

func (d *Dispatcher) hold(j *job) {
	if j.index >= 0 || j.closed || j.stream {
		return
	}
	j.shape = shapeOf(d.groups[j.Class], slotBucket(j), len(j.attempts) > 0)
	d.roll.shapes[j.shape].held.add(j)
	if d.roll.n++; !j.aged { // once: an entry stays behind when its job leaves
		j.aged = true
		// Jobs worth more than most are over tau sooner: under overload capacity goes to what earns most.
		worthy := min(1, (d.meanWorth+1e-9)/(max(j.class.Worth, 0)+1e-9))
		j.promote = j.arrived + seconds(tauFactor*d.muShort*worthy)
		d.roll.shapes[j.shape].oldest.add(j)
	}
}

// release sends held jobs while some worker can start them now. Jobs held over tau leave first, oldest
// first; else the lowest chance of running long leaves. A job that fits nowhere is looked past, and where
// that is for want of room, with all that need the same.
func (d *Dispatcher) release() {
	for _, w := range d.touched {
		d.settle(w)
	}
	d.touched = d.touched[:0]
	if d.barred {
		d.turnOut()
	}
	if d.roll.n == 0 {
		return
	}
	d.countLate()
	if d.kept != nil && d.keptFor.index < 0 {
		d.kept, d.keptFor = nil, nil
	}
	for i := range d.roll.shapes {
		d.roll.shapes[i].blocked = false
	}
	for len(d.aside) < skipLimit && !d.backedUp() {
		j := d.next()
		if j == nil {
			break
		}
		if d.waiting > 0 && d.dealt() && !d.short(j) { // its few workers have little room
			d.unhold(j)
			d.aside = append(d.aside, j)
			continue
		}
		w, roomless := d.choose(j)
		if w == nil && j.need > 1 && d.now > j.promote {
			d.keep(j)
		}
		switch {
		case w != nil:
			d.unhold(j)
			d.send(j, w)
			d.settle(w)
		case roomless:
			d.roll.shapes[j.shape].blocked = true
		default:
			d.unhold(j)
			d.aside = append(d.aside, j)
		}
	}
	for i, j := range d.aside {
		if len(d.aside) == skipLimit { // the next release looks at others first: they may fit
			j.passes++
		}
		d.hold(j)
		d.aside[i] = nil
	}
	d.aside = d.aside[:0]
}

// next is the job that leaves next, of those whose shape has not been found to fit nowhere.
func (d *Dispatcher) next() (first *job) {
	var old *job
	for i := range d.roll.shapes {
		sh := &d.roll.shapes[i]
		if sh.blocked || sh.held.empty() {
			continue
		}
		if j := sh.held.first(); first == nil || before(j, first) {
			first = j
		}
		for !sh.oldest.empty() && (sh.oldest.first().index < 0 || sh.oldest.first().spare) {
			sh.oldest.take().aged = false
		}
		if !sh.oldest.empty() && (old == nil || older(sh.oldest.first(), old)) {
			old = sh.oldest.first()
		}
	}
	if old != nil && d.now > old.promote && !d.roll.shapes[old.shape].blocked {
		return old
	}
	return first
}

// settle puts a worker where choices find it, if it may have room, and out of their way if not.
func (d *Dispatcher) settle(w *worker) {
	w.touched = false
	cold := d.coldShare(w) < 1
	if d.workers[w.ID] == w && w.Ready && d.now >= w.restUntil && (w.used == 0 || w.used+1 <= w.room) {
		d.shelf.put(w, laneKey{w.Zone, w.Kind, cold, w.pause > 0})
	} else {
		d.shelf.drop(w)
	}
	wake := w.restUntil
	if warm := max(w.BootAt, w.back) + d.set.Cold; cold && (wake <= d.now || warm < wake) {
		wake = warm
	}
	if wake > d.now && w.Ready {
		d.alarm(&w.wake, wake)
	}
}

// keep holds a worker free for a large job that is over tau and fits nowhere, the one with least to finish:
// else smaller jobs would slip past it for ever. Sent before it fits, it would hold up a worker's queue.
func (d *Dispatcher) keep(j *job) {
	if d.kept != nil && d.kept.Ready {
		return
	}
	d.kept, d.keptFor = nil, j
	from, n := 0, len(d.order) // of a large fleet some are as good as all
	if n > looked {
		from, n = d.rng.IntN(n), looked
	}
	for i := range n {
		w := d.order[(from+i)%len(d.order)]
		small := w.tooBig == 0 || j.need < w.tooBig
		may := w.Ready && small && open(j, w) && d.maySend(j, w) && !d.suspect(w) &&
			(j.spare || d.now+d.expectedRun(j, w) <= j.aim)
		if may && (d.kept == nil || w.used/w.pace < d.kept.used/d.kept.pace) {
			d.kept = w
		}
	}
}

// choose picks the ready worker with the fewest of our slots in use, of those that can start the job now;
// ties are drawn by strength. Departures: one on which the job would miss its aim is passed over while the
// aim can still be met; crossings, new connections and workers likely to be busy weigh like slots in use.
// Of many that are alike some are looked at, drawn anew each time. roomless: nothing but room is wanting.
func (d *Dispatcher) choose(j *job) (pick *worker, roomless bool) {
	reports := len(d.set.Report) > 0
	for _, l := range d.shelf.lanes {
		if l.next, l.base = 0, 0; !openTo(j, l.kind, l.zone) {
			l.base = math.Inf(1)
			continue
		}
		if l.zone != d.set.Zone {
			l.base = d.set.CrossPrice / priceSlot
		}
		if !reports {
			l.base += busyWeight * d.busy[l.zone]
		}
	}
	best, sum, known, looks := math.Inf(1), 0.0, true, 0
	var lucky *worker // cold, and drawn by the job
	roomless = true
	for looks < looked {
		row, base := d.shelf.cheapest()
		if row == nil || base > best {
			break
		}
		from, n := 0, len(row)
		if n > drawn {
			from, n = d.rng.IntN(n), drawnOf
		}
		for i := range n {
			w := row[(from+i)%len(row)]
			looks++
			cost, weight, fresh := base-math.Floor(w.used)+w.used, cmp.Or(finite(w.Size), 1)*w.pace, false
			if len(w.out) >= w.links {
				cost += d.set.HandshakePrice / linkSlot // no idle connection
			}
			if reports {
				free := 0.0
				if free, fresh = d.freeSlots(w); fresh {
					weight *= max(free, 1)
				} else {
					cost += busyWeight * d.busy[w.Zone]
				}
			}
			if j.had(w) {
				cost += hadIt // one that has not had this job comes first
			}
			if cost > best || !d.roomFor(j, w) {
				continue
			}
			if w.freed > 0 {
				cost -= freedSlot
			}
			roomless = false
			if !j.spare && !d.proves(j, w) && d.now+d.expectedRun(j, w) > j.aim || !d.maySend(j, w) ||
				!d.healthyFor(j, w) {
				continue
			}
			if !d.coldAllows(j, w) {
				if d.wins(j, w) {
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
	if pick != nil && d.now < j.askUntil && (reports && !known || !reports && pick.unheard()) {
		return nil, false // asked workers have not answered yet
	}
	return pick, roomless && pick == nil && looks < looked
}

// ---- Predictor: chance of running long, and size ----

func (d *Dispatcher) chanceLong(j *job) float64 {
	h, s := d.features(j)
	n := len(d.set.Classes)
	return 1 / (1 + math.Exp(-(d.weights[j.Class] + d.weights[n]*h + d.weights[n+1]*s)))
}

func (d *Dispatcher) expectedWork(j *job) float64 {
	guess := j.class.Aim // without a hint the aim stands in, and the correction does the rest
	if j.Hint > 0 {
		guess = j.Hint
	}
	work := max(guess.Seconds(), 1e-4) * math.Exp(d.sizeLog[j.Class][slotBucket(j)])
	if past := d.keyWork[j.Key]; past > 0 {
		work = math.Sqrt(work * past) // the key's past is one more opinion of the same size
	}
	return work
}

// learn takes in a finished run. Size corrections are slow while speeds are quick, so that a slow spell is
// laid to the worker. Runs on cold workers teach nothing.
func (d *Dispatcher) learn(a *attempt, run time.Duration) {
	j, w := a.job, a.worker
	r := math.Log(max(run.Seconds(), 1e-4))
	if d.excused(a) {
		return
	}
	d.outran(a, run)
	if d.coldShare(w) < 1 {
		return
	}
	// Against what is held now: each of the many that are out would else correct the same old error again.
	size := math.Log(d.expectedWork(j))
	d.spread += muRate * (min(math.Abs(size-r-w.speed), featureClip) - d.spread)
	d.learnSpeed(w, size-r)
	own := r + w.speed // log of work as this run shows it
	g := -d.chanceLong(j)
	if own > d.cutLog {
		g++
	}
	h, s := d.features(j)
	n := len(d.set.Classes)
	d.weights[j.Class] += learnRate * g
	d.weights[n] = max(0.1, d.weights[n]+learnRate*g*h) // a longer hint never counts as shorter
	d.weights[n+1] += learnRate * g * s
	if len(d.keyWork)+d.keysAway >= keysKept {
		clear(d.keyWork) // forget all: what is still in use is soon learnt again
		d.keysAway = 0
	}
	if j.Key != 0 {
		d.keyWork[j.Key] = math.Exp(own)
	}
	d.sizeLog[j.Class][slotBucket(j)] += sizeRate * clip(own-size, featureClip/2)
	step := muRate * 2
	if own < d.cutLog {
		step = -step * longShare / (1 - longShare)
		sojourn := (d.now - j.arrived).Seconds()
		d.muShort += muRate * (min(sojourn, 10*d.muShort) - d.muShort)
	}
	d.cutLog += step * (1 - longShare)
}

func (d *Dispatcher) expectedRun(j *job, w *worker) time.Duration {
	return seconds(j.work / (w.pace * d.coldShare(w)))
}

// overlong is a run time that noise in hints and runs, as seen so far, does not explain.
func (d *Dispatcher) overlong(a *attempt) time.Duration {
	return seconds(a.expect.Seconds() * math.Exp(overrun*d.spread))
}

// ---- Rooms: how much of ours a worker can start at once ----

func (d *Dispatcher) roomFor(j *job, w *worker) bool {
	if w.tooBig > 0 && j.need >= w.tooBig || w.used > 0 && w.used+j.need > min(w.room, d.slots(w)) ||
		w == d.kept && j != d.keptFor {
		return false
	}
	late := d.promptBy(j)
	for _, a := range w.out {
		// A worker that leaves one of ours unstarted has a queue: it cannot start the next one now.
		if !a.started && d.now-a.sent > late && !a.repeats() {
			return false
		}
	}
	if w.reported == 0 {
		return true
	}
	free, fresh := d.freeSlots(w)
	return !fresh || free >= min(j.need, 1)
}

// promptBy is how soon a start comes where there is room, by the least delay seen: a mean follows queues.
func (d *Dispatcher) promptBy(j *job) time.Duration { return d.promptWithin(j.class) }

func (d *Dispatcher) promptWithin(c *Class) time.Duration { return 2*d.startBest + c.Aim/promptPart }

// grow answers a start. The paper's design says nothing of a late one; without an answer a room that has
// grown too far stays so, and the worker's own queue brings back head-of-line blocking.
func (d *Dispatcher) grow(w *worker, a *attempt, prompt bool) {
	d.noteBusy(w, !prompt)
	d.touch(w)
	if prompt {
		if w.rest = 0; a.limited {
			w.room = max(w.room, w.running+a.job.need) + 1
		}
	} else if a.sent >= w.cut {
		if k := d.kind(w.Kind); w.running >= k.slots {
			k.over++
		}
		// A room of one for each of many dispatchers is still a queue at the worker. Where even that one is
		// late, leave the worker alone as long as it waited, longer each time, until one starts promptly.
		if w.room <= 1 && d.set.Replicas > 1 {
			d.leave(w, d.now-a.sent)
		}
		w.cut, w.room = d.now, max(1, w.room-1)
	}
}

func (d *Dispatcher) leave(w *worker, least time.Duration) {
	w.rest = min(max(least, 2*w.rest), longPause)
	w.restUntil = d.now + w.rest
	d.touch(w) // held jobs are looked at again then
}

// backedUp is the room of the whole fleet: several dispatchers with a job here and there fill all queues
// though no room is above one (of many, see release). Jobs waiting far longer than late starts do are lost,
// not queued. One goes all the same, and the next when that has started, or is as late as others: a few sick
// workers are no fleet.
func (d *Dispatcher) backedUp() bool {
	return d.set.Replicas <= many && d.waiting > waitShare*(d.used-d.waiting) && d.now-d.scout < d.lateStart
}

// slots is what a worker of this kind can run at once: the most of ours that was seen to run on one, once a
// few that were sent beyond it have come late. Room alone drifts past it: where one job ends as the next
// comes, the next starts promptly.
func (d *Dispatcher) slots(w *worker) float64 {
	if k := d.kind(w.Kind); k.over >= overTries {
		return k.slots
	}
	return math.Inf(1)
}

// ---- Health: silence, failure and slowness, told apart by symptom ----

// suspect tells whether a worker is to be left alone. Where most look bad, the load or we ourselves are at
// fault and silence proves nothing; a broken connection still does, unless no worker is left at all.
func (d *Dispatcher) suspect(w *worker) bool {
	return w.pause > 0 && (w.broken && !d.mistrustAll || !w.broken && !d.mistrust)
}

// healthyFor lets a suspect have one short job that is safe to repeat once its pause is over, and lets no
// two suspects be tried at once: where a whole zone is gone, its empty workers would draw all that is sent.
func (d *Dispatcher) healthyFor(j *job, w *worker) bool {
	if !d.suspect(w) {
		return true
	}
	trial := j.class.Effect == Safe && d.short(j)
	return trial && d.now >= max(w.badUntil, d.trialAt) && len(w.out) == 0
}

func (d *Dispatcher) blame(w *worker, broken bool, why string) {
	w.broken = w.broken || broken
	if d.now < w.badUntil {
		return
	}
	w.pause = min(max(firstPause, 2*w.pause), longPause)
	w.badUntil = d.now + w.pause/2 + time.Duration(d.rng.Int64N(int64(w.pause)))
	d.alarm(&w.wake, w.badUntil)
	d.touch(w)
	d.do(Log{fmt.Sprintf("worker %d %s: set aside for about %v", w.ID, why, w.pause)})
}

// overdue looks at an attempt that has not started, or not ended, when it should have.
func (d *Dispatcher) overdue(a *attempt) {
	j, w := a.job, a.worker
	if a.ended || a.void || !a.started && a.repeats() { // an ended job's still show how a worker fares
		return
	}
	if d.wokeAt == d.now { // what tells of it may have come meanwhile, and be read in a moment
		d.alarm(&a.due, d.now+min(d.wokeLate, upkeepEvery))
		return
	}
	switch run := d.now - a.start; {
	case !a.started:
		if wait := d.now - a.sent; wait < silence*d.lateStart {
			d.alarm(&a.due, a.sent+silence*d.lateStart)
		} else if d.linkNews(a, false); w.heard < a.sent {
			d.blame(w, false, "silent")
		}
		d.grow(w, a, false)
	case run < d.overlong(a): // it started, or the spread grew, since this look was set
		return
	default:
		d.outran(a, run)
		d.learnSpeed(w, min(w.speed, math.Log(d.expectedWork(j)/run.Seconds())))
	}
	if d.stuck(a) || d.hedges(a) {
		d.rescue(j)
	} else if a.started { // it is looked at again once it has been silent for too long
		d.alarm(&a.due, a.told+d.set.Progress*3/2)
	}
}

// ---- Cold budget: rule 4 ----

// coldAllows keeps what we sent to a cold worker, refused work too, under our equal part of what would push
// it over.
func (d *Dispatcher) coldAllows(j *job, w *worker) bool {
	share := d.coldShare(w)
	if share >= 1 {
		w.ledger = nil
		return true
	}
	span := d.set.OverloadSpan
	w.ledger = slices.DeleteFunc(w.ledger, func(s spend) bool { return d.now-s.at > span })
	sum := d.coldCost(j)
	for _, s := range w.ledger {
		sum += s.work
	}
	budget := d.coldBudget(w)
	rank, all := d.rank(w)
	// Equal parts for many dispatchers would hold no job: by its id all agree on a few owners of each.
	owners := max(1, min(all, int(budget/(ownerJobs*d.meanCost+1e-9))))
	return (rank < owners || w.freed > 0) && d.now-d.born > span && sum <= budget/float64(owners)
}

// dealLots gives each cold worker a part of the numbers from 0 to 1 that jobs draw: its share of a ready
// one's even part of all jobs, or less where the budget allows less. Only jobs that could go elsewhere go by
// it, so the sum over dispatchers that tell each other nothing follows what the rest of the fleet is given.
func (d *Dispatcher) dealLots() {
	from, ready := 0.0, d.ready()
	for _, w := range d.order {
		w.lot, w.lots = from, 0
		if share := d.coldShare(w); w.Ready && share < 1 && w.Of == 0 && d.set.Replicas > 1 {
			w.lots = min(1, coldMargin*d.set.Overload) * share / float64(ready)
		}
		from += w.lots
	}
}

// wins tells whether a job has drawn a cold worker. One heavier than most has to come closer, as work counts
// by its mean; one that would use up what the guess at the worker's capacity allows it never goes.
func (d *Dispatcher) wins(j *job, w *worker) bool {
	if w.lots == 0 || j.had(w) || len(w.ledger) > 0 || d.coldCost(j) > d.coldBudget(w) {
		return false
	}
	if j.draw == 0 {
		j.draw = 1 - d.rng.Float64()
	}
	return j.draw > w.lot && (j.draw-w.lot)*max(1, d.coldCost(j)/(d.meanCost+1e-9)) <= w.lots
}

// ---- Taken out by hand ----

// suspend keeps all new work from a worker; what is out there runs on.
func (d *Dispatcher) suspend(id uint64) {
	if _, out := d.banned[id]; !out {
		d.banned[id] = d.now
	}
	if w := d.workers[id]; w != nil {
		w.Ready = false
		d.touch(w)
	}
	d.bar()
}

// restore ends that. The worker was restarted meanwhile, just now if no list has told when: it is cold, has
// nothing of ours, and what was out there is lost.
func (d *Dispatcher) restore(id uint64) {
	since, out := d.banned[id]
	delete(d.banned, id)
	d.bar()
	w := d.workers[id]
	if w == nil || !out {
		return
	}
	w.anew()
	if w.broken, w.rest, w.restUntil, w.back = false, 0, 0, 0; w.BootAt <= since {
		w.back = d.now
	}
	w.Ready, w.freed = w.up, d.now
	for _, a := range d.vacate(w) {
		d.rescue(a.job)
	}
	d.touch(w)
}

// proves lets a job that would be late go to a worker that was brought back, if nothing else has for a while.
func (d *Dispatcher) proves(j *job, w *worker) bool {
	return w.freed > 0 && d.now-w.freed > freedWait && j.class.Effect == Safe
}

// ---- Attempts, and the one place that knows rules 1 and 2 ----

var neverRan = [...]bool{Full: true, NoConnect: true, NotSent: true}

func (a *attempt) mayHaveRun() bool {
	return !a.ended || int(a.result) >= len(neverRan) || !neverRan[a.result]
}

// maySend is rule 2 for a further attempt, and says yes to any first one.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.closed || j.stream || len(j.attempts) >= max(1, d.set.TryLimit) || d.now >= j.deadline {
		return false
	}
	if j.out > 0 && !d.set.SecondCopies {
		return false
	}
	for _, a := range j.attempts {
		if !a.ended && a.worker == w {
			return false
		}
		if !a.mayHaveRun() || j.class.Effect == Safe {
			continue
		}
		spare := max(j.class.Window/20, d.set.ConnectTimeout) // what is sent now may wait for its connection
		if j.class.Effect == Unsafe || d.now-a.sent >= j.class.Window-spare ||
			j.class.Group == GroupZone && a.zone != w.Zone || j.class.Group == GroupCell && a.cell != w.Cell {
			return false
		}
	}
	return true
}

// mayRefuse is rule 2 for telling the client that another try is harmless.
func (d *Dispatcher) mayRefuse(j *job) bool {
	return j.class.Effect == Safe || j.class.Effect == Keyed && j.class.Group == GroupAll ||
		!slices.ContainsFunc(j.attempts, (*attempt).mayHaveRun)
}

// open is rule 5: a class bound to kinds or zones goes nowhere else, at no attempt, whatever is down or full.
func open(j *job, w *worker) bool { return openTo(j, w.Kind, w.Zone) }

func openTo(j *job, kind, zone int) bool {
	c := j.class
	return (c.Kinds == nil || slices.Contains(c.Kinds, kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, zone))
}

func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sent: d.now,
		start: d.now, expect: d.expectedRun(j, w), started: !d.set.TellsStart}
	d.count(a)
	a.limited = w.used+1 > w.room
	if !a.started {
		d.unstarted.add(j.Class, a)
	}
	if d.coldShare(w) < 1 {
		w.ledger = append(w.ledger, spend{d.now, d.coldCost(j)})
	}
	if d.copies = min(d.copies+copyShare, d.copiesSaved()); a.number > 0 {
		d.copies -= d.copyCost(j)
	}
	if d.suspect(w) {
		d.trialAt = d.now + firstPause
	}
	d.scout, w.freed = d.now, 0
	d.link(a)
	d.do(Send{Job: j.ID, Worker: w.ID})
	wait := d.overlong(a)
	if !a.started {
		// A late start is news at once, but a job is moved only when waiting on begins to endanger its aim.
		wait = max(d.promptBy(j), (j.aim-d.now-a.expect)/movePart)
	}
	a.due = alarm{what: overlate, attempt: a}
	d.alarm(&a.due, d.now+wait)
}

// link guards against connections dropped unseen while idle: what is sent on one gets no answer, or breaks.
// Those idle for longer than has lately gone well are closed first; jobs not safe to repeat take more care.
func (d *Dispatcher) link(a *attempt) {
	w, most := a.worker, d.idleMost
	if a.job.class.Effect != Safe {
		most /= 4
	}
	if d.set.ConnIdle > 0 && d.now-w.ended >= d.set.ConnIdle {
		w.links = min(w.links, len(w.out)-1)
	}
	if w.links < len(w.out) {
		w.links = len(w.out)
	} else if a.idle = d.now - w.ended; d.idleMost > 0 && a.idle > most {
		d.do(FreeLinks{Worker: w.ID})
		a.idle, w.links = 0, len(w.out)
	}
}

func (d *Dispatcher) started(a *attempt) {
	if a == nil || a.started {
		return
	}
	j, w := a.job, a.worker
	a.started, a.start = true, d.now
	d.alive(w)
	a.told, w.worked = d.now, d.now
	delay := d.now - a.sent
	prompt := delay <= d.promptBy(j)
	d.startBest = min(d.startBest, delay)
	if a.sent == d.scout {
		d.scout = 0
	}
	d.linkNews(a, true)
	if prompt || !d.excused(a) {
		if d.grow(w, a, prompt); !prompt {
			d.lateStart += (delay - d.lateStart) / 10
		}
	}
	w.running += j.Slots
	d.seenSlots(w, w.running)
	d.alarm(&a.due, d.now+d.overlong(a))
	if j.closed {
		return
	}
	// One copy runs: no further one is needed. Those that are out are not withdrawn, nor those of a job that
	// has ended: workers go on with what is cancelled, in their queues too, but tell nothing of it any more.
	// We would count room that is not there, send the next job behind that work and find it late.
	d.unhold(j)
}

// stuck tells whether an overdue attempt may be lost. One that waits at a worker which gets on with others
// is queued there, one that tells of progress is long: copies of them add to the load that made them late,
// and many dispatchers on one fleet would copy each other's jobs into the ground.
func (d *Dispatcher) stuck(a *attempt) bool {
	if !a.started {
		return a.worker.worked <= a.sent
	}
	return d.now-a.told >= d.set.Progress*3/2
}

// hedges tells whether a short job of one of many dispatchers tries its luck elsewhere, though its worker
// gets on with others: none knows what others have queued there, and its copy costs little.
func (d *Dispatcher) hedges(a *attempt) bool {
	return d.set.Replicas > many && !a.started && a.job.class.Effect == Safe && d.short(a.job)
}

// copiesSaved is how many copies may be saved up: those of all dispatchers together feed an overload too.
func (d *Dispatcher) copiesSaved() float64 { return max(1, min(copyBurst, few*copyBurst*d.part())) }

// rescue puts a job that is stuck on one worker back among the held, to be started elsewhere.
func (d *Dispatcher) rescue(j *job) {
	if j.closed || j.out > 1 || d.copies < d.copyCost(j) || j.class.Effect == Unsafe ||
		len(j.attempts) >= max(2, d.set.TryLimit-1) {
		return
	}
	if d.set.SecondCopies {
		d.hold(j)
	} else if j.class.Effect == Safe && d.set.Cancelling && // to move it, its only attempt must end
		(!d.lateIsNil(j) || d.now+seconds(j.work/math.Exp(d.best)) <= j.aim) {
		for _, a := range j.attempts {
			if !a.ended {
				d.do(Cancel{Job: j.ID, Attempt: a.number})
			}
		}
	}
}

func (d *Dispatcher) outcome(e Outcome) {
	a := d.find(e.Job, e.Attempt, e.Worker)
	if a == nil {
		return
	}
	j, w := a.job, a.worker
	a.ended, a.result = true, e.Result
	j.out--
	w.ended = d.now
	if a.void {
		w.voids--
	} else {
		w.used, d.used = max(0, w.used-j.need), max(0, d.used-j.need)
		w.out = leave(w.out, a)
	}
	d.unset(&a.due)
	d.touch(w)
	// A report is older than the end that it comes with: the slots that this leaves are not in it yet.
	d.report(w, e.Report)
	if a.started && !a.void {
		w.free += j.need
		w.running -= j.Slots
	}
	switch {
	case a.void: // it tells of a process that has gone
	case e.Result == OK:
		w.streak, w.worked = 0, d.now
		d.alive(w)
		d.learn(a, d.now-a.start)
		if !d.set.TellsStart { // by what is known of sizes by now: where hints are low all would look late
			d.grow(w, a, d.now-a.sent <= j.class.Aim+seconds(j.class.Stretch*d.expectedWork(j)/w.pace))
		}
	case e.Result == Full:
		w.heard = d.now
		d.noteBusy(w, true)
		d.shrink(w, a)
		if d.leave(w, firstPause); w.used == 0 && j.need > 1 {
			w.tooBig = j.need // it may never be able to run this
		}
	case e.Result == Failed:
		w.heard = d.now
		d.shrink(w, a)
		// A worker that fails fast looks empty and would draw all work: two failures in a row are enough.
		if w.streak++; w.streak > 1 {
			d.blame(w, true, "fails")
		}
	case e.Result == NoConnect || e.Result == Reset:
		if w.links = len(w.out); a.idle > 0 && !a.started {
			d.linkNews(a, false) // first of all the link's fault: the next attempt opens a new one
			break
		}
		// One break in a row may be the way's fault: set aside for each, all would be where links break.
		if w.breaks++; w.breaks == 1 && !a.started {
			break
		}
		w.lost = w.lost || e.Result == Reset
		d.shrink(w, a)
		d.blame(w, true, "is unreachable")
	case e.Result == TimedOut:
		d.shrink(w, a)
	}
	d.forget(w)
	if j.passed && !j.closed { // it was out at its aim: without another look it is held for good
		j.passed = false
		d.alarm(&j.past, d.now)
	}
	if e.Closed || j.closed || e.Result == OK {
		d.close(j)
	} else {
		d.again(j)
	}
}

// again holds a job for a further attempt, where none is out and one may be made.
func (d *Dispatcher) again(j *job) {
	switch {
	case j.index >= 0 || j.out > 0:
	case len(j.attempts) >= max(1, d.set.TryLimit) || j.class.Effect == Unsafe && !d.mayRefuse(j):
		d.end(j)
	default:
		d.hold(j)
	}
}

// ---- Refusals ----

// end gives the final answer.
func (d *Dispatcher) end(j *job) {
	if j.closed || j.stream {
		return
	}
	if d.mayRefuse(j) {
		d.do(Refuse{Job: j.ID, After: min(max(0, j.deadline-d.now), d.set.MaxRetryAfter)})
	} else {
		d.do(Fail{Job: j.ID})
	}
	d.close(j)
}

// late acts when no worker could meet an unstarted job's aim any more. It gives way to jobs that can still
// earn in full (else all would wait past tau); where being late earns nothing it is refused in time.
func (d *Dispatcher) late(j *job) {
	j.passed = slices.ContainsFunc(j.attempts, func(a *attempt) bool { return !a.ended && a.started }) ||
		d.set.Replicas > many && j.out > 0 // it runs all the same, and its client would come again elsewhere
	if j.closed || j.passed || j.late && !d.lateIsNil(j) {
		return
	}
	// Expectations err by the spread: within twice that the job is offered what is free now.
	least := seconds(j.work / math.Exp(d.best+2*d.spread))
	if d.lateIsNil(j) && d.mayRefuse(j) && (j.late && j.out == 0 || d.now+least > j.aim) {
		// Where workers idle, some go all the same: what shuts jobs out must not shut out its own correction.
		if d.trials += trialShare; j.late || d.trials < 1 || d.shelf.idle == 0 {
			d.trials = min(d.trials, trialBurst)
			d.end(j)
			return
		}
		d.trials--
	}
	if j.index >= 0 {
		j.spare, j.late = true, true
		d.roll.shapes[j.shape].held.reorder(j.index)
	}
	d.alarm(&j.past, d.now+sweepEvery)
}

// lateIsNil tells whether an answer past the aim earns less than its miss costs where few misses are borne.
func (d *Dispatcher) lateIsNil(j *job) bool {
	tail, late := d.set.TailPart, j.class.LateShare
	return late <= 0 || tail > 0 && late*(1-tail)*missSlope*d.set.BorneMisses <= tail
}

// overShare tells whether a tenant is beyond this dispatcher's part of its quota: such jobs are worth little.
func (d *Dispatcher) overShare(j *job) bool {
	if j.Tenant < 0 || j.Tenant >= len(d.quota) || d.set.TenantQuota[j.Tenant] <= 0 {
		return false
	}
	left, rate := &d.quota[j.Tenant], d.set.TenantQuota[j.Tenant]*d.part()
	*left = min(*left+rate*(d.now-d.quotaAt[j.Tenant]).Seconds(), max(2*rate, quotaBurst))
	if d.quotaAt[j.Tenant] = d.now; *left < 1 {
		return true
	}
	*left--
	return false
}

// ---- Discovery ----

func (d *Dispatcher) list(e WorkerList) {
	if e.Kind == ListLost {
		d.follows = false
		if d.asked || d.askWait == 0 {
			d.askWait = min(max(d.askLeast(), 2*d.askWait), max(d.askLeast(), d.set.AskEvery/4))
		}
		d.asked = false
		d.askAt = d.now + d.askWait/2 + time.Duration(d.rng.Int64N(int64(d.askWait)+1))
		return
	}
	if e.Kind == ListCached && d.askAt == 0 && len(e.Workers) > 0 && d.set.Replicas > many {
		d.askAt = d.now + time.Duration(d.rng.Int64N(int64(d.askLeast())+1))
	}
	if e.Kind != ListCached { // also one that was not asked for here: whoever watches has called again
		d.asked, d.follows, d.askWait = false, true, 0
	}
	d.enter(e)
}

// askLeast is how long to wait before the list is asked for anew. One service answers all in turn: where
// many ask at once, as after most were killed together, all would wait too long there.
func (d *Dispatcher) askLeast() time.Duration {
	return min(d.set.AskEvery/20*time.Duration(max(1, d.set.Replicas/4)), d.set.AskEvery/2)
}

func (d *Dispatcher) sweep() {
	d.alarm(&d.tick, d.now+upkeepEvery)
	if d.set.MustSubscribe && !d.follows && !d.asked && d.now >= d.askAt {
		d.asked = true
		d.do(Subscribe{})
	}
	d.fade()
	d.dealLots()
	bad, broken, ready := 0, 0, 0
	sum, best := 0.0, -featureClip
	for _, w := range d.order {
		if w.Ready {
			ready++
			sum += w.speed
			best = max(best, w.speed)
			if w.broken {
				broken++
			}
			if w.pause > 0 {
				bad++
			}
		}
	}
	d.mistrust, d.mistrustAll = 2*bad > ready, broken == ready
	if ready > 0 {
		d.best = best
	}
	// Runs show but the quotient of size and speed: the two must not drift off together.
	if mean := sum / float64(max(1, ready)); math.Abs(mean) > speedBand {
		d.rescale(clip(mean-clip(mean, speedBand), rescaleMost))
	}
}

// ask probes a few workers for a job, of those drawn at random the ones not asked for longest: an order
// common to all dispatchers would have them ask the same ones. The job waits a moment for an answer.
func (d *Dispatcher) ask(j *job) {
	for n := 0; n < probeWidth && d.set.Probes && d.probes >= 1; n++ {
		var pick *worker
		for range min(len(d.order), sampled) {
			w := d.order[d.rng.IntN(len(d.order))]
			near := w.Zone == d.set.Zone || d.rng.Float64() < d.busy[d.set.Zone]*(1-d.busy[w.Zone])
			if w.Ready && !w.probing && d.now-w.probed >= 2*sweepEvery && open(j, w) &&
				(near || d.set.CrossPrice == 0) && (pick == nil || w.probed < pick.probed) {
				pick = w
			}
		}
		if pick == nil {
			return
		}
		pick.probing, pick.probed = true, d.now
		d.probes--
		d.do(Probe{Worker: pick.ID})
		j.askUntil = d.now + 2*d.startBest + j.class.Aim/(4*promptPart)
		d.alarm(&j.answered, j.askUntil)
	}
}
