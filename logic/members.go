package logic

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
	d := &Dispatcher{set: set, rng: rand.New(src), src: src, jobs: map[uint64]*job{},
		workers: map[uint64]*worker{}, kinds: map[int]*kind{}, banned: map[uint64]time.Duration{},
		busy: map[int]float64{}, keyWork: map[uint64]float64{}, spread: firstSpread}
	d.furnish()
	d.copies = d.copiesSaved()
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
	d.probeBest = d.startBest
	d.quota, d.quotaAt = slices.Clone(set.TenantQuota), make([]time.Duration, len(set.TenantQuota))
	d.alarm(&d.tick, 0)
	return d
}

// alarm sets one to go off at an instant, in place of when it would have.
func (d *Dispatcher) alarm(a *alarm, at time.Duration) {
	if a.at = max(at, d.now+1); a.index > 0 {
		d.alarms.reorder(a.index - 1)
	} else {
		d.alarms.add(a)
	}
}

func (d *Dispatcher) unset(a *alarm) {
	if a.index > 0 {
		d.alarms.remove(a.index - 1)
	}
}

func (d *Dispatcher) touch(w *worker) {
	if !w.touched {
		w.touched = true
		d.touched = append(d.touched, w)
	}
}

func (d *Dispatcher) forget(w *worker) {
	if w.listed || len(w.out)+w.voids > 0 || d.workers[w.ID] != w {
		return
	}
	delete(d.workers, w.ID)
	d.shelf.drop(w)
	d.unset(&w.wake)
	last := d.order[len(d.order)-1]
	d.order[w.place], last.place = last, w.place
	d.order[len(d.order)-1] = nil
	d.order = d.order[:len(d.order)-1]
}

func (d *Dispatcher) close(j *job) {
	if j == nil {
		return
	}
	d.unhold(j)
	d.unset(&j.ends)
	d.unset(&j.past)
	d.unset(&j.answered)
	if j.closed = true; j.out == 0 {
		delete(d.jobs, j.ID)
	}
}

func (d *Dispatcher) unhold(j *job) {
	if j.index >= 0 {
		d.roll.shapes[j.shape].held.remove(j.index)
		d.roll.n--
	}
}

// count enters an attempt that is out with its job and its worker.
func (d *Dispatcher) count(a *attempt) {
	j, w := a.job, a.worker
	j.attempts = append(j.attempts, a)
	j.out++
	w.out = append(w.out, a)
	w.used += j.need
	d.used += j.need
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

func (d *Dispatcher) kind(i int) *kind {
	if d.kinds[i] == nil {
		d.kinds[i] = &kind{}
	}
	return d.kinds[i]
}

// woke measures how late this process is for its own timer. What it times meanwhile says nothing of workers.
func (d *Dispatcher) woke() {
	if late := d.now - d.armed; d.armed > 0 && late > lateSelf {
		d.wokeAt, d.wokeLate = d.now, late
	}
}

// excused tells whether we ourselves were late while an attempt was out.
func (d *Dispatcher) excused(a *attempt) bool { return a.sent < d.wokeAt && d.wokeAt > 0 }

// repeats tells whether its worker may drop an attempt as a repeat: it is told no start then, and waits for another's run.
func (a *attempt) repeats() bool {
	return a.job.class.Effect == Keyed && slices.ContainsFunc(a.job.attempts[:a.number], (*attempt).mayHaveRun)
}

// countLate counts those that wait; a wide one is one, as it waits more often than others.
func (d *Dispatcher) countLate() {
	d.unstarted.sort(d.now, func(class int) time.Duration { return d.promptWithin(&d.set.Classes[class]) },
		func(a *attempt) bool { return a.started || a.ended || d.now-a.sent >= silence*d.lateStart })
	d.waiting = 0
	for _, a := range d.unstarted.over {
		if a.job.index < 0 && !a.job.closed && a.number == len(a.job.attempts)-1 && !a.repeats() {
			d.waiting++
		}
	}
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

// enter takes in the entries of a list. A worker that is gone is forgotten once nothing of ours is out there.
func (d *Dispatcher) enter(e WorkerList) {
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
			speed := d.kind(x.Kind).speed
			w = &worker{room: 1, speed: speed, pace: math.Exp(speed), place: len(d.order)}
			w.wake = alarm{what: woken, worker: w}
			d.workers[x.ID] = w
			d.order = append(d.order, w)
		}
		if x.BootAt > w.BootAt && w.ID != 0 { // a new process: what we knew of the old one is void
			w.anew()
			w.back = 0
		}
		w.Worker, w.listed, w.up = x, !x.Gone, x.Ready && !x.Gone
		w.Ready = w.up && !d.isOut(w)
		w.kin = d.kind(x.Kind)
		if d.touch(w); w.Ready {
			d.best = max(d.best, w.speed) // known at once: a job thought out of reach is refused
		}
		if e.Kind == ListDelta {
			d.forget(w)
		}
	}
	for i := len(d.order) - 1; i >= 0 && e.Kind != ListDelta; i-- { // each that goes leaves its place to the last
		if w := d.order[i]; !w.listed {
			w.Ready, w.up = false, false
			d.touch(w)
			d.forget(w)
		}
	}
	d.bar()
}

