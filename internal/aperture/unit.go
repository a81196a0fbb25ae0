package aperture

import (
	"math/bits"
	"slices"
	"time"
)

// unit is what a subset has whole or not at all: a cell, where there are jobs whose duplicates only their cell can
// recognise, else one worker.
type unit struct {
	id       uint64         // of the cell or the worker
	position uint64         // on this scheduler's ring
	workers  []*worker      // in no order
	counts   []workerCounts // by requirement
	single   [1]*worker     // backs workers where units are no cells

	inSegment   bool // it is in this scheduler's own segment
	desired     bool // it is in the subset as that should be now
	selected    bool // it is in the subset
	rank        slowStartRank
	lastDesired time.Duration // the last refresh at which it was desired, if it is not now
}

// weight is the unit's length on the ring for a requirement: its workers, rounded up to a power of two, so that restarts
// within a cell move nothing.
func (u *unit) weight(requirementIndex int) int {
	if listed := u.counts[requirementIndex].listed; listed > 0 {
		return 1 << bits.Len(uint(listed-1))
	}
	return 0
}

// isBefore reports whether the unit comes before another one on the ring.
func (u *unit) isBefore(other *unit) bool {
	return u.position < other.position || u.position == other.position && u.id < other.id
}

// remove takes a worker out of the unit.
func (u *unit) remove(leaving *worker) {
	i := slices.Index(u.workers, leaving)
	last := len(u.workers) - 1
	u.workers[i] = u.workers[last]
	u.workers[last] = nil
	u.workers = u.workers[:last]
}

// sortUnits returns the units in the order of the ring. Positions are spread evenly, so that each unit is near its place
// once it is in its bucket, and the whole takes linear time.
func sortUnits(units []*unit) []*unit {
	width := bits.Len(uint(len(units)))
	bucketOf := func(u *unit) uint64 { return u.position >> (64 - width) }
	next := make([]int, 1<<width+1) // by bucket: where its next unit goes
	for _, u := range units {
		next[bucketOf(u)+1]++
	}
	for bucket := range 1 << width {
		next[bucket+1] += next[bucket]
	}
	sorted := make([]*unit, len(units))
	for _, u := range units {
		bucket := bucketOf(u)
		sorted[next[bucket]] = u
		next[bucket]++
	}
	for i, u := range sorted { // insertion sort
		for ; i > 0 && u.isBefore(sorted[i-1]); i-- {
			sorted[i] = sorted[i-1]
		}
		sorted[i] = u
	}
	return sorted
}
