package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What is here takes over jobs and knowledge from other dispatchers, and says what this one is to share with them.

const hashFactor = 0x9e3779b97f4a7c15 // golden ratio in 64 bits: spreads ids

// told takes in what other dispatchers bring about.
func (d *Dispatcher) told(e Event) {
	switch e := e.(type) {
	case Resumed:
		d.resume(e)
	case Shared:
		d.shared = Shared{Of: max(1, e.Of), Me: max(0, e.Me), Part: clip(finite(e.Part), 1)}
	case Taught:
		d.learnFrom(e)
	case Suspended:
		d.suspend(e.Worker)
	case Restored:
		d.restore(e.Worker)
	}
}

// rank is this dispatcher's place among those that may send work to a cold worker: all agree on it.
func (d *Dispatcher) rank(w *worker) (rank, of int) {
	if w.Of > 0 {
		return max(0, w.Rank), w.Of
	}
	me := d.set.Me
	if of = max(1, d.set.Replicas); d.shared.Of > 0 {
		me, of = d.shared.Me, d.shared.Of
	}
	return int((uint64(me) + w.ID*hashFactor>>32) % uint64(of)), of
}

// part is this dispatcher's of each tenant's quota.
func (d *Dispatcher) part() float64 {
	if d.shared.Part > 0 {
		return d.shared.Part
	}
	return 1 / float64(max(1, cmp.Or(d.shared.Of, d.set.Replicas)))
}

// resume takes in a job with its attempts so far.
func (d *Dispatcher) resume(e Resumed) {
	j := d.admit(e.Job, max(0, e.Waited))
	if j == nil {
		return
	}
	for _, p := range e.Attempts {
		d.adopt(j, p)
	}
	if len(e.Attempts) == 0 && !e.Counted {
		j.spare = d.overShare(j)
	}
	d.again(j)
}

// adopt enters an attempt that another dispatcher has made. What it has told so far was told to that one; whether it
// is late, or lost, counts from now on.
func (d *Dispatcher) adopt(j *job, p Past) {
	w := d.workers[p.Worker]
	if w == nil {
		w = &worker{Worker: Worker{ID: p.Worker, Kind: -1, Cell: math.MinInt, Zone: math.MinInt}, room: 1}
		w.kin, w.pace, w.wake = d.kind(w.Kind), math.Exp(d.kind(w.Kind).speed), alarm{what: woken, worker: w}
		if !p.Ended {
			w.place = len(d.order)
			d.workers[w.ID] = w
			d.order = append(d.order, w)
		}
	}
	sent := d.now - max(0, p.Ago)
	a := &attempt{job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sent: sent, start: sent,
		expect: d.expectedRun(j, w), started: !d.set.TellsStart, ended: p.Ended, result: p.Result}
	a.due = alarm{what: overlate, attempt: a}
	if p.Began > 0 {
		a.started, a.start, a.told = true, max(sent, d.now-p.Began), d.now
		w.heard, w.worked = max(w.heard, a.start), max(w.worked, a.start)
	}
	if d.coldShare(w) < 1 {
		w.ledger = append(w.ledger, spend{sent, d.coldCost(j)})
	}
	if p.Ended {
		j.attempts = append(j.attempts, a)
		return
	}
	d.count(a)
	w.links = max(w.links, len(w.out))
	d.touch(w)
	if a.started {
		if p.Began > 0 {
			w.running += j.Slots
			d.seenSlots(w, w.running)
		}
		d.alarm(&a.due, a.start+d.overlong(a))
		return
	}
	d.unstarted.insert(j.Class, a)
	d.alarm(&a.due, d.now+max(d.promptBy(j), (j.aim-d.now-a.expect)/movePart))
}

// insert puts an attempt among those that have not started, which lie by when they were sent.
func (l *lateness) insert(class int, a *attempt) {
	q := append(l.young[class], a)
	i := len(q) - 1
	for ; i > l.from[class] && q[i-1].sent > a.sent; i-- {
		q[i] = q[i-1]
	}
	q[i], l.young[class] = a, q
}

