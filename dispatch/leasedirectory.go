package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The directory assigns workers to shards and shards to coordinators. The paper and the design cover
// only a single dispatcher, and not this. Each dispatcher computes the same assignment by rendezvous
// hashing, without messages. While two dispatchers disagree on the coordinator of a shard, the same slots
// may be granted twice: then jobs may have to wait at a worker, but no rule is broken.
const (
	dispatchersPerShard   = 20               // mean number of dispatchers that share a shard
	coordinatorCandidates = 8                // dispatchers ranked per shard
	unansweredAvoidance   = 3 * time.Second  // for which a dispatcher that did not answer is skipped
	deniedAvoidance       = 10 * time.Second // for which one that grants nothing is skipped
)

// peerDirectory says which shard a worker belongs to and which dispatcher coordinates a shard. It also
// records which dispatchers are skipped as coordinators for some time. Dispatchers are identified by their
// Settings.ReplicaIndex.
type peerDirectory struct {
	dispatchers       int
	shardsPerZone     int
	ranked            map[Shard][]int       // cache of rank
	unresponsiveUntil map[int]time.Duration // by dispatcher that did not answer: skipped until then
	denyingUntil      map[int]time.Duration // by dispatcher that grants nothing: skipped until then
}

func newPeerDirectory(settings *Settings) peerDirectory {
	zones := max(1, settings.ZoneCount)
	shards := (settings.Replicas + dispatchersPerShard - 1) / dispatchersPerShard
	return peerDirectory{
		dispatchers:       settings.Replicas,
		shardsPerZone:     max(1, (shards+zones-1)/zones),
		ranked:            map[Shard][]int{},
		unresponsiveUntil: map[int]time.Duration{},
		denyingUntil:      map[int]time.Duration{},
	}
}

// shardOf returns the shard that a worker belongs to.
func (p *peerDirectory) shardOf(worker *Worker) Shard {
	return Shard{Zone: worker.Zone, Number: int(mixHash(worker.ID) % uint64(p.shardsPerZone))}
}

// drawShard draws a shard of one of the zones. zones must not be empty.
func (p *peerDirectory) drawShard(rng *rand.Rand, zones []int) Shard {
	zone := zones[rng.IntN(len(zones))]
	return Shard{Zone: zone, Number: rng.IntN(p.shardsPerZone)}
}

// rank returns the dispatchers that may coordinate a shard, the preferred one first. The caller must not
// change the slice.
func (p *peerDirectory) rank(shard Shard) []int {
	if ranked, ok := p.ranked[shard]; ok {
		return ranked
	}
	type candidate struct {
		hash  uint64
		index int
	}
	shardHash := mixHash(uint64(shard.Zone)<<32 | uint64(shard.Number))
	candidates := make([]candidate, p.dispatchers)
	for index := range candidates {
		candidates[index] = candidate{hash: mixHash(shardHash + uint64(index)), index: index}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	ranked := make([]int, 0, coordinatorCandidates)
	for _, candidate := range candidates[:min(len(candidates), coordinatorCandidates)] {
		ranked = append(ranked, candidate.index)
	}
	p.ranked[shard] = ranked
	return ranked
}

// coordinatorOf returns the first ranked dispatcher of a shard that is not skipped. ok is false if all are.
func (p *peerDirectory) coordinatorOf(shard Shard, now time.Duration) (dispatcher int, ok bool) {
	for _, candidate := range p.rank(shard) {
		if p.unresponsiveUntil[candidate] <= now && p.denyingUntil[candidate] <= now {
			return candidate, true
		}
	}
	return 0, false
}

// canCoordinate reports whether a dispatcher is ranked for a shard, skipped or not.
func (p *peerDirectory) canCoordinate(dispatcher int, shard Shard) bool {
	return slices.Contains(p.rank(shard), dispatcher)
}

// avoidUnresponsive skips a dispatcher that did not answer until it answers, or for unansweredAvoidance.
func (p *peerDirectory) avoidUnresponsive(dispatcher int, now time.Duration) {
	p.unresponsiveUntil[dispatcher] = now + unansweredAvoidance
}

// avoidDenying skips a dispatcher that answers but grants nothing, for deniedAvoidance.
func (p *peerDirectory) avoidDenying(dispatcher int, now time.Duration) {
	p.denyingUntil[dispatcher] = now + deniedAvoidance
}

// recordAnswer ends the effect of avoidUnresponsive.
func (p *peerDirectory) recordAnswer(dispatcher int) { delete(p.unresponsiveUntil, dispatcher) }
