// Types, events and actions stand in api.go, what a dispatcher remembers in state.go; every decision is here.
//
// Reading order: dispatch, predictor, rooms, health, cold budget, attempts and rules, refusals, discovery.

package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
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
	hashFactor  = 0x9e3779b97f4a7c15     // golden ratio in 64 bits: spreads ids
	coldMargin  = 0.4                    // part of the cold budget used: sizes have heavy tails
	overTries   = 2                      // late starts on a worker that runs as many as any ever did
	copyShare   = 0.2                    // copies per first send, so that they feed no overload
	copyBurst   = 10.0                   // and as many saved up
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
)

// New returns a dispatcher that knows nothing but its settings.
func New(set Settings, seed uint64) *Dispatcher {
	src := rand.NewPCG(seed, 0)
	d := &Dispatcher{set: set, rng: rand.New(src), src: src, jobs: map[uint64]*job{},
		workers: map[uint64]*worker{}, kinds: map[int]*kind{},
		busy: map[int]float64{}, keyWork: map[uint64]float64{}, spread: firstSpread, copies: copyBurst}
	d.alarms.less = func(a, b alarm) bool { return a.at < b.at }
	d.oldest.less = func(a, b *job) bool { return a.promote < b.promote }
	d.held.place = func(j *job, i int) { j.index = i }
	d.held.less = func(a, b *job) bool {
		if a.spare != b.spare {
			return b.spare
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.arrived, b.arrived)) < 0
	}
	aims := 0.0
	for _, c := range set.Classes {
		aims += c.Aim.Seconds() / float64(len(set.Classes))
		d.sizeLog = append(d.sizeLog, [4]float64{})
		d.tail = append(d.tail, 1)
		d.meanWorth += c.Worth / float64(len(set.Classes))
	}
	d.muShort, d.cutLog = max(aims, 1e-3), math.Log(max(aims, 1e-3))
	d.lateStart = seconds(aims / silence)
	d.fullLeft = make([]time.Duration, len(set.Classes))
	d.weights = make([]float64, len(set.Classes)+2)
	d.weights[len(set.Classes)] = 1 // prior: the chance of running long rises with the hint
	d.startBest = max(set.ConnectTimeout/promptPart, time.Millisecond)
	d.quota = slices.Clone(set.TenantQuota)
	d.alarm(alarm{what: upkeep})
	return d
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
			d.started(d.find(e.Job, e.Attempt, e.Worker)) // its start notice may have been lost
		case StreamBegun:
			if a := d.find(e.Job, e.Attempt, e.Worker); a != nil {
				a.job.stream = true
				d.unhold(a.job)
			}
		case ClientGone:
			d.close(d.jobs[e.Job])
		case Probed:
			d.probedBack(e)
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
	if d.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(d.set.Classes) {
		return
	}
	c := &d.set.Classes[e.Class]
	j := &job{Job: e, class: c, index: -1, arrived: d.now, deadline: d.now + max(e.Left, 0)}
	j.Slots, j.Hint = max(1, finite(e.Slots)), max(0, e.Hint)
	j.need = max(j.Slots, finite(e.Memory))
	j.work = d.expectedWork(j)
	// A retry keeps the aim of its first try; a first try leaves the most time seen in its class.
	d.fullLeft[e.Class] = max(d.fullLeft[e.Class], min(e.Left, c.GiveUp))
	first := d.now - max(0, d.fullLeft[e.Class]-max(e.Left, 0))
	j.aim = min(first+c.Aim+seconds(c.Stretch*j.work), j.deadline)
	j.score = d.chanceLong(j)
	d.arrivals++
	d.meanWorth += muRate * (c.Worth - d.meanWorth)
	d.meanCost += (d.coldCost(j) - d.meanCost) * max(muRate, 1/d.arrivals)
	j.spare = d.overShare(j)
	d.jobs[e.ID] = j
	d.probes = min(d.probes+min(probeWidth, probeLoss/max(d.set.ProbePrice, 1e-9)), float64(len(d.order)))
	d.alarm(alarm{at: j.deadline, what: deadline, job: j})
	d.alarm(alarm{at: j.aim - seconds(j.work/math.Exp(d.best)), what: aimPast, job: j})
	d.ask(j)
	d.hold(j)
}

