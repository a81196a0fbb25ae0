package environment

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// faultTimeline is the timeline of what goes wrong; package scenario says what each fault does.
//
// Whom a fault strikes is settled at the run's start, by the seed and the fault's place in the timeline alone. What
// workers suffer is counted for each, so that faults may overlap: what each adds is taken away at its end, in
// whatever order they end, and the worker is as it was once all are over.
type faultTimeline struct {
	env            *Environment
	workers        []workerFaults // by worker
	restartWaiters [][]func()     // by worker: who waits for its next process
}

func newFaultTimeline(w *Environment) *faultTimeline {
	return &faultTimeline{env: w, workers: make([]workerFaults, len(w.workers)), restartWaiters: make([][]func(), len(w.workers))}
}

// workerFaults is what faults have put on a worker.
type workerFaults struct {
	hangs, fulls, mutes, refusals, silences, slowReads int
	slowFactors, errorRates, resetBytes                []float64 // in order of time
}

func (f *faultTimeline) start() {
	for i := range f.env.Spec.Faults {
		x := &activeFault{Fault: &f.env.Spec.Faults[i], timeline: f}
		x.chooseTargets(i)
		f.env.schedule(x.At.Std(), x.start)
	}
}

// activeFault is one of the timeline, as it is played.
type activeFault struct {
	*scenario.Fault
	timeline     *faultTimeline
	onWorkers    bool  // it is done to workers
	workers      []int // and to these
	onSchedulers bool
	schedulers   []int
	// Planners count on after the schedulers.
	onPlanners bool
	planners   []int
	remaining  int // strikes that are not over
}

// chooseTargets settles whom it strikes. i is its place in the timeline.
func (x *activeFault) chooseTargets(i int) {
	f, spec := x.timeline, x.Fault
	kind := scenario.FaultKinds[spec.Kind]
	x.onWorkers, x.onSchedulers = kind == "node" || spec.Kind == "disco_wrong", kind == "sched"
	if kind == "net" {
		x.onWorkers = spec.Between == "nodes" || spec.And == "nodes"
		x.onSchedulers = spec.Between == "schedulers" || spec.And == "schedulers"
	}
	if x.onWorkers {
		x.workers = f.drawShare(f.matching(spec), spec.Target.Share, i)
	}
	all := f.env.Spec.Schedulers.Count
	if kind == "planner" || kind == "planners" && (spec.And == "discovery" || spec.Between == "discovery") {
		x.onPlanners = true
		for n := range f.env.Spec.Planners.Count {
			if len(spec.Target.Planners) == 0 || slices.Contains(spec.Target.Planners, n) {
				x.planners = append(x.planners, all+n)
			}
		}
		x.planners = f.drawShare(x.planners, spec.Target.Share, i)
	}
	if x.onSchedulers {
		if x.Kind == "sched_reload" && len(spec.Target.Schedulers) == 0 { // planners have the same address
			all = len(f.env.schedulers)
		}
		for n := range all {
			if len(spec.Target.Schedulers) == 0 || slices.Contains(spec.Target.Schedulers, n) {
				x.schedulers = append(x.schedulers, n)
			}
		}
		if !x.onWorkers {
			x.schedulers = f.drawShare(x.schedulers, spec.Target.Share, i)
		}
	}
}

// matching is the workers that match all that the target names.
func (f *faultTimeline) matching(spec *scenario.Fault) (list []int) {
	t := &spec.Target
	for i, n := range f.env.workers {
		if (len(t.Names) == 0 || slices.Contains(t.Names, "w-"+strconv.Itoa(i))) &&
			(len(t.Cells) == 0 || slices.Contains(t.Cells, n.cell)) && (t.Kind == "" || t.Kind == n.kind.Name) &&
			(t.Zone == "" || t.Zone == f.env.Spec.Fleet.Zones[n.zone]) {
			list = append(list, i)
		}
	}
	return list
}

