package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What is here takes over jobs and knowledge from other dispatchers, and says what this one is to share with them.

const hashFactor = 0x9e3779b97f4a7c15 // golden ratio in 64 bits: spreads ids

// onPeerEvent takes in what other dispatchers bring about.
func (d *Dispatcher) onPeerEvent(e Event) {
	switch e := e.(type) {
	case JobResumed:
		d.onJobResumed(e)
	case ReplicasChanged:
		d.sharing = ReplicasChanged{Replicas: max(1, e.Replicas), ReplicaIndex: max(0, e.ReplicaIndex), QuotaShare: clamp(finite(e.QuotaShare), 1)}
	case ModelUpdate:
		d.onModelUpdate(e)
	case Cordoned:
		d.cordon(e.Worker)
	case Uncordoned:
		d.uncordon(e.Worker)
	}
}

// assigneeRank is this dispatcher's place among those that may send work to a cold worker: all agree on it.
func (d *Dispatcher) assigneeRank(w *workerInfo) (rank, of int) {
	if w.Assignees > 0 {
		return max(0, w.AssigneeRank), w.Assignees
	}
	me := d.settings.ReplicaIndex
	if of = max(1, d.settings.Replicas); d.sharing.Replicas > 0 {
		me, of = d.sharing.ReplicaIndex, d.sharing.Replicas
	}
	return int((uint64(me) + w.ID*hashFactor>>32) % uint64(of)), of
}

// quotaShare is this dispatcher's of each tenant's quota.
func (d *Dispatcher) quotaShare() float64 {
	if d.sharing.QuotaShare > 0 {
		return d.sharing.QuotaShare
	}
	return 1 / float64(max(1, cmp.Or(d.sharing.Replicas, d.settings.Replicas)))
}

// onJobResumed takes in a job with its attempts so far.
func (d *Dispatcher) onJobResumed(e JobResumed) {
	j := d.admit(e.Job, max(0, e.Age))
	if j == nil {
		return
	}
	for _, p := range e.Attempts {
		d.adoptAttempt(j, p)
	}
	if len(e.Attempts) == 0 && !e.QuotaCharged {
		j.demoted = d.overQuota(j)
	}
	d.requeue(j)
}

// adoptAttempt enters an attempt that another dispatcher has made. What it has told so far was told to that one; whether it
// is late, or lost, counts from now on.
func (d *Dispatcher) adoptAttempt(j *jobInfo, p PastAttempt) {
	w := d.workers[p.Worker]
	if w == nil {
		w = &workerInfo{Worker: Worker{ID: p.Worker, Kind: -1, Cell: math.MinInt, Zone: math.MinInt}, limit: 1}
		w.machine, w.speed, w.timer = d.machineKind(w.Kind), math.Exp(d.machineKind(w.Kind).logSpeed), timer{purpose: workerAvailable, worker: w}
		if !p.Ended {
			w.position = len(d.workerList)
			d.workers[w.ID] = w
			d.workerList = append(d.workerList, w)
		}
	}
	sent := d.now - max(0, p.SentAgo)
	a := &attemptInfo{job: j, number: len(j.attempts), worker: w, zone: w.Zone, cell: w.Cell, sentAt: sent, startedAt: sent,
		expectedRun: d.expectedRun(j, w), started: !d.settings.StartNotifications, ended: p.Ended, result: p.Result}
	a.timer = timer{purpose: attemptOverdue, attempt: a}
	if p.StartedAgo > 0 {
		a.started, a.startedAt, a.progressAt = true, max(sent, d.now-p.StartedAgo), d.now
		w.heardAt, w.progressAt = max(w.heardAt, a.startedAt), max(w.progressAt, a.startedAt)
	}
	if d.warmUpShare(w) < 1 {
		w.warmUpSpends = append(w.warmUpSpends, spend{sent, d.warmUpCost(j)})
	}
	if p.Ended {
		j.attempts = append(j.attempts, a)
		return
	}
	d.addAttempt(a)
	w.connections = max(w.connections, len(w.inFlight))
	d.markDirty(w)
	if a.started {
		if p.StartedAgo > 0 {
			w.runningSlots += j.Slots
			d.observeSlots(w, w.runningSlots)
		}
		d.setTimer(&a.timer, a.startedAt+d.maxPlausibleRun(a))
		return
	}
	d.unstarted.insert(j.Class, a)
	d.setTimer(&a.timer, d.now+max(d.promptStart(j), (j.objectiveAt-d.now-a.expectedRun)/movePart))
}

