package dispatch

// The order in which a dispatcher prefers workers of a large fleet that have equal scores. The design breaks
// ties at random; in a large fleet nearly every job would then open a new connection. The listed workers of
// one zone and kind form a ring, ordered by a hash of their IDs that is the same for all dispatchers. Each
// dispatcher prefers workers from a starting point of its own onwards. The starting points are spaced evenly,
// counted in workers, so that all dispatchers together prefer all workers equally.

import (
	"cmp"
	"slices"
)

// preferredWorkers is how many workers of equal score are scanned first. A dispatcher has connections to
// about this many workers, and to those beyond them that its jobs keep busy. A smaller number would
// distribute the load less evenly if one dispatcher has several times the traffic of another.
const preferredWorkers = 24

// preferenceRings holds the listed workers, ring by ring.
type preferenceRings struct {
	sorted  []*workerInfo // by zone, kind and hash
	added   []*workerInfo // not in sorted yet
	changed bool          // since the latest merge
}

func compareOnRings(a, b *workerInfo) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(ringHash(a.ID), ringHash(b.ID)), cmp.Compare(a.ID, b.ID))
}

func ringHash(worker uint64) uint32 { return uint32(worker * hashFactor >> 32) }

// update adds a worker that has become listed. If a worker is not listed any more, the next merge removes it.
func (p *preferenceRings) update(worker *workerInfo) {
	if worker.listed == worker.index.onRing {
		return
	}
	p.changed = true
	if worker.listed {
		worker.index.onRing = true
		p.added = append(p.added, worker)
	}
}

// reset makes the next merge sort all rings again. Call it when a worker has changed its zone or kind.
func (p *preferenceRings) reset() {
	p.added = append(p.added, p.sorted...)
	p.sorted = nil
	p.changed = true
}

// merge adds the workers that were added since the latest merge, and removes those that are not listed
// any more.
func (p *preferenceRings) merge() {
	isUnlisted := func(w *workerInfo) bool {
		w.index.onRing = w.listed
		return !w.listed
	}
	earlier := slices.DeleteFunc(p.sorted, isUnlisted)
	added := slices.DeleteFunc(p.added, isUnlisted)
	slices.SortFunc(added, compareOnRings)
	merged := make([]*workerInfo, 0, len(earlier)+len(added))
	for _, w := range added {
		next, _ := slices.BinarySearchFunc(earlier, w, compareOnRings)
		merged = append(merged, earlier[:next]...)
		merged = append(merged, w)
		earlier = earlier[next:]
	}
	merged = append(merged, earlier...)
	p.sorted = merged
	p.added = nil
	p.changed = false
}

// updatePreferences sets the order of preference of all listed workers after a change of the rings, for one
// dispatcher of a group. A fleet that is small enough to be scanned whole has no such order.
func (f *workerFleet) updatePreferences(group replicaGroup) {
	if !f.rings.changed {
		return
	}
	f.rings.merge()
	if len(f.rings.sorted) <= maxLevelScan {
		return
	}
	for ring := f.rings.sorted; len(ring) > 0; {
		size := 1
		for size < len(ring) && ring[size].Zone == ring[0].Zone && ring[size].Kind == ring[0].Kind {
			size++
		}
		start := group.index % group.count * size / group.count
		for i, w := range ring[:size] {
			w.index.preference = (i + size - start) % size
		}
		ring = ring[size:]
	}
	f.available.rebuildHeaps()
}

// updatePreferences sets the order of preference after a new list, or after this dispatcher's index or the
// number of dispatchers has changed.
func (d *Dispatcher) updatePreferences() { d.fleet.updatePreferences(d.replicaGroup()) }

// appendPreferred appends up to count of the most preferred workers of a level that is a heap, in order.
func appendPreferred(dst, level []*workerInfo, count int) []*workerInfo {
	var buffer [preferredWorkers + 2]heapEntry
	frontier := insertEntry(buffer[:0], level, 0) // candidates for the next worker, the best one last
	for len(dst) < count && len(frontier) > 0 {
		next := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		dst = append(dst, level[next.slot()])
		for child := 2*next.slot() + 1; child <= 2*next.slot()+2 && child < len(level); child++ {
			frontier = insertEntry(frontier, level, child)
		}
	}
	return dst
}

// heapEntry is a worker's preference in the upper 32 bits, and its slot in its level in the lower ones.
type heapEntry uint64

func (h heapEntry) slot() int { return int(uint32(h)) }

// insertEntry inserts a worker into sorted entries, of which the last one is the most preferred.
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
