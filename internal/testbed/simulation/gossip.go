package simulation

import (
	"slices"
	"time"

	"valvecove/internal/control/membership"
)

// gossip models the membership protocol of forwarders and planners, which is similar to SWIM. In each round a node sends its
// records to a few random others. A node that does not answer a probe, directly or through others, is suspected, and declared
// dead after suspicionTimeout, which it may refute. Two nodes that a partition separates get each other's records as long as
// a third one is connected to both.
type gossip struct {
	network *controlNetwork
	nodes   []gossipNode
}

const (
	gossipInterval   = 200 * time.Millisecond
	gossipFanout     = 3
	probeInterval    = 500 * time.Millisecond
	indirectProbes   = 3 // other nodes asked to probe one that does not answer
	suspicionTimeout = 2 * time.Second
)

// gossipNode is one node's view of the others.
type gossipNode struct {
	incarnation    int // of the process; 0: none has joined
	records        []memberRecord
	suspectedSince []time.Duration // by node; 0: not suspected
	candidates     []int           // reused between rounds
}

// memberRecord is what is known of a node's process.
type memberRecord struct {
	known   bool
	member  membership.Member
	version uint64 // counts the process's announcements of itself
	state   memberState
}

type memberState uint8

const (
	memberAlive memberState = iota
	memberDead
	memberLeft
)

func (r *memberRecord) isNewerThan(other *memberRecord) bool {
	switch {
	case !other.known || !r.known:
		return r.known
	case r.member.Incarnation != other.member.Incarnation:
		return r.member.Incarnation > other.member.Incarnation
	case r.state == memberLeft || other.state == memberLeft:
		return r.state > other.state
	case r.version != other.version:
		return r.version > other.version
	}
	return r.state > other.state
}

func (g *gossip) start(network *controlNetwork) {
	g.network = network
	g.nodes = make([]gossipNode, len(network.nodes))
	for i := range g.nodes {
		g.nodes[i] = gossipNode{records: make([]memberRecord, len(network.nodes)), suspectedSince: make([]time.Duration, len(network.nodes))}
		g.gossipRound(i, time.Duration(network.rngs[i].Int64N(int64(gossipInterval))))
		g.probeRound(i, time.Duration(network.rngs[i].Int64N(int64(probeInterval))))
	}
}

// isRunning reports whether a node's process is a member and runs.
func (g *gossip) isRunning(nodeIndex int) bool {
	incarnation, runs, frozen := g.network.nodes[nodeIndex].status()
	return runs && !frozen && incarnation == g.nodes[nodeIndex].incarnation
}

// join makes a process a member, which requests the records of a random member that it can reach.
func (g *gossip) join(nodeIndex int, me membership.Member) {
	n := &g.nodes[nodeIndex]
	n.incarnation, _, _ = g.network.nodes[nodeIndex].status()
	clear(n.records)
	clear(n.suspectedSince)
	n.records[nodeIndex] = memberRecord{known: true, member: me}
	g.requestState(nodeIndex, n.incarnation)
}

func (g *gossip) requestState(nodeIndex, incarnation int) {
	network := g.network
	permutation := network.rngs[nodeIndex].Perm(len(g.nodes))
	for _, o := range permutation {
		if o == nodeIndex || !g.isRunning(o) || network.isCut(nodeIndex, o) || network.isCut(o, nodeIndex) {
			continue
		}
		network.schedule(network.now+network.delay(nodeIndex, o), func() {
			if g.isRunning(o) {
				g.merge(o, g.nodes[nodeIndex].records)
				g.sendAll(o, nodeIndex)
			}
		})
		return
	}
	network.schedule(network.now+time.Second, func() {
		if g.isRunning(nodeIndex) && g.nodes[nodeIndex].incarnation == incarnation {
			g.requestState(nodeIndex, incarnation)
		}
	})
}

// announce changes a process's record of itself.
func (g *gossip) announce(nodeIndex int, me membership.Member) {
	r := &g.nodes[nodeIndex].records[nodeIndex]
	r.member = me
	r.version++
}

// leave marks a process as leaving, and sends that to others at once.
func (g *gossip) leave(nodeIndex int) {
	n := &g.nodes[nodeIndex]
	if n.records[nodeIndex].known && n.records[nodeIndex].state != memberLeft {
		n.records[nodeIndex].state = memberLeft
		g.sendTo(nodeIndex, 2*gossipFanout)
	}
}

// gossipRound schedules the rounds in which a node sends its records to others.
func (g *gossip) gossipRound(nodeIndex int, after time.Duration) {
	g.network.schedule(g.network.now+after, func() {
		if g.isRunning(nodeIndex) {
			g.sendTo(nodeIndex, gossipFanout)
		}
		g.gossipRound(nodeIndex, gossipInterval)
	})
}

