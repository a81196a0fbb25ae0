package logic

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// A snapshot holds all that decides what a dispatcher does next, bit by bit: fed the same events, a restored one
// acts the same. Three things are left out, as nothing depends on them. Jobs that are closed with nothing out
// stay only as marks in heaps. Attempts that have ended are passed over by alarms, so these keep just their time.
// And of the works learnt by key only those of jobs at hand are held, with the number of the others: see Past.

// ErrSnapshot is what Restore says of bytes that are no snapshot for these settings.
var ErrSnapshot = errors.New("not a snapshot for these settings")

// Past is the work that a key's last run showed, as Recall wants to be told it before a job with that key comes.
func (d *Dispatcher) Past(key uint64) (work float64, ok bool) {
	work, ok = d.keyWork[key]
	return work, ok
}

// Recall tells a restored dispatcher what a snapshot left out of a key.
func (d *Dispatcher) Recall(key uint64, work float64) {
	if _, known := d.keyWork[key]; !known && d.keysAway > 0 {
		d.keysAway--
		d.keyWork[key] = work
	}
}

// Snapshot appends the state between two steps to b.
func (d *Dispatcher) Snapshot(b []byte) []byte {
	c := &codec{b: b, writing: true}
	c.dispatcher(d)
	return c.b
}

// Restore returns a dispatcher that goes on from a snapshot. The settings may differ from those that it was taken
// under, but for the number of classes and tenants.
func Restore(set Settings, b []byte) (d *Dispatcher, err error) {
	defer func() {
		if recover() != nil {
			d, err = nil, ErrSnapshot
		}
	}()
	c := &codec{b: b}
	d = New(set, 0)
	c.dispatcher(d)
	if c.bad || len(c.b) > 0 {
		return nil, ErrSnapshot
	}
	return d, nil
}

// codec writes what it is shown, or reads into it: one walk over the state serves both ways.
type codec struct {
	b       []byte
	writing bool
	bad     bool          // what was read makes no sense
	now     time.Duration // instants are held as distances from it
	jobs    []*job        // by their place in the snapshot
	places  map[*job]int
	workers []*worker
	ranks   map[*worker]int
}

func (c *codec) int64(x *int64) {
	if c.writing {
		c.b = binary.AppendVarint(c.b, *x)
		return
	}
	v, n := binary.Varint(c.b)
	if n <= 0 {
		c.bad = true
		v, n = 0, len(c.b)
	}
	*x, c.b = v, c.b[n:]
}

func (c *codec) uint(x *uint64) {
	if c.writing {
		c.b = binary.LittleEndian.AppendUint64(c.b, *x)
		return
	}
	if len(c.b) < 8 {
		c.bad, c.b = true, nil
		*x = 0
		return
	}
	*x, c.b = binary.LittleEndian.Uint64(c.b), c.b[8:]
}

func (c *codec) int(x *int) {
	v := int64(*x)
	c.int64(&v)
	*x = int(v)
}

func (c *codec) float(xs ...*float64) {
	for _, x := range xs {
		bits := math.Float64bits(*x)
		c.uint(&bits)
		*x = math.Float64frombits(bits)
	}
}

func (c *codec) span(xs ...*time.Duration) {
	for _, x := range xs {
		c.int64((*int64)(x))
	}
}

// at holds instants. Those that never were stand apart, as they lie far from now.
func (c *codec) at(xs ...*time.Duration) {
	for _, x := range xs {
		v := int64(*x - c.now)
		if *x == 0 {
			v = math.MaxInt64
		}
		if c.int64(&v); v == math.MaxInt64 {
			*x = 0
		} else {
			*x = time.Duration(v) + c.now
		}
	}
}

func (c *codec) flag(xs ...*bool) {
	for _, x := range xs {
		v := int64(0)
		if *x {
			v = 1
		}
		c.int64(&v)
		*x = v != 0
	}
}

// size is a length; no more can be read than there are bytes.
func (c *codec) size(n int) int {
	if c.int(&n); !c.writing && (n < 0 || n > len(c.b)) {
		c.bad = true
		return 0
	}
	return n
}

