package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A snapshot with leases ends with a part on them: those that the dispatcher has or asks for, and those that it has granted
// as a coordinator. A dispatcher that leases none drops the part.

// leasePartVersion begins the part on leases.
const leasePartVersion = 1

// leases walks the part on leases, which follows all else.
func (c *codec) leases(dispatcher *Dispatcher) {
	version := leasePartVersion
	c.int(&version)
	c.check(version == leasePartVersion)
	c.leaseClient(dispatcher)
	for _, job := range c.jobs {
		c.jobLeases(dispatcher, job)
	}
	c.members(dispatcher)
	c.coordinator(&dispatcher.coordinator, len(dispatcher.settings.Classes))
	list(c, &dispatcher.fleet.readyZones, func(zone *int) { c.int(zone) })
	for _, until := range []map[int]time.Duration{dispatcher.directory.avoidedUntil, dispatcher.directory.distrustedUntil} {
		sortedMap(c, until, func(peer *int, until *time.Duration) {
			c.int(peer)
			c.instant(until)
		})
	}
	if !c.writing && !dispatcher.usesLeases() {
		dispatcher.dropAllLeases()
	}
}

// leaseReference is a reference to a lease. Read, the lease may be filled in only later.
func (c *codec) leaseReference(dispatcher *Dispatcher, lease **leaseInfo) {
	var id LeaseID
	if c.writing {
		id = (*lease).id
	}
	c.leaseID(&id)
	if c.writing {
		return
	}
	known := dispatcher.client.byID[id]
	if known == nil {
		known = &leaseInfo{id: id}
		known.timer = timer{purpose: leaseOverdue, lease: known}
		dispatcher.client.byID[id] = known
	}
	*lease = known
}

func (c *codec) leaseID(id *LeaseID) {
	number := int(*id)
	c.int(&number)
	*id = LeaseID(number)
	c.check(int(*id) == number)
}

func (c *codec) shard(shard *Shard) {
	c.int(&shard.Zone)
	c.int(&shard.Number)
}

// leaseClient walks the leases that the dispatcher has or asks for.
func (c *codec) leaseClient(dispatcher *Dispatcher) {
	client := &dispatcher.client
	c.leaseID(&client.lastID)
	c.instant(&client.reportAt)
	var leases []*leaseInfo
	if c.writing {
		leases = dispatcher.leasesWhere(func(*leaseInfo) bool { return true })
	}
	list(c, &leases, func(lease **leaseInfo) {
		c.leaseReference(dispatcher, lease)
		c.leaseFigures(*lease)
	})
	c.check(len(leases) == len(client.byID)) // else a timer is of none of them, or one is there twice
	shardMap(c, client.freeSlots, func(free *int) { c.int(free) })
	sortedMap(c, client.denied, func(peer *int, refused *deniedRequests) {
		c.int(peer)
		c.instant(&refused.since)
		c.int(&refused.count)
	})
}

// shardMap walks what is kept by shard.
func shardMap[V any](c *codec, entries map[Shard]V, value func(value *V)) {
	shards := slices.SortedFunc(maps.Keys(entries), compareShards)
	list(c, &shards, func(shard *Shard) {
		c.shard(shard)
		entry := entries[*shard]
		value(&entry)
		if !c.writing {
			entries[*shard] = entry
		}
	})
}

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
}

// leaseFigures walks a lease: of what it is for, either the job that waits for it, or the attempt that uses it.
func (c *codec) leaseFigures(lease *leaseInfo) {
	c.shard(&lease.shard)
	c.int(&lease.peer)
	c.int(&lease.requestAttempts)
	c.uint(&lease.worker)
	c.float(&lease.demand)
	c.instant(&lease.requestedAt, &lease.createdAt)
	isUsed := lease.isUsed()
	c.flags(&lease.isQueued, &lease.isGranted, &isUsed)
	if !isUsed {
		c.job(&lease.job)
		return
	}
	c.attempt(&lease.attempt)
	c.check(!lease.attempt.ended)
	lease.attempt.lease = lease
}

