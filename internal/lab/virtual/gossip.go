package virtual

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
	t     *tiers
	nodes []gossiper
}

const (
	gossipEvery = 200 * time.Millisecond
	gossipTo    = 3
	probeEvery  = 500 * time.Millisecond
	probeBy     = 3 // others, where the way to it is cut
	suspectFor  = 2 * time.Second
)

// gossiper is a seat's view.
type gossiper struct {
	sprout  int // of the process; 0: none has begun
	knows   []rumor
	suspect []time.Duration // since when, by seat; 0: not
	others  []int           // scratch
}

// rumor is what is said of a seat's process.
type rumor struct {
	known   bool
	member  membership.Member
	version uint64 // counts what its process has said of itself
	state   rumorState
}

type rumorState uint8

const (
	rumorAlive rumorState = iota
	rumorDead
	rumorLeft
)

func (r *rumor) newer(o *rumor) bool {
	switch {
	case !o.known || !r.known:
		return r.known
	case r.member.Incarnation != o.member.Incarnation:
		return r.member.Incarnation > o.member.Incarnation
	case r.state == rumorLeft || o.state == rumorLeft:
		return r.state > o.state
	case r.version != o.version:
		return r.version > o.version
	}
	return r.state > o.state
}

func (g *gossip) begin(t *tiers) {
	g.t = t
	g.nodes = make([]gossiper, len(t.seats))
	for i := range g.nodes {
		g.nodes[i] = gossiper{knows: make([]rumor, len(t.seats)), suspect: make([]time.Duration, len(t.seats))}
		g.round(i, time.Duration(t.rngs[i].Int64N(int64(gossipEvery))))
		g.probes(i, time.Duration(t.rngs[i].Int64N(int64(probeEvery))))
	}
}

// runs tells whether a seat's process takes part.
func (g *gossip) runs(seat int) bool {
	sprout, runs, frozen := g.t.seats[seat].alive()
	return runs && !frozen && sprout == g.nodes[seat].sprout
}

// join has a process begin to take part: it asks one that it can reach for all that is known there.
func (g *gossip) join(seat int, me membership.Member) {
	n := &g.nodes[seat]
	n.sprout, _, _ = g.t.seats[seat].alive()
	clear(n.knows)
	clear(n.suspect)
	n.knows[seat] = rumor{known: true, member: me}
	g.ask(seat, n.sprout)
}

func (g *gossip) ask(seat, sprout int) {
	t := g.t
	order := t.rngs[seat].Perm(len(g.nodes))
	for _, o := range order {
		if o == seat || !g.runs(o) || t.cut(seat, o) || t.cut(o, seat) {
			continue
		}
		t.at(t.now+t.delay(seat, o), func() {
			if g.runs(o) {
				g.merge(o, g.nodes[seat].knows)
				g.push(o, seat)
			}
		})
		return
	}
	t.at(t.now+time.Second, func() {
		if g.runs(seat) && g.nodes[seat].sprout == sprout {
			g.ask(seat, sprout)
		}
	})
}

// say has a process tell something new of itself.
func (g *gossip) say(seat int, me membership.Member) {
	r := &g.nodes[seat].knows[seat]
	r.member = me
	r.version++
}

// leave has a process say that it leaves.
func (g *gossip) leave(seat int) {
	n := &g.nodes[seat]
	if n.knows[seat].known && n.knows[seat].state != rumorLeft {
		n.knows[seat].state = rumorLeft
		g.spread(seat, 2*gossipTo)
	}
}

// round has a seat tell others what it knows, now and then.
func (g *gossip) round(seat int, after time.Duration) {
	g.t.at(g.t.now+after, func() {
		if g.runs(seat) {
			g.spread(seat, gossipTo)
		}
		g.round(seat, gossipEvery)
	})
}

