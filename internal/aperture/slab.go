package aperture

// slabSize is the number of values that a slab allocates at a time.
const slabSize = 100

// slab allocates many values at a time, so that the first list, with thousands of workers, does not delay the event loop.
type slab[T any] struct{ free []T }

// allocate returns a pointer to a zero value.
func (s *slab[T]) allocate() *T { return &s.allocateMany(1)[0] }

// allocateMany returns count consecutive zero values.
func (s *slab[T]) allocateMany(count int) []T {
	if len(s.free) < count {
		s.free = make([]T, max(count, slabSize))
	}
	allocated := s.free[:count:count]
	s.free = s.free[count:]
	return allocated
}
