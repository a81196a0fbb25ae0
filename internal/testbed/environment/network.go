package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoint is one end of a way through the network.
type endpoint struct {
	kind   endpointKind
	number int
}

type endpointKind uint8

const (
	clientEndpoint endpointKind = iota // n: any
	schedulerEndpoint
	workerEndpoint
	discoveryEndpoint
)

// network says how long things take from party to party, and which never arrive.
type network struct {
	env        *Environment
	dice       drawSource
	zones      int
	sigma      float64 // log-normal spread of delays; 0: none
	partitions []*networkRule
	delays     []*networkRule
	idleDrops  []*networkRule
}

// networkRule is something that holds between two crowds for a while.
type networkRule struct {
	a, b     endpointGroup
	oneWay   bool
	duration time.Duration
	held     []func() // by a cut, in the order in which it was sent
}

func (n *networkRule) applies(from, to endpoint) bool {
	return n.a.contains(from) && n.b.contains(to) || !n.oneWay && n.a.contains(to) && n.b.contains(from)
}

func newNetwork(w *Environment) *network {
	n := &network{env: w, dice: newDrawSource(w.seed, "network"), zones: max(1, len(w.Spec.Fleet.Zones))}
	if cv := w.Spec.Network.Jitter; cv > 0 {
		n.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	// What drops idle connections as a matter of course stands between schedulers and workers.
	if d := w.Spec.Network.DropsIdleAfter.Std(); d > 0 {
		n.dropIdle(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, d)
	}
	return n
}

// arrival is when something sent now arrives; not ok: never. A cut swallows what goes by arrival; send and
// connections hold it up instead.
func (n *network) arrival(from, to endpoint) (at time.Duration, ok bool) {
	if n.partitionBetween(from, to) != nil {
		return 0, false
	}
	return n.env.now + n.delay(from, to), true
}

// send brings something from party to party: do runs when it arrives. What a cut holds up sets out again when that
// ends, in the order in which it was sent.
func (n *network) send(from, to endpoint, do func()) {
	if cut := n.partitionBetween(from, to); cut != nil {
		cut.held = append(cut.held, func() { n.send(from, to, do) })
		return
	}
	n.env.after(n.delay(from, to), do)
}

// connectDelays is how an attempt to connect fares, apart from what the far end's process does with it: its way there, and
// the way back. Net.Handshake is not in it: a connection that comes up takes that besides.
func (n *network) connectDelays(from, to endpoint) (way, back time.Duration, ok bool) {
	if n.partitionBetween(from, to) != nil || n.partitionBetween(to, from) != nil {
		return 0, 0, false
	}
	return n.delay(from, to), n.delay(to, from), true
}

func (n *network) partitionBetween(from, to endpoint) *networkRule {
	for _, r := range n.partitions {
		if r.applies(from, to) {
			return r
		}
	}
	return nil
}

// idleDropAfter is after how long something on the way forgets an idle connection between the two; 0: never.
func (n *network) idleDropAfter(from, to endpoint) time.Duration {
	least := time.Duration(0)
	for _, r := range n.idleDrops {
		if r.applies(from, to) && (least == 0 || r.duration < least) {
			least = r.duration
		}
	}
	return least
}

// delay draws how long the way takes now. The draw follows from the instant and the two parties alone, so what
// others send shifts nothing, and nothing needs to be kept for each pair.
func (n *network) delay(from, to endpoint) time.Duration {
	mean := n.meanDelay(from, to)
	if n.sigma > 0 || len(n.delays) > 0 {
		r := n.dice.stream(uint64(n.env.now), from.hash()<<32|to.hash())
		if n.sigma > 0 {
			mean = time.Duration(float64(mean) * math.Exp(n.sigma*(r.NormFloat64()-n.sigma/2)))
		}
		for _, l := range n.delays {
			if l.applies(from, to) {
				mean += time.Duration(2 * float64(l.duration) * r.Float64())
			}
		}
	}
	return mean
}

func (e endpoint) hash() uint64 { return uint64(e.kind)<<28 | uint64(e.number)&(1<<28-1) }

// meanDelay is the one-way delay between two parties on the mean. Clients are near their scheduler whatever its zone, and
// discovery is near everybody.
func (n *network) meanDelay(from, to endpoint) time.Duration {
	net := &n.env.Spec.Network
	switch {
	case from.kind == clientEndpoint || to.kind == clientEndpoint:
		return net.ClientDelay.Std()
	case from.kind == discoveryEndpoint || to.kind == discoveryEndpoint || n.zoneOf(from) == n.zoneOf(to):
		return net.Delay.Std()
	}
	return net.CrossZone.Std()
}

// zoneOf is the zone of a scheduler or worker: both are dealt out in turn.
func (n *network) zoneOf(p endpoint) int { return p.number % n.zones }

// endpointGroup is some of the parties of a kind; only nil: all of them.
type endpointGroup struct {
	kind    endpointKind
	members map[int]bool
}

func (e *endpointGroup) contains(p endpoint) bool {
	return e.kind == p.kind && (e.members == nil || e.members[p.number])
}

// partition holds up all that goes between two crowds (oneWay: from a to b only) until undo. What a connection's peer sent
// meanwhile arrives then, unless the connection is over; new connections never come up.
func (n *network) partition(a, b endpointGroup, oneWay bool) (undo func()) {
	r := &networkRule{a: a, b: b, oneWay: oneWay}
	end := n.addRule(&n.partitions, r)
	return func() {
		end()
		held := r.held
		r.held = nil
		for _, again := range held {
			again()
		}
	}
}

// addDelay adds to delays between two crowds, both ways, a mean of d, spread evenly from 0 to twice that, until undo.
func (n *network) addDelay(a, b endpointGroup, d time.Duration) (undo func()) {
	return n.addRule(&n.delays, &networkRule{a: a, b: b, duration: d})
}

// dropIdle forgets connections between two crowds that have been idle for longer than d, unseen: what is sent over one
// from then on is answered by a reset, until undo.
func (n *network) dropIdle(a, b endpointGroup, d time.Duration) (undo func()) {
	return n.addRule(&n.idleDrops, &networkRule{a: a, b: b, duration: d})
}

// addRule puts a rule in force. Its undo may be called more than once.
func (n *network) addRule(in *[]*networkRule, r *networkRule) (undo func()) {
	*in = append(*in, r)
	return func() {
		if i := slices.Index(*in, r); i >= 0 {
			*in = slices.Delete(*in, i, i+1)
		}
	}
}

// drawSource draws random numbers that follow from what they are for, and not from how many were drawn before. One roll's
// numbers are to be drawn before the next roll.
type drawSource struct {
	salt  uint64
	state *splitMix
	rng   *rand.Rand
}

func newDrawSource(seed uint64, name string) drawSource {
	m := &splitMix{}
	return drawSource{mix64(seed ^ xxhash.Sum64String(name)), m, rand.New(m)}
}

// stream is the stream of random numbers for the two.
func (d *drawSource) stream(a, b uint64) *rand.Rand {
	d.state.state = mix64(mix64(d.salt^a) ^ b)
	return d.rng
}

// splitMix is SplitMix64, which, unlike a larger generator, costs nothing to seed.
type splitMix struct{ state uint64 }

func (s *splitMix) Uint64() uint64 {
	s.state += 0x9e3779b97f4a7c15
	return mix64(s.state)
}

func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
