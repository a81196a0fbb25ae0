package dispatch

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// A snapshot holds all that decides what a dispatcher does next, bit by bit: fed the same events, a restored one acts the
// same, but for leases of slots: it holds none, and its dispatcher asks its peers anew. SnapshotWithLeases holds them too.
// Three things are omitted, as nothing depends on them. Jobs that are closed with nothing in flight stay only as marks
// in heaps. Attempts that have ended are passed over by timers, so these keep just their time. And of the works learnt by key
// only those of jobs at hand are held, with the number of the others: see RecallKeyWork.

// ErrInvalidSnapshot is what Restore says of bytes that are no snapshot for these settings.
var ErrInvalidSnapshot = errors.New("not a snapshot for these settings")

// Snapshot appends the state between two steps to b, without leases.
func (d *Dispatcher) Snapshot(b []byte) []byte {
	return d.write(&codec{b: b, writing: true})
}

// SnapshotWithLeases appends the state between two steps to b, for RestoreWithLeases.
func (d *Dispatcher) SnapshotWithLeases(b []byte) []byte {
	return d.write(&codec{b: b, writing: true, withLeases: true})
}

func (d *Dispatcher) write(c *codec) []byte {
	c.dispatcher(d)
	return c.b
}

// Restore returns a dispatcher that goes on from a snapshot. The settings may differ from those that it was taken under, but
// for the number of classes and tenants. The error is ErrInvalidSnapshot.
func Restore(settings Settings, b []byte) (*Dispatcher, error) { return RestoreOnClock(settings, b, 0) }

// RestoreOnClock is Restore for a process whose clock is ahead of that of the process which took the snapshot: all instants
// in it move by that much. If it is behind, clockAhead is negative.
func RestoreOnClock(settings Settings, b []byte, clockAhead time.Duration) (*Dispatcher, error) {
	d, err := read(settings, &codec{b: b, clockAhead: clockAhead})
	if err == nil {
		d.leases.resume(d.now, d.fleet.workers, d.jobs)
	}
	return d, err
}

// RestoreWithLeases is Restore for a snapshot that was taken by SnapshotWithLeases.
func RestoreWithLeases(settings Settings, b []byte) (*Dispatcher, error) {
	return read(settings, &codec{b: b, withLeases: true})
}

func read(settings Settings, c *codec) (d *Dispatcher, err error) {
	defer func() {
		if recover() != nil { // no bytes may bring the process down
			d, err = nil, ErrInvalidSnapshot
		}
	}()
	d = New(settings, 0)
	c.dispatcher(d)
	if c.invalid || len(c.b) > 0 {
		return nil, ErrInvalidSnapshot
	}
	return d, nil
}

func (c *codec) dispatcher(dispatcher *Dispatcher) {
	c.clockReading(&dispatcher.now)
	c.now = dispatcher.now
	c.random(dispatcher)
	c.figures(dispatcher)
	c.learnt(dispatcher)
	sortedMap(c, dispatcher.cordons.since, func(id *uint64, since *time.Duration) {
		c.uint(id)
		c.clockReading(since)
	})
	c.flags(&dispatcher.cordons.coverFleet)
	c.population(dispatcher)
	c.keys(dispatcher)
	fixedList(c, dispatcher.idleConnections.outcomes[:], func(n *idleOutcomes) { c.float(&n.succeeded, &n.failed) })
	c.available(dispatcher)
	c.queue(dispatcher)
	c.timers(dispatcher)
	c.unstarted(dispatcher)
	isReserved := dispatcher.reservation.worker != nil
	c.flags(&isReserved)
	if isReserved {
		c.worker(&dispatcher.reservation.worker)
		c.job(&dispatcher.reservation.job)
	}
	if c.withLeases {
		dispatcher.leases.walk(c)
	}
}

