package aperture

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"valvecove/logic"
)

const (
	rings     = 2  // that schedulers take turns on; each has an order of its own
	boundPart = 10 // of Config.Least, what each class that is bound to kinds or zones finds in the aperture
)

// node is what is known of a worker node.
type node struct {
	logic.Worker       // as discovery has it
	unit         *unit // nil: it is not listed
	told         bool  // the module holds it
	toldReady    bool  // and takes it for ready
	toldShare    share
	changed      bool   // discovery has said more since
	out          int    // attempts of ours
	stamp        uint64 // of the last list that it was in
	asked        time.Duration
	owes         bool // it is among those asked
	strikes      int  // in a row, without a sign of life between them
	silent       bool
}

// unit is what an aperture holds whole or not at all: a cell, where there are jobs whose repeats only their cell
// knows, else one worker node.
type unit struct {
	key, id uint64 // its place on the ring; the cell or the worker
	nodes   []*node
	sum     []sum // by need
	one     [1]*node
	own     bool // on this scheduler's own segment of the ring
	wanted  bool // in the aperture as it should be now
	held    bool // in the aperture
	share   share
	left    time.Duration
}

// share is who may send work to a worker while it is cold: anybody, or of one scheduler on each ring the one of this
// rank, from 1, or others.
type share uint8

const anybody, others share = 0, rings + 1

func (s share) mark(w *logic.Worker) {
	if w.Rank, w.Of = 0, 0; s != anybody {
		w.Rank, w.Of = int(s)-1, rings
	}
}

// sum counts worker nodes. Those up are ready, and those well not silent besides.
type sum struct{ listed, up, well int }

func (s *sum) add(o sum, times int) {
	s.listed += times * o.listed
	s.up += times * o.up
	s.well += times * o.well
}

// weight is a unit's length on the ring: its worker nodes, rounded up to a power of two, so that restarts within a
// cell move nothing.
func (u *unit) weight(k int) int {
	if n := u.sum[k].listed; n > 0 {
		return 1 << bits.Len(uint(n-1))
	}
	return 0
}

// need is whom an aperture must hold worker nodes for: all jobs, those of a class that is bound, or those that had
// better stay in their zone.
type need struct {
	kinds, zones []int // nil: any
	bound        bool
	total        sum
}

func (n *need) takes(w *logic.Worker) bool {
	return (n.kinds == nil || slices.Contains(n.kinds, w.Kind)) && (n.zones == nil || slices.Contains(n.zones, w.Zone))
}

// fleet is the worker nodes.
type fleet struct {
	cells     bool // units are cells
	needs     []need
	nodes     map[uint64]*node // listed, or with attempts out
	byCell    map[uint64]*unit // where units are cells
	units     []*unit          // round the ring; at the end those that came since the last refresh
	owing     []*node          // a sign of life
	newNodes  slab[node]
	newUnits  slab[unit]
	newSums   slab[sum]
	stamp     uint64
	stale     bool // the aperture is to be found anew
	mixed     bool // units are not in order
	full      bool // nobody who is ready is left out
	refreshed time.Duration
}

// slab makes things a hundred at a time: a first list of thousands must not hold up the loop.
type slab[T any] struct{ left []T }

func (s *slab[T]) take() *T { return &s.takeMany(1)[0] }

func (s *slab[T]) takeMany(n int) []T {
	if len(s.left) < n {
		s.left = make([]T, max(n, 100))
	}
	some := s.left[:n:n]
	s.left = s.left[n:]
	return some
}

func newFleet(set logic.Settings) fleet {
	f := fleet{needs: []need{{}}, nodes: map[uint64]*node{}, byCell: map[uint64]*unit{}, refreshed: -refreshEvery}
	for _, c := range set.Classes {
		f.cells = f.cells || c.Effect == logic.Keyed && c.Group == logic.GroupCell
		same := func(n need) bool { return slices.Equal(n.kinds, c.Kinds) && slices.Equal(n.zones, c.Zones) }
		if (c.Kinds != nil || c.Zones != nil) && !slices.ContainsFunc(f.needs, same) {
			f.needs = append(f.needs, need{kinds: c.Kinds, zones: c.Zones, bound: true})
		}
	}
	if set.CrossPrice > 0 {
		f.needs = append(f.needs, need{zones: []int{set.Zone}})
	}
	return f
}

// whole tells whether all worker nodes are looked at.
func (a *Aperture) whole() bool { return a.of < 2 || a.needs[0].total.listed < a.conf.OffBelow }

// ---- What discovery tells ----

