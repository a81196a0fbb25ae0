package guard

import (
	"slices"

	"valvecove/internal/tier"
)

// words are what others say of worker nodes, the newest of each. Those of strangers, who are not on the own list, are
// forgotten in the order in which they became that: there are no more than mostStrangers of them.
type words struct {
	of        map[uint64]tier.WordOf
	strangers []stranger // a ring; may name those that are known by now, or that were forgotten
	next      int
	turn      uint64
	since     map[uint64]uint64 // by worker: its turn, if it is a stranger
}

type stranger struct{ worker, turn uint64 }

// take keeps a word that is newer than the last one of its node.
func (w *words) take(x tier.WordOf, listed bool) bool {
	was, known := w.of[x.Worker]
	if known && !x.Newer(was) {
		return false
	}
	w.of[x.Worker] = x
	if listed {
		w.met(x.Worker)
	} else {
		w.strange(x.Worker)
	}
	return true
}

// met tells that a node is on the own list.
func (w *words) met(worker uint64) { delete(w.since, worker) }

// strange tells that it is not. Only those matter of whom there is a word.
func (w *words) strange(worker uint64) {
	if _, known := w.of[worker]; !known || w.since[worker] > 0 {
		return
	}
	if w.since == nil {
		w.since = map[uint64]uint64{}
	}
	w.turn++
	w.since[worker] = w.turn
	x := stranger{worker, w.turn}
	if len(w.strangers) < mostStrangers {
		w.strangers = append(w.strangers, x)
		return
	}
	if old := w.strangers[w.next]; w.since[old.worker] == old.turn {
		delete(w.since, old.worker)
		delete(w.of, old.worker)
	}
	w.strangers[w.next] = x
	w.next = (w.next + 1) % mostStrangers
}

// relist finds out anew who is a stranger.
func (w *words) relist(listed func(worker uint64) bool) {
	var gone []uint64
	for worker := range w.of {
		if !listed(worker) && w.since[worker] == 0 {
			gone = append(gone, worker)
		}
	}
	slices.Sort(gone) // map order decides nothing
	for _, worker := range gone {
		w.strange(worker)
	}
}

// forbid tells whether a node that the own list has as up gets nothing by the word of others. A word that the list has
// caught up with is forgotten.
func (w *words) forbid(own tier.WordOf) bool {
	x, known := w.of[own.Worker]
	if !known {
		return false
	}
	if own.Newer(x) {
		delete(w.of, own.Worker)
		return false
	}
	return x.State != tier.Up
}
