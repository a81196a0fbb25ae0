package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// testOwners returns count owners of weight 1, with hashes that depend on the seed.
func testOwners(seed, count int) (owners []owner) {
	for i := range count {
		owners = append(owners, owner{hashName(fmt.Sprint("p", seed, i)), 1})
	}
	return owners
}

// randomAssignment returns random items and owners. Item weights vary in every second run, owner weights in two of three runs.
func randomAssignment(rng *rand.Rand, run int) ([]item, []owner) {
	items := make([]item, rng.IntN(80))
	owners := testOwners(run, 1+rng.IntN(8))
	for i := range items {
		items[i] = item{mixBits(rng.Uint64()), 1}
		if run%2 == 1 {
			items[i].weight <<= rng.IntN(4)
		}
	}
	for i := range owners {
		if run%3 > 0 {
			owners[i].weight = rng.IntN(5)
		}
	}
	return items, owners
}

// Each owner's load differs from its proportion by less than the weight of the heaviest item, and the order of the items does
// not affect the assignment.
func TestAssignIsProportionalAndOrderIndependent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for run := range 400 {
		items, owners := randomAssignment(rng, run)
		assigned := assign(items, owners)
		checkProportions(t, run, items, owners, assigned)
		permutation := rng.Perm(len(items))
		shuffled := make([]item, len(items))
		for i, k := range permutation {
			shuffled[i] = items[k]
		}
		for i, owner := range assign(shuffled, owners) {
			if owner != assigned[permutation[i]] {
				t.Fatalf("run %d: the order of the items changes the assignment", run)
			}
		}
	}
}

func checkProportions(t *testing.T, run int, items []item, owners []owner, assigned []int) {
	t.Helper()
	ownerWeight := 0
	for _, owner := range owners {
		ownerWeight += owner.weight
	}
	itemWeight, heaviest := 0, 1
	load := make([]int, len(owners))
	for i, owner := range assigned {
		if ownerWeight == 0 {
			if owner != noOwner {
				t.Fatalf("run %d: assigned to owner %d although all weights are 0", run, owner)
			}
			continue
		}
		load[owner] += items[i].weight
		itemWeight += items[i].weight
		heaviest = max(heaviest, items[i].weight)
	}
	if ownerWeight == 0 {
		return
	}
	for i, owner := range owners {
		if excess := load[i]*ownerWeight - itemWeight*owner.weight; excess <= -heaviest*ownerWeight || excess >= heaviest*ownerWeight {
			t.Errorf("run %d: owner of weight %d of %d has load %d of %d", run, owner.weight, ownerWeight, load[i], itemWeight)
		}
	}
}

// Heavy items are assigned first, and lighter items balance the loads.
func TestAssignBalancesHeavyItems(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for run := range 100 {
		items := make([]item, 0, 5)
		for _, weight := range []int{1, 8, 2, 4, 1} {
			items = append(items, item{mixBits(rng.Uint64()), weight})
		}
		load := [2]int{}
		for i, owner := range assign(items, testOwners(run, 2)) {
			load[owner] += items[i].weight
		}
		if load[0] != load[1] {
			t.Errorf("run %d: loads %v", run, load)
		}
	}
}

// If an owner leaves or joins, few items move beyond those that it had or gets. Each bound is for the mean of 40 assignments,
// or of 5 with 2500 items.
func TestAssignMovesFewItemsWhenOwnersChange(t *testing.T) {
	for _, test := range []struct {
		items, owners int
		maxExcess     float64 // mean fraction of all items that move unnecessarily
	}{
		{3, 3, 0.1},
		{10, 3, 0.08},
		{25, 3, 0.05},
		{250, 3, 0.03},
		{2500, 3, 0.01},
		{25, 5, 0.09},
		{250, 8, 0.05},
		{2500, 8, 0.02},
		{2500, 64, 0.06},
	} {
		runs := 40
		if test.items >= 2500 {
			runs = 5
		}
		moved, required := 0, 0
		for run := range runs {
			runMoved, runRequired := countMoves(run, test.items, test.owners)
			moved += runMoved
			required += runRequired
		}
		total := float64(runs * test.items)
		if excess := float64(moved-required) / total; excess > test.maxExcess {
			t.Errorf("%d items, %d owners: fraction %.3f of the items moves in addition to the necessary %.3f", test.items, test.owners, excess,
				float64(required)/total)
		}
	}
}

// countMoves counts the items that move when the last owner leaves, and the items that this owner had.
func countMoves(run, itemCount, ownerCount int) (moved, required int) {
	items := make([]item, itemCount)
	for i := range items {
		items[i] = item{mixBits(uint64(run<<20 + i + 1)), 1}
	}
	owners := testOwners(run, ownerCount)
	with := assign(items, owners)
	without := assign(items, owners[:ownerCount-1])
	for i := range items {
		if with[i] != without[i] {
			moved++
		}
		if with[i] == ownerCount-1 {
			required++
		}
	}
	return moved, required
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ items, owners int }{{25, 3}, {2500, 3}, {2500, 64}} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			items := make([]item, size.items)
			owners := testOwners(1, size.owners)
			for i := range items {
				items[i] = item{mixBits(uint64(i + 1)), 4}
			}
			for b.Loop() {
				assign(items, owners)
			}
		})
	}
}
