package world

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// faults is the timeline of what goes wrong; package scenario says what each fault does.
//
// Whom a fault strikes is settled at the play's start, by the seed and the fault's place in the timeline alone. What
// worker nodes suffer is counted for each, so that faults may overlap: what each adds is taken away at its end, in
// whatever order they end, and the worker node is as it was once all are over.
type faults struct {
	w       *World
	strains []strain   // by worker node
	waits   [][]func() // by worker node: who waits for its next process
}

func newFaults(w *World) *faults {
	return &faults{w: w, strains: make([]strain, len(w.nodes)), waits: make([][]func(), len(w.nodes))}
}

// strain is what faults have put on a worker node.
type strain struct {
	hang, full, mute, refuse, never, slowRead int
	slow, errors, resets                      []float64 // in order of time
}

func (f *faults) begin() {
	for i := range f.w.Spec.Faults {
		x := &fault{Fault: &f.w.Spec.Faults[i], f: f}
		x.aim(i)
		f.w.at(x.At.D(), x.begin)
	}
}

// fault is one of the timeline, as it is played.
type fault struct {
	*scenario.Fault
	f         *faults
	hasNodes  bool  // it is done to worker nodes
	nodes     []int // and to these
	hasScheds bool
	scheds    []int
	// Planners count on after the schedulers.
	hasPlanners bool
	planners    []int
	left        int // strikes that are not over
}

// aim settles whom it strikes. i is its place in the timeline.
func (x *fault) aim(i int) {
	f, spec := x.f, x.Fault
	kind := scenario.FaultKinds[spec.What]
	x.hasNodes, x.hasScheds = kind == "node" || spec.What == "disco_wrong", kind == "sched"
	if kind == "net" {
		x.hasNodes = spec.Between == "nodes" || spec.And == "nodes"
		x.hasScheds = spec.Between == "schedulers" || spec.And == "schedulers"
	}
	if x.hasNodes {
		x.nodes = f.share(f.matching(spec), spec.On.Share, i)
	}
	all := f.w.Spec.Schedulers.Count
	if kind == "planner" || kind == "planners" && (spec.And == "discovery" || spec.Between == "discovery") {
		x.hasPlanners = true
		for n := range f.w.Spec.Planners.Count {
			if len(spec.On.Planners) == 0 || slices.Contains(spec.On.Planners, n) {
				x.planners = append(x.planners, all+n)
			}
		}
		x.planners = f.share(x.planners, spec.On.Share, i)
	}
	if x.hasScheds {
		if x.What == "sched_reload" && len(spec.On.Schedulers) == 0 { // planners have the same address
			all = len(f.w.scheds)
		}
		for n := range all {
			if len(spec.On.Schedulers) == 0 || slices.Contains(spec.On.Schedulers, n) {
				x.scheds = append(x.scheds, n)
			}
		}
		if !x.hasNodes {
			x.scheds = f.share(x.scheds, spec.On.Share, i)
		}
	}
}

// matching is the worker nodes that match all that the target names.
func (f *faults) matching(spec *scenario.Fault) (list []int) {
	t := &spec.On
	for i, n := range f.w.nodes {
		if (len(t.Names) == 0 || slices.Contains(t.Names, "w-"+strconv.Itoa(i))) &&
			(len(t.Cells) == 0 || slices.Contains(t.Cells, n.cell)) && (t.Kind == "" || t.Kind == n.kind.Name) &&
			(t.Zone == "" || t.Zone == f.w.Spec.Fleet.Zones[n.zone]) {
			list = append(list, i)
		}
	}
	return list
}

// share draws a share of those who match, one at least; 0: all.
func (f *faults) share(list []int, share float64, fault int) []int {
	if share <= 0 || len(list) == 0 {
		return list
	}
	rng := f.w.rng("fault", fault)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), max(1, int(math.Round(share*float64(len(list))))))]
	slices.Sort(list)
	return list
}

// begin strikes its targets, in turn where it is to spread. It ends with the last strike's end.
func (x *fault) begin() {
	w := x.f.w
	w.tell(seen.Sight{What: seen.FaultOn, Text: x.text()})
	switch kind := scenario.FaultKinds[x.What]; {
	case kind == "sched":
		x.inTurn(x.scheds, x.strikeSched)
	case kind == "planner":
		x.inTurn(x.planners, x.strikeSched)
	case kind == "node" && x.What != "half_open":
		x.inTurn(x.nodes, x.strikeNode)
	default:
		x.left = 1
		struck := x.strikeAll()
		x.tell(seen.Struck, x.nodes)
		x.until(func() {
			struck()
			x.tell(seen.Spared, x.nodes)
		})
	}
}