// ---- What others are told ----

// Room is how many slots of ours workers could start now, as far as is known.
func (d *Dispatcher) Room() (slots float64) {
	for _, w := range d.order {
		if w.Ready && d.now >= w.restUntil && !d.suspect(w) {
			slots += max(0, min(w.room, d.slots(w))*d.coldShare(w)-w.used)
		}
	}
	return slots
}

// Overlong is how much longer an attempt that is out may take before that is too long for it, by what its job was
// expected to take; not ok: it is not out.
func (d *Dispatcher) Overlong(id uint64, number int) (left time.Duration, ok bool) {
	j := d.jobs[id]
	if j == nil || number < 0 || number >= len(j.attempts) || j.attempts[number].ended {
		return 0, false
	}
	a := j.attempts[number]
	if left = d.overlong(a); a.started {
		left = max(0, left-(d.now-a.start))
	}
	return left, true
}

const (
	lessonForm = 1   // of what Lesson gives
	speedSteps = 64  // of a worker's speed, in one natural log unit
	mostRoom   = 256 // that a lesson tells of
	mostLog    = 20  // of a figure that is a logarithm, and no less than minus this
	taughtSeen = 3   // runs that what was taught of a worker counts as, at most
)

// lesson is what a dispatcher has learnt, but for single jobs and keys.
type lesson struct {
	scale   []*float64 // in an order that both sides know
	spans   []*time.Duration
	kinds   map[int]*kind
	busy    map[int]float64
	workers []learnt
}

type learnt struct {
	id                uint64
	speed, seen, room int // speed beyond that of its kind, in speedSteps
}

// figures are the learnt figures of a dispatcher that have no place of their own in a lesson.
func (d *Dispatcher) figures() (l lesson) {
	l.scale = []*float64{&d.cutLog, &d.muShort, &d.meanWorth, &d.meanCost, &d.spread}
	for i := range d.sizeLog {
		for b := range d.sizeLog[i] {
			l.scale = append(l.scale, &d.sizeLog[i][b])
		}
	}
	for _, part := range [][]float64{d.tail, d.weights} {
		for i := range part {
			l.scale = append(l.scale, &part[i])
		}
	}
	l.spans = []*time.Duration{&d.lateStart, &d.startBest, &d.probeBest}
	for i := range d.fullLeft {
		l.spans = append(l.spans, &d.fullLeft[i])
	}
	l.kinds, l.busy = d.kinds, d.busy
	return l
}

// Lesson appends what this dispatcher has learnt of sizes, kinds of machines and workers to b, in most bytes or little
// more: of too many workers those that it knows best. Taught brings it to another.
func (d *Dispatcher) Lesson(most int, b []byte) []byte {
	l := d.figures()
	from := len(b)
	c := &codec{b: b, writing: true}
	c.lesson(&l)
	const bytes = 14 // of a worker, at most
	fit := max(0, most-(len(c.b)-from)) / bytes
	var worth [(taughtSeen + 1) * (mostRoom + 1)]int // workers by what is known of them, the most last
	rank := func(x *learnt) int { return x.seen*(mostRoom+1) + x.room }
	for _, w := range d.order {
		if x := (learnt{w.ID, int(math.Round((w.speed - w.kin.speed) * speedSteps)), int(min(w.seen, taughtSeen)),
			int(min(w.room, mostRoom))}); w.listed && (x.seen > 0 || x.room > 1) {
			l.workers = append(l.workers, x)
			worth[rank(&x)]++
		}
	}
	if len(l.workers) > fit { // sorted, thousands would hold up a planner for milliseconds
		cut := len(worth) - 1
		for ; worth[cut] <= fit; cut-- {
			fit -= worth[cut]
		}
		l.workers = slices.DeleteFunc(l.workers, func(x learnt) bool {
			r := rank(&x)
			if r == cut {
				fit--
			}
			return r < cut || r == cut && fit < 0
		})
	}
	c.learnt(&l)
	return c.b
}

