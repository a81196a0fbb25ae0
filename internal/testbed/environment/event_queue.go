package environment

import "time"

// eventQueue is what is to happen, by time and then by the order in which it was put there. It is a heap of its own, since
// a run spends a good part of its time here: the actions lie apart, so that an entry has 16 bytes and no pointer, and the
// four below another share a cache line.
type eventQueue struct {
	items   []queuedEvent
	actions []func()
	free    []uint32 // unused places in actions
	lastID  uint64
}

type queuedEvent struct {
	at time.Duration
	id uint64 // counts entries; its last bits are the place in actions
}

const (
	slotBits = 26 // so many may be on the event queue at once, and the rest counts 2.7e11 in a run
	slotMask = 1<<slotBits - 1
)

func (e *queuedEvent) before(o *queuedEvent) bool { return e.at < o.at || e.at == o.at && e.id < o.id }

func (a *eventQueue) nextAt() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

func (a *eventQueue) schedule(instant time.Duration, do func()) {
	place := uint64(len(a.actions))
	if n := len(a.free); n > 0 {
		place = uint64(a.free[n-1])
		a.free = a.free[:n-1]
		a.actions[place] = do
	} else {
		a.actions = append(a.actions, do)
	}
	if place > slotMask {
		panic("environment: the event queue is full")
	}
	a.lastID++
	queuedEvent := queuedEvent{instant, a.lastID<<slotBits | place}
	a.items = append(a.items, queuedEvent)
	i := len(a.items) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !queuedEvent.before(&a.items[up]) {
			break
		}
		a.items[i] = a.items[up]
		i = up
	}
	a.items[i] = queuedEvent
}

func (a *eventQueue) pop() func() {
	place := a.items[0].id & slotMask
	action := a.actions[place]
	a.actions[place] = nil
	a.free = append(a.free, uint32(place))
	last := len(a.items) - 1
	queuedEvent := a.items[last]
	a.items = a.items[:last]
	if last == 0 {
		return action
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
		if !items[least].before(&queuedEvent) {
			break
		}
		items[i] = items[least]
		i = least
	}
	items[i] = queuedEvent
	return action
}
