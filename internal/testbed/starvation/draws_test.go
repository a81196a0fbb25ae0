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

// drawsFolder has runs of the randomised search that had starvation, each minimised and with its seed. The names are the seed of
// the search and the number of the draw.
const drawsFolder = "testdata/draws"

// Four schedulers share the workers, and each has a few of their slots. In draw 777001_253 the dispatcher takes the fleet for backed
// up; the others are not traced to a cause.
func TestNoStarvationOfSeveralSchedulers(t *testing.T) {
	testDraws(t, "777001_182", "777001_253", "1_395", "990001_199")
}

// A start whose notification is late lowers the concurrency limit of a worker with free slots.
func TestNoStarvationAfterLateNotifications(t *testing.T) { testDraws(t, "990001_70") }

// Some workers notify of no starts, and the queue is long. The cause is not known.
func TestNoStarvationWithoutStartNotifications(t *testing.T) { testDraws(t, "990001_35", "990001_309") }

// Hints are eight times the work, so that the idle worker may seem too slow for the objective.
func TestNoStarvationWithWrongHints(t *testing.T) { testDraws(t, "1_323") }

// testDraws simulates draws, and fails for each that has starvation.
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
