package world

import (
	"math"
	"slices"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/requests"
)

// discovery is the list of worker nodes, as one service for all schedulers (views.go has what each of these knows).
//
// It comes to know of a turn in a worker node's life after the notice for turns of its kind, give or take three
// tenths. Once in a period it looks at what it has come to know, and what is new then makes the next generation of
// its list, which goes out over all watches. Calls for a watch are handled in turn, each in lines / capacity, where a
// list has a line for each entry and one at least; a call that waits for its turn for longer than the timeout fails.
//
// A process that ended is off the list, and so is one that fell silent. One that starts again is back on it, with a
// new start. What discovery is cut off from is silent to it.
type discovery struct {
	w       *World
	dice    dice
	gen     int64
	list    []listing
	of      []int // by worker node: its entry; a machine that took another's place has one of its own
	dirty   []int // entries of which something new is known
	looking bool
	phase   time.Duration // of its period
	views   []*view       // by scheduler

	line    []*watching // calls that wait for their turn
	serving *watching

	index  int // which address it answers at
	downs  int
	olds   int
	behind time.Duration
	slows  []float64
	wrongs []int // by worker node
	cuts   []int // by worker node: ways to it that are cut
	held   []news
}

// listing is a worker node's line in the list.
type listing struct {
	host   requests.Endpoint // but for what changes
	node   int
	gen    int64   // of its last change; 0: never listed
	listed version // as it is in the list
	known  version // as discovery knows it
	off    bool    // removed for good
	silent bool    // discovery is cut off from it, and has noticed
	marked bool    // among the dirty
}

// version is what changes in an entry.
type version struct {
	state hostState
	boot  int
	ms    int64 // start; 0: long ago
}

type hostState uint8

const (
	hostAbsent hostState = iota // not, or no longer, on the list
	hostUp
	hostDraining
)

var hostWords = [...]string{"removed", "up", "draining"}

// news is a turn in a worker node's life.
type news struct {
	entry int
	what  lifeEvent
	boot  int
	ms    int64
}

// What a worker node does that discovery comes to know of.
type lifeEvent uint8

const (
	lifeUp     lifeEvent = iota // a process has started
	lifeDown                    // its process has ended: the machine says so
	lifeSilent                  // it can't be reached, and nobody says so
	lifeDrain                   // it began to drain
	lifeGone                    // it is removed
)

const (
	firstGen    = 40              // of the list at the play's start
	newcomers   = 0.03            // share of the worker nodes that schedulers may not know yet at the start
	history     = 256             // generations after which changes are told; further back the whole list is
	quietEvery  = 2 * time.Second // between empty lines on a watch
	moveGrace   = 1500 * time.Millisecond
	weightNoise = 0.2 // log-normal, of rough weights
)

func newDiscovery(w *World) *discovery {
	d := &discovery{
		w: w, dice: newDice(w.seed, "discovery"), gen: firstGen, of: make([]int, len(w.nodes)),
		wrongs: make([]int, len(w.nodes)), cuts: make([]int, len(w.nodes)),
	}
	d.phase = time.Duration(d.dice.roll(0, 0).Float64() * float64(w.Spec.Discovery.Period))
	return d
}

// begin lists the fleet. Some of it was added a moment ago: of these, a scheduler may not know yet.
func (d *discovery) begin() {
	rng := d.w.rng("newcomers", 0)
	for i, n := range d.w.nodes {
		e := d.add(n)
		e.gen, e.known = firstGen, version{hostUp, n.boot, n.startedMs()}
		if e.listed = e.known; i > 0 && rng.Float64() < newcomers {
			e.gen = firstGen + 1
			d.gen = firstGen + 1
		}
	}
	for i := range d.w.scheds {
		v := newView(d, i)
		up := int64(firstGen)
		if rng.Float64() < 0.5 {
			up = d.gen
		}
		v.gen = up
		for j := range d.list {
			if d.list[j].gen <= up {
				v.has = append(v.has, d.list[j].listed)
			} else {
				v.has = append(v.has, version{})
			}
		}
		d.views = append(d.views, v)
	}
	d.w.at(0, func() { d.hear(d.index) })
}

