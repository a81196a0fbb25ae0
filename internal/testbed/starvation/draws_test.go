package starvation_test

import (
	"os"
	"path/filepath"
	"testing"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/starvation"
	"valvecove/internal/testbed/trace"
)

// drawsFolder has scenarios in which the randomised search found starvation, each minimised and with its seed. A file is named
// by the seed of the search and the number of the draw.
const drawsFolder = "testdata/draws"

// TestNoStarvationOfSeveralSchedulers guards against starvation where four schedulers share the workers, so that each uses a few
// of their slots, and one late start looked like a backlog of the whole fleet.
func TestNoStarvationOfSeveralSchedulers(t *testing.T) {
	testDraws(t, "777001_182", "777001_253", "1_395", "990001_199")
}

// TestNoStarvationAfterLateNotifications guards against starvation after late starts: one lowers the concurrency limit of a worker,
// and while long jobs run there nothing raises it, although slots have become free.
func TestNoStarvationAfterLateNotifications(t *testing.T) { testDraws(t, "990001_70") }

// TestNoStarvationWithoutStartNotifications guards against starvation where some workers send no start notifications: a queue at a
// worker made the worker seem slow, and raised its limit.
func TestNoStarvationWithoutStartNotifications(t *testing.T) { testDraws(t, "990001_35", "990001_309") }

// TestNoStarvationWithWrongHints guards against starvation where hints are eight times the work. The cause was another: a worker
// that had been full for a moment counted as too small for jobs of two slots.
func TestNoStarvationWithWrongHints(t *testing.T) { testDraws(t, "1_323") }

// TestNoStarvationInLaterDraws guards against the starvation that the searches found after the causes above were mended. In draws
// 990001_68 and 1_230 the backoff after a late start outlasts the queue at the worker, in 777001_68 a worker without start
// notifications seems too slow for the objective, in 777001_395 the limit of a worker is too low after a late start, and in
// 990001_87 three late starts of five looked like a backlog. The causes in the other draws are not known.
func TestNoStarvationInLaterDraws(t *testing.T) {
	testDraws(t, "990001_68", "1_230", "777001_68", "777001_395", "990001_87", "1_33", "777001_89")
}

// testDraws runs the scenarios of draws, and fails for each that has starvation.
func testDraws(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(drawsFolder, name+".toml")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := scenario.Parse(path, text)
			if err != nil {
				t.Fatal(err)
			}
			checker := starvation.New(spec)
			options := simulation.Options{Observers: []trace.Observer{checker.Observe}}
			if _, err := simulation.Run(spec, uint64(spec.Seed), options); err != nil {
				t.Fatal(err)
			}
			if verdict := checker.Verdict(); verdict.Count() > 0 {
				t.Errorf("%s; the first: %s", verdict.String(), verdict.Findings[0].Text)
			}
		})
	}
}