// drawShare draws a share of those who match, one at least; 0: all.
func (f *faultTimeline) drawShare(list []int, share float64, fault int) []int {
	if share <= 0 || len(list) == 0 {
		return list
	}
	rng := f.env.rng("fault", fault)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), max(1, int(math.Round(share*float64(len(list))))))]
	slices.Sort(list)
	return list
}

// start strikes its targets, in turn where it is to spread. It ends with the last strike's end.
func (x *activeFault) start() {
	w := x.timeline.env
	w.record(trace.Event{Kind: trace.FaultStarted, Text: x.describe()})
	switch kind := scenario.FaultKinds[x.Kind]; {
	case kind == "sched":
		x.spread(x.schedulers, x.applyToScheduler)
	case kind == "planner":
		x.spread(x.planners, x.applyToScheduler)
	case kind == "node" && x.Kind != "half_open":
		x.spread(x.workers, x.applyToWorker)
	default:
		x.remaining = 1
		struck := x.applyToAll()
		x.recordWorkers(trace.WorkerFaultStarted, x.workers)
		x.endLater(func() {
			struck()
			x.recordWorkers(trace.WorkerFaultEnded, x.workers)
		})
	}
}

// recordWorkers says of workers that it strikes them, or no longer does.
func (x *activeFault) recordWorkers(what trace.Kind, nodes []int) {
	for _, n := range nodes {
		x.timeline.env.record(trace.Event{Kind: what, Worker: n, Text: x.Kind})
	}
}

func (x *activeFault) spread(targets []int, apply func(n int)) {
	if x.remaining = len(targets); x.remaining == 0 {
		x.remaining = 1
		x.end()
	}
	for i, n := range targets {
		x.timeline.env.after(x.Spread.Std()*time.Duration(i)/time.Duration(len(targets)), func() { apply(n) })
	}
}

// endLater ends a strike after For, if it ever ends.
func (x *activeFault) endLater(undo func()) {
	if x.Duration > 0 {
		x.timeline.env.after(x.Duration.Std(), func() {
			undo()
			x.end()
		})
	}
}

// end is the end of a strike.
func (x *activeFault) end() {
	if x.remaining--; x.remaining == 0 {
		x.timeline.env.record(trace.Event{Kind: trace.FaultEnded, Text: x.describe()})
	}
}

// workerStarted is told that a worker has a new process.
func (f *faultTimeline) workerStarted(node int) {
	waits := f.restartWaiters[node]
	f.restartWaiters[node] = nil
	for _, do := range waits {
		do()
	}
}

func (x *activeFault) applyToWorker(i int) {
	n, workerFaults, back := x.timeline.env.workers[i], &x.timeline.workers[i], x.Duration.Std()
	x.recordWorkers(trace.WorkerFaultStarted, []int{i})
	spared := func() { x.recordWorkers(trace.WorkerFaultEnded, []int{i}) }
	whenBack := func() {
		if back > 0 {
			x.timeline.restartWaiters[i] = append(x.timeline.restartWaiters[i], spared, x.end)
		}
	}
	until := func(undo func()) {
		x.endLater(func() {
			undo()
			spared()
		})
	}
	count := func(c *int, set func(on bool)) {
		*c++
		set(true)
		until(func() {
			*c--
			set(*c > 0)
		})
	}
	// Of several that hold at once, what applies follows from all of their sizes.
	list := func(l *[]float64, set func()) {
		*l = append(*l, x.Size)
		set()
		until(func() {
			at := slices.Index(*l, x.Size)
			*l = slices.Delete(*l, at, at+1)
			set()
		})
	}
	switch x.Kind {
	case "crash":
		n.crash(back)
		whenBack()
	case "vanish":
		n.vanish(back)
		whenBack()
	case "restart":
		n.restart(back)
		whenBack()
	case "replace":
		n.replace(back)
		whenBack()
	case "early_202_crash":
		n.dieAtAccept(back)
		whenBack()
	case "drain":
		n.drain()
	case "gone":
		n.remove()
	case "handback":
		n.returnQueued()
		spared()
		x.end()
	case "pause":
		n.pause(back)
		until(func() {})
	case "hang":
		count(&workerFaults.hangs, n.setHang)
	case "full":
		count(&workerFaults.fulls, n.setFull)
	case "no_notes":
		count(&workerFaults.mutes, n.setMute)
	case "refuse":
		count(&workerFaults.refusals, n.setRefusing)
	case "never_up":
		count(&workerFaults.silences, n.setSilent)
	case "slow_read":
		count(&workerFaults.slowReads, n.setSlowRead)
	case "slow": // they multiply
		list(&workerFaults.slowFactors, func() {
			factor := 1.0
			for _, by := range workerFaults.slowFactors {
				factor *= by
			}
			n.setSlowFactor(factor)
		})
	case "errors": // the largest share
		list(&workerFaults.errorRates, func() {
			rate := -1.0
			for _, r := range workerFaults.errorRates {
				rate = max(rate, r)
			}
			n.setErrorRate(rate)
		})
	case "reset_at": // the last
		list(&workerFaults.resetBytes, func() {
			bytes := 0
			if k := len(workerFaults.resetBytes); k > 0 {
				bytes = int(workerFaults.resetBytes[k-1])
			}
			n.setResetBytes(bytes)
		})
	default:
		panic("world: no such fault of a worker node: " + x.Kind)
	}
}

