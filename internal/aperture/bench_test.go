package aperture

import (
	"fmt"
	"testing"
	"time"

	"valvecove/dispatch"
)

// fixedPolicy sends every job to the same worker at once.
type fixedPolicy struct{ worker uint64 }

func (f *fixedPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, event := range events {
		if job, ok := event.(dispatch.Job); ok {
			dst = append(dst, dispatch.Send{Job: job.ID, Worker: f.worker})
		}
	}
	return dst
}

// benchmark is the aperture of one of 100 schedulers of a fleet.
type benchmark struct {
	settings dispatch.Settings
	list     []dispatch.Worker
	policy   *fixedPolicy
	aperture *Aperture
	now      time.Duration
	actions  []dispatch.Action
}

func newBenchmark(settings dispatch.Settings, workers, cellSize int) *benchmark {
	b := &benchmark{settings: settings, list: testFleet(workers, cellSize), now: time.Minute}
	b.policy = &fixedPolicy{worker: b.list[0].ID}
	b.aperture = New(b.policy, settings, DefaultConfig())
	b.fullList(0)
	return b
}

func (b *benchmark) step(span time.Duration, events ...dispatch.Event) {
	b.now += span
	b.actions = b.aperture.Step(b.now, events, b.actions[:0])
}

func (b *benchmark) firstList(int) {
	a := New(b.policy, b.settings, DefaultConfig())
	a.Step(b.now, []dispatch.Event{dispatch.WorkerList{Kind: dispatch.ListFull, Workers: b.list}}, b.actions[:0])
}

func (b *benchmark) fullList(int) {
	b.step(0, dispatch.WorkerList{Kind: dispatch.ListFull, Workers: b.list})
}

func (b *benchmark) change(i int) {
	changed := i / 2 % len(b.list)
	b.list[changed].Ready = i%2 == 1
	b.step(refreshInterval, dispatch.WorkerList{Workers: b.list[changed : changed+1]})
}

func (b *benchmark) evaluation(int) { b.step(evaluationInterval) }

func (b *benchmark) job(i int) {
	id := uint64(i + 1)
	b.step(time.Microsecond, dispatch.Job{ID: id})
	b.step(0, dispatch.Started{Job: id, Worker: b.policy.worker})
	b.step(0, dispatch.Outcome{Job: id, Worker: b.policy.worker, Closed: true})
}

// BenchmarkStep measures the aperture of one of 100 schedulers: the first full list, a further full list, a change of one worker
// that causes a new selection of the subset (changes are refreshInterval apart, the minimum between two selections), an
// evaluation, and a job from its arrival to its end.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{100, 1000, 10000} {
		for cellSize, settings := range map[int]dispatch.Settings{20: cellSettings(7, 100), 1: workerSettings(7, 100)} {
			bench := newBenchmark(settings, workers, cellSize)
			for _, operation := range []struct {
				name string
				run  func(i int)
			}{
				{"first", bench.firstList},
				{"list", bench.fullList},
				{"change", bench.change},
				{"evaluation", bench.evaluation},
				{"job", bench.job},
			} {
				b.Run(fmt.Sprintf("%s/workers=%d/cell=%d", operation.name, workers, cellSize), func(b *testing.B) {
					b.ReportAllocs()
					for i := range b.N {
						operation.run(i)
					}
				})
			}
		}
	}
}
