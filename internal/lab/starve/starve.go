package starve

import (
	"fmt"
	"math"
	"slices"
	"time"

	"valvecove/internal/deadline"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// Rule is the name under which a hunt keeps a play with starvation.
const Rule = "starvation"

const (
	span      = time.Second            // held, and idle, for so long
	tickEvery = 100 * time.Millisecond // what has waited is looked at
	wellAfter = 10 * time.Second       // of nothing wrong
	firstSpan = 2 * time.Second        // of a process, and from being told of a start
	dialSpan  = 1300 * time.Millisecond
	toldSpan  = 250 * time.Millisecond // a start is told within, or its worker node is unwell
	windowUse = 0.9                    // of a keyed job's window
	crowded   = 0.9                    // of the queries that a scheduler has descriptors for
	mostTold  = 16
	mostSeen  = 64 // idle worker nodes looked at for one try, beside those that there have to be
	newClass  = 30 // runs that a process needs to know a class by
	drifts    = 2  // a factor that hints are off by, and that speeds may take up for sizes: runs show but their quotient
	fewOf     = 20 // one worker node in so many is few
)

// Verdict is what a watcher has found.
type Verdict struct {
	Tries   int    `json:"tries"`   // that running schedulers took
	Held    int    `json:"held"`    // of them, starved while held
	Whole   int    `json:"whole"`   // starved with a worker node idle that had nothing to do at all
	Refused int    `json:"refused"` // and by being refused
	Excused int    `json:"excused"` // refused with a worker node idle, and excused
	Cases   []Case `json:"cases,omitempty"`
}

// Starved is how many tries were.
func (v *Verdict) Starved() int { return v.Held + v.Refused }

// Case is a try that was starved; the first of them are told.
type Case struct {
	At      time.Duration `json:"at_ns"`
	Job     uint64        `json:"job"`
	Call    string        `json:"call"`
	Class   string        `json:"class"`
	Sched   int           `json:"sched"`
	Node    int           `json:"node"` // that was idle
	Refused bool          `json:"refused"`
	Text    string        `json:"text"`
}

// Watcher keeps the books of one play. It is used by one goroutine.
type Watcher struct {
	spec    *scenario.Scenario
	classes []class
	kinds   []kind
	fastest float64
	mute    bool // some worker nodes tell no starts, so that schedulers are told to count on none
	hidden  []hiding
	limit   int // tries that a scheduler holds at most
	// A try that nothing was seen of for a second may have been on its way by so many connections that did not come up.
	dialsEach int
	now       time.Duration
	tick      time.Duration // the next look at what has waited
	jobs      map[uint64]*job
	tries     map[string]*try
	nodes     []node
	scheds    []sched
	running   int                // of them, are up
	idle      [][buckets][]int32 // by kind: worker nodes idle for a second
	old       [][buckets][]*try  // by kind and one more, 0 being any: tries held for a second
	ripen     queue[waiting]     // worker nodes idle, and tries held, for less
	begun     queue[beginning]
	unwell    deadline.Queue[*node]
	dials     queue[dial]
	dialled   map[uint64]bool
	got       Verdict
}

// hiding is a time in which clients and schedulers may be cut off from each other.
type hiding struct{ from, to time.Duration }

// New returns a watcher of a play of a checked scenario.
func New(spec *scenario.Scenario) *Watcher {
	w := &Watcher{
		spec: spec, jobs: map[uint64]*job{}, tries: map[string]*try{}, dialled: map[uint64]bool{},
		nodes: make([]node, spec.Fleet.Nodes), scheds: make([]sched, max(1, spec.Schedulers.Count)),
		idle: make([][buckets][]int32, len(spec.Fleet.Kinds)), old: make([][buckets][]*try, len(spec.Fleet.Kinds)+1),
	}
	for i := range spec.Fleet.Kinds {
		k := &spec.Fleet.Kinds[i]
		most := k.Speed * math.Sqrt(3) * k.Spread // that a node of it is slower or faster
		w.kinds = append(w.kinds, kind{cold: k.Cold.D(), mute: k.StartMute, least: max(0.1*k.Speed, k.Speed-most)})
		w.fastest = max(w.fastest, k.Speed+most)
		w.mute = w.mute || k.StartMute
	}
	for i := range spec.Classes {
		c := &spec.Classes[i]
		w.classes = append(w.classes, class{
			unsafe: c.Effect == "unsafe", keyed: c.Effect == "keyed", group: c.Group,
			window: c.Window.D(), stretch: c.Stretch, kind: slices.IndexFunc(spec.Fleet.Kinds,
				func(k scenario.Kind) bool { return c.Kind != "" && k.Name == c.Kind }),
		})
	}
	for i := range w.scheds {
		w.scheds[i].ends = make([]int, len(spec.Classes))
	}
	cells, zones := racks(spec)
	for i := range w.nodes {
		w.nodes[i].n, w.nodes[i].cell, w.nodes[i].zone = i, cells[i], zones[i]
	}
	for i := range spec.Faults {
		f := &spec.Faults[i]
		if scenario.FaultKinds[f.What] != "net" || f.Between != "clients" && f.And != "clients" {
			continue
		}
		h := hiding{f.At.D(), math.MaxInt64}
		if f.For > 0 {
			h.to = f.At.D() + f.For.D() + span
		}
		w.hidden = append(w.hidden, h)
	}
	const own = 24 // descriptors of a process beside its connections, of which a sixth are for worker nodes
	links := max(0, spec.Schedulers.Sockets-own)
	links -= max(8, links/6)
	w.dialsEach = max(1, int(span/max(spec.Schedulers.ConnTimeout.D(), 1))-1)
	w.limit = int(crowded * float64(links-max(8, links/10)))
	return w
}

// Watch takes in a sight. Sights come in order of time.
func (w *Watcher) Watch(s *seen.Sight) {
	for w.tick <= s.At {
		w.now = w.tick
		w.look()
		w.tick += tickEvery
	}
	w.now = s.At
	w.heal()
	switch s.What {
	case seen.Due:
		if s.Class >= 0 && s.Class < len(w.classes) {
			w.jobs[s.Job] = &job{
				class: s.Class, need: bucketOf(s.Slots), slots: max(1, s.Slots), work: s.Work,
				aim: s.At + s.Aim, deadline: s.At + s.Deadline,
			}
		}
	case seen.Settled:
		delete(w.jobs, s.Job)
	case seen.Asked:
		w.asked(s)
	case seen.Answered, seen.Lost, seen.Left, seen.GaveUp:
		w.ended(s)
	case seen.Sent:
		w.sent(s)
	case seen.Reached:
		if _, a := w.find(s, func(a *attempt) bool { return a.left && !a.reached }); a != nil {
			a.reached, a.at = true, s.At
		}
	case seen.Rejected, seen.Returned:
		w.ill(s.Node)
		if t, a := w.find(s, (*attempt).there); a != nil {
			a.unrun = true
			w.over(t, a, s.What == seen.Rejected, true) // of what is handed back, a note tells
		}
	case seen.Began:
		if t, a := w.find(s, (*attempt).there); a != nil && s.Text == "" && !w.kinds[w.nodes[s.Node].kind].mute {
			w.begun.push(beginning{s.At, t, slices.IndexFunc(t.attempts, func(x attempt) bool { return x == *a })})
		}
	case seen.Finished:
		w.finished(s)
	case seen.Died:
		w.ill(s.Node)
		if t, a := w.find(s, (*attempt).there); a != nil {
			w.over(t, a, false, true)
		}
	case seen.Withdrawn:
		if t, a := w.find(s, func(a *attempt) bool { return a.out }); a != nil && s.Text != "forgotten" {
			w.over(t, a, true, a.finished)
		}
	case seen.Unread:
		w.ill(s.Node)
		if t, a := w.find(s, func(a *attempt) bool { return a.left && !a.reached }); a != nil {
			w.over(t, a, true, true)
		}
	case seen.Noted:
		w.noted(s)
	case seen.NoteLost:
		w.ill(s.Node)
		if t, a := w.find(s, (*attempt).there); a != nil && final(s.Text) {
			w.over(t, a, false, true)
		}
	case seen.Dialled:
		w.dialled[s.Conn] = true
		w.scheds[s.Sched].dials++
		w.dials.push(dial{s.At, s.Conn, s.Sched, s.Node})
	case seen.Linked:
		if w.dialled[s.Conn] {
			delete(w.dialled, s.Conn)
			c := &w.scheds[s.Sched]
			c.dials--
			c.lent = min(c.lent, c.dials)
		}
	case seen.Struck, seen.Spared, seen.Stands, seen.NodeUp, seen.NodeDown, seen.NodeDrain, seen.NodeHang, seen.NodeWell,
		seen.Fell:
		w.ofNode(s)
	case seen.Drained, seen.Started:
		w.knows(s)
	case seen.SchedUp, seen.SchedTerm, seen.SchedKill, seen.SchedExit, seen.SchedFroze, seen.SchedWoke:
		w.ofSched(s)
	}
}

// Verdict tells what was found so far.
func (w *Watcher) Verdict() Verdict {
	v := w.got
	v.Cases = slices.Clone(v.Cases)
	return v
}

// ---- Tries and their attempts ----

func (w *Watcher) asked(s *seen.Sight) {
	t := w.tries[s.Call]
	if t == nil {
		j := w.jobs[s.Job]
		if j == nil {
			return
		}
		t = &try{job: j, id: s.Job, call: s.Call, old: -1, sched: -1}
		w.got.Tries++
	} else { // it crossed a close, so nothing became of it
		w.leave(t)
		w.detach(t)
	}
	w.tries[s.Call] = t
	t.at, t.open, t.sched = s.At, true, s.Sched
	c := &w.scheds[s.Sched]
	t.place = len(c.tries)
	c.tries = append(c.tries, t)
	if c.open++; t.out == 0 {
		w.hold(t)
	}
}

// hold has a try wait from now on.
func (w *Watcher) hold(t *try) {
	t.since = w.now
	w.scheds[t.sched].held[t.job.need]++
	w.ripen.push(waiting{since: w.now, t: t})
}

// unhold is the end of that.
func (w *Watcher) unhold(t *try) {
	w.scheds[t.sched].held[t.job.need]--
	w.renew(t)
}

// renew takes a try out of those that have waited for a second, if it is there.
func (w *Watcher) renew(t *try) {
	if t.old < 0 {
		return
	}
	set := &w.old[w.classes[t.job.class].kind+1][t.job.need]
	last := (*set)[len(*set)-1]
	(*set)[t.old], last.old = last, t.old
	(*set)[len(*set)-1] = nil
	*set = (*set)[:len(*set)-1]
	t.old = -1
	w.scheds[t.sched].olds--
}

// leave is the end of a try for its client, or the change to another scheduler.
func (w *Watcher) leave(t *try) {
	if !t.open {
		return
	}
	if t.out == 0 {
		w.unhold(t)
	}
	t.open = false
	w.scheds[t.sched].open--
	w.forget(t)
}

// forget drops a try of which nothing is left.
func (w *Watcher) forget(t *try) {
	if !t.open && t.left == 0 {
		w.detach(t)
	}
}

func (w *Watcher) detach(t *try) {
	if t.sched < 0 {
		return
	}
	c := &w.scheds[t.sched]
	last := c.tries[len(c.tries)-1]
	c.tries[t.place], last.place = last, t.place
	c.tries[len(c.tries)-1] = nil
	c.tries = c.tries[:len(c.tries)-1]
	delete(w.tries, t.call)
	t.sched = -1
}

func (w *Watcher) ended(s *seen.Sight) {
	t := w.tries[s.Call]
	if t == nil || !t.open {
		return
	}
	if s.What == seen.Answered && (s.Status == 429 || s.Status == 503) && t.out == 0 && !t.told {
		w.refused(t)
	}
	w.leave(t)
}

func (w *Watcher) sent(s *seen.Sight) {
	t := w.tries[s.Call]
	if t == nil || s.Node < 0 || s.Node >= len(w.nodes) {
		return
	}
	if t.held() {
		w.unhold(t)
	}
	t.attempts = append(t.attempts, attempt{node: s.Node, sent: s.At, out: true, left: true})
	t.out++
	t.left++
	w.use(&w.nodes[s.Node], t.job.slots)
}

func (a *attempt) there() bool { return a.left }

// find finds the try of a sight and its first attempt at that node that is as asked for.
func (w *Watcher) find(s *seen.Sight, is func(a *attempt) bool) (*try, *attempt) {
	t := w.tries[s.Call]
	if t == nil {
		return nil, nil
	}
	for i := range t.attempts {
		if a := &t.attempts[i]; a.node == s.Node && is(a) {
			return t, a
		}
	}
	return t, nil
}

// over ends an attempt for its scheduler, at its worker node, or both.
func (w *Watcher) over(t *try, a *attempt, sched, node bool) {
	if node && a.left {
		a.left = false
		t.left--
		w.use(&w.nodes[a.node], -t.job.slots)
	}
	if sched && a.out {
		a.out = false
		if t.out--; t.held() {
			w.hold(t)
		}
	}
	w.forget(t)
}

func (w *Watcher) finished(s *seen.Sight) {
	if s.Status != 200 {
		w.ill(s.Node)
	}
	t, a := w.find(s, (*attempt).there)
	if a == nil {
		return
	}
	a.finished = true
	// An error at the door is answered, and not told; what nobody waits for any more is over with its end.
	if door := s.Status != 200 && a.at == s.At; door || !a.out {
		w.over(t, a, door, true)
	}
}

// final tells whether a note says that an attempt has ended.
func final(state string) bool { return state != "started" && state != "running" }

func (w *Watcher) noted(s *seen.Sight) {
	if s.Try > 1 {
		w.ill(s.Node)
	}
	if !final(s.Text) {
		if _, a := w.find(s, (*attempt).there); a != nil {
			a.heard = true
		}
		return
	}
	if s.Text != "done" {
		w.ill(s.Node)
	}
	if t, a := w.find(s, func(a *attempt) bool { return a.out || a.left }); a != nil {
		if a.out && s.Text == "done" {
			w.scheds[s.Sched].ends[t.job.class]++
		}
		w.over(t, a, true, true)
	}
}

// ---- Worker nodes ----

// use takes slots of a worker node, or gives them back.
func (w *Watcher) use(n *node, slots float64) {
	n.used += slots
	w.settle(n)
}

// ill notes that something is wrong with a worker node.
func (w *Watcher) ill(i int) {
	if i < 0 || i >= len(w.nodes) {
		return
	}
	n := &w.nodes[i]
	w.unwellUntil(n, w.now+wellAfter)
}

func (w *Watcher) unwellUntil(n *node, at time.Duration) {
	if at <= n.well {
		return
	}
	w.unwell.Remove(n)
	n.well, n.At = at, at
	w.unwell.Add(n)
	w.settle(n)
}

// settle finds for which needs a worker node is idle, and since when.
func (w *Watcher) settle(n *node) {
	level := 0
	if n.up && n.struck == 0 && n.well <= w.now {
		for free := n.slots - n.used; level < buckets && free >= float64(int(1)<<level); {
			level++
		}
	}
	for ; n.level < level; n.level++ {
		n.since[n.level] = w.now
		w.ripen.push(waiting{since: w.now, node: n.n, bucket: n.level})
	}
	for n.level > level {
		n.level--
		w.unripe(n, n.level)
	}
}

// unripe takes a worker node out of a set of the idle, if it is there.
func (w *Watcher) unripe(n *node, bucket int) {
	at := n.spot[bucket] - 1
	if at < 0 {
		return
	}
	set := &w.idle[n.kind][bucket]
	last := (*set)[len(*set)-1]
	(*set)[at] = last
	w.nodes[last].spot[bucket] = at + 1
	*set = (*set)[:len(*set)-1]
	n.spot[bucket] = 0
}

func (w *Watcher) ofNode(s *seen.Sight) {
	if s.Node < 0 || s.Node >= len(w.nodes) {
		return
	}
	n := &w.nodes[s.Node]
	switch s.What {
	case seen.Struck:
		n.struck++
	case seen.Spared:
		n.struck = max(0, n.struck-1)
		w.ill(s.Node)
	case seen.Stands, seen.NodeUp:
		n.up = false
		w.settle(n)
		kind := slices.IndexFunc(w.spec.Fleet.Kinds, func(k scenario.Kind) bool { return k.Name == s.Text })
		if kind < 0 {
			return
		}
		n.up, n.boot, n.slots, n.kind = true, s.Boot, s.Slots, kind
		if s.What == seen.NodeUp {
			w.unwellUntil(n, s.At+max(wellAfter, w.kinds[kind].cold))
		}
	case seen.NodeDown, seen.NodeDrain, seen.Fell:
		n.up = false
	case seen.NodeHang, seen.NodeWell:
		w.ill(s.Node)
	}
	w.settle(n)
}

// ---- Schedulers ----

func (w *Watcher) knows(s *seen.Sight) {
	c := &w.scheds[s.Sched]
	if c.known == nil {
		c.known = make([]knowledge, len(w.nodes))
	}
	k := &c.known[s.Node]
	if k.at, k.drained = s.At, s.What == seen.Drained; !k.drained {
		k.boot = s.Boot
	}
}

// listed tells whether a scheduler has long enough known a worker node's process.
func (c *sched) listed(n *node, now time.Duration) bool {
	if c.known == nil {
		return n.boot <= 1
	}
	k := &c.known[n.n]
	return !k.drained && max(k.boot, 1) >= n.boot && (k.at == 0 || now-k.at >= firstSpan)
}

func (w *Watcher) ofSched(s *seen.Sight) {
	c := &w.scheds[s.Sched]
	switch s.What {
	case seen.SchedUp:
		if !c.up {
			w.running++
		}
		c.up, c.frozen, c.ending, c.upAt, c.wokeAt = true, false, false, s.At, 0
		clear(c.known)
		clear(c.ends)
	case seen.SchedTerm:
		c.ending = true
	case seen.SchedFroze:
		c.frozen = true
	case seen.SchedWoke:
		c.frozen, c.wokeAt = false, s.At
	case seen.SchedKill, seen.SchedExit:
		if c.up {
			w.running--
		}
		c.up = false
		// Nobody is told of its attempts any more; those that no worker node has read never come.
		for i := len(c.tries) - 1; i >= 0; i-- { // what is forgotten gives its place to a later one
			t := c.tries[i]
			for k := range t.attempts {
				if a := &t.attempts[k]; a.out || a.left {
					w.over(t, a, true, a.finished || !a.reached)
				}
			}
		}
	}
}

// able tells whether a scheduler is answerable for what has waited since then.
func (w *Watcher) able(c *sched, since time.Duration) bool {
	return c.up && !c.frozen && !c.ending && w.now-max(since, c.upAt+firstSpan, c.wokeAt) >= span
}

// ---- What is starved ----

// heal has worker nodes be well whose time has come.
func (w *Watcher) heal() {
	for w.unwell.Len() > 0 && w.unwell.First().At <= w.now {
		n := w.unwell.First()
		w.unwell.Remove(n)
		now := w.now
		w.now = n.At // idle since then
		w.settle(n)
		w.now = now
	}
}

// age moves on what has been so for a second.
func (w *Watcher) age() {
	for w.begun.size > 0 && w.now-w.begun.first().at >= toldSpan {
		x := *w.begun.first()
		w.begun.drop()
		if a := &x.t.attempts[x.attempt]; !a.heard && a.left {
			w.ill(a.node)
		}
	}
	for w.dials.size > 0 && w.now-w.dials.first().at >= dialSpan {
		d := *w.dials.first()
		w.dials.drop()
		if w.dialled[d.conn] {
			delete(w.dialled, d.conn)
			c := &w.scheds[d.sched]
			c.dials--
			c.lent = min(c.lent, c.dials)
			w.ill(d.node)
		}
	}
	for w.ripen.size > 0 && w.now-w.ripen.first().since >= span {
		x := *w.ripen.first()
		w.ripen.drop()
		if t := x.t; t != nil {
			if t.held() && t.since == x.since && t.old < 0 && !t.told {
				set := &w.old[w.classes[t.job.class].kind+1][t.job.need]
				t.old = len(*set)
				*set = append(*set, t)
				w.scheds[t.sched].olds++
			}
			continue
		}
		if n := &w.nodes[x.node]; n.level > x.bucket && n.since[x.bucket] == x.since && n.spot[x.bucket] == 0 {
			set := &w.idle[n.kind][x.bucket]
			*set = append(*set, int32(n.n))
			n.spot[x.bucket] = len(*set)
		}
	}
}

// look looks at what has been held for a second.
func (w *Watcher) look() {
	w.heal()
	w.age()
	for k := range w.old {
		for b := range w.old[k] {
			set := &w.old[k][b]
			if len(*set) == 0 || !w.anyIdle(k-1, b) {
				continue
			}
			for i := len(*set) - 1; i >= 0; i-- {
				t := (*set)[i]
				c := &w.scheds[t.sched]
				if !w.able(c, t.since) || c.dials >= w.dialsEach*c.olds || w.isHidden(t.since) {
					continue
				}
				if n := w.witness(t, c, t.since, false); n != nil {
					w.got.Held++
					w.found(t, n, false)
				}
			}
		}
	}
}

func (w *Watcher) refused(t *try) {
	w.age()
	c := &w.scheds[t.sched]
	if !w.anyIdle(w.classes[t.job.class].kind, t.job.need) {
		return
	}
	n := w.witness(t, c, max(t.since, w.now-span), true)
	switch {
	case n == nil:
	case !c.up || c.frozen || c.ending || w.now-c.upAt < firstSpan || w.now-c.wokeAt < span && c.wokeAt > 0,
		c.open >= w.limit, len(t.attempts)+c.dials >= w.spec.Schedulers.TryLimit, w.isHidden(t.at):
		w.got.Excused++
	case c.lent < c.dials:
		c.lent++
		w.got.Excused++
	default:
		w.got.Refused++
		w.found(t, n, true)
	}
}

// isHidden tells whether clients may have been cut off from schedulers at any time since then.
func (w *Watcher) isHidden(since time.Duration) bool {
	return slices.ContainsFunc(w.hidden, func(h hiding) bool { return h.from <= w.now && since <= h.to })
}

// anyIdle tells whether a worker node of a kind (-1: of any) is idle for a need.
func (w *Watcher) anyIdle(kind, bucket int) bool {
	for k := range w.idle {
		if (kind < 0 || kind == k) && len(w.idle[k][bucket]) > 0 {
			return true
		}
	}
	return false
}

// witness finds a worker node that was plainly idle for a try, begun at from at the soonest.
func (w *Watcher) witness(t *try, c *sched, from time.Duration, refused bool) *node {
	// One is as good as none where several schedulers share worker nodes and see nothing of each other's jobs there.
	more := 0
	if w.running > 1 {
		more = len(w.nodes) / fewOf
	}
	for b := t.job.need + 1; b < buckets; b++ {
		if c.held[b] > 0 {
			more++ // one is kept for a larger job
			break
		}
	}
	class, looks := &w.classes[t.job.class], 0
	hopeful := from+seconds(t.job.work/w.fastest) <= t.job.aim
	low, high := w.believed(c, t.job)
	for k := range w.idle {
		if class.kind >= 0 && class.kind != k {
			continue
		}
		run := seconds(t.job.work / w.kinds[k].least)
		if late := from+run > t.job.aim; late && (refused || hopeful) ||
			refused && from+seconds(low*t.job.work/w.kinds[k].least) > t.job.aim-seconds((1-low)*class.stretch*t.job.work) ||
			from+seconds(high*t.job.work/w.kinds[k].least) > t.job.deadline {
			continue // too slow: it is refused in reason, or waits for a faster one
		}
		for _, i := range w.idle[k][t.job.need] {
			n := &w.nodes[i]
			if looks++; looks > mostSeen+more {
				return nil
			}
			if !c.listed(n, w.now) || !w.allowed(t, n) || w.mute && n.used > 0 {
				continue
			}
			if more--; more < 0 {
				return n
			}
		}
	}
	return nil
}

// believed is the least and the most that a scheduler may in reason take a job's work for, as hints are, as parts of
// it. Where they are low its aim looks nearer than it is, where they are high as if it could not be done at all.
func (w *Watcher) believed(c *sched, j *job) (low, high float64) {
	switch l := &w.spec.Load; l.Hints {
	case "rough":
		err := math.Exp(2 * l.HintFactor)
		return 1 / err, err
	case "none":
		mean := w.spec.Classes[j.class].Work.D().Seconds() / max(j.work, 1e-9)
		return min(1, mean/2), max(1, 2*mean)
	case "wrong":
		low, high = min(1, l.HintFactor), max(1, l.HintFactor)
		if c.ends[j.class] >= newClass {
			low, high = max(low, 1/drifts), min(high, drifts)
		}
		return low, high
	}
	return 1, 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// allowed tells whether a try's attempts allow another one at a worker node.
func (w *Watcher) allowed(t *try, n *node) bool {
	if len(t.attempts) >= w.spec.Schedulers.TryLimit {
		return false
	}
	class := &w.classes[t.job.class]
	for i := range t.attempts {
		a := &t.attempts[i]
		switch at := &w.nodes[a.node]; {
		case a.unrun || !class.unsafe && !class.keyed:
		case class.unsafe, float64(w.now-a.sent) >= windowUse*float64(class.window),
			class.group == "zone" && at.zone != n.zone, class.group == "cell" && at.cell != n.cell:
			return false
		}
	}
	return true
}

func (w *Watcher) found(t *try, n *node, refused bool) {
	t.told = true
	w.renew(t)
	if n.used == 0 {
		w.got.Whole++
	}
	if len(w.got.Cases) >= mostTold {
		return
	}
	what := "held"
	if refused {
		what = "refused"
	}
	class := w.spec.Classes[t.job.class].Name
	w.got.Cases = append(w.got.Cases, Case{
		At: w.now, Job: t.id, Call: t.call, Class: class, Sched: t.sched, Node: n.n,
		Refused: refused, Text: fmt.Sprintf("try %s of job %d (%s, %g slots) was %s by scheduler %d after %.2f s without "+
			"an attempt out, its %d so far ended, while w-%d had %g of %g slots free for %.1f s", t.call, t.id, class,
			t.job.slots, what, t.sched, (w.now - t.since).Seconds(), len(t.attempts), n.n, n.slots-n.used, n.slots,
			(w.now - n.since[t.job.need]).Seconds()),
	})
}

// String is the verdict in a few words.
func (v *Verdict) String() string {
	if v.Starved() == 0 {
		return "no try starved"
	}
	return fmt.Sprintf("%d of %d tries starved: %d held, %d refused; for %d of them a worker node had nothing to do",
		v.Starved(), v.Tries, v.Held, v.Refused, v.Whole)
}
