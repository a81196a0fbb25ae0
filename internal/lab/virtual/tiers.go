package virtual

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/control/membership"
	"valvecove/internal/lab/scenario"
)

// tiers is what lies between forwarders and planners: connections that carry bytes in order, and gossip. It stands
// beside the world, which knows of neither, and plays what the scenario does to them: cuts, and connections that
// break. Whoever takes part is a seat, numbered as the world numbers schedulers; planners come after these. Each seat
// draws from a stream of its own.
type tiers struct {
	spec   *scenario.Scenario
	now    time.Duration
	seats  []seat
	rngs   []*rand.Rand
	agenda tierAgenda
	seq    uint64
	wires  uint64
	ends   [][]*wire // by seat: what it has an end of
	cuts   []*tierCut
	sigma  float64 // log-normal spread of delays
	gossip gossip
	met    []int // seats that something has reached since the last look
	spare  [][]byte
}

// seat is a process, or the place of one, as others meet it. What reaches one that is frozen waits there.
type seat interface {
	// alive tells whether a process runs there, and which one, and whether it is frozen.
	alive() (sprout int, runs, frozen bool)
	reach(n tierNews)
	end() // of the process; the play is over
}

// tierNews is something that reaches a seat's process.
type tierNews struct {
	what   tierWhat
	wire   *wire
	bytes  []byte
	silent bool // Lost: for want of any sign of life
	event  membership.Event
	at     time.Duration // when it is taken in; kept by the seat
}

type tierWhat uint8

const (
	wireCame tierWhat = iota // somebody has connected
	wireUp                   // who was dialed has taken it
	wireNone                 // or has not
	wireData
	wireLost
	gossiped
)

const (
	dialPatience = 250 * time.Millisecond // a connection comes up within this or not at all
	wirePatience = 5 * time.Second        // what was sent arrives within this, or the connection is given up
)

// wire is a connection between two seats. The first has dialed.
type wire struct {
	id    uint64
	seats [2]int
	open  [2]bool
	pipes [2]pipe // by the end that sends
}

// pipe is one direction of a wire.
type pipe struct {
	queue   []parcel
	last    time.Duration // when the last of it arrives
	stalled bool          // by a cut
	begun   uint64        // counts stalls
}

type parcel struct {
	at    time.Duration
	what  tierWhat
	bytes []byte
}

// tierCut is a fault that keeps seats apart.
type tierCut struct {
	a, b   []bool // by seat
	oneWay bool
	on     bool
}

func (c *tierCut) holds(from, to int) bool {
	return c.on && (c.a[from] && c.b[to] || !c.oneWay && c.a[to] && c.b[from])
}

func newTiers(spec *scenario.Scenario, seed uint64) *tiers {
	n := spec.Schedulers.Count + spec.Planners.Count
	t := &tiers{spec: spec, seats: make([]seat, n), rngs: make([]*rand.Rand, n), ends: make([][]*wire, n)}
	for i := range t.rngs {
		t.rngs[i] = rand.New(rand.NewPCG(seed^xxhash.Sum64String("tiers"), uint64(i)))
	}
	if cv := spec.Net.Jitter; cv > 0 {
		t.sigma = math.Sqrt(math.Log1p(cv * cv))
	}
	for i := range spec.Faults {
		f := &spec.Faults[i]
		if scenario.FaultKinds[f.What] == "planners" && f.Between != "discovery" && f.And != "discovery" {
			t.plan(f)
		}
	}
	t.gossip.begin(t)
	return t
}

// plan puts a cut on the agenda.
func (t *tiers) plan(f *scenario.Fault) {
	c := &tierCut{oneWay: f.What == "planner_cut_one_way"}
	c.a, c.b = t.crowd(f, f.Between), t.crowd(f, f.And)
	if f.Between == f.And { // those named are cut off from the others
		for i := range c.b {
			c.b[i] = t.isPlanner(i) == (f.Between == "planners") && (!c.a[i] || !t.narrowed(f))
		}
	}
	t.cuts = append(t.cuts, c)
	t.at(f.At.D(), func() { c.on = true })
	if f.For > 0 {
		t.at((f.At + f.For).D(), func() {
			c.on = false
			t.flow()
		})
	}
}

