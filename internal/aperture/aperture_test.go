package aperture

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

// recordingPolicy is a module that keeps what it is told by the rules of logic, and does what a test wants.
type recordingPolicy struct {
	t interface {
		Errorf(format string, args ...any)
	}
	workers    map[uint64]dispatch.Worker
	inFlight   map[uint64]int // attempts, by worker
	subscribed bool           // it has called for the list
	listKnown  bool
	act        func(events []dispatch.Event) []dispatch.Action
}

func newRecordingPolicy(t interface{ Errorf(string, ...any) }) *recordingPolicy {
	return &recordingPolicy{t: t, workers: map[uint64]dispatch.Worker{}, inFlight: map[uint64]int{}}
}

func (v *recordingPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Outcome:
			v.inFlight[e.Worker]--
		case dispatch.JobResumed:
			for _, p := range e.Attempts {
				if !p.Ended {
					v.inFlight[p.Worker]++
				}
			}
		case dispatch.WorkerList:
			v.applyList(e)
		}
	}
	if v.act != nil {
		dst = append(dst, v.act(events)...)
	}
	return dst
}

func (v *recordingPolicy) applyList(e dispatch.WorkerList) {
	if e.Kind == dispatch.ListUnavailable {
		v.subscribed, v.listKnown = false, false
		return
	}
	if e.Kind != dispatch.ListCached { // as the module: whoever watches has called
		v.subscribed, v.listKnown = false, true
	}
	if e.Kind != dispatch.ListDelta {
		v.workers = map[uint64]dispatch.Worker{}
	}
	for _, w := range e.Workers {
		if _, had := v.workers[w.ID]; w.Removed && !had {
			v.t.Errorf("%d goes that was not there", w.ID)
		}
		if v.workers[w.ID] = w; w.Removed {
			delete(v.workers, w.ID)
		}
	}
}

func (v *recordingPolicy) ready() (n int) {
	for _, w := range v.workers {
		if w.Ready {
			n++
		}
	}
	return n
}

var classes = []dispatch.Class{{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent},
	{LatencyObjective: 400 * time.Millisecond, ClientTimeout: 5 * time.Second, Idempotency: dispatch.IdempotentWithKey, DeduplicationScope: dispatch.ScopeCell}}

// cellSettings are settings under which cells stay whole; under byNode they need not.
func cellSettings(me, of int) dispatch.Settings {
	return dispatch.Settings{Replicas: of, ReplicaIndex: me, Classes: classes, StartNotifications: true}
}

func workerSettings(me, of int) dispatch.Settings {
	return dispatch.Settings{Replicas: of, ReplicaIndex: me, Classes: classes[:1], StartNotifications: true}
}

var testConfig = Config{MinWorkers: 40, Coverage: 4, MaxWidening: 4, WidenThreshold: 0.1, Retention: 30 * time.Second}

// testFleet is so many worker nodes in cells of a size, or of sizes from 1 to that if ragged.
func testFleet(nodes, cell int, ragged bool) (list []dispatch.Worker) {
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	for c := 0; len(list) < nodes; c++ {
		size := cell
		if ragged {
			size = 1 + rng.IntN(cell)
		}
		for i := 0; i < size && len(list) < nodes; i++ {
			list = append(list, dispatch.Worker{ID: hash(uint64(len(list) + 1)), Ready: true, Cell: c, Kind: len(list) % 100 / 99})
		}
	}
	return list
}

// deployment is the apertures of some of the schedulers over one list.
type deployment struct {
	apertures []*Aperture
	now       time.Duration
	list      []dispatch.Worker
}

func deploy(t testing.TB, of, every int, set func(me, of int) dispatch.Settings, conf Config, list []dispatch.Worker,
) *deployment {
	d := &deployment{now: time.Minute, list: list}
	for me := 0; me < of; me += every {
		d.apertures = append(d.apertures, New(newRecordingPolicy(t), set(me, of), conf))
	}
	d.applyList(dispatch.ListFull, list)
	return d
}

func (d *deployment) applyList(kind dispatch.ListKind, list []dispatch.Worker) {
	d.now += refreshInterval
	for _, a := range d.apertures {
		a.Step(d.now, []dispatch.Event{dispatch.WorkerList{Kind: kind, Workers: list}}, nil)
	}
}

