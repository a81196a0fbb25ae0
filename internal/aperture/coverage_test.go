package aperture

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// coverageTest is a deployment whose subsets are checked at each scheduler.
type coverageTest struct {
	workers, cellSize, schedulers, coverage int
	ragged                                  bool
}

// want returns the expected and the maximum number of workers of each subset.
func (c coverageTest) want() (want, most int) {
	want = min(c.workers, max(testConfig.MinWorkers, (c.coverage*c.workers+c.schedulers-1)/c.schedulers))
	// With an odd number of schedulers, the segments on the ring with fewer of them are longer.
	return want, max(want, c.workers/(c.schedulers/ringCount)) + c.tolerance()
}

// tolerance returns half a cell, as a subset contains cells completely.
func (c coverageTest) tolerance() int { return (c.cellSize + 1) / 2 }

func (c coverageTest) deploy(t *testing.T) *deployment {
	t.Helper()
	config := testConfig
	config.Coverage = c.coverage
	settings := cellSettings
	if c.cellSize == 1 {
		settings = workerSettings
	}
	list := testFleet(c.workers, c.cellSize)
	if c.ragged {
		list = raggedFleet(c.workers, c.cellSize)
	}
	return deploy(t, c.schedulers, 1, settings, config, list)
}

// coverage contains the schedulers of a worker.
type coverage struct {
	schedulers int
	ranks      []int // of those that may warm it up
	firstRing  bool  // the first rank is on the first ring
}

func coverageByWorker(d *deployment) map[uint64]*coverage {
	byWorker := map[uint64]*coverage{}
	for index, a := range d.apertures {
		for id, worker := range policyOf(a).workers {
			if byWorker[id] == nil {
				byWorker[id] = &coverage{}
			}
			seen := byWorker[id]
			seen.schedulers++
			if worker.AssigneeRank < worker.Assignees {
				seen.ranks = append(seen.ranks, worker.AssigneeRank)
			}
			if worker.AssigneeRank == 0 && worker.Assignees > 0 && index%ringCount == 0 {
				seen.firstRing = true
			}
		}
	}
	return byWorker
}

// Every scheduler has the same number of workers, to the nearest cell. Every worker has the same number of schedulers, plus or
// minus one on each ring. Subsets contain cells completely, and each worker has one scheduler of each rank.
func TestEvenCoverage(t *testing.T) {
	for _, test := range []coverageTest{
		{100, 1, 2, 2, false},
		{100, 4, 10, 2, false},
		{100, 1, 100, 4, false},
		{1000, 20, 5, 2, false},
		{1000, 20, 40, 4, false},
		{1000, 1, 33, 2, false},
		{1000, 24, 40, 4, true},
		{2000, 20, 51, 4, false},
		{10000, 20, 100, 2, false},
		{10000, 1, 7, 4, false},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			d := test.deploy(t)
			checkSubsets(t, test, d)
			checkWorkers(t, test, d)
			checkOverlap(t, test, d)
		})
	}
}

// checkSubsets checks the size of each scheduler's subset, and that it contains units completely.
func checkSubsets(t *testing.T, test coverageTest, d *deployment) {
	t.Helper()
	want, most := test.want()
	for index, a := range d.apertures {
		selected := a.Size().Selected
		if selected < want-test.tolerance() || selected > most && !test.ragged || selected > 2*most {
			t.Errorf("scheduler %d has %d, expected %d to %d", index, selected, want-test.tolerance(), most)
		}
		for _, u := range a.fleet.units {
			for _, worker := range u.workers {
				if policyOf(a).knows(worker.ID) != u.selected {
					t.Fatalf("unit %d is not whole at scheduler %d", u.id, index)
				}
			}
		}
	}
}

// checkWorkers checks the number of schedulers of each worker, and their ranks.
func checkWorkers(t *testing.T, test coverageTest, d *deployment) {
	t.Helper()
	want, _ := test.want()
	mean := test.schedulers * want / test.workers
	slack := ringCount
	if test.ragged { // weights go by powers of two
		slack = 4
	}
	byWorker := coverageByWorker(d)
	firstOnFirstRing := 0
	for _, worker := range d.list {
		seen := byWorker[worker.ID]
		if seen == nil || seen.schedulers < max(ringCount, mean-slack) || seen.schedulers > mean+slack+1 {
			t.Fatalf("a worker is at %+v schedulers, expected %d", seen, mean)
		}
		slices.Sort(seen.ranks)
		if test.schedulers > 2 && !slices.Equal(seen.ranks, []int{0, 1}) {
			t.Fatalf("ranks %v may warm a worker up", seen.ranks)
		}
		if seen.firstRing {
			firstOnFirstRing++
		}
	}
	if test.workers >= 1000 && (firstOnFirstRing < test.workers/4 || firstOnFirstRing > test.workers*3/4) {
		t.Errorf("%d workers have their first rank on one ring", firstOnFirstRing)
	}
}

// checkOverlap checks that a scheduler shares workers with many others, so that an overload is distributed over many.
func checkOverlap(t *testing.T, test coverageTest, d *deployment) {
	t.Helper()
	if test.workers != 10000 {
		return
	}
	first := policyOf(d.apertures[0])
	overlapping := 0
	for _, a := range d.apertures[1:] {
		if slices.ContainsFunc(d.list, func(w dispatch.Worker) bool { return first.knows(w.ID) && policyOf(a).knows(w.ID) }) {
			overlapping++
		}
	}
	if overlapping < min(test.schedulers-1, 6) {
		t.Errorf("the first scheduler shares workers with %d others only", overlapping)
	}
}

// For a class that only 1% of the fleet can run, the subset contains a tenth of the minimum. With a cost of crossing zones, it
// contains as many workers of the own zone as it has otherwise in total.
func TestConstrainedClasses(t *testing.T) {
	list := testFleet(10000, 1)
	for i := range list {
		list[i].Zone = i % 3
	}
	settings := func(index, schedulers int) dispatch.Settings {
		s := workerSettings(index, schedulers)
		s.Zone = index % 3
		s.CrossZoneCost = 0.01
		s.Classes = append(slices.Clone(s.Classes), dispatch.Class{LatencyObjective: time.Second, Kinds: []int{1}})
		return s
	}
	config := testConfig
	config.MinWorkers = 100
	for _, a := range deploy(t, 100, 17, settings, config, list).apertures {
		index := a.fleet.replica.index
		workers := policyOf(a).workers
		ofKind, inZone := 0, 0
		for _, worker := range workers {
			ofKind += worker.Kind
			if worker.Zone == index%3 {
				inZone++
			}
		}
		if ofKind < 10 || ofKind > 25 || inZone < 400 || len(workers) > 1000 {
			t.Errorf("scheduler %d has %d of the kind, %d in its zone, %d in all", index, ofKind, inZone, len(workers))
		}
	}
}
