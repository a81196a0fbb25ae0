package aperture

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// coverageTest is a deployment of which each scheduler's subset is looked at.
type coverageTest struct {
	workers, cellSize, schedulers, coverage int
	ragged                                  bool
}

// want is how many workers each subset is to have, and how many at most.
func (c coverageTest) want() (want, most int) {
	want = min(c.workers, max(testConfig.MinWorkers, (c.coverage*c.workers+c.schedulers-1)/c.schedulers))
	// The one seat that an odd number leaves out makes the segments on its ring longer.
	return want, max(want, c.workers/(c.schedulers/ringCount)) + c.tolerance()
}

// tolerance is half a cell, as cells are whole.
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

// coverage is what a worker finds among the schedulers.
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

// Every scheduler has as many workers, to the nearest cell; every worker is at as many schedulers, give or take one on each
// ring; cells are whole; and of those that may warm a worker up there is one of each rank.
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

// checkSubsets checks the size of each scheduler's subset, and that its units are whole.
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

// checkWorkers checks at how many schedulers each worker is, and who may warm it up.
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

// checkOverlap checks that a scheduler shares workers with many others: else what one has too much of could go to few.
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

// A class that only one kind of workers may run, which is 1% of the fleet, finds a tenth of the least; where crossings have
// a price, the own zone has as many as the whole would.
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
		index := a.fleet.seat.index
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
