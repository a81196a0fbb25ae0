package dispatch

import "math"

// workerIndex finds the workers that may have capacity without a walk over all of them. It decides nothing: what it holds,
// and by which costs it is gone through, is for the decisions to say.
type workerIndex struct {
	buckets []*bucket // in the order in which they came up
	idle    int       // workers in the first levels of the buckets that are neither warming up nor ejected
	steady  int       // workers in all levels of these
}

// bucket holds workers that have much in common, by our slots in use there.
type bucket struct {
	bucketKey
	levels    [][]*workerInfo // by slots in use, rounded down; maxLevels and more are one level
	size      int             // workers in all levels
	nextLevel int             // of the search at hand
	baseCost  float64         // of each worker in that search, beyond its slots in use; infinite: left out
}

type bucketKey struct {
	zone, kind         int
	warmingUp, ejected bool
}

// indexEntry is the place of a worker in the index of available workers.
type indexEntry struct {
	dirty       bool    // the worker is in workerFleet.dirty, to be reindexed
	bucket      *bucket // nil: it is not in the index
	level, slot int     // its place in the bucket
	preference  int     // its place in the order in which this dispatcher prefers equal workers, from 0
	onRing      bool    // it is in the preference rings
}

const maxLevels = 64

// isSteady tells whether a bucket's workers neither warm up nor are ejected. The lots of those that warm up, and the trials of
// the ejected, are spread over all of them.
func (k bucketKey) isSteady() bool { return !k.warmingUp && !k.ejected }

// isOrdered tells whether there are more steady workers than a search would look at. Each level of them is a heap then, by
// preference.
func (x *workerIndex) isOrdered() bool { return x.steady > maxLevelScan }

func (x *workerIndex) bucket(key bucketKey) *bucket {
	for _, b := range x.buckets {
		if b.bucketKey == key {
			return b
		}
	}
	b := &bucket{bucketKey: key}
	x.buckets = append(x.buckets, b)
	return b
}

// put has a worker stand in the level of its slots in use, and nowhere else.
func (x *workerIndex) put(worker *workerInfo, key bucketKey) {
	level := min(int(worker.slots.used), maxLevels-1)
	if worker.index.bucket != nil && worker.index.level == level && worker.index.bucket.bucketKey == key {
		return
	}
	x.drop(worker)
	b := x.bucket(key)
	for len(b.levels) <= level {
		b.levels = append(b.levels, nil)
	}
	worker.index.bucket, worker.index.level, worker.index.slot = b, level, len(b.levels[level])
	b.levels[level] = append(b.levels[level], worker)
	wasOrdered := x.isOrdered()
	x.count(worker, 1)
	switch {
	case !x.isOrdered() || !b.isSteady():
	case wasOrdered:
		byPreference(b.levels[level]).up(worker.index.slot)
	default:
		x.reorder()
	}
}

// drop takes a worker out, if it is there. The last of its level takes its place.
func (x *workerIndex) drop(worker *workerInfo) {
	if worker.index.bucket == nil {
		return
	}
	x.count(worker, -1)
	level := worker.index.bucket.levels[worker.index.level]
	last := level[len(level)-1]
	level[worker.index.slot], last.index.slot = last, worker.index.slot
	level[len(level)-1] = nil
	level = level[:len(level)-1]
	worker.index.bucket.levels[worker.index.level] = level
	if x.isOrdered() && worker.index.bucket.isSteady() && last != worker {
		byPreference(level).fix(last.index.slot)
	}
	worker.index.bucket = nil
}

// byPreference is a level as a heap, the most preferred worker first.
func byPreference(level []*workerInfo) *minHeap[*workerInfo] {
	return &minHeap[*workerInfo]{
		items: level,
		less:  func(a, b *workerInfo) bool { return a.index.preference < b.index.preference },
		moved: func(worker *workerInfo, slot int) { worker.index.slot = slot },
	}
}

// reorder makes heaps of all levels of steady workers, if searches need them, after preferences have changed.
func (x *workerIndex) reorder() {
	if !x.isOrdered() {
		return
	}
	for _, b := range x.buckets {
		for i := 0; b.isSteady() && i < len(b.levels); i++ {
			heap := byPreference(b.levels[i])
			for slot := len(heap.items)/2 - 1; slot >= 0; slot-- {
				heap.down(slot)
			}
		}
	}
}

func (x *workerIndex) count(w *workerInfo, n int) {
	w.index.bucket.size += n
	if !w.index.bucket.isSteady() {
		return
	}
	x.steady += n
	if w.index.level == 0 {
		x.idle += n
	}
}

// preferredCount is how many of a bucket's workers are looked at first: its part of preferredWorkers, by its size.
func (x *workerIndex) preferredCount(b *bucket) int {
	return (preferredWorkers*b.size + x.steady - 1) / x.steady
}

// cheapest is the level that costs least of those not yet gone through, with its bucket, and what its workers cost at least;
// nil: there is none. Each bucket's nextLevel and baseCost are set before the first call.
func (x *workerIndex) cheapest() (pick *bucket, level []*workerInfo, cost float64) {
	cost = math.Inf(1)
	for _, b := range x.buckets {
		for b.nextLevel < len(b.levels) && len(b.levels[b.nextLevel]) == 0 {
			b.nextLevel++
		}
		if least := b.baseCost + float64(b.nextLevel); b.nextLevel < len(b.levels) && least < cost {
			pick, cost = b, least
		}
	}
	if pick == nil {
		return nil, nil, cost
	}
	level = pick.levels[pick.nextLevel]
	pick.nextLevel++
	return pick, level, cost
}

// reindex has a worker stand where searches find it, if it may have capacity, and wakes it when that may change.
func (d *Dispatcher) reindex(worker *workerInfo) {
	worker.index.dirty = false
	warmingUp := d.warmUpShare(worker) < 1
	if d.fleet.byID[worker.ID] == worker && d.mayHaveCapacity(worker) {
		d.fleet.available.put(worker, bucketKey{worker.Zone, worker.Kind, warmingUp, worker.outlier.ejectionTime > 0})
	} else {
		d.fleet.available.drop(worker)
	}
	wakeAt := worker.backoff.until
	warmAt := max(worker.BootAt, worker.slowStart.restartedAt) + d.settings.WarmUp
	if warmingUp && (wakeAt <= d.now || warmAt < wakeAt) {
		wakeAt = warmAt
	}
	if wakeAt > d.now && worker.Ready {
		d.setTimer(&worker.timer, wakeAt)
	}
}

// markDirty has a worker reindexed before the next choice.
func (d *Dispatcher) markDirty(w *workerInfo) {
	if !w.index.dirty {
		w.index.dirty = true
		d.fleet.dirty = append(d.fleet.dirty, w)
	}
}

// choice is the state of one search for a worker.
type choice struct {
	cost          float64     // of the best so far
	weights       float64     // sum over the candidates at that cost
	worker        *workerInfo // drawn among them
	isInformed    bool        // its load is known as well as a health check could tell it
	warming       *workerInfo // a warming worker that the job has drawn
	scanned       int
	suitable      int  // of those scanned: they could be sent the job
	lacksCapacity bool // so do all that were scanned
}
