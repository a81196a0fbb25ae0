package dispatch

import "math"

// workerIndex finds the workers that may have capacity without a scan of all of them. Its callers decide
// which workers it holds, and by which scores it is searched.
type workerIndex struct {
	buckets     []*bucket // in the order in which they were first used
	idleCount   int       // workers in the first levels of the steady buckets
	steadyCount int       // workers in all levels of the steady buckets
}

// bucket holds the workers that share a key, by this dispatcher's slots in use there.
type bucket struct {
	bucketKey
	levels    [][]*workerInfo // by slots in use, rounded down; the last one also holds those with more
	size      int             // workers in all levels
	nextLevel int             // of the selection in progress
	baseScore float64         // added to each worker's slots in use in that selection; infinite: excluded
}

type bucketKey struct {
	zone, kind         int
	warmingUp, ejected bool
}

// indexEntry is the position of a worker in the index, and in the orders by which the index is searched.
type indexEntry struct {
	dirty       bool    // the worker is in workerFleet.dirty, to be reindexed
	bucket      *bucket // nil: it is not in the index
	level, slot int     // its position in the bucket
	preference  int     // its position, from 0, in the order in which this dispatcher prefers equal workers
	onRing      bool    // it is in the preference rings
}

const maxLevels = 64

// isSteady reports whether a bucket's workers are neither warming up nor ejected. Preferences apply to steady
// workers alone: lottery tickets are distributed over all warming workers, and recovery probes over all
// ejected ones.
func (b bucketKey) isSteady() bool { return !b.warmingUp && !b.ejected }

// isOrdered reports whether there are more steady workers than are scanned whole. Each of their levels is
// then a heap by preference.
func (w *workerIndex) isOrdered() bool { return w.steadyCount > maxLevelScan }

// bucket returns the bucket of a key, and adds it if there is none.
func (w *workerIndex) bucket(key bucketKey) *bucket {
	for _, b := range w.buckets {
		if b.bucketKey == key {
			return b
		}
	}
	added := &bucket{bucketKey: key}
	w.buckets = append(w.buckets, added)
	return added
}

// insert moves a worker to the level of its slots in use.
func (w *workerIndex) insert(worker *workerInfo, key bucketKey) {
	entry := &worker.index
	level := min(int(worker.slots.used), maxLevels-1)
	if entry.bucket != nil && entry.level == level && entry.bucket.bucketKey == key {
		return
	}
	w.remove(worker)
	target := w.bucket(key)
	for len(target.levels) <= level {
		target.levels = append(target.levels, nil)
	}
	entry.bucket = target
	entry.level = level
	entry.slot = len(target.levels[level])
	target.levels[level] = append(target.levels[level], worker)
	wasOrdered := w.isOrdered()
	w.count(entry, 1)
	switch {
	case !w.isOrdered() || !target.isSteady():
	case wasOrdered:
		byPreference(target.levels[level]).up(entry.slot)
	default:
		w.rebuildHeaps()
	}
}

// remove removes a worker if it is in the index. The last worker of its level moves to the free position.
func (w *workerIndex) remove(worker *workerInfo) {
	entry := &worker.index
	if entry.bucket == nil {
		return
	}
	w.count(entry, -1)
	level := entry.bucket.levels[entry.level]
	last := level[len(level)-1]
	level[entry.slot] = last
	last.index.slot = entry.slot
	level[len(level)-1] = nil
	level = level[:len(level)-1]
	entry.bucket.levels[entry.level] = level
	if w.isOrdered() && entry.bucket.isSteady() && last != worker {
		byPreference(level).fix(last.index.slot)
	}
	entry.bucket = nil
}

// byPreference returns a level as a heap, the most preferred worker first.
func byPreference(level []*workerInfo) *minHeap[*workerInfo] {
	return &minHeap[*workerInfo]{
		items: level,
		less:  func(a, b *workerInfo) bool { return a.index.preference < b.index.preference },
		moved: func(worker *workerInfo, slot int) { worker.index.slot = slot },
	}
}

// rebuildHeaps makes heaps of all levels of steady workers if the index is ordered. Call it after preferences
// have changed.
func (w *workerIndex) rebuildHeaps() {
	if !w.isOrdered() {
		return
	}
	for _, b := range w.buckets {
		for i := 0; b.isSteady() && i < len(b.levels); i++ {
			heap := byPreference(b.levels[i])
			for slot := len(heap.items)/2 - 1; slot >= 0; slot-- {
				heap.down(slot)
			}
		}
	}
}

// count adds a number to the counts that include a worker's entry.
func (w *workerIndex) count(entry *indexEntry, number int) {
	entry.bucket.size += number
	if !entry.bucket.isSteady() {
		return
	}
	w.steadyCount += number
	if entry.level == 0 {
		w.idleCount += number
	}
}

// preferredCount returns how many of a bucket's workers are scanned first: its part of preferredWorkers in
// proportion to its size, rounded up.
func (w *workerIndex) preferredCount(b *bucket) int {
	return (preferredWorkers*b.size + w.steadyCount - 1) / w.steadyCount
}

// nextLevel returns the level with the lowest score that the selection in progress has not returned yet, with
// its bucket and the least score of its workers. It returns nil if none is left. Set nextLevel and baseScore
// of each bucket before the first call.
func (w *workerIndex) nextLevel() (best *bucket, level []*workerInfo, score float64) {
	score = math.Inf(1)
	for _, b := range w.buckets {
		for b.nextLevel < len(b.levels) && len(b.levels[b.nextLevel]) == 0 {
			b.nextLevel++
		}
		if least := b.baseScore + float64(b.nextLevel); b.nextLevel < len(b.levels) && least < score {
			best = b
			score = least
		}
	}
	if best == nil {
		return nil, nil, score
	}
	level = best.levels[best.nextLevel]
	best.nextLevel++
	return best, level, score
}
