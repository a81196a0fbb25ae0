package planner

import (
	"math"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// fleet is all worker nodes, with the newest word on each. The module knows those of this planner's part, and as not
// ready those others where attempts of open queries are, or may have run: until nothing of them is held here any more.
type fleet struct {
	hosts      map[uint64]*host
	order      []*host // map order decides nothing
	owner      func(w *logic.Worker) string
	parted     bool // a part was told
	generation int64
	stamp      uint64
	heard      bool // discovery has spoken
	asking     bool // the module has asked for the list and was not answered
	news       []logic.Worker
	thaws      []thaw // in order of time
	tombs      []tomb // in order of time
	seats      []*seat
	seatOf     map[seatKey]*seat
	classes    []verdict // by class: may it be placed here
}

// host is a worker node, or one of which there is but a word.
type host struct {
	logic.Worker // as the list has it
	listed       bool
	stamp        uint64      // of the last whole list that it was in
	word         tier.WordOf // the newest, by whomever
	worded       bool
	mine         bool
	cool         time.Duration // until then it gets no work as long as it is cold
	refs         int           // attempts of heads that are held
	told         bool          // the module has it
	toldAs       logic.Worker
	place        int // in the order
	seat         *seat
}

type thaw struct {
	at   time.Duration
	host *host
}

// tomb is a worker node that was gone at an instant, and may be forgotten later.
type tomb struct {
	at   time.Duration
	host *host
}

// seat is where a class may be placed, and the nodes that are up there.
type seatKey struct {
	owner      string
	zone, kind int
}

type seat struct {
	seatKey
	up int
}

// verdict is whether a class may be placed in this part, found out when it is asked for.
type verdict uint8

const (
	unknown verdict = iota
	here
	elsewhere
)

func (b *Book) hostOf(id uint64) *host {
	h := b.hosts[id]
	if h == nil {
		h = &host{place: len(b.order)}
		h.ID, h.Kind, h.Cell, h.Zone = id, -1, math.MinInt, math.MinInt // it is in none that another is in
		b.hosts[id] = h
		b.order = append(b.order, h)
	}
	return h
}

// bury forgets a worker node that is not listed, of which nothing is held, and whose last word is old.
func (b *Book) bury(h *host) {
	if h.listed || h.refs > 0 || h.worded || b.hosts[h.ID] != h {
		return
	}
	delete(b.hosts, h.ID)
	last := b.order[len(b.order)-1]
	b.order[h.place], last.place = last, h.place
	b.order[len(b.order)-1] = nil
	b.order = b.order[:len(b.order)-1]
}

// refer counts attempts at a worker node that are held here.
func (b *Book) refer(h *host, n int) {
	if h.refs += n; !h.mine || !h.listed || h.word.State == tier.Gone { // else the module has it in any case
		b.sync(h)
		b.bury(h)
	}
}

// ---- What discovery tells ----

func (b *Book) list(l logic.WorkerList) {
	if l.Kind == logic.ListLost {
		b.asking = false
		b.event(l)
		return
	}
	b.flushNews() // what came before is told before
	b.generation = l.Generation
	b.asking = b.asking && l.Kind == logic.ListCached
	if whole := l.Kind != logic.ListDelta; whole {
		b.stamp++
	}
	for i := range l.Workers {
		b.listed(&l.Workers[i], l.Generation)
	}
	if l.Kind == logic.ListDelta {
		b.heard = true
		l.Workers, b.news = b.news, nil
		b.event(l)
		return
	}
	for i := len(b.order) - 1; i >= 0; i-- { // backwards, as the last takes the place of one that leaves
		if h := b.order[i]; h.listed && h.stamp != b.stamp {
			b.unlist(h, l.Generation)
		}
	}
	b.heard = true
	b.news = nil // it is in the whole list
	l.Workers = b.all()
	b.event(l)
}

// listed takes in an entry. One older than what is known changes nothing but what words do not tell.
func (b *Book) listed(x *logic.Worker, generation int64) {
	h := b.hosts[x.ID]
	if x.Gone {
		if h != nil && h.listed {
			h.BootAt = max(h.BootAt, x.BootAt)
			b.unlist(h, generation)
		}
		return
	}
	h = b.hostOf(x.ID)
	fresh := !h.listed
	h.Worker, h.listed, h.stamp = *x, true, b.stamp
	if fresh || b.owner != nil {
		b.claim(h, fresh)
	}
	b.learn(h, wordOf(x, generation), nil, nil)
	b.sync(h)
}

// unlist takes in that a list has a worker node no more.
func (b *Book) unlist(h *host, generation int64) {
	w := tier.WordOf{Worker: h.ID, StartedMs: max(h.BootAt.Milliseconds(), 0), Generation: generation, State: tier.Gone}
	if h.worded && h.word.Newer(w) && h.word.State != tier.Gone {
		return // by a newer word it is there
	}
	h.listed = false
	b.entomb(h)
	b.learn(h, w, nil, nil)
	b.sync(h)
}

func wordOf(x *logic.Worker, generation int64) tier.WordOf {
	w := tier.WordOf{Worker: x.ID, StartedMs: max(x.BootAt.Milliseconds(), 0), Generation: generation}
	if !x.Ready {
		w.State = tier.Draining
	}
	return w
}

func (b *Book) newSource() {
	for _, h := range b.order {
		h.word.Generation = 0
	}
	b.generation = 0
}

// ---- Words ----

// word takes in what a forwarder or a peer says of a worker node.
func (b *Book) word(w tier.WordOf, by *forwarder, from *peer) {
	if w.State > tier.Gone || w.StartedMs < 0 || time.Duration(w.StartedMs) > (b.now+clocksDiffer)/time.Millisecond {
		b.counts.Bad++
		return
	}
	h := b.hosts[w.Worker]
	if h == nil {
		if w.State == tier.Up { // the list will say what it is
			return
		}
		h = b.hostOf(w.Worker)
	}
	if b.learn(h, w, by, from); h.listed {
		b.sync(h)
	}
	b.bury(h)
}

// learn keeps a word that is newer than the last one, and tells it on if that matters: that a worker node drains, is
// gone, is back, or has started again. What a peer says goes to forwarders alone: it tells the other peers itself.
func (b *Book) learn(h *host, w tier.WordOf, by *forwarder, from *peer) {
	was, worded := h.word, h.worded
	if worded && !w.Newer(was) {
		return
	}
	if h.word, h.worded = w, true; !h.listed {
		b.entomb(h)
	}
	again := worded && w.StartedMs > was.StartedMs
	if !b.heard || w.State == was.State && !again || !worded && w.State == tier.Up {
		return
	}
	b.counts.Words++
	for _, f := range b.open {
		if f != by {
			b.sayTo(f, tier.Message{Kind: tier.Word, Word: &w})
		}
	}
	if from == nil {
		for _, p := range b.peers.all {
			b.sayPeer(p, tier.Message{Kind: tier.Word, Word: &w})
		}
	}
}

// entomb has a worker node that is not listed forgotten by and by.
func (b *Book) entomb(h *host) {
	if b.tombs = append(b.tombs, tomb{b.now, h}); len(b.tombs) > mostTombs {
		b.unearth()
	}
}

// unearth forgets the word on the worker node that has been gone for longest.
func (b *Book) unearth() {
	h := b.tombs[0].host
	b.tombs[0] = tomb{}
	b.tombs = b.tombs[1:]
	if !h.listed && b.hosts[h.ID] == h {
		h.worded, h.word = false, tier.WordOf{}
		b.bury(h)
	}
}

// tellShut has a forwarder that has just come hear of what it had better not send to.
func (b *Book) tellShut(f *forwarder) {
	for _, h := range b.order {
		if h.worded && h.word.State != tier.Up {
			w := h.word
			b.sayTo(f, tier.Message{Kind: tier.Word, Word: &w})
		}
	}
}

// ---- Whose is what ----

// part takes in how the fleet is parted.
func (b *Book) part(owner func(w *logic.Worker) string) {
	b.owner = owner
	for _, h := range b.order {
		if h.listed {
			b.claim(h, !b.parted)
			b.sync(h)
		}
	}
	b.parted = true
	for i := range b.classes {
		b.classes[i] = unknown
	}
}

func (b *Book) ownerOf(h *host) string {
	if b.owner == nil {
		return b.conf.Name
	}
	return b.owner(&h.Worker)
}

// claim finds out whose a worker node is. One that comes from another planner's part gets no work for one span of
// overload as long as it is cold: what that one sent lately is not known. fresh: it comes from nobody's.
func (b *Book) claim(h *host, fresh bool) {
	mine := b.ownerOf(h) == b.conf.Name
	span := b.conf.Settings.OverloadSpan
	if mine && !h.mine && !fresh && span > 0 && b.now-h.start() < b.conf.Settings.Cold {
		h.cool = b.now + span
		b.thaws = append(b.thaws, thaw{h.cool, h})
	}
	h.mine = mine
}

func (h *host) start() time.Duration {
	return max(h.BootAt, time.Duration(h.word.StartedMs)*time.Millisecond)
}

// thaw lets worker nodes have work whose time has passed.
func (b *Book) thaw() {
	for len(b.thaws) > 0 && b.thaws[0].at <= b.now {
		h := b.thaws[0].host
		b.thaws[0] = thaw{}
		b.thaws = b.thaws[1:]
		if b.hosts[h.ID] == h {
			b.sync(h)
		}
	}
	for len(b.tombs) > 0 && b.now-b.tombs[0].at >= tombFor {
		b.unearth()
	}
}

// ---- What the module is told ----

// as is a worker node as the module is to have it; not ok: it is to have none.
func (b *Book) as(h *host) (w logic.Worker, ok bool) {
	w = h.Worker
	w.Ready = h.listed && h.mine && h.word.State == tier.Up
	w.Gone = false
	w.BootAt = h.start()
	w.Rank, w.Of = 0, 1
	if b.now < h.cool {
		w.Rank = 1
	}
	return w, h.refs > 0 || h.listed && h.mine && h.word.State != tier.Gone
}

// sync brings the module's word of a worker node up to date, and the count of those that are up where it is.
func (b *Book) sync(h *host) {
	b.sit(h)
	w, ok := b.as(h)
	switch {
	case ok && (!h.told || w != h.toldAs):
		h.told, h.toldAs = true, w
		b.news = append(b.news, w)
	case !ok && h.told:
		h.told = false
		w.Ready, w.Gone = false, true
		b.news = append(b.news, w)
	}
}

// sit counts a worker node where it is up.
func (b *Book) sit(h *host) {
	var to *seat
	if h.listed && h.word.State == tier.Up {
		key := seatKey{b.conf.Name, h.Zone, h.Kind}
		if !h.mine {
			key.owner = b.ownerOf(h)
		}
		if h.seat != nil && h.seat.seatKey == key {
			return
		}
		if to = b.seatOf[key]; to == nil {
			to = &seat{seatKey: key}
			b.seatOf[key] = to
			b.seats = append(b.seats, to)
		}
	}
	for _, s := range []*seat{h.seat, to} {
		if s == nil {
			continue
		}
		if s.up++; s == h.seat {
			s.up -= 2
		}
		if s.up <= 1 {
			for i := range b.classes {
				b.classes[i] = unknown
			}
		}
	}
	h.seat = to
}

// flushNews tells the module what has changed. While it waits for the list that it has asked for, changes would look
// like an answer, so it has the whole list as it was known.
func (b *Book) flushNews() {
	if len(b.news) == 0 {
		return
	}
	l := logic.WorkerList{Kind: logic.ListDelta, Workers: b.news, Generation: b.generation}
	if b.news = nil; b.asking {
		l.Kind, l.Workers = logic.ListCached, b.all()
	}
	b.event(l)
}

// all is the list that the module has.
func (b *Book) all() (list []logic.Worker) {
	for _, h := range b.order {
		if w, ok := b.as(h); ok {
			h.told, h.toldAs = true, w
			list = append(list, w)
		} else {
			h.told = false
		}
	}
	return list
}

// ---- Where a query may go ----

func allows(names []int, name int) bool {
	if names == nil {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// placeable tells whether a class may go to any worker node of this part that is up.
func (b *Book) placeable(class int) bool {
	v := &b.classes[class]
	if *v == unknown {
		if *v = elsewhere; b.upHere(class, func(*seat) bool { return true }) {
			*v = here
		}
	}
	return *v == here
}

func (b *Book) upHere(class int, which func(s *seat) bool) bool {
	for _, s := range b.seats {
		if s.owner == b.conf.Name && s.up > 0 && b.takes(class, s) && which(s) {
			return true
		}
	}
	return false
}

func (b *Book) takes(class int, s *seat) bool {
	c := &b.conf.Settings.Classes[class]
	return allows(c.Kinds, s.kind) && allows(c.Zones, s.zone)
}

// whoHas is the peer with the most worker nodes for a class that are up; empty: there is none.
func (b *Book) whoHas(class int, which func(s *seat) bool) string {
	best, most := "", 0
	for _, p := range b.peers.all {
		if !p.alive {
			continue
		}
		n := 0
		for _, s := range b.seats {
			if s.owner == p.name && b.takes(class, s) && which(s) {
				n += s.up
			}
		}
		if n > most {
			best, most = p.name, n
		}
	}
	return best
}

// misplaced is the planner that a query had better be with, as no worker node of this part may have it; empty: there is
// none, or it can be placed here. Keyed queries that may have run stay with what knows of them.
func (b *Book) misplaced(h *head) (to string) {
	if !b.others || h.out > 0 || h.moves >= mostMoves {
		return ""
	}
	c := &b.conf.Settings.Classes[h.job.Class]
	if c.Effect != logic.Safe {
		for i := range h.attempts {
			a := &h.attempts[i]
			if provesNothingRan(a.result) || c.Effect == logic.Keyed && c.Group == logic.GroupAll {
				continue
			}
			if c.Effect == logic.Unsafe || !a.host.listed {
				return "" // nobody may send it, or nobody here knows who may
			}
			if c.Group == logic.GroupCell {
				return b.alivePeer(b.ownerOf(a.host))
			}
			zone := a.host.Zone
			in := func(s *seat) bool { return s.zone == zone }
			if b.upHere(h.job.Class, in) {
				return ""
			}
			return b.whoHas(h.job.Class, in)
		}
	}
	if b.placeable(h.job.Class) {
		return ""
	}
	return b.whoHas(h.job.Class, func(*seat) bool { return true })
}

func (b *Book) alivePeer(name string) string {
	if p := b.findPeer(name); p != nil && p.alive {
		return name
	}
	return ""
}
