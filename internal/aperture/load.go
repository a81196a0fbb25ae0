package aperture

import (
	"math"
	"time"

	"valvecove/dispatch"
)

const (
	promptDelayDivisor = 4           // a job that is held for longer than this part of its class's aim finds no room
	loadWindow         = time.Second // how far back load is looked at
	minSamples         = 8           // jobs that say something
	wideningStep       = 1.5         // a step of it
	wideningInterval   = time.Second // each shows its effect first
	calmDivisor        = 4           // under this part of Config.WidenAt there is no load to speak of
	maxNarrowingDelay  = 8           // Dwells of calm before a narrowing, where earlier ones were undone
	undoneWithin       = 4           // a widening within so many Dwells undoes a narrowing
	responseTimeout    = time.Second // a worker node that was asked is silent after so long without a word
	maxFailures        = 2           // or after so many failures to reach it
)

// sampleDecay is what of the load remains from tick to tick.
var sampleDecay = math.Exp(-evaluationInterval.Seconds() / loadWindow.Seconds())

// unsentJob is one that has not been sent yet.
type unsentJob struct {
	id        uint64
	class     int
	arrivedAt time.Duration
	unsent    bool // it is among the jobs
	queued    bool // and in its class's queue
}

// loadMonitor is how jobs fare, and what follows. What counts is whether there was room for them: whether the module held them
// for long, or worker nodes turned them away. Late starts say nothing of the kind. They come of schedulers that meet at
// a worker node, which they do the more often, the wider they all look.
type loadMonitor struct {
	jobs           map[uint64]*unsentJob
	queues         []jobQueue      // by class, of jobs as they came
	promptDelays   []time.Duration // by class
	freeJobs       []*unsentJob
	delayed        float64 // jobs that found no room in time, and all; both fade
	samples        float64
	widening       float64
	widenedAt      time.Duration // when that last happened
	narrowedAt     time.Duration
	calmSince      time.Duration // since when there has been no load to speak of
	narrowingDelay float64       // Dwells of calm before a narrowing
}

func newLoadMonitor(set dispatch.Settings) loadMonitor {
	l := loadMonitor{jobs: map[uint64]*unsentJob{}, queues: make([]jobQueue, len(set.Classes)), widening: 1, narrowingDelay: 1}
	for _, c := range set.Classes {
		l.promptDelays = append(l.promptDelays, c.LatencyObjective/promptDelayDivisor)
	}
	return l
}

// jobQueue holds jobs in the order in which they came.
type jobQueue struct {
	jobs []*unsentJob
	head int
}

func (q *jobQueue) push(j *unsentJob) {
	if q.head > len(q.jobs)/2 {
		n := copy(q.jobs, q.jobs[q.head:])
		clear(q.jobs[n:])
		q.jobs, q.head = q.jobs[:n], 0
	}
	q.jobs = append(q.jobs, j)
}

// jobArrived takes in a job.
func (a *Aperture) jobArrived(e dispatch.Job) {
	if a.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(a.queues) {
		return
	}
	j := &unsentJob{}
	if last := len(a.freeJobs) - 1; last >= 0 {
		j, a.freeJobs = a.freeJobs[last], a.freeJobs[:last]
	}
	*j = unsentJob{id: e.ID, class: e.Class, arrivedAt: a.now, unsent: true, queued: true}
	a.jobs[e.ID] = j
	a.queues[e.Class].push(j)
}

// removeJob ends the look at a job.
func (a *Aperture) removeJob(id uint64) *unsentJob {
	j := a.jobs[id]
	if j != nil {
		delete(a.jobs, id)
		j.unsent = false
		a.recycle(j)
	}
	return j
}

func (a *Aperture) recycle(j *unsentJob) {
	if !j.unsent && !j.queued {
		a.freeJobs = append(a.freeJobs, j)
	}
}

func (a *Aperture) addSample(hard bool) {
	if a.samples++; hard {
		a.delayed++
	}
}

// attemptSent takes in an attempt.
func (a *Aperture) attemptSent(id, worker uint64) {
	if n := a.workers[worker]; n != nil {
		n.inFlight++
		if a.settings.StartNotifications {
			a.expectResponse(n)
		}
	}
	if j := a.removeJob(id); j != nil {
		a.addSample(a.now-j.arrivedAt > a.promptDelays[j.class])
	}
}

// jobResumed takes in a job that comes with attempts at worker nodes, wherever these are. The module must know the cells
// and zones of all of them before it hears of the job. It gives those that it is to be told of again afterwards.
func (a *Aperture) jobResumed(e dispatch.JobResumed) (after []*worker) {
	for _, p := range e.Attempts {
		n := a.workers[p.Worker]
		if n == nil {
			if p.Ended {
				continue
			}
			n = a.workerSlab.allocate()
			n.ID = p.Worker
			a.workers[p.Worker] = n
		}
		if !p.Ended {
			n.inFlight++
		}
		if n.unit != nil && !n.reported {
			a.updates = append(a.updates, n.report(false))
			after = append(after, n)
		}
	}
	return after
}

