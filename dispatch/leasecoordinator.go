package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The coordinator leases the slots of a shard's workers to all dispatchers. This implements the design's
// choice of a worker ("the ready worker with the fewest of this dispatcher's slots in use, random among
// ties, among those able to start the job now"), but counts the slots in use by all
// dispatchers, not by one.
const (
	leaseExpiry    = 4 * time.Second        // after a lease was last reported
	reportMaxDelay = 250 * time.Millisecond // a complete report may omit leases granted more recently
	maxGranted     = 1 << 17                // leases
	// minPeersPerTable limits each dispatcher to 1/minPeersPerTable of the entries of a coordinator's tables,
	// or to an equal share if there are fewer dispatchers.
	minPeersPerTable = 8

	maxLeaseSlots       = 1 << 10 // of one lease
	maxLeaseWorkSeconds = 1e6     // of one lease
	maxScannedMembers   = 256     // workers evaluated for one request

	freeSlotsMaxAge = 20 * time.Millisecond // after this the free slots of a shard are counted again
)

// coordinatedFleet is what a coordinator needs of the fleet.
type coordinatedFleet interface {
	workerLookup
	workerCapacity
	slotObserver
}

// workerLookup finds workers.
type workerLookup interface {
	// allWorkers returns the known workers, in an order that depends only on events. The caller must not
	// change the slice.
	allWorkers() []*workerInfo
	// findWorker returns the worker with an ID; nil: it is not known.
	findWorker(id uint64) *workerInfo
}

// workerCapacity says how much a worker may be sent by all dispatchers together.
type workerCapacity interface {
	isEjected(worker *workerInfo) bool
	// maxSlots returns the greatest number of slots that workers of its kind can run; +Inf: not known.
	maxSlots(worker *workerInfo) float64
	// isWarmingUp reports whether a worker is in slow start.
	isWarmingUp(worker *workerInfo) bool
	// warmUpLeaseBudget returns the work that may be leased of a warming worker within
	// Settings.OverloadWindow.
	warmUpLeaseBudget(worker *workerInfo) float64
}

// slotObserver estimates how many slots workers have from the start delays of all dispatchers' attempts.
type slotObserver interface {
	// observePromptSlots records how many slots a worker runs after a prompt start.
	observePromptSlots(worker *workerInfo, running float64)
	// observeLateSlots records how many slots a worker runs when an attempt is late to start there.
	observeLateSlots(worker *workerInfo, running float64)
}

// leaseKey identifies a lease at its coordinator.
type leaseKey struct {
	peer int // dispatcher that requested it
	id   LeaseID
}

// leaseCoordinator grants leases of the shards that a dispatcher coordinates. It sends nothing: its methods
// return the messages to send. It trusts no value in a message, and bounds the entries of each dispatcher in
// its tables.
type leaseCoordinator struct {
	settings        *Settings
	rng             *rand.Rand
	directory       *peerDirectory
	fleet           coordinatedFleet
	placementGroups []int // by class: the first class whose jobs may go to the same workers

	slots          map[uint64]*workerSlots // by worker
	leases         map[leaseKey]*grantedLease
	grants         []*grantedLease // all of leases; the last one replaces a removed one
	waiting        []*waitingRequest
	waitingByKey   map[leaseKey]*waitingRequest
	requestedSlots map[Shard]float64       // sum over waiting
	peers          map[int]peerUse         // by dispatcher
	freeCounts     map[Shard]freeSlotCount // counted at most every freeSlotsMaxAge
	members        map[Shard][]*workerInfo // nil: to be determined again
	firstMessageAt time.Duration           // when the first message was received; 0: none was
	nothingFreed   bool                    // since waiting requests were last evaluated
}

// peerUse counts the entries of a dispatcher in the coordinator's tables.
type peerUse struct{ leases, waiting int }

// freeSlotCount are the free slots of a shard at an instant.
type freeSlotCount struct {
	countedAt time.Duration
	slots     float64
}

// grantedLease is a lease in use by a dispatcher, or granted and not used yet.
type grantedLease struct {
	key            leaseKey
	worker         uint64
	demand         float64 // slots
	position       int     // in leaseCoordinator.grants
	grantedAt      time.Duration
	reportedAt     time.Duration // last time
	grantedAtLimit bool          // it used the worker up to its concurrency limit
	isStarted      bool
}

