package report

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// noValue is shown for a figure that is NaN or infinite.
const noValue = "–"

// Numbers of decimals.
const (
	figureDecimals      = 3
	expectationDecimals = 4
)

// isNotFinite reports whether a figure is NaN or infinite.
func isNotFinite(value float64) bool { return math.IsNaN(value) || math.IsInf(value, 0) }

// formatPercent formats a fraction as a percentage.
func formatPercent(fraction float64) string {
	const minShown = 0.0005
	if isNotFinite(fraction) {
		return noValue
	}
	if fraction > 0 && fraction < minShown {
		return "<0.1%"
	}
	return strconv.FormatFloat(100*fraction, 'f', 1, 64) + "%"
}

// formatNumber formats a number with about three significant digits, without an exponent.
func formatNumber(value float64) string {
	if math.IsInf(value, 1) {
		return "∞"
	}
	if isNotFinite(value) {
		return noValue
	}
	size := math.Abs(value)
	switch {
	case size >= 100 || size == 0:
		return formatCount(int64(math.Round(value)))
	case size >= 10:
		return trimZeros(strconv.FormatFloat(value, 'f', 1, 64))
	case size >= 1:
		return trimZeros(strconv.FormatFloat(value, 'f', 2, 64))
	case size < 0.001 && value > 0:
		return "<0.001"
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

// trimZeros removes the zeros at the end of a decimal fraction.
func trimZeros(text string) string { return strings.TrimRight(strings.TrimRight(text, "0"), ".") }

// formatMillis formats a time in milliseconds. From one second on it is shown in seconds.
func formatMillis(millis float64) string {
	switch {
	case isNotFinite(millis):
		return noValue
	case millis >= 10_000:
		return strconv.FormatFloat(millis/1000, 'f', 1, 64) + " s"
	case millis >= 1000:
		return strconv.FormatFloat(millis/1000, 'f', 2, 64) + " s"
	case millis >= 10:
		return strconv.FormatFloat(millis, 'f', 0, 64) + " ms"
	}
	return formatNumber(millis) + " ms"
}

// formatSeconds formats a time in seconds.
func formatSeconds(seconds float64) string { return strconv.FormatFloat(seconds, 'f', 1, 64) + " s" }

// formatFixed formats a number with three decimals.
func formatFixed(value float64) string { return strconv.FormatFloat(value, 'f', figureDecimals, 64) }

// formatCount formats a whole number with commas between its thousands.
func formatCount[T int | int64](count T) string {
	text := strconv.FormatInt(int64(count), 10)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// formatBytes formats a number of bytes in the largest binary unit that fits.
func formatBytes(size float64) string {
	const unitSize = 1024
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	unit := 0
	for size >= unitSize && unit < len(units)-1 {
		size /= unitSize
		unit++
	}
	return formatNumber(size) + " " + units[unit]
}

// plural formats a count with a noun in the singular or plural.
func plural[T int | int64](count T, singular, plural string) string {
	if count == 1 {
		return "1 " + singular
	}
	return formatCount(count) + " " + plural
}

// trimTickZeros removes trailing zeros from the decimals of a number, which a unit may follow, for the ticks of an axis.
func trimTickZeros(text string) string {
	end := strings.LastIndexAny(text, "0123456789") + 1
	number, unit := text[:end], text[end:]
	if strings.Contains(number, ".") {
		number = trimZeros(number)
	}
	return number + unit
}

// capitalize changes the first letter of a text, which must be ASCII, to upper case.
func capitalize(text string) string { return strings.ToUpper(text[:1]) + text[1:] }

// percentHeadlines are the headlines that are fractions of jobs or work.
var percentHeadlines = []string{"served", "refused", "failed", "unanswered", "lost", "waste"}

// formatFigure formats the value of a headline in its unit.
func formatFigure(headline string, value float64) string {
	if text, ok := formatWithUnit(headline, value); ok {
		return text
	}
	if slices.Contains(percentHeadlines, headline) {
		return formatPercent(value)
	}
	return formatFixed(value)
}

// formatValue formats the value of an expectation's metric in its unit.
func formatValue(evaluation *score.Evaluation) string {
	metric := evaluation.Expectation.Metric
	if text, ok := formatWithUnit(metric, evaluation.Value); ok {
		return text
	}
	if metric == "rules_broken" {
		return formatCount(int(evaluation.Value))
	}
	return strconv.FormatFloat(evaluation.Value, 'f', expectationDecimals, 64)
}

// formatWithUnit formats a value that is a time or not finite. For any other value, ok is false.
func formatWithUnit(metric string, value float64) (text string, ok bool) {
	switch {
	case isNotFinite(value):
		return noValue, true
	case strings.HasSuffix(metric, "_ms"):
		return formatMillis(value), true
	case metric == "recovered_within":
		return formatSeconds(value), true
	}
	return "", false
}

// intervalSeparator is the text between a mean and half the width of its confidence interval.
const intervalSeparator = " ± "

// formatSpread formats the mean of a headline and half the width of its confidence interval.
func formatSpread(headline string, spread score.Spread) string {
	if spread.N == 0 {
		return noValue
	}
	text := formatFigure(headline, spread.Mean)
	if spread.N > 1 && spread.High > spread.Low {
		text += intervalSeparator + formatFigure(headline, (spread.High-spread.Low)/2)
	}
	return text
}

// withoutInterval returns only the mean from a text that formatSpread returned.
func withoutInterval(text string) string {
	mean, _, _ := strings.Cut(text, intervalSeparator)
	return mean
}