// figures walks what is one figure each.
func (c *codec) figures(d *Dispatcher) {
	c.instant(&d.bornAt, &d.timers.callerAt, &d.outliers.nextProbeAt, &d.subscription.retryAt, &d.idleConnections.maxIdleSetAt, &d.stalls.endedAt, &d.starts.lastSentAt)
	c.duration(&d.starts.minDelay, &d.starts.meanLateDelay, &d.subscription.backoff, &d.idleConnections.maxIdle, &d.checks.minDelay, &d.stalls.length)
	c.float(&d.workload.longWorkThreshold, &d.workload.meanShortSojourn, &d.arrivals.meanWeight, &d.arrivals.meanCost,
		&d.arrivals.count, &d.workload.meanAbsoluteLogError, &d.workload.maxLogSpeed, &d.starts.usedSlots,
		&d.hedges.tokens, &d.checks.tokens.tokens, &d.objectives.exploration.tokens, &d.starts.lateCount)
	c.flags(&d.outliers.silencePanic, &d.outliers.failurePanic)
	c.subscriptionState(&d.subscription.state)
	c.int(&d.sharing.Replicas)
	c.int(&d.sharing.ReplicaIndex)
	c.float(&d.sharing.QuotaShare)
}

// learnt walks what has been learnt by class, tenant, kind and zone.
func (c *codec) learnt(d *Dispatcher) {
	fixedList(c, d.workload.sizeCorrection, func(x *[slotBuckets]float64) { c.float(&x[0], &x[1], &x[2], &x[3]) })
	for _, part := range [][]float64{d.workload.overrunRatio, d.workload.weights} {
		fixedList(c, part, func(x *float64) { c.float(x) })
	}
	fixedList(c, d.quotas.buckets, func(b *tokenBucket) { c.float(&b.tokens) })
	fixedList(c, d.objectives.firstTryTimeouts, func(x *time.Duration) { c.duration(x) })
	fixedList(c, d.quotas.refilledAt, func(x *time.Duration) { c.instant(x) })
	sortedMap(c, d.workload.kinds, c.machine)
	sortedMap(c, d.fleet.zoneBusy, func(zone *int, chance *float64) {
		c.int(zone)
		c.float(chance)
	})
}

func (c *codec) machine(kind *int, k **machineInfo) {
	if *k == nil {
		*k = &machineInfo{}
	}
	c.int(kind)
	c.float(&(*k).logSpeed, &(*k).samples, &(*k).maxSlots)
	c.int(&(*k).lateOverflows)
}

// subscriptionState holds a state as two flags, of which one is set at most.
func (c *codec) subscriptionState(s *subscriptionState) {
	requested, answered := *s == subscribing, *s == subscribed
	c.flags(&requested, &answered)
	switch {
	case answered:
		*s = subscribed
	case requested:
		*s = subscribing
	default:
		*s = unsubscribed
	}
}

// random walks the state of the random generator.
func (c *codec) random(d *Dispatcher) {
	const size = 20 // of the generator's own form
	switch {
	case c.writing:
		state, _ := d.source.MarshalBinary() // it never fails
		c.b = append(c.b, state...)
	case len(c.b) < size || d.source.UnmarshalBinary(c.b[:size]) != nil:
		c.invalid, c.b = true, nil
	default:
		c.b = c.b[size:]
	}
}

// available walks the workers that may have capacity, level by level as they lie: draws go by their place.
func (c *codec) available(dispatcher *Dispatcher) {
	list(c, &dispatcher.fleet.available.buckets, func(b **bucket) {
		if !c.writing {
			*b = &bucket{}
		}
		c.int(&(*b).zone)
		c.int(&(*b).kind)
		c.flags(&(*b).warmingUp, &(*b).ejected)
		list(c, &(*b).levels, func(level *[]*workerInfo) {
			list(c, level, func(w **workerInfo) { c.worker(w) })
		})
		if !c.writing {
			c.place(dispatcher, *b)
		}
	})
	list(c, &dispatcher.fleet.dirty, func(w **workerInfo) { c.worker(w) })
	if !c.writing {
		for _, w := range dispatcher.fleet.workers {
			dispatcher.fleet.rings.update(w)
		}
		dispatcher.updatePreferences()
	}
}

