package world

import (
	"maps"
	"strings"
	"testing"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// Whatever befalls worker nodes, discovery, the network and schedulers: once all is well again, each scheduler that
// has applied what it was told has discovery's list, that list is true, and what counts as told is what is so.
func FuzzDiscovery(f *testing.F) { modeltest.Fuzz(f, runDiscovery) }

func runDiscovery(s *modeltest.Steps) {
	spec := quiet(2+s.Pick(7), 1+s.Pick(3))
	if s.Pick(2) == 0 {
		spec.Discovery.Capacity = 20
	}
	f := newFate(s.T, spec, uint64(s.Pick(8)))
	d := f.w.disco
	var undos []func()
	for s.More() {
		n, sched := f.w.nodes[s.Pick(len(f.w.nodes))], f.w.scheds[s.Pick(len(f.w.scheds))]
		back := time.Duration(s.Pick(8)) * 700 * time.Millisecond
		some := []int{n.n, (n.n + 1) % len(f.w.nodes)}
		undo := func() {}
		what := s.Pick(20)
		if what > 16 {
			f.run(time.Duration(1+s.Pick(40)) * 150 * time.Millisecond)
			continue
		}
		f.do(func() {
			switch what {
			case 0:
				n.crash(back)
			case 1:
				n.vanish(back)
			case 2:
				n.restart(back)
			case 3:
				n.replace(back)
			case 4:
				n.drain()
			case 5:
				if n.n > 0 {
					n.remove()
				}
			case 6:
				undo = d.down()
			case 7:
				if d.behind < 10*time.Second { // else nothing would be known in the end
					undo = d.late(2 * time.Second)
				}
			case 8:
				undo = d.wrong(some)
			case 9:
				undo = d.old()
			case 10:
				undo = d.slow(3)
			case 11:
				d.move()
				for _, x := range f.w.scheds {
					x.reload()
				}
			case 12:
				undo = f.w.net.cut(crowd{kind: aSched, only: map[int]bool{sched.n: true}}, crowd{kind: theDisco}, s.Pick(2) == 0)
			case 13:
				pass, reach := f.w.net.cut(crowd{kind: aNode, only: map[int]bool{some[0]: true, some[1]: true}},
					crowd{kind: theDisco}, false), d.cutOff(some)
				undo = func() { pass(); reach() }
			case 14:
				sched.kill(back + time.Millisecond)
			case 15:
				sched.freeze(back)
			case 16:
				if len(undos) > 0 {
					i := s.Pick(len(undos))
					undos[i]()
					undos = append(undos[:i], undos[i+1:]...)
				}
			}
		})
		undos = append(undos, undo)
	}
	for _, undo := range undos {
		f.do(undo)
	}
	f.run(100 * time.Second) // the longest drain is 30 s, and lists a line each 50 ms
	want := map[string]requests.Endpoint{}
	for _, n := range f.w.nodes {
		e := &d.list[d.of[n.n]]
		if up := n.state == nodeUp && !n.gone; up {
			state := map[bool]string{false: "up", true: "draining"}[n.draining]
			want[n.id] = requests.Endpoint{
				ID: n.id, Addr: f.w.NodeAddr(n.place()), Zone: "a", MachineType: n.kind.Name, Cell: n.cell,
				Lifecycle: state, Weight: e.host.Weight, StartedAtMs: n.startedMs(),
			}
		}
	}
	for i, x := range f.scheds {
		s.Check(x.gen == d.gen, "scheduler %d has generation %d of %d", i, x.gen, d.gen)
		s.Check(maps.Equal(x.list, want), "scheduler %d has %v, and so it is: %v", i, x.list, want)
		told := map[int]seen.What{}
		for _, e := range f.all(0, seen.SchedUp, seen.Drained, seen.Started) {
			if e.Sched != i {
				continue
			}
			if e.What == seen.SchedUp {
				told = map[int]seen.What{}
				continue
			}
			s.Check(e.What == seen.Started || told[e.Node] != e.What || f.w.nodes[e.Node].boot > 1,
				"told twice of the drain of a worker node that never started again")
			told[e.Node] = e.What
		}
		for _, n := range f.w.nodes {
			h, listed := want[n.id]
			s.Check(!listed || d.told(i, n), "scheduler %d was not told of %s", i, n.id)
			s.Check((told[n.n] == seen.Drained) == (!listed && told[n.n] != 0 || h.Lifecycle == "draining"),
				"scheduler %d: %s is %q, and was last told of by sight %d", i, n.id, h.Lifecycle, told[n.n])
		}
	}
	s.Check(len(d.held) == 0 && len(d.line) == 0 && d.serving == nil && d.behind == 0, "something is left over")
}

// When a drain counts as told.
func TestToldAt(t *testing.T) {
	const drained = 20 * time.Second
	scheds := crowd{kind: aSched}
	disco := crowd{kind: theDisco}
	for name, x := range map[string]struct {
		before      func(f *fate)
		after       func(f *fate)
		from, until time.Duration // of when it was listed
	}{
		"over a watch": {from: 0, until: 5 * time.Millisecond},
		"on a watch that is cut off": {
			before: func(f *fate) { f.w.net.cut(disco, scheds, true) },
			from:   6 * time.Second, until: 6 * time.Second,
		},
		"without a watch": {
			before: func(f *fate) { f.scheds[0].mute = true; f.w.disco.down()() },
			from:   9 * time.Second, until: 10 * time.Second,
		}, // ask_every, from when it had the watch
		"after a call that failed": {
			before: func(f *fate) {
				f.w.disco.down()
				f.w.after(2*time.Second, func() { f.scheds[0].mute = true })
			},
			from: 38 * time.Second, until: 40 * time.Second,
		},
		"after SIGHUP": {
			before: func(f *fate) { f.w.disco.down() }, after: func(f *fate) { f.w.scheds[0].reload() },
			from: 8 * time.Second, until: 8100 * time.Millisecond,
		},
		"by the next process": {
			before: func(f *fate) { f.w.scheds[0].kill(10 * time.Second) },
			from:   5 * time.Second, until: 6 * time.Second,
		},
		"frozen": {before: func(f *fate) { f.w.scheds[0].freeze(time.Minute) }, from: 0, until: 5 * time.Millisecond},
	} {
		f := newFate(t, quiet(4, 1), 1)
		f.run(drained - 3*time.Second)
		if x.before != nil {
			f.do(func() { x.before(f) })
		}
		f.run(drained - f.w.now)
		gen := f.w.disco.gen
		f.do(f.w.nodes[2].drain)
		for f.w.disco.gen == gen {
			f.run(time.Millisecond)
		}
		listed := f.w.now
		if x.after != nil {
			f.run(4 * time.Second)
			f.do(func() { x.after(f) })
		}
		f.run(45 * time.Second)
		told := f.all(0, seen.Drained)
		if len(told) != 1 || told[0].Node != 2 || told[0].At < listed+x.from-2*time.Millisecond ||
			told[0].At > listed+x.until {
			t.Errorf("%s: listed at %v, told: %v", name, listed, told)
		}
	}
}

// Notices come late, each by its kind, and a machine that is cut off from discovery is silent to it.
func TestNotices(t *testing.T) {
	cut := func(f *fate) { f.w.disco.cutOff([]int{1}) }
	crash := func(f *fate) { f.w.nodes[1].crash(0) }
	for name, x := range map[string]struct {
		do       func(f *fate)
		from, to int // ms
		state    string
	}{
		"drain":       {func(f *fate) { f.w.nodes[1].drain() }, 700, 1800, "draining"},
		"crash":       {crash, 700, 1800, "removed"},
		"vanish":      {func(f *fate) { f.w.nodes[1].vanish(0) }, 5600, 10900, "removed"},
		"cut":         {cut, 5600, 10900, "removed"},
		"cut, crash":  {func(f *fate) { cut(f); crash(f) }, 5600, 10900, "removed"},
		"crash, late": {func(f *fate) { f.w.disco.late(5 * time.Second); crash(f) }, 5700, 6800, "removed"},
	} {
		for seed := range uint64(5) {
			f := newFate(t, quiet(4, 1), seed)
			f.run(10 * time.Second)
			from := len(f.ins)
			f.do(func() { x.do(f) })
			at := f.w.now
			for len(f.came(from, edge.Listed)) == 0 && f.w.now < at+15*time.Second {
				f.run(10 * time.Millisecond)
			}
			lists := f.came(from, edge.Listed)
			if len(lists) != 1 || len(lists[0].List.Endpoints) != 1 || lists[0].List.Endpoints[0].Lifecycle != x.state ||
				(f.w.now-at).Milliseconds() < int64(x.from) || (f.w.now-at).Milliseconds() > int64(x.to) {
				t.Errorf("%s: after %v: %v", name, f.w.now-at, lists)
			}
		}
	}
}

// What is done to discovery, and what a scheduler then hears of the list, in order.
func TestListFaults(t *testing.T) {
	var undo func()
	one := func(f *fate) *node { return f.w.nodes[1] }
	type act func(f *fate)
	crash, start := func(f *fate) { one(f).crash(0) }, func(f *fate) { one(f).start() }
	off := func(*fate) { undo() }
	for name, x := range map[string]struct {
		acts []act // with 20 s after each
		want string
	}{
		"well":         {[]act{crash, start}, "removed up2 "},
		"wrong":        {[]act{func(f *fate) { undo = f.w.disco.wrong([]int{1}) }, crash, start, crash, off}, "up2 removed "},
		"wrong, later": {[]act{crash, func(f *fate) { undo = f.w.disco.wrong([]int{1}) }, off}, "removed up1 removed "},
		"old":          {[]act{func(f *fate) { undo = f.w.disco.old() }, crash, off}, "removed "},
		"down": {
			[]act{func(f *fate) { undo = f.w.disco.down() }, crash, func(f *fate) { f.scheds[0].mute = true; undo() }},
			"end failed ",
		},
		"cut": {[]act{func(f *fate) { f.w.after(9*time.Second, f.w.disco.cutOff([]int{1})) }}, "removed up1 "},
		"cut, then drains unseen": {[]act{
			func(f *fate) { undo = f.w.disco.cutOff([]int{1}) },
			func(f *fate) { one(f).drain() }, off,
		}, "removed draining "},
		"moved": {[]act{
			func(f *fate) { f.w.disco.move() }, func(f *fate) { f.scheds[0].mute = true; f.w.scheds[0].reload() },
			crash,
		}, "end failed whole removed "},
	} {
		f := newFate(t, quiet(4, 1), 2)
		f.run(10 * time.Second)
		from, got := len(f.ins), ""
		for _, a := range x.acts {
			f.do(func() { a(f) })
			f.run(20 * time.Second)
		}
		for _, in := range f.ins[from:] {
			switch {
			case in.Kind == edge.Unlisted && got == "":
				got = "end "
			case in.Kind == edge.Unlisted && got == "end ": // and again and again
				got += "failed "
			case in.Kind == edge.Listed && in.List.Reset:
				got += "whole "
			case in.Kind == edge.Listed && len(in.List.Endpoints) == 1:
				if h := in.List.Endpoints[0]; h.Lifecycle != "up" {
					got += h.Lifecycle + " "
				} else {
					got += map[bool]string{true: "up1 ", false: "up2 "}[h.StartedAtMs == 0]
				}
			}
		}
		if got != x.want {
			t.Errorf("%s: heard %q, and should have %q", name, got, x.want)
		}
		// What is new in a line that is heard counts as told, and once.
		news := strings.Count(x.want, "up") + strings.Count(x.want, "removed")
		if told := f.all(0, seen.Drained, seen.Started); len(told) != news {
			t.Errorf("%s: counts as told: %v", name, told)
		}
	}
}

// A call is answered by what changed since the generation that it names; by the whole list, where that says nothing.
func TestSince(t *testing.T) {
	f := newFate(t, quiet(6, 1), 1)
	for _, n := range f.w.nodes[:4] {
		f.do(n.drain)
		f.run(3 * time.Second)
	}
	d := f.w.disco
	for after, want := range map[int64]int{0: -6, d.gen + 1: -6, d.gen - history - 1: -6, d.gen: 0, d.gen - 3: 3} {
		if m := d.since(after); m.reset != (want < 0) || len(m.entries) != max(want, -want) || m.gen != d.gen {
			t.Errorf("after %d of %d: %+v", after, d.gen, m)
		}
	}
}

// Calls are handled in turn, by the lines of their lists, and fail once they have waited too long.
func TestCapacity(t *testing.T) {
	spec := quiet(10, 3)
	spec.Discovery.Capacity = 5 // a list of ten takes 2 s
	f := newFate(t, spec, 1)
	for _, s := range f.scheds {
		s.mute = true
	}
	f.run(time.Second)
	for i := range f.scheds {
		f.scheds[i].gen = 0
		f.ask(i, f.w.now)
	}
	f.run(8 * time.Second)
	var got []string
	for _, in := range f.ins {
		if in.Kind == edge.Listed || in.Kind == edge.Unlisted {
			got = append(got, map[edge.InKind]string{edge.Listed: "list", edge.Unlisted: "failed"}[in.Kind])
		}
	}
	if len(got) != 3 || got[0] != "list" || got[1] != "failed" || got[2] != "list" {
		t.Errorf("three calls at once came to %v", got) // after 2 s, 3 s and 4 s
	}
	f.do(func() {
		f.scheds[0].gen, f.scheds[1].gen = 0, 0
		f.ask(0, f.w.now)
		f.ask(1, f.w.now)
		f.w.after(time.Second, func() { f.w.scheds[0].kill(0) }) // and with it what was made for it
	})
	from := len(f.ins)
	f.run(3100 * time.Millisecond)
	if lists := f.came(from, edge.Listed); len(lists) != 1 || lists[0].Sched != 1 {
		t.Errorf("the list after one that nobody waits for any more: %v", lists)
	}
}
