package scenario

// WorkerPlacement returns the cells and zones of the workers, by number. Workers are assigned to zones in turn. Cells are
// filled zone by zone, so that a cell has workers of two zones only where one zone ends and the next begins. The environment
// computes the same placement in code of its own, so that the checker does not depend on the code that it checks.
func (s *Scenario) WorkerPlacement() (cells, zones []int) {
	workers, cellSize, zoneCount := s.Fleet.Workers, max(1, s.Fleet.CellSize), max(1, len(s.Fleet.Zones))
	cells = make([]int, workers)
	zones = make([]int, workers)
	place := 0
	for zone := range zoneCount {
		for number := zone; number < workers; number += zoneCount {
			cells[number] = place / cellSize
			zones[number] = zone
			place++
		}
	}
	return cells, zones
}
