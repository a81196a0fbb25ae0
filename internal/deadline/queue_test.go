package deadline

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

type timer struct{ Item }

// The queue contains the items that were added and not removed, and no item is due before the first one.
func FuzzQueue(f *testing.F) {
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		var queue Queue[*timer]
		var queued, removed []*timer
		for steps.More() {
			switch {
			case len(queued) == 0 || steps.Pick(2) == 0:
				added := &timer{Item{At: time.Duration(steps.Pick(20))}}
				queue.Add(added)
				queued = append(queued, added)
				steps.Record("add")
			default:
				index := steps.Pick(len(queued))
				queue.Remove(queued[index])
				removed = append(removed, queued[index])
				queued = slices.Delete(queued, index, index+1)
				steps.Record("remove")
			}
			for _, item := range removed {
				queue.Remove(item) // no effect
			}
			steps.Check(queue.Len() == len(queued), "%d items, expected %d", queue.Len(), len(queued))
			checkFirst(steps, &queue, queued)
		}
	})
}

// checkFirst checks that the first item of the queue is one of the queued items, and that none is due before it.
func checkFirst(steps *modeltest.Steps, queue *Queue[*timer], queued []*timer) {
	steps.T.Helper()
	if len(queued) == 0 {
		return
	}
	first := queue.First()
	steps.Check(slices.Contains(queued, first), "the first item is not one of the queued items")
	for _, item := range queued {
		steps.Check(first.At <= item.At, "first item is due at %d, another at %d", first.At, item.At)
	}
}
