package dispatch

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// codec writes what it is shown, or reads into it: one walk over the state serves both ways.
type codec struct {
	b            []byte // written so far, or not read yet
	writing      bool
	withLeases   bool
	invalid      bool          // what was read makes no sense
	now          time.Duration // instants are held as distances from it
	clockAhead   time.Duration // of the reader's clock before the writer's
	jobs         []*jobInfo    // by their place in the snapshot
	jobPlaces    map[*jobInfo]int
	workers      []*workerInfo
	workerPlaces map[*workerInfo]int
}

// check notes what must hold of what was read.
func (c *codec) check(ok bool) { c.invalid = c.invalid || !ok }

func (c *codec) int64(x *int64) {
	if c.writing {
		c.b = binary.AppendVarint(c.b, *x)
		return
	}
	v, n := binary.Varint(c.b)
	if n <= 0 {
		c.invalid = true
		v, n = 0, len(c.b)
	}
	*x, c.b = v, c.b[n:]
}

func (c *codec) uint(value *uint64) {
	const size = 8
	if c.writing {
		c.b = binary.LittleEndian.AppendUint64(c.b, *value)
		return
	}
	if len(c.b) < size {
		c.invalid, c.b = true, nil
		*value = 0
		return
	}
	*value, c.b = binary.LittleEndian.Uint64(c.b), c.b[size:]
}

func (c *codec) int(x *int) {
	v := int64(*x)
	c.int64(&v)
	*x = int(v)
}

func (c *codec) float(xs ...*float64) {
	for _, x := range xs {
		bits := math.Float64bits(*x)
		c.uint(&bits)
		*x = math.Float64frombits(bits)
	}
}

func (c *codec) duration(xs ...*time.Duration) {
	for _, x := range xs {
		c.int64((*int64)(x))
	}
}

// instant holds instants. Those that never were stand apart, as they lie far from now.
func (c *codec) instant(xs ...*time.Duration) {
	for _, x := range xs {
		v := int64(*x - c.now)
		if *x == 0 {
			v = math.MaxInt64
		}
		c.int64(&v)
		if v == math.MaxInt64 {
			*x = 0
		} else {
			*x = time.Duration(v) + c.now
		}
	}
}

// clockReading holds an instant as it is, and reads it as the reader's clock has it.
func (c *codec) clockReading(x *time.Duration) {
	c.duration(x)
	if !c.writing {
		*x += c.clockAhead
	}
}

func (c *codec) flags(xs ...*bool) {
	for _, x := range xs {
		v := int64(0)
		if *x {
			v = 1
		}
		c.int64(&v)
		*x = v != 0
	}
}

// size is a length; no more can be read than there are bytes.
func (c *codec) size(n int) int {
	c.int(&n)
	if !c.writing && (n < 0 || n > len(c.b)) {
		c.invalid = true
		return 0
	}
	return n
}

// list walks a slice. Read, it has the length that was written.
func list[T any](c *codec, xs *[]T, item func(x *T)) {
	n := c.size(len(*xs))
	if !c.writing {
		*xs = make([]T, n)
	}
	for i := 0; i < n && !c.invalid; i++ {
		item(&(*xs)[i])
	}
}

// fixedList walks a slice whose length follows from the settings.
func fixedList[T any](c *codec, xs []T, item func(x *T)) {
	if n := c.size(len(xs)); n != len(xs) {
		c.invalid = true
		return
	}
	for i := range xs {
		item(&xs[i])
	}
}

// sortedMap walks a map in the order of its keys.
func sortedMap[K cmp.Ordered, V any](c *codec, entries map[K]V, entry func(k *K, v *V)) {
	keys := slices.Sorted(maps.Keys(entries))
	n := c.size(len(keys))
	for i := 0; i < n && !c.invalid; i++ {
		var k K
		var v V
		if c.writing {
			k, v = keys[i], entries[keys[i]]
		}
		entry(&k, &v)
		if !c.writing {
			entries[k] = v
		}
	}
}
