package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file applies the faults that strike all of their targets at once: those of the network, of discovery and of the
// load.

// applyToAll strikes all targets at once. A fault that is over with that has no undo.
func (a *activeFault) applyToAll() (undo func()) {
	switch scenario.FaultKinds[a.Kind] {
	case scenario.FaultScopeNetwork, scenario.FaultScopePlannerNetwork:
		return a.applyToNetwork()
	case scenario.FaultScopeDiscovery:
		return a.applyToDiscovery()
	}
	clients := a.timeline.env.clients
	switch a.Kind {
	case "half_open":
		return a.timeline.env.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, a.partyGroup("nodes"), durationOf(a.Size))
	case "burst":
		return clients.startBurst(a.tenantIndex(), a.classIndex(), a.Size)
	case "storm":
		return clients.startRetryStorm(a.Size)
	}
	panic("environment: no such fault: " + a.Kind)
}

// applyToNetwork strikes what passes between two groups of endpoints.
func (a *activeFault) applyToNetwork() (undo func()) {
	network := a.timeline.env.network
	from, target := a.partyGroup(a.Between), a.partyGroup(a.And)
	if a.Between == "schedulers" && a.And == "schedulers" {
		target = a.otherSchedulers()
	}
	switch a.Kind {
	case "cut", "cut_one_way":
		return a.partition(from, target)
	case "planner_cut", "planner_cut_one_way":
		if a.onPlanners {
			return network.partition(from, target, a.Kind == "planner_cut_one_way")
		}
		return func() {} // what passes between planners and schedulers is the driver's
	case "delay":
		return network.addDelay(from, target, time.Duration(a.Size*float64(time.Millisecond)))
	case "drop_idle":
		return network.dropIdle(from, target, durationOf(a.Size))
	}
	panic("environment: no such fault of the network: " + a.Kind)
}

// partition cuts the network between two groups. Discovery takes the workers that are cut off from it for silent.
func (a *activeFault) partition(from, target endpointGroup) (undo func()) {
	heal := a.timeline.env.network.partition(from, target, a.Kind == "cut_one_way")
	if !a.isBetween("discovery") || !a.isBetween("nodes") {
		return heal
	}
	reach := a.timeline.env.discovery.isolate(a.workers)
	return func() {
		heal()
		reach()
	}
}

// applyToDiscovery strikes discovery.
func (a *activeFault) applyToDiscovery() (undo func()) {
	discovery := a.timeline.env.discovery
	switch a.Kind {
	case "disco_down":
		return discovery.startOutage()
	case "disco_late":
		return discovery.delayNotices(durationOf(a.Size))
	case "disco_wrong":
		return discovery.listWrongly(a.workers)
	case "disco_old":
		return discovery.freezeList()
	case "disco_slow":
		return discovery.slowDown(a.Size)
	case "disco_moves":
		discovery.changeAddress()
		a.end()
		return nil
	}
	panic("environment: no such fault of discovery: " + a.Kind)
}

// tenantIndex is the index of the tenant that the target names; -1: none.
func (a *activeFault) tenantIndex() int {
	return slices.IndexFunc(a.timeline.env.Spec.Tenants, func(t scenario.Tenant) bool { return t.Name == a.Target.Tenant })
}

// classIndex is the index of the class that the target names; -1: none.
func (a *activeFault) classIndex() int {
	return slices.IndexFunc(a.timeline.env.Spec.Classes, func(c scenario.Class) bool { return c.Name == a.Target.Class })
}
