package environment

import (
	"math"
	"slices"
	"strconv"

	"valvecove/internal/testbed/scenario"
)

// This file chooses the targets of faults.

// chooseTargets chooses the targets of the fault. number is its index in the scenario.
func (a *activeFault) chooseTargets(number int) {
	scope := scenario.FaultKinds[a.Kind]
	a.onWorkers = scope == scenario.FaultScopeWorker || a.Kind == "disco_wrong" || scope == scenario.FaultScopeNetwork && a.involves("nodes")
	a.onSchedulers = scope == scenario.FaultScopeScheduler || scope == scenario.FaultScopeNetwork && a.involves("schedulers")
	a.onPlanners = scope == scenario.FaultScopePlanner || scope == scenario.FaultScopePlannerNetwork && a.involves("discovery")
	if a.onWorkers {
		a.workers = a.timeline.drawShare(a.timeline.matchingWorkers(a.Fault), a.Target.Share, number)
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

// involves reports whether a group of endpoints is one side of a network fault.
func (a *activeFault) involves(name string) bool { return a.Between == name || a.And == name }

// matchingPlanners returns the numbers of the planners that match the target; they are numbered after the schedulers.
func (a *activeFault) matchingPlanners() (list []int) {
	spec := a.timeline.env.Spec
	for i := range spec.Planners.Count {
		if len(a.Target.Planners) == 0 || slices.Contains(a.Target.Planners, i) {
			list = append(list, spec.Schedulers.Count+i)
		}
	}
	return list
}

// matchingSchedulers returns the numbers of the schedulers that match the target.
func (a *activeFault) matchingSchedulers() (list []int) {
	count := a.timeline.env.Spec.Schedulers.Count
	if a.Kind == "sched_reload" && len(a.Target.Schedulers) == 0 { // planners use the same discovery address
		count = len(a.timeline.env.schedulers)
	}
	for i := range count {
		if len(a.Target.Schedulers) == 0 || slices.Contains(a.Target.Schedulers, i) {
			list = append(list, i)
		}
	}
	return list
}

// matchingWorkers returns the numbers of the workers that match all criteria of the target.
func (f *faultTimeline) matchingWorkers(spec *scenario.Fault) (list []int) {
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

// otherSchedulers returns the schedulers that are not targets of the fault; all, if all are targets.
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

// drawShare draws a share of the given targets, at least one; share 0: all.
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

// sideEndpoints returns the endpoints at one side of a network fault.
func (a *activeFault) sideEndpoints(name string) endpointGroup {
	group := func(kind endpointKind, list []int, all int) endpointGroup {
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
		return group(schedulerEndpoint, a.schedulers, len(a.timeline.env.schedulers))
	case "nodes":
		return group(workerEndpoint, a.workers, len(a.timeline.env.workers))
	case "planners":
		return group(schedulerEndpoint, a.planners, len(a.timeline.env.schedulers))
	case "discovery":
		return endpointGroup{kind: discoveryEndpoint}
	}
	return endpointGroup{kind: clientEndpoint}
}
