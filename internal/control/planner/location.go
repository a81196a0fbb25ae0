package planner

import (
	"slices"

	"valvecove/dispatch"
)

// locationKey holds the properties of a worker that determine which classes may be placed there.
type locationKey struct {
	owner      string
	zone, kind int
}

// location counts the workers with the same locationKey.
type location struct {
	locationKey
	available int // workers that are up
}

// placement states whether a worker of this planner that is up accepts a class.
type placement uint8

func (p placement) String() string {
	switch p {
	case placementUnknown:
		return "unknown"
	case placementLocal:
		return "local"
	case placementRemote:
		return "remote"
	}
	return "invalid"
}

const (
	placementUnknown placement = iota // not computed since workers last changed
	placementLocal
	placementRemote // only workers of other planners accept the class, if any do
)

// locationIndex counts the workers that are up by location.
type locationIndex struct {
	local      string // name of this planner
	classes    []dispatch.Class
	locations  []*location // in order of creation, so that no decision depends on the order of a map
	byKey      map[locationKey]*location
	placements []placement // by class
}

// at returns the location with a key, and adds it if it doesn't exist.
func (l *locationIndex) at(key locationKey) *location {
	known := l.byKey[key]
	if known == nil {
		known = &location{locationKey: key}
		l.byKey[key] = known
		l.locations = append(l.locations, known)
	}
	return known
}

// move moves a worker between locations in the counts. A worker that is not up has the location nil.
func (l *locationIndex) move(from, to *location) {
	if from != nil {
		l.count(from, -1)
	}
	if to != nil {
		l.count(to, 1)
	}
}

// count changes a location's number of workers. Placements may change when the first worker is added or the last removed.
func (l *locationIndex) count(at *location, change int) {
	at.available += change
	if at.available <= 1 {
		l.resetPlacements()
	}
}

// update updates the counts after a change of a worker's state, owner, zone or kind.
func (l *locationIndex) update(worker *worker, partition *partition) {
	if !worker.isUp() {
		l.move(worker.location, nil)
		worker.location = nil
		return
	}
	key := locationKey{l.local, worker.Zone, worker.Kind}
	if !worker.owned {
		key.owner = partition.owner(worker)
	}
	if worker.location != nil && worker.location.locationKey == key {
		return
	}
	to := l.at(key)
	l.move(worker.location, to)
	worker.location = to
}

// resetPlacements discards the computed placements of all classes.
func (l *locationIndex) resetPlacements() {
	for class := range l.placements {
		l.placements[class] = placementUnknown
	}
}

// canPlaceLocally reports whether any worker of this planner that is up accepts a class.
func (l *locationIndex) canPlaceLocally(class int) bool {
	placed := &l.placements[class]
	if *placed == placementUnknown {
		*placed = placementRemote
		if l.availableFor(class, l.local, anywhere) > 0 {
			*placed = placementLocal
		}
	}
	return *placed == placementLocal
}

// availableFor returns how many of a planner's workers are up and accept a class, among the locations that match.
func (l *locationIndex) availableFor(class int, owner string, matches func(at *location) bool) (available int) {
	for _, at := range l.locations {
		if at.owner == owner && l.allows(class, at) && matches(at) {
			available += at.available
		}
	}
	return available
}

// allows reports whether the kind and the zone of a location permit a class.
func (l *locationIndex) allows(class int, at *location) bool {
	c := &l.classes[class]
	return isListed(c.Kinds, at.kind) && isListed(c.Zones, at.zone)
}

func newLocationIndex(local string, classes []dispatch.Class) locationIndex {
	return locationIndex{
		local: local, classes: classes, byKey: map[locationKey]*location{}, placements: make([]placement, len(classes)),
	}
}

// isListed reports whether a list of the settings includes a name. A nil list includes every name.
func isListed(names []int, name int) bool { return names == nil || slices.Contains(names, name) }

func anywhere(*location) bool { return true }

func inZone(zone int) func(at *location) bool {
	return func(at *location) bool { return at.zone == zone }
}