func (x *activeFault) applyToScheduler(i int) {
	scheduler := x.timeline.env.schedulers[i]
	whenBack := func() {
		if x.Duration > 0 {
			scheduler.startWaiters = append(scheduler.startWaiters, x.end)
		}
	}
	switch x.Kind {
	case "sched_kill", "planner_kill":
		scheduler.kill(x.Duration.Std())
		whenBack()
	case "sched_term", "planner_term":
		scheduler.terminate(x.Duration.Std())
		whenBack()
	case "sched_freeze", "planner_freeze":
		scheduler.freeze(x.Duration.Std())
		x.endLater(func() {})
	case "sched_reload":
		scheduler.reload()
		x.end()
	case "sched_replace":
		scheduler.replace()
		x.end()
	case "planner_start":
		scheduler.start()
		x.end()
	case "planner_drop":
		scheduler.env.deliver(simapi.Input{Kind: simapi.BreakConnections, Scheduler: i})
		x.end()
	case "planner_slow": // of two that hold at once the later one counts, until either ends
		scheduler.env.deliver(simapi.Input{Kind: simapi.SlowDown, Scheduler: i, Delay: time.Duration(x.Size * float64(time.Millisecond))})
		x.endLater(func() { scheduler.env.deliver(simapi.Input{Kind: simapi.SlowDown, Scheduler: i}) })
	default:
		panic("world: no such fault of a scheduler: " + x.Kind)
	}
}

// applyToAll is what is done to all targets at once.
func (x *activeFault) applyToAll() (undo func()) {
	environment := x.timeline.env
	switch x.Kind {
	case "cut", "cut_one_way":
		undo = environment.network.partition(x.partyGroup(x.Between), x.partyGroup(x.And), x.Kind == "cut_one_way")
		if x.Between == "discovery" && x.And == "nodes" || x.Between == "nodes" && x.And == "discovery" {
			passes, reach := undo, environment.discovery.isolate(x.workers)
			undo = func() {
				passes()
				reach()
			}
		}
		return undo
	case "planner_cut", "planner_cut_one_way":
		if x.onPlanners {
			return environment.network.partition(x.partyGroup(x.Between), x.partyGroup(x.And), x.Kind == "planner_cut_one_way")
		}
		return func() {} // what passes between planners and schedulers is the driver's
	case "delay":
		return environment.network.addDelay(x.partyGroup(x.Between), x.partyGroup(x.And), time.Duration(x.Size*float64(time.Millisecond)))
	case "drop_idle":
		return environment.network.dropIdle(x.partyGroup(x.Between), x.partyGroup(x.And), durationOf(x.Size))
	case "half_open":
		return environment.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, x.partyGroup("nodes"), durationOf(x.Size))
	case "disco_down":
		return environment.discovery.startOutage()
	case "disco_late":
		return environment.discovery.delayNotices(durationOf(x.Size))
	case "disco_wrong":
		return environment.discovery.listWrongly(x.workers)
	case "disco_old":
		return environment.discovery.freezeList()
	case "disco_slow":
		return environment.discovery.slowDown(x.Size)
	case "disco_moves":
		environment.discovery.changeAddress()
		x.end()
		return nil
	case "burst":
		tenant := slices.IndexFunc(environment.Spec.Tenants, func(t scenario.Tenant) bool { return t.Name == x.Target.Tenant })
		class := slices.IndexFunc(environment.Spec.Classes, func(c scenario.Class) bool { return c.Name == x.Target.Class })
		return environment.clients.startBurst(tenant, class, x.Size)
	case "storm":
		return environment.clients.startRetryStorm(x.Size)
	}
	panic("world: no such fault: " + x.Kind)
}

