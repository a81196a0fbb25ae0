package dispatch

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

// ErrInvalidSnapshot is what Restore says of bytes that are no snapshot for these settings.
var ErrInvalidSnapshot = errors.New("not a snapshot for these settings")

// KeyWork is the work that a key's last run showed, as Recall wants to be told it before a job with that key comes.
func (d *Dispatcher) KeyWork(key uint64) (work float64, ok bool) {
	work, ok = d.keyWork[key]
	return work, ok
}

// RecallKeyWork tells a restored dispatcher what a snapshot left out of a key.
func (d *Dispatcher) RecallKeyWork(key uint64, work float64) {
	if _, known := d.keyWork[key]; !known && d.keysOmitted > 0 {
		d.keysOmitted--
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
			d, err = nil, ErrInvalidSnapshot
		}
	}()
	c := &codec{b: b}
	d = New(set, 0)
	c.dispatcher(d)
	if c.invalid || len(c.b) > 0 {
		return nil, ErrInvalidSnapshot
	}
	return d, nil
}

// codec writes what it is shown, or reads into it: one walk over the state serves both ways.
type codec struct {
	b            []byte
	writing      bool
	invalid      bool          // what was read makes no sense
	now          time.Duration // instants are held as distances from it
	jobs         []*jobInfo    // by their place in the snapshot
	jobPlaces    map[*jobInfo]int
	workers      []*workerInfo
	workerPlaces map[*workerInfo]int
}

