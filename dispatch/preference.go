package dispatch

import (
	"cmp"
	"slices"
)

// The order in which a dispatcher prefers workers of a large fleet that are equal by all else. Spread over
// all of them, nearly each job would open a connection. The listed workers of one zone and kind lie round a
// ring, by a hash of their ids, the same for all dispatchers. Each dispatcher goes round it from a place of
// its own, and these are at even distances, counted in workers: together they prefer all workers alike.

// preferredWorkers of those that are equally good are looked at first. A dispatcher's connections are to
// about as many workers, and to those that its jobs keep busy beside them. Fewer would make the load less
// even where one dispatcher has several times the traffic of another.
const preferredWorkers = 24

// preferenceRings are the listed workers, ring by ring.
type preferenceRings struct {
	sorted  []*workerInfo // by zone, kind and hash
	added   []*workerInfo // not among them yet
	changed bool
}

func compareOnRings(a, b *workerInfo) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(ringHash(a.ID), ringHash(b.ID)), cmp.Compare(a.ID, b.ID))
}

func ringHash(worker uint64) uint32 { return uint32(worker * hashFactor >> 32) }

// update takes in whether a worker is listed.
func (r *preferenceRings) update(w *workerInfo) {
	if w.listed == w.index.onRing {
		return
	}
	r.changed = true
	if w.listed {
		w.index.onRing = true
		r.added = append(r.added, w)
	}
}

// reset has all rings made anew, as workers have changed their places.
func (r *preferenceRings) reset() {
	r.added = append(r.added, r.sorted...)
	r.sorted, r.changed = nil, true
}

// merge brings the rings up to date.
func (r *preferenceRings) merge() {
	hasLeft := func(w *workerInfo) bool {
		w.index.onRing = w.listed
		return !w.listed
	}
	earlier, added := slices.DeleteFunc(r.sorted, hasLeft), slices.DeleteFunc(r.added, hasLeft)
	slices.SortFunc(added, compareOnRings)
	merged := make([]*workerInfo, 0, len(earlier)+len(added))
	for _, w := range added {
		next, _ := slices.BinarySearchFunc(earlier, w, compareOnRings)
		merged = append(append(merged, earlier[:next]...), w)
		earlier = earlier[next:]
	}
	merged = append(merged, earlier...)
	r.sorted, r.added, r.changed = merged, nil, false
}

// updatePreferences sets the order after a list, or after this dispatcher's place among the others has
// changed. In a fleet of which all workers are looked at there is none.
func (d *Dispatcher) updatePreferences() {
	if !d.fleet.rings.changed {
		return
	}
	d.fleet.rings.merge()
	if len(d.fleet.rings.sorted) <= maxLevelScan {
		return
	}
	index, replicas := d.replica()
	for ring := d.fleet.rings.sorted; len(ring) > 0; {
		size := 1
		for size < len(ring) && ring[size].Zone == ring[0].Zone && ring[size].Kind == ring[0].Kind {
			size++
		}
		start := index % replicas * size / replicas
		for i, w := range ring[:size] {
			w.index.preference = (i + size - start) % size
		}
		ring = ring[size:]
	}
	d.fleet.available.reorder()
}

// replica is this dispatcher's number among those that share the workers, from 0, and how many these are.
func (d *Dispatcher) replica() (index, replicas int) {
	if d.sharing.Replicas > 0 {
		return d.sharing.ReplicaIndex, d.sharing.Replicas
	}
	return d.settings.ReplicaIndex, max(1, d.settings.Replicas)
}

// appendPreferred appends the most preferred workers of a level that is a heap, in order.
func appendPreferred(dst, level []*workerInfo, count int) []*workerInfo {
	var buffer [preferredWorkers + 2]heapEntry
	open := insertEntry(buffer[:0], level, 0) // those of which each may be next, the last one first
	for len(dst) < count && len(open) > 0 {
		next := open[len(open)-1]
		open = open[:len(open)-1]
		dst = append(dst, level[next.slot()])
		for child := 2*next.slot() + 1; child <= 2*next.slot()+2 && child < len(level); child++ {
			open = insertEntry(open, level, child)
		}
	}
	return dst
}

// heapEntry is a worker's preference, and then its slot in its level.
type heapEntry uint64

func (e heapEntry) slot() int { return int(uint32(e)) }

// insertEntry puts a worker in its place among entries, of which the last is the most preferred.
func insertEntry(entries []heapEntry, level []*workerInfo, slot int) []heapEntry {
	entry := heapEntry(level[slot].index.preference)<<32 | heapEntry(slot)
	entries = append(entries, entry)
	i := len(entries) - 1
	for ; i > 0 && entries[i-1] < entry; i-- {
		entries[i] = entries[i-1]
	}
	entries[i] = entry
	return entries
}
