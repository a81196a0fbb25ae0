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
	b := strings.Builder{}
	b.WriteString(x.Kind)
	if x.Size != 0 {
		b.WriteString(" " + strconv.FormatFloat(x.Size, 'g', -1, 64))
	}
	var whom []string
	if kind := scenario.FaultKinds[x.Kind]; kind == "net" || kind == "planners" {
		whom = append(whom, x.Between+" and "+x.And)
	}
	if x.onWorkers && (len(x.workers) < len(x.timeline.env.workers) || len(whom) == 0) {
		whom = append(whom, nameTargets(x.workers, "w-", 0, "worker nodes"))
	}
	all := x.timeline.env.Spec.Schedulers.Count
	if x.onSchedulers && (len(x.schedulers) < all || len(whom) == 0) {
		whom = append(whom, nameTargets(x.schedulers, "s", 1, "schedulers"))
	}
	if on := &x.Target; scenario.FaultKinds[x.Kind] == "planners" {
		if len(on.Planners) > 0 {
			whom = append(whom, nameTargets(on.Planners, "p", 1, "planners"))
		}
		if len(on.Schedulers) > 0 {
			whom = append(whom, nameTargets(on.Schedulers, "s", 1, "schedulers"))
		}
	} else if x.onPlanners {
		whom = append(whom, nameTargets(x.planners, "p", 1-all, "planners"))
	}
	for _, name := range []string{x.Target.Tenant, x.Target.Class} {
		if name != "" {
			whom = append(whom, name)
		}
	}
	if len(whom) > 0 {
		b.WriteString(": " + strings.Join(whom, ", "))
	}
	if x.Duration > 0 {
		b.WriteString(", for " + x.Duration.String())
	}
	return b.String()
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
