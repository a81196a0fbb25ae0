package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Leases, the side of a dispatcher that asks: a queued job asks the coordinator of a shard for slots at a
// worker that can start it, and is sent there once they are granted. The design sends a job to the
// least-occupied worker able to start it; what other dispatchers have sent there is known to the
// coordinator alone. Where no coordinator answers in time, a job is sent by what this dispatcher knows
// itself.
const (
	leaseAnswerTimeout     = 60 * time.Millisecond  // two messages take up to 32 ms
	unansweredRequestLimit = 2                      // then another coordinator is asked
	leaseWaitLimit         = 250 * time.Millisecond // without any answer: a job is then sent without a lease
	retryWaitLimit         = time.Second            // of a job with workers excluded: there may be no other
	queuedRequestInterval  = 300 * time.Millisecond // between repetitions of a queued request
	leaseReportInterval    = time.Second            // between reports of the leases in use
	leaseRequestsPerJob    = 2                      // at once, in different shards
	maxUnusableGrants      = MaxExcluded            // granted workers that a job can't use
	maxDeniedRequests      = 8                      // refused in a row: the coordinator is passed over
	deniedRequestsSpan     = 4 * time.Second        // after this
)

// The share of the result that messages for leases may cost, and the bytes that a job takes of them.
const (
	defaultPeerBudget = 0.02
	leaseBytesPerJob  = 160 // a request, its answers, a start, an end, and its part of reports
	peerCostBytes     = 256 // that Settings.PeerCost is the price of
)

// leaseInfo is a lease that was asked for, or slots that were taken without one.
type leaseInfo struct {
	id              LeaseID
	shard           Shard
	peer            int          // the coordinator that it was last asked of, or reported to
	job             *jobInfo     // that it was asked for; nil: it is in use
	attempt         *attemptInfo // that uses it
	demand          float64      // slots
	worker          uint64
	requestedAt     time.Duration // first, since the last answer
	createdAt       time.Duration
	requestAttempts int  // since the last answer
	isQueued        bool // as the coordinator says
	isGranted       bool
	timer           timer // when it is to be asked for again
}

// leaseClient is what a dispatcher keeps of the leases that it asks for.
type leaseClient struct {
	byID      map[LeaseID]*leaseInfo
	lastID    LeaseID
	granted   []*leaseInfo // and not used yet
	freeSlots map[Shard]int
	denied    map[int]deniedRequests // by coordinator
	reportAt  time.Duration
}

func newLeaseClient() leaseClient {
	return leaseClient{
		byID:      map[LeaseID]*leaseInfo{},
		freeSlots: map[Shard]int{},
		denied:    map[int]deniedRequests{},
	}
}

// deniedRequests counts the requests that a coordinator has had wait since it last granted one.
type deniedRequests struct {
	since time.Duration
	count int
}

// UsesLeases tells whether slots are leased. Alone, or where messages cost more than they may, they are
// not, and neither where workers notify of no starts: from these a coordinator learns how many jobs a
// worker has room for.
func (s *Settings) UsesLeases() bool {
	if !s.PeerMessages || !s.StartNotifications {
		return false
	}
	return s.Replicas > 1 && s.BudgetSpent(leaseBytesPerJob) <= 1
}

// BudgetSpent is the share of what messages may cost that is spent where each job takes so many bytes of
// them.
func (s *Settings) BudgetSpent(bytesPerJob float64) float64 {
	budget := s.PeerBudget
	if budget == 0 {
		budget = defaultPeerBudget
	}
	return s.PeerCost * bytesPerJob / peerCostBytes / budget
}

// PeerSettings returns whether this dispatcher's settings allow SendPeerMessage, and their PeerBudget.
func (d *Dispatcher) PeerSettings() (allowed bool, budget float64) {
	return d.settings.PeerMessages, d.settings.PeerBudget
}

func (d *Dispatcher) usesLeases() bool { return d.settings.UsesLeases() }

// awaitsLease tells whether a job is to wait for slots that it has asked for.
func (j *jobInfo) awaitsLease() bool { return len(j.leases) > 0 }

