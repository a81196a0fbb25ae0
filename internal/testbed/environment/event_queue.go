package environment

import "time"

// eventQueue is a priority queue of planned events, ordered by time and then by insertion. It is a 4-ary heap instead of
// container/heap because a run spends much of its time here: the actions are stored separately, so that a heap entry has
// 16 bytes and no pointer, and the four children of an entry fit in a cache line.
type eventQueue struct {
	items   []queuedEvent
	actions []func()
	free    []uint32 // unused indices of actions
	lastID  uint64
}

type queuedEvent struct {
	at time.Duration
	id uint64 // sequence number of the entry, and in the low indexBits its index in actions
}

const (
	indexBits = 26 // up to 1<<26 events at once; the other bits allow 2.7e11 events in a run
	indexMask = 1<<indexBits - 1
)

func (q *queuedEvent) before(o *queuedEvent) bool { return q.at < o.at || q.at == o.at && q.id < o.id }

func (e *eventQueue) nextAt() (time.Duration, bool) {
	if len(e.items) == 0 {
		return 0, false
	}
	return e.items[0].at, true
}

func (e *eventQueue) schedule(dueAt time.Duration, do func()) {
	index := uint64(len(e.actions))
	if n := len(e.free); n > 0 {
		index = uint64(e.free[n-1])
		e.free = e.free[:n-1]
		e.actions[index] = do
	} else {
		e.actions = append(e.actions, do)
	}
	if index > indexMask {
		panic("environment: the event queue is full")
	}
	e.lastID++
	event := queuedEvent{dueAt, e.lastID<<indexBits | index}
	e.items = append(e.items, event)
	i := len(e.items) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !event.before(&e.items[parent]) {
			break
		}
		e.items[i] = e.items[parent]
		i = parent
	}
	e.items[i] = event
}

func (e *eventQueue) pop() func() {
	index := e.items[0].id & indexMask
	action := e.actions[index]
	e.actions[index] = nil
	e.free = append(e.free, uint32(index))
	last := len(e.items) - 1
	event := e.items[last]
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
		for child, end := least+1, min(least+4, last); child < end; child++ {
			if items[child].before(&items[least]) {
				least = child
			}
		}
		if !items[least].before(&event) {
			break
		}
		items[i] = items[least]
		i = least
	}
	items[i] = event
	return action
}
