package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file applies the faults that affect all of their targets at once: those of the network, of discovery and of the load.

// applyToAll applies the fault to all targets at once. undo is nil for a fault that ends at once.
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
		return a.timeline.env.network.dropIdle(endpointGroup{kind: schedulerEndpoint}, a.sideEndpoints("nodes"), durationOf(a.Size))
	case "burst":
		return clients.startBurst(a.tenantIndex(), a.classIndex(), a.Size)
	case "storm":
		return clients.startRetryStorm(a.Size)
	}
	panic("environment: unknown kind of fault: " + a.Kind)
}

// applyToNetwork applies a fault to the network between two groups of endpoints.
func (a *activeFault) applyToNetwork() (undo func()) {
	network := a.timeline.env.network
	from, target := a.sideEndpoints(a.Between), a.sideEndpoints(a.And)
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
		return func() {} // the driver simulates the network between planners and schedulers
	case "delay":
		return network.addDelay(from, target, time.Duration(a.Size*float64(time.Millisecond)))
	case "drop_idle":
		return network.dropIdle(from, target, durationOf(a.Size))
	}
	panic("environment: unknown kind of network fault: " + a.Kind)
}

// partition partitions two groups of endpoints. Workers that it separates from discovery count as silent there.
func (a *activeFault) partition(from, target endpointGroup) (undo func()) {
	heal := a.timeline.env.network.partition(from, target, a.Kind == "cut_one_way")
	if !a.involves("discovery") || !a.involves("nodes") {
		return heal
	}
	reach := a.timeline.env.discovery.isolate(a.workers)
	return func() {
		heal()
		reach()
	}
}

// applyToDiscovery applies a fault of discovery.
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
	panic("environment: unknown kind of discovery fault: " + a.Kind)
}

// tenantIndex returns the index of the tenant that the target names; -1: it names none.
func (a *activeFault) tenantIndex() int {
	return slices.IndexFunc(a.timeline.env.Spec.Tenants, func(t scenario.Tenant) bool { return t.Name == a.Target.Tenant })
}

// classIndex returns the index of the class that the target names; -1: it names none.
func (a *activeFault) classIndex() int {
	return slices.IndexFunc(a.timeline.env.Spec.Classes, func(c scenario.Class) bool { return c.Name == a.Target.Class })
}
