package environment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoint is a sender or receiver on the network.
type endpoint struct {
	kind   endpointKind
	number int
}

type endpointKind uint8

const (
	clientEndpoint endpointKind = iota // number: the zone of the client, or 0
	schedulerEndpoint
	workerEndpoint
	discoveryEndpoint
)

// network models the delays between endpoints, partitions, and middleboxes that drop idle connections.
type network struct {
	env        *Environment
	keyedRand  keyedRand
	zones      int
	sigma      float64 // log-normal spread of delays; 0: none
	partitions []*networkRule
	delays     []*networkRule
	idleDrops  []*networkRule
}

// networkRule is a partition, an added delay or an idle timeout between two groups of endpoints.
type networkRule struct {
	a, b     endpointGroup
	oneWay   bool
	duration time.Duration // the delay, or the idle timeout
	held     []func()      // sends that a partition holds up, in order
}

func (n *networkRule) applies(from, to endpoint) bool {
	return n.a.contains(from) && n.b.contains(to) || !n.oneWay && n.a.contains(to) && n.b.contains(from)
}

func newNetwork(environment *Environment) *network {
	n := &network{env: environment, keyedRand: newKeyedRand(environment.seed, "network"), zones: max(1, len(environment.Spec.Fleet.Zones))}
	if cv := environment.Spec.Network.Jitter; cv > 0 {
		n.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	// The scenario's idle timeout is that of a middlebox between schedulers and workers.
	if d := environment.Spec.Network.DropsIdleAfter.Std(); d > 0 {
		n.dropIdle(endpointGroup{kind: schedulerEndpoint}, endpointGroup{kind: workerEndpoint}, d)
	}
	return n
}

// arrival returns when a message that is sent now arrives; not ok: never, because a partition drops it. In contrast, send and
// connections hold messages up until the partition ends.
func (n *network) arrival(from, to endpoint) (at time.Duration, ok bool) {
	if n.partitionBetween(from, to) != nil {
		return 0, false
	}
	return n.env.now + n.delay(from, to), true
}

// send sends a message: do is called when it arrives. Messages that a partition holds up are sent again when it ends, in their
// original order.
func (n *network) send(from, to endpoint, do func()) {
	if partition := n.partitionBetween(from, to); partition != nil {
		partition.held = append(partition.held, func() { n.send(from, to, do) })
		return
	}
	n.env.after(n.delay(from, to), do)
}

// connectDelays returns the delays of an attempt to connect, there and back, whether or not the far end accepts it; not ok:
// a partition blocks it. Network.Handshake is not included: an established connection takes that in addition.
func (n *network) connectDelays(from, to endpoint) (delay, returnDelay time.Duration, ok bool) {
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

// idleDropAfter returns the shortest idle timeout of the middleboxes between two endpoints; 0: there is none.
func (n *network) idleDropAfter(from, to endpoint) time.Duration {
	least := time.Duration(0)
	for _, r := range n.idleDrops {
		if r.applies(from, to) && (least == 0 || r.duration < least) {
			least = r.duration
		}
	}
	return least
}

// delay draws the current one-way delay. The draw depends only on the seed, the time and the two endpoints, so that other
// traffic does not change it and no state is kept for each pair.
func (n *network) delay(from, to endpoint) time.Duration {
	mean := n.meanDelay(from, to)
	if n.sigma > 0 || len(n.delays) > 0 {
		r := n.keyedRand.stream(uint64(n.env.now), from.hash()<<32|to.hash())
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

// meanDelay returns the mean one-way delay without added delays. Clients are equally near to schedulers of all zones, and
// discovery is in the same zone as everyone.
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

// zoneOf returns the zone of a scheduler or worker. Both are assigned to zones round robin.
func (n *network) zoneOf(party endpoint) int { return party.number % n.zones }

// endpointGroup is a set of endpoints of one kind; members nil: all of that kind.
type endpointGroup struct {
	kind    endpointKind
	members map[int]bool
}

func (e *endpointGroup) contains(party endpoint) bool {
	return e.kind == party.kind && (e.members == nil || e.members[party.number])
}

// partition blocks all traffic between two groups (oneWay: from a to b only) until undo is called. Data sent over existing
// connections meanwhile arrives after that, unless the connection is closed by then; new connections are never established.
func (n *network) partition(a, b endpointGroup, oneWay bool) (undo func()) {
	rule := &networkRule{a: a, b: b, oneWay: oneWay}
	end := n.addRule(&n.partitions, rule)
	return func() {
		end()
		held := rule.held
		rule.held = nil
		for _, resend := range held {
			resend()
		}
	}
}

// addDelay adds a delay, uniform between 0 and 2d, to all messages between two groups, both ways, until undo is called.
func (n *network) addDelay(a, b endpointGroup, d time.Duration) (undo func()) {
	return n.addRule(&n.delays, &networkRule{a: a, b: b, duration: d})
}

// dropIdle makes a middlebox silently forget connections between two groups that have been idle for longer than d, until undo
// is called: data sent over such a connection is answered by a reset.
func (n *network) dropIdle(a, b endpointGroup, d time.Duration) (undo func()) {
	return n.addRule(&n.idleDrops, &networkRule{a: a, b: b, duration: d})
}

// addRule adds a rule. undo removes it, and may be called more than once.
func (n *network) addRule(rules *[]*networkRule, r *networkRule) (undo func()) {
	*rules = append(*rules, r)
	return func() {
		if i := slices.Index(*rules, r); i >= 0 {
			*rules = slices.Delete(*rules, i, i+1)
		}
	}
}

// keyedRand draws random numbers that depend on a key and not on earlier draws. Its streams share one generator: the numbers of
// one stream must be drawn before the next call of stream.
type keyedRand struct {
	salt  uint64
	state *splitMix
	rng   *rand.Rand
}

func newKeyedRand(seed uint64, name string) keyedRand {
	m := &splitMix{}
	return keyedRand{mix64(seed ^ xxhash.Sum64String(name)), m, rand.New(m)}
}

// stream returns the stream of random numbers for the key (a, b).
func (d *keyedRand) stream(a, b uint64) *rand.Rand {
	d.state.state = mix64(mix64(d.salt^a) ^ b)
	return d.rng
}

// splitMix is the SplitMix64 generator, which, unlike generators with more state, is cheap to seed.
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
