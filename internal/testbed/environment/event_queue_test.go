package environment

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Events run in order of time, and at the same time in the order in which they were scheduled, however schedule and pop
// alternate.
func TestEventQueueKeepsOrder(t *testing.T) {
	type event struct {
		at  time.Duration
		seq int
	}
	for seed := uint64(180_800); seed < 181_000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		var queue eventQueue
		var want, got []event
		for seq := range 60 + rng.IntN(200) {
			if len(queue.items) > 0 && rng.IntN(3) == 0 {
				queue.pop()()
			}
			// Not before the last event that was popped, as time doesn't go back.
			low := time.Duration(0)
			if len(got) > 0 {
				low = got[len(got)-1].at
			}
			p := event{low + time.Duration(rng.IntN(50)), seq}
			want = append(want, p)
			queue.schedule(p.at, func() { got = append(got, p) })
		}
		for len(queue.items) > 0 {
			queue.pop()()
		}
		slices.SortFunc(want, func(x, y event) int {
			if x.at != y.at {
				return int(x.at - y.at)
			}
			return x.seq - y.seq
		})
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: events out of order", seed)
		}
	}
}

// Guards against a fault of pop: the scan for the smallest child of the ninth entry moved its range along with the smallest one
// found, until it reached the children of the thirteenth entry, which are smaller than the entry that had been moved up. The
// heap below leads to that case.
func TestEventQueueDeepHeap(t *testing.T) {
	groups := []struct{ count, at int }{ // events to schedule, in this order
		{1, 0},
		{1, 1},
		{1, 2},
		{1, 3},
		{1, 4},
		{1, 50},
		{1, 51},
		{1, 52},
		{1, 40},
		{1, 60},
		{1, 61},
		{1, 62},
		{1, 5},
		{8, 70},
		{12, 80},
		{1, 99},
		{1, 98},
		{1, 97},
		{1, 96},
		{3, 95},
		{1, 94},
		{2, 95},
		{1, 93},
		{2, 95},
		{1, 92},
		{2, 95},
		{4, 6},
		{4, 200},
	}
	var queue eventQueue
	for _, group := range groups {
		for range group.count {
			queue.schedule(time.Duration(group.at), func() {})
		}
	}
	for last := time.Duration(0); len(queue.items) > 0; {
		at, _ := queue.nextAt()
		if at < last {
			t.Fatalf("event at %d popped after one at %d", at, last)
		}
		last = at
		queue.pop()
	}
}
