package world

import (
	"slices"
	"time"

	"valvecove/internal/lab/seen"
)

// keyMemory is what groups of worker nodes remember of the transfer keys that have come to them. A group's worker
// nodes share it, whatever becomes of each of them.
type keyMemory struct {
	known map[keyID]*keyed
	old   []keyQueue // by class, each in the order in which they are to be forgotten
}

type keyID struct {
	class, group int
	key          string
}

// keyed is a key that is known: an attempt with it has been taken, and has not ended without having run to its end.
type keyed struct {
	id      keyID
	until   time.Duration
	first   *attempt // whose run is awaited; nil: it is done
	result  string
	waiters []*attempt // repeats, which get its result
}

type keyQueue struct {
	list []*keyed
	head int
}

// keyGrace is how much longer than its window a key is known: what was sent in time may arrive a little later.
const keyGrace = 100 * time.Millisecond

func newKeyMemory(classes int) keyMemory {
	return keyMemory{known: map[keyID]*keyed{}, old: make([]keyQueue, classes)}
}

func (f *fleet) keyID(n *node, a *attempt) keyID {
	id := keyID{class: a.class, key: a.key}
	switch f.classes[a.class].group {
	case "cell":
		id.group = n.cell
	case "zone":
		id.group = n.zone
	}
	return id
}

// recall finds what the worker node's group knows of an attempt's key; nil: nothing, or it isn't of a keyed class.
func (f *fleet) recall(n *node, a *attempt) *keyed {
	if a.key == "" || !f.classes[a.class].keyed {
		return nil
	}
	q := &f.keys.old[a.class]
	for q.head < len(q.list) && q.list[q.head].until <= f.w.now {
		if k := q.list[q.head]; f.keys.known[k.id] == k {
			delete(f.keys.known, k.id)
		}
		q.list[q.head] = nil
		q.head++
	}
	if q.head > len(q.list)/2 {
		q.list, q.head = slices.Delete(q.list, 0, q.head), 0
	}
	return f.keys.known[f.keyID(n, a)]
}

// remember notes the key of an attempt that is taken, and is the first with it.
func (f *fleet) remember(n *node, a *attempt) {
	if a.key == "" || !f.classes[a.class].keyed {
		return
	}
	k := &keyed{id: f.keyID(n, a), first: a, until: f.w.now + f.classes[a.class].window + keyGrace}
	a.memory = k
	f.keys.known[k.id] = k
	q := &f.keys.old[a.class]
	q.list = append(q.list, k)
}

// repeated takes an attempt whose key is known: it does not run, and is done once the first is.
func (k *keyed) repeated(a *attempt) {
	a.memory, a.state = k, attRepeats
	a.n.w.tell(seen.Sight{What: seen.Began, Call: a.call, Node: a.n.n, Boot: a.n.boot, Text: "repeat"})
	if k.first == nil {
		a.n.repeat(a, k.result)
	} else {
		k.waiters = append(k.waiters, a)
	}
}

// repeat ends an attempt with the result of another's run.
func (n *node) repeat(a *attempt, result string) {
	n.when(func() {
		if a.state != attRepeats {
			return
		}
		n.drop(a)
		a.result = result
		n.w.tell(seen.Sight{What: seen.Finished, Call: a.call, Node: n.n, Text: result, Status: 200})
		n.notes(a, "done", 0)
		n.rested()
	})
}

// settled is told of an attempt that has run to its end: repeats of it get its result.
func (f *fleet) settled(a *attempt) {
	k := a.memory
	if k == nil || k.first != a {
		return
	}
	k.first, k.result = nil, a.result
	waiters := k.waiters
	k.waiters = nil
	for _, r := range waiters {
		r.n.repeat(r, k.result)
	}
}

// release is told of an attempt that ended without having run to its end: its key is free again. A repeat that waited
// for it runs in its place, or else is handed back.
func (f *fleet) release(a *attempt) {
	k := a.memory
	if k == nil || k.first != a {
		return
	}
	for len(k.waiters) > 0 {
		next := k.waiters[0]
		k.waiters = k.waiters[1:]
		if next.state != attRepeats {
			continue // it has ended with its process
		}
		k.first = next
		next.n.when(func() { next.n.promote(next) })
		return
	}
	k.first = nil
	if f.keys.known[k.id] == k {
		delete(f.keys.known, k.id)
	}
}

// promote has an attempt run that waited for another's result.
func (n *node) promote(a *attempt) {
	switch {
	case a.state != attRepeats:
	case n.room(a.slots):
		n.enter(a)
	default:
		n.drop(a)
		n.giveBack(a)
	}
}
