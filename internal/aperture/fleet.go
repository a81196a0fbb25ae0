package aperture

import (
	"slices"

	"valvecove/dispatch"
)

// allJobs is the index in fleet.requirements of the requirement for all jobs, which every worker meets.
const allJobs = 0

// requirement describes workers of which a subset must contain a minimum number: workers for all jobs, for the jobs of a
// constrained class, or for jobs that should stay in the scheduler's zone.
type requirement struct {
	kinds, zones []int        // kinds and zones of the workers that meet the requirement; nil: any
	constrained  bool         // a class's jobs can be sent to no other workers
	total        workerCounts // workers of the fleet that meet the requirement
}

// isMetBy reports whether a worker meets the requirement.
func (r *requirement) isMetBy(worker *dispatch.Worker) bool {
	return (r.kinds == nil || slices.Contains(r.kinds, worker.Kind)) && (r.zones == nil || slices.Contains(r.zones, worker.Zone))
}

// fleet contains the workers that discovery lists, grouped into units on the ring of this scheduler.
type fleet struct {
	replica          replica
	unitsAreCells    bool // each unit is a cell; otherwise each unit is one worker
	requirements     []requirement
	workers          map[uint64]*worker // workers that are listed or have attempts in flight, by ID
	unitsByCell      map[uint64]*unit   // empty unless unitsAreCells
	units            []*unit            // in order of their positions on the ring, unless unsorted
	unsorted         bool
	listVersion      uint64    // number of list updates that were applied
	needsRefresh     bool      // the subset must be selected again
	awaitingResponse []*worker // workers of which a response may be due

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
			f.unitsAreCells = true
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

// addConstraint adds the requirement of a constrained class, unless another class has the same requirement.
func (f *fleet) addConstraint(kinds, zones []int) {
	known := slices.ContainsFunc(f.requirements, func(r requirement) bool {
		return slices.Equal(r.kinds, kinds) && slices.Equal(r.zones, zones)
	})
	if !known {
		f.requirements = append(f.requirements, requirement{kinds: kinds, zones: zones, constrained: true})
	}
}

// setReplica changes the scheduler's replica, and places the units on the ring of the new replica.
func (f *fleet) setReplica(next replica) {
	f.replica = next
	for _, u := range f.units {
		u.position = next.positionOf(u.id)
	}
	f.unsorted = true
	f.needsRefresh = true
}

// findOrAddWorker returns the worker with an ID, which is added if it is unknown.
func (f *fleet) findOrAddWorker(id uint64) *worker {
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
	known := f.findOrAddWorker(status.ID)
	if known.unit != nil {
		f.adjustCounts(known, -1)
		if known.Ready != status.Ready || known.Kind != status.Kind || known.Zone != status.Zone {
			f.needsRefresh = true
		}
	}
	if status.BootAt > known.BootAt { // the worker has restarted
		known.resetResponses()
	}
	if known.Worker != status {
		known.changed = true
	}
	known.Worker = status
	known.listVersion = f.listVersion
	if id := f.unitIDOf(&status); known.unit == nil || known.unit.id != id {
		f.assign(known, id)
	}
	f.adjustCounts(known, 1)
}

// unlist removes a worker that discovery no longer lists from its unit and from the counts.
func (f *fleet) unlist(w *worker) {
	f.adjustCounts(w, -1)
	f.leaveUnit(w)
	w.resetResponses()
}

// markUnreported records that a worker is no longer in the policy's list. The worker's state is dropped unless the worker is
// listed or has attempts in flight.
func (f *fleet) markUnreported(w *worker) {
	w.reported = false
	if w.unit == nil && w.inFlight == 0 {
		delete(f.workers, w.ID)
	}
}

// adjustCounts adds a listed worker to the counts of its unit and of the fleet if sign is 1, and subtracts it if sign is -1.
func (f *fleet) adjustCounts(w *worker, sign int) {
	counts := w.counts()
	for i := range f.requirements {
		if r := &f.requirements[i]; r.isMetBy(&w.Worker) {
			w.unit.counts[i].add(counts, sign)
			r.total.add(counts, sign)
		}
	}
}
