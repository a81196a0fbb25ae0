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

// playRandom plays a forwarder with planners of given tempers, and fails on the first broken rule.
func playRandom(t *testing.T, seed uint64, tempers []temper, stats map[string]int) {
	t.Helper()
	chooser := &inOrder{}
	w := newWorld(t, seed, chooser)
	for i, how := range tempers {
		p := &scripted{seat: seat{w: w, name: "p" + strconv.Itoa(i)}, temper: how, heads: map[uint64]*scriptedHead{}}
		p.seat.read = p.reads
		w.plans = append(w.plans, &p.seat)
		chooser.best = append(chooser.best, p.name)
		w.after(w.ms(0, 40), p.connect)
		p.live()
	}
	w.open()
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("seed %d: panic: %v\n%s", seed, p, debug.Stack())
		}
	}()
	w.play(4 * time.Second)
	if len(w.faults) > 0 {
		t.Fatalf("seed %d: %d faults, the first: %s", seed, len(w.faults), w.faults[0])
	}
	for what, n := range w.stats {
		stats[what] += n
	}
}

var tempers = []temper{{}, {stale: true}, {forgets: true}, {wrong: 30, stale: true},
	{wrong: 5, liar: true, stale: true}, {wrong: 90, liar: true, forgets: true}}

var (
	plays = flag.Uint64("plays", 60, "random plays")
	from  = flag.Uint64("from", 0, "the seed of the first")
)

// Whatever planners do, no rule is broken, each query has one answer in time, and nothing is left in the end.
func TestRandomPlays(t *testing.T) {
	stats := map[string]int{}
	for seed := *from; seed < *from+*plays; seed++ {
		var those []temper
		for i := range seed % 4 {
			those = append(those, tempers[(seed/4+i*seed/24)%uint64(len(tempers))])
		}
		playRandom(t, seed, those, stats)
	}
	for _, what := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%s %d", what, stats[what])
	}
}
