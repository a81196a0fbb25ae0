package dispatch

// Slow start: what a worker that warms up may be sent within Settings.OverloadWindow, by all dispatchers
// together. The design is silent on it; the platform's rule on recovering workers bounds it.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	warmUpMargin = 0.4  // of the budget is used, as sizes have heavy tails
	jobsPerOwner = 2.0  // mean jobs that one owner's part of a budget holds
	minWarmUp    = 0.01 // share of its capacity that a worker has at least
)

// slowStartState is the slow start of a worker.
type slowStartState struct {
	restartedAt time.Duration // counts as its start, where later than BootAt: it answered again after a loss, or was uncordoned
	sent        []workSample  // in the latest Settings.OverloadWindow, while warming up
	ticketStart float64       // jobs whose lottery draw lies within ticketWidth above this are drawn to the worker
	ticketWidth float64       // 0: the worker does not take part in the lottery
}

// workSample is work sent to a warming worker at an instant.
type workSample struct {
	at   time.Duration
	work float64 // seconds on a standard core, times slots
}

// warmUpAllows keeps what was sent to a warming worker, rejected jobs too, under our part of its budget.
func (d *Dispatcher) warmUpAllows(job *jobInfo, worker *workerInfo) bool {
	if d.warmUpShare(worker) >= 1 {
		worker.slowStart.sent = nil
		return true
	}
	window := d.settings.OverloadWindow
	isPast := func(s workSample) bool { return d.now-s.at > window }
	worker.slowStart.sent = slices.DeleteFunc(worker.slowStart.sent, isPast)
	work := d.warmUpCost(job)
	for _, s := range worker.slowStart.sent {
		work += s.work
	}
	budget := d.warmUpBudget(worker)
	rank, assignees := d.assigneeRank(worker)
	// Equal parts for many dispatchers would hold no job: all agree on a few owners of each worker.
	owners := max(1, min(assignees, int(budget/(jobsPerOwner*d.meanCost+1e-9))))
	isOwner := rank < owners || worker.uncordonedAt > 0 && d.allMayTry(d.warmUpCost(job), budget)
	return isOwner && d.now-d.bornAt > window && work <= budget/float64(owners)
}

// ownSpendsAllow bounds what this dispatcher sends a warming worker on leases, whatever its coordinator says:
// with what it sends without one, to the budget of all.
func (d *Dispatcher) ownSpendsAllow(job *jobInfo, worker *workerInfo) bool {
	if d.warmUpShare(worker) >= 1 {
		return true
	}
	work := d.warmUpCost(job)
	for _, s := range worker.slowStart.sent {
		if d.now-s.at <= d.settings.OverloadWindow {
			work += s.work
		}
	}
	return work <= d.warmUpBudget(worker)
}

// allMayTry tells whether a budget holds a job of such a cost from each dispatcher: a cordon ends at all of
// them at once, and none knows whether others have tried the worker.
func (d *Dispatcher) allMayTry(cost, budget float64) bool {
	return cost*float64(max(1, cmp.Or(d.sharing.Replicas, d.settings.Replicas))) <= budget
}

// assignLots gives each warming worker an interval of the numbers from 0 to 1 that jobs draw: its part of an
// even spread of jobs, or less where its budget allows less. Only jobs that could go elsewhere go by it, so
// that the sum over dispatchers that know nothing of each other follows what the rest of the fleet is given.
func (d *Dispatcher) assignLots() {
	from, ready := 0.0, d.countReady()
	for _, w := range d.fleet.workers {
		w.slowStart.ticketStart, w.slowStart.ticketWidth = from, 0
		if share := d.warmUpShare(w); w.Ready && share < 1 && w.Assignees == 0 && d.settings.Replicas > 1 {
			w.slowStart.ticketWidth = min(1, warmUpMargin*d.settings.OverloadFactor) * share / float64(ready)
		}
		from += w.slowStart.ticketWidth
	}
}

// drawsWorker tells whether a job has drawn a warming worker. The heavier the job, the narrower the interval;
// one that would use up the worker's whole budget never goes.
func (d *Dispatcher) drawsWorker(j *jobInfo, w *workerInfo) bool {
	cost := d.warmUpCost(j)
	if w.slowStart.ticketWidth == 0 || j.wasSentTo(w) || len(w.slowStart.sent) > 0 || cost > d.warmUpBudget(w) {
		return false
	}
	if j.lotteryDraw == 0 {
		j.lotteryDraw = 1 - d.rng.Float64()
	}
	distance := j.lotteryDraw - w.slowStart.ticketStart
	return distance > 0 && distance*max(1, cost/(d.meanCost+1e-9)) <= w.slowStart.ticketWidth
}

// chargeWarmUp enters an attempt with what its worker has been sent, if that warms up.
func (d *Dispatcher) chargeWarmUp(a *attemptInfo) {
	if d.warmUpShare(a.worker) < 1 {
		a.worker.slowStart.sent = append(a.worker.slowStart.sent, workSample{a.sentAt, d.warmUpCost(a.job)})
	}
}

// warmUpShare is the least part of its capacity that a worker has, by when it started; 1: it is warm.
func (d *Dispatcher) warmUpShare(w *workerInfo) float64 {
	boot := max(w.BootAt, w.slowStart.restartedAt)
	if boot <= 0 || d.settings.WarmUp <= 0 || d.now-boot >= d.settings.WarmUp {
		return 1
	}
	age := max(0, (d.now - boot).Seconds())
	share := d.settings.WarmUpCapacity + (1-d.settings.WarmUpCapacity)*age/d.settings.WarmUp.Seconds()
	return max(minWarmUp, share)
}

// warmUpBudget is the work that all dispatchers may send a warming worker within a window. Its full
// capacity is estimated from the slots that its kind has been seen to have.
func (d *Dispatcher) warmUpBudget(w *workerInfo) float64 {
	k := d.machineKind(w.Kind)
	capacity := max(1, k.maxSlots) * math.Exp(k.logSpeed) * d.warmUpShare(w)
	return warmUpMargin * d.settings.OverloadFactor * capacity * d.settings.OverloadWindow.Seconds()
}

// warmUpCost is what a job takes of such a budget.
func (d *Dispatcher) warmUpCost(j *jobInfo) float64 {
	return j.work * j.Slots * d.overrunFactor[j.Class]
}

// assigneeRank is this dispatcher's place among those that may send jobs to a warming worker: all agree on
// it.
func (d *Dispatcher) assigneeRank(w *workerInfo) (rank, assignees int) {
	if w.Assignees > 0 {
		return max(0, w.AssigneeRank), w.Assignees
	}
	index, replicas := d.replica()
	return int((uint64(index) + w.ID*hashFactor>>32) % uint64(replicas)), replicas
}
