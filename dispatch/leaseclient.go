package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The client requests leases for queued jobs, and sends a job once slots are granted. This implements the
// design's choice of a worker ("the ready worker with the fewest of this dispatcher's slots in use, random
// among ties, among those able to start the job now"): the coordinator of a shard knows the slots of all
// dispatchers and makes the choice. If no coordinator answers in time, the dispatcher chooses by its own
// state, as it does without leases.
const (
	leaseAnswerTimeout     = 60 * time.Millisecond  // a request and its answer take up to 32 ms
	unansweredRequestLimit = 2                      // consecutive ones; then another coordinator is used
	leaseWaitLimit         = 250 * time.Millisecond // without any answer; then a job is sent without a lease
	retryWaitLimit         = time.Second            // for a job with excluded workers: there may be no others
	queuedRequestInterval  = 300 * time.Millisecond // between repetitions of a queued request
	leaseReportInterval    = time.Second            // between reports of the leases in use
	leaseRequestsPerJob    = 2                      // at the same time, in different shards
	shardsDrawn            = 2                      // per request: the one with more free slots is used
	maxUnusableGrants      = MaxExcluded            // of one job; then it is sent without a lease
	maxDeniedRequests      = 8                      // consecutive ones, after which a coordinator is skipped
	deniedRequestsSpan     = 4 * time.Second        // if they span at least this
)

// deniedRequests counts the consecutive requests that a coordinator has answered as queued.
type deniedRequests struct {
	since time.Duration
	count int
}

// leasedJobs is what a lease client needs of the queue, and of the rules for sending a job.
type leasedJobs interface {
	// usableWorker returns the worker whose slots a coordinator has granted; nil: the job must not be sent
	// there.
	usableWorker(job *jobInfo, worker uint64, shard Shard) *workerInfo
	// sendWithLease removes a job from the queue and sends it.
	sendWithLease(job *jobInfo, worker *workerInfo) *attemptInfo
	// requeue moves a queued job to those that do not wait for a lease.
	requeue(job *jobInfo)
	// warmUpWork returns the cost of a job against the budget of a warming worker.
	warmUpWork(job *jobInfo) float64
}

// messageSender sends a message to a dispatcher. Messages may be lost.
type messageSender interface {
	send(to int, message PeerMessage)
}

// leaseClient requests leases for a dispatcher's jobs, and holds those that are requested or in use.
type leaseClient struct {
	settings  *Settings
	rng       *rand.Rand
	directory *peerDirectory
	timers    *timerQueue
	jobs      leasedJobs
	peers     messageSender

	byID       map[LeaseID]*leaseInfo
	lastID     LeaseID
	granted    []*leaseInfo           // not used yet
	freeSlots  map[Shard]int          // by the latest answers of the coordinators
	denied     map[int]deniedRequests // by coordinator
	reportAt   time.Duration          // earliest time of the next report
	readyZones []int                  // zones that have ready workers, in ascending order
}

// clear forgets all leases.
func (l *leaseClient) clear() {
	l.byID = map[LeaseID]*leaseInfo{}
	l.lastID = 0
	l.granted = nil
	l.freeSlots = map[Shard]int{}
	l.denied = map[int]deniedRequests{}
	l.reportAt = 0
}

// updateReadyZones determines which zones have ready workers.
func (l *leaseClient) updateReadyZones(workers []*workerInfo) {
	l.readyZones = l.readyZones[:0]
	for _, worker := range workers {
		if worker.Ready && !slices.Contains(l.readyZones, worker.Zone) {
			l.readyZones = append(l.readyZones, worker.Zone)
		}
	}
	slices.Sort(l.readyZones)
}

// requestIfNone requests slots for a job, unless some are requested for it already.
func (l *leaseClient) requestIfNone(now time.Duration, job *jobInfo) {
	if !job.leases.isAwaited() {
		l.request(now, job)
	}
}

// request requests slots for a queued job, in a shard in which none are requested for it yet.
func (l *leaseClient) request(now time.Duration, job *jobInfo) {
	if lease := l.newRequest(now, job); lease != nil {
		l.sendRequest(now, lease)
	}
}

