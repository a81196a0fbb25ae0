package simulation

import (
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// manyFaults is a scenario with faults of most parts of the environment.
const manyFaults = `
length = "8s"
fleet = { nodes = 14, zones = ["a", "b"] }
schedulers = { count = 3 }
load = { of = 0.8, shape = "bursty" }
clients = { impatient = 0.05 }
fault = [
  { what = "crash", at = "1s", for = "2s", on = { share = 0.2 } },
  { what = "hang", at = "2s", for = "3s", on = { share = 0.1 } },
  { what = "restart", at = "3s", for = "1s", on = { share = 0.1 } },
  { what = "delay", at = "2s", for = "2s", size = 30 },
  { what = "cut", at = "5s", for = "1s", on = { share = 0.3 } },
  { what = "disco_moves", at = "2s" },
  { what = "sched_reload", at = "2500ms" },
  { what = "sched_freeze", at = "3s", for = "700ms", on = { schedulers = [0] } },
  { what = "sched_kill", at = "4s", for = "1s", on = { schedulers = [1] } },
  { what = "sched_term", at = "4500ms", for = "500ms", on = { schedulers = [2] } },
  { what = "burst", at = "5s", for = "1s" },
]`

func parse(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	spec, err := scenario.Parse("test", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return spec
}

func policy(name string) (m Model) {
	if p, ok := baseline.Find(name); ok {
		m.NewPolicy = p.ForRun()
	}
	return m
}

// TestRunIsDeterministic checks that a scenario and a seed determine a run byte for byte, whatever else the machine runs, and
// that another seed gives another run.
func TestRunIsDeterministic(t *testing.T) {
	spec := parse(t, manyFaults)
	digestOf := func(seed uint64, name string) uint64 {
		got, err := Run(spec, seed, Options{Model: policy(name), Digest: true})
		if err != nil || !got.Finished || got.Requests < 100 || got.Responses < got.Requests*3/4 {
			t.Errorf("%s: run is not finished, or has too few requests or responses: %+v, %v", name, got, err)
		}
		return got.Digest
	}
	for _, name := range []string{"logic", "all-seeing"} {
		want := digestOf(1, name)
		if digestOf(2, name) == want {
			t.Errorf("%s: seeds 1 and 2 give the same run", name)
		}
		old := runtime.GOMAXPROCS(1)
		if got := digestOf(1, name); got != want {
			t.Errorf("%s: the run differs on one core", name)
		}
		runtime.GOMAXPROCS(max(8, old))
		var runs sync.WaitGroup
		for range 2 {
			runs.Go(func() {
				if got := digestOf(1, name); got != want {
					t.Errorf("%s: a concurrent run of the same seed differs", name)
				}
			})
		}
		runs.Wait()
		runtime.GOMAXPROCS(old)
	}
}

// TestFaultsAreIndependentOfPolicy checks that jobs and faults are the same whatever the schedulers' policy does.
func TestFaultsAreIndependentOfPolicy(t *testing.T) {
	spec, want := parse(t, manyFaults), ""
	for _, name := range []string{"logic", "random", "round-robin", "two-choices", "least-outstanding", "all-seeing"} {
		var b strings.Builder
		record := func(event *trace.Event) {
			switch event.Kind {
			case trace.JobDue, trace.WorkerHung, trace.SchedulerKilled, trace.SchedulerTerminated, trace.FaultStarted:
				b.WriteString(strconv.Itoa(int(event.Kind)) + " " + event.At.String() + " " + strconv.FormatFloat(event.Work, 'g', -1, 64) +
					" " + strconv.Itoa(event.Worker) + event.IdempotencyKey + event.Text + "\n")
			}
		}
		observers := []trace.Observer{record, func(*trace.Event) {}}
		if _, err := Run(spec, 3, Options{Model: policy(name), Observers: observers}); err != nil {
			t.Fatal(err)
		}
		if want == "" {
			want = b.String()
		} else if b.String() != want {
			t.Errorf("%s has other jobs or faults", name)
		}
	}
	if strings.Count(want, "\n") < 100 {
		t.Errorf("fewer than 100 jobs and faults: %s", want)
	}
}

// endlessScheduler is a scheduler with an output in every iteration, and with another iteration always due.
type endlessScheduler struct{ simapi.Scheduler }

func (s endlessScheduler) Step(time.Duration, []simapi.Input, []simapi.Output) []simapi.Output {
	return []simapi.Output{{Message: simapi.Unready{}}}
}
func (s endlessScheduler) Next() (time.Duration, bool) { return 0, true }

// TestOptions checks the options Until, Wrap and Trace, the detection of a run that never ends, and Unsupported.
func TestOptions(t *testing.T) {
	spec := parse(t, `length = "3s"`)
	wrapped, traced := 0, 0
	got, err := Run(spec, 1, Options{Until: time.Second, Wrap: func(s simapi.Scheduler) simapi.Scheduler {
		wrapped++
		return s
	}, Trace: func(_ time.Duration, ins []simapi.Input, outs []simapi.Output) { traced += len(ins) + len(outs) }})
	if err != nil || wrapped != 1 || traced == 0 || got.End != time.Second || got.Finished {
		t.Errorf("run with Until, Wrap and Trace: %+v, %d schedulers wrapped, %d messages traced, %v", got, wrapped, traced, err)
	}
	_, err = Run(spec, 1, Options{Wrap: func(s simapi.Scheduler) simapi.Scheduler { return endlessScheduler{s} }})
	if err == nil || !strings.Contains(err.Error(), "in a loop") {
		t.Errorf("a run that never ends: %v", err)
	}
	spec = parse(t, "bad = [{ kind = \"flood\", rate = 1.0 }]\nfault = [{ what = \"slow_read\", at = \"1s\" }]")
	if listed := strings.Join(Unsupported(spec), "\n"); !strings.Contains(listed, "flood") || !strings.Contains(listed, "slow_read") {
		t.Errorf("unsupported: %s", listed)
	}
}

// BenchmarkRun measures the simulated requests per second, by number of workers and policy. From 1,000 workers on the dispatcher
// takes milliseconds for a request, so it gets few requests there.
func BenchmarkRun(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		for _, name := range []string{"least-outstanding", "logic"} {
			b.Run(strconv.Itoa(nodes)+"/"+name, func(b *testing.B) {
				spec, requests := benchmarkScenario(nodes, name), uint64(0)
				for b.Loop() {
					got, err := Run(spec, 1, Options{Model: policy(name)})
					if err != nil {
						b.Fatal(err)
					}
					requests += got.Requests
				}
				b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
				b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(requests), "us/request")
			})
		}
	}
}

// benchmarkScenario returns a scenario with a number of workers whose run takes a policy some seconds.
func benchmarkScenario(nodes int, policyName string) *scenario.Scenario {
	spec, work := scenario.Default(), 20_000
	spec.Fleet.Workers, spec.Schedulers.Count = nodes, min(64, max(1, nodes/50))
	spec.Schedulers.Sockets, spec.Schedulers.MemoryMB = 65536, 1024
	if policyName == "logic" {
		work = 2000
	}
	spec.Length = scenario.Duration(max(time.Second, time.Duration(work/nodes)*time.Second))
	if nodes > 1000 && policyName == "logic" {
		spec.Load.CapacityShare = 0.05
	}
	return spec
}
