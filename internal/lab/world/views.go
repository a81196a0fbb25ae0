package world

import (
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
	"valvecove/internal/requests"
)

// view is what a scheduler has been told by discovery, and what counts as told.
//
// A change counts as told once it has reached the scheduler's socket. Where it has not, it counts 6 s after it was
// listed and a watch, or a call for one, was there to tell it on, whatever the network does to that; without one, once
// the scheduler has neither watched nor asked for as long as the rules allow, or four times as long after a call that
// failed; and 4 s after a SIGHUP that came later than the change. Each is seen once (seen.Drained, seen.Started), and
// again by a process that starts with a list that says so.
type view struct {
	d       *discovery
	sched   int
	has     []version // by entry: what the scheduler's list says
	gen     int64
	told    []int // by worker node: the last start that it was told of
	drained []int // by worker node: the start of which it was told that it drains or is gone; 0: none
	pending []change
	check   time.Duration // when what is pending is looked at next; 0: never
	watch   *watching
	since   time.Duration // when it began to ask or watch, without a break but for calls that it gave up
	contact time.Duration // when it last asked, or had a watch
	failed  bool          // its last call did
}

// change is something listed that has not reached the scheduler.
type change struct {
	entry int
	as    version
	gen   int64
	at    time.Duration
}

const (
	toldWithin    = 6 * time.Second
	toldAfterHup  = 4 * time.Second
	patienceAfter = 4 // times the rules' span, after a call that failed
)

func newView(d *discovery, sched int) *view {
	v := &view{d: d, sched: sched, told: make([]int, len(d.w.nodes)), drained: make([]int, len(d.w.nodes))}
	for i, n := range d.w.nodes {
		v.told[i] = n.boot // long ago
	}
	return v
}

// known is the list as the scheduler last had it.
func (v *view) known() requests.EndpointList {
	g := requests.EndpointList{Revision: v.gen, Reset: true, Endpoints: make([]requests.Endpoint, 0, len(v.d.of))}
	for i, x := range v.has {
		if x.state != hostAbsent {
			g.Endpoints = append(g.Endpoints, v.d.list[i].line(x))
		}
	}
	return g
}

// begins is told that a process of the scheduler starts with the list as it last had it: it knows that, and no more.
func (v *view) begins() {
	v.d.leave(v)
	v.failed, v.pending = false, v.pending[:0]
	for i := range v.told {
		v.told[i], v.drained[i] = 1, 0 // first starts are of long ago
	}
	for i := range v.d.list {
		e := &v.d.list[i]
		if i < len(v.has) && v.has[i].state != hostAbsent {
			v.learns(i, v.has[i])
		}
		if e.gen > v.gen {
			v.pending = append(v.pending, change{i, e.listed, e.gen, v.d.w.now})
		}
	}
	v.met()
}

// published is told that the list has a new generation.
func (v *view) published(changed []int) {
	if !v.d.w.scheds[v.sched].alive {
		return
	}
	m := &message{what: edge.Listed, gen: v.d.gen, entries: changed}
	for _, i := range changed {
		as := v.d.list[i].listed
		m.as = append(m.as, as)
		v.pending = append(v.pending, change{i, as, v.d.gen, v.d.w.now})
	}
	if c := v.watch; c != nil && c.stage == watchOpen {
		v.d.push(c, m)
	}
	v.plan()
}

// reached is told of what has come over a watch to the scheduler's socket.
func (v *view) reached(c *watching, m *message) {
	s := v.d.w.scheds[v.sched]
	if v.watch != c || !s.alive || s.sprout != c.sprout {
		return
	}
	in := edge.In{Kind: m.what, Sched: v.sched}
	switch m.what {
	case edge.Listed:
		in.List = &requests.EndpointList{Revision: m.gen, Reset: m.reset, Endpoints: make([]requests.Endpoint, len(m.entries))}
		for i, e := range m.entries {
			in.List.Endpoints[i] = v.d.list[e].line(m.as[i])
		}
		v.failed = false
		v.take(m)
	case edge.Unlisted:
		v.failed, v.watch = !c.was, nil
		v.met()
	}
	v.d.w.in(in)
}

