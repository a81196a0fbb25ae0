package planner

// creditPlan holds the inputs of one assignment of credit: the total, the demand of all forwarders and the limits per forwarder.
type creditPlan struct {
	total, forwarders  int
	baseDemand         int // added to the demand that follows from a forwarder's peak
	minLimit, maxLimit int // per forwarder
	demand             int // sum over all forwarders
}

// demandOf returns a forwarder's demand for credit, based on its recent peak.
func (c *creditPlan) demandOf(f *forwarder) int {
	demand := int(creditPeakFactor*f.credit.recentPeak) + c.baseDemand
	return min(max(demand, c.minLimit), c.maxLimit)
}

// shareOf returns a forwarder's share of the credit. If the total covers all demands, the surplus is divided evenly.
// Otherwise each forwarder gets the minimum and a part of the rest in proportion to its demand above the minimum.
func (c *creditPlan) shareOf(f *forwarder) int {
	demand := c.demandOf(f)
	if c.demand <= c.total {
		return min(demand+(c.total-c.demand)/c.forwarders, c.maxLimit)
	}
	minima := c.forwarders * c.minLimit
	return c.minLimit + int(float64(demand-c.minLimit)*float64(c.total-minima)/float64(c.demand-minima))
}