// list takes discovery's word and gives what of it the module is told.
func (a *Aperture) list(e logic.WorkerList) logic.WorkerList {
	if e.Kind == logic.ListLost {
		a.missing = true
		return e
	}
	a.missing = a.missing && e.Kind == logic.ListCached
	if len(a.nodes) == 0 {
		a.nodes = make(map[uint64]*node, len(e.Workers))
	}
	a.stamp++
	for _, w := range e.Workers {
		a.enter(w)
	}
	told := e
	told.Workers = nil
	if e.Kind == logic.ListDelta {
		for _, w := range e.Workers {
			if n := a.nodes[w.ID]; n != nil {
				told.Workers = a.sync(n, told.Workers)
			}
		}
		return told
	}
	for _, u := range a.units {
		for i := len(u.nodes) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
			if n := u.nodes[i]; n.stamp != a.stamp {
				a.unlist(n)
				a.release(n)
			}
		}
	}
	a.refresh()
	for _, u := range a.units {
		a.tell(u)
	}
	a.news = a.news[:0] // it is in the whole list
	told.Workers = a.all()
	return told
}

func (a *Aperture) enter(w logic.Worker) {
	n := a.nodes[w.ID]
	if w.Gone {
		if n != nil && n.unit != nil {
			if a.unlist(n); !n.told {
				a.release(n)
			}
		}
		return
	}
	if n == nil {
		n = a.newNodes.take()
		a.nodes[w.ID] = n
	}
	if n.unit != nil {
		a.count(n, -1)
		a.stale = a.stale || n.Ready != w.Ready || n.Kind != w.Kind || n.Zone != w.Zone
	}
	if w.BootAt > n.BootAt { // what was seen of the process before it is void
		n.asked, n.strikes, n.silent = 0, 0, false
	}
	n.changed = n.changed || n.Worker != w
	n.Worker, n.stamp = w, a.stamp
	if id := a.unitOf(&w); n.unit == nil || n.unit.id != id {
		a.move(n, id)
	}
	a.count(n, 1)
}

func (a *Aperture) unitOf(w *logic.Worker) uint64 {
	if a.cells {
		return uint64(w.Cell)
	}
	return w.ID
}

// move puts a worker node into a unit.
func (a *Aperture) move(n *node, id uint64) {
	a.leave(n)
	u := a.byCell[id]
	if u == nil {
		u = a.newUnits.take()
		u.key, u.id, u.nodes, u.sum = a.keyOf(id), id, u.one[:0], a.newSums.takeMany(len(a.needs))
		if a.cells {
			a.byCell[id] = u
		}
		a.units = append(a.units, u)
		a.mixed = true
	}
	u.nodes = append(u.nodes, n)
	n.unit, a.stale = u, true
}

// leave takes it out of its unit.
func (a *Aperture) leave(n *node) {
	if u := n.unit; u != nil {
		i, last := slices.Index(u.nodes, n), len(u.nodes)-1
		u.nodes[i], u.nodes[last] = u.nodes[last], nil
		u.nodes = u.nodes[:last]
	}
	n.unit, a.stale = nil, true
}

func (a *Aperture) unlist(n *node) {
	a.count(n, -1)
	a.leave(n)
	n.asked, n.strikes, n.silent = 0, 0, false
}

// count enters a worker node in the sums of its unit and the fleet, or takes it out of them.
func (a *Aperture) count(n *node, times int) {
	one := sum{listed: 1}
	if n.Ready {
		if one.up = 1; !n.silent {
			one.well = 1
		}
	}
	for k := range a.needs {
		if need := &a.needs[k]; need.takes(&n.Worker) {
			n.unit.sum[k].add(one, times)
			need.total.add(one, times)
		}
	}
}

// ---- What the module is told ----

// tell brings the module's word of a unit up to date.
func (a *Aperture) tell(u *unit) {
	for _, n := range u.nodes {
		a.news = a.sync(n, a.news)
	}
}

// sync adds what the module must be told of a worker node, if anything.
func (a *Aperture) sync(n *node, dst []logic.Worker) []logic.Worker {
	w := n.Worker
	switch held := n.unit != nil && n.unit.held; {
	case held:
	case n.unit != nil && n.out > 0:
		w.Ready = false
	case !n.told:
		return dst
	default:
		if w.Ready, w.Gone = false, true; n.unit != nil {
			a.freed = append(a.freed, n.ID)
			a.hush(n, false) // it will not be heard of, and is as good as another
			n.asked, n.strikes = 0, 0
		}
		a.release(n)
		return append(dst, w)
	}
	if !n.told || n.changed || n.toldReady != w.Ready || n.toldShare != n.unit.share {
		dst = append(dst, n.tell(w.Ready))
	}
	return dst
}

// tell gives the word of a listed worker node that the module holds from now on.
func (n *node) tell(ready bool) logic.Worker {
	n.told, n.toldReady, n.toldShare, n.changed = true, ready, n.unit.share, false
	return n.word()
}

func (n *node) word() logic.Worker {
	w := n.Worker
	w.Ready = n.toldReady
	n.toldShare.mark(&w)
	return w
}

// release is when the module holds a worker node no more. What is out there is still counted.
func (a *Aperture) release(n *node) {
	if n.told = false; n.unit == nil && n.out == 0 {
		delete(a.nodes, n.ID)
	}
}

// all is the list that the module holds.
func (a *Aperture) all() (list []logic.Worker) {
	held := 0
	for _, u := range a.units {
		if u.held {
			held += len(u.nodes)
		}
	}
	list = make([]logic.Worker, 0, held)
	for _, u := range a.units {
		for _, n := range u.nodes {
			if n.told {
				list = append(list, n.word())
			}
		}
	}
	return list
}

