// Package deadline keeps what is to happen by when it is due.
package deadline

import (
	"container/heap"
	"time"
)

// Item is embedded in what a queue holds. At may not change while it is held.
type Item struct {
	At    time.Duration
	place int // in the queue, from 1; 0: in none
}

func (i *Item) item() *Item { return i }

// Queue holds items, the one that is due next first. Its zero value is empty.
type Queue[T interface{ item() *Item }] struct{ items items[T] }

// Len counts the items.
func (q *Queue[T]) Len() int { return len(q.items) }

// First is the one that is due next; there must be one.
func (q *Queue[T]) First() T { return q.items[0] }

// Add puts an item in.
func (q *Queue[T]) Add(x T) { heap.Push(&q.items, x) }

// Remove takes an item out, if it is in.
func (q *Queue[T]) Remove(x T) {
	if at := x.item().place; at > 0 {
		heap.Remove(&q.items, at-1)
	}
}

type items[T interface{ item() *Item }] []T

func (h items[T]) Len() int           { return len(h) }
func (h items[T]) Less(i, k int) bool { return h[i].item().At < h[k].item().At }

func (h items[T]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].item().place, h[k].item().place = i+1, k+1
}

func (h *items[T]) Push(x any) {
	*h = append(*h, x.(T))
	x.(T).item().place = len(*h)
}

func (h *items[T]) Pop() any {
	var none T
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = none // the queue must not keep alive what has left it
	*h = (*h)[:last]
	x.item().place = 0
	return x
}
