package planner

import "valvecove/internal/control/message"

// creditAllocator shares Config.MaxOpenRequests among the connected forwarders.
type creditAllocator struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
}

// covers reports whether a forwarder's credit covers one more open request.
func (c *creditAllocator) covers(f *forwarder) bool {
	return f.credit.covers(f.openCount, c.step.now())
}

// decayPeaks updates the recent peaks: each decays, and is at least the present count of open requests.
func (c *creditAllocator) decayPeaks() {
	for _, f := range c.forwarders.connected {
		f.credit.recentPeak = max(float64(f.openCount), f.credit.recentPeak*peakRetention)
	}
}

// plan returns the basis of an assignment of credit. At least one forwarder must be connected.
func (c *creditAllocator) plan() creditPlan {
	connected := c.forwarders.connected
	plan := creditPlan{total: c.config.MaxOpenRequests, forwarders: len(connected), minCredit: c.config.MinCredit}
	plan.minLimit = min(c.config.MinCredit, plan.total/plan.forwarders)
	plan.maxLimit = max(c.config.MaxCredit, plan.minLimit)
	for _, f := range connected {
		plan.demand += plan.demandOf(f)
	}
	return plan
}

// assign shares the credit by the recent peaks. Credits are reduced, and their forwarders notified, before others are
// raised: their sum never exceeds Config.MaxOpenRequests. Small changes are skipped, unless all is set.
func (c *creditAllocator) assign(all bool) {
	if len(c.forwarders.connected) == 0 {
		return
	}
	plan := c.plan()
	unassigned := plan.total
	for _, f := range c.forwarders.connected {
		c.reduce(f, plan.shareOf(f), all)
		unassigned -= f.credit.limit
	}
	for _, f := range c.forwarders.connected {
		unassigned -= c.raise(f, plan.shareOf(f), unassigned, all)
	}
}

// reduce reduces a credit to a share that is less. Unless small is set, the share must be less than three quarters of it.
func (c *creditAllocator) reduce(f *forwarder, share int, small bool) {
	current := f.credit.limit
	if share >= current || !small && share >= current*3/4 {
		return
	}
	if c.step.now() >= f.credit.previousUntil {
		f.credit.previousLimit = 0
	}
	f.credit.previousLimit = max(f.credit.previousLimit, current)
	f.credit.previousUntil = c.step.now() + creditGrace
	c.set(f, share)
}

// raise raises a credit to a share that is greater, by what is unassigned at most, and returns by how much. Unless small is
// set, a raise by less than a quarter is made only if the forwarder uses three quarters of its credit.
func (c *creditAllocator) raise(f *forwarder, share, unassigned int, small bool) int {
	current := f.credit.limit
	raise := min(share-current, unassigned)
	if raise <= 0 || !small && share*4 < current*5 && f.openCount*4 < current*3 {
		return 0
	}
	c.set(f, current+raise)
	return raise
}

// set sets a credit and notifies the forwarder, unless the reply to its handshake is to have the credit.
func (c *creditAllocator) set(f *forwarder, limit int) {
	f.credit.limit = limit
	if f.session.state == sessionEstablished {
		c.step.send(f, &message.CreditUpdate{Credit: limit})
	}
}
