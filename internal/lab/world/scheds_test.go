package world

import (
	"testing"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/seen"
)

// What becomes of a scheduler's process, as sights with the milliseconds at which they come, within 1 ms.
func TestSchedulersLife(t *testing.T) {
	type step struct {
		what seen.What
		ms   int
	}
	again := []step{{seen.SchedUp, 1000}, {seen.SchedReady, 1000}}
	for name, x := range map[string]struct {
		do   func(f *fate)
		want []step
	}{
		"kill": {
			func(f *fate) { f.w.scheds[0].kill(2 * time.Second) },
			[]step{{seen.SchedKill, 0}, {seen.SchedUp, 2000}, {seen.SchedReady, 2000}},
		},
		"kill for good": {func(f *fate) { f.w.scheds[0].kill(0) }, []step{{seen.SchedKill, 0}}},
		"planned restart": {func(f *fate) { f.w.scheds[0].term(time.Second) }, // the longest deadline counts as 3 s
			[]step{
				{seen.SchedTerm, 0},
				{seen.SchedKill, 3700},
				{seen.SchedUp, 4700},
				{seen.SchedReady, 4700},
			}},
		"planned restart, ends by itself": {
			func(f *fate) { f.exit = true; f.w.scheds[0].term(time.Second) },
			append([]step{{seen.SchedTerm, 0}, {seen.SchedExit, 0}}, again...),
		},
		"crash": {func(f *fate) {
			f.outs = append(f.outs, edge.Out{Kind: edge.Exited, Status: 2})
			f.scheds[0].up = false
		}, append([]step{{seen.SchedExit, 0}}, again...)},
		"freeze twice": {
			func(f *fate) { f.w.scheds[0].freeze(3 * time.Second); f.w.scheds[0].freeze(time.Second) },
			[]step{{seen.SchedFroze, 0}, {seen.SchedWoke, 3000}},
		},
		"freeze, killed, frozen again": {func(f *fate) {
			f.w.scheds[0].freeze(9 * time.Second)
			f.w.scheds[0].kill(time.Second)
			f.w.after(2*time.Second, func() { f.w.scheds[0].freeze(time.Second) })
		}, []step{
			{seen.SchedFroze, 0},
			{seen.SchedKill, 0},
			{seen.SchedUp, 1000},
			{seen.SchedReady, 1000},
			{seen.SchedFroze, 2000},
			{seen.SchedWoke, 3000},
		}},
		"reload": {func(f *fate) { f.w.disco.move(); f.w.scheds[0].reload() }, []step{{seen.SchedHup, 0}}},
		"reload in the first second": {func(f *fate) {
			f.w.scheds[0].kill(time.Second)
			f.w.after(1200*time.Millisecond, func() { f.w.scheds[0].reload(); f.w.scheds[0].reload() })
		}, []step{{seen.SchedKill, 0}, {seen.SchedUp, 1000}, {seen.SchedReady, 1000}, {seen.SchedHup, 2000}}},
	} {
		f := newFate(t, quiet(4, 1), 3)
		f.run(5 * time.Second)
		from, at := len(f.sights), f.w.now
		f.do(func() { x.do(f) })
		f.run(12 * time.Second)
		got := f.all(from, seen.SchedUp, seen.SchedReady, seen.SchedTerm, seen.SchedKill, seen.SchedFroze, seen.SchedWoke,
			seen.SchedHup, seen.SchedExit)
		ok := len(got) == len(x.want)
		for i := 0; ok && i < len(got); i++ {
			after := int((got[i].At - at).Milliseconds())
			ok = got[i].What == x.want[i].what && after >= x.want[i].ms && after <= x.want[i].ms+1
		}
		if !ok {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A process starts with what the one before it had, by another seed, and at where discovery is.
func TestBoot(t *testing.T) {
	f := newFate(t, quiet(30, 2), 5)
	f.run(5 * time.Second)
	f.do(func() { f.w.nodes[3].drain(); f.w.nodes[7].crash(0) })
	f.run(5 * time.Second)
	f.do(func() {
		f.w.scheds[1].kill(4 * time.Second)
		f.w.nodes[4].drain() // it can't know
		f.w.disco.move()
		f.w.scheds[0].reload()
	})
	f.run(5 * time.Second)
	boots := f.came(0, edge.Start)
	if len(boots) != 3 || boots[0].Boot.Name != "s1" || boots[2].Sched != 1 || boots[2].Boot.Name != "s2" ||
		boots[0].Boot.Seed == boots[1].Boot.Seed || boots[1].Boot.Seed == boots[2].Boot.Seed || boots[2].Boot.Disco != 1 {
		t.Fatalf("boots: %v", boots)
	}
	states := map[string]string{}
	for _, h := range boots[2].Boot.Known.Endpoints {
		states[h.ID] = h.Lifecycle
	}
	if len(states) != 29 || states["w-3"] != "draining" || states["w-7"] != "" || states["w-4"] != "up" {
		t.Errorf("known: %v", states)
	}
	if told := f.all(0, seen.Drained); len(told) < 3 || told[len(told)-3].Node+told[len(told)-2].Node != 3+4 {
		t.Errorf("told: %v", told) // w-3 again by its start, w-4 by the watch of either
	}
}

// After SIGTERM the front goes on for a moment, whatever /up says.
func TestFrontAtPlannedRestart(t *testing.T) {
	for seed := range uint64(8) {
		f := newFate(t, quiet(4, 2), seed)
		f.run(5 * time.Second)
		f.outs = append(f.outs, edge.Out{Kind: edge.Unready})
		f.do(func() { f.w.scheds[0].term(0) })
		at := f.w.now
		for f.w.front.admitted[0] {
			f.run(time.Millisecond)
		}
		if after := f.w.now - at; after < 200*time.Millisecond || after > 401*time.Millisecond {
			t.Errorf("the front stopped after %v", after)
		}
	}
}

// A process that is gone has no connections, and what it did is not its successor's.
func TestDeathEndsConnections(t *testing.T) {
	f := newFate(t, quiet(4, 1), 1)
	f.run(5 * time.Second)
	link := edge.LinkConn(0, 1)
	f.outs = append(f.outs, edge.Out{Kind: edge.Dial, Conn: link, Node: 1})
	f.run(time.Second)
	if c := f.w.conns[link]; c == nil || !c.up {
		t.Fatal("no connection came up")
	}
	f.do(func() { f.w.scheds[0].kill(time.Second) })
	f.run(500 * time.Millisecond)
	f.outs = append(f.outs, edge.Out{Kind: edge.Ready}, edge.Out{Kind: edge.Exited}, edge.Out{Kind: edge.Watch})
	f.run(400 * time.Millisecond)
	if s := f.w.scheds[0]; f.w.conns[link] != nil || s.ready || s.alive {
		t.Errorf("connection %v, ready %v, alive %v", f.w.conns[link], s.ready, s.alive)
	}
}
