package environment

import (
	"testing"
	"time"

	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// Trace events of a scheduler's process after each operation, with their times in milliseconds, exact to 1 ms.
func TestSchedulerLifecycle(t *testing.T) {
	type step struct {
		what trace.Kind
		ms   int
	}
	again := []step{{trace.SchedulerStarted, 1000}, {trace.SchedulerReady, 1000}}
	for name, test := range map[string]struct {
		do   func(f *faultHarness)
		want []step
	}{
		"kill": {
			func(f *faultHarness) { f.env.schedulers[0].kill(2 * time.Second) },
			[]step{{trace.SchedulerKilled, 0}, {trace.SchedulerStarted, 2000}, {trace.SchedulerReady, 2000}},
		},
		"kill for good": {func(f *faultHarness) { f.env.schedulers[0].kill(0) }, []step{{trace.SchedulerKilled, 0}}},
		"planned restart": {func(f *faultHarness) { f.env.schedulers[0].terminate(time.Second) }, // maxDeadlineWait is 3 s
			[]step{
				{trace.SchedulerTerminated, 0},
				{trace.SchedulerKilled, 3700},
				{trace.SchedulerStarted, 4700},
				{trace.SchedulerReady, 4700},
			}},
		"planned restart, ends by itself": {
			func(f *faultHarness) { f.exitsOnTerminate = true; f.env.schedulers[0].terminate(time.Second) },
			append([]step{{trace.SchedulerTerminated, 0}, {trace.SchedulerExited, 0}}, again...),
		},
		"crash": {func(f *faultHarness) {
			f.outputs = append(f.outputs, simapi.Output{Message: simapi.Exited{Status: 2}})
			f.schedulers[0].up = false
		}, append([]step{{trace.SchedulerExited, 0}}, again...)},
		"freeze twice": {
			func(f *faultHarness) {
				f.env.schedulers[0].freeze(3 * time.Second)
				f.env.schedulers[0].freeze(time.Second)
			},
			[]step{{trace.SchedulerFrozen, 0}, {trace.SchedulerResumed, 3000}},
		},
		"freeze, killed, frozen again": {func(f *faultHarness) {
			f.env.schedulers[0].freeze(9 * time.Second)
			f.env.schedulers[0].kill(time.Second)
			f.env.after(2*time.Second, func() { f.env.schedulers[0].freeze(time.Second) })
		}, []step{
			{trace.SchedulerFrozen, 0},
			{trace.SchedulerKilled, 0},
			{trace.SchedulerStarted, 1000},
			{trace.SchedulerReady, 1000},
			{trace.SchedulerFrozen, 2000},
			{trace.SchedulerResumed, 3000},
		}},
		"reload": {func(f *faultHarness) { f.env.discovery.changeAddress(); f.env.schedulers[0].reload() }, []step{{trace.SchedulerReloaded, 0}}},
		"reload in the first second": {func(f *faultHarness) {
			f.env.schedulers[0].kill(time.Second)
			f.env.after(1200*time.Millisecond, func() { f.env.schedulers[0].reload(); f.env.schedulers[0].reload() })
		}, []step{{trace.SchedulerKilled, 0}, {trace.SchedulerStarted, 1000}, {trace.SchedulerReady, 1000}, {trace.SchedulerReloaded, 2000}}},
	} {
		f := newFaultHarness(t, idleScenario(4, 1), 3)
		f.runFor(5 * time.Second)
		from, at := len(f.events), f.env.now
		f.doNow(func() { test.do(f) })
		f.runFor(12 * time.Second)
		got := f.eventsOfKinds(from, trace.SchedulerStarted, trace.SchedulerReady, trace.SchedulerTerminated, trace.SchedulerKilled, trace.SchedulerFrozen, trace.SchedulerResumed,
			trace.SchedulerReloaded, trace.SchedulerExited)
		ok := len(got) == len(test.want)
		for i := 0; ok && i < len(got); i++ {
			after := int((got[i].At - at).Milliseconds())
			ok = got[i].Kind == test.want[i].what && after >= test.want[i].ms && after <= test.want[i].ms+1
		}
		if !ok {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// A process starts with the endpoint list of its predecessor, another seed, and the present address of discovery.
func TestStartMessage(t *testing.T) {
	f := newFaultHarness(t, idleScenario(30, 2), 5)
	f.runFor(5 * time.Second)
	f.doNow(func() { f.env.workers[3].drain(); f.env.workers[7].crash(0) })
	f.runFor(5 * time.Second)
	f.doNow(func() {
		f.env.schedulers[1].kill(4 * time.Second)
		f.env.workers[4].drain() // the stopped scheduler is not notified of this
		f.env.discovery.changeAddress()
		f.env.schedulers[0].reload()
	})
	f.runFor(5 * time.Second)
	starts := messagesOf[simapi.Start](f, 0)
	if len(starts) != 3 || starts[0].message.Name != "s1" || starts[2].scheduler != 1 || starts[2].message.Name != "s2" ||
		starts[0].message.Seed == starts[1].message.Seed || starts[1].message.Seed == starts[2].message.Seed || starts[2].message.Discovery != 1 {
		t.Fatalf("start messages: %v", starts)
	}
	states := map[string]string{}
	for _, h := range starts[2].message.KnownEndpoints.Endpoints {
		states[h.ID] = h.Lifecycle
	}
	if len(states) != 29 || states["w-3"] != "draining" || states["w-7"] != "" || states["w-4"] != "up" {
		t.Errorf("known endpoints: %v", states)
	}
	if notified := f.eventsOfKinds(0, trace.DrainNotified); len(notified) < 3 || notified[len(notified)-3].Worker+notified[len(notified)-2].Worker != 3+4 {
		t.Errorf("notifications: %v", notified) // w-3 again at the start of the process, w-4 on the watch of each scheduler
	}
}

// After SIGTERM the load balancer keeps assigning connections for 200 to 400 ms, whatever the readiness check answers.
func TestLoadBalancerAtPlannedRestart(t *testing.T) {
	for seed := range uint64(8) {
		f := newFaultHarness(t, idleScenario(4, 2), seed)
		f.runFor(5 * time.Second)
		f.outputs = append(f.outputs, simapi.Output{Message: simapi.Unready{}})
		f.doNow(func() { f.env.schedulers[0].terminate(0) })
		at := f.env.now
		for f.env.balancer.admitted[0] {
			f.runFor(time.Millisecond)
		}
		if after := f.env.now - at; after < 200*time.Millisecond || after > 401*time.Millisecond {
			t.Errorf("seed %d: the load balancer stopped after %v", seed, after)
		}
	}
}

// The end of a process closes its connections, and outputs that follow its end are ignored.
func TestProcessEndClosesConnections(t *testing.T) {
	f := newFaultHarness(t, idleScenario(4, 1), 1)
	f.runFor(5 * time.Second)
	conn := simapi.WorkerConn(0, 1)
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.WorkerDialed{Conn: conn, Worker: 1}})
	f.runFor(time.Second)
	if c := f.env.conns[conn]; c == nil || !c.up {
		t.Fatal("connection was not established")
	}
	f.doNow(func() { f.env.schedulers[0].kill(time.Second) })
	f.runFor(500 * time.Millisecond)
	for _, message := range []simapi.OutputMessage{simapi.Ready{}, simapi.Exited{}, simapi.WatchRequested{}} {
		f.outputs = append(f.outputs, simapi.Output{Message: message})
	}
	f.runFor(400 * time.Millisecond)
	if s := f.env.schedulers[0]; f.env.conns[conn] != nil || s.ready || s.alive {
		t.Errorf("after the end of the process: connection %v, ready %v, alive %v", f.env.conns[conn], s.ready, s.alive)
	}
}
