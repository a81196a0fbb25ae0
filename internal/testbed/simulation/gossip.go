package simulation

import (
	"slices"
	"time"

	"valvecove/internal/control/membership"
)

// gossip is a model of the engine that tells forwarders and planners of each other: what each says of itself spreads
// in rounds to some others drawn at random, whoever does not answer is asked through others, and taken for dead if
// that does not help for a while, which spreads too, until it says otherwise. Two that a cut keeps apart hear of each
// other as long as there is a way round it.
type gossip struct {
	levels *levelNetwork
	nodes  []gossipNode
}

const (
	gossipInterval   = 200 * time.Millisecond
	gossipFanout     = 3
	probeInterval    = 500 * time.Millisecond
	indirectProbes   = 3 // others, where the way to it is cut
	suspicionTimeout = 2 * time.Second
)

// gossipNode is a seat's view.
type gossipNode struct {
	incarnation    int // of the process; 0: none has begun
	records        []memberRecord
	suspectedSince []time.Duration // since when, by seat; 0: not
	candidates     []int           // scratch
}

// memberRecord is what is said of a seat's process.
type memberRecord struct {
	known   bool
	member  membership.Member
	version uint64 // counts what its process has said of itself
	state   memberState
}

type memberState uint8

const (
	memberAlive memberState = iota
	memberDead
	memberLeft
)

func (r *memberRecord) isNewerThan(memberRecord *memberRecord) bool {
	switch {
	case !memberRecord.known || !r.known:
		return r.known
	case r.member.Incarnation != memberRecord.member.Incarnation:
		return r.member.Incarnation > memberRecord.member.Incarnation
	case r.state == memberLeft || memberRecord.state == memberLeft:
		return r.state > memberRecord.state
	case r.version != memberRecord.version:
		return r.version > memberRecord.version
	}
	return r.state > memberRecord.state
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

// isRunning tells whether a seat's process takes part.
func (g *gossip) isRunning(seat int) bool {
	sprout, runs, frozen := g.levels.seats[seat].status()
	return runs && !frozen && sprout == g.nodes[seat].incarnation
}

// join has a process begin to take part: it asks one that it can reach for all that is known there.
func (g *gossip) join(seat int, me membership.Member) {
	n := &g.nodes[seat]
	n.incarnation, _, _ = g.levels.seats[seat].status()
	clear(n.records)
	clear(n.suspectedSince)
	n.records[seat] = memberRecord{known: true, member: me}
	g.requestState(seat, n.incarnation)
}

func (g *gossip) requestState(seat, sprout int) {
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
		if g.isRunning(seat) && g.nodes[seat].incarnation == sprout {
			g.requestState(seat, sprout)
		}
	})
}

// announce has a process tell something new of itself.
func (g *gossip) announce(seat int, me membership.Member) {
	r := &g.nodes[seat].records[seat]
	r.member = me
	r.version++
}

// leave has a process say that it leaves.
func (g *gossip) leave(seat int) {
	n := &g.nodes[seat]
	if n.records[seat].known && n.records[seat].state != memberLeft {
		n.records[seat].state = memberLeft
		g.sendTo(seat, 2*gossipFanout)
	}
}

// gossipRound has a seat tell others what it knows, now and then.
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

// sendAll sends all that one knows to another. It may be lost.
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

// merge takes in what another knows.
func (g *gossip) merge(seat int, what []memberRecord) {
	n := &g.nodes[seat]
	for o := range what {
		r, previous := &what[o], &n.records[o]
		if o == seat {
			if r.known && r.member.Incarnation == previous.member.Incarnation && r.state == memberDead && r.version >= previous.version &&
				previous.state == memberAlive {
				previous.version = r.version + 1 // not so
			}
			continue
		}
		if r.isNewerThan(previous) {
			g.update(seat, o, *r)
		}
	}
}

// update has a seat take up a rumor, and tells its process.
func (g *gossip) update(seat, of int, memberRecord memberRecord) {
	n := &g.nodes[seat]
	previous := n.records[of]
	n.records[of] = memberRecord
	var event membership.Event
	switch memberRecord.state {
	case memberAlive:
		n.suspectedSince[of] = 0
		if previous.known && previous.state == memberAlive && previous.member == memberRecord.member {
			return
		}
		event = membership.MemberJoined{Member: memberRecord.member}
	case memberLeft:
		event = membership.MemberLeft{Name: memberRecord.member.Name, Incarnation: memberRecord.member.Incarnation}
	case memberDead:
		event = membership.MemberDied{Name: memberRecord.member.Name, Incarnation: memberRecord.member.Incarnation}
	}
	g.levels.deliver(seat, levelMessage{kind: memberEvent, event: event})
}

// probeRound has a seat ask one of the others, and all that it suspects, whether they are there.
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

// isReachable tells whether a process answers, straight or through some others.
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
