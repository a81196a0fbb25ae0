package environment

import (
	"math"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// dues are the jobs of a run in which all is served.
func dues(spec *scenario.Scenario, seed uint64, change func(s *stage)) []trace.Event {
	s := newStage(spec, seed).begin()
	if change != nil {
		change(s)
	}
	s.end(s.serve)
	return s.of(trace.JobDue)
}

// near tells whether a count is one that a Poisson process of this mean may show.
func near(got int, want float64) bool { return math.Abs(float64(got)-want) < 4.5*math.Sqrt(want)+1 }

// Jobs come at the rates that shares and usage say, with the work, slots and hints that their classes say.
func TestArrivals(t *testing.T) {
	spec := calm(1, 400*time.Second)
	spec.Load.CapacityShare, spec.Load.Rate, spec.Tenants[2].Usage = 0, 40, 2
	spec.Classes[0].Distribution, spec.Classes[1].Distribution, spec.Classes[2].Distribution = "exp", "pareto", "fixed"
	counts, work, square := map[[2]int]int{}, [4]float64{}, [4]float64{}
	slots, ended := map[float64]int{}, [3]int{}
	n := [4]int{}
	for _, o := range dues(spec, 5, nil) {
		counts[[2]int{o.Class, o.Tenant}]++
		n[o.Class]++
		work[o.Class] += o.Work
		square[o.Class] += o.Work * o.Work
		if o.Class == 1 {
			slots[o.Slots]++
		}
		if o.OverQuota {
			ended[o.Tenant]++
		}
	}
	for i, c := range spec.Classes {
		for k, tenant := range spec.Tenants {
			if got, want := counts[[2]int{i, k}], 16000*c.Share*tenant.Quota*tenant.Usage; !near(got, want) {
				t.Errorf("%s of %s: %d jobs, not %v", c.Name, tenant.Name, got, want)
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
		if got := slots[float64(int(1)<<i)]; !near(got, want*float64(n[1])) {
			t.Errorf("%d jobs of %d slots", got, 1<<i)
		}
	}
	// 28.4 jobs a second are within shares: each of the three asks for more than its own, the third for thrice it.
	for i, tenant := range spec.Tenants {
		sent := 40 * tenant.Quota * tenant.Usage
		if want := (sent - spec.QuotaRate(i)) * 400; math.Abs(float64(ended[i])/want-1) > 0.15 {
			t.Errorf("%s: %d jobs beyond its share, not %v", tenant.Name, ended[i], want)
		}
	}
}

// The load's shape moves it as it says, and leaves the mean.
func TestShapes(t *testing.T) {
	for kind, want := range map[string][6]float64{ // by sixths of the length, of the mean
		"steady":      {1, 1, 1, 1, 1, 1},
		"bursty":      {1, 1, 1, 1, 1, 1},
		"swell":       {0.46, 0.81, 1.19, 1.54, 1.38, 0.62},
		"month_start": {1.5, 1.3, 1.1, 0.9, 0.7, 0.5},
	} {
		spec := calm(1, 150*time.Second)
		spec.Load = scenario.Load{Rate: 40, Shape: kind, Swing: 0.6, Hints: "none", Quota: 0.8}
		var sixths [6]int
		var seconds [150]int
		for _, o := range dues(spec, 11, nil) {
			sixths[o.At/(25*time.Second)]++
			seconds[o.At/time.Second]++
		}
		for i, part := range want {
			spread := 1.0
			if kind == "bursty" {
				spread = 3.5 // its states make up for each other only in the long run
			}
			if got := float64(sixths[i]); math.Abs(got-part*1000) > spread*4.5*32 {
				t.Errorf("%s: %v jobs in sixth %d, not %v", kind, got, i, part*1000)
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

// A burst adds jobs of those whom it is of and shifts none of what falls due besides; a quiet time takes some away.
func TestBurst(t *testing.T) {
	spec := calm(1, 150*time.Second)
	base := dues(spec, 9, nil)
	all := 0
	for _, o := range base {
		if inBurst(&o) {
			all++
		}
	}
	for _, factor := range []float64{3, 0.25, 0} {
		got := dues(spec, 9, func(s *stage) {
			s.w.schedule(50*time.Second, func() { s.w.after(50*time.Second, s.w.clients.startBurst(1, -1, factor)) })
		})
		long, short := got, base
		if factor < 1 {
			long, short = base, got
		}
		differ, unmatched := jobsBeyond(long, short)
		for _, o := range differ {
			if !inBurst(&o) {
				t.Fatalf("factor %v: a job of tenant %d at %v comes or goes", factor, o.Tenant, o.At)
			}
		}
		want := math.Abs(factor-1) * float64(all)
		if len(unmatched) > 0 || math.Abs(float64(len(differ))-want) > 5*math.Sqrt(want) {
			t.Errorf("factor %v: %d jobs differ, not %v; %d are out of place", factor, len(differ), want, len(unmatched))
		}
	}
}

// inBurst reports whether a job falls due in the burst of TestBurst.
func inBurst(o *trace.Event) bool {
	return o.Tenant == 1 && o.At >= 50*time.Second && o.At < 100*time.Second
}

// jobsBeyond is the jobs of long that are not those of short, in order, and what of short is not among those of long.
func jobsBeyond(long, short []trace.Event) (differ, unmatched []trace.Event) {
	same := func(a, b trace.Event) bool { return a.At == b.At && a.Class == b.Class && a.Work == b.Work }
	for _, o := range long {
		if len(short) > 0 && same(o, short[0]) {
			short = short[1:]
		} else {
			differ = append(differ, o)
		}
	}
	return differ, short
}
