package aperture

// ringCount is how many rings there are. Schedulers take turns on them, and units have an order of their own on each.
const ringCount = 2

// seat is the place of a scheduler among the schedulers of a deployment.
type seat struct {
	index      int // of this scheduler, from 0
	schedulers int // 1 or more
}

// newSeat returns the seat of a scheduler, whose index is taken modulo the number of schedulers.
func newSeat(index, schedulers int) seat {
	schedulers = max(1, schedulers)
	return seat{index: (index%schedulers + schedulers) % schedulers, schedulers: schedulers}
}

// ring is the ring that the scheduler is on.
func (s seat) ring() int { return s.index % ringCount }

// segment is the number of the scheduler's segment among those of its ring, which are as many as the schedulers on it.
func (s seat) segment() (number, segments int) {
	return s.index / ringCount, (s.schedulers - s.ring() + ringCount - 1) / ringCount
}

// positionOf is the position of a unit on the scheduler's ring.
func (s seat) positionOf(unitID uint64) uint64 { return hash(hash(unitID) + uint64(s.ring())) }

// hash spreads the bits of a number, by the finalizer of splitmix64.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// slowStartRank says which scheduler may send to a worker that is warming up: any, or on each ring the one of this rank,
// from 1, or others than this one.
type slowStartRank uint8

const (
	anyScheduler    slowStartRank = 0
	otherSchedulers slowStartRank = ringCount + 1
)

// rankIn is the rank of the scheduler for a unit in its segment. Neither ring is the first for all units.
func (s seat) rankIn(unitID uint64) slowStartRank {
	return 1 + slowStartRank(uint64(s.ring())^hash(^unitID)&1)
}
