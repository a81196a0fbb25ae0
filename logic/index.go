package logic

import (
	"math"
	"slices"
	"time"
)

// What is here finds workers and jobs without a walk over all of them. It decides nothing: what it holds, and by which
// costs it is gone through, is for logic.go to say.

// lane holds workers of one zone and kind that may have room, by our slots in use there.
type lane struct {
	laneKey
	rows [][]*worker // by slots in use, rounded down; mostRows and more are one row
	next int         // the row that comes next in the walk at hand
	base float64     // and what all its workers cost there beyond their slots in use; infinite: left out
}

type laneKey struct {
	zone, kind     int
	cold, doubtful bool
}

const mostRows = 64

// shelf is all lanes, in the order in which they came up.
type shelf struct {
	lanes []*lane
	idle  int // workers in the first rows of warm lanes without doubt
}

func (s *shelf) lane(key laneKey) *lane {
	for _, l := range s.lanes {
		if l.laneKey == key {
			return l
		}
	}
	l := &lane{laneKey: key}
	s.lanes = append(s.lanes, l)
	return l
}

// put has a worker in the row of its slots in use, and nowhere else.
func (s *shelf) put(w *worker, key laneKey) {
	row := min(int(w.used), mostRows-1)
	if w.lane != nil && w.row == row && w.lane.laneKey == key {
		return
	}
	s.drop(w)
	l := s.lane(key)
	for len(l.rows) <= row {
		l.rows = append(l.rows, nil)
	}
	w.lane, w.row, w.spot = l, row, len(l.rows[row])
	l.rows[row] = append(l.rows[row], w)
	s.count(w, 1)
}

// drop takes a worker out, if it is there. The last of its row takes its place.
func (s *shelf) drop(w *worker) {
	if w.lane == nil {
		return
	}
	s.count(w, -1)
	row := w.lane.rows[w.row]
	last := row[len(row)-1]
	row[w.spot], last.spot = last, w.spot
	row[len(row)-1] = nil
	w.lane.rows[w.row] = row[:len(row)-1]
	w.lane = nil
}

func (s *shelf) count(w *worker, n int) {
	if w.row == 0 && !w.lane.cold && !w.lane.doubtful {
		s.idle += n
	}
}

// cheapest is the row that costs least of those not yet gone through, and what its workers cost at least; nil: there is
// none. Each lane's next and base are set before the first call.
func (s *shelf) cheapest() (row []*worker, least float64) {
	var pick *lane
	least = math.Inf(1)
	for _, l := range s.lanes {
		for l.next < len(l.rows) && len(l.rows[l.next]) == 0 {
			l.next++
		}
		if cost := l.base + float64(l.next); l.next < len(l.rows) && cost < least {
			pick, least = l, cost
		}
	}
	if pick == nil {
		return nil, least
	}
	row = pick.rows[pick.next]
	pick.next++
	return row, least
}

// roll holds jobs by shape: those that the same workers can start share one, so that where one of them fits nowhere for
// want of room, the others need not be tried. Each shape has them by chance of running long, and by arrival.
type roll struct {
	shapes []shape
	n      int // jobs held
}

type shape struct {
	held    pile[*job] // by chance of running long, what can earn in full first
	oldest  pile[*job] // the same by arrival; may hold jobs that have left
	blocked bool       // in this step
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

// lateness keeps the attempts that have not started, oldest first by class, and those of them that are late by now.
type lateness struct {
	young [][]*attempt // by class; may hold attempts that have started or ended
	from  []int        // where each begins
	over  []*attempt   // late ones
}

func (l *lateness) add(class int, a *attempt) { l.young[class] = append(l.young[class], a) }

// sort moves on what is late by limit of its class, and drops what is no longer waited for, as gone says.
func (l *lateness) sort(now time.Duration, limit func(class int) time.Duration, gone func(a *attempt) bool) {
	for class := range l.young {
		q, i := l.young[class], l.from[class]
		for within := limit(class); i < len(q) && (q[i].started || q[i].ended || now-q[i].sent > within); i++ {
			if !q[i].started && !q[i].ended {
				l.over = append(l.over, q[i])
			}
			q[i] = nil
		}
		if i > len(q)/2 {
			n := copy(q, q[i:])
			clear(q[n:])
			l.young[class], i = q[:n], 0
		}
		l.from[class] = i
	}
	l.over = slices.DeleteFunc(l.over, gone)
}

// leave takes an item out of a list whose order means nothing: the last takes its place.
func leave[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	var none T
	last := len(list) - 1
	list[i], list[last] = list[last], none
	return list[:last]
}
