package membership

import (
	"cmp"
	"math"
	"slices"
)

// item is something to assign: a forwarder, or a cell of workers.
type item struct {
	hash   uint64
	weight int // at least 1
}

// owner is a planner that items are assigned to, in proportion to its weight; with weight 0 it gets none.
type owner struct {
	hash   uint64
	weight int
}

// noOwner is the index of no owner.
const noOwner = -1

// assign returns the owner's index for each item; noOwner: no owner has any weight. The result follows from the arguments
// alone, whatever the order of the items, and is computed in whole numbers, so that all machines agree.
//
// Items of one weight are assigned in whole numbers, as near to the owners' proportions as these allow, with the items of
// other weights counted in: the heaviest come first, and lighter ones balance what those leave uneven. Within that each item
// goes to the owner with the highest hash for it, among those that have not enough items with higher hashes (a stable
// matching). So a change of owners or of their weights moves few items beyond those that it must.
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
	itemWeight  int   // sum over the items up to the weight at hand
	load        []int // by owner: the weight of the items that it has

	quota      []int     // by owner: how many items of the weight at hand it gets
	remainder  []int     // by owner: what it lacks of its proportion beyond the quota, times ownerWeight
	bids       []bidHeap // by owner: the items that it holds, of the weight at hand
	lastHeight []uint64  // by item: the hash with the owner that it was proposed to last
}

func newAssigner(items []item, owners []owner) *assigner {
	assigner := &assigner{
		items:      items,
		owners:     owners,
		ownerOf:    slices.Repeat([]int{noOwner}, len(items)),
		load:       make([]int, len(owners)),
		quota:      make([]int, len(owners)),
		remainder:  make([]int, len(owners)),
		bids:       make([]bidHeap, len(owners)),
		lastHeight: make([]uint64, len(items)),
	}
	for _, owner := range owners {
		assigner.ownerWeight += owner.weight
	}
	return assigner
}

// setQuotas sets how many of the count items of one weight each owner gets: whole numbers, the largest fractions rounded up.
func (a *assigner) setQuotas(count, weight int) {
	a.itemWeight += count * weight
	unit := weight * a.ownerWeight // of one item, in units of the remainder
	open := count                  // items without a quota; below 0: too many have one
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

// ownerToRound returns the owner whose quota is changed by step, 1 or -1: the one that lacks most, or least. Of equal ones
// it is the one with the highest hash.
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

// match assigns items of one weight within the quotas. Each is proposed to owners in descending order of their hashes for
// it, until one holds it. An owner beyond its quota gives up the item with the lowest hash.
func (a *assigner) match(items []int) {
	for _, item := range items {
		a.lastHeight[item] = math.MaxUint64
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

// propose proposes an item to the next owner, and returns the item that has no owner by that, or noItem.
func (a *assigner) propose(item int) int {
	owner, height := a.nextOwner(item)
	a.lastHeight[item] = height
	bids := &a.bids[owner]
	bids.push(bid{height, item})
	if len(*bids) <= a.quota[owner] {
		return noItem
	}
	return bids.popLowest().item
}

// nextOwner returns the owner with the highest hash for an item, among those with a quota and below the one that the item
// was proposed to last.
func (a *assigner) nextOwner(item int) (owner int, height uint64) {
	owner = noOwner
	for i := range a.owners {
		if a.quota[i] == 0 {
			continue
		}
		candidate := mixBits(a.items[item].hash ^ a.owners[i].hash)
		if candidate < a.lastHeight[item] && (owner == noOwner || candidate > height) {
			owner = i
			height = candidate
		}
	}
	return owner, height
}
