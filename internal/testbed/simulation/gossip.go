package simulation

import (
	"slices"
	"time"

	"valvecove/internal/control/membership"
)

// gossip models the membership protocol of forwarders and planners, in the manner of SWIM. Each node sends its records to
// a few random others in rounds. A node that does not answer a probe, directly or through others, is suspected, and
// declared dead after suspicionTimeout; it may refute that. Two nodes that a partition separates learn of each other as
// long as a third one reaches both.
type gossip struct {
	levels *levelNetwork
	nodes  []gossipNode
}

const (
	gossipInterval   = 200 * time.Millisecond
	gossipFanout     = 3
	probeInterval    = 500 * time.Millisecond
	indirectProbes   = 3 // other nodes asked to probe one that does not answer
	suspicionTimeout = 2 * time.Second
)

// gossipNode is one seat's view of the others.
type gossipNode struct {
	incarnation    int // of the process; 0: none has joined
	records        []memberRecord
	suspectedSince []time.Duration // by seat; 0: not suspected
	candidates     []int           // scratch
}

// memberRecord is what is known of a seat's process.
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

func (g *gossip) start(t *levelNetwork) {
	g.levels = t
	g.nodes = make([]gossipNode, len(t.seats))
	for i := range g.nodes {
		g.nodes[i] = gossipNode{records: make([]memberRecord, len(t.seats)), suspectedSince: make([]time.Duration, len(t.seats))}
		g.gossipRound(i, time.Duration(t.rngs[i].Int64N(int64(gossipInterval))))
		g.probeRound(i, time.Duration(t.rngs[i].Int64N(int64(probeInterval))))
	}
}

// isRunning reports whether a seat's process is a member and runs.
func (g *gossip) isRunning(seat int) bool {
	incarnation, runs, frozen := g.levels.seats[seat].status()
	return runs && !frozen && incarnation == g.nodes[seat].incarnation
}

// join makes a process a member: it requests the state of a random member that it can reach.
func (g *gossip) join(seat int, me membership.Member) {
	n := &g.nodes[seat]
	n.incarnation, _, _ = g.levels.seats[seat].status()
	clear(n.records)
	clear(n.suspectedSince)
	n.records[seat] = memberRecord{known: true, member: me}
	g.requestState(seat, n.incarnation)
}

func (g *gossip) requestState(seat, incarnation int) {
	t := g.levels
	sequence := t.rngs[seat].Perm(len(g.nodes))
	for _, o := range sequence {
		if o == seat || !g.isRunning(o) || t.isCut(seat, o) || t.isCut(o, seat) {
			continue
		}
		t.schedule(t.now+t.delay(seat, o), func() {
			if g.isRunning(o) {
				g.merge(o, g.nodes[seat].records)
				g.sendAll(o, seat)
			}
		})
		return
	}
	t.schedule(t.now+time.Second, func() {
		if g.isRunning(seat) && g.nodes[seat].incarnation == incarnation {
			g.requestState(seat, incarnation)
		}
	})
}

// announce changes a process's record of itself.
func (g *gossip) announce(seat int, me membership.Member) {
	r := &g.nodes[seat].records[seat]
	r.member = me
	r.version++
}

// leave spreads that a process leaves.
func (g *gossip) leave(seat int) {
	n := &g.nodes[seat]
	if n.records[seat].known && n.records[seat].state != memberLeft {
		n.records[seat].state = memberLeft
		g.sendTo(seat, 2*gossipFanout)
	}
}

// gossipRound schedules the rounds in which a seat sends its records to others.
func (g *gossip) gossipRound(seat int, after time.Duration) {
	g.levels.schedule(g.levels.now+after, func() {
		if g.isRunning(seat) {
			g.sendTo(seat, gossipFanout)
		}
		g.gossipRound(seat, gossipInterval)
	})
}

func (g *gossip) sendTo(seat, to int) {
	n := &g.nodes[seat]
	n.candidates = n.candidates[:0]
	for o := range g.nodes {
		if o != seat && n.records[o].known && n.records[o].state != memberLeft {
			n.candidates = append(n.candidates, o)
		}
	}
	for range to {
		if len(n.candidates) == 0 {
			return
		}
		i := g.levels.rngs[seat].IntN(len(n.candidates))
		g.sendAll(seat, n.candidates[i])
		n.candidates = slices.Delete(n.candidates, i, i+1)
	}
}

// sendAll sends all records of a node to another. They are lost if a partition separates the two.
func (g *gossip) sendAll(from, to int) {
	t := g.levels
	if t.isCut(from, to) {
		return
	}
	what := slices.Clone(g.nodes[from].records)
	t.schedule(t.now+t.delay(from, to), func() {
		if g.isRunning(to) {
			g.merge(to, what)
		}
	})
}

// merge updates a node's records by those of another that are newer.
func (g *gossip) merge(seat int, what []memberRecord) {
	n := &g.nodes[seat]
	for o := range what {
		r, previous := &what[o], &n.records[o]
		if o == seat {
			if r.known && r.member.Incarnation == previous.member.Incarnation && r.state == memberDead && r.version >= previous.version &&
				previous.state == memberAlive {
				previous.version = r.version + 1 // refutes its death
			}
			continue
		}
		if r.isNewerThan(previous) {
			g.update(seat, o, *r)
		}
	}
}

// update changes a record of a seat, and notifies its process.
func (g *gossip) update(seat, of int, record memberRecord) {
	n := &g.nodes[seat]
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
	g.levels.deliver(seat, levelMessage{kind: memberEvent, event: event})
}

// probeRound schedules the rounds in which a seat probes one random member and all that it suspects.
func (g *gossip) probeRound(seat int, after time.Duration) {
	g.levels.schedule(g.levels.now+after, func() {
		if g.isRunning(seat) {
			g.probe(seat)
		}
		g.probeRound(seat, probeInterval)
	})
}

func (g *gossip) probe(seat int) {
	n := &g.nodes[seat]
	n.candidates = n.candidates[:0]
	for o := range g.nodes {
		if o != seat && n.records[o].known && n.records[o].state == memberAlive {
			n.candidates = append(n.candidates, o)
		}
	}
	if len(n.candidates) == 0 {
		return
	}
	one := n.candidates[g.levels.rngs[seat].IntN(len(n.candidates))]
	for _, other := range n.candidates {
		switch {
		case other != one && n.suspectedSince[other] == 0:
		case g.isReachable(seat, other, n.candidates):
			n.suspectedSince[other] = 0
		case n.suspectedSince[other] == 0:
			n.suspectedSince[other] = max(g.levels.now, 1)
		case g.levels.now-n.suspectedSince[other] >= suspicionTimeout:
			n.suspectedSince[other] = 0
			r := n.records[other]
			r.state = memberDead
			g.update(seat, other, r)
		}
	}
}

// isReachable reports whether a process answers a probe, directly or through others.
func (g *gossip) isReachable(seat, to int, others []int) bool {
	answers := func(from int) bool {
		return g.isRunning(to) && g.nodes[to].records[to].member.Incarnation == g.nodes[seat].records[to].member.Incarnation &&
			!g.levels.isCut(from, to) && !g.levels.isCut(to, from)
	}
	if answers(seat) {
		return true
	}
	for range indirectProbes {
		by := others[g.levels.rngs[seat].IntN(len(others))]
		if by != to && g.isRunning(by) && !g.levels.isCut(seat, by) && !g.levels.isCut(by, seat) && answers(by) {
			return true
		}
	}
	return false
}