// list walks a slice. Read, it has the length that was written.
func list[T any](c *codec, xs *[]T, item func(x *T)) {
	n := c.size(len(*xs))
	if !c.writing {
		*xs = make([]T, n)
	}
	for i := 0; i < n && !c.bad; i++ {
		item(&(*xs)[i])
	}
}

// fixed walks a slice whose length follows from the settings.
func fixed[T any](c *codec, xs []T, item func(x *T)) {
	if n := c.size(len(xs)); n != len(xs) {
		c.bad = true
		return
	}
	for i := range xs {
		item(&xs[i])
	}
}

// table walks a map in the order of its keys.
func table[K cmp.Ordered, V any](c *codec, m map[K]V, entry func(k *K, v *V)) {
	keys := slices.Sorted(maps.Keys(m))
	n := c.size(len(keys))
	for i := 0; i < n && !c.bad; i++ {
		var k K
		var v V
		if c.writing {
			k, v = keys[i], m[keys[i]]
		}
		if entry(&k, &v); !c.writing {
			m[k] = v
		}
	}
}

// job is a reference to a job; one that is forgotten comes back as a closed one.
func (c *codec) job(j **job) {
	place := -1
	if at, ok := c.places[*j]; ok {
		place = at
	}
	if c.int(&place); c.writing {
		return
	}
	if place >= 0 && place < len(c.jobs) {
		*j = c.jobs[place]
	} else {
		*j = &job{index: -1, closed: true, class: &Class{}}
		(*j).name()
	}
}

// worker is a reference to a worker; one that is forgotten comes back as one that is none of those known.
func (c *codec) worker(w **worker) {
	rank := -1
	if at, ok := c.ranks[*w]; ok {
		rank = at
	}
	if c.int(&rank); c.writing {
		return
	}
	if rank >= 0 && rank < len(c.workers) {
		*w = c.workers[rank]
	} else {
		*w = &worker{}
		(*w).wake = alarm{what: woken, worker: *w}
	}
}

// attempt is a reference to one; one that has ended for good comes back as such.
func (c *codec) attempt(a **attempt) {
	var j *job
	number := -1
	if c.writing && !(*a).ended {
		j, number = (*a).job, (*a).number
	}
	c.job(&j)
	if c.int(&number); c.writing {
		return
	}
	if number >= 0 && number < len(j.attempts) {
		*a = j.attempts[number]
	} else {
		*a = &attempt{job: j, ended: true, worker: &worker{}}
		(*a).due = alarm{what: overlate, attempt: *a}
	}
}

