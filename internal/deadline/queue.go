// Package deadline provides a priority queue of items in order of the instants at which they are due. It reads no clock, starts
// no goroutine, and does not act on items that are due.
package deadline

import (
	"container/heap"
	"time"
)

// Item is embedded in the elements of a Queue. At must not change while the item is in a queue. An item may be in one queue at
// most.
type Item struct {
	At       time.Duration // the instant at which the item is due, on its owner's clock
	position int           // its index in the heap plus 1; 0: not in a queue
}

func (i *Item) item() *Item { return i }

// element is a pointer to a struct that embeds an Item.
type element interface{ item() *Item }

// Queue is a priority queue of items by due instant. The order of items with equal instants is undefined. The zero value is an
// empty queue. A Queue is not safe for concurrent use.
type Queue[T element] struct{ heap itemHeap[T] }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.heap) }

// First returns the item that is due first. The queue must not be empty.
func (q *Queue[T]) First() T { return q.heap[0] }

// Add adds an item, which must not be in a queue, in logarithmic time.
func (q *Queue[T]) Add(item T) { heap.Push(&q.heap, item) }

// Remove removes an item in logarithmic time. It does nothing if the item is not in a queue.
func (q *Queue[T]) Remove(item T) {
	if position := item.item().position; position > 0 {
		heap.Remove(&q.heap, position-1)
	}
}

// itemHeap implements heap.Interface and updates the position of each item.
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
	(*h)[last] = zero // so that the garbage collector can free the item
	*h = (*h)[:last]
	item.item().position = 0
	return item
}