// add makes a line for the machine that a worker node is now. It is not on the list yet.
func (d *discovery) add(n *node) *listing {
	weight := 1.0
	switch d.w.Spec.Fleet.Weights {
	case "nominal":
		weight = n.kind.Cores
	case "rough":
		noise := weightNoise * d.dice.roll(1, uint64(len(d.list))).NormFloat64()
		weight = max(0.01, math.Round(100*n.size()*math.Exp(noise))/100)
	}
	zone := ""
	if zones := d.w.Spec.Fleet.Zones; len(zones) > 0 {
		zone = zones[n.zone]
	}
	d.of[n.n] = len(d.list)
	d.list = append(d.list, listing{node: n.n, host: requests.Endpoint{
		ID: n.id, Addr: d.w.NodeAddr(n.place()), Zone: zone,
		MachineType: n.kind.Name, Cell: n.cell, Weight: weight,
	}})
	return &d.list[len(d.list)-1]
}

// line is an entry as it is told.
func (e *listing) line(v version) requests.Endpoint {
	h := e.host
	h.Lifecycle, h.StartedAtMs = hostWords[v.state], v.ms
	return h
}

// ---- What it comes to know ----

// saw is told by a worker node of a turn in its life, when that happens.
func (d *discovery) saw(n *node, what lifeEvent) {
	if d.list[d.of[n.n]].host.ID != n.id {
		d.add(n)
	}
	if what == lifeUp {
		d.w.faults.started(n.n)
	}
	x := news{d.of[n.n], what, n.boot, n.startedMs()}
	d.w.after(d.notice(n.n, what), func() { d.learn(x) })
}

// notice draws how long it takes to notice a turn.
func (d *discovery) notice(node int, what lifeEvent) time.Duration {
	spec := &d.w.Spec.Discovery
	mean := spec.Notice
	switch what {
	case lifeUp:
		mean = spec.Add
	case lifeSilent:
		mean = spec.SilentNotice
	}
	r := d.dice.roll(2+uint64(what), uint64(d.w.now)<<20^uint64(node)).Float64()
	return time.Duration(float64(mean)*(0.7+0.6*r)) + d.behind
}

// learn takes news, which may come late, and of processes that others have followed.
func (d *discovery) learn(x news) {
	e := &d.list[x.entry]
	if d.cuts[e.node] > 0 && x.what != lifeSilent {
		d.held = append(d.held, x)
		return
	}
	if x.what == lifeGone {
		e.off = true
	} else if x.boot < e.known.boot {
		return
	}
	switch {
	case x.what == lifeUp && x.boot > e.known.boot:
		e.known = version{hostUp, x.boot, x.ms}
	case x.what == lifeDrain && (x.boot > e.known.boot || e.known.state == hostUp):
		e.known = version{hostDraining, x.boot, x.ms}
	case x.what == lifeDown || x.what == lifeSilent || x.what == lifeGone:
		e.known = version{hostAbsent, x.boot, x.ms}
	}
	d.mark(x.entry)
}

// mark has it look at an entry, the next time that it looks at all.
func (d *discovery) mark(i int) {
	if e := &d.list[i]; !e.marked {
		e.marked = true
		d.dirty = append(d.dirty, i)
	}
	d.planLook()
}

func (d *discovery) planLook() {
	if d.looking || d.olds > 0 || len(d.dirty) == 0 {
		return
	}
	d.looking = true
	period := d.w.Spec.Discovery.Period.D()
	turns := (d.w.now-d.phase)/period + 1
	d.w.at(max(d.w.now, d.phase+turns*period), d.look)
}

// look makes the next generation of what is new.
func (d *discovery) look() {
	d.looking = false
	if d.olds > 0 {
		return
	}
	slices.Sort(d.dirty)
	var changed []int
	for _, i := range d.dirty {
		e := &d.list[i]
		e.marked = false
		if v := d.verdict(i); v != e.listed {
			e.listed, e.gen = v, d.gen+1
			changed = append(changed, i)
		}
	}
	if d.dirty = d.dirty[:0]; len(changed) == 0 {
		return
	}
	d.gen++
	for _, v := range d.views {
		v.published(changed)
	}
}

// verdict is how an entry ought to be listed.
func (d *discovery) verdict(i int) version {
	e := &d.list[i]
	v := e.known
	if e.silent || e.off {
		v.state = hostAbsent
	}
	if v.state != hostUp && e.listed.boot > 0 && d.wrongs[e.node] > 0 && d.of[e.node] == i {
		return version{hostUp, e.listed.boot, e.listed.ms}
	}
	if v.state == hostAbsent && e.listed.state == hostAbsent {
		return e.listed // off the list is off the list
	}
	return v
}