// jobLeases walks what a job keeps of leases.
func (c *codec) jobLeases(dispatcher *Dispatcher, job *jobInfo) {
	c.flags(&job.withoutLease)
	list(c, &job.unusableWorkers, func(worker *uint64) { c.uint(worker) })
	if len(job.unusableWorkers) == 0 {
		job.unusableWorkers = nil
	}
	list(c, &job.leases, func(lease **leaseInfo) {
		c.leaseReference(dispatcher, lease)
		c.check((*lease).job == job)
	})
}

// members walks whether the shards' workers are known since the list has last changed: with them goes what was counted free.
func (c *codec) members(dispatcher *Dispatcher) {
	isKnown := dispatcher.coordinator.members != nil
	c.flags(&isKnown)
	if !c.writing && isKnown {
		dispatcher.membersOf(Shard{})
	}
}

// coordinator walks what the dispatcher has granted.
func (c *codec) coordinator(coordinator *leaseCoordinator, classes int) {
	c.instant(&coordinator.since)
	c.flags(&coordinator.nothingFreed)
	sortedMap(c, coordinator.slots, func(worker *uint64, slots **workerSlots) {
		if !c.writing {
			*slots = &workerSlots{}
		}
		c.uint(worker)
		c.slotFigures(*slots)
	})
	list(c, &coordinator.grants, func(lease **grantedLease) {
		if !c.writing {
			*lease = &grantedLease{position: len(coordinator.leases)}
		}
		c.grantedFigures(*lease)
		coordinator.leases[(*lease).key] = *lease
	})
	c.check(len(coordinator.leases) == len(coordinator.grants)) // else one is there twice
	list(c, &coordinator.waiting, func(waiting **waitingRequest) {
		if !c.writing {
			*waiting = &waitingRequest{}
		}
		c.leaseKey(&(*waiting).key)
		c.instant(&(*waiting).receivedAt, &(*waiting).promoteAt, &(*waiting).repeatedAt)
		c.request(&(*waiting).request)
		c.check((*waiting).request.Class >= 0 && (*waiting).request.Class < classes)
		coordinator.waitingByKey[(*waiting).key] = *waiting
	})
	c.check(len(coordinator.waitingByKey) == len(coordinator.waiting))
	shardMap(c, coordinator.requestedSlots, func(slots *float64) { c.float(slots) })
	shardMap(c, coordinator.free, func(free *freeSlots) {
		c.instant(&free.countedAt)
		c.float(&free.slots)
	})
	sortedMap(c, coordinator.peers, func(peer *int, use *peerUse) {
		c.int(peer)
		c.int(&use.leases)
		c.int(&use.waiting)
	})
}

func (c *codec) leaseKey(key *leaseKey) {
	c.int(&key.peer)
	c.leaseID(&key.id)
}

func (c *codec) slotFigures(slots *workerSlots) {
	c.float(&slots.limit, &slots.used, &slots.running)
	c.instant(&slots.decreasedAt, &slots.suspendedUntil)
	c.duration(&slots.suspension)
	c.int(&slots.failures)
	c.int(&slots.lastFailedPeer)
	c.int(&slots.leases)
	c.workWindow(&slots.warmUpWork)
}

func (c *codec) grantedFigures(lease *grantedLease) {
	c.leaseKey(&lease.key)
	c.uint(&lease.worker)
	c.float(&lease.demand)
	c.instant(&lease.grantedAt, &lease.reportedAt)
	c.flags(&lease.isLimitBound, &lease.isStarted)
}

func (c *codec) request(request *LeaseRequest) {
	c.leaseID(&request.ID)
	c.shard(&request.Shard)
	c.int(&request.Class)
	c.float(&request.Demand, &request.Work, &request.LongChance)
	c.flags(&request.Demoted)
	c.duration(&request.PromoteIn)
	list(c, &request.Excluded, func(worker *uint64) { c.uint(worker) })
}

// dropAllLeases has all jobs and attempts go on without leases.
func (d *Dispatcher) dropAllLeases() {
	for _, lease := range d.leasesWhere(func(*leaseInfo) bool { return true }) {
		if lease.attempt != nil {
			lease.attempt.lease = nil
		}
		d.dropLease(lease)
	}
	without := New(d.settings, 0)
	d.client, d.coordinator, d.directory = without.client, without.coordinator, without.directory
}
