package scenario

import (
	"maps"
	"math"
	"slices"
	"strings"
)

func (s *Scenario) checkFault(check *validator, key string, fault *Fault) {
	rule, isKnown := faultRules[fault.Kind]
	if !isKnown {
		kinds := slices.Sorted(maps.Keys(faultRules))
		check.report(key+".what", "unknown fault %q; expected one of %s", fault.Kind, strings.Join(kinds, ", "))
		return
	}
	s.checkFaultTime(check, key, fault, &rule)
	checkFaultSize(check, key+".size", fault, &rule)
	s.checkFaultFits(check, key+".what", fault, &rule)
	checkFaultNetwork(check, key+".between", fault, &rule)
	s.checkTarget(check, key+".on", fault, selectableBy(fault, &rule))
}

// checkFaultTime checks when a fault strikes and how long it lasts.
func (s *Scenario) checkFaultTime(check *validator, key string, fault *Fault, rule *faultRule) {
	switch {
	case fault.At < 0 || fault.At >= s.Length:
		check.report(key+".at", "%v is outside the run, which is %v long", fault.At, s.Length)
	case fault.Spread < 0 || fault.At+fault.Spread > s.Length:
		check.report(key+".spread", "%v from fault.at on ends outside the run, which is %v long", fault.Spread, s.Length)
	case fault.Spread > 0 && !rule.canSpread():
		check.report(key+".spread", "%s strikes all targets at once", fault.Kind)
	}
	check.durationInRange(key+".for", fault.Duration, 0, maxDuration)
	switch {
	case rule.needsDuration && fault.Duration == 0:
		check.report(key+".for", "missing: %s can't last until the end of the run", fault.Kind)
	case !rule.hasDuration && fault.Duration != 0:
		check.report(key+".for", "%s has no duration", fault.Kind)
	}
}

func checkFaultSize(check *validator, key string, fault *Fault, rule *faultRule) {
	switch {
	case !rule.hasSize():
		if fault.Size != 0 {
			check.report(key, "%s has no size", fault.Kind)
		}
	case fault.Size == 0:
		check.report(key, "missing")
	default:
		check.inRange(key, fault.Size, rule.minSize, rule.maxSize)
	}
	if fault.Kind == faultResetAt && fault.Size != math.Trunc(fault.Size) {
		check.report(key, "expected a whole number of bytes, got %v", fault.Size)
	}
}

// checkFaultFits checks that the scenario has what the fault affects.
func (s *Scenario) checkFaultFits(check *validator, key string, fault *Fault, rule *faultRule) {
	if fault.Kind == faultDiscoverySlow && s.Discovery.Capacity == 0 {
		check.report(key, "discovery.capacity is 0, no limit: it can't be reduced")
	}
	if rule.scope == FaultScopeNetwork && fault.isAmongSchedulers() && !s.Peers.On {
		check.report(key, "peers.on is false: schedulers send each other no datagrams")
	}
	affectsPlanners := rule.scope == FaultScopePlanner || rule.scope == FaultScopePlannerNetwork
	if affectsPlanners && s.Planners.Count == 0 {
		check.report(key, "there are no planners")
	}
}

// checkFaultNetwork checks the two groups between which a network fault is.
func checkFaultNetwork(check *validator, key string, fault *Fault, rule *faultRule) {
	pairs, isNetworkFault := networkPairs[rule.scope]
	if !isNetworkFault {
		if fault.Between != "" || fault.And != "" {
			check.report(key, "%s is not a network fault and has neither between nor and", fault.Kind)
		}
		return
	}
	pair, reversed := [2]string{fault.Between, fault.And}, [2]string{fault.And, fault.Between}
	if !slices.Contains(pairs, pair) && !slices.Contains(pairs, reversed) {
		check.report(key, "there is no traffic between %q and %q", fault.Between, fault.And)
	}
	if fault.Kind == faultDropIdle && fault.isAmongSchedulers() {
		check.report(key, "schedulers have no connections to each other")
	}
	if fault.Kind == faultDropIdle && fault.isBetween(groupDiscovery) {
		check.report(key, "discovery keeps no idle connections")
	}
}

// selectable says by which criteria the target of a fault may select.
type selectable struct{ workers, schedulers, planners, share, clients bool }

