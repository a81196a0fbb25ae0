package aperture

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"valvecove/dispatch"
)

const (
	ringCount          = 2  // that schedulers take turns on; each has an order of its own
	constrainedDivisor = 10 // of Config.Least, what each class that is bound to kinds or zones finds in the aperture
)

// worker is what is known of a worker node.
type worker struct {
	dispatch.Worker       // as discovery has it
	unit            *unit // nil: it is not listed
	reported        bool  // the module holds it
	reportedReady   bool  // and takes it for ready
	reportedRank    slowStartRank
	changed         bool   // discovery has said more since
	inFlight        int    // attempts of ours
	listVersion     uint64 // of the last list that it was in
	awaitingSince   time.Duration
	awaited         bool // it is among those asked
	failures        int  // in a row, without a sign of life between them
	unresponsive    bool
}

// unit is what an aperture holds whole or not at all: a cell, where there are jobs whose repeats only their cell
// knows, else one worker node.
type unit struct {
	position, id uint64 // its place on the ring; the cell or the worker
	workers      []*worker
	counts       []workerCounts // by need
	single       [1]*worker
	inSegment    bool // on this scheduler's own segment of the ring
	desired      bool // in the aperture as it should be now
	selected     bool // in the aperture
	rank         slowStartRank
	lastDesired  time.Duration
}

// slowStartRank is who may send work to a worker while it is cold: anybody, or of one scheduler on each ring the one of this
// rank, from 1, or others.
type slowStartRank uint8

const anyScheduler, otherSchedulers slowStartRank = 0, ringCount + 1

func (s slowStartRank) apply(w *dispatch.Worker) {
	if w.AssigneeRank, w.Assignees = 0, 0; s != anyScheduler {
		w.AssigneeRank, w.Assignees = int(s)-1, ringCount
	}
}

// workerCounts counts worker nodes. Those up are ready, and those well not silent besides.
type workerCounts struct{ listed, ready, responsive int }

func (s *workerCounts) add(o workerCounts, times int) {
	s.listed += times * o.listed
	s.ready += times * o.ready
	s.responsive += times * o.responsive
}

// weight is a unit's length on the ring: its worker nodes, rounded up to a power of two, so that restarts within a
// cell move nothing.
func (u *unit) weight(k int) int {
	if n := u.counts[k].listed; n > 0 {
		return 1 << bits.Len(uint(n-1))
	}
	return 0
}

// requirement is whom an aperture must hold worker nodes for: all jobs, those of a class that is bound, or those that had
// better stay in their zone.
type requirement struct {
	kinds, zones []int // nil: any
	constrained  bool
	total        workerCounts
}

func (n *requirement) matches(w *dispatch.Worker) bool {
	return (n.kinds == nil || slices.Contains(n.kinds, w.Kind)) && (n.zones == nil || slices.Contains(n.zones, w.Zone))
}

// fleet is the worker nodes.
type fleet struct {
	groupByCell  bool // units are cells
	requirements []requirement
	workers      map[uint64]*worker // listed, or with attempts out
	unitsByCell  map[uint64]*unit   // where units are cells
	units        []*unit            // round the ring; at the end those that came since the last refresh
	awaited      []*worker          // a sign of life
	workerSlab   slab[worker]
	unitSlab     slab[unit]
	countSlab    slab[workerCounts]
	listVersion  uint64
	needsRefresh bool // the aperture is to be found anew
	unsorted     bool // units are not in order
	allSelected  bool // nobody who is ready is left out
	refreshedAt  time.Duration
}

// slab makes things a hundred at a time: a first list of thousands must not hold up the loop.
type slab[T any] struct{ free []T }

func (s *slab[T]) allocate() *T { return &s.allocateMany(1)[0] }

func (s *slab[T]) allocateMany(n int) []T {
	if len(s.free) < n {
		s.free = make([]T, max(n, 100))
	}
	some := s.free[:n:n]
	s.free = s.free[n:]
	return some
}

