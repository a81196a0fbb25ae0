package membership

import (
	"cmp"
	"math"
	"slices"
)

// item is one of the things that are dealt out: a forwarder, or a cell of worker nodes.
type item struct {
	key    uint64
	weight int // at least 1
}

// owner is a planner that is dealt some. One of weight 0 is dealt nothing.
type owner struct {
	key    uint64
	weight int
}

// assign gives each piece a taker, by its index; -1: no taker has any weight. What is dealt follows from the arguments
// alone, in whatever order pieces come, and by whole numbers, so that all machines deal alike.
//
// Pieces of one weight are dealt in whole numbers, as near to the takers' parts as these allow, those of other
// weights counted in: the heaviest come first, and what they leave uneven the lighter ones make up for. Within that,
// each piece goes to the taker that its hash puts first among those that do not have as many that their hashes put
// higher (stable matching), so that a change of the takers or of their weights moves few pieces beyond those that it
// must.
func assign(pieces []item, takers []owner) []int {
	of := make([]int, len(pieces))
	for i := range of {
		of[i] = -1
	}
	d := assignment{
		items: pieces, owners: takers, ownerOf: of, load: make([]int, len(takers)), quota: make([]int, len(takers)),
		remainder: make([]int, len(takers)), bids: make([][]bid, len(takers)), lastHeight: make([]uint64, len(pieces)),
	}
	for _, t := range takers {
		d.totalOwnerWeight += t.weight
	}
	if d.totalOwnerWeight <= 0 {
		return of
	}
	order := make([]int, len(pieces))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(pieces[b].weight, pieces[a].weight), cmp.Compare(pieces[a].key, pieces[b].key))
	})
	for len(order) > 0 {
		n := 1
		for n < len(order) && pieces[order[n]].weight == pieces[order[0]].weight {
			n++
		}
		d.computeQuotas(n, pieces[order[0]].weight)
		d.matchItems(order[:n])
		order = order[n:]
	}
	return of
}

type assignment struct {
	items            []item
	owners           []owner
	ownerOf          []int
	totalOwnerWeight int   // of the takers' weights
	totalItemWeight  int   // weight of the pieces so far
	load             []int // by taker, of these
	quota            []int // of the pieces of one weight
	remainder        []int // what is missing of a taker's part beyond its quota, times sum
	bids             [][]bid
	lastHeight       []uint64 // by piece: how high it stood with the taker that it asked last
}

// bid is a piece that a taker holds, and how high it stands there.
type bid struct {
	height uint64
	item   int
}

// computeQuotas finds how many of n pieces of a weight each taker gets: whole numbers, the largest fractions rounded up.
func (d *assignment) computeQuotas(n, weight int) {
	d.totalItemWeight += n * weight
	unit := weight * d.totalOwnerWeight
	open := n
	for i, t := range d.owners {
		missing := d.totalItemWeight*t.weight - d.load[i]*d.totalOwnerWeight
		d.quota[i] = max(0, missing/unit)
		d.remainder[i] = missing - d.quota[i]*unit
		open -= d.quota[i]
	}
	for ; open != 0; open -= sign(open) {
		best := -1
		for i, t := range d.owners {
			if t.weight > 0 && (open > 0 || d.quota[i] > 0) &&
				(best < 0 || sign(open)*cmp.Compare(d.remainder[i], d.remainder[best]) > 0 ||
					d.remainder[i] == d.remainder[best] && t.key > d.owners[best].key) {
				best = i
			}
		}
		d.quota[best] += sign(open)
		d.remainder[best] -= sign(open) * unit
	}
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// matchItems has pieces of one weight ask takers, the one with which they stand highest first. A taker holds as many as
// its quota says, and gives back the one that stands lowest.
func (d *assignment) matchItems(some []int) {
	for _, p := range some {
		d.lastHeight[p] = math.MaxUint64
		for p >= 0 {
			p = d.propose(p)
		}
	}
	for t, held := range d.bids {
		for _, b := range held {
			d.ownerOf[b.item] = t
			d.load[t] += d.items[b.item].weight
		}
		d.bids[t] = held[:0]
	}
}

// propose has a piece ask the next taker, and gives the piece that has none for it; -1: all have one.
func (d *assignment) propose(p int) (other int) {
	best, height := -1, uint64(0)
	for t := range d.owners {
		if d.quota[t] == 0 {
			continue
		}
		if h := mixBits(d.items[p].key ^ d.owners[t].key); h < d.lastHeight[p] && (best < 0 || h > height) {
			best, height = t, h
		}
	}
	d.lastHeight[p] = height
	held := append(d.bids[best], bid{height, p})
	// A heap, the lowest first.
	for i := len(held) - 1; i > 0; {
		up := (i - 1) / 2
		if held[up].height <= held[i].height {
			break
		}
		held[up], held[i] = held[i], held[up]
		i = up
	}
	d.bids[best] = held
	if len(held) <= d.quota[best] {
		return -1
	}
	other = held[0].item
	last := len(held) - 1
	held[0] = held[last]
	held = held[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && held[down+1].height < held[down].height {
			down++
		}
		if held[i].height <= held[down].height {
			break
		}
		held[i], held[down] = held[down], held[i]
		i = down
	}
	d.bids[best] = held
	return other
}

// nameKey is a name's hash, FNV-1a, spread out.
func nameKey(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mixBits(h)
}

func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
