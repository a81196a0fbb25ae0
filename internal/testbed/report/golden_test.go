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

// The files of testdata/golden hold figures as the testbed of d2a7518 writes them, with a value in every field. Figures are
// kept, and each build of the testbed reads those of others: the files are never regenerated except under a new form number.
const (
	goldenRun         = "play-1.json"
	goldenComparisons = "compare-1.json"
	goldenVariations  = "sweep-1.json"
)

// readGoldenRun reads the golden report of a run, but for its expectations, which are never read.
func readGoldenRun(t *testing.T) Document {
	t.Helper()
	var read struct {
		Result   *score.Result       `json:"result"`
		Verdict  *Verdict            `json:"verdict"`
		Met      json.RawMessage     `json:"expectations"`
		Findings *starvation.Verdict `json:"starved"`
		Build    string              `json:"build"`
		Scenario string              `json:"scenario"`
	}
	decoder := json.NewDecoder(bytes.NewReader(storedform.Golden(t, goldenRun)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	return Document{Result: read.Result, Verdict: read.Verdict, Starvation: read.Findings, Build: read.Build, Scenario: read.Scenario}
}

// goldenEvaluations returns the expectations of the golden file: one met, one not, and two without a figure.
func goldenEvaluations() []score.Evaluation {
	return []score.Evaluation{
		{Expectation: scenario.Expectation{Metric: "in_time", Operator: ">=", Bound: 0.5}, Value: 0.75, OK: true},
		{Expectation: scenario.Expectation{Metric: "p99_ms", Group: "cash-payout", Operator: "<=", Bound: 100}, Value: 250.5},
		{Expectation: scenario.Expectation{Metric: "in_time", Operator: ">", Bound: 0.9}, Value: math.NaN(), Reason: "none was due"},
		{Expectation: scenario.Expectation{Metric: "recovered_within", Operator: "<=", Bound: 5}, Value: math.Inf(1), Reason: "not seen to end"},
	}
}

func checkGoldenBytes(t *testing.T, name string, value any) {
	t.Helper()
	var b bytes.Buffer
	if err := WriteJSON(&b, value); err != nil {
		t.Fatal(err)
	}
	storedform.CheckGolden(t, name, b.Bytes())
}

func TestGoldenRunIsRead(t *testing.T) {
	doc := readGoldenRun(t)
	for _, part := range []any{*doc.Result, *doc.Verdict, *doc.Starvation} {
		for _, zero := range storedform.Zero(part) {
			t.Errorf("nothing is read into %s", zero)
		}
	}
}

func TestGoldenRunIsWrittenToTheSameBytes(t *testing.T) {
	doc := readGoldenRun(t)
	doc.Expectations = goldenEvaluations()
	checkGoldenBytes(t, goldenRun, doc)
}

// goldenResults returns three results whose figures are those of the golden run, but for a few.
func goldenResults(t *testing.T, gain float64) (results []*score.Result) {
	t.Helper()
	for seed := range uint64(3) {
		result := readGoldenRun(t).Result
		result.Seed = seed + 1
		result.Value.Mix = 0.5 + gain + float64(seed)/16
		results = append(results, result)
	}
	return results
}

func goldenComparison(t *testing.T) *Comparison {
	t.Helper()
	c := &Comparison{Title: "old & new", Description: "What a comparison says.", Build: "d2a7518", Sides: []Side{
		{Name: "old", Broken: 1, Results: goldenResults(t, 0)},
		{Name: "new", Invalid: 2, Results: goldenResults(t, 0.25)},
	}}
	c.Sides[1].Results[0].Recovery.All = false // no figure there
	return c
}

func TestGoldenComparisonIsWrittenToTheSameBytes(t *testing.T) {
	checkGoldenBytes(t, goldenComparisons, goldenComparison(t))
}

func goldenVariation(t *testing.T) *Variation {
	t.Helper()
	points := []Point{
		{X: 0.25, Results: goldenResults(t, 0.25)},
		{X: 0.5, Broken: 3, Results: goldenResults(t, 0.25)},
		{X: 0.75, Results: goldenResults(t, 0.125)},
		{X: 1, Results: goldenResults(t, 0)},
	}
	labelled := []Point{{X: 1, Label: "fifo", Results: goldenResults(t, 0)}, {X: 2, Label: "backfill", Results: goldenResults(t, 0.125)}}
	return &Variation{
		Title: "load", Description: "What a sweep says.", Param: "load.of", Second: "fleet.kind[0].order", Build: "d2a7518",
		Curves: []Curve{{Name: "a", Points: points}, {Name: "b", Points: labelled}},
	}
}

func TestGoldenVariationIsWrittenToTheSameBytes(t *testing.T) {
	checkGoldenBytes(t, goldenVariations, goldenVariation(t))
}

// The stored names of figures stand in tags. An expectation writes itself; the golden files pin its bytes.
func TestStoredFormsAreTagged(t *testing.T) {
	storedform.CheckTags(t, Document{}, jsonComparison{}, jsonSide{}, jsonHeadline{}, jsonVariation{}, jsonCurve{}, jsonPoint{}, means{},
		score.Paired{})
}
