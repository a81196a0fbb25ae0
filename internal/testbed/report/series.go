package report

import (
	"math"

	"valvecove/internal/testbed/score"
)

// thinSeries returns a series of at most maxPoints values, each of which summarizes secondsPerPoint seconds. A series that is
// short enough is returned as it is.
func thinSeries(series score.Series, maxPoints int, summarize func(part score.Series) float64) (
	thinned score.Series, secondsPerPoint int,
) {
	secondsPerPoint = divideUp(len(series), maxPoints)
	if secondsPerPoint <= 1 {
		return series, 1
	}
	for from := 0; from < len(series); from += secondsPerPoint {
		thinned = append(thinned, summarize(series[from:min(from+secondsPerPoint, len(series))]))
	}
	return thinned, secondsPerPoint
}

// divideUp divides integers that are not negative, and rounds up.
func divideUp(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// meanOf returns the mean of the finite values; NaN if there are values but none is finite, 0 for an empty series.
func meanOf(series score.Series) float64 {
	sum, count := 0.0, 0
	for _, value := range series {
		if !isNotFinite(value) {
			sum += value
			count++
		}
	}
	if count == 0 && len(series) > 0 {
		return math.NaN()
	}
	return sum / float64(max(1, count))
}

// maxOf returns the greatest finite value, at least 0.
func maxOf(series score.Series) float64 {
	greatest := 0.0
	for _, value := range series {
		if !isNotFinite(value) {
			greatest = max(greatest, value)
		}
	}
	return greatest
}

// ratio returns, for each second up to end, earned over requested in that second and the next. It is NaN if nothing was
// requested in them.
func ratio(requested, earned score.Series, end float64) score.Series {
	const window = 2
	ratios := make(score.Series, min(len(requested), int(math.Ceil(end))))
	for i := range ratios {
		windowEnd := min(i+window, len(ratios))
		ratios[i] = math.NaN()
		if sum := requested[i:windowEnd].Sum(); sum > 0 {
			ratios[i] = earned[i:windowEnd].Sum() / sum
		}
	}
	return ratios
}

// meanSeries returns the mean of a series over several runs, in each second over those runs that reach it.
func meanSeries(results []*score.Result, seriesOf func(*score.Seconds) score.Series) score.Series {
	var means score.Series
	var counts []float64
	for _, result := range results {
		for second, value := range seriesOf(&result.Seconds) {
			if second == len(means) {
				means, counts = append(means, 0), append(counts, 0)
			}
			means[second] += value
			counts[second]++
		}
	}
	for second := range means {
		means[second] /= counts[second]
	}
	return means
}
