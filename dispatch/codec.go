package dispatch

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// codec writes values to bytes or reads them from bytes. The same calls in the same order do both.
type codec struct {
	b             []byte // bytes written so far, or left to read
	writing       bool
	withLeases    bool
	invalid       bool          // the bytes read are not a valid snapshot
	now           time.Duration // points in time are stored relative to it
	clockAhead    time.Duration // by which the reader's clock is ahead of the writer's
	jobs          []*jobInfo    // by their index in the snapshot
	jobIndexes    map[*jobInfo]int
	workers       []*workerInfo
	workerIndexes map[*workerInfo]int
}

// check marks the bytes as invalid unless a condition on the values read is met.
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

// instant writes or reads points in time, relative to now. 0, which means none, is stored as MaxInt64.
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

// clockReading writes or reads a point in time of the writer's clock, and converts it to the reader's clock.
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

// size writes or reads a length. A length that is read is at most the number of bytes left.
func (c *codec) size(n int) int {
	c.int(&n)
	if !c.writing && (n < 0 || n > len(c.b)) {
		c.invalid = true
		return 0
	}
	return n
}

// list writes or reads a slice of any length.
func list[T any](c *codec, xs *[]T, item func(x *T)) {
	n := c.size(len(*xs))
	if !c.writing {
		*xs = make([]T, n)
	}
	for i := 0; i < n && !c.invalid; i++ {
		item(&(*xs)[i])
	}
}

// fixedList writes or reads a slice whose length follows from the settings.
func fixedList[T any](c *codec, xs []T, item func(x *T)) {
	if n := c.size(len(xs)); n != len(xs) {
		c.invalid = true
		return
	}
	for i := range xs {
		item(&xs[i])
	}
}

// sortedMap writes or reads a map in the order of its keys.
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
