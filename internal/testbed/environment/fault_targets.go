package environment

import (
	"math"
	"slices"
	"strconv"

	"valvecove/internal/testbed/scenario"
)

// This file chooses whom a fault strikes.

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