// ---- Calls and watches ----

// watching is a call for the watch, and then the watch.
type watching struct {
	v      *view
	stage  watchStage
	index  int // of the address that was called
	sprout int // of the scheduler
	after  int64
	was    bool       // it was open once
	queue  []*message // on the way to the scheduler, in order
}

type watchStage uint8

const (
	watchAsking  watchStage = iota // on its way
	watchWaiting                   // for its turn
	watchServed
	watchOpen
	watchOver
)

// message is something that discovery writes on a watch.
type message struct {
	what    edge.InKind // Listed, Quiet, Unlisted
	gen     int64
	reset   bool
	entries []int
	as      []version
}

// did takes a scheduler's call for the watch. An earlier one of the same scheduler's is left by that.
func (d *discovery) did(o *edge.Out) {
	s, v := d.w.scheds[o.Sched], d.views[o.Sched]
	if !s.alive {
		return
	}
	c := &watching{v: v, index: s.disco, sprout: s.sprout, after: int64(o.After)}
	if v.watch == nil {
		v.since = d.w.now
	}
	d.leave(v)
	v.watch = c
	v.met()
	me, it := party{aSched, s.n}, party{theDisco, 0}
	way, back, ok := d.w.net.reach(me, it)
	if !ok {
		return // it never comes up, and the scheduler has patience of its own
	}
	d.w.after(way+back, func() {
		if c.stage == watchAsking {
			d.w.in(edge.In{Kind: edge.WatchUp, Sched: s.n})
		}
		d.w.net.send(me, it, func() { d.called(c) })
	})
}

// leave forgets a scheduler's watch or call, as nobody is at its other end.
func (d *discovery) leave(v *view) {
	c := v.watch
	if v.watch = nil; c != nil {
		d.drop(c)
	}
}

// drop is the end of a call or a watch. If it was handled just now, it is the next one's turn.
func (d *discovery) drop(c *watching) {
	was := c.stage
	c.stage = watchOver
	switch was {
	case watchWaiting:
		d.line = slices.DeleteFunc(d.line, func(x *watching) bool { return x == c })
	case watchServed:
		d.serving = nil
		d.serve()
	}
}

func (d *discovery) called(c *watching) {
	if c.stage != watchAsking {
		return
	}
	if d.downs > 0 || c.index != d.index {
		d.endWatch(c)
		return
	}
	c.stage = watchWaiting
	d.line = append(d.line, c)
	d.w.after(d.w.Spec.Discovery.Timeout.D(), func() {
		if c.stage == watchWaiting {
			d.endWatch(c)
		}
	})
	d.serve()
}

// serve handles the next call.
func (d *discovery) serve() {
	if d.serving != nil || len(d.line) == 0 {
		return
	}
	c := d.line[0]
	d.line = slices.Delete(d.line, 0, 1)
	c.stage, d.serving = watchServed, c
	done := func() {
		if d.serving == c {
			d.serving = nil
			d.open(c)
			d.serve()
		}
	}
	capacity := d.w.Spec.Discovery.Capacity
	for _, f := range d.slows {
		capacity /= f
	}
	if capacity <= 0 {
		done()
		return
	}
	lines := max(1, len(d.since(c.after).entries))
	d.w.after(time.Duration(float64(lines)/capacity*float64(time.Second)), done)
}

// open answers a call: what changed since the version that it names, or all.
func (d *discovery) open(c *watching) {
	c.stage, c.was = watchOpen, true
	d.push(c, d.since(c.after))
	c.v.met()
	d.w.after(quietEvery, func() { d.quiet(c) })
}

// quiet writes an empty line every so often.
func (d *discovery) quiet(c *watching) {
	if s := d.w.scheds[c.v.sched]; c.stage != watchOpen || !s.alive || s.sprout != c.sprout {
		return
	}
	d.push(c, &message{what: edge.Quiet})
	d.w.after(quietEvery, func() { d.quiet(c) })
}

// since is what has changed after a generation; the whole list, if it can't tell.
func (d *discovery) since(after int64) *message {
	m := &message{what: edge.Listed, gen: d.gen, reset: after <= 0 || after > d.gen || after < d.gen-history}
	for i := range d.list {
		e := &d.list[i]
		if m.reset && e.listed.state != hostAbsent || !m.reset && e.gen > after {
			m.entries, m.as = append(m.entries, i), append(m.as, e.listed)
		}
	}
	return m
}