func (g *gossip) sendTo(nodeIndex, to int) {
	n := &g.nodes[nodeIndex]
	n.candidates = n.candidates[:0]
	for o := range g.nodes {
		if o != nodeIndex && n.records[o].known && n.records[o].state != memberLeft {
			n.candidates = append(n.candidates, o)
		}
	}
	for range to {
		if len(n.candidates) == 0 {
			return
		}
		i := g.network.rngs[nodeIndex].IntN(len(n.candidates))
		g.sendAll(nodeIndex, n.candidates[i])
		n.candidates = slices.Delete(n.candidates, i, i+1)
	}
}

// sendAll sends all records of a node to another one. They are lost if a partition separates the two.
func (g *gossip) sendAll(from, to int) {
	network := g.network
	if network.isCut(from, to) {
		return
	}
	records := slices.Clone(g.nodes[from].records)
	network.schedule(network.now+network.delay(from, to), func() {
		if g.isRunning(to) {
			g.merge(to, records)
		}
	})
}

// merge replaces a node's records by those of another node that are newer.
func (g *gossip) merge(nodeIndex int, records []memberRecord) {
	n := &g.nodes[nodeIndex]
	for o := range records {
		r, previous := &records[o], &n.records[o]
		if o == nodeIndex {
			if r.known && r.member.Incarnation == previous.member.Incarnation && r.state == memberDead && r.version >= previous.version &&
				previous.state == memberAlive {
				previous.version = r.version + 1 // refutes the report of its own death
			}
			continue
		}
		if r.isNewerThan(previous) {
			g.update(nodeIndex, o, *r)
		}
	}
}

// update replaces one of a node's records, and notifies its process.
func (g *gossip) update(nodeIndex, of int, record memberRecord) {
	n := &g.nodes[nodeIndex]
	previous := n.records[of]
	n.records[of] = record
	var event membership.Event
	switch record.state {
	case memberAlive:
		n.suspectedSince[of] = 0
		if previous.known && previous.state == memberAlive && previous.member == record.member {
			return
		}
		event = membership.MemberJoined{Member: record.member}
	case memberLeft:
		event = membership.MemberLeft{Name: record.member.Name, Incarnation: record.member.Incarnation}
	case memberDead:
		event = membership.MemberDied{Name: record.member.Name, Incarnation: record.member.Incarnation}
	}
	g.network.deliver(nodeIndex, controlMessage{kind: memberEvent, event: event})
}

// probeRound schedules the rounds in which a node probes one random member and all those that it suspects.
func (g *gossip) probeRound(nodeIndex int, after time.Duration) {
	g.network.schedule(g.network.now+after, func() {
		if g.isRunning(nodeIndex) {
			g.probe(nodeIndex)
		}
		g.probeRound(nodeIndex, probeInterval)
	})
}

func (g *gossip) probe(nodeIndex int) {
	n := &g.nodes[nodeIndex]
	n.candidates = n.candidates[:0]
	for o := range g.nodes {
		if o != nodeIndex && n.records[o].known && n.records[o].state == memberAlive {
			n.candidates = append(n.candidates, o)
		}
	}
	if len(n.candidates) == 0 {
		return
	}
	one := n.candidates[g.network.rngs[nodeIndex].IntN(len(n.candidates))]
	for _, other := range n.candidates {
		switch {
		case other != one && n.suspectedSince[other] == 0:
		case g.isReachable(nodeIndex, other, n.candidates):
			n.suspectedSince[other] = 0
		case n.suspectedSince[other] == 0:
			n.suspectedSince[other] = max(g.network.now, 1)
		case g.network.now-n.suspectedSince[other] >= suspicionTimeout:
			n.suspectedSince[other] = 0
			r := n.records[other]
			r.state = memberDead
			g.update(nodeIndex, other, r)
		}
	}
}

// isReachable reports whether a process answers a node's probe, directly or through others.
func (g *gossip) isReachable(nodeIndex, to int, others []int) bool {
	answers := func(from int) bool {
		return g.isRunning(to) && g.nodes[to].records[to].member.Incarnation == g.nodes[nodeIndex].records[to].member.Incarnation &&
			!g.network.isCut(from, to) && !g.network.isCut(to, from)
	}
	if answers(nodeIndex) {
		return true
	}
	for range indirectProbes {
		by := others[g.network.rngs[nodeIndex].IntN(len(others))]
		if by != to && g.isRunning(by) && !g.network.isCut(nodeIndex, by) && !g.network.isCut(by, nodeIndex) && answers(by) {
			return true
		}
	}
	return false
}
