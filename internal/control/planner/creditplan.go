package planner

// creditPlan is the basis of one assignment of credit: the total, the demand of all forwarders and the limits of each.
type creditPlan struct {
	total, forwarders  int
	minCredit          int // added to what a forwarder needs by its peak
	minLimit, maxLimit int // of a forwarder
	demand             int // of all forwarders
}

// demandOf returns the credit that a forwarder should have by its recent peak.
func (c *creditPlan) demandOf(f *forwarder) int {
	demand := int(creditPerPeak*f.credit.recentPeak) + c.minCredit
	return min(max(demand, c.minLimit), c.maxLimit)
}

// shareOf returns the credit that a forwarder is to have. What remains beyond all demands is shared evenly; if the demands
// exceed the total, each forwarder has the minimum and a part of the rest in proportion to its demand.
func (c *creditPlan) shareOf(f *forwarder) int {
	demand := c.demandOf(f)
	if c.demand <= c.total {
		return min(demand+(c.total-c.demand)/c.forwarders, c.maxLimit)
	}
	minima := c.forwarders * c.minLimit
	return c.minLimit + int(float64(demand-c.minLimit)*float64(c.total-minima)/float64(c.demand-minima))
}
