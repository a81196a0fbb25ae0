package experiment

import (
	"bytes"
	"math"
	"testing"

	"valvecove/internal/storedform"
	"valvecove/internal/testbed/report"
)

// The files of testdata/golden hold tables as the testbed of d2a7518 writes them; nothing reads them but people and their scripts.
// They are never regenerated except under a new form number.
const (
	goldenAgreement = "agreement-1.json"
	goldenStandings = "standings-1.json"
)

func checkWritten(t *testing.T, name string, value any) {
	t.Helper()
	var b bytes.Buffer
	if err := report.WriteJSON(&b, value); err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, name, b.Bytes())
}

var goldenCells = []Cell{{Mean: 0.75, SD: 0.125, Runs: 10, Violations: 2}, {Mean: math.NaN()}, {Mean: 0.5, Runs: 1}}

func TestGoldenAgreementIsWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenAgreement, []AgreementResult{
		{Scenario: "calm", Invalid: 1, Violations: 2, Figures: []AgreementFigure{
			{Metric: "in_time", Simulation: goldenCells[0], Process: goldenCells[2], Bound: 0.03125, Within: true},
			{Metric: "lost", Simulation: goldenCells[1], Process: goldenCells[1]},
		}},
		{Scenario: "busy"},
	})
}

func TestGoldenStandingsAreWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenStandings, []BaselineRow{{Scenario: "calm", Workers: 10, Cells: goldenCells}, {Scenario: "busy"}})
}

// What a table calls its columns stands in tags. A cell writes itself by a struct of its own, whose bytes are pinned above.
func TestTablesAreTagged(t *testing.T) { storedform.CheckTags(t, []AgreementResult{}, []BaselineRow{}) }