func (c *codec) int64(x *int64) {
	if c.writing {
		c.b = binary.AppendVarint(c.b, *x)
		return
	}
	v, n := binary.Varint(c.b)
	if n <= 0 {
		c.invalid = true
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
		c.invalid, c.b = true, nil
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

func (c *codec) duration(xs ...*time.Duration) {
	for _, x := range xs {
		c.int64((*int64)(x))
	}
}

// instant holds instants. Those that never were stand apart, as they lie far from now.
func (c *codec) instant(xs ...*time.Duration) {
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

func (c *codec) flags(xs ...*bool) {
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
		c.invalid = true
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
	for i := 0; i < n && !c.invalid; i++ {
		item(&(*xs)[i])
	}
}

// fixedList walks a slice whose length follows from the settings.
func fixedList[T any](c *codec, xs []T, item func(x *T)) {
	if n := c.size(len(xs)); n != len(xs) {
		c.invalid = true
		return
	}
	for i := range xs {
		item(&xs[i])
	}
}

// sortedMap walks a map in the order of its keys.
func sortedMap[K cmp.Ordered, V any](c *codec, m map[K]V, entry func(k *K, v *V)) {
	keys := slices.Sorted(maps.Keys(m))
	n := c.size(len(keys))
	for i := 0; i < n && !c.invalid; i++ {
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
func (c *codec) job(j **jobInfo) {
	place := -1
	if at, ok := c.jobPlaces[*j]; ok {
		place = at
	}
	if c.int(&place); c.writing {
		return
	}
	if place >= 0 && place < len(c.jobs) {
		*j = c.jobs[place]
	} else {
		*j = &jobInfo{heapIndex: -1, closed: true, class: &Class{}}
		(*j).bindTimers()
	}
}

// worker is a reference to a worker; one that is forgotten comes back as one that is none of those known.
func (c *codec) worker(w **workerInfo) {
	rank := -1
	if at, ok := c.workerPlaces[*w]; ok {
		rank = at
	}
	if c.int(&rank); c.writing {
		return
	}
	if rank >= 0 && rank < len(c.workers) {
		*w = c.workers[rank]
	} else {
		*w = &workerInfo{}
		(*w).timer = timer{purpose: workerAvailable, worker: *w}
	}
}

// attempt is a reference to one; one that has ended for good comes back as such.
func (c *codec) attempt(a **attemptInfo) {
	var j *jobInfo
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
		*a = &attemptInfo{job: j, ended: true, worker: &workerInfo{}}
		(*a).timer = timer{purpose: attemptOverdue, attempt: *a}
	}
}

func (c *codec) dispatcher(d *Dispatcher) {
	c.duration(&d.now)
	c.now = d.now
	c.random(d)
	c.instant(&d.bornAt, &d.timerAt, &d.nextTrialAt, &d.subscribeAt, &d.maxIdleSetAt, &d.stalledAt, &d.pilotSentAt)
	c.duration(&d.minStartDelay, &d.meanLateStart, &d.subscribeBackoff, &d.maxIdle, &d.minCheckDelay, &d.stallLength)
	c.float(&d.longCut, &d.muShort, &d.meanWeight, &d.meanCost, &d.arrivals, &d.spread, &d.topSpeed, &d.usedSlots, &d.hedgeTokens, &d.checkTokens,
		&d.trialTokens, &d.lateCount)
	c.flags(&d.mostSuspect, &d.allBroken, &d.subscribing, &d.subscribed)
	c.int(&d.sharing.Replicas)
	c.int(&d.sharing.ReplicaIndex)
	c.float(&d.sharing.QuotaShare)
	fixedList(c, d.sizeCorrection, func(x *[4]float64) { c.float(&x[0], &x[1], &x[2], &x[3]) })
	for _, part := range [][]float64{d.overrunFactor, d.weights, d.quotaTokens} {
		fixedList(c, part, func(x *float64) { c.float(x) })
	}
	fixedList(c, d.fullTimeout, func(x *time.Duration) { c.duration(x) })
	fixedList(c, d.quotaRefilledAt, func(x *time.Duration) { c.instant(x) })
	sortedMap(c, d.kinds, func(i *int, k **machineInfo) {
		if *k == nil {
			*k = &machineInfo{}
		}
		c.int(i)
		c.float(&(*k).logSpeed, &(*k).runs, &(*k).maxSlots)
		c.int(&(*k).lateOverflows)
	})
	sortedMap(c, d.zoneBusy, func(zone *int, part *float64) {
		c.int(zone)
		c.float(part)
	})
	sortedMap(c, d.cordoned, func(id *uint64, since *time.Duration) {
		c.uint(id)
		c.duration(since)
	})
	c.flags(&d.allCordoned)
	c.population(d)
	c.keys(d)
	fixedList(c, d.idleOutcomes[:], func(n *outcomeCounts) { c.float(&n.succeeded, &n.failed) })
	c.shelf(d)
	// Heaps are held as they lie: jobs that are equal in rank leave by their place.
	fixedList(c, d.queue.shapes, func(sh *shape) {
		list(c, &sh.byScore.items, func(j **jobInfo) { c.job(j) })
		list(c, &sh.byPromotion.items, func(j **jobInfo) {
			c.job(j)
			c.instant(&(*j).promoteAt)
			c.int(&(*j).deferrals)
		})
	})
	if !c.writing {
		d.maintenance.heapIndex = 0 // New has set it
	}
	list(c, &d.timers.items, func(a **timer) { c.alarm(d, a) })
	for class := range d.unstarted.pending {
		young := d.unstarted.pending[class][d.unstarted.first[class]:]
		list(c, &young, func(a **attemptInfo) { c.attempt(a) })
		d.unstarted.pending[class], d.unstarted.first[class] = young, 0
	}
	list(c, &d.unstarted.late, func(a **attemptInfo) { c.attempt(a) })
	keeps := d.reserved != nil
	if c.flags(&keeps); keeps {
		c.worker(&d.reserved)
		c.job(&d.reservedFor)
	}
	if !c.writing {
		for k := range d.queue.shapes {
			for i, j := range d.queue.shapes[k].byScore.items {
				j.heapIndex, j.shape = i, k
				d.queue.length++
			}
		}
		for i, a := range d.timers.items {
			c.invalid = c.invalid || a.heapIndex != 0 // twice in the heap
			a.heapIndex = i + 1
		}
		c.invalid = c.invalid || len(d.timers.items) == 0
	}
}

// alarm is an alarm by what it is part of.
func (c *codec) alarm(d *Dispatcher, a **timer) {
	x := timer{}
	if c.writing {
		x = **a
	}
	c.instant(&x.at)
	c.int((*int)(&x.purpose))
	var j *jobInfo
	w := x.worker
	switch x.purpose {
	case reviewQueue, jobDeadline, jobObjective:
		j = x.job
		c.job(&j)
	case attemptOverdue:
		c.attempt(&x.attempt)
	case workerAvailable:
		c.worker(&w)
	}
	if c.writing {
		return
	}
	switch x.purpose {
	case reviewQueue:
		*a = &j.checksTimer
	case jobDeadline:
		*a = &j.deadlineTimer
	case jobObjective:
		*a = &j.objectiveTimer
	case attemptOverdue:
		*a = &x.attempt.timer
	case workerAvailable:
		*a = &w.timer
	case runMaintenance:
		*a = &d.maintenance
	default:
		c.invalid = true
		*a = &timer{}
	}
	(*a).at = x.at
}

// shelf walks the workers that may have room, row by row as they lie: draws go by their place.
func (c *codec) shelf(d *Dispatcher) {
	list(c, &d.available.buckets, func(l **bucket) {
		if !c.writing {
			*l = &bucket{}
		}
		c.int(&(*l).zone)
		c.int(&(*l).kind)
		c.flags(&(*l).warmingUp, &(*l).suspect)
		list(c, &(*l).rows, func(row *[]*workerInfo) {
			list(c, row, func(w **workerInfo) { c.worker(w) })
		})
		for r, row := range (*l).rows {
			for spot, w := range row {
				if !c.writing {
					c.invalid = c.invalid || w.bucket != nil
					w.bucket, w.row, w.slot = *l, r, spot
					d.available.count(w, 1)
				}
			}
		}
	})
	list(c, &d.dirty, func(w **workerInfo) { c.worker(w) })
}

func (c *codec) random(d *Dispatcher) {
	const size = 20 // of the generator's own form
	if c.writing {
		state, _ := d.source.MarshalBinary() // it never fails
		c.b = append(c.b, state...)
	} else if len(c.b) < size || d.source.UnmarshalBinary(c.b[:size]) != nil {
		c.invalid, c.b = true, nil
	} else {
		c.b = c.b[size:]
	}
}

// population walks workers and jobs: first that they are there, then what they are, as each refers to others.
func (c *codec) population(d *Dispatcher) {
	c.workerPlaces, c.jobPlaces = map[*workerInfo]int{}, map[*jobInfo]int{}
	for i, w := range d.workerList {
		c.workerPlaces[w] = i
	}
	list(c, &d.workerList, func(w **workerInfo) {
		if !c.writing {
			*w = &workerInfo{}
		}
	})
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		c.jobPlaces[d.jobs[id]] = len(c.jobs)
		c.jobs = append(c.jobs, d.jobs[id])
	}
	list(c, &c.jobs, func(j **jobInfo) {
		if !c.writing {
			*j = &jobInfo{heapIndex: -1}
		}
		c.oneJob(d, *j)
	})
	c.workers = d.workerList
	for _, j := range c.jobs {
		list(c, &j.attempts, func(a **attemptInfo) {
			if !c.writing {
				*a = &attemptInfo{job: j}
				(*a).timer = timer{purpose: attemptOverdue, attempt: *a}
			}
			c.oneAttempt(*a)
		})
	}
	for i, w := range d.workerList {
		if c.oneWorker(w); !c.writing {
			d.workers[w.ID] = w
			w.position, w.machine, w.timer = i, d.machineKind(w.Kind), timer{purpose: workerAvailable, worker: w}
		}
	}
}

func (c *codec) oneJob(d *Dispatcher, j *jobInfo) {
	if !c.writing {
		j.bindTimers()
		defer func() { d.jobs[j.ID] = j }()
	}
	c.uint(&j.ID)
	c.int(&j.Class)
	c.int(&j.Tenant)
	c.uint(&j.Key)
	c.duration(&j.Remaining, &j.Hint)
	c.float(&j.Slots, &j.Memory, &j.demand, &j.longChance, &j.work, &j.warmUpDraw)
	c.instant(&j.arrivedAt, &j.deadline, &j.objectiveAt, &j.promoteAt, &j.checksUntil)
	c.flags(&j.Retry, &j.demoted, &j.unreachable, &j.closed, &j.streaming, &j.inPromotions, &j.recheckOnEnd)
	c.int(&j.inFlight)
	c.int(&j.deferrals)
	if j.Class < 0 || j.Class >= len(d.settings.Classes) {
		c.invalid, j.Class = true, 0
	}
	j.class = &d.settings.Classes[j.Class]
}

func (c *codec) oneAttempt(a *attemptInfo) {
	c.int(&a.number)
	c.worker(&a.worker)
	c.int(&a.zone)
	c.int(&a.cell)
	c.instant(&a.sentAt, &a.startedAt, &a.progressAt)
	c.flags(&a.started, &a.ended, &a.limitBound, &a.orphaned)
	c.duration(&a.connIdle, &a.expectedRun)
	c.int((*int)(&a.result))
}

func (c *codec) oneWorker(w *workerInfo) {
	c.uint(&w.ID)
	c.int(&w.Kind)
	c.int(&w.Cell)
	c.int(&w.Zone)
	c.int(&w.AssigneeRank)
	c.int(&w.Assignees)
	c.flags(&w.Ready, &w.Removed, &w.listed, &w.listedReady, &w.connLost, &w.checking, &w.broken, &w.dirty)
	c.float(&w.Size, &w.usedSlots, &w.limit, &w.logSpeed, &w.speed, &w.runs, &w.freeSlots, &w.runningSlots, &w.rejectedDemand, &w.lotStart, &w.lotWidth)
	c.instant(&w.BootAt, &w.heardAt, &w.learnedAt, &w.decreasedAt, &w.backoffUntil, &w.ejectedUntil, &w.returnedAt, &w.reportedAt, &w.checkedAt, &w.lastEndAt,
		&w.progressAt, &w.uncordonedAt)
	c.duration(&w.backoff, &w.ejectionTime)
	c.int(&w.failures)
	c.int(&w.connFailures)
	c.int(&w.connections)
	c.int(&w.orphans)
	list(c, &w.inFlight, func(a **attemptInfo) { c.attempt(a) })
	list(c, &w.warmUpSpends, func(s *spend) {
		c.instant(&s.at)
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
	away := d.keysOmitted + len(d.keyWork) - len(known)
	c.int(&away)
	sortedMap(c, known, func(key *uint64, work *float64) {
		c.uint(key)
		c.float(work)
	})
	if !c.writing {
		d.keyWork, d.keysOmitted = known, away
	}
}
