package aperture

import "math"

// constrainedPercent is the part of Config.MinWorkers that each constrained class finds in the subset.
const constrainedPercent = 10

// coversFleet reports whether the subset is the whole fleet.
func (a *Aperture) coversFleet() bool {
	return a.fleet.seat.schedulers < 2 || a.fleet.requirements[allJobs].total.listed < a.config.MinFleet
}

// refresh selects the subset anew. Units that are desired come in at once; those that are not desired any more are released
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

// rankOf is who may send to the unit's workers while they warm up.
func (a *Aperture) rankOf(u *unit, whole bool) slowStartRank {
	switch {
	case whole:
		return anyScheduler
	case u.inSegment:
		return a.fleet.seat.rankIn(u.id)
	default:
		return otherSchedulers
	}
}

// updateUnit has a unit in the subset if it is desired, and reports it if that or the rank has changed.
func (a *Aperture) updateUnit(u *unit, rank slowStartRank) {
	isCurrent := u.selected && u.rank == rank
	u.selected = u.selected || u.desired
	u.rank = rank
	if u.selected && !isCurrent {
		a.reportWorkers(u.workers)
	}
}

// selectUnits marks the units as desired that meet the requirements.
func (a *Aperture) selectUnits() {
	fleetSize := a.fleet.requirements[allJobs].total.listed
	for i := range a.fleet.requirements {
		// A requirement that every worker meets is that of all jobs.
		if i == allJobs || a.fleet.requirements[i].total.listed < fleetSize {
			a.selectFor(i)
		}
	}
}

// selectFor goes round the ring from this scheduler's segment on until a requirement is met. Segments are of equal length,
// in the weight of the units that meet it. For all jobs the own segment is desired in any case, so that each worker is in
// the subset of at least one scheduler on each ring.
func (a *Aperture) selectFor(index int) {
	ring := a.ringFor(index)
	if ring.length == 0 {
		return
	}
	target := a.targetFor(index)
	first, start := ring.ownStart()
	units := a.fleet.units
	offset := start // on the ring, of the next unit; beyond its length once round
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

// ring is the ring of this scheduler as it is for one requirement.
type ring struct {
	units             []*unit
	requirement       int
	length            int // the weight of all units
	segment, segments int // this scheduler's, of so many
}

func (a *Aperture) ringFor(requirement int) ring {
	r := ring{units: a.fleet.units, requirement: requirement}
	for _, u := range r.units {
		r.length += u.weight(requirement)
	}
	r.segment, r.segments = a.fleet.seat.segment()
	return r
}

// segmentOf is the segment that the middle of a unit at that offset is in.
func (r *ring) segmentOf(u *unit, offset int) int {
	return (2*offset + u.weight(r.requirement)) * r.segments / (2 * r.length)
}

// ownStart finds the first unit of this scheduler's segment, or behind it if that has none, and its offset.
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

// target is how many workers meet a requirement.
type target struct {
	responsive  int  // so many responsive ones are enough
	maxReady    int  // and so many ready ones, should all be unresponsive
	constrained bool // no fewer will do
}

func (a *Aperture) targetFor(index int) target {
	required := &a.fleet.requirements[index]
	ready := a.fleet.requirements[allJobs].total.ready
	minWorkers := a.config.MinWorkers
	if required.constrained {
		ready = required.total.ready
		minWorkers = (minWorkers*constrainedPercent + 99) / 100
	}
	schedulers := a.fleet.seat.schedulers
	covered := (a.config.Coverage*ready + schedulers - 1) / schedulers
	base := float64(max(minWorkers, covered))
	return target{
		responsive:  min(ceil(base*a.widening.factor), required.total.responsive),
		maxReady:    ceil(base * a.config.MaxWidening),
		constrained: required.constrained,
	}
}

// isMetBy reports whether the workers found are enough, so that a unit with those of next is not to be added. Units are
// added whole, so to the nearest; only a constrained class must have its part.
func (t target) isMetBy(found, next workerCounts) bool {
	missing := t.responsive - found.responsive
	if missing <= 0 || found.ready >= t.maxReady {
		return true
	}
	return !t.constrained && found.responsive > 0 && 2*missing <= next.responsive
}

// ceil rounds up to an int of 32 bits.
func ceil(x float64) int { return int(math.Ceil(min(x, math.MaxInt32))) }
