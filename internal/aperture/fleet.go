package aperture

import (
	"slices"

	"valvecove/dispatch"
)

// allJobs is the index of the requirement of all jobs, which every worker meets.
const allJobs = 0

// requirement describes the workers that a subset must contain: for all jobs, for the jobs of a constrained class, or for jobs
// that should stay in their zone.
type requirement struct {
	kinds, zones []int        // of the workers that meet it; nil: any
	constrained  bool         // jobs of a class can be sent to no other workers
	total        workerCounts // in the fleet
}

// isMetBy reports whether a worker meets the requirement.
func (r *requirement) isMetBy(worker *dispatch.Worker) bool {
	return (r.kinds == nil || slices.Contains(r.kinds, worker.Kind)) && (r.zones == nil || slices.Contains(r.zones, worker.Zone))
}

// fleet contains the workers that discovery lists, in units on the ring of this scheduler.
type fleet struct {
	replica      replica
	groupsCells  bool // each unit is a cell
	requirements []requirement
	workers      map[uint64]*worker // listed, or with attempts in flight
	unitsByCell  map[uint64]*unit   // if units are cells
	units        []*unit            // in order of the ring, unless unsorted
	unsorted     bool
	listVersion  uint64    // number of updates of the list
	needsRefresh bool      // the subset must be selected again
	awaited      []*worker // see worker.awaited

	workerSlab slab[worker]
	unitSlab   slab[unit]
	countsSlab slab[workerCounts]
}

// newFleet returns a fleet without workers.
func newFleet(settings dispatch.Settings) fleet {
	f := fleet{
		replica:      newReplica(settings.ReplicaIndex, settings.Replicas),
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

// setReplica changes the scheduler's replica, and moves the units to the ring of that.
func (f *fleet) setReplica(changed replica) {
	f.replica = changed
	for _, u := range f.units {
		u.position = changed.positionOf(u.id)
	}
	f.unsorted = true
	f.needsRefresh = true
}

// worker returns the worker with an ID, and adds it if it is unknown.
func (f *fleet) worker(id uint64) *worker {
	known := f.workers[id]
	if known == nil {
		known = f.workerSlab.allocate()
		known.ID = id
		f.workers[id] = known
	}
	return known
}

// update applies the status of a worker that discovery lists.
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

// unlist removes a worker from the list.
func (f *fleet) unlist(w *worker) {
	f.count(w, -1)
	f.leaveUnit(w)
	w.resetResponses()
}

// forget records that a worker is not in the policy's list any more. It is dropped unless it is listed or has attempts in flight.
func (f *fleet) forget(w *worker) {
	w.reported = false
	if w.unit == nil && w.inFlight == 0 {
		delete(f.workers, w.ID)
	}
}

// count adds a listed worker to the counts of its unit and of the fleet, multiplied by times, which is 1 or -1.
func (f *fleet) count(w *worker, times int) {
	counts := w.counts()
	for i := range f.requirements {
		if r := &f.requirements[i]; r.isMetBy(&w.Worker) {
			w.unit.counts[i].add(counts, times)
			r.total.add(counts, times)
		}
	}
}