func (t *tiers) narrowed(f *scenario.Fault) bool {
	if f.Between == "planners" {
		return len(f.On.Planners) > 0
	}
	return len(f.On.Schedulers) > 0
}

// crowd is the seats at one side of a cut.
func (t *tiers) crowd(f *scenario.Fault, name string) []bool {
	some, from, only := make([]bool, len(t.seats)), 0, f.On.Schedulers
	to := t.spec.Schedulers.Count
	if name == "planners" {
		from, to, only = to, len(t.seats), f.On.Planners
	}
	for i := from; i < to; i++ {
		some[i] = len(only) == 0
	}
	for _, i := range only {
		some[from+i] = true
	}
	return some
}

func (t *tiers) isPlanner(seat int) bool { return seat >= t.spec.Schedulers.Count }

func (t *tiers) cut(from, to int) bool {
	for _, c := range t.cuts {
		if c.holds(from, to) {
			return true
		}
	}
	return false
}

// ---- Time ----

type tierErrand struct {
	at  time.Duration
	seq uint64
	do  func()
}

type tierAgenda []tierErrand

func (a tierAgenda) Len() int { return len(a) }
func (a tierAgenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a tierAgenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *tierAgenda) Push(x any)   { *a = append(*a, x.(tierErrand)) }
func (a *tierAgenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last].do = nil
	*a = (*a)[:last]
	return x
}

func (t *tiers) at(at time.Duration, do func()) {
	t.seq++
	heap.Push(&t.agenda, tierErrand{max(at, t.now), t.seq, do})
}

// next is when something is due.
func (t *tiers) next() time.Duration {
	if len(t.agenda) == 0 {
		return never
	}
	return t.agenda[0].at
}

// step has all happen that is due, and gives the seats that something has reached.
func (t *tiers) step(now time.Duration) []int {
	t.now = now
	t.met = t.met[:0]
	for len(t.agenda) > 0 && t.agenda[0].at <= now {
		heap.Pop(&t.agenda).(tierErrand).do()
	}
	return t.met
}

// delay draws how long the way from seat to seat takes.
func (t *tiers) delay(from, to int) time.Duration {
	mean := t.spec.Net.Delay.D()
	if t.spec.ZoneOf(from) != t.spec.ZoneOf(to) {
		mean = t.spec.Net.Cross.D()
	}
	if t.sigma > 0 {
		mean = time.Duration(float64(mean) * math.Exp(t.sigma*(t.rngs[from].NormFloat64()-t.sigma/2)))
	}
	return mean
}

// ---- Wires ----

// dial has a seat connect to another. It hears of what comes of it: wireUp or wireNone.
func (t *tiers) dial(from, to int) *wire {
	t.wires++
	w := &wire{id: t.wires, seats: [2]int{from, to}}
	w.open[0] = true
	t.ends[from] = append(t.ends[from], w)
	none := func() {
		if w.open[0] {
			t.forget(w, 0)
			t.reach(from, tierNews{what: wireNone, wire: w})
		}
	}
	if t.cut(from, to) || t.cut(to, from) {
		t.at(t.now+dialPatience, none)
		return w
	}
	t.at(t.now+t.delay(from, to), func() {
		back := t.now + t.delay(to, from)
		if _, runs, _ := t.seats[to].alive(); !runs || !w.open[0] {
			t.at(back, none)
			return
		}
		w.open[1] = true
		t.ends[to] = append(t.ends[to], w)
		w.pipes[1].last = back
		t.reach(to, tierNews{what: wireCame, wire: w})
		t.at(back, func() {
			if w.open[0] {
				t.reach(from, tierNews{what: wireUp, wire: w})
			}
		})
		if mean := t.spec.Planners.Drops.D(); mean > 0 {
			t.at(t.now+time.Duration(t.rngs[from].ExpFloat64()*float64(mean)), func() { t.breakWire(w) })
		}
	})
	return w
}

// send writes to a wire from one of its ends. It keeps the bytes until they have arrived.
func (t *tiers) send(w *wire, end int, bytes []byte) {
	if w.open[end] {
		t.put(w, end, parcel{what: wireData, bytes: bytes})
	}
}

