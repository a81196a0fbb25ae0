package report

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"

	"valvecove/internal/storedform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/starvation"
)

// The files of testdata/golden hold figures as the testbed of d2a7518 writes them, with a value in every field. Figures are kept,
// and one build's lab reads another's: the files are never regenerated except under a new form number.
const (
	goldenPlay       = "play-1.json"
	goldenCompare    = "compare-1.json"
	goldenVariations = "sweep-1.json"
)

// readPlay reads a run's report, but for its expectations, which are written only.
func readPlay(t *testing.T) Document {
	t.Helper()
	var read struct {
		Result   *score.Result       `json:"result"`
		Verdict  *Verdict            `json:"verdict"`
		Met      json.RawMessage     `json:"expectations"`
		Findings *starvation.Verdict `json:"starved"`
		Build    string              `json:"build"`
		Scenario string              `json:"scenario"`
	}
	decoder := json.NewDecoder(bytes.NewReader(storedform.Golden(t, goldenPlay)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	return Document{Result: read.Result, Verdict: read.Verdict, Starvation: read.Findings, Build: read.Build, Scenario: read.Scenario}
}

// goldenMet are the expectations of the golden file: one met, one not, and two without a figure.
func goldenMet() []score.Evaluation {
	return []score.Evaluation{
		{Expectation: scenario.Expectation{Metric: "in_time", Operator: ">=", Bound: 0.5}, Value: 0.75, OK: true},
		{Expectation: scenario.Expectation{Metric: "p99_ms", Group: "cash-payout", Operator: "<=", Bound: 100}, Value: 250.5},
		{Expectation: scenario.Expectation{Metric: "in_time", Operator: ">", Bound: 0.9}, Value: math.NaN(), Reason: "none was due"},
		{Expectation: scenario.Expectation{Metric: "recovered_within", Operator: "<=", Bound: 5}, Value: math.Inf(1), Reason: "not seen to end"},
	}
}

func checkWritten(t *testing.T, name string, value any) {
	t.Helper()
	var b bytes.Buffer
	if err := WriteJSON(&b, value); err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, name, b.Bytes())
}

func TestGoldenPlayIsRead(t *testing.T) {
	doc := readPlay(t)
	for _, part := range []any{*doc.Result, *doc.Verdict, *doc.Starvation} {
		for _, zero := range storedform.Zero(part) {
			t.Errorf("nothing is read into %s", zero)
		}
	}
}

func TestGoldenPlayIsWrittenToTheSameBytes(t *testing.T) {
	doc := readPlay(t)
	doc.Expectations = goldenMet()
	checkWritten(t, goldenPlay, doc)
}

// goldenPlays are three plays whose figures are those of the golden play, but for a few.
func goldenPlays(t *testing.T, better float64) (plays []*score.Result) {
	t.Helper()
	for seed := range uint64(3) {
		r := readPlay(t).Result
		r.Seed = seed + 1
		r.Value.Mix = 0.5 + better + float64(seed)/16
		plays = append(plays, r)
	}
	return plays
}

func goldenComparison(t *testing.T) *Comparison {
	t.Helper()
	c := &Comparison{Title: "old & new", Description: "What a comparison says.", Build: "d2a7518", Sides: []Side{
		{Name: "old", Broken: 1, Results: goldenPlays(t, 0)},
		{Name: "new", Invalid: 2, Results: goldenPlays(t, 0.25)},
	}}
	c.Sides[1].Results[0].Recovery.All = false // no figure there
	return c
}

func TestGoldenComparisonIsWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenCompare, goldenComparison(t))
}

func goldenVariation(t *testing.T) *Variation {
	t.Helper()
	points := []Point{
		{X: 0.25, Results: goldenPlays(t, 0.25)},
		{X: 0.5, Broken: 3, Results: goldenPlays(t, 0.25)},
		{X: 0.75, Results: goldenPlays(t, 0.125)},
		{X: 1, Results: goldenPlays(t, 0)},
	}
	labelled := []Point{{X: 1, Label: "fifo", Results: goldenPlays(t, 0)}, {X: 2, Label: "backfill", Results: goldenPlays(t, 0.125)}}
	return &Variation{
		Title: "load", Description: "What a sweep says.", Param: "load.of", Second: "fleet.kind[0].order", Build: "d2a7518",
		Curves: []Curve{{Name: "a", Points: points}, {Name: "b", Points: labelled}},
	}
}

func TestGoldenVariationIsWrittenToTheSameBytes(t *testing.T) {
	checkWritten(t, goldenVariations, goldenVariation(t))
}

// What a report calls its figures stands in tags. A comparison, a sweep and an expectation write themselves by structs of
// their own, whose bytes the golden files pin.
func TestReportsAreTagged(t *testing.T) {
	storedform.CheckTags(t, Document{}, jsonHeadline{}, means{}, score.Paired{})
}
