package membership

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
)

// PlannerMembership is a planner's part: which cells of the fleet are whose. It is used by one goroutine.
type PlannerMembership struct {
	memberTable
	workersByCell     map[int]int    // nodes that are listed, by cell
	cellOfWorker      map[uint64]int // and the cell of each
	cellWeights       map[int]int    // what cells weigh, as they were dealt
	cellOwners        map[int]string // as it was told last
	changedCells      []int          // cells, by the list at hand
	owners            []owner
	ownerNames        []string // by taker
	announcedPlanners []string
	announcedPeers    []string
	scratchNames      []string
	partitioned       bool
	fewerSince        time.Duration // since when there are fewer worker nodes than it says; 0: there are not
	announcedSelf     Member
}

// NewPlannerMembership returns the part of a planner that knows nobody.
func NewPlannerMembership(me Member, conf Config) *PlannerMembership {
	me.Role, me.Home = RolePlanner, ""
	return &PlannerMembership{memberTable: newMemberTable(me, conf), workersByCell: map[int]int{}, cellOfWorker: map[uint64]int{}}
}

// Step takes in what has happened by now, in order, and appends what is to be done.
func (p *PlannerMembership) Step(now time.Duration, events []Event, dst []Action) []Action {
	p.beginStep(now)
	for _, e := range events {
		if l, ok := e.(EndpointsChanged); ok {
			p.endpointsChanged(&l.List)
		} else {
			p.handleMember(e)
		}
	}
	p.update()
	return p.takeOutput(dst)
}

// Next is when something is due by itself; 0: nothing is.
func (p *PlannerMembership) Next() time.Duration { return p.nextStepAt }

// endpointsChanged takes in which worker nodes there are.
func (p *PlannerMembership) endpointsChanged(l *dispatch.WorkerList) {
	switch l.Kind {
	case dispatch.ListUnavailable:
		return
	case dispatch.ListFull, dispatch.ListCached:
		clear(p.workersByCell)
		clear(p.cellOfWorker)
		p.assignmentStale = true
	}
	p.changedCells = p.changedCells[:0]
	for i := range l.Workers {
		w := &l.Workers[i]
		if cell, ok := p.cellOfWorker[w.ID]; ok {
			delete(p.cellOfWorker, w.ID)
			p.changedCells = append(p.changedCells, cell)
			if p.workersByCell[cell]--; p.workersByCell[cell] == 0 {
				delete(p.workersByCell, cell)
			}
		}
		if !w.Removed {
			p.cellOfWorker[w.ID] = w.Cell
			p.workersByCell[w.Cell]++
			p.changedCells = append(p.changedCells, w.Cell)
		}
	}
	for _, cell := range p.changedCells {
		n, is := p.workersByCell[cell]
		if weight, was := p.cellWeights[cell]; is != was || is && weight != cellWeight(n) {
			p.assignmentStale = true
		}
	}
}

// cellWeight is what a cell of so many worker nodes counts as: rounded up to a power of two, so that one that restarts
// moves nothing.
func cellWeight(nodes int) int { return 1 << bits.Len(uint(max(nodes, 1)-1)) }

// isCandidate tells whether a planner is one to be dealt cells. One that has left is not, nor one whose session has ended;
// but if gossip goes on to have that, it is merely out of our sight. One that is not heard of any more may be as well
// as before: whether it has a part is for those to say who follow it.
func (p *PlannerMembership) isCandidate(m *memberState) bool {
	switch {
	case m.left && !m.connected:
		return false
	case m.sessionLost:
		until := m.sessionLostAt + p.scaledTimeout(p.config.ReconnectGrace)
		p.wakeAt(until)
		return m.inGossip && p.now >= until
	}
	return true
}

func (p *PlannerMembership) update() {
	changed := p.review()
	for _, m := range p.plannerMembers {
		if c := p.isCandidate(m); c != m.candidate { // which may change by time alone
			m.candidate, p.assignmentStale, changed = c, true, true
		}
	}
	if p.assignmentDue() {
		p.assign()
	}
	if p.updateWorkerCount(); changed || p.announcedSelf != p.self {
		p.announce()
	}
}

// updateWorkerCount finds out how many worker nodes to say that there are. Fewer are believed in time: most come back.
func (p *PlannerMembership) updateWorkerCount() {
	n := 0
	if len(p.cellOfWorker) > 0 {
		n = cellWeight(len(p.cellOfWorker))
	}
	switch {
	case n >= p.self.Workers:
		p.self.Workers, p.fewerSince = n, 0
	case p.fewerSince == 0:
		p.fewerSince = p.now
		p.wakeAt(p.now + p.config.Retention)
	case p.now >= p.fewerSince+p.config.Retention:
		p.self.Workers, p.fewerSince = n, 0
	default:
		p.wakeAt(p.fewerSince + p.config.Retention)
	}
}

