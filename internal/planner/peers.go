package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// peers are the other planners.
type peers struct {
	all       []*peer // by name
	others    bool    // one is alive
	peerEpoch tier.Epoch
	loadAt    time.Duration // when they are told next how this planner stands
	own       float64       // heads open here, of late
	toldPart  float64       // of the quotas; 0: not told
}

// peer is one.
type peer struct {
	name    string
	alive   bool
	linked  bool
	epoch   tier.Epoch // of what is said to it
	theirs  tier.Epoch // of what it says; 0: it has not greeted
	load    tier.LoadOf
	loadAt  time.Duration // 0: none was told
	claimed float64       // of the room that it told, what may be claimed by now
}

func byPeer(p *peer, name string) int { return cmp.Compare(p.name, name) }

func (b *Book) findPeer(name string) *peer {
	if i, ok := slices.BinarySearchFunc(b.peers.all, name, byPeer); ok {
		return b.peers.all[i]
	}
	return nil
}

// meet is findPeer that enters one; nil: there are too many, or it is this one's own name.
func (b *Book) meet(name string) *peer {
	i, ok := slices.BinarySearchFunc(b.peers.all, name, byPeer)
	if !ok {
		if len(b.peers.all) >= mostPeers || name == "" || len(name) > mostName || name == b.conf.Name {
			return nil
		}
		b.peers.all = slices.Insert(b.peers.all, i, &peer{name: name})
	}
	return b.peers.all[i]
}

// alive takes in who is.
func (b *Book) alive(names []string) {
	for _, p := range b.peers.all {
		p.alive = false
	}
	for _, name := range names {
		if p := b.meet(name); p != nil {
			p.alive = true
		}
	}
	b.cull()
}

func (b *Book) cull() {
	b.peers.all = slices.DeleteFunc(b.peers.all, func(p *peer) bool { return !p.alive && !p.linked })
	b.others = slices.ContainsFunc(b.peers.all, func(p *peer) bool { return p.alive })
}

// peerUp greets a peer, and tells it how this planner stands and which worker nodes are shut.
func (b *Book) peerUp(name string) {
	p := b.meet(name)
	if p == nil {
		return
	}
	b.peerEpoch++
	p.linked, p.theirs, p.epoch = true, 0, b.peerEpoch
	b.sayPeer(p, tier.Message{Kind: tier.Greet, Name: b.conf.Name, Process: b.conf.Process, Version: b.conf.Version})
	b.sayPeer(p, b.stands())
	for _, h := range b.order {
		if h.worded && h.word.State != tier.Up {
			w := h.word
			b.sayPeer(p, tier.Message{Kind: tier.Word, Word: &w})
		}
	}
}

func (b *Book) peerDown(name string) {
	if p := b.findPeer(name); p != nil {
		p.linked, p.theirs, p.loadAt = false, 0, 0
		b.cull()
	}
}

func (b *Book) sayPeer(p *peer, m tier.Message) {
	if p.linked {
		m.Epoch = p.epoch
		b.dst = append(b.dst, Out{Kind: SayPeer, Peer: p.name, Msg: m})
	}
}

// hearPeer takes what a peer says.
func (b *Book) hearPeer(name string, m *tier.Message) {
	p := b.findPeer(name)
	switch {
	case p == nil || !p.linked:
		b.counts.Strays++
	case m.Kind == tier.Greet && m.Version>>8 != b.conf.Version>>8:
		p.theirs = 0
		b.log("planner %q is not listened to: it speaks version %d.%d, this is %d.%d", name, m.Version>>8, m.Version&0xff,
			b.conf.Version>>8, b.conf.Version&0xff)
	case m.Kind == tier.Greet && m.Epoch > p.theirs && m.Name == name:
		p.theirs = m.Epoch
	case p.theirs == 0 || m.Epoch != p.theirs:
		b.counts.Strays++
	case m.Kind == tier.Word && m.Word != nil:
		b.word(*m.Word, nil, p)
	case m.Kind == tier.Load && m.Load != nil && sane(m.Load):
		p.load, p.loadAt, p.claimed = *m.Load, b.now, 0
	default:
		b.counts.Bad++
	}
}