// place tells the workers of a bucket that was read where they stand.
func (c *codec) place(d *Dispatcher, b *bucket) {
	for i, level := range b.levels {
		for slot, w := range level {
			c.check(w.index.bucket == nil)
			w.index.bucket, w.index.level, w.index.slot = b, i, slot
			d.fleet.available.count(&w.index, 1)
		}
	}
}

// queue walks the queued jobs. Heaps are held as they lie: jobs of equal rank leave by their place.
func (c *codec) queue(dispatcher *Dispatcher) {
	fixedList(c, dispatcher.queue.demandClasses, func(s *demandClass) {
		list(c, &s.byScore.items, func(j **jobInfo) { c.job(j) })
		list(c, &s.byPromotion.items, func(j **jobInfo) {
			c.job(j)
			c.instant(&(*j).promoteAt)
			c.int(&(*j).skipCount)
		})
	})
	if c.writing {
		return
	}
	for k := range dispatcher.queue.demandClasses {
		for i, j := range dispatcher.queue.demandClasses[k].byScore.items {
			j.heapIndex, j.demandClass = i, k
			dispatcher.queue.length++
		}
	}
}

func (c *codec) timers(dispatcher *Dispatcher) {
	if !c.writing {
		dispatcher.maintenance.heapIndex = 0 // New has set it
	}
	if c.writing {
		held := c.heldTimers(dispatcher)
		list(c, &held, func(x **timer) { c.timer(dispatcher, x) })
		return
	}
	list(c, &dispatcher.timers.heap.items, func(x **timer) { c.timer(dispatcher, x) })
	for i, x := range dispatcher.timers.heap.items {
		c.check(x.heapIndex == 0) // else it is twice in the heap
		x.heapIndex = i + 1
	}
	c.check(len(dispatcher.timers.heap.items) > 0)
}

// heldTimers is the heap of timers, as it lies if the snapshot holds all of them. Without leases it holds none of theirs.
func (c *codec) heldTimers(dispatcher *Dispatcher) []*timer {
	isOfLease := func(x *timer) bool { return x.purpose == leaseOverdue }
	if c.withLeases || !slices.ContainsFunc(dispatcher.timers.heap.items, isOfLease) {
		return dispatcher.timers.heap.items
	}
	others := minHeap[*timer]{less: dispatcher.timers.heap.less}
	for _, x := range dispatcher.timers.heap.items {
		if !isOfLease(x) {
			others.push(x)
		}
	}
	return others.items
}

// timer is a reference to a timer by what it is part of, with its time.
func (c *codec) timer(dispatcher *Dispatcher, ref **timer) {
	held := timer{}
	if c.writing {
		held = **ref
	}
	c.instant(&held.at)
	c.int((*int)(&held.purpose))
	job, worker := held.job, held.worker
	switch held.purpose {
	case reviewQueue, jobDeadline, jobObjective:
		c.job(&job)
	case attemptOverdue:
		c.attempt(&held.attempt)
	case workerAvailable:
		c.worker(&worker)
	case leaseOverdue:
		c.check(c.withLeases)
		dispatcher.leases.client.walkReference(c, &held.lease)
	case runMaintenance:
	}
	if c.writing {
		return
	}
	held.job, held.worker = job, worker
	*ref = dispatcher.timerLike(&held)
	c.check(*ref != nil)
	if *ref == nil {
		*ref = &timer{}
	}
	(*ref).at = held.at
}

// timerLike returns the timer that is for the same as another one; nil: there is none.
func (d *Dispatcher) timerLike(other *timer) *timer {
	switch other.purpose {
	case reviewQueue:
		return &other.job.checksTimer
	case jobDeadline:
		return &other.job.deadlineTimer
	case jobObjective:
		return &other.job.objectiveTimer
	case attemptOverdue:
		return &other.attempt.timer
	case workerAvailable:
		return &other.worker.timer
	case leaseOverdue:
		return &other.lease.timer
	case runMaintenance:
		return &d.maintenance
	default:
		return nil
	}
}

