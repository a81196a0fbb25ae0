package environment

import (
	"testing"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// What becomes of a scheduler's process, as trace events with the milliseconds at which they come, within 1 ms.
func TestSchedulersLife(t *testing.T) {
	type step struct {
		what trace.Kind
		ms   int
	}
	again := []step{{trace.SchedulerStarted, 1000}, {trace.SchedulerReady, 1000}}
	for name, x := range map[string]struct {
		do   func(f *faultHarness)
		want []step
	}{
		"kill": {
			func(f *faultHarness) { f.w.schedulers[0].kill(2 * time.Second) },
			[]step{{trace.SchedulerKilled, 0}, {trace.SchedulerStarted, 2000}, {trace.SchedulerReady, 2000}},
		},
		"kill for good": {func(f *faultHarness) { f.w.schedulers[0].kill(0) }, []step{{trace.SchedulerKilled, 0}}},
		"planned restart": {func(f *faultHarness) { f.w.schedulers[0].terminate(time.Second) }, // the longest deadline counts as 3 s
			[]step{
				{trace.SchedulerTerminated, 0},
				{trace.SchedulerKilled, 3700},
				{trace.SchedulerStarted, 4700},
				{trace.SchedulerReady, 4700},
			}},
		"planned restart, ends by itself": {
			func(f *faultHarness) { f.exit = true; f.w.schedulers[0].terminate(time.Second) },
			append([]step{{trace.SchedulerTerminated, 0}, {trace.SchedulerExited, 0}}, again...),
		},
		"crash": {func(f *faultHarness) {
			f.outputs = append(f.outputs, simapi.Output{Message: simapi.Exited{Status: 2}})
			f.scheds[0].up = false
		}, append([]step{{trace.SchedulerExited, 0}}, again...)},
		"freeze twice": {
			func(f *faultHarness) {
				f.w.schedulers[0].freeze(3 * time.Second)
				f.w.schedulers[0].freeze(time.Second)
			},
			[]step{{trace.SchedulerFrozen, 0}, {trace.SchedulerResumed, 3000}},
		},
		"freeze, killed, frozen again": {func(f *faultHarness) {
			f.w.schedulers[0].freeze(9 * time.Second)
			f.w.schedulers[0].kill(time.Second)
			f.w.after(2*time.Second, func() { f.w.schedulers[0].freeze(time.Second) })
		}, []step{
			{trace.SchedulerFrozen, 0},
			{trace.SchedulerKilled, 0},
			{trace.SchedulerStarted, 1000},
			{trace.SchedulerReady, 1000},
			{trace.SchedulerFrozen, 2000},
			{trace.SchedulerResumed, 3000},
		}},
		"reload": {func(f *faultHarness) { f.w.discovery.changeAddress(); f.w.schedulers[0].reload() }, []step{{trace.SchedulerReloaded, 0}}},
		"reload in the first second": {func(f *faultHarness) {
			f.w.schedulers[0].kill(time.Second)
			f.w.after(1200*time.Millisecond, func() { f.w.schedulers[0].reload(); f.w.schedulers[0].reload() })
		}, []step{{trace.SchedulerKilled, 0}, {trace.SchedulerStarted, 1000}, {trace.SchedulerReady, 1000}, {trace.SchedulerReloaded, 2000}}},
	} {
		f := newFaultHarness(t, quiet(4, 1), 3)
		f.run(5 * time.Second)
		from, at := len(f.events), f.w.now
		f.do(func() { x.do(f) })
		f.run(12 * time.Second)
		got := f.all(from, trace.SchedulerStarted, trace.SchedulerReady, trace.SchedulerTerminated, trace.SchedulerKilled, trace.SchedulerFrozen, trace.SchedulerResumed,
			trace.SchedulerReloaded, trace.SchedulerExited)
		ok := len(got) == len(x.want)
		for i := 0; ok && i < len(got); i++ {
			after := int((got[i].At - at).Milliseconds())
			ok = got[i].Kind == x.want[i].what && after >= x.want[i].ms && after <= x.want[i].ms+1
		}
		if !ok {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A process starts with what the one before it had, by another seed, and at where discovery is.
func TestBoot(t *testing.T) {
	f := newFaultHarness(t, quiet(30, 2), 5)
	f.run(5 * time.Second)
	f.do(func() { f.w.workers[3].drain(); f.w.workers[7].crash(0) })
	f.run(5 * time.Second)
	f.do(func() {
		f.w.schedulers[1].kill(4 * time.Second)
		f.w.workers[4].drain() // it can't know
		f.w.discovery.changeAddress()
		f.w.schedulers[0].reload()
	})
	f.run(5 * time.Second)
	boots := arrived[simapi.Start](f, 0)
	if len(boots) != 3 || boots[0].message.Name != "s1" || boots[2].scheduler != 1 || boots[2].message.Name != "s2" ||
		boots[0].message.Seed == boots[1].message.Seed || boots[1].message.Seed == boots[2].message.Seed || boots[2].message.Discovery != 1 {
		t.Fatalf("boots: %v", boots)
	}
	states := map[string]string{}
	for _, h := range boots[2].message.KnownEndpoints.Endpoints {
		states[h.ID] = h.Lifecycle
	}
	if len(states) != 29 || states["w-3"] != "draining" || states["w-7"] != "" || states["w-4"] != "up" {
		t.Errorf("known: %v", states)
	}
	if notified := f.all(0, trace.DrainNotified); len(notified) < 3 || notified[len(notified)-3].Worker+notified[len(notified)-2].Worker != 3+4 {
		t.Errorf("told: %v", notified) // w-3 again by its start, w-4 by the watch of either
	}
}

// After SIGTERM the load balancer goes on for a moment, whatever /up says.
func TestFrontAtPlannedRestart(t *testing.T) {
	for seed := range uint64(8) {
		f := newFaultHarness(t, quiet(4, 2), seed)
		f.run(5 * time.Second)
		f.outputs = append(f.outputs, simapi.Output{Message: simapi.Unready{}})
		f.do(func() { f.w.schedulers[0].terminate(0) })
		at := f.w.now
		for f.w.balancer.admitted[0] {
			f.run(time.Millisecond)
		}
		if after := f.w.now - at; after < 200*time.Millisecond || after > 401*time.Millisecond {
			t.Errorf("the front stopped after %v", after)
		}
	}
}

// A process that is gone has no connections, and what it did is not its successor's.
func TestDeathEndsConnections(t *testing.T) {
	f := newFaultHarness(t, quiet(4, 1), 1)
	f.run(5 * time.Second)
	link := simapi.WorkerConn(0, 1)
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.WorkerDialed{Conn: link, Worker: 1}})
	f.run(time.Second)
	if c := f.w.conns[link]; c == nil || !c.up {
		t.Fatal("no connection came up")
	}
	f.do(func() { f.w.schedulers[0].kill(time.Second) })
	f.run(500 * time.Millisecond)
	for _, message := range []simapi.OutputMessage{simapi.Ready{}, simapi.Exited{}, simapi.WatchRequested{}} {
		f.outputs = append(f.outputs, simapi.Output{Message: message})
	}
	f.run(400 * time.Millisecond)
	if s := f.w.schedulers[0]; f.w.conns[link] != nil || s.ready || s.alive {
		t.Errorf("connection %v, ready %v, alive %v", f.w.conns[link], s.ready, s.alive)
	}
}
