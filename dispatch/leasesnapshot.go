package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The section on leases of a snapshot, which is the last one: each type writes and reads its own part. A
// dispatcher that does not use leases drops those that it has read.

// leaseSectionVersion is the version of the section on leases, and its first value.
const leaseSectionVersion = 1

// serialize writes or reads the section on leases.
func (l *leaseExchange) serialize(codec *codec) {
	version := leaseSectionVersion
	codec.int(&version)
	codec.check(version == leaseSectionVersion)
	l.client.serialize(codec)
	for _, job := range codec.jobs {
		job.leases.serialize(codec, job, &l.client)
	}
	l.coordinator.serializeMembers(codec)
	l.coordinator.serialize(codec)
	l.client.serializeReadyZones(codec)
	l.directory.serialize(codec)
	if !codec.writing && !l.settings.UsesLeases() {
		l.dropAll()
	}
}

// serialize writes or reads the dispatchers that are skipped.
func (p *peerDirectory) serialize(codec *codec) {
	for _, until := range []map[int]time.Duration{p.unresponsiveUntil, p.denyingUntil} {
		sortedMap(codec, until, func(dispatcher *int, until *time.Duration) {
			codec.int(dispatcher)
			codec.instant(until)
		})
	}
}

// serialize writes or reads the leases that the dispatcher has or has requested.
func (l *leaseClient) serialize(codec *codec) {
	codec.leaseID(&l.lastID)
	codec.instant(&l.reportAt)
	var leases []*leaseInfo
	if codec.writing {
		leases = l.filter(func(*leaseInfo) bool { return true })
	}
	list(codec, &leases, func(lease **leaseInfo) {
		l.serializeReference(codec, lease)
		(*lease).serialize(codec)
	})
	codec.check(len(leases) == len(l.byID)) // else a timer's lease is missing, or an ID occurs twice
	shardMap(codec, l.freeSlots, func(free *int) { codec.int(free) })
	sortedMap(codec, l.denied, func(peer *int, denied *deniedRequests) {
		codec.int(peer)
		codec.instant(&denied.since)
		codec.int(&denied.count)
	})
}

func (l *leaseClient) serializeReadyZones(codec *codec) {
	list(codec, &l.readyZones, func(zone *int) { codec.int(zone) })
}

// serializeReference writes or reads a reference to a lease. A reference may be read before the lease itself,
// whose fields are then filled in later.
func (l *leaseClient) serializeReference(codec *codec, lease **leaseInfo) {
	var id LeaseID
	if codec.writing {
		id = (*lease).id
	}
	codec.leaseID(&id)
	if codec.writing {
		return
	}
	known := l.byID[id]
	if known == nil {
		known = &leaseInfo{id: id}
		known.timer = timer{purpose: leaseOverdue, lease: known}
		l.byID[id] = known
	}
	*lease = known
}

// serialize writes or reads a lease, with a reference to the job that waits for it or the attempt that uses
// it.
func (l *leaseInfo) serialize(codec *codec) {
	codec.shard(&l.shard)
	codec.int(&l.peer)
	codec.int(&l.requestAttempts)
	codec.uint(&l.worker)
	codec.float(&l.demand)
	codec.instant(&l.requestedAt, &l.createdAt)
	isUsed := l.isUsed()
	codec.flags(&l.isQueued, &l.isGranted, &isUsed)
	if !isUsed {
		codec.job(&l.job)
		return
	}
	codec.attempt(&l.attempt)
	codec.check(!l.attempt.ended)
	l.attempt.lease = l
}

// serialize writes or reads the leases of a job.
func (j *jobLeases) serialize(codec *codec, job *jobInfo, client *leaseClient) {
	codec.flags(&j.isDisabled)
	list(codec, &j.unusableWorkers, func(worker *uint64) { codec.uint(worker) })
	if len(j.unusableWorkers) == 0 {
		j.unusableWorkers = nil
	}
	list(codec, &j.requested, func(lease **leaseInfo) {
		client.serializeReference(codec, lease)
		codec.check((*lease).job == job)
	})
}

