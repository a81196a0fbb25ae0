package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/scenario"
)

// This file applies the faults that strike all of their targets at once: those of the network, of discovery and of the
// load.

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
