package starvation

const minRingSize = 64

// ringQueue is a first-in first-out queue that reuses its memory.
type ringQueue[T any] struct {
	ring        []T
	start, size int
}

func (q *ringQueue[T]) push(element T) {
	if q.size == len(q.ring) {
		q.grow()
	}
	q.ring[(q.start+q.size)%len(q.ring)] = element
	q.size++
}

func (q *ringQueue[T]) grow() {
	ring := make([]T, max(minRingSize, 2*len(q.ring)))
	for i := range q.size {
		ring[i] = q.ring[(q.start+i)%len(q.ring)]
	}
	q.ring = ring
	q.start = 0
}

// first returns the oldest element of a queue that is not empty.
func (q *ringQueue[T]) first() *T { return &q.ring[q.start] }

// pop removes and returns the oldest element of a queue that is not empty.
func (q *ringQueue[T]) pop() T {
	var zero T
	element := q.ring[q.start]
	q.ring[q.start] = zero
	q.start = (q.start + 1) % len(q.ring)
	q.size--
	return element
}

// swapRemove returns the set without the element at the index. The last element takes its place; moved is called with it.
func swapRemove[T any](set []T, index int, moved func(element T)) []T {
	var zero T
	end := len(set) - 1
	last := set[end]
	set[index] = last
	moved(last)
	set[end] = zero
	return set[:end]
}
