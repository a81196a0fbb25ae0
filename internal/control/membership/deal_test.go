package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func someTakers(seed, n int) (takers []owner) {
	for i := range n {
		takers = append(takers, owner{nameKey(fmt.Sprint("p", seed, i)), 1})
	}
	return takers
}

// Each taker has its part within one piece, the heaviest where they differ, whatever the order that pieces come in.
func TestDealIsEven(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for play := range 400 {
		pieces, takers := make([]item, rng.IntN(80)), someTakers(play, 1+rng.IntN(8))
		all, sum, heaviest := 0, 0, 1
		for i := range pieces {
			pieces[i] = item{mixBits(rng.Uint64()), 1}
			if play%2 == 1 {
				pieces[i].weight <<= rng.IntN(4)
			}
			all += pieces[i].weight
			heaviest = max(heaviest, pieces[i].weight)
		}
		for i := range takers {
			if play%3 > 0 {
				takers[i].weight = rng.IntN(5)
			}
			sum += takers[i].weight
		}
		of, load := assign(pieces, takers), make([]int, len(takers))
		for i, k := range of {
			if sum == 0 {
				if k != -1 {
					t.Fatalf("dealt to %d, who has no weight", k)
				}
				continue
			}
			load[k] += pieces[i].weight
		}
		for k := range takers {
			if sum == 0 {
				break
			}
			if off := load[k]*sum - all*takers[k].weight; off <= -heaviest*sum || off >= heaviest*sum {
				t.Errorf("play %d: %d of %d, with weight %d of %d", play, load[k], all, takers[k].weight, sum)
			}
		}
		order := rng.Perm(len(pieces))
		shuffled := make([]item, len(pieces))
		for i, k := range order {
			shuffled[i] = pieces[k]
		}
		for i, k := range assign(shuffled, takers) {
			if k != of[order[i]] {
				t.Fatalf("play %d: another order, another taker", play)
			}
		}
	}
}

// What moves when a taker leaves, or comes, is what it had or gets, and little more: bounds as measured, over 40
// deals each.
func TestDealMovesFew(t *testing.T) {
	for _, x := range []struct {
		pieces, takers int
		beyond         float64 // share of all pieces that moves though it need not, on the mean
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
		moved, least, all := 0, 0, 0
		for seed := range 40 {
			pieces := make([]item, x.pieces)
			for i := range pieces {
				pieces[i] = item{mixBits(uint64(seed<<20 + i + 1)), 1}
			}
			takers := someTakers(seed, x.takers)
			with, without := assign(pieces, takers), assign(pieces, takers[:x.takers-1])
			for i := range pieces {
				if with[i] != without[i] {
					moved++
				}
				if with[i] == x.takers-1 {
					least++
				}
			}
			all += x.pieces
			if x.pieces >= 2500 && seed == 4 {
				break
			}
		}
		if beyond := float64(moved-least) / float64(all); beyond > x.beyond {
			t.Errorf("%d pieces, %d takers: %.3f move beyond the %.3f that must", x.pieces, x.takers, beyond,
				float64(least)/float64(all))
		}
	}
}

// A newer process of a name is heard of; whatever comes late of the one before means nothing.
func TestNewerProcessCounts(t *testing.T) {
	f := NewForwarderMembership(Member{Name: "f"}, Config{})
	f.Step(1, []Event{MemberJoined{Member{Name: "p", Role: RolePlanner, Incarnation: 5}}}, nil)
	f.Step(2, []Event{MemberDied{"p", 4}, MemberLeft{"p", 4}, MemberJoined{Member{Name: "p", Role: RolePlanner, Incarnation: 4, Addr: "old"}}}, nil)
	if m := f.find("p"); !m.inGossip || m.Incarnation != 5 || m.Addr != "" {
		t.Errorf("%+v", m)
	}
	f.Step(3, []Event{MemberLeft{"p", 5}, MemberJoined{Member{Name: "p", Role: RolePlanner, Incarnation: 5}}}, nil)
	if m := f.find("p"); m.inGossip {
		t.Error("one that has left is there again")
	}
	for i := range 2 * maxPlanners {
		f.Step(4, []Event{MemberJoined{Member{Name: fmt.Sprint("p", i), Role: RolePlanner, Incarnation: 1}}}, nil)
	}
	if n := len(f.members); n != maxPlanners || f.Overflow == 0 || !slices.IsSortedFunc(f.members, func(a, b *memberState) int {
		return compareMember(a, b.Name)
	}) {
		t.Errorf("%d members", n)
	}
}

func BenchmarkDeal(b *testing.B) {
	for _, x := range [][2]int{{25, 3}, {2500, 3}, {2500, 64}} {
		b.Run(fmt.Sprint(x), func(b *testing.B) {
			pieces, takers := make([]item, x[0]), someTakers(1, x[1])
			for i := range pieces {
				pieces[i] = item{mixBits(uint64(i + 1)), 4}
			}
			for b.Loop() {
				assign(pieces, takers)
			}
		})
	}
}
