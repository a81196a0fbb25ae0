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

// Whatever befalls workers, discovery, the network and schedulers: once all is well again, each scheduler that
// has applied what it was told has discovery's list, that list is true, and what counts as told is what is so.
func FuzzDiscovery(f *testing.F) { modeltest.Fuzz(f, runDiscovery) }

// discoveryModel puts a fleet through random faults, and knows what its schedulers should have heard of it.
type discoveryModel struct {
	*faultHarness
	steps *modeltest.Steps
	undos []func() // of the faults that hold
}

func runDiscovery(s *modeltest.Steps) {
	spec := quiet(2+s.Pick(7), 1+s.Pick(3))
	if s.Pick(2) == 0 {
		spec.Discovery.Capacity = 20
	}
	m := &discoveryModel{faultHarness: newFaultHarness(s.T, spec, uint64(s.Pick(8))), steps: s}
	for s.More() {
		m.step()
	}
	for _, undo := range m.undos {
		m.do(undo)
	}
	m.run(100 * time.Second) // the longest drain is 30 s, and lists a line each 50 ms
	want := m.endpoints()
	for i, x := range m.scheds {
		s.Check(x.revision == m.w.discovery.revision, "scheduler %d has generation %d of %d", i, x.revision, m.w.discovery.revision)
		s.Check(maps.Equal(x.list, want), "scheduler %d has %v, and so it is: %v", i, x.list, want)
		m.checkNotified(i, want)
	}
	d := m.w.discovery
	s.Check(len(d.heldEvents) == 0 && len(d.calls) == 0 && d.serving == nil && d.noticeDelay == 0, "something is left over")
}

// step draws a fault, the end of one, or a while in which nothing else happens.
func (d *discoveryModel) step() {
	n, sched := d.w.workers[d.steps.Pick(len(d.w.workers))], d.w.schedulers[d.steps.Pick(len(d.w.schedulers))]
	back := time.Duration(d.steps.Pick(8)) * 700 * time.Millisecond
	undo := func() {}
	what := d.steps.Pick(20)
	switch {
	case what > 16:
		d.run(time.Duration(1+d.steps.Pick(40)) * 150 * time.Millisecond)
		return
	case what == 16:
		d.do(d.endFault)
	case what >= 12:
		d.do(func() { undo = d.disturbOthers(what, n, sched, back) })
	case what >= 6:
		d.do(func() { undo = d.disturbDiscovery(what, d.twoWorkers(n)) })
	default:
		d.do(func() { d.endWorker(what, n, back) })
	}
	d.undos = append(d.undos, undo)
}

// twoWorkers is a worker and the next one.
func (d *discoveryModel) twoWorkers(n *worker) []int {
	return []int{n.number, (n.number + 1) % len(d.w.workers)}
}

// endWorker ends a worker's process, or has it drain.
func (d *discoveryModel) endWorker(what int, n *worker, back time.Duration) {
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
		if n.number > 0 {
			n.remove()
		}
	}
}

// disturbDiscovery begins a fault of discovery.
func (d *discoveryModel) disturbDiscovery(what int, some []int) (undo func()) {
	discovery := d.w.discovery
	switch what {
	case 6:
		return discovery.startOutage()
	case 7:
		if discovery.noticeDelay < 10*time.Second { // else nothing would be known in the end
			return discovery.delayNotices(2 * time.Second)
		}
	case 8:
		return discovery.listWrongly(some)
	case 9:
		return discovery.freezeList()
	case 10:
		return discovery.slowDown(3)
	case 11:
		discovery.changeAddress()
		for _, x := range d.w.schedulers {
			x.reload()
		}
	}
	return func() {}
}

// disturbOthers cuts discovery off, or ends or freezes a scheduler.
func (d *discoveryModel) disturbOthers(what int, n *worker, sched *scheduler, back time.Duration) (undo func()) {
	disco := endpointGroup{kind: discoveryEndpoint}
	switch what {
	case 12:
		return d.w.network.partition(endpointGroup{kind: schedulerEndpoint, members: map[int]bool{sched.number: true}}, disco, d.steps.Pick(2) == 0)
	case 13:
		some := d.twoWorkers(n)
		pass, reach := d.w.network.partition(endpointGroup{kind: workerEndpoint, members: map[int]bool{some[0]: true, some[1]: true}}, disco, false),
			d.w.discovery.isolate(some)
		return func() { pass(); reach() }
	case 14:
		sched.kill(back + time.Millisecond)
	case 15:
		sched.freeze(back)
	}
	return func() {}
}