func (d *Dispatcher) hold(j *job) {
	if j.index >= 0 || j.closed || j.stream {
		return
	}
	d.held.add(j)
	if !j.aged { // once: an entry stays behind when its job leaves
		j.aged = true
		// Jobs worth more than most are over tau sooner: under overload capacity goes to what earns most.
		worthy := min(1, (d.meanWorth+1e-9)/(max(j.class.Worth, 0)+1e-9))
		j.promote = j.arrived + seconds(tauFactor*d.muShort*worthy)
		d.oldest.add(j)
	}
}

func (d *Dispatcher) unhold(j *job) {
	if j.index >= 0 {
		d.held.remove(j.index)
	}
}

// release sends held jobs while some worker can start them now. Jobs held over tau leave first, oldest
// first; else the lowest chance of running long leaves. A job that fits nowhere is looked past.
func (d *Dispatcher) release() {
	if d.held.empty() || d.backedUp() {
		return
	}
	var aside []*job
	d.roomy = d.roomy[:0] // found once a step: a scan of a large fleet for each job would cost too much
	for _, w := range d.order {
		if w.Ready && d.now >= w.restUntil && (w.used == 0 || w.used+1 <= w.room) {
			d.roomy = append(d.roomy, w)
		}
	}
	if d.kept != nil && d.keptFor.index < 0 {
		d.kept, d.keptFor = nil, nil
	}
	for !d.held.empty() && len(aside) < skipLimit && !d.backedUp() {
		j := d.held.first()
		for !d.oldest.empty() && (d.oldest.first().index < 0 || d.oldest.first().spare) {
			d.oldest.take().aged = false
		}
		if !d.oldest.empty() && d.now > d.oldest.first().promote {
			j = d.oldest.first()
		}
		w := d.choose(j)
		if w == nil && j.need > 1 && d.now > j.promote {
			d.keep(j)
		}
		if w != nil {
			d.unhold(j)
			d.send(j, w)
			continue
		}
		d.held.remove(j.index)
		aside = append(aside, j)
	}
	for _, j := range aside {
		d.hold(j)
	}
}

// keep holds a worker free for a large job that is over tau and fits nowhere, the one with least to finish:
// else smaller jobs would slip past it for ever. Sent before it fits, it would hold up a worker's queue.
func (d *Dispatcher) keep(j *job) {
	if d.kept != nil && d.kept.Ready {
		return
	}
	d.kept, d.keptFor = nil, j
	for _, w := range d.order {
		small := w.tooBig == 0 || j.need < w.tooBig
		may := w.Ready && small && open(j, w) && d.maySend(j, w) && !d.suspect(w)
		if may && (d.kept == nil || w.used/w.pace < d.kept.used/d.kept.pace) {
			d.kept = w
		}
	}
}

// choose picks the ready worker with the fewest of our slots in use, of those that can start the job now;
// ties are drawn by strength. Departures: one on which the job would miss its aim is passed over while the
// aim can still be met; crossings, new connections and workers likely to be busy weigh like slots in use.
func (d *Dispatcher) choose(j *job) *worker {
	var pick *worker
	best, sum, known := math.Inf(1), 0.0, true
	for _, w := range d.roomy {
		run := d.expectedRun(j, w)
		cost, weight := w.used, cmp.Or(finite(w.Size), 1)*w.pace
		if w.Zone != d.set.Zone {
			cost += d.set.CrossPrice / priceSlot
		}
		if len(w.out) >= w.links {
			cost += d.set.HandshakePrice / linkSlot // no idle connection
		}
		free, fresh := d.freeSlots(w)
		if weight *= max(free, 1); !fresh {
			weight /= max(free, 1)
			cost += busyWeight * d.busy[w.Zone]
		}
		if slices.ContainsFunc(j.attempts, func(a *attempt) bool { return a.worker == w }) {
			cost += hadIt // one that has not had this job comes first
		}
		if cost > best || !j.spare && d.now+run > j.aim || !open(j, w) || !d.roomFor(j, w) ||
			!d.maySend(j, w) || !d.healthyFor(j, w) || !d.coldAllows(j, w) {
			continue
		}
		if cost < best {
			best, sum = cost, 0
		}
		if sum += weight; d.rng.Float64()*sum < weight {
			pick, known = w, fresh
		}
	}
	if !known && d.now < j.askUntil {
		return nil // asked workers have not answered yet
	}
	return pick
}