// clear forgets all grants, requests and observations.
func (l *leaseCoordinator) clear() {
	l.slots = map[uint64]*workerSlots{}
	l.leases = map[leaseKey]*grantedLease{}
	l.grants = nil
	l.waiting = nil
	l.waitingByKey = map[leaseKey]*waitingRequest{}
	l.requestedSlots = map[Shard]float64{}
	l.peers = map[int]peerUse{}
	l.freeCounts = map[Shard]freeSlotCount{}
	l.members = nil
	l.firstMessageAt = 0
	l.nothingFreed = false
}

// forgetMembers discards the shards' workers, which membersOf then determines again. Call it after a worker
// is added or removed.
func (l *leaseCoordinator) forgetMembers() { l.members = nil }

// handleWorkerList updates what depends on the list of workers.
func (l *leaseCoordinator) handleWorkerList() {
	l.forgetMembers()
	l.nothingFreed = false
}

// counts returns the numbers of granted leases and of waiting requests.
func (l *leaseCoordinator) counts() (granted, waiting int) { return len(l.leases), len(l.waiting) }

// handleRequest grants a request or queues it, and returns the answer; nil: the request is invalid.
func (l *leaseCoordinator) handleRequest(
	now time.Duration, from int, request LeaseRequest,
) (answer PeerMessage) {
	if !l.isValid(&request) {
		return nil
	}
	l.recordFirstMessage(now)
	key := leaseKey{peer: from, id: request.ID}
	lease := l.leases[key] // if there is one, its grant was lost or is on its way
	if waiting := l.waitingByKey[key]; lease == nil && waiting != nil {
		waiting.repeatedAt = now
		waiting.request.Demoted = request.Demoted
		return l.queuedAnswer(now, &request)
	}
	if lease == nil {
		lease = l.grant(now, key, &request)
	}
	if lease == nil {
		l.addWaiting(now, key, &request)
		return l.queuedAnswer(now, &request)
	}
	return l.grantedAnswer(now, lease, request.Shard)
}

// isValid reports whether the values of a request are within their ranges.
func (l *leaseCoordinator) isValid(request *LeaseRequest) bool {
	isKnownClass := request.Class >= 0 && request.Class < len(l.settings.Classes)
	isValidWork := request.Work >= 0 && request.Work <= maxLeaseWorkSeconds
	return isKnownClass && isLeaseDemand(request.Demand) && isValidWork &&
		!math.IsNaN(request.LongProbability)
}

func isLeaseDemand(demand float64) bool { return demand > 0 && demand <= maxLeaseSlots }

func (l *leaseCoordinator) recordFirstMessage(now time.Duration) {
	if l.firstMessageAt == 0 {
		l.firstMessageAt = now
	}
}

func (l *leaseCoordinator) grantedAnswer(now time.Duration, lease *grantedLease, shard Shard) LeaseGranted {
	return LeaseGranted{ID: lease.key.id, Worker: lease.worker, FreeSlots: l.freeSlotsOf(now, shard)}
}

func (l *leaseCoordinator) queuedAnswer(now time.Duration, request *LeaseRequest) LeaseQueued {
	return LeaseQueued{ID: request.ID, FreeSlots: l.freeSlotsOf(now, request.Shard)}
}

// hasRoom reports whether a table has room for one more entry of a dispatcher. The table holds count entries,
// own of them of that dispatcher, and limit at most.
func (l *leaseCoordinator) hasRoom(own, count, limit int) bool {
	return count < limit && own < limit/min(max(1, l.settings.Replicas), minPeersPerTable)
}

func (l *leaseCoordinator) hasRoomForLease(peer int) bool {
	return l.hasRoom(l.peers[peer].leases, len(l.leases), maxGranted)
}

// countUse adds to the counts of a dispatcher's entries.
func (l *leaseCoordinator) countUse(peer, leases, waiting int) {
	use := l.peers[peer]
	use.leases += leases
	use.waiting += waiting
	l.peers[peer] = use
	if use == (peerUse{}) {
		delete(l.peers, peer)
	}
}

// grant leases slots of the least-occupied worker that can start a job; nil: no worker can.
func (l *leaseCoordinator) grant(now time.Duration, key leaseKey, request *LeaseRequest) *grantedLease {
	if !l.hasRoomForLease(key.peer) {
		return nil
	}
	worker := l.chooseWorker(now, request)
	if worker == nil {
		return nil
	}
	slots := l.slotsOf(worker.ID)
	reachesLimit := slots.reachesLimit(request.Demand)
	if l.fleet.isWarmingUp(worker) {
		slots.leasedWork = append(slots.leasedWork, workSample{at: now, work: request.Work})
	}
	lease := &grantedLease{
		key:            key,
		worker:         worker.ID,
		demand:         request.Demand,
		grantedAt:      now,
		reportedAt:     now,
		grantedAtLimit: reachesLimit,
	}
	l.add(lease)
	return lease
}

