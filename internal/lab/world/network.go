package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// party is one end of a way through the network.
type party struct {
	kind partyKind
	n    int
}

type partyKind uint8

const (
	aClient partyKind = iota // n: any
	aSched
	aNode
	theDisco
)

// network says how long things take from party to party, and which never arrive.
type network struct {
	w     *World
	dice  dice
	zones int
	sigma float64 // log-normal spread of delays; 0: none
	cuts  []*netRule
	lags  []*netRule
	drops []*netRule
}

// netRule is something that holds between two crowds for a while.
type netRule struct {
	a, b   crowd
	oneWay bool
	d      time.Duration
	held   []func() // by a cut, in the order in which it was sent
}

func (r *netRule) holds(from, to party) bool {
	return r.a.has(from) && r.b.has(to) || !r.oneWay && r.a.has(to) && r.b.has(from)
}

func newNetwork(w *World) *network {
	n := &network{w: w, dice: newDice(w.seed, "network"), zones: max(1, len(w.Spec.Fleet.Zones))}
	if cv := w.Spec.Net.Jitter; cv > 0 {
		n.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	// What drops idle connections as a matter of course stands between schedulers and worker nodes.
	if d := w.Spec.Net.DropsIdle.D(); d > 0 {
		n.dropIdle(crowd{kind: aSched}, crowd{kind: aNode}, d)
	}
	return n
}

// arrival is when something sent now arrives; not ok: never. A cut swallows what goes by arrival; send and
// connections hold it up instead.
func (n *network) arrival(from, to party) (at time.Duration, ok bool) {
	if n.cutBy(from, to) != nil {
		return 0, false
	}
	return n.w.now + n.delay(from, to), true
}

// send brings something from party to party: do runs when it arrives. What a cut holds up sets out again when that
// ends, in the order in which it was sent.
func (n *network) send(from, to party, do func()) {
	if cut := n.cutBy(from, to); cut != nil {
		cut.held = append(cut.held, func() { n.send(from, to, do) })
		return
	}
	n.w.after(n.delay(from, to), do)
}

// reach is how an attempt to connect fares, apart from what the far end's process does with it: its way there, and
// the way back. Net.Handshake is not in it: a connection that comes up takes that besides.
func (n *network) reach(from, to party) (way, back time.Duration, ok bool) {
	if n.cutBy(from, to) != nil || n.cutBy(to, from) != nil {
		return 0, 0, false
	}
	return n.delay(from, to), n.delay(to, from), true
}

func (n *network) cutBy(from, to party) *netRule {
	for _, r := range n.cuts {
		if r.holds(from, to) {
			return r
		}
	}
	return nil
}

// forgets is after how long something on the way forgets an idle connection between the two; 0: never.
func (n *network) forgets(from, to party) time.Duration {
	least := time.Duration(0)
	for _, r := range n.drops {
		if r.holds(from, to) && (least == 0 || r.d < least) {
			least = r.d
		}
	}
	return least
}

// delay draws how long the way takes now. The draw follows from the instant and the two parties alone, so what
// others send shifts nothing, and nothing needs to be kept for each pair.
func (n *network) delay(from, to party) time.Duration {
	mean := n.mean(from, to)
	if n.sigma > 0 || len(n.lags) > 0 {
		r := n.dice.roll(uint64(n.w.now), from.hash()<<32|to.hash())
		if n.sigma > 0 {
			mean = time.Duration(float64(mean) * math.Exp(n.sigma*(r.NormFloat64()-n.sigma/2)))
		}
		for _, l := range n.lags {
			if l.holds(from, to) {
				mean += time.Duration(2 * float64(l.d) * r.Float64())
			}
		}
	}
	return mean
}

func (p party) hash() uint64 { return uint64(p.kind)<<28 | uint64(p.n)&(1<<28-1) }

// mean is the one-way delay between two parties on the mean. Clients are near their scheduler whatever its zone, and
// discovery is near everybody.
func (n *network) mean(from, to party) time.Duration {
	net := &n.w.Spec.Net
	switch {
	case from.kind == aClient || to.kind == aClient:
		return net.Client.D()
	case from.kind == theDisco || to.kind == theDisco || n.zone(from) == n.zone(to):
		return net.Delay.D()
	}
	return net.Cross.D()
}

// zone is the zone of a scheduler or worker node: both are dealt out in turn.
func (n *network) zone(p party) int { return p.n % n.zones }

// crowd is some of the parties of a kind; only nil: all of them.
type crowd struct {
	kind partyKind
	only map[int]bool
}

func (c *crowd) has(p party) bool { return c.kind == p.kind && (c.only == nil || c.only[p.n]) }

// cut holds up all that goes between two crowds (oneWay: from a to b only) until undo. What a connection's peer sent
// meanwhile arrives then, unless the connection is over; new connections never come up.
func (n *network) cut(a, b crowd, oneWay bool) (undo func()) {
	r := &netRule{a: a, b: b, oneWay: oneWay}
	end := n.impose(&n.cuts, r)
	return func() {
		end()
		held := r.held
		r.held = nil
		for _, again := range held {
			again()
		}
	}
}

// lag adds to delays between two crowds, both ways, a mean of d, spread evenly from 0 to twice that, until undo.
func (n *network) lag(a, b crowd, d time.Duration) (undo func()) {
	return n.impose(&n.lags, &netRule{a: a, b: b, d: d})
}

// dropIdle forgets connections between two crowds that have been idle for longer than d, unseen: what is sent over one
// from then on is answered by a reset, until undo.
func (n *network) dropIdle(a, b crowd, d time.Duration) (undo func()) {
	return n.impose(&n.drops, &netRule{a: a, b: b, d: d})
}

// impose puts a rule in force. Its undo may be called more than once.
func (n *network) impose(in *[]*netRule, r *netRule) (undo func()) {
	*in = append(*in, r)
	return func() {
		if i := slices.Index(*in, r); i >= 0 {
			*in = slices.Delete(*in, i, i+1)
		}
	}
}

// dice draws random numbers that follow from what they are for, and not from how many were drawn before. One roll's
// numbers are to be drawn before the next roll.
type dice struct {
	salt uint64
	mix  *mixer
	rng  *rand.Rand
}

func newDice(seed uint64, name string) dice {
	m := &mixer{}
	return dice{mix64(seed ^ xxhash.Sum64String(name)), m, rand.New(m)}
}

// roll is the stream of random numbers for the two.
func (d *dice) roll(a, b uint64) *rand.Rand {
	d.mix.x = mix64(mix64(d.salt^a) ^ b)
	return d.rng
}

// mixer is SplitMix64, which, unlike a larger generator, costs nothing to seed.
type mixer struct{ x uint64 }

func (m *mixer) Uint64() uint64 {
	m.x += 0x9e3779b97f4a7c15
	return mix64(m.x)
}

func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