// requestOnTimer requests slots for a job of a restored dispatcher, when its timers next fire.
func (l *leaseClient) requestOnTimer(now time.Duration, job *jobInfo) {
	if lease := l.newRequest(now, job); lease != nil {
		l.timers.set(&lease.timer, now, now)
	}
}

// newRequest returns a new request for a job, which the caller has to send; nil: none is to be made.
func (l *leaseClient) newRequest(now time.Duration, job *jobInfo) *leaseInfo {
	isEnough := len(job.leases.requested) >= leaseRequestsPerJob
	if !l.settings.UsesLeases() || job.leases.isDisabled || isEnough {
		return nil
	}
	shard, ok := l.chooseShard(now, job)
	if !ok || job.isBoundByAttempts() {
		l.dispatchIfNoRequests(job)
		return nil
	}
	lease := l.newLease(shard, job.demand)
	lease.job = job
	lease.requestedAt = now
	lease.createdAt = now
	job.leases.requested = append(job.leases.requested, lease)
	return lease
}

func (l *leaseClient) newLease(shard Shard, demand float64) *leaseInfo {
	l.lastID++
	lease := &leaseInfo{id: l.lastID, shard: shard, demand: demand, peer: noPeer}
	lease.timer = timer{purpose: leaseOverdue, lease: lease}
	l.byID[lease.id] = lease
	return lease
}

// isBoundByAttempts reports whether earlier attempts restrict a job to the cell or zone that deduplicates its
// idempotency key. A request cannot express this restriction.
func (j *jobInfo) isBoundByAttempts() bool {
	return j.class.Idempotency == IdempotentWithKey && j.class.DeduplicationScope != ScopeAll &&
		slices.ContainsFunc(j.attempts, (*attemptInfo).possiblyExecuted)
}

// chooseShard returns the shard for a job's next request: of two drawn at random, the one with more free
// slots. ok is false if no shard is left.
func (l *leaseClient) chooseShard(now time.Duration, job *jobInfo) (best Shard, ok bool) {
	zones := l.requestZones(job)
	if len(zones) == 0 {
		return Shard{}, false
	}
	for range shardsDrawn {
		drawn := l.directory.drawShard(l.rng, zones)
		isOfDrawn := func(lease *leaseInfo) bool { return lease.shard == drawn }
		isRequested := slices.ContainsFunc(job.leases.requested, isOfDrawn)
		_, hasCoordinator := l.directory.coordinatorOf(drawn, now)
		if isRequested || !hasCoordinator {
			continue
		}
		if !ok || l.freeSlots[drawn] > l.freeSlots[best] {
			best, ok = drawn, true
		}
	}
	return best, ok
}

// requestZones returns the zones to request slots in. The first request for a job goes to the dispatcher's
// own zone, and so do further ones if crossing zones costs at least as much as a slot in use. Otherwise, and
// if the own zone has no ready worker or the class excludes it, these are all allowed zones with ready
// workers.
func (l *leaseClient) requestZones(job *jobInfo) []int {
	var zones []int
	for _, zone := range l.readyZones {
		if job.class.allowsZone(zone) {
			zones = append(zones, zone)
		}
	}
	isOwnPreferred := !job.leases.isAwaited() || l.settings.CrossZoneCost >= crossZoneCostPerSlot
	if isOwnPreferred && slices.Contains(zones, l.settings.Zone) {
		return []int{l.settings.Zone}
	}
	return zones
}

// sendRequest sends a request, for the first time or again.
func (l *leaseClient) sendRequest(now time.Duration, lease *leaseInfo) {
	peer, ok := l.directory.coordinatorOf(lease.shard, now)
	if !ok {
		job := lease.job
		l.drop(lease)
		l.dispatchIfNoRequests(job)
		return
	}
	if peer != lease.peer {
		lease.requestAttempts = 0
	}
	lease.peer = peer
	lease.requestAttempts++
	wait := leaseAnswerTimeout
	if lease.isQueued {
		wait = queuedRequestInterval
	}
	l.timers.set(&lease.timer, now+wait, now)
	l.peers.send(peer, l.requestMessage(now, lease))
}