func newFleet(set dispatch.Settings) fleet {
	f := fleet{requirements: []requirement{{}}, workers: map[uint64]*worker{}, unitsByCell: map[uint64]*unit{}, refreshedAt: -refreshInterval}
	for _, c := range set.Classes {
		f.groupByCell = f.groupByCell || c.Idempotency == dispatch.IdempotentWithKey && c.DeduplicationScope == dispatch.ScopeCell
		same := func(n requirement) bool { return slices.Equal(n.kinds, c.Kinds) && slices.Equal(n.zones, c.Zones) }
		if (c.Kinds != nil || c.Zones != nil) && !slices.ContainsFunc(f.requirements, same) {
			f.requirements = append(f.requirements, requirement{kinds: c.Kinds, zones: c.Zones, constrained: true})
		}
	}
	if set.CrossZoneCost > 0 {
		f.requirements = append(f.requirements, requirement{zones: []int{set.Zone}})
	}
	return f
}

// coversFleet tells whether all worker nodes are looked at.
func (a *Aperture) coversFleet() bool {
	return a.schedulers < 2 || a.requirements[0].total.listed < a.config.MinFleet
}

// ---- What discovery tells ----

// applyList takes discovery's word and gives what of it the module is told.
func (a *Aperture) applyList(e dispatch.WorkerList) dispatch.WorkerList {
	if e.Kind == dispatch.ListUnavailable {
		a.awaitingList = true
		return e
	}
	a.awaitingList = a.awaitingList && e.Kind == dispatch.ListCached
	if len(a.workers) == 0 {
		a.workers = make(map[uint64]*worker, len(e.Workers))
	}
	a.listVersion++
	for _, w := range e.Workers {
		a.applyWorker(w)
	}
	told := e
	told.Workers = nil
	if e.Kind == dispatch.ListDelta {
		for _, w := range e.Workers {
			if n := a.workers[w.ID]; n != nil {
				told.Workers = a.appendStatus(n, told.Workers)
			}
		}
		return told
	}
	for _, u := range a.units {
		for i := len(u.workers) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
			if n := u.workers[i]; n.listVersion != a.listVersion {
				a.unlist(n)
				a.forget(n)
			}
		}
	}
	a.refresh()
	for _, u := range a.units {
		a.reportUnit(u)
	}
	a.updates = a.updates[:0] // it is in the whole list
	told.Workers = a.reportedWorkers()
	return told
}

func (a *Aperture) applyWorker(w dispatch.Worker) {
	n := a.workers[w.ID]
	if w.Removed {
		if n != nil && n.unit != nil {
			if a.unlist(n); !n.reported {
				a.forget(n)
			}
		}
		return
	}
	if n == nil {
		n = a.workerSlab.allocate()
		a.workers[w.ID] = n
	}
	if n.unit != nil {
		a.addCounts(n, -1)
		a.needsRefresh = a.needsRefresh || n.Ready != w.Ready || n.Kind != w.Kind || n.Zone != w.Zone
	}
	if w.BootAt > n.BootAt { // what was seen of the process before it is void
		n.awaitingSince, n.failures, n.unresponsive = 0, 0, false
	}
	n.changed = n.changed || n.Worker != w
	n.Worker, n.listVersion = w, a.listVersion
	if id := a.unitOf(&w); n.unit == nil || n.unit.id != id {
		a.assignUnit(n, id)
	}
	a.addCounts(n, 1)
}

func (a *Aperture) unitOf(w *dispatch.Worker) uint64 {
	if a.groupByCell {
		return uint64(w.Cell)
	}
	return w.ID
}

// assignUnit puts a worker node into a unit.
func (a *Aperture) assignUnit(n *worker, id uint64) {
	a.leaveUnit(n)
	u := a.unitsByCell[id]
	if u == nil {
		u = a.unitSlab.allocate()
		u.position, u.id, u.workers, u.counts = a.positionOf(id), id, u.single[:0], a.countSlab.allocateMany(len(a.requirements))
		if a.groupByCell {
			a.unitsByCell[id] = u
		}
		a.units = append(a.units, u)
		a.unsorted = true
	}
	u.workers = append(u.workers, n)
	n.unit, a.needsRefresh = u, true
}

// leaveUnit takes it out of its unit.
func (a *Aperture) leaveUnit(n *worker) {
	if u := n.unit; u != nil {
		i, last := slices.Index(u.workers, n), len(u.workers)-1
		u.workers[i], u.workers[last] = u.workers[last], nil
		u.workers = u.workers[:last]
	}
	n.unit, a.needsRefresh = nil, true
}

