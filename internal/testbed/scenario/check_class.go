package scenario

import "slices"

const (
	maxSlotShares    = 4 // of jobs that take 1, 2, 4 and 8 slots
	maxSlotsExponent = 8 // bounds the shift for lists that are too long
)

func (s *Scenario) checkClasses(check *validator) {
	check.notEmpty("class", len(s.Classes))
	var names []string
	sum := 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		names = append(names, class.Name)
		sum += class.Share
		s.checkClass(check, entryKey("class", i), class)
	}
	check.distinct("class", names)
	check.sumsToOne("class", sum)
}

func (s *Scenario) checkClass(check *validator, key string, class *Class) {
	check.validName(key+".name", class.Name)
	check.inRange(key+".share", class.Share, 0, 1)
	check.durationInRange(key+".work", class.Work, microsecond, hour)
	check.oneOf(key+".dist", class.Distribution, "fixed", "exp", "lognormal", "pareto")
	if class.Distribution == "lognormal" || class.Distribution == "pareto" {
		check.inRange(key+".cv", class.CV, 0.01, 100)
	}
	check.inRange(key+".noise", class.Noise, 0, 10)
	class.checkSlots(check, key+".slots")
	check.durationInRange(key+".aim", class.LatencyObjective, 0, maxDuration)
	check.inRange(key+".stretch", class.ObjectiveStretch, 0, 1000)
	check.durationInRange(key+".deadline", class.Deadline, 10*millisecond, hour)
	check.inRange(key+".worth", class.PriorityWeight, 0, 1e6)
	check.oneOf(key+".effect", class.Idempotency, "safe", "keyed", "unsafe")
	check.oneOf(key+".group", class.DeduplicationScope, "cell", "zone", "all")
	check.durationInRange(key+".window", class.DeduplicationWindow, millisecond, maxDuration)
	s.checkClassKind(check, key, class)
}

func (c *Class) checkSlots(check *validator, key string) {
	if count := len(c.Slots); count < 1 || count > maxSlotShares {
		check.report(key, "expected one to four shares, of jobs that take 1, 2, 4 and 8 slots, got %d", count)
	}
	sum := 0.0
	for i, share := range c.Slots {
		check.inRange(entryKey(key, i), share, 0, 1)
		sum += share
	}
	check.sumsToOne(key, sum)
}

// maxSlots returns the slots of the class's largest jobs.
func (c *Class) maxSlots() int {
	slots := 0
	for i, share := range c.Slots {
		if share > 0 {
			slots = 1 << min(i, maxSlotsExponent)
		}
	}
	return slots
}

// checkClassKind checks that there are workers that can run the class's largest jobs.
func (s *Scenario) checkClassKind(check *validator, key string, class *Class) {
	slots := class.maxSlots()
	isKnown := class.Kind == ""
	fits := false
	for i := range s.Fleet.Kinds {
		kind := &s.Fleet.Kinds[i]
		if class.Kind != "" && class.Kind != kind.Name {
			continue
		}
		isKnown = true
		fits = fits || kind.Slots >= slots
	}
	switch {
	case !isKnown:
		check.report(key+".kind", "fleet.kind has no kind of worker %q", class.Kind)
	case !fits:
		check.report(key+".slots", "no worker that may run the class has the %d slots of its largest jobs", slots)
	}
}

func (s *Scenario) checkTenants(check *validator) {
	check.notEmpty("tenant", len(s.Tenants))
	var names []string
	sum, usage := 0.0, 0.0
	for i := range s.Tenants {
		tenant, key := &s.Tenants[i], entryKey("tenant", i)
		names = append(names, tenant.Name)
		sum += tenant.Quota
		usage += tenant.Quota * tenant.Usage
		check.validName(key+".name", tenant.Name)
		check.inRange(key+".share", tenant.Quota, 0, 1)
		check.inRange(key+".usage", tenant.Usage, 0, 1000)
		if s.hasClass(tenant.Name) {
			check.report(key+".name", "%q is also the name of a class", tenant.Name)
		}
	}
	check.distinct("tenant", names)
	check.sumsToOne("tenant", sum)
	if usage <= 0 {
		check.report("tenant", "no tenant requests any jobs: share times usage is 0 for each")
	}
}

func (s *Scenario) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

func (s *Scenario) hasTenant(name string) bool {
	return slices.ContainsFunc(s.Tenants, func(tenant Tenant) bool { return tenant.Name == name })
}
