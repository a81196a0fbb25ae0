package aperture

import (
	"slices"

	"valvecove/dispatch"
)

// allJobs is the index of the requirement for all jobs, which every worker meets.
const allJobs = 0

// requirement is for whom a subset must have workers: for all jobs, for those of a constrained class, or for those that had
// better stay in their zone.
type requirement struct {
	kinds, zones []int        // of the workers that meet it; nil: any
	constrained  bool         // jobs of a class can go to no other workers
	total        workerCounts // in the fleet
}

// isMetBy reports whether a worker meets the requirement.
func (r *requirement) isMetBy(worker *dispatch.Worker) bool {
	return (r.kinds == nil || slices.Contains(r.kinds, worker.Kind)) && (r.zones == nil || slices.Contains(r.zones, worker.Zone))
}

// fleet is the workers that discovery lists, in units on the ring of this scheduler.
type fleet struct {
	seat         seat
	groupsCells  bool // units are cells
	requirements []requirement
	workers      map[uint64]*worker // listed, or with attempts in flight
	unitsByCell  map[uint64]*unit   // where units are cells
	units        []*unit            // in the order of the ring unless unsorted
	unsorted     bool
	listVersion  uint64 // counts the updates of the list
	needsRefresh bool   // the subset is to be selected anew
	awaited      []*worker

	workerSlab slab[worker]
	unitSlab   slab[unit]
	countsSlab slab[workerCounts]
}

func newFleet(settings dispatch.Settings) fleet {
	f := fleet{
		seat:         newSeat(settings.ReplicaIndex, settings.Replicas),
		requirements: []requirement{allJobs: {}},
		workers:      map[uint64]*worker{},
		unitsByCell:  map[uint64]*unit{},
	}
	for _, class := range settings.Classes {
		if class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeCell {
			f.groupsCells = true
		}
		if class.Kinds != nil || class.Zones != nil {
			f.addConstraint(class.Kinds, class.Zones)
		}
	}
	if settings.CrossZoneCost > 0 {
		f.requirements = append(f.requirements, requirement{zones: []int{settings.Zone}})
	}
	return f
}

// addConstraint adds the requirement of a constrained class, unless another class has the same.
func (f *fleet) addConstraint(kinds, zones []int) {
	known := slices.ContainsFunc(f.requirements, func(r requirement) bool {
		return slices.Equal(r.kinds, kinds) && slices.Equal(r.zones, zones)
	})
	if !known {
		f.requirements = append(f.requirements, requirement{kinds: kinds, zones: zones, constrained: true})
	}
}

// setSeat puts the units on the ring of another seat.
func (f *fleet) setSeat(s seat) {
	f.seat = s
	for _, u := range f.units {
		u.position = s.positionOf(u.id)
	}
	f.unsorted = true
	f.needsRefresh = true
}

// worker returns the worker of that id, a new one if it is not known.
func (f *fleet) worker(id uint64) *worker {
	known := f.workers[id]
	if known == nil {
		known = f.workerSlab.allocate()
		known.ID = id
		f.workers[id] = known
	}
	return known
}

// ---- List updates ----

// update takes in the status of a worker that discovery lists.
func (f *fleet) update(status dispatch.Worker) {
	known := f.worker(status.ID)
	if known.unit != nil {
		f.count(known, -1)
		if known.Ready != status.Ready || known.Kind != status.Kind || known.Zone != status.Zone {
			f.needsRefresh = true
		}
	}
	if status.BootAt > known.BootAt { // it has restarted
		known.resetResponses()
	}
	if known.Worker != status {
		known.changed = true
	}
	known.Worker = status
	known.listVersion = f.listVersion
	if id := f.unitOf(&status); known.unit == nil || known.unit.id != id {
		f.assign(known, id)
	}
	f.count(known, 1)
}

// unlist takes a worker out of the list.
func (f *fleet) unlist(w *worker) {
	f.count(w, -1)
	f.leaveUnit(w)
	w.resetResponses()
}

// forget notes that the policy does not know a worker any more. It is dropped, unless it is listed or has attempts in
// flight.
func (f *fleet) forget(w *worker) {
	w.reported = false
	if w.unit == nil && w.inFlight == 0 {
		delete(f.workers, w.ID)
	}
}

// count adds a listed worker to the counts of its unit and the fleet, so many times.
func (f *fleet) count(w *worker, times int) {
	counts := w.counts()
	for i := range f.requirements {
		if r := &f.requirements[i]; r.isMetBy(&w.Worker) {
			w.unit.counts[i].add(counts, times)
			r.total.add(counts, times)
		}
	}
}

// ---- Units ----

func (f *fleet) unitOf(status *dispatch.Worker) uint64 {
	if f.groupsCells {
		return uint64(status.Cell)
	}
	return status.ID
}

// assign puts a worker into a unit.
func (f *fleet) assign(w *worker, unitID uint64) {
	f.leaveUnit(w)
	u := f.unitsByCell[unitID]
	if u == nil {
		u = f.addUnit(unitID)
	}
	u.workers = append(u.workers, w)
	w.unit = u
}

func (f *fleet) addUnit(id uint64) *unit {
	u := f.unitSlab.allocate()
	u.id = id
	u.position = f.seat.positionOf(id)
	u.workers = u.single[:0]
	u.counts = f.countsSlab.allocateMany(len(f.requirements))
	if f.groupsCells {
		f.unitsByCell[id] = u
	}
	f.units = append(f.units, u)
	f.unsorted = true
	return u
}

// leaveUnit takes a worker out of its unit, if it has one.
func (f *fleet) leaveUnit(w *worker) {
	if w.unit != nil {
		w.unit.remove(w)
	}
	w.unit = nil
	f.needsRefresh = true
}

// arrangeUnits drops the units without workers, and puts the others in the order of the ring.
func (f *fleet) arrangeUnits() {
	f.units = slices.DeleteFunc(f.units, func(u *unit) bool {
		if len(u.workers) > 0 {
			return false
		}
		delete(f.unitsByCell, u.id)
		return true
	})
	if f.unsorted {
		f.units = sortUnits(f.units)
		f.unsorted = false
	}
}

// ---- Allocation ----

// slabSize is how many values a slab makes at a time.
const slabSize = 100

// slab allocates many values at a time: a first list of thousands must not stall the loop.
type slab[T any] struct{ free []T }

func (s *slab[T]) allocate() *T { return &s.allocateMany(1)[0] }

func (s *slab[T]) allocateMany(n int) []T {
	if len(s.free) < n {
		s.free = make([]T, max(n, slabSize))
	}
	allocated := s.free[:n:n]
	s.free = s.free[n:]
	return allocated
}