func (a *Aperture) unlist(n *worker) {
	a.addCounts(n, -1)
	a.leaveUnit(n)
	n.awaitingSince, n.failures, n.unresponsive = 0, 0, false
}

// addCounts enters a worker node in the sums of its unit and the fleet, or takes it out of them.
func (a *Aperture) addCounts(n *worker, times int) {
	one := workerCounts{listed: 1}
	if n.Ready {
		if one.ready = 1; !n.unresponsive {
			one.responsive = 1
		}
	}
	for k := range a.requirements {
		if need := &a.requirements[k]; need.matches(&n.Worker) {
			n.unit.counts[k].add(one, times)
			need.total.add(one, times)
		}
	}
}

// ---- What the module is told ----

// reportUnit brings the module's word of a unit up to date.
func (a *Aperture) reportUnit(u *unit) {
	for _, n := range u.workers {
		a.updates = a.appendStatus(n, a.updates)
	}
}

// appendStatus adds what the module must be told of a worker node, if anything.
func (a *Aperture) appendStatus(n *worker, dst []dispatch.Worker) []dispatch.Worker {
	w := n.Worker
	switch held := n.unit != nil && n.unit.selected; {
	case held:
	case n.unit != nil && n.inFlight > 0:
		w.Ready = false
	case !n.reported:
		return dst
	default:
		if w.Ready, w.Removed = false, true; n.unit != nil {
			a.removed = append(a.removed, n.ID)
			a.setUnresponsive(n, false) // it will not be heard of, and is as good as another
			n.awaitingSince, n.failures = 0, 0
		}
		a.forget(n)
		return append(dst, w)
	}
	if !n.reported || n.changed || n.reportedReady != w.Ready || n.reportedRank != n.unit.rank {
		dst = append(dst, n.report(w.Ready))
	}
	return dst
}

// report gives the word of a listed worker node that the module holds from now on.
func (n *worker) report(ready bool) dispatch.Worker {
	n.reported, n.reportedReady, n.reportedRank, n.changed = true, ready, n.unit.rank, false
	return n.status()
}

func (n *worker) status() dispatch.Worker {
	w := n.Worker
	w.Ready = n.reportedReady
	n.reportedRank.apply(&w)
	return w
}

// forget is when the module holds a worker node no more. What is out there is still counted.
func (a *Aperture) forget(n *worker) {
	if n.reported = false; n.unit == nil && n.inFlight == 0 {
		delete(a.workers, n.ID)
	}
}

// reportedWorkers is the list that the module holds.
func (a *Aperture) reportedWorkers() (list []dispatch.Worker) {
	held := 0
	for _, u := range a.units {
		if u.selected {
			held += len(u.workers)
		}
	}
	list = make([]dispatch.Worker, 0, held)
	for _, u := range a.units {
		for _, n := range u.workers {
			if n.reported {
				list = append(list, n.status())
			}
		}
	}
	return list
}

// ---- What is looked at ----

// hash spreads the bits of a number.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ringPosition is this scheduler's ring, and its number among those on it.
func (a *Aperture) ringPosition() (ring, seat, seats int) {
	ring = a.index % ringCount
	return ring, a.index / ringCount, (a.schedulers - ring + ringCount - 1) / ringCount
}

// positionOf is a unit's place on this scheduler's ring.
func (a *Aperture) positionOf(id uint64) uint64 {
	ring, _, _ := a.ringPosition()
	return hash(hash(id) + uint64(ring))
}

// reposition is for another ring.
func (a *Aperture) reposition() {
	for _, u := range a.units {
		u.position = a.positionOf(u.id)
	}
	a.unsorted, a.needsRefresh = true, true
}

