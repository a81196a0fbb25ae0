package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file applies the faults that strike all of their targets at once: those of the network, of discovery and of the
// load.

// applyToAll strikes all targets at once. A fault that is over with that has no undo.
func (x *activeFault) applyToAll() (undo func()) {
	switch scenario.FaultKinds[x.Kind] {
	case scenario.FaultScopeNetwork, scenario.FaultScopePlannerNetwork:
		return x.applyToNetwork()
	case scenario.FaultScopeDiscovery:
		return x.applyToDiscovery()
	}
	clients := x.timeline.env.clients
	switch x.Kind {
	case "half_open":
		return x.timeline.env.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, x.partyGroup("nodes"), durationOf(x.Size))
	case "burst":
		return clients.startBurst(x.tenantIndex(), x.classIndex(), x.Size)
	case "storm":
		return clients.startRetryStorm(x.Size)
	}
	panic("environment: no such fault: " + x.Kind)
}

// applyToNetwork strikes what passes between two groups of endpoints.
func (x *activeFault) applyToNetwork() (undo func()) {
	network := x.timeline.env.network
	from, target := x.partyGroup(x.Between), x.partyGroup(x.And)
	if x.Between == "schedulers" && x.And == "schedulers" {
		target = x.otherSchedulers()
	}
	switch x.Kind {
	case "cut", "cut_one_way":
		return x.partition(from, target)
	case "planner_cut", "planner_cut_one_way":
		if x.onPlanners {
			return network.partition(from, target, x.Kind == "planner_cut_one_way")
		}
		return func() {} // what passes between planners and schedulers is the driver's
	case "delay":
		return network.addDelay(from, target, time.Duration(x.Size*float64(time.Millisecond)))
	case "drop_idle":
		return network.dropIdle(from, target, durationOf(x.Size))
	}
	panic("environment: no such fault of the network: " + x.Kind)
}

// partition cuts the network between two groups. Discovery takes the workers that are cut off from it for silent.
func (x *activeFault) partition(from, target endpointGroup) (undo func()) {
	heal := x.timeline.env.network.partition(from, target, x.Kind == "cut_one_way")
	if !x.isBetween("discovery") || !x.isBetween("nodes") {
		return heal
	}
	reach := x.timeline.env.discovery.isolate(x.workers)
	return func() {
		heal()
		reach()
	}
}

// applyToDiscovery strikes discovery.
func (x *activeFault) applyToDiscovery() (undo func()) {
	discovery := x.timeline.env.discovery
	switch x.Kind {
	case "disco_down":
		return discovery.startOutage()
	case "disco_late":
		return discovery.delayNotices(durationOf(x.Size))
	case "disco_wrong":
		return discovery.listWrongly(x.workers)
	case "disco_old":
		return discovery.freezeList()
	case "disco_slow":
		return discovery.slowDown(x.Size)
	case "disco_moves":
		discovery.changeAddress()
		x.end()
		return nil
	}
	panic("environment: no such fault of discovery: " + x.Kind)
}

// tenantIndex is the index of the tenant that the target names; -1: none.
func (x *activeFault) tenantIndex() int {
	return slices.IndexFunc(x.timeline.env.Spec.Tenants, func(t scenario.Tenant) bool { return t.Name == x.Target.Tenant })
}

// classIndex is the index of the class that the target names; -1: none.
func (x *activeFault) classIndex() int {
	return slices.IndexFunc(x.timeline.env.Spec.Classes, func(c scenario.Class) bool { return c.Name == x.Target.Class })
}
