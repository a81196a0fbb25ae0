package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// During random faults, each forwarder with a session follows a planner. After the faults, forwarders are spread evenly over
// the planners, the planners agree on a partition in which each cell has one owner, and no forwarder moves.
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
			c.recoverFromFaults()
			c.checkConverged("after the faults")
			c.resetMoves()
			c.run(10 * time.Second)
			if c.moveCount != 0 {
				t.Errorf("%d forwarders move without a fault", c.moveCount)
			}
		})
	}
}

// Few forwarders move if the latency of a planner fluctuates around the bound for a minute, or alternates between slow and
// normal.
func TestFluctuatingLatencyCausesFewMoves(t *testing.T) {
	c := newCluster(t, 1, 12, 3, 30)
	c.run(5 * time.Second)
	planner := c.find("p2")
	c.resetMoves()
	for range 60 {
		planner.latency = c.randomDelay(20, 40)
		c.run(time.Second)
	}
	if c.moveCount > 4 { // its four forwarders may leave it once
		t.Errorf("%d moves in a minute with a latency near the bound", c.moveCount)
	}
	for range 12 {
		planner.latency = 80 * time.Millisecond
		c.run(5 * time.Second)
		planner.latency = 0
		c.run(5 * time.Second)
	}
	if c.moveCount > 4*2*5 { // less than 4*2*12: its four forwarders leave and return at increasing intervals
		t.Errorf("%d moves in two minutes with alternating latency", c.moveCount)
	}
}

// Forwarders leave a slow planner one after another, so that they don't overload the others. In this test planners reply
// slowly as soon as they have more than 16 followers, later 8.
func TestForwardersLeaveSlowPlannerGradually(t *testing.T) {
	c := newCluster(t, 1, 30, 3, 30)
	c.plannerLimit = 16
	c.run(5 * time.Second)
	c.checkConverged("before the slowdown")
	c.resetMoves()
	c.find("p1").latency = 80 * time.Millisecond
	slowSince := c.now
	c.run(10 * time.Second)
	if count := c.followerCount("p1"); count > 0 {
		t.Errorf("%d forwarders still follow the slow planner", count)
	}
	if a, b := c.followerCount("p2"), c.followerCount("p3"); a > 16 || b > 16 {
		t.Errorf("%d and %d forwarders follow the other planners", a, b)
	}
	for second, count := range c.movesBySecond {
		if count > 6 {
			t.Errorf("%d forwarders move within the second that begins %v after the planner became slow", count, second*time.Second-slowSince)
		}
	}
	c.find("p1").latency = 0
	c.run(20 * time.Second)
	c.checkConverged("after recovery")

	// Forwarders stay where they are if all planners are slow.
	c.plannerLimit = 8
	c.resetMoves()
	c.run(time.Minute)
	if c.moveCount > 0 {
		t.Errorf("%d forwarders move although all planners are slow", c.moveCount)
	}
}
