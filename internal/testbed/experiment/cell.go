package experiment

import (
	"encoding/json"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Cell has the mean and the standard deviation of a figure over several runs.
type Cell struct {
	Mean       float64 // NaN if there are no runs
	SD         float64
	Runs       int
	Violations int // of rules, over all runs
}

// newCell returns the cell of some values, without those that are not finite.
func newCell(all []float64) Cell {
	kept := all[:0:0]
	for _, x := range all {
		if !math.IsNaN(x) && !math.IsInf(x, 0) {
			kept = append(kept, x)
		}
	}
	c := Cell{Mean: math.NaN(), Runs: len(kept)}
	if len(kept) > 0 {
		c.Mean = stat.Mean(kept, nil)
	}
	if len(kept) > 1 {
		c.SD = stat.StdDev(kept, nil)
	}
	return c
}

// MarshalJSON writes the mean as null if there are no runs.
func (c Cell) MarshalJSON() ([]byte, error) {
	encoded := struct {
		Mean   *float64 `json:"mean"`
		SD     float64  `json:"sd"`
		Plays  int      `json:"plays"`
		Broken int      `json:"rules_broken"`
	}{nil, c.SD, c.Runs, c.Violations}
	if c.Runs > 0 {
		encoded.Mean = &c.Mean
	}
	return json.Marshal(encoded)
}

func (c Cell) String() string {
	if c.Runs == 0 {
		return "–"
	}
	text := fmt.Sprintf("%.3f", c.Mean)
	if c.Runs > 1 {
		text += fmt.Sprintf(" ±%.3f", c.SD)
	}
	if c.Violations > 0 {
		text += fmt.Sprintf(" (%d broken)", c.Violations)
	}
	return text
}
