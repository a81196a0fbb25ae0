package dispatch

import (
	"math"
	"slices"
	"time"
)

// What is here finds workers and jobs without a walk over all of them. It decides nothing: what it holds, and by which
// costs it is gone through, is for logic.go to say.

// bucket holds workers of one zone and kind that may have room, by our slots in use there.
type bucket struct {
	bucketKey
	rows     [][]*workerInfo // by slots in use, rounded down; mostRows and more are one row
	nextRow  int             // the row that comes next in the walk at hand
	baseCost float64         // and what all its workers cost there beyond their slots in use; infinite: left out
}

type bucketKey struct {
	zone, kind         int
	warmingUp, suspect bool
}

const maxRows = 64

// workerIndex is all lanes, in the order in which they came up.
type workerIndex struct {
	buckets []*bucket
	idle    int // workers in the first rows of warm lanes without doubt
}

func (s *workerIndex) bucket(key bucketKey) *bucket {
	for _, l := range s.buckets {
		if l.bucketKey == key {
			return l
		}
	}
	l := &bucket{bucketKey: key}
	s.buckets = append(s.buckets, l)
	return l
}

// put has a worker in the row of its slots in use, and nowhere else.
func (s *workerIndex) put(w *workerInfo, key bucketKey) {
	row := min(int(w.usedSlots), maxRows-1)
	if w.bucket != nil && w.row == row && w.bucket.bucketKey == key {
		return
	}
	s.drop(w)
	l := s.bucket(key)
	for len(l.rows) <= row {
		l.rows = append(l.rows, nil)
	}
	w.bucket, w.row, w.slot = l, row, len(l.rows[row])
	l.rows[row] = append(l.rows[row], w)
	s.count(w, 1)
}

// drop takes a worker out, if it is there. The last of its row takes its place.
func (s *workerIndex) drop(w *workerInfo) {
	if w.bucket == nil {
		return
	}
	s.count(w, -1)
	row := w.bucket.rows[w.row]
	last := row[len(row)-1]
	row[w.slot], last.slot = last, w.slot
	row[len(row)-1] = nil
	w.bucket.rows[w.row] = row[:len(row)-1]
	w.bucket = nil
}

func (s *workerIndex) count(w *workerInfo, n int) {
	if w.row == 0 && !w.bucket.warmingUp && !w.bucket.suspect {
		s.idle += n
	}
}

// cheapest is the row that costs least of those not yet gone through, and what its workers cost at least; nil: there is
// none. Each lane's next and base are set before the first call.
func (s *workerIndex) cheapest() (row []*workerInfo, least float64) {
	var pick *bucket
	least = math.Inf(1)
	for _, l := range s.buckets {
		for l.nextRow < len(l.rows) && len(l.rows[l.nextRow]) == 0 {
			l.nextRow++
		}
		if cost := l.baseCost + float64(l.nextRow); l.nextRow < len(l.rows) && cost < least {
			pick, least = l, cost
		}
	}
	if pick == nil {
		return nil, least
	}
	row = pick.rows[pick.nextRow]
	pick.nextRow++
	return row, least
}

// jobQueue holds jobs by shape: those that the same workers can start share one, so that where one of them fits nowhere for
// want of room, the others need not be tried. Each shape has them by chance of running long, and by arrival.
type jobQueue struct {
	shapes []shape
	length int // jobs held
}

type shape struct {
	byScore     minHeap[*jobInfo] // by chance of running long, what can earn in full first
	byPromotion minHeap[*jobInfo] // the same by arrival; may hold jobs that have left
	blocked     bool              // in this step
}

const (
	slotBuckets = 4 // 1, 2 and 3, 4 to 7, more
	perClass    = 2 * slotBuckets
)

// shapeOf is the shape of a job of a class that may go where only the others of its group may; tied are those that
// their attempts bind further.
func shapeOf(group, bucket int, tied bool) int {
	s := (group*slotBuckets + bucket) * 2
	if tied {
		s++
	}
	return s
}

// groupsOf gives each class the first one that may go to the same kinds and zones.
func groupsOf(classes []Class) (groups []int) {
	for _, c := range classes {
		groups = append(groups, slices.IndexFunc(classes, func(o Class) bool {
			return slices.Equal(o.Kinds, c.Kinds) && (o.Kinds == nil) == (c.Kinds == nil) &&
				slices.Equal(o.Zones, c.Zones) && (o.Zones == nil) == (c.Zones == nil)
		}))
	}
	return groups
}

// startTracker keeps the attempts that have not started, oldest first by class, and those of them that are late by now.
type startTracker struct {
	pending [][]*attemptInfo // by class; may hold attempts that have started or ended
	first   []int            // where each begins
	late    []*attemptInfo   // late ones
}

func (l *startTracker) add(class int, a *attemptInfo) { l.pending[class] = append(l.pending[class], a) }

// update moves on what is late by limit of its class, and drops what is no longer waited for, as gone says.
func (l *startTracker) update(now time.Duration, limit func(class int) time.Duration, gone func(a *attemptInfo) bool) {
	for class := range l.pending {
		q, i := l.pending[class], l.first[class]
		for within := limit(class); i < len(q) && (q[i].started || q[i].ended || now-q[i].sentAt > within); i++ {
			if !q[i].started && !q[i].ended {
				l.late = append(l.late, q[i])
			}
			q[i] = nil
		}
		if i > len(q)/2 {
			n := copy(q, q[i:])
			clear(q[n:])
			l.pending[class], i = q[:n], 0
		}
		l.first[class] = i
	}
	l.late = slices.DeleteFunc(l.late, gone)
}

// removeUnordered takes an item out of a list whose order means nothing: the last takes its place.
func removeUnordered[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	var none T
	last := len(list) - 1
	list[i], list[last] = list[last], none
	return list[:last]
}
