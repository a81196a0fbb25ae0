package aperture

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/logic"
)

// viewer is a module that keeps what it is told by the rules of logic, and does what a test wants.
type viewer struct {
	t interface {
		Errorf(format string, args ...any)
	}
	view    map[uint64]logic.Worker
	out     map[uint64]int // attempts, by worker
	asked   bool           // it has called for the list
	follows bool
	act     func(events []logic.Event) []logic.Action
}

func newViewer(t interface{ Errorf(string, ...any) }) *viewer {
	return &viewer{t: t, view: map[uint64]logic.Worker{}, out: map[uint64]int{}}
}

func (v *viewer) Step(_ time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	for _, e := range events {
		switch e := e.(type) {
		case logic.Outcome:
			v.out[e.Worker]--
		case logic.Resumed:
			for _, p := range e.Attempts {
				if !p.Ended {
					v.out[p.Worker]++
				}
			}
		case logic.WorkerList:
			v.take(e)
		}
	}
	if v.act != nil {
		dst = append(dst, v.act(events)...)
	}
	return dst
}

func (v *viewer) take(e logic.WorkerList) {
	if e.Kind == logic.ListLost {
		v.asked, v.follows = false, false
		return
	}
	if e.Kind != logic.ListCached { // as the module: whoever watches has called
		v.asked, v.follows = false, true
	}
	if e.Kind != logic.ListDelta {
		v.view = map[uint64]logic.Worker{}
	}
	for _, w := range e.Workers {
		if _, had := v.view[w.ID]; w.Gone && !had {
			v.t.Errorf("%d goes that was not there", w.ID)
		}
		if v.view[w.ID] = w; w.Gone {
			delete(v.view, w.ID)
		}
	}
}

func (v *viewer) ready() (n int) {
	for _, w := range v.view {
		if w.Ready {
			n++
		}
	}
	return n
}

var classes = []logic.Class{{Aim: 400 * time.Millisecond, GiveUp: 5 * time.Second, Effect: logic.Safe},
	{Aim: 400 * time.Millisecond, GiveUp: 5 * time.Second, Effect: logic.Keyed, Group: logic.GroupCell}}

// byCell are settings under which cells stay whole; under byNode they need not.
func byCell(me, of int) logic.Settings {
	return logic.Settings{Replicas: of, Me: me, Classes: classes, TellsStart: true}
}

func byNode(me, of int) logic.Settings {
	return logic.Settings{Replicas: of, Me: me, Classes: classes[:1], TellsStart: true}
}

var conf = Config{Least: 40, Cover: 4, Most: 4, WidenAt: 0.1, Dwell: 30 * time.Second}

// group is so many worker nodes in cells of a size, or of sizes from 1 to that if ragged.
func group(nodes, cell int, ragged bool) (list []logic.Worker) {
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	for c := 0; len(list) < nodes; c++ {
		size := cell
		if ragged {
			size = 1 + rng.IntN(cell)
		}
		for i := 0; i < size && len(list) < nodes; i++ {
			list = append(list, logic.Worker{ID: mix(uint64(len(list) + 1)), Ready: true, Cell: c, Kind: len(list) % 100 / 99})
		}
	}
	return list
}

// deployment is the apertures of some of the schedulers over one list.
type deployment struct {
	all  []*Aperture
	now  time.Duration
	list []logic.Worker
}

func deploy(t testing.TB, of, every int, set func(me, of int) logic.Settings, conf Config, list []logic.Worker,
) *deployment {
	d := &deployment{now: time.Minute, list: list}
	for me := 0; me < of; me += every {
		d.all = append(d.all, Wrap(newViewer(t), set(me, of), conf))
	}
	d.tell(logic.ListFull, list)
	return d
}

func (d *deployment) tell(kind logic.ListKind, list []logic.Worker) {
	d.now += refreshEvery
	for _, a := range d.all {
		a.Step(d.now, []logic.Event{logic.WorkerList{Kind: kind, Workers: list}}, nil)
	}
}

func (d *deployment) wait(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += tickEvery {
		for _, a := range d.all {
			a.Step(d.now, []logic.Event{logic.TimerFired{}}, nil)
		}
	}
}

