package environment

import (
	"math"
	"slices"
	"strconv"

	"valvecove/internal/testbed/scenario"
)

// This file chooses whom a fault strikes.

// chooseTargets settles whom the fault strikes. number is its place in the timeline.
func (a *activeFault) chooseTargets(number int) {
	scope := scenario.FaultKinds[a.Kind]
	a.onWorkers = scope == scenario.FaultScopeWorker || a.Kind == "disco_wrong" || scope == scenario.FaultScopeNetwork && a.isBetween("nodes")
	a.onSchedulers = scope == scenario.FaultScopeScheduler || scope == scenario.FaultScopeNetwork && a.isBetween("schedulers")
	a.onPlanners = scope == scenario.FaultScopePlanner || scope == scenario.FaultScopePlannerNetwork && a.isBetween("discovery")
	if a.onWorkers {
		a.workers = a.timeline.drawShare(a.timeline.matching(a.Fault), a.Target.Share, number)
	}
	if a.onPlanners {
		a.planners = a.timeline.drawShare(a.matchingPlanners(), a.Target.Share, number)
	}
	if a.onSchedulers {
		a.schedulers = a.matchingSchedulers()
		if !a.onWorkers {
			a.schedulers = a.timeline.drawShare(a.schedulers, a.Target.Share, number)
		}
	}
}

// isBetween reports whether a group of endpoints stands at one side of a fault of the network.
func (a *activeFault) isBetween(name string) bool { return a.Between == name || a.And == name }

// matchingPlanners is the planners that match the target, by their numbers, which count on after the schedulers.
func (a *activeFault) matchingPlanners() (list []int) {
	spec := a.timeline.env.Spec
	for i := range spec.Planners.Count {
		if len(a.Target.Planners) == 0 || slices.Contains(a.Target.Planners, i) {
			list = append(list, spec.Schedulers.Count+i)
		}
	}
	return list
}

// matchingSchedulers is the schedulers that match the target.
func (a *activeFault) matchingSchedulers() (list []int) {
	count := a.timeline.env.Spec.Schedulers.Count
	if a.Kind == "sched_reload" && len(a.Target.Schedulers) == 0 { // planners have the same address
		count = len(a.timeline.env.schedulers)
	}
	for i := range count {
		if len(a.Target.Schedulers) == 0 || slices.Contains(a.Target.Schedulers, i) {
			list = append(list, i)
		}
	}
	return list
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

// otherSchedulers is the schedulers that the fault does not strike; all, if it strikes them all.
func (a *activeFault) otherSchedulers() endpointGroup {
	group := endpointGroup{kind: schedulerEndpoint}
	if count := a.timeline.env.Spec.Schedulers.Count; len(a.schedulers) < count {
		group.members = make(map[int]bool, count)
		for i := range count {
			group.members[i] = !slices.Contains(a.schedulers, i)
		}
	}
	return group
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
func (a *activeFault) partyGroup(name string) endpointGroup {
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
		return some(schedulerEndpoint, a.schedulers, len(a.timeline.env.schedulers))
	case "nodes":
		return some(workerEndpoint, a.workers, len(a.timeline.env.workers))
	case "planners":
		return some(schedulerEndpoint, a.planners, len(a.timeline.env.schedulers))
	case "discovery":
		return endpointGroup{kind: discoveryEndpoint}
	}
	return endpointGroup{kind: clientEndpoint}
}
