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

func (q *queuedEvent) before(o *queuedEvent) bool { return q.at < o.at || q.at == o.at && q.id < o.id }

func (e *eventQueue) nextAt() (time.Duration, bool) {
	if len(e.items) == 0 {
		return 0, false
	}
	return e.items[0].at, true
}

func (e *eventQueue) schedule(instant time.Duration, do func()) {
	place := uint64(len(e.actions))
	if n := len(e.free); n > 0 {
		place = uint64(e.free[n-1])
		e.free = e.free[:n-1]
		e.actions[place] = do
	} else {
		e.actions = append(e.actions, do)
	}
	if place > slotMask {
		panic("environment: the event queue is full")
	}
	e.lastID++
	queuedEvent := queuedEvent{instant, e.lastID<<slotBits | place}
	e.items = append(e.items, queuedEvent)
	i := len(e.items) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !queuedEvent.before(&e.items[up]) {
			break
		}
		e.items[i] = e.items[up]
		i = up
	}
	e.items[i] = queuedEvent
}

func (e *eventQueue) pop() func() {
	place := e.items[0].id & slotMask
	action := e.actions[place]
	e.actions[place] = nil
	e.free = append(e.free, uint32(place))
	last := len(e.items) - 1
	queuedEvent := e.items[last]
	e.items = e.items[:last]
	if last == 0 {
		return action
	}
	items, i := e.items, 0
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
