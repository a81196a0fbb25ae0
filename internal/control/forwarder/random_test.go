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

// runRandom plays a forwarder with planners of given tempers, and fails on the first broken rule.
func runRandom(t *testing.T, seed uint64, tempers []behavior, stats map[string]int) {
	t.Helper()
	chooser := &fixedOrder{}
	w := newEnvironment(t, seed, chooser)
	for i, how := range tempers {
		p := &scriptedPlanner{connection: connection{environment: w, name: "p" + strconv.Itoa(i)}, behavior: how, requests: map[uint64]*scriptedRequest{}}
		p.connection.onMessage = p.handleMessage
		w.connections = append(w.connections, &p.connection)
		chooser.planners = append(chooser.planners, p.name)
		w.after(w.randomDuration(0, 40), p.connect)
		p.scheduleFault()
	}
	w.begin()
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("seed %d: panic: %v\n%s", seed, p, debug.Stack())
		}
	}()
	w.run(4 * time.Second)
	if len(w.violations) > 0 {
		t.Fatalf("seed %d: %d faults, the first: %s", seed, len(w.violations), w.violations[0])
	}
	for what, n := range w.stats {
		stats[what] += n
	}
}

var behaviors = []behavior{{}, {sendsStale: true}, {losesOffers: true}, {errorPercent: 30, sendsStale: true},
	{errorPercent: 5, sendsFalseStatuses: true, sendsStale: true}, {errorPercent: 90, sendsFalseStatuses: true, losesOffers: true}}

var (
	runs      = flag.Uint64("plays", 60, "random plays")
	firstSeed = flag.Uint64("from", 0, "the seed of the first")
)

// Whatever planners do, no rule is broken, each query has one answer in time, and nothing is left in the end.
func TestRandomPlanners(t *testing.T) {
	stats := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*runs; seed++ {
		var those []behavior
		for i := range seed % 4 {
			those = append(those, behaviors[(seed/4+i*seed/24)%uint64(len(behaviors))])
		}
		runRandom(t, seed, those, stats)
	}
	for _, what := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%s %d", what, stats[what])
	}
}