// attemptEnded takes in the end of an attempt.
func (a *Aperture) attemptEnded(e dispatch.Outcome) {
	if n := a.workers[e.Worker]; n != nil && n.inFlight > 0 {
		switch n.inFlight--; {
		case n.inFlight > 0:
		case n.reported:
			a.updates = a.appendStatus(n, a.updates)
		default:
			a.forget(n)
		}
	}
	switch e.Result {
	case dispatch.OK, dispatch.Failed:
		a.responseReceived(e.Worker)
	case dispatch.WorkerFull:
		a.addSample(true)
		a.responseReceived(e.Worker)
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset:
		a.failureObserved(e.Worker)
	}
}

// healthChecked takes in the end of a probe.
func (a *Aperture) healthChecked(e dispatch.HealthChecked) {
	switch e.Result {
	case dispatch.NotSent, dispatch.Cancelled:
	case dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionReset:
		a.failureObserved(e.Worker)
	default:
		a.responseReceived(e.Worker)
	}
}

// ---- Width ----

// adjustWidening looks at how jobs have fared, and widens or narrows. Narrowing waits for a Dwell without load, and longer each
// time that the one before had to be undone: where load hovers at the bound, the aperture stays wide.
func (a *Aperture) adjustWidening(late bool) {
	for class := range a.queues {
		q := &a.queues[class]
		for q.head < len(q.jobs) && a.now-q.jobs[q.head].arrivedAt > a.promptDelays[class] {
			j := q.jobs[q.head]
			q.jobs[q.head] = nil
			q.head++
			if j.queued = false; !j.unsent {
				a.recycle(j)
				continue
			}
			if a.removeJob(j.id); !late { // else nobody could have sent it
				a.addSample(true)
			}
		}
	}
	share := 0.0
	if a.samples >= minSamples {
		share = a.delayed / a.samples
	}
	a.delayed, a.samples = a.delayed*sampleDecay, a.samples*sampleDecay
	dwell := time.Duration(a.narrowingDelay * float64(a.config.Retention))
	switch {
	case a.coversFleet():
		a.widening, a.calmSince = 1, a.now
	case share >= a.config.WidenThreshold:
		a.calmSince = a.now
		if a.allSelected || a.widening >= a.config.MaxWidening || a.widenedAt > 0 && a.now-a.widenedAt < wideningInterval {
			return
		}
		if a.narrowedAt > 0 && a.now-a.narrowedAt < undoneWithin*dwell {
			a.narrowingDelay = min(2*a.narrowingDelay, maxNarrowingDelay)
		}
		a.widening, a.widenedAt, a.needsRefresh = min(wideningStep*a.widening, a.config.MaxWidening), a.now, true
		a.logReason = "wider, as jobs find no room in time"
	case share >= a.config.WidenThreshold/calmDivisor:
		a.calmSince = a.now
	case a.widening > 1 && a.now-a.calmSince >= dwell:
		a.widening, a.narrowedAt, a.calmSince, a.needsRefresh = max(a.widening/wideningStep, 1), a.now, a.now, true
		a.logReason = "narrower, as jobs find room"
	case a.widening == 1 && a.narrowingDelay > 1 && a.now-a.calmSince >= undoneWithin*dwell:
		a.narrowingDelay = 1
	}
}

// ---- Silence ----

// expectResponse notes that a worker node owes a sign of life.
func (a *Aperture) expectResponse(n *worker) {
	if n.awaitingSince > 0 || n.unit == nil {
		return
	}
	if n.awaitingSince = max(a.now, 1); !n.awaited {
		n.awaited = true
		a.awaited = append(a.awaited, n)
	}
}

func (a *Aperture) responseReceived(worker uint64) {
	if n := a.workers[worker]; n != nil {
		n.awaitingSince, n.failures = 0, 0
		a.setUnresponsive(n, false)
	}
}

func (a *Aperture) failureObserved(worker uint64) {
	if n := a.workers[worker]; n != nil && n.reported {
		if n.failures++; n.failures >= maxFailures {
			a.setUnresponsive(n, true)
		}
	}
}

// setUnresponsive enters whether a worker node is silent. One that is stays in the aperture, so that it can be heard again, and
// others come in its place.
func (a *Aperture) setUnresponsive(n *worker, silent bool) {
	if n.unit == nil || n.unresponsive == silent {
		return
	}
	a.addCounts(n, -1)
	n.unresponsive = silent
	a.addCounts(n, 1)
	a.needsRefresh = true
}

// checkResponses finds who has been silent for too long.
func (a *Aperture) checkResponses(late bool) {
	owing := a.awaited[:0]
	for _, n := range a.awaited {
		if n.awaitingSince == 0 {
			n.awaited = false
			continue
		}
		if late {
			n.awaitingSince = a.now
		} else if n.reported && a.now-n.awaitingSince >= responseTimeout {
			a.setUnresponsive(n, true)
		}
		owing = append(owing, n)
	}
	clear(a.awaited[len(owing):])
	a.awaited = owing
}
