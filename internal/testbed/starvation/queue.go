package starvation

// minRingSize is the least capacity of a ring that has had an element.
const minRingSize = 64

// ringQueue is a first-in first-out queue that reuses its memory.
type ringQueue[T any] struct {
	ring        []T
	start, size int
}

// push appends an element.
func (r *ringQueue[T]) push(element T) {
	if r.size == len(r.ring) {
		r.grow()
	}
	r.ring[(r.start+r.size)%len(r.ring)] = element
	r.size++
}

// grow doubles the capacity of the ring.
func (r *ringQueue[T]) grow() {
	ring := make([]T, max(minRingSize, 2*len(r.ring)))
	for i := range r.size {
		ring[i] = r.ring[(r.start+i)%len(r.ring)]
	}
	r.ring = ring
	r.start = 0
}

// first returns the oldest element of a queue that is not empty.
func (r *ringQueue[T]) first() *T { return &r.ring[r.start] }

// pop removes and returns the oldest element of a queue that is not empty.
func (r *ringQueue[T]) pop() T {
	var zero T
	element := r.ring[r.start]
	r.ring[r.start] = zero
	r.start = (r.start + 1) % len(r.ring)
	r.size--
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
