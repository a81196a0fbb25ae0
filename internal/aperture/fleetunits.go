package aperture

import (
	"slices"

	"valvecove/dispatch"
)

// unitIDOf returns the ID of a worker's unit.
func (f *fleet) unitIDOf(status *dispatch.Worker) uint64 {
	if f.unitsAreCells {
		return uint64(status.Cell)
	}
	return status.ID
}

// assign moves a worker to the unit with an ID, which is created if necessary.
func (f *fleet) assign(w *worker, unitID uint64) {
	f.leaveUnit(w)
	u := f.unitsByCell[unitID]
	if u == nil {
		u = f.addUnit(unitID)
	}
	u.workers = append(u.workers, w)
	w.unit = u
}

// addUnit adds a unit without workers.
func (f *fleet) addUnit(id uint64) *unit {
	u := f.unitSlab.allocate()
	u.id = id
	u.position = f.replica.positionOf(id)
	u.workers = u.singleWorker[:0]
	u.counts = f.countsSlab.allocateMany(len(f.requirements))
	if f.unitsAreCells {
		f.unitsByCell[id] = u
	}
	f.units = append(f.units, u)
	f.unsorted = true
	return u
}

// leaveUnit removes a worker from its unit, if it has one.
func (f *fleet) leaveUnit(w *worker) {
	if w.unit != nil {
		w.unit.remove(w)
	}
	w.unit = nil
	f.needsRefresh = true
}

// arrangeUnits drops the units without workers, and sorts the others by their positions on the ring.
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
