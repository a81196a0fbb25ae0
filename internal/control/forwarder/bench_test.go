package forwarder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// newConnected is a follower with planners that have taken it in, without a ledger.
func newConnected(tb testing.TB, planners ...string) (f *Forwarder, dst []dispatch.Action) {
	tb.Helper()
	set := dispatch.Settings{AttemptLimit: 4, Hedging: true, Classes: []dispatch.Class{{LatencyObjective: time.Second,
		Idempotency: dispatch.Idempotent}}}
	f = New(set, Config{Name: "f", Incarnation: 1, MaxWaiting: 1 << 20}, &fixedOrder{planners: planners}, nil)
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for id := range uint64(1000) {
		list.Workers = append(list.Workers, dispatch.Worker{ID: id + 1, Ready: true})
	}
	f.SetPlanners(planners)
	for _, p := range planners {
		f.SessionChanged(p, true)
	}
	dst = f.Step(1, []dispatch.Event{list}, nil)
	for _, e := range f.Outbox() {
		f.Receive(2, e.Planner, message.Envelope{Epoch: e.Epoch, Message: &message.HandshakeAccept{Credit: 1 << 20}})
	}
	return f, f.Step(2, nil, dst[:0])
}

// replyToHeartbeat answers a message that is a heartbeat.
func replyToHeartbeat(f *Forwarder, now time.Duration, e Outgoing) {
	if m, ok := e.Message.(*message.Heartbeat); ok {
		f.Receive(now, e.Planner, message.Envelope{Epoch: e.Epoch, Message: &message.HeartbeatReply{Sequence: m.Sequence}})
	}
}

// One query, offered, ordered to be sent, and served: three steps with one thing each, which is the most that it takes.
func BenchmarkRequest(b *testing.B) {
	f, dst := newConnected(b, "p1", "p2")
	now, id := time.Duration(3), uint64(0)
	events := make([]dispatch.Event, 1)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Microsecond
		events[0] = dispatch.Job{ID: id, Remaining: 10 * time.Second, Slots: 1}
		dst = f.Step(now, events, dst[:0])
		order := message.SendCommand{RequestID: id, WorkerID: 1 + id%1000}
		var epoch message.Epoch
		for _, e := range f.Outbox() {
			epoch = e.Epoch
			replyToHeartbeat(f, now, e)
		}
		f.Receive(now, "p1", message.Envelope{Epoch: epoch, Message: &order})
		dst = f.Step(now, nil, dst[:0])
		events[0] = dispatch.Outcome{Job: id, Worker: order.WorkerID, Closed: true}
		dst = f.Step(now, events, dst[:0])
	}
	if f.Stats().Open > 0 {
		b.Fatal("queries are left")
	}
}

// The same, 50 of each in a step, as under load.
func BenchmarkRequestBatch(b *testing.B) {
	const lot = 50
	f, dst := newConnected(b, "p1", "p2")
	now, id := time.Duration(3), uint64(0)
	var events, ends []dispatch.Event
	orders := make([]message.SendCommand, lot)
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Microsecond
		events, ends = events[:0], ends[:0]
		for i := range orders {
			id++
			events = append(events, dispatch.Job{ID: id, Remaining: 10 * time.Second, Slots: 1})
			ends = append(ends, dispatch.Outcome{Job: id, Worker: 1 + id%1000, Closed: true})
			orders[i] = message.SendCommand{RequestID: id, WorkerID: 1 + id%1000}
		}
		dst = f.Step(now, events, dst[:0])
		var epoch message.Epoch
		for _, e := range f.Outbox() {
			replyToHeartbeat(f, now, e)
			if _, ok := e.Message.(*message.RequestOffer); ok {
				epoch = e.Epoch
			}
		}
		for i := range orders {
			f.Receive(now, "p1", message.Envelope{Epoch: epoch, Message: &orders[i]})
		}
		dst = f.Step(now, nil, dst[:0])
		dst = f.Step(now, ends, dst[:0])
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*lot), "ns/query")
}

// A planner is lost with so many queries open: how long until all are offered to the next.
func BenchmarkFailover(b *testing.B) {
	for _, open := range []int{300, 3000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			f, dst := newConnected(b, "p1", "p2")
			var events []dispatch.Event
			for id := range uint64(open) {
				events = append(events, dispatch.Job{ID: id + 1, Remaining: 1 << 62, Slots: 1})
			}
			now := time.Duration(3)
			step := func(events ...dispatch.Event) (heads int) {
				dst = f.Step(now, events, dst[:0])
				for _, e := range f.Outbox() {
					replyToHeartbeat(f, now, e)
					switch e.Message.(type) {
					case *message.RequestOffer:
						heads++
					case *message.Handshake:
						f.Receive(now, e.Planner, message.Envelope{Epoch: e.Epoch, Message: &message.HandshakeAccept{Credit: 1 << 20}})
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
				f.SessionChanged(lost, false)
				if n := step(); n != open {
					b.Fatalf("%d offered", n)
				}
				b.StopTimer()
				f.SessionChanged(lost, true)
				lost, other = other, lost
				b.StartTimer()
			}
		})
	}
}

// What a forwarder holds for one open query.
func TestMemoryPerRequest(t *testing.T) {
	const n = 20000
	f, dst := newConnected(t, "p1")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for id := range uint64(n) {
		dst = f.Step(3, []dispatch.Event{dispatch.Job{ID: id + 1, Remaining: time.Hour, Slots: 1}}, dst[:0])
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int(after.HeapAlloc-before.HeapAlloc) / n
	t.Logf("%d bytes by open query", bytes)
	if bytes > 2048 {
		t.Errorf("%d bytes by open query", bytes)
	}
	if f.Stats().Open != n {
		t.Fatal("not all are open")
	}
}
