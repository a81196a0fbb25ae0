package membership

import (
	"cmp"
	"math"
	"slices"
)

// item is an object to assign to an owner: a forwarder, or a cell of workers.
type item struct {
	hash   uint64
	weight int // at least 1
}

// owner is a planner that receives items in proportion to its weight, and none if its weight is 0.
type owner struct {
	hash   uint64
	weight int
}

// noOwner is the owner index of an unassigned item.
const noOwner = -1

// assign returns the index of the owner for each item, or noOwner if the owners' total weight is 0. The result is
// deterministic, does not depend on the order of the items, and is computed in integers, so that all machines agree.
//
// Items are assigned in groups of equal weight, heaviest first. Each owner has a quota in each group, such that its total
// weight so far is as close as possible to its proportion; lighter items thus balance the unevenness of heavier ones. Within
// the quotas the assignment is a stable matching: items prefer owners, and owners prefer items, by the hash of the pair. So
// a change of owners or of their weights moves few more items than necessary.
func assign(items []item, owners []owner) []int {
	assigner := newAssigner(items, owners)
	if assigner.ownerWeight <= 0 {
		return assigner.ownerOf
	}
	byWeight := make([]int, len(items))
	for i := range byWeight {
		byWeight[i] = i
	}
	slices.SortFunc(byWeight, func(a, b int) int {
		return cmp.Or(cmp.Compare(items[b].weight, items[a].weight), cmp.Compare(items[a].hash, items[b].hash))
	})
	for len(byWeight) > 0 {
		weight := items[byWeight[0]].weight
		end := slices.IndexFunc(byWeight, func(i int) bool { return items[i].weight != weight })
		if end < 0 {
			end = len(byWeight)
		}
		assigner.setQuotas(end, weight)
		assigner.match(byWeight[:end])
		byWeight = byWeight[end:]
	}
	return assigner.ownerOf
}

// assigner computes one assignment. Items and owners are identified by index.
type assigner struct {
	items   []item
	owners  []owner
	ownerOf []int // by item: the result

	ownerWeight int   // sum over all owners
	itemWeight  int   // sum over the items of the groups so far
	load        []int // by owner: total weight of its items

	quota        []int     // by owner: number of items that it gets in the current group
	remainder    []int     // by owner: weight missing from its proportion after the quota, times ownerWeight
	bids         []bidHeap // by owner: the items that it holds in the current group
	lastPriority []uint64  // by item: hash with the last owner that it was proposed to
}

func newAssigner(items []item, owners []owner) *assigner {
	assigner := &assigner{
		items:        items,
		owners:       owners,
		ownerOf:      slices.Repeat([]int{noOwner}, len(items)),
		load:         make([]int, len(owners)),
		quota:        make([]int, len(owners)),
		remainder:    make([]int, len(owners)),
		bids:         make([]bidHeap, len(owners)),
		lastPriority: make([]uint64, len(items)),
	}
	for _, owner := range owners {
		assigner.ownerWeight += owner.weight
	}
	return assigner
}

// setQuotas sets how many of the count items of one weight each owner gets. It rounds by the largest remainder method.
func (a *assigner) setQuotas(count, weight int) {
	a.itemWeight += count * weight
	unit := weight * a.ownerWeight // weight of one item in units of remainder
	open := count                  // items not covered by quotas; negative if the quotas exceed count
	for i, owner := range a.owners {
		missing := a.itemWeight*owner.weight - a.load[i]*a.ownerWeight
		a.quota[i] = max(0, missing/unit)
		a.remainder[i] = missing - a.quota[i]*unit
		open -= a.quota[i]
	}
	for open != 0 {
		step := cmp.Compare(open, 0)
		i := a.ownerToRound(step)
		a.quota[i] += step
		a.remainder[i] -= step * unit
		open -= step
	}
}

// ownerToRound returns the owner whose quota should change by step, which is 1 or -1: the owner with the largest or the
// smallest remainder. Ties go to the owner with the highest hash.
func (a *assigner) ownerToRound(step int) int {
	best := noOwner
	for i, owner := range a.owners {
		if owner.weight == 0 || step < 0 && a.quota[i] == 0 {
			continue
		}
		if best == noOwner ||
			cmp.Or(step*cmp.Compare(a.remainder[i], a.remainder[best]), cmp.Compare(owner.hash, a.owners[best].hash)) > 0 {
			best = i
		}
	}
	return best
}

// match assigns items of one weight within the quotas by deferred acceptance. Each item is proposed to owners in descending
// order of the hash of the pair, until one holds it. An owner above its quota rejects its item with the lowest hash.
func (a *assigner) match(items []int) {
	for _, item := range items {
		a.lastPriority[item] = math.MaxUint64
		for pending := item; pending != noItem; {
			pending = a.propose(pending)
		}
	}
	for owner, bids := range a.bids {
		for _, bid := range bids {
			a.ownerOf[bid.item] = owner
			a.load[owner] += a.items[bid.item].weight
		}
		a.bids[owner] = bids[:0]
	}
}

// propose proposes an item to its next owner. It returns the item that this owner rejects, or noItem.
func (a *assigner) propose(item int) int {
	owner, priority := a.nextOwner(item)
	a.lastPriority[item] = priority
	bids := &a.bids[owner]
	bids.push(bid{priority, item})
	if len(*bids) <= a.quota[owner] {
		return noItem
	}
	return bids.popLowest().item
}

// nextOwner returns the next owner to propose an item to: the one with the highest hash among the owners that have a quota and
// a lower hash than the last one.
func (a *assigner) nextOwner(item int) (owner int, priority uint64) {
	owner = noOwner
	for i := range a.owners {
		if a.quota[i] == 0 {
			continue
		}
		candidate := mixBits(a.items[item].hash ^ a.owners[i].hash)
		if candidate < a.lastPriority[item] && (owner == noOwner || candidate > priority) {
			owner = i
			priority = candidate
		}
	}
	return owner, priority
}
