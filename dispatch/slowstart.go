package dispatch

// Slow start: how much work a worker that warms up may be sent within Settings.OverloadWindow, by all
// dispatchers together. The design counts every ready worker as able to start a job; the platform's
// rule on recovering workers bounds what these are sent.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	warmUpBudgetFraction = 0.4  // of the budget is used, as the sizes of jobs have heavy tails
	meanJobsPerAssignee  = 2.0  // that the part of a budget of one assignee holds
	minWarmUpShare       = 0.01 // of its full capacity, that a worker has at least
)

// slowStartState is the slow start of a worker.
type slowStartState struct {
	restartedAt time.Duration // its start if later than BootAt: it answered after a loss, or was uncordoned
	sent        workWindow    // while warming up
	ticketStart float64       // a draw within ticketWidth above this is the worker's
	ticketWidth float64       // 0: the worker does not take part in the lottery
}

// workWindow is the work sent to a warming worker within the latest Settings.OverloadWindow, oldest
// first. It may hold older samples until the next call of expire.
type workWindow []workSample

// workSample is work sent to a warming worker at an instant.
type workSample struct {
	at   time.Duration
	work float64 // seconds on a standard core, times slots
}

// expire removes the samples that are older than a span.
func (w *workWindow) expire(span, now time.Duration) {
	*w = slices.DeleteFunc(*w, func(s workSample) bool { return now-s.at > span })
}

// plus returns a work plus that of all samples within a span.
func (w *workWindow) plus(work float64, span, now time.Duration) float64 {
	for _, s := range *w {
		if now-s.at <= span {
			work += s.work
		}
	}
	return work
}

// warmUpAllows reports whether a worker may be sent a job by its slow start: what is sent to a warming
// worker, rejected jobs too, stays within this dispatcher's part of the worker's budget.
func (d *Dispatcher) warmUpAllows(job *jobInfo, worker *workerInfo) bool {
	if worker.warmUpShare(&d.settings, d.now) >= 1 {
		worker.slowStart.sent = nil
		return true
	}
	window := d.settings.OverloadWindow
	worker.slowStart.sent.expire(window, d.now)
	cost := d.workload.warmUpCost(job)
	work := worker.slowStart.sent.plus(cost, window, d.now)
	budget := d.warmUpBudget(worker)
	rank, assignees := d.assigneeRank(worker)
	// Equal parts for many dispatchers would hold no job: all dispatchers choose the same few of them
	// for a worker.
	chosen := max(1, min(assignees, int(budget/(meanJobsPerAssignee*d.arrivals.meanCost+divisionGuard))))
	mayTry := rank < chosen || worker.uncordonedAt > 0 && d.allMayTry(cost, budget)
	return mayTry && d.now-d.bornAt > window && work <= budget/float64(chosen)
}

// warmUpAllowsLease reports whether a job may be sent to a worker on a lease. It bounds what this
// dispatcher sends a warming worker on leases and without, whatever its coordinator grants, to the
// budget of all dispatchers.
func (d *Dispatcher) warmUpAllowsLease(job *jobInfo, worker *workerInfo) bool {
	if worker.warmUpShare(&d.settings, d.now) >= 1 {
		return true
	}
	work := worker.slowStart.sent.plus(d.workload.warmUpCost(job), d.settings.OverloadWindow, d.now)
	return work <= d.warmUpBudget(worker)
}

// allMayTry reports whether a budget holds a job of a cost from each dispatcher. A cordon ends at all of
// them at once, and none can see whether others have tried the worker.
func (d *Dispatcher) allMayTry(cost, budget float64) bool {
	return cost*float64(max(1, cmp.Or(d.sharing.Replicas, d.settings.Replicas))) <= budget
}