// partyGroup is who stands at one side of a fault of the network.
func (x *activeFault) partyGroup(name string) endpointGroup {
	some := func(kind endpointKind, list []int, all int) endpointGroup {
		c := endpointGroup{kind: kind}
		if len(list) < all {
			c.members = make(map[int]bool, len(list))
			for _, n := range list {
				c.members[n] = true
			}
		}
		return c
	}
	switch name {
	case "schedulers":
		return some(schedulerEndpoint, x.schedulers, len(x.timeline.env.schedulers))
	case "nodes":
		return some(workerEndpoint, x.workers, len(x.timeline.env.workers))
	case "planners":
		return some(schedulerEndpoint, x.planners, len(x.timeline.env.schedulers))
	case "discovery":
		return endpointGroup{kind: discoveryEndpoint}
	}
	return endpointGroup{kind: clientEndpoint}
}

// ---- What is told of it ----

// Targets are named up to this number, and counted beyond.
const maxNamedTargets = 4

// describe says what a fault does to whom, as in "slow 3: w-1, w-7, for 8s".
func (x *activeFault) describe() string {
	b := strings.Builder{}
	b.WriteString(x.Kind)
	if x.Size != 0 {
		b.WriteString(" " + strconv.FormatFloat(x.Size, 'g', -1, 64))
	}
	var whom []string
	if kind := scenario.FaultKinds[x.Kind]; kind == "net" || kind == "planners" {
		whom = append(whom, x.Between+" and "+x.And)
	}
	if x.onWorkers && (len(x.workers) < len(x.timeline.env.workers) || len(whom) == 0) {
		whom = append(whom, nameTargets(x.workers, "w-", 0, "worker nodes"))
	}
	all := x.timeline.env.Spec.Schedulers.Count
	if x.onSchedulers && (len(x.schedulers) < all || len(whom) == 0) {
		whom = append(whom, nameTargets(x.schedulers, "s", 1, "schedulers"))
	}
	if on := &x.Target; scenario.FaultKinds[x.Kind] == "planners" {
		if len(on.Planners) > 0 {
			whom = append(whom, nameTargets(on.Planners, "p", 1, "planners"))
		}
		if len(on.Schedulers) > 0 {
			whom = append(whom, nameTargets(on.Schedulers, "s", 1, "schedulers"))
		}
	} else if x.onPlanners {
		whom = append(whom, nameTargets(x.planners, "p", 1-all, "planners"))
	}
	for _, name := range []string{x.Target.Tenant, x.Target.Class} {
		if name != "" {
			whom = append(whom, name)
		}
	}
	if len(whom) > 0 {
		b.WriteString(": " + strings.Join(whom, ", "))
	}
	if x.Duration > 0 {
		b.WriteString(", for " + x.Duration.String())
	}
	return b.String()
}

func nameTargets(list []int, prefix string, from int, many string) string {
	if len(list) == 0 || len(list) > maxNamedTargets {
		return strconv.Itoa(len(list)) + " " + many
	}
	names := make([]string, len(list))
	for i, n := range list {
		names[i] = prefix + strconv.Itoa(n+from)
	}
	return strings.Join(names, ", ")
}
