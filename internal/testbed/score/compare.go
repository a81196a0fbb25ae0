package score

import (
	"fmt"
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Sense says whether higher or lower values of a metric are better.
type Sense int

// Senses of metrics.
const (
	Higher Sense = iota
	Lower
	Neither
)

// Paired is a comparison of one metric between two sides over the same seeds. Differences are B minus A.
type Paired struct {
	Metric       string  `json:"figure"`
	A            string  `json:"a"`
	B            string  `json:"b"`
	Seeds        int     `json:"seeds"`
	SeedsLeftOut int     `json:"seeds_left_out"` // seeds for which the value of a side is not available or infinite
	MeanA        float64 `json:"mean_a"`
	MeanB        float64 `json:"mean_b"`
	Difference   float64 `json:"difference"`
	SD           float64 `json:"sd"` // of the differences
	Low          float64 `json:"low"`
	High         float64 `json:"high"` // Low to High is the 95% confidence interval of the mean difference
	P            float64 `json:"p"`    // probability of a mean difference at least this far from 0 if the sides are equal
	Significant  bool    `json:"seen"` // the interval excludes 0
	Verdict      string  `json:"says"`
}

const (
	confidence    = 0.95
	upperQuantile = 1 - (1-confidence)/2
)

// pairs has the values of two sides for the seeds in which both are available.
type pairs struct {
	a, b        []float64
	differences []float64
	leftOut     int
}

func newPairs(a, b []float64) pairs {
	var result pairs
	for i := range min(len(a), len(b)) {
		difference := b[i] - a[i]
		if math.IsNaN(difference) || math.IsInf(difference, 0) {
			result.leftOut++
			continue
		}
		result.a = append(result.a, a[i])
		result.b = append(result.b, b[i])
		result.differences = append(result.differences, difference)
	}
	return result
}

// Compare compares the values of a metric on two sides; a[i] and b[i] have the same seed. The interval is that of
// Student's t-test for paired samples, which assumes that the differences are distributed normally. Pairs in which a value
// is not available (NaN) or infinite are left out.
func Compare(metric, nameA, nameB string, a, b []float64, better Sense) Paired {
	values := newPairs(a, b)
	paired := Paired{
		Metric:       metric,
		A:            nameA,
		B:            nameB,
		Seeds:        len(values.differences),
		SeedsLeftOut: values.leftOut,
		P:            1,
	}
	if paired.Seeds > 0 {
		paired.MeanA = stat.Mean(values.a, nil)
		paired.MeanB = stat.Mean(values.b, nil)
		paired.Difference = stat.Mean(values.differences, nil)
		paired.Low, paired.High = paired.Difference, paired.Difference
	}
	if paired.Seeds > 1 {
		paired.setInterval(values.differences)
	}
	paired.Verdict = paired.describe(better)
	return paired
}

// setInterval sets the confidence interval, P and Significant. It needs at least two differences.
func (p *Paired) setInterval(differences []float64) {
	p.SD = stat.StdDev(differences, nil)
	distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(p.Seeds - 1)}
	standardError := stat.StdErr(p.SD, float64(p.Seeds))
	half := distribution.Quantile(upperQuantile) * standardError
	p.Low, p.High = p.Difference-half, p.Difference+half
	switch {
	case standardError > 0:
		p.P = 2 * distribution.Survival(math.Abs(p.Difference)/standardError)
	case p.Difference != 0:
		p.P = 0
	}
	p.Significant = p.Low > 0 || p.High < 0
}

// describe returns the comparison as a sentence.
func (p *Paired) describe(better Sense) string {
	seeds := fmt.Sprintf("over %d seeds", p.Seeds)
	if p.SeedsLeftOut > 0 {
		seeds += fmt.Sprintf("; %d left out that lack it", p.SeedsLeftOut)
	}
	switch {
	case p.Seeds == 0:
		return "nothing to compare: no seed has the figure on both sides"
	case p.Seeds == 1:
		return fmt.Sprintf("one seed tells nothing of the spread: the difference there was %s", formatNumber(p.Difference))
	case p.SD == 0 && p.Difference == 0:
		return "no difference: the same in all, " + seeds
	case !p.Significant:
		return fmt.Sprintf("no difference seen: %s, 95%% sure of %s to %s %s",
			formatNumber(p.Difference), formatNumber(p.Low), formatNumber(p.High), seeds)
	}
	low, high := math.Abs(p.Low), math.Abs(p.High)
	return fmt.Sprintf("%s is %s: by %s, 95%% sure of %s to %s %s", p.B, p.comparative(better),
		formatNumber(math.Abs(p.Difference)), formatNumber(min(low, high)), formatNumber(max(low, high)), seeds)
}

// comparative returns the word for how side B compares with side A.
func (p *Paired) comparative(better Sense) string {
	isHigher := p.Difference > 0
	switch {
	case better == Neither && isHigher:
		return "higher"
	case better == Neither:
		return "lower"
	case isHigher == (better == Higher):
		return "better"
	}
	return "worse"
}

// formatNumber writes numbers from 1000 on without decimals, and smaller ones with three significant digits.
func formatNumber(number float64) string {
	if math.Abs(number) >= 1000 {
		return strconv.FormatFloat(number, 'f', 0, 64)
	}
	return strconv.FormatFloat(number, 'g', 3, 64)
}

// Spread is the mean of a metric's values with its 95% confidence interval.
type Spread struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	SD   float64 `json:"sd"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// SpreadOf returns the spread of values. Values that are not available (NaN) or infinite are left out.
func SpreadOf(values []float64) Spread {
	zeros := make([]float64, len(values))
	paired := Compare("", "", "", zeros, values, Neither)
	return Spread{N: paired.Seeds, Mean: paired.Difference, SD: paired.SD, Low: paired.Low, High: paired.High}
}
