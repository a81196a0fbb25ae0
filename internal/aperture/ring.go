package aperture

// ringCount is the number of rings. Schedulers are assigned to the rings in turn. Each ring has a different order of units.
const ringCount = 2

// replica identifies a scheduler among the schedulers of a deployment.
type replica struct {
	index      int // index of this scheduler, from 0
	schedulers int // number of schedulers; at least 1
}

// newReplica returns the replica with an index, which is reduced modulo the number of schedulers.
func newReplica(index, schedulers int) replica {
	schedulers = max(1, schedulers)
	return replica{index: (index%schedulers + schedulers) % schedulers, schedulers: schedulers}
}

// ring returns the number of the scheduler's ring.
func (r replica) ring() int { return r.index % ringCount }

// segment returns the number of the scheduler's segment of its ring, and the number of segments. Each scheduler on the ring has
// one segment.
func (r replica) segment() (number, segments int) {
	return r.index / ringCount, (r.schedulers - r.ring() + ringCount - 1) / ringCount
}

// positionOf returns the position of a unit on the scheduler's ring.
func (r replica) positionOf(unitID uint64) uint64 { return hash(hash(unitID) + uint64(r.ring())) }

// hash is the finalizer of splitmix64.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// slowStartRank is the rank of this scheduler among the schedulers that may send to a worker during its slow start. One scheduler
// of each ring may, and they have the ranks from 1 to ringCount.
type slowStartRank uint8

const (
	anyScheduler    slowStartRank = 0             // every scheduler may send to the worker
	otherSchedulers slowStartRank = ringCount + 1 // only other schedulers may
)

// rankIn returns the scheduler's rank for a unit in its segment. Which of the rings has rank 1 depends on the unit.
func (r replica) rankIn(unitID uint64) slowStartRank {
	return 1 + slowStartRank(uint64(r.ring())^hash(^unitID)&1)
}
