package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Shards of workers and their coordinators. All dispatchers deal the workers of a zone to the same shards,
// and rank the same dispatchers for each shard, by rendezvous hashing: the first of them that answers
// coordinates it. The design is silent on it. Two that disagree for a while grant the same slots twice,
// which costs a wait at a worker and breaks nothing.
const (
	replicasPerShard = 20               // dispatchers that share a shard, in the mean
	maxRanked        = 8                // dispatchers that are ranked for a shard
	peerAvoidance    = 3 * time.Second  // a peer that has not answered is passed over for so long
	peerDistrust     = 10 * time.Second // and one that has granted nothing
)

// peerDirectory knows which dispatcher coordinates which shard.
type peerDirectory struct {
	replicas        int
	shardsPerZone   int // shards
	ranked          map[Shard][]int
	avoidedUntil    map[int]time.Duration // by peer
	distrustedUntil map[int]time.Duration // by peer: until when, though it answers
}

func newPeerDirectory(settings *Settings) peerDirectory {
	zones := max(1, settings.ZoneCount)
	shards := (settings.Replicas + replicasPerShard - 1) / replicasPerShard
	return peerDirectory{
		replicas:        settings.Replicas,
		shardsPerZone:   max(1, (shards+zones-1)/zones),
		ranked:          map[Shard][]int{},
		avoidedUntil:    map[int]time.Duration{},
		distrustedUntil: map[int]time.Duration{},
	}
}

// shardOf is the shard that a worker belongs to.
func (p *peerDirectory) shardOf(w *workerInfo) Shard {
	return Shard{Zone: w.Zone, Number: int(mixHash(w.ID) % uint64(p.shardsPerZone))}
}

// rank is the order in which dispatchers are to coordinate a shard.
func (p *peerDirectory) rank(shard Shard) []int {
	if ranked, ok := p.ranked[shard]; ok {
		return ranked
	}
	type candidate struct {
		hash  uint64
		index int
	}
	shardHash := mixHash(uint64(shard.Zone)<<32 | uint64(shard.Number))
	candidates := make([]candidate, p.replicas)
	for index := range candidates {
		candidates[index] = candidate{hash: mixHash(shardHash + uint64(index)), index: index}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	ranked := make([]int, 0, maxRanked)
	for _, c := range candidates[:min(len(candidates), maxRanked)] {
		ranked = append(ranked, c.index)
	}
	p.ranked[shard] = ranked
	return ranked
}

// coordinatorOf is the dispatcher that coordinates a shard, as far as is known; not ok: none of those
// ranked answers.
func (p *peerDirectory) coordinatorOf(shard Shard, now time.Duration) (peer int, ok bool) {
	for _, peer := range p.rank(shard) {
		if p.avoidedUntil[peer] <= now && p.distrustedUntil[peer] <= now {
			return peer, true
		}
	}
	return 0, false
}

// mayCoordinate tells whether a dispatcher is one of those ranked for a shard.
func (p *peerDirectory) mayCoordinate(peer int, shard Shard) bool {
	return slices.Contains(p.rank(shard), peer)
}

// avoid passes over a peer that has not answered.
func (p *peerDirectory) avoid(peer int, now time.Duration) {
	p.avoidedUntil[peer] = now + peerAvoidance
}

// distrust passes over a peer that answers, but grants nothing.
func (p *peerDirectory) distrust(peer int, now time.Duration) {
	p.distrustedUntil[peer] = now + peerDistrust
}

// hasAnswered takes in a sign of life of a peer.
func (p *peerDirectory) hasAnswered(peer int) { delete(p.avoidedUntil, peer) }

// mixHash spreads numbers over 64 bits: the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
func mixHash(x uint64) uint64 {
	x += hashFactor
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
