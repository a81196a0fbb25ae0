package simulation

import (
	"container/heap"
	"math"
	"time"
)

type scheduledAction struct {
	at  time.Duration
	seq uint64
	run func()
}

type actionQueue []scheduledAction

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a actionQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last].run = nil
	*a = (*a)[:last]
	return x
}

func (t *levelNetwork) schedule(at time.Duration, do func()) {
	t.eventCount++
	heap.Push(&t.events, scheduledAction{max(at, t.now), t.eventCount, do})
}

// nextAt returns the time of the first scheduled action, or never.
func (t *levelNetwork) nextAt() time.Duration {
	if len(t.events) == 0 {
		return never
	}
	return t.events[0].at
}

// runDue runs all actions that are due, and returns the seats that got a message.
func (t *levelNetwork) runDue(now time.Duration) []int {
	t.now = now
	t.reached = t.reached[:0]
	for len(t.events) > 0 && t.events[0].at <= now {
		heap.Pop(&t.events).(scheduledAction).run()
	}
	return t.reached
}

// delay draws the network delay from seat to seat.
func (t *levelNetwork) delay(from, to int) time.Duration {
	mean := t.spec.Network.Delay.Std()
	if t.spec.ZoneOf(from) != t.spec.ZoneOf(to) {
		mean = t.spec.Network.CrossZone.Std()
	}
	if t.sigma > 0 {
		mean = time.Duration(float64(mean) * math.Exp(t.sigma*(t.rngs[from].NormFloat64()-t.sigma/2)))
	}
	return mean
}