// assignTickets gives each warming worker its tickets of the lottery that jobs draw in, an interval of
// the numbers from 0 to 1. Its width is the worker's part of an even distribution of jobs, or less
// where its budget allows less. Only jobs that could be sent elsewhere draw: so the sum over
// dispatchers that do not see each other follows what the rest of the fleet is sent.
func (d *Dispatcher) assignTickets() {
	start, ready := 0.0, d.fleet.countReady()
	for _, worker := range d.fleet.workers {
		worker.slowStart.ticketStart = start
		worker.slowStart.ticketWidth = 0
		share := worker.warmUpShare(&d.settings, d.now)
		if worker.Ready && share < 1 && worker.Assignees == 0 && d.settings.Replicas > 1 {
			fraction := min(1, warmUpBudgetFraction*d.settings.OverloadFactor)
			worker.slowStart.ticketWidth = fraction * share / float64(ready)
		}
		start += worker.slowStart.ticketWidth
	}
}

// drawsTicketOf reports whether a job has drawn a ticket of a warming worker. The greater the job's cost,
// the fewer tickets count; a job that would use up the worker's whole budget has no chance. A job draws
// once.
func (d *Dispatcher) drawsTicketOf(worker *workerInfo, job *jobInfo) bool {
	cost := d.workload.warmUpCost(job)
	tickets := &worker.slowStart
	takesPart := tickets.ticketWidth != 0 && !job.wasSentTo(worker) && len(tickets.sent) == 0
	if !takesPart || cost > d.warmUpBudget(worker) {
		return false
	}
	if job.lotteryDraw == 0 {
		job.lotteryDraw = 1 - d.rng.Float64()
	}
	distance := job.lotteryDraw - tickets.ticketStart
	return distance > 0 && distance*max(1, d.arrivals.relativeCost(cost)) <= tickets.ticketWidth
}

// recordWarmUpWork adds an attempt to the work that its worker has been sent, if that is warming up.
func (d *Dispatcher) recordWarmUpWork(attempt *attemptInfo) {
	worker := attempt.worker
	if worker.warmUpShare(&d.settings, d.now) < 1 {
		sample := workSample{at: attempt.sentAt, work: d.workload.warmUpCost(attempt.job)}
		worker.slowStart.sent = append(worker.slowStart.sent, sample)
	}
}

// warmUpStart returns the instant from which a worker warms up.
func (w *workerInfo) warmUpStart() time.Duration { return max(w.BootAt, w.slowStart.restartedAt) }

// warmUpShare returns the least fraction of its full capacity that a worker has, by the time since its
// start; 1 if it has warmed up.
func (w *workerInfo) warmUpShare(settings *Settings, now time.Duration) float64 {
	start := w.warmUpStart()
	if start <= 0 || settings.WarmUp <= 0 || now-start >= settings.WarmUp {
		return 1
	}
	age := max(0, (now - start).Seconds())
	share := settings.WarmUpCapacity + (1-settings.WarmUpCapacity)*age/settings.WarmUp.Seconds()
	return max(minWarmUpShare, share)
}

// warmUpBudget returns the work that all dispatchers may send a warming worker within a window, in
// seconds on a standard core times slots. The worker's full capacity is estimated from the greatest
// number of slots seen on its kind.
func (d *Dispatcher) warmUpBudget(worker *workerInfo) float64 {
	kind := d.workload.machineKind(worker.Kind)
	capacity := max(1, kind.maxSlots) * math.Exp(kind.logSpeed) * worker.warmUpShare(&d.settings, d.now)
	return warmUpBudgetFraction * d.settings.OverloadFactor * capacity * d.settings.OverloadWindow.Seconds()
}

// warmUpCost returns what a job counts against such a budget.
func (m *workloadModel) warmUpCost(job *jobInfo) float64 {
	return job.work * job.Slots * m.overrunRatio[job.Class]
}

// assigneeRank returns this dispatcher's place, from 0, among those that may send jobs to a warming
// worker. All dispatchers compute the same order.
func (d *Dispatcher) assigneeRank(worker *workerInfo) (rank, assignees int) {
	if worker.Assignees > 0 {
		return max(0, worker.AssigneeRank), worker.Assignees
	}
	index, replicas := d.replica()
	return int((uint64(index) + worker.ID*hashFactor>>32) % uint64(replicas)), replicas
}