// wanted is the units that each aperture wants, and their worker nodes.
func (d *deployment) wanted() (all []map[uint64]int) {
	for _, a := range d.all {
		m := map[uint64]int{}
		for _, u := range a.units {
			if u.wanted {
				m[u.id] = len(u.nodes)
			}
		}
		all = append(all, m)
	}
	return all
}

// moved counts the worker nodes that apertures take in and let go between two states, and the most at one.
func moved(before, after []map[uint64]int) (nodes, most int) {
	for i := range after {
		n := 0
		for id, size := range after[i] {
			if before[i][id] == 0 {
				n += size
			}
		}
		for id, size := range before[i] {
			if after[i][id] == 0 {
				n += size
			}
		}
		nodes, most = nodes+n, max(most, n)
	}
	return nodes, most
}

// Every scheduler looks at as many worker nodes, to the nearest cell; every worker node is looked at by as many, give
// or take one on each ring; cells are whole; and of those that may warm a worker node up there is one of each rank.
func TestEven(t *testing.T) {
	for _, c := range []struct {
		nodes, cell, of, cover int
		ragged                 bool
	}{{100, 1, 2, 2, false}, {100, 4, 10, 2, false}, {100, 1, 100, 4, false}, {1000, 20, 5, 2, false},
		{1000, 20, 40, 4, false}, {1000, 1, 33, 2, false}, {1000, 24, 40, 4, true}, {2000, 20, 51, 4, false},
		{10000, 20, 100, 2, false}, {10000, 1, 7, 4, false}} {
		set, conf := byCell, conf
		if conf.Cover = c.cover; c.cell == 1 {
			set = byNode
		}
		d := deploy(t, c.of, 1, set, conf, group(c.nodes, c.cell, c.ragged))
		want := min(c.nodes, max(conf.Least, (conf.Cover*c.nodes+c.of-1)/c.of))
		// The one seat that an odd number leaves out makes the segments on its ring longer.
		most := max(want, c.nodes/(c.of/rings)) + (c.cell+1)/2
		first := 0
		name, seen, ranks := fmt.Sprintf("%+v", c), map[uint64]int{}, map[uint64][]int{}
		for me, a := range d.all {
			if held := a.Size().Held; held < want-(c.cell+1)/2 || held > most && !c.ragged || held > 2*most {
				t.Errorf("%s: %d looks at %d, expected %d to %d", name, me, held, want-(c.cell+1)/2, most)
			}
			view := a.inner.(*viewer).view
			for id, w := range view {
				seen[id]++
				if w.Rank < w.Of {
					ranks[id] = append(ranks[id], w.Rank)
				}
				if w.Rank == 0 && w.Of > 0 && me%rings == 0 {
					first++
				}
			}
			for _, u := range a.units {
				for _, n := range u.nodes {
					if _, told := view[n.ID]; told != u.held {
						t.Fatalf("%s: unit %d is not whole at %d", name, u.id, me)
					}
				}
			}
		}
		if c.nodes >= 1000 && (first < c.nodes/4 || first > c.nodes*3/4) {
			t.Errorf("%s: %d worker nodes have their first on one ring", name, first)
		}
		met, first0 := 0, d.all[0].inner.(*viewer).view
		for _, a := range d.all[1:] {
			if slices.ContainsFunc(d.list, func(w logic.Worker) bool {
				return first0[w.ID].ID > 0 && a.inner.(*viewer).view[w.ID].ID > 0
			}) {
				met++
			}
		}
		if c.nodes == 10000 && met < min(c.of-1, 6) { // else what one has too much of could go to few
			t.Errorf("%s: the first meets only %d others", name, met)
		}
		slack := rings
		if c.ragged { // weights go by powers of two
			slack = 4
		}
		for _, w := range d.list {
			if n, mean := seen[w.ID], c.of*want/c.nodes; n < max(rings, mean-slack) || n > mean+slack+1 {
				t.Fatalf("%s: a worker node is seen by %d, expected %d", name, n, mean)
			}
			if slices.Sort(ranks[w.ID]); c.of > 2 && !slices.Equal(ranks[w.ID], []int{0, 1}) {
				t.Fatalf("%s: ranks %v may warm a worker node up", name, ranks[w.ID])
			}
		}
	}
}