// chooseWorker returns the least-occupied worker of a shard that can start a job now; nil: there is none.
// Ties are broken by a random draw weighted by speed. Of a large shard it evaluates a sample.
func (l *leaseCoordinator) chooseWorker(now time.Duration, request *LeaseRequest) (chosen *workerInfo) {
	members := l.membersOf(request.Shard)
	first, count := 0, len(members)
	if count > maxScannedMembers {
		first, count = l.rng.IntN(len(members)), maxScannedMembers
	}
	leastUsed, weights := 0.0, 0.0
	for i := range count {
		worker := members[(first+i)%len(members)]
		slots := l.slotsOf(worker.ID)
		if chosen != nil && slots.used > leastUsed || !l.canLease(now, request, worker, slots) {
			continue
		}
		if chosen == nil || slots.used < leastUsed {
			leastUsed = slots.used
			weights = 0
		}
		weights += worker.speed.factor
		if l.rng.Float64()*weights < worker.speed.factor {
			chosen = worker
		}
	}
	return chosen
}

// canLease reports whether a worker can start a job now, as far as its coordinator knows.
func (l *leaseCoordinator) canLease(
	now time.Duration, request *LeaseRequest, worker *workerInfo, slots *workerSlots,
) bool {
	class := &l.settings.Classes[request.Class]
	if !worker.Ready || l.fleet.isEjected(worker) || slots.isSuspended(now) {
		return false
	}
	if !class.allows(worker.Kind, worker.Zone) || slices.Contains(request.Excluded, worker.ID) {
		return false
	}
	hasRoom := slots.hasRoom(request.Demand, l.fleet.maxSlots(worker))
	return hasRoom && l.warmUpAllows(now, request, worker, slots)
}

// warmUpAllows reports whether a lease stays within the lease budget of a warming worker. During one window
// after its first message a coordinator leases no slots of warming workers, as it does not know what earlier
// coordinators have granted.
func (l *leaseCoordinator) warmUpAllows(
	now time.Duration, request *LeaseRequest, worker *workerInfo, slots *workerSlots,
) bool {
	if !l.fleet.isWarmingUp(worker) {
		slots.leasedWork = nil
		return true
	}
	window := l.settings.OverloadWindow
	if now-l.firstMessageAt <= window {
		return false
	}
	return slots.warmUpWork(now, window, request.Work) <= l.fleet.warmUpLeaseBudget(worker)
}

// slotsOf returns the slots of a worker, listed or not.
func (l *leaseCoordinator) slotsOf(worker uint64) *workerSlots {
	slots := l.slots[worker]
	if slots == nil {
		slots = &workerSlots{slotLimit: newSlotLimit()}
		l.slots[worker] = slots
	}
	return slots
}

// membersOf returns the known workers of a shard. The caller must not change the slice.
func (l *leaseCoordinator) membersOf(shard Shard) []*workerInfo {
	if l.members == nil {
		l.members = map[Shard][]*workerInfo{}
		clear(l.freeCounts)
		for _, worker := range l.fleet.allWorkers() {
			of := l.directory.shardOf(&worker.Worker)
			l.members[of] = append(l.members[of], worker)
		}
	}
	return l.members[shard]
}

// freeSlotsOf returns the free slots of a shard, less the demand of waiting requests. It may be negative.
func (l *leaseCoordinator) freeSlotsOf(now time.Duration, shard Shard) int {
	members := l.membersOf(shard)
	if len(members) == 0 {
		return 0
	}
	free, isCounted := l.freeCounts[shard]
	if !isCounted || now-free.countedAt >= freeSlotsMaxAge {
		free = freeSlotCount{countedAt: now, slots: l.countFreeSlots(now, members)}
		l.freeCounts[shard] = free
	}
	return int(free.slots - l.requestedSlots[shard])
}

func (l *leaseCoordinator) countFreeSlots(now time.Duration, members []*workerInfo) (free float64) {
	for _, worker := range members {
		slots := l.slotsOf(worker.ID)
		if worker.Ready && !slots.isSuspended(now) {
			free += slots.free(l.fleet.maxSlots(worker))
		}
	}
	return free
}

