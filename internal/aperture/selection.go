package aperture

import "math"

// constrainedPercent is the percentage of Config.MinWorkers that the subset contains at least for each constrained class.
const constrainedPercent = 10

// coversFleet reports whether the subset must be the whole fleet.
func (a *Aperture) coversFleet() bool {
	return a.fleet.replica.schedulers < 2 || a.fleet.requirements[allJobs].total.listed < a.config.MinFleet
}

// refresh selects the units that are desired in the subset. They are added at once; units that are no longer desired are released
// later, by evaluate.
func (a *Aperture) refresh() {
	a.fleet.needsRefresh = false
	a.refreshedAt = a.now
	a.fleet.arrangeUnits()
	whole := a.coversFleet()
	for _, u := range a.fleet.units {
		if u.desired {
			u.lastDesired = a.now
		}
		u.desired = whole
		u.inSegment = false
	}
	if !whole {
		a.selectUnits()
	}
	a.allSelected = true
	for _, u := range a.fleet.units {
		if !u.desired && u.counts[allJobs].ready > 0 {
			a.allSelected = false
		}
		a.updateUnit(u, a.rankOf(u, whole))
	}
}

// rankOf returns this scheduler's rank for the slow start of a unit's workers. whole is the result of coversFleet.
func (a *Aperture) rankOf(u *unit, whole bool) slowStartRank {
	switch {
	case whole:
		return anyScheduler
	case u.inSegment:
		return a.fleet.replica.rankIn(u.id)
	default:
		return otherSchedulers
	}
}

// updateUnit adds a unit to the subset if it is desired. It reports the unit's workers if the unit was added or its rank has
// changed.
func (a *Aperture) updateUnit(u *unit, rank slowStartRank) {
	isCurrent := u.selected && u.rank == rank
	u.selected = u.selected || u.desired
	u.rank = rank
	if u.selected && !isCurrent {
		a.reportWorkers(u.workers)
	}
}

// selectUnits marks units as desired until all requirements are met.
func (a *Aperture) selectUnits() {
	fleetSize := a.fleet.requirements[allJobs].total.listed
	for i := range a.fleet.requirements {
		// If every worker meets a requirement, the requirement for all jobs covers it.
		if i == allJobs || a.fleet.requirements[i].total.listed < fleetSize {
			a.selectFor(i)
		}
	}
}

// selectFor marks units as desired along the ring, starting with this scheduler's segment, until a requirement is met. The length
// of the ring is the sum of the units' weights for the requirement, and all segments have equal lengths. For the requirement for
// all jobs, all units of the scheduler's own segment are desired, so that each worker is in the subset of at least one scheduler
// on each ring.
func (a *Aperture) selectFor(index int) {
	ring := a.ringFor(index)
	if ring.length == 0 {
		return
	}
	target := a.targetFor(index)
	first, start := ring.ownStart()
	units := a.fleet.units
	offset := start // offset of the next unit on the ring; it exceeds the length after a whole round
	var found workerCounts
	for i := range units {
		candidate := units[(first+i)%len(units)]
		counts := candidate.counts[index]
		if counts.listed == 0 {
			continue
		}
		own := index == allJobs && offset < ring.length && ring.segmentOf(candidate, offset) == ring.segment
		offset += candidate.weight(index)
		if !own {
			if target.isMetBy(found, counts) {
				return
			}
			if counts.ready == 0 {
				continue
			}
		}
		candidate.desired = true
		candidate.inSegment = candidate.inSegment || own
		found.add(counts, 1)
	}
}

// ring is the ring of this scheduler with the weights for one requirement.
type ring struct {
	units             []*unit
	requirement       int // index of the requirement
	length            int // total weight of the units
	segment, segments int // number of this scheduler's segment, and number of segments
}

// ringFor returns the ring for a requirement.
func (a *Aperture) ringFor(requirement int) ring {
	r := ring{units: a.fleet.units, requirement: requirement}
	for _, u := range r.units {
		r.length += u.weight(requirement)
	}
	r.segment, r.segments = a.fleet.replica.segment()
	return r
}

// segmentOf returns the segment that contains the middle of a unit at an offset.
func (r *ring) segmentOf(u *unit, offset int) int {
	return (2*offset + u.weight(r.requirement)) * r.segments / (2 * r.length)
}

// ownStart returns the index and the offset of the first unit in this scheduler's segment, or of the first unit after the segment
// if the segment contains none.
func (r *ring) ownStart() (first, offset int) {
	for _, u := range r.units {
		weight := u.weight(r.requirement)
		if weight > 0 && r.segmentOf(u, offset) >= r.segment {
			break
		}
		offset += weight
		first++
	}
	return first, offset
}

// target is the number of workers with which a requirement is met.
type target struct {
	responsive  int  // number of responsive workers to select
	maxReady    int  // number of ready workers that is sufficient even if many of them are unresponsive
	constrained bool // fewer responsive workers are not accepted
}

// targetFor returns the target of a requirement.
func (a *Aperture) targetFor(index int) target {
	required := &a.fleet.requirements[index]
	ready := a.fleet.requirements[allJobs].total.ready
	minWorkers := a.config.MinWorkers
	if required.constrained {
		ready = required.total.ready
		minWorkers = (minWorkers*constrainedPercent + 99) / 100
	}
	schedulers := a.fleet.replica.schedulers
	covered := (a.config.Coverage*ready + schedulers - 1) / schedulers
	base := float64(max(minWorkers, covered))
	return target{
		responsive:  min(ceil(base*a.widening.factor), required.total.responsive),
		maxReady:    ceil(base * a.config.MaxWidening),
		constrained: required.constrained,
	}
}

// isMetBy reports whether the workers found so far are enough, so that the next unit is not added. As units are added completely,
// too few workers are accepted if the next unit would exceed the target by at least as many, except for a constrained class.
func (t target) isMetBy(found, next workerCounts) bool {
	missing := t.responsive - found.responsive
	if missing <= 0 || found.ready >= t.maxReady {
		return true
	}
	return !t.constrained && found.responsive > 0 && 2*missing <= next.responsive
}

// ceil returns a number rounded up, and at most math.MaxInt32.
func ceil(number float64) int { return int(math.Ceil(min(number, math.MaxInt32))) }
