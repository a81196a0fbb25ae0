package planner

import "valvecove/internal/control/message"

// creditAllocator shares Config.MaxOpenRequests among the connected forwarders.
type creditAllocator struct {
	config     *Config
	step       *step
	forwarders *forwarderTable
}

func (c *creditAllocator) covers(f *forwarder) bool {
	return f.credit.covers(f.openCount, c.step.now())
}

// decayPeaks brings the recent peaks up to date.
func (c *creditAllocator) decayPeaks() {
	for _, f := range c.forwarders.connected {
		f.credit.recentPeak = max(float64(f.openCount), f.credit.recentPeak*peakRetention)
	}
}

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

// assign shares the credit by the recent peaks. Credits are reduced, and forwarders told so, before others are raised:
// all together never exceed Config.MaxOpenRequests. A change that is small is left out, unless all are wanted.
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

// reduce reduces a credit to a share that is less; if it is small only where it is less than three quarters.
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

// raise raises a credit to a share that is greater, by what is unassigned at most, and returns by how much. A small
// raise, by less than a quarter, is made only if it is wanted, or the forwarder uses three quarters of its credit.
func (c *creditAllocator) raise(f *forwarder, share, unassigned int, small bool) int {
	current := f.credit.limit
	raise := min(share-current, unassigned)
	if raise <= 0 || !small && share*4 < current*5 && f.openCount*4 < current*3 {
		return 0
	}
	c.set(f, current+raise)
	return raise
}

// set sets a credit and tells the forwarder, unless the reply to its handshake will.
func (c *creditAllocator) set(f *forwarder, limit int) {
	f.credit.limit = limit
	if f.session.state == sessionEstablished {
		c.step.send(f, &message.CreditUpdate{Credit: limit})
	}
}
