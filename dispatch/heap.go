package dispatch

import "slices"

// minHeap is a binary heap ordered by less. moved, if set, is called with the index of each item that moves,
// and with -1 for one that is removed. It replaces container/heap, which allocates for each item that is
// pushed or popped.
type minHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, index int)
}

func (h *minHeap[T]) empty() bool { return len(h.items) == 0 }

// first returns the least item. The heap must not be empty.
func (h *minHeap[T]) first() T { return h.items[0] }

func (h *minHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.notify(len(h.items) - 1)
	h.up(len(h.items) - 1)
}

func (h *minHeap[T]) pop() T {
	item := h.items[0]
	h.remove(0)
	return item
}

func (h *minHeap[T]) remove(i int) {
	last := len(h.items) - 1
	item := h.items[i]
	if i != last {
		h.swap(i, last)
	}
	var zero T
	h.items[last] = zero // the heap must not keep a removed item alive
	h.items = h.items[:last]
	if h.moved != nil {
		h.moved(item, -1)
	}
	if i != last {
		h.fix(i)
	}
}

// fix restores the order after the item at an index has changed.
func (h *minHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *minHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *minHeap[T]) down(i int) (moved bool) {
	for {
		least := 2*i + 1
		if least >= len(h.items) {
			return moved
		}
		if right := least + 1; right < len(h.items) && h.less(h.items[right], h.items[least]) {
			least = right
		}
		if !h.less(h.items[least], h.items[i]) {
			return moved
		}
		h.swap(i, least)
		i, moved = least, true
	}
}

func (h *minHeap[T]) swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	h.notify(i)
	h.notify(k)
}

func (h *minHeap[T]) notify(i int) {
	if h.moved != nil {
		h.moved(h.items[i], i)
	}
}

// removeUnordered removes an item from a list whose order has no meaning: the last item replaces it.
func removeUnordered[T comparable](items []T, item T) []T {
	i := slices.Index(items, item)
	if i < 0 {
		return items
	}
	var zero T
	last := len(items) - 1
	items[i] = items[last]
	items[last] = zero
	return items[:last]
}
