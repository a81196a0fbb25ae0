package forwarder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

const (
	benchWorkers = 1000
	benchCredit  = 1 << 20
)

// benchmark drives a forwarder without a request table. Its planners have accepted their sessions.
type benchmark struct {
	forwarder *Forwarder
	now       time.Duration
	actions   []dispatch.Action // the last step's actions; the memory is reused
	lastID    uint64            // ID of the newest request
}

func newBenchmark(tb testing.TB, planners ...string) *benchmark {
	tb.Helper()
	class := dispatch.Class{LatencyObjective: time.Second, Idempotency: dispatch.Idempotent}
	settings := dispatch.Settings{AttemptLimit: 4, Hedging: true, Classes: []dispatch.Class{class}}
	config := Config{Name: "f", Incarnation: 1, MaxWaiting: 1 << 20}
	bench := &benchmark{forwarder: New(settings, config, &fixedOrder{planners: planners}, nil), now: 1}
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for id := range uint64(benchWorkers) {
		list.Workers = append(list.Workers, dispatch.Worker{ID: id + 1, Ready: true})
	}
	bench.forwarder.SetPlanners(planners)
	for _, planner := range planners {
		bench.forwarder.ConnectionChanged(planner, true)
	}
	bench.step(list)
	bench.now++
	bench.step()
	bench.now++
	return bench
}

// step steps the forwarder. Planners accept sessions and reply to heartbeats at once. It returns the number of offers in the
// step and the epoch of the last one.
func (b *benchmark) step(events ...dispatch.Event) (offers int, epoch message.Epoch) {
	b.actions = b.forwarder.Step(b.now, events, b.actions[:0])
	for _, outgoing := range b.forwarder.Outbox() {
		switch body := outgoing.Message.(type) {
		case *message.Handshake:
			b.receive(outgoing.Planner, outgoing.Epoch, &message.HandshakeAccept{Credit: benchCredit})
		case *message.Heartbeat:
			b.receive(outgoing.Planner, outgoing.Epoch, &message.HeartbeatReply{Sequence: body.Sequence})
		case *message.RequestOffer:
			offers++
			epoch = outgoing.Epoch
		}
	}
	return offers, epoch
}

func (b *benchmark) receive(planner string, epoch message.Epoch, body message.Message) {
	b.forwarder.Receive(b.now, planner, message.Envelope{Epoch: epoch, Message: body})
}

// nextJob returns a new request.
func (b *benchmark) nextJob(remaining time.Duration) dispatch.Job {
	b.lastID++
	return dispatch.Job{ID: b.lastID, Remaining: remaining, Slots: 1}
}

func benchWorker(request uint64) uint64 { return 1 + request%benchWorkers }

// BenchmarkRequest offers, sends and serves one request in three steps with one event each, which is the most expensive way.
func BenchmarkRequest(b *testing.B) {
	bench := newBenchmark(b, "p1", "p2")
	events := make([]dispatch.Event, 1)
	b.ReportAllocs()
	for b.Loop() {
		bench.now += time.Microsecond
		job := bench.nextJob(10 * time.Second)
		worker := benchWorker(job.ID)
		events[0] = job
		_, epoch := bench.step(events...)
		bench.receive("p1", epoch, &message.SendCommand{RequestID: job.ID, WorkerID: worker})
		bench.step()
		events[0] = dispatch.Outcome{Job: job.ID, Worker: worker, Closed: true}
		bench.step(events...)
	}
	if bench.forwarder.Stats().Open > 0 {
		b.Fatal("requests are still open after the benchmark")
	}
}

// BenchmarkRequestBatch is BenchmarkRequest with 50 requests in each step, as under load.
func BenchmarkRequestBatch(b *testing.B) {
	const batch = 50
	bench := newBenchmark(b, "p1", "p2")
	var jobs, outcomes []dispatch.Event
	commands := make([]message.SendCommand, batch)
	b.ReportAllocs()
	for b.Loop() {
		bench.now += 50 * time.Microsecond
		jobs, outcomes = jobs[:0], outcomes[:0]
		for i := range commands {
			job := bench.nextJob(10 * time.Second)
			worker := benchWorker(job.ID)
			jobs = append(jobs, job)
			outcomes = append(outcomes, dispatch.Outcome{Job: job.ID, Worker: worker, Closed: true})
			commands[i] = message.SendCommand{RequestID: job.ID, WorkerID: worker}
		}
		_, epoch := bench.step(jobs...)
		for i := range commands {
			bench.receive("p1", epoch, &commands[i])
		}
		bench.step()
		bench.step(outcomes...)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/request")
}

// BenchmarkFailover measures the time from the loss of a planner with many requests until all are offered to another planner.
func BenchmarkFailover(b *testing.B) {
	for _, open := range []int{300, 3000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) { benchmarkFailover(b, open) })
	}
}

func benchmarkFailover(b *testing.B, open int) {
	b.Helper()
	const stepInterval = 5 * time.Millisecond
	bench := newBenchmark(b, "p1", "p2")
	var jobs []dispatch.Event
	for range open {
		jobs = append(jobs, bench.nextJob(1<<62))
	}
	bench.step(jobs...)
	bench.now += stepInterval
	lost, other := "p1", "p2"
	for b.Loop() {
		b.StopTimer()
		for range 30 { // enough steps for the planner's heartbeat replies to confirm that it has read the offers
			bench.step()
			bench.now += stepInterval
		}
		b.StartTimer()
		bench.forwarder.ConnectionChanged(lost, false)
		if offers, _ := bench.step(); offers != open {
			b.Fatalf("%d requests offered, want %d", offers, open)
		}
		bench.now += stepInterval
		b.StopTimer()
		bench.forwarder.ConnectionChanged(lost, true)
		lost, other = other, lost
		b.StartTimer()
	}
}

// An open request takes at most maxBytes of memory.
func TestMemoryPerRequest(t *testing.T) {
	const (
		count    = 20000
		maxBytes = 2048
	)
	bench := newBenchmark(t, "p1")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range count {
		bench.step(bench.nextJob(time.Hour))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int(after.HeapAlloc-before.HeapAlloc) / count
	t.Logf("%d bytes per open request", bytes)
	if bytes > maxBytes {
		t.Errorf("%d bytes per open request, want at most %d", bytes, maxBytes)
	}
	if bench.forwarder.Stats().Open != count {
		t.Fatalf("%d requests are open, want %d", bench.forwarder.Stats().Open, count)
	}
}
