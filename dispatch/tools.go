package dispatch

import (
	"math"
	"time"
)

// minHeap is a min-heap. place, where set, is told where in it each item stands, and -1 when it leaves. It is written
// out, as the library's heap boxes each item that it takes or gives.
type minHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, index int)
}

func (p *minHeap[T]) empty() bool { return len(p.items) == 0 }
func (p *minHeap[T]) first() T    { return p.items[0] }

func (p *minHeap[T]) push(x T) {
	p.items = append(p.items, x)
	p.notify(len(p.items) - 1)
	p.up(len(p.items) - 1)
}

func (p *minHeap[T]) pop() T {
	x := p.items[0]
	p.remove(0)
	return x
}

func (p *minHeap[T]) remove(i int) {
	last := len(p.items) - 1
	x := p.items[i]
	if i != last {
		p.swap(i, last)
	}
	var none T
	p.items[last] = none // the heap must not keep alive what has left it
	p.items = p.items[:last]
	if p.moved != nil {
		p.moved(x, -1)
	}
	if i != last {
		p.fix(i)
	}
}

func (p *minHeap[T]) fix(i int) {
	if !p.down(i) {
		p.up(i)
	}
}

func (p *minHeap[T]) up(i int) {
	for i > 0 {
		above := (i - 1) / 2
		if !p.less(p.items[i], p.items[above]) {
			return
		}
		p.swap(i, above)
		i = above
	}
}

func (p *minHeap[T]) down(i int) (moved bool) {
	for {
		least := 2*i + 1
		if least >= len(p.items) {
			return moved
		}
		if right := least + 1; right < len(p.items) && p.less(p.items[right], p.items[least]) {
			least = right
		}
		if !p.less(p.items[least], p.items[i]) {
			return moved
		}
		p.swap(i, least)
		i, moved = least, true
	}
}

func (p *minHeap[T]) swap(i, k int) {
	p.items[i], p.items[k] = p.items[k], p.items[i]
	p.notify(i)
	p.notify(k)
}

func (p *minHeap[T]) notify(i int) {
	if p.moved != nil {
		p.moved(p.items[i], i)
	}
}

// seconds is a span of s seconds, held within what a Duration can carry.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), 1e6) * float64(time.Second))
}

func clamp(x, most float64) float64 { return min(max(x, -most), most) }

// finite reads a figure that makes no sense as absent.
func finite(x float64) float64 {
	if math.IsNaN(x) || x > 1e9 || x < 0 {
		return 0
	}
	return x
}