func (c *codec) lesson(l *lesson) {
	form := lessonForm
	c.int(&form)
	fixed(c, l.scale, func(x **float64) { c.float(*x) })
	fixed(c, l.spans, func(x **time.Duration) { c.span(*x) })
	table(c, l.kinds, func(i *int, k **kind) {
		if *k == nil {
			*k = &kind{}
		}
		c.int(i)
		c.float(&(*k).speed, &(*k).seen, &(*k).slots)
		c.int(&(*k).over)
		c.bad = c.bad || !sound((*k).seen, (*k).slots) || !(math.Abs((*k).speed) <= mostLog)
	})
	table(c, l.busy, func(zone *int, part *float64) {
		c.int(zone)
		c.float(part)
		c.bad = c.bad || !sound(*part)
	})
	c.bad = c.bad || form != lessonForm
	for _, x := range l.scale {
		c.bad = c.bad || !sound(*x)
	}
	for _, x := range l.spans {
		c.bad = c.bad || *x < 0 || *x > 1e6*time.Second
	}
}

func (c *codec) learnt(l *lesson) {
	list(c, &l.workers, func(x *learnt) {
		c.uint(&x.id)
		c.int(&x.speed)
		c.int(&x.seen)
		c.int(&x.room)
	})
}

// sound tells figures that may have been learnt from those that can't.
func sound(xs ...float64) bool {
	return !slices.ContainsFunc(xs, func(x float64) bool { return !(math.Abs(x) <= 1e9) })
}

// sane tells whether a pupil has read figures that it could have learnt itself.
func (d *Dispatcher) sane() bool {
	logs := []float64{d.cutLog}
	for _, x := range d.sizeLog {
		logs = append(logs, x[:]...)
	}
	wide := func(x float64) bool { return math.Abs(x) > mostLog }
	return !slices.ContainsFunc(append(logs, d.weights...), wide) &&
		!slices.ContainsFunc(d.tail, func(x float64) bool { return x < 1 }) && d.spread > 0 && d.spread <= featureClip &&
		d.muShort > 0 && d.meanCost >= 0 && d.lateStart > 0 && d.startBest > 0 && d.probeBest > 0
}

// learnFrom takes over a lesson, whole or not at all. What it says of a worker's speed has faded by now as it would
// have here, and a room is shared like the work.
func (d *Dispatcher) learnFrom(e Taught) {
	pupil := New(d.set, 0) // reads it first
	l := pupil.figures()
	c := &codec{b: e.Lesson}
	c.lesson(&l)
	c.learnt(&l)
	if c.bad || len(c.b) > 0 || !pupil.sane() {
		return
	}
	own := d.figures()
	for i, x := range l.scale {
		*own.scale[i] = *x
	}
	for i, x := range l.spans {
		*own.spans[i] = *x
	}
	for i, k := range l.kinds {
		*d.kind(i) = *k
	}
	for zone, part := range l.busy {
		d.busy[zone] = part
	}
	kept := math.Exp(-max(0, e.Age).Seconds() / forgetSpeed.Seconds())
	for _, x := range l.workers {
		w := d.workers[x.id]
		if w == nil || w.seen > 0 || x.seen < 0 || x.seen > taughtSeen {
			continue
		}
		if x.seen > 0 {
			w.speed = w.kin.speed + clip(float64(x.speed)/speedSteps, 2*featureClip)*kept
			w.pace, w.seen, w.learned = math.Exp(w.speed), float64(x.seen), d.now
		}
		w.room = max(w.room, math.Floor(min(float64(x.room), mostRoom)*clip(finite(e.Part), 1)))
		d.touch(w)
	}
}
