// Package deadline keeps items in the order of the instants at which they are due. It owns the order and nothing else:
// it has no clock and no goroutine, and never calls what it holds.
package deadline

import (
	"container/heap"
	"time"
)

// Item is embedded in whatever a Queue holds. At must not change while a queue holds the item, and one queue at most
// may hold it.
type Item struct {
	At       time.Duration // the instant at which the item is due, on its owner's clock
	position int           // its index in the heap plus 1; 0 while no queue holds it
}

func (i *Item) item() *Item { return i }

// element is a pointer to a struct that embeds an Item.
type element interface{ item() *Item }

// Queue holds items and gives the one that is due first. Of items that are due at one instant it may give any. The zero
// value is an empty queue. A Queue is not safe for concurrent use.
type Queue[T element] struct{ heap itemHeap[T] }

// Len returns how many items the queue holds.
func (q *Queue[T]) Len() int { return len(q.heap) }

// First returns the item that is due first. The queue must not be empty.
func (q *Queue[T]) First() T { return q.heap[0] }

// Add puts an item in, in logarithmic time. No queue may hold it yet.
func (q *Queue[T]) Add(item T) { heap.Push(&q.heap, item) }

// Remove takes an item out, in logarithmic time. It does nothing if no queue holds the item.
func (q *Queue[T]) Remove(item T) {
	if position := item.item().position; position > 0 {
		heap.Remove(&q.heap, position-1)
	}
}

// itemHeap implements heap.Interface and keeps each item's position.
type itemHeap[T element] []T

// Len returns the number of items.
func (h itemHeap[T]) Len() int { return len(h) }

// Less reports whether the first item is due before the second.
func (h itemHeap[T]) Less(i, j int) bool { return h[i].item().At < h[j].item().At }

// Swap exchanges two items.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].item().position = i + 1
	h[j].item().position = j + 1
}

// Push appends an item.
func (h *itemHeap[T]) Push(value any) {
	item := value.(T)
	*h = append(*h, item)
	item.item().position = len(*h)
}

// Pop removes the last item.
func (h *itemHeap[T]) Pop() any {
	var zero T
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = zero // so that the heap does not keep the item from the garbage collector
	*h = (*h)[:last]
	item.item().position = 0
	return item
}