// ---- Predictor: chance of running long, and size ----

func (d *Dispatcher) features(j *job) (hint, slots float64) {
	return clip(math.Log(j.work)-d.cutLog, featureClip), clip(math.Log2(j.Slots), featureClip)
}

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
	d.outran(a, run)
	if d.coldShare(w) < 1 {
		return
	}
	d.spread += muRate * (min(math.Abs(math.Log(j.work)-r-w.speed), featureClip) - d.spread)
	d.learnSpeed(w, math.Log(j.work)-r)
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
	d.sizeLog[j.Class][slotBucket(j)] += sizeRate * clip(own-math.Log(j.work), featureClip/2)
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

func slotBucket(j *job) int { return min(3, int(math.Log2(j.Slots))) }

// ---- Rooms: how much of ours a worker can start at once ----

func (d *Dispatcher) roomFor(j *job, w *worker) bool {
	if w.tooBig > 0 && j.need >= w.tooBig || w.used > 0 && w.used+j.need > min(w.room, d.slots(w)) ||
		w == d.kept && j != d.keptFor {
		return false
	}
	late := d.promptBy(j)
	for _, a := range w.out {
		// A worker that leaves one of ours unstarted has a queue: it cannot start the next one now.
		if !a.started && d.now-a.sent > late {
			return false
		}
	}
	free, fresh := d.freeSlots(w)
	return !fresh || free >= min(j.need, 1)
}

// freeSlots is what a worker's last report leaves after what we sent since, and whether that is news still.
func (d *Dispatcher) freeSlots(w *worker) (free float64, fresh bool) {
	free = w.free
	for _, a := range w.out {
		if a.sent > w.reported-reportLag {
			free -= a.job.need
		}
	}
	return free, w.reported > 0 && d.now-w.reported < reportFresh
}

// promptBy is how soon a start comes where there is room, by the least delay seen: a mean follows queues.
func (d *Dispatcher) promptBy(j *job) time.Duration { return 2*d.startBest + j.class.Aim/promptPart }

// grow answers a start. The paper's design says nothing of a late one; without an answer a room that has
// grown too far stays so, and the worker's own queue brings back head-of-line blocking.
func (d *Dispatcher) grow(w *worker, a *attempt, prompt bool) {
	d.noteBusy(w, !prompt)
	if prompt {
		if w.rest = 0; a.limited {
			w.room++
		}
	} else if a.sent >= w.cut {
		if k := d.kind(w.Kind); w.running >= k.slots {
			k.over++
		}
		// A room of one for each of many dispatchers is still a queue at the worker. Where even that one is
		// late, leave the worker alone as long as it waited, longer each time, until one starts promptly.
		if w.room <= 1 {
			d.leave(w, d.now-a.sent)
		}
		w.cut, w.room = d.now, max(1, w.room-1)
	}
}

func (d *Dispatcher) leave(w *worker, least time.Duration) {
	w.rest = min(max(least, 2*w.rest), longPause)
	w.restUntil = d.now + w.rest
	d.alarm(alarm{at: w.restUntil}) // held jobs are looked at again then
}

func (d *Dispatcher) shrink(w *worker, a *attempt) {
	if a.sent >= w.cut { // what is older is the same piece of news: one crash, one full queue
		w.cut, w.room = d.now, max(1, math.Floor(w.room/2))
	}
}

// noteBusy learns by zone how likely a worker is to have no free slot, as we see too little of each worker.
// It weighs like slots in use, so that a crossing is paid where the own zone is the fuller.
func (d *Dispatcher) noteBusy(w *worker, busy bool) {
	if d.busy[w.Zone] *= 1 - busyRate; busy {
		d.busy[w.Zone] += busyRate
	}
}