// tell says of worker nodes that it strikes them, or no longer does.
func (x *fault) tell(what seen.What, nodes []int) {
	for _, n := range nodes {
		x.f.w.tell(seen.Sight{What: what, Node: n, Text: x.What})
	}
}

func (x *fault) inTurn(targets []int, strike func(n int)) {
	if x.left = len(targets); x.left == 0 {
		x.left = 1
		x.over()
	}
	for i, n := range targets {
		x.f.w.after(x.Spread.D()*time.Duration(i)/time.Duration(len(targets)), func() { strike(n) })
	}
}

// until ends a strike after For, if it ever ends.
func (x *fault) until(undo func()) {
	if x.For > 0 {
		x.f.w.after(x.For.D(), func() {
			undo()
			x.over()
		})
	}
}

// over is the end of a strike.
func (x *fault) over() {
	if x.left--; x.left == 0 {
		x.f.w.tell(seen.Sight{What: seen.FaultOff, Text: x.text()})
	}
}

// started is told that a worker node has a new process.
func (f *faults) started(node int) {
	waits := f.waits[node]
	f.waits[node] = nil
	for _, do := range waits {
		do()
	}
}

func (x *fault) strikeNode(i int) {
	n, s, back := x.f.w.nodes[i], &x.f.strains[i], x.For.D()
	x.tell(seen.Struck, []int{i})
	spared := func() { x.tell(seen.Spared, []int{i}) }
	whenBack := func() {
		if back > 0 {
			x.f.waits[i] = append(x.f.waits[i], spared, x.over)
		}
	}
	until := func(undo func()) {
		x.until(func() {
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
	switch x.What {
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
		n.handBack()
		spared()
		x.over()
	case "pause":
		n.pause(back)
		until(func() {})
	case "hang":
		count(&s.hang, n.hang)
	case "full":
		count(&s.full, n.full)
	case "no_notes":
		count(&s.mute, n.mute)
	case "refuse":
		count(&s.refuse, n.refuse)
	case "never_up":
		count(&s.never, n.neverUp)
	case "slow_read":
		count(&s.slowRead, n.slowRead)
	case "slow": // they multiply
		list(&s.slow, func() {
			factor := 1.0
			for _, by := range s.slow {
				factor *= by
			}
			n.slow(factor)
		})
	case "errors": // the largest share
		list(&s.errors, func() {
			rate := -1.0
			for _, r := range s.errors {
				rate = max(rate, r)
			}
			n.failing(rate)
		})
	case "reset_at": // the last
		list(&s.resets, func() {
			bytes := 0
			if k := len(s.resets); k > 0 {
				bytes = int(s.resets[k-1])
			}
			n.resetAt(bytes)
		})
	default:
		panic("world: no such fault of a worker node: " + x.What)
	}
}

func (x *fault) strikeSched(i int) {
	s := x.f.w.scheds[i]
	whenBack := func() {
		if x.For > 0 {
			s.onStart = append(s.onStart, x.over)
		}
	}
	switch x.What {
	case "sched_kill", "planner_kill":
		s.kill(x.For.D())
		whenBack()
	case "sched_term", "planner_term":
		s.term(x.For.D())
		whenBack()
	case "sched_freeze", "planner_freeze":
		s.freeze(x.For.D())
		x.until(func() {})
	case "sched_reload":
		s.reload()
		x.over()
	case "sched_replace":
		s.replace()
		x.over()
	case "planner_start":
		s.start()
		x.over()
	case "planner_drop":
		s.w.in(edge.In{Kind: edge.Break, Sched: i})
		x.over()
	case "planner_slow": // of two that hold at once the later one counts, until either ends
		s.w.in(edge.In{Kind: edge.Slow, Sched: i, Late: time.Duration(x.Size * float64(time.Millisecond))})
		x.until(func() { s.w.in(edge.In{Kind: edge.Slow, Sched: i}) })
	default:
		panic("world: no such fault of a scheduler: " + x.What)
	}
}

// strikeAll is what is done to all targets at once.
func (x *fault) strikeAll() (undo func()) {
	w := x.f.w
	switch x.What {
	case "cut", "cut_one_way":
		undo = w.net.cut(x.crowd(x.Between), x.crowd(x.And), x.What == "cut_one_way")
		if x.Between == "discovery" && x.And == "nodes" || x.Between == "nodes" && x.And == "discovery" {
			passes, reach := undo, w.disco.cutOff(x.nodes)
			undo = func() {
				passes()
				reach()
			}
		}
		return undo
	case "planner_cut", "planner_cut_one_way":
		if x.hasPlanners {
			return w.net.cut(x.crowd(x.Between), x.crowd(x.And), x.What == "planner_cut_one_way")
		}
		return func() {} // what passes between planners and schedulers is the driver's
	case "delay":
		return w.net.lag(x.crowd(x.Between), x.crowd(x.And), time.Duration(x.Size*float64(time.Millisecond)))
	case "drop_idle":
		return w.net.dropIdle(x.crowd(x.Between), x.crowd(x.And), seconds(x.Size))
	case "half_open":
		return w.net.dropIdle(crowd{kind: aSched}, x.crowd("nodes"), seconds(x.Size))
	case "disco_down":
		return w.disco.down()
	case "disco_late":
		return w.disco.late(seconds(x.Size))
	case "disco_wrong":
		return w.disco.wrong(x.nodes)
	case "disco_old":
		return w.disco.old()
	case "disco_slow":
		return w.disco.slow(x.Size)
	case "disco_moves":
		w.disco.move()
		x.over()
		return nil
	case "burst":
		tenant := slices.IndexFunc(w.Spec.Tenants, func(t scenario.Tenant) bool { return t.Name == x.On.Tenant })
		class := slices.IndexFunc(w.Spec.Classes, func(c scenario.Class) bool { return c.Name == x.On.Class })
		return w.clients.burst(tenant, class, x.Size)
	case "storm":
		return w.clients.storm(x.Size)
	}
	panic("world: no such fault: " + x.What)
}

// crowd is who stands at one side of a fault of the network.
func (x *fault) crowd(name string) crowd {
	some := func(kind partyKind, list []int, all int) crowd {
		c := crowd{kind: kind}
		if len(list) < all {
			c.only = make(map[int]bool, len(list))
			for _, n := range list {
				c.only[n] = true
			}
		}
		return c
	}
	switch name {
	case "schedulers":
		return some(aSched, x.scheds, len(x.f.w.scheds))
	case "nodes":
		return some(aNode, x.nodes, len(x.f.w.nodes))
	case "planners":
		return some(aSched, x.planners, len(x.f.w.scheds))
	case "discovery":
		return crowd{kind: theDisco}
	}
	return crowd{kind: aClient}
}

// ---- What is told of it ----

// Targets are named up to this number, and counted beyond.
const namedTargets = 4

// text says what a fault does to whom, as in "slow 3: w-1, w-7, for 8s".
func (x *fault) text() string {
	b := strings.Builder{}
	b.WriteString(x.What)
	if x.Size != 0 {
		b.WriteString(" " + strconv.FormatFloat(x.Size, 'g', -1, 64))
	}
	var whom []string
	if kind := scenario.FaultKinds[x.What]; kind == "net" || kind == "planners" {
		whom = append(whom, x.Between+" and "+x.And)
	}
	if x.hasNodes && (len(x.nodes) < len(x.f.w.nodes) || len(whom) == 0) {
		whom = append(whom, naming(x.nodes, "w-", 0, "worker nodes"))
	}
	all := x.f.w.Spec.Schedulers.Count
	if x.hasScheds && (len(x.scheds) < all || len(whom) == 0) {
		whom = append(whom, naming(x.scheds, "s", 1, "schedulers"))
	}
	if on := &x.On; scenario.FaultKinds[x.What] == "planners" {
		if len(on.Planners) > 0 {
			whom = append(whom, naming(on.Planners, "p", 1, "planners"))
		}
		if len(on.Schedulers) > 0 {
			whom = append(whom, naming(on.Schedulers, "s", 1, "schedulers"))
		}
	} else if x.hasPlanners {
		whom = append(whom, naming(x.planners, "p", 1-all, "planners"))
	}
	for _, name := range []string{x.On.Tenant, x.On.Class} {
		if name != "" {
			whom = append(whom, name)
		}
	}
	if len(whom) > 0 {
		b.WriteString(": " + strings.Join(whom, ", "))
	}
	if x.For > 0 {
		b.WriteString(", for " + x.For.String())
	}
	return b.String()
}

func naming(list []int, prefix string, from int, many string) string {
	if len(list) == 0 || len(list) > namedTargets {
		return strconv.Itoa(len(list)) + " " + many
	}
	names := make([]string, len(list))
	for i, n := range list {
		names[i] = prefix + strconv.Itoa(n+from)
	}
	return strings.Join(names, ", ")
}
