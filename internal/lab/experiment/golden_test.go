package experiment

import (
	"bytes"
	"math"
	"testing"

	"valvecove/internal/lab/report"
	"valvecove/internal/storedform"
)

// The files of testdata/golden hold tables as the lab of d2a7518 writes them; nothing reads them but people and their scripts.
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

var goldenCells = []Cell{{Mean: 0.75, SD: 0.125, Plays: 10, Broken: 2}, {Mean: math.NaN()}, {Mean: 0.5, Plays: 1}}

func TestGoldenAgreementIsWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenAgreement, []Agreed{
		{Scenario: "calm", Void: 1, Broken: 2, Figures: []Both{
			{Figure: "in_time", Virtual: goldenCells[0], Live: goldenCells[2], Bound: 0.03125, Within: true},
			{Figure: "lost", Virtual: goldenCells[1], Live: goldenCells[1]},
		}},
		{Scenario: "busy"},
	})
}

func TestGoldenStandingsAreWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenStandings, []Standing{{Scenario: "calm", Nodes: 10, Cells: goldenCells}, {Scenario: "busy"}})
}

// What a table calls its columns stands in tags. A cell writes itself by a struct of its own, whose bytes are pinned above.
func TestTablesAreTagged(t *testing.T) { storedform.CheckTags(t, []Agreed{}, []Standing{}) }
