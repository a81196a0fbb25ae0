package environment

import (
	"strconv"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// This file describes faults in the trace.

// maxNamedTargets is the largest number of targets that are named one by one; more are only counted.
const maxNamedTargets = 4

// describe returns the fault's kind, size, targets and duration, as in "slow 3: w-1, w-7, for 8s".
func (a *activeFault) describe() string {
	text := a.Kind
	if a.Size != 0 {
		text += " " + strconv.FormatFloat(a.Size, 'g', -1, 64)
	}
	if targets := a.describeTargets(); len(targets) > 0 {
		text += ": " + strings.Join(targets, ", ")
	}
	if a.Duration > 0 {
		text += ", for " + a.Duration.String()
	}
	return text
}

// describeTargets names the targets of the fault. A side of a network fault that consists of all workers or all schedulers is
// not named again.
func (a *activeFault) describeTargets() (targets []string) {
	spec := a.timeline.env.Spec
	scope := scenario.FaultKinds[a.Kind]
	if scope == scenario.FaultScopeNetwork || scope == scenario.FaultScopePlannerNetwork {
		targets = append(targets, a.Between+" and "+a.And)
	}
	if a.onWorkers && (len(a.workers) < len(a.timeline.env.workers) || len(targets) == 0) {
		targets = append(targets, nameTargets(a.workers, "w-", 0, "workers"))
	}
	if a.onSchedulers && (len(a.schedulers) < spec.Schedulers.Count || len(targets) == 0) {
		targets = append(targets, nameTargets(a.schedulers, "s", 1, "schedulers"))
	}
	switch {
	case scope == scenario.FaultScopePlannerNetwork:
		targets = append(targets, a.describePlannerNetwork()...)
	case a.onPlanners:
		targets = append(targets, nameTargets(a.planners, "p", 1-spec.Schedulers.Count, "planners"))
	}
	for _, name := range []string{a.Target.Tenant, a.Target.Class} {
		if name != "" {
			targets = append(targets, name)
		}
	}
	return targets
}

// describePlannerNetwork names the planners and schedulers that a fault of the planners' network is limited to.
func (a *activeFault) describePlannerNetwork() (targets []string) {
	if len(a.Target.Planners) > 0 {
		targets = append(targets, nameTargets(a.Target.Planners, "p", 1, "planners"))
	}
	if len(a.Target.Schedulers) > 0 {
		targets = append(targets, nameTargets(a.Target.Schedulers, "s", 1, "schedulers"))
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
