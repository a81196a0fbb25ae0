package report

import (
	"fmt"
	"math"
	"strings"

	"valvecove/internal/testbed/score"
)

// Bounds of plots over time.
const (
	maxCurvePoints    = 500  // of a curve; each may stand for several seconds
	maxBands          = 400  // faults and marks that are drawn or listed
	yHeadroom         = 1.04 // how far a linear vertical axis goes beyond the greatest value
	minLogValue       = 0.1  // least value that a logarithmic axis begins with
	minLogMaxValue    = 1.0  // least value that it ends with
	minLogSpan        = 2.0  // how many times its begin it ends at least
	defaultLinearHigh = 1.0  // end of a linear axis without values
)

// timeline is what all plots of a run have in common.
type timeline struct {
	end    float64 // seconds since the run's start
	faults []score.Fault
	marks  []score.Mark
}

// lineSpec describes a curve of a plot over time.
type lineSpec struct {
	name      string
	class     string // empty: by its index among the lines
	series    score.Series
	area      bool
	strong    bool
	gaps      bool                       // 0 is no value
	summarize func(score.Series) float64 // of the seconds that a point stands for; nil: their mean
}

// timePlot describes a plot of series by the second, with the run's faults.
type timePlot struct {
	id, title, yName string
	height           pixels
	lines            []lineSpec
	top              float64 // end of the vertical axis; 0: as high as the values are
	log              bool
	text             func(float64) string // formats a value
	labels           bool                 // faults are named, not just numbered
}

// drawnFaults are the faults that plots show.
func (t *timeline) drawnFaults() []score.Fault { return t.faults[:min(len(t.faults), maxBands)] }

// plot draws a plot over time.
func (t *timeline) plot(spec timePlot) *plot {
	plot := newPlot(spec.id, spec.title, "seconds since the run's start", spec.yName, spec.height)
	labelLevels := t.addBands(plot, spec.labels)
	plot.addHeadroom(labelHeight * pixels(max(0, labelLevels-1)))
	spec.lines = t.padded(spec.lines)
	formatY := func(value float64) string { return shorten(spec.text(value)) }
	plot.setAxes(scale{high: max(t.end, 1)}, spec.yScale(), formatTick, formatY)
	descriptions := make([]string, 0, len(spec.lines))
	var hovers hoverTexts
	for i := range spec.lines {
		line := &spec.lines[i]
		points, secondsPerPoint := line.points()
		xs, ys := line.coordinates(points, secondsPerPoint, t.end, spec.log)
		class := line.class
		if class == "" {
			class = seriesClass(i)
		}
		plot.addCurve(curve{Class: class, Name: line.name, Area: line.area, Strong: line.strong}, xs, ys)
		hovers.add(line.name, points, secondsPerPoint, spec.text)
		descriptions = append(descriptions, fmt.Sprintf("%s: mean %s, greatest %s",
			line.name, spec.text(meanOf(line.series)), spec.text(maxOf(line.series))))
	}
	t.addHovers(plot, &hovers)
	plot.Description = strings.Join(descriptions, "; ") + "."
	if len(t.faults) > 0 {
		plot.Description += fmt.Sprintf(" %s shown as bands.", plural(len(t.faults), "fault is", "faults are"))
	}
	return plot
}

// padded returns copies of lines whose series are all as long as the longest of them, but no longer than the plot.
func (t *timeline) padded(lines []lineSpec) []lineSpec {
	length := 0
	for i := range lines {
		length = max(length, len(lines[i].series))
	}
	length = min(length, int(math.Ceil(t.end)))
	copies := make([]lineSpec, len(lines))
	for i := range lines {
		copies[i] = lines[i]
		copies[i].series = make(score.Series, length)
		copy(copies[i].series, lines[i].series)
	}
	return copies
}

// yScale returns the vertical scale that fits the lines.
func (p *timePlot) yScale() scale {
	high := p.top
	if p.top == 0 {
		for i := range p.lines {
			high = max(high, maxOf(p.lines[i].series))
		}
	}
	if p.log {
		return logScale(p.minPositive(), high)
	}
	high *= yHeadroom
	if high == 0 {
		high = defaultLinearHigh
	}
	return scale{high: high}
}

// minPositive returns the least value of all lines that is above 0, or 0 if there is none.
func (p *timePlot) minPositive() float64 {
	low := 0.0
	for i := range p.lines {
		for _, value := range p.lines[i].series {
			if value > 0 && (low == 0 || value < low) {
				low = value
			}
		}
	}
	return low
}

// logScale returns a logarithmic scale from a power of ten at or below low to high.
func logScale(low, high float64) scale {
	low = max(low, minLogValue)
	high = max(high, minLogMaxValue)
	return scale{low: floorPowerOfTen(min(low, high/minLogSpan)), high: high, log: true}
}

// points returns the values of the line's points, and how many seconds each stands for.
func (l *lineSpec) points() (values score.Series, secondsPerPoint int) {
	summarize := l.summarize
	if summarize == nil {
		summarize = meanOf
	}
	return thinSeries(l.series, maxCurvePoints, summarize)
}

// coordinates returns the times, up to end, and the values of the line's points; NaN is a gap.
func (l *lineSpec) coordinates(points score.Series, secondsPerPoint int, end float64, log bool) (xs, ys []float64) {
	xs, ys = make([]float64, len(points)), make([]float64, len(points))
	for i, value := range points {
		xs[i] = min((float64(i)+0.5)*float64(secondsPerPoint), end)
		ys[i] = value
		if l.gaps && value == 0 || log && value <= 0 {
			ys[i] = math.NaN()
		}
	}
	return xs, ys
}

// hoverTexts are the texts that a plot shows on hovering, one for each point in time.
type hoverTexts struct {
	secondsPerPoint int
	texts           []string
}

// add appends the values of a line to the texts.
func (h *hoverTexts) add(name string, points score.Series, secondsPerPoint int, format func(float64) string) {
	h.secondsPerPoint = secondsPerPoint
	for i, value := range points {
		if len(h.texts) <= i {
			h.texts = append(h.texts, fmt.Sprintf("%d s", i*secondsPerPoint))
		}
		h.texts[i] += " · " + name + " " + format(value)
	}
}

// addHovers adds the texts to a plot, with the numbers of the faults that were active at each point.
func (t *timeline) addHovers(p *plot, hovers *hoverTexts) {
	for i, text := range hovers.texts {
		from, to := float64(i*hovers.secondsPerPoint), float64((i+1)*hovers.secondsPerPoint)
		for number, fault := range t.drawnFaults() {
			if fault.On < to && (fault.Off < 0 || fault.Off > from) {
				text += fmt.Sprintf(" · fault %d", number+1)
			}
		}
		begin, end := p.xScale.at(from), p.xScale.at(to)
		p.Hovers = append(p.Hovers, hover{X: begin, Width: end - begin, Text: text})
	}
}
