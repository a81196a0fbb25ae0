package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// While faults go on, each forwarder that has a session follows a planner. Once they are over, forwarders are spread evenly
// over the planners, the planners agree on a partition in which each cell has one owner, and nothing moves any more.
func TestRandomFaultsConverge(t *testing.T) {
	runs := 30
	if testing.Short() {
		runs = 10
	}
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			c := newCluster(t, seed, rng.IntN(13), 1+rng.IntN(5), rng.IntN(60))
			c.scheduleFaults()
			for range 300 {
				c.run(100 * time.Millisecond)
				c.checkFollowing()
			}
			c.settle()
			c.check("at the end")
			c.resetMoves()
			c.run(10 * time.Second)
			if c.moveCount != 0 {
				t.Errorf("%d forwarders move without a fault", c.moveCount)
			}
		})
	}
}

// A planner whose latency is near the bound for a minute, or that is slow and normal by turns, moves hardly any forwarder
// there and back.
func TestUnsteadyLatencyMovesFew(t *testing.T) {
	c := newCluster(t, 1, 12, 3, 30)
	c.run(5 * time.Second)
	planner := c.find("p2")
	c.resetMoves()
	for range 60 {
		planner.latency = c.randomDelay(20, 40)
		c.run(time.Second)
	}
	if c.moveCount > 4 { // its four forwarders may leave it once
		t.Errorf("%d moves in a minute near the bound", c.moveCount)
	}
	for range 12 {
		planner.latency = 80 * time.Millisecond
		c.run(5 * time.Second)
		planner.latency = 0
		c.run(5 * time.Second)
	}
	if c.moveCount > 4*2*5 { // of 4*2*12: its four forwarders leave and return at growing intervals
		t.Errorf("%d moves in two minutes between slow and normal", c.moveCount)
	}
}

// Forwarders leave a slow planner one after another, and do not overload the next one: planners reply slowly here as soon as
// more forwarders follow them than they can serve.
func TestSlowPlannerIsLeftGradually(t *testing.T) {
	c := newCluster(t, 1, 30, 3, 30)
	c.plannerLimit = 16
	c.run(5 * time.Second)
	c.check("before")
	c.resetMoves()
	c.find("p1").latency = 80 * time.Millisecond
	slowSince := c.now
	c.run(10 * time.Second)
	if count := c.followerCount("p1"); count > 0 {
		t.Errorf("%d forwarders stay with it", count)
	}
	if a, b := c.followerCount("p2"), c.followerCount("p3"); a > 16 || b > 16 {
		t.Errorf("%d and %d forwarders follow the others", a, b)
	}
	for second, count := range c.movesBySecond {
		if count > 6 {
			t.Errorf("%d forwarders move within the second %v after", count, second*time.Second-slowSince)
		}
	}
	c.find("p1").latency = 0
	c.run(20 * time.Second)
	c.check("after")

	// Planners that are all too weak for their forwarders keep them.
	c.plannerLimit = 8
	c.resetMoves()
	c.run(time.Minute)
	if c.moveCount > 0 {
		t.Errorf("all planners are slow, and %d forwarders move", c.moveCount)
	}
}
