package logic

import (
	"math"
	"time"
)

// pile is a min-heap. place, where set, is told where in it each item stands, and -1 when it leaves. It is written
// out, as the library's heap boxes each item that it takes or gives.
type pile[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, index int)
}

func (p *pile[T]) empty() bool { return len(p.items) == 0 }
func (p *pile[T]) first() T    { return p.items[0] }

func (p *pile[T]) add(x T) {
	p.items = append(p.items, x)
	p.tell(len(p.items) - 1)
	p.up(len(p.items) - 1)
}

func (p *pile[T]) take() T {
	x := p.items[0]
	p.remove(0)
	return x
}

func (p *pile[T]) remove(i int) {
	last := len(p.items) - 1
	x := p.items[i]
	if i != last {
		p.swap(i, last)
	}
	var none T
	p.items[last] = none // the heap must not keep alive what has left it
	p.items = p.items[:last]
	if p.place != nil {
		p.place(x, -1)
	}
	if i != last {
		p.reorder(i)
	}
}

func (p *pile[T]) reorder(i int) {
	if !p.down(i) {
		p.up(i)
	}
}

func (p *pile[T]) up(i int) {
	for i > 0 {
		above := (i - 1) / 2
		if !p.less(p.items[i], p.items[above]) {
			return
		}
		p.swap(i, above)
		i = above
	}
}

func (p *pile[T]) down(i int) (moved bool) {
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

func (p *pile[T]) swap(i, k int) {
	p.items[i], p.items[k] = p.items[k], p.items[i]
	p.tell(i)
	p.tell(k)
}

func (p *pile[T]) tell(i int) {
	if p.place != nil {
		p.place(p.items[i], i)
	}
}

// seconds is a span of s seconds, held within what a Duration can carry.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), 1e6) * float64(time.Second))
}

func clip(x, most float64) float64 { return min(max(x, -most), most) }

// finite reads a figure that makes no sense as absent.
func finite(x float64) float64 {
	if math.IsNaN(x) || x > 1e9 || x < 0 {
		return 0
	}
	return x
}
