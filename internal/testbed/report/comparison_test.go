package report

import (
	"bytes"
	"strings"
	"testing"
)

func sampleComparison() *Comparison {
	comparison := &Comparison{Title: "old and new"}
	for i, name := range []string{"old", "new"} {
		side := Side{Name: name, Broken: i}
		for seed := range uint64(3) {
			side.Results = append(side.Results, sampleResult(seed, i*60+int(seed)*9))
		}
		comparison.Sides = append(comparison.Sides, side)
	}
	return comparison
}

func TestComparison(t *testing.T) {
	comparison := sampleComparison()
	comparison.Sides[1].Results[0].Recovery.All = false // so that recovered_within has no value for this run
	var page bytes.Buffer
	if err := ComparePage(&page, comparison); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "compare.golden", page.String())
	page.Reset()
	if err := WriteCompare(&page, comparison); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "compare.outline", outline(t, page.String()))
	if !strings.Contains(page.String(), "new is worse: by") {
		t.Error("the verdict in words is missing")
	}
	checkJSONKeys(t, comparison, "sides", "paired")
}