func (c *codec) unstarted(d *Dispatcher) {
	for class := range d.starts.unstarted.pending {
		pending := d.starts.unstarted.pending[class][d.starts.unstarted.first[class]:]
		list(c, &pending, func(a **attemptInfo) { c.attempt(a) })
		d.starts.unstarted.pending[class], d.starts.unstarted.first[class] = pending, 0
	}
	list(c, &d.starts.unstarted.late, func(a **attemptInfo) { c.attempt(a) })
}

// job is a reference to a job; one that is forgotten comes back as a closed one.
func (c *codec) job(job **jobInfo) {
	place := -1
	if at, ok := c.jobPlaces[*job]; ok {
		place = at
	}
	c.int(&place)
	if c.writing {
		return
	}
	if place >= 0 && place < len(c.jobs) {
		*job = c.jobs[place]
	} else {
		*job = &jobInfo{heapIndex: -1, closed: true, class: &Class{}}
		(*job).bindTimers()
	}
}

// worker is a reference to a worker; one that is forgotten comes back as one that is none of those known.
func (c *codec) worker(worker **workerInfo) {
	place := -1
	if at, ok := c.workerPlaces[*worker]; ok {
		place = at
	}
	c.int(&place)
	if c.writing {
		return
	}
	if place >= 0 && place < len(c.workers) {
		*worker = c.workers[place]
	} else {
		*worker = &workerInfo{}
		(*worker).timer = timer{purpose: workerAvailable, worker: *worker}
	}
}

// attempt is a reference to an attempt; one that has ended comes back as such.
func (c *codec) attempt(attempt **attemptInfo) {
	var job *jobInfo
	number := -1
	if c.writing && !(*attempt).ended {
		job, number = (*attempt).job, (*attempt).number
	}
	c.job(&job)
	c.int(&number)
	if c.writing {
		return
	}
	if number >= 0 && number < len(job.attempts) {
		*attempt = job.attempts[number]
	} else {
		*attempt = &attemptInfo{job: job, ended: true, worker: &workerInfo{}}
		(*attempt).timer = timer{purpose: attemptOverdue, attempt: *attempt}
	}
}

// population walks workers and jobs: first that they are there, then what they are, as each refers to others.
func (c *codec) population(dispatcher *Dispatcher) {
	c.workerPlaces, c.jobPlaces = map[*workerInfo]int{}, map[*jobInfo]int{}
	for i, w := range dispatcher.fleet.workers {
		c.workerPlaces[w] = i
	}
	list(c, &dispatcher.fleet.workers, func(w **workerInfo) {
		if !c.writing {
			*w = &workerInfo{}
		}
	})
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		c.jobPlaces[dispatcher.jobs[id]] = len(c.jobs)
		c.jobs = append(c.jobs, dispatcher.jobs[id])
	}
	list(c, &c.jobs, func(j **jobInfo) {
		if !c.writing {
			*j = &jobInfo{heapIndex: -1}
		}
		c.jobFigures(dispatcher, *j)
	})
	c.workers = dispatcher.fleet.workers
	for _, j := range c.jobs {
		list(c, &j.attempts, func(a **attemptInfo) {
			if !c.writing {
				*a = &attemptInfo{job: j}
				(*a).timer = timer{purpose: attemptOverdue, attempt: *a}
			}
			c.attemptFigures(*a)
		})
	}
	for i, w := range dispatcher.fleet.workers {
		c.workerFigures(w)
		if !c.writing {
			dispatcher.fleet.byID[w.ID] = w
			w.position, w.machine = i, dispatcher.workload.machineKind(w.Kind)
			w.timer = timer{purpose: workerAvailable, worker: w}
		}
	}
}