func (t *tiers) put(w *wire, end int, x parcel) {
	p := &w.pipes[end]
	x.at = max(p.last, t.now+t.delay(w.seats[end], w.seats[1-end]))
	p.last = x.at
	if p.queue = append(p.queue, x); len(p.queue) == 1 {
		t.at(x.at, func() { t.arrive(w, end) })
	}
}

// arrive brings the first of what is on its way, unless there is a cut.
func (t *tiers) arrive(w *wire, end int) {
	p := &w.pipes[end]
	from, to := w.seats[end], w.seats[1-end]
	if len(p.queue) == 0 || p.stalled {
		return
	}
	if t.cut(from, to) {
		p.stalled = true
		p.begun++
		begun := p.begun
		t.at(t.now+wirePatience, func() {
			if p.stalled && p.begun == begun && w.open[end] {
				t.lose(w, end, true)
				t.put(w, end, parcel{what: wireLost})
			}
		})
		return
	}
	x := p.queue[0]
	if p.queue = p.queue[1:]; len(p.queue) > 0 {
		t.at(p.queue[0].at, func() { t.arrive(w, end) })
	} else {
		p.queue = nil
	}
	switch {
	case !w.open[1-end]: // nobody is there any more
	case x.what == wireLost:
		t.lose(w, 1-end, false)
	default:
		t.reach(to, tierNews{what: x.what, wire: w, bytes: x.bytes})
	}
}

// flow has what was held up by a cut go on.
func (t *tiers) flow() {
	for seat := range t.ends {
		for _, w := range t.ends[seat] {
			for end := range w.pipes {
				p := &w.pipes[end]
				if !p.stalled || t.cut(w.seats[end], w.seats[1-end]) {
					continue
				}
				p.stalled = false
				at := t.now + t.delay(w.seats[end], w.seats[1-end])
				for i := range p.queue {
					p.queue[i].at = max(p.queue[i].at, at)
				}
				p.last = max(p.last, at)
				t.at(at, func() { t.arrive(w, end) })
			}
		}
	}
}

// hangUp closes a wire from one of its ends.
func (t *tiers) hangUp(w *wire, end int) {
	if w.open[end] {
		t.forget(w, end)
		t.put(w, end, parcel{what: wireLost})
	}
}

// lose has an end hear that its wire is no more.
func (t *tiers) lose(w *wire, end int, silent bool) {
	if w.open[end] {
		t.forget(w, end)
		t.reach(w.seats[end], tierNews{what: wireLost, wire: w, silent: silent})
	}
}

func (t *tiers) forget(w *wire, end int) {
	w.open[end] = false
	list := t.ends[w.seats[end]]
	for i, x := range list {
		if x == w {
			t.ends[w.seats[end]] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// breakWire has both ends hear that it is no more.
func (t *tiers) breakWire(w *wire) {
	if w.open[0] && w.open[1] {
		t.lose(w, 0, false)
		t.lose(w, 1, false)
	}
}

// breakAll breaks all wires of a seat.
func (t *tiers) breakAll(seat int) {
	for _, w := range append([]*wire(nil), t.ends[seat]...) {
		t.breakWire(w)
	}
}

// gone is the end of a seat's process: all its wires are reset.
func (t *tiers) gone(seat int) {
	for _, w := range append([]*wire(nil), t.ends[seat]...) {
		end := 0
		if w.seats[1] == seat {
			end = 1
		}
		t.hangUp(w, end)
	}
}

func (t *tiers) reach(seat int, n tierNews) {
	t.seats[seat].reach(n)
	t.met = append(t.met, seat)
}

// far is who is at the other end of a seat's wire, and which end is the seat's.
func (w *wire) far(seat int) (other, end int) {
	if w.seats[0] == seat {
		return w.seats[1], 0
	}
	return w.seats[0], 1
}

// buffer is an empty one, for what is to be sent.
func (t *tiers) buffer() []byte {
	if last := len(t.spare) - 1; last >= 0 {
		b := t.spare[last]
		t.spare = t.spare[:last]
		return b[:0]
	}
	return nil
}

// done takes a buffer back whose bytes were taken in.
func (t *tiers) done(b []byte) {
	if cap(b) > 0 && cap(b) <= 64<<10 && len(t.spare) < 256 {
		t.spare = append(t.spare, b)
	}
}