// announce says what is new to the others and to whoever keeps the sessions.
func (p *PlannerMembership) announce() {
	if p.scratchNames = p.appendPlanners(p.scratchNames[:0]); !slices.Equal(p.scratchNames, p.announcedPlanners) {
		p.announcedPlanners = slices.Clone(p.scratchNames)
		p.emit(SetPlanners{slices.Clone(p.scratchNames)})
	}
	p.scratchNames = p.scratchNames[:0]
	for _, m := range p.plannerMembers {
		if m.candidate && m.goneAt == 0 {
			p.scratchNames = append(p.scratchNames, m.Name)
		}
	}
	if !slices.Equal(p.scratchNames, p.announcedPeers) {
		p.announcedPeers = slices.Clone(p.scratchNames)
		p.emit(SetPeers{slices.Clone(p.scratchNames)})
	}
	if p.self != p.announcedSelf {
		p.announcedSelf = p.self
		p.emit(Announce{p.self})
	}
}

// assign parts the fleet, and tells of it if that has changed anything.
func (p *PlannerMembership) assign() {
	p.owners, p.ownerNames = p.owners[:0], p.ownerNames[:0]
	followed := false
	add := func(name string) {
		n := p.followerLoad(name)
		p.owners, p.ownerNames = append(p.owners, owner{nameKey(name), n}), append(p.ownerNames, name)
		followed = followed || n > 0
	}
	add(p.self.Name)
	for _, m := range p.plannerMembers {
		if m.candidate {
			add(m.Name)
		}
	}
	for i := range p.owners { // where nobody is followed yet, all that are there count alike
		if m := p.find(p.ownerNames[i]); !followed && (m == nil || m.goneAt == 0) {
			p.owners[i].weight = 1
		}
	}
	cells := make([]int, 0, len(p.workersByCell))
	for cell := range p.workersByCell {
		cells = append(cells, cell)
	}
	slices.Sort(cells)
	pieces := make([]item, len(cells))
	weights := make(map[int]int, len(cells))
	for i, cell := range cells {
		w := cellWeight(p.workersByCell[cell])
		pieces[i], weights[cell] = item{cellKey(cell), w}, w
	}
	owners := make(map[int]string, len(cells))
	for i, t := range assign(pieces, p.owners) {
		owners[cells[i]] = p.ownerNames[t]
	}
	p.cellWeights = weights
	same := p.partitioned && len(owners) == len(p.cellOwners)
	for cell, name := range owners {
		same = same && p.cellOwners[cell] == name
	}
	if !same {
		p.partitioned, p.cellOwners = true, owners
		p.publishPartition()
	}
}

// followerLoad counts what forwarders bring that say that they follow a planner.
func (p *PlannerMembership) followerLoad(name string) (n int) {
	for _, m := range p.members {
		if m.Role == RoleForwarder && m.Home == name {
			n += max(1, min(m.Load, maxLoad))
		}
	}
	return n
}

const maxLoad = 1 << 10

func cellKey(cell int) uint64 { return mixBits(uint64(cell) + 0x9e3779b97f4a7c15) }

// publishPartition tells whose what is. A cell that is not known yet is that planner's, of those that have any part, which
// its hash puts first.
func (p *PlannerMembership) publishPartition() {
	owners, takers, by := p.cellOwners, slices.Clone(p.owners), slices.Clone(p.ownerNames)
	p.emit(SetPartition{func(w *dispatch.Worker) string {
		if name, ok := owners[w.Cell]; ok {
			return name
		}
		best, height := 0, uint64(0)
		for i, t := range takers {
			if h := mixBits(cellKey(w.Cell) ^ t.key); t.weight > 0 && h >= height {
				best, height = i, h
			}
		}
		return by[best]
	}})
	mine, nodes, line := 0, 0, strings.Builder{}
	for cell, name := range owners {
		if name == p.self.Name {
			mine++
			nodes += p.workersByCell[cell]
		}
	}
	fmt.Fprintf(&line, "part: %d of %d cells, %d of %d worker nodes; planners by what follows them:", mine, len(owners),
		nodes, len(p.cellOfWorker))
	for i, t := range takers {
		fmt.Fprintf(&line, " %s %d", by[i], t.weight)
	}
	p.emit(LogLine{line.String()})
}
