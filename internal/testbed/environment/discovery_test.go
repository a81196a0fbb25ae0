package environment

import (
	"maps"
	"strings"
	"testing"
	"time"

	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// Under random faults of workers, discovery, the network and schedulers: once all faults have ended, each scheduler that applies
// the updates it receives has discovery's list, that list is correct, and the recorded notifications agree with it.
func FuzzDiscovery(f *testing.F) { modeltest.Fuzz(f, runDiscovery) }

// discoveryModel applies random faults to a fleet, and checks what its schedulers have been notified of.
type discoveryModel struct {
	*faultHarness
	steps       *modeltest.Steps
	activeUndos []func() // of the active faults
}

func runDiscovery(s *modeltest.Steps) {
	spec := idleScenario(2+s.Pick(7), 1+s.Pick(3))
	if s.Pick(2) == 0 {
		spec.Discovery.Capacity = 20
	}
	m := &discoveryModel{faultHarness: newFaultHarness(s.T, spec, uint64(s.Pick(8))), steps: s}
	for s.More() {
		m.step()
	}
	for _, undo := range m.activeUndos {
		m.doNow(undo)
	}
	m.runFor(100 * time.Second) // the longest drain takes 30 s, and the service of a list 50 ms per line
	want := m.expectedEndpoints()
	for i, scheduler := range m.schedulers {
		s.Check(scheduler.revision == m.env.discovery.revision, "scheduler %d has revision %d of %d", i, scheduler.revision, m.env.discovery.revision)
		s.Check(maps.Equal(scheduler.list, want), "scheduler %d has the list %v, want %v", i, scheduler.list, want)
		m.checkNotified(i, want)
	}
	d := m.env.discovery
	s.Check(len(d.heldEvents) == 0 && len(d.calls) == 0 && d.serving == nil && d.noticeDelay == 0, "events, calls or a notice delay are left over")
}

// step draws a fault, the end of a fault, or a time without further changes.
func (d *discoveryModel) step() {
	worker, sched := d.env.workers[d.steps.Pick(len(d.env.workers))], d.env.schedulers[d.steps.Pick(len(d.env.schedulers))]
	restartDelay := time.Duration(d.steps.Pick(8)) * 700 * time.Millisecond
	undo := func() {}
	what := d.steps.Pick(20)
	switch {
	case what > 16:
		d.runFor(time.Duration(1+d.steps.Pick(40)) * 150 * time.Millisecond)
		return
	case what == 16:
		d.doNow(d.endFault)
	case what >= 12:
		d.doNow(func() { undo = d.startOtherFault(what, worker, sched, restartDelay) })
	case what >= 6:
		d.doNow(func() { undo = d.startDiscoveryFault(what, d.twoWorkers(worker)) })
	default:
		d.doNow(func() { d.endWorker(what, worker, restartDelay) })
	}
	d.activeUndos = append(d.activeUndos, undo)
}

// twoWorkers returns the numbers of a worker and the next one.
func (d *discoveryModel) twoWorkers(worker *worker) []int {
	return []int{worker.number, (worker.number + 1) % len(d.env.workers)}
}

// endWorker ends a worker's process, or makes it drain.
func (d *discoveryModel) endWorker(what int, worker *worker, restartDelay time.Duration) {
	switch what {
	case 0:
		worker.crash(restartDelay)
	case 1:
		worker.vanish(restartDelay)
	case 2:
		worker.restart(restartDelay)
	case 3:
		worker.replace(restartDelay)
	case 4:
		worker.drain()
	case 5:
		if worker.number > 0 {
			worker.remove()
		}
	}
}

// startDiscoveryFault starts a fault of discovery.
func (d *discoveryModel) startDiscoveryFault(what int, workers []int) (undo func()) {
	discovery := d.env.discovery
	switch what {
	case 6:
		return discovery.startOutage()
	case 7:
		if discovery.noticeDelay < 10*time.Second { // longer delays would outlast the end of the run
			return discovery.delayNotices(2 * time.Second)
		}
	case 8:
		return discovery.listWrongly(workers)
	case 9:
		return discovery.freezeList()
	case 10:
		return discovery.slowDown(3)
	case 11:
		discovery.changeAddress()
		for _, x := range d.env.schedulers {
			x.reload()
		}
	}
	return func() {}
}

// startOtherFault partitions discovery from schedulers or workers, or kills or freezes a scheduler.
func (d *discoveryModel) startOtherFault(what int, worker *worker, sched *scheduler, restartDelay time.Duration) (undo func()) {
	discoveryGroup := endpointGroup{kind: discoveryEndpoint}
	switch what {
	case 12:
		return d.env.network.partition(endpointGroup{kind: schedulerEndpoint, members: map[int]bool{sched.number: true}}, discoveryGroup, d.steps.Pick(2) == 0)
	case 13:
		workers := d.twoWorkers(worker)
		heal, reconnect := d.env.network.partition(endpointGroup{kind: workerEndpoint, members: map[int]bool{workers[0]: true, workers[1]: true}}, discoveryGroup, false),
			d.env.discovery.isolate(workers)
		return func() { heal(); reconnect() }
	case 14:
		sched.kill(restartDelay + time.Millisecond)
	case 15:
		sched.freeze(restartDelay)
	}
	return func() {}
}

// endFault ends one of the active faults.
func (d *discoveryModel) endFault() {
	if len(d.activeUndos) > 0 {
		i := d.steps.Pick(len(d.activeUndos))
		d.activeUndos[i]()
		d.activeUndos = append(d.activeUndos[:i], d.activeUndos[i+1:]...)
	}
}

// expectedEndpoints returns the list that discovery should have in the end.
func (d *discoveryModel) expectedEndpoints() map[string]requests.Endpoint {
	list := map[string]requests.Endpoint{}
	for _, worker := range d.env.workers {
		if worker.process.state != workerUp || worker.removed {
			continue
		}
		entry := &d.env.discovery.entries[d.env.discovery.entryOf[worker.number]]
		list[worker.id] = requests.Endpoint{
			ID: worker.id, Addr: d.env.WorkerAddr(worker.placeIndex()), Zone: "a", MachineType: worker.kind.Name, Cell: worker.cell,
			Lifecycle: map[bool]string{false: "up", true: "draining"}[worker.process.draining], Weight: entry.endpoint.Weight, StartedAtMs: worker.startedMs(),
		}
	}
	return list
}

// checkNotified checks that the last notification of a scheduler about each worker agrees with the list.
func (d *discoveryModel) checkNotified(i int, want map[string]requests.Endpoint) {
	s := d.steps
	notified := map[int]trace.Kind{}
	for _, event := range d.eventsOfKinds(0, trace.SchedulerStarted, trace.DrainNotified, trace.StartNotified) {
		if event.Scheduler != i {
			continue
		}
		if event.Kind == trace.SchedulerStarted {
			notified = map[int]trace.Kind{}
			continue
		}
		s.Check(event.Kind == trace.StartNotified || notified[event.Worker] != event.Kind || d.env.workers[event.Worker].process.incarnation > 1,
			"notified twice of the drain of a worker that was never restarted")
		notified[event.Worker] = event.Kind
	}
	for _, worker := range d.env.workers {
		endpoint, listed := want[worker.id]
		s.Check(!listed || d.env.discovery.knowsStart(i, worker), "scheduler %d was not notified of the start of %s", i, worker.id)
		s.Check((notified[worker.number] == trace.DrainNotified) == (!listed && notified[worker.number] != 0 || endpoint.Lifecycle == "draining"),
			"scheduler %d: %s is %q, and its last notification is trace event %d", i, worker.id, endpoint.Lifecycle, notified[worker.number])
	}
}

// When a scheduler counts as notified of a drain.
func TestNotificationTimes(t *testing.T) {
	const drained = 20 * time.Second
	scheds := endpointGroup{kind: schedulerEndpoint}
	disco := endpointGroup{kind: discoveryEndpoint}
	for name, test := range map[string]struct {
		before      func(f *faultHarness)
		after       func(f *faultHarness)
		from, until time.Duration // bounds of the time since the drain was listed
	}{
		"over a watch": {from: 0, until: 5 * time.Millisecond},
		"on a watch that is cut off": {
			before: func(f *faultHarness) { f.env.network.partition(disco, scheds, true) },
			from:   6 * time.Second, until: 6 * time.Second,
		},
		"without a watch": {
			before: func(f *faultHarness) { f.schedulers[0].neverCalls = true; f.env.discovery.startOutage()() },
			from:   9 * time.Second, until: 10 * time.Second,
		}, // the poll interval, from the end of the watch
		"after a call that failed": {
			before: func(f *faultHarness) {
				f.env.discovery.startOutage()
				f.env.after(2*time.Second, func() { f.schedulers[0].neverCalls = true })
			},
			from: 38 * time.Second, until: 40 * time.Second,
		},
		"after SIGHUP": {
			before: func(f *faultHarness) { f.env.discovery.startOutage() }, after: func(f *faultHarness) { f.env.schedulers[0].reload() },
			from: 8 * time.Second, until: 8100 * time.Millisecond,
		},
		"by the next process": {
			before: func(f *faultHarness) { f.env.schedulers[0].kill(10 * time.Second) },
			from:   5 * time.Second, until: 6 * time.Second,
		},
		"frozen": {before: func(f *faultHarness) { f.env.schedulers[0].freeze(time.Minute) }, from: 0, until: 5 * time.Millisecond},
	} {
		f := newFaultHarness(t, idleScenario(4, 1), 1)
		f.runFor(drained - 3*time.Second)
		if test.before != nil {
			f.doNow(func() { test.before(f) })
		}
		f.runFor(drained - f.env.now)
		revision := f.env.discovery.revision
		f.doNow(f.env.workers[2].drain)
		for f.env.discovery.revision == revision {
			f.runFor(time.Millisecond)
		}
		listed := f.env.now
		if test.after != nil {
			f.runFor(4 * time.Second)
			f.doNow(func() { test.after(f) })
		}
		f.runFor(45 * time.Second)
		notified := f.eventsOfKinds(0, trace.DrainNotified)
		if len(notified) != 1 || notified[0].Worker != 2 || notified[0].At < listed+test.from-2*time.Millisecond ||
			notified[0].At > listed+test.until {
			t.Errorf("%s: listed at %v, notifications: %v", name, listed, notified)
		}
	}
}

// Discovery notices each kind of event after its delay. A machine that is partitioned from discovery counts as silent.
func TestNoticeDelays(t *testing.T) {
	partition := func(f *faultHarness) { f.env.discovery.isolate([]int{1}) }
	crash := func(f *faultHarness) { f.env.workers[1].crash(0) }
	for name, test := range map[string]struct {
		do       func(f *faultHarness)
		from, to int // milliseconds until the change is published
		state    string
	}{
		"drain":                  {func(f *faultHarness) { f.env.workers[1].drain() }, 700, 1800, "draining"},
		"crash":                  {crash, 700, 1800, "removed"},
		"vanish":                 {func(f *faultHarness) { f.env.workers[1].vanish(0) }, 5600, 10900, "removed"},
		"partition":              {partition, 5600, 10900, "removed"},
		"partition, crash":       {func(f *faultHarness) { partition(f); crash(f) }, 5600, 10900, "removed"},
		"crash, delayed notices": {func(f *faultHarness) { f.env.discovery.delayNotices(5 * time.Second); crash(f) }, 5700, 6800, "removed"},
	} {
		for seed := range uint64(5) {
			f := newFaultHarness(t, idleScenario(4, 1), seed)
			f.runFor(10 * time.Second)
			from := len(f.inputs)
			f.doNow(func() { test.do(f) })
			at := f.env.now
			for len(messagesOf[simapi.ListReceived](f, from)) == 0 && f.env.now < at+15*time.Second {
				f.runFor(10 * time.Millisecond)
			}
			lists := messagesOf[simapi.ListReceived](f, from)
			if len(lists) != 1 || len(lists[0].message.List.Endpoints) != 1 || lists[0].message.List.Endpoints[0].Lifecycle != test.state ||
				(f.env.now-at).Milliseconds() < int64(test.from) || (f.env.now-at).Milliseconds() > int64(test.to) {
				t.Errorf("%s: lists received within %v: %v, want one %q", name, f.env.now-at, lists, test.state)
			}
		}
	}
}

// describeLists returns a short description of the messages that a scheduler received from discovery, in order, without the
// names of the workers.
func describeLists(inputs []simapi.Input) (description string) {
	for _, in := range inputs {
		switch message := in.Message.(type) {
		case simapi.WatchEnded:
			switch description {
			case "":
				description = "end "
			case "end ": // further failures are not repeated
				description += "failed "
			}
		case simapi.ListReceived:
			description += describeList(message.List)
		}
	}
	return description
}

func describeList(list *requests.EndpointList) string {
	switch {
	case list.Reset:
		return "whole "
	case len(list.Endpoints) != 1:
		return ""
	}
	endpoint := list.Endpoints[0]
	switch {
	case endpoint.Lifecycle != "up":
		return endpoint.Lifecycle + " "
	case endpoint.StartedAtMs == 0:
		return "up1 "
	}
	return "up2 "
}

// Sequences of faults and worker events, and the messages that a scheduler receives from discovery as a result.
func TestDiscoveryFaults(t *testing.T) {
	var undo func()
	target := func(f *faultHarness) *worker { return f.env.workers[1] }
	type act func(f *faultHarness)
	crash, start := func(f *faultHarness) { target(f).crash(0) }, func(f *faultHarness) { target(f).start() }
	off := func(*faultHarness) { undo() }
	for name, test := range map[string]struct {
		acts []act // with 20 s after each
		want string
	}{
		"no fault":                 {[]act{crash, start}, "removed up2 "},
		"wrong list":               {[]act{func(f *faultHarness) { undo = f.env.discovery.listWrongly([]int{1}) }, crash, start, crash, off}, "up2 removed "},
		"wrong list after a crash": {[]act{crash, func(f *faultHarness) { undo = f.env.discovery.listWrongly([]int{1}) }, off}, "removed up1 removed "},
		"frozen list":              {[]act{func(f *faultHarness) { undo = f.env.discovery.freezeList() }, crash, off}, "removed "},
		"outage": {
			[]act{func(f *faultHarness) { undo = f.env.discovery.startOutage() }, crash, func(f *faultHarness) { f.schedulers[0].neverCalls = true; undo() }},
			"end failed ",
		},
		"short partition": {[]act{func(f *faultHarness) { f.env.after(9*time.Second, f.env.discovery.isolate([]int{1})) }}, "removed up1 "},
		"drain during a partition": {[]act{
			func(f *faultHarness) { undo = f.env.discovery.isolate([]int{1}) },
			func(f *faultHarness) { target(f).drain() }, off,
		}, "removed draining "},
		"address change": {[]act{
			func(f *faultHarness) { f.env.discovery.changeAddress() }, func(f *faultHarness) { f.schedulers[0].neverCalls = true; f.env.schedulers[0].reload() },
			crash,
		}, "end failed whole removed "},
	} {
		f := newFaultHarness(t, idleScenario(4, 1), 2)
		f.runFor(10 * time.Second)
		from := len(f.inputs)
		for _, a := range test.acts {
			f.doNow(func() { a(f) })
			f.runFor(20 * time.Second)
		}
		got := describeLists(f.inputs[from:])
		if got != test.want {
			t.Errorf("%s: received %q, want %q", name, got, test.want)
		}
		// Each start or removal that the scheduler received is recorded as one notification.
		updates := strings.Count(test.want, "up") + strings.Count(test.want, "removed")
		if notified := f.eventsOfKinds(0, trace.DrainNotified, trace.StartNotified); len(notified) != updates {
			t.Errorf("%s: %d notifications, want %d: %v", name, len(notified), updates, notified)
		}
	}
}

// A call is answered with the changes since the revision that it names, or with the whole list if that revision is unknown or
// too old.
func TestChangesSince(t *testing.T) {
	f := newFaultHarness(t, idleScenario(6, 1), 1)
	for _, n := range f.env.workers[:4] {
		f.doNow(n.drain)
		f.runFor(3 * time.Second)
	}
	d := f.env.discovery
	for after, want := range map[int64]int{0: -6, d.revision + 1: -6, d.revision - historyLength - 1: -6, d.revision: 0, d.revision - 3: 3} {
		if m := d.changesSince(after); m.reset != (want < 0) || len(m.entries) != max(want, -want) || m.revision != d.revision {
			t.Errorf("after %d of %d: %+v", after, d.revision, m)
		}
	}
}

// Calls are served one at a time, for a time proportional to the lines of their lists, and fail once they have waited too long.
func TestDiscoveryCapacity(t *testing.T) {
	spec := idleScenario(10, 3)
	spec.Discovery.Capacity = 5 // a list of ten takes 2 s
	f := newFaultHarness(t, spec, 1)
	for _, s := range f.schedulers {
		s.neverCalls = true
	}
	f.runFor(time.Second)
	for i := range f.schedulers {
		f.schedulers[i].revision = 0
		f.watchDiscovery(i, f.env.now)
	}
	f.runFor(8 * time.Second)
	var got []string
	for _, in := range f.inputs {
		switch in.Message.(type) {
		case simapi.ListReceived:
			got = append(got, "list")
		case simapi.WatchEnded:
			got = append(got, "failed")
		}
	}
	if len(got) != 3 || got[0] != "list" || got[1] != "failed" || got[2] != "list" {
		t.Errorf("results of three calls at once: %v", got) // after 2 s, 3 s and 4 s
	}
	f.doNow(func() {
		f.schedulers[0].revision, f.schedulers[1].revision = 0, 0
		f.watchDiscovery(0, f.env.now)
		f.watchDiscovery(1, f.env.now)
		f.env.after(time.Second, func() { f.env.schedulers[0].kill(0) }) // which cancels the service of its call
	})
	from := len(f.inputs)
	f.runFor(3100 * time.Millisecond)
	if lists := messagesOf[simapi.ListReceived](f, from); len(lists) != 1 || lists[0].scheduler != 1 {
		t.Errorf("lists received after the call of a killed scheduler: %v, want one at scheduler 1", lists)
	}
}
