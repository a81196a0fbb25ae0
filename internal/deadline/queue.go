// Package deadline keeps what is to happen by when it is due.
package deadline

import (
	"container/heap"
	"time"
)

// Item is embedded in what a queue holds. At may not change while it is held.
type Item struct {
	At       time.Duration
	position int // in the queue, from 1; 0: in none
}

func (i *Item) item() *Item { return i }

// Queue holds items, the one that is due next first. Its zero value is empty.
type Queue[T interface{ item() *Item }] struct{ heap itemHeap[T] }

// Len counts the items.
func (q *Queue[T]) Len() int { return len(q.heap) }

// First is the one that is due next; there must be one.
func (q *Queue[T]) First() T { return q.heap[0] }

// Add puts an item in.
func (q *Queue[T]) Add(x T) { heap.Push(&q.heap, x) }

// Remove takes an item out, if it is in.
func (q *Queue[T]) Remove(x T) {
	if at := x.item().position; at > 0 {
		heap.Remove(&q.heap, at-1)
	}
}

type itemHeap[T interface{ item() *Item }] []T

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, k int) bool { return h[i].item().At < h[k].item().At }

func (h itemHeap[T]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].item().position, h[k].item().position = i+1, k+1
}

func (h *itemHeap[T]) Push(x any) {
	*h = append(*h, x.(T))
	x.(T).item().position = len(*h)
}

func (h *itemHeap[T]) Pop() any {
	var none T
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = none // the queue must not keep alive what has left it
	*h = (*h)[:last]
	x.item().position = 0
	return x
}
