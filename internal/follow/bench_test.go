package follow

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// wired is a follower with planners that have taken it in, without a ledger.
func wired(tb testing.TB, planners ...string) (f *Follower, dst []logic.Action) {
	tb.Helper()
	set := logic.Settings{TryLimit: 4, SecondCopies: true, Classes: []logic.Class{{Aim: time.Second,
		Effect: logic.Safe}}}
	f = New(set, Config{Name: "f", Process: 1, MostWaiting: 1 << 20}, &inOrder{best: planners}, nil)
	list := logic.WorkerList{Kind: logic.ListFull}
	for id := range uint64(1000) {
		list.Workers = append(list.Workers, logic.Worker{ID: id + 1, Ready: true})
	}
	f.Planners(1, planners)
	for _, p := range planners {
		f.Session(1, p, true)
	}
	dst = f.Step(1, []logic.Event{list}, nil)
	for _, e := range f.Out() {
		f.Hear(2, e.To, &tier.Message{Kind: tier.Welcome, Epoch: e.M.Epoch, Credit: 1 << 20})
	}
	return f, f.Step(2, nil, dst[:0])
}

// One query, offered, ordered to be sent, and served: three steps with one thing each, which is the most that it takes.
func BenchmarkQuery(b *testing.B) {
	f, dst := wired(b, "p1", "p2")
	now, id := time.Duration(3), uint64(0)
	events := make([]logic.Event, 1)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Microsecond
		events[0] = logic.Job{ID: id, Left: 10 * time.Second, Slots: 1}
		dst = f.Step(now, events, dst[:0])
		order := tier.Message{Kind: tier.Send, Query: id, Worker: 1 + id%1000}
		for _, e := range f.Out() {
			order.Epoch = e.M.Epoch
			if e.M.Kind == tier.Asked {
				f.Hear(now, e.To, &tier.Message{Kind: tier.Here, Epoch: e.M.Epoch, Number: e.M.Number})
			}
		}
		f.Hear(now, "p1", &order)
		dst = f.Step(now, nil, dst[:0])
		events[0] = logic.Outcome{Job: id, Worker: order.Worker, Closed: true}
		dst = f.Step(now, events, dst[:0])
	}
	if f.Figures().Open > 0 {
		b.Fatal("queries are left")
	}
}

// The same, 50 of each in a step, as under load.
func BenchmarkQueries(b *testing.B) {
	const lot = 50
	f, dst := wired(b, "p1", "p2")
	now, id := time.Duration(3), uint64(0)
	var events, ends []logic.Event
	orders := make([]tier.Message, lot)
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Microsecond
		events, ends = events[:0], ends[:0]
		for i := range orders {
			id++
			events = append(events, logic.Job{ID: id, Left: 10 * time.Second, Slots: 1})
			ends = append(ends, logic.Outcome{Job: id, Worker: 1 + id%1000, Closed: true})
			orders[i] = tier.Message{Kind: tier.Send, Query: id, Worker: 1 + id%1000}
		}
		dst = f.Step(now, events, dst[:0])
		for _, e := range f.Out() {
			if e.M.Kind == tier.Asked {
				f.Hear(now, e.To, &tier.Message{Kind: tier.Here, Epoch: e.M.Epoch, Number: e.M.Number})
			} else if e.M.Kind == tier.Head {
				for i := range orders {
					orders[i].Epoch = e.M.Epoch
				}
			}
		}
		for i := range orders {
			f.Hear(now, "p1", &orders[i])
		}
		dst = f.Step(now, nil, dst[:0])
		dst = f.Step(now, ends, dst[:0])
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*lot), "ns/query")
}

// A planner is lost with so many queries open: how long until all are offered to the next.
func BenchmarkFailOver(b *testing.B) {
	for _, open := range []int{300, 3000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			f, dst := wired(b, "p1", "p2")
			var events []logic.Event
			for id := range uint64(open) {
				events = append(events, logic.Job{ID: id + 1, Left: 1 << 62, Slots: 1})
			}
			now := time.Duration(3)
			step := func(events ...logic.Event) (heads int) {
				dst = f.Step(now, events, dst[:0])
				for _, e := range f.Out() {
					switch e.M.Kind {
					case tier.Head:
						heads++
					case tier.Hello:
						f.Hear(now, e.To, &tier.Message{Kind: tier.Welcome, Epoch: e.M.Epoch, Credit: 1 << 20})
					case tier.Asked:
						f.Hear(now, e.To, &tier.Message{Kind: tier.Here, Epoch: e.M.Epoch, Number: e.M.Number})
					}
				}
				now += 5 * time.Millisecond
				return heads
			}
			step(events...)
			lost, other := "p1", "p2"
			for b.Loop() {
				b.StopTimer()
				for range 30 { // the one that has them says that it has read of all
					step()
				}
				b.StartTimer()
				f.Session(now, lost, false)
				if n := step(); n != open {
					b.Fatalf("%d offered", n)
				}
				b.StopTimer()
				f.Session(now, lost, true)
				lost, other = other, lost
				b.StartTimer()
			}
		})
	}
}

// What a forwarder holds for one open query.
func TestMemoryByQuery(t *testing.T) {
	const n = 20000
	f, dst := wired(t, "p1")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := range uint64(n) {
		dst = f.Step(3, []logic.Event{logic.Job{ID: id + 1, Left: time.Hour, Slots: 1}}, dst[:0])
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int(after.HeapAlloc-before.HeapAlloc) / n
	t.Logf("%d bytes by open query", bytes)
	if bytes > 2048 {
		t.Errorf("%d bytes by open query", bytes)
	}
	if f.Figures().Open != n {
		t.Fatal("not all are open")
	}
}
