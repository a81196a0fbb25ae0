package forwarder

import (
	"flag"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"testing"
	"time"
)

var (
	runs      = flag.Uint64("runs", 200, "number of random runs")
	firstSeed = flag.Uint64("first-seed", 0, "seed of the first random run")
)

var behaviors = []behavior{
	{},
	{sendsStale: true},
	{losesOffers: true},
	{errorPercent: 30, sendsStale: true},
	{errorPercent: 5, sendsFalseStatuses: true, sendsStale: true},
	{errorPercent: 90, sendsFalseStatuses: true, losesOffers: true},
}

// Whatever the planners do, the forwarder breaks no rule, each request gets one response in time, and no state is left at the
// end.
func TestRandomPlanners(t *testing.T) {
	stats := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*runs; seed++ {
		runRandom(t, seed, behaviorsOf(seed), stats)
	}
	for _, name := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%s %d", name, stats[name])
	}
}

// At this seed a planner sends a request and transfers it in the same step of the forwarder, when the request table has not yet
// confirmed the attempt.
func TestSendAndTransferInOneStep(t *testing.T) {
	const seed = 5323
	runRandom(t, seed, behaviorsOf(seed), map[string]int{})
}

// behaviorsOf returns the behaviors of the planners of a random run.
func behaviorsOf(seed uint64) []behavior {
	var planners []behavior
	for i := range seed % 4 {
		planners = append(planners, behaviors[(seed/4+i*seed/24)%uint64(len(behaviors))])
	}
	return planners
}

// runRandom runs a forwarder with one planner per behavior, and fails on the first broken rule.
func runRandom(t *testing.T, seed uint64, planners []behavior, stats map[string]int) {
	t.Helper()
	selector := &fixedOrder{}
	env := newEnvironment(t, seed, selector)
	for i, behaves := range planners {
		planner := newScriptedPlanner(env, "p"+strconv.Itoa(i), behaves)
		selector.planners = append(selector.planners, planner.name)
	}
	env.begin()
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("seed %d: panic: %v\n%s", seed, cause, debug.Stack())
		}
	}()
	env.run(4 * time.Second)
	if len(env.violations) > 0 {
		t.Fatalf("seed %d: %d violations, the first: %s", seed, len(env.violations), env.violations[0])
	}
	for name, count := range env.stats {
		stats[name] += count
	}
}
