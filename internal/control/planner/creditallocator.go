package planner

import "valvecove/internal/control/message"

// creditAllocator distributes Config.MaxOpenRequests among the connected forwarders.
type creditAllocator struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
}

// covers reports whether a forwarder's credit covers one more open request.
func (c *creditAllocator) covers(f *forwarder) bool {
	return f.credit.covers(f.openCount, c.step.now())
}

// decayPeaks decays the recent peak of each forwarder, but not below its current number of open requests.
func (c *creditAllocator) decayPeaks() {
	for _, f := range c.forwarders.connected {
		f.credit.recentPeak = max(float64(f.openCount), f.credit.recentPeak*peakDecayFactor)
	}
}

// plan computes the inputs for an assignment of credit. At least one forwarder must be connected.
func (c *creditAllocator) plan() creditPlan {
	connected := c.forwarders.connected
	plan := creditPlan{total: c.config.MaxOpenRequests, forwarders: len(connected), baseDemand: c.config.MinCredit}
	plan.minLimit = min(c.config.MinCredit, plan.total/plan.forwarders)
	plan.maxLimit = max(c.config.MaxCredit, plan.minLimit)
	for _, f := range connected {
		plan.demand += plan.demandOf(f)
	}
	return plan
}

// assign distributes the credit according to the recent peaks. It first reduces credits, and only then raises others, so that
// their sum never exceeds Config.MaxOpenRequests. Small changes are skipped unless includeSmall is set.
func (c *creditAllocator) assign(includeSmall bool) {
	if len(c.forwarders.connected) == 0 {
		return
	}
	plan := c.plan()
	unassigned := plan.total
	for _, f := range c.forwarders.connected {
		c.reduce(f, plan.shareOf(f), includeSmall)
		unassigned -= f.credit.limit
	}
	for _, f := range c.forwarders.connected {
		unassigned -= c.raise(f, plan.shareOf(f), unassigned, includeSmall)
	}
}

// reduce lowers a forwarder's credit to a smaller share. Unless includeSmall is set, it does so only if the share is less than
// three quarters of the credit.
func (c *creditAllocator) reduce(f *forwarder, share int, includeSmall bool) {
	current := f.credit.limit
	if share >= current || !includeSmall && share >= current*3/4 {
		return
	}
	if c.step.now() >= f.credit.previousUntil {
		f.credit.previousLimit = 0
	}
	f.credit.previousLimit = max(f.credit.previousLimit, current)
	f.credit.previousUntil = c.step.now() + creditGrace
	c.set(f, share)
}

// raise raises a forwarder's credit to a greater share, limited by the unassigned credit, and returns the amount added. Unless
// includeSmall is set, a raise by less than a quarter is skipped if the forwarder uses less than three quarters of its credit.
func (c *creditAllocator) raise(f *forwarder, share, unassigned int, includeSmall bool) int {
	current := f.credit.limit
	raise := min(share-current, unassigned)
	if raise <= 0 || !includeSmall && share*4 < current*5 && f.openCount*4 < current*3 {
		return 0
	}
	c.set(f, current+raise)
	return raise
}

// set sets a credit and sends it to the forwarder, unless the session is not established: then HandshakeAccept carries it.
func (c *creditAllocator) set(f *forwarder, limit int) {
	f.credit.limit = limit
	if f.session.state == sessionEstablished {
		c.step.send(f, &message.CreditUpdate{Credit: limit})
	}
}