// anew forgets what was known of a worker's process.
func (w *worker) anew() {
	w.room, w.pause, w.badUntil, w.streak, w.tooBig, w.reported = 1, 0, 0, 0, 0, 0
	w.lost, w.learned = false, 0
}

// vacate frees the slots of what is out at a worker whose process has gone; the attempts themselves are still out, and
// come back for each that may be lost.
func (d *Dispatcher) vacate(w *worker) (out []*attempt) {
	for _, a := range w.out {
		a.void = true
		d.used = max(0, d.used-a.job.need)
	}
	out = w.out
	w.out, w.used, w.running, w.links = nil, 0, 0, 0
	w.voids += len(out)
	return out
}

// ready counts the workers that may be sent work.
func (d *Dispatcher) ready() (n int) {
	for _, w := range d.order {
		if w.Ready {
			n++
		}
	}
	return n
}

// isOut tells whether a worker is taken out by hand.
func (d *Dispatcher) isOut(w *worker) bool {
	_, out := d.banned[w.ID]
	return out
}

// bar notes whether all listed workers are banned.
func (d *Dispatcher) bar() {
	d.barred = len(d.banned) > 0 && len(d.order) > 0
	for _, w := range d.order {
		d.barred = d.barred && (!w.listed || d.isOut(w))
	}
}

// turnOut ends all held jobs that have nothing out: there is nobody to send them to.
func (d *Dispatcher) turnOut() {
	for i := range d.roll.shapes {
		for held := &d.roll.shapes[i].held; !held.empty(); {
			j := held.first()
			if d.unhold(j); j.out == 0 {
				d.end(j)
			}
		}
	}
}

// furnish makes what holds jobs, workers and alarms.
func (d *Dispatcher) furnish() {
	d.tick.what = upkeep
	d.alarms.less = func(a, b *alarm) bool { return a.at < b.at }
	d.alarms.place = func(a *alarm, i int) { a.index = i + 1 }
	d.groups = groupsOf(d.set.Classes)
	d.roll.shapes = make([]shape, perClass*len(d.set.Classes))
	for i := range d.roll.shapes {
		sh := &d.roll.shapes[i]
		sh.held.less, sh.held.place = before, func(j *job, i int) { j.index = i }
		sh.oldest.less = older
	}
	d.unstarted.young, d.unstarted.from = make([][]*attempt, len(d.set.Classes)), make([]int, len(d.set.Classes))
}

// name tells a job's alarms what they are part of.
func (j *job) name() {
	j.ends, j.past, j.answered = alarm{what: deadline, job: j}, alarm{what: aimPast, job: j}, alarm{job: j}
}

// had tells whether a worker was sent the job before.
func (j *job) had(w *worker) bool {
	for _, a := range j.attempts {
		if a.worker == w {
			return true
		}
	}
	return false
}

// unheard tells whether a worker was asked by a probe and has said nothing since.
func (w *worker) unheard() bool { return w.probing && w.heard < w.probed }