// Restarts within cells move nothing; a cell, or a worker node where cells don't count, moves one of its size at each
// end of an aperture; a scheduler that joins moves those on its ring, by half a segment on the mean.
func TestFewMove(t *testing.T) {
	var d *deployment
	expect := func(what string, total, at int, news ...logic.Worker) {
		t.Helper()
		before := d.wanted()
		d.tell(logic.ListDelta, news)
		if n, most := moved(before, d.wanted()); n > total || most > at {
			t.Errorf("%s moves %d, and %d at one scheduler", what, n, most)
		}
	}
	var rack []logic.Worker
	for i := range 20 {
		rack = append(rack, logic.Worker{ID: uint64(i + 1), Ready: true, Cell: 9999})
	}
	for of, nodes := range map[int]int{50: 2000, 40: 1000} { // a segment is as long as four cells, or two and a half
		list := group(nodes, 20, false)
		d = deploy(t, of, 1, byCell, conf, list)
		restart := list[100]
		restart.Gone = true
		expect("a worker node that goes", 20, 20, restart) // of four times as many places as there are worker nodes
		expect("and is back", 20, 20, list[100])
		expect("a new cell", of*20, 4*20, rack...)
	}
	d = deploy(t, 40, 1, byCell, conf, group(1000, 20, false))
	before := d.wanted()
	for me, a := range d.all {
		a.Members(me, 41)
	}
	expect("a new scheduler", 1020/2+40*20, 120)
	for me := 1; me < 40; me += rings {
		if _, most := moved(before[me:me+1], d.wanted()[me:me+1]); most > 20 {
			t.Errorf("and %d on the other ring", most)
		}
	}
	d.all[8].Members(33, 41)
	d.tell(logic.ListDelta, nil)
	if got := d.wanted(); !maps.Equal(got[8], got[33]) {
		t.Error("a scheduler that takes another's number does not look at what that one did")
	}
	d = deploy(t, 40, 1, byNode, conf, d.list)
	expect("a new worker node", 40*2, 4, rack[0])
}

// A class that only one kind may run, which is 1% of the fleet, finds a tenth of the least; where crossings have a
// price, the own zone has as many as the whole would.
func TestBound(t *testing.T) {
	list := group(10000, 1, false)
	for i := range list {
		list[i].Zone = i % 3
	}
	set := func(me, of int) logic.Settings {
		s := byNode(me, of)
		s.Zone, s.CrossPrice = me%3, 0.01
		s.Classes = append(slices.Clone(s.Classes), logic.Class{Aim: time.Second, Kinds: []int{1}})
		return s
	}
	conf := conf
	conf.Least = 100
	for _, a := range deploy(t, 100, 17, set, conf, list).all {
		kind, near, view := 0, 0, a.inner.(*viewer).view
		for _, w := range view {
			kind += w.Kind
			if w.Zone == a.me%3 {
				near++
			}
		}
		if kind < 10 || kind > 25 || near < 400 || len(view) > 1000 {
			t.Errorf("%d has %d of the kind, %d in its zone, %d in all", a.me, kind, near, len(view))
		}
	}
}

// What is lost is made up for at once, and let go a dwell after it is back. Of a fleet that drains but for three, each
// scheduler has these.
func TestLoss(t *testing.T) {
	d := deploy(t, 40, 9, byCell, conf, group(2000, 20, false))
	a, v := d.all[1], d.all[1].inner.(*viewer)
	full, mine := a.Size().Held, map[int]bool{}
	for _, w := range v.view {
		if len(mine) < 4 {
			mine[w.Cell] = true
		}
	}
	change := func(of func(w *logic.Worker) bool, how func(w *logic.Worker)) {
		var news []logic.Worker
		for _, w := range d.list {
			if of(&w) {
				how(&w)
				news = append(news, w)
			}
		}
		d.tell(logic.ListDelta, news)
	}
	rack := func(w *logic.Worker) bool { return mine[w.Cell] }
	back := func(what string) {
		if d.wait(conf.Dwell + time.Second); len(v.view) != full || a.Size().Held != full {
			t.Errorf("a rack %s and returns: %d held, %d before", what, len(v.view), full)
		}
	}
	for what, how := range map[string]func(w *logic.Worker){"drains": func(w *logic.Worker) { w.Ready = false },
		"goes": func(w *logic.Worker) { w.Gone = true }} {
		if change(rack, how); v.ready() < full-20 {
			t.Errorf("a rack %s: %d ready of %d before", what, v.ready(), full)
		}
		change(rack, func(*logic.Worker) {})
		if d.wait(time.Second); a.Size().Held <= full {
			t.Errorf("a rack %s: nothing of what came in its place stays for a dwell", what)
		}
		back(what)
	}
	probed := func(r logic.Result, times int) { // one that answers nothing is told by what does not come back
		var events []logic.Event
		for range times {
			for _, w := range d.list {
				if rack(&w) {
					events = append(events, logic.Probed{Worker: w.ID, Result: r})
				}
			}
		}
		a.Step(d.now, events, nil)
	}
	probed(logic.TimedOut, strikesMost)
	if d.wait(tickEvery); a.Size().HeldReady-a.Size().Silent < full-20 || a.Size().Silent < 60 {
		t.Errorf("a rack is silent: %+v", a.Size())
	}
	probed(logic.OK, 1)
	back("is silent")
	three := func(w *logic.Worker) bool {
		return w.ID != d.list[3].ID && w.ID != d.list[900].ID && w.ID != d.list[1777].ID
	}
	change(three, func(w *logic.Worker) { w.Ready = false })
	if d.wait(conf.Dwell + time.Second); v.ready() != 3 || len(v.view) > 400 {
		t.Errorf("of three that are left it has %d, and %d in all", v.ready(), len(v.view))
	}
}