func sane(l *tier.LoadOf) bool {
	return l.Heads >= 0 && l.Held >= 0 && l.Slots >= 0 && l.Slots < 1e9 && l.Room >= 0 && l.Room < 1e9 && l.Late >= 0
}

// stands is how this planner does.
func (b *Book) stands() tier.Message {
	held := 0
	for h := b.held.first; h != nil; h = h.in[ofHeld].next {
		held++
	}
	return tier.Message{Kind: tier.Load, Load: &tier.LoadOf{Heads: b.live, Held: held, Forwarders: len(b.open),
		Late: b.late, Slots: max(0, b.slots), Room: b.room()}}
}

// room is how many slots are free, as far as is known: the module's word, or the worker nodes at which nothing is.
func (b *Book) room() (slots float64) {
	if m, ok := b.module.(roomy); ok {
		return m.Room()
	}
	for _, h := range b.order {
		if h.told && h.toldAs.Ready && h.refs == 0 {
			slots++
		}
	}
	return slots
}

// tellLoad has peers know how this planner stands, and the module what its part of the quotas is: that of the heads.
func (b *Book) tellLoad() {
	if b.now < b.loadAt {
		return
	}
	b.loadAt = b.now + b.conf.LoadEvery
	b.own += (float64(b.live) - b.own) / 4
	if b.others || b.toldPart > 0 {
		b.tellPart()
	}
	if len(b.peers.all) > 0 {
		m := b.stands()
		for _, p := range b.peers.all {
			b.sayPeer(p, m)
		}
	}
}

// tellPart finds out which part of the quotas is this planner's. A peer that says nothing of itself counts as alike.
func (b *Book) tellPart() {
	mine := b.own + 1
	sum := mine
	for _, p := range b.peers.all {
		switch {
		case !p.alive:
		case p.loadAt > 0 && b.now-p.loadAt <= loadFresh:
			sum += float64(p.load.Heads) + 1
		default:
			sum += mine
		}
	}
	if part := mine / sum; math.Abs(part-b.toldPart) > b.toldPart/10 {
		b.toldPart = part
		b.event(logic.Shared{Of: 1, Part: part})
	}
}

// ---- Queries that others had better have ----

// roomiest is the peer with the most room that is left, if that is room enough for so many slots; empty: there is none.
func (b *Book) roomiest(slots float64) string {
	best, most := "", slots+moveMargin
	for _, p := range b.peers.all {
		free := p.load.Room - float64(p.load.Held) - p.claimed
		if p.alive && p.loadAt > 0 && b.now-p.loadAt <= loadFresh && free > most {
			best, most = p.name, free
		}
	}
	return best
}

// moveOut hands on heads that were held for a part of their aim, to where there is room. A head that was moved before
// stays: there is no to and fro. All planners may think of the same room, so each takes but its part.
func (b *Book) moveOut() {
	if !b.others {
		return
	}
	planners := 1.0
	for _, p := range b.peers.all {
		if p.alive {
			planners++
		}
	}
	h := b.held.first
	for n := 0; n < moveScan && h != nil; n++ {
		next := h.in[ofHeld].next
		aim := b.conf.Settings.Classes[h.job.Class].Aim
		if to := b.misplaced(h); to != "" { // worker nodes have come and gone since
			b.move(h, to, true)
		} else if h.moves == 0 && b.now-h.since >= max(moveLeast, aim/movePart) && !b.bound(h) {
			if to = b.roomiest(h.slots); to != "" {
				b.findPeer(to).claimed += h.slots * planners
				b.move(h, to, true)
			}
		}
		h = next
	}
}

// bound tells whether a head may have run where only worker nodes of this part know of it, or nobody may send it.
func (b *Book) bound(h *head) bool {
	c := &b.conf.Settings.Classes[h.job.Class]
	for i := range h.attempts {
		free := c.Effect == logic.Safe || c.Effect == logic.Keyed && c.Group == logic.GroupAll
		if !free && !provesNothingRan(h.attempts[i].result) {
			return true
		}
	}
	return false
}

// move hands a head on. told: the module has it.
func (b *Book) move(h *head, to string, told bool) {
	b.counts.Moved++
	b.sayTo(h.f, tier.Message{Kind: tier.Move, Query: h.query, Name: to})
	if told {
		b.event(logic.ClientGone{Job: h.id})
	}
	b.close(h)
}
