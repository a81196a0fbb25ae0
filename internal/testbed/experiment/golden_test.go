package experiment

import (
	"bytes"
	"math"
	"testing"

	"valvecove/internal/storedform"
	"valvecove/internal/testbed/report"
)

// The files of testdata/golden have tables as the testbed of revision d2a7518 writes them. No code of ours reads such tables, but
// people and their scripts do. The files are regenerated only under a new version number of the format.
const (
	goldenAgreement     = "agreement-1.json"
	goldenBaselineTable = "standings-1.json"
)

// checkWritten checks that a value is written to the bytes of a golden file.
func checkWritten(t *testing.T, name string, value any) {
	t.Helper()
	var b bytes.Buffer
	if err := report.WriteJSON(&b, value); err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, name, b.Bytes())
}

var goldenCells = []Cell{{Mean: 0.75, SD: 0.125, Runs: 10, Violations: 2}, {Mean: math.NaN()}, {Mean: 0.5, Runs: 1}}

func TestGoldenAgreementTable(t *testing.T) {
	checkWritten(t, goldenAgreement, []AgreementResult{
		{Scenario: "calm", Invalid: 1, Violations: 2, Figures: []AgreementFigure{
			{Metric: "in_time", Simulation: goldenCells[0], Process: goldenCells[2], Bound: 0.03125, Within: true},
			{Metric: "lost", Simulation: goldenCells[1], Process: goldenCells[1]},
		}},
		{Scenario: "busy"},
	})
}

func TestGoldenBaselineTable(t *testing.T) {
	checkWritten(t, goldenBaselineTable, []BaselineRow{{Scenario: "calm", Workers: 10, Cells: goldenCells}, {Scenario: "busy"}})
}

// The names of a table's columns are in struct tags. Cell.MarshalJSON uses a struct of its own, whose output is checked above.
func TestTablesAreTagged(t *testing.T) { storedform.CheckTags(t, []AgreementResult{}, []BaselineRow{}) }
