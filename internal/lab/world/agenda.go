package world

import "time"

// agenda is what is to happen, by time and then by the order in which it was put there. A heap of its own, since a
// play spends a good part of its time here and container/heap boxes each entry.
type agenda struct {
	items []entry
	seq   uint64
}

type entry struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (a *agenda) first() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

func (a *agenda) add(at time.Duration, do func()) {
	a.seq++
	a.items = append(a.items, entry{at, a.seq, do})
	i := len(a.items) - 1
	x := a.items[i]
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
	do := a.items[0].do
	last := len(a.items) - 1
	x := a.items[last]
	a.items[last] = entry{}
	a.items = a.items[:last]
	if last == 0 {
		return do
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= last {
			break
		}
		for k := least + 1; k < min(least+4, last); k++ {
			if a.items[k].before(&a.items[least]) {
				least = k
			}
		}
		if !a.items[least].before(&x) {
			break
		}
		a.items[i] = a.items[least]
		i = least
	}
	a.items[i] = x
	return do
}
