package membership

import (
	"maps"

	"valvecove/dispatch"
)

// partition is an assignment of cells to planners. It does not change once it is computed.
type partition struct {
	names    []string // of the planners
	planners []owner  // the same, by index, with the load of the forwarders that follow them
	owners   map[int]string
}

// ownerOf returns the name of the planner that owns a worker. A cell that is not assigned yet belongs to the planner of
// positive weight with the highest hash for it.
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

// workersOf returns how many cells and workers a planner owns.
func (p *partition) workersOf(name string, workerCount map[int]int) (cells, workers int) {
	for cell, owner := range p.owners {
		if owner == name {
			cells++
			workers += workerCount[cell]
		}
	}
	return cells, workers
}

// assign partitions the workers, and emits the partition if it has changed.
func (p *PlannerMembership) assign() {
	names, planners := p.weighPlanners()
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

// weighPlanners returns this planner and the candidates, weighted by the load of the forwarders that follow them. If no
// planner is followed yet, all that are present weigh the same.
func (p *PlannerMembership) weighPlanners() (names []string, planners []owner) {
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

// followerLoad returns the load of the forwarders that announce that they follow a planner.
func (p *PlannerMembership) followerLoad(planner string) int {
	load := 0
	for _, record := range p.members {
		if record.Role == RoleForwarder && record.Home == planner {
			load += max(1, min(record.Load, maxLoad))
		}
	}
	return load
}