// A worker node that has left, and whose last attempt ends in the step in which it comes into a cell that is looked at,
// is there.
func TestBackAtOnce(t *testing.T) {
	d := deploy(t, 40, 40, byCell, conf, group(1000, 20, false))
	a, v := d.all[0], d.all[0].inner.(*viewer)
	i := slices.IndexFunc(d.list, func(w logic.Worker) bool { return v.view[w.ID].ID == 0 })
	in := slices.IndexFunc(d.list, func(w logic.Worker) bool { return v.view[w.ID].ID > 0 })
	w := d.list[i]
	a.Step(d.now, []logic.Event{logic.Resumed{Attempts: []logic.Past{{Worker: w.ID}}}}, nil)
	if known, is := v.view[w.ID]; !is || known.Ready {
		t.Errorf("it is out of the aperture, with an attempt, and known as %+v", known)
	}
	w.Cell = d.list[in].Cell
	a.Step(d.now, []logic.Event{logic.Outcome{Worker: w.ID}, logic.WorkerList{Workers: []logic.Worker{w}}}, nil)
	if !v.view[w.ID].Ready {
		t.Error("it is back, and not ready")
	}
}

// A load that hovers at the bound, so that a narrow aperture does not carry it and a wide one does, does not swing it:
// each time that a narrowing is undone the next one waits longer.
func TestNoSwing(t *testing.T) {
	v := newViewer(t)
	a := Wrap(v, byNode(3, 50), conf)
	v.act = func(events []logic.Event) (do []logic.Action) {
		for _, e := range events { // in a narrow aperture 11 or 9 jobs of a hundred, in turn, find no room
			if j, ok := e.(logic.Job); ok && (a.factor > 2 || j.ID%100 >= 11-j.ID/1000%2*2) {
				do = append(do, logic.Send{Job: j.ID, Worker: 1})
			}
		}
		return do
	}
	now, changes, wide, last := time.Minute, 0, 0, 1.0
	a.Step(now, []logic.Event{logic.WorkerList{Kind: logic.ListFull, Workers: group(2000, 1, false)}}, nil)
	const steps = 1800 * 20 // half an hour
	for i := range steps {
		now += 50 * time.Millisecond
		a.Step(now, []logic.Event{logic.Job{ID: uint64(i + 1)}}, nil)
		if a.factor != last {
			changes++
			last = a.factor
		}
		if i > steps/2 && a.factor > 1.4 {
			wide++
		}
	}
	if changes > 50 || wide < steps/2*9/10 {
		t.Errorf("%d changes in half an hour, wide in %d of %d steps of its second half", changes, wide, steps/2)
	}
	for range 1800 * 4 { // and back, with nothing more to do
		now += tickEvery
		a.Step(now, nil, nil)
	}
	if s := a.Size(); s.Factor != 1 || s.Held != 160 {
		t.Errorf("half an hour after the load: %+v", s)
	}
}

// sender sends each job to the same worker at once.
type sender struct{ to uint64 }

