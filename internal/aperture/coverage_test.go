package aperture

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// coverageTest is a test of the subsets of all schedulers of a deployment.
type coverageTest struct {
	workers, cellSize, schedulers, coverage int
	unevenCells                             bool // cells have sizes from 1 to cellSize
}

// want returns the expected and the maximum number of workers in each subset.
func (c coverageTest) want() (want, maxWant int) {
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
	if c.unevenCells {
		list = unevenFleet(c.workers, c.cellSize)
	}
	return deploy(t, c.schedulers, 1, settings, config, list)
}

// coverage describes the schedulers that have a worker in their subsets.
type coverage struct {
	schedulers int   // number of the schedulers
	ranks      []int // ranks of the schedulers that may send to the worker during its slow start
	firstRing  bool  // the scheduler with rank 0 is on ring 0
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

// All subsets have the same number of workers, give or take half a cell, and contain cells completely. All workers are in the
// same number of subsets, give or take one on each ring, and each worker has one scheduler of each slow start rank.
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
	want, maxWant := test.want()
	for index, a := range d.apertures {
		selected := a.Size().Selected
		if selected < want-test.tolerance() || selected > maxWant && !test.unevenCells || selected > 2*maxWant {
			t.Errorf("scheduler %d has selected %d workers, want %d to %d", index, selected, want-test.tolerance(), maxWant)
		}
		for _, u := range a.fleet.units {
			for _, worker := range u.workers {
				if policyOf(a).hasWorker(worker.ID) != u.selected {
					t.Fatalf("unit %d is selected partially at scheduler %d", u.id, index)
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
	if test.unevenCells { // the weight of a cell is up to twice its size
		slack = 4
	}
	byWorker := coverageByWorker(d)
	firstOnFirstRing := 0
	for _, worker := range d.list {
		seen := byWorker[worker.ID]
		if seen == nil || seen.schedulers < max(ringCount, mean-slack) || seen.schedulers > mean+slack+1 {
			t.Fatalf("coverage of a worker: %+v, want %d schedulers", seen, mean)
		}
		slices.Sort(seen.ranks)
		if test.schedulers > 2 && !slices.Equal(seen.ranks, []int{0, 1}) {
			t.Fatalf("ranks %v may send to a worker during its slow start, want 0 and 1", seen.ranks)
		}
		if seen.firstRing {
			firstOnFirstRing++
		}
	}
	if test.workers >= 1000 && (firstOnFirstRing < test.workers/4 || firstOnFirstRing > test.workers*3/4) {
		t.Errorf("%d of %d workers have their first rank on ring 0", firstOnFirstRing, test.workers)
	}
}

// checkOverlap checks that a scheduler shares workers with many others, so that an overload is distributed over many schedulers.
func checkOverlap(t *testing.T, test coverageTest, d *deployment) {
	t.Helper()
	if test.workers != 10000 {
		return
	}
	first := policyOf(d.apertures[0])
	overlapping := 0
	for _, a := range d.apertures[1:] {
		if slices.ContainsFunc(d.list, func(w dispatch.Worker) bool { return first.hasWorker(w.ID) && policyOf(a).hasWorker(w.ID) }) {
			overlapping++
		}
	}
	if overlapping < min(test.schedulers-1, 6) {
		t.Errorf("scheduler 0 shares workers with only %d others", overlapping)
	}
}

// For a class that only 1% of the fleet can run, the subset contains at least constrainedPercent of Config.MinWorkers. With a
// cost for jobs that cross zones, it contains as many workers of the scheduler's zone as it contains in total without such a
// cost.
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
			t.Errorf("scheduler %d has %d workers of the class's kind, %d in its zone, %d in total", index, ofKind, inZone, len(workers))
		}
	}
}
