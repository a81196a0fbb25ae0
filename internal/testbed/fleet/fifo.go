package fleet

// fifo is a first-in, first-out queue that reuses its memory.
type fifo[T any] struct {
	items []T
	start int // index of the first item
}

func (q *fifo[T]) len() int { return len(q.items) - q.start }

func (q *fifo[T]) push(item T) {
	if q.start > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.start:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.start = 0
	}
	q.items = append(q.items, item)
}

// pop removes the first item. The queue must not be empty.
func (q *fifo[T]) pop() T {
	item := q.items[q.start]
	var none T
	q.items[q.start] = none
	q.start++
	if q.start == len(q.items) {
		q.items = q.items[:0]
		q.start = 0
	}
	return item
}