// backedUp is the room of the whole fleet: hundreds of dispatchers with a job here and there fill all queues
// though no room is above one. Jobs waiting far longer than late starts do are lost, not queued.
func (d *Dispatcher) backedUp() bool {
	wait := 0.0
	for _, a := range d.unstarted {
		last := a.job.index < 0 && !a.job.closed && a.number == len(a.job.attempts)-1
		if age := d.now - a.sent; last && age > d.promptBy(a.job) && age < silence*d.lateStart {
			wait += a.job.need
		}
	}
	return wait > waitShare*(d.used-wait)
}

func (d *Dispatcher) report(w *worker, r []float64) {
	for i, f := range d.set.Report {
		if f == FieldFreeSlots && i < len(r) && !math.IsNaN(r[i]) {
			w.free, w.reported = max(0, r[i]), d.now
			d.noteBusy(w, w.free < 0.5)
			d.seenSlots(w, math.Floor(w.free))
		}
	}
}

func (d *Dispatcher) seenSlots(w *worker, n float64) {
	if k := d.kind(w.Kind); d.coldShare(w) == 1 && n > k.slots {
		k.slots, k.over = n, 0
	}
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
	trial := j.class.Effect == Safe && math.Log(j.work) < d.cutLog
	return trial && d.now >= max(w.badUntil, d.trialAt) && len(w.out) == 0
}

func (d *Dispatcher) kind(i int) *kind {
	if d.kinds[i] == nil {
		d.kinds[i] = &kind{}
	}
	return d.kinds[i]
}

func (d *Dispatcher) blame(w *worker, broken bool, why string) {
	w.broken = w.broken || broken
	if d.now < w.badUntil {
		return
	}
	w.pause = min(max(firstPause, 2*w.pause), longPause)
	w.badUntil = d.now + w.pause/2 + time.Duration(d.rng.Int64N(int64(w.pause)))
	d.alarm(alarm{at: w.badUntil})
	d.do(Log{fmt.Sprintf("worker %d %s: set aside for about %v", w.ID, why, w.pause)})
}

func (d *Dispatcher) alive(w *worker) {
	w.heard, w.breaks = d.now, 0
	// A worker that was lost and answers again has most likely restarted, though no list has said so yet.
	if w.lost {
		w.lost, w.back = false, d.now
	}
	if w.streak == 0 {
		w.pause, w.badUntil, w.broken = 0, 0, false
	}
}

func (d *Dispatcher) learnSpeed(w *worker, got float64) {
	k := d.kind(w.Kind)
	k.seen++
	k.speed += max(sizeRate, 1/(k.seen+2)) * clip(got-k.speed, 1)
	w.seen++
	w.speed += max(speedRate, 1/(w.seen+2)) * clip(got-w.speed, featureClip/2)
	w.pace, w.learned = math.Exp(w.speed), d.now
}

// overdue looks at an attempt that has not started, or not ended, when it should have.
func (d *Dispatcher) overdue(a *attempt) {
	j, w := a.job, a.worker
	if a.ended { // a job that has ended still shows by its attempts how a worker fares
		return
	}
	switch run := d.now - a.start; {
	case !a.started:
		if wait := d.now - a.sent; wait < silence*d.lateStart {
			d.alarm(alarm{at: a.sent + silence*d.lateStart, what: overlate, attempt: a})
		} else if d.linkNews(a, false); w.heard < a.sent {
			d.blame(w, false, "silent")
		}
		d.grow(w, a, false)
	case run < d.overlong(a): // it started, or the spread grew, since this look was set
		return
	default:
		d.outran(a, run)
		d.learnSpeed(w, min(w.speed, math.Log(j.work/run.Seconds())))
	}
	d.rescue(j)
}

func (d *Dispatcher) probedBack(e Probed) {
	if w := d.workers[e.Worker]; w != nil {
		w.probing = false
		if e.Result == OK {
			d.alive(w)
			d.report(w, e.Report)
		} else if e.Result != Full && e.Result != NotSent {
			d.blame(w, true, "does not answer a probe")
		}
	}
}

// ---- Cold budget: rule 4 ----