// take notes what a list says.
func (v *view) take(m *message) {
	for len(v.has) < len(v.d.list) {
		v.has = append(v.has, version{})
	}
	if m.reset {
		next := 0
		for i, had := range v.has {
			if next < len(m.entries) && m.entries[next] == i {
				next++
				continue
			}
			// A start may have counted as told and never have arrived.
			gone := version{hostAbsent, had.boot, had.ms}
			if n := v.d.list[i].node; v.d.of[n] == i {
				gone.boot = max(gone.boot, v.told[n])
			} else if had.state == hostAbsent {
				continue
			}
			v.has[i] = gone
			v.learns(i, gone)
		}
	}
	for i, e := range m.entries {
		v.has[e] = m.as[i]
		v.learns(e, m.as[i])
	}
	v.gen = m.gen
	left := v.pending[:0]
	for _, c := range v.pending {
		if c.gen > m.gen {
			left = append(left, c)
		}
	}
	v.pending = left
}

// learns has a version of an entry count as told. What was said of a process before the last one told says nothing.
func (v *view) learns(entry int, as version) {
	n := v.d.list[entry].node
	if as.boot < v.told[n] {
		return
	}
	up := as.state != hostAbsent && as.boot > v.told[n]
	if up || as.state == hostUp && v.drained[n] == as.boot {
		v.told[n], v.drained[n] = as.boot, 0
		v.tell(seen.Sight{What: seen.Started, Sched: v.sched, Node: n, Boot: as.boot})
	}
	if as.state != hostUp && v.drained[n] != as.boot {
		v.drained[n] = as.boot
		v.tell(seen.Sight{What: seen.Drained, Sched: v.sched, Node: n, Boot: as.boot})
	}
}

// tell reports a sight, if it is a scheduler's.
func (v *view) tell(s seen.Sight) {
	if !v.d.w.scheds[v.sched].planner {
		v.d.w.tell(s)
	}
}

// met notes that scheduler and discovery had to do with each other just now.
func (v *view) met() {
	v.contact = v.d.w.now
	v.plan()
}

// due is when a change counts as told, as things are.
func (v *view) due(c *change) time.Duration {
	if w := v.watch; w != nil && w.stage != watchOver {
		return max(c.at, v.since) + toldWithin
	}
	wait := v.d.w.Spec.Rules.AskEvery.D()
	if v.failed {
		wait *= patienceAfter
	}
	return max(c.at, v.contact) + wait
}

// plan sees to it that what is pending is looked at when the first of it is due.
func (v *view) plan() {
	first := time.Duration(-1)
	for i := range v.pending {
		if at := v.due(&v.pending[i]); first < 0 || at < first {
			first = at
		}
	}
	if first < 0 || v.check > 0 && v.check <= first {
		return
	}
	v.check = first
	v.d.w.at(first, func() {
		if v.check == first {
			v.check = 0
			v.overdue(func(c *change) bool { return v.due(c) <= v.d.w.now })
			v.plan()
		}
	})
}

// overdue has what is pending count as told if late says so.
func (v *view) overdue(late func(c *change) bool) {
	if !v.d.w.scheds[v.sched].alive {
		v.pending = v.pending[:0]
		return
	}
	left := v.pending[:0]
	for i := range v.pending {
		if c := v.pending[i]; late(&c) {
			v.learns(c.entry, c.as)
		} else {
			left = append(left, c)
		}
	}
	v.pending = left
}

// hup is told that the scheduler was sent a SIGHUP.
func (v *view) hup() {
	at, sprout := v.d.w.now, v.d.w.scheds[v.sched].sprout
	v.d.w.after(toldAfterHup, func() {
		if v.d.w.scheds[v.sched].sprout == sprout {
			v.overdue(func(c *change) bool { return c.at <= at })
		}
	})
}

// told tells whether a scheduler was told of a worker node's last start.
func (d *discovery) told(sched int, n *node) bool { return d.views[sched].told[n.n] >= n.boot }
