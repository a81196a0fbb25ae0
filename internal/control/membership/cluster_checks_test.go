package membership

import (
	"slices"

	"valvecove/dispatch"
)

// checkConverged checks the invariants of a cluster that has converged.
func (c *cluster) checkConverged(when string) {
	c.t.Helper()
	planners := c.running(RolePlanner)
	if len(planners) == 0 {
		return
	}
	c.checkFollowers(when, planners)
	c.checkHomes(when)
	c.checkPartition(when, planners)
}

// checkFollowers checks that forwarders are spread evenly over the planners, and that as many are followed as the number of
// workers permits.
func (c *cluster) checkFollowers(when string, planners []string) {
	c.t.Helper()
	forwarders := len(c.running(RoleForwarder))
	fewest, most, followed := len(c.processes), 0, 0
	for _, name := range planners {
		if count := c.followerCount(name); count > 0 {
			fewest = min(fewest, count)
			most = max(most, count)
			followed++
		}
	}
	limit := len(planners) // planners beyond the limit are on standby
	if c.cells > 0 {
		limit = min(limit, max(1, roundUpToPowerOfTwo(workersPerCell*c.cells)/Defaults().MinWorkersPerPlanner))
	}
	if followed != min(limit, forwarders) || most > fewest+1 {
		c.t.Errorf("%s: %d planners are followed, by %d to %d forwarders", when, followed, fewest, most)
	}
}

// checkHomes checks that each forwarder has a session with its home.
func (c *cluster) checkHomes(when string) {
	c.t.Helper()
	for _, process := range c.processes {
		if forwarder, ok := process.follower(); ok && !process.connected[forwarder.Home()] {
			c.t.Errorf("%s: %s follows %q without a session", when, process.announced.Name, forwarder.Home())
		}
	}
}

// checkPartition checks that the planners agree on the owner of each cell, and that each planner owns its share of the cells.
func (c *cluster) checkPartition(when string, planners []string) {
	c.t.Helper()
	owned := map[string]int{}
	for cell := range c.cells {
		owned[c.checkOwner(when, planners, cell)]++
	}
	forwarders := len(c.running(RoleForwarder))
	for _, name := range planners {
		share := float64(c.cells) * float64(c.followerCount(name)) / float64(max(forwarders, 1))
		if forwarders == 0 {
			share = float64(c.cells) / float64(len(planners))
		}
		if count := float64(owned[name]); count <= share-1 || count >= share+1 {
			c.t.Errorf("%s: %s owns %v of %d cells, its share is %.2f", when, name, count, c.cells, share)
		}
	}
}

// checkOwner returns the owner of a cell according to the first planner. It checks that the owner is running and that all
// planners agree.
func (c *cluster) checkOwner(when string, planners []string, cell int) string {
	c.t.Helper()
	worker := &dispatch.Worker{Cell: cell}
	owner := c.find(planners[0]).ownerOf(worker)
	for _, name := range planners {
		if other := c.find(name).ownerOf(worker); other != owner || !slices.Contains(planners, other) {
			c.t.Errorf("%s: cell %d: owner is %s according to %s, and %s according to %s", when, cell, other, name, owner, planners[0])
		}
	}
	return owner
}

// checkFollowing checks that each forwarder with a session follows a planner.
func (c *cluster) checkFollowing() {
	c.t.Helper()
	for _, process := range c.processes {
		if forwarder, ok := process.follower(); ok && len(process.connected) > 0 && forwarder.Home() == "" {
			c.t.Errorf("%s has sessions and follows no planner", process.announced.Name)
		}
	}
}