// requestFirstLease asks for slots for a job that has not asked for any yet.
func (d *Dispatcher) requestFirstLease(job *jobInfo) {
	if !job.awaitsLease() {
		d.requestLease(job)
	}
}

// requestLease asks for slots for a queued job, in a shard where it has not asked yet.
func (d *Dispatcher) requestLease(job *jobInfo) {
	if lease := d.newRequest(job); lease != nil {
		d.askForLease(lease)
	}
}

// newRequest is a request for slots that is not told yet; nil: the job makes none.
func (d *Dispatcher) newRequest(job *jobInfo) *leaseInfo {
	if !d.usesLeases() || job.withoutLease || len(job.leases) >= leaseRequestsPerJob {
		return nil
	}
	shard, ok := d.chooseShard(job)
	if !ok || job.isBoundByAttempts() {
		d.goOnWithoutLease(job)
		return nil
	}
	lease := d.newLease(shard, job.demand)
	lease.job, lease.requestedAt, lease.createdAt = job, d.now, d.now
	job.leases = append(job.leases, lease)
	return lease
}

// resumeLeases has a restored dispatcher, which holds no lease, ask anew for what is queued,
// with its next step, and report what is in flight.
func (d *Dispatcher) resumeLeases() {
	d.fleet.updateReadyZones()
	if !d.usesLeases() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		job := d.jobs[id]
		for _, attempt := range job.attempts {
			if !attempt.ended && !attempt.orphaned {
				d.takeSlots(attempt)
			}
		}
		if job.heapIndex < 0 {
			continue
		}
		if lease := d.newRequest(job); lease != nil {
			d.setTimer(&lease.timer, d.now)
		}
	}
}

func (d *Dispatcher) newLease(shard Shard, demand float64) *leaseInfo {
	d.client.lastID++
	lease := &leaseInfo{id: d.client.lastID, shard: shard, demand: demand, peer: noPeer}
	lease.timer = timer{purpose: leaseOverdue, lease: lease}
	d.client.byID[lease.id] = lease
	return lease
}

// isBoundByAttempts tells whether earlier attempts leave a job only workers that share what they know of
// its key.
func (j *jobInfo) isBoundByAttempts() bool {
	return j.class.Idempotency == IdempotentWithKey && j.class.DeduplicationScope != ScopeAll &&
		slices.ContainsFunc(j.attempts, (*attemptInfo).possiblyExecuted)
}

// chooseShard is where a job asks next: of two shards drawn, the one with more free slots as far as is
// known.
func (d *Dispatcher) chooseShard(job *jobInfo) (best Shard, ok bool) {
	zones := d.leaseZones(job)
	if len(zones) == 0 {
		return Shard{}, false
	}
	for range 2 {
		drawn := Shard{Zone: zones[d.rng.IntN(len(zones))], Number: d.rng.IntN(d.directory.shardsPerZone)}
		isOfDrawn := func(lease *leaseInfo) bool { return lease.shard == drawn }
		isAsked := slices.ContainsFunc(job.leases, isOfDrawn)
		_, hasCoordinator := d.directory.coordinatorOf(drawn, d.now)
		if isAsked || !hasCoordinator {
			continue
		}
		if !ok || d.client.freeSlots[drawn] > d.client.freeSlots[best] {
			best, ok = drawn, true
		}
	}
	return best, ok
}

// leaseZones are the zones that a job asks in: its dispatcher's own, or, where that has no worker for it,
// or is asked already and others cost less than a slot in use, all that have one.
func (d *Dispatcher) leaseZones(job *jobInfo) []int {
	var zones []int
	for _, zone := range d.fleet.readyZones {
		if job.class.allowsZone(zone) {
			zones = append(zones, zone)
		}
	}
	isNearOnly := len(job.leases) == 0 || d.settings.CrossZoneCost >= crossZoneCostPerSlot
	if isNearOnly && slices.Contains(zones, d.settings.Zone) {
		return []int{d.settings.Zone}
	}
	return zones
}

