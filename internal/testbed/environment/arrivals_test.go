package environment

import (
	"math"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// dueJobs returns the JobDue events of a run in which every request is answered 200. plan may schedule faults at its start.
func dueJobs(spec *scenario.Scenario, seed uint64, plan func(harness *clientHarness)) []trace.Event {
	harness := newClientHarness(spec, seed).start()
	if plan != nil {
		plan(harness)
	}
	harness.runToEnd(harness.answerOK)
	return harness.eventsOfKind(trace.JobDue)
}

// isPlausibleCount reports whether a count is within 4.5 standard deviations, and one, of the mean of a Poisson process.
func isPlausibleCount(got int, want float64) bool {
	return math.Abs(float64(got)-want) < 4.5*math.Sqrt(want)+1
}

// Jobs arrive at the rates that follow from shares, quotas and usage, with the distributions of work and slots of their
// classes.
func TestArrivals(t *testing.T) {
	spec := defaultScenario(1, 400*time.Second)
	spec.Load.CapacityShare, spec.Load.Rate, spec.Tenants[2].Usage = 0, 40, 2
	spec.Classes[0].Distribution, spec.Classes[1].Distribution, spec.Classes[2].Distribution = "exp", "pareto", "fixed"
	counts, work, square := map[[2]int]int{}, [4]float64{}, [4]float64{}
	slots, overQuota := map[float64]int{}, [3]int{}
	n := [4]int{}
	for _, o := range dueJobs(spec, 5, nil) {
		counts[[2]int{o.Class, o.Tenant}]++
		n[o.Class]++
		work[o.Class] += o.Work
		square[o.Class] += o.Work * o.Work
		if o.Class == 1 {
			slots[o.Slots]++
		}
		if o.OverQuota {
			overQuota[o.Tenant]++
		}
	}
	for i, c := range spec.Classes {
		for k, tenant := range spec.Tenants {
			if got, want := counts[[2]int{i, k}], 16000*c.Share*tenant.Quota*tenant.Usage; !isPlausibleCount(got, want) {
				t.Errorf("%s of %s: %d jobs, want %v", c.Name, tenant.Name, got, want)
			}
		}
		mean := work[i] / float64(n[i])
		cv := math.Sqrt(square[i]/float64(n[i])-mean*mean) / mean
		if want := []float64{1, 0.7, 0, 0.7}[i]; math.Abs(mean/c.Work.Std().Seconds()-1) > 0.05 ||
			math.Abs(cv-want) > 0.15 {
			t.Errorf("%s (%s): mean %v, coefficient of variation %v", c.Name, c.Distribution, mean, cv)
		}
	}
	for i, want := range []float64{0.5, 0.3, 0.2} {
		if got := slots[float64(int(1)<<i)]; !isPlausibleCount(got, want*float64(n[1])) {
			t.Errorf("%d jobs of %d slots, want %v", got, 1<<i, want*float64(n[1]))
		}
	}
	// 28.4 jobs per second are within quotas: each of the three tenants exceeds its quota, the third threefold.
	for i, tenant := range spec.Tenants {
		sent := 40 * tenant.Quota * tenant.Usage
		if want := (sent - spec.QuotaRate(i)) * 400; math.Abs(float64(overQuota[i])/want-1) > 0.15 {
			t.Errorf("%s: %d jobs over its quota, want %v", tenant.Name, overQuota[i], want)
		}
	}
}

// Each shape varies the load as documented and keeps its mean.
func TestLoadShapes(t *testing.T) {
	for kind, want := range map[string][6]float64{ // level in each sixth of the length, relative to the mean
		"steady":      {1, 1, 1, 1, 1, 1},
		"bursty":      {1, 1, 1, 1, 1, 1},
		"swell":       {0.46, 0.81, 1.19, 1.54, 1.38, 0.62},
		"month_start": {1.5, 1.3, 1.1, 0.9, 0.7, 0.5},
	} {
		spec := defaultScenario(1, 150*time.Second)
		spec.Load = scenario.Load{Rate: 40, Shape: kind, Swing: 0.6, Hints: "none", Quota: 0.8}
		var sixths [6]int
		var seconds [150]int
		for _, o := range dueJobs(spec, 11, nil) {
			sixths[o.At/(25*time.Second)]++
			seconds[o.At/time.Second]++
		}
		for i, level := range want {
			spread := 1.0
			if kind == "bursty" {
				spread = 3.5 // its two levels average out only over a longer time
			}
			if got := float64(sixths[i]); math.Abs(got-level*1000) > spread*4.5*32 {
				t.Errorf("%s: %v jobs in sixth %d, want %v", kind, got, i, level*1000)
			}
		}
		sum := 0.0
		for _, n := range seconds {
			sum += (float64(n) - 40) * (float64(n) - 40)
		}
		if ratio := sum / 150 / 40; kind == "steady" && (ratio < 0.8 || ratio > 1.2) || kind == "bursty" && ratio < 4 {
			t.Errorf("%s: variance %v times that of a Poisson process", kind, ratio)
		}
	}
}

// A burst adds jobs of its tenant and leaves all other jobs as they are; a factor below 1 removes jobs of its tenant.
func TestBurst(t *testing.T) {
	spec := defaultScenario(1, 150*time.Second)
	base := dueJobs(spec, 9, nil)
	all := 0
	for _, o := range base {
		if inBurst(&o) {
			all++
		}
	}
	for _, factor := range []float64{3, 0.25, 0} {
		got := dueJobs(spec, 9, func(s *clientHarness) {
			s.env.schedule(50*time.Second, func() { s.env.after(50*time.Second, s.env.clients.startBurst(1, -1, factor)) })
		})
		long, short := got, base
		if factor < 1 {
			long, short = base, got
		}
		differ, unmatched := jobsBeyond(long, short)
		for _, o := range differ {
			if !inBurst(&o) {
				t.Fatalf("factor %v: job of tenant %d at %v was added or removed outside the burst", factor, o.Tenant, o.At)
			}
		}
		want := math.Abs(factor-1) * float64(all)
		if len(unmatched) > 0 || math.Abs(float64(len(differ))-want) > 5*math.Sqrt(want) {
			t.Errorf("factor %v: %d jobs differ, want %v; %d are unmatched", factor, len(differ), want, len(unmatched))
		}
	}
}

// inBurst reports whether a job is of the tenant and within the time of the burst of TestBurst.
func inBurst(job *trace.Event) bool {
	return job.Tenant == 1 && job.At >= 50*time.Second && job.At < 100*time.Second
}

// jobsBeyond returns the jobs of long that are missing in short, and the jobs of short that are missing in long, in order.
func jobsBeyond(long, short []trace.Event) (differ, unmatched []trace.Event) {
	same := func(a, b trace.Event) bool { return a.At == b.At && a.Class == b.Class && a.Work == b.Work }
	for _, job := range long {
		if len(short) > 0 && same(job, short[0]) {
			short = short[1:]
		} else {
			differ = append(differ, job)
		}
	}
	return differ, short
}