// refresh finds the aperture anew. What is wanted is held at once; what is wanted no more is let go by and by.
func (a *Aperture) refresh() {
	a.needsRefresh, a.refreshedAt = false, a.now
	a.units = slices.DeleteFunc(a.units, func(u *unit) bool {
		if len(u.workers) == 0 {
			delete(a.unitsByCell, u.id)
		}
		return len(u.workers) == 0
	})
	if a.unsorted {
		a.sortUnits()
	}
	whole := a.coversFleet()
	for _, u := range a.units {
		if u.desired {
			u.lastDesired = a.now
		}
		u.desired, u.inSegment = whole, false
	}
	for k := range a.requirements {
		// A need that every worker node meets is that of all jobs.
		if !whole && (k == 0 || a.requirements[k].total.listed < a.requirements[0].total.listed) {
			a.selectUnits(k)
		}
	}
	ring, _, _ := a.ringPosition()
	a.allSelected = true
	for _, u := range a.units {
		a.allSelected = a.allSelected && (u.desired || u.counts[0].ready == 0)
		may := otherSchedulers
		if whole {
			may = anyScheduler
		} else if u.inSegment {
			may = 1 + slowStartRank(uint64(ring)^hash(^u.id)&1) // neither ring is the first for all
		}
		told := u.selected && u.rank == may
		u.selected, u.rank = u.selected || u.desired, may
		if u.selected && !told {
			a.reportUnit(u)
		}
	}
}

// sortUnits puts the units in order. Their keys are spread evenly, so that each is near its place once it is in its bucket.
func (a *Aperture) sortUnits() {
	a.unsorted = false
	width := bits.Len(uint(len(a.units)))
	from := make([]int, 1<<width+1)
	for _, u := range a.units {
		from[u.position>>(64-width)+1]++
	}
	for i := range 1 << width {
		from[i+1] += from[i]
	}
	sorted := make([]*unit, len(a.units))
	for _, u := range a.units {
		bucket := u.position >> (64 - width)
		sorted[from[bucket]] = u
		from[bucket]++
	}
	for i, u := range sorted {
		for ; i > 0 && u.isBefore(sorted[i-1]); i-- {
			sorted[i] = sorted[i-1]
		}
		sorted[i] = u
	}
	a.units = sorted
}

func (u *unit) isBefore(o *unit) bool {
	return u.position < o.position || u.position == o.position && u.id < o.id
}

// selectUnits goes round the ring from this scheduler's place on until a need is met. All take places at even distances, by
// the weight that meets the need. For all jobs, its own segment, up to the place of the next scheduler, is in it in
// any case: so each worker node is in the aperture of one scheduler on each ring at least.
func (a *Aperture) selectUnits(k int) {
	all := 0
	for _, u := range a.units {
		all += u.weight(k)
	}
	if all == 0 {
		return
	}
	_, seat, seats := a.ringPosition()
	segment := func(before int, u *unit) int { return (2*before + u.weight(k)) * seats / (2 * all) } // its middle's
	from, before := 0, 0
	for from < len(a.units) && (a.units[from].weight(k) == 0 || segment(before, a.units[from]) < seat) {
		before += a.units[from].weight(k)
		from++
	}
	want, most := a.targets(k)
	got := workerCounts{}
	for i := range a.units {
		u := a.units[(from+i)%len(a.units)]
		if u.counts[k].listed == 0 {
			continue
		}
		own := k == 0 && before < all && segment(before, u) == seat
		before += u.weight(k)
		if left := want - got.responsive; !own {
			// Units are taken whole, so to the nearest; a class that is bound must have its part.
			if left <= 0 || got.ready >= most || !a.requirements[k].constrained && got.responsive > 0 && 2*left <= u.counts[k].responsive {
				return
			}
			if u.counts[k].ready == 0 {
				continue
			}
		}
		u.desired = true
		u.inSegment = u.inSegment || own
		got.add(u.counts[k], 1)
	}
}

// targets is how many worker nodes that are well meet a need now, and how many that are up are the most, should they all
// be silent.
func (a *Aperture) targets(k int) (want, most int) {
	need, least := &a.requirements[k], a.config.MinWorkers
	count := need.total.ready
	if need.constrained {
		least = (least + constrainedDivisor - 1) / constrainedDivisor
	} else {
		count = a.requirements[0].total.ready
	}
	plain := max(least, (a.config.Coverage*count+a.schedulers-1)/a.schedulers)
	times := func(x float64) int { return int(math.Ceil(min(float64(plain)*x, math.MaxInt32))) }
	return min(times(a.widening), need.total.responsive), times(a.config.MaxWidening)
}