func (c *codec) dispatcher(d *Dispatcher) {
	c.span(&d.now)
	c.now = d.now
	c.random(d)
	c.at(&d.born, &d.armed, &d.trialAt, &d.askAt, &d.idleAt, &d.wokeAt, &d.scout)
	c.span(&d.startBest, &d.lateStart, &d.askWait, &d.idleMost, &d.probeBest, &d.wokeLate)
	c.float(&d.cutLog, &d.muShort, &d.meanWorth, &d.meanCost, &d.arrivals, &d.spread, &d.best, &d.used, &d.copies, &d.probes,
		&d.trials, &d.waiting)
	c.flag(&d.mistrust, &d.mistrustAll, &d.asked, &d.follows)
	c.int(&d.shared.Of)
	c.int(&d.shared.Me)
	c.float(&d.shared.Part)
	fixed(c, d.sizeLog, func(x *[4]float64) { c.float(&x[0], &x[1], &x[2], &x[3]) })
	for _, part := range [][]float64{d.tail, d.weights, d.quota} {
		fixed(c, part, func(x *float64) { c.float(x) })
	}
	fixed(c, d.fullLeft, func(x *time.Duration) { c.span(x) })
	fixed(c, d.quotaAt, func(x *time.Duration) { c.at(x) })
	table(c, d.kinds, func(i *int, k **kind) {
		if *k == nil {
			*k = &kind{}
		}
		c.int(i)
		c.float(&(*k).speed, &(*k).seen, &(*k).slots)
		c.int(&(*k).over)
	})
	table(c, d.busy, func(zone *int, part *float64) {
		c.int(zone)
		c.float(part)
	})
	table(c, d.banned, func(id *uint64, since *time.Duration) {
		c.uint(id)
		c.span(since)
	})
	c.flag(&d.barred)
	c.population(d)
	c.keys(d)
	fixed(c, d.idleNews[:], func(n *tally) { c.float(&n.good, &n.bad) })
	c.shelf(d)
	// Heaps are held as they lie: jobs that are equal in rank leave by their place.
	fixed(c, d.roll.shapes, func(sh *shape) {
		list(c, &sh.held.items, func(j **job) { c.job(j) })
		list(c, &sh.oldest.items, func(j **job) {
			c.job(j)
			c.at(&(*j).promote)
			c.int(&(*j).passes)
		})
	})
	if !c.writing {
		d.tick.index = 0 // New has set it
	}
	list(c, &d.alarms.items, func(a **alarm) { c.alarm(d, a) })
	for class := range d.unstarted.young {
		young := d.unstarted.young[class][d.unstarted.from[class]:]
		list(c, &young, func(a **attempt) { c.attempt(a) })
		d.unstarted.young[class], d.unstarted.from[class] = young, 0
	}
	list(c, &d.unstarted.over, func(a **attempt) { c.attempt(a) })
	keeps := d.kept != nil
	if c.flag(&keeps); keeps {
		c.worker(&d.kept)
		c.job(&d.keptFor)
	}
	if !c.writing {
		for k := range d.roll.shapes {
			for i, j := range d.roll.shapes[k].held.items {
				j.index, j.shape = i, k
				d.roll.n++
			}
		}
		for i, a := range d.alarms.items {
			c.bad = c.bad || a.index != 0 // twice in the heap
			a.index = i + 1
		}
		c.bad = c.bad || len(d.alarms.items) == 0
	}
}

// alarm is an alarm by what it is part of.
func (c *codec) alarm(d *Dispatcher, a **alarm) {
	x := alarm{}
	if c.writing {
		x = **a
	}
	c.at(&x.at)
	c.int((*int)(&x.what))
	var j *job
	w := x.worker
	switch x.what {
	case heldJobs, deadline, aimPast:
		j = x.job
		c.job(&j)
	case overlate:
		c.attempt(&x.attempt)
	case woken:
		c.worker(&w)
	}
	if c.writing {
		return
	}
	switch x.what {
	case heldJobs:
		*a = &j.answered
	case deadline:
		*a = &j.ends
	case aimPast:
		*a = &j.past
	case overlate:
		*a = &x.attempt.due
	case woken:
		*a = &w.wake
	case upkeep:
		*a = &d.tick
	default:
		c.bad = true
		*a = &alarm{}
	}
	(*a).at = x.at
}

// shelf walks the workers that may have room, row by row as they lie: draws go by their place.
func (c *codec) shelf(d *Dispatcher) {
	list(c, &d.shelf.lanes, func(l **lane) {
		if !c.writing {
			*l = &lane{}
		}
		c.int(&(*l).zone)
		c.int(&(*l).kind)
		c.flag(&(*l).cold, &(*l).doubtful)
		list(c, &(*l).rows, func(row *[]*worker) {
			list(c, row, func(w **worker) { c.worker(w) })
		})
		for r, row := range (*l).rows {
			for spot, w := range row {
				if !c.writing {
					c.bad = c.bad || w.lane != nil
					w.lane, w.row, w.spot = *l, r, spot
					d.shelf.count(w, 1)
				}
			}
		}
	})
	list(c, &d.touched, func(w **worker) { c.worker(w) })
}

func (c *codec) random(d *Dispatcher) {
	const size = 20 // of the generator's own form
	if c.writing {
		state, _ := d.src.MarshalBinary() // it never fails
		c.b = append(c.b, state...)
	} else if len(c.b) < size || d.src.UnmarshalBinary(c.b[:size]) != nil {
		c.bad, c.b = true, nil
	} else {
		c.b = c.b[size:]
	}
}