// insert puts an attempt among those that have not started, which lie by when they were sent.
func (l *startTracker) insert(class int, a *attemptInfo) {
	q := append(l.pending[class], a)
	i := len(q) - 1
	for ; i > l.first[class] && q[i-1].sentAt > a.sentAt; i-- {
		q[i] = q[i-1]
	}
	q[i], l.pending[class] = a, q
}

// ---- What others are told ----

// AvailableSlots is how many slots of ours workers could start now, as far as is known.
func (d *Dispatcher) AvailableSlots() (slots float64) {
	for _, w := range d.workerList {
		if w.Ready && d.now >= w.backoffUntil && !d.isEjected(w) {
			slots += max(0, min(w.limit, d.maxSlots(w))*d.warmUpShare(w)-w.usedSlots)
		}
	}
	return slots
}

// TimeUntilOverdue is how much longer an attempt that is out may take before that is too long for it, by what its job was
// expected to take; not ok: it is not out.
func (d *Dispatcher) TimeUntilOverdue(id uint64, number int) (left time.Duration, ok bool) {
	j := d.jobs[id]
	if j == nil || number < 0 || number >= len(j.attempts) || j.attempts[number].ended {
		return 0, false
	}
	a := j.attempts[number]
	if left = d.maxPlausibleRun(a); a.started {
		left = max(0, left-(d.now-a.startedAt))
	}
	return left, true
}

const (
	modelSnapshotVersion = 1   // of what Lesson gives
	speedSteps           = 64  // of a worker's speed, in one natural log unit
	maxModelLimit        = 256 // that a lesson tells of
	maxModelLog          = 20  // of a figure that is a logarithm, and no less than minus this
	maxModelRuns         = 3   // runs that what was taught of a worker counts as, at most
)

// model is what a dispatcher has learnt, but for single jobs and keys.
type model struct {
	figures   []*float64 // in an order that both sides know
	durations []*time.Duration
	kinds     map[int]*machineInfo
	busy      map[int]float64
	workers   []workerModel
}

type workerModel struct {
	id                       uint64
	speedOffset, runs, limit int // speed beyond that of its kind, in speedSteps
}

// model are the learnt figures of a dispatcher that have no place of their own in a lesson.
func (d *Dispatcher) model() (l model) {
	l.figures = []*float64{&d.longCut, &d.muShort, &d.meanWeight, &d.meanCost, &d.spread}
	for i := range d.sizeCorrection {
		for b := range d.sizeCorrection[i] {
			l.figures = append(l.figures, &d.sizeCorrection[i][b])
		}
	}
	for _, part := range [][]float64{d.overrunFactor, d.weights} {
		for i := range part {
			l.figures = append(l.figures, &part[i])
		}
	}
	l.durations = []*time.Duration{&d.meanLateStart, &d.minStartDelay, &d.minCheckDelay}
	for i := range d.fullTimeout {
		l.durations = append(l.durations, &d.fullTimeout[i])
	}
	l.kinds, l.busy = d.kinds, d.zoneBusy
	return l
}

// ModelSnapshot appends what this dispatcher has learnt of sizes, kinds of machines and workers to b, in most bytes or little
// more: of too many workers those that it knows best. Taught brings it to another.
func (d *Dispatcher) ModelSnapshot(most int, b []byte) []byte {
	l := d.model()
	from := len(b)
	c := &codec{b: b, writing: true}
	c.model(&l)
	const bytes = 14 // of a worker, at most
	fit := max(0, most-(len(c.b)-from)) / bytes
	var worth [(maxModelRuns + 1) * (maxModelLimit + 1)]int // workers by what is known of them, the most last
	rank := func(x *workerModel) int { return x.runs*(maxModelLimit+1) + x.limit }
	for _, w := range d.workerList {
		if x := (workerModel{w.ID, int(math.Round((w.logSpeed - w.machine.logSpeed) * speedSteps)), int(min(w.runs, maxModelRuns)),
			int(min(w.limit, maxModelLimit))}); w.listed && (x.runs > 0 || x.limit > 1) {
			l.workers = append(l.workers, x)
			worth[rank(&x)]++
		}
	}
	if len(l.workers) > fit { // sorted, thousands would hold up a planner for milliseconds
		cut := len(worth) - 1
		for ; worth[cut] <= fit; cut-- {
			fit -= worth[cut]
		}
		l.workers = slices.DeleteFunc(l.workers, func(x workerModel) bool {
			r := rank(&x)
			if r == cut {
				fit--
			}
			return r < cut || r == cut && fit < 0
		})
	}
	c.workerModels(&l)
	return c.b
}