// endFault ends one of the faults that hold.
func (d *discoveryModel) endFault() {
	if len(d.undos) > 0 {
		i := d.steps.Pick(len(d.undos))
		d.undos[i]()
		d.undos = append(d.undos[:i], d.undos[i+1:]...)
	}
}

// endpoints is what discovery's list should say in the end.
func (d *discoveryModel) endpoints() map[string]requests.Endpoint {
	list := map[string]requests.Endpoint{}
	for _, n := range d.w.workers {
		if n.process.state != workerUp || n.removed {
			continue
		}
		entry := &d.w.discovery.entries[d.w.discovery.entryOf[n.number]]
		list[n.id] = requests.Endpoint{
			ID: n.id, Addr: d.w.WorkerAddr(n.placeIndex()), Zone: "a", MachineType: n.kind.Name, Cell: n.cell,
			Lifecycle: map[bool]string{false: "up", true: "draining"}[n.process.draining], Weight: entry.endpoint.Weight, StartedAtMs: n.startedMs(),
		}
	}
	return list
}

// checkNotified checks of what a scheduler counts as told that it is so, and that of each worker.
func (d *discoveryModel) checkNotified(i int, want map[string]requests.Endpoint) {
	s := d.steps
	notified := map[int]trace.Kind{}
	for _, e := range d.all(0, trace.SchedulerStarted, trace.DrainNotified, trace.StartNotified) {
		if e.Scheduler != i {
			continue
		}
		if e.Kind == trace.SchedulerStarted {
			notified = map[int]trace.Kind{}
			continue
		}
		s.Check(e.Kind == trace.StartNotified || notified[e.Worker] != e.Kind || d.w.workers[e.Worker].process.incarnation > 1,
			"told twice of the drain of a worker that never started again")
		notified[e.Worker] = e.Kind
	}
	for _, n := range d.w.workers {
		h, listed := want[n.id]
		s.Check(!listed || d.w.discovery.knowsStart(i, n), "scheduler %d was not told of %s", i, n.id)
		s.Check((notified[n.number] == trace.DrainNotified) == (!listed && notified[n.number] != 0 || h.Lifecycle == "draining"),
			"scheduler %d: %s is %q, and was last told of by trace event %d", i, n.id, h.Lifecycle, notified[n.number])
	}
}

// When a drain counts as told.
func TestNotificationTimes(t *testing.T) {
	const drained = 20 * time.Second
	scheds := endpointGroup{kind: schedulerEndpoint}
	disco := endpointGroup{kind: discoveryEndpoint}
	for name, x := range map[string]struct {
		before      func(f *faultHarness)
		after       func(f *faultHarness)
		from, until time.Duration // of when it was listed
	}{
		"over a watch": {from: 0, until: 5 * time.Millisecond},
		"on a watch that is cut off": {
			before: func(f *faultHarness) { f.w.network.partition(disco, scheds, true) },
			from:   6 * time.Second, until: 6 * time.Second,
		},
		"without a watch": {
			before: func(f *faultHarness) { f.scheds[0].silent = true; f.w.discovery.startOutage()() },
			from:   9 * time.Second, until: 10 * time.Second,
		}, // ask_every, from when it had the watch
		"after a call that failed": {
			before: func(f *faultHarness) {
				f.w.discovery.startOutage()
				f.w.after(2*time.Second, func() { f.scheds[0].silent = true })
			},
			from: 38 * time.Second, until: 40 * time.Second,
		},
		"after SIGHUP": {
			before: func(f *faultHarness) { f.w.discovery.startOutage() }, after: func(f *faultHarness) { f.w.schedulers[0].reload() },
			from: 8 * time.Second, until: 8100 * time.Millisecond,
		},
		"by the next process": {
			before: func(f *faultHarness) { f.w.schedulers[0].kill(10 * time.Second) },
			from:   5 * time.Second, until: 6 * time.Second,
		},
		"frozen": {before: func(f *faultHarness) { f.w.schedulers[0].freeze(time.Minute) }, from: 0, until: 5 * time.Millisecond},
	} {
		f := newFaultHarness(t, quiet(4, 1), 1)
		f.run(drained - 3*time.Second)
		if x.before != nil {
			f.do(func() { x.before(f) })
		}
		f.run(drained - f.w.now)
		gen := f.w.discovery.revision
		f.do(f.w.workers[2].drain)
		for f.w.discovery.revision == gen {
			f.run(time.Millisecond)
		}
		listed := f.w.now
		if x.after != nil {
			f.run(4 * time.Second)
			f.do(func() { x.after(f) })
		}
		f.run(45 * time.Second)
		notified := f.all(0, trace.DrainNotified)
		if len(notified) != 1 || notified[0].Worker != 2 || notified[0].At < listed+x.from-2*time.Millisecond ||
			notified[0].At > listed+x.until {
			t.Errorf("%s: listed at %v, told: %v", name, listed, notified)
		}
	}
}

