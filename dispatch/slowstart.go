package dispatch

// Slow start bounds how much work all dispatchers together may send a warming worker within
// Settings.OverloadWindow. The design counts every ready worker as able to start a job; the platform's rule
// on recovering workers limits what those are sent.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	warmUpBudgetFraction = 0.4  // of the allowed work, as the sizes of jobs are heavy-tailed
	meanJobsPerAssignee  = 2.0  // jobs of mean cost that one assignee's part of a budget holds
	minWarmUpShare       = 0.01 // of its full capacity: a worker is never assumed to have less

	// lotteryBudgetFraction is the fraction of the allowed work that is left beside warmUpBudgetFraction.
	lotteryBudgetFraction = 1 - warmUpBudgetFraction
)

// slowStart bounds and distributes what warming workers are sent. It reads the settings and the estimates of
// its dispatcher, and draws from the dispatcher's random source.
type slowStart struct {
	settings    *Settings
	rng         *rand.Rand
	workload    *workloadModel
	arrivals    *arrivalStatistics
	firstStepAt time.Duration // the first step; work sent before it is unknown; 0: no step yet
}

// recordFirstStep records the time of the first step. Later calls change nothing.
func (s *slowStart) recordFirstStep(now time.Duration) {
	if s.firstStepAt == 0 {
		s.firstStepAt = now
	}
}

// slowStartState is the slow start of a worker.
type slowStartState struct {
	restartedAt time.Duration // inferred restart: it answered after a connection loss, or was uncordoned
	sent        workWindow    // while warming up
	ticketStart float64       // draws from this up to ticketStart+ticketWidth select the worker
	ticketWidth float64       // 0: the worker does not take part in the lottery
}

// workWindow is the work sent to a warming worker within the latest Settings.OverloadWindow, oldest
// first. It may hold older samples until the next call of expire.
type workWindow []workSample

// workSample is the work of one job sent to a warming worker.
type workSample struct {
	at   time.Duration
	work float64 // seconds on a standard core, times slots
}

// expire removes the samples that are older than a span.
func (w *workWindow) expire(span, now time.Duration) {
	*w = slices.DeleteFunc(*w, func(s workSample) bool { return now-s.at > span })
}

// sumWith returns the given work plus that of all samples within a span.
func (w *workWindow) sumWith(work float64, span, now time.Duration) float64 {
	for _, s := range *w {
		if now-s.at <= span {
			work += s.work
		}
	}
	return work
}

// allows reports whether slow start permits sending a job to a worker. What this dispatcher sends a warming
// worker, including jobs that the worker rejects, stays within the dispatcher's part of the worker's budget.
// A new dispatcher sends warming workers nothing for one window, as it may have sent them work before it
// restarted.
func (s *slowStart) allows(job *jobInfo, worker *workerInfo, group replicaGroup, now time.Duration) bool {
	if worker.warmUpShare(s.settings, now) >= 1 {
		worker.slowStart.sent = nil
		return true
	}
	window := s.settings.OverloadWindow
	worker.slowStart.sent.expire(window, now)
	cost := s.workload.warmUpCost(job)
	work := worker.slowStart.sent.sumWith(cost, window, now)
	budget := s.budget(worker, now)
	rank, assignees := group.assigneeRank(worker)
	// Divided equally among many dispatchers, a part would be too small for any job. Therefore only a few
	// dispatchers may send the worker jobs: all dispatchers compute the same ones.
	chosen := max(1, min(assignees, int(budget/(meanJobsPerAssignee*s.arrivals.meanCost+divisionGuard))))
	// A cordon ends at all dispatchers at once, and none can see whether others have sent the worker a job:
	// all may do so if the budget holds such a job from each.
	allMayTry := worker.uncordonedAt > 0 && cost*float64(group.count) <= budget
	mayTry := rank < chosen || allMayTry
	return mayTry && now-s.firstStepAt > window && work <= budget/float64(chosen)
}

// allowsLease reports whether slow start permits sending a job to a worker on a lease. Whatever the
// coordinator grants, it bounds all that this dispatcher sends a warming worker, with and without leases, to
// the budget of all dispatchers.
func (s *slowStart) allowsLease(job *jobInfo, worker *workerInfo, now time.Duration) bool {
	if worker.warmUpShare(s.settings, now) >= 1 {
		return true
	}
	work := worker.slowStart.sent.sumWith(s.workload.warmUpCost(job), s.settings.OverloadWindow, now)
	return work <= s.budget(worker, now)
}