// coldShare is the least part of its capacity that a worker has, by when it started.
func (d *Dispatcher) coldShare(w *worker) float64 {
	boot := max(w.BootAt, w.back)
	if boot <= 0 || d.set.Cold <= 0 || d.now-boot >= d.set.Cold {
		return 1
	}
	age := max(0, (d.now - boot).Seconds())
	return max(0.01, d.set.ColdFrom+(1-d.set.ColdFrom)*age/d.set.Cold.Seconds())
}

// coldAllows keeps what we sent to a cold worker, refused work too, under our equal part of what would push
// it over. Its full capacity is guessed from the slots that its kind has been seen to have free or in use.
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
	k := d.kind(w.Kind)
	capacity := max(1, k.slots) * math.Exp(k.speed) * share
	budget := coldMargin * d.set.Overload * capacity * span.Seconds()
	// Equal parts for many dispatchers would hold no job: by its id all agree on a few owners of each.
	all := max(1, d.set.Replicas)
	owners := max(1, min(all, int(budget/(ownerJobs*d.meanCost+1e-9))))
	rank := (uint64(d.set.Me) + w.ID*hashFactor>>32) % uint64(all)
	return rank < uint64(owners) && d.now-d.born > span && sum <= budget/float64(owners)
}

func (d *Dispatcher) coldCost(j *job) float64 { return j.work * j.Slots * d.tail[j.Class] }

// outran remembers for a while by how much a job has outrun its expectation. One far heavier than its hint
// can push a cold worker over alone: its class is budgeted as if each were.
func (d *Dispatcher) outran(a *attempt, run time.Duration) {
	d.tail[a.job.Class] = max(d.tail[a.job.Class], run.Seconds()/max(a.expect.Seconds(), 1e-3))
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
		if j.class.Effect == Unsafe || d.now-a.sent >= j.class.Window-j.class.Window/20 ||
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
func open(j *job, w *worker) bool {
	c := j.class
	return (c.Kinds == nil || slices.Contains(c.Kinds, w.Kind)) &&
		(c.Zones == nil || slices.Contains(c.Zones, w.Zone))
}

func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sent: d.now,
		start: d.now, expect: d.expectedRun(j, w), started: !d.set.TellsStart}
	j.attempts = append(j.attempts, a)
	j.out++
	w.out = append(w.out, a)
	w.used += j.need
	d.used += j.need
	a.limited = w.used+1 > w.room
	if !a.started {
		d.unstarted = append(d.unstarted, a)
	}
	if d.coldShare(w) < 1 {
		w.ledger = append(w.ledger, spend{d.now, d.coldCost(j)})
	}
	if d.copies = min(d.copies+copyShare, copyBurst); a.number > 0 {
		d.copies--
	}
	if d.suspect(w) {
		d.trialAt = d.now + firstPause
	}
	d.link(a)
	d.do(Send{Job: j.ID, Worker: w.ID})
	wait := d.overlong(a)
	if !a.started {
		// A late start is news at once, but a job is moved only when waiting on begins to endanger its aim.
		wait = max(d.promptBy(j), (j.aim-d.now-a.expect)/movePart)
	}
	d.alarm(alarm{at: d.now + wait, what: overlate, attempt: a})
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

// linkNews takes in how an attempt on an idle link went. Two that fared badly, with none idle as long between
// them that did well, are the links' fault and not the workers'. Forgotten by and by in upkeep.
func (d *Dispatcher) linkNews(a *attempt, well bool) {
	switch {
	case a.idle == 0:
	case well && a.idle >= d.idleBad:
		d.idleBad = 0
	case !well && d.idleBad > 0:
		d.idleBad = min(d.idleBad, a.idle)
		d.idleMost, d.idleAt = d.idleBad/2, d.now
	case !well:
		d.idleBad = a.idle
	}
}

// find returns an attempt that is still out; an event about any other is void.
func (d *Dispatcher) find(id uint64, number int, at uint64) *attempt {
	if j := d.jobs[id]; j != nil && number >= 0 && number < len(j.attempts) {
		if a := j.attempts[number]; !a.ended && a.worker.ID == at {
			return a
		}
	}
	return nil
}