func selectableBy(fault *Fault, rule *faultRule) selectable {
	_, isNetworkFault := networkPairs[rule.scope]
	may := selectable{
		workers:    rule.scope == FaultScopeWorker || rule.targetsWorkers,
		schedulers: rule.scope == FaultScopeScheduler,
		planners:   rule.scope == FaultScopePlanner || fault.isBetween(groupPlanners),
		clients:    fault.Kind == faultBurst,
	}
	if isNetworkFault {
		may.workers = fault.isBetween(groupWorkers)
		may.schedulers = fault.isBetween(groupSchedulers)
	}
	switch rule.scope {
	case FaultScopePlanner:
		may.share = true
	case FaultScopePlannerNetwork:
		may.share = false
	default:
		may.share = may.workers || may.schedulers
	}
	return may
}

// targetCriterion is a key of a target with its check.
type targetCriterion struct {
	name      string
	isGiven   bool
	isAllowed bool
	check     func(check *validator, key string, target *Target)
}

// checkTarget rejects criteria that the kind of fault does not support, and those that match nothing.
func (s *Scenario) checkTarget(check *validator, key string, fault *Fault, may selectable) {
	target := &fault.Target
	for _, criterion := range []targetCriterion{
		{"names", len(target.Names) > 0, may.workers, s.checkTargetNames},
		{"cells", len(target.Cells) > 0, may.workers, s.checkTargetCells},
		{"kind", target.Kind != "", may.workers, s.checkTargetKind},
		{"zone", target.Zone != "", may.workers, s.checkTargetZone},
		{"planners", len(target.Planners) > 0, may.planners, s.checkTargetPlanners},
		{"share", target.Share != 0, may.share, checkTargetShare},
		{"schedulers", len(target.Schedulers) > 0, may.schedulers, s.checkTargetSchedulers},
		{"tenant", target.Tenant != "", may.clients, s.checkTargetTenant},
		{"class", target.Class != "", may.clients, s.checkTargetClass},
	} {
		criterionKey := key + "." + criterion.name
		switch {
		case !criterion.isGiven:
		case !criterion.isAllowed:
			check.report(criterionKey, "%s does not support this criterion", fault.Kind)
		default:
			criterion.check(check, criterionKey, target)
		}
	}
}

func (s *Scenario) checkTargetNames(check *validator, key string, target *Target) {
	for i, name := range target.Names {
		if _, exists := WorkerIndex(name, s.Fleet.Workers); !exists {
			check.report(entryKey(key, i), "%q matches nothing: workers are w-0 to w-%d", name, s.Fleet.Workers-1)
		}
	}
}

func (s *Scenario) checkTargetCells(check *validator, key string, target *Target) {
	cells := (s.Fleet.Workers + s.Fleet.CellSize - 1) / max(1, s.Fleet.CellSize)
	checkIndexes(check, key, "cells", target.Cells, cells)
}

func (s *Scenario) checkTargetPlanners(check *validator, key string, target *Target) {
	checkIndexes(check, key, "planners", target.Planners, s.Planners.Count)
}

func (s *Scenario) checkTargetSchedulers(check *validator, key string, target *Target) {
	checkIndexes(check, key, "schedulers", target.Schedulers, s.Schedulers.Count)
}

// checkIndexes checks that indexes are below a count.
func checkIndexes(check *validator, key, name string, indexes []int, count int) {
	for i, index := range indexes {
		if index < 0 || index >= count {
			check.report(entryKey(key, i), "%d matches nothing: %s are 0 to %d", index, name, count-1)
		}
	}
}

func (s *Scenario) checkTargetKind(check *validator, key string, target *Target) {
	isPresent := func(kind WorkerKind) bool { return kind.Name == target.Kind && kind.Share > 0 }
	if !slices.ContainsFunc(s.Fleet.Kinds, isPresent) {
		check.report(key, "%q matches nothing: there is no worker of that kind", target.Kind)
	}
}

func (s *Scenario) checkTargetZone(check *validator, key string, target *Target) {
	zoneCount := min(len(s.Fleet.Zones), max(0, s.Fleet.Workers)) // a small fleet does not reach all zones
	zones := s.Fleet.Zones[:zoneCount]
	if !slices.Contains(zones, target.Zone) {
		check.report(key, "%q matches nothing: zones are %s", target.Zone, strings.Join(zones, ", "))
	}
}

func checkTargetShare(check *validator, key string, target *Target) {
	check.inRange(key, target.Share, 0, 1)
}

func (s *Scenario) checkTargetTenant(check *validator, key string, target *Target) {
	if !s.hasTenant(target.Tenant) {
		check.report(key, "%q matches nothing: there is no such tenant", target.Tenant)
	}
}

func (s *Scenario) checkTargetClass(check *validator, key string, target *Target) {
	if !s.hasClass(target.Class) {
		check.report(key, "%q matches nothing: there is no such class", target.Class)
	}
}