// serializeMembers writes or reads whether the shards' workers have been determined since the list last
// changed. Determining them discards the counts of free slots, and therefore precedes reading these.
func (l *leaseCoordinator) serializeMembers(codec *codec) {
	isKnown := l.members != nil
	codec.flags(&isKnown)
	if !codec.writing && isKnown {
		l.membersOf(Shard{})
	}
}

// serialize writes or reads the granted leases, the waiting requests and the counts of both.
func (l *leaseCoordinator) serialize(codec *codec) {
	codec.instant(&l.firstMessageAt)
	codec.flags(&l.nothingFreed)
	sortedMap(codec, l.slots, func(worker *uint64, slots **workerSlots) {
		if !codec.writing {
			*slots = &workerSlots{}
		}
		codec.uint(worker)
		(*slots).serialize(codec)
	})
	list(codec, &l.grants, func(lease **grantedLease) {
		if !codec.writing {
			*lease = &grantedLease{position: len(l.leases)}
		}
		(*lease).serialize(codec)
		l.leases[(*lease).key] = *lease
	})
	codec.check(len(l.leases) == len(l.grants)) // else a key occurs twice
	list(codec, &l.waiting, func(waiting **waitingRequest) {
		if !codec.writing {
			*waiting = &waitingRequest{}
		}
		(*waiting).serialize(codec)
		codec.check((*waiting).request.Class >= 0 && (*waiting).request.Class < len(l.settings.Classes))
		l.waitingByKey[(*waiting).key] = *waiting
	})
	codec.check(len(l.waitingByKey) == len(l.waiting))
	shardMap(codec, l.requestedSlots, func(slots *float64) { codec.float(slots) })
	shardMap(codec, l.freeCounts, func(free *freeSlotCount) {
		codec.instant(&free.countedAt)
		codec.float(&free.slots)
	})
	sortedMap(codec, l.peers, func(peer *int, use *peerUse) {
		codec.int(peer)
		codec.int(&use.leases)
		codec.int(&use.waiting)
	})
}

func (w *workerSlots) serialize(codec *codec) {
	codec.float(&w.limit, &w.used, &w.running)
	codec.instant(&w.decreasedAt, &w.suspendedUntil)
	codec.duration(&w.suspension)
	codec.int(&w.failures)
	codec.int(&w.lastFailedPeer)
	codec.int(&w.leases)
	w.leasedWork.serialize(codec)
}

func (g *grantedLease) serialize(codec *codec) {
	g.key.serialize(codec)
	codec.uint(&g.worker)
	codec.float(&g.demand)
	codec.instant(&g.grantedAt, &g.reportedAt)
	codec.flags(&g.grantedAtLimit, &g.isStarted)
}

func (w *waitingRequest) serialize(codec *codec) {
	w.key.serialize(codec)
	codec.instant(&w.receivedAt, &w.promoteAt, &w.repeatedAt)
	w.request.serialize(codec)
}

func (l *leaseKey) serialize(codec *codec) {
	codec.int(&l.peer)
	codec.leaseID(&l.id)
}

func (l *LeaseRequest) serialize(codec *codec) {
	codec.leaseID(&l.ID)
	codec.shard(&l.Shard)
	codec.int(&l.Class)
	codec.float(&l.Demand, &l.Work, &l.LongProbability)
	codec.flags(&l.Demoted)
	codec.duration(&l.PromoteIn)
	list(codec, &l.Excluded, func(worker *uint64) { codec.uint(worker) })
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

// shardMap writes or reads a map by shard, in the order of the shards.
func shardMap[V any](c *codec, entries map[Shard]V, serializeValue func(value *V)) {
	shards := slices.SortedFunc(maps.Keys(entries), compareShards)
	list(c, &shards, func(shard *Shard) {
		c.shard(shard)
		value := entries[*shard]
		serializeValue(&value)
		if !c.writing {
			entries[*shard] = value
		}
	})
}

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Number, b.Number))
}