// askForLease sends a request, for the first time or again.
func (d *Dispatcher) askForLease(lease *leaseInfo) {
	peer, ok := d.directory.coordinatorOf(lease.shard, d.now)
	if !ok {
		job := lease.job
		d.dropLease(lease)
		d.goOnWithoutLease(job)
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
	d.setTimer(&lease.timer, d.now+wait)
	d.tell(peer, d.leaseRequest(lease))
}

func (d *Dispatcher) leaseRequest(lease *leaseInfo) LeaseRequest {
	job := lease.job
	excluded := slices.Clone(job.unusableWorkers)
	for _, attempt := range job.attempts {
		excluded = append(excluded, attempt.worker.ID)
	}
	return LeaseRequest{
		ID:         lease.id,
		Shard:      lease.shard,
		Class:      job.Class,
		Demand:     job.demand,
		Work:       d.warmUpCost(job),
		LongChance: job.longChance,
		Demoted:    job.isDeprioritized(),
		PromoteIn:  job.promoteAt - d.now,
		Excluded:   excluded[max(0, len(excluded)-MaxExcluded):],
	}
}

// repeatLeaseRequests tells coordinators of what has changed about a job.
func (d *Dispatcher) repeatLeaseRequests(job *jobInfo) {
	for _, lease := range slices.Clone(job.leases) {
		if lease.job != nil && !lease.isGranted {
			d.askForLease(lease)
		}
	}
}

// onLeaseOverdue repeats a request. Of a coordinator that does not answer the next one is asked.
func (d *Dispatcher) onLeaseOverdue(lease *leaseInfo) {
	if lease.job == nil || lease.isGranted {
		return
	}
	if lease.peer == noPeer { // it is resumed: the time before does not count
		lease.requestedAt, lease.createdAt = d.now, d.now
		d.askForLease(lease)
		return
	}
	excludesWorkers := len(lease.job.attempts)+len(lease.job.unusableWorkers) > 0
	if excludesWorkers && d.now-lease.createdAt >= retryWaitLimit {
		d.sendWithoutLease(lease.job)
		return
	}
	if lease.isQueued { // its answer to this repetition counts anew
		lease.isQueued = false
		lease.requestAttempts = 0
		lease.requestedAt = d.now
		d.askForLease(lease)
		return
	}
	if lease.requestAttempts >= unansweredRequestLimit {
		d.directory.avoid(lease.peer, d.now)
	}
	if d.now-lease.requestedAt >= leaseWaitLimit {
		d.sendWithoutLease(lease.job)
		return
	}
	d.askForLease(lease)
}

// goOnWithoutLease has a job that waits for no lease any more leave the queue without one.
func (d *Dispatcher) goOnWithoutLease(job *jobInfo) {
	if !job.awaitsLease() {
		d.sendWithoutLease(job)
	}
}

// sendWithoutLease has a job leave the queue by what this dispatcher knows itself.
func (d *Dispatcher) sendWithoutLease(job *jobInfo) {
	job.withoutLease = true
	d.withdrawLeases(job)
	if job.heapIndex >= 0 { // it stands among other jobs from now on, by promotion too
		d.queue.remove(job)
		job.inPromotions = false
		d.enqueue(job)
	}
}

// withdrawLeases ends what a job has asked for.
func (d *Dispatcher) withdrawLeases(job *jobInfo) {
	for len(job.leases) > 0 {
		lease := job.leases[len(job.leases)-1]
		d.dropLease(lease)
		d.tell(lease.peer, LeaseReleased{ID: lease.id, Result: NotSent})
	}
}

// dropLease forgets a lease.
func (d *Dispatcher) dropLease(lease *leaseInfo) {
	if lease.job != nil {
		lease.job.removeLease(lease)
		lease.job = nil
	}
	d.cancelTimer(&lease.timer)
	delete(d.client.byID, lease.id)
}

func (j *jobInfo) removeLease(lease *leaseInfo) {
	j.leases = slices.DeleteFunc(j.leases, func(other *leaseInfo) bool { return other == lease })
}

func (d *Dispatcher) onLeaseGranted(from int, message LeaseGranted) {
	lease := d.client.byID[message.ID]
	isWanted := lease != nil && d.directory.mayCoordinate(from, lease.shard) &&
		(!lease.isGranted || from == lease.peer)
	if !isWanted { // its job has gone, or has a lease of another coordinator
		d.tell(from, LeaseReleased{ID: message.ID, Result: NotSent})
		return
	}
	d.client.freeSlots[lease.shard] = message.FreeSlots
	delete(d.client.denied, from)
	if lease.isGranted {
		return
	}
	lease.isGranted = true
	lease.worker = message.Worker
	lease.peer = from
	d.cancelTimer(&lease.timer)
	d.client.granted = append(d.client.granted, lease)
}

// observeRefusal passes over a coordinator that has not granted any of several requests for long: its
// counts may be wrong, or its knowledge of workers.
func (d *Dispatcher) observeRefusal(peer int) {
	record := d.client.denied[peer]
	if record.count == 0 {
		record.since = d.now
	}
	record.count++
	d.client.denied[peer] = record
	if record.count >= maxDeniedRequests && d.now-record.since >= deniedRequestsSpan {
		delete(d.client.denied, peer)
		d.directory.distrust(peer, d.now)
	}
}

// onLeaseQueued takes in that a request waits: the job asks in another shard too.
func (d *Dispatcher) onLeaseQueued(from int, message LeaseQueued) {
	lease := d.client.byID[message.ID]
	if lease == nil {
		d.tell(from, LeaseReleased{ID: message.ID, Result: NotSent})
		return
	}
	if lease.isGranted || from != lease.peer {
		return
	}
	d.client.freeSlots[lease.shard] = message.FreeSlots
	if !lease.isQueued && !lease.job.isDeprioritized() {
		d.observeRefusal(from)
	}
	lease.isQueued = true
	d.setTimer(&lease.timer, d.now+queuedRequestInterval)
	d.requestLease(lease.job)
}

// useGrants sends jobs on the leases that were granted.
func (d *Dispatcher) useGrants() {
	for _, lease := range d.client.granted {
		job := lease.job
		if job == nil {
			continue // another lease of its job was used first
		}
		worker := d.fleet.byID[lease.worker]
		if d.mayUseLease(job, worker, lease.shard) {
			d.sendOnLease(job, worker, lease)
		} else {
			d.refuseLease(job, lease)
		}
	}
	clear(d.client.granted)
	d.client.granted = d.client.granted[:0]
}

// mayUseLease tells whether a job may be sent to the worker that a coordinator has chosen. One that this
// dispatcher does not know, or knows in another shard, is never sent anything.
func (d *Dispatcher) mayUseLease(job *jobInfo, worker *workerInfo, shard Shard) bool {
	if worker == nil || !worker.Ready || job.heapIndex < 0 || d.reservation.excludes(job, worker) {
		return false
	}
	showsQueue := worker.showsQueue(d.starts.promptStart(job.class), d.now)
	isKnownFull := worker.slots.rejects(job.demand) || showsQueue
	if d.directory.shardOf(worker) != shard || job.wasSentTo(worker) || isKnownFull {
		return false
	}
	return job.class.allows(worker.Kind, worker.Zone) && d.mayAttempt(job, worker) &&
		!d.outliers.isEjected(worker) && d.canMeetObjective(job, worker) && d.warmUpAllowsLease(job, worker)
}

func (d *Dispatcher) sendOnLease(job *jobInfo, worker *workerInfo, lease *leaseInfo) {
	job.removeLease(lease)
	lease.job = nil
	d.queue.remove(job)
	d.withdrawLeases(job)
	attempt := d.send(job, worker)
	attempt.lease = lease
	lease.attempt = attempt
	d.reindex(worker)
}

// refuseLease gives back a lease that its job can't use. The job asks again.
func (d *Dispatcher) refuseLease(job *jobInfo, lease *leaseInfo) {
	d.dropLease(lease)
	d.tell(lease.peer, LeaseReleased{ID: lease.id, Result: NotSent})
	if job.heapIndex < 0 {
		return
	}
	job.unusableWorkers = append(job.unusableWorkers, lease.worker)
	if len(job.unusableWorkers) >= maxUnusableGrants {
		d.sendWithoutLease(job)
	} else {
		d.requestLease(job)
	}
}