// push writes something on a watch. All arrives in order, however long the network takes for each.
func (d *discovery) push(c *watching, m *message) {
	c.queue = append(c.queue, m)
	d.w.net.send(party{theDisco, 0}, party{aSched, c.v.sched}, func() {
		first := c.queue[0]
		c.queue = c.queue[1:]
		c.v.reached(c, first)
	})
}

// endWatch ends a watch, or fails a call, from discovery's side.
func (d *discovery) endWatch(c *watching) {
	if c.stage == watchOver {
		return
	}
	d.drop(c)
	d.push(c, &message{what: edge.Unlisted})
	c.v.met()
}

// ---- What may be done to discovery, until undo ----

// hear lets a live driver know of how the address at an index takes connections.
func (d *discovery) hear(index int) {
	mode := edge.Open
	if d.downs > 0 || index != d.index {
		mode = edge.Refuse
	}
	d.w.ins = append(d.w.ins, edge.In{Kind: edge.HearDisco, Disco: index, Mode: mode})
}

// down: it answers nothing, and watches end.
func (d *discovery) down() (undo func()) {
	d.downs++
	d.endAll(d.index)
	d.hear(d.index)
	return func() {
		d.downs--
		d.hear(d.index)
	}
}

// endAll ends all calls and watches that came in at the addresses up to index.
func (d *discovery) endAll(index int) {
	for _, v := range d.views {
		if c := v.watch; c != nil && c.index <= index && c.stage != watchAsking {
			d.endWatch(c)
		}
	}
}

// late: it comes to know so much later of what happens from now on.
func (d *discovery) late(by time.Duration) (undo func()) {
	d.behind += by
	return func() { d.behind -= by }
}

// wrong: it lists these as up, though they are down, draining or silent.
func (d *discovery) wrong(nodes []int) (undo func()) { return d.tally(d.wrongs, nodes, nil, nil) }

// cutOff: nothing passes between it and these. It takes them for silent in time, and what they would tell waits.
func (d *discovery) cutOff(nodes []int) (undo func()) {
	return d.tally(d.cuts, nodes, func(n int) {
		e := d.of[n]
		d.w.after(d.notice(n, lifeSilent), func() { d.reaches(e, false) })
	}, func(n int) {
		e := d.of[n]
		d.w.after(d.notice(n, lifeUp), func() {
			var held []news
			d.held = slices.DeleteFunc(d.held, func(x news) bool {
				mine := d.list[x.entry].node == n && d.cuts[n] == 0
				if mine {
					held = append(held, x)
				}
				return mine
			})
			for _, x := range held {
				d.learn(x)
			}
			d.reaches(e, true)
		})
	})
}

// reaches notes that it can reach an entry's machine or not, if that is still so.
func (d *discovery) reaches(i int, does bool) {
	if e := &d.list[i]; does == (d.cuts[e.node] == 0) && e.silent == does {
		e.silent = !does
		d.mark(i)
	}
}

// tally counts one more of something for each of some worker nodes, until undo; first and last are for those of which
// there was none, and is none any more.
func (d *discovery) tally(counts []int, nodes []int, first, last func(n int)) (undo func()) {
	step := func(by, edge int, turn func(n int)) {
		for _, n := range nodes {
			if counts[n] += by; counts[n] == edge && turn != nil {
				turn(n)
			}
			d.mark(d.of[n])
		}
	}
	step(1, 1, first)
	return func() { step(-1, 0, last) }
}

// old: it answers with the list and generation of this moment, whatever happens after.
func (d *discovery) old() (undo func()) {
	d.olds++
	return func() {
		d.olds--
		d.planLook()
	}
}

// slow: its capacity is divided by this.
func (d *discovery) slow(factor float64) (undo func()) {
	d.slows = append(d.slows, factor)
	return func() {
		i := slices.Index(d.slows, factor)
		d.slows = slices.Delete(d.slows, i, i+1)
	}
}

// move: it answers at another address from now on. The old one accepts nothing more, and ends its watches in 1.5 s.
func (d *discovery) move() {
	d.index++
	old := d.index - 1
	d.hear(old)
	d.hear(d.index)
	d.w.after(moveGrace, func() { d.endAll(old) })
}