func (l *leaseClient) requestMessage(now time.Duration, lease *leaseInfo) LeaseRequest {
	job := lease.job
	excluded := slices.Clone(job.leases.unusableWorkers)
	for _, attempt := range job.attempts {
		excluded = append(excluded, attempt.worker.ID)
	}
	return LeaseRequest{
		ID:              lease.id,
		Shard:           lease.shard,
		Class:           job.Class,
		Demand:          job.demand,
		Work:            l.jobs.warmUpWork(job),
		LongProbability: job.longProbability,
		Demoted:         job.isDeprioritized(),
		PromoteIn:       job.promoteAt - now,
		Excluded:        excluded[max(0, len(excluded)-MaxExcluded):],
	}
}

// repeatRequests sends the requests for a job again, after its priority has changed.
func (l *leaseClient) repeatRequests(now time.Duration, job *jobInfo) {
	for _, lease := range slices.Clone(job.leases.requested) {
		if lease.job != nil && !lease.isGranted {
			l.sendRequest(now, lease)
		}
	}
}

// handleTimer repeats a request, or has its job sent without a lease if that has waited for too long. A
// coordinator that has not answered unansweredRequestLimit requests is skipped.
func (l *leaseClient) handleTimer(now time.Duration, lease *leaseInfo) {
	if lease.job == nil || lease.isGranted {
		return
	}
	if lease.peer == noPeer { // created by requestOnTimer: its waiting time begins now
		lease.requestedAt = now
		lease.createdAt = now
		l.sendRequest(now, lease)
		return
	}
	excludesWorkers := len(lease.job.attempts)+len(lease.job.leases.unusableWorkers) > 0
	if excludesWorkers && now-lease.createdAt >= retryWaitLimit {
		l.dispatchWithoutLease(lease.job)
		return
	}
	if lease.isQueued { // its timeouts begin again with this repetition
		lease.isQueued = false
		lease.requestAttempts = 0
		lease.requestedAt = now
		l.sendRequest(now, lease)
		return
	}
	if lease.requestAttempts >= unansweredRequestLimit {
		l.directory.avoidUnresponsive(lease.peer, now)
	}
	if now-lease.requestedAt >= leaseWaitLimit {
		l.dispatchWithoutLease(lease.job)
		return
	}
	l.sendRequest(now, lease)
}

// dispatchIfNoRequests has a job sent without a lease, unless other requests for it are open.
func (l *leaseClient) dispatchIfNoRequests(job *jobInfo) {
	if !job.leases.isAwaited() {
		l.dispatchWithoutLease(job)
	}
}

// dispatchWithoutLease withdraws a job's requests, and has it sent to a worker that this dispatcher chooses.
func (l *leaseClient) dispatchWithoutLease(job *jobInfo) {
	job.leases.isDisabled = true
	l.withdraw(job)
	l.jobs.requeue(job)
}

// withdraw withdraws all requests for a job, and releases leases that were granted for it and not used.
func (l *leaseClient) withdraw(job *jobInfo) {
	for job.leases.isAwaited() {
		lease := job.leases.requested[len(job.leases.requested)-1]
		l.drop(lease)
		l.release(lease, NotSent)
	}
}

// drop removes a lease without notifying its coordinator.
func (l *leaseClient) drop(lease *leaseInfo) {
	if lease.job != nil {
		lease.job.leases.remove(lease)
		lease.job = nil
	}
	l.timers.cancel(&lease.timer)
	delete(l.byID, lease.id)
}

// release notifies the coordinator of a lease that it is not used any more.
func (l *leaseClient) release(lease *leaseInfo, result Result) {
	l.peers.send(lease.peer, LeaseReleased{ID: lease.id, Result: result})
}

// filter returns the leases for which matches is true, in the order of their IDs.
func (l *leaseClient) filter(matches func(lease *leaseInfo) bool) []*leaseInfo {
	var found []*leaseInfo
	for _, lease := range l.byID {
		if matches(lease) {
			found = append(found, lease)
		}
	}
	slices.SortFunc(found, func(a, b *leaseInfo) int { return cmp.Compare(a.id, b.id) })
	return found
}

// countUsed returns the number of leases in use.
func (l *leaseClient) countUsed() int {
	used := 0
	for _, lease := range l.byID {
		if lease.isUsed() {
			used++
		}
	}
	return used
}