func (d *deployment) advance(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += evaluationInterval {
		for _, a := range d.apertures {
			a.Step(d.now, []dispatch.Event{dispatch.TimerFired{}}, nil)
		}
	}
}

// desiredUnits is the units that each aperture wants, and their worker nodes.
func (d *deployment) desiredUnits() (all []map[uint64]int) {
	for _, a := range d.apertures {
		m := map[uint64]int{}
		for _, u := range a.units {
			if u.desired {
				m[u.id] = len(u.workers)
			}
		}
		all = append(all, m)
	}
	return all
}

// countMoves counts the worker nodes that apertures take in and let go between two states, and the most at one.
func countMoves(before, after []map[uint64]int) (nodes, most int) {
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
func TestEvenCoverage(t *testing.T) {
	for _, c := range []struct {
		nodes, cell, of, cover int
		ragged                 bool
	}{{100, 1, 2, 2, false}, {100, 4, 10, 2, false}, {100, 1, 100, 4, false}, {1000, 20, 5, 2, false},
		{1000, 20, 40, 4, false}, {1000, 1, 33, 2, false}, {1000, 24, 40, 4, true}, {2000, 20, 51, 4, false},
		{10000, 20, 100, 2, false}, {10000, 1, 7, 4, false}} {
		set, conf := cellSettings, testConfig
		if conf.Coverage = c.cover; c.cell == 1 {
			set = workerSettings
		}
		d := deploy(t, c.of, 1, set, conf, testFleet(c.nodes, c.cell, c.ragged))
		want := min(c.nodes, max(conf.MinWorkers, (conf.Coverage*c.nodes+c.of-1)/c.of))
		// The one seat that an odd number leaves out makes the segments on its ring longer.
		most := max(want, c.nodes/(c.of/ringCount)) + (c.cell+1)/2
		first := 0
		name, seen, ranks := fmt.Sprintf("%+v", c), map[uint64]int{}, map[uint64][]int{}
		for me, a := range d.apertures {
			if held := a.Size().Selected; held < want-(c.cell+1)/2 || held > most && !c.ragged || held > 2*most {
				t.Errorf("%s: %d looks at %d, expected %d to %d", name, me, held, want-(c.cell+1)/2, most)
			}
			view := a.policy.(*recordingPolicy).workers
			for id, w := range view {
				seen[id]++
				if w.AssigneeRank < w.Assignees {
					ranks[id] = append(ranks[id], w.AssigneeRank)
				}
				if w.AssigneeRank == 0 && w.Assignees > 0 && me%ringCount == 0 {
					first++
				}
			}
			for _, u := range a.units {
				for _, n := range u.workers {
					if _, told := view[n.ID]; told != u.selected {
						t.Fatalf("%s: unit %d is not whole at %d", name, u.id, me)
					}
				}
			}
		}
		if c.nodes >= 1000 && (first < c.nodes/4 || first > c.nodes*3/4) {
			t.Errorf("%s: %d worker nodes have their first on one ring", name, first)
		}
		met, first0 := 0, d.apertures[0].policy.(*recordingPolicy).workers
		for _, a := range d.apertures[1:] {
			if slices.ContainsFunc(d.list, func(w dispatch.Worker) bool {
				return first0[w.ID].ID > 0 && a.policy.(*recordingPolicy).workers[w.ID].ID > 0
			}) {
				met++
			}
		}
		if c.nodes == 10000 && met < min(c.of-1, 6) { // else what one has too much of could go to few
			t.Errorf("%s: the first meets only %d others", name, met)
		}
		slack := ringCount
		if c.ragged { // weights go by powers of two
			slack = 4
		}
		for _, w := range d.list {
			if n, mean := seen[w.ID], c.of*want/c.nodes; n < max(ringCount, mean-slack) || n > mean+slack+1 {
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
func TestChangesMoveFewWorkers(t *testing.T) {
	var d *deployment
	expect := func(what string, total, at int, news ...dispatch.Worker) {
		t.Helper()
		before := d.desiredUnits()
		d.applyList(dispatch.ListDelta, news)
		if n, most := countMoves(before, d.desiredUnits()); n > total || most > at {
			t.Errorf("%s moves %d, and %d at one scheduler", what, n, most)
		}
	}
	var rack []dispatch.Worker
	for i := range 20 {
		rack = append(rack, dispatch.Worker{ID: uint64(i + 1), Ready: true, Cell: 9999})
	}
	for of, nodes := range map[int]int{50: 2000, 40: 1000} { // a segment is as long as four cells, or two and a half
		list := testFleet(nodes, 20, false)
		d = deploy(t, of, 1, cellSettings, testConfig, list)
		restart := list[100]
		restart.Removed = true
		expect("a worker node that goes", 20, 20, restart) // of four times as many places as there are worker nodes
		expect("and is back", 20, 20, list[100])
		expect("a new cell", of*20, 4*20, rack...)
	}
	d = deploy(t, 40, 1, cellSettings, testConfig, testFleet(1000, 20, false))
	before := d.desiredUnits()
	for me, a := range d.apertures {
		a.SetSchedulers(me, 41)
	}
	expect("a new scheduler", 1020/2+40*20, 120)
	for me := 1; me < 40; me += ringCount {
		if _, most := countMoves(before[me:me+1], d.desiredUnits()[me:me+1]); most > 20 {
			t.Errorf("and %d on the other ring", most)
		}
	}
	d.apertures[8].SetSchedulers(33, 41)
	d.applyList(dispatch.ListDelta, nil)
	if got := d.desiredUnits(); !maps.Equal(got[8], got[33]) {
		t.Error("a scheduler that takes another's number does not look at what that one did")
	}
	d = deploy(t, 40, 1, workerSettings, testConfig, d.list)
	expect("a new worker node", 40*2, 4, rack[0])
}

// A class that only one kind may run, which is 1% of the fleet, finds a tenth of the least; where crossings have a
// price, the own zone has as many as the whole would.
func TestConstrainedClasses(t *testing.T) {
	list := testFleet(10000, 1, false)
	for i := range list {
		list[i].Zone = i % 3
	}
	set := func(me, of int) dispatch.Settings {
		s := workerSettings(me, of)
		s.Zone, s.CrossZoneCost = me%3, 0.01
		s.Classes = append(slices.Clone(s.Classes), dispatch.Class{LatencyObjective: time.Second, Kinds: []int{1}})
		return s
	}
	conf := testConfig
	conf.MinWorkers = 100
	for _, a := range deploy(t, 100, 17, set, conf, list).apertures {
		kind, near, view := 0, 0, a.policy.(*recordingPolicy).workers
		for _, w := range view {
			kind += w.Kind
			if w.Zone == a.index%3 {
				near++
			}
		}
		if kind < 10 || kind > 25 || near < 400 || len(view) > 1000 {
			t.Errorf("%d has %d of the kind, %d in its zone, %d in all", a.index, kind, near, len(view))
		}
	}
}

// What is lost is made up for at once, and let go a dwell after it is back. Of a fleet that drains but for three, each
// scheduler has these.
func TestLostWorkersAreReplaced(t *testing.T) {
	d := deploy(t, 40, 9, cellSettings, testConfig, testFleet(2000, 20, false))
	a, v := d.apertures[1], d.apertures[1].policy.(*recordingPolicy)
	full, mine := a.Size().Selected, map[int]bool{}
	for _, w := range v.workers {
		if len(mine) < 4 {
			mine[w.Cell] = true
		}
	}
	change := func(of func(w *dispatch.Worker) bool, how func(w *dispatch.Worker)) {
		var news []dispatch.Worker
		for _, w := range d.list {
			if of(&w) {
				how(&w)
				news = append(news, w)
			}
		}
		d.applyList(dispatch.ListDelta, news)
	}
	rack := func(w *dispatch.Worker) bool { return mine[w.Cell] }
	back := func(what string) {
		if d.advance(testConfig.Retention + time.Second); len(v.workers) != full || a.Size().Selected != full {
			t.Errorf("a rack %s and returns: %d held, %d before", what, len(v.workers), full)
		}
	}
	for what, how := range map[string]func(w *dispatch.Worker){"drains": func(w *dispatch.Worker) { w.Ready = false },
		"goes": func(w *dispatch.Worker) { w.Removed = true }} {
		if change(rack, how); v.ready() < full-20 {
			t.Errorf("a rack %s: %d ready of %d before", what, v.ready(), full)
		}
		change(rack, func(*dispatch.Worker) {})
		if d.advance(time.Second); a.Size().Selected <= full {
			t.Errorf("a rack %s: nothing of what came in its place stays for a dwell", what)
		}
		back(what)
	}
	probed := func(r dispatch.Result, times int) { // one that answers nothing is told by what does not come back
		var events []dispatch.Event
		for range times {
			for _, w := range d.list {
				if rack(&w) {
					events = append(events, dispatch.HealthChecked{Worker: w.ID, Result: r})
				}
			}
		}
		a.Step(d.now, events, nil)
	}
	probed(dispatch.TimedOut, maxFailures)
	if d.advance(evaluationInterval); a.Size().SelectedReady-a.Size().Unresponsive < full-20 || a.Size().Unresponsive < 60 {
		t.Errorf("a rack is silent: %+v", a.Size())
	}
	probed(dispatch.OK, 1)
	back("is silent")
	three := func(w *dispatch.Worker) bool {
		return w.ID != d.list[3].ID && w.ID != d.list[900].ID && w.ID != d.list[1777].ID
	}
	change(three, func(w *dispatch.Worker) { w.Ready = false })
	if d.advance(testConfig.Retention + time.Second); v.ready() != 3 || len(v.workers) > 400 {
		t.Errorf("of three that are left it has %d, and %d in all", v.ready(), len(v.workers))
	}
}

// A worker node that has left, and whose last attempt ends in the step in which it comes into a cell that is looked at,
// is there.
func TestReturnWithinOneStep(t *testing.T) {
	d := deploy(t, 40, 40, cellSettings, testConfig, testFleet(1000, 20, false))
	a, v := d.apertures[0], d.apertures[0].policy.(*recordingPolicy)
	i := slices.IndexFunc(d.list, func(w dispatch.Worker) bool { return v.workers[w.ID].ID == 0 })
	in := slices.IndexFunc(d.list, func(w dispatch.Worker) bool { return v.workers[w.ID].ID > 0 })
	w := d.list[i]
	a.Step(d.now, []dispatch.Event{dispatch.JobResumed{Attempts: []dispatch.PastAttempt{{Worker: w.ID}}}}, nil)
	if known, is := v.workers[w.ID]; !is || known.Ready {
		t.Errorf("it is out of the aperture, with an attempt, and known as %+v", known)
	}
	w.Cell = d.list[in].Cell
	a.Step(d.now, []dispatch.Event{dispatch.Outcome{Worker: w.ID}, dispatch.WorkerList{Workers: []dispatch.Worker{w}}}, nil)
	if !v.workers[w.ID].Ready {
		t.Error("it is back, and not ready")
	}
}

// A load that hovers at the bound, so that a narrow aperture does not carry it and a wide one does, does not swing it:
// each time that a narrowing is undone the next one waits longer.
func TestWideningDoesNotOscillate(t *testing.T) {
	v := newRecordingPolicy(t)
	a := New(v, workerSettings(3, 50), testConfig)
	v.act = func(events []dispatch.Event) (do []dispatch.Action) {
		for _, e := range events { // in a narrow aperture 11 or 9 jobs of a hundred, in turn, find no room
			if j, ok := e.(dispatch.Job); ok && (a.widening > 2 || j.ID%100 >= 11-j.ID/1000%2*2) {
				do = append(do, dispatch.Send{Job: j.ID, Worker: 1})
			}
		}
		return do
	}
	now, changes, wide, last := time.Minute, 0, 0, 1.0
	a.Step(now, []dispatch.Event{dispatch.WorkerList{Kind: dispatch.ListFull, Workers: testFleet(2000, 1, false)}}, nil)
	const steps = 1800 * 20 // half an hour
	for i := range steps {
		now += 50 * time.Millisecond
		a.Step(now, []dispatch.Event{dispatch.Job{ID: uint64(i + 1)}}, nil)
		if a.widening != last {
			changes++
			last = a.widening
		}
		if i > steps/2 && a.widening > 1.4 {
			wide++
		}
	}
	if changes > 50 || wide < steps/2*9/10 {
		t.Errorf("%d changes in half an hour, wide in %d of %d steps of its second half", changes, wide, steps/2)
	}
	for range 1800 * 4 { // and back, with nothing more to do
		now += evaluationInterval
		a.Step(now, nil, nil)
	}
	if s := a.Size(); s.Widening != 1 || s.Selected != 160 {
		t.Errorf("half an hour after the load: %+v", s)
	}
}

// fixedPolicy sends each job to the same worker at once.
type fixedPolicy struct{ worker uint64 }

func (m *fixedPolicy) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			dst = append(dst, dispatch.Send{Job: j.ID, Worker: m.worker})
		}
	}
	return dst
}

// What an aperture costs one of 100 schedulers: a first list and a further one, a change (the aperture is found anew at
// most every 50 ms, which pass here between any two), a look every 250 ms, and a job from its arrival to its end.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{100, 1000, 10000} {
		for cell, set := range map[int]dispatch.Settings{20: cellSettings(7, 100), 1: workerSettings(7, 100)} {
			list := testFleet(nodes, cell, false)
			m, now, dst := &fixedPolicy{worker: list[0].ID}, time.Minute, []dispatch.Action(nil)
			full := dispatch.WorkerList{Kind: dispatch.ListFull, Workers: list}
			a := New(m, set, DefaultConfig())
			step := func(span time.Duration, e ...dispatch.Event) {
				now += span
				dst = a.Step(now, e, dst[:0])
			}
			step(0, full)
			for _, c := range []struct {
				what string
				do   func(i int)
			}{{"first", func(int) { New(m, set, DefaultConfig()).Step(now, []dispatch.Event{full}, dst[:0]) }},
				{"list", func(int) { step(0, full) }},
				{"change", func(i int) {
					list[i/2%nodes].Ready = i%2 == 1
					step(refreshInterval, dispatch.WorkerList{Workers: list[i/2%nodes : i/2%nodes+1]})
				}},
				{"look", func(int) { step(evaluationInterval) }},
				{"job", func(i int) {
					id := uint64(i + 1)
					step(time.Microsecond, dispatch.Job{ID: id})
					step(0, dispatch.Started{Job: id, Worker: m.worker})
					step(0, dispatch.Outcome{Job: id, Worker: m.worker, Closed: true})
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
func TestEnabledFromMinSchedulers(t *testing.T) {
	conf := DefaultConfig()
	for n, on := range map[int]bool{0: false, 1: false, 2: true, 300: true} {
		if conf.Enabled(n) != on {
			t.Errorf("by default, %d schedulers: %v", n, !on)
		}
	}
	conf.MinSchedulers = 60
	for n, on := range map[int]bool{1: false, 59: false, 60: true} {
		if conf.Enabled(n) != on {
			t.Errorf("from 60 on, %d schedulers: %v", n, !on)
		}
	}
}

// What the aperture changes before discovery has said anything, and while its list is lost, is told as the list that was
// known: taken for discovery's word, it would have the module believe that it follows the list, and call for none.
func TestOwnUpdatesAreNotListUpdates(t *testing.T) {
	set := dispatch.Settings{ReplicaIndex: 0, Replicas: 4, MustSubscribe: true, PollInterval: 10 * time.Second}
	v := newRecordingPolicy(t)
	a := New(v, set, Config{MinWorkers: 2, Coverage: 2, MinFleet: 1, MaxWidening: 8, WidenThreshold: 0.1, Retention: time.Second})
	list := func(kind dispatch.ListKind, silent uint64) dispatch.WorkerList {
		l := dispatch.WorkerList{Kind: kind}
		for id := uint64(1); id <= 12; id++ {
			l.Workers = append(l.Workers, dispatch.Worker{ID: id, Ready: id != silent})
		}
		return l
	}
	now := time.Hour
	pass := func() {
		for range 40 {
			now += 100 * time.Millisecond
			a.Step(now, []dispatch.Event{dispatch.TimerFired{}}, nil)
		}
	}
	a.Step(now, []dispatch.Event{list(dispatch.ListCached, 0)}, nil)
	a.SetSchedulers(1, 4) // it looks elsewhere
	if pass(); v.listKnown {
		t.Fatal("the module believes that it follows the list before discovery has said anything")
	}
	a.Step(now, []dispatch.Event{list(dispatch.ListFull, 0)}, nil)
	if !v.listKnown {
		t.Fatal("the list is not followed")
	}
	a.Step(now, []dispatch.Event{dispatch.WorkerList{Kind: dispatch.ListUnavailable}}, nil)
	a.SetSchedulers(2, 4)
	if pass(); v.listKnown {
		t.Fatal("the module believes that it follows a list that is lost")
	}
}