// Notices come late, each by its kind, and a machine that is cut off from discovery is silent to it.
func TestNotices(t *testing.T) {
	cut := func(f *faultHarness) { f.w.discovery.isolate([]int{1}) }
	crash := func(f *faultHarness) { f.w.workers[1].crash(0) }
	for name, x := range map[string]struct {
		do       func(f *faultHarness)
		from, to int // ms
		state    string
	}{
		"drain":       {func(f *faultHarness) { f.w.workers[1].drain() }, 700, 1800, "draining"},
		"crash":       {crash, 700, 1800, "removed"},
		"vanish":      {func(f *faultHarness) { f.w.workers[1].vanish(0) }, 5600, 10900, "removed"},
		"cut":         {cut, 5600, 10900, "removed"},
		"cut, crash":  {func(f *faultHarness) { cut(f); crash(f) }, 5600, 10900, "removed"},
		"crash, late": {func(f *faultHarness) { f.w.discovery.delayNotices(5 * time.Second); crash(f) }, 5700, 6800, "removed"},
	} {
		for seed := range uint64(5) {
			f := newFaultHarness(t, quiet(4, 1), seed)
			f.run(10 * time.Second)
			from := len(f.inputs)
			f.do(func() { x.do(f) })
			at := f.w.now
			for len(arrived[simapi.ListReceived](f, from)) == 0 && f.w.now < at+15*time.Second {
				f.run(10 * time.Millisecond)
			}
			lists := arrived[simapi.ListReceived](f, from)
			if len(lists) != 1 || len(lists[0].message.List.Endpoints) != 1 || lists[0].message.List.Endpoints[0].Lifecycle != x.state ||
				(f.w.now-at).Milliseconds() < int64(x.from) || (f.w.now-at).Milliseconds() > int64(x.to) {
				t.Errorf("%s: after %v: %v", name, f.w.now-at, lists)
			}
		}
	}
}