// rescale takes so much, in logs, off all speeds and all sizes: expected runs stay what they are.
func (d *Dispatcher) rescale(by float64) {
	for _, w := range d.order {
		w.speed -= by
		w.pace = math.Exp(w.speed)
	}
	for _, k := range d.kinds {
		k.speed -= by
	}
	for i := range d.sizeLog {
		for b := range d.sizeLog[i] {
			d.sizeLog[i][b] -= by
		}
	}
	for key := range d.keyWork {
		d.keyWork[key] *= math.Exp(-by)
	}
	d.cutLog -= by
	d.best -= by
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

// progressed takes in a share done: its start notice may have been lost.
func (d *Dispatcher) progressed(a *attempt) {
	if a != nil {
		d.started(a)
		a.told, a.worker.worked = d.now, d.now
	}
}

// noteBusy learns by zone how likely a worker is to have no free slot, as we see too little of each worker.
// It weighs like slots in use, so that a crossing is paid where the own zone is the fuller.
func (d *Dispatcher) noteBusy(w *worker, busy bool) {
	if d.busy[w.Zone] *= 1 - busyRate; busy {
		d.busy[w.Zone] += busyRate
	}
}

// outran remembers for a while by how much a job has outrun its expectation. One far heavier than its hint
// can push a cold worker over alone: its class is budgeted as if each were.
func (d *Dispatcher) outran(a *attempt, run time.Duration) {
	d.tail[a.job.Class] = max(d.tail[a.job.Class], run.Seconds()/max(a.expect.Seconds(), 1e-3))
}

// idleNews counts how attempts fared by how long their links had been idle: age n is from 2^n to 2^(n+1) milliseconds.
type idleNews [20]tally

type tally struct{ good, bad float64 }

func (t *tally) count(well bool) {
	if well {
		t.good++
	} else {
		t.bad++
	}
}

// from is the sum over an age and all that are older.
func (n *idleNews) from(age int) (sum tally) {
	for _, t := range n[age:] {
		sum.good += t.good
		sum.bad += t.bad
	}
	return sum
}

func (n *idleNews) fade(part float64) {
	for i := range n {
		n[i].good *= part
		n[i].bad *= part
	}
}

func idleAge(idle time.Duration) int {
	return min(max(bits.Len64(uint64(idle/time.Millisecond))-1, 0), len(idleNews{})-1)
}

// idleSpan is the least that an age stands for.
func idleSpan(age int) time.Duration { return time.Millisecond << age }

// probedBack takes in what became of a probe.
func (d *Dispatcher) probedBack(e Probed) {
	if w := d.workers[e.Worker]; w != nil {
		w.probing = false
		if e.Result == OK {
			d.probeBest = min(d.probeBest, d.now-w.probed)
			d.alive(w)
			d.report(w, e.Report)
		} else if e.Result != Full && e.Result != NotSent {
			d.blame(w, true, "does not answer a probe")
		}
	}
}

// Avoided counts the listed workers that this dispatcher avoids now, by hand or by its own choice.
func (d *Dispatcher) Avoided() (n int) {
	for _, w := range d.order {
		if w.listed && (d.isOut(w) || w.Ready && d.suspect(w)) {
			n++
		}
	}
	return n
}

// fade lets what was learnt of sizes, links, zones and speeds drift back for want of news, by one round of upkeep.
func (d *Dispatcher) fade() {
	for i := range d.tail {
		d.tail[i] = max(1, d.tail[i]*(1-upkeepEvery.Seconds()/forgetTail.Seconds()))
	}
	d.idleNews.fade(1 - upkeepEvery.Seconds()/forgetSpeed.Seconds())
	if d.idleMost > 0 && d.now-d.idleAt > forgetSpeed {
		d.idleMost, d.idleAt = 2*d.idleMost, d.now
	}
	for z := range d.busy {
		d.busy[z] *= 1 - upkeepEvery.Seconds()/forgetSpeed.Seconds()
	}
	for _, w := range d.order {
		was := w.speed
		if w.learned == 0 {
			w.speed = w.kin.speed
		} else if d.now-w.learned > sweepEvery {
			w.speed += (w.kin.speed - w.speed) * upkeepEvery.Seconds() / forgetSpeed.Seconds()
		}
		if w.speed != was {
			w.pace = math.Exp(w.speed)
		}
	}
}

// coldBudget is the work that all dispatchers may send a cold worker within a span. Its full capacity is guessed from
// the slots that its kind has been seen to have free or in use.
func (d *Dispatcher) coldBudget(w *worker) float64 {
	k := d.kind(w.Kind)
	capacity := max(1, k.slots) * math.Exp(k.speed) * d.coldShare(w)
	return coldMargin * d.set.Overload * capacity * d.set.OverloadSpan.Seconds()
}

func (d *Dispatcher) features(j *job) (hint, slots float64) {
	return clip(math.Log(j.work)-d.cutLog, featureClip), clip(math.Log2(j.Slots), featureClip)
}

func slotBucket(j *job) int { return min(3, int(math.Log2(j.Slots))) }

func (d *Dispatcher) coldCost(j *job) float64 { return j.work * j.Slots * d.tail[j.Class] }

// linkNews takes in how an attempt on an idle link went. Where of links idle for so long or longer two fared
// badly of late, and more than did well, it is the links' fault and not the workers': a rack that is silent
// has but its part of them. Forgotten by and by in upkeep.
func (d *Dispatcher) linkNews(a *attempt, well bool) {
	if a.idle == 0 {
		return
	}
	age := idleAge(a.idle)
	if d.idleNews[age].count(well); well {
		return
	}
	for ; age >= 0; age-- {
		if all := d.idleNews.from(age); all.bad > 1.5 && all.bad > all.good {
			d.idleMost, d.idleAt = idleSpan(age), d.now
			return
		}
	}
}

// coldShare is the least part of its capacity that a worker has, by when it started.
func (d *Dispatcher) coldShare(w *worker) float64 {
	boot := max(w.BootAt, w.back)
	if boot <= 0 || d.set.Cold <= 0 || d.now-boot >= d.set.Cold {
		return 1
	}
	age := max(0, (d.now - boot).Seconds())
	return max(0.01, d.set.ColdFrom+(1-d.set.ColdFrom)*age/d.set.Cold.Seconds())
}

func (d *Dispatcher) learnSpeed(w *worker, got float64) {
	k := d.kind(w.Kind)
	k.seen++
	k.speed += max(sizeRate, 1/(k.seen+2)) * clip(got-k.speed, 1)
	w.seen++
	w.speed += max(speedRate, 1/(w.seen+2)) * clip(got-w.speed, featureClip/2)
	w.pace, w.learned = math.Exp(w.speed), d.now
}

// look does what an alarm is for. After any, held jobs are looked at.
func (d *Dispatcher) look(a *alarm) {
	switch a.what {
	case upkeep:
		d.sweep()
	case deadline:
		d.end(a.job)
	case aimPast:
		d.late(a.job)
	case overlate:
		d.overdue(a.attempt)
	case woken:
		d.touch(a.worker)
	}
}

func (d *Dispatcher) alive(w *worker) {
	w.heard, w.breaks = d.now, 0
	// A worker that was lost and answers again has most likely restarted, though no list has said so yet.
	if w.lost {
		w.lost, w.back = false, d.now
	}
	if w.streak == 0 && w.pause > 0 {
		w.pause, w.badUntil, w.broken = 0, 0, false
	}
	d.touch(w)
}

func (d *Dispatcher) shrink(w *worker, a *attempt) {
	if a.sent >= w.cut { // what is older is the same piece of news: one crash, one full queue
		w.cut, w.room = d.now, max(1, math.Floor(w.room/2))
		d.touch(w)
	}
}

// dealt tells whether workers are dealt to a few dispatchers each, so that how our own jobs fare there tells of their room.
func (d *Dispatcher) dealt() bool { return len(d.order) > 0 && d.order[0].Of > 1 }

// short tells whether a job is expected to run for less than the cut between short and long.
func (d *Dispatcher) short(j *job) bool { return math.Log(j.work) < d.cutLog }

// copyCost is what a copy takes of those saved up: of one of many dispatchers, by its work.
func (d *Dispatcher) copyCost(j *job) float64 {
	if d.set.Replicas <= many {
		return 1
	}
	return min(1, d.coldCost(j)/(d.meanCost+1e-9))
}