func (m *sender) Step(_ time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	for _, e := range events {
		if j, ok := e.(logic.Job); ok {
			dst = append(dst, logic.Send{Job: j.ID, Worker: m.to})
		}
	}
	return dst
}

// What an aperture costs one of 100 schedulers: a first list and a further one, a change (the aperture is found anew at
// most every 50 ms, which pass here between any two), a look every 250 ms, and a job from its arrival to its end.
func Benchmark(b *testing.B) {
	for _, nodes := range []int{100, 1000, 10000} {
		for cell, set := range map[int]logic.Settings{20: byCell(7, 100), 1: byNode(7, 100)} {
			list := group(nodes, cell, false)
			m, now, dst := &sender{to: list[0].ID}, time.Minute, []logic.Action(nil)
			full := logic.WorkerList{Kind: logic.ListFull, Workers: list}
			a := Wrap(m, set, Defaults())
			step := func(span time.Duration, e ...logic.Event) {
				now += span
				dst = a.Step(now, e, dst[:0])
			}
			step(0, full)
			for _, c := range []struct {
				what string
				do   func(i int)
			}{{"first", func(int) { Wrap(m, set, Defaults()).Step(now, []logic.Event{full}, dst[:0]) }},
				{"list", func(int) { step(0, full) }},
				{"change", func(i int) {
					list[i/2%nodes].Ready = i%2 == 1
					step(refreshEvery, logic.WorkerList{Workers: list[i/2%nodes : i/2%nodes+1]})
				}},
				{"look", func(int) { step(tickEvery) }},
				{"job", func(i int) {
					id := uint64(i + 1)
					step(time.Microsecond, logic.Job{ID: id})
					step(0, logic.Started{Job: id, Worker: m.to})
					step(0, logic.Outcome{Job: id, Worker: m.to, Closed: true})
				}}} {
				b.Run(fmt.Sprintf("%s/nodes=%d/cell=%d", c.what, nodes, cell), func(b *testing.B) {
					b.ReportAllocs()
					for i := range b.N {
						c.do(i)
					}
				})
			}
		}
	}
}

// One scheduler never has an aperture, and as many as the key names or more do.
func TestFromSchedulers(t *testing.T) {
	conf := Defaults()
	for n, on := range map[int]bool{0: false, 1: false, 2: true, 300: true} {
		if conf.On(n) != on {
			t.Errorf("by default, %d schedulers: %v", n, !on)
		}
	}
	conf.From = 60
	for n, on := range map[int]bool{1: false, 59: false, 60: true} {
		if conf.On(n) != on {
			t.Errorf("from 60 on, %d schedulers: %v", n, !on)
		}
	}
}

// What the aperture changes before discovery has said anything, and while its list is lost, is told as the list that was
// known: taken for discovery's word, it would have the module believe that it follows the list, and call for none.
func TestOwnChangesAreNoWordOfDiscoverys(t *testing.T) {
	set := logic.Settings{Me: 0, Replicas: 4, MustSubscribe: true, AskEvery: 10 * time.Second}
	v := newViewer(t)
	a := Wrap(v, set, Config{Least: 2, Cover: 2, OffBelow: 1, Most: 8, WidenAt: 0.1, Dwell: time.Second})
	list := func(kind logic.ListKind, silent uint64) logic.WorkerList {
		l := logic.WorkerList{Kind: kind}
		for id := uint64(1); id <= 12; id++ {
			l.Workers = append(l.Workers, logic.Worker{ID: id, Ready: id != silent})
		}
		return l
	}
	now := time.Hour
	pass := func() {
		for range 40 {
			now += 100 * time.Millisecond
			a.Step(now, []logic.Event{logic.TimerFired{}}, nil)
		}
	}
	a.Step(now, []logic.Event{list(logic.ListCached, 0)}, nil)
	a.Members(1, 4) // it looks elsewhere
	if pass(); v.follows {
		t.Fatal("the module believes that it follows the list before discovery has said anything")
	}
	a.Step(now, []logic.Event{list(logic.ListFull, 0)}, nil)
	if !v.follows {
		t.Fatal("the list is not followed")
	}
	a.Step(now, []logic.Event{logic.WorkerList{Kind: logic.ListLost}}, nil)
	a.Members(2, 4)
	if pass(); v.follows {
		t.Fatal("the module believes that it follows a list that is lost")
	}
}