func (c *codec) jobFigures(dispatcher *Dispatcher, job *jobInfo) {
	if !c.writing {
		job.bindTimers()
		defer func() { dispatcher.jobs[job.ID] = job }()
	}
	c.uint(&job.ID)
	c.int(&job.Class)
	c.int(&job.Tenant)
	c.uint(&job.Key)
	c.duration(&job.Remaining, &job.Hint)
	c.float(&job.Slots, &job.Memory, &job.demand, &job.longChance, &job.work, &job.lotteryDraw)
	c.instant(&job.arrivedAt, &job.deadline, &job.objectiveAt, &job.promoteAt, &job.checksUntil)
	demoted, missed := job.isDeprioritized(), job.priority == levelUnreachable
	c.flags(&job.Retry, &demoted, &missed, &job.closed, &job.streaming, &job.inPromotions, &job.recheckOnEnd)
	job.priority = priorityLevelOf(demoted, missed)
	c.int(&job.inFlight)
	c.int(&job.skipCount)
	if job.Class < 0 || job.Class >= len(dispatcher.settings.Classes) {
		c.invalid, job.Class = true, 0
	}
	job.class = &dispatcher.settings.Classes[job.Class]
}

// priorityLevelOf is a standing by the two flags that hold it.
func priorityLevelOf(demoted, missed bool) priorityLevel {
	switch {
	case missed:
		return levelUnreachable
	case demoted:
		return levelOverQuota
	default:
		return levelFull
	}
}

func (c *codec) attemptFigures(a *attemptInfo) {
	c.int(&a.number)
	c.worker(&a.worker)
	c.int(&a.zone)
	c.int(&a.cell)
	c.instant(&a.sentAt, &a.startedAt, &a.progressAt)
	c.flags(&a.started, &a.ended, &a.limitBound, &a.orphaned)
	c.duration(&a.connectionIdle, &a.expectedRun)
	c.int((*int)(&a.result))
}

func (c *codec) workerFigures(worker *workerInfo) {
	c.uint(&worker.ID)
	c.int(&worker.Kind)
	c.int(&worker.Cell)
	c.int(&worker.Zone)
	c.int(&worker.AssigneeRank)
	c.int(&worker.Assignees)
	c.flags(&worker.Ready, &worker.Removed, &worker.listed, &worker.listedReady, &worker.outlier.connectionLost, &worker.check.inProgress, &worker.outlier.failing, &worker.index.dirty)
	c.float(&worker.Size, &worker.slots.used, &worker.slots.limit, &worker.speed.log, &worker.speed.factor, &worker.speed.samples, &worker.report.freeSlots, &worker.slots.running,
		&worker.slots.rejectedDemand, &worker.slowStart.ticketStart, &worker.slowStart.ticketWidth)
	c.instant(&worker.BootAt, &worker.activity.aliveAt, &worker.speed.observedAt, &worker.slots.decreasedAt, &worker.backoff.until, &worker.outlier.ejectedUntil, &worker.slowStart.restartedAt,
		&worker.report.receivedAt, &worker.check.startedAt, &worker.connections.lastUsedAt, &worker.activity.progressAt, &worker.uncordonedAt)
	c.duration(&worker.backoff.delay, &worker.outlier.ejectionTime)
	c.int(&worker.outlier.failures)
	c.int(&worker.outlier.connectionFailures)
	c.int(&worker.connections.open)
	c.int(&worker.orphans)
	list(c, &worker.inFlight, func(a **attemptInfo) { c.attempt(a) })
	c.workWindow(&worker.slowStart.sent)
}

func (c *codec) workWindow(window *workWindow) {
	list(c, (*[]workSample)(window), func(sample *workSample) {
		c.instant(&sample.at)
		c.float(&sample.work)
	})
}

// keys walks what is known of the keys of jobs at hand.
func (c *codec) keys(dispatcher *Dispatcher) {
	known := map[uint64]float64{}
	for _, j := range c.jobs {
		if work, ok := dispatcher.workload.keyWork[j.Key]; ok {
			known[j.Key] = work
		}
	}
	omitted := dispatcher.workload.keysOmitted + len(dispatcher.workload.keyWork) - len(known)
	c.int(&omitted)
	sortedMap(c, known, func(key *uint64, work *float64) {
		c.uint(key)
		c.float(work)
	})
	if !c.writing {
		dispatcher.workload.keyWork, dispatcher.workload.keysOmitted = known, omitted
	}
}
