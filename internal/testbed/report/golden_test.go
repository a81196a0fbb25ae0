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

// The files of testdata/golden hold reports as the testbed of commit d2a7518 writes them, with a value in every field.
// Reports are stored, and each build of the testbed reads those of others: the files are never regenerated, except under a
// new form number.
const (
	goldenRun         = "play-1.json"
	goldenComparisons = "compare-1.json"
	goldenVariations  = "sweep-1.json"
)

// readGoldenRun reads the golden report of a run, without its expectations, which no code reads back.
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

// goldenEvaluations returns the expectations of the golden file: one that is met, one that is not, and two without a value.
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

func TestGoldenRunFillsEveryField(t *testing.T) {
	doc := readGoldenRun(t)
	for _, part := range []any{*doc.Result, *doc.Verdict, *doc.Starvation} {
		for _, zero := range storedform.ZeroFields(part) {
			t.Errorf("%s has no value after reading", zero)
		}
	}
}

func TestGoldenRunIsWrittenToTheSameBytes(t *testing.T) {
	doc := readGoldenRun(t)
	doc.Expectations = goldenEvaluations()
	checkGoldenBytes(t, goldenRun, doc)
}

// goldenResults returns three results that differ from the golden run only in their seeds and mixes.
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
	c.Sides[1].Results[0].Recovery.All = false // so that recovered_within has no value
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

// The stored names of fields are in tags. Evaluations have a MarshalJSON of their own, whose output the golden files check.
func TestStoredFormsAreTagged(t *testing.T) {
	storedform.CheckTags(t, Document{}, jsonComparison{}, jsonSide{}, jsonHeadline{}, jsonVariation{}, jsonCurve{}, jsonPoint{}, spreadsByName{},
		score.Paired{})
}
