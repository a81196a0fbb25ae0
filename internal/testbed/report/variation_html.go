package report

import (
	"io"
	"math"
	"strings"

	"valvecove/internal/testbed/score"
)

// Scales of the plot of a variation.
const (
	minLogRatio = 50   // ratio of greatest and least value from which on the horizontal axis is logarithmic
	xPadding    = 0.02 // room beside the points on a linear axis, as a fraction of their range
)

// WriteVariation writes a variation as one HTML file: the curves with their knees, and a table. The error is that of the
// writer or the template.
func WriteVariation(w io.Writer, variation *Variation) error {
	document := &document{Title: variation.Title, Description: variation.Description}
	document.addBuild(variation.Build)
	curves := section{
		ID: "curve", Title: "The curve and its knee", Plots: []*plot{variation.plot()},
		Text: []string{"Each point is the mean over the seeds, with its 95% interval. The knee is the point farthest " +
			"from the straight line between the first point and the last, on the side of better values, with both axes scaled to the " +
			"range from 0 to 1. A curve without a point that is a tenth away from that line has no knee."},
	}
	for i := range variation.Curves {
		curves.Text = append(curves.Text, capitalize(variation.describeKnee(&variation.Curves[i]))+".")
	}
	document.Sections = []section{curves, {ID: "figures", Title: "Figures", Tables: []table{variation.table()}}}
	document.addScenario(variation.Scenario)
	return document.write(w)
}

// plot draws the curves.
func (v *Variation) plot() *plot {
	headline := v.headline()
	plot := newPlot("sweep", headline.Name+" over "+v.Param, v.Param, headline.Description, 380)
	labels := v.valueLabels()
	formatY := func(value float64) string { return trimTickZeros(formatFigure(headline.Name, value)) }
	plot.setAxes(v.xScale(len(labels) > 0), v.yScale(&headline), formatTick, formatY)
	if len(labels) > 0 {
		plot.XTicks = v.labelTicks(&plot.xScale, labels)
	}
	var descriptions []string
	for i := range v.Curves {
		v.drawCurve(plot, &v.Curves[i], seriesClass(i), &headline)
		descriptions = append(descriptions, v.describeKnee(&v.Curves[i]))
	}
	plot.Description = strings.Join(descriptions, "; ") + "."
	return plot
}

// xScale returns the horizontal scale that fits all points. It is logarithmic for numbers that range over several orders of
// magnitude, such as fleets of 10 to 10,000 workers.
func (v *Variation) xScale(labelled bool) scale {
	low, high := math.Inf(1), math.Inf(-1)
	for point := range v.points() {
		low, high = min(low, point.X), max(high, point.X)
	}
	if low > high { // there are no points
		low, high = 0, 1
	}
	if !labelled && low > 0 && high/low >= minLogRatio {
		return scale{low: low, high: high, log: true}
	}
	padding := (high - low) * xPadding
	return scale{low: low - padding, high: high + padding}
}

// yScale returns a vertical scale that fits 0 and all intervals of a headline.
func (v *Variation) yScale(headline *score.Headline) scale {
	yScale := scale{}
	for point := range v.points() {
		if spread := point.spread(headline); spread.N > 0 {
			yScale.low, yScale.high = min(yScale.low, spread.Low), max(yScale.high, spread.High)
		}
	}
	yScale.high = roundUp(yScale.high)
	if yScale.high == 0 {
		yScale.high = 1
	}
	return yScale
}

// valueLabels returns, by X, the labels of values that are not numbers.
func (v *Variation) valueLabels() map[float64]string {
	labels := map[float64]string{}
	for point := range v.points() {
		if point.Label != "" {
			labels[point.X] = point.Label
		}
	}
	return labels
}

// labelTicks returns a tick for each label.
func (v *Variation) labelTicks(xScale *scale, labels map[float64]string) []tick {
	var ticks []tick
	isDrawn := map[float64]bool{}
	for point := range v.points() {
		label := labels[point.X]
		if label == "" || isDrawn[point.X] {
			continue
		}
		isDrawn[point.X] = true
		ticks = append(ticks, tick{xScale.at(point.X), label})
	}
	return ticks
}

// drawCurve draws a curve with a dot for each point that has a value.
func (v *Variation) drawCurve(plot *plot, source *Curve, class string, headline *score.Headline) {
	knee, hasKnee := v.Knee(source)
	var values, means []float64
	for i := range source.Points {
		point := &source.Points[i]
		spread := point.spread(headline)
		values = append(values, point.X)
		if spread.N == 0 {
			means = append(means, math.NaN())
			continue
		}
		means = append(means, spread.Mean)
		plot.Dots = append(plot.Dots, dot{
			X:     plot.xScale.at(point.X),
			Y:     plot.yScale.at(spread.Mean),
			Low:   plot.yScale.at(spread.Low),
			High:  plot.yScale.at(spread.High),
			Class: class,
			Text:  strings.TrimSpace(source.Name + " " + point.label() + ": " + formatSpread(headline.Name, spread)),
			Knee:  hasKnee && i == knee,
		})
	}
	plot.addCurve(curve{Class: class, Name: v.curveName(source, headline)}, values, means)
}

// curveName returns the name of a curve in the legend.
func (v *Variation) curveName(curve *Curve, headline *score.Headline) string {
	switch {
	case curve.Name == "":
		return headline.Name
	case v.Second != "":
		return v.Second + " " + curve.Name
	}
	return curve.Name
}
