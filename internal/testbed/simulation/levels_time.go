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

func (n *controlNetwork) schedule(at time.Duration, run func()) {
	n.eventCount++
	heap.Push(&n.events, scheduledAction{max(at, n.now), n.eventCount, run})
}

// nextAt returns the time of the first scheduled action, or never.
func (n *controlNetwork) nextAt() time.Duration {
	if len(n.events) == 0 {
		return never
	}
	return n.events[0].at
}

// runDue runs all actions that are due, and returns the nodes that got a message.
func (n *controlNetwork) runDue(now time.Duration) []int {
	n.now = now
	n.reached = n.reached[:0]
	for len(n.events) > 0 && n.events[0].at <= now {
		heap.Pop(&n.events).(scheduledAction).run()
	}
	return n.reached
}

// delay draws the network delay from one node to another.
func (n *controlNetwork) delay(from, to int) time.Duration {
	mean := n.spec.Network.Delay.Std()
	if n.spec.ZoneOf(from) != n.spec.ZoneOf(to) {
		mean = n.spec.Network.CrossZone.Std()
	}
	if n.sigma > 0 {
		mean = time.Duration(float64(mean) * math.Exp(n.sigma*(n.rngs[from].NormFloat64()-n.sigma/2)))
	}
	return mean
}