func (g *gossip) spread(seat, to int) {
	n := &g.nodes[seat]
	n.others = n.others[:0]
	for o := range g.nodes {
		if o != seat && n.knows[o].known && n.knows[o].state != rumorLeft {
			n.others = append(n.others, o)
		}
	}
	for range to {
		if len(n.others) == 0 {
			return
		}
		i := g.t.rngs[seat].IntN(len(n.others))
		g.push(seat, n.others[i])
		n.others = slices.Delete(n.others, i, i+1)
	}
}

// push sends all that one knows to another. It may be lost.
func (g *gossip) push(from, to int) {
	t := g.t
	if t.cut(from, to) {
		return
	}
	what := slices.Clone(g.nodes[from].knows)
	t.at(t.now+t.delay(from, to), func() {
		if g.runs(to) {
			g.merge(to, what)
		}
	})
}

// merge takes in what another knows.
func (g *gossip) merge(seat int, what []rumor) {
	n := &g.nodes[seat]
	for o := range what {
		r, had := &what[o], &n.knows[o]
		if o == seat {
			if r.known && r.member.Incarnation == had.member.Incarnation && r.state == rumorDead && r.version >= had.version &&
				had.state == rumorAlive {
				had.version = r.version + 1 // not so
			}
			continue
		}
		if r.newer(had) {
			g.learn(seat, o, *r)
		}
	}
}

// learn has a seat take up a rumor, and tells its process.
func (g *gossip) learn(seat, of int, r rumor) {
	n := &g.nodes[seat]
	had := n.knows[of]
	n.knows[of] = r
	var e membership.Event
	switch r.state {
	case rumorAlive:
		n.suspect[of] = 0
		if had.known && had.state == rumorAlive && had.member == r.member {
			return
		}
		e = membership.MemberJoined{Member: r.member}
	case rumorLeft:
		e = membership.MemberLeft{Name: r.member.Name, Incarnation: r.member.Incarnation}
	case rumorDead:
		e = membership.MemberDied{Name: r.member.Name, Incarnation: r.member.Incarnation}
	}
	g.t.reach(seat, tierNews{what: gossiped, event: e})
}

// probes has a seat ask one of the others, and all that it suspects, whether they are there.
func (g *gossip) probes(seat int, after time.Duration) {
	g.t.at(g.t.now+after, func() {
		if g.runs(seat) {
			g.probe(seat)
		}
		g.probes(seat, probeEvery)
	})
}

func (g *gossip) probe(seat int) {
	n := &g.nodes[seat]
	n.others = n.others[:0]
	for o := range g.nodes {
		if o != seat && n.knows[o].known && n.knows[o].state == rumorAlive {
			n.others = append(n.others, o)
		}
	}
	if len(n.others) == 0 {
		return
	}
	one := n.others[g.t.rngs[seat].IntN(len(n.others))]
	for _, o := range n.others {
		switch {
		case o != one && n.suspect[o] == 0:
		case g.reaches(seat, o, n.others):
			n.suspect[o] = 0
		case n.suspect[o] == 0:
			n.suspect[o] = max(g.t.now, 1)
		case g.t.now-n.suspect[o] >= suspectFor:
			n.suspect[o] = 0
			r := n.knows[o]
			r.state = rumorDead
			g.learn(seat, o, r)
		}
	}
}

// reaches tells whether a process answers, straight or through some others.
func (g *gossip) reaches(seat, to int, others []int) bool {
	answers := func(from int) bool {
		return g.runs(to) && g.nodes[to].knows[to].member.Incarnation == g.nodes[seat].knows[to].member.Incarnation &&
			!g.t.cut(from, to) && !g.t.cut(to, from)
	}
	if answers(seat) {
		return true
	}
	for range probeBy {
		by := others[g.t.rngs[seat].IntN(len(others))]
		if by != to && g.runs(by) && !g.t.cut(seat, by) && !g.t.cut(by, seat) && answers(by) {
			return true
		}
	}
	return false
}