// assignTickets gives each warming worker its lottery tickets: an interval of the numbers from 0 to 1. A job
// whose random draw lies in the interval goes to the worker. The width is the worker's part of an even
// distribution of jobs, or less if the allowed work is less. Only jobs that could be sent to another worker
// draw, so that the total over dispatchers, which do not see each other, is proportional to what the rest of
// the fleet is sent. That holds too where each dispatcher uses a subset of the workers, and each worker has
// few assignees: these alone have too few jobs for it. A single assignee has the worker to itself.
func (s *slowStart) assignTickets(fleet *workerFleet, now time.Duration) {
	start, ready := 0.0, fleet.countReady()
	for _, worker := range fleet.workers {
		worker.slowStart.ticketStart = start
		worker.slowStart.ticketWidth = 0
		share := worker.warmUpShare(s.settings, now)
		isShared := worker.Assignees != 1 && s.settings.Replicas > 1
		if worker.Ready && share < 1 && isShared {
			fraction := min(1, lotteryBudgetFraction*s.settings.OverloadFactor*share)
			worker.slowStart.ticketWidth = fraction / float64(ready)
		}
		start += worker.slowStart.ticketWidth
	}
}

// drawsTicketOf reports whether a job has drawn a ticket of a warming worker. The greater the job's cost,
// the fewer of the tickets count; a job that may plausibly exceed the lottery's part of the allowed work
// never wins. A job draws only once.
func (s *slowStart) drawsTicketOf(worker *workerInfo, job *jobInfo, now time.Duration) bool {
	tickets := &worker.slowStart
	takesPart := tickets.ticketWidth != 0 && !job.wasSentTo(worker) && len(tickets.sent) == 0
	maxCost := lotteryBudgetFraction * s.allowedWork(worker, now)
	if !takesPart || s.workload.plausibleCost(job) > maxCost {
		return false
	}
	if job.lotteryDraw == 0 {
		job.lotteryDraw = 1 - s.rng.Float64()
	}
	distance := job.lotteryDraw - tickets.ticketStart
	relativeCost := s.arrivals.relativeCost(s.workload.warmUpCost(job))
	return distance > 0 && distance*max(1, relativeCost) <= tickets.ticketWidth
}

// handleSent adds an attempt to the work that its worker has been sent, if that is warming up.
func (s *slowStart) handleSent(attempt *attemptInfo, now time.Duration) {
	worker := attempt.worker
	if worker.warmUpShare(s.settings, now) < 1 {
		sample := workSample{at: attempt.sentAt, work: s.workload.warmUpCost(attempt.job)}
		worker.slowStart.sent = append(worker.slowStart.sent, sample)
	}
}

// warmUpStart returns the time from which on a worker warms up.
func (w *workerInfo) warmUpStart() time.Duration { return max(w.BootAt, w.slowStart.restartedAt) }

// warmUpShare returns the fraction of its full capacity that a worker has at least, which follows from the
// time since its start; 1 if it has warmed up.
func (w *workerInfo) warmUpShare(settings *Settings, now time.Duration) float64 {
	start := w.warmUpStart()
	if start <= 0 || settings.WarmUp <= 0 || now-start >= settings.WarmUp {
		return 1
	}
	age := max(0, (now - start).Seconds())
	share := settings.WarmUpCapacity + (1-settings.WarmUpCapacity)*age/settings.WarmUp.Seconds()
	return max(minWarmUpShare, share)
}

// allowedWork returns the least work within a window by which the platform's rule lets a warming worker be
// overloaded, in seconds on a standard core times slots. The worker's full capacity is estimated from the
// greatest number of slots seen on its kind.
func (s *slowStart) allowedWork(worker *workerInfo, now time.Duration) float64 {
	kind := s.workload.machineKind(worker.Kind)
	capacity := max(1, kind.maxSlots) * math.Exp(kind.logSpeed) * worker.warmUpShare(s.settings, now)
	return s.settings.OverloadFactor * capacity * s.settings.OverloadWindow.Seconds()
}

// budget returns the part of the allowed work that the dispatchers divide among themselves.
func (s *slowStart) budget(worker *workerInfo, now time.Duration) float64 {
	return warmUpBudgetFraction * s.allowedWork(worker, now)
}

// warmUpCost returns the cost of a job against this dispatcher's part of the budget of a warming worker.
func (m *workloadModel) warmUpCost(job *jobInfo) float64 {
	return job.work * job.Slots * m.overrunRatio[job.Class]
}

// plausibleCost returns the work times slots that a job may plausibly take: beyond its expected work no more
// than any of its class has, and no more than the prediction error explains. The greatest overrun of a class
// alone says little, as it may be that of a job of which next to nothing was expected.
func (m *workloadModel) plausibleCost(job *jobInfo) float64 {
	plausibleRatio := math.Exp(overrunDeviations * m.meanAbsoluteLogError)
	return job.work * job.Slots * min(m.overrunRatio[job.Class], plausibleRatio)
}

// assigneeRank returns the rank, from 0, of a dispatcher among those that may send jobs to a warming worker,
// and their number. All dispatchers compute the same order.
func (r replicaGroup) assigneeRank(worker *workerInfo) (rank, assignees int) {
	if worker.Assignees > 0 {
		return max(0, worker.AssigneeRank), worker.Assignees
	}
	return int((uint64(r.index) + worker.ID*hashFactor>>32) % uint64(r.count)), r.count
}
