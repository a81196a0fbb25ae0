package world

import "time"

// agenda is what is to happen, by time and then by the order in which it was put there. A heap of its own, since a
// play spends a good part of its time here: what is to be done lies apart, so that an entry has 16 bytes and no
// pointer, and the four below another share a cache line.
type agenda struct {
	items []entry
	todo  []func()
	free  []uint32 // places in todo
	seq   uint64
}

type entry struct {
	at time.Duration
	id uint64 // counts entries; its last bits are the place in todo
}

const (
	placeBits = 26 // so many may be on the agenda at once, and the rest counts 2.7e11 in a play
	placeMask = 1<<placeBits - 1
)

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.id < o.id }

func (a *agenda) first() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

func (a *agenda) add(at time.Duration, do func()) {
	place := uint64(len(a.todo))
	if n := len(a.free); n > 0 {
		place = uint64(a.free[n-1])
		a.free = a.free[:n-1]
		a.todo[place] = do
	} else {
		a.todo = append(a.todo, do)
	}
	if place > placeMask {
		panic("world: too much is on the agenda")
	}
	a.seq++
	x := entry{at, a.seq<<placeBits | place}
	a.items = append(a.items, x)
	i := len(a.items) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !x.before(&a.items[up]) {
			break
		}
		a.items[i] = a.items[up]
		i = up
	}
	a.items[i] = x
}

func (a *agenda) take() func() {
	place := a.items[0].id & placeMask
	do := a.todo[place]
	a.todo[place] = nil
	a.free = append(a.free, uint32(place))
	last := len(a.items) - 1
	x := a.items[last]
	a.items = a.items[:last]
	if last == 0 {
		return do
	}
	items, i := a.items, 0
	for {
		least := 4*i + 1
		if least >= last {
			break
		}
		for k, end := least+1, min(least+4, last); k < end; k++ {
			if items[k].before(&items[least]) {
				least = k
			}
		}
		if !items[least].before(&x) {
			break
		}
		items[i] = items[least]
		i = least
	}
	items[i] = x
	return do
}
