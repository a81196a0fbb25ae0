package aperture

import (
	"math/bits"
	"slices"
	"time"
)

// unit is a group of workers that a subset contains completely or not at all: a cell if some jobs' duplicates are detected only
// within a cell, otherwise one worker.
type unit struct {
	id           uint64         // ID of the cell or the worker
	position     uint64         // position on this scheduler's ring
	workers      []*worker      // in any order
	counts       []workerCounts // counts of the workers that meet a requirement, by index of the requirement
	singleWorker [1]*worker     // initial array of workers, so that a unit of one worker needs no other allocation

	inSegment   bool // in this scheduler's own segment
	desired     bool // selected by the last refresh
	selected    bool // in the subset: desired, or not released yet
	rank        slowStartRank
	lastDesired time.Duration // time of the last refresh until which the unit was desired
}

// weight returns the unit's length on the ring for a requirement: the number of its workers that meet the requirement, rounded up
// to a power of two, so that restarts within a cell do not move other units.
func (u *unit) weight(requirementIndex int) int {
	if listed := u.counts[requirementIndex].listed; listed > 0 {
		return 1 << bits.Len(uint(listed-1))
	}
	return 0
}

// isBefore reports whether the unit precedes another one on the ring.
func (u *unit) isBefore(other *unit) bool {
	return u.position < other.position || u.position == other.position && u.id < other.id
}

// remove removes a worker from the unit. The last worker of the slice takes its index.
func (u *unit) remove(leaving *worker) {
	i := slices.Index(u.workers, leaving)
	last := len(u.workers) - 1
	u.workers[i] = u.workers[last]
	u.workers[last] = nil
	u.workers = u.workers[:last]
}

// sortUnits returns the units in order of their positions on the ring. It is a bucket sort followed by an insertion sort, which
// takes linear time because positions are distributed evenly.
func sortUnits(units []*unit) []*unit {
	width := bits.Len(uint(len(units)))
	bucketOf := func(u *unit) uint64 { return u.position >> (64 - width) }
	next := make([]int, 1<<width+1) // index in sorted of the next unit, by bucket
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