// handleStarted adjusts a worker's limit by whether an attempt has started promptly.
func (l *leaseCoordinator) handleStarted(now time.Duration, from int, message LeaseStarted) {
	lease := l.leases[leaseKey{peer: from, id: message.ID}]
	if lease == nil {
		return
	}
	slots := l.slotsOf(lease.worker)
	worker := l.fleet.findWorker(lease.worker)
	switch {
	case message.Prompt && !lease.isStarted:
		if raised := slots.observePromptStart(lease); raised {
			l.nothingFreed = false
		}
		if worker != nil {
			l.fleet.observePromptSlots(worker, slots.running)
		}
	case !message.Prompt && !slots.predatesDecrease(lease.grantedAt):
		if worker != nil {
			l.fleet.observeLateSlots(worker, slots.running)
		}
		slots.observeLateStart(now)
	}
}

// handleReleased frees a lease or withdraws a request, and adjusts the worker's limit by the result of the
// attempt.
func (l *leaseCoordinator) handleReleased(now time.Duration, from int, message LeaseReleased) {
	key := leaseKey{peer: from, id: message.ID}
	if l.waitingByKey[key] != nil {
		l.withdraw(func(waiting *waitingRequest) bool { return waiting.key == key })
	}
	lease := l.leases[key]
	if lease == nil {
		return
	}
	l.slotsOf(lease.worker).observeEnd(now, lease, message.Result)
	l.remove(lease)
}

// handleReport updates a dispatcher's leases to those that it reports. Leases that are not known were
// granted by an earlier coordinator, or stand for slots taken without a lease.
func (l *leaseCoordinator) handleReport(now time.Duration, from int, report LeaseReport) {
	l.recordFirstMessage(now)
	for _, held := range report.Leases[:min(len(report.Leases), MaxReported)] {
		l.recordHeld(now, from, held)
	}
	if report.Complete {
		l.removeWhere(func(lease *grantedLease) bool {
			return lease.key.peer == from && lease.reportedAt != now && now-lease.grantedAt > reportMaxDelay
		})
	}
}

// recordHeld records one reported lease.
func (l *leaseCoordinator) recordHeld(now time.Duration, from int, held HeldLease) {
	key := leaseKey{peer: from, id: held.ID}
	lease := l.leases[key]
	if lease == nil {
		if !l.hasRoomForLease(from) || !isLeaseDemand(held.Demand) {
			return
		}
		lease = &grantedLease{key: key, worker: held.Worker, demand: held.Demand, grantedAt: now}
		l.add(lease)
	}
	if held.Started && !lease.isStarted {
		l.slotsOf(lease.worker).start(lease)
	}
	lease.reportedAt = now
}

// forgetPeer removes all leases and requests of a dispatcher, whose process has restarted.
func (l *leaseCoordinator) forgetPeer(peer int) {
	l.withdraw(func(waiting *waitingRequest) bool { return waiting.key.peer == peer })
	l.removeWhere(func(lease *grantedLease) bool { return lease.key.peer == peer })
}

// expire removes leases that are not reported any more, and the slots of unknown workers without leases.
func (l *leaseCoordinator) expire(now time.Duration) {
	l.removeWhere(func(lease *grantedLease) bool { return now-lease.reportedAt > leaseExpiry })
	for id, slots := range l.slots {
		if slots.leases == 0 && l.fleet.findWorker(id) == nil {
			delete(l.slots, id)
		}
	}
	l.nothingFreed = false // workers may have warmed up, and ejections ended
}

func (l *leaseCoordinator) add(lease *grantedLease) {
	lease.position = len(l.grants)
	l.grants = append(l.grants, lease)
	l.leases[lease.key] = lease
	l.countUse(lease.key.peer, 1, 0)
	l.slotsOf(lease.worker).add(lease)
}

func (l *leaseCoordinator) remove(lease *grantedLease) {
	l.slotsOf(lease.worker).remove(lease)
	l.countUse(lease.key.peer, -1, 0)
	last := l.grants[len(l.grants)-1]
	l.grants[lease.position] = last
	last.position = lease.position
	l.grants[len(l.grants)-1] = nil
	l.grants = l.grants[:len(l.grants)-1]
	delete(l.leases, lease.key)
	l.nothingFreed = false
}

// removeWhere removes the leases for which matches is true. It iterates backwards, as the last lease replaces
// a removed one.
func (l *leaseCoordinator) removeWhere(matches func(lease *grantedLease) bool) {
	for i := len(l.grants) - 1; i >= 0; i-- {
		if lease := l.grants[i]; matches(lease) {
			l.remove(lease)
		}
	}
}
