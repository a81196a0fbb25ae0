package deadline

import (
	"slices"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

type timer struct{ Item }

// The queue holds what was added and not removed, and its first item is never due after another.
func FuzzQueue(f *testing.F) {
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		var queue Queue[*timer]
		var held, removed []*timer
		for steps.More() {
			switch {
			case len(held) == 0 || steps.Pick(2) == 0:
				added := &timer{Item{At: time.Duration(steps.Pick(20))}}
				queue.Add(added)
				held = append(held, added)
				steps.Record("add")
			default:
				index := steps.Pick(len(held))
				queue.Remove(held[index])
				removed = append(removed, held[index])
				held = slices.Delete(held, index, index+1)
				steps.Record("remove")
			}
			for _, item := range removed {
				queue.Remove(item) // no effect
			}
			steps.Check(queue.Len() == len(held), "%d items, expected %d", queue.Len(), len(held))
			checkFirst(steps, &queue, held)
		}
	})
}

func checkFirst(steps *modeltest.Steps, queue *Queue[*timer], held []*timer) {
	steps.T.Helper()
	if len(held) == 0 {
		return
	}
	first := queue.First()
	steps.Check(slices.Contains(held, first), "first item is not among those held")
	for _, item := range held {
		steps.Check(first.At <= item.At, "first item is due at %d, another at %d", first.At, item.At)
	}
}
