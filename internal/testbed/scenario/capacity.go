package scenario

// This file is what follows from a checked scenario by arithmetic alone. World, platform and figures go by the same
// numbers: what is offered, what is a tenant's share and what schedulers are told of it must fit together.

// Capacity is what the warm fleet can do as its kinds are described, before the draws of single workers: seconds
// of work a second, on standard cores. A job of n slots is n times its run time of work.
func (s *Scenario) Capacity() float64 {
	each, shares := 0.0, 0.0
	for i := range s.Fleet.Kinds {
		k := &s.Fleet.Kinds[i]
		each += k.Share * min(k.Cores, float64(k.Slots)) * k.Speed
		shares += k.Share
	}
	if shares <= 0 {
		return 0
	}
	return float64(s.Fleet.Workers) * each / shares
}

// MeanSlots is the mean of the slots that a job of the class takes; 1 where nothing is said of them.
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

// MeanCost is the work of the mean job in seconds on standard cores, slots times run time.
func (s *Scenario) MeanCost() float64 {
	sum, shares := 0.0, 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		sum += c.Share * c.Work.Std().Seconds() * c.MeanSlots()
		shares += c.Share
	}
	if shares <= 0 {
		return 0
	}
	return sum / shares
}

// CapacityRate is how many mean jobs a second the warm fleet can do.
func (s *Scenario) CapacityRate() float64 {
	cost := s.MeanCost()
	if cost <= 0 {
		return 0
	}
	return s.Capacity() / cost
}

// Rate is how many jobs a second clients ask for on average, before any tenant's Usage; 0 where the load is closed.
func (s *Scenario) Rate() float64 {
	switch {
	case s.Load.ClosedClients > 0:
		return 0
	case s.Load.Rate > 0:
		return s.Load.Rate
	}
	return s.Load.CapacityShare * s.CapacityRate()
}

// QuotaRate is how many jobs a second, over all schedulers, are within the share of the tenant at index i.
func (s *Scenario) QuotaRate(i int) float64 {
	shares := 0.0
	for _, t := range s.Tenants {
		shares += t.Quota
	}
	if shares <= 0 {
		return 0
	}
	return s.Load.Quota * s.CapacityRate() * s.Tenants[i].Quota / shares
}

// ZoneOf is the zone of a scheduler, as an index in Fleet.Zones: like workers they are dealt out in turn.
func (s *Scenario) ZoneOf(sched int) int {
	if len(s.Fleet.Zones) == 0 {
		return 0
	}
	return sched % len(s.Fleet.Zones)
}