func (c *codec) model(l *model) {
	form := modelSnapshotVersion
	c.int(&form)
	fixedList(c, l.figures, func(x **float64) { c.float(*x) })
	fixedList(c, l.durations, func(x **time.Duration) { c.duration(*x) })
	sortedMap(c, l.kinds, func(i *int, k **machineInfo) {
		if *k == nil {
			*k = &machineInfo{}
		}
		c.int(i)
		c.float(&(*k).logSpeed, &(*k).runs, &(*k).maxSlots)
		c.int(&(*k).lateOverflows)
		c.invalid = c.invalid || !isPlausible((*k).runs, (*k).maxSlots) || !(math.Abs((*k).logSpeed) <= maxModelLog)
	})
	sortedMap(c, l.busy, func(zone *int, part *float64) {
		c.int(zone)
		c.float(part)
		c.invalid = c.invalid || !isPlausible(*part)
	})
	c.invalid = c.invalid || form != modelSnapshotVersion
	for _, x := range l.figures {
		c.invalid = c.invalid || !isPlausible(*x)
	}
	for _, x := range l.durations {
		c.invalid = c.invalid || *x < 0 || *x > 1e6*time.Second
	}
}

func (c *codec) workerModels(l *model) {
	list(c, &l.workers, func(x *workerModel) {
		c.uint(&x.id)
		c.int(&x.speedOffset)
		c.int(&x.runs)
		c.int(&x.limit)
	})
}

// isPlausible tells figures that may have been learnt from those that can't.
func isPlausible(xs ...float64) bool {
	return !slices.ContainsFunc(xs, func(x float64) bool { return !(math.Abs(x) <= 1e9) })
}

// isSane tells whether a pupil has read figures that it could have learnt itself.
func (d *Dispatcher) isSane() bool {
	logs := []float64{d.longCut}
	for _, x := range d.sizeCorrection {
		logs = append(logs, x[:]...)
	}
	wide := func(x float64) bool { return math.Abs(x) > maxModelLog }
	return !slices.ContainsFunc(append(logs, d.weights...), wide) &&
		!slices.ContainsFunc(d.overrunFactor, func(x float64) bool { return x < 1 }) && d.spread > 0 && d.spread <= featureClip &&
		d.muShort > 0 && d.meanCost >= 0 && d.meanLateStart > 0 && d.minStartDelay > 0 && d.minCheckDelay > 0
}

// onModelUpdate takes over a lesson, whole or not at all. What it says of a worker's speed has faded by now as it would
// have here, and a room is shared like the work.
func (d *Dispatcher) onModelUpdate(e ModelUpdate) {
	pupil := New(d.settings, 0) // reads it first
	l := pupil.model()
	c := &codec{b: e.Snapshot}
	c.model(&l)
	c.workerModels(&l)
	if c.invalid || len(c.b) > 0 || !pupil.isSane() {
		return
	}
	own := d.model()
	for i, x := range l.figures {
		*own.figures[i] = *x
	}
	for i, x := range l.durations {
		*own.durations[i] = *x
	}
	for i, k := range l.kinds {
		*d.machineKind(i) = *k
	}
	for zone, part := range l.busy {
		d.zoneBusy[zone] = part
	}
	kept := math.Exp(-max(0, e.Age).Seconds() / speedMemory.Seconds())
	for _, x := range l.workers {
		w := d.workers[x.id]
		if w == nil || w.runs > 0 || x.runs < 0 || x.runs > maxModelRuns {
			continue
		}
		if x.runs > 0 {
			w.logSpeed = w.machine.logSpeed + clamp(float64(x.speedOffset)/speedSteps, 2*featureClip)*kept
			w.speed, w.runs, w.learnedAt = math.Exp(w.logSpeed), float64(x.runs), d.now
		}
		w.limit = max(w.limit, math.Floor(min(float64(x.limit), maxModelLimit)*clamp(finite(e.LoadShare), 1)))
		d.markDirty(w)
	}
}
