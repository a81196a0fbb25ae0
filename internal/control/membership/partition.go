package membership

import (
	"maps"

	"valvecove/dispatch"
)

// partition is an assignment of cells to planners. It is immutable.
type partition struct {
	names    []string       // names of the planners
	planners []owner        // same indexes as names; the weight is the load of the planner's followers
	owners   map[int]string // planner name by cell
}

// ownerOf returns the name of the planner that owns a worker. A cell that is not assigned yet belongs to the planner with the
// highest hash for it, among those with a positive weight.
func (p *partition) ownerOf(w *dispatch.Worker) string {
	if name, ok := p.owners[w.Cell]; ok {
		return name
	}
	best := 0
	highest := uint64(0)
	for i, planner := range p.planners {
		hash := mixBits(hashCell(w.Cell) ^ planner.hash)
		if planner.weight > 0 && hash >= highest {
			best = i
			highest = hash
		}
	}
	return p.names[best]
}

// workersOf returns the numbers of cells and workers that a planner owns.
func (p *partition) workersOf(name string, workerCount map[int]int) (cells, workers int) {
	for cell, owner := range p.owners {
		if owner == name {
			cells++
			workers += workerCount[cell]
		}
	}
	return cells, workers
}

// assign computes the partition of the workers, and emits it if it has changed.
func (p *PlannerMembership) assign() {
	names, planners := p.weightedPlanners()
	cells := p.cells.sortedCells()
	items := make([]item, len(cells))
	weights := make(map[int]int, len(cells))
	for i, cell := range cells {
		weight := roundUpToPowerOfTwo(p.cells.workerCount[cell])
		items[i] = item{hashCell(cell), weight}
		weights[cell] = weight
	}
	owners := make(map[int]string, len(cells))
	for i, planner := range assign(items, planners) {
		owners[cells[i]] = names[planner]
	}
	p.assignedWeights = weights
	if p.partition != nil && maps.Equal(owners, p.partition.owners) {
		return
	}
	p.partition = &partition{names: names, planners: planners, owners: owners}
	p.emit(SetPartition{p.partition.ownerOf})
	p.logPartition()
}

// weightedPlanners returns this planner and the candidates, weighted by the load of their followers. If no planner has followers
// yet, all planners that are present have the same weight.
func (p *PlannerMembership) weightedPlanners() (names []string, planners []owner) {
	isFollowed := false
	present := []bool{true}
	add := func(name string, hash uint64) {
		load := p.followerLoad(name)
		isFollowed = isFollowed || load > 0
		names = append(names, name)
		planners = append(planners, owner{hash, load})
	}
	add(p.self.Name, hashName(p.self.Name))
	for _, planner := range p.planners {
		if planner.candidate {
			add(planner.Name, planner.hash)
			present = append(present, !planner.state.isAbsent())
		}
	}
	for i := range planners {
		if !isFollowed && present[i] {
			planners[i].weight = 1
		}
	}
	return names, planners
}

// followerLoad returns the total load of the forwarders that announce a planner as their home.
func (p *PlannerMembership) followerLoad(planner string) int {
	load := 0
	for _, record := range p.members {
		if record.Role == RoleForwarder && record.Home == planner {
			load += max(1, min(record.Load, maxLoad))
		}
	}
	return load
}
