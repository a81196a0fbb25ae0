package report

import (
	"fmt"
	"math"
	"strings"

	"valvecove/internal/testbed/score"
)

// Bounds of plots over time.
const (
	maxCurvePoints     = 500  // of a curve; a point may stand for several seconds
	maxTimelineEntries = 400  // faults, and marks, that are drawn or listed
	yHeadroom          = 1.04 // end of a linear vertical axis, as a multiple of the greatest value
	minLogValue        = 0.1  // lowest value at which a logarithmic axis may begin
	minLogMaxValue     = 1.0  // lowest value at which it may end
	minLogSpan         = 2.0  // minimum ratio of its end to its beginning
	defaultLinearHigh  = 1.0  // end of a linear axis without values
)

// timeline has the data that all plots over time of a run share.
type timeline struct {
	end    float64 // seconds since the run's start
	faults []score.Fault
	marks  []score.Mark
}

// lineSpec describes a curve of a plot over time.
type lineSpec struct {
	name      string
	class     string // style class; empty: chosen by the line's index
	series    score.Series
	area      bool
	strong    bool
	gaps      bool                       // 0 means that there is no value
	summarize func(score.Series) float64 // value of a point from its seconds; nil: their mean
}

// timePlot describes a plot of series by the second, with the run's faults.
type timePlot struct {
	id, title, yName string
	height           pixels
	lines            []lineSpec
	top              float64 // end of the vertical axis; 0: it follows from the greatest value
	log              bool
	text             func(float64) string // formats a value
	labels           bool                 // faults are labelled with their texts, not only numbers
}

// drawnFaults are the faults that plots show.
func (t *timeline) drawnFaults() []score.Fault {
	return t.faults[:min(len(t.faults), maxTimelineEntries)]
}

// plot draws a plot over time.
func (t *timeline) plot(spec timePlot) *plot {
	plot := newPlot(spec.id, spec.title, "seconds since the run's start", spec.yName, spec.height)
	labelLevels := t.addBands(plot, spec.labels)
	plot.addHeadroom(labelHeight * pixels(max(0, labelLevels-1)))
	spec.lines = t.padded(spec.lines)
	formatY := func(value float64) string { return trimTickZeros(spec.text(value)) }
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

// padded returns copies of the lines with series of equal length: that of the longest, but not longer than the plot.
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

// logScale returns a logarithmic scale for values from low to high. It begins with a power of ten.
func logScale(low, high float64) scale {
	low = max(low, minLogValue)
	high = max(high, minLogMaxValue)
	return scale{low: floorPowerOfTen(min(low, high/minLogSpan)), high: high, log: true}
}

// points returns the values of the line's points, and the number of seconds in each.
func (l *lineSpec) points() (values score.Series, secondsPerPoint int) {
	summarize := l.summarize
	if summarize == nil {
		summarize = meanOf
	}
	return thinSeries(l.series, maxCurvePoints, summarize)
}

// coordinates returns the times, at most end, and the values of the line's points. NaN stands for a gap.
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

// hoverTexts are the texts that a plot shows on hovering, one for each point.
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
