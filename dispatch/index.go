package dispatch

import "math"

// workerIndex finds the workers that may have capacity without a walk over all of them. It decides nothing: what it holds,
// and by which costs it is gone through, is for the decisions to say.
type workerIndex struct {
	buckets []*bucket // in the order in which they came up
	idle    int       // workers in the first levels of the buckets that are neither warming up nor ejected
}

// bucket holds workers that have much in common, by our slots in use there.
type bucket struct {
	bucketKey
	levels    [][]*workerInfo // by slots in use, rounded down; maxLevels and more are one level
	nextLevel int             // of the search at hand
	baseCost  float64         // of each worker in that search, beyond its slots in use; infinite: left out
}

type bucketKey struct {
	zone, kind         int
	warmingUp, ejected bool
}

const maxLevels = 64

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
	level := min(int(worker.usedSlots), maxLevels-1)
	if worker.bucket != nil && worker.level == level && worker.bucket.bucketKey == key {
		return
	}
	x.drop(worker)
	b := x.bucket(key)
	for len(b.levels) <= level {
		b.levels = append(b.levels, nil)
	}
	worker.bucket, worker.level, worker.slot = b, level, len(b.levels[level])
	b.levels[level] = append(b.levels[level], worker)
	x.count(worker, 1)
}

// drop takes a worker out, if it is there. The last of its level takes its place.
func (x *workerIndex) drop(w *workerInfo) {
	if w.bucket == nil {
		return
	}
	x.count(w, -1)
	level := w.bucket.levels[w.level]
	last := level[len(level)-1]
	level[w.slot], last.slot = last, w.slot
	level[len(level)-1] = nil
	w.bucket.levels[w.level] = level[:len(level)-1]
	w.bucket = nil
}

func (x *workerIndex) count(w *workerInfo, n int) {
	if w.level == 0 && !w.bucket.warmingUp && !w.bucket.ejected {
		x.idle += n
	}
}

// cheapest is the level that costs least of those not yet gone through, and what its workers cost at least; nil: there is
// none. Each bucket's nextRow and baseCost are set before the first call.
func (x *workerIndex) cheapest() (level []*workerInfo, cost float64) {
	var pick *bucket
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
		return nil, cost
	}
	level = pick.levels[pick.nextLevel]
	pick.nextLevel++
	return level, cost
}

// reindex has a worker stand where searches find it, if it may have capacity, and wakes it when that may change.
func (d *Dispatcher) reindex(worker *workerInfo) {
	worker.dirty = false
	warmingUp := d.warmUpShare(worker) < 1
	if d.workers[worker.ID] == worker && d.mayHaveCapacity(worker) {
		d.available.put(worker, bucketKey{worker.Zone, worker.Kind, warmingUp, worker.ejectionTime > 0})
	} else {
		d.available.drop(worker)
	}
	wakeAt := worker.backoffUntil
	warmAt := max(worker.BootAt, worker.returnedAt) + d.settings.WarmUp
	if warmingUp && (wakeAt <= d.now || warmAt < wakeAt) {
		wakeAt = warmAt
	}
	if wakeAt > d.now && worker.Ready {
		d.setTimer(&worker.timer, wakeAt)
	}
}

// markDirty has a worker reindexed before the next choice.
func (d *Dispatcher) markDirty(w *workerInfo) {
	if !w.dirty {
		w.dirty = true
		d.dirty = append(d.dirty, w)
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
	lacksCapacity bool // so do all that were scanned
}
