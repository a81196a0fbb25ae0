package environment

import (
	"strconv"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// This file describes faults in the trace.

// Targets are named up to this number, and counted beyond.
const maxNamedTargets = 4

// describe says what a fault does to whom, as in "slow 3: w-1, w-7, for 8s".
func (x *activeFault) describe() string {
	text := x.Kind
	if x.Size != 0 {
		text += " " + strconv.FormatFloat(x.Size, 'g', -1, 64)
	}
	if targets := x.describeTargets(); len(targets) > 0 {
		text += ": " + strings.Join(targets, ", ")
	}
	if x.Duration > 0 {
		text += ", for " + x.Duration.String()
	}
	return text
}

// describeTargets names whom the fault strikes. All workers or schedulers at a side of the network go without saying.
func (x *activeFault) describeTargets() (targets []string) {
	spec := x.timeline.env.Spec
	scope := scenario.FaultKinds[x.Kind]
	if scope == scenario.FaultScopeNetwork || scope == scenario.FaultScopePlannerNetwork {
		targets = append(targets, x.Between+" and "+x.And)
	}
	if x.onWorkers && (len(x.workers) < len(x.timeline.env.workers) || len(targets) == 0) {
		targets = append(targets, nameTargets(x.workers, "w-", 0, "workers"))
	}
	if x.onSchedulers && (len(x.schedulers) < spec.Schedulers.Count || len(targets) == 0) {
		targets = append(targets, nameTargets(x.schedulers, "s", 1, "schedulers"))
	}
	switch {
	case scope == scenario.FaultScopePlannerNetwork:
		targets = append(targets, x.describePlannerNetwork()...)
	case x.onPlanners:
		targets = append(targets, nameTargets(x.planners, "p", 1-spec.Schedulers.Count, "planners"))
	}
	for _, name := range []string{x.Target.Tenant, x.Target.Class} {
		if name != "" {
			targets = append(targets, name)
		}
	}
	return targets
}

// describePlannerNetwork names the planners and schedulers that a fault between them is limited to.
func (x *activeFault) describePlannerNetwork() (targets []string) {
	if len(x.Target.Planners) > 0 {
		targets = append(targets, nameTargets(x.Target.Planners, "p", 1, "planners"))
	}
	if len(x.Target.Schedulers) > 0 {
		targets = append(targets, nameTargets(x.Target.Schedulers, "s", 1, "schedulers"))
	}
	return targets
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
