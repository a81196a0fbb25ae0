package scenario

// This file computes values from a checked scenario. The environment, the configuration of schedulers and the metrics of a
// run all use these, so that load, quotas and capacity agree.

// Capacity returns the work per second that the fleet can do once it is warm, in seconds on standard cores. The work of a
// job of n slots is n times its run time. Differences between workers of one kind are ignored.
func (s *Scenario) Capacity() float64 {
	sum, shares := 0.0, 0.0
	for i := range s.Fleet.Kinds {
		kind := &s.Fleet.Kinds[i]
		sum += kind.Share * min(kind.Cores, float64(kind.Slots)) * kind.Speed
		shares += kind.Share
	}
	if shares <= 0 {
		return 0
	}
	return float64(s.Fleet.Workers) * sum / shares
}

// MeanSlots returns how many slots a job of the class takes on average; 1 if the class has no shares of slots.
func (c *Class) MeanSlots() float64 {
	sum, shares, slots := 0.0, 0.0, 1.0
	for _, share := range c.Slots {
		sum += share * slots
		shares += share
		slots *= 2
	}
	if shares <= 0 {
		return 1
	}
	return sum / shares
}

// MeanCost returns the mean work of a job, slots times run time, in seconds on standard cores.
func (s *Scenario) MeanCost() float64 {
	sum, shares := 0.0, 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		sum += class.Share * class.Work.Std().Seconds() * class.MeanSlots()
		shares += class.Share
	}
	if shares <= 0 {
		return 0
	}
	return sum / shares
}

// CapacityRate returns how many jobs of mean work per second the fleet can do once it is warm.
func (s *Scenario) CapacityRate() float64 {
	cost := s.MeanCost()
	if cost <= 0 {
		return 0
	}
	return s.Capacity() / cost
}

// Rate returns how many jobs per second clients request on average, without regard to Tenant.Usage; 0 if the load is
// closed.
func (s *Scenario) Rate() float64 {
	switch {
	case s.Load.ClosedClients > 0:
		return 0
	case s.Load.Rate > 0:
		return s.Load.Rate
	}
	return s.Load.CapacityShare * s.CapacityRate()
}

// QuotaRate returns how many jobs per second, over all schedulers, are within the quota of the tenant at an index.
func (s *Scenario) QuotaRate(tenant int) float64 {
	shares := 0.0
	for i := range s.Tenants {
		shares += s.Tenants[i].Quota
	}
	if shares <= 0 {
		return 0
	}
	return s.Load.Quota * s.CapacityRate() * s.Tenants[tenant].Quota / shares
}

// ZoneOf returns the zone of a scheduler as an index in Fleet.Zones. Schedulers are assigned to zones in turn, as workers
// are.
func (s *Scenario) ZoneOf(scheduler int) int {
	if len(s.Fleet.Zones) == 0 {
		return 0
	}
	return scheduler % len(s.Fleet.Zones)
}
