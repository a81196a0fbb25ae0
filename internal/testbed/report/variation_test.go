package report

import (
	"bytes"
	"strings"
	"testing"

	"valvecove/internal/testbed/score"
)

func sampleVariation() *Variation {
	var points []Point
	for i, slowdown := range []int{0, 40, 80, 300, 320, 340} {
		points = append(points, Point{X: float64(i + 1), Results: []*score.Result{sampleResult(1, slowdown)}})
	}
	points[0].Results = append(points[0].Results, points[1].Results...) // so that one point has an interval
	return &Variation{
		Title: "slower", Param: "ms", Second: "side",
		Curves: []Curve{{"a", points}, {"b", points[:2]}},
	}
}

func TestVariation(t *testing.T) {
	variation := sampleVariation()
	if index, ok := variation.Knee(&variation.Curves[0]); !ok || index != 2 {
		t.Errorf("knee at index %d, %v, want index 2", index, ok)
	}
	var page bytes.Buffer
	if err := VariationPage(&page, variation); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "sweep.golden", page.String())
	page.Reset()
	if err := WriteVariation(&page, variation); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "sweep.outline", outline(t, page.String()))
	if strings.Count(page.String(), `class="knee"`) != 1 {
		t.Error("expected exactly one knee in the page")
	}
	checkJSONKeys(t, variation, "curves", "figure")
}
