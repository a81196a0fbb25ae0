package score

import (
	"fmt"
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Sense says which way a figure is better.
type Sense int

// Senses.
const (
	Higher Sense = iota
	Lower
	Neither
)

// Paired is a comparison of one figure between two sides over the same seeds. Differences are B less A.
type Paired struct {
	Metric       string  `json:"figure"`
	A            string  `json:"a"`
	B            string  `json:"b"`
	Seeds        int     `json:"seeds"`
	SeedsLeftOut int     `json:"seeds_left_out"` // in which a side has no such figure, or an endless one
	MeanA        float64 `json:"mean_a"`
	MeanB        float64 `json:"mean_b"`
	Difference   float64 `json:"difference"`
	SD           float64 `json:"sd"` // of the differences
	Low          float64 `json:"low"`
	High         float64 `json:"high"` // Low to High holds the true mean difference 95 times in 100
	P            float64 `json:"p"`    // chance of a mean difference this far from 0 if there were none
	Significant  bool    `json:"seen"` // the interval leaves 0 out
	Verdict      string  `json:"says"`
}

const confidence = 0.95

// Compare pairs the figures of two sides, a[i] and b[i] being of the same seed. Its interval is Student's, which
// takes the differences to be spread about normally. Pairs in which either figure is missing (NaN) or endless are
// left out.
func Compare(figure, nameA, nameB string, a, b []float64, better Sense) Paired {
	paired := Paired{Metric: figure, A: nameA, B: nameB, P: 1}
	var as, bs, diffs []float64
	for i := range min(len(a), len(b)) {
		if d := b[i] - a[i]; !math.IsNaN(d) && !math.IsInf(d, 0) {
			as, bs, diffs = append(as, a[i]), append(bs, b[i]), append(diffs, d)
		} else {
			paired.SeedsLeftOut++
		}
	}
	paired.Seeds = len(diffs)
	if paired.Seeds > 0 {
		paired.MeanA, paired.MeanB, paired.Difference = stat.Mean(as, nil), stat.Mean(bs, nil), stat.Mean(diffs, nil)
		paired.Low, paired.High = paired.Difference, paired.Difference
	}
	if paired.Seeds > 1 {
		paired.SD = stat.StdDev(diffs, nil)
		of := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(paired.Seeds - 1)}
		err := stat.StdErr(paired.SD, float64(paired.Seeds))
		half := of.Quantile(1-(1-confidence)/2) * err
		paired.Low, paired.High = paired.Difference-half, paired.Difference+half
		switch {
		case err > 0:
			paired.P = 2 * of.Survival(math.Abs(paired.Difference)/err)
		case paired.Difference != 0:
			paired.P = 0
		}
		paired.Significant = paired.Low > 0 || paired.High < 0
	}
	paired.Verdict = paired.describe(better)
	return paired
}

func (p *Paired) describe(better Sense) string {
	ended := fmt.Sprintf("over %d seeds", p.Seeds)
	if p.SeedsLeftOut > 0 {
		ended += fmt.Sprintf("; %d left out that lack it", p.SeedsLeftOut)
	}
	switch {
	case p.Seeds == 0:
		return "nothing to compare: no seed has the figure on both sides"
	case p.Seeds == 1:
		return fmt.Sprintf("one seed tells nothing of the spread: the difference there was %s", formatNumber(p.Difference))
	case p.SD == 0 && p.Difference == 0:
		return "no difference: the same in all, " + ended
	case !p.Significant:
		return fmt.Sprintf("no difference seen: %s, 95%% sure of %s to %s %s", formatNumber(p.Difference), formatNumber(p.Low), formatNumber(p.High), ended)
	}
	word := "higher"
	if p.Difference < 0 {
		word = "lower"
	}
	if better != Neither {
		word = "better"
		if (p.Difference > 0) != (better == Higher) {
			word = "worse"
		}
	}
	return fmt.Sprintf("%s is %s: by %s, 95%% sure of %s to %s %s", p.B, word, formatNumber(math.Abs(p.Difference)),
		formatNumber(min(math.Abs(p.Low), math.Abs(p.High))), formatNumber(max(math.Abs(p.Low), math.Abs(p.High))), ended)
}

func formatNumber(x float64) string {
	if math.Abs(x) >= 1000 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// Spread is the mean of some figures and the 95% confidence interval of it.
type Spread struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	SD   float64 `json:"sd"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// SpreadOf leaves out figures that are missing (NaN) or endless.
func SpreadOf(xs []float64) Spread {
	zero := make([]float64, len(xs))
	p := Compare("", "", "", zero, xs, Neither)
	return Spread{p.Seeds, p.Difference, p.SD, p.Low, p.High}
}

// kneeBend is how far from the chord a knee lies at least.
const kneeBend = 0.1

// Knee finds where a curve bends most. Both axes are brought to 0..1 over the points, which are in order of x; the
// knee is the point farthest from the chord between the first and the last, on its better side: where a figure that
// is better higher begins to fall, or has risen most of its way. With Neither both sides count. A curve that does not
// leave its chord by a tenth there, or has under three points, has none.
func Knee(values, ys []float64, better Sense) (at int, ok bool) {
	n := min(len(values), len(ys))
	if n < 3 || values[n-1] <= values[0] {
		return 0, false
	}
	low, high := ys[0], ys[0]
	for _, y := range ys[:n] {
		if math.IsNaN(y) || math.IsInf(y, 0) {
			return 0, false
		}
		low, high = min(low, y), max(high, y)
	}
	if high <= low {
		return 0, false
	}
	norm := func(i int) (x, y float64) {
		return (values[i] - values[0]) / (values[n-1] - values[0]), (ys[i] - low) / (high - low)
	}
	_, y0 := norm(0)
	_, y1 := norm(n - 1)
	far := 0.0
	for i := 1; i < n-1; i++ {
		x, y := norm(i)
		d := (y - y0 - (y1-y0)*x) / math.Hypot(1, y1-y0)
		switch better {
		case Lower:
			d = -d
		case Neither:
			d = math.Abs(d)
		}
		if d > far {
			at, far = i, d
		}
	}
	return at, far >= kneeBend
}
