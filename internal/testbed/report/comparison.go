package report

import (
	"encoding/json"

	"valvecove/internal/testbed/score"
)

// Side is one side of a comparison with its runs. Results[i] has the same seed on all sides.
type Side struct {
	Name    string
	Results []*score.Result
	Broken  int // violations, over all runs
	Invalid int // invalid runs, which are not among Results
}

// Comparison compares several sides over the same seeds. The others are compared with the first.
type Comparison struct {
	Title       string
	Description string
	Sides       []Side
	Scenario    string // text of its file
	Build       string
}

// Pairs returns, for every other side, the paired differences from the first side in each headline.
func (c *Comparison) Pairs() [][]score.Paired {
	pairs := make([][]score.Paired, 0, len(c.Sides))
	for i := 1; i < len(c.Sides); i++ {
		first, other := &c.Sides[0], &c.Sides[i]
		pairs = append(pairs, score.CompareAll(first.Name, other.Name, first.Results, other.Results))
	}
	return pairs
}

// chanceRemark explains how to read a table of many intervals. It is part of the stored form.
const chanceRemark = "Each interval holds the true difference 95 times in 100; of twenty figures without any difference, " +
	"one will seem to have one."

// spreadsByName has the spreads of all headlines, by their names.
type spreadsByName map[string]score.Spread

// spreads returns the spread of every headline over some runs.
func spreads(results []*score.Result) spreadsByName {
	spreads := spreadsByName{}
	for _, headline := range score.Headlines {
		spreads[headline.Name] = score.SpreadOf(headline.Values(results))
	}
	return spreads
}

// spreads returns the spreads of every side.
func (c *Comparison) spreads() []spreadsByName {
	bySide := make([]spreadsByName, len(c.Sides))
	for i := range c.Sides {
		bySide[i] = spreads(c.Sides[i].Results)
	}
	return bySide
}

// jsonSide is the stored form of a side.
type jsonSide struct {
	Name    string         `json:"name"`
	Broken  int            `json:"rules_broken"`
	Invalid int            `json:"plays_void"`
	Figures spreadsByName  `json:"figures"`
	Results []jsonHeadline `json:"plays"`
}

// jsonHeadline is the stored form of a run's headlines; null stands for a headline without a value.
type jsonHeadline struct {
	Seed    uint64              `json:"seed"`
	Figures map[string]*float64 `json:"figures"`
}

// jsonComparison is the stored form of a comparison.
type jsonComparison struct {
	Title   string           `json:"title"`
	About   string           `json:"about,omitempty"`
	Build   string           `json:"build,omitempty"`
	Sides   []jsonSide       `json:"sides"`
	Pairs   [][]score.Paired `json:"paired"`
	Reading string           `json:"reading"`
}

// MarshalJSON writes spreads, each run's headlines, and paired differences, without the runs' series.
func (c *Comparison) MarshalJSON() ([]byte, error) {
	stored := jsonComparison{Title: c.Title, About: c.Description, Build: c.Build, Pairs: c.Pairs(), Reading: chanceRemark}
	for _, side := range c.Sides {
		stored.Sides = append(stored.Sides, jsonSide{
			Name:    side.Name,
			Broken:  side.Broken,
			Invalid: side.Invalid,
			Figures: spreads(side.Results),
			Results: headlines(side.Results),
		})
	}
	return json.Marshal(stored)
}

// headlines returns the headlines of each run.
func headlines(results []*score.Result) []jsonHeadline {
	stored := make([]jsonHeadline, len(results))
	for i, result := range results {
		figures := map[string]*float64{}
		for _, headline := range score.Headlines {
			figures[headline.Name] = finiteOrNil(headline.ValueOf(result))
		}
		stored[i] = jsonHeadline{Seed: result.Seed, Figures: figures}
	}
	return stored
}

// finiteOrNil returns a pointer to a value, or nil if it is not finite, which JSON can't hold.
func finiteOrNil(value float64) *float64 {
	if isNotFinite(value) {
		return nil
	}
	return &value
}

// pairClass returns the style class of a paired difference: good, poor, or none if it is not significant or neither better
// nor worse.
func pairClass(pair *score.Paired) string {
	headline, _ := score.HeadlineOf(pair.Metric)
	switch {
	case !pair.Significant || headline.Better == score.Neither:
		return ""
	case (pair.Difference > 0) == (headline.Better == score.Higher):
		return classGood
	}
	return classPoor
}
