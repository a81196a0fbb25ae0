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
// of their slots. In draw 777001_253 the dispatcher assumes a backlog at the workers. The causes in the other draws are not
// known.
func TestNoStarvationOfSeveralSchedulers(t *testing.T) {
	testDraws(t, "777001_182", "777001_253", "1_395", "990001_199")
}

// TestNoStarvationAfterLateNotifications guards against starvation by late notifications of starts: one lowers the concurrency
// limit of a worker although it has free slots.
func TestNoStarvationAfterLateNotifications(t *testing.T) { testDraws(t, "990001_70") }

// TestNoStarvationWithoutStartNotifications guards against starvation where some workers send no start notifications and the
// queue is long. The cause is not known.
func TestNoStarvationWithoutStartNotifications(t *testing.T) { testDraws(t, "990001_35", "990001_309") }

// TestNoStarvationWithWrongHints guards against starvation where hints are eight times the work: the idle worker may seem too
// slow for the objective.
func TestNoStarvationWithWrongHints(t *testing.T) { testDraws(t, "1_323") }

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