// ---- What is looked at ----

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// seat is this scheduler's ring, and its number among those on it.
func (a *Aperture) seat() (ring, seat, seats int) {
	ring = a.me % rings
	return ring, a.me / rings, (a.of - ring + rings - 1) / rings
}

// keyOf is a unit's place on this scheduler's ring.
func (a *Aperture) keyOf(id uint64) uint64 {
	ring, _, _ := a.seat()
	return mix(mix(id) + uint64(ring))
}

// reorder is for another ring.
func (a *Aperture) reorder() {
	for _, u := range a.units {
		u.key = a.keyOf(u.id)
	}
	a.mixed, a.stale = true, true
}

// refresh finds the aperture anew. What is wanted is held at once; what is wanted no more is let go by and by.
func (a *Aperture) refresh() {
	a.stale, a.refreshed = false, a.now
	a.units = slices.DeleteFunc(a.units, func(u *unit) bool {
		if len(u.nodes) == 0 {
			delete(a.byCell, u.id)
		}
		return len(u.nodes) == 0
	})
	if a.mixed {
		a.sort()
	}
	whole := a.whole()
	for _, u := range a.units {
		if u.wanted {
			u.left = a.now
		}
		u.wanted, u.own = whole, false
	}
	for k := range a.needs {
		// A need that every worker node meets is that of all jobs.
		if !whole && (k == 0 || a.needs[k].total.listed < a.needs[0].total.listed) {
			a.walk(k)
		}
	}
	ring, _, _ := a.seat()
	a.full = true
	for _, u := range a.units {
		a.full = a.full && (u.wanted || u.sum[0].up == 0)
		may := others
		if whole {
			may = anybody
		} else if u.own {
			may = 1 + share(uint64(ring)^mix(^u.id)&1) // neither ring is the first for all
		}
		told := u.held && u.share == may
		u.held, u.share = u.held || u.wanted, may
		if u.held && !told {
			a.tell(u)
		}
	}
}

// sort puts the units in order. Their keys are spread evenly, so that each is near its place once it is in its bucket.
func (a *Aperture) sort() {
	a.mixed = false
	width := bits.Len(uint(len(a.units)))
	from := make([]int, 1<<width+1)
	for _, u := range a.units {
		from[u.key>>(64-width)+1]++
	}
	for i := range 1 << width {
		from[i+1] += from[i]
	}
	sorted := make([]*unit, len(a.units))
	for _, u := range a.units {
		bucket := u.key >> (64 - width)
		sorted[from[bucket]] = u
		from[bucket]++
	}
	for i, u := range sorted {
		for ; i > 0 && u.before(sorted[i-1]); i-- {
			sorted[i] = sorted[i-1]
		}
		sorted[i] = u
	}
	a.units = sorted
}

func (u *unit) before(o *unit) bool { return u.key < o.key || u.key == o.key && u.id < o.id }

// walk goes round the ring from this scheduler's place on until a need is met. All take places at even distances, by
// the weight that meets the need. For all jobs, its own segment, up to the place of the next scheduler, is in it in
// any case: so each worker node is in the aperture of one scheduler on each ring at least.
func (a *Aperture) walk(k int) {
	all := 0
	for _, u := range a.units {
		all += u.weight(k)
	}
	if all == 0 {
		return
	}
	_, seat, seats := a.seat()
	segment := func(before int, u *unit) int { return (2*before + u.weight(k)) * seats / (2 * all) } // its middle's
	from, before := 0, 0
	for from < len(a.units) && (a.units[from].weight(k) == 0 || segment(before, a.units[from]) < seat) {
		before += a.units[from].weight(k)
		from++
	}
	want, most := a.wants(k)
	got := sum{}
	for i := range a.units {
		u := a.units[(from+i)%len(a.units)]
		if u.sum[k].listed == 0 {
			continue
		}
		own := k == 0 && before < all && segment(before, u) == seat
		before += u.weight(k)
		if left := want - got.well; !own {
			// Units are taken whole, so to the nearest; a class that is bound must have its part.
			if left <= 0 || got.up >= most || !a.needs[k].bound && got.well > 0 && 2*left <= u.sum[k].well {
				return
			}
			if u.sum[k].up == 0 {
				continue
			}
		}
		u.wanted = true
		u.own = u.own || own
		got.add(u.sum[k], 1)
	}
}

// wants is how many worker nodes that are well meet a need now, and how many that are up are the most, should they all
// be silent.
func (a *Aperture) wants(k int) (want, most int) {
	need, least := &a.needs[k], a.conf.Least
	count := need.total.up
	if need.bound {
		least = (least + boundPart - 1) / boundPart
	} else {
		count = a.needs[0].total.up
	}
	plain := max(least, (a.conf.Cover*count+a.of-1)/a.of)
	times := func(x float64) int { return int(math.Ceil(min(float64(plain)*x, math.MaxInt32))) }
	return min(times(a.factor), need.total.well), times(a.conf.Most)
}