// describeLists says in short what a scheduler heard of the list, in order: which worker's line it was is left out.
func describeLists(inputs []simapi.Input) (description string) {
	for _, in := range inputs {
		switch message := in.Message.(type) {
		case simapi.WatchEnded:
			switch description {
			case "":
				description = "end "
			case "end ": // and again and again
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
	h := list.Endpoints[0]
	switch {
	case h.Lifecycle != "up":
		return h.Lifecycle + " "
	case h.StartedAtMs == 0:
		return "up1 "
	}
	return "up2 "
}

// What is done to discovery, and what a scheduler then hears of the list, in order.
func TestListFaults(t *testing.T) {
	var undo func()
	one := func(f *faultHarness) *worker { return f.w.workers[1] }
	type act func(f *faultHarness)
	crash, start := func(f *faultHarness) { one(f).crash(0) }, func(f *faultHarness) { one(f).start() }
	off := func(*faultHarness) { undo() }
	for name, x := range map[string]struct {
		acts []act // with 20 s after each
		want string
	}{
		"well":         {[]act{crash, start}, "removed up2 "},
		"wrong":        {[]act{func(f *faultHarness) { undo = f.w.discovery.listWrongly([]int{1}) }, crash, start, crash, off}, "up2 removed "},
		"wrong, later": {[]act{crash, func(f *faultHarness) { undo = f.w.discovery.listWrongly([]int{1}) }, off}, "removed up1 removed "},
		"old":          {[]act{func(f *faultHarness) { undo = f.w.discovery.freezeList() }, crash, off}, "removed "},
		"down": {
			[]act{func(f *faultHarness) { undo = f.w.discovery.startOutage() }, crash, func(f *faultHarness) { f.scheds[0].silent = true; undo() }},
			"end failed ",
		},
		"cut": {[]act{func(f *faultHarness) { f.w.after(9*time.Second, f.w.discovery.isolate([]int{1})) }}, "removed up1 "},
		"cut, then drains unseen": {[]act{
			func(f *faultHarness) { undo = f.w.discovery.isolate([]int{1}) },
			func(f *faultHarness) { one(f).drain() }, off,
		}, "removed draining "},
		"moved": {[]act{
			func(f *faultHarness) { f.w.discovery.changeAddress() }, func(f *faultHarness) { f.scheds[0].silent = true; f.w.schedulers[0].reload() },
			crash,
		}, "end failed whole removed "},
	} {
		f := newFaultHarness(t, quiet(4, 1), 2)
		f.run(10 * time.Second)
		from := len(f.inputs)
		for _, a := range x.acts {
			f.do(func() { a(f) })
			f.run(20 * time.Second)
		}
		got := describeLists(f.inputs[from:])
		if got != x.want {
			t.Errorf("%s: heard %q, and should have %q", name, got, x.want)
		}
		// What is new in a line that is heard counts as told, and once.
		updates := strings.Count(x.want, "up") + strings.Count(x.want, "removed")
		if notified := f.all(0, trace.DrainNotified, trace.StartNotified); len(notified) != updates {
			t.Errorf("%s: counts as told: %v", name, notified)
		}
	}
}

// A call is answered by what changed since the generation that it names; by the whole list, where that says nothing.
func TestSince(t *testing.T) {
	f := newFaultHarness(t, quiet(6, 1), 1)
	for _, n := range f.w.workers[:4] {
		f.do(n.drain)
		f.run(3 * time.Second)
	}
	d := f.w.discovery
	for after, want := range map[int64]int{0: -6, d.revision + 1: -6, d.revision - historyLength - 1: -6, d.revision: 0, d.revision - 3: 3} {
		if m := d.changesSince(after); m.reset != (want < 0) || len(m.entries) != max(want, -want) || m.revision != d.revision {
			t.Errorf("after %d of %d: %+v", after, d.revision, m)
		}
	}
}

// Calls are handled in turn, by the lines of their lists, and fail once they have waited too long.
func TestCapacity(t *testing.T) {
	spec := quiet(10, 3)
	spec.Discovery.Capacity = 5 // a list of ten takes 2 s
	f := newFaultHarness(t, spec, 1)
	for _, s := range f.scheds {
		s.silent = true
	}
	f.run(time.Second)
	for i := range f.scheds {
		f.scheds[i].revision = 0
		f.watchDiscovery(i, f.w.now)
	}
	f.run(8 * time.Second)
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
		t.Errorf("three calls at once came to %v", got) // after 2 s, 3 s and 4 s
	}
	f.do(func() {
		f.scheds[0].revision, f.scheds[1].revision = 0, 0
		f.watchDiscovery(0, f.w.now)
		f.watchDiscovery(1, f.w.now)
		f.w.after(time.Second, func() { f.w.schedulers[0].kill(0) }) // and with it what was made for it
	})
	from := len(f.inputs)
	f.run(3100 * time.Millisecond)
	if lists := arrived[simapi.ListReceived](f, from); len(lists) != 1 || lists[0].scheduler != 1 {
		t.Errorf("the list after one that nobody waits for any more: %v", lists)
	}
}
