package scenario

// WorkerPlacement returns the cells and zones of the workers, by number. Workers are dealt to zones in rotation, and cells
// are filled zone by zone, apart from those in which a zone ends and the next begins. The environment deals them by itself
// to the same effect, so that what checks a run doesn't depend on what ran it.
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