// population walks workers and jobs: first that they are there, then what they are, as each refers to others.
func (c *codec) population(d *Dispatcher) {
	c.ranks, c.places = map[*worker]int{}, map[*job]int{}
	for i, w := range d.order {
		c.ranks[w] = i
	}
	list(c, &d.order, func(w **worker) {
		if !c.writing {
			*w = &worker{}
		}
	})
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		c.places[d.jobs[id]] = len(c.jobs)
		c.jobs = append(c.jobs, d.jobs[id])
	}
	list(c, &c.jobs, func(j **job) {
		if !c.writing {
			*j = &job{index: -1}
		}
		c.oneJob(d, *j)
	})
	c.workers = d.order
	for _, j := range c.jobs {
		list(c, &j.attempts, func(a **attempt) {
			if !c.writing {
				*a = &attempt{job: j}
				(*a).due = alarm{what: overlate, attempt: *a}
			}
			c.oneAttempt(*a)
		})
	}
	for i, w := range d.order {
		if c.oneWorker(w); !c.writing {
			d.workers[w.ID] = w
			w.place, w.kin, w.wake = i, d.kind(w.Kind), alarm{what: woken, worker: w}
		}
	}
}

func (c *codec) oneJob(d *Dispatcher, j *job) {
	if !c.writing {
		j.name()
		defer func() { d.jobs[j.ID] = j }()
	}
	c.uint(&j.ID)
	c.int(&j.Class)
	c.int(&j.Tenant)
	c.uint(&j.Key)
	c.span(&j.Left, &j.Hint)
	c.float(&j.Slots, &j.Memory, &j.need, &j.score, &j.work, &j.draw)
	c.at(&j.arrived, &j.deadline, &j.aim, &j.promote, &j.askUntil)
	c.flag(&j.Retry, &j.spare, &j.late, &j.closed, &j.stream, &j.aged, &j.passed)
	c.int(&j.out)
	c.int(&j.passes)
	if j.Class < 0 || j.Class >= len(d.set.Classes) {
		c.bad, j.Class = true, 0
	}
	j.class = &d.set.Classes[j.Class]
}

func (c *codec) oneAttempt(a *attempt) {
	c.int(&a.number)
	c.worker(&a.worker)
	c.int(&a.zone)
	c.int(&a.cell)
	c.at(&a.sent, &a.start, &a.told)
	c.flag(&a.started, &a.ended, &a.limited, &a.void)
	c.span(&a.idle, &a.expect)
	c.int((*int)(&a.result))
}

func (c *codec) oneWorker(w *worker) {
	c.uint(&w.ID)
	c.int(&w.Kind)
	c.int(&w.Cell)
	c.int(&w.Zone)
	c.int(&w.Rank)
	c.int(&w.Of)
	c.flag(&w.Ready, &w.Gone, &w.listed, &w.up, &w.lost, &w.probing, &w.broken, &w.touched)
	c.float(&w.Size, &w.used, &w.room, &w.speed, &w.pace, &w.seen, &w.free, &w.running, &w.tooBig, &w.lot, &w.lots)
	c.at(&w.BootAt, &w.heard, &w.learned, &w.cut, &w.restUntil, &w.badUntil, &w.back, &w.reported, &w.probed, &w.ended,
		&w.worked, &w.freed)
	c.span(&w.rest, &w.pause)
	c.int(&w.streak)
	c.int(&w.breaks)
	c.int(&w.links)
	c.int(&w.voids)
	list(c, &w.out, func(a **attempt) { c.attempt(a) })
	list(c, &w.ledger, func(s *spend) {
		c.at(&s.at)
		c.float(&s.work)
	})
}

// keys walks what is known of the keys of jobs at hand.
func (c *codec) keys(d *Dispatcher) {
	known := map[uint64]float64{}
	for _, j := range c.jobs {
		if work, ok := d.keyWork[j.Key]; ok {
			known[j.Key] = work
		}
	}
	away := d.keysAway + len(d.keyWork) - len(known)
	c.int(&away)
	table(c, known, func(key *uint64, work *float64) {
		c.uint(key)
		c.float(work)
	})
	if !c.writing {
		d.keyWork, d.keysAway = known, away
	}
}