func (d *Dispatcher) started(a *attempt) {
	if a == nil || a.started {
		return
	}
	j, w := a.job, a.worker
	a.started, a.start = true, d.now
	d.unstarted = slices.DeleteFunc(d.unstarted, func(o *attempt) bool { return o == a })
	d.alive(w)
	delay := d.now - a.sent
	prompt := delay <= d.promptBy(j)
	d.startBest = min(d.startBest, delay)
	d.linkNews(a, true)
	if d.grow(w, a, prompt); !prompt {
		d.lateStart += (delay - d.lateStart) / 10
	}
	w.running += j.Slots
	d.seenSlots(w, w.running)
	d.alarm(alarm{at: d.now + d.overlong(a), what: overlate, attempt: a})
	if j.closed {
		return
	}
	// One copy runs: no further one is needed. Those that are out are not withdrawn, nor those of a job that
	// has ended: workers go on with what is cancelled, in their queues too, but tell nothing of it any more.
	// We would count room that is not there, send the next job behind that work and find it late.
	d.unhold(j)
}

// rescue puts a job that is stuck on one worker back among the held, to be started elsewhere.
func (d *Dispatcher) rescue(j *job) {
	if j.closed || j.out > 1 || d.copies < 1 || j.class.Effect == Unsafe ||
		len(j.attempts) >= max(2, d.set.TryLimit-1) {
		return
	}
	if d.set.SecondCopies {
		d.hold(j)
	} else if j.class.Effect == Safe && d.set.Cancelling { // to move it, its only attempt must end
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
	w.used, d.used = max(0, w.used-j.need), max(0, d.used-j.need)
	w.out = slices.DeleteFunc(w.out, func(o *attempt) bool { return o == a })
	d.unstarted = slices.DeleteFunc(d.unstarted, func(o *attempt) bool { return o == a })
	// A report is older than the end that it comes with: the slots that this leaves are not in it yet.
	d.report(w, e.Report)
	if a.started {
		w.free += j.need
		w.running -= j.Slots
	}
	switch e.Result {
	case OK:
		w.streak = 0
		d.alive(w)
		if !d.set.TellsStart {
			d.grow(w, a, d.now-a.sent <= j.class.Aim+seconds(j.class.Stretch*j.work))
		}
		d.learn(a, d.now-a.start)
	case Full:
		w.heard = d.now
		d.noteBusy(w, true)
		d.shrink(w, a)
		if d.leave(w, firstPause); w.used == 0 && j.need > 1 {
			w.tooBig = j.need // it may never be able to run this
		}
	case Failed:
		w.heard = d.now
		d.shrink(w, a)
		// A worker that fails fast looks empty and would draw all work: two failures in a row are enough.
		if w.streak++; w.streak > 1 {
			d.blame(w, true, "fails")
		}
	case NoConnect, Reset:
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
	case TimedOut:
		d.shrink(w, a)
	}
	d.forget(w)
	if j.passed && !j.closed { // its run went on when its aim was looked at: without another look it is held for good
		j.passed = false
		d.alarm(alarm{at: d.now, what: aimPast, job: j})
	}
	switch {
	case e.Closed || j.closed || e.Result == OK:
		d.close(j)
	case j.index >= 0 || j.out > 0:
	case len(j.attempts) >= d.set.TryLimit || j.class.Effect == Unsafe && !d.mayRefuse(j):
		d.end(j)
	default:
		d.hold(j)
	}
}

func (d *Dispatcher) close(j *job) {
	if j == nil {
		return
	}
	d.unhold(j)
	if j.closed = true; j.out == 0 {
		delete(d.jobs, j.ID)
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
	j.passed = slices.ContainsFunc(j.attempts, func(a *attempt) bool { return !a.ended && a.started })
	if j.closed || j.passed || j.late && !d.lateIsNil(j) {
		return
	}
	// Expectations err by the spread: within twice that the job is offered what is free now.
	least := seconds(j.work / math.Exp(d.best+2*d.spread))
	if d.lateIsNil(j) && d.mayRefuse(j) && (j.late && j.out == 0 || d.now+least > j.aim) {
		d.end(j)
		return
	}
	if j.index >= 0 {
		j.spare, j.late = true, true
		d.held.reorder(j.index)
	}
	d.alarm(alarm{at: d.now + sweepEvery, what: aimPast, job: j})
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
	for i, q := range d.set.TenantQuota {
		rate := q / float64(max(1, d.set.Replicas))
		d.quota[i] = min(d.quota[i]+rate*(d.now-d.quotaAt).Seconds(), max(2*rate, quotaBurst))
	}
	d.quotaAt = d.now
	if d.quota[j.Tenant] < 1 {
		return true
	}
	d.quota[j.Tenant]--
	return false
}

// ---- Discovery ----

func (d *Dispatcher) list(e WorkerList) {
	if e.Kind == ListLost {
		d.follows = false
		if d.asked || d.askWait == 0 {
			d.askWait = min(max(d.set.AskEvery/20, 2*d.askWait), d.set.AskEvery/4)
		}
		d.asked = false
		d.askAt = d.now + d.askWait/2 + time.Duration(d.rng.Int64N(int64(d.askWait)+1))
		return
	}
	if e.Kind != ListCached && d.asked {
		d.asked, d.follows, d.askWait = false, true, 0
	}
	if e.Kind != ListDelta {
		for _, w := range d.order {
			w.listed = false
		}
	}
	for _, x := range e.Workers {
		w := d.workers[x.ID]
		if w == nil {
			if x.Gone {
				continue
			}
			w = &worker{room: 1, pace: math.Exp(d.kind(x.Kind).speed)}
			d.workers[x.ID] = w
			d.order = append(d.order, w)
		}
		if x.BootAt > w.BootAt && w.ID != 0 { // a new process: what we knew of the old one is void
			w.room, w.pause, w.badUntil, w.streak, w.tooBig, w.reported = 1, 0, 0, 0, 0, 0
			w.lost, w.back, w.learned = false, 0, 0
		}
		w.Worker, w.listed = x, !x.Gone
		w.Ready = x.Ready && w.listed
	}
	for _, w := range slices.Clone(d.order) {
		if !w.listed {
			w.Ready = false
			d.forget(w)
		}
	}
}

func (d *Dispatcher) forget(w *worker) {
	if w.listed || len(w.out) > 0 || d.workers[w.ID] != w {
		return
	}
	delete(d.workers, w.ID)
	d.order = slices.DeleteFunc(d.order, func(o *worker) bool { return o == w })
}

func (d *Dispatcher) sweep() {
	d.alarm(alarm{at: d.now + upkeepEvery, what: upkeep})
	if d.set.MustSubscribe && !d.follows && !d.asked && d.now >= d.askAt {
		d.asked = true
		d.do(Subscribe{})
	}
	for i := range d.tail {
		d.tail[i] = max(1, d.tail[i]*(1-upkeepEvery.Seconds()/forgetTail.Seconds()))
	}
	bad, broken, ready := 0, 0, 0
	if d.idleMost > 0 && d.now-d.idleAt > forgetSpeed {
		d.idleMost, d.idleAt = 2*d.idleMost, d.now
	}
	for z := range d.busy {
		d.busy[z] *= 1 - upkeepEvery.Seconds()/forgetSpeed.Seconds()
	}
	d.best = -featureClip
	for _, w := range d.order {
		if w.learned == 0 {
			w.speed = d.kind(w.Kind).speed
		} else if d.now-w.learned > sweepEvery {
			w.speed += (d.kind(w.Kind).speed - w.speed) * upkeepEvery.Seconds() / forgetSpeed.Seconds()
		}
		if w.pace = math.Exp(w.speed); w.Ready {
			ready++
			d.best = max(d.best, w.speed)
			if w.broken {
				broken++
			}
			if w.pause > 0 {
				bad++
			}
		}
	}
	d.mistrust, d.mistrustAll = 2*bad > ready, broken == ready
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
		d.alarm(alarm{at: j.askUntil})
	}
}

func (d *Dispatcher) alarm(a alarm) {
	a.at = max(a.at, d.now+1)
	d.alarms.add(a)
}

// look does what an alarm is for. After any, held jobs are looked at.
func (d *Dispatcher) look(a alarm) {
	switch a.what {
	case upkeep:
		d.sweep()
	case deadline:
		d.end(a.job)
	case aimPast:
		d.late(a.job)
	case overlate:
		d.overdue(a.attempt)
	}
}
