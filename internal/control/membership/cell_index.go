package membership

import (
	"maps"
	"slices"

	"valvecove/dispatch"
)

// cellIndex counts the listed workers by cell.
type cellIndex struct {
	workerCount map[int]int    // by cell; has no entries for cells without workers
	cellOf      map[uint64]int // by worker ID
	changed     []int          // buffer for the result of apply
}

func newCellIndex() cellIndex {
	return cellIndex{workerCount: map[int]int{}, cellOf: map[uint64]int{}}
}

// reset removes all workers.
func (c *cellIndex) reset() {
	clear(c.workerCount)
	clear(c.cellOf)
}

// apply applies entries of the endpoint list, and returns the affected cells. The result is valid until the next call and may
// contain duplicates.
func (c *cellIndex) apply(workers []dispatch.Worker) []int {
	c.changed = c.changed[:0]
	for i := range workers {
		worker := &workers[i]
		c.remove(worker.ID)
		if !worker.Removed {
			c.add(worker.ID, worker.Cell)
		}
	}
	return c.changed
}

// add adds a worker to its cell.
func (c *cellIndex) add(worker uint64, cell int) {
	c.cellOf[worker] = cell
	c.workerCount[cell]++
	c.changed = append(c.changed, cell)
}

// remove removes a worker from its cell, if it is listed.
func (c *cellIndex) remove(worker uint64) {
	cell, ok := c.cellOf[worker]
	if !ok {
		return
	}
	delete(c.cellOf, worker)
	c.workerCount[cell]--
	if c.workerCount[cell] == 0 {
		delete(c.workerCount, cell)
	}
	c.changed = append(c.changed, cell)
}

// totalWorkers returns the number of listed workers.
func (c *cellIndex) totalWorkers() int { return len(c.cellOf) }

// sortedCells returns the cells that have workers, in ascending order.
func (c *cellIndex) sortedCells() []int { return slices.Sorted(maps.Keys(c.workerCount)) }
